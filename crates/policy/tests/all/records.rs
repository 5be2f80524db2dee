//! The greatest records of several parts.

use camphorway_policy::greatest_records;
use proptest::prelude::*;

proptest! {
    #[test]
    fn result_equals_a_full_sort(
        parts in proptest::collection::vec(proptest::collection::vec(0_u8..4, 0..200), 0..8),
        count in 0_usize..30,
    ) {
        let mut all: Vec<&[u8]> = parts.iter().flat_map(|part| part.chunks_exact(16)).collect();
        all.sort_unstable_by(|one, other| other.cmp(one));
        all.truncate(count);
        let merged = greatest_records(parts.iter().map(Vec::as_slice), count);
        prop_assert_eq!(merged, all.concat());
    }
}

#[test]
fn equal_records_are_all_kept() {
    let part = [7_u8; 40];
    assert_eq!(greatest_records([&part[..], &part[..]], 3), vec![7; 48]);
}
