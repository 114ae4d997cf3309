//! The PostgreSQL protocol towards callers and endpoints.
//!
//! Messages and their encoding come from `pgwire`, statements are read by `sqlparser`. What this
//! crate adds is what a pooling proxy has to know of them: what a statement may do, which session
//! state can be carried from connection to connection, and how a refusal is told.

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
