//! Statements for querying a server's status and changing its role.
//!
//! The trait is the extension point for database systems whose groups have terms and positions. The
//! statements of [`StatusFunctions`] are documented in `docs/ENDPOINTS.md`.

use std::net::SocketAddr;

use model::{ServerStatus, Term};

/// The statements that a daemon runs on a server's control link.
pub trait ServerDialect: Send + Sync + 'static {
    /// Queries the server's status.
    const STATUS: &'static str;

    /// Seals the server, which refuses lower terms from then on.
    fn seal(term: Term) -> String;
    /// Promotes the server to primary of a term that it was sealed at.
    fn promote(term: Term) -> String;
    /// Makes the server follow the primary of a term.
    fn follow(term: Term, primary: SocketAddr) -> String;
    /// Parses the status from the single column of the answer's single row.
    fn read_status(column: &[u8]) -> Option<ServerStatus>;
}

/// Servers with four SQL functions, each of which returns the status as JSON.
#[derive(Debug)]
pub struct StatusFunctions;

impl ServerDialect for StatusFunctions {
    const STATUS: &'static str = "SELECT wardtiller_status()";

    fn seal(term: Term) -> String {
        format!("SELECT wardtiller_seal({term})")
    }

    fn promote(term: Term) -> String {
        format!("SELECT wardtiller_promote({term})")
    }

    fn follow(term: Term, primary: SocketAddr) -> String {
        format!("SELECT wardtiller_follow({term}, '{primary}')")
    }

    fn read_status(column: &[u8]) -> Option<ServerStatus> {
        serde_json::from_slice(column).ok()
    }
}

/// The dialect of this build.
pub type Dialect = StatusFunctions;
