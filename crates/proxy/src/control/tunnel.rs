//! Reaching a server through another daemon, while this one has no path to it.
//!
//! A partition often cuts some daemons from a server that others still reach. The daemon that is cut off asks
//! one of those for a detour: a connection whose bytes are passed on unread. Rights, floors and answers are
//! judged where the caller is, as on a connection of its own. See `docs/PLATFORM.md`, "TunnelPeers".

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;

use crate::{
    control::{
        peer_link::{Frames, framed},
        peers::{PeerQuestion, PeerRequest, TunnelAnswer, TunnelRequest},
    },
    links::bound_silence,
};

/// How long a server may take to accept a connection for another daemon; as long as when this daemon looks
/// whether a server lives.
const REACH_WITHIN: Duration = Duration::from_millis(250);

/// Why there was no detour.
#[derive(Debug)]
pub(crate) enum TunnelError {
    /// The other daemon could not be asked.
    Unreachable(std::io::Error),
    /// It has no path to the server either, or stops.
    Refused,
}

impl std::fmt::Display for TunnelError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            TunnelError::Unreachable(error) => write!(f, "no detour: {error}"),
            TunnelError::Refused => f.write_str("no detour: the other daemon refused"),
        }
    }
}

/// Opens a connection to a server through the daemon at `peer`; what follows on it is the server's.
pub(crate) async fn open_tunnel(
    peer: SocketAddr,
    request: TunnelRequest,
) -> Result<TcpStream, TunnelError> {
    let stream = TcpStream::connect(peer).await.map_err(TunnelError::Unreachable)?;
    let mut frames = framed(stream);
    let request = PeerRequest { question: Some(PeerQuestion::Tunnel(request)) };
    let sent = frames.send(Bytes::from(request.encode_to_vec())).await;
    sent.map_err(TunnelError::Unreachable)?;
    let answer = match frames.next().await {
        Some(Ok(frame)) => TunnelAnswer::decode(frame).ok(),
        Some(Err(error)) => return Err(TunnelError::Unreachable(error)),
        None => None,
    };
    // A server says nothing before it is spoken to, so no byte of it was read with the answer.
    match answer {
        Some(answer) if answer.reached => Ok(frames.into_inner()),
        Some(_) | None => Err(TunnelError::Refused),
    }
}

/// Connects another daemon to a server and passes bytes on until either side ends.
pub(crate) async fn serve_tunnel(mut frames: Frames, server: Option<SocketAddr>) {
    let reached = match server {
        Some(address) => reach(address).await,
        None => None,
    };
    let answer = TunnelAnswer { reached: reached.is_some() };
    let told = frames.send(Bytes::from(answer.encode_to_vec())).await;
    let (Some(mut server), Ok(())) = (reached, told) else { return };
    let mut asker = frames.into_inner();
    // However it ends, both connections end with it, and each side finds out by its own.
    let _ = tokio::io::copy_bidirectional(&mut asker, &mut server).await;
}

async fn reach(address: SocketAddr) -> Option<TcpStream> {
    let connected = tokio::time::timeout(REACH_WITHIN, TcpStream::connect(address)).await;
    // A server that can't be reached from here is no detour; the asker hears so and logs it.
    let stream = connected.ok()?.ok()?;
    bound_silence(&stream);
    stream.set_nodelay(true).ok()?;
    Some(stream)
}
