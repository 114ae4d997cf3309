//! The daemons as one daemon sees them.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use model::Name;
use xxhash_rust::xxh3::xxh3_64;

/// A daemon as the platform's host list names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The host's name.
    pub host: Name,
    /// A hash of the name, made once, for rendezvous hashing and for ordering.
    pub key: u64,
    /// The region; empty where the host list names none.
    pub region: Name,
    /// The availability zone.
    pub availability_zone: Name,
    /// Where other daemons connect.
    pub peer_address: SocketAddr,
    /// What the list says of it.
    pub state: MemberState,
}

impl Member {
    /// Makes a member, deriving its key from the host's name.
    pub fn new(
        host: Name,
        availability_zone: Name,
        peer_address: SocketAddr,
        state: MemberState,
    ) -> Member {
        let key = xxh3_64(host.as_bytes());
        let region = Name::from("");
        Member { host, key, region, availability_zone, peer_address, state }
    }

    /// Sets the region.
    pub fn in_region(mut self, region: Name) -> Member {
        self.region = region;
        self
    }
}

/// What is known of a daemon's standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// It takes work.
    Live,
    /// It is being taken out, or has said itself that it stops; it gets no new work.
    Leaving,
}

/// A suspicion that nothing renews is forgotten after this long, so that the daemon is tried again.
const SUSPICION_LASTS: Duration = Duration::from_secs(5);

/// The host list joined with what this daemon has seen itself, since the list lags.
#[derive(Clone, Debug, Default)]
pub struct MemberList {
    members: Arc<Vec<Member>>,
    /// Daemons that did not answer, by key, with the time of the last failure.
    suspected: BTreeMap<u64, Instant>,
    /// Daemons that said themselves that they stop, by key.
    stopping: BTreeMap<u64, Instant>,
    version: u64,
}

impl MemberList {
    /// Takes over a newer host list; an older or equal one changes nothing.
    pub fn replace(&mut self, version: u64, mut members: Vec<Member>) -> bool {
        if version <= self.version && !self.members.is_empty() {
            return false;
        }
        members.sort_by_key(|member| member.key);
        self.version = version;
        self.members = Arc::new(members);
        true
    }

    /// Returns the version of the host list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Notes that a daemon did not answer.
    pub fn suspect(&mut self, key: u64, now: Instant) {
        self.suspected.insert(key, now);
    }

    /// Whether a daemon's own word would change anything that is noted of it.
    pub fn is_news(&self, key: u64, stopping: bool) -> bool {
        self.suspected.contains_key(&key) || self.stopping.contains_key(&key) != stopping
    }

    /// Notes that a daemon answered.
    pub fn clear(&mut self, key: u64) {
        self.suspected.remove(&key);
    }

    /// Notes that a daemon said that it stops.
    pub fn note_stopping(&mut self, key: u64, now: Instant) {
        self.stopping.insert(key, now);
    }

    /// Notes that a daemon said that it takes work, as after a restart under the same name.
    pub fn note_running(&mut self, key: u64) {
        self.stopping.remove(&key);
    }

    /// Returns every daemon of the list.
    pub fn all(&self) -> &[Member] {
        &self.members
    }

    /// Returns the daemons that may get new work.
    pub fn usable(&self, now: Instant) -> Vec<Member> {
        self.members.iter().filter(|member| self.may_get_work(member, now)).cloned().collect()
    }

    fn may_get_work(&self, member: &Member, now: Instant) -> bool {
        let suspected = self
            .suspected
            .get(&member.key)
            .is_some_and(|since| now.saturating_duration_since(*since) < SUSPICION_LASTS);
        member.state == MemberState::Live && !suspected && !self.stopping.contains_key(&member.key)
    }
}
