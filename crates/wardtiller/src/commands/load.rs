//! `wardtiller load`: drives a system and checks its promises.

use eyre::bail;

use crate::cli::Load;

/// Runs the load.
pub(crate) fn run(_flags: &Load) -> eyre::Result<u8> {
    bail!("the load tool is not part of this build")
}
