//! Splits a configuration into content-addressed chunks that are listed by one head.
//!
//! A change transfers only the chunks that it touches, no value exceeds the store's size limit, and
//! replacing the head switches the whole configuration atomically. The design and its alternatives
//! are described in `docs/CONFIGURATION-SPREAD.md`.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// The name of a chunk: the hash of its text, as 32 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChunkHash(pub String);

impl ChunkHash {
    /// Returns the hash of a text.
    pub fn of(text: &str) -> ChunkHash {
        ChunkHash(format!("{:032x}", xxh3_128(text.as_bytes())))
    }
}

impl fmt::Display for ChunkHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A chunk of a configuration's text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The hash of the text.
    pub hash: ChunkHash,
    /// The text, which consists of whole sections.
    pub text: String,
}

/// The stored value that defines the active configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Increases by one with each accepted configuration; daemons ignore lower revisions.
    pub revision: u64,
    /// A unique id chosen by the command that wrote the head. If the response to the write was lost, the command reads
    /// the head back and compares the id.
    pub change_id: String,
    /// The hashes of the chunks, in order.
    pub chunks: Vec<ChunkHash>,
    /// Chunks of the previous configuration, kept because daemons may still be reading them.
    #[serde(default)]
    pub superseded: Vec<ChunkHash>,
}

/// Target size of a chunk, far below the store's limit of 1 MB per value.
const TARGET_CHUNK_BYTES: usize = 32 * 1024;

/// Splits a text into chunks.
///
/// Sections are assigned to chunks by the hash of their service, so a change of one service leaves
/// the other chunks unchanged. Rules keep their order, since all rules of a service share a chunk.
pub fn split(text: &str) -> Vec<Chunk> {
    let buckets = (text.len() / TARGET_CHUNK_BYTES).next_power_of_two().max(1) as u64;
    let mut texts: BTreeMap<u64, String> = BTreeMap::new();
    for section in split_sections(text) {
        let bucket = xxh3_64(section.service.as_bytes()) % buckets;
        let chunk = texts.entry(bucket).or_default();
        chunk.push_str(section.text);
        if !section.text.ends_with('\n') {
            chunk.push('\n');
        }
    }
    texts.into_values().map(|text| Chunk { hash: ChunkHash::of(&text), text }).collect()
}

/// Reassembles the text from its chunks; sections of different services may change their order.
///
/// Fails with the hash of the first chunk that is missing or does not match its hash.
pub fn assemble<'a>(
    head: &Head,
    mut find: impl FnMut(&ChunkHash) -> Option<&'a str>,
) -> Result<String, ChunkHash> {
    let mut text = String::new();
    for hash in &head.chunks {
        match find(hash) {
            Some(chunk) if ChunkHash::of(chunk) == *hash => text.push_str(chunk),
            _ => return Err(hash.clone()),
        }
    }
    Ok(text)
}

struct TextSection<'a> {
    service: &'a str,
    text: &'a str,
}

fn split_sections(text: &str) -> Vec<TextSection<'_>> {
    let mut starts = vec![0];
    let mut offset = 0;
    for line in text.split_inclusive('\n') {
        if line.starts_with('[') && offset > 0 {
            starts.push(offset);
        }
        offset += line.len();
    }
    starts.push(text.len());
    starts
        .windows(2)
        .map(|pair| &text[pair[0]..pair[1]])
        .filter(|section| !section.trim().is_empty())
        .map(|text| TextSection { service: section_service(text), text })
        .collect()
}

/// Returns the first part of the section's name, which is the service for sections of a service.
fn section_service(section: &str) -> &str {
    let header = section.lines().find(|line| line.starts_with('[')).unwrap_or("");
    let header = header.trim().trim_start_matches('[').trim_end_matches(']');
    let name = header.split_once(' ').map_or(header, |(_, name)| name);
    name.split('/').next().unwrap_or(name).trim()
}
