//! A connection to a stand-in server.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bytes::Bytes;
use model::{ServerStatus, Term};
use pgwire::messages::{
    PgWireBackendMessage, PgWireFrontendMessage,
    data::{NoData, ParameterDescription, RowDescription},
    extendedquery::{Bind, BindComplete, CloseComplete, Execute, Parse, ParseComplete},
    response::{
        CommandComplete, EmptyQueryResponse, ErrorResponse, ReadyForQuery, TransactionStatus,
    },
};
use tokio::sync::OwnedMutexGuard;
use wire::{CallerStream, StreamEnd};

use crate::{
    database::{Parameter, StatementResult, first_word},
    endpoint::Shared,
    responses::{TEXT_OID, tag_only, text_column, text_value},
    server_core::ServerError,
    sql_text::{is_control_call, runs_in_database, sleep_seconds, split_statements, strip_casts},
    value_codec::ValueType,
};

/// How long a transaction waits for the write lock.
const WRITE_LOCK_TIMEOUT: Duration = Duration::from_secs(10);

struct PreparedStatement {
    sql: String,
    types: Vec<u32>,
}

struct Portal {
    statement: Arc<PreparedStatement>,
    parameters: Vec<Parameter>,
    formats: Vec<i16>,
}

/// The state of the connection's transaction.
struct Transaction {
    explicit: bool,
    failed: bool,
    read_only: bool,
    /// The write lock, from the first write on.
    write_guard: Option<OwnedMutexGuard<()>>,
    statements: Vec<(String, Vec<Parameter>)>,
}

pub(crate) struct ServerSession {
    shared: Arc<Shared>,
    stream: CallerStream,
    caller: String,
    prepared: HashMap<String, Arc<PreparedStatement>>,
    portals: HashMap<String, Portal>,
    transaction: Option<Transaction>,
    /// After an error, extended-protocol messages are skipped until the next `Sync`.
    skip_until_sync: bool,
    cancelled: Arc<tokio::sync::Notify>,
}

impl ServerSession {
    pub(crate) fn new(
        shared: Arc<Shared>,
        stream: CallerStream,
        caller: String,
        cancelled: Arc<tokio::sync::Notify>,
    ) -> ServerSession {
        ServerSession {
            shared,
            stream,
            caller,
            prepared: HashMap::new(),
            portals: HashMap::new(),
            transaction: None,
            skip_until_sync: false,
            cancelled,
        }
    }

    pub(crate) async fn run(mut self) {
        loop {
            let message = match self.stream.next().await {
                Ok(PgWireFrontendMessage::Terminate(_)) | Err(_) => break,
                Ok(message) => message,
            };
            self.shared.wait_until_reachable(&self.caller).await;
            if self.handle(message).await.is_err() {
                break;
            }
        }
    }

    async fn handle(&mut self, message: PgWireFrontendMessage) -> Result<(), StreamEnd> {
        if self.skip_until_sync && !matches!(message, PgWireFrontendMessage::Sync(_)) {
            return Ok(());
        }
        match message {
            PgWireFrontendMessage::Query(query) => {
                self.simple_query(&query.query).await;
                self.ready().await
            }
            PgWireFrontendMessage::Sync(_) => {
                self.skip_until_sync = false;
                self.end_implicit();
                self.ready().await
            }
            PgWireFrontendMessage::Flush(_) => self.send().await,
            other => {
                if let Err(error) = self.handle_extended(other).await {
                    self.send_error(&error);
                    self.skip_until_sync = true;
                }
                Ok(())
            }
        }
    }

    async fn handle_extended(&mut self, message: PgWireFrontendMessage) -> Result<(), ServerError> {
        match message {
            PgWireFrontendMessage::Parse(parse) => self.parse(parse),
            PgWireFrontendMessage::Bind(bind) => self.bind(bind),
            PgWireFrontendMessage::Describe(describe) => {
                let name = describe.name.unwrap_or_default();
                self.describe(describe.target_type, &name)
            }
            PgWireFrontendMessage::Execute(execute) => self.execute(execute).await,
            PgWireFrontendMessage::Close(close) => {
                let name = close.name.unwrap_or_default();
                if close.target_type == b'S' {
                    self.prepared.remove(&name);
                } else {
                    self.portals.remove(&name);
                }
                self.stream.add(&PgWireBackendMessage::CloseComplete(CloseComplete::new()));
                Ok(())
            }
            _ => Err(ServerError::new("0A000", "the stand-in does not know this message")),
        }
    }

