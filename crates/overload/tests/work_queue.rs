//! Tests of the queue in front of a server: which statements start, and what each rank and account gets under load.
//!
//! Loads run against a simulated server with random arrivals from fixed seeds. Under any load the server must reach
//! nine tenths of its possible throughput, and accounts that did not cause the overload must not be affected.

use std::{
    collections::{BTreeMap, BinaryHeap, HashMap},
    time::{Duration, Instant},
};

use model::Name;
use overload::{Capacity, Next, OfferResult, Rank, Request, Stage, Ticket, WorkQueue};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SLOTS: u32 = 6;
const CAPACITY: Capacity = Capacity { slots: SLOTS, connections: 50, owners: 1 };
/// Minimum share of served statements for a load to be unaffected.
const MIN_UNAFFECTED_SHARE: f64 = 0.97;

fn request(rank: usize, account: &str, stage: Stage, until: Instant) -> Request {
    Request { rank: Rank::ALL[rank], account: Name::from(account), stage, until }
}

fn single_statement(rank: usize, account: &str, until: Instant) -> Request {
    request(rank, account, Stage::Alone, until)
}

/// A queue with all slots taken by statements of 20 ms.
fn busy_queue(now: Instant) -> WorkQueue {
    let mut queue = WorkQueue::new(CAPACITY);
    let first = single_statement(1, "first", now + Duration::from_secs(9));
    for _ in 0..100 {
        assert_eq!(queue.offer(first.clone(), now), OfferResult::Begin);
        queue.on_finished(&first, Some(Duration::from_millis(20)), now);
        queue.on_released(&first);
    }
    for _ in 0..queue.limit() {
        assert_eq!(queue.offer(first.clone(), now), OfferResult::Begin);
    }
    queue
}

fn wait(queue: &mut WorkQueue, request: Request, now: Instant) -> Ticket {
    match queue.offer(request, now) {
        OfferResult::Queued { ticket, .. } => ticket,
        other => panic!("expected it to wait: {other:?}"),
    }
}

/// Finishes a running statement and returns the waiting one that starts in its place.
fn start_next(queue: &mut WorkQueue, now: Instant) -> Ticket {
    queue.on_finished(&single_statement(1, "first", now), None, now);
    match queue.next(now) {
        Next::Begin(ticket, _) => ticket,
        other => panic!("expected one to start: {other:?}"),
    }
}

#[test]
fn urgent_statements_start_first_and_open_transactions_before_new_ones() {
    let now = Instant::now();
    let until = now + Duration::from_secs(5);
    let mut queue = busy_queue(now);
    let later = wait(&mut queue, single_statement(2, "a", until), now);
    let opening = wait(&mut queue, request(1, "b", Stage::Opens, until), now);
    let urgent = wait(&mut queue, single_statement(0, "c", until), now);
    let continuing = wait(&mut queue, request(1, "d", Stage::Continues, until), now);
    let order: Vec<Ticket> = (0..4).map(|_| start_next(&mut queue, now)).collect();
    assert_eq!(order, [continuing, urgent, opening, later]);
}

#[test]
fn of_one_account_the_earliest_deadline_goes_first() {
    let now = Instant::now();
    let mut queue = busy_queue(now);
    let late_deadline =
        wait(&mut queue, single_statement(1, "a", now + Duration::from_secs(5)), now);
    let urgent_deadline =
        wait(&mut queue, single_statement(1, "a", now + Duration::from_secs(1)), now);
    assert_eq!(start_next(&mut queue, now), urgent_deadline);
    assert_eq!(start_next(&mut queue, now), late_deadline);
}

#[test]
fn a_statement_that_cannot_start_in_time_is_refused_with_the_drain_time() {
    let now = Instant::now();
    let mut queue = busy_queue(now);
    for account in 0..60 {
        wait(
            &mut queue,
            single_statement(1, &account.to_string(), now + Duration::from_secs(5)),
            now,
        );
    }
    // 60 waiting statements of 20 ms in six slots start before a second statement of any account.
    let soon = now + Duration::from_millis(100);
    let OfferResult::Refused { retry_after } = queue.offer(single_statement(1, "0", soon), now)
    else {
        panic!("it can't start in time");
    };
    assert!((180..=230).contains(&retry_after.as_millis()), "{retry_after:?}");
    wait(&mut queue, single_statement(0, "urgent", soon), now);
}

