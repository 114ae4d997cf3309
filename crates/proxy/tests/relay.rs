//! What daemons tell the owners of connections, and when an owner counts as dead.

use std::time::{Duration, Instant};

use bytes::Bytes;
use model::{LogPoint, Name, StatementClass, Term};
use proxy::{
    relay::{
        link::{LivenessAction, check_liveness},
        messages::{AnswerMessage, NotSent, PointMessage, RelayRequest, RelayTask, values_of},
    },
    serve::{
        endpoint_task::{EndpointTask, TaskKind},
        job::Work,
        replay::SessionValues,
    },
    statement::{
        Answer, EndpointText, ErrorCode, Outcome, PreparedShape, StatementError, TransactionState,
    },
};

fn handed_over(task: &EndpointTask) -> Option<EndpointTask> {
    let request = RelayRequest {
        id: task.id.clone().unwrap_or_default(),
        values: values_of(&task.values),
        min_point: task.min_point.map(PointMessage::from),
        task: RelayTask::of(&task.kind),
        ..RelayRequest::default()
    };
    request.endpoint_task()
}

#[test]
fn an_owner_is_given_exactly_what_the_caller_asked() {
    let body = Bytes::from_static(b"1a4  with two blanks \x01");
    let shape = |class| PreparedShape { class, shape: Name::from("q2c") };
    let execute = |class| {
        TaskKind::Work(Work::Execute {
            shape: shape(class),
            arguments: Bytes::from_static(b"1a4 x"),
        })
    };
    let term = Term(7);
    let tasks = [
        TaskKind::Begin { read_only: true },
        TaskKind::Begin { read_only: false },
        TaskKind::Rollback,
        TaskKind::Work(Work::Commit),
        TaskKind::Work(Work::Read(body.clone())),
        TaskKind::Work(Work::Write(body)),
        execute(StatementClass::Read),
        execute(StatementClass::Write),
        TaskKind::Command(EndpointText::Status),
        TaskKind::Command(EndpointText::Pause { term }),
        TaskKind::Command(EndpointText::Resume),
        TaskKind::Command(EndpointText::StepDown { term }),
    ];
    let values: SessionValues = [("a", "1"), ("b", "")]
        .into_iter()
        .map(|(name, value)| (Name::from(name), Name::from(value)))
        .collect();
    for kind in tasks {
        for id in [None, Some(Bytes::from_static(b"5c0e7a21d94b36f8"))] {
            let min_point = Some(LogPoint::new(3, 1_209));
            let task = EndpointTask { id, kind: kind.clone(), values: values.clone(), min_point };
            assert_eq!(handed_over(&task), Some(task.clone()));
        }
    }
    // Whatever prepares a connection is for its owner to say.
    assert_eq!(handed_over(&EndpointTask::internal(TaskKind::Command(EndpointText::Reset))), None);
}

#[test]
fn a_server_s_answer_comes_back_as_it_was() {
    let codes = [
        ErrorCode::Overloaded,
        ErrorCode::Aborted,
        ErrorCode::NotFresh,
        ErrorCode::NotPrimary,
        ErrorCode::WrongServer,
        ErrorCode::TooManyConnections,
        ErrorCode::UnknownStatement,
        ErrorCode::Failed,
        ErrorCode::TimedOut,
        ErrorCode::InDoubt,
        ErrorCode::UnknownDatabase,
        ErrorCode::Malformed,
        ErrorCode::TooLarge,
        ErrorCode::Forbidden,
    ];
    let errors = codes.map(|code| Outcome::Error(StatementError::new(code, "why not")));
    let success = [Outcome::Complete(Bytes::new()), Outcome::Complete(Bytes::from_static(b"7.1f"))];
    for outcome in success.into_iter().chain(errors) {
        for state in [TransactionState::Idle, TransactionState::Open, TransactionState::Failed] {
            let answer = Answer {
                rows: vec![Bytes::from_static(b"row"), Bytes::new()],
                outcome: outcome.clone(),
                state,
                point: Some(LogPoint::new(2, 5)),
            };
            assert_eq!(AnswerMessage::of(answer.clone()).answer(), Some(answer));
        }
    }
    let unknown =
        AnswerMessage { code: "of a later version".to_owned(), ..AnswerMessage::default() };
    assert_eq!(unknown.answer(), None);
}

