//! A stand-in for the platform: Consul's key-value, session and catalogue endpoints over HTTP.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use axum::{
    Json, Router,
    body::Bytes,
    extract::{Path, Query, State},
    http::{HeaderMap, HeaderValue, StatusCode},
    response::{IntoResponse, Response},
    routing::{get, put},
};
use base64::{Engine, engine::general_purpose::STANDARD};
use parking_lot::Mutex;
use serde::Deserialize;
use store::{CatalogNode, KeyValuePair, SessionCreated, SessionRequest};
use tokio::{net::TcpListener, sync::watch};

use crate::Network;

/// A value may not be larger than this.
const LARGEST_VALUE_BYTES: usize = 1024 * 1024;

/// What is wrong with the platform at present.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformFaults {
    /// Every call fails, and waiting watches end.
    pub down: bool,
    /// Each call takes this much longer.
    pub delay: Duration,
    /// So many of the next writes take effect and lose their answers.
    pub lose_answers: u32,
}

struct Stored {
    version: u64,
    value: Vec<u8>,
}

#[derive(Default)]
struct Contents {
    version: u64,
    values: BTreeMap<String, Stored>,
    nodes: Vec<CatalogNode>,
    sessions: HashMap<String, (Duration, Instant)>,
    faults: PlatformFaults,
    reads: u64,
    writes: u64,
}

/// A running stand-in.
#[derive(Clone)]
pub struct PlatformStandin {
    address: SocketAddr,
    shared: Arc<Shared>,
    _network: Network,
}

struct Shared {
    contents: Mutex<Contents>,
    changed: watch::Sender<u64>,
}

impl PlatformStandin {
    /// Starts it at an address (port 0 for any).
    pub fn start(network: &Network, address: SocketAddr) -> std::io::Result<PlatformStandin> {
        let shared =
            Arc::new(Shared { contents: Mutex::default(), changed: watch::Sender::new(0) });
        let router = Router::new()
            .route("/v1/kv/{*key}", get(read_key).put(write_key).delete(delete_key))
            .route("/v1/session/create", put(create_session))
            .route("/v1/session/renew/{id}", put(renew_session))
            .route("/v1/catalog/nodes", get(list_nodes))
            .with_state(shared.clone());
        let listener = network.runtime().block_on(TcpListener::bind(address))?;
        let address = listener.local_addr()?;
        network.runtime().spawn(async move { axum::serve(listener, router).await });
        Ok(PlatformStandin { address, shared, _network: network.clone() })
    }

    /// Returns its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what is wrong with it.
    pub fn change_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.shared.contents.lock().faults);
        self.shared.changed.send_modify(|count| *count += 1);
    }

    /// Replaces the host list.
    pub fn set_nodes(&self, nodes: Vec<CatalogNode>) {
        let mut contents = self.shared.contents.lock();
        contents.version += 1;
        contents.nodes = nodes;
    }

    /// Makes a node of the host list.
    pub fn node(
        host: &str,
        address: SocketAddr,
        availability_zone: &str,
        role: &str,
        state: &str,
    ) -> CatalogNode {
        let meta = [
            ("role", role.to_owned()),
            ("state", state.to_owned()),
            ("availability_zone", availability_zone.to_owned()),
            ("port", address.port().to_string()),
        ];
        CatalogNode {
            node: host.to_owned(),
            address: address.ip().to_string(),
            meta: meta.into_iter().map(|(key, value)| (key.to_owned(), value)).collect(),
        }
    }

    /// Returns how many reads and writes it was asked for.
    pub fn calls(&self) -> (u64, u64) {
        let contents = self.shared.contents.lock();
        (contents.reads, contents.writes)
    }
}

#[derive(Deserialize)]
struct ReadQuery {
    index: Option<u64>,
    wait: Option<String>,
}

#[derive(Deserialize)]
struct WriteQuery {
    cas: Option<u64>,
}

/// Delays a call as the faults say; an error when the platform is down.
async fn pass(shared: &Shared) -> Result<(), StatusCode> {
    let faults = shared.contents.lock().faults;
    if !faults.delay.is_zero() {
        tokio::time::sleep(faults.delay).await;
    }
    if shared.contents.lock().faults.down {
        return Err(StatusCode::TOO_MANY_REQUESTS);
    }
    Ok(())
}

