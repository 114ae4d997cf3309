//! The state of a stand-in server: its databases, its log and its term.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use model::{LogPoint, Position, ServerRole, ServerStatus, Term, TermStart};
use parking_lot::{Mutex, RwLock};

use crate::{
    database::{Database, Parameter, StatementResult},
    value_codec::CodecError,
};

/// A committed transaction in the log of a server.
#[derive(Clone, Debug)]
pub struct LogRecord {
    /// The term of the commit.
    pub term: Term,
    /// The statements, so that tests can check what was executed.
    pub statements: Vec<String>,
    pub(crate) parameters: Vec<Vec<Parameter>>,
    pub(crate) committed_at: Instant,
}

/// The current faults of a server.
#[derive(Clone, Debug, Default)]
pub struct ServerFaults {
    /// The server is down: new connections are refused and open ones are closed.
    pub crashed: bool,
    /// The server accepts connections but doesn't respond.
    pub paused: bool,
    /// The server is unreachable for daemons whose name contains one of these strings. An empty string matches every
    /// daemon.
    pub unreachable_from: Vec<String>,
    /// The server is cut off from replication with other servers.
    pub replication_disconnected: bool,
    /// The additional delay of each response.
    pub response_delay: Duration,
    /// The additional execution time of each statement.
    pub extra_service_time: Duration,
    /// The server refuses new connections, as during a shutdown.
    pub shutting_down: bool,
}

/// The error of a failed statement.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServerError {
    pub(crate) code: &'static str,
    pub(crate) message: String,
}

impl ServerError {
    pub(crate) fn new(code: &'static str, message: impl Into<String>) -> ServerError {
        ServerError { code, message: message.into() }
    }

    /// Returns the error for a write on a server that isn't the primary of its term.
    pub(crate) fn not_primary() -> ServerError {
        ServerError::new("25006", "this server does not take writes in its present term")
    }
}

impl From<CodecError> for ServerError {
    fn from(error: CodecError) -> ServerError {
        ServerError::new(error.sqlstate(), error.to_string())
    }
}

pub(crate) struct State {
    /// The effects of the applied log records.
    pub(crate) committed_data: Database,
    /// The database in which the primary runs write transactions; `None` on a replica.
    pub(crate) working_copy: Option<Database>,
    pub(crate) log: Vec<Arc<LogRecord>>,
    /// The number of applied log records.
    pub(crate) applied: usize,
    pub(crate) promised_term: Term,
    pub(crate) log_term: Term,
    pub(crate) term_starts: Vec<TermStart>,
    pub(crate) role: ServerRole,
    pub(crate) leader: Option<SocketAddr>,
    pub(crate) last_leader_contact: Instant,
    pub(crate) connections: usize,
}

/// A server without its network listener.
pub(crate) struct ServerCore {
    pub(crate) address: SocketAddr,
    pub(crate) state: Mutex<State>,
    pub(crate) faults: RwLock<ServerFaults>,
    /// Held by the transaction that may write.
    pub(crate) write_lock: Arc<tokio::sync::Mutex<()>>,
    pub(crate) receive_delay: Mutex<Duration>,
    pub(crate) apply_lag: Mutex<Duration>,
}

impl ServerCore {
    pub(crate) fn new(address: SocketAddr, leader: SocketAddr) -> ServerCore {
        let leads = address == leader;
        let state = State {
            committed_data: Database::new(),
            working_copy: leads.then(Database::new),
            log: Vec::new(),
            applied: 0,
            promised_term: Term(1),
            log_term: Term(1),
            term_starts: vec![TermStart { term: Term(1), start: Position(0) }],
            role: if leads { ServerRole::Primary } else { ServerRole::Replica },
            leader: (!leads).then_some(leader),
            last_leader_contact: Instant::now(),
            connections: 0,
        };
        ServerCore {
            address,
            state: Mutex::new(state),
            faults: RwLock::default(),
            write_lock: Arc::default(),
            receive_delay: Mutex::new(Duration::ZERO),
            apply_lag: Mutex::new(Duration::ZERO),
        }
    }

    pub(crate) fn status(&self) -> ServerStatus {
        let state = self.state.lock();
        state.status()
    }

    /// Promises a term: writes and log records of earlier terms are refused from then on.
    pub(crate) fn seal(&self, term: Term) -> Result<ServerStatus, ServerError> {
        let mut state = self.state.lock();
        if term < state.promised_term {
            return Err(term_mismatch(term, &state));
        }
        state.promised_term = term;
        Ok(state.status())
    }

