//! The queue in front of a server when those that wait leave, or what has its permit is lost.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use model::Name;
use overload::{Rank, Request, Room, Stage};
use proxy::serve::server_queue::{QueuePermit, QueueRefusal, ServerQueue};
use tokio::task::{JoinHandle, LocalSet, spawn_local, yield_now};

/// Far beyond what any of these takes.
const LASTS: Duration = Duration::from_secs(60);

fn run<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

fn queue() -> Rc<ServerQueue> {
    ServerQueue::new(Name::from("s1"), Room { slots: 1, connections: 1, owners: 1 })
}

fn request(account: &str, stage: Stage) -> Request {
    let until = Instant::now() + LASTS;
    Request { rank: Rank::ALL[1], account: Name::from(account), stage, until }
}

async fn begin(queue: &Rc<ServerQueue>) -> QueuePermit {
    queue.await_permit(request("first", Stage::Alone)).await.expect("the server is free")
}

/// Lets one wait, and returns once it does.
async fn wait(
    queue: &Rc<ServerQueue>,
    account: &'static str,
) -> JoinHandle<Result<QueuePermit, QueueRefusal>> {
    let before = queue.outstanding();
    let waits = queue.clone();
    let waiter =
        spawn_local(async move { waits.await_permit(request(account, Stage::Alone)).await });
    while queue.outstanding() == before {
        yield_now().await;
    }
    waiter
}

/// The link of a daemon ends while its statements wait at the owner.
#[test]
fn who_stops_waiting_is_taken_out_and_holds_up_nobody() {
    run(async {
        let queue = queue();
        let permit = begin(&queue).await;
        let gone = wait(&queue, "gone").await;
        let stays = wait(&queue, "stays").await;
        gone.abort();
        assert!(gone.await.is_err());
        assert_eq!(queue.outstanding(), 2);
        drop(permit);
        assert!(stays.await.unwrap().is_ok());
    });
}

/// A server's connection is lost: whatever held it gives its permit back as it is dropped.
#[test]
fn a_turn_that_is_lost_goes_to_the_next() {
    run(async {
        let queue = queue();
        let permit = begin(&queue).await;
        let next = wait(&queue, "next").await;
        let last = wait(&queue, "last").await;
        drop(permit);
        let permit = next.await.unwrap().expect("it has its permit");
        assert_eq!(queue.outstanding(), 2);
        drop(permit);
        assert!(last.await.unwrap().is_ok());
        assert_eq!(queue.outstanding(), 0);
    });
}

/// A permit was given, and its asker was gone before it took it.
#[test]
fn a_turn_that_nobody_takes_goes_to_the_next() {
    run(async {
        let queue = queue();
        let permit = begin(&queue).await;
        let gone = wait(&queue, "gone").await;
        let stays = wait(&queue, "stays").await;
        drop(permit);
        gone.abort();
        assert!(gone.await.is_err());
        assert!(stays.await.unwrap().is_ok());
    });
}

/// A transaction rests: its connection is its own, its slot is others'.
#[test]
fn a_transaction_that_rests_leaves_its_slot_and_keeps_its_connection() {
    run(async {
        let queue =
            ServerQueue::new(Name::from("s1"), Room { slots: 1, connections: 4, owners: 1 });
        let mut opened = queue.await_permit(request("a", Stage::Opens)).await.expect("it is free");
        opened.release_slot(true);
        let other = begin(&queue).await;
        let _second = begin(&queue).await;
        let next = async { opened.await_next_statement(Instant::now() + LASTS).await.is_ok() };
        let ends = async {
            yield_now().await;
            drop(other);
        };
        let (has_next, ()) = tokio::join!(next, ends);
        assert!(has_next);
    });
}
