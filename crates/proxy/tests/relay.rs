//! Messages to the owners of connections, and the links to owners.

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
        job::EndpointStatement,
        replay::SessionValues,
    },
    statement::{
        Answer, EndpointOperation, ErrorCode, Outcome, PreparedStatement, StatementError,
        TransactionState,
    },
};

fn forwarded(task: &EndpointTask) -> Option<EndpointTask> {
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
fn an_owner_receives_exactly_what_the_caller_sent() {
    let body = Bytes::from_static(b"1a4  with two blanks \x01");
    let statement = |class| PreparedStatement { class, text: Name::from("q2c") };
    let execute = |class| {
        TaskKind::Statement(EndpointStatement::Execute {
            statement: statement(class),
            arguments: Bytes::from_static(b"1a4 x"),
        })
    };
    let term = Term(7);
    let tasks = [
        TaskKind::Begin { read_only: true },
        TaskKind::Begin { read_only: false },
        TaskKind::Rollback,
        TaskKind::Statement(EndpointStatement::Commit),
        TaskKind::Statement(EndpointStatement::Read(body.clone())),
        TaskKind::Statement(EndpointStatement::Write(body)),
        execute(StatementClass::Read),
        execute(StatementClass::Write),
        TaskKind::Command(EndpointOperation::Status),
        TaskKind::Command(EndpointOperation::Pause { term }),
        TaskKind::Command(EndpointOperation::Resume),
        TaskKind::Command(EndpointOperation::StepDown { term }),
    ];
    let values: SessionValues = [("a", "1"), ("b", "")]
        .into_iter()
        .map(|(name, value)| (Name::from(name), Name::from(value)))
        .collect();
    for kind in tasks {
        for id in [None, Some(Bytes::from_static(b"5c0e7a21d94b36f8"))] {
            let min_point = Some(LogPoint::new(3, 1_209));
            let task = EndpointTask { id, kind: kind.clone(), values: values.clone(), min_point };
            assert_eq!(forwarded(&task), Some(task.clone()));
        }
    }
    // Commands that prepare a connection are sent by its owner alone.
    assert_eq!(
        forwarded(&EndpointTask::internal(TaskKind::Command(EndpointOperation::Reset))),
        None
    );
}

#[test]
fn a_servers_answer_is_returned_unchanged() {
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
fn the_reason_for_not_sending_is_a_number() {
    for why in [NotSent::TooLate, NotSent::Unreachable, NotSent::Unwilling] {
        assert_eq!(NotSent::from_number(why.number()), why);
    }
    assert_eq!(NotSent::from_number(99), NotSent::Unwilling);
}

/// A server may be slow to answer; a living owner answers a ping at once.
#[test]
fn an_owner_counts_as_dead_only_if_it_does_not_answer_a_ping() {
    let received_at = Instant::now();
    let after = |ms| received_at + Duration::from_millis(ms);
    let cases = [
        ("data arrived recently", None, 150, LivenessAction::Wait),
        ("no data for a while", None, 200, LivenessAction::Ping),
        ("pinged recently", Some(200), 400, LivenessAction::Wait),
        ("pinged, without an answer", Some(200), 450, LivenessAction::GiveUp),
    ];
    for (name, pinged_after_ms, now_ms, expected) in cases {
        assert_eq!(
            check_liveness(received_at, pinged_after_ms.map(after), after(now_ms)),
            expected,
            "{name}"
        );
    }
}

mod link {
    //! A link to an owner that answers, is slow, closes the link, freezes or is unreachable.

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

    /// Longer than any of these tests takes.
    const DEADLINE: Duration = Duration::from_secs(60);

    async fn owner() -> (TcpListener, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        (listener, address)
    }

    /// The owners' clock when they accept a link.
    const CLOCK_MS: u64 = 7_000;

    /// Accepts a connection, reads the request for a link and accepts it.
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
    fn an_unreachable_owner_was_sent_nothing() {
        run(async {
            let (listener, address) = owner().await;
            drop(listener);
            let link = RelayLink::start(address);
            let lost = link.call(write(), Instant::now() + DEADLINE).await;
            assert_eq!(lost, Err((Progress::NotSent, ConnectionLost::OwnerLost)));
            assert!(link.is_down());
            // Later requests fail in the same way.
            let lost = link.call(write(), Instant::now() + DEADLINE).await;
            assert_eq!(lost, Err((Progress::NotSent, ConnectionLost::OwnerLost)));
        });
    }

    #[test]
    fn an_owner_that_rejects_the_link_was_sent_nothing() {
        run(async {
            let (listener, address) = owner().await;
            let link = RelayLink::start(address);
            let refuses = async { drop(accept_only(&listener).await) };
            let (lost, ()) = tokio::join!(link.call(write(), Instant::now() + DEADLINE), refuses);
            assert_eq!(lost, Err((Progress::NotSent, ConnectionLost::OwnerLost)));
        });
    }

    /// Guards against a frozen owner that runs a write after its caller received the error that the outcome is unknown
    /// and wrote again.
    #[test]
    fn a_lost_write_is_not_reported_while_the_owner_may_still_start_it() {
        run(async {
            let (listener, address) = owner().await;
            let link = RelayLink::start(address);
            let wait_limit = Duration::from_millis(200);
            let request = RelayRequest { wait_ms: wait_limit.as_millis() as u64, ..write() };
            let call = async {
                let lost = link.call(request, Instant::now() + DEADLINE).await;
                (lost, Instant::now())
            };
            let closes = async {
                let accepted_at = Instant::now();
                let mut frames = accept(&listener).await;
                (read(&mut frames).await, accepted_at)
            };
            let ((lost, reported_at), (request, accepted_at)) = tokio::join!(call, closes);
            assert_eq!(lost, Err((Progress::Sent, ConnectionLost::OwnerLost)));
            let may_start_for = Duration::from_millis(request.start_deadline_ms - CLOCK_MS);
            assert!(may_start_for >= wait_limit);
            assert!(reported_at >= accepted_at + may_start_for);
            assert!(!request.is_past_start_deadline(request.start_deadline_ms - 1));
            assert!(request.is_past_start_deadline(request.start_deadline_ms));
        });
    }

    #[test]
    fn an_owner_that_closes_after_a_write_may_have_run_it() {
        run(async {
            let (listener, address) = owner().await;
            let link = RelayLink::start(address);
            let call = link.call(write(), Instant::now() + DEADLINE);
            let closes = async {
                let mut frames = accept(&listener).await;
                read(&mut frames).await;
            };
            let (lost, ()) = tokio::join!(call, closes);
            assert_eq!(lost, Err((Progress::Sent, ConnectionLost::OwnerLost)));
        });
    }

    #[test]
    fn a_frozen_owner_is_detected_before_the_deadline() {
        run(async {
            let (listener, address) = owner().await;
            let link = RelayLink::start(address);
            let call = link.call(write(), Instant::now() + DEADLINE);
            tokio::pin!(call);
            let mut frames = tokio::select! {
                frames = accept(&listener) => frames,
                _ = &mut call => panic!("no answer was sent"),
            };
            // The owner reads everything and sends nothing.
            let frozen = async {
                while frames.next().await.is_some() {}
                std::future::pending().await
            };
            let lost = tokio::select! {
                lost = &mut call => lost,
                () = frozen => unreachable!("it never returns"),
            };
            assert_eq!(lost, Err((Progress::Sent, ConnectionLost::OwnerLost)));
        });
    }

    /// Guards against statements of disconnected callers in the owner's queue.
    #[test]
    fn an_abandoned_request_is_cancelled() {
        run(async {
            let (listener, address) = owner().await;
            let link = RelayLink::start(address);
            let mut frames = {
                let call = link.call(write(), Instant::now() + DEADLINE);
                tokio::pin!(call);
                tokio::select! {
                    frames = async {
                        let mut frames = accept(&listener).await;
                        read(&mut frames).await;
                        frames
                    } => frames,
                    _ = &mut call => panic!("no answer was sent"),
                }
            };
            let cancelled = read(&mut frames).await;
            assert_eq!((cancelled.number, cancelled.transaction), (1, 0));
            assert_eq!(cancelled.task, Some(RelayTask::Release(false)));
            // An answered request is not cancelled.
            let answered = async {
                let request = read(&mut frames).await;
                answer(&mut frames, request.number, RelayOutcome::NotSent(0)).await;
                read(&mut frames).await
            };
            let call = async {
                let deadline = Instant::now() + DEADLINE;
                link.call(write(), deadline).await.unwrap();
                link.call(write(), deadline).await
            };
            let next = tokio::select! {
                next = answered => next,
                _ = call => panic!("the last request has no answer"),
            };
            assert_eq!(next.task, write().task);
        });
    }

    /// Guards against requests that are cancelled early and keep resetting the liveness check.
    #[test]
    fn a_frozen_owner_is_detected_while_requests_keep_arriving() {
        run(async {
            let (listener, address) = owner().await;
            let link = RelayLink::start(address);
            let frozen = async {
                let mut frames = accept(&listener).await;
                while frames.next().await.is_some() {}
            };
            let asks = async {
                // More requests than fit before the owner counts as dead; each is cancelled long before that.
                for _ in 0..400 {
                    let read = RelayTask::Read(Bytes::from_static(b"a 1"));
                    let request = RelayRequest { task: Some(read), ..RelayRequest::default() };
                    let lost = link.call(request, Instant::now() + Duration::from_millis(20)).await;
                    assert!(lost.is_err());
                    if link.is_down() {
                        return;
                    }
                }
                panic!("the frozen owner was not detected");
            };
            tokio::join!(frozen, asks);
        });
    }

    #[test]
    fn answers_in_any_order_match_their_requests_and_slow_servers_are_awaited() {
        run(async {
            let (listener, address) = owner().await;
            let link = RelayLink::start(address);
            let deadline = Instant::now() + DEADLINE;
            let owner_answers = async {
                let mut frames = accept(&listener).await;
                let first = read(&mut frames).await.number;
                let second = read(&mut frames).await.number;
                // The owner answers several pings.
                for _ in 0..3 {
                    let ping = read(&mut frames).await;
                    assert_eq!(ping.task, Some(RelayTask::Ping(true)));
                    answer(&mut frames, ping.number, RelayOutcome::Pong(true)).await;
                }
                answer(&mut frames, second, RelayOutcome::Lost("second".to_owned())).await;
                answer(&mut frames, first, RelayOutcome::Lost("first".to_owned())).await;
            };
            let (first, second, ()) = tokio::join!(
                link.call(write(), deadline),
                link.call(write(), deadline),
                owner_answers
            );
            assert_eq!(first, Ok(RelayOutcome::Lost("first".to_owned())));
            assert_eq!(second, Ok(RelayOutcome::Lost("second".to_owned())));
        });
    }

    /// Guards against sending requests to an unreachable owner only to find out whether it is back.
    #[test]
    fn a_lost_link_is_reconnected_without_requests() {
        run(async {
            let (listener, address) = owner().await;
            let links = RelayLinks::new(true);
            let start = Instant::now();
            let first = links.first_usable([address], start).unwrap();
            drop(accept_only(&listener).await);
            until_down(&first).await;
            // The owner is avoided at first; then its link is reconnected without requests.
            assert!(links.first_usable([address], start).is_none());
            let later = start + Duration::from_secs(60);
            assert!(links.first_usable([address], later).is_none());
            let mut frames = accept(&listener).await;
            let link = loop {
                if let Some(link) = links.first_usable([address], later) {
                    break link;
                }
                tokio::task::yield_now().await;
            };
            assert!(link.is_connected());
            let call = link.call(write(), Instant::now() + DEADLINE);
            let answers = async {
                let number = read(&mut frames).await.number;
                answer(&mut frames, number, RelayOutcome::Lost("answered".to_owned())).await;
            };
            let (answered, ()) = tokio::join!(call, answers);
            assert_eq!(answered, Ok(RelayOutcome::Lost("answered".to_owned())));
        });
    }

    /// Guards against requests that wait for a dead owner while the second owner is available.
    #[test]
    fn the_second_owner_is_used_while_the_link_to_the_first_is_lost() {
        run(async {
            let (gone, first) = owner().await;
            let (_listener, second) = owner().await;
            drop(gone);
            let links = RelayLinks::new(true);
            let start = Instant::now();
            until_down(&links.first_usable([first, second], start).unwrap()).await;
            for after_ms in [0, 1_000, 60_000] {
                let now = start + Duration::from_millis(after_ms);
                assert_eq!(links.first_usable([first, second], now).unwrap().owner(), second);
            }
        });
    }

    /// Guards against a missing majority after a partition, when the limit coordinator needs votes of members that
    /// were unreachable.
    #[test]
    fn the_link_to_a_member_is_never_avoided() {
        run(async {
            let (gone, address) = owner().await;
            drop(gone);
            let links = RelayLinks::new(true);
            let now = Instant::now();
            for _ in 0..3 {
                let link = links.member_link(address, now);
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
