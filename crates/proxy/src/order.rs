//! The order that makes a server the primary of its group.

use std::{fmt, time::Duration};

use model::Name;

/// An order, with what proves the right to give it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionOrder {
    /// The service.
    pub service: Name,
    /// The server that is to lead.
    pub server: Name,
    /// The daemon that gives the order.
    pub promoter: Name,
    /// Rises with every change of holder, so that a late order can be told from a newer one.
    pub fencing_token: u64,
}

/// Why an order was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// The server is not running, so it was not ordered.
    NotRunning,
    /// The platform did nothing.
    NotDone(String),
    /// No answer came; the order may take effect.
    NoAnswer(String),
}

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OrderError::NotRunning => f.write_str("the server is not running"),
            OrderError::NotDone(why) => write!(f, "the order was not taken: {why}"),
            OrderError::NoAnswer(why) => write!(f, "the order's answer is missing: {why}"),
        }
    }
}

impl std::error::Error for OrderError {}

/// Where promotions are ordered.
#[allow(async_fn_in_trait, reason = "the engine uses it on one thread only")]
pub trait PromotionOrders: 'static {
    /// Orders that a server lead. The answer comes before the change takes effect.
    async fn promote(&self, order: &PromotionOrder, timeout: Duration) -> Result<(), OrderError>;
}
