//! A group of stand-in servers on one runtime.

use std::{net::SocketAddr, sync::Arc};

use tokio::{net::TcpListener, runtime::Runtime};

use crate::{Endpoint, EndpointOptions, replication::Peers};

/// The runtime that stand-ins share.
#[derive(Clone)]
pub struct Network {
    runtime: Arc<Runtime>,
}

/// The threads that all stand-ins together run on.
const THREADS: usize = 4;

impl Network {
    /// Starts the runtime.
    ///
    /// # Panics
    /// Panics if the machine has no more threads.
    pub fn new() -> Network {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(THREADS)
            .thread_name("standin")
            .enable_all()
            .build()
            .expect("threads are at hand");
        Network { runtime: Arc::new(runtime) }
    }

    pub(crate) fn runtime(&self) -> &Runtime {
        &self.runtime
    }
}

impl Default for Network {
    fn default() -> Network {
        Network::new()
    }
}

/// The servers of one group.
#[derive(Clone)]
pub struct GroupStandin {
    /// The servers, in the order of the addresses asked for.
    pub servers: Vec<Endpoint>,
    _network: Network,
}

impl GroupStandin {
    /// Starts servers at the addresses (port 0 for any), the first one as primary.
    pub fn start(
        network: &Network,
        addresses: &[SocketAddr],
        options: &EndpointOptions,
    ) -> std::io::Result<GroupStandin> {
        let servers = network.runtime().block_on(async {
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
        Ok(GroupStandin { servers, _network: network.clone() })
    }

    /// Finds the server that leads in the highest term.
    pub fn primary(&self) -> Option<&Endpoint> {
        let leading = self.servers.iter().filter(|server| server.status().leads());
        leading.max_by_key(|server| server.status().log_term)
    }
}
