//! Identifiers. Each is a type of its own, so that a shard can't be passed
//! where a snapshot is meant.

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use uuid::Uuid;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps `text` without a check.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// The identifier as written in the inventory.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
    };
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            Deserialize,
            Display,
            Eq,
            From,
            Hash,
            Ord,
            PartialEq,
            PartialOrd,
            Serialize,
        )]
        pub struct $name(pub $inner);
    };
}

text_id!(
    /// A service of the inventory, such as `portal`.
    ServiceName
);
text_id!(
    /// A backend server of the inventory.
    ServerName
);
text_id!(
    /// A partition of a service; all backend servers of one instance are replicas.
    InstanceName
);
text_id!(
    /// A zone that fails as a whole.
    FailureDomain
);
text_id!(
    /// Who sends a request.
    CallerName
);
text_id!(
    /// An entry VM, and the daemon on it.
    VmName
);
number_id!(
    /// A shard within one snapshot's layout.
    ShardId,
    u32
);
number_id!(
    /// A version of a service's index.
    SnapshotId,
    u64
);
number_id!(
    /// A version of the accepted configuration; it only grows.
    Generation,
    u64
);

/// The identity that a caller gives to a request: a `UUIDv7` (RFC 9562), so that
/// identity and time of issue are one thing.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RequestId(Uuid);

/// Why a text is not a request id.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RequestIdError {
    /// Not a UUID at all.
    #[display("request id is not a UUID")]
    Malformed,
    /// A UUID of another version.
    #[display("request id is not a UUIDv7")]
    WrongVersion,
}

impl std::error::Error for RequestIdError {}

impl RequestId {
    /// Parses the hyphenated form.
    ///
    /// # Errors
    /// Returns what is wrong with `text`.
    pub fn parse(text: &str) -> Result<Self, RequestIdError> {
        let Ok(uuid) = Uuid::parse_str(text) else {
            return Err(RequestIdError::Malformed);
        };
        if uuid.get_version_num() != 7 {
            return Err(RequestIdError::WrongVersion);
        }
        Ok(Self(uuid))
    }

    /// Builds an id issued at `unix_ms`, made unique by `random`.
    pub fn from_parts(unix_ms: u64, random: [u8; 10]) -> Self {
        Self(uuid::Builder::from_unix_timestamp_millis(unix_ms, &random).into_uuid())
    }

    /// When the caller issued the request, in milliseconds since 1970.
    pub fn issued_at_ms(&self) -> u64 {
        let bytes = self.0.as_bytes();
        bytes[..6]
            .iter()
            .fold(0, |time, byte| (time << 8) | u64::from(*byte))
    }

    /// The raw bytes, for hashing.
    pub fn as_bytes(&self) -> &[u8; 16] {
        self.0.as_bytes()
    }
}
