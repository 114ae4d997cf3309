//! Applies configurations to the store. A compare-and-swap of the head makes a change atomic.

use std::{collections::BTreeSet, fmt};

use config::{ChunkHash, Head, Problems, assemble, check_configuration, split};
use store::{CasOutcome, KeyValueStore, StoreError};

/// Why a configuration was not applied.
#[derive(Debug)]
pub enum ApplyError {
    /// The configuration is invalid.
    Invalid(Problems),
    /// Another configuration was applied after the base revision.
    Conflict {
        /// The revision now in force.
        revision: u64,
        /// The sections that differ between the submitted text and the configuration in force.
        changed: Vec<String>,
    },
    /// The store can't be reached. Nothing was applied.
    Store(StoreError),
    /// The store's answers were lost, so it is unknown whether the configuration was applied.
    OutcomeUnknown {
        /// The id of this attempt. The head carries it if the configuration was applied.
        change_id: String,
    },
}

impl fmt::Display for ApplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ApplyError::Invalid(problems) => problems.fmt(f),
            ApplyError::Conflict { revision, changed } => write!(
                f,
                "not applied: revision {revision} was applied meanwhile; it changed {}. Merge these \
                 and apply again with --base {revision}",
                if changed.is_empty() { "nothing".to_owned() } else { changed.join(", ") }
            ),
            ApplyError::Store(error) => write!(f, "not applied: {error}"),
            ApplyError::OutcomeUnknown { change_id } => write!(
                f,
                "the store's answers were lost; whether the configuration was applied is not known. \
                 When the store is back, `wardtiller show` tells whether change {change_id} is in \
                 force; applying again is safe"
            ),
        }
    }
}

impl std::error::Error for ApplyError {}

impl From<StoreError> for ApplyError {
    fn from(error: StoreError) -> ApplyError {
        ApplyError::Store(error)
    }
}

/// Maximum number of reads of the head to determine whether a write with a lost answer took effect.
const MAX_OUTCOME_READS: usize = 5;

pub(crate) fn head_key(prefix: &str) -> String {
    format!("{prefix}/head")
}

pub(crate) fn chunk_key(prefix: &str, hash: &ChunkHash) -> String {
    format!("{prefix}/chunks/{hash}")
}

/// Applies a configuration on top of the revision `base`, or of the current revision if `None`.
///
/// Returns the new revision. `change_id` must be unique for each attempt.
pub fn apply_configuration<P: KeyValueStore>(
    store: &P,
    prefix: &str,
    file: &str,
    text: &str,
    base: Option<u64>,
    change_id: &str,
) -> Result<u64, ApplyError> {
    check_configuration(file, text).map_err(ApplyError::Invalid)?;
    let (version, current) = read_head(store, prefix)?;
    if let Some(base) = base
        && base != current.revision
    {
        let changed = changed_sections(store, prefix, text, &current)?;
        return Err(ApplyError::Conflict { revision: current.revision, changed });
    }
    let chunks = split(text);
    for chunk in &chunks {
        write_chunk(store, &chunk_key(prefix, &chunk.hash), &chunk.text)?;
    }
    let hashes: Vec<ChunkHash> = chunks.iter().map(|chunk| chunk.hash.clone()).collect();
    let superseded = current.chunks.iter().filter(|hash| !hashes.contains(hash)).cloned().collect();
    let head = Head {
        revision: current.revision + 1,
        change_id: change_id.to_owned(),
        chunks: hashes,
        superseded,
    };
    let value = serde_json::to_vec(&head)
        .map_err(|error| ApplyError::Store(StoreError::Malformed(error.to_string())))?;
    let outcome = store.compare_and_swap(&head_key(prefix), version, &value);
    match outcome {
        Ok(CasOutcome::Applied) => {}
        Ok(CasOutcome::Conflict) | Err(StoreError::AnswerLost(_) | StoreError::Malformed(_)) => {
            resolve_outcome(store, prefix, text, &head)?;
        }
        Err(error) => return Err(error.into()),
    }
    remove_unused(store, prefix, &current, &head);
    Ok(head.revision)
}

