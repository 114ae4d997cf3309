//! Readings of the leadership records that daemons of an availability zone share.
//!
//! One daemon of each zone reads the store; the others ask it how old its last reading is. The asker
//! counts the age from when it *asked*, so a late answer only makes the right shorter. An answer
//! counts only if the reader saw the asker's member key, and only for records that the asker knows at
//! the same revision. Nothing is passed on: only a reading of one's own is told. See
//! `docs/PLATFORM.md`, "Who leads".

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use model::Name;
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::metadata::Revision;

/// How long another daemon may take to answer; the store is asked instead after it.
const ANSWER_WITHIN: Duration = Duration::from_millis(120);
/// How long a daemon that did not answer is not asked.
const SILENT_FOR: Duration = Duration::from_secs(3);
/// The largest frame: a record's name and revision for each service of a large installation.
const LONGEST_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// How old is your last reading?
#[derive(Clone, PartialEq, Message)]
pub struct ReadingRequest {
    /// The asking daemon's host.
    #[prost(string, tag = "1")]
    pub host: String,
}

/// The last reading.
#[derive(Clone, PartialEq, Message)]
pub struct ReadingAnswer {
    /// Whether there is one.
    #[prost(bool, tag = "1")]
    pub is_known: bool,
    /// How long ago it was asked for, in milliseconds, as the answer is sent.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Whether it showed the asker's member key.
    #[prost(bool, tag = "3")]
    pub shows_asker: bool,
    /// The leadership records that it showed.
    #[prost(message, repeated, tag = "4")]
    pub records: Vec<RecordRevision>,
}

/// A leadership record by its revision.
#[derive(Clone, PartialEq, Message)]
pub struct RecordRevision {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The revision.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// A reading of the store by this daemon itself.
#[derive(Clone, Debug)]
pub struct OwnReading {
    /// When it was asked for.
    pub asked_at: Instant,
    /// The members that it showed.
    pub members: Vec<String>,
    /// The leadership records, by service.
    pub records: HashMap<Name, Revision>,
}

impl OwnReading {
    /// Returns what an asker is told.
    pub fn answer_to(&self, host: &str, now: Instant) -> ReadingAnswer {
        let age = now.saturating_duration_since(self.asked_at);
        let records = self.records.iter().map(|(service, revision)| RecordRevision {
            service: service.to_string(),
            revision: *revision,
        });
        ReadingAnswer {
            is_known: true,
            // Rounded up, so that the reading never seems younger than it is.
            age_ms: age.as_millis() as u64 + 1,
            shows_asker: self.members.iter().any(|member| member == host),
            records: records.collect(),
        }
    }
}

/// What an answer is worth to the asker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SharedReading {
    /// It renews the rights to these services, counted from this moment.
    Renews {
        /// The latest moment at which the reading can have been asked for.
        asked_at: Instant,
        /// Services whose record the asker knows as the reader saw it.
        services: Vec<Name>,
    },
    /// The store has to be read.
    Useless,
}

/// Judges an answer to a question that was sent at `sent_at`; `known` are the asker's own records.
pub fn judge_answer(
    answer: &ReadingAnswer,
    sent_at: Instant,
    useful_for: Duration,
    known: &HashMap<Name, Revision>,
) -> SharedReading {
    let age = Duration::from_millis(answer.age_ms);
    if !answer.is_known || !answer.shows_asker || age > useful_for {
        return SharedReading::Useless;
    }
    let mut services = Vec::new();
    for record in &answer.records {
        match known.get(record.service.as_str()) {
            Some(revision) if *revision == record.revision => {
                services.push(Name::from(record.service.as_str()));
            }
            // The asker has heard of a later change; the reading says nothing of it.
            Some(revision) if *revision > record.revision => {}
            // The asker is behind.
            Some(_) | None => return SharedReading::Useless,
        }
    }
    match sent_at.checked_sub(age) {
        Some(asked_at) => SharedReading::Renews { asked_at, services },
        None => SharedReading::Useless,
    }
}

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

fn framed(stream: TcpStream) -> Frames {
    LengthDelimitedCodec::builder().max_frame_length(LONGEST_FRAME_BYTES).new_framed(stream)
}

/// Answers askers for as long as the daemon runs.
pub async fn answer_askers(
    listener: TcpListener,
    answer: impl Fn(&str) -> ReadingAnswer + Clone + 'static,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Without it answers only come a little later.
                let _ = stream.set_nodelay(true);
                let answer = answer.clone();
                tokio::task::spawn_local(async move {
                    let mut frames = framed(stream);
                    while let Some(Ok(frame)) = frames.next().await {
                        let Ok(request) = ReadingRequest::decode(frame) else { return };
                        let answer = Bytes::from(answer(&request.host).encode_to_vec());
                        if frames.send(answer).await.is_err() {
                            return;
                        }
                    }
                });
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

/// Asks other daemons, over connections that are kept.
#[derive(Clone, Default)]
pub struct Asker {
    open: Rc<RefCell<HashMap<SocketAddr, Frames>>>,
    silent_until: Rc<RefCell<HashMap<SocketAddr, Instant>>>,
}

impl Asker {
    /// Whether a daemon did not answer a moment ago.
    pub fn is_silent(&self, address: SocketAddr, now: Instant) -> bool {
        self.silent_until.borrow().get(&address).is_some_and(|until| now < *until)
    }

    /// Asks a daemon for its last reading; `None` if it does not answer in time.
    pub async fn ask(&self, address: SocketAddr, host: &str) -> Option<ReadingAnswer> {
        let asked = tokio::time::timeout(ANSWER_WITHIN, self.exchange(address, host)).await;
        match asked {
            Ok(Some(answer)) => Some(answer),
            Ok(None) | Err(_) => {
                let until = Instant::now() + SILENT_FOR;
                self.silent_until.borrow_mut().insert(address, until);
                None
            }
        }
    }

    async fn exchange(&self, address: SocketAddr, host: &str) -> Option<ReadingAnswer> {
        let open = self.open.borrow_mut().remove(&address);
        let mut frames = match open {
            Some(frames) => frames,
            None => {
                let stream = TcpStream::connect(address).await.ok()?;
                // Without it the question only goes out a little later.
                let _ = stream.set_nodelay(true);
                framed(stream)
            }
        };
        let request = ReadingRequest { host: host.to_owned() };
        frames.send(Bytes::from(request.encode_to_vec())).await.ok()?;
        let frame: BytesMut = frames.next().await?.ok()?;
        let answer = ReadingAnswer::decode(frame).ok()?;
        self.open.borrow_mut().insert(address, frames);
        Some(answer)
    }
}
