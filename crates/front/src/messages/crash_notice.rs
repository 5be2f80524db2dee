//! A notice about content that crashes servers.

use camphorway_policy::{ClearReport, CrashReport};
use serde::{Deserialize, Serialize};

/// A notice about content that crashes servers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum CrashNotice {
    /// A server crashed while it ran the content.
    Crashed(CrashReport),
    /// Content that was suspect was answered.
    Cleared(ClearReport),
}
