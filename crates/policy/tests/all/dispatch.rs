//! The answer `not-run` requires proof.

use camphorway_model::RefusalReason;
use camphorway_policy::UnsentToken;

#[test]
fn nothing_sent_is_proof() {
    let ledger = UnsentToken::for_new_request().dispatch();
    let token = ledger.close().expect("nothing was sent");
    assert_eq!(
        token.refuse(RefusalReason::Deadline).reason(),
        RefusalReason::Deadline
    );
}

#[test]
fn one_call_not_reported_as_unsent_is_no_proof() {
    let mut ledger = UnsentToken::for_new_request().dispatch();
    ledger.record_sent(3);
    ledger.record_unsent();
    ledger.record_unsent();
    let ledger = ledger.close().expect_err("one may have run");
    let mut ledger = ledger;
    ledger.record_unsent();
    ledger.close().expect("all were reported as unsent");
}
