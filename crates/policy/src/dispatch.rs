//! Proof that a request did not run.
//!
//! The answer `not-run` can be built only from a [`NotRunProof`], and a proof
//! only from an [`UnsentToken`] or from a ledger in which every dispatched call
//! was reported as unsent. A dispatch consumes the token, so code that overlooks
//! a path can't answer `not-run` by mistake.

use camphorway_model::RefusalReason;

/// Shows that nothing of a request has left this process, or that every call sent
/// was reported as unsent.
#[derive(Debug)]
pub struct UnsentToken(());

/// Shows that no backend server ran a request.
#[derive(Debug)]
pub struct NotRunProof {
    reason: RefusalReason,
}

/// Counts the calls sent for a request and those reported as unsent: the holder
/// did not forward the call, or the backend server did not run it.
#[derive(Debug)]
pub struct DispatchLedger {
    sent: u64,
    unsent: u64,
}

impl UnsentToken {
    /// The token of a request that has just arrived. Call it once per request.
    pub fn for_new_request() -> Self {
        Self(())
    }

    /// Abandons the request before anything is sent.
    pub fn refuse(self, reason: RefusalReason) -> NotRunProof {
        let Self(()) = self;
        NotRunProof { reason }
    }

    /// Starts sending. From here on, `not-run` requires that every call is
    /// reported as unsent.
    pub fn dispatch(self) -> DispatchLedger {
        let Self(()) = self;
        DispatchLedger { sent: 0, unsent: 0 }
    }
}

impl NotRunProof {
    /// Why the request was not run.
    pub fn reason(&self) -> RefusalReason {
        self.reason
    }
}

impl DispatchLedger {
    /// Counts `calls` calls sent to a holder or a backend server.
    pub fn record_sent(&mut self, calls: usize) {
        self.sent += calls as u64;
    }

    /// Counts a call that was reported as unsent.
    pub fn record_unsent(&mut self) {
        self.unsent += 1;
        crate::invariant::check(self.unsent <= self.sent, "unsent-within-sent", || {
            format!("{} of {}", self.unsent, self.sent)
        });
    }

    /// The token again, if no call that was sent may have run.
    ///
    /// # Errors
    /// Returns the ledger if some call may have run.
    pub fn close(self) -> Result<UnsentToken, Self> {
        if self.sent == self.unsent {
            Ok(UnsentToken(()))
        } else {
            Err(self)
        }
    }
}
