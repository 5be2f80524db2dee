//! Identifier types. Each kind of identifier is a distinct type, so that the
//! compiler rejects a shard id where a snapshot id is expected.

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
            /// Wraps `text` without validating it.
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
    /// A partition of a service; its backend servers are replicas of each other.
    InstanceName
);
text_id!(
    /// A zone whose VMs may all fail together.
    FailureDomain
);
text_id!(
    /// A region of failure domains.
    RegionName
);
text_id!(
    /// A customer that shares the tier with others.
    WorkspaceName
);
text_id!(
    /// The sender of a request.
    CallerName
);
text_id!(
    /// An entry VM, and the daemon that runs on it.
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
    /// A version of the accepted configuration; it never decreases.
    Generation,
    u64
);

/// The identifier that a caller assigns to a request: a `UUIDv7` (RFC 9562),
/// which also encodes the time of issue.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RequestId(Uuid);

/// The reason a text is not a request id.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RequestIdError {
    /// The text is not a UUID.
    #[display("request id is not a UUID")]
    Malformed,
    /// The text is a UUID of another version.
    #[display("request id is not a UUIDv7")]
    WrongVersion,
}

impl std::error::Error for RequestIdError {}

impl RequestId {
    /// Parses a UUID in text form.
    ///
    /// # Errors
    /// Returns an error if `text` is not a UUID, or not of version 7.
    pub fn parse(text: &str) -> Result<Self, RequestIdError> {
        let Ok(uuid) = Uuid::parse_str(text) else {
            return Err(RequestIdError::Malformed);
        };
        if uuid.get_version_num() != 7 {
            return Err(RequestIdError::WrongVersion);
        }
        Ok(Self(uuid))
    }

    /// Builds an id with the time of issue `unix_ms` and the random bits of `random`.
    pub fn from_parts(unix_ms: u64, random: [u8; 10]) -> Self {
        Self(uuid::Builder::from_unix_timestamp_millis(unix_ms, &random).into_uuid())
    }

    /// The time at which the caller issued the request, in milliseconds since the Unix epoch.
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
