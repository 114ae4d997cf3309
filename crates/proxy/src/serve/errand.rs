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
pub enum Task {
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
pub struct Errand {
    /// The caller's identifier; `None` for what the daemon itself asks.
    pub id: Option<Bytes>,
    /// What is to be done.
    pub task: Task,
    /// The values of the caller's session.
    pub values: SessionValues,
    /// The point that the server's log must hold.
    pub floor: Option<LogPoint>,
}

impl Errand {
    /// Something that needs neither a caller nor values.
    pub fn own(task: Task) -> Errand {
        Errand { id: None, task, values: SessionValues::new(), floor: None }
    }

    /// Runs it on a connection: all that has to go before it and the statement go out in one write.
    pub async fn run<E: EndpointDialect>(
        &self,
        connection: &mut EndpointConnection<E>,
        deadline: Instant,
    ) -> Result<Answer, (Progress, ConnectionLost)> {
        let before = match &self.task {
            Task::Work(work) => connection.environment.prepare_for(&self.values, work.shape()),
            Task::Begin { .. } | Task::Rollback | Task::Command(_) => Vec::new(),
        };
        let Some(text) = self.text(connection) else {
            let lost = ConnectionLost::Garbled("a shape that was not prepared".to_owned());
            return Err((Progress::NotSent, lost));
        };
        let own_commands = before.len();
        for text in before {
            connection.queue(&EndpointCommand::own(text));
        }
        connection.queue(&EndpointCommand { id: self.id.clone(), floor: self.floor, text });
        let sent = |lost| (Progress::Sent, lost);
        connection.flush(deadline).await.map_err(sent)?;
        for _ in 0..own_commands {
            let answer = connection.read_answer(deadline).await.map_err(sent)?;
            if answer.error_code().is_some() {
                let why = "the server refused a value or a shape".to_owned();
                return Err((Progress::Sent, ConnectionLost::Garbled(why)));
            }
        }
        connection.read_answer(deadline).await.map_err(sent)
    }

    /// Returns the command's text; a prepared statement is named by the connection's own number.
    fn text<E>(&self, connection: &EndpointConnection<E>) -> Option<EndpointText> {
        Some(match &self.task {
            Task::Begin { read_only } => EndpointText::Begin { read_only: *read_only },
            Task::Rollback => EndpointText::Rollback,
            Task::Command(text) => text.clone(),
            Task::Work(Work::Read(body)) => EndpointText::Read(body.clone()),
            Task::Work(Work::Write(body)) => EndpointText::Write(body.clone()),
            Task::Work(Work::Commit) => EndpointText::Commit,
            Task::Work(Work::Execute { shape, arguments }) => EndpointText::Execute {
                number: connection.environment.number_of(shape)?,
                arguments: arguments.clone(),
            },
        })
    }
}
