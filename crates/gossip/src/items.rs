//! Small versioned texts that all daemons replicate: the configuration's head
//! and parts, layouts, and the list of leaving servers.
//!
//! An item is replaced only by a higher version, so the result doesn't depend on
//! the order in which copies arrive, and no item reverts to an older version.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// An item's key and version, as sent to peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemVersion {
    /// The item's key.
    pub key: String,
    /// The item's version.
    pub version: u64,
}

/// An item with its text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SharedItem {
    /// The item's key.
    pub key: String,
    /// The item's version.
    pub version: u64,
    /// The item's text.
    pub text: Arc<str>,
}

/// All items of one daemon.
#[derive(Clone, Debug, Default)]
pub struct SharedItems {
    items: BTreeMap<String, SharedItem>,
}

impl SharedItems {
    /// Stores an item. Returns false if it is not newer than the stored version.
    pub fn offer(&mut self, item: SharedItem) -> bool {
        let stored = self.items.get(&item.key).map(|stored| stored.version);
        if stored.is_some_and(|stored| stored >= item.version) {
            return false;
        }
        self.items.insert(item.key.clone(), item);
        true
    }

    /// The text stored for `key`.
    pub fn text(&self, key: &str) -> Option<&str> {
        self.items.get(key).map(|item| &*item.text)
    }

    /// The version stored for `key`.
    pub fn version(&self, key: &str) -> Option<u64> {
        self.items.get(key).map(|item| item.version)
    }

    /// Removes all items for whose key `keep` returns false.
    pub fn retain<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(&str) -> bool,
    {
        self.items.retain(|key, _| keep(key));
    }

    /// The keys and versions of all items.
    pub fn versions(&self) -> Vec<ItemVersion> {
        let version = |item: &SharedItem| ItemVersion {
            key: item.key.clone(),
            version: item.version,
        };
        self.items.values().map(version).collect()
    }

    /// The items that are missing or older at a peer with `versions`.
    pub fn newer_than(&self, versions: &[ItemVersion]) -> Vec<SharedItem> {
        let peer_versions: BTreeMap<&str, u64> = versions
            .iter()
            .map(|item| (item.key.as_str(), item.version))
            .collect();
        self.items
            .values()
            .filter(|item| {
                peer_versions
                    .get(item.key.as_str())
                    .is_none_or(|version| *version < item.version)
            })
            .cloned()
            .collect()
    }

    /// The sum of the versions of all items that have been updated, whose version
    /// is above 1. This leaves out parts of a configuration: they come and go, each
    /// with the single version 1.
    pub fn version_sum(&self) -> u64 {
        let versioned = self.items.values().filter(|item| item.version > 1);
        versioned.fold(0, |sum, item| sum.saturating_add(item.version))
    }

    /// A digest that is equal for daemons with the same items.
    pub fn digest(&self) -> u64 {
        let mix = |digest: u64, item: &SharedItem| {
            let key = xxh3_64(item.key.as_bytes());
            digest.wrapping_add(key.wrapping_mul(item.version.wrapping_mul(2).wrapping_add(1)))
        };
        self.items.values().fold(0, mix)
    }
}
