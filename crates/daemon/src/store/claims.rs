//! Writes claims to the platform's store.
//!
//! All claims that wait for one object go into one conditional write. A write
//! whose answer was lost is settled by reading back: a claim is owned if, and
//! only if, the object read from the store shows this attempt's own mark.

use crate::clock::DaemonClock;
use crate::event;
use crate::store::client::{StoreClient, StoreError, StorePurpose, WriteResult};
use crate::sync::lock;
use crate::task::TaskSpawner;
use async_channel::Sender;
use camphorway_model::RequestId;
use camphorway_policy::claim::{ClaimState, object_key};
use camphorway_policy::{ClaimDecision, ClaimObject};
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const GATHER: Duration = Duration::from_millis(2);
const MOST_CONFLICT_PAUSE: Duration = Duration::from_millis(6);
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
const LONGEST_BACKOFF: Duration = Duration::from_secs(2);
const MOST_SEEN: usize = 32;
const MOST_WAITING: usize = 4_096;
const MOST_OBJECT_BYTES: usize = 900_000;

/// What an attempt is told of its claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimReply {
    /// By what stands in the store.
    Decided(ClaimDecision),
    /// The store did not answer in time. The attempt owns nothing, and its
    /// claim will be voided if a late write set it after all.
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

/// Writes claims, one worker for each object in use.
#[derive(Debug)]
pub struct ClaimWriter {
    store: Arc<StoreClient>,
    clock: DaemonClock,
    spawner: TaskSpawner,
    queues: Mutex<HashMap<String, Vec<ClaimOperation>>>,
    /// Objects as last seen, which save a read if nobody wrote since.
    seen: Mutex<BTreeMap<String, CachedObject>>,
}

impl ClaimWriter {
    /// A keeper that writes to `store`.
    pub fn new(store: Arc<StoreClient>, clock: DaemonClock, spawner: TaskSpawner) -> Self {
        Self {
            store,
            clock,
            spawner,
            queues: Mutex::default(),
            seen: Mutex::default(),
        }
    }

    /// Claims `id` for the attempt called `owner`, whose name is used once only.
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

    /// Records the end of a claim, as soon as the store can be written.
    pub fn end(self: &Arc<Self>, id: RequestId, owner: &str, state: ClaimState) {
        let owner = owner.to_owned();
        self.enqueue(&id, ClaimOperation::End { id, owner, state });
    }

    /// Voids a claim of which nothing was dispatched.
    pub fn void(self: &Arc<Self>, id: RequestId, owner: &str, content: u64) {
        let owner = owner.to_owned();
        self.enqueue(&id, ClaimOperation::Void { id, owner, content });
    }

    /// Number of operations that wait for the store.
    pub fn waiting(&self) -> usize {
        self.lock().values().map(Vec::len).sum()
    }

    fn enqueue(self: &Arc<Self>, id: &RequestId, operation: ClaimOperation) -> bool {
        let key = object_key(id);
        let mut queues = self.lock();
        let is_claim = matches!(operation, ClaimOperation::Claim { .. });
        if is_claim && queues.values().map(Vec::len).sum::<usize>() >= MOST_WAITING {
            return false;
        }
        match queues.entry(key.clone()) {
            Entry::Occupied(mut queue) => queue.get_mut().push(operation),
            Entry::Vacant(place) => {
                place.insert(vec![operation]);
                let keeper = Arc::clone(self);
                self.spawner.spawn(async move { keeper.work(key).await });
            }
        }
        true
    }

    /// Serves one object until nothing waits for it.
    async fn work(self: Arc<Self>, key: String) {
        let mut cached = self.recall(&key);
        let mut backoff = FIRST_BACKOFF;
        let mut operations = Vec::new();
        loop {
            self.clock.sleep(GATHER).await;
            operations.append(&mut self.take(&key));
            if operations.is_empty() {
                if self.retire(&key) {
                    self.remember(&key, cached);
                    return;
                }
                continue;
            }
            match self.write(&key, &mut cached, &operations).await {
                Ok(true) => {
                    backoff = FIRST_BACKOFF;
                    if let Some(cached) = &cached {
                        settle(&cached.object, std::mem::take(&mut operations));
                    }
                }
                Ok(false) => {
                    cached = None;
                    // The others who met the same conflict should not all come back at once.
                    self.clock
                        .sleep(MOST_CONFLICT_PAUSE.mul_f64(fastrand::f64()))
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
                    operations = self.give_up_late(operations);
                    let jitter = backoff.mul_f64(0.5 + fastrand::f64());
                    self.clock.sleep(jitter).await;
                    backoff = (backoff * 2).min(LONGEST_BACKOFF);
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

    fn recall(&self, key: &str) -> Option<CachedObject> {
        lock(&self.seen).get(key).cloned()
    }

    fn remember(&self, key: &str, cached: Option<CachedObject>) {
        let mut seen = lock(&self.seen);
        match cached {
            Some(cached) => seen.insert(key.to_owned(), cached),
            None => seen.remove(key),
        };
        // Keys begin with their minute, so the first one is the oldest.
        while seen.len() > MOST_SEEN {
            seen.pop_first();
        }
    }

    /// Ends the worker unless an operation came in the meantime.
    fn retire(&self, key: &str) -> bool {
        let mut queues = self.lock();
        if queues.get(key).is_some_and(|queue| !queue.is_empty()) {
            return false;
        }
        queues.remove(key);
        true
    }

    /// Applies `operations`; false if another daemon wrote in between.
    async fn write(
        &self,
        key: &str,
        cached: &mut Option<CachedObject>,
        operations: &[ClaimOperation],
    ) -> Result<bool, StoreError> {
        if let Some(known) = cached.as_ref() {
            let mut next = known.object.clone();
            // A copy may be old: it may only lead to a write, which checks the version.
            if apply(&mut next, operations) == Applied::AllNew {
                return self.put(key, cached, next).await;
            }
        }
        let fresh = self.read(key).await?;
        let mut next = fresh.object.clone();
        let changed = apply(&mut next, operations) != Applied::Nothing;
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
        if text.len() > MOST_OBJECT_BYTES {
            return Err(failed("the object is full".to_owned()));
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

    /// Answers the claims that can wait no longer; each is voided later.
    fn give_up_late(&self, operations: Vec<ClaimOperation>) -> Vec<ClaimOperation> {
        let now = self.clock.now();
        let give_up = |operation| match operation {
            ClaimOperation::Claim {
                id,
                owner,
                content,
                until,
                reply,
            } if until <= now => {
                // The attempt may have gone; voiding is right in any case.
                let _ = reply.try_send(ClaimReply::Unavailable);
                ClaimOperation::Void { id, owner, content }
            }
            other => other,
        };
        operations.into_iter().map(give_up).collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Vec<ClaimOperation>>> {
        lock(&self.queues)
    }
}

/// How far operations changed an object.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Applied {
    Nothing,
    Some,
    /// Each operation changed it.
    AllNew,
}

fn apply(object: &mut ClaimObject, operations: &[ClaimOperation]) -> Applied {
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
        0 => Applied::Nothing,
        count if count == operations.len() => Applied::AllNew,
        _ => Applied::Some,
    }
}

/// Tells each claim what the object, as it stands in the store, says of it.
fn settle(object: &ClaimObject, operations: Vec<ClaimOperation>) {
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
            // The attempt waits for this without a limit of its own.
            let _ = reply.try_send(reply_value);
        }
    }
}
