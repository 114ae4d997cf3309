//! A group of stand-in servers on one runtime.

use std::{net::SocketAddr, sync::Arc};

use tokio::{net::TcpListener, runtime::Runtime};

use crate::{Endpoint, EndpointOptions, replication::Peers};

/// The Tokio runtime that all stand-ins share.
#[derive(Clone)]
pub struct StandinRuntime {
    runtime: Arc<Runtime>,
}

/// The number of worker threads of the runtime.
const WORKER_THREADS: usize = 4;

impl StandinRuntime {
    /// Starts the worker threads.
    ///
    /// # Panics
    /// Panics if the threads can't be started.
    pub fn new() -> StandinRuntime {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .thread_name("standin")
            .enable_all()
            .build()
            .expect("the runtime starts");
        StandinRuntime { runtime: Arc::new(runtime) }
    }

    pub(crate) fn get(&self) -> &Runtime {
        &self.runtime
    }
}

impl Default for StandinRuntime {
    fn default() -> StandinRuntime {
        StandinRuntime::new()
    }
}

/// The stand-in servers of one group.
#[derive(Clone)]
pub struct GroupStandin {
    /// The servers, in the order of the requested addresses.
    pub servers: Vec<Endpoint>,
    _runtime: StandinRuntime,
}

impl GroupStandin {
    /// Starts a server at each address, where port 0 selects any free port. The first server is the primary.
    pub fn start(
        runtime: &StandinRuntime,
        addresses: &[SocketAddr],
        options: &EndpointOptions,
    ) -> std::io::Result<GroupStandin> {
        let servers = runtime.get().block_on(async {
            let mut listeners = Vec::new();
            for address in addresses {
                listeners.push(TcpListener::bind(address).await?);
            }
            let leader = listeners[0].local_addr()?;
            let peers = Peers::default();
            let mut servers = Vec::new();
            for listener in listeners {
                servers.push(Endpoint::start(listener, leader, options.clone(), &peers).await);
            }
            std::io::Result::Ok(servers)
        })?;
        Ok(GroupStandin { servers, _runtime: runtime.clone() })
    }

    /// Returns the leading server with the highest term.
    pub fn primary(&self) -> Option<&Endpoint> {
        let leading = self.servers.iter().filter(|server| server.status().leads());
        leading.max_by_key(|server| server.status().log_term)
    }
}
