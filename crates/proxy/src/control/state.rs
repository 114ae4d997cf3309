//! What the tasks of the control thread share.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use model::Name;
use serde::{Deserialize, Serialize};

use crate::{
    catalog::Catalog,
    control::{
        change::VersionedRecord,
        control_view::{GroupLeader, Owners, TunnelPeers},
        following::UpstreamProgress,
        freshness::{Freshness, ObservedRevision},
        mirror::Mirror,
        peers::{Evidence, PrimarySample, StoreRead},
        probe_schedule::ProbeSchedule,
        record::LeadershipRecord,
        reported_suspicions::ReportedSuspicions,
        republish::ConfigurationVersions,
        servers::{ServerList, ServersByService},
        store_restore::StoreRestore,
        witnesses::WitnessCache,
    },
    metadata::{LeaseId, Revision},
};

/// What a member says of itself in the store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct MemberValue {
    pub(crate) availability_zone: String,
    /// Where other daemons ask it.
    pub(crate) peer_address: Option<SocketAddr>,
}

/// Another daemon, as it was last seen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SeenMember {
    pub(crate) seen_at: Instant,
    /// Whether it stands in this daemon's zone.
    pub(crate) is_near: bool,
}

/// The lease of this daemon, under which its keys stand.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldLease {
    pub(crate) id: LeaseId,
    /// Counted from when the last renewal was sent, so it ends here before it ends in the store.
    pub(crate) valid_until: Instant,
}

/// What the tasks of the control thread share.
#[derive(Default)]
pub(crate) struct State {
    pub(crate) mirror: Mirror,
    /// How old what the mirror holds may be.
    pub(crate) freshness: Freshness,
    pub(crate) servers: ServerList,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) servers_known: bool,
    pub(crate) leaders: Arc<HashMap<Name, GroupLeader>>,
    /// Every leadership record that can be read, by service.
    pub(crate) records: HashMap<Name, Arc<VersionedRecord>>,
    /// Every daemon that has a key, by host.
    pub(crate) members: BTreeMap<Name, Arc<MemberValue>>,
    /// Rises whenever those change.
    pub(crate) members_version: u64,
    /// When callers of this daemon last asked for a service.
    pub(crate) used_at: HashMap<Name, Instant>,
    pub(crate) lease: Option<HeldLease>,
    /// The lease of the duty to promote, while this daemon holds the duty or tries to.
    pub(crate) promoter_lease: Option<HeldLease>,
    /// When this daemon itself last asked for a reading of the store.
    pub(crate) own_read_at: Option<Instant>,
    /// The youngest reading of the store, by whomever.
    pub(crate) latest_read: Option<StoreRead>,
    /// How many there were.
    pub(crate) read_number: u64,
    /// Every change of the daemons' own keys up to here is known.
    pub(crate) own_applied_revision: Revision,
    /// The latest change that those who follow the store through this daemon should hear of at once.
    pub(crate) urgent_revision: Revision,
    /// Who leads by the word of a majority of the servers, for others.
    pub(crate) evidence: Vec<Evidence>,
    /// A number that rises with each change of that.
    pub(crate) evidence_number: u64,
    /// When the last shared reading that was of use here was asked for.
    pub(crate) shared_read_at: Option<Instant>,
    pub(crate) upstream_progress: UpstreamProgress,
    /// The latest sample of each primary's log that a daemon of the zone took.
    pub(crate) samples: Arc<HashMap<Name, PrimarySample>>,
    /// When another zone was last asked for such samples.
    pub(crate) samples_requested_at: Option<Instant>,
    /// When each other daemon was last known to be a member.
    pub(crate) members_seen: HashMap<Name, SeenMember>,
    /// Since when members have been watched, which bounds what may have been missed.
    pub(crate) watching_since: Option<Instant>,
    pub(crate) last_read_at: Option<Instant>,
    pub(crate) member_put_at: Option<Instant>,
    /// Since when the recorded primary of a service has had no entry.
    pub(crate) primary_missing_since: HashMap<Name, Instant>,
    /// When the replicas of a service were last found too far behind for the reads there are.
    pub(crate) replicas_behind_at: HashMap<Name, Instant>,
    /// When the holder of the duty was last told so by this daemon.
    pub(crate) behind_reported_at: HashMap<Name, Instant>,
    /// When this daemon last moved the lead of a service for that reason.
    pub(crate) leader_moved_at: HashMap<Name, Instant>,
    /// When it last looked whether a replica could take the lead over for that reason.
    pub(crate) leader_move_checked_at: HashMap<Name, Instant>,
    pub(crate) acknowledged: HashMap<Name, String>,
    /// Servers that this daemon can't reach, and when it last tried.
    pub(crate) suspected: HashMap<(Name, Name), Instant>,
    /// What the store was told of that.
    pub(crate) reported_suspicions: ReportedSuspicions,
    /// When servers were looked at that others suspect, and of which this daemon is a witness.
    pub(crate) probe_schedule: ProbeSchedule,
    pub(crate) witness_cache: WitnessCache,
    /// When the store was last found again after a time without it.
    pub(crate) store_recovered_at: Option<Instant>,
    pub(crate) published_servers: Arc<ServersByService>,
    pub(crate) published_tunnel_peers: Arc<TunnelPeers>,
    pub(crate) published_owners: Arc<Owners>,
    /// Every member that can be asked, by host.
    pub(crate) published_members: Arc<BTreeMap<Name, SocketAddr>>,
    /// The [`State::members_version`] that they were made from.
    pub(crate) owners_members_version: Option<u64>,
    /// Availability zones that have members.
    pub(crate) zones: u32,
    /// What the store's last restore asks for.
    pub(crate) restore: StoreRestore,
    /// The latest edition of each record that was seen or written here.
    pub(crate) editions: HashMap<Name, u64>,
    /// Records that this daemon wrote last; the watch may not have told of them yet.
    pub(crate) written: HashMap<Name, VersionedRecord>,
    pub(crate) configurations: ConfigurationVersions,
}

