//! The JSON messages of Consul's HTTP API that the client uses.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A key-value pair as `GET /v1/kv/KEY` returns it, in a list of one.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct KeyValuePair {
    /// The key.
    pub key: String,
    /// The value in base64; absent if it is empty.
    pub value: Option<String>,
    /// The version of the key's last change.
    pub modify_index: u64,
}

/// A node as `GET /v1/catalog/nodes` returns it.
///
/// wardtiller uses these keys of the metadata: `role` (`daemon` or `endpoint`), `state`
/// (`live` or `leaving`), `region`, `availability_zone` and `port`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct CatalogNode {
    /// The host's name.
    pub node: String,
    /// Its IP address.
    pub address: String,
    /// Its metadata.
    #[serde(default)]
    pub meta: BTreeMap<String, String>,
}

/// The body of `PUT /v1/session/create`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SessionRequest {
    /// The purpose of the lease.
    #[serde(rename = "Name")]
    pub name: String,
    /// The time after which it expires without renewal, such as `15s`.
    #[serde(rename = "TTL")]
    pub ttl: String,
}

/// The answer to `PUT /v1/session/create`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SessionCreated {
    /// The lease's id.
    #[serde(rename = "ID")]
    pub id: String,
}
