//! A caller's prepared statements, which outlive the connection that they were prepared on.

use std::{collections::HashMap, sync::Arc};

use bytes::{Bytes, BytesMut};
use pgwire::messages::{Message, extendedquery::Parse};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::Classification;

/// More named statements than this are refused, so that a caller's state stays bounded.
const MOST_STATEMENTS: usize = 4_096;

/// A prepared statement.
#[derive(Debug)]
pub struct PreparedStatement {
    /// The hash of its text and parameter types; never 0.
    pub id: u64,
    /// The message that prepares it on an endpoint, under the name that follows from `id`.
    pub parse: Bytes,
    /// What it may do.
    pub classified: Arc<Classification>,
    /// The kind of read that its comment names.
    pub read_kind: Option<String>,
}

impl PreparedStatement {
    /// Makes a prepared statement out of a caller's message.
    pub fn new(
        parse: Parse,
        classified: Arc<Classification>,
        read_kind: Option<String>,
    ) -> PreparedStatement {
        let types: Vec<u8> = parse.type_oids.iter().flat_map(|oid| oid.to_be_bytes()).collect();
        let id = xxh3_64_with_seed(parse.query.as_bytes(), xxh3_64(&types)).max(1);
        let renamed = Parse::new(Some(endpoint_statement_name(id)), parse.query, parse.type_oids);
        let mut buffer = BytesMut::new();
        // The caller's own message was within every limit, and the name is short.
        let _ = renamed.encode(&mut buffer);
        PreparedStatement { id, parse: buffer.freeze(), classified, read_kind }
    }
}

/// Returns the name that a statement has on every endpoint connection.
pub fn endpoint_statement_name(id: u64) -> String {
    format!("w{id:016x}")
}

/// The statements that a caller has prepared, by its own names.
#[derive(Debug, Default)]
pub struct PreparedStatements {
    by_name: HashMap<String, Arc<PreparedStatement>>,
}

impl PreparedStatements {
    /// Notes a statement; the empty name may be replaced, any other not.
    pub fn insert(
        &mut self,
        name: &str,
        prepared: Arc<PreparedStatement>,
    ) -> Result<(), &'static str> {
        if !name.is_empty() && self.by_name.contains_key(name) {
            return Err("a prepared statement with this name already exists");
        }
        if self.by_name.len() >= MOST_STATEMENTS {
            return Err("too many prepared statements");
        }
        self.by_name.insert(name.to_owned(), prepared);
        Ok(())
    }

    /// Finds a statement.
    pub fn get(&self, name: &str) -> Option<&Arc<PreparedStatement>> {
        self.by_name.get(name)
    }

    /// Forgets a statement.
    pub fn remove(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// Forgets every statement.
    pub fn clear(&mut self) {
        self.by_name.clear();
    }

    /// Returns how many statements are noted.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether no statement is noted.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
