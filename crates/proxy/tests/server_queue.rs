//! The queue of a server when waiting statements are withdrawn or permits are dropped.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use model::Name;
use overload::{Capacity, Rank, Request, Stage};
use proxy::serve::server_queue::{QueuePermit, QueueRefusal, ServerQueue};
use tokio::task::{JoinHandle, LocalSet, spawn_local, yield_now};

/// Longer than any of these tests takes.
const TIMEOUT: Duration = Duration::from_secs(60);

fn run<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

fn queue() -> Rc<ServerQueue> {
    ServerQueue::new(Name::from("s1"), Capacity { slots: 1, connections: 1, owners: 1 })
}

fn request(account: &str, stage: Stage) -> Request {
    let until = Instant::now() + TIMEOUT;
    Request { rank: Rank::ALL[1], account: Name::from(account), stage, until }
}

async fn begin(queue: &Rc<ServerQueue>) -> QueuePermit {
    queue.await_permit(request("first", Stage::Alone)).await.expect("the server is free")
}

/// Starts a statement that has to wait, and returns when it does.
async fn wait(
    queue: &Rc<ServerQueue>,
    account: &'static str,
) -> JoinHandle<Result<QueuePermit, QueueRefusal>> {
    let before = queue.outstanding();
    let waiting_queue = queue.clone();
    let waiter =
        spawn_local(
            async move { waiting_queue.await_permit(request(account, Stage::Alone)).await },
        );
    while queue.outstanding() == before {
        yield_now().await;
    }
    waiter
}

/// Guards against statements that stay in the queue after their daemon's link has ended.
#[test]
fn a_cancelled_waiter_is_removed_and_blocks_no_other() {
    run(async {
        let queue = queue();
        let permit = begin(&queue).await;
        let cancelled = wait(&queue, "gone").await;
        let remaining = wait(&queue, "stays").await;
        cancelled.abort();
        assert!(cancelled.await.is_err());
        assert_eq!(queue.outstanding(), 2);
        drop(permit);
        assert!(remaining.await.unwrap().is_ok());
    });
}

/// Guards against permits that are lost with the connection to the server.
#[test]
fn a_dropped_permit_goes_to_the_next_waiter() {
    run(async {
        let queue = queue();
        let permit = begin(&queue).await;
        let next = wait(&queue, "next").await;
        let last = wait(&queue, "last").await;
        drop(permit);
        let permit = next.await.unwrap().expect("the next waiter gets the permit");
        assert_eq!(queue.outstanding(), 2);
        drop(permit);
        assert!(last.await.unwrap().is_ok());
        assert_eq!(queue.outstanding(), 0);
    });
}

/// Guards against a permit that is granted just before its receiver is cancelled.
#[test]
fn a_permit_for_a_cancelled_waiter_goes_to_the_next() {
    run(async {
        let queue = queue();
        let permit = begin(&queue).await;
        let cancelled = wait(&queue, "gone").await;
        let remaining = wait(&queue, "stays").await;
        drop(permit);
        cancelled.abort();
        assert!(cancelled.await.is_err());
        assert!(remaining.await.unwrap().is_ok());
    });
}

/// Guards against idle transactions that block a server's slots.
#[test]
fn an_idle_transaction_releases_its_slot_and_keeps_its_connection() {
    run(async {
        let queue =
            ServerQueue::new(Name::from("s1"), Capacity { slots: 1, connections: 4, owners: 1 });
        let mut opened =
            queue.await_permit(request("a", Stage::Opens)).await.expect("the server is free");
        opened.release_slot(true);
        let other = begin(&queue).await;
        let _second = begin(&queue).await;
        let next = async { opened.await_next_statement(Instant::now() + TIMEOUT).await.is_ok() };
        let ends = async {
            yield_now().await;
            drop(other);
        };
        let (next_runs, ()) = tokio::join!(next, ends);
        assert!(next_runs);
    });
}
