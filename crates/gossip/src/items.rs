//! Small versioned texts that every daemon keeps: the configuration's head and
//! parts, layouts, and the servers that are leaving.
//!
//! An item is replaced only by a higher version of it, so the order in which
//! copies arrive doesn't matter and nothing reverts.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// A key and version, as listed to peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemVersion {
    /// The item's key.
    pub key: String,
    /// Its version.
    pub version: u64,
}

/// An item with its text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SharedItem {
    /// The item's key.
    pub key: String,
    /// Its version.
    pub version: u64,
    /// Its text.
    pub text: Arc<str>,
}

/// All items of one daemon.
#[derive(Clone, Debug, Default)]
pub struct SharedItems {
    items: BTreeMap<String, SharedItem>,
}

impl SharedItems {
    /// Takes an item; false if it is not newer than what is held.
    pub fn offer(&mut self, item: SharedItem) -> bool {
        let held = self.items.get(&item.key).map(|held| held.version);
        if held.is_some_and(|held| held >= item.version) {
            return false;
        }
        self.items.insert(item.key.clone(), item);
        true
    }

    /// The text held for `key`.
    pub fn text(&self, key: &str) -> Option<&str> {
        self.items.get(key).map(|item| &*item.text)
    }

    /// The version held for `key`.
    pub fn version(&self, key: &str) -> Option<u64> {
        self.items.get(key).map(|item| item.version)
    }

    /// Forgets every item for which `keep` is false.
    pub fn retain<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(&str) -> bool,
    {
        self.items.retain(|key, _| keep(key));
    }

    /// Keys and versions of all items.
    pub fn versions(&self) -> Vec<ItemVersion> {
        let version = |item: &SharedItem| ItemVersion {
            key: item.key.clone(),
            version: item.version,
        };
        self.items.values().map(version).collect()
    }

    /// The items that a peer which holds `versions` lacks.
    pub fn newer_than(&self, versions: &[ItemVersion]) -> Vec<SharedItem> {
        let held: BTreeMap<&str, u64> = versions
            .iter()
            .map(|item| (item.key.as_str(), item.version))
            .collect();
        self.items
            .values()
            .filter(|item| {
                held.get(item.key.as_str())
                    .is_none_or(|version| *version < item.version)
            })
            .cloned()
            .collect()
    }

    /// Sum of the versions of all items that get new ones. Parts of a
    /// configuration are left out: they come and go, each with one version.
    pub fn version_sum(&self) -> u64 {
        let versioned = self.items.values().filter(|item| item.version > 1);
        versioned.map(|item| item.version).sum()
    }

    /// Equal for daemons that hold the same items.
    pub fn digest(&self) -> u64 {
        let mix = |digest: u64, item: &SharedItem| {
            let key = xxh3_64(item.key.as_bytes());
            digest.wrapping_add(key.wrapping_mul(item.version.wrapping_mul(2).wrapping_add(1)))
        };
        self.items.values().fold(0, mix)
    }
}
