//! How a daemon that starts learns what the store holds.
//!
//! In a small fleet it reads everything. In a large one that is a megabyte for each daemon: hundreds that start at once, as
//! after a loss of power, fill their links and those between regions for so long that servers and other daemons seem out of
//! reach, and what was given up is read again. There the first daemon of each availability zone reads the store, and the
//! others hear from those that they follow anyway, packed. See `docs/PLATFORM.md`, "Following the store".

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

/// Members up to which each daemon reads everything itself when it starts: that takes one step instead of the three of the
/// tree, and as many readings of some hundred kilobytes are a second of a link between regions.
const MOST_WHO_READ: usize = 90;

/// How often the list is read by a daemon that starts together with others, and the pause between: as long as joining takes
/// where all do so at once.
const MOST_LOOKS: usize = 4;
const LOOK_AGAIN_AFTER: Duration = Duration::from_millis(200);
/// A list that has grown by more than this factor since the last look shows a fleet that is just being started.
const GROWS_FROM: usize = 2;

/// How old the knowledge may be with which a daemon begins to serve: as old as whoever serves lets it become before it asks
/// the store itself.
const KNOWN_WITHIN: Duration = Duration::from_secs(2);
/// Rounds after which every daemon of any zone reads for itself.
const MOST_ROUNDS: u128 = 16;

/// What another daemon has told of what the store holds.
enum Heard {
    /// Nothing yet.
    Nothing,
    /// All of it, but not as of when.
    WithoutAge,
    /// All of it, as of a moment ago.
    Everything,
}

/// A member as the store shows it before this daemon knows anything.
struct Listed {
    host: String,
    value: MemberValue,
}

impl<P: Adapter> Control<P> {
    /// Learns everything that the store holds, the first time from another daemon where the fleet is large.
    pub(crate) async fn load_store(&self) -> Result<(), MetadataError> {
        let is_first = !self.state.borrow().servers_known;
        if is_first && self.load_from_peer().await? {
            return Ok(());
        }
        self.load_from_store().await
    }

    /// Hears everything from another daemon of the zone, in a large fleet; `false` if it is to be read from the store.
    ///
    /// Where the members can't be listed the whole is not read either: a link that is too full for the one is by far too
    /// full for the other.
    async fn load_from_peer(&self) -> Result<bool, MetadataError> {
        let members = self.list_settled_members().await?;
        if members.len() <= MOST_WHO_READ {
            return Ok(false);
        }
        let began = Instant::now();
        loop {
            let Some(reader) = self.first_reader(&members, began.elapsed()) else {
                return Ok(false);
            };
            self.follow_upstream(reader).await;
            match self.how_much_is_heard() {
                Heard::Nothing => {}
                Heard::WithoutAge => self.look_at_own_key().await,
                Heard::Everything => {
                    self.note_store_loaded();
                    log::info!(
                        event = "heard_everything", peer = reader.to_string().as_str(),
                        took_ms = began.elapsed().as_millis() as u64;
                        "what the store holds was heard from another daemon"
                    );
                    return Ok(true);
                }
            }
        }
    }

    /// Reads this daemon's own key, which shows whether everything up to now was heard: readings of whoever is followed
    /// are late where links are full, and are of no use then.
    async fn look_at_own_key(&self) {
        if let Err(error) = self.renew_primary_leases(Instant::now()).await {
            log::info!(
                event = "store_unreachable", call = "refresh", why = error.to_string().as_str();
                "the store did not answer"
            );
        }
    }

    /// Whether there are so many members that what each of them reads of the store may fill a link.
    pub(crate) fn is_fleet_large(&self) -> bool {
        self.state.borrow().members.len() > MOST_WHO_READ
    }

    /// Notes that the configuration, the servers and the daemons' own keys are all known.
    pub(crate) fn note_store_loaded(&self) {
        let mut state = self.state.borrow_mut();
        state.servers_known = true;
        // A long time without the store may have made entries lapse that servers renew now.
        state.servers.restart_grace(Instant::now());
        drop(state);
        self.initial_load_done.notify_one();
        self.publish();
    }

    /// Reads who is a member. For a daemon that was one before, a list that is some seconds old will do, and costs little.
    /// One that is new may have been started together with all others, of whom that list shows none; it waits until no
    /// more come.
    async fn list_settled_members(&self) -> Result<Vec<Listed>, MetadataError> {
        let mut members = self.list_members(Consistency::Stale).await?;
        let is_listed = members.iter().any(|member| *member.host == *self.settings.host);
        if is_listed || members.len() > MOST_WHO_READ {
            return Ok(members);
        }
        for _ in 0..MOST_LOOKS {
            let before = members.len();
            members = self.list_members(Consistency::Linearizable).await?;
            if members.len() > MOST_WHO_READ || members.len() <= GROWS_FROM * before.max(1) {
                break;
            }
            tokio::time::sleep(LOOK_AGAIN_AFTER).await;
        }
        Ok(members)
    }

    async fn list_members(&self, consistency: Consistency) -> Result<Vec<Listed>, MetadataError> {
        let prefix = self.key("members/");
        let timeouts =
            ReadTimeouts { answer: self.read_timeout(), whole: self.whole_read_timeout() };
        let read = self.store.range(&prefix, consistency, timeouts).await;
        self.count_call("range", &read);
        let listed = read?.items.into_iter().filter_map(|item| {
            let host = item.key.strip_prefix(&prefix)?.to_owned();
            // One that can't be read, as of a later version, is not asked for anything.
            let value = serde_json::from_slice(&item.value).ok()?;
            Some(Listed { host, value })
        });
        Ok(listed.collect())
    }

    /// Returns the daemon of this zone that is asked first; `None` for those of the zone that read the store.
    fn first_reader(&self, members: &[Listed], waited: Duration) -> Option<std::net::SocketAddr> {
        let now = Instant::now();
        let own_zone = &*self.settings.availability_zone;
        let near = members.iter().filter(|member| member.value.availability_zone == own_zone);
        let askable = near.filter_map(|Listed { host, value }| {
            let address = value.peer_address.filter(|it| !self.requester.is_silent(*it, now))?;
            Some(TreeMember { host, availability_zone: own_zone, address })
        });
        let askable: Vec<TreeMember<'_>> =
            askable.skip(skipped_peers(waited, self.whole_read_timeout())).collect();
        select_upstream(&askable, &self.settings.host, own_zone)
    }

    fn how_much_is_heard(&self) -> Heard {
        let state = self.state.borrow();
        if state.mirror.applied_revision() == Revision::ABSENT {
            return Heard::Nothing;
        }
        match state.freshness.age(Instant::now()) {
            Some(age) if age < KNOWN_WITHIN => Heard::Everything,
            Some(_) | None => Heard::WithoutAge,
        }
    }
}

/// Returns how many of a zone's first daemons are passed over by one that has waited so long for them: none of them may
/// reach the store. Each time that a reading of everything may take lets about as many more read it as have tried, so
/// that a slow start does not have all of a zone read at once, which would make it slower for each of them.
pub fn skipped_peers(waited: Duration, reading_takes: Duration) -> usize {
    let rounds = waited.as_millis() / reading_takes.as_millis().max(1);
    (1_usize << rounds.min(MOST_ROUNDS)) - 1
}
