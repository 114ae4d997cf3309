//! Large values made small on their way between daemons.
//!
//! A configuration of a large installation goes from each daemon to up to eight others, over links that
//! may carry a megabyte a second. It is text that repeats itself, so it packs to a tenth.

use std::{
    cell::RefCell,
    io::{Read, Write},
};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

use crate::{
    control::peers::ChangeMessage,
    metadata::{Change, Revision},
};

/// Values from this size on are packed; below it a message is one or two packets anyway.
const PACK_FROM_BYTES: usize = 8 * 1024;
/// The largest value that is taken out of a message; the store's own limit is a megabyte.
const LONGEST_VALUE_BYTES: u64 = 16 * 1024 * 1024;

/// Packs large values, each once: the same one goes to several daemons.
#[derive(Default)]
pub(crate) struct Packer {
    last: RefCell<Option<(String, Revision, Bytes)>>,
}

impl Packer {
    /// Returns a change as it is sent.
    pub(crate) fn pack(&self, change: Change) -> ChangeMessage {
        let revision = change.revision();
        let mut message = ChangeMessage::from(change);
        if let Some(value) = message.value.as_mut().filter(|it| it.len() >= PACK_FROM_BYTES) {
            *value = self.packed(&message.key, revision, value);
            message.is_packed = true;
        }
        message
    }

    fn packed(&self, key: &str, revision: Revision, value: &Bytes) -> Bytes {
        let mut last = self.last.borrow_mut();
        if let Some((known, at, packed)) = last.as_ref()
            && known == key
            && *at == revision
        {
            return packed.clone();
        }
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let packed = encoder.write_all(value).and_then(|()| encoder.finish());
        let packed = Bytes::from(packed.expect("writing into memory does not fail"));
        *last = Some((key.to_owned(), revision, packed.clone()));
        packed
    }
}

/// Takes a packed value out of a message.
///
/// # Errors
///
/// If it is no packed value, or longer than any value may be.
pub fn unpack(message: &mut ChangeMessage) -> std::io::Result<()> {
    let Some(value) = message.value.as_mut().filter(|_| message.is_packed) else { return Ok(()) };
    let mut unpacked = Vec::new();
    let mut decoder = DeflateDecoder::new(&value[..]).take(LONGEST_VALUE_BYTES + 1);
    decoder.read_to_end(&mut unpacked)?;
    if unpacked.len() as u64 > LONGEST_VALUE_BYTES {
        return Err(std::io::Error::other("a packed value is too long"));
    }
    *value = Bytes::from(unpacked);
    message.is_packed = false;
    Ok(())
}
