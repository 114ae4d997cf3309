//! How a daemon that starts learns what the store holds.
//!
//! In a small fleet it reads everything. In a large one that is a megabyte for each daemon: hundreds that start at once, as
//! after a loss of power, fill their links and those between regions for so long that servers and other daemons seem out of
//! reach, and what was given up is read again. There the first daemon of each availability zone reads the store, and the
//! others hear from those that they follow anyway, packed. See `docs/PLATFORM.md`, "Following the store".

use std::time::{Duration, Instant};

use crate::{
    control::{
        outside::Outside,
        runner::Control,
        state::MemberValue,
        tree::{TreeMember, daemon_to_follow},
    },
    metadata::{Consistency, MetadataError, MetadataStore, Revision},
};

/// Members up to which each daemon reads everything itself when it starts: that takes one step instead of the three of the
/// tree, and as many readings of some hundred kilobytes are a second of a link between regions.
const MOST_WHO_READ: usize = 90;
/// How long the list of members may take. It only helps to find somebody to ask, so it is not waited for long.
const MEMBERS_WITHIN: Duration = Duration::from_millis(300);

/// A member as the store shows it before this daemon knows anything.
struct Listed {
    host: String,
    value: MemberValue,
}

impl<P: Outside> Control<P> {
    /// Hears everything from another daemon of the zone, in a large fleet; `false` if it is to be read from the store.
    pub(crate) async fn hear_everything(&self) -> bool {
        let Ok(members) = self.list_members().await else { return false };
        if members.len() <= MOST_WHO_READ {
            return false;
        }
        let began = Instant::now();
        while began.elapsed() < self.whole_read_timeout() {
            let Some(reader) = self.first_reader(&members) else { return false };
            self.follow_reader(reader).await;
            if self.has_heard_everything() {
                self.note_everything_known();
                log::info!(
                    event = "heard_everything", peer = reader.to_string().as_str(),
                    took_ms = began.elapsed().as_millis() as u64;
                    "what the store holds was heard from another daemon"
                );
                return true;
            }
        }
        false
    }

    /// Notes that the configuration, the servers and the daemons' own keys are all known.
    pub(crate) fn note_everything_known(&self) {
        let mut state = self.state.borrow_mut();
        state.servers_known = true;
        // A long time without the store may have made entries lapse that servers renew now.
        state.servers.restart_grace(Instant::now());
        drop(state);
        self.has_read.notify_one();
        self.publish();
    }

    /// Reads who is a member; a list that is some seconds old will do, and costs little.
    async fn list_members(&self) -> Result<Vec<Listed>, MetadataError> {
        let prefix = self.key("members/");
        let patience = MEMBERS_WITHIN.into();
        let read = self.store.range(&prefix, Consistency::Stale, patience).await;
        self.count_call("range", &read);
        let listed = read?.items.into_iter().filter_map(|item| {
            let host = item.key.strip_prefix(&prefix)?.to_owned();
            // One that can't be read, as of a later version, is not asked for anything.
            let value = serde_json::from_slice(&item.value).ok()?;
            Some(Listed { host, value })
        });
        Ok(listed.collect())
    }

    /// Returns the daemon of this zone that is asked first; `None` for the first of the zone.
    fn first_reader(&self, members: &[Listed]) -> Option<std::net::SocketAddr> {
        let now = Instant::now();
        let own_zone = &*self.settings.availability_zone;
        let near = members.iter().filter(|member| member.value.availability_zone == own_zone);
        let askable = near.filter_map(|Listed { host, value }| {
            let address = value.peer_address.filter(|it| !self.asker.is_silent(*it, now))?;
            Some(TreeMember { host, availability_zone: own_zone, address })
        });
        let askable: Vec<TreeMember<'_>> = askable.collect();
        daemon_to_follow(&askable, &self.settings.host, own_zone)
    }

    /// Whether another daemon has told all of it, and that its reading of the store is young and shows this daemon.
    fn has_heard_everything(&self) -> bool {
        self.state.borrow().mirror.followed_to() > Revision::ABSENT && self.is_reading_shared()
    }
}
