//! Connections to other daemons, opened on first use.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use peer::{PeerClient, PeerDisconnected};

/// The connection to one daemon, if one was opened. The lock is held during opening, so that concurrent
/// requests open only one.
type ConnectionSlot = Arc<tokio::sync::Mutex<Option<Arc<PeerClient>>>>;

/// Connections to other daemons, by address.
pub(crate) struct Peers {
    timeout: Duration,
    connections: Mutex<HashMap<SocketAddr, ConnectionSlot>>,
}

impl Peers {
    pub(crate) fn new(timeout: Duration) -> Peers {
        Peers { timeout, connections: Mutex::default() }
    }

    /// Returns the connection to a daemon, opening one if none is alive.
    pub(crate) async fn get(
        &self,
        address: SocketAddr,
    ) -> Result<Arc<PeerClient>, PeerDisconnected> {
        let slot = self.connections.lock().entry(address).or_default().clone();
        let mut slot = slot.lock().await;
        if let Some(client) = slot.as_ref().filter(|client| client.is_alive()) {
            return Ok(client.clone());
        }
        let client =
            PeerClient::connect(address, self.timeout).await.map_err(|_| PeerDisconnected)?;
        *slot = Some(client.clone());
        Ok(client)
    }
}