#[test]
fn a_more_urgent_statement_displaces_the_last_one_of_a_full_queue() {
    let now = Instant::now();
    let until = now + Duration::from_secs(60);
    let mut queue = busy_queue(now);
    let mut last = None;
    let mut refused = 0;
    for account in 0..300 {
        match queue.offer(single_statement(2, &account.to_string(), until), now) {
            OfferResult::Queued { ticket, .. } => last = Some(ticket),
            OfferResult::Refused { .. } => refused += 1,
            OfferResult::Begin => panic!("no slot is free"),
        }
    }
    assert!(refused > 0, "the queue has a bound");
    let OfferResult::Queued { displaced, .. } =
        queue.offer(single_statement(0, "urgent", until), now)
    else {
        panic!("the more urgent one must be queued");
    };
    assert_eq!(displaced, last);
    assert!(!queue.withdraw(last.expect("some wait")), "it must not wait any more");
}

#[test]
fn withdrawn_and_expired_statements_never_start() {
    let now = Instant::now();
    let mut queue = busy_queue(now);
    let withdrawn = wait(&mut queue, single_statement(1, "a", now + Duration::from_secs(1)), now);
    let expiring =
        wait(&mut queue, single_statement(1, "b", now + Duration::from_millis(100)), now);
    assert!(queue.withdraw(withdrawn));
    assert!(!queue.withdraw(withdrawn));
    queue.on_finished(&single_statement(1, "first", now), None, now);
    let then = now + Duration::from_millis(200);
    assert_eq!(queue.next(then), Next::Expired(expiring));
    assert_eq!(queue.next(then), Next::Nothing);
}

/// Transactions of idle callers must not occupy all connections, nor one account most of them.
#[test]
fn idle_transactions_leave_connections_to_others() {
    let now = Instant::now();
    let until = now + Duration::from_secs(5);
    let mut queue = WorkQueue::new(CAPACITY);
    let mut opened: HashMap<&str, u32> = HashMap::new();
    for _ in 0..40 {
        for account in ["a", "b", "c"] {
            let opening = request(1, account, Stage::Opens, until);
            if queue.offer(opening.clone(), now) == OfferResult::Begin {
                queue.on_finished(&opening, None, now);
                *opened.entry(account).or_default() += 1;
            }
        }
    }
    assert!(opened.values().all(|count| *count <= CAPACITY.connections.div_ceil(4)), "{opened:?}");
    assert!(opened.values().sum::<u32>() >= CAPACITY.connections / 2, "{opened:?}");
    for _ in 0..SLOTS {
        assert_eq!(queue.offer(single_statement(2, "d", until), now), OfferResult::Begin);
    }
}

/// While a server hangs, new statements must be refused on arrival.
#[test]
fn a_hanging_server_refuses_on_arrival() {
    let now = Instant::now();
    let mut queue = busy_queue(now);
    wait(&mut queue, single_statement(1, "a", now + Duration::from_millis(140)), now);
    let then = now + Duration::from_millis(170);
    let offered = queue.offer(single_statement(1, "b", then + Duration::from_millis(140)), then);
    assert!(matches!(offered, OfferResult::Refused { .. }), "{offered:?}");
}

/// A kind of statement and its load on one server.
#[derive(Clone, Debug)]
struct Load {
    rank: usize,
    accounts: Vec<Name>,
    /// Statements per second.
    rate: f64,
    work: Duration,
    may_wait: Duration,
}

/// The results of the statements of one rank or account.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    offered: u32,
    started: u32,
    expired: u32,
    work: Duration,
    longest_wait: Duration,
}

impl Served {
    fn share(&self) -> f64 {
        f64::from(self.started) / f64::from(self.offered.max(1))
    }
}

#[derive(Debug, Default)]
struct Outcome {
    by_rank: BTreeMap<usize, Served>,
    by_account: BTreeMap<Name, Served>,
}

