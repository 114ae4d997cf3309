//! What is to run on a connection, whoever's connection that is.

use std::time::Instant;

use bytes::Bytes;
use model::LogPoint;

use crate::{
    dialect::EndpointDialect,
    serve::{
        connection::{ConnectionLost, EndpointConnection},
        job::Work,
        replay::SessionValues,
        verdict::Progress,
    },
    statement::{Answer, EndpointCommand, EndpointText},
};

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskKind {
    /// A transaction is opened.
    Begin {
        /// Whether it only reads.
        read_only: bool,
    },
    /// The transaction is rolled back.
    Rollback,
    /// A caller's statement.
    Work(Work),
    /// A question or command of the daemon's own.
    Command(EndpointText),
}

/// A task with all that it needs on whichever connection runs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointTask {
    /// The caller's identifier; `None` for what the daemon itself asks.
    pub id: Option<Bytes>,
    /// What is to be done.
    pub kind: TaskKind,
    /// The values of the caller's session.
    pub values: SessionValues,
    /// The point that the server's log must hold.
    pub min_point: Option<LogPoint>,
}

impl EndpointTask {
    /// Something that needs neither a caller nor values.
    pub fn internal(kind: TaskKind) -> EndpointTask {
        EndpointTask { id: None, kind, values: SessionValues::new(), min_point: None }
    }

    /// Runs it on a connection: all that has to go before it and the statement go out in one write.
    pub async fn run<E: EndpointDialect>(
        &self,
        connection: &mut EndpointConnection<E>,
        deadline: Instant,
    ) -> Result<Answer, (Progress, ConnectionLost)> {
        let before = match &self.kind {
            TaskKind::Work(work) => connection.environment.prepare_for(&self.values, work.shape()),
            TaskKind::Begin { .. } | TaskKind::Rollback | TaskKind::Command(_) => Vec::new(),
        };
        let Some(text) = self.text(connection) else {
            let lost = ConnectionLost::Malformed("a shape that was not prepared".to_owned());
            return Err((Progress::NotSent, lost));
        };
        let setup_commands = before.len();
        for text in before {
            connection.queue(&EndpointCommand::own(text));
        }
        connection.queue(&EndpointCommand { id: self.id.clone(), min_point: self.min_point, text });
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

    /// Returns the command's text; a prepared statement is named by the connection's own number.
    fn text<E>(&self, connection: &EndpointConnection<E>) -> Option<EndpointText> {
        Some(match &self.kind {
            TaskKind::Begin { read_only } => EndpointText::Begin { read_only: *read_only },
            TaskKind::Rollback => EndpointText::Rollback,
            TaskKind::Command(text) => text.clone(),
            TaskKind::Work(Work::Read(body)) => EndpointText::Read(body.clone()),
            TaskKind::Work(Work::Write(body)) => EndpointText::Write(body.clone()),
            TaskKind::Work(Work::Commit) => EndpointText::Commit,
            TaskKind::Work(Work::Execute { shape, arguments }) => EndpointText::Execute {
                number: connection.environment.number_of(shape)?,
                arguments: arguments.clone(),
            },
        })
    }
}
