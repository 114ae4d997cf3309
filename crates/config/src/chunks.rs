//! Splits a configuration into chunks named by their content, beneath one head.
//!
//! A change then moves bytes in proportion to itself, no value passes the store's limit, and the
//! change of the head alone decides which configuration is in force. The design and the other ways
//! weighed are in `docs/CONFIGURATION-SPREAD.md`.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// The name of a chunk: the hash of its text, as 32 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChunkHash(pub String);

impl ChunkHash {
    /// Names a text.
    pub fn of(text: &str) -> ChunkHash {
        ChunkHash(format!("{:032x}", xxh3_128(text.as_bytes())))
    }
}

impl fmt::Display for ChunkHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A part of a configuration's text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Its name.
    pub hash: ChunkHash,
    /// Its text: whole sections.
    pub text: String,
}

/// The one value that says which configuration is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Grows by one with each accepted configuration; daemons only move to higher ones.
    pub revision: u64,
    /// Made up by whoever applied it, so that a lost answer can be resolved by reading it back.
    pub change_id: String,
    /// The chunks, in order.
    pub chunks: Vec<ChunkHash>,
    /// Chunks of the configuration before, which daemons may still be reading.
    #[serde(default)]
    pub superseded: Vec<ChunkHash>,
}

/// The size that chunks are aimed at, far below the store's limit of a megabyte.
const CHUNK_BYTES: usize = 32 * 1024;

/// Splits a text into chunks.
///
/// Sections go to a chunk by the hash of the service that they belong to, so that a change of one
/// service leaves all other chunks as they are. Rules keep their order, since all rules of a service
/// are in one chunk.
pub fn split(text: &str) -> Vec<Chunk> {
    let buckets = (text.len() / CHUNK_BYTES).next_power_of_two().max(1) as u64;
    let mut texts: BTreeMap<u64, String> = BTreeMap::new();
    for section in split_sections(text) {
        let bucket = xxh3_64(section.owner.as_bytes()) % buckets;
        let chunk = texts.entry(bucket).or_default();
        chunk.push_str(section.text);
        if !section.text.ends_with('\n') {
            chunk.push('\n');
        }
    }
    texts.into_values().map(|text| Chunk { hash: ChunkHash::of(&text), text }).collect()
}

/// Joins chunks into the text that [`split`] took apart, up to the order of sections.
///
/// Returns the hash of the first chunk that is missing or does not match its name.
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
    owner: &'a str,
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
        .map(|text| TextSection { owner: section_owner(text), text })
        .collect()
}

/// Returns the first part of the section's name, which is the service where it has one.
fn section_owner(section: &str) -> &str {
    let header = section.lines().find(|line| line.starts_with('[')).unwrap_or("");
    let header = header.trim().trim_start_matches('[').trim_end_matches(']');
    let name = header.split_once(' ').map_or(header, |(_, name)| name);
    name.split('/').next().unwrap_or(name).trim()
}