impl Outcome {
    fn work(&self) -> Duration {
        self.by_rank.values().map(|served| served.work).sum()
    }

    fn record(&mut self, request: &Request, record: impl Fn(&mut Served)) {
        record(self.by_rank.entry(request.rank.index()).or_default());
        record(self.by_account.entry(request.account.clone()).or_default());
    }
}

/// A typical mix: few urgent statements, many normal ones, and slow ones with long deadlines. `load_factor` is the
/// total work relative to the slots.
fn typical_load(load_factor: f64) -> Vec<Load> {
    let accounts: Vec<Name> = (0..20).map(|it| Name::from(format!("a{it}").as_str())).collect();
    let load = |rank, part: f64, work_ms: u64, may_wait_ms| Load {
        rank,
        accounts: accounts.clone(),
        rate: part * load_factor * f64::from(SLOTS) * 1_000.0 / work_ms as f64,
        work: Duration::from_millis(work_ms),
        may_wait: Duration::from_millis(may_wait_ms),
    };
    vec![load(0, 0.1, 10, 70), load(1, 0.55, 30, 140), load(2, 0.35, 50, 500)]
}

/// Runs loads against a server that takes `slowdown` times the work of each statement.
fn simulate(loads: &[Load], duration: Duration, slowdown: f64, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut arrivals: Vec<(Duration, Request, Duration)> = Vec::new();
    for load in loads {
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_secs_f64(-rng.random_range(1e-9_f64..1.0).ln() / load.rate);
            if at >= duration {
                break;
            }
            let account = &load.accounts[rng.random_range(0..load.accounts.len())];
            let work = load.work.mul_f64(rng.random_range(0.5..1.5) * slowdown);
            arrivals.push((
                at,
                single_statement(load.rank, account, start + at + load.may_wait),
                work,
            ));
        }
    }
    arrivals.sort_by_key(|(at, ..)| *at);
    let mut server = Server::new(start);
    for (at, request, work) in arrivals {
        server.run_until(start + at);
        server.arrive(request, work, start + at);
    }
    server.run_until(start + duration + Duration::from_secs(10));
    server.outcome
}

/// A server with [`SLOTS`] slots behind a queue. Statements beyond the slots wait inside it for the first free one.
struct Server {
    queue: WorkQueue,
    waiting: HashMap<Ticket, (Request, Duration, Instant)>,
    /// When each slot becomes free.
    slots: Vec<Instant>,
    ends: BinaryHeap<std::cmp::Reverse<(Instant, usize)>>,
    inside: Vec<(Request, Instant)>,
    outcome: Outcome,
}

