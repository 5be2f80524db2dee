//! The records by which fronts discover each other.

use crate::id::{FailureDomain, VmName};
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use std::net::SocketAddr;

/// One front, as registered by its own process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct FrontRecord {
    /// The front's VM.
    pub vm: VmName,
    /// The failure domain of the VM.
    pub domain: FailureDomain,
    /// The UDP address at which other fronts reach it.
    pub address: SocketAddr,
    /// The public key that the process generated at its start.
    pub key: PeerKey,
}

/// A public key: its `SubjectPublicKeyInfo` in DER encoding, as hexadecimal text.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct PeerKey(String);

impl PeerKey {
    /// Creates the key from its DER bytes.
    pub fn from_der(der: &[u8]) -> Self {
        let mut text = String::with_capacity(2 * der.len());
        for byte in der {
            // Writing to a `String` can't fail.
            let _ = write!(text, "{byte:02x}");
        }
        Self(text)
    }
}