/// Reads the head to determine whether a write with a lost answer took effect.
fn resolve_outcome<P: KeyValueStore>(
    store: &P,
    prefix: &str,
    text: &str,
    head: &Head,
) -> Result<(), ApplyError> {
    for _ in 0..MAX_OUTCOME_READS {
        let Ok((_, found)) = read_head(store, prefix) else { continue };
        if found.change_id == head.change_id {
            return Ok(());
        }
        if found.revision < head.revision {
            // The head has the old revision, so the lost write had no effect and can't have one later.
            return Err(ApplyError::Store(StoreError::Unreachable(
                "the store did not take the change".to_owned(),
            )));
        }
        let changed = changed_sections(store, prefix, text, &found)?;
        return Err(ApplyError::Conflict { revision: found.revision, changed });
    }
    Err(ApplyError::OutcomeUnknown { change_id: head.change_id.clone() })
}

pub(crate) fn read_head<P: KeyValueStore>(
    store: &P,
    prefix: &str,
) -> Result<(u64, Head), StoreError> {
    let Some(entry) = store.get(&head_key(prefix))? else { return Ok((0, Head::default())) };
    let head = serde_json::from_slice(&entry.value)
        .map_err(|error| StoreError::Malformed(error.to_string()))?;
    Ok((entry.version, head))
}

/// Writes a chunk. Its key is the hash of its content, so a conflict means that the chunk is stored
/// already, and a read settles a lost answer.
fn write_chunk<P: KeyValueStore>(store: &P, key: &str, text: &str) -> Result<(), StoreError> {
    match store.compare_and_swap(key, 0, text.as_bytes()) {
        Ok(_) => Ok(()),
        Err(StoreError::AnswerLost(detail)) => match store.get(key)? {
            Some(_) => Ok(()),
            None => Err(StoreError::Unreachable(detail)),
        },
        Err(error) => Err(error),
    }
}

/// Removes the chunks that neither the new head nor the previous one references.
fn remove_unused<P: KeyValueStore>(store: &P, prefix: &str, before: &Head, head: &Head) {
    let needed: BTreeSet<&ChunkHash> =
        head.chunks.iter().chain(&head.superseded).chain(&before.chunks).collect();
    for hash in before.superseded.iter().filter(|hash| !needed.contains(hash)) {
        // A chunk that can't be removed only takes up space; the change is in force.
        let _ = store.delete(&chunk_key(prefix, hash));
    }
}

/// Lists the sections that differ between a text and the configuration in force.
fn changed_sections<P: KeyValueStore>(
    store: &P,
    prefix: &str,
    text: &str,
    current: &Head,
) -> Result<Vec<String>, StoreError> {
    let mut found = Vec::new();
    for hash in &current.chunks {
        let entry = store.get(&chunk_key(prefix, hash))?;
        found.push(entry.map(|entry| String::from_utf8_lossy(&entry.value).into_owned()));
    }
    let mut chunks = found.iter();
    let in_force = assemble(current, |_| chunks.next().and_then(|chunk| chunk.as_deref()));
    let Ok(in_force) = in_force else { return Ok(vec!["(unreadable)".to_owned()]) };
    let new_sections: BTreeSet<String> = section_texts(text);
    let active_sections: BTreeSet<String> = section_texts(&in_force);
    let changed = new_sections.symmetric_difference(&active_sections);
    let names: BTreeSet<String> =
        changed.map(|section| section.lines().next().unwrap_or_default().to_owned()).collect();
    Ok(names.into_iter().collect())
}

fn section_texts(text: &str) -> BTreeSet<String> {
    let mut sections = BTreeSet::new();
    let mut section = String::new();
    for line in text.lines().map(str::trim_end) {
        if line.starts_with('[') && !section.is_empty() {
            sections.insert(std::mem::take(&mut section));
        }
        if !line.is_empty() && !line.starts_with(';') {
            section.push_str(line);
            section.push('\n');
        }
    }
    sections.insert(section);
    sections.retain(|section| section.starts_with('['));
    sections
}
