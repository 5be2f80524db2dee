//! Fronts as they make themselves known to each other.

use crate::id::{FailureDomain, VmName};
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use std::net::SocketAddr;

/// One front, as its own process describes it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct FrontRecord {
    /// The VM's name.
    pub vm: VmName,
    /// The failure domain that the VM stands in.
    pub domain: FailureDomain,
    /// Where other fronts reach it, over UDP.
    pub address: SocketAddr,
    /// The public key that its process made at its start.
    pub key: PeerKey,
}

/// A public key: the DER form of its subject public key info, in hexadecimal.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct PeerKey(String);

impl PeerKey {
    /// The key with these DER bytes.
    pub fn from_der(der: &[u8]) -> Self {
        let mut text = String::with_capacity(2 * der.len());
        for byte in der {
            // Writing to memory can't fail.
            let _ = write!(text, "{byte:02x}");
        }
        Self(text)
    }
}
