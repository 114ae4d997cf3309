//! Signal handling.

use tokio::signal::unix::{SignalKind, signal};

/// Blocks until the process receives SIGINT or SIGTERM.
pub(crate) fn wait_for_stop() -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
        Ok(())
    })
}
