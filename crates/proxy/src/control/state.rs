//! State shared by the tasks of the control thread.

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

/// The value of a member key in the store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct MemberValue {
    pub(crate) availability_zone: String,
    /// The address for requests of other daemons.
    pub(crate) peer_address: Option<SocketAddr>,
}

/// When another daemon was last known to be a member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SeenMember {
    pub(crate) seen_at: Instant,
    /// Whether it is in this daemon's zone.
    pub(crate) is_in_own_zone: bool,
}

/// A store lease held by this daemon.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldLease {
    pub(crate) id: LeaseId,
    /// Counted from the time the last renewal was sent, so that this daemon stops using the lease before the store ends
    /// it.
    pub(crate) valid_until: Instant,
}

#[derive(Default)]
pub(crate) struct State {
    pub(crate) mirror: Mirror,
    /// The age of the data in the mirror.
    pub(crate) freshness: Freshness,
    pub(crate) servers: ServerList,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) store_loaded: bool,
    pub(crate) leaders: Arc<HashMap<Name, GroupLeader>>,
    /// Every leadership record that can be decoded, by service.
    pub(crate) records: HashMap<Name, Arc<VersionedRecord>>,
    /// Every daemon with a member key, by host.
    pub(crate) members: BTreeMap<Name, Arc<MemberValue>>,
    /// Increases with each change of `members`.
    pub(crate) members_version: u64,
    /// When callers of this daemon last used a service.
    pub(crate) used_at: HashMap<Name, Instant>,
    pub(crate) lease: Option<HeldLease>,
    /// The promoter lease, while this daemon holds it or tries to take it.
    pub(crate) promoter_lease: Option<HeldLease>,
    /// When this daemon itself last requested a store read.
    pub(crate) own_read_at: Option<Instant>,
    /// The latest store read by any daemon.
    pub(crate) latest_read: Option<StoreRead>,
    /// Increases with each replacement of `latest_read`.
    pub(crate) read_number: u64,
    /// Every change of the daemon keys up to this revision has been applied.
    pub(crate) daemon_keys_revision: Revision,
    /// The latest change that the followers of this daemon should receive immediately.
    pub(crate) urgent_revision: Revision,
    /// Leaders reported by a majority of their servers, to be sent to followers.
    pub(crate) evidence: Vec<Evidence>,
    /// Increases with each change of `evidence`.
    pub(crate) evidence_number: u64,
    /// When the last shared read that renewed primary leases of this daemon was requested.
    pub(crate) shared_read_at: Option<Instant>,
    pub(crate) upstream_progress: UpstreamProgress,
    /// The latest sample of each primary's log from any daemon of the zone.
    pub(crate) samples: Arc<HashMap<Name, PrimarySample>>,
    /// When log samples were last requested from another zone.
    pub(crate) samples_requested_at: Option<Instant>,
    /// When each daemon was last known to be a member, by host.
    pub(crate) members_seen: HashMap<Name, SeenMember>,
    /// The start of the current member watch; earlier departures may have been missed.
    pub(crate) watching_since: Option<Instant>,
    /// When the latest store read, own or shared, was applied.
    pub(crate) last_read_at: Option<Instant>,
    /// When this daemon last wrote its member key.
    pub(crate) member_written_at: Option<Instant>,
    /// Since when the recorded primary of a service has had no entry.
    pub(crate) primary_missing_since: HashMap<Name, Instant>,
    /// When the replicas of a service were last found too far behind for its reads.
    pub(crate) replicas_behind_at: HashMap<Name, Instant>,
    /// When this daemon last reported that to the promoter.
    pub(crate) behind_reported_at: HashMap<Name, Instant>,
    /// When this daemon last moved the leader of a service for that reason.
    pub(crate) leader_moved_at: HashMap<Name, Instant>,
    /// When this daemon last checked whether a replica could take over for that reason.
    pub(crate) leader_move_checked_at: HashMap<Name, Instant>,
    /// The identity of the last change whose stop this daemon acknowledged, by service.
    pub(crate) acknowledged: HashMap<Name, String>,
    /// Servers that this daemon can't reach, and when it last tried.
    pub(crate) suspected: HashMap<(Name, Name), Instant>,
    /// The suspicions that were written into the store.
    pub(crate) reported_suspicions: ReportedSuspicions,
    /// When this daemon probed servers that others suspect and of which it is a witness.
    pub(crate) probe_schedule: ProbeSchedule,
    pub(crate) witness_cache: WitnessCache,
    /// When the store last answered again after an outage.
    pub(crate) store_recovered_at: Option<Instant>,
    pub(crate) published_servers: Arc<ServersByService>,
    pub(crate) published_tunnel_peers: Arc<TunnelPeers>,
    pub(crate) published_owners: Arc<Owners>,
    /// The request addresses of the members, by host.
    pub(crate) published_members: Arc<BTreeMap<Name, SocketAddr>>,
    /// The [`State::members_version`] that the published members and owners were made from.
    pub(crate) owners_members_version: Option<u64>,
    /// Number of availability zones that have members.
    pub(crate) zone_count: u32,
    /// The state of the last restore of the store.
    pub(crate) restore: StoreRestore,
    /// The latest edition of each record that this daemon has seen or written.
    pub(crate) editions: HashMap<Name, u64>,
    /// Records that this daemon wrote and the watch may not have delivered yet.
    pub(crate) written_records: HashMap<Name, VersionedRecord>,
    pub(crate) configurations: ConfigurationVersions,
}

