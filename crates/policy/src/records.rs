//! The greatest records of many parts.
//!
//! A part is a run of records of [`RECORD_BYTES`] each, in no order. The answer
//! holds the greatest of all parts, greatest first, compared byte by byte; equal
//! records all count.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The length of a record, in bytes.
pub const RECORD_BYTES: usize = 16;

type Record = [u8; RECORD_BYTES];

/// The `count` greatest records of `parts`; a remainder shorter than a record
/// is none.
pub fn greatest_records<'part, Parts>(parts: Parts, count: usize) -> Vec<u8>
where
    Parts: IntoIterator<Item = &'part [u8]>,
{
    let mut least_first: BinaryHeap<Reverse<Record>> = BinaryHeap::with_capacity(count + 1);
    for part in parts {
        let (records, _) = part.as_chunks::<RECORD_BYTES>();
        for record in records {
            if least_first.len() < count {
                least_first.push(Reverse(*record));
                continue;
            }
            let Some(mut least) = least_first.peek_mut() else {
                return Vec::new();
            };
            if *record > least.0 {
                *least = Reverse(*record);
            }
        }
    }
    let sorted = least_first.into_sorted_vec();
    sorted
        .into_iter()
        .flat_map(|Reverse(record)| record)
        .collect()
}
