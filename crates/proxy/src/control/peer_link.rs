//! The connections over which daemons ask each other; what passes stands in [`super::peers`].

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
    links::bound_silence,
};

/// How long another daemon may take to answer beyond the time that the question may wait there, and to take a
/// connection: a round trip within a zone and the scheduling of a busy host. Whoever looks for somebody to follow
/// among daemons that are cut off finds twenty-five of them silent before the first is asked again.
const ANSWER_WITHIN: Duration = Duration::from_millis(120);
/// The same for a daemon that starts, whose answer waits on the way behind all that others of the same zone are sent as
/// they start with it.
const FIRST_ANSWER_WITHIN: Duration = Duration::from_secs(2);
/// How long the changes behind an answer may take: a configuration of a megabyte, packed to a tenth, for
/// eight daemons over a link of a megabyte a second, and others' traffic beside it.
const CHANGES_WITHIN: Duration = Duration::from_secs(5);
/// TunnelPeers that a daemon gives at a time, of two descriptors each: a sixteenth of the 4,096 that it may open by
/// default, so that a partition which leaves few daemons with a path does not take the descriptors for callers.
const MAX_TUNNELS: usize = 128;
/// How long a daemon that did not answer is not asked.
const SILENT_FOR: Duration = Duration::from_secs(3);
/// The largest frame: everything that the store holds for a large installation.
const LONGEST_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// An answer, with the changes that follow it.
pub(crate) type SplitAnswer = (FollowAnswer, Option<ChangesMessage>);

pub(crate) type Frames = Framed<TcpStream, LengthDelimitedCodec>;

pub(crate) fn framed(stream: TcpStream) -> Frames {
    bound_silence(&stream);
    // Without it messages only go out a little later.
    let _ = stream.set_nodelay(true);
    LengthDelimitedCodec::builder().max_frame_length(LONGEST_FRAME_BYTES).new_framed(stream)
}

/// A link of another daemon on its way from the thread that accepted it to the one that serves.
#[derive(Debug)]
pub struct AcceptedLink {
    stream: std::net::TcpStream,
    /// What was read already.
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

/// Answers askers for as long as the daemon runs.
pub(crate) async fn answer_askers(
    listener: TcpListener,
    answer: impl AsyncFn(FollowRequest) -> SplitAnswer + Clone + 'static,
    find_server: impl Fn(&TunnelRequest) -> Option<SocketAddr> + Clone + 'static,
    hand_over: impl Fn(AcceptedLink) + Clone + 'static,
) {
    let tunnels = Arc::new(Semaphore::new(MAX_TUNNELS));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (answer, find_server) = (answer.clone(), find_server.clone());
                let hand_over = hand_over.clone();
                let asker = answer_asker(stream, answer, find_server, hand_over, tunnels.clone());
                tokio::task::spawn_local(asker);
            }
            Err(error) => {
                log::warn!(
                    event = "accept_failed", why = error.to_string().as_str();
                    "another daemon could not be accepted"
                );
                tokio::time::sleep(ANSWER_WITHIN).await;
            }
        }
    }
}

/// Answers one asker's questions in turn, until it leaves.
async fn answer_asker(
    stream: TcpStream,
    answer: impl AsyncFn(FollowRequest) -> SplitAnswer,
    find_server: impl Fn(&TunnelRequest) -> Option<SocketAddr>,
    hand_over: impl Fn(AcceptedLink),
    tunnels: Arc<Semaphore>,
) {
    let mut frames = framed(stream);
    while let Some(Ok(frame)) = frames.next().await {
        let request = match PeerRequest::decode(frame).ok().and_then(|request| request.question) {
            Some(PeerQuestion::Follow(request)) => request,
            Some(PeerQuestion::Tunnel(request)) => {
                // Without a place for it the asker hears that the server was not reached.
                let place = tunnels.try_acquire().ok();
                let server = place.as_ref().and_then(|_| find_server(&request));
                return serve_tunnel(frames, server).await;
            }
            Some(PeerQuestion::Relay(_)) => match AcceptedLink::new(frames) {
                Ok(link) => return hand_over(link),
                Err(error) => {
                    log::warn!(
                        event = "relay_failed", why = error.to_string().as_str();
                        "another daemon's link could not be handed over"
                    );
                    return;
                }
            },
            None => {
                log::warn!(event = "peer_garbled"; "another daemon's question can't be understood");
                return;
            }
        };
        let (answer, changes) = answer(request).await;
        if send_all(&mut frames, &answer, changes.as_ref()).await.is_err() {
            return;
        }
    }
}

/// Sends an answer and the changes behind it, in one write where they are small.
async fn send_all(
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

/// Asks other daemons, over connections that are kept.
#[derive(Clone, Default)]
pub(crate) struct PeerRequester {
    open: Rc<RefCell<HashMap<SocketAddr, Frames>>>,
    silent_until: Rc<RefCell<HashMap<SocketAddr, Instant>>>,
    /// Since when changes behind an answer are on their way.
    receives_since: Rc<Cell<Option<Instant>>>,
}

impl PeerRequester {
    /// Whether a daemon did not answer a moment ago.
    pub(crate) fn is_silent(&self, address: SocketAddr, now: Instant) -> bool {
        self.silent_until.borrow().get(&address).is_some_and(|until| now < *until)
    }

    /// Returns for how long changes have been on their way from another daemon, if they are.
    pub(crate) fn receives_for(&self, now: Instant) -> Option<Duration> {
        self.receives_since.get().map(|since| now.saturating_duration_since(since))
    }

    /// Passes a daemon over for a while.
    pub(crate) fn pass_over(&self, address: SocketAddr, now: Instant) {
        self.silent_until.borrow_mut().insert(address, now + SILENT_FOR);
    }

    /// Asks a daemon; `None` if it does not answer soon after the time that the question may wait, or its
    /// changes do not come. One that does not is passed over for a while.
    pub(crate) async fn ask(
        &self,
        address: SocketAddr,
        request: &FollowRequest,
        is_starting: bool,
    ) -> Option<FollowAnswer> {
        let answer = self.exchange(address, request, is_starting).await;
        if answer.is_none() {
            self.pass_over(address, Instant::now());
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
            FIRST_ANSWER_WITHIN
        } else {
            Duration::from_millis(request.wait_ms) + ANSWER_WITHIN
        };
        let asked = tokio::time::timeout(within, self.ask_first(address, request)).await;
        let (mut frames, mut answer) = asked.ok()??;
        if answer.changes_follow {
            self.receives_since.set(Some(Instant::now()));
            let received = tokio::time::timeout(CHANGES_WITHIN, frames.next()).await;
            self.receives_since.set(None);
            let frame = received.ok()??.ok()?;
            let changes = ChangesMessage::decode(frame).map_err(std::io::Error::other);
            match changes.and_then(decompress_all) {
                Ok(changes) => answer.changes = changes,
                Err(error) => {
                    log::warn!(
                        event = "peer_garbled", peer = address.to_string().as_str(),
                        why = error.to_string().as_str();
                        "another daemon's answer can't be understood"
                    );
                    return None;
                }
            }
        }
        self.open.borrow_mut().insert(address, frames);
        Some(answer)
    }

    /// Sends a question and reads the answer without its changes.
    async fn ask_first(
        &self,
        address: SocketAddr,
        request: &FollowRequest,
    ) -> Option<(Frames, FollowAnswer)> {
        let open = self.open.borrow_mut().remove(&address);
        let mut frames = match open {
            Some(frames) => frames,
            None => {
                let connected = tokio::time::timeout(ANSWER_WITHIN, TcpStream::connect(address));
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
