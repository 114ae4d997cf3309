//! The state of one server: its databases, its log, its term.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use model::{LogPoint, Position, ServerRole, ServerStatus, Term, TermStart};
use parking_lot::{Mutex, RwLock};

use crate::{
    database::{Database, Outcome, Parameter},
    value_codec::CodecError,
};

/// One committed transaction in a server's log.
#[derive(Clone, Debug)]
pub struct LogRecord {
    /// The term in which it was committed.
    pub term: Term,
    /// Its statements, for tests that look for what ran.
    pub statements: Vec<String>,
    pub(crate) parameters: Vec<Vec<Parameter>>,
    pub(crate) committed_at: Instant,
}

/// What is wrong with a server at present.
#[derive(Clone, Debug, Default)]
pub struct ServerFaults {
    /// It is down: connections are refused and open ones closed.
    pub crashed: bool,
    /// It is frozen: it takes connections and answers nothing.
    pub paused: bool,
    /// It can't be reached by, and can't answer, daemons whose name contains one of these; an empty
    /// string cuts off all of them.
    pub cut_from: Vec<String>,
    /// It can't exchange the log with other servers.
    pub cut_from_servers: bool,
    /// Each answer is held back for this long.
    pub answer_delay: Duration,
    /// Each statement takes this much longer to run.
    pub extra_service: Duration,
    /// It refuses new connections, as a server that shuts down does.
    pub shutting_down: bool,
}

/// Why a statement failed.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServerError {
    pub(crate) code: &'static str,
    pub(crate) message: String,
}

impl ServerError {
    pub(crate) fn new(code: &'static str, message: impl Into<String>) -> ServerError {
        ServerError { code, message: message.into() }
    }

    /// The server does not take writes; nothing of the transaction was kept.
    pub(crate) fn not_leading() -> ServerError {
        ServerError::new("25006", "this server does not take writes in its present term")
    }
}

impl From<CodecError> for ServerError {
    fn from(error: CodecError) -> ServerError {
        ServerError::new(error.sqlstate(), error.to_string())
    }
}

pub(crate) struct State {
    pub(crate) live: Database,
    pub(crate) work: Option<Database>,
    pub(crate) log: Vec<Arc<LogRecord>>,
    pub(crate) applied: usize,
    pub(crate) promised_term: Term,
    pub(crate) log_term: Term,
    pub(crate) term_starts: Vec<TermStart>,
    pub(crate) role: ServerRole,
    pub(crate) leader: Option<SocketAddr>,
    pub(crate) last_heard: Instant,
    pub(crate) connections: usize,
}

/// A server without its network side.
pub(crate) struct ServerCore {
    pub(crate) address: SocketAddr,
    pub(crate) state: Mutex<State>,
    pub(crate) faults: RwLock<ServerFaults>,
    /// Held by the one transaction that writes.
    pub(crate) writer: Arc<tokio::sync::Mutex<()>>,
    pub(crate) receive_delay: Mutex<Duration>,
    pub(crate) apply_lag: Mutex<Duration>,
}

impl ServerCore {
    pub(crate) fn new(address: SocketAddr, leader: SocketAddr) -> ServerCore {
        let leads = address == leader;
        let state = State {
            live: Database::new(),
            work: leads.then(Database::new),
            log: Vec::new(),
            applied: 0,
            promised_term: Term(1),
            log_term: Term(1),
            term_starts: vec![TermStart { term: Term(1), start: Position(0) }],
            role: if leads { ServerRole::Primary } else { ServerRole::Replica },
            leader: (!leads).then_some(leader),
            last_heard: Instant::now(),
            connections: 0,
        };
        ServerCore {
            address,
            state: Mutex::new(state),
            faults: RwLock::default(),
            writer: Arc::default(),
            receive_delay: Mutex::new(Duration::ZERO),
            apply_lag: Mutex::new(Duration::ZERO),
        }
    }

    pub(crate) fn status(&self) -> ServerStatus {
        let state = self.state.lock();
        state.status()
    }

    pub(crate) fn seal(&self, term: Term) -> Result<ServerStatus, ServerError> {
        let mut state = self.state.lock();
        if term < state.promised_term {
            return Err(lower_term(term, &state));
        }
        state.promised_term = term;
        Ok(state.status())
    }

