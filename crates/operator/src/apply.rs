//! Writes a configuration to the store: first the parts, then the head by
//! conditional update. A configuration is accepted once its head is written.

use crate::error::OperatorError;
use crate::files::{CheckedFiles, SectionChange};
use crate::remote::RemoteAccess;
use crate::status::DaemonStatus;
use camphorway_daemon::store::client::{StoreClient, StoreError, StorePurpose, WriteResult};
use camphorway_gossip::tracker::HEAD_KEY;
use camphorway_model::{Generation, HeadObject};
use std::time::Duration;

const PURPOSE: StorePurpose = StorePurpose::Configuration;
const MAX_WRITE_ATTEMPTS: usize = 3;
const MAX_READ_BACK_ATTEMPTS: usize = 10;
const READ_BACK_INTERVAL: Duration = Duration::from_millis(500);
/// Generations of each history of the store begin above all that an earlier one can have
/// given out, known or lost.
const GENERATIONS_PER_ERA: u64 = 1_000_000;

/// The head as found in the store.
#[derive(Clone, Debug, Default)]
pub struct StoredHead {
    /// The object's version; `None` if there is no head yet.
    pub version: Option<u64>,
    /// The head.
    pub head: HeadObject,
}

/// Reads the head from the store.
///
/// # Errors
/// Returns an error if the store does not answer or the head is malformed.
pub async fn read_head(store: &StoreClient) -> Result<StoredHead, StoreError> {
    let Some(object) = store.get(HEAD_KEY, PURPOSE).await? else {
        return Ok(StoredHead::default());
    };
    let head = serde_json::from_str(&object.text).map_err(|cause| StoreError {
        step: "parse",
        key: HEAD_KEY.to_owned(),
        cause: cause.to_string(),
    })?;
    Ok(StoredHead {
        version: Some(object.version),
        head,
    })
}

/// Compares `files` with the configuration to which `head` refers.
///
/// # Errors
/// Returns an error if the store does not answer.
pub async fn changes_from_store(
    store: &StoreClient,
    files: &CheckedFiles,
    head: &HeadObject,
) -> Result<Vec<SectionChange>, StoreError> {
    let mut texts = Vec::new();
    for part in &head.parts {
        if let Some(object) = store.get(&part.object_key(), PURPOSE).await? {
            texts.push(object.text);
        }
    }
    Ok(files.changes_from(&texts))
}

/// Publishes `files` as a new generation and returns it.
///
/// The generation is above all of earlier histories of the store, which may have lost the
/// newest, since no daemon takes a generation that it has had. Where the store names no
/// history, it is above those in force at `daemons`.
///
/// `base` is the generation on which the change is based; the default is the one
/// found in the store at the start.
///
/// # Errors
/// Returns a conflict if another change was accepted first, otherwise whether the
/// change was surely not accepted or may have been.
pub async fn publish(
    access: &RemoteAccess,
    store: &StoreClient,
    files: &CheckedFiles,
    base: Option<Generation>,
    daemons: &[DaemonStatus],
) -> Result<Generation, OperatorError> {
    let previous = read_head(store).await.map_err(OperatorError::Store)?;
    if base.is_some_and(|base| base != previous.head.generation) {
        return Err(conflict_error(store, files, &previous).await);
    }
    write_parts(store, files).await?;
    let in_force = daemons.iter().filter_map(DaemonStatus::newest_generation);
    let earlier = store
        .era()
        .saturating_sub(1)
        .saturating_mul(GENERATIONS_PER_ERA);
    let newest = in_force.fold(previous.head.generation.0.max(earlier), u64::max);
    let head = HeadObject {
        generation: Generation(newest + 1),
        mark: format!("{:016x}", fastrand::u64(..)),
        parts: files.references(),
    };
    let text =
        serde_json::to_string(&head).map_err(|cause| OperatorError::Start(cause.to_string()))?;
    match store.put(HEAD_KEY, &text, previous.version, PURPOSE).await {
        Ok(WriteResult::Written(_)) => Ok(head.generation),
        Ok(WriteResult::Conflict) => {
            let current = read_head(store).await.map_err(OperatorError::Store)?;
            if current.head.mark == head.mark {
                return Err(OperatorError::Replaced(head.generation));
            }
            Err(conflict_error(store, files, &current).await)
        }
        Err(error) => resolve_lost_answer(access, store, files, &previous, &head, error).await,
    }
}

async fn write_parts(store: &StoreClient, files: &CheckedFiles) -> Result<(), OperatorError> {
    for (part, reference) in files.parts.iter().zip(files.references()) {
        let key = reference.object_key();
        write_part(store, &key, &part.text)
            .await
            .map_err(OperatorError::Store)?;
    }
    Ok(())
}

/// Writes one part. The key contains the content's hash, so a part that exists is
/// correct, whoever wrote it.
async fn write_part(store: &StoreClient, key: &str, text: &str) -> Result<(), StoreError> {
    let mut last_error = None;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match store.put(key, text, None, PURPOSE).await {
            Ok(WriteResult::Written(_) | WriteResult::Conflict) => return Ok(()),
            Err(error) => last_error = Some(error),
        }
        if let Ok(Some(_)) = store.get(key, PURPOSE).await {
            return Ok(());
        }
    }
    last_error.map_or(Ok(()), Err)
}

/// Determines, by reading the head, whether a write whose answer was lost took
/// effect.
async fn resolve_lost_answer(
    access: &RemoteAccess,
    store: &StoreClient,
    files: &CheckedFiles,
    previous: &StoredHead,
    head: &HeadObject,
    error: StoreError,
) -> Result<Generation, OperatorError> {
    for _ in 0..MAX_READ_BACK_ATTEMPTS {
        let Ok(current) = read_head(store).await else {
            access.clock().sleep(READ_BACK_INTERVAL).await;
            continue;
        };
        if current.head.mark == head.mark {
            return Ok(head.generation);
        }
        if current.version != previous.version {
            // Another operator's head is in the store, so ours can no longer be
            // written. If its generation is later, it may have replaced ours.
            if current.head.generation > head.generation {
                return Err(OperatorError::Unknown(error));
            }
            return Err(conflict_error(store, files, &current).await);
        }
        // The head is unchanged so far; the write may still be in progress.
        access.clock().sleep(READ_BACK_INTERVAL).await;
    }
    Err(OperatorError::Unknown(error))
}

async fn conflict_error(
    store: &StoreClient,
    files: &CheckedFiles,
    current: &StoredHead,
) -> OperatorError {
    match changes_from_store(store, files, &current.head).await {
        Ok(changes) => OperatorError::Conflict {
            generation: current.head.generation,
            changes,
        },
        Err(error) => OperatorError::Store(error),
    }
}
