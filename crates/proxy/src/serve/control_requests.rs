//! Runs requests of the control thread to servers over the connections that sessions share.
//!
//! While the store is unreachable, every daemon queries every server. Separate connections for this would
//! exceed the connection limits of the servers.

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

/// Answers requests until the control thread ends.
pub async fn answer_control_requests<C: CallerDialect, E: EndpointDialect>(
    engine: Rc<Engine<C, E>>,
    requests: flume::Receiver<ServingRequest>,
) {
    while let Ok(request) = requests.recv_async().await {
        let engine = engine.clone();
        let command = match request {
            ServingRequest::Command(command) => command,
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
            if let Some(status) = run_command(&engine, &command).await {
                // The control thread may no longer be waiting for the answer.
                let _ = command.answer.send(status);
            }
        });
    }
}

async fn run_command<C: CallerDialect, E: EndpointDialect>(
    engine: &Rc<Engine<C, E>>,
    command: &CommandRequest,
) -> Option<EndpointStatus> {
    let view = engine.control_view();
    let group = engine.group(&command.service, &view);
    let request = ConnectionRequest {
        only: Some(command.server.clone()),
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
    // Session values on the connection do not affect a status command.
    let connection = engine.acquire(&group, request, &SessionValues::new(), command.deadline).await;
    let mut connection = connection.ok()?;
    let server_route = connection.server_route();
    let task = EndpointTask::internal(TaskKind::Command(command.operation.clone()));
    match connection.run(&task, command.deadline).await {
        Ok(answer) => {
            connection.release();
            let row = answer.rows.first()?;
            engine.endpoint_dialect.decode_status(row)
        }
        Err((_, lost)) => {
            drop(connection);
            engine.on_connection_lost(&group, &command.service, &server_route, &lost);
            None
        }
    }
}