#[test]
fn why_an_owner_sent_nothing_is_told_by_number() {
    for why in [NotSent::TooLate, NotSent::Unreachable, NotSent::Unwilling] {
        assert_eq!(NotSent::from_number(why.number()), why);
    }
    assert_eq!(NotSent::from_number(99), NotSent::Unwilling);
}

/// A server may take long to answer; an owner that lives says so at once.
#[test]
fn an_owner_counts_as_dead_only_if_it_does_not_say_that_it_lives() {
    let heard_at = Instant::now();
    let after = |ms| heard_at + Duration::from_millis(ms);
    let cases = [
        ("a moment ago", None, 150, LivenessAction::Wait),
        ("quiet for a while", None, 200, LivenessAction::Ping),
        ("asked a moment ago", Some(200), 400, LivenessAction::Wait),
        ("asked, and nothing came", Some(200), 450, LivenessAction::GiveUp),
    ];
    for (name, pinged_after_ms, now_ms, expected) in cases {
        assert_eq!(
            check_liveness(heard_at, pinged_after_ms.map(after), after(now_ms)),
            expected,
            "{name}"
        );
    }
}

mod link {
    //! A link to an owner that answers, is slow, leaves, freezes or was never there.

    use std::net::SocketAddr;

    use bytes::BytesMut;
    use futures::{SinkExt, StreamExt};
    use prost::Message;
    use proxy::{
        relay::{
            link::RelayLink,
            links::RelayLinks,
            messages::{RelayAnswer, RelayOutcome},
        },
        serve::{connection::ConnectionLost, verdict::Progress},
    };
    use tokio::{net::TcpListener, task::LocalSet};
    use tokio_util::codec::{Framed, LengthDelimitedCodec};

    use super::*;

    type Frames = Framed<tokio::net::TcpStream, LengthDelimitedCodec>;

    /// Far beyond what any of these takes.
    const DEADLINE: Duration = Duration::from_secs(60);

    async fn owner() -> (TcpListener, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        (listener, address)
    }

    /// What the owners' clocks show as they take a link.
    const CLOCK_MS: u64 = 7_000;

    /// Accepts a link, reads that it is one and takes it.
    async fn accept(listener: &TcpListener) -> Frames {
        let mut frames = accept_only(listener).await;
        answer(&mut frames, 0, RelayOutcome::Pong(true)).await;
        frames
    }

    async fn accept_only(listener: &TcpListener) -> Frames {
        let (stream, _) = listener.accept().await.unwrap();
        let mut frames = Framed::new(stream, LengthDelimitedCodec::new());
        frames.next().await.unwrap().unwrap();
        frames
    }

    async fn read(frames: &mut Frames) -> RelayRequest {
        let frame: BytesMut = frames.next().await.unwrap().unwrap();
        RelayRequest::decode(frame).unwrap()
    }

    async fn answer(frames: &mut Frames, number: u64, outcome: RelayOutcome) {
        let answer = RelayAnswer {
            number,
            clock_ms: CLOCK_MS,
            outcome: Some(outcome),
            ..RelayAnswer::default()
        };
        frames.send(Bytes::from(answer.encode_to_vec())).await.unwrap();
    }

    fn write() -> RelayRequest {
        let task = Some(RelayTask::Write(Bytes::from_static(b"a 1")));
        RelayRequest { task, ..RelayRequest::default() }
    }

