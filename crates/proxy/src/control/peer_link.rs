//! Connections between daemons; [`super::peers`] defines the messages.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::{
    control::{
        compression::decompress_all,
        peers::{
            ChangesMessage, FollowAnswer, FollowRequest, PeerQuestion, PeerRequest, TunnelRequest,
        },
        tunnel::serve_tunnel,
    },
    tcp_options::detect_dead_peer,
};

/// Time for a peer to accept a connection, and to answer beyond the time for which it may hold the request: a round
/// trip within a zone plus scheduling delays of a busy host.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);
/// [`ANSWER_TIMEOUT`] for a daemon that is starting, since other daemons that start with it request answers as well.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time to receive the changes after an answer: eight followers may share a link of 1 MB/s with other traffic.
const CHANGES_TIMEOUT: Duration = Duration::from_secs(5);
/// Open tunnels per daemon, with two file descriptors each. The bound keeps descriptors free for callers when a
/// partition leaves only a few daemons with a path to a server.
const MAX_TUNNELS: usize = 128;
/// How long a daemon that did not answer is not contacted.
const UNRESPONSIVE_PEER_BACKOFF: Duration = Duration::from_secs(3);
/// The largest frame; it has to fit the store's whole content in a large installation.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// An answer and the changes that follow it.
pub(crate) type SplitAnswer = (FollowAnswer, Option<ChangesMessage>);

pub(crate) type Frames = Framed<TcpStream, LengthDelimitedCodec>;

pub(crate) fn framed(stream: TcpStream) -> Frames {
    detect_dead_peer(&stream);
    // If TCP_NODELAY can't be set, messages are only sent slightly later.
    let _ = stream.set_nodelay(true);
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream)
}

/// A connection of another daemon, to be passed from the accepting thread to the serving thread.
#[derive(Debug)]
pub struct AcceptedLink {
    stream: std::net::TcpStream,
    /// Bytes that were already read from the connection.
    read: BytesMut,
}

impl AcceptedLink {
    fn new(frames: Frames) -> std::io::Result<AcceptedLink> {
        let parts = frames.into_parts();
        Ok(AcceptedLink { stream: parts.io.into_std()?, read: parts.read_buf })
    }

    pub(crate) fn into_frames(self) -> std::io::Result<Frames> {
        let mut parts = framed(TcpStream::from_std(self.stream)?).into_parts();
        parts.read_buf = self.read;
        Ok(Framed::from_parts(parts))
    }
}

/// Accepts connections of other daemons and answers their requests until the daemon stops.
pub(crate) async fn serve_peers(
    listener: TcpListener,
    answer: impl AsyncFn(FollowRequest) -> SplitAnswer + Clone + 'static,
    find_server: impl Fn(&TunnelRequest) -> Option<SocketAddr> + Clone + 'static,
    pass_link: impl Fn(AcceptedLink) + Clone + 'static,
) {
    let tunnels = Arc::new(Semaphore::new(MAX_TUNNELS));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (answer, find_server) = (answer.clone(), find_server.clone());
                let pass_link = pass_link.clone();
                let peer = serve_peer(stream, answer, find_server, pass_link, tunnels.clone());
                tokio::task::spawn_local(peer);
            }
            Err(error) => {
                log::warn!(
                    event = "accept_failed", why = error.to_string().as_str();
                    "a connection of another daemon could not be accepted"
                );
                tokio::time::sleep(ANSWER_TIMEOUT).await;
            }
        }
    }
}

/// Answers the requests on one connection one after the other, until the peer closes the connection.
async fn serve_peer(
    stream: TcpStream,
    answer: impl AsyncFn(FollowRequest) -> SplitAnswer,
    find_server: impl Fn(&TunnelRequest) -> Option<SocketAddr>,
    pass_link: impl Fn(AcceptedLink),
    tunnels: Arc<Semaphore>,
) {
    let mut frames = framed(stream);
    while let Some(Ok(frame)) = frames.next().await {
        let request = match PeerRequest::decode(frame).ok().and_then(|request| request.question) {
            Some(PeerQuestion::Follow(request)) => request,
            Some(PeerQuestion::Tunnel(request)) => {
                // At the limit the peer is told that the server was not reached.
                let permit = tunnels.try_acquire().ok();
                let server = permit.as_ref().and_then(|_| find_server(&request));
                return serve_tunnel(frames, server).await;
            }
            Some(PeerQuestion::Relay(_)) => match AcceptedLink::new(frames) {
                Ok(link) => return pass_link(link),
                Err(error) => {
                    log::warn!(
                        event = "relay_failed", why = error.to_string().as_str();
                    "the connection of another daemon could not be passed to the serving thread"
                    );
                    return;
                }
            },
            None => {
                log::warn!(event = "peer_garbled"; "the request of another daemon can't be decoded");
                return;
            }
        };
        let (answer, changes) = answer(request).await;
        if send_answer(&mut frames, &answer, changes.as_ref()).await.is_err() {
            return;
        }
    }
}

