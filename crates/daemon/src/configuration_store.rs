//! The accepted configuration as chunks, which other daemons can request.

use std::{collections::HashMap, sync::Arc};

use config::{ChunkHash, ConfigurationPart, Head};
use parking_lot::RwLock;

#[derive(Default)]
struct Contents {
    head: Head,
    chunks: HashMap<ChunkHash, Arc<ParsedChunk>>,
}

/// A chunk with its parsed content, so that a change of another chunk does not parse it again.
#[derive(Debug)]
pub(crate) struct ParsedChunk {
    pub(crate) text: String,
    pub(crate) part: ConfigurationPart,
}

/// The head in force and its chunks.
#[derive(Default)]
pub(crate) struct ConfigurationStore {
    contents: RwLock<Contents>,
}

impl ConfigurationStore {
    /// Returns the head in force. Its revision is 0 before a configuration is accepted.
    pub(crate) fn head(&self) -> Head {
        self.contents.read().head.clone()
    }

    /// Returns a chunk of the head in force.
    pub(crate) fn chunk(&self, hash: &ChunkHash) -> Option<Arc<ParsedChunk>> {
        self.contents.read().chunks.get(hash).cloned()
    }

    /// Replaces the head with a newer one, and drops the chunks that it does not reference.
    pub(crate) fn replace(&self, head: Head, mut chunks: HashMap<ChunkHash, Arc<ParsedChunk>>) {
        let mut contents = self.contents.write();
        if head.revision <= contents.head.revision {
            return;
        }
        chunks.retain(|hash, _| head.chunks.contains(hash));
        *contents = Contents { head, chunks };
    }
}
