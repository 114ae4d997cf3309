//! Questions of the control thread to servers, over the connections that sessions share.
//!
//! While the store is silent every daemon asks every server; connections of their own for that would
//! go beyond what the servers grant.

use std::rc::Rc;

use crate::{
    control::runner::{CommandRequest, ServingRequest},
    dialect::{CallerDialect, EndpointDialect},
    relay::owner::serve_relay,
    serve::{
        connection_request::ConnectionRequest,
        endpoint_task::{EndpointTask, TaskKind},
        engine::Engine,
        replay::SessionValues,
    },
    statement::EndpointStatus,
};

/// Answers questions until the control thread ends.
pub async fn answer_control_requests<C: CallerDialect, E: EndpointDialect>(
    engine: Rc<Engine<C, E>>,
    asks: flume::Receiver<ServingRequest>,
) {
    while let Ok(ask) = asks.recv_async().await {
        let engine = engine.clone();
        let ask = match ask {
            ServingRequest::Command(ask) => ask,
            ServingRequest::Relay(link) => {
                tokio::task::spawn_local(serve_relay(engine, link));
                continue;
            }
            ServingRequest::Probe { service, server } => {
                let group = engine.group(&service, &engine.control_view());
                engine.probe_at_once(&group, &service, &server);
                continue;
            }
        };
        tokio::task::spawn_local(async move {
            if let Some(status) = run_command(&engine, &ask).await {
                // The control thread may have given the question up.
                let _ = ask.answer.send(status);
            }
        });
    }
}

async fn run_command<C: CallerDialect, E: EndpointDialect>(
    engine: &Rc<Engine<C, E>>,
    ask: &CommandRequest,
) -> Option<EndpointStatus> {
    let view = engine.control_view();
    let group = engine.group(&ask.service, &view);
    let request = ConnectionRequest {
        only: Some(ask.server.clone()),
        min_point: None,
        avoid: Vec::new(),
        primary: None,
        priority: 0,
        yields: false,
        opens_transaction: false,
        is_forwarded: false,
        previous_attempts: 0,
        cancellation: None,
        principal: None,
    };
    // Whatever values the connection holds do no harm to a status.
    let lent = engine.acquire(&group, request, &SessionValues::new(), ask.deadline).await;
    let mut lent = lent.ok()?;
    let reached = lent.reached();
    let task = EndpointTask::internal(TaskKind::Command(ask.text.clone()));
    match lent.run(&task, ask.deadline).await {
        Ok(answer) => {
            lent.release();
            let row = answer.rows.first()?;
            engine.endpoint_dialect.decode_status(row)
        }
        Err((_, lost)) => {
            drop(lent);
            engine.note_loss(&group, &ask.service, &reached, &lost);
            None
        }
    }
}
