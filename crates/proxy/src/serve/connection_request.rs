//! What a statement that wants a connection asks for.

use model::{LogPoint, Name};
use overload::Rank;
use tokio_util::sync::CancellationToken;

use crate::accounts::Principal;

/// What a statement that wants a connection asks for.
#[derive(Clone, Debug)]
pub struct ConnectionRequest {
    /// Only this server; `None` for any that is fit.
    pub only: Option<Name>,
    /// The point that the server must hold, to pass over those known to be behind.
    pub min_point: Option<LogPoint>,
    /// Servers that have just failed to run this very statement.
    pub avoid: Vec<Name>,
    /// The server that leads, which has work that no other can do.
    pub primary: Option<Name>,
    /// The most urgent is 0.
    pub priority: u8,
    /// Whether it leaves room at the primary for statements that only the primary can run.
    pub yields: bool,
    /// Whether it opens a transaction, which keeps its connection while its caller rests.
    pub opens_transaction: bool,
    /// Whether another daemon handed it over; then it runs on a connection of this one, whoever owns them.
    pub is_forwarded: bool,
    /// How often the operation was sent before, over all daemons.
    pub previous_attempts: u32,
    /// Cancelled when nobody wants it any more; then it is taken out of the server's queue. A connection that is being opened is
    /// still opened: that it can't be tells others.
    pub cancellation: Option<CancellationToken>,
    /// For whom the connection must work; `None` for a command of the daemon's own, which any will do for.
    pub principal: Option<Principal>,
}

impl ConnectionRequest {
    /// Returns how urgent it is.
    pub(crate) fn rank(&self) -> Rank {
        Rank::of_priority(self.priority)
    }

    /// Whether a connection that works for `principal` will do.
    pub(crate) fn accepts_principal(&self, principal: &Principal) -> bool {
        self.principal.as_ref().is_none_or(|wanted| wanted == principal)
    }
}
