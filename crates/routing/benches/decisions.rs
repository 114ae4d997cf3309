//! Benchmarks of the decisions on each request: routing a read, admitting a write, queueing.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use config::{Acknowledge, ReadPolicy, WhenBehind};
use criterion::{Criterion, criterion_group, criterion_main};
use model::{LogPoint, Position, Priority, ServerId, Term};
use routing::{
    AdmissionQueue, Candidate, PrimaryView, ReadCriteria, Request, WriteRules, route_read,
    route_write,
};

fn candidates() -> Vec<Candidate> {
    let candidate = |server: u16| Candidate {
        server: ServerId(server),
        usable: true,
        primary: server == 0,
        applied: LogPoint::new(1, 100),
        in_flight: u32::from(server),
        slots: 3,
        latency_us: 500,
        same_zone: server == 1,
    };
    (0..3).map(candidate).collect()
}

fn decisions(criterion: &mut Criterion) {
    let candidates = candidates();
    let mut sequence = 0;
    criterion.bench_function("route a read", |bencher| {
        bencher.iter(|| {
            sequence += 1;
            let criteria = ReadCriteria {
                point: LogPoint::new(1, 50),
                has_written: true,
                policy: ReadPolicy::Cost,
                sequence,
                avoid: None,
            };
            route_read(&criteria, black_box(&candidates))
        });
    });
    let view = PrimaryView {
        primary: Some(ServerId(0)),
        term: Term(1),
        usable: true,
        primary_position: Position(9),
        majority_position: Position(9),
        answering: 3,
        majority: 2,
    };
    let rules = WriteRules {
        acknowledge: Acknowledge::Majority,
        when_behind: WhenBehind::Wait,
        behind_positions: 100,
    };
    criterion.bench_function("admit a write", |bencher| {
        bencher.iter(|| route_write(black_box(rules), black_box(&view)));
    });
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(1_024);
    let request = Request {
        caller: 1,
        weight: 1,
        priority: Priority::Normal,
        deadline: now + Duration::from_secs(5),
    };
    criterion.bench_function("queue and grant a request", |bencher| {
        bencher.iter(|| {
            black_box(queue.offer(black_box(request), 8, now));
            black_box(queue.next(now))
        });
    });
}

criterion_group!(benches, decisions);
criterion_main!(benches);
