//! The accepted configuration as chunks, kept to be passed on to other daemons.

use std::{collections::HashMap, sync::Arc};

use config::{ChunkHash, ConfigurationPart, Head};
use parking_lot::RwLock;

#[derive(Default)]
struct Contents {
    head: Head,
    chunks: HashMap<ChunkHash, Arc<ParsedChunk>>,
}

/// A chunk with what it says, so that it is read once and not with every change of another.
#[derive(Debug)]
pub(crate) struct ParsedChunk {
    /// Its text.
    pub(crate) text: String,
    /// What it says.
    pub(crate) part: ConfigurationPart,
}

/// The head in force and its chunks.
#[derive(Default)]
pub(crate) struct ConfigurationStore {
    contents: RwLock<Contents>,
}

impl ConfigurationStore {
    /// Returns the head in force; revision 0 before there is any.
    pub(crate) fn head(&self) -> Head {
        self.contents.read().head.clone()
    }

    /// Finds a chunk of the head in force.
    pub(crate) fn chunk(&self, hash: &ChunkHash) -> Option<Arc<ParsedChunk>> {
        self.contents.read().chunks.get(hash).cloned()
    }

    /// Takes over a newer head; chunks that it does not name are forgotten.
    pub(crate) fn replace(&self, head: Head, mut chunks: HashMap<ChunkHash, Arc<ParsedChunk>>) {
        let mut contents = self.contents.write();
        if head.revision <= contents.head.revision {
            return;
        }
        chunks.retain(|hash, _| head.chunks.contains(hash));
        *contents = Contents { head, chunks };
    }
}
