//! When the present history of the store began.
//!
//! A store that comes back from an older copy has lost claims. The first daemon that
//! meets a history writes down when, for all others and those that start later.

use crate::clock::DaemonClock;
use crate::event;
use crate::store::client::{StoreClient, StoreError, StorePurpose, WriteResult};
use crate::sync::lock;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const HISTORY_PREFIX: &str = "history/";
const PURPOSE: StorePurpose = StorePurpose::Claim;
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The beginnings of histories, as the store holds them.
#[derive(Debug)]
pub struct StoreHistory {
    store: Arc<StoreClient>,
    clock: DaemonClock,
    known: Mutex<Option<HistoryStart>>,
}

#[derive(Clone, Copy, Debug)]
struct HistoryStart {
    era: u64,
    record: HistoryRecord,
}

/// The beginning of a history, as it is stored.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
struct HistoryRecord {
    /// In Unix milliseconds; 0 for the first history, in which nothing was lost.
    began_ms: u64,
}

impl StoreHistory {
    /// The histories of `store`.
    pub fn new(store: Arc<StoreClient>, clock: DaemonClock) -> Self {
        Self {
            store,
            clock,
            known: Mutex::default(),
        }
    }

    /// Learns the present history as soon as the store answers, so that it is written
    /// down before anything depends on it.
    pub async fn learn(&self) {
        while let Err(error) = self.began_ms().await {
            event!(Warn, "history-not-read", error = error);
            let pause = RETRY_DELAY.mul_f64(0.5 + fastrand::f64());
            self.clock.sleep(pause).await;
        }
    }

    /// When the present history began, in Unix milliseconds; 0 if nothing was lost.
    ///
    /// # Errors
    /// Returns an error if the store did not answer.
    pub async fn began_ms(&self) -> Result<u64, StoreError> {
        loop {
            let era = self.store.era();
            let known = *lock(&self.known);
            if let Some(known) = known.filter(|known| known.era == era && era > 0) {
                return Ok(known.record.began_ms);
            }
            let histories = self.store.list(HISTORY_PREFIX, PURPOSE).await?;
            let era = self.store.era();
            if era == 0 {
                return Ok(0);
            }
            let key = format!("{HISTORY_PREFIX}{era}");
            let record = if histories.iter().any(|object| object.key == key) {
                self.read(&key).await?
            } else {
                let is_first = histories.is_empty() && known.is_none();
                let began_ms = if is_first { 0 } else { self.clock.unix_ms() };
                self.write(&key, HistoryRecord { began_ms }).await?
            };
            // Otherwise the store came back from a copy once more.
            if let Some(record) = record.filter(|_| self.store.era() == era) {
                event!(Info, "history-known", era = era, began_ms = record.began_ms);
                *lock(&self.known) = Some(HistoryStart { era, record });
            }
        }
    }

    async fn read(&self, key: &str) -> Result<Option<HistoryRecord>, StoreError> {
        let Some(object) = self.store.get(key, PURPOSE).await? else {
            return Ok(None);
        };
        let record = serde_json::from_str(&object.text).map_err(|cause| StoreError {
            step: "parse",
            key: key.to_owned(),
            cause: cause.to_string(),
        })?;
        Ok(Some(record))
    }

    /// Writes a record; returns none if another daemon has written one.
    async fn write(
        &self,
        key: &str,
        record: HistoryRecord,
    ) -> Result<Option<HistoryRecord>, StoreError> {
        let text = serde_json::to_string(&record).map_err(|cause| StoreError {
            step: "encode",
            key: key.to_owned(),
            cause: cause.to_string(),
        })?;
        match self.store.put(key, &text, None, PURPOSE).await? {
            WriteResult::Written(_) => Ok(Some(record)),
            WriteResult::Conflict => Ok(None),
        }
    }
}
