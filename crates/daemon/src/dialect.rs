//! How daemons ask a server for its standing and change it.
//!
//! The trait is the seam for database systems whose groups have terms and positions; the statements
//! of [`StatusFunctions`] are documented in `docs/ENDPOINTS.md`.

use std::net::SocketAddr;

use model::{ServerStatus, Term};

/// The statements by which a server is asked and told.
pub trait ServerDialect: Send + Sync + 'static {
    /// Asks for the server's status.
    const STATUS: &'static str;

    /// Seals the server: it refuses lower terms from then on.
    fn seal(term: Term) -> String;
    /// Opens the server as primary of a term that it was sealed at.
    fn promote(term: Term) -> String;
    /// Makes the server follow the primary of a term.
    fn follow(term: Term, primary: SocketAddr) -> String;
    /// Reads the status out of the single column of the answer's single row.
    fn read_status(column: &[u8]) -> Option<ServerStatus>;
}

/// Servers that offer four functions, each of which returns the status as JSON.
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

/// The dialect that this build speaks.
pub type Dialect = StatusFunctions;
