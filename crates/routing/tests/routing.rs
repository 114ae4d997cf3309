//! Choice of server, admission, connection shares and retries.

use std::time::{Duration, Instant};

use config::{Acknowledge, ReadPolicy, WhenBehind};
use model::{LogPoint, Position, Priority, ServerId, Term};
use proptest::prelude::*;
use routing::{
    Admission, AdmissionQueue, Candidate, Demand, NextRequest, PrimaryView, ReadCriteria,
    ReadRoute, Request, RetryBudget, WriteRoute, WriteRules, connection_share, route_read,
    route_write,
};

fn candidate(server: u16, applied: u64) -> Candidate {
    Candidate {
        server: ServerId(server),
        usable: true,
        primary: server == 0,
        applied: LogPoint::new(1, applied),
        in_flight: 0,
        slots: 3,
        latency_us: 500,
        same_zone: true,
    }
}

fn criteria(position: u64) -> ReadCriteria {
    ReadCriteria {
        point: LogPoint::new(1, position),
        has_written: position > 0,
        policy: ReadPolicy::Cost,
        sequence: 0,
        avoid: None,
    }
}

#[test]
fn a_read_goes_to_a_fresh_enough_replica_or_the_primary() {
    let three = |b, c| vec![candidate(0, 100), candidate(1, b), candidate(2, c)];
    let replica = |server| ReadRoute::Replica(ServerId(server));
    let primary = ReadRoute::Primary(ServerId(0));
    let rows = [
        ("only one replica is fresh", criteria(50), three(49, 50), replica(2)),
        ("no replica is fresh", criteria(60), three(49, 50), primary),
        (
            "the fresh replica failed before",
            ReadCriteria { avoid: Some(ServerId(2)), ..criteria(50) },
            three(49, 50),
            primary,
        ),
    ];
    for (name, criteria, candidates, expected) in rows {
        assert_eq!(route_read(&criteria, &candidates), expected, "{name}");
    }
    let mut leaving = three(90, 90);
    leaving[1].usable = false;
    assert_eq!(route_read(&criteria(50), &leaving), replica(2), "a leaving replica gets no reads");
    leaving[2].usable = false;
    leaving[0].usable = false;
    assert_eq!(route_read(&criteria(50), &leaving), ReadRoute::NoServer);
}

#[test]
fn each_policy_chooses_its_server() {
    let mut candidates = vec![candidate(0, 100), candidate(1, 100), candidate(2, 100)];
    candidates[1].latency_us = 20_000;
    candidates[2].in_flight = 2;
    let choose = |policy, sequence| {
        let criteria = ReadCriteria { policy, sequence, ..criteria(50) };
        route_read(&criteria, &candidates)
    };
    assert_eq!(choose(ReadPolicy::Cost, 0), ReadRoute::Replica(ServerId(2)));
    assert_eq!(choose(ReadPolicy::LeastInFlight, 0), ReadRoute::Replica(ServerId(1)));
    assert_eq!(choose(ReadPolicy::RoundRobin, 0), ReadRoute::Replica(ServerId(1)));
    assert_eq!(choose(ReadPolicy::RoundRobin, 1), ReadRoute::Replica(ServerId(2)));
    assert_eq!(choose(ReadPolicy::PrimaryAfterWrite, 0), ReadRoute::Primary(ServerId(0)));
}

#[test]
fn equal_replicas_share_the_reads() {
    let candidates = [candidate(0, 100), candidate(1, 100), candidate(2, 100)];
    let mut counts = [0; 3];
    for sequence in 0..600 {
        let criteria = ReadCriteria { sequence, ..criteria(50) };
        if let ReadRoute::Replica(server) = route_read(&criteria, &candidates) {
            counts[server.index()] += 1;
        }
    }
    assert_eq!(counts[0], 0);
    assert!(counts[1] > 200 && counts[2] > 200, "{counts:?}");
}

