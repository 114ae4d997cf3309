//! A stand-in for the platform: the key-value, session and catalog endpoints of Consul's HTTP API.

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

use crate::StandinRuntime;

/// The maximum size of a value.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// The current faults of the platform.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformFaults {
    /// Every call fails, and blocking reads end.
    pub down: bool,
    /// The additional delay of each call.
    pub delay: Duration,
    /// The number of following writes that are executed but answered with an error.
    pub lose_responses: u32,
}

struct StoredValue {
    version: u64,
    value: Vec<u8>,
}

#[derive(Default)]
struct Contents {
    version: u64,
    values: BTreeMap<String, StoredValue>,
    nodes: Vec<CatalogNode>,
    sessions: HashMap<String, (Duration, Instant)>,
    faults: PlatformFaults,
    reads: u64,
    writes: u64,
}

/// A running platform stand-in.
#[derive(Clone)]
pub struct PlatformStandin {
    address: SocketAddr,
    shared: Arc<Shared>,
    _runtime: StandinRuntime,
}

struct Shared {
    contents: Mutex<Contents>,
    changed: watch::Sender<u64>,
}

impl PlatformStandin {
    /// Starts the platform at an address, where port 0 selects any free port.
    pub fn start(
        runtime: &StandinRuntime,
        address: SocketAddr,
    ) -> std::io::Result<PlatformStandin> {
        let shared =
            Arc::new(Shared { contents: Mutex::default(), changed: watch::Sender::new(0) });
        let router = Router::new()
            .route("/v1/kv/{*key}", get(read_key).put(write_key).delete(delete_key))
            .route("/v1/session/create", put(create_session))
            .route("/v1/session/renew/{id}", put(renew_session))
            .route("/v1/catalog/nodes", get(list_nodes))
            .with_state(shared.clone());
        let listener = runtime.get().block_on(TcpListener::bind(address))?;
        let address = listener.local_addr()?;
        runtime.get().spawn(async move { axum::serve(listener, router).await });
        Ok(PlatformStandin { address, shared, _runtime: runtime.clone() })
    }

    /// Returns the address of the HTTP listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the faults of the platform.
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

    /// Creates an entry of the host list.
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

    /// Returns the number of received reads and writes.
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

/// Applies the delay fault, and returns an error while the platform is down.
async fn apply_faults(shared: &Shared) -> Result<(), StatusCode> {
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
    if let Err(status) = apply_faults(&shared).await {
        return status.into_response();
    }
    if let Some(index) = query.index {
        wait_for_change(&shared, &key, index, parse_duration(query.wait.as_deref())).await;
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
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        changes.mark_unchanged();
        {
            let contents = shared.contents.lock();
            let version = contents.values.get(key).map_or(0, |stored| stored.version);
            if version != index || contents.faults.down {
                return;
            }
        }
        if tokio::time::timeout_at(deadline, changes.changed()).await.is_err() {
            return;
        }
    }
}

/// Parses a duration such as `500ms` or `30s`. The default is 5 seconds.
fn parse_duration(wait: Option<&str>) -> Duration {
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
    if let Err(status) = apply_faults(&shared).await {
        return status.into_response();
    }
    if body.len() > MAX_VALUE_BYTES {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    let mut contents = shared.contents.lock();
    let current = contents.values.get(&key).map_or(0, |stored| stored.version);
    let applies = query.cas.is_none_or(|expected| expected == current);
    if applies {
        contents.version += 1;
        let version = contents.version;
        contents.values.insert(key, StoredValue { version, value: body.to_vec() });
    }
    let lose_response = contents.faults.lose_responses > 0;
    if lose_response {
        contents.faults.lose_responses -= 1;
    }
    drop(contents);
    shared.changed.send_modify(|count| *count += 1);
    if lose_response {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    Json(applies).into_response()
}

async fn delete_key(State(shared): State<Arc<Shared>>, Path(key): Path<String>) -> Response {
    shared.contents.lock().writes += 1;
    if let Err(status) = apply_faults(&shared).await {
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
    if let Err(status) = apply_faults(&shared).await {
        return status.into_response();
    }
    let mut contents = shared.contents.lock();
    contents.version += 1;
    let id = format!("lease-{}", contents.version);
    let ttl = parse_duration(Some(&request.ttl));
    contents.sessions.insert(id.clone(), (ttl, Instant::now()));
    Json(SessionCreated { id }).into_response()
}

async fn renew_session(State(shared): State<Arc<Shared>>, Path(id): Path<String>) -> Response {
    shared.contents.lock().writes += 1;
    if let Err(status) = apply_faults(&shared).await {
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
    if let Err(status) = apply_faults(&shared).await {
        return status.into_response();
    }
    let contents = shared.contents.lock();
    (index_header(contents.version), Json(contents.nodes.clone())).into_response()
}