impl State {
    /// Whether no reading of the store has come for so long.
    pub(crate) fn is_store_silent(&self, silence_timeout: Duration) -> bool {
        self.last_read_at.is_none_or(|at| at.elapsed() > silence_timeout)
    }

    /// Notes a reading of the store; `true` if it is the first one after a time without any.
    pub(crate) fn note_read(&mut self, now: Instant, silence_timeout: Duration) -> bool {
        let is_back = self.is_store_silent(silence_timeout);
        if is_back {
            self.store_recovered_at = Some(now);
        }
        self.last_read_at = Some(now);
        is_back
    }

    /// Notes that every change up to a revision is known.
    pub(crate) fn note_applied(&mut self, revision: Revision) {
        self.mirror.note_applied(revision);
        self.freshness.note_applied(self.mirror.applied_revision());
    }

    /// Notes which revision the store stood at, by any reading, whether it gives a right or not.
    pub(crate) fn note_observed_revision(&mut self, reading: &StoreRead) {
        let seen = ObservedRevision { revision: reading.revision, asked_at: reading.asked_at };
        self.freshness.note_store_read(seen, self.mirror.applied_revision());
    }

    /// Forgets what was believed of a server's former life: rights to use it, what it showed of its log, and that it was out
    /// of reach.
    pub(crate) fn forget_incarnation(&mut self, service: &Name, server: &Name) {
        let now = Instant::now();
        if let Some(lead) = Arc::make_mut(&mut self.leaders).get_mut(service)
            && lead.server == *server
        {
            lead.valid_until = now;
        }
        self.evidence.retain(|evidence| evidence.server != *server);
        self.suspected.remove(&(service.clone(), server.clone()));
    }

    /// Whether the server that a record names as primary has started again since it came to lead.
    pub(crate) fn has_primary_restarted(
        &mut self,
        service: &Name,
        record: &LeadershipRecord,
    ) -> bool {
        self.servers.is_restarted(service, &record.primary, record.primary_incarnation)
    }

    /// Keeps a reading for others if it is the youngest.
    pub(crate) fn keep_latest_read(&mut self, reading: StoreRead) {
        if self.latest_read.is_none_or(|known| known.asked_at < reading.asked_at) {
            self.latest_read = Some(reading);
            self.read_number += 1;
        }
    }

    /// Keeps evidence for others if it is the youngest of its service.
    pub(crate) fn keep_evidence(&mut self, evidence: &Evidence) {
        let known = self.evidence.iter().position(|it| it.service == evidence.service);
        match known {
            Some(place) if self.evidence[place].asked_at >= evidence.asked_at => return,
            Some(place) => self.evidence[place] = evidence.clone(),
            None => self.evidence.push(evidence.clone()),
        }
        self.evidence_number += 1;
    }
}
