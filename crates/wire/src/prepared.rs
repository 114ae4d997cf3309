//! A caller's prepared statements, which are independent of any endpoint connection.

use std::{collections::HashMap, sync::Arc};

use bytes::{Bytes, BytesMut};
use pgwire::messages::{Message, extendedquery::Parse};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::Classification;

/// Limit on the prepared statements of one caller, which bounds its memory.
const MAX_STATEMENTS: usize = 4_096;

/// A prepared statement.
#[derive(Debug)]
pub struct PreparedStatement {
    /// The hash of the text and the parameter types; never 0.
    pub id: u64,
    /// The encoded `Parse` message for an endpoint, with the name from [`endpoint_statement_name`].
    pub parse: Bytes,
    /// The effects of the statement.
    pub classified: Arc<Classification>,
    /// The kind of read from the statement's trailing comment.
    pub read_kind: Option<String>,
}

impl PreparedStatement {
    /// Builds a prepared statement from a caller's `Parse` message.
    pub fn new(
        parse: Parse,
        classified: Arc<Classification>,
        read_kind: Option<String>,
    ) -> PreparedStatement {
        let types: Vec<u8> = parse.type_oids.iter().flat_map(|oid| oid.to_be_bytes()).collect();
        let id = xxh3_64_with_seed(parse.query.as_bytes(), xxh3_64(&types)).max(1);
        let renamed = Parse::new(Some(endpoint_statement_name(id)), parse.query, parse.type_oids);
        let mut buffer = BytesMut::new();
        // Encoding fails only for messages beyond the protocol's size limits; the original was decoded within them.
        let _ = renamed.encode(&mut buffer);
        PreparedStatement { id, parse: buffer.freeze(), classified, read_kind }
    }
}

/// Returns the name under which a statement is prepared on every endpoint connection.
pub fn endpoint_statement_name(id: u64) -> String {
    format!("w{id:016x}")
}

/// A caller's prepared statements by the names that the caller gave them.
#[derive(Debug, Default)]
pub struct PreparedStatements {
    by_name: HashMap<String, Arc<PreparedStatement>>,
}

impl PreparedStatements {
    /// Stores a statement. Only the unnamed statement may be replaced.
    ///
    /// Fails with a message for the caller if the name is taken or there are too many statements.
    pub fn insert(
        &mut self,
        name: &str,
        prepared: Arc<PreparedStatement>,
    ) -> Result<(), &'static str> {
        if !name.is_empty() && self.by_name.contains_key(name) {
            return Err("a prepared statement with this name already exists");
        }
        if self.by_name.len() >= MAX_STATEMENTS {
            return Err("too many prepared statements");
        }
        self.by_name.insert(name.to_owned(), prepared);
        Ok(())
    }

    /// Returns the statement with this name.
    pub fn get(&self, name: &str) -> Option<&Arc<PreparedStatement>> {
        self.by_name.get(name)
    }

    /// Removes a statement.
    pub fn remove(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// Removes every statement.
    pub fn clear(&mut self) {
        self.by_name.clear();
    }

    /// Returns the number of statements.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there are no statements.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
