//! The engine of a fleet that keeps everything shared in a metadata store.
//!
//! Callers' sessions share connections to servers; what a read must have seen is checked by the
//! server itself; changes of primary are ordered by whichever daemon holds the duty. The engine knows
//! no wire: [`dialect`], [`metadata`] and [`order`] are what an adapter fills. `docs/PLATFORM.md` says
//! which programs run where and what was weighed.

pub mod accounts;
pub mod catalog;
pub mod control;
pub mod daemon;
pub mod dialect;
pub mod http;
pub mod metadata;
pub mod metrics;
pub mod order;
pub mod relay;
pub mod revision;
pub mod serve;
pub mod statement;
mod tcp_options;
