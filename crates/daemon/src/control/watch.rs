//! Reads configuration, layouts and the VM list from the platform.
//!
//! Only the watchers of a failure domain read continuously. All other daemons
//! receive changes by gossip; they read the store themselves soon while they have
//! no configuration, and rarely and at random times otherwise.

use crate::clock::DaemonClock;
use crate::control::view::SharedView;
use crate::control::{ControlHandle, ControlInput, LAYOUT_PREFIX};
use crate::event;
use crate::store::client::{ListedObject, StoreClient, StoreError, StorePurpose};
use camphorway_gossip::SharedItem;
use camphorway_gossip::tracker::{HEAD_KEY, head_item};
use camphorway_model::{HeadObject, PartReference};
use camphorway_policy::claim::minute_of_key;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

const CONFIG_PREFIX: &str = "config/";
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
const FALLBACK_READ_INTERVAL: Duration = Duration::from_secs(45);
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);
const MINUTE_MS: u64 = 60_000;

/// Reads the platform's store for one daemon.
#[derive(Clone, Debug)]
pub struct StoreWatch {
    /// The store.
    pub store: Arc<StoreClient>,
    /// The current view.
    pub view: Arc<SharedView>,
    /// Receives what was read.
    pub control: ControlHandle,
    /// The daemon's clock.
    pub clock: DaemonClock,
    /// Cancelled to stop the loops.
    pub stop: CancellationToken,
}

impl StoreWatch {
    /// Keeps configuration and layouts up to date, until stopped.
    pub async fn run_configuration(self) {
        let mut versions = BTreeMap::new();
        let mut backoff = INITIAL_BACKOFF;
        while !self.stop.is_cancelled() {
            if !self.view.load().is_watcher {
                self.wait_until_due().await;
                if self.view.load().is_watcher {
                    continue;
                }
            }
            match self.follow_changes(&mut versions).await {
                Ok(()) => backoff = INITIAL_BACKOFF,
                Err(error) => {
                    event!(Warn, "configuration-not-read", error = error);
                    // All watchers lose the platform at once; jitter spreads their retries.
                    self.clock
                        .sleep(backoff.mul_f64(0.5 + fastrand::f64()))
                        .await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    /// Reads the VM list once, then periodically while this daemon is a watcher.
    pub async fn run_vm_list(self) {
        let mut first = true;
        while !self.stop.is_cancelled() {
            if first || self.view.load().is_watcher {
                match self.store.vms().await {
                    Ok(list) => {
                        first = false;
                        self.control.send(ControlInput::Vms(list)).await;
                    }
                    Err(error) => event!(Warn, "vm-list-not-read", error = error),
                }
            }
            self.clock
                .sleep(VM_LIST_INTERVAL.mul_f64(0.75 + fastrand::f64() / 2.0))
                .await;
        }
    }

    /// Deletes expired claims periodically while this daemon is a watcher.
    pub async fn run_claim_cleanup(self) {
        while !self.stop.is_cancelled() {
            self.clock
                .sleep(CLEANUP_INTERVAL.mul_f64(0.5 + fastrand::f64()))
                .await;
            if self.view.load().is_watcher
                && let Err(error) = self.delete_expired_claims().await
            {
                event!(Warn, "claims-not-cleaned", error = error);
            }
        }
    }

    async fn delete_expired_claims(&self) -> Result<(), StoreError> {
        let retention = self.view.load().config.rules.policy.claim_retention;
        // Twice the retention allows for differences between clocks.
        let keep_ms = 2 * retention.as_millis() as u64;
        let oldest = self.clock.unix_ms().saturating_sub(keep_ms) / MINUTE_MS;
        for object in self.store.list("claims/", StorePurpose::Status).await? {
            if minute_of_key(&object.key).is_some_and(|minute| minute < oldest) {
                self.store.delete(&object.key, StorePurpose::Status).await?;
            }
        }
        Ok(())
    }

    /// Waits until this daemon becomes a watcher or has to read the store itself.
    async fn wait_until_due(&self) {
        let started_at = self.clock.now();
        let max_wait = FALLBACK_READ_INTERVAL.mul_f64(0.5 + fastrand::f64());
        loop {
            self.clock.sleep(ROLE_CHECK_INTERVAL).await;
            let view = self.view.load();
            let waited = self.clock.now().saturating_duration_since(started_at);
            let lacks_configuration = view.generation.0 == 0 && waited > 5 * ROLE_CHECK_INTERVAL;
            if self.stop.is_cancelled()
                || view.is_watcher
                || lacks_configuration
                || waited > max_wait
            {
                return;
            }
        }
    }

    /// Reads the objects that differ from `versions`, then follows changes while
    /// this daemon is a watcher.
    async fn follow_changes(&self, versions: &mut BTreeMap<String, u64>) -> Result<(), StoreError> {
        let reply = self.store.watch(CONFIG_PREFIX, 0).await?;
        let mut revision = reply.revision;
        self.fetch_changed(reply.changes, versions).await?;
        while self.view.load().is_watcher && !self.stop.is_cancelled() {
            let reply = self.store.watch(CONFIG_PREFIX, revision).await?;
            self.fetch_changed(reply.changes, versions).await?;
            revision = reply.revision;
        }
        Ok(())
    }

    async fn fetch_changed(
        &self,
        changes: Vec<ListedObject>,
        versions: &mut BTreeMap<String, u64>,
    ) -> Result<(), StoreError> {
        let mut items = Vec::new();
        for change in changes {
            let is_current = versions.get(&change.key) == Some(&change.version);
            let is_wanted = change.key == HEAD_KEY || change.key.starts_with(LAYOUT_PREFIX);
            if is_current || !is_wanted {
                continue;
            }
            let Some(object) = self
                .store
                .get(&change.key, StorePurpose::Configuration)
                .await?
            else {
                continue;
            };
            if change.key == HEAD_KEY {
                self.fetch_head(&object.text, &mut items).await?;
            } else {
                items.push(SharedItem {
                    key: change.key.clone(),
                    version: object.version,
                    text: Arc::from(object.text.as_str()),
                });
            }
            versions.insert(change.key, object.version);
        }
        if !items.is_empty() {
            self.control.send(ControlInput::Items(items)).await;
        }
        Ok(())
    }

    /// Reads the parts of a head that are not in force here already.
    async fn fetch_head(&self, text: &str, items: &mut Vec<SharedItem>) -> Result<(), StoreError> {
        let head: HeadObject = match serde_json::from_str(text) {
            Ok(head) => head,
            Err(cause) => {
                event!(Error, "head-refused", cause = cause);
                return Ok(());
            }
        };
        let view = self.view.load();
        if head.generation <= view.generation {
            return Ok(());
        }
        for part in &head.parts {
            // Parts are immutable, so those in force need not be read again.
            if view.part_keys.contains(&part.object_key()) {
                continue;
            }
            if let Some(item) = self.fetch_part(part).await? {
                items.push(item);
            }
        }
        items.push(head_item(&head));
        Ok(())
    }

    async fn fetch_part(&self, part: &PartReference) -> Result<Option<SharedItem>, StoreError> {
        let key = part.object_key();
        let Some(object) = self.store.get(&key, StorePurpose::Configuration).await? else {
            event!(Error, "part-missing", key = key);
            return Ok(None);
        };
        if !part.matches(&object.text) {
            event!(Error, "part-refused", key = key, cause = "hash differs");
            return Ok(None);
        }
        Ok(Some(SharedItem {
            key,
            version: 1,
            text: Arc::from(object.text.as_str()),
        }))
    }
}