async fn read_key(
    State(shared): State<Arc<Shared>>,
    Path(key): Path<String>,
    Query(query): Query<ReadQuery>,
) -> Response {
    shared.contents.lock().reads += 1;
    if let Err(status) = pass(&shared).await {
        return status.into_response();
    }
    if let Some(index) = query.index {
        wait_for_change(&shared, &key, index, read_wait(query.wait.as_deref())).await;
    }
    let contents = shared.contents.lock();
    if contents.faults.down {
        return StatusCode::TOO_MANY_REQUESTS.into_response();
    }
    let Some(stored) = contents.values.get(&key) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let pair = KeyValuePair {
        key,
        value: Some(STANDARD.encode(&stored.value)),
        modify_index: stored.version,
    };
    (index_header(stored.version), Json(vec![pair])).into_response()
}

async fn wait_for_change(shared: &Shared, key: &str, index: u64, wait: Duration) {
    let mut changes = shared.changed.subscribe();
    let until = tokio::time::Instant::now() + wait;
    loop {
        changes.mark_unchanged();
        {
            let contents = shared.contents.lock();
            let version = contents.values.get(key).map_or(0, |stored| stored.version);
            if version != index || contents.faults.down {
                return;
            }
        }
        if tokio::time::timeout_at(until, changes.changed()).await.is_err() {
            return;
        }
    }
}

/// Reads a wait such as `500ms` or `30s`.
fn read_wait(wait: Option<&str>) -> Duration {
    let wait = wait.unwrap_or("5s");
    let milliseconds = wait.strip_suffix("ms").and_then(|number| number.parse().ok());
    let seconds = wait.strip_suffix('s').and_then(|number| number.parse().ok());
    match (milliseconds, seconds) {
        (Some(milliseconds), _) => Duration::from_millis(milliseconds),
        (None, Some(seconds)) => Duration::from_secs(seconds),
        (None, None) => Duration::from_secs(5),
    }
}

fn index_header(version: u64) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("X-Consul-Index", HeaderValue::from(version));
    headers
}

async fn write_key(
    State(shared): State<Arc<Shared>>,
    Path(key): Path<String>,
    Query(query): Query<WriteQuery>,
    body: Bytes,
) -> Response {
    shared.contents.lock().writes += 1;
    if let Err(status) = pass(&shared).await {
        return status.into_response();
    }
    if body.len() > LARGEST_VALUE_BYTES {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    let mut contents = shared.contents.lock();
    let found = contents.values.get(&key).map_or(0, |stored| stored.version);
    let applies = query.cas.is_none_or(|expected| expected == found);
    if applies {
        contents.version += 1;
        let version = contents.version;
        contents.values.insert(key, Stored { version, value: body.to_vec() });
    }
    let lost = contents.faults.lose_answers > 0;
    if lost {
        contents.faults.lose_answers -= 1;
    }
    drop(contents);
    shared.changed.send_modify(|count| *count += 1);
    if lost {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    Json(applies).into_response()
}

async fn delete_key(State(shared): State<Arc<Shared>>, Path(key): Path<String>) -> Response {
    shared.contents.lock().writes += 1;
    if let Err(status) = pass(&shared).await {
        return status.into_response();
    }
    shared.contents.lock().values.remove(&key);
    shared.changed.send_modify(|count| *count += 1);
    Json(true).into_response()
}

async fn create_session(
    State(shared): State<Arc<Shared>>,
    Json(request): Json<SessionRequest>,
) -> Response {
    shared.contents.lock().writes += 1;
    if let Err(status) = pass(&shared).await {
        return status.into_response();
    }
    let mut contents = shared.contents.lock();
    contents.version += 1;
    let id = format!("lease-{}", contents.version);
    let ttl = read_wait(Some(&request.ttl));
    contents.sessions.insert(id.clone(), (ttl, Instant::now()));
    Json(SessionCreated { id }).into_response()
}

async fn renew_session(State(shared): State<Arc<Shared>>, Path(id): Path<String>) -> Response {
    shared.contents.lock().writes += 1;
    if let Err(status) = pass(&shared).await {
        return status.into_response();
    }
    let mut contents = shared.contents.lock();
    match contents.sessions.get_mut(&id) {
        Some((ttl, renewed)) if renewed.elapsed() < *ttl => {
            *renewed = Instant::now();
            Json(true).into_response()
        }
        _ => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn list_nodes(State(shared): State<Arc<Shared>>) -> Response {
    shared.contents.lock().reads += 1;
    if let Err(status) = pass(&shared).await {
        return status.into_response();
    }
    let contents = shared.contents.lock();
    (index_header(contents.version), Json(contents.nodes.clone())).into_response()
}
