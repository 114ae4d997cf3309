//! Tasks that run on a connection to a server, owned by this daemon or by another one.

use std::time::Instant;

use bytes::Bytes;
use model::LogPoint;

use crate::{
    dialect::EndpointDialect,
    serve::{
        connection::{ConnectionLost, EndpointConnection},
        job::EndpointStatement,
        replay::SessionValues,
        verdict::Progress,
    },
    statement::{Answer, EndpointCommand, EndpointOperation},
};

/// The kind of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskKind {
    /// Open a transaction.
    Begin {
        /// Whether it is read-only.
        read_only: bool,
    },
    /// Roll the transaction back.
    Rollback,
    /// Run a caller's statement.
    Statement(EndpointStatement),
    /// Run a query or command of the daemon itself.
    Command(EndpointOperation),
}

/// A task with the context that any connection needs to run it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointTask {
    /// The caller's identifier for the request; `None` for a task of the daemon itself.
    pub id: Option<Bytes>,
    /// The kind of the task.
    pub kind: TaskKind,
    /// The values of the caller's session.
    pub values: SessionValues,
    /// The point that the server's log must hold.
    pub min_point: Option<LogPoint>,
}

impl EndpointTask {
    /// Creates a task without a caller and without session values.
    pub fn internal(kind: TaskKind) -> EndpointTask {
        EndpointTask { id: None, kind, values: SessionValues::new(), min_point: None }
    }

    /// Runs the task on a connection. The commands that restore the session state and the task itself are sent
    /// in one write.
    pub async fn run<E: EndpointDialect>(
        &self,
        connection: &mut EndpointConnection<E>,
        deadline: Instant,
    ) -> Result<Answer, (Progress, ConnectionLost)> {
        let before = match &self.kind {
            TaskKind::Statement(statement) => {
                connection.environment.prepare_for(&self.values, statement.prepared())
            }
            TaskKind::Begin { .. } | TaskKind::Rollback | TaskKind::Command(_) => Vec::new(),
        };
        let Some(operation) = self.operation(connection) else {
            let lost = ConnectionLost::Malformed("a shape that was not prepared".to_owned());
            return Err((Progress::NotSent, lost));
        };
        let setup_commands = before.len();
        for operation in before {
            connection.queue(&EndpointCommand::internal(operation));
        }
        connection.queue(&EndpointCommand {
            id: self.id.clone(),
            min_point: self.min_point,
            operation,
        });
        let sent = |lost| (Progress::Sent, lost);
        connection.flush(deadline).await.map_err(sent)?;
        for _ in 0..setup_commands {
            let answer = connection.read_answer(deadline).await.map_err(sent)?;
            if answer.error_code().is_some() {
                let why = "the server refused a value or a shape".to_owned();
                return Err((Progress::Sent, ConnectionLost::Malformed(why)));
            }
        }
        connection.read_answer(deadline).await.map_err(sent)
    }

    /// Returns the operation of the command; `None` if it executes a statement that is not prepared on the connection.
    fn operation<E>(&self, connection: &EndpointConnection<E>) -> Option<EndpointOperation> {
        Some(match &self.kind {
            TaskKind::Begin { read_only } => EndpointOperation::Begin { read_only: *read_only },
            TaskKind::Rollback => EndpointOperation::Rollback,
            TaskKind::Command(operation) => operation.clone(),
            TaskKind::Statement(EndpointStatement::Read(body)) => {
                EndpointOperation::Read(body.clone())
            }
            TaskKind::Statement(EndpointStatement::Write(body)) => {
                EndpointOperation::Write(body.clone())
            }
            TaskKind::Statement(EndpointStatement::Commit) => EndpointOperation::Commit,
            TaskKind::Statement(EndpointStatement::Execute { statement, arguments }) => {
                EndpointOperation::Execute {
                    number: connection.environment.number_of(statement)?,
                    arguments: arguments.clone(),
                }
            }
        })
    }
}
