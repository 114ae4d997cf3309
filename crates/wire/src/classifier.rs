//! Remembers classifications, since callers send the same texts again and again.

use std::{num::NonZeroUsize, sync::Arc};

use lru::LruCache;
use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_128;

use crate::{Classification, classify};

/// Texts remembered in each part of the memory.
const TEXTS: NonZeroUsize = NonZeroUsize::new(1_024).expect("not zero");

/// Parts, so that threads seldom wait for each other.
const PARTS: usize = 16;

/// Longer texts are classified each time, so that a few of them can't fill the memory.
const LONGEST_TEXT_BYTES: usize = 64 * 1024;

/// A bounded memory of classifications, shared by all threads.
#[derive(Debug)]
pub struct Classifier {
    parts: Vec<Mutex<LruCache<u128, Arc<Classification>>>>,
}

impl Default for Classifier {
    fn default() -> Classifier {
        Classifier { parts: (0..PARTS).map(|_| Mutex::new(LruCache::new(TEXTS))).collect() }
    }
}

impl Classifier {
    /// Classifies a text, out of memory where it can.
    pub fn classify(&self, sql: &str, read_functions: &[&str]) -> Arc<Classification> {
        if sql.len() > LONGEST_TEXT_BYTES {
            return Arc::new(classify(sql, read_functions));
        }
        let mut hash = xxh3_128(sql.as_bytes());
        for function in read_functions {
            hash = hash.rotate_left(1) ^ xxh3_128(function.as_bytes());
        }
        let part = &self.parts[(hash % PARTS as u128) as usize];
        if let Some(known) = part.lock().get(&hash) {
            return known.clone();
        }
        let classified = Arc::new(classify(sql, read_functions));
        part.lock().put(hash, classified.clone());
        classified
    }
}
