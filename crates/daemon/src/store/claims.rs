//! Writes claims to the platform's store.
//!
//! All claims that wait for the same object share one conditional write. After a
//! write whose reply was lost, the object is read back: an attempt owns a claim
//! if, and only if, the object in the store names that attempt as the owner.

use crate::clock::DaemonClock;
use crate::event;
use crate::store::client::{StoreClient, StoreError, StorePurpose, WriteResult};
use crate::store::history::StoreHistory;
use crate::sync::lock;
use crate::task::TaskSpawner;
use async_channel::Sender;
use camphorway_model::RequestId;
use camphorway_policy::claim::{ClaimState, may_be_lost, object_key};
use camphorway_policy::{ClaimDecision, ClaimObject};
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const BATCH_WINDOW: Duration = Duration::from_millis(2);
const MAX_CONFLICT_PAUSE: Duration = Duration::from_millis(6);
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// After this time without an answer, an object may be one of a later history whose version
/// was given out again, and hold claims of requests that run there. Before, no request runs
/// there: those issued in its first 30 s, less what clocks differ by, are not dispatched.
const MAX_SILENCE: Duration = Duration::from_secs(2);
const MAX_CACHED_OBJECTS: usize = 32;
const MAX_WAITING_OPERATIONS: usize = 4_096;
const MAX_OBJECT_BYTES: usize = 900_000;

/// The result of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimReply {
    /// Decided by the object in the store.
    Decided(ClaimDecision),
    /// The store did not answer in time. The attempt does not own the claim; if a
    /// late write set the claim after all, it will be voided.
    Unavailable,
}

#[derive(Debug)]
enum ClaimOperation {
    Claim {
        id: RequestId,
        owner: String,
        content: u64,
        until: Instant,
        reply: Sender<ClaimReply>,
    },
    End {
        id: RequestId,
        owner: String,
        state: ClaimState,
    },
    Void {
        id: RequestId,
        owner: String,
        content: u64,
    },
}

#[derive(Clone, Debug, Default)]
struct CachedObject {
    version: Option<u64>,
    object: ClaimObject,
}

/// Writes claims, with one worker task for each object in use.
#[derive(Debug)]
pub struct ClaimWriter {
    store: Arc<StoreClient>,
    history: StoreHistory,
    clock: DaemonClock,
    spawner: TaskSpawner,
    queues: Mutex<HashMap<String, Vec<ClaimOperation>>>,
    /// Recent objects, which save a read if no other daemon wrote since.
    cache: Mutex<BTreeMap<String, CachedObject>>,
}

impl ClaimWriter {
    /// Creates a writer of claims to `store`.
    pub fn new(store: Arc<StoreClient>, clock: DaemonClock, spawner: TaskSpawner) -> Self {
        Self {
            history: StoreHistory::new(Arc::clone(&store), clock.clone()),
            store,
            clock,
            spawner,
            queues: Mutex::default(),
            cache: Mutex::default(),
        }
    }

    /// The histories of the store.
    pub fn history(&self) -> &StoreHistory {
        &self.history
    }

    /// Whether an earlier claim of `id` may be among those that the store has lost.
    ///
    /// # Errors
    /// Returns an error if the store did not answer.
    pub async fn may_have_lost(&self, id: &RequestId) -> Result<bool, StoreError> {
        let began_ms = self.history.began_ms().await?;
        Ok(may_be_lost(id, began_ms))
    }

    /// Claims `id` for the attempt `owner`; each attempt needs a unique name.
    pub async fn claim(
        self: &Arc<Self>,
        id: RequestId,
        owner: &str,
        content: u64,
        until: Instant,
    ) -> ClaimReply {
        let (reply, decided) = async_channel::bounded(1);
        let operation = ClaimOperation::Claim {
            id,
            owner: owner.to_owned(),
            content,
            until,
            reply,
        };
        if !self.enqueue(&id, operation) {
            return ClaimReply::Unavailable;
        }
        decided.recv().await.unwrap_or(ClaimReply::Unavailable)
    }

