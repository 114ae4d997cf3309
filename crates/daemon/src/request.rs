//! Builds requests for endpoints from a caller's messages.

use std::{collections::HashMap, sync::Arc};

use bytes::{Bytes, BytesMut};
use peer::{Statement, Step, StepShape};
use pgwire::messages::{
    Message, PgWireBackendMessage,
    data::NoData,
    extendedquery::{
        Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
    },
    simplequery::Query,
};
use wire::{
    Classification, Effect, PreparedStatement, PreparedStatements, ResponseBuilder,
    endpoint_statement_name,
};

/// The combined effects of a request's statements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RequestEffects {
    /// A statement may change data.
    pub(crate) writes: bool,
    /// A transaction that may change data is started.
    pub(crate) begins_writing: bool,
    /// A statement ends a transaction and keeps its changes.
    pub(crate) commits: bool,
    /// A statement is executed.
    pub(crate) executes: bool,
}

impl RequestEffects {
    fn add(&mut self, classified: &Classification) {
        for effect in &classified.effects {
            self.executes = true;
            match effect {
                Effect::Write => self.writes = true,
                Effect::Begin { read_only: false } => self.begins_writing = true,
                Effect::Commit => self.commits = true,
                _ => {}
            }
        }
    }

    /// Whether the request may run on a replica.
    pub(crate) fn is_read_only(&self) -> bool {
        !self.writes && !self.begins_writing
    }
}

/// A request in the form of messages for an endpoint.
#[derive(Debug, Default)]
pub(crate) struct Request {
    pub(crate) steps: Vec<Step>,
    pub(crate) statements: Vec<Statement>,
    pub(crate) effects: RequestEffects,
    pub(crate) read_kind: Option<String>,
    pub(crate) traceparent: Option<String>,
    /// Effects of statements that the daemon runs itself, in order.
    pub(crate) local: Vec<Effect>,
    /// The error that answers the whole request.
    pub(crate) error: Option<RequestError>,
}

/// An error found before anything was sent to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestError {
    pub(crate) code: &'static str,
    pub(crate) message: String,
}

impl RequestError {
    pub(crate) fn new(code: &'static str, message: impl Into<String>) -> RequestError {
        RequestError { code, message: message.into() }
    }

    /// Returns the error of a statement that can't be run, if any.
    fn for_statement(classified: &Classification) -> Option<RequestError> {
        if let Some(message) = classified.parse_error() {
            return Some(RequestError::new("42601", format!("wardtiller: {message}")));
        }
        classified.unsupported_feature().map(RequestError::unsupported)
    }

    pub(crate) fn unsupported(what: &str) -> RequestError {
        RequestError::new("0A000", format!("wardtiller: pooled connections can't carry {what}"))
    }
}

impl Request {
    /// Builds a request from a simple query.
    pub(crate) fn simple(query: Query, classified: &Classification) -> Request {
        let mut request = Request::default();
        if let Some(error) = RequestError::for_statement(classified) {
            request.error = Some(error);
            return request;
        }
        if classified.is_local() {
            request.local.clone_from(&classified.effects);
            return request;
        }
        request.effects.add(classified);
        match encode(&query) {
            Ok(message) => request.add_step(StepShape::Query, message, 0),
            Err(error) => request.error = Some(error),
        }
        request
    }

    /// Whether the daemon answers the whole request itself.
    pub(crate) fn is_local(&self) -> bool {
        self.steps.iter().all(|step| step.shape() == StepShape::Canned)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.steps.is_empty() && self.local.is_empty() && self.error.is_none()
    }

    fn add_step(&mut self, shape: StepShape, message: Bytes, statement: u64) {
        self.steps.push(Step { shape: shape as i32, message, statement });
    }

    fn add_canned(&mut self, message: &PgWireBackendMessage) {
        let message = ResponseBuilder::default().with(message).finish();
        self.add_step(StepShape::Canned, message, 0);
    }

    fn require_statement(&mut self, prepared: &PreparedStatement) {
        if self.statements.iter().all(|required| required.id != prepared.id) {
            self.statements.push(Statement { id: prepared.id, parse: prepared.parse.clone() });
        }
    }

    fn fail(&mut self, error: RequestError) {
        self.error.get_or_insert(error);
    }
}

fn encode<M: Message>(message: &M) -> Result<Bytes, RequestError> {
    let mut buffer = BytesMut::new();
    match message.encode(&mut buffer) {
        Ok(()) => Ok(buffer.freeze()),
        Err(error) => Err(RequestError::new("08P01", error.to_string())),
    }
}

/// The prepared statements and portals of a session.
#[derive(Debug, Default)]
pub(crate) struct ExtendedState {
    pub(crate) prepared: PreparedStatements,
    portals: HashMap<String, Arc<PreparedStatement>>,
}

/// Maximum number of portals of one transaction.
const MAX_PORTALS: usize = 1_024;

impl ExtendedState {
    /// Drops the portals, which end with the transaction.
    pub(crate) fn end_transaction(&mut self) {
        self.portals.clear();
    }

