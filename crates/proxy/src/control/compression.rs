//! Compresses large values that are sent between daemons.
//!
//! A large configuration is sent by each daemon to up to eight others, over links that may carry only 1 MB/s. It is
//! repetitive text and compresses to about a tenth.

use std::{
    cell::RefCell,
    io::{Read, Write},
    time::{Duration, Instant},
};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use prost::Message;

use crate::{
    control::{
        mirror::Mirror,
        peers::{ChangeMessage, ChangesMessage},
    },
    metadata::{Change, Revision},
};

/// Values of at least this size are compressed; smaller ones fit into a few packets.
const COMPRESS_MIN_BYTES: usize = 8 * 1024;
/// The largest decompressed value that is accepted; the store's own limit is a megabyte.
const MAX_VALUE_BYTES: u64 = 16 * 1024 * 1024;
/// The largest decompressed snapshot or batch that is accepted; several times what 22,000 groups need.
const MAX_SNAPSHOT_BYTES: u64 = 64 * 1024 * 1024;

/// Changes of at least this total size are compressed together, as when many servers start at the same time: a daemon
/// sends them to each of its followers over one link.
const COMPRESS_BATCH_MIN_BYTES: usize = 32 * 1024;

/// How long a compressed snapshot is reused, followed by the changes since: daemons that start together request it
/// one after the other, and each of them changes the store by joining.
const SNAPSHOT_TTL: Duration = Duration::from_secs(2);

/// All keys that the store held at a revision, compressed together: server entries are small and similar, so they
/// compress well together and hardly at all one by one.
#[derive(Clone)]
pub(crate) struct CompressedSnapshot {
    compressed_at: Instant,
    /// The snapshot includes every change up to this revision.
    pub(crate) applied_revision: Revision,
    /// A compressed [`ChangesMessage`].
    pub(crate) compressed: Bytes,
}

/// Compresses large values and batches, and caches the results for several followers.
#[derive(Default)]
pub(crate) struct Compressor {
    last_value: RefCell<Option<(String, Revision, Bytes)>>,
    snapshot: RefCell<Option<CompressedSnapshot>>,
    batch: RefCell<Option<CompressedChanges>>,
}

/// The changes after one revision up to another, compressed together.
struct CompressedChanges {
    span: (Revision, Revision),
    compressed: Bytes,
}

impl Compressor {
    pub(crate) fn compress(&self, change: Change) -> ChangeMessage {
        let revision = change.revision();
        let mut message = ChangeMessage::from(change);
        if let Some(value) = message.value.as_mut().filter(|it| it.len() >= COMPRESS_MIN_BYTES) {
            *value = self.compressed_value(&message.key, revision, value);
            message.is_compressed = true;
        }
        message
    }

    /// Returns a recent snapshot of the mirror, without the changes that `is_wanted` rejects.
    pub(crate) fn snapshot(
        &self,
        mirror: &Mirror,
        now: Instant,
        is_wanted: impl Fn(&Change) -> bool,
    ) -> CompressedSnapshot {
        let mut snapshot = self.snapshot.borrow_mut();
        if let Some(cached) = snapshot.as_ref()
            && now.duration_since(cached.compressed_at) < SNAPSHOT_TTL
            // All revisions of an answer belong to one era.
            && cached.applied_revision.era() == mirror.era()
        {
            return cached.clone();
        }
        let changes = mirror.updates_since(Revision::ABSENT).changes.into_iter().filter(is_wanted);
        let changes = changes.map(ChangeMessage::from).collect();
        let message = ChangesMessage { changes, compressed: Bytes::new() };
        let compressed = deflate(&message.encode_to_vec());
        let new_snapshot = CompressedSnapshot {
            compressed_at: now,
            applied_revision: mirror.applied_revision(),
            compressed,
        };
        *snapshot = Some(new_snapshot.clone());
        new_snapshot
    }

    /// Compresses the changes of a span together if they are large. Returns the changes to be sent uncompressed, and
    /// the compressed batch.
    pub(crate) fn compress_batch(
        &self,
        span: (Revision, Revision),
        changes: Vec<ChangeMessage>,
    ) -> (Vec<ChangeMessage>, Bytes) {
        let size = |change: &ChangeMessage| change.value.as_ref().map_or(0, Bytes::len);
        if changes.iter().map(size).sum::<usize>() < COMPRESS_BATCH_MIN_BYTES {
            return (changes, Bytes::new());
        }
        let mut batch = self.batch.borrow_mut();
        if let Some(cached) = batch.as_ref().filter(|cached| cached.span == span) {
            return (Vec::new(), cached.compressed.clone());
        }
        let message = ChangesMessage { changes, compressed: Bytes::new() };
        let compressed = deflate(&message.encode_to_vec());
        *batch = Some(CompressedChanges { span, compressed: compressed.clone() });
        (Vec::new(), compressed)
    }

    fn compressed_value(&self, key: &str, revision: Revision, value: &Bytes) -> Bytes {
        let mut last_value = self.last_value.borrow_mut();
        if let Some((cached, at, compressed)) = last_value.as_ref()
            && cached == key
            && *at == revision
        {
            return compressed.clone();
        }
        let compressed = deflate(value);
        *last_value = Some((key.to_owned(), revision, compressed.clone()));
        compressed
    }
}

fn deflate(value: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let compressed = encoder.write_all(value).and_then(|()| encoder.finish());
    Bytes::from(compressed.expect("writing into memory does not fail"))
}

fn inflate(compressed: &[u8], max_bytes: u64) -> std::io::Result<Bytes> {
    let mut decompressed = Vec::new();
    let mut decoder = DeflateDecoder::new(compressed).take(max_bytes + 1);
    decoder.read_to_end(&mut decompressed)?;
    if decompressed.len() as u64 > max_bytes {
        return Err(std::io::Error::other("a compressed value is too long"));
    }
    Ok(Bytes::from(decompressed))
}

/// Returns all changes of a message, oldest first, including those of its compressed batch.
///
/// # Errors
///
/// If compressed data can't be decoded or exceeds the size limits.
pub fn decompress_all(message: ChangesMessage) -> std::io::Result<Vec<ChangeMessage>> {
    let mut changes = Vec::new();
    if !message.compressed.is_empty() {
        let snapshot = inflate(&message.compressed, MAX_SNAPSHOT_BYTES)?;
        let snapshot = ChangesMessage::decode(snapshot).map_err(std::io::Error::other)?;
        changes.extend(snapshot.changes);
    }
    changes.extend(message.changes);
    for change in &mut changes {
        decompress(change)?;
    }
    Ok(changes)
}

/// Decompresses the value of a change if it is compressed.
///
/// # Errors
///
/// If the value can't be decoded or exceeds the size limit.
pub fn decompress(message: &mut ChangeMessage) -> std::io::Result<()> {
    let Some(value) = message.value.as_mut().filter(|_| message.is_compressed) else {
        return Ok(());
    };
    *value = inflate(value, MAX_VALUE_BYTES)?;
    message.is_compressed = false;
    Ok(())
}
