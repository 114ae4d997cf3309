//! Reaches a server through another daemon while this one has no network path to it.
//!
//! A partition often cuts off some daemons from a server that others can still reach. Such a daemon asks one of the
//! others for a tunnel: a connection that forwards bytes unread. Primary leases, minimum log points and answers are
//! checked by the daemon that serves the caller, as on a direct connection. See `docs/PLATFORM.md`, "Detours".

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
    tcp_options::detect_dead_peer,
};

/// Time for a server to accept a connection for another daemon; as long as for this daemon's own probes.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Why no tunnel was opened.
#[derive(Debug)]
pub(crate) enum TunnelError {
    /// The other daemon could not be contacted.
    Unreachable(std::io::Error),
    /// The other daemon is stopping, at its limit, or can't reach the server either.
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

/// Opens a connection to a server through the daemon at `peer`. All bytes after the answer are the server's.
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
    // A server sends nothing first, so no byte of it was read along with the answer.
    match answer {
        Some(answer) if answer.reached => Ok(frames.into_inner()),
        Some(_) | None => Err(TunnelError::Refused),
    }
}

/// Connects another daemon to a server and forwards bytes until either side closes.
pub(crate) async fn serve_tunnel(mut frames: Frames, server: Option<SocketAddr>) {
    let reached = match server {
        Some(address) => connect_to_server(address).await,
        None => None,
    };
    let answer = TunnelAnswer { reached: reached.is_some() };
    let sent = frames.send(Bytes::from(answer.encode_to_vec())).await;
    let (Some(mut server), Ok(())) = (reached, sent) else { return };
    let mut peer = frames.into_inner();
    // An error needs no handling: both connections close together, and each side notices that.
    let _ = tokio::io::copy_bidirectional(&mut peer, &mut server).await;
}

async fn connect_to_server(address: SocketAddr) -> Option<TcpStream> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    // The peer is told that the server was not reached, and logs that.
    let stream = connected.ok()?.ok()?;
    detect_dead_peer(&stream);
    stream.set_nodelay(true).ok()?;
    Some(stream)
}