    pub(crate) fn parse(
        &mut self,
        request: &mut Request,
        parse: Parse,
        classified: Arc<Classification>,
        read_kind: Option<String>,
    ) {
        if let Some(error) = RequestError::for_statement(&classified) {
            request.fail(error);
            return;
        }
        let name = parse.name.clone().unwrap_or_default();
        let local = classified.is_local();
        let prepared = Arc::new(PreparedStatement::new(parse, classified, read_kind));
        if let Err(message) = self.prepared.insert(&name, prepared.clone()) {
            request.fail(RequestError::new("42P05", message));
            return;
        }
        if local {
            request.add_canned(&PgWireBackendMessage::ParseComplete(ParseComplete::new()));
            return;
        }
        request.require_statement(&prepared);
        request.add_step(StepShape::Parse, prepared.parse.clone(), prepared.id);
    }

    pub(crate) fn bind(&mut self, request: &mut Request, bind: Bind) {
        let name = bind.statement_name.clone().unwrap_or_default();
        let Some(prepared) = self.prepared.get(&name).cloned() else {
            request.fail(not_found("prepared statement", &name));
            return;
        };
        if self.portals.len() >= MAX_PORTALS {
            request.fail(RequestError::new("53400", "too many portals"));
            return;
        }
        let portal = bind.portal_name.clone().unwrap_or_default();
        self.portals.insert(portal, prepared.clone());
        if prepared.classified.is_local() {
            request.add_canned(&PgWireBackendMessage::BindComplete(BindComplete::new()));
            return;
        }
        request.require_statement(&prepared);
        let renamed = Bind::new(
            bind.portal_name,
            Some(endpoint_statement_name(prepared.id)),
            bind.parameter_format_codes,
            bind.parameters,
            bind.result_column_format_codes,
        );
        match encode(&renamed) {
            Ok(message) => request.add_step(StepShape::Bind, message, prepared.id),
            Err(error) => request.fail(error),
        }
    }

    pub(crate) fn describe(&mut self, request: &mut Request, describe: Describe) {
        let name = describe.name.clone().unwrap_or_default();
        let is_statement = describe.target_type == b'S';
        let found = if is_statement {
            self.prepared.get(&name).cloned()
        } else {
            self.portals.get(&name).cloned()
        };
        let Some(prepared) = found else {
            request
                .fail(not_found(if is_statement { "prepared statement" } else { "portal" }, &name));
            return;
        };
        if prepared.classified.is_local() {
            request.add_local_description(&prepared.classified, is_statement);
            return;
        }
        let (described, statement) = if is_statement {
            request.require_statement(&prepared);
            (Describe::new(b'S', Some(endpoint_statement_name(prepared.id))), prepared.id)
        } else {
            (describe, 0)
        };
        match encode(&described) {
            Ok(message) => request.add_step(StepShape::Describe, message, statement),
            Err(error) => request.fail(error),
        }
    }

    pub(crate) fn execute(&mut self, request: &mut Request, execute: &Execute) {
        let name = execute.name.clone().unwrap_or_default();
        let Some(prepared) = self.portals.get(&name).cloned() else {
            request.fail(not_found("portal", &name));
            return;
        };
        if prepared.classified.is_local() {
            for effect in &prepared.classified.effects {
                request.local.push(effect.clone());
                // `run_local_statements` fills in the answer.
                request.add_step(StepShape::Canned, Bytes::new(), 0);
            }
            return;
        }
        request.effects.add(&prepared.classified);
        if request.read_kind.is_none() {
            request.read_kind.clone_from(&prepared.read_kind);
        }
        match encode(execute) {
            Ok(message) => request.add_step(StepShape::Execute, message, 0),
            Err(error) => request.fail(error),
        }
    }

    pub(crate) fn close(&mut self, request: &mut Request, close: &Close) {
        let name = close.name.clone().unwrap_or_default();
        if close.target_type == b'S' {
            self.prepared.remove(&name);
            request.add_canned(&PgWireBackendMessage::CloseComplete(CloseComplete::new()));
            return;
        }
        let portal = self.portals.remove(&name);
        if portal.is_none_or(|prepared| prepared.classified.is_local()) {
            request.add_canned(&PgWireBackendMessage::CloseComplete(CloseComplete::new()));
            return;
        }
        match encode(close) {
            Ok(message) => request.add_step(StepShape::Close, message, 0),
            Err(error) => request.fail(error),
        }
    }
}

impl Request {
    fn add_local_description(&mut self, classified: &Classification, is_statement: bool) {
        if is_statement {
            let types = pgwire::messages::data::ParameterDescription::new(Vec::new());
            self.add_canned(&PgWireBackendMessage::ParameterDescription(types));
        }
        let shown_setting = classified.effects.iter().find_map(|effect| match effect {
            Effect::Show { name } => Some(name.as_str()),
            _ => None,
        });
        match shown_setting {
            Some(name) => {
                let (description, _) = wire::single_row_response(name, "");
                self.add_step(StepShape::Canned, description, 0);
            }
            None => self.add_canned(&PgWireBackendMessage::NoData(NoData::new())),
        }
    }
}

fn not_found(what: &str, name: &str) -> RequestError {
    let code = if what == "portal" { "34000" } else { "26000" };
    RequestError::new(code, format!("there is no {what} `{name}`"))
}
