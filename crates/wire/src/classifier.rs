//! Caches classifications, since callers send the same texts repeatedly.

use std::{num::NonZeroUsize, sync::Arc};

use lru::LruCache;
use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_128;

use crate::{Classification, classify};

/// Capacity of a shard.
const ENTRIES_PER_SHARD: NonZeroUsize = NonZeroUsize::new(1_024).expect("not zero");

/// Number of shards of the cache. Each has its own lock, which limits contention.
const SHARDS: usize = 16;

/// Maximum size of a text whose classification is cached.
const MAX_CACHED_TEXT_BYTES: usize = 64 * 1024;

/// A bounded cache of classifications, shared by all threads.
#[derive(Debug)]
pub struct Classifier {
    shards: Vec<Mutex<LruCache<u128, Arc<Classification>>>>,
}

impl Default for Classifier {
    fn default() -> Classifier {
        Classifier {
            shards: (0..SHARDS).map(|_| Mutex::new(LruCache::new(ENTRIES_PER_SHARD))).collect(),
        }
    }
}

impl Classifier {
    /// Classifies a text, from the cache if possible.
    pub fn classify(&self, sql: &str, read_functions: &[&str]) -> Arc<Classification> {
        if sql.len() > MAX_CACHED_TEXT_BYTES {
            return Arc::new(classify(sql, read_functions));
        }
        let mut hash = xxh3_128(sql.as_bytes());
        for function in read_functions {
            hash = hash.rotate_left(1) ^ xxh3_128(function.as_bytes());
        }
        let shard = &self.shards[(hash % SHARDS as u128) as usize];
        if let Some(cached) = shard.lock().get(&hash) {
            return cached.clone();
        }
        let classified = Arc::new(classify(sql, read_functions));
        shard.lock().put(hash, classified.clone());
        classified
    }
}