impl State {
    /// Whether no store read, own or shared, was applied within `silence_timeout`.
    pub(crate) fn is_store_silent(&self, silence_timeout: Duration) -> bool {
        self.last_read_at.is_none_or(|at| at.elapsed() > silence_timeout)
    }

    /// Records a store read; returns whether it is the first one after an outage.
    pub(crate) fn on_store_read(&mut self, now: Instant, silence_timeout: Duration) -> bool {
        let has_recovered = self.is_store_silent(silence_timeout);
        if has_recovered {
            self.store_recovered_at = Some(now);
        }
        self.last_read_at = Some(now);
        has_recovered
    }

    pub(crate) fn on_applied(&mut self, revision: Revision) {
        self.mirror.on_applied(revision);
        self.freshness.on_applied(self.mirror.applied_revision());
    }

    /// Records the store's revision at a read, whether or not the read renews a primary lease.
    pub(crate) fn on_observed_revision(&mut self, read: &StoreRead) {
        let observed = ObservedRevision { revision: read.revision, asked_at: read.asked_at };
        self.freshness.on_store_read(observed, self.mirror.applied_revision());
    }

    /// Discards what is known of a server's former process: its primary lease, the evidence and the suspicion.
    pub(crate) fn forget_incarnation(&mut self, service: &Name, server: &Name) {
        let now = Instant::now();
        if let Some(leader) = Arc::make_mut(&mut self.leaders).get_mut(service)
            && leader.server == *server
        {
            leader.valid_until = now;
        }
        self.evidence.retain(|evidence| evidence.server != *server);
        self.suspected.remove(&(service.clone(), server.clone()));
    }

    /// Whether the recorded primary has restarted since it became primary.
    pub(crate) fn has_primary_restarted(
        &mut self,
        service: &Name,
        record: &LeadershipRecord,
    ) -> bool {
        self.servers.is_restarted(service, &record.primary, record.primary_incarnation)
    }

    /// Keeps a store read for followers if it is the latest.
    pub(crate) fn keep_latest_read(&mut self, read: StoreRead) {
        if self.latest_read.is_none_or(|known| known.asked_at < read.asked_at) {
            self.latest_read = Some(read);
            self.read_number += 1;
        }
    }

    /// Keeps evidence for followers if it is the latest of its service.
    pub(crate) fn keep_evidence(&mut self, evidence: &Evidence) {
        let known = self.evidence.iter().position(|it| it.service == evidence.service);
        match known {
            Some(index) if self.evidence[index].asked_at >= evidence.asked_at => return,
            Some(index) => self.evidence[index] = evidence.clone(),
            None => self.evidence.push(evidence.clone()),
        }
        self.evidence_number += 1;
    }
}
