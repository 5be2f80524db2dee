//! Shares a limited memory among the messages that are being received.
//!
//! A faulty sender may send bytes without end, on many connections. When the memory is
//! full, the largest unfinished messages yield, so that such a sender takes nothing from
//! the messages of sound ones.

use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Identifies a message in a [`MemoryLedger`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct MessageId(u64);

/// The messages that must yield their memory to one that grew, largest first.
pub type YieldingMessages = Vec<MessageId>;

/// The memory was not granted: all other unfinished messages are smaller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryRefused;

#[derive(Clone, Copy, Debug, Default)]
struct HeldMemory {
    bytes: usize,
    /// A message that was received whole keeps its memory until it is released.
    is_finished: bool,
    /// Whether the message was told to yield; its memory is about to be released.
    is_yielding: bool,
}

/// The memory that messages hold.
#[derive(Debug)]
pub struct MemoryLedger {
    limit: usize,
    /// The bytes of all messages that don't yield.
    used: usize,
    next: u64,
    messages: BTreeMap<MessageId, HeldMemory>,
}

impl MemoryLedger {
    /// A ledger of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: 0,
            next: 0,
            messages: BTreeMap::new(),
        }
    }

    /// The bytes that messages hold, but for those that yield.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Adds a message that holds nothing yet.
    pub fn begin(&mut self) -> MessageId {
        let id = MessageId(self.next);
        self.next += 1;
        self.messages.insert(id, HeldMemory::default());
        id
    }

    /// Grants `bytes` more to a message.
    ///
    /// # Errors
    /// Returns an error if the memory is full and all other unfinished messages are smaller;
    /// nothing has changed then.
    pub fn grow(&mut self, id: MessageId, bytes: usize) -> Result<YieldingMessages, MemoryRefused> {
        let Some(own) = self.messages.get(&id).filter(|held| !held.is_yielding) else {
            return Err(MemoryRefused);
        };
        let size = own.bytes + bytes;
        let yielding = self.choose_yielding(id, size, self.used + bytes)?;
        for other in &yielding {
            if let Some(held) = self.messages.get_mut(other) {
                held.is_yielding = true;
                self.used -= held.bytes;
            }
        }
        if let Some(held) = self.messages.get_mut(&id) {
            held.bytes = size;
        }
        self.used += bytes;
        Ok(yielding)
    }

    /// The largest unfinished messages, none smaller than this one, without which
    /// `needed` bytes are within the limit.
    fn choose_yielding(
        &self,
        id: MessageId,
        size: usize,
        mut needed: usize,
    ) -> Result<YieldingMessages, MemoryRefused> {
        let mut yielding = Vec::new();
        if needed <= self.limit {
            return Ok(yielding);
        }
        let may_yield = |(other, held): &(&MessageId, &HeldMemory)| {
            **other != id && !held.is_finished && !held.is_yielding && held.bytes >= size
        };
        let larger = self.messages.iter().filter(may_yield);
        let mut larger: Vec<_> = larger.map(|(other, held)| (held.bytes, *other)).collect();
        // The oldest of equal ones first.
        larger.sort_by_key(|(bytes, _)| Reverse(*bytes));
        for (bytes, other) in larger {
            yielding.push(other);
            needed -= bytes;
            if needed <= self.limit {
                return Ok(yielding);
            }
        }
        Err(MemoryRefused)
    }

    /// Records that a message was received whole.
    pub fn finish(&mut self, id: MessageId) {
        if let Some(held) = self.messages.get_mut(&id) {
            held.is_finished = true;
        }
    }

    /// Releases the memory of a message.
    pub fn release(&mut self, id: MessageId) {
        let held = self.messages.remove(&id);
        if let Some(held) = held.filter(|held| !held.is_yielding) {
            self.used -= held.bytes;
        }
    }
}
