//! The config structs of the shared configuration, one per kind of section.

use std::net::SocketAddr;

use model::Name;

use crate::{
    option_value::{Acknowledge, OwnerCount, ReadPolicy, UntrackedReads, WhenBehind},
    section::section,
};

section! {
    /// A service, which callers name as their database.
    ServiceOptions in "service" named "SERVICE" {
        /// What the acknowledgement of a write waits for: `majority` or `term`.
        acknowledge: Acknowledge = Acknowledge::Majority,
        /// How long a write waits for that before its outcome is called unknown.
        acknowledge_timeout_ms: u64 = 2_000,
        /// How many positions a majority may be behind the primary before `when_behind` applies.
        behind_positions: u64 = 100_000,
        /// What becomes of writes under `majority` then: `wait`, `refuse` or `term`.
        when_behind: WhenBehind = WhenBehind::Wait,
        /// How reads without a token are served: `read-index`, `primary` or `connection`.
        untracked_reads: UntrackedReads = UntrackedReads::ReadIndex,
        /// How the server of a read is chosen: `cost`, `least-in-flight`, `round-robin` or `primary-after-write`.
        read_policy: ReadPolicy = ReadPolicy::Cost,
        /// How long a request may wait for a server and a connection before it is refused.
        request_deadline_ms: u64 = 5_000,
        /// How long a request may run on a server before its connection is given up; 0 means without limit.
        run_timeout_ms: u64 = 30_000,
        /// Functions that change nothing, beside the built-in list, so that a `SELECT` of them may run on a replica.
        read_functions: Vec<Name> = Vec::new(),
        /// The region whose daemons own the service's groups; unset means all daemons.
        region: Option<Name> = None,
        /// The group of callers that name none and that no rule places.
        default_group: Option<Name> = None,
    }
}

section! {
    /// A database group of a service.
    GroupOptions in "group" named "SERVICE/GROUP" {
        /// The server that leads in the group's first term.
        primary: Option<Name> = None,
        /// Statements that one server runs at a time; more wait inside the server.
        slots: u32 = 3,
        /// Connections that one server of the group grants to all daemons together.
        connections: u32 = 25,
        /// Daemons that hold these connections: `auto` or a number.
        owners: OwnerCount = OwnerCount::Auto,
    }
}

section! {
    /// A server of a group.
    ServerOptions in "server" named "SERVICE/GROUP/SERVER" {
        /// Its IP number and port.
        address: Option<SocketAddr> = None,
        /// The availability zone that it stands in.
        availability_zone: Name = Name::from(""),
        /// Whether operators are taking it out: it gets no new work.
        leaving: bool = false,
    }
}

section! {
    /// A kind of read, which callers name as `wardtiller.read_kind`.
    KindOptions in "kind" named "SERVICE/KIND" {
        /// How old the data shown may be.
        staleness_ms: u64 = 0,
    }
}

section! {
    /// A rule that places callers in a group; the first rule whose every set key matches decides.
    RuleOptions in "rule" named "SERVICE/RULE" {
        /// The user that it applies to.
        user: Option<Name> = None,
        /// The `application_name` that it applies to.
        application_name: Option<Name> = None,
        /// The group that callers are placed in.
        group: Option<Name> = None,
    }
}

section! {
    /// A user that may log in.
    UserOptions in "user" named "USER" {
        /// The SCRAM-SHA-256 verifier that `wardtiller verifier` prints; unset means log-in without a password.
        verifier: Option<Name> = None,
        /// The services that the user may open; unset means all.
        services: Vec<Name> = Vec::new(),
        /// The share of connections under overload, relative to other users.
        weight: u32 = 1,
    }
}

section! {
    /// Rules for endpoints that are leaving.
    LeavingOptions in "leaving" named "" {
        /// How long a leaving endpoint may still get new work; the transactions that run then are finished.
        new_work_ms: u64 = 2_000,
        /// How long running transactions on a leaving endpoint may take before they are cut; 0 means without limit.
        finish_ms: u64 = 0,
        /// Whether a leaving primary is replaced by a planned switch.
        switch_primary: bool = true,
    }
}

section! {
    /// Limits of each daemon.
    LimitOptions in "limits" named "" {
        /// Requests that may wait for one group's connections.
        queue_length: u32 = 512,
        /// Bytes of an answer to a write that are held back until the write is acknowledged.
        held_answer_bytes: u64 = 4_194_304,
        /// Prepared statements kept open on one endpoint connection.
        prepared_statements: u32 = 256,
        /// Retries allowed for each 100 requests.
        retry_percent: u32 = 20,
        /// How long an idle endpoint connection above the daemon's share is kept.
        idle_connection_ms: u64 = 30_000,
        /// Caller connections that one daemon takes.
        callers: u32 = 10_000,
        /// How long a caller may take to log in.
        login_timeout_ms: u64 = 10_000,
        /// How long a planned stop waits for callers to end their transactions.
        stop_ms: u64 = 30_000,
    }
}

section! {
    /// How failures of a primary are found and repaired.
    FailoverOptions in "failover" named "" {
        /// How often each server's status is asked for.
        heartbeat_ms: u64 = 250,
        /// How long a server may take to answer a status query.
        status_timeout_ms: u64 = 500,
        /// How long a primary is out of reach before it is suspected.
        suspect_after_ms: u64 = 1_000,
        /// How long one step of a promotion may take.
        step_timeout_ms: u64 = 1_000,
        /// How long a promotion may stand still before another daemon takes it over.
        takeover_after_ms: u64 = 2_000,
        /// How long a planned switch may hold new transactions back.
        switch_hold_ms: u64 = 2_000,
    }
}