#[test]
fn a_write_runs_only_if_it_can_be_acknowledged() {
    let view = PrimaryView {
        primary: Some(ServerId(0)),
        term: Term(1),
        usable: true,
        primary_position: Position(9),
        majority_position: Position(9),
        answering: 2,
        majority: 2,
    };
    let majority = Acknowledge::Majority;
    let behind = PrimaryView { majority_position: Position(3), ..view };
    let rows = [
        (majority, WhenBehind::Wait, view, WriteRoute::Primary(ServerId(0), majority)),
        (majority, WhenBehind::Wait, PrimaryView { answering: 1, ..view }, WriteRoute::NoMajority),
        (
            majority,
            WhenBehind::Wait,
            PrimaryView { usable: false, ..view },
            WriteRoute::AwaitPrimary,
        ),
        (
            majority,
            WhenBehind::Wait,
            PrimaryView { primary: None, ..view },
            WriteRoute::AwaitPrimary,
        ),
        (majority, WhenBehind::Wait, behind, WriteRoute::Primary(ServerId(0), majority)),
        (majority, WhenBehind::Refuse, behind, WriteRoute::ReplicasBehind),
        (majority, WhenBehind::Refuse, view, WriteRoute::Primary(ServerId(0), majority)),
        (majority, WhenBehind::Term, behind, WriteRoute::Primary(ServerId(0), Acknowledge::Term)),
        (
            Acknowledge::Term,
            WhenBehind::Refuse,
            behind,
            WriteRoute::Primary(ServerId(0), Acknowledge::Term),
        ),
    ];
    for (acknowledge, when_behind, view, expected) in rows {
        let rules = WriteRules { acknowledge, when_behind, behind_positions: 5 };
        assert_eq!(route_write(rules, &view), expected, "{rules:?} {view:?}");
    }
}

#[test]
fn a_caller_with_more_weight_gets_more_grants_per_turn() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(20);
    for _ in 0..4 {
        queue.offer(Request { weight: 2, ..request(1, Priority::Normal, now) }, 1, now);
        queue.offer(request(2, Priority::Normal, now), 1, now);
    }
    // Caller 1 has the even tickets.
    assert_eq!(granted(&mut queue, now), [0, 2, 1, 4, 6, 3, 5, 7]);
}

fn request(caller: u64, priority: Priority, now: Instant) -> Request {
    Request { caller, weight: 1, priority, deadline: now + Duration::from_secs(5) }
}

fn granted(queue: &mut AdmissionQueue, now: Instant) -> Vec<u64> {
    let mut order = Vec::new();
    while let NextRequest::Grant(ticket) = queue.next(now) {
        order.push(ticket.0);
    }
    order
}

#[test]
fn urgent_requests_go_first_and_callers_take_turns() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(10);
    // Tickets are numbered from 0 in the order of the offers.
    for (caller, priority) in [
        (1, Priority::Normal),
        (1, Priority::Normal),
        (1, Priority::Normal),
        (2, Priority::Normal),
        (3, Priority::Relaxed),
        (1, Priority::Urgent),
    ] {
        let offered = queue.offer(request(caller, priority, now), 1, now);
        assert!(matches!(offered, Admission::Queued(_)));
    }
    assert_eq!(granted(&mut queue, now), [5, 0, 3, 1, 2, 4]);
}

#[test]
fn a_full_queue_refuses_requests_of_the_lowest_priority() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(2);
    queue.offer(request(1, Priority::Relaxed, now), 1, now);
    queue.offer(request(1, Priority::Normal, now), 1, now);
    let refused = queue.offer(request(2, Priority::Relaxed, now), 1, now);
    assert!(matches!(refused, Admission::Refused { .. }), "{refused:?}");
    let urgent = queue.offer(request(2, Priority::Urgent, now), 1, now);
    assert!(matches!(urgent, Admission::QueuedInsteadOf { displaced, .. } if displaced.0 == 0));
    assert_eq!(queue.len(), 2);
}

