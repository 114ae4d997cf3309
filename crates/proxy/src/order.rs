//! The order that makes a server the primary of its group.

use std::{fmt, time::Duration};

use model::Name;

/// An order to promote a server, with the fencing token that authorizes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionOrder {
    /// The service.
    pub service: Name,
    /// The server to promote.
    pub server: Name,
    /// The daemon that holds the promoter role and gives the order.
    pub promoter: Name,
    /// Increases with every change of promoter, so that the platform can reject a delayed order of an earlier one.
    pub fencing_token: u64,
}

/// Why an order failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// The server is not running; nothing was done.
    NotRunning,
    /// The platform refused the order or could not be reached; nothing was done.
    NotDone(String),
    /// No answer arrived; the order may still take effect.
    NoAnswer(String),
}

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OrderError::NotRunning => f.write_str("the server is not running"),
            OrderError::NotDone(why) => write!(f, "the order was not accepted: {why}"),
            OrderError::NoAnswer(why) => write!(f, "no answer to the order: {why}"),
        }
    }
}

impl std::error::Error for OrderError {}

/// The service that takes promotion orders.
#[allow(async_fn_in_trait, reason = "the engine uses it on one thread only")]
pub trait PromotionOrders: 'static {
    /// Orders the promotion of a server. The answer arrives before the promotion takes effect.
    async fn promote(&self, order: &PromotionOrder, timeout: Duration) -> Result<(), OrderError>;
}
