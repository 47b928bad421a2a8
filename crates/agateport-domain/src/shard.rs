//! A sharded map in which each shard has its own lock.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Number of shards of each map.
const SHARDS: usize = 32;

/// A map split into a fixed number of shards, each under its own lock.
///
/// A lock is held only while one closure runs: never across an await point, and
/// never two at once.
#[derive(Debug)]
pub struct Sharded<K, V> {
    shards: Box<[Mutex<BTreeMap<K, V>>]>,
}

impl<K: Hash + Ord, V> Sharded<K, V> {
    /// Creates an empty map.
    #[must_use]
    pub fn new() -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Self { shards }
    }

    /// Runs `action` on the shard that holds `key`.
    pub fn with<R>(&self, key: &K, action: impl FnOnce(&mut BTreeMap<K, V>) -> R) -> R {
        action(&mut self.lock(key))
    }

    /// Runs `action` on the value at `key`, if there is one.
    pub fn update<R>(&self, key: &K, action: impl FnOnce(&mut V) -> R) -> Option<R> {
        self.lock(key).get_mut(key).map(action)
    }

    /// Sets the value at `key` and returns the previous one.
    pub fn insert(&self, key: K, value: V) -> Option<V> {
        self.lock(&key).insert(key, value)
    }

    /// Removes the value at `key` and returns it.
    pub fn remove(&self, key: &K) -> Option<V> {
        self.lock(key).remove(key)
    }

    /// Returns a copy of the value at `key`.
    pub fn get(&self, key: &K) -> Option<V>
    where
        V: Clone,
    {
        self.lock(key).get(key).cloned()
    }

    /// Runs `action` on every key and value, one shard at a time.
    pub fn for_each(&self, mut action: impl FnMut(&K, &mut V)) {
        for shard in &self.shards {
            let mut pairs = shard.lock().unwrap_or_else(PoisonError::into_inner);
            for (key, value) in pairs.iter_mut() {
                action(key, value);
            }
        }
    }

    /// Returns the number of entries in all shards.
    #[must_use]
    pub fn len(&self) -> usize {
        let lengths = self.shards.iter().map(|shard| {
            let pairs = shard.lock().unwrap_or_else(PoisonError::into_inner);
            pairs.len()
        });
        lengths.sum()
    }

    /// Returns whether the map is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self, key: &K) -> MutexGuard<'_, BTreeMap<K, V>> {
        let mut hasher = DefaultHasher::new();
        key.hash(&mut hasher);
        let index = usize::try_from(hasher.finish() % SHARDS as u64).unwrap_or_default();
        self.shards[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl<K: Hash + Ord, V> Default for Sharded<K, V> {
    fn default() -> Self {
        Self::new()
    }
}