    fn parse(&mut self, parse: Parse) -> Result<(), ServerError> {
        let (sql, casts) = strip_casts(&parse.query);
        let mut types = parse.type_oids;
        for (position, oid) in casts {
            if types.len() < position {
                types.resize(position, 0);
            }
            types[position - 1] = oid;
        }
        if runs_in_database(&sql) {
            let state = self.shared.core.state.lock();
            let described = state.committed_data.describe(&sql);
            let (count, _) = described.map_err(|error| ServerError::new("42601", error))?;
            types.resize(count.max(types.len()), 0);
        }
        for oid in &mut types {
            if *oid == 0 {
                *oid = TEXT_OID;
            }
        }
        let statement = Arc::new(PreparedStatement { sql, types });
        self.prepared.insert(parse.name.unwrap_or_default(), statement);
        self.stream.add(&PgWireBackendMessage::ParseComplete(ParseComplete::new()));
        Ok(())
    }

    fn bind(&mut self, bind: Bind) -> Result<(), ServerError> {
        let name = bind.statement_name.unwrap_or_default();
        let statement = self.prepared.get(&name).cloned();
        let statement = statement
            .ok_or_else(|| ServerError::new("26000", format!("no prepared statement `{name}`")))?;
        let format_of = |index: usize| match bind.parameter_format_codes.as_slice() {
            [] => 0,
            [all] => *all,
            each => each.get(index).copied().unwrap_or(0),
        };
        let mut parameters = Vec::new();
        for (index, value) in bind.parameters.iter().enumerate() {
            let oid = statement.types.get(index).copied().unwrap_or(TEXT_OID);
            parameters.push(read_parameter(value.as_ref(), oid, format_of(index))?);
        }
        let formats = bind.result_column_format_codes;
        let portal = Portal { statement, parameters, formats };
        self.portals.insert(bind.portal_name.unwrap_or_default(), portal);
        self.stream.add(&PgWireBackendMessage::BindComplete(BindComplete::new()));
        Ok(())
    }

    fn describe(&mut self, target: u8, name: &str) -> Result<(), ServerError> {
        let unknown_name = || ServerError::new("26000", format!("nothing is called `{name}`"));
        let (sql, formats) = if target == b'S' {
            let statement = self.prepared.get(name).ok_or_else(unknown_name)?;
            let types = ParameterDescription::new(statement.types.clone());
            self.stream.add(&PgWireBackendMessage::ParameterDescription(types));
            (statement.sql.clone(), Vec::new())
        } else {
            let portal = self.portals.get(name).ok_or_else(unknown_name)?;
            (portal.statement.sql.clone(), portal.formats.clone())
        };
        let description = self.describe_sql(&sql, &formats)?;
        match description {
            Some(description) => {
                self.stream.add(&PgWireBackendMessage::RowDescription(description));
            }
            None => self.stream.add(&PgWireBackendMessage::NoData(NoData::new())),
        }
        Ok(())
    }

    fn describe_sql(
        &self,
        sql: &str,
        formats: &[i16],
    ) -> Result<Option<RowDescription>, ServerError> {
        if !runs_in_database(sql) {
            return Ok(is_control_call(sql).then(|| text_column("wardtiller")));
        }
        let state = self.shared.core.state.lock();
        let described = state.committed_data.describe(sql);
        let (_, description) = described.map_err(|error| ServerError::new("42601", error))?;
        Ok(description.map(|mut description| {
            for (index, field) in description.fields.iter_mut().enumerate() {
                field.format_code = match formats {
                    [] => 0,
                    [all] => *all,
                    each => each.get(index).copied().unwrap_or(0),
                };
            }
            description
        }))
    }

    async fn execute(&mut self, execute: Execute) -> Result<(), ServerError> {
        let name = execute.name.unwrap_or_default();
        let portal = self
            .portals
            .remove(&name)
            .ok_or_else(|| ServerError::new("34000", format!("no portal `{name}`")))?;
        let sql = portal.statement.sql.clone();
        let result = self.run_statement(&sql, &portal.parameters, &portal.formats).await?;
        self.add_result(result, false);
        Ok(())
    }

