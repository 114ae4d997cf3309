//! The engine of a fleet of daemons that keep their shared state in a metadata store.
//!
//! Callers' sessions share connections to servers. A server itself checks that it has reached the log point that a read
//! requires. The daemon in the promoter role orders changes of primary. The engine depends on no wire protocol: an
//! adapter implements the traits of [`catalog`], [`dialect`], [`metadata`] and [`order`]. `docs/PLATFORM.md` lists the
//! programs, where they run and the reasons for the design.

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
pub mod tcp_options;
