//! Connections to other daemons, made when they are first needed.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use peer::{PeerClient, PeerDisconnected};

/// A connection, or the place for one; held while it is being made, so that it is made once.
type Slot = Arc<tokio::sync::Mutex<Option<Arc<PeerClient>>>>;

/// The connections, by address.
pub(crate) struct Peers {
    timeout: Duration,
    connections: Mutex<HashMap<SocketAddr, Slot>>,
}

impl Peers {
    pub(crate) fn new(timeout: Duration) -> Peers {
        Peers { timeout, connections: Mutex::default() }
    }

    /// Returns the connection to a daemon, making it if there is none that stands.
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
