//! Loads the store's content when a daemon starts.
//!
//! In a small fleet each daemon reads the whole store. In a large one, hundreds of daemons that start at once would
//! congest their links with it, so that servers and peers seem unreachable. There only the first daemon of each
//! availability zone reads the store; the others receive a compressed snapshot from their upstream. See
//! `docs/PLATFORM.md`, "Following the store".

use std::time::{Duration, Instant};

use crate::{
    control::{
        adapter::Adapter,
        runner::Control,
        state::MemberValue,
        tree::{TreeMember, select_upstream},
    },
    metadata::{Consistency, MetadataError, MetadataStore, ReadTimeouts, Revision},
};

/// Members up to which each daemon reads the whole store itself when it starts, which takes one step instead of one
/// per level of the tree. Reads of some hundred kilobytes by so many are about a second of a link between regions.
const MAX_DIRECT_READERS: usize = 90;

/// Reads of the member list by a daemon that starts together with others, and the pause between them; in all as long as
/// it takes to become a member where all do so at once.
const MAX_LIST_READS: usize = 4;
const LIST_READ_PAUSE: Duration = Duration::from_millis(200);
/// A list that has grown by more than this factor since the last read belongs to a fleet that is just starting.
const GROWTH_FACTOR: usize = 2;

/// The greatest data age at which a daemon begins to serve callers: what a serving daemon lets its data reach before it
/// reads the store itself.
const MAX_INITIAL_AGE: Duration = Duration::from_secs(2);
/// Rounds after which every daemon of a zone reads the store itself.
const MAX_ROUNDS: u128 = 16;

/// How much of the store's content was received from another daemon.
enum LoadProgress {
    Nothing,
    /// Everything, but it is not known to be recent.
    Stale,
    /// Everything, and it is recent.
    Complete,
}

/// A member in the list read at the start.
struct ListedMember {
    host: String,
    value: MemberValue,
}

impl<P: Adapter> Control<P> {
    /// Loads the store's content; the first time from another daemon if the fleet is large.
    pub(crate) async fn load_store(&self) -> Result<(), MetadataError> {
        let is_first = !self.state.borrow().store_loaded;
        if is_first && self.load_from_peer().await? {
            return Ok(());
        }
        self.load_from_store().await
    }

    /// Loads the store's content from another daemon of the zone; `false` if the fleet is small or this daemon should
    /// read the store itself.
    ///
    /// If the member list can't be read, the whole store is not read either, because that is far larger.
    async fn load_from_peer(&self) -> Result<bool, MetadataError> {
        let members = self.list_stable_members().await?;
        if members.len() <= MAX_DIRECT_READERS {
            return Ok(false);
        }
        let started_at = Instant::now();
        loop {
            let Some(upstream) = self.initial_upstream(&members, started_at.elapsed()) else {
                return Ok(false);
            };
            self.follow_upstream(upstream).await;
            match self.load_progress() {
                LoadProgress::Nothing => {}
                LoadProgress::Stale => self.read_own_key().await,
                LoadProgress::Complete => {
                    self.on_store_loaded();
                    log::info!(
                        event = "heard_everything", peer = upstream.to_string().as_str(),
                        took_ms = started_at.elapsed().as_millis() as u64;
                        "loaded the store's content from another daemon"
                    );
                    return Ok(true);
                }
            }
        }
    }

    /// Reads this daemon's own key, which shows whether the content is complete. The upstream's store reads arrive
    /// too late for that if links are congested.
    async fn read_own_key(&self) {
        if let Err(error) = self.renew_primary_leases(Instant::now()).await {
            log::info!(
                event = "store_unreachable", call = "refresh", why = error.to_string().as_str();
                "the store did not answer"
            );
        }
    }

    /// Whether the fleet is so large that reads of the whole store by all members would congest links.
    pub(crate) fn is_fleet_large(&self) -> bool {
        self.state.borrow().members.len() > MAX_DIRECT_READERS
    }

    /// Marks the configuration, the servers and the daemon keys as loaded.
    pub(crate) fn on_store_loaded(&self) {
        let mut state = self.state.borrow_mut();
        state.store_loaded = true;
        // Server entries may have expired during an outage of the store; the servers can renew them now.
        state.servers.restart_grace(Instant::now());
        drop(state);
        self.initial_load_done.notify_one();
        self.publish();
    }

    /// Reads the member list. A daemon that was a member before accepts a list that is some seconds old, which is
    /// cheap to read. A new daemon may have been started together with all the others, so it waits until the list
    /// stops growing.
    async fn list_stable_members(&self) -> Result<Vec<ListedMember>, MetadataError> {
        let mut members = self.list_members(Consistency::Stale).await?;
        let is_listed = members.iter().any(|member| *member.host == *self.settings.host);
        if is_listed || members.len() > MAX_DIRECT_READERS {
            return Ok(members);
        }
        for _ in 0..MAX_LIST_READS {
            let previous_count = members.len();
            members = self.list_members(Consistency::Linearizable).await?;
            if members.len() > MAX_DIRECT_READERS
                || members.len() <= GROWTH_FACTOR * previous_count.max(1)
            {
                break;
            }
            tokio::time::sleep(LIST_READ_PAUSE).await;
        }
        Ok(members)
    }

    async fn list_members(
        &self,
        consistency: Consistency,
    ) -> Result<Vec<ListedMember>, MetadataError> {
        let prefix = self.key("members/");
        let timeouts =
            ReadTimeouts { answer: self.read_timeout(), complete: self.whole_read_timeout() };
        let read = self.store.range(&prefix, consistency, timeouts).await;
        self.count_call("range", &read);
        let listed = read?.items.into_iter().filter_map(|item| {
            let host = item.key.strip_prefix(&prefix)?.to_owned();
            // A member value of a later version can't be decoded; such a member is not contacted.
            let value = serde_json::from_slice(&item.value).ok()?;
            Some(ListedMember { host, value })
        });
        Ok(listed.collect())
    }

    /// Returns the daemon of this zone to load from; `None` if this daemon should read the store itself.
    fn initial_upstream(
        &self,
        members: &[ListedMember],
        waited: Duration,
    ) -> Option<std::net::SocketAddr> {
        let now = Instant::now();
        let own_zone = &*self.settings.availability_zone;
        let in_zone = members.iter().filter(|member| member.value.availability_zone == own_zone);
        let candidates = in_zone.filter_map(|ListedMember { host, value }| {
            let address =
                value.peer_address.filter(|it| !self.requester.is_unresponsive(*it, now))?;
            Some(TreeMember { host, availability_zone: own_zone, address })
        });
        let candidates: Vec<TreeMember<'_>> =
            candidates.skip(skipped_peers(waited, self.whole_read_timeout())).collect();
        select_upstream(&candidates, &self.settings.host, own_zone)
    }

    fn load_progress(&self) -> LoadProgress {
        let state = self.state.borrow();
        if state.mirror.applied_revision() == Revision::ABSENT {
            return LoadProgress::Nothing;
        }
        match state.freshness.age(Instant::now()) {
            Some(age) if age < MAX_INITIAL_AGE => LoadProgress::Complete,
            Some(_) | None => LoadProgress::Stale,
        }
    }
}

/// Returns how many of the zone's first daemons a waiting daemon skips, in case none of them reaches the store. Every
/// `read_duration` the number of daemons that read the store roughly doubles, so that a slow start does not make a
/// whole zone read at once.
pub fn skipped_peers(waited: Duration, read_duration: Duration) -> usize {
    let rounds = waited.as_millis() / read_duration.as_millis().max(1);
    (1_usize << rounds.min(MAX_ROUNDS)) - 1
}