impl Server {
    fn new(start: Instant) -> Server {
        Server {
            queue: WorkQueue::new(CAPACITY),
            waiting: HashMap::new(),
            slots: vec![start; SLOTS as usize],
            ends: BinaryHeap::new(),
            inside: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    fn arrive(&mut self, request: Request, work: Duration, now: Instant) {
        self.outcome.record(&request, |served| served.offered += 1);
        match self.queue.offer(request.clone(), now) {
            OfferResult::Begin => self.begin(request, work, now, now),
            OfferResult::Queued { ticket, displaced } => {
                self.waiting.insert(ticket, (request, work, now));
                displaced.map(|ticket| self.waiting.remove(&ticket));
            }
            OfferResult::Refused { .. } => {}
        }
    }

    fn begin(&mut self, request: Request, work: Duration, since: Instant, now: Instant) {
        let slot = self.slots.iter_mut().min().expect("there are slots");
        let begins = (*slot).max(now);
        *slot = begins + work;
        self.ends.push(std::cmp::Reverse((*slot, self.inside.len())));
        self.outcome.record(&request, |served| {
            served.started += 1;
            served.work += work;
            served.longest_wait = served.longest_wait.max(begins - since);
        });
        self.inside.push((request, now));
    }

    fn run_until(&mut self, until: Instant) {
        while let Some(std::cmp::Reverse((at, index))) = self.ends.peek().copied()
            && at <= until
        {
            self.ends.pop();
            let (request, began_at) = self.inside[index].clone();
            self.queue.on_finished(&request, Some(at - began_at), at);
            self.queue.on_released(&request);
            self.serve(at);
        }
    }

    fn serve(&mut self, now: Instant) {
        loop {
            match self.queue.next(now) {
                Next::Nothing => return,
                Next::Expired(ticket) => {
                    let (request, ..) = self.waiting.remove(&ticket).expect("it waited");
                    self.outcome.record(&request, |served| served.expired += 1);
                }
                Next::Begin(ticket, _) => {
                    let (request, work, since) = self.waiting.remove(&ticket).expect("it waited");
                    self.begin(request, work, since, now);
                }
            }
        }
    }
}

const DURATION: Duration = Duration::from_secs(20);

/// Overload of up to four times the capacity must not lower the throughput or affect the most urgent rank.
#[test]
fn throughput_stays_at_its_maximum_under_overload() {
    let at = |load_factor| simulate(&typical_load(load_factor), DURATION, 1.0, 11);
    let outcomes = [1.0, 1.5, 2.0, 4.0].map(at);
    let done = outcomes.iter().map(Outcome::work);
    let best = done.clone().max().expect("there are four");
    for (outcome, done) in outcomes.iter().zip(done) {
        assert!(done >= best.mul_f64(0.9), "{done:?} of {best:?}");
        assert!(outcome.by_rank[&0].share() >= MIN_UNAFFECTED_SHARE, "{outcome:?}");
    }
    // With 1.5 times the load, the two more urgent ranks just fit the slots.
    assert!(outcomes[1].by_rank[&1].share() >= 0.9, "{:?}", outcomes[1].by_rank);
}

/// A burst of the least urgent rank must not affect the other ranks.
#[test]
fn a_burst_of_the_least_urgent_rank_does_not_affect_the_others() {
    let mut loads = typical_load(0.8);
    let before = simulate(&loads, DURATION, 1.0, 12);
    loads[2].rate *= 2.3;
    let after = simulate(&loads, DURATION, 1.0, 12);
    for rank in [0, 1] {
        let (before, after) = (before.by_rank[&rank].share(), after.by_rank[&rank].share());
        assert!(after >= before * MIN_UNAFFECTED_SHARE, "{rank}: {after} after {before}");
    }
}

/// An account that requests more than the slots must not affect the other accounts.
#[test]
fn a_busy_account_does_not_affect_the_others() {
    let mut loads = typical_load(0.8);
    for load in typical_load(0.8) {
        let hot = vec![Name::from("hot")];
        loads.push(Load { accounts: hot, rate: load.rate * 7.5 / 20.0, ..load });
    }
    let outcome = simulate(&loads, DURATION, 1.0, 13);
    for (account, served) in &outcome.by_account {
        let is_hot = &**account == "hot";
        assert!(is_hot || served.share() >= MIN_UNAFFECTED_SHARE, "{account}: {served:?}");
    }
    assert!(outcome.work() >= (DURATION * SLOTS).mul_f64(0.9), "{:?}", outcome.work());
}

/// A slow server must refuse statements on arrival, rather than let them wait until their deadline, so that callers
/// have time to retry elsewhere.
#[test]
fn a_slow_server_refuses_on_arrival() {
    let outcome = simulate(&typical_load(0.5), DURATION, 6.0, 14);
    let shares = [0, 1, 2].map(|rank| outcome.by_rank[&rank].share());
    assert!(shares.is_sorted_by(|urgent, other| urgent > other), "{:?}", outcome.by_rank);
    let not_started = outcome.by_rank.values().map(|it| it.offered - it.started).sum::<u32>();
    let expired = outcome.by_rank.values().map(|it| it.expired).sum::<u32>();
    assert!(expired <= not_started / 5, "{:?}", outcome.by_rank);
}

/// Sustained overload by urgent work must not starve the least urgent rank.
#[test]
fn the_least_urgent_rank_is_not_starved() {
    let mut loads = typical_load(1.0);
    loads[1].rate *= 3.0;
    loads[2].may_wait = Duration::from_secs(5);
    let outcome = simulate(&loads, DURATION, 1.0, 15);
    assert!(outcome.by_rank[&2].share() > 0.1, "{:?}", outcome.by_rank);
    assert!(outcome.by_rank[&0].share() >= MIN_UNAFFECTED_SHARE, "{:?}", outcome.by_rank);
}

#[derive(Clone, Debug)]
enum Step {
    Arrive { rank: usize, account: u8, stage: Stage, waits_ms: u64 },
    Finish,
    Withdraw,
    Pass { ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let stage = prop_oneof![Just(Stage::Alone), Just(Stage::Opens), Just(Stage::Continues)];
    let arrive =
        (0..4_usize, 0..5_u8, stage, 0..400_u64).prop_map(|(rank, account, stage, waits_ms)| {
            Step::Arrive { rank, account, stage, waits_ms }
        });
    let step = prop_oneof![
        5 => arrive,
        3 => Just(Step::Finish),
        1 => Just(Step::Withdraw),
        1 => (1..60_u64).prop_map(|ms| Step::Pass { ms }),
    ];
    prop::collection::vec(step, 1..200)
}

proptest! {
    /// No statement waits or is refused while a slot and a connection are free, and limits are never exceeded.
    #[test]
    fn the_queue_keeps_the_server_busy(steps in steps()) {
        // As many connections as statements inside, so that either may be exhausted first.
        let capacity = Capacity { slots: 4, connections: 4, owners: 1 };
        let mut queue = WorkQueue::new(capacity);
        let mut now = Instant::now();
        let mut inside: Vec<Request> = Vec::new();
        let mut waiting: HashMap<Ticket, Stage> = HashMap::new();
        let holds = |stage: Stage| stage != Stage::Continues;
        for step in steps {
            match step {
                Step::Arrive { rank, account, stage, waits_ms } => {
                    let until = now + Duration::from_millis(waits_ms);
                    let request = request(rank, &account.to_string(), stage, until);
                    let held = inside.iter().filter(|it| holds(it.stage)).count() as u32;
                    let has_slot = (inside.len() as u32) < queue.limit();
                    let has_connection = !holds(stage) || held < capacity.connections;
                    match queue.offer(request.clone(), now) {
                        OfferResult::Begin => inside.push(request),
                        OfferResult::Queued { ticket, displaced } => {
                            prop_assert!(!(stage == Stage::Alone && has_slot && has_connection));
                            waiting.insert(ticket, stage);
                            displaced.map(|ticket| waiting.remove(&ticket));
                        }
                        OfferResult::Refused { retry_after } => {
                            prop_assert!(!(stage == Stage::Alone && has_slot && has_connection));
                            prop_assert!(retry_after > Duration::ZERO);
                        }
                    }
                }
                Step::Finish => {
                    if let Some(request) = inside.pop() {
                        queue.on_finished(&request, Some(Duration::from_millis(20)), now);
                        queue.on_released(&request);
                    }
                }
                Step::Withdraw => {
                    if let Some(ticket) = waiting.keys().next().copied() {
                        waiting.remove(&ticket);
                        prop_assert!(queue.withdraw(ticket));
                    }
                }
                Step::Pass { ms } => now += Duration::from_millis(ms),
            }
            loop {
                match queue.next(now) {
                    Next::Begin(ticket, request) => {
                        prop_assert!(waiting.remove(&ticket).is_some());
                        prop_assert!(request.until > now);
                        inside.push(request);
                    }
                    Next::Expired(ticket) => prop_assert!(waiting.remove(&ticket).is_some()),
                    Next::Nothing => break,
                }
            }
            let held = inside.iter().filter(|it| holds(it.stage)).count() as u32;
            prop_assert!(inside.len() as u32 <= queue.limit());
            prop_assert!(held <= capacity.connections);
            prop_assert_eq!(queue.running() as usize, inside.len());
            prop_assert_eq!(queue.waiting(), waiting.len());
            let has_slot = (inside.len() as u32) < queue.limit();
            let able = |stage: &Stage| match stage {
                Stage::Continues => true,
                Stage::Alone => held < capacity.connections,
                Stage::Opens => false,
            };
            prop_assert!(!has_slot || !waiting.values().any(able));
        }
    }
}
