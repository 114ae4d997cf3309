//! The requirements of a statement for its connection.

use model::{LogPoint, Name};
use overload::Rank;
use tokio_util::sync::CancellationToken;

use crate::accounts::Principal;

/// The requirements of a statement for its connection.
#[derive(Clone, Debug)]
pub struct ConnectionRequest {
    /// The only server to use; `None` for any suitable one.
    pub only: Option<Name>,
    /// The point that the server's log must hold; servers known to be behind it are skipped.
    pub min_point: Option<LogPoint>,
    /// Servers that have just failed to run this statement.
    pub avoid: Vec<Name>,
    /// The primary of the group.
    pub primary: Option<Name>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether it yields capacity of the primary to statements that only the primary can run.
    pub yields: bool,
    /// Whether it opens a transaction, which keeps its connection while the caller is idle.
    pub opens_transaction: bool,
    /// Whether another daemon forwarded it. It then runs on a connection of this daemon, even if another one
    /// owns the server's connections.
    pub is_forwarded: bool,
    /// How many times the operation was sent before, by any daemon.
    pub previous_attempts: u32,
    /// Cancelled when the result is no longer needed; the request then leaves the server's queue. A connection
    /// that is being opened is still opened, since its failure is useful to other requests.
    pub cancellation: Option<CancellationToken>,
    /// The principal for which the connection must be authenticated; `None` for a command of the daemon itself,
    /// which any connection can run.
    pub principal: Option<Principal>,
}

impl ConnectionRequest {
    /// Returns the rank that its priority maps to.
    pub(crate) fn rank(&self) -> Rank {
        Rank::of_priority(self.priority)
    }

    /// Whether a connection of `principal` is suitable.
    pub(crate) fn accepts_principal(&self, principal: &Principal) -> bool {
        self.principal.as_ref().is_none_or(|wanted| wanted == principal)
    }
}
