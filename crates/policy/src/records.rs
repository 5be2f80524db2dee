//! The greatest records of several parts.
//!
//! A part is a sequence of unordered records of [`RECORD_BYTES`] each. The result
//! holds the greatest records of all parts in descending order, compared byte by
//! byte; equal records are all kept.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The length of a record, in bytes.
pub const RECORD_BYTES: usize = 16;

type Record = [u8; RECORD_BYTES];

/// The `count` greatest records of `parts`. Trailing bytes shorter than a record
/// are ignored.
pub fn greatest_records<'part, Parts>(parts: Parts, count: usize) -> Vec<u8>
where
    Parts: IntoIterator<Item = &'part [u8]>,
{
    let mut min_heap: BinaryHeap<Reverse<Record>> = BinaryHeap::with_capacity(count + 1);
    for part in parts {
        let (records, _) = part.as_chunks::<RECORD_BYTES>();
        for record in records {
            if min_heap.len() < count {
                min_heap.push(Reverse(*record));
                continue;
            }
            let Some(mut smallest) = min_heap.peek_mut() else {
                return Vec::new();
            };
            if *record > smallest.0 {
                *smallest = Reverse(*record);
            }
        }
    }
    let sorted = min_heap.into_sorted_vec();
    sorted
        .into_iter()
        .flat_map(|Reverse(record)| record)
        .collect()
}