    /// Queues the final state of a claim, to be written once the store is available.
    pub fn end(self: &Arc<Self>, id: RequestId, owner: &str, state: ClaimState) {
        let owner = owner.to_owned();
        self.enqueue(&id, ClaimOperation::End { id, owner, state });
    }

    /// Voids a claim whose request was not dispatched.
    pub fn void(self: &Arc<Self>, id: RequestId, owner: &str, content: u64) {
        let owner = owner.to_owned();
        self.enqueue(&id, ClaimOperation::Void { id, owner, content });
    }

    /// Number of queued operations.
    pub fn waiting(&self) -> usize {
        self.lock().values().map(Vec::len).sum()
    }

    fn enqueue(self: &Arc<Self>, id: &RequestId, operation: ClaimOperation) -> bool {
        let key = object_key(id);
        let mut queues = self.lock();
        let is_claim = matches!(operation, ClaimOperation::Claim { .. });
        if is_claim && queues.values().map(Vec::len).sum::<usize>() >= MAX_WAITING_OPERATIONS {
            return false;
        }
        match queues.entry(key.clone()) {
            Entry::Occupied(mut queue) => queue.get_mut().push(operation),
            Entry::Vacant(vacant) => {
                vacant.insert(vec![operation]);
                let writer = Arc::clone(self);
                self.spawner
                    .spawn(async move { writer.run_worker(key).await });
            }
        }
        true
    }

