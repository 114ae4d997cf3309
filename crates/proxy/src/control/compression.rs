//! Large values made small on their way between daemons.
//!
//! A configuration of a large installation goes from each daemon to up to eight others, over links that
//! may carry a megabyte a second. It is text that repeats itself, so it packs to a tenth.

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

/// Values from this size on are packed; below it a message is one or two packets anyway.
const PACK_FROM_BYTES: usize = 8 * 1024;
/// The largest value that is taken out of a message; the store's own limit is a megabyte.
const LONGEST_VALUE_BYTES: u64 = 16 * 1024 * 1024;
/// The most that is taken out of the one piece that holds everything; several times what 22,000 groups need.
const LONGEST_WHOLE_BYTES: u64 = 64 * 1024 * 1024;

/// Changes that together have this size are packed in one piece: some hundred entries of servers, as where many start at
/// once. Eight followers of a daemon would else draw a megabyte each over a link of a megabyte a second.
const PACK_TOGETHER_FROM_BYTES: usize = 32 * 1024;

/// How long what the store holds is sent as it was packed, with what has changed since behind it: daemons that start
/// together ask one after the other, and each of them changes something by joining.
const WHOLE_LASTS: Duration = Duration::from_secs(2);

/// All that the store held at a revision, packed in one piece. Entries of servers are small and resemble each other, so
/// that together they pack to a tenth, and by themselves not at all.
#[derive(Clone)]
pub(crate) struct CompressedSnapshot {
    compressed_at: Instant,
    /// Every change up to here is in it.
    pub(crate) applied_revision: Revision,
    /// A packed [`ChangesMessage`].
    pub(crate) compressed: Bytes,
}

/// Packs what is large, each once: the same goes to several daemons.
#[derive(Default)]
pub(crate) struct Compressor {
    last: RefCell<Option<(String, Revision, Bytes)>>,
    whole: RefCell<Option<CompressedSnapshot>>,
    together: RefCell<Option<CompressedChanges>>,
}

/// The changes after one revision up to another, packed in one piece.
struct CompressedChanges {
    span: (Revision, Revision),
    compressed: Bytes,
}

impl Compressor {
    /// Returns a change as it is sent.
    pub(crate) fn compress(&self, change: Change) -> ChangeMessage {
        let revision = change.revision();
        let mut message = ChangeMessage::from(change);
        if let Some(value) = message.value.as_mut().filter(|it| it.len() >= PACK_FROM_BYTES) {
            *value = self.compressed_value(&message.key, revision, value);
            message.is_compressed = true;
        }
        message
    }

    /// Returns everything that is known of the store, as it was a moment ago, but for keys that nobody wants told.
    pub(crate) fn whole(
        &self,
        mirror: &Mirror,
        now: Instant,
        is_wanted: impl Fn(&Change) -> bool,
    ) -> CompressedSnapshot {
        let mut whole = self.whole.borrow_mut();
        if let Some(known) = whole.as_ref()
            && now.duration_since(known.compressed_at) < WHOLE_LASTS
            // The answer that it goes with tells one era for all.
            && known.applied_revision.era() == mirror.era()
        {
            return known.clone();
        }
        let changes = mirror.updates_since(Revision::ABSENT).changes.into_iter().filter(is_wanted);
        let changes = changes.map(ChangeMessage::from).collect();
        let message = ChangesMessage { changes, compressed: Bytes::new() };
        let compressed = deflate(&message.encode_to_vec());
        let made = CompressedSnapshot {
            compressed_at: now,
            applied_revision: mirror.applied_revision(),
            compressed,
        };
        *whole = Some(made.clone());
        made
    }

    /// Packs the changes of a span in one piece if they are large; returns those that are sent as they are, and the piece.
    pub(crate) fn compress_together(
        &self,
        span: (Revision, Revision),
        changes: Vec<ChangeMessage>,
    ) -> (Vec<ChangeMessage>, Bytes) {
        let size = |change: &ChangeMessage| change.value.as_ref().map_or(0, Bytes::len);
        if changes.iter().map(size).sum::<usize>() < PACK_TOGETHER_FROM_BYTES {
            return (changes, Bytes::new());
        }
        let mut together = self.together.borrow_mut();
        if let Some(known) = together.as_ref().filter(|known| known.span == span) {
            return (Vec::new(), known.compressed.clone());
        }
        let message = ChangesMessage { changes, compressed: Bytes::new() };
        let compressed = deflate(&message.encode_to_vec());
        *together = Some(CompressedChanges { span, compressed: compressed.clone() });
        (Vec::new(), compressed)
    }

    fn compressed_value(&self, key: &str, revision: Revision, value: &Bytes) -> Bytes {
        let mut last = self.last.borrow_mut();
        if let Some((known, at, compressed)) = last.as_ref()
            && known == key
            && *at == revision
        {
            return compressed.clone();
        }
        let compressed = deflate(value);
        *last = Some((key.to_owned(), revision, compressed.clone()));
        compressed
    }
}

fn deflate(value: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let compressed = encoder.write_all(value).and_then(|()| encoder.finish());
    Bytes::from(compressed.expect("writing into memory does not fail"))
}

fn inflate(compressed: &[u8], longest_bytes: u64) -> std::io::Result<Bytes> {
    let mut decompressed = Vec::new();
    let mut decoder = DeflateDecoder::new(compressed).take(longest_bytes + 1);
    decoder.read_to_end(&mut decompressed)?;
    if decompressed.len() as u64 > longest_bytes {
        return Err(std::io::Error::other("a compressed value is too long"));
    }
    Ok(Bytes::from(decompressed))
}

/// Returns all changes of a message, oldest first, with those that it holds in one packed piece.
///
/// # Errors
///
/// If something in it is no packed value, or longer than may be.
pub fn decompress_all(message: ChangesMessage) -> std::io::Result<Vec<ChangeMessage>> {
    let mut changes = Vec::new();
    if !message.compressed.is_empty() {
        let whole = inflate(&message.compressed, LONGEST_WHOLE_BYTES)?;
        let whole = ChangesMessage::decode(whole).map_err(std::io::Error::other)?;
        changes.extend(whole.changes);
    }
    changes.extend(message.changes);
    for change in &mut changes {
        decompress(change)?;
    }
    Ok(changes)
}

/// Takes a packed value out of a message.
///
/// # Errors
///
/// If it is no packed value, or longer than any value may be.
pub fn decompress(message: &mut ChangeMessage) -> std::io::Result<()> {
    let Some(value) = message.value.as_mut().filter(|_| message.is_compressed) else {
        return Ok(());
    };
    *value = inflate(value, LONGEST_VALUE_BYTES)?;
    message.is_compressed = false;
    Ok(())
}
