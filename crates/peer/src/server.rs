//! The answering side of a connection between daemons.

use std::{collections::HashMap, sync::Arc};

use futures::StreamExt;
use parking_lot::Mutex;
use tokio::{net::TcpStream, sync::Semaphore};
use tokio_util::codec::FramedRead;

use crate::{
    ANSWER_WINDOW, Body, Envelope,
    client::{decode, frame_codec, write_frames},
};

/// Frames that may wait for the socket before answers wait for room.
const OUTGOING_FRAMES: usize = 1_024;

/// Takes requests of another daemon.
pub trait PeerHandler: Send + Sync + 'static {
    /// Begins to handle a request; whatever takes time is to be spawned.
    fn on_request(&self, body: Body, reply: Reply);

    /// The connection is lost; nothing more can be answered on it.
    fn on_disconnect(&self, connection_id: u64);
}

/// The connection on which an answer was due is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyGone;

type Windows = Arc<Mutex<HashMap<u64, Arc<Semaphore>>>>;

/// Where the answers to one request go.
#[derive(Debug)]
pub struct Reply {
    connection_id: u64,
    request_id: u64,
    outgoing: flume::Sender<Envelope>,
    window: Arc<Semaphore>,
    windows: Windows,
}

impl Reply {
    /// Identifies the connection, so that what belongs to it can be given up with it.
    pub fn connection_id(&self) -> u64 {
        self.connection_id
    }

    /// Sends a part of the answer, waiting while the receiver has not taken earlier ones.
    pub async fn send(&self, body: Body) -> Result<(), ReplyGone> {
        if matches!(body, Body::Chunk(_)) {
            self.window.acquire().await.map_err(|_| ReplyGone)?.forget();
        }
        let envelope = Envelope { request_id: self.request_id, body: Some(body) };
        self.outgoing.send_async(envelope).await.map_err(|_| ReplyGone)
    }
}

impl Drop for Reply {
    fn drop(&mut self) {
        self.windows.lock().remove(&self.request_id);
    }
}

/// Serves one connection until it closes.
pub async fn serve_connection<H: PeerHandler>(
    stream: TcpStream,
    connection_id: u64,
    handler: Arc<H>,
) {
    // Without it small answers would wait for acknowledgements; failing to set it costs only time.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let (outgoing, queue) = flume::bounded(OUTGOING_FRAMES);
    let writing = tokio::spawn(write_frames(writer, queue));
    let windows = Windows::default();
    let mut frames = FramedRead::new(reader, frame_codec());
    while let Some(Ok(frame)) = frames.next().await {
        let Some((request_id, body)) = decode(frame.freeze()) else { break };
        if let Body::Credit(credit) = body {
            if let Some(window) = windows.lock().get(&request_id) {
                window.add_permits((credit.chunks as usize).min(ANSWER_WINDOW));
            }
            continue;
        }
        let window = Arc::new(Semaphore::new(ANSWER_WINDOW));
        windows.lock().insert(request_id, window.clone());
        let reply = Reply {
            connection_id,
            request_id,
            outgoing: outgoing.clone(),
            window,
            windows: windows.clone(),
        };
        handler.on_request(body, reply);
    }
    for window in windows.lock().values() {
        window.close();
    }
    writing.abort();
    handler.on_disconnect(connection_id);
}