    fn run<F: Future<Output = ()>>(test: F) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, test);
    }

    #[test]
    fn an_owner_that_is_not_there_was_sent_nothing() {
        run(async {
            let (listener, address) = owner().await;
            drop(listener);
            let link = RelayLink::start(address);
            let lost = link.call(write(), Instant::now() + DEADLINE).await;
            assert_eq!(lost, Err((Progress::NotSent, ConnectionLost::OwnerLost)));
            assert!(link.is_down());
            // Nor is anything else.
            let lost = link.call(write(), Instant::now() + DEADLINE).await;
            assert_eq!(lost, Err((Progress::NotSent, ConnectionLost::OwnerLost)));
        });
    }

    #[test]
    fn an_owner_that_does_not_take_the_link_was_sent_nothing() {
        run(async {
            let (listener, address) = owner().await;
            let link = RelayLink::start(address);
            let refuses = async { drop(accept_only(&listener).await) };
            let (lost, ()) = tokio::join!(link.call(write(), Instant::now() + DEADLINE), refuses);
            assert_eq!(lost, Err((Progress::NotSent, ConnectionLost::OwnerLost)));
        });
    }

    /// Found by the soak: a frozen owner was taken for dead, the caller was told that the outcome was open and wrote
    /// again, and then the owner went on with the first write.
    #[test]
    fn nobody_hears_of_a_lost_write_while_the_owner_may_still_begin_with_it() {
        run(async {
            let (listener, address) = owner().await;
            let link = RelayLink::start(address);
            let waits = Duration::from_millis(200);
            let request = RelayRequest { wait_ms: waits.as_millis() as u64, ..write() };
            let asked = async {
                let lost = link.call(request, Instant::now() + DEADLINE).await;
                (lost, Instant::now())
            };
            let leaves = async {
                let shows_clock_at = Instant::now();
                let mut frames = accept(&listener).await;
                (read(&mut frames).await, shows_clock_at)
            };
            let ((lost, told_at), (request, shows_clock_at)) = tokio::join!(asked, leaves);
            assert_eq!(lost, Err((Progress::Sent, ConnectionLost::OwnerLost)));
            let may_begin_for = Duration::from_millis(request.start_deadline_ms - CLOCK_MS);
            assert!(may_begin_for >= waits);
            assert!(told_at >= shows_clock_at + may_begin_for);
            assert!(!request.is_past_start(request.start_deadline_ms - 1));
            assert!(request.is_past_start(request.start_deadline_ms));
        });
    }

    #[test]
    fn an_owner_that_leaves_with_a_write_may_have_run_it() {
        run(async {
            let (listener, address) = owner().await;
            let link = RelayLink::start(address);
            let asked = link.call(write(), Instant::now() + DEADLINE);
            let leaves = async {
                let mut frames = accept(&listener).await;
                read(&mut frames).await;
            };
            let (lost, ()) = tokio::join!(asked, leaves);
            assert_eq!(lost, Err((Progress::Sent, ConnectionLost::OwnerLost)));
        });
    }

    #[test]
    fn an_owner_that_is_frozen_is_found_out_long_before_the_deadline() {
        run(async {
            let (listener, address) = owner().await;
            let link = RelayLink::start(address);
            let asked = link.call(write(), Instant::now() + DEADLINE);
            tokio::pin!(asked);
            let mut frames = tokio::select! {
                frames = accept(&listener) => frames,
                _ = &mut asked => panic!("nothing was answered"),
            };
            // It reads all the while and says nothing.
            let frozen = async {
                while frames.next().await.is_some() {}
                std::future::pending().await
            };
            let lost = tokio::select! {
                lost = &mut asked => lost,
                () = frozen => unreachable!("it waits for ever"),
            };
            assert_eq!(lost, Err((Progress::Sent, ConnectionLost::OwnerLost)));
        });
    }

    /// A caller that leaves takes its work out of the queue at the owner too.
    #[test]
    fn what_nobody_waits_for_any_more_is_taken_back() {
        run(async {
            let (listener, address) = owner().await;
            let link = RelayLink::start(address);
            let mut frames = {
                let asked = link.call(write(), Instant::now() + DEADLINE);
                tokio::pin!(asked);
                tokio::select! {
                    frames = async {
                        let mut frames = accept(&listener).await;
                        read(&mut frames).await;
                        frames
                    } => frames,
                    _ = &mut asked => panic!("nothing was answered"),
                }
            };
            let taken_back = read(&mut frames).await;
            assert_eq!((taken_back.number, taken_back.transaction), (1, 0));
            assert_eq!(taken_back.task, Some(RelayTask::Release(false)));
            // What was answered is not.
            let answered = async {
                let request = read(&mut frames).await;
                answer(&mut frames, request.number, RelayOutcome::NotSent(0)).await;
                read(&mut frames).await
            };
            let asked = async {
                let deadline = Instant::now() + DEADLINE;
                link.call(write(), deadline).await.unwrap();
                link.call(write(), deadline).await
            };
            let next = tokio::select! {
                next = answered => next,
                _ = asked => panic!("the last one is not answered"),
            };
            assert_eq!(next.task, write().task);
        });
    }

    /// Statements that keep coming and are given up must not hide that the owner says nothing.
    #[test]
    fn an_owner_that_is_frozen_is_found_out_while_requests_keep_coming() {
        run(async {
            let (listener, address) = owner().await;
            let link = RelayLink::start(address);
            let frozen = async {
                let mut frames = accept(&listener).await;
                while frames.next().await.is_some() {}
            };
            let asks = async {
                // Far more than come before it counts as dead, each given up long before that.
                for _ in 0..400 {
                    let read = RelayTask::Read(Bytes::from_static(b"a 1"));
                    let request = RelayRequest { task: Some(read), ..RelayRequest::default() };
                    let lost = link.call(request, Instant::now() + Duration::from_millis(20)).await;
                    assert!(lost.is_err());
                    if link.is_down() {
                        return;
                    }
                }
                panic!("it is not found out");
            };
            tokio::join!(frozen, asks);
        });
    }

    #[test]
    fn answers_find_their_requests_in_whatever_order_they_come_and_a_slow_server_is_waited_for() {
        run(async {
            let (listener, address) = owner().await;
            let link = RelayLink::start(address);
            let deadline = Instant::now() + DEADLINE;
            let lives = async {
                let mut frames = accept(&listener).await;
                let first = read(&mut frames).await.number;
                let second = read(&mut frames).await.number;
                // Asked several times whether it lives, it says so.
                for _ in 0..3 {
                    let ping = read(&mut frames).await;
                    assert_eq!(ping.task, Some(RelayTask::Ping(true)));
                    answer(&mut frames, ping.number, RelayOutcome::Pong(true)).await;
                }
                answer(&mut frames, second, RelayOutcome::Lost("second".to_owned())).await;
                answer(&mut frames, first, RelayOutcome::Lost("first".to_owned())).await;
            };
            let (first, second, ()) =
                tokio::join!(link.call(write(), deadline), link.call(write(), deadline), lives);
            assert_eq!(first, Ok(RelayOutcome::Lost("first".to_owned())));
            assert_eq!(second, Ok(RelayOutcome::Lost("second".to_owned())));
        });
    }

    /// The pattern: an owner behind a partition. Every request of a second was sent to find out whether it is back.
    #[test]
    fn a_link_that_was_lost_is_opened_again_without_requests() {
        run(async {
            let (listener, address) = owner().await;
            let links = RelayLinks::new(true);
            let start = Instant::now();
            let first = links.to_first([address], start).unwrap();
            drop(accept_only(&listener).await);
            until_down(&first).await;
            // It is passed over for a moment, and then tried with nothing on it.
            assert!(links.to_first([address], start).is_none());
            let later = start + Duration::from_secs(60);
            assert!(links.to_first([address], later).is_none());
            let mut frames = accept(&listener).await;
            let link = loop {
                if let Some(link) = links.to_first([address], later) {
                    break link;
                }
                tokio::task::yield_now().await;
            };
            assert!(link.is_connected());
            let asked = link.call(write(), Instant::now() + DEADLINE);
            let answers = async {
                let number = read(&mut frames).await.number;
                answer(&mut frames, number, RelayOutcome::Lost("answered".to_owned())).await;
            };
            let (answered, ()) = tokio::join!(asked, answers);
            assert_eq!(answered, Ok(RelayOutcome::Lost("answered".to_owned())));
        });
    }

    /// The pattern: the owner is gone and the second one is there; nobody waits for the first.
    #[test]
    fn the_second_owner_is_used_while_the_link_to_the_first_is_lost() {
        run(async {
            let (gone, first) = owner().await;
            let (_listener, second) = owner().await;
            drop(gone);
            let links = RelayLinks::new(true);
            let start = Instant::now();
            until_down(&links.to_first([first, second], start).unwrap()).await;
            for after_ms in [0, 1_000, 60_000] {
                let now = start + Duration::from_millis(after_ms);
                assert_eq!(links.to_first([first, second], now).unwrap().owner(), second);
            }
        });
    }

    /// The pattern: a partition ends, and the keeper of the limits needs the votes of members that could not be reached.
    #[test]
    fn a_member_that_alone_can_answer_is_never_passed_over() {
        run(async {
            let (gone, address) = owner().await;
            drop(gone);
            let links = RelayLinks::new(true);
            let now = Instant::now();
            for _ in 0..3 {
                let link = links.to_member(address, now);
                assert!(!link.is_down());
                until_down(&link).await;
            }
        });
    }

    async fn until_down(link: &RelayLink) {
        while !link.is_down() {
            tokio::task::yield_now().await;
        }
    }
}