#[test]
fn a_request_that_would_wait_past_its_deadline_is_refused_immediately() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(1_000);
    for _ in 0..200 {
        queue.record_hold_time(Duration::from_millis(100));
    }
    for _ in 0..100 {
        queue.offer(request(1, Priority::Normal, now), 2, now);
    }
    // 100 requests of 100 ms on two connections take five seconds.
    let late = queue.offer(request(2, Priority::Normal, now), 2, now);
    assert!(
        matches!(late, Admission::Refused { retry_after_ms } if retry_after_ms >= 1_000),
        "{late:?}"
    );
    let urgent = queue.offer(request(2, Priority::Urgent, now), 2, now);
    assert!(matches!(urgent, Admission::Queued(_)), "{urgent:?}");
}

#[test]
fn expired_and_withdrawn_requests_are_not_granted() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(10);
    let first = request(1, Priority::Normal, now);
    queue.offer(Request { deadline: now + Duration::from_millis(1), ..first }, 1, now);
    let Admission::Queued(second) = queue.offer(first, 1, now) else {
        panic!("the queue has room")
    };
    queue.offer(request(1, Priority::Normal, now), 1, now);
    assert!(queue.withdraw(&first, second));
    assert!(!queue.withdraw(&first, second));
    let later = now + Duration::from_millis(2);
    assert!(matches!(queue.next(later), NextRequest::Expire(ticket) if ticket.0 == 0));
    assert!(matches!(queue.next(later), NextRequest::Grant(ticket) if ticket.0 == 2));
    assert_eq!(queue.next(later), NextRequest::Idle);
}

#[test]
fn retries_are_limited_to_a_fraction_of_requests() {
    let mut budget = RetryBudget::new(20);
    let mut retried = 0;
    for _ in 0..1_000 {
        budget.on_request();
        retried += u32::from(budget.try_retry());
    }
    assert!((200..=210).contains(&retried), "{retried}");
    assert!(!RetryBudget::new(0).try_retry());
}

proptest! {
    /// With the same demands, the owners' shares don't exceed the limit, and each owner gets what it
    /// wants up to its guaranteed part.
    #[test]
    fn shares_do_not_exceed_the_limit(
        limit in 1_u32..100,
        wanted in prop::collection::vec(0_u32..60, 1..10),
    ) {
        let demands: Vec<Demand> = wanted
            .iter()
            .enumerate()
            .map(|(owner, wanted)| Demand { owner: owner as u64, wanted: *wanted })
            .collect();
        let shares: Vec<u32> =
            demands.iter().map(|own| connection_share(limit, *own, &demands)).collect();
        let guaranteed = limit / demands.len() as u32;
        prop_assert!(shares.iter().sum::<u32>() <= limit);
        for (demand, share) in demands.iter().zip(&shares) {
            prop_assert!(*share >= guaranteed.min(demand.wanted));
        }
    }

    /// Every offered request is refused, granted, displaced or expired exactly once.
    #[test]
    fn no_request_is_lost_in_the_queue(
        offers in prop::collection::vec((0_u64..4, 0_usize..3, 1_u64..100), 1..200),
        capacity in 1_usize..30,
    ) {
        let now = Instant::now();
        let mut queue = AdmissionQueue::new(capacity);
        let mut waiting = std::collections::BTreeSet::new();
        for (caller, priority, deadline_ms) in offers {
            let request = Request {
                caller,
                weight: 1 + priority as u32,
                priority: Priority::ALL[priority],
                deadline: now + Duration::from_millis(deadline_ms),
            };
            match queue.offer(request, 4, now) {
                Admission::Queued(ticket) => prop_assert!(waiting.insert(ticket)),
                Admission::QueuedInsteadOf { ticket, displaced } => {
                    prop_assert!(waiting.remove(&displaced));
                    prop_assert!(waiting.insert(ticket));
                }
                Admission::Refused { .. } => {}
            }
            prop_assert!(queue.len() <= capacity);
            prop_assert_eq!(queue.len(), waiting.len());
        }
        let later = now + Duration::from_millis(50);
        while let NextRequest::Grant(ticket) | NextRequest::Expire(ticket) = queue.next(later) {
            prop_assert!(waiting.remove(&ticket));
        }
        prop_assert!(waiting.is_empty());
    }
}