    pub(crate) fn promote(&self, term: Term) -> Result<ServerStatus, ServerError> {
        let mut state = self.state.lock();
        if term != state.promised_term {
            return Err(lower_term(term, &state));
        }
        if state.role == ServerRole::Primary && state.log_term == term {
            return Ok(state.status());
        }
        state.apply_until(usize::MAX);
        state.role = ServerRole::Primary;
        state.leader = None;
        state.log_term = term;
        let start = Position(state.log.len() as u64);
        state.term_starts.push(TermStart { term, start });
        state.work = Some(state.live.copy());
        Ok(state.status())
    }

    pub(crate) fn follow(
        &self,
        term: Term,
        leader: SocketAddr,
    ) -> Result<ServerStatus, ServerError> {
        let mut state = self.state.lock();
        if term < state.promised_term {
            return Err(lower_term(term, &state));
        }
        if leader == self.address {
            return Err(ServerError::new("22023", "a server can't follow itself"));
        }
        state.promised_term = term;
        state.role = ServerRole::Replica;
        state.leader = Some(leader);
        state.work = None;
        state.last_heard = Instant::now();
        Ok(state.status())
    }

    /// Runs a statement outside a writing transaction, on what is committed and applied.
    pub(crate) fn read(
        &self,
        sql: &str,
        parameters: &[Parameter],
        formats: &[i16],
    ) -> Result<Outcome, ServerError> {
        let state = self.state.lock();
        state.live.run(sql, parameters, formats)
    }

    /// Runs a statement inside the writing transaction.
    pub(crate) fn write(
        &self,
        sql: &str,
        parameters: &[Parameter],
        formats: &[i16],
    ) -> Result<Outcome, ServerError> {
        let state = self.state.lock();
        let work = state.leading()?;
        work.run(sql, parameters, formats)
    }

    pub(crate) fn begin_write(&self) -> Result<(), ServerError> {
        let state = self.state.lock();
        state.leading()?.begin();
        Ok(())
    }

    pub(crate) fn rollback_write(&self) {
        let state = self.state.lock();
        if let Some(work) = &state.work {
            work.rollback();
        }
    }

    /// Commits the writing transaction, unless the server has stopped leading meanwhile.
    pub(crate) fn commit_write(
        &self,
        statements: Vec<(String, Vec<Parameter>)>,
    ) -> Result<LogPoint, ServerError> {
        let mut state = self.state.lock();
        if let Err(error) = state.leading() {
            if let Some(work) = &state.work {
                work.rollback();
            }
            return Err(error);
        }
        let committed = state.leading()?.commit();
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
            state.apply_until(usize::MAX);
        }
        Ok(LogPoint { term: state.log_term, position: Position(state.log.len() as u64) })
    }
}

fn lower_term(term: Term, state: &State) -> ServerError {
    let promised = state.promised_term;
    ServerError::new("55000", format!("term {term} does not fit the promised term {promised}"))
}

impl State {
    pub(crate) fn status(&self) -> ServerStatus {
        let replica = self.role == ServerRole::Replica;
        let silence = self.last_heard.elapsed().as_millis();
        ServerStatus {
            promised_term: self.promised_term,
            log_term: self.log_term,
            held_position: Position(self.log.len() as u64),
            applied_position: Position(self.applied as u64),
            role: self.role,
            leader_silence_ms: replica.then(|| u64::try_from(silence).unwrap_or(u64::MAX)),
            term_starts: self.term_starts.clone(),
        }
    }

    /// Returns the database that writes run on, if the server leads in its term.
    fn leading(&self) -> Result<&Database, ServerError> {
        match &self.work {
            Some(work) if self.status().leads() => Ok(work),
            _ => Err(ServerError::not_leading()),
        }
    }

    /// Applies log records until `until` of them are applied.
    pub(crate) fn apply_until(&mut self, until: usize) {
        while self.applied < self.log.len().min(until) {
            let record = self.log[self.applied].clone();
            for (sql, parameters) in record.statements.iter().zip(&record.parameters) {
                // It ran on the primary, so a failure here fails there alike.
                let _ = self.live.run(sql, parameters, &[]);
            }
            self.applied += 1;
        }
    }

    /// Drops what the new leader's history does not have.
    pub(crate) fn truncate(&mut self, length: usize) {
        if length >= self.log.len() {
            return;
        }
        self.log.truncate(length);
        if self.applied > length {
            self.live = Database::new();
            self.applied = 0;
            self.apply_until(length);
        }
    }
}
