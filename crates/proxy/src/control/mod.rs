//! What a daemon believes and how it comes to believe it: the configuration, the servers, the other
//! daemons, who leads each group.

pub mod beliefs;
pub mod duty;
pub mod evidence;
pub mod mirror;
pub mod peers;
pub mod record;
pub mod runner;
pub mod servers;