/// Sends an answer and the changes after it, in one write if they are small.
async fn send_answer(
    frames: &mut Frames,
    answer: &FollowAnswer,
    changes: Option<&ChangesMessage>,
) -> std::io::Result<()> {
    let answer = Bytes::from(answer.encode_to_vec());
    match changes {
        Some(changes) => {
            frames.feed(answer).await?;
            frames.send(Bytes::from(changes.encode_to_vec())).await
        }
        None => frames.send(answer).await,
    }
}

/// Sends requests to other daemons and keeps the connections open.
#[derive(Clone, Default)]
pub(crate) struct PeerRequester {
    open: Rc<RefCell<HashMap<SocketAddr, Frames>>>,
    unresponsive_until: Rc<RefCell<HashMap<SocketAddr, Instant>>>,
    /// When the changes of an answer began to arrive, while they are being received.
    receiving_since: Rc<Cell<Option<Instant>>>,
}

impl PeerRequester {
    /// Whether the daemon failed to answer within the last [`UNRESPONSIVE_PEER_BACKOFF`].
    pub(crate) fn is_unresponsive(&self, address: SocketAddr, now: Instant) -> bool {
        self.unresponsive_until.borrow().get(&address).is_some_and(|until| now < *until)
    }

    /// Returns for how long changes have been arriving from a peer; `None` if none are.
    pub(crate) fn receiving_for(&self, now: Instant) -> Option<Duration> {
        self.receiving_since.get().map(|since| now.saturating_duration_since(since))
    }

    /// Excludes a daemon from requests for [`UNRESPONSIVE_PEER_BACKOFF`].
    pub(crate) fn exclude(&self, address: SocketAddr, now: Instant) {
        self.unresponsive_until.borrow_mut().insert(address, now + UNRESPONSIVE_PEER_BACKOFF);
    }

    /// Sends a request to a daemon. Returns `None` and excludes the daemon for a while if the answer or its changes
    /// do not arrive in time.
    pub(crate) async fn request(
        &self,
        address: SocketAddr,
        request: &FollowRequest,
        is_starting: bool,
    ) -> Option<FollowAnswer> {
        let answer = self.exchange(address, request, is_starting).await;
        if answer.is_none() {
            self.exclude(address, Instant::now());
        }
        answer
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: &FollowRequest,
        is_starting: bool,
    ) -> Option<FollowAnswer> {
        let within = if is_starting {
            FIRST_ANSWER_TIMEOUT
        } else {
            Duration::from_millis(request.wait_ms) + ANSWER_TIMEOUT
        };
        let exchanged = tokio::time::timeout(within, self.request_answer(address, request)).await;
        let (mut frames, mut answer) = exchanged.ok()??;
        if answer.changes_follow {
            self.receiving_since.set(Some(Instant::now()));
            let received = tokio::time::timeout(CHANGES_TIMEOUT, frames.next()).await;
            self.receiving_since.set(None);
            let frame = received.ok()??.ok()?;
            let changes = ChangesMessage::decode(frame).map_err(std::io::Error::other);
            match changes.and_then(decompress_all) {
                Ok(changes) => answer.changes = changes,
                Err(error) => {
                    log::warn!(
                        event = "peer_garbled", peer = address.to_string().as_str(),
                        why = error.to_string().as_str();
                        "the answer of another daemon can't be decoded"
                    );
                    return None;
                }
            }
        }
        self.open.borrow_mut().insert(address, frames);
        Some(answer)
    }

    /// Sends a request and reads the answer without its changes.
    async fn request_answer(
        &self,
        address: SocketAddr,
        request: &FollowRequest,
    ) -> Option<(Frames, FollowAnswer)> {
        let open = self.open.borrow_mut().remove(&address);
        let mut frames = match open {
            Some(frames) => frames,
            None => {
                let connected = tokio::time::timeout(ANSWER_TIMEOUT, TcpStream::connect(address));
                framed(connected.await.ok()?.ok()?)
            }
        };
        let request = PeerRequest { question: Some(PeerQuestion::Follow(request.clone())) };
        frames.send(Bytes::from(request.encode_to_vec())).await.ok()?;
        let frame: BytesMut = frames.next().await?.ok()?;
        let answer = FollowAnswer::decode(frame).ok()?;
        Some((frames, answer))
    }
}