    /// Writes the operations of one object until none are queued.
    async fn run_worker(self: Arc<Self>, key: String) {
        let mut cached = self.load_cached(&key);
        let mut backoff = INITIAL_BACKOFF;
        let mut operations = Vec::new();
        loop {
            self.clock.sleep(BATCH_WINDOW).await;
            operations.append(&mut self.take(&key));
            if operations.is_empty() {
                if self.try_retire(&key) {
                    self.store_cached(&key, cached);
                    return;
                }
                continue;
            }
            match self.write(&key, &mut cached, &operations).await {
                Ok(true) => {
                    backoff = INITIAL_BACKOFF;
                    if let Some(cached) = &cached {
                        send_decisions(&cached.object, std::mem::take(&mut operations));
                    }
                }
                Ok(false) => {
                    cached = None;
                    // Random, so that not all daemons with this conflict retry at once.
                    self.clock
                        .sleep(MAX_CONFLICT_PAUSE.mul_f64(fastrand::f64()))
                        .await;
                }
                Err(error) => {
                    cached = None;
                    event!(
                        Warn,
                        "claim-write-failed",
                        error = error,
                        waiting = operations.len()
                    );
                    operations = self.expire_claims(operations);
                    let jitter = backoff.mul_f64(0.5 + fastrand::f64());
                    self.clock.sleep(jitter).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    fn take(&self, key: &str) -> Vec<ClaimOperation> {
        self.lock()
            .get_mut(key)
            .map(std::mem::take)
            .unwrap_or_default()
    }

    fn load_cached(&self, key: &str) -> Option<CachedObject> {
        lock(&self.cache).get(key).cloned()
    }

    fn store_cached(&self, key: &str, cached: Option<CachedObject>) {
        let mut cache = lock(&self.cache);
        match cached {
            Some(cached) => cache.insert(key.to_owned(), cached),
            None => cache.remove(key),
        };
        // Keys begin with their minute, so the first one is the oldest.
        while cache.len() > MAX_CACHED_OBJECTS {
            cache.pop_first();
        }
    }

    /// Removes the worker's queue, unless an operation was queued in the meantime.
    fn try_retire(&self, key: &str) -> bool {
        let mut queues = self.lock();
        if queues.get(key).is_some_and(|queue| !queue.is_empty()) {
            return false;
        }
        queues.remove(key);
        true
    }

    /// Applies `operations` to the object in the store; false if another daemon
    /// wrote in between.
    async fn write(
        &self,
        key: &str,
        cached: &mut Option<CachedObject>,
        operations: &[ClaimOperation],
    ) -> Result<bool, StoreError> {
        let is_recent = self.store.has_answered_within(MAX_SILENCE);
        if let Some(copy) = cached.as_ref().filter(|_| is_recent) {
            let mut next = copy.object.clone();
            // The copy may be stale, so it may only lead to a write, which checks the version.
            if apply(&mut next, operations) == ApplyOutcome::AllChanged {
                return self.put(key, cached, next).await;
            }
        }
        let fresh = self.read(key).await?;
        let mut next = fresh.object.clone();
        let changed = apply(&mut next, operations) != ApplyOutcome::Unchanged;
        *cached = Some(fresh);
        if !changed {
            return Ok(true);
        }
        self.put(key, cached, next).await
    }

    async fn read(&self, key: &str) -> Result<CachedObject, StoreError> {
        let Some(stored) = self.store.get(key, StorePurpose::Claim).await? else {
            return Ok(CachedObject::default());
        };
        let object = serde_json::from_str(&stored.text).map_err(|cause| StoreError {
            step: "parse",
            key: key.to_owned(),
            cause: cause.to_string(),
        })?;
        Ok(CachedObject {
            version: Some(stored.version),
            object,
        })
    }

    async fn put(
        &self,
        key: &str,
        cached: &mut Option<CachedObject>,
        object: ClaimObject,
    ) -> Result<bool, StoreError> {
        let expected = cached.as_ref().and_then(|cached| cached.version);
        let failed = |cause: String| StoreError {
            step: "encode",
            key: key.to_owned(),
            cause,
        };
        let text = serde_json::to_string(&object).map_err(|cause| failed(cause.to_string()))?;
        if text.len() > MAX_OBJECT_BYTES {
            return Err(failed(
                "the claim object would exceed its size limit".to_owned(),
            ));
        }
        match self
            .store
            .put(key, &text, expected, StorePurpose::Claim)
            .await?
        {
            WriteResult::Written(version) => {
                *cached = Some(CachedObject {
                    version: Some(version),
                    object,
                });
                Ok(true)
            }
            WriteResult::Conflict => Ok(false),
        }
    }

    /// Answers claims whose time is over with [`ClaimReply::Unavailable`] and turns
    /// them into operations that void them.
    fn expire_claims(&self, operations: Vec<ClaimOperation>) -> Vec<ClaimOperation> {
        let now = self.clock.now();
        let expire = |operation| match operation {
            ClaimOperation::Claim {
                id,
                owner,
                content,
                until,
                reply,
            } if until <= now => {
                // The attempt may have ended; the claim must be voided in any case.
                let _ = reply.try_send(ClaimReply::Unavailable);
                ClaimOperation::Void { id, owner, content }
            }
            other => other,
        };
        operations.into_iter().map(expire).collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Vec<ClaimOperation>>> {
        lock(&self.queues)
    }
}

/// The effect of operations on an object.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ApplyOutcome {
    Unchanged,
    PartlyChanged,
    /// Every operation changed it.
    AllChanged,
}

fn apply(object: &mut ClaimObject, operations: &[ClaimOperation]) -> ApplyOutcome {
    let mut changed = 0;
    for operation in operations {
        let is_new = match operation {
            ClaimOperation::Claim {
                id, owner, content, ..
            } => {
                let is_new = object.decide(id, owner, *content).is_none();
                object.claim(*id, owner, *content);
                is_new
            }
            ClaimOperation::End { id, owner, state } => object.end(id, owner, state.clone()),
            ClaimOperation::Void { id, owner, content } => object.void(*id, owner, *content),
        };
        changed += usize::from(is_new);
    }
    match changed {
        0 => ApplyOutcome::Unchanged,
        count if count == operations.len() => ApplyOutcome::AllChanged,
        _ => ApplyOutcome::PartlyChanged,
    }
}

/// Sends each claim its decision by `object`, which is what the store holds.
fn send_decisions(object: &ClaimObject, operations: Vec<ClaimOperation>) {
    for operation in operations {
        if let ClaimOperation::Claim {
            id,
            owner,
            content,
            reply,
            ..
        } = operation
        {
            let decision = object.decide(&id, &owner, content);
            let reply_value = decision.map_or(ClaimReply::Unavailable, ClaimReply::Decided);
            // The attempt has no timeout of its own and waits for this reply.
            let _ = reply.try_send(reply_value);
        }
    }
}
