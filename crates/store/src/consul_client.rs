//! A client of Consul's HTTP API.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use base64::{Engine, engine::general_purpose::STANDARD};
use model::Name;
use serde::de::DeserializeOwned;
use ureq::{Agent, Body, http::Response};

use crate::{
    CasOutcome, CatalogNode, Entry, HostEntry, HostList, HostRole, HostState, KeyValuePair,
    KeyValueStore, Lease, SessionCreated, SessionRequest, StoreError,
};

/// The largest accepted response body: enough for a value of a megabyte in base64 within JSON.
const MAX_RESPONSE_BYTES: u64 = 4 * 1024 * 1024;

/// The header with the version of the data, which Consul sends with every read.
const INDEX_HEADER: &str = "x-consul-index";

/// The number of calls to the service.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Reads, including every call of a watch.
    pub reads: AtomicU64,
    /// Writes.
    pub writes: AtomicU64,
    /// Watches that are waiting.
    pub waiting_watches: AtomicU64,
}

/// A client of Consul's HTTP API, with counts of its calls.
#[derive(Debug)]
pub struct ConsulClient {
    base: String,
    agent: Agent,
    call_timeout: Duration,
    counts: CallCounts,
}

impl ConsulClient {
    /// Creates a client, which connects on first use.
    pub fn new(address: SocketAddr, call_timeout: Duration) -> ConsulClient {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(call_timeout))
            .build()
            .new_agent();
        let base = format!("http://{address}/v1");
        ConsulClient { base, agent, call_timeout, counts: CallCounts::default() }
    }

    /// Returns the counts of calls.
    pub fn counts(&self) -> &CallCounts {
        &self.counts
    }

    fn get_json<T: DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<Option<(u64, T)>, StoreError> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let request = self.agent.get(format!("{}/{path}", self.base));
        let request = request.config().timeout_global(Some(timeout)).build();
        // A read changes nothing, so every failure counts as unreachable.
        let mut response =
            request.call().map_err(|error| StoreError::Unreachable(error.to_string()))?;
        if response.status() == 404 {
            return Ok(None);
        }
        if !response.status().is_success() {
            return Err(StoreError::Unreachable(format!("status {}", response.status())));
        }
        let index = header_number(&response, INDEX_HEADER);
        let body = read_body(&mut response)?;
        let value = serde_json::from_slice(&body)
            .map_err(|error| StoreError::Malformed(error.to_string()))?;
        Ok(Some((index, value)))
    }

    fn put(&self, path: &str, body: &[u8]) -> Result<Vec<u8>, StoreError> {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        let request = self.agent.put(format!("{}/{path}", self.base));
        let request = request.config().timeout_global(Some(self.call_timeout)).build();
        let mut response = request.send(body).map_err(|error| classify_write_error(&error))?;
        let status = response.status();
        if status.is_server_error() {
            return Err(StoreError::AnswerLost(format!("status {status}")));
        }
        if !status.is_success() {
            return Err(StoreError::Unreachable(format!("status {status}")));
        }
        read_body(&mut response).map_err(|error| StoreError::AnswerLost(error.to_string()))
    }

    fn read_entry(&self, path: &str, timeout: Duration) -> Result<Option<Entry>, StoreError> {
        let response: Option<(u64, Vec<KeyValuePair>)> = self.get_json(path, timeout)?;
        let Some(pair) = response.and_then(|(_, pairs)| pairs.into_iter().next()) else {
            return Ok(None);
        };
        let value = STANDARD
            .decode(pair.value.unwrap_or_default())
            .map_err(|error| StoreError::Malformed(error.to_string()))?;
        Ok(Some(Entry { version: pair.modify_index, value }))
    }
}

