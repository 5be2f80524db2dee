//! Memory shared by messages of sound and of faulty senders.

use camphorway_policy::{MemoryLedger, MemoryRefused};
use proptest::prelude::*;

const LIMIT: usize = 32_000;

/// Answers without end took all memory, and sound ones that came later were refused.
#[test]
fn messages_without_end_take_nothing_from_sound_ones() {
    let mut ledger = MemoryLedger::new(LIMIT);
    let endless: Vec<_> = (0..4).map(|_| ledger.begin()).collect();
    for id in &endless {
        assert_eq!(ledger.grow(*id, 8_000), Ok(Vec::new()));
    }
    let mut yielded = Vec::new();
    for _ in 0..20 {
        let sound = ledger.begin();
        yielded.extend(ledger.grow(sound, 1_500).expect("memory"));
        ledger.finish(sound);
    }
    assert_eq!(yielded.len(), 4, "each yields once");
    assert!(ledger.used() <= LIMIT);
    assert_eq!(ledger.grow(endless[0], 1), Err(MemoryRefused), "it yields");
}

#[test]
fn the_largest_message_is_refused_and_finished_ones_keep_their_memory() {
    let mut ledger = MemoryLedger::new(LIMIT);
    let (kept, growing) = (ledger.begin(), ledger.begin());
    ledger.grow(kept, 20_000).expect("memory");
    ledger.finish(kept);
    ledger.grow(growing, 10_000).expect("memory");
    assert_eq!(ledger.grow(growing, 10_000), Err(MemoryRefused));
    assert_eq!(ledger.used(), 30_000, "nothing has changed");
    ledger.release(kept);
    assert_eq!(ledger.grow(growing, 10_000), Ok(Vec::new()));
}

proptest! {
    #[test]
    fn granted_memory_stays_within_the_limit(
        steps in prop::collection::vec((0_usize..12, 0_u8..10, 1_usize..9_000), 0..300),
    ) {
        let mut ledger = MemoryLedger::new(LIMIT);
        let mut messages: Vec<_> = (0..12).map(|_| ledger.begin()).collect();
        for (index, step, bytes) in steps {
            match step {
                0 => ledger.finish(messages[index]),
                1 => {
                    ledger.release(messages[index]);
                    messages[index] = ledger.begin();
                }
                _ => {
                    let before = ledger.used();
                    if let Ok(yielding) = ledger.grow(messages[index], bytes) {
                        prop_assert!(!yielding.contains(&messages[index]));
                    } else {
                        prop_assert_eq!(ledger.used(), before);
                    }
                }
            }
            prop_assert!(ledger.used() <= LIMIT);
        }
        for id in messages {
            ledger.release(id);
        }
        prop_assert_eq!(ledger.used(), 0);
    }
}
