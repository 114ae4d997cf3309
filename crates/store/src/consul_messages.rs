//! The JSON messages of Consul's HTTP interface, as far as they are used.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A pair as `GET /v1/kv/KEY` returns it, in a list of one.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct KeyValuePair {
    /// The key.
    pub key: String,
    /// The value in base64; absent for an empty one.
    pub value: Option<String>,
    /// The version.
    pub modify_index: u64,
}

/// A node as `GET /v1/catalog/nodes` returns it.
///
/// The node's metadata carries what wardtiller needs: `role` (`daemon` or `endpoint`), `state`
/// (`live` or `leaving`), `region`, `availability_zone` and `port`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct CatalogNode {
    /// The host's name.
    pub node: String,
    /// Its IP number.
    pub address: String,
    /// Its metadata.
    #[serde(default)]
    pub meta: BTreeMap<String, String>,
}

/// The body of `PUT /v1/session/create`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SessionRequest {
    /// What the lease is for.
    #[serde(rename = "Name")]
    pub name: String,
    /// When it lapses without renewal, such as `15s`.
    #[serde(rename = "TTL")]
    pub ttl: String,
}

/// The answer to `PUT /v1/session/create`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SessionCreated {
    /// The lease's name.
    #[serde(rename = "ID")]
    pub id: String,
}
