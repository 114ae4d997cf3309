//! The PostgreSQL protocol towards callers and endpoints.
//!
//! `pgwire` encodes and decodes messages, and `sqlparser` parses statements. This crate adds what a
//! pooling proxy needs on top: the effect of a statement, the session settings that are replayed on
//! every endpoint connection, and the error responses for refusals.

mod caller_stream;
mod classifier;
mod classify;
mod comment;
mod endpoint_stream;
mod log_in;
mod prepared;
mod read_check;
mod responses;
mod settings;
mod socket;
mod tls;

pub use caller_stream::{CallerStream, StartupRequest, StreamEnd};
pub use classifier::Classifier;
pub use classify::{Classification, Effect, classify};
pub use comment::{Tags, split_tags};
pub use endpoint_stream::{EndpointAddress, EndpointError, EndpointStream};
pub use log_in::{LogInError, make_verifier, scram_log_in};
pub use prepared::{PreparedStatement, PreparedStatements, endpoint_statement_name};
pub use responses::{ResponseBuilder, encode_refusal, refusal_response, single_row_response};
pub use settings::{SessionSettings, SettingError};
pub use socket::CallerSocket;
pub use tls::{TlsError, tls_acceptor};
