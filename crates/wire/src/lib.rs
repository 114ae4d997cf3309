//! The PostgreSQL protocol towards callers and endpoints.
//!
//! Messages and their encoding come from `pgwire`, statements are read by `sqlparser`. What this
//! crate adds is what a pooling proxy has to know of them: what a statement may do, which session
//! state can be carried from connection to connection, and how a refusal is told.

mod answers;
mod caller_stream;
mod classifier;
mod classify;
mod comment;
mod endpoint_stream;
mod log_in;
mod prepared;
mod read_check;
mod settings;
mod socket;
mod tls;

pub use answers::{Answer, encode_refusal, refusal_response, row_answer};
pub use caller_stream::{CallerStream, StartupRequest, StreamEnd};
pub use classifier::Classifier;
pub use classify::{Classified, Effect, classify};
pub use comment::{Tags, split_tags};
pub use endpoint_stream::{EndpointAddress, EndpointError, EndpointStream};
pub use log_in::{LogInError, make_verifier, scram_log_in};
pub use prepared::{Prepared, PreparedStatements, endpoint_statement_name};
pub use settings::{SessionSettings, SettingError};
pub use socket::CallerSocket;
pub use tls::{TlsError, tls_acceptor};
