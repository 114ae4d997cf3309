//! Maps a caller's cancellation request to the statement that it cancels.

use std::{
    collections::HashMap,
    sync::{Arc, Weak},
};

use parking_lot::Mutex;

use crate::executor::RunningStatement;

/// What is needed to cancel a caller's statement.
#[derive(Clone)]
pub(crate) struct CancelTarget {
    secret: i32,
    pub(crate) session_id: u64,
    /// The statement that runs in this daemon.
    pub(crate) running: Weak<RunningStatement>,
    /// The daemon that the session's statements are relayed to.
    pub(crate) relayed_to: Arc<Mutex<Option<u64>>>,
}

/// The callers of this daemon by process number.
#[derive(Default)]
pub(crate) struct CancelRegistry {
    targets: Mutex<HashMap<i32, CancelTarget>>,
}

impl CancelRegistry {
    /// Registers a caller. Returns the process number and the secret that are sent to the caller.
    pub(crate) fn register(
        &self,
        session_id: u64,
        running: &Arc<RunningStatement>,
        relayed_to: &Arc<Mutex<Option<u64>>>,
    ) -> (i32, i32) {
        let secret: i32 = rand::random();
        let mut targets = self.targets.lock();
        loop {
            let process = rand::random::<i32>() & i32::MAX;
            if process == 0 || targets.contains_key(&process) {
                continue;
            }
            let target = CancelTarget {
                secret,
                session_id,
                running: Arc::downgrade(running),
                relayed_to: relayed_to.clone(),
            };
            targets.insert(process, target);
            return (process, secret);
        }
    }

    pub(crate) fn remove(&self, process: i32) {
        self.targets.lock().remove(&process);
    }

    /// Returns the target of a cancellation request, or `None` if the process number or the secret is
    /// wrong.
    pub(crate) fn find(&self, process: i32, secret: i32) -> Option<CancelTarget> {
        let targets = self.targets.lock();
        targets.get(&process).filter(|target| target.secret == secret).cloned()
    }
}
