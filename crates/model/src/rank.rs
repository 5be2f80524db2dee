//! The three ranks of requests.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::ops::{Index, IndexMut};

/// The urgency of a request. Variants are ordered from the first served to the last.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RequestRank {
    /// Requests whose sender waits for the answer with a deadline of its own.
    #[display("urgent")]
    Urgent,
    /// Requests without special requirements.
    #[display("normal")]
    Normal,
    /// Requests that may be delayed.
    #[display("bulk")]
    Bulk,
}

impl RequestRank {
    /// All ranks, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Bulk];

    /// Parses the name used in rules and headers.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|rank| rank.to_string() == text)
    }

    /// The less urgent of two ranks.
    pub fn lower_of(self, other: Self) -> Self {
        self.max(other)
    }
}

/// One value per rank.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PerRank<Value>(pub [Value; 3]);

impl<Value> Index<RequestRank> for PerRank<Value> {
    type Output = Value;

    fn index(&self, rank: RequestRank) -> &Value {
        &self.0[rank as usize]
    }
}

impl<Value> IndexMut<RequestRank> for PerRank<Value> {
    fn index_mut(&mut self, rank: RequestRank) -> &mut Value {
        &mut self.0[rank as usize]
    }
}