    pub(crate) fn promote(&self, term: Term) -> Result<ServerStatus, ServerError> {
        let mut state = self.state.lock();
        if term != state.promised_term {
            return Err(term_mismatch(term, &state));
        }
        if state.role == ServerRole::Primary && state.log_term == term {
            return Ok(state.status());
        }
        state.apply_up_to(usize::MAX);
        state.role = ServerRole::Primary;
        state.leader = None;
        state.log_term = term;
        let start = Position(state.log.len() as u64);
        state.term_starts.push(TermStart { term, start });
        state.working_copy = Some(state.committed_data.copy());
        Ok(state.status())
    }

    pub(crate) fn follow(
        &self,
        term: Term,
        leader: SocketAddr,
    ) -> Result<ServerStatus, ServerError> {
        let mut state = self.state.lock();
        if term < state.promised_term {
            return Err(term_mismatch(term, &state));
        }
        if leader == self.address {
            return Err(ServerError::new("22023", "a server can't follow itself"));
        }
        state.promised_term = term;
        state.role = ServerRole::Replica;
        state.leader = Some(leader);
        state.working_copy = None;
        state.last_leader_contact = Instant::now();
        Ok(state.status())
    }

    /// Runs a statement outside a write transaction, on the committed and applied data.
    pub(crate) fn read(
        &self,
        sql: &str,
        parameters: &[Parameter],
        formats: &[i16],
    ) -> Result<StatementResult, ServerError> {
        let state = self.state.lock();
        state.committed_data.run_statement(sql, parameters, formats)
    }

    /// Runs a statement in the write transaction.
    pub(crate) fn write(
        &self,
        sql: &str,
        parameters: &[Parameter],
        formats: &[i16],
    ) -> Result<StatementResult, ServerError> {
        let state = self.state.lock();
        let working_copy = state.writable_database()?;
        working_copy.run_statement(sql, parameters, formats)
    }

    pub(crate) fn begin_write(&self) -> Result<(), ServerError> {
        let state = self.state.lock();
        state.writable_database()?.begin();
        Ok(())
    }

    pub(crate) fn rollback_write(&self) {
        let state = self.state.lock();
        if let Some(working_copy) = &state.working_copy {
            working_copy.rollback();
        }
    }

    /// Commits the write transaction, or rolls it back if the server is no longer the primary.
    pub(crate) fn commit_write(
        &self,
        statements: Vec<(String, Vec<Parameter>)>,
    ) -> Result<LogPoint, ServerError> {
        let mut state = self.state.lock();
        if let Err(error) = state.writable_database() {
            if let Some(working_copy) = &state.working_copy {
                working_copy.rollback();
            }
            return Err(error);
        }
        let committed = state.writable_database()?.commit();
        committed.map_err(|error| ServerError::new("40000", error))?;
        if !statements.is_empty() {
            let (statements, parameters) = statements.into_iter().unzip();
            let term = state.log_term;
            state.log.push(Arc::new(LogRecord {
                term,
                statements,
                parameters,
                committed_at: Instant::now(),
            }));
            state.apply_up_to(usize::MAX);
        }
        Ok(LogPoint { term: state.log_term, position: Position(state.log.len() as u64) })
    }
}

fn term_mismatch(term: Term, state: &State) -> ServerError {
    let promised = state.promised_term;
    ServerError::new("55000", format!("term {term} does not fit the promised term {promised}"))
}

impl State {
    pub(crate) fn status(&self) -> ServerStatus {
        let is_replica = self.role == ServerRole::Replica;
        let silence_ms = self.last_leader_contact.elapsed().as_millis();
        ServerStatus {
            promised_term: self.promised_term,
            log_term: self.log_term,
            held_position: Position(self.log.len() as u64),
            applied_position: Position(self.applied as u64),
            role: self.role,
            leader_silence_ms: is_replica.then(|| u64::try_from(silence_ms).unwrap_or(u64::MAX)),
            term_starts: self.term_starts.clone(),
        }
    }

    /// Returns the database for writes, or an error if the server isn't the primary of its term.
    fn writable_database(&self) -> Result<&Database, ServerError> {
        match &self.working_copy {
            Some(working_copy) if self.status().leads() => Ok(working_copy),
            _ => Err(ServerError::not_primary()),
        }
    }

    /// Applies log records until `count` of them are applied.
    pub(crate) fn apply_up_to(&mut self, count: usize) {
        while self.applied < self.log.len().min(count) {
            let record = self.log[self.applied].clone();
            for (sql, parameters) in record.statements.iter().zip(&record.parameters) {
                // A statement that fails here has also failed on the primary.
                let _ = self.committed_data.run_statement(sql, parameters, &[]);
            }
            self.applied += 1;
        }
    }

    /// Truncates the log to `length` records, since the new leader doesn't have the others.
    pub(crate) fn truncate(&mut self, length: usize) {
        if length >= self.log.len() {
            return;
        }
        self.log.truncate(length);
        if self.applied > length {
            self.committed_data = Database::new();
            self.applied = 0;
            self.apply_up_to(length);
        }
    }
}
