//! Puts a configuration into the store: the parts first, then the head by
//! conditional update. The head's write is the moment of acceptance.

use crate::error::OperatorError;
use crate::files::{CheckedFiles, SectionChange};
use crate::remote::RemoteAccess;
use camphorway_daemon::store::client::{StoreClient, StoreError, StorePurpose, WriteResult};
use camphorway_gossip::tracker::HEAD_KEY;
use camphorway_model::{Generation, HeadObject};
use std::time::Duration;

const PURPOSE: StorePurpose = StorePurpose::Configuration;
const WRITE_TRIES: usize = 3;
const READ_BACK_TRIES: usize = 10;
const READ_BACK_PAUSE: Duration = Duration::from_millis(500);

/// The head in the store and its version there.
#[derive(Clone, Debug, Default)]
pub struct StoredHead {
    /// The object's version; none if there is no head yet.
    pub version: Option<u64>,
    /// The head.
    pub head: HeadObject,
}

/// Reads the head.
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

/// How `files` differ from what is in the store.
///
/// # Errors
/// Returns an error if the store does not answer.
pub async fn changes(
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

/// Has `files` accepted and returns their generation.
///
/// `from` is the generation that the change was made from; without it, the one
/// found in the store at the start.
///
/// # Errors
/// Returns a conflict if another change came first; else whether the change was
/// surely not accepted or may have been.
pub async fn accept(
    access: &RemoteAccess,
    store: &StoreClient,
    files: &CheckedFiles,
    from: Option<Generation>,
) -> Result<Generation, OperatorError> {
    let before = read_head(store).await.map_err(OperatorError::Store)?;
    if from.is_some_and(|from| from != before.head.generation) {
        return Err(conflict(store, files, &before).await);
    }
    write_parts(store, files).await?;
    let head = HeadObject {
        generation: Generation(before.head.generation.0 + 1),
        mark: format!("{:016x}", fastrand::u64(..)),
        parts: files.references(),
    };
    let text =
        serde_json::to_string(&head).map_err(|cause| OperatorError::Start(cause.to_string()))?;
    match store.put(HEAD_KEY, &text, before.version, PURPOSE).await {
        Ok(WriteResult::Written(_)) => Ok(head.generation),
        Ok(WriteResult::Conflict) => {
            let present = read_head(store).await.map_err(OperatorError::Store)?;
            Err(conflict(store, files, &present).await)
        }
        Err(error) => settle(access, store, files, &before, &head, error).await,
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

/// Writes one part. Its key tells its content, so whoever wrote it, it is right
/// once it is there.
async fn write_part(store: &StoreClient, key: &str, text: &str) -> Result<(), StoreError> {
    let mut last = None;
    for _ in 0..WRITE_TRIES {
        match store.put(key, text, None, PURPOSE).await {
            Ok(WriteResult::Written(_) | WriteResult::Conflict) => return Ok(()),
            Err(error) => last = Some(error),
        }
        if let Ok(Some(_)) = store.get(key, PURPOSE).await {
            return Ok(());
        }
    }
    last.map_or(Ok(()), Err)
}

/// The answer to the head's write was lost: the head itself tells.
async fn settle(
    access: &RemoteAccess,
    store: &StoreClient,
    files: &CheckedFiles,
    before: &StoredHead,
    head: &HeadObject,
    error: StoreError,
) -> Result<Generation, OperatorError> {
    for _ in 0..READ_BACK_TRIES {
        let Ok(present) = read_head(store).await else {
            access.clock().sleep(READ_BACK_PAUSE).await;
            continue;
        };
        if present.head.mark == head.mark {
            return Ok(head.generation);
        }
        if present.version != before.version {
            // Someone else's head is in place, so ours can't be written any more, unless it was replaced.
            if present.head.generation > head.generation {
                return Err(OperatorError::Unknown(error));
            }
            return Err(conflict(store, files, &present).await);
        }
        // Not there yet; the write may still be under way.
        access.clock().sleep(READ_BACK_PAUSE).await;
    }
    Err(OperatorError::Unknown(error))
}

async fn conflict(
    store: &StoreClient,
    files: &CheckedFiles,
    present: &StoredHead,
) -> OperatorError {
    match changes(store, files, &present.head).await {
        Ok(changes) => OperatorError::Conflict {
            generation: present.head.generation,
            changes,
        },
        Err(error) => OperatorError::Store(error),
    }
}