impl KeyValueStore for ConsulClient {
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.read_entry(&format!("kv/{key}"), self.call_timeout)
    }

    fn compare_and_swap(
        &self,
        key: &str,
        expected_version: u64,
        value: &[u8],
    ) -> Result<CasOutcome, StoreError> {
        let answer = self.put(&format!("kv/{key}?cas={expected_version}"), value)?;
        match answer.trim_ascii() {
            b"true" => Ok(CasOutcome::Applied),
            b"false" => Ok(CasOutcome::Conflict),
            other => Err(StoreError::AnswerLost(String::from_utf8_lossy(other).into_owned())),
        }
    }

    fn delete(&self, key: &str) -> Result<(), StoreError> {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        let request = self.agent.delete(format!("{}/kv/{key}", self.base));
        let request = request.config().timeout_global(Some(self.call_timeout)).build();
        let response = request.call().map_err(|error| classify_write_error(&error))?;
        let status = response.status();
        if status.is_success() {
            return Ok(());
        }
        Err(StoreError::AnswerLost(format!("status {status}")))
    }

    fn watch(
        &self,
        key: &str,
        known_version: u64,
        wait: Duration,
    ) -> Result<Option<Entry>, StoreError> {
        let path = format!("kv/{key}?index={known_version}&wait={}ms", wait.as_millis());
        self.counts.waiting_watches.fetch_add(1, Ordering::Relaxed);
        let entry = self.read_entry(&path, wait + self.call_timeout);
        self.counts.waiting_watches.fetch_sub(1, Ordering::Relaxed);
        entry
    }

    fn create_lease(&self, name: &str, time_to_live: Duration) -> Result<Lease, StoreError> {
        let ttl = format!("{}s", time_to_live.as_secs().max(1));
        let request = SessionRequest { name: name.to_owned(), ttl };
        let body = serde_json::to_vec(&request)
            .map_err(|error| StoreError::Malformed(error.to_string()))?;
        let answer = self.put("session/create", &body)?;
        let created: SessionCreated = serde_json::from_slice(&answer)
            .map_err(|error| StoreError::Malformed(error.to_string()))?;
        Ok(Lease(created.id))
    }

    fn renew_lease(&self, lease: &Lease) -> Result<bool, StoreError> {
        match self.put(&format!("session/renew/{}", lease.0), b"") {
            Ok(_) => Ok(true),
            Err(StoreError::Unreachable(detail)) if detail.contains("404") => Ok(false),
            Err(error) => Err(error),
        }
    }
}

impl HostList for ConsulClient {
    fn hosts(&self) -> Result<(u64, Vec<HostEntry>), StoreError> {
        let response: Option<(u64, Vec<CatalogNode>)> =
            self.get_json("catalog/nodes", self.call_timeout)?;
        let (version, nodes) = response.unwrap_or_default();
        let mut hosts = Vec::with_capacity(nodes.len());
        for node in nodes {
            match parse_node(&node) {
                Some(host) => hosts.push(host),
                None => {
                    log::warn!(node = node.node.as_str(); "ignored an invalid entry of the host list")
                }
            }
        }
        Ok((version, hosts))
    }
}

fn parse_node(node: &CatalogNode) -> Option<HostEntry> {
    let port = node.meta.get("port")?;
    let address = format!("{}:{port}", node.address).parse().ok()?;
    let role = match node.meta.get("role").map(String::as_str) {
        Some("daemon") => HostRole::Daemon,
        Some("endpoint") => HostRole::Endpoint,
        _ => return None,
    };
    let state = match node.meta.get("state").map(String::as_str) {
        Some("leaving") => HostState::Leaving,
        _ => HostState::Live,
    };
    let meta_name =
        |key: &str| Name::from(node.meta.get(key).map(String::as_str).unwrap_or_default());
    Some(HostEntry {
        host: Name::from(node.node.as_str()),
        region: meta_name("region"),
        availability_zone: meta_name("availability_zone"),
        address,
        role,
        state,
    })
}

fn read_body(response: &mut Response<Body>) -> Result<Vec<u8>, StoreError> {
    response
        .body_mut()
        .with_config()
        .limit(MAX_RESPONSE_BYTES)
        .read_to_vec()
        .map_err(|error| StoreError::Unreachable(error.to_string()))
}

fn header_number(response: &Response<Body>, name: &str) -> u64 {
    let value = response.headers().get(name).and_then(|value| value.to_str().ok());
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Classifies the failure of a write. Only if no connection was made is it certain that the write had no effect.
fn classify_write_error(error: &ureq::Error) -> StoreError {
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect) => {
            StoreError::Unreachable(error.to_string())
        }
        ureq::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            StoreError::Unreachable(error.to_string())
        }
        _ => StoreError::AnswerLost(error.to_string()),
    }
}
