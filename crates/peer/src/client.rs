//! The requesting side of a connection between daemons.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use parking_lot::Mutex;
use prost::Message;
use tokio::{io::AsyncWriteExt, net::TcpStream};
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};

use crate::{ANSWER_WINDOW, Body, Credit, Envelope, MAX_FRAME_BYTES};

/// The capacity of the queue of outgoing frames; senders wait while it is full.
const OUTGOING_QUEUE_FRAMES: usize = 1_024;

/// The connection to the other daemon is lost; requests in progress may have been carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerDisconnected;

impl std::fmt::Display for PeerDisconnected {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the connection to the other daemon is lost")
    }
}

impl std::error::Error for PeerDisconnected {}

/// The receivers of answers, by request id.
type PendingRequests = Arc<Mutex<HashMap<u64, flume::Sender<Body>>>>;

/// A connection on which this daemon sends requests and another daemon answers them.
#[derive(Debug)]
pub struct PeerClient {
    outgoing: flume::Sender<Envelope>,
    pending: PendingRequests,
    next_id: AtomicU64,
    alive: Arc<AtomicBool>,
}

impl PeerClient {
    /// Connects. The tasks that serve the connection run on the current runtime.
    pub async fn connect(
        address: SocketAddr,
        timeout: Duration,
    ) -> std::io::Result<Arc<PeerClient>> {
        let connect = TcpStream::connect(address);
        let stream = tokio::time::timeout(timeout, connect)
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        let (outgoing, queue) = flume::bounded(OUTGOING_QUEUE_FRAMES);
        let client = Arc::new(PeerClient {
            outgoing,
            pending: PendingRequests::default(),
            next_id: AtomicU64::new(1),
            alive: Arc::new(AtomicBool::new(true)),
        });
        tokio::spawn(write_frames(writer, queue));
        let frames = FramedRead::new(reader, frame_codec());
        let pending = client.pending.clone();
        let alive = client.alive.clone();
        tokio::spawn(async move {
            read_answers(frames, &pending).await;
            alive.store(false, Ordering::Release);
            // Dropping the senders fails every pending request.
            pending.lock().clear();
        });
        Ok(client)
    }

    /// Returns whether the connection is open, as far as is known.
    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::Acquire) && !self.outgoing.is_disconnected()
    }

    /// Sends a request. Returns an error only when nothing was sent.
    pub async fn call(self: &Arc<PeerClient>, body: Body) -> Result<Answers, PeerDisconnected> {
        let request_id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = flume::bounded(ANSWER_WINDOW + 1);
        self.pending.lock().insert(request_id, sender);
        let answers = Answers { client: self.clone(), request_id, receiver, uncredited_chunks: 0 };
        if !self.is_alive() {
            return Err(PeerDisconnected);
        }
        let envelope = Envelope { request_id, body: Some(body) };
        self.outgoing.send_async(envelope).await.map_err(|_| PeerDisconnected)?;
        Ok(answers)
    }

    /// Sends a message that has no answer.
    pub async fn notify(&self, body: Body) -> Result<(), PeerDisconnected> {
        let request_id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let envelope = Envelope { request_id, body: Some(body) };
        self.outgoing.send_async(envelope).await.map_err(|_| PeerDisconnected)
    }
}

/// The answers to one request. Answers that arrive after it is dropped are discarded.
#[derive(Debug)]
pub struct Answers {
    client: Arc<PeerClient>,
    request_id: u64,
    receiver: flume::Receiver<Body>,
    uncredited_chunks: u32,
}

/// The number of received chunks after which credit is granted for them together, to save frames.
const CREDIT_CHUNKS: u32 = (ANSWER_WINDOW / 2) as u32;

impl Answers {
    /// Waits for the next part of the answer.
    pub async fn next(&mut self) -> Result<Body, PeerDisconnected> {
        let body = self.receiver.recv_async().await.map_err(|_| PeerDisconnected)?;
        if matches!(body, Body::Chunk(_)) {
            self.uncredited_chunks += 1;
            if self.uncredited_chunks == CREDIT_CHUNKS {
                self.uncredited_chunks = 0;
                let body = Some(Body::Credit(Credit { chunks: CREDIT_CHUNKS }));
                let envelope = Envelope { request_id: self.request_id, body };
                self.client.outgoing.send_async(envelope).await.map_err(|_| PeerDisconnected)?;
            }
        }
        Ok(body)
    }
}

impl Drop for Answers {
    fn drop(&mut self) {
        self.client.pending.lock().remove(&self.request_id);
    }
}

pub(crate) fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

async fn read_answers<R>(mut frames: FramedRead<R, LengthDelimitedCodec>, pending: &PendingRequests)
where
    R: tokio::io::AsyncRead + Unpin,
{
    while let Some(Ok(frame)) = frames.next().await {
        let Some((request_id, body)) = decode(frame.freeze()) else { return };
        let sender = pending.lock().get(&request_id).cloned();
        // Answers to abandoned requests are dropped.
        let Some(sender) = sender else { continue };
        // The window limits the chunks in flight, so a full channel means that the peer violates it.
        if sender.try_send(body).is_err() {
            pending.lock().remove(&request_id);
        }
    }
}

pub(crate) fn decode(frame: Bytes) -> Option<(u64, Body)> {
    match Envelope::decode(frame) {
        Ok(Envelope { request_id, body: Some(body) }) => Some((request_id, body)),
        Ok(_) => None,
        Err(error) => {
            log::warn!(error = error.to_string().as_str(); "received a malformed frame from another daemon");
            None
        }
    }
}

/// No further frames are encoded into a batch once it has this size.
const WRITE_BATCH_BYTES: usize = 256 * 1024;

/// Writes queued frames until the queue or the socket closes, in batches if several are waiting.
pub(crate) async fn write_frames<W>(mut writer: W, queue: flume::Receiver<Envelope>)
where
    W: tokio::io::AsyncWrite + Unpin,
{
    let mut buffer = BytesMut::new();
    while let Ok(envelope) = queue.recv_async().await {
        encode(&envelope, &mut buffer);
        while buffer.len() < WRITE_BATCH_BYTES {
            let Ok(envelope) = queue.try_recv() else { break };
            encode(&envelope, &mut buffer);
        }
        if writer.write_all(&buffer).await.is_err() {
            return;
        }
        buffer.clear();
    }
}

fn encode(envelope: &Envelope, buffer: &mut BytesMut) {
    let length = envelope.encoded_len();
    buffer.reserve(length + size_of::<u32>());
    buffer.extend_from_slice(&(length as u32).to_be_bytes());
    // Encoding can't fail, since the buffer grows as needed.
    let _ = envelope.encode(buffer);
}
