//! Lists of the platform's objects and VMs, of which one entry can't be read.

use camphorway_daemon::json_entry::{RawEntry, read_document};
use camphorway_daemon::store::client::ListedObject;

/// One object with an odd key or version kept a daemon from reading the others.
#[test]
fn an_entry_that_cannot_be_read_hides_no_other() {
    let odd: [&[u8]; 4] = [
        b"{\"key\":\"config/\xff\",\"version\":1}",
        b"{\"key\":7,\"version\":1}",
        b"{\"key\":\"config/odd\",\"version\":1e400}",
        b"null",
    ];
    for odd in odd {
        let sound = b"{\"key\":\"config/head\",\"version\":3}".as_slice();
        let body = [b"[", odd, b",", sound, b"]"].concat();
        let entries: Vec<RawEntry<ListedObject>> = read_document(&body).expect("a list");
        assert!(entries[0].read().is_err(), "{odd:?}");
        assert_eq!(entries[1].read().expect("an object").version, 3);
    }
}

#[test]
fn a_document_that_is_no_json_is_an_error_with_its_first_cause() {
    let error = read_document::<Vec<u64>>(b"[1,\xff\"").expect_err("an error");
    assert!(error.to_string().contains("column"), "{error}");
}