    async fn simple_query(&mut self, text: &str) {
        let statements = split_statements(text);
        if statements.is_empty() {
            let message = PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new());
            self.stream.add(&message);
            return;
        }
        for sql in statements {
            match self.run_statement(&sql, &[], &[]).await {
                Ok(result) => self.add_result(result, true),
                Err(error) => {
                    self.send_error(&error);
                    return;
                }
            }
        }
        self.end_implicit();
    }

    /// Runs one statement and updates the state of the transaction.
    async fn run_statement(
        &mut self,
        sql: &str,
        parameters: &[Parameter],
        formats: &[i16],
    ) -> Result<StatementResult, ServerError> {
        if let Some(result) = self.run_control_call(sql)? {
            return Ok(result);
        }
        let keyword = first_word(sql);
        let failed = self.transaction.as_ref().is_some_and(|transaction| transaction.failed);
        if failed && !matches!(keyword.as_str(), "ROLLBACK" | "COMMIT" | "END") {
            let message = "current transaction is aborted, commands ignored until end of block";
            return Err(ServerError::new("25P02", message));
        }
        match keyword.as_str() {
            "BEGIN" | "START" => {
                self.end_implicit();
                let read_only = sql.to_uppercase().contains("READ ONLY");
                self.transaction = Some(Transaction::new(true, read_only));
                Ok(tag_only("BEGIN"))
            }
            "COMMIT" | "END" => self.commit(),
            "ROLLBACK" if !sql.to_uppercase().contains(" TO ") => {
                self.abort();
                Ok(tag_only("ROLLBACK"))
            }
            "SET" | "RESET" | "DISCARD" => Ok(tag_only(&keyword)),
            "SHOW" => Ok(text_value("setting", "")),
            _ => {
                self.simulate_execution().await?;
                self.run_data_statement(&keyword, sql, parameters, formats).await
            }
        }
    }

    async fn run_data_statement(
        &mut self,
        keyword: &str,
        sql: &str,
        parameters: &[Parameter],
        formats: &[i16],
    ) -> Result<StatementResult, ServerError> {
        if let Some(seconds) = sleep_seconds(sql) {
            return self.sleep(seconds).await;
        }
        let is_read = matches!(keyword, "SELECT" | "WITH" | "VALUES" | "EXPLAIN" | "TABLE");
        let core = self.shared.core.clone();
        let is_writing =
            self.transaction.as_ref().is_some_and(|transaction| transaction.write_guard.is_some());
        if is_read && !is_writing {
            return core.read(sql, parameters, formats);
        }
        if !is_writing {
            self.begin_write().await?;
        }
        let result = core.write(sql, parameters, formats)?;
        if !is_read && let Some(transaction) = &mut self.transaction {
            transaction.statements.push((sql.to_owned(), parameters.to_vec()));
        }
        Ok(result)
    }

    async fn begin_write(&mut self) -> Result<(), ServerError> {
        if self.transaction.as_ref().is_some_and(|transaction| transaction.read_only) {
            return Err(ServerError::new("25006", "cannot write in a read-only transaction"));
        }
        let write_lock = self.shared.core.write_lock.clone();
        let guard = tokio::time::timeout(WRITE_LOCK_TIMEOUT, write_lock.lock_owned())
            .await
            .map_err(|_| ServerError::new("55P03", "another transaction holds the lock"))?;
        self.shared.core.begin_write()?;
        let transaction = self.transaction.get_or_insert_with(|| Transaction::new(false, false));
        transaction.write_guard = Some(guard);
        Ok(())
    }

    /// Occupies one of the server's slots for the execution time of a statement.
    async fn simulate_execution(&self) -> Result<(), ServerError> {
        let service_time = self.shared.service_time();
        if service_time.is_zero() {
            return Ok(());
        }
        let _slot = self
            .shared
            .slots
            .acquire()
            .await
            .map_err(|_| ServerError::new("57P01", "the server is shutting down"))?;
        tokio::time::sleep(service_time).await;
        Ok(())
    }

    async fn sleep(&self, seconds: f64) -> Result<StatementResult, ServerError> {
        tokio::select! {
            () = tokio::time::sleep(Duration::from_secs_f64(seconds)) => {
                Ok(text_value("pg_sleep", ""))
            }
            () = self.cancelled.notified() => {
                Err(ServerError::new("57014", "canceling statement due to user request"))
            }
        }
    }

    fn commit(&mut self) -> Result<StatementResult, ServerError> {
        let Some(transaction) = self.transaction.take() else { return Ok(tag_only("COMMIT")) };
        if transaction.failed {
            self.shared.roll_back(transaction.write_guard.is_some());
            return Ok(tag_only("ROLLBACK"));
        }
        if transaction.write_guard.is_some() {
            self.shared.core.commit_write(transaction.statements)?;
        }
        Ok(tag_only("COMMIT"))
    }

    /// Commits the implicit transaction of a request without `BEGIN`.
    fn end_implicit(&mut self) {
        if self.transaction.as_ref().is_none_or(|transaction| transaction.explicit) {
            return;
        }
        if let Err(error) = self.commit() {
            self.send_error(&error);
        }
    }

    fn abort(&mut self) {
        if let Some(transaction) = self.transaction.take() {
            self.shared.roll_back(transaction.write_guard.is_some());
        }
    }

    fn send_error(&mut self, error: &ServerError) {
        match &mut self.transaction {
            Some(transaction) if transaction.explicit => transaction.failed = true,
            _ => self.abort(),
        }
        let fields = vec![
            (b'S', "ERROR".to_owned()),
            (b'V', "ERROR".to_owned()),
            (b'C', error.code.to_owned()),
            (b'M', error.message.clone()),
        ];
        self.stream.add(&PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields)));
    }

    /// Runs the control functions, by which daemons read and change the role and the term of the server.
    fn run_control_call(&mut self, sql: &str) -> Result<Option<StatementResult>, ServerError> {
        let Some(call) = sql.trim().strip_prefix("SELECT wardtiller_") else { return Ok(None) };
        let (name, arguments) = call.split_once('(').unwrap_or((call, ""));
        let arguments: Vec<&str> = arguments
            .trim_end_matches(&[')', ';', ' '][..])
            .split(',')
            .map(|argument| argument.trim().trim_matches('\''))
            .collect();
        let term = || {
            let number = arguments.first().and_then(|argument| argument.parse().ok());
            number.map(Term).ok_or_else(|| ServerError::new("22023", "expected a term"))
        };
        let core = &self.shared.core;
        let status = match name {
            "status" => core.status(),
            "seal" => core.seal(term()?)?,
            "promote" => core.promote(term()?)?,
            "follow" => {
                let leader = arguments.get(1).and_then(|argument| argument.parse().ok());
                let leader =
                    leader.ok_or_else(|| ServerError::new("22023", "expected an address"))?;
                core.follow(term()?, leader)?
            }
            _ => return Err(ServerError::new("42883", format!("no function wardtiller_{name}"))),
        };
        Ok(Some(text_value("wardtiller", &status_json(&status))))
    }

    fn add_result(&mut self, result: StatementResult, describe: bool) {
        if describe && let Some(description) = result.description {
            self.stream.add(&PgWireBackendMessage::RowDescription(description));
        }
        for row in result.rows {
            self.stream.add(&PgWireBackendMessage::DataRow(row));
        }
        let message = CommandComplete::new(result.tag);
        self.stream.add(&PgWireBackendMessage::CommandComplete(message));
    }

    async fn ready(&mut self) -> Result<(), StreamEnd> {
        let status = match &self.transaction {
            Some(transaction) if transaction.failed => TransactionStatus::Error,
            Some(_) => TransactionStatus::Transaction,
            None => TransactionStatus::Idle,
        };
        self.stream.add(&PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status)));
        self.send().await
    }

    async fn send(&mut self) -> Result<(), StreamEnd> {
        let delay = self.shared.core.faults.read().response_delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        self.shared.wait_until_reachable(&self.caller).await;
        self.stream.flush().await
    }
}

impl Drop for ServerSession {
    /// Rolls back the open transaction, since a crash fault drops the session at any point.
    fn drop(&mut self) {
        self.abort();
    }
}

impl Transaction {
    fn new(explicit: bool, read_only: bool) -> Transaction {
        Transaction {
            explicit,
            failed: false,
            read_only,
            write_guard: None,
            statements: Vec::new(),
        }
    }
}

fn status_json(status: &ServerStatus) -> String {
    serde_json::to_string(status).expect("a status is plain data")
}

fn read_parameter(value: Option<&Bytes>, oid: u32, format: i16) -> Result<Parameter, ServerError> {
    match value {
        Some(value) => Ok(ValueType::from_oid(oid)?.decode(value, format)?),
        None => Ok(Parameter::Null),
    }
}
