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

/// The capacity of the queue of outgoing frames; senders wait while it is full.
const OUTGOING_QUEUE_FRAMES: usize = 1_024;

/// Handles requests of other daemons.
pub trait PeerHandler: Send + Sync + 'static {
    /// Starts to handle a request. Must not block: long work is spawned.
    fn on_request(&self, body: Body, reply: Reply);

    /// Called when the connection is lost, after which no more answers can be sent on it.
    fn on_disconnect(&self, connection_id: u64);
}

/// The connection of the daemon that sent the request is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequesterDisconnected;

/// The send windows of answers, by request id.
type Windows = Arc<Mutex<HashMap<u64, Arc<Semaphore>>>>;

/// Sends the answers to one request.
#[derive(Debug)]
pub struct Reply {
    connection_id: u64,
    request_id: u64,
    outgoing: flume::Sender<Envelope>,
    window: Arc<Semaphore>,
    windows: Windows,
}

impl Reply {
    /// Returns the connection's id, so that its resources can be released when it is lost.
    pub fn connection_id(&self) -> u64 {
        self.connection_id
    }

    /// Sends a part of the answer. Chunks wait until the receiver has granted credit.
    pub async fn send(&self, body: Body) -> Result<(), RequesterDisconnected> {
        if matches!(body, Body::Chunk(_)) {
            self.window.acquire().await.map_err(|_| RequesterDisconnected)?.forget();
        }
        let envelope = Envelope { request_id: self.request_id, body: Some(body) };
        self.outgoing.send_async(envelope).await.map_err(|_| RequesterDisconnected)
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
    // Without this, small answers are delayed until earlier ones are acknowledged. A failure only costs latency.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let (outgoing, queue) = flume::bounded(OUTGOING_QUEUE_FRAMES);
    let writer_task = tokio::spawn(write_frames(writer, queue));
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
    writer_task.abort();
    handler.on_disconnect(connection_id);
}
