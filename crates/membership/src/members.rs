//! The list of daemons with the state that this daemon observes.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use model::Name;
use xxhash_rust::xxh3::xxh3_64;

/// A daemon in the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The host's name.
    pub host: Name,
    /// A hash of the name, for rendezvous hashing and ordering.
    pub key: u64,
    /// The region; empty where the host list names none.
    pub region: Name,
    /// The availability zone.
    pub availability_zone: Name,
    /// The address for connections of other daemons.
    pub peer_address: SocketAddr,
    /// The state in the host list.
    pub state: MemberState,
}

impl Member {
    /// Creates a member without a region; its key is derived from the host's name.
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

    /// Returns the member with its region set.
    pub fn in_region(mut self, region: Name) -> Member {
        self.region = region;
        self
    }
}

/// The state of a daemon in the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// The daemon accepts work.
    Live,
    /// The daemon is being taken out of service or is stopping; it gets no new work.
    Leaving,
}

/// A suspicion expires after this time without another failure, so that the daemon is tried again.
const SUSPICION_TTL: Duration = Duration::from_secs(5);

/// The host list combined with what this daemon observes itself, since the list is updated late.
#[derive(Clone, Debug, Default)]
pub struct MemberList {
    members: Arc<Vec<Member>>,
    /// Daemons that did not answer: the time of the last failure by key.
    suspected: BTreeMap<u64, Instant>,
    /// Daemons that reported that they are stopping: the time of the report by key.
    stopping: BTreeMap<u64, Instant>,
    version: u64,
}

impl MemberList {
    /// Replaces the host list with a newer version; returns whether it did.
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

    /// Records that a daemon did not answer.
    pub fn suspect(&mut self, key: u64, now: Instant) {
        self.suspected.insert(key, now);
    }

    /// Returns whether a daemon's report about itself would change its recorded state.
    pub fn would_change(&self, key: u64, stopping: bool) -> bool {
        self.suspected.contains_key(&key) || self.stopping.contains_key(&key) != stopping
    }

    /// Records that a daemon answered.
    pub fn clear_suspicion(&mut self, key: u64) {
        self.suspected.remove(&key);
    }

    /// Records a daemon's report that it is stopping.
    pub fn mark_stopping(&mut self, key: u64, now: Instant) {
        self.stopping.insert(key, now);
    }

    /// Records a daemon's report that it accepts work, for example after a restart under the same name.
    pub fn mark_running(&mut self, key: u64) {
        self.stopping.remove(&key);
    }

    /// Returns all daemons of the host list.
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
            .is_some_and(|since| now.saturating_duration_since(*since) < SUSPICION_TTL);
        member.state == MemberState::Live && !suspected && !self.stopping.contains_key(&member.key)
    }
}
