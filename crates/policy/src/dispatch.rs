//! Proof that a request did not run.
//!
//! The answer `not-run` can be built only from a [`NotRunProof`], and a proof
//! only from an [`UnsentToken`] or from a ledger in which every dispatch came
//! back unsent. A dispatch consumes the token, so code that forgets a path
//! can't claim `not-run` by accident.

use camphorway_model::RefusalReason;

/// Held by a request of which nothing has left this process.
#[derive(Debug)]
pub struct UnsentToken(());

/// Shows that no byte of a request reached a backend server.
#[derive(Debug)]
pub struct NotRunProof {
    reason: RefusalReason,
}

/// Counts what was sent for a request and what came back as never sent on.
#[derive(Debug)]
pub struct DispatchLedger {
    sent: u64,
    unsent: u64,
}

impl UnsentToken {
    /// The token of a request that has just arrived. Call it once a request.
    pub fn for_new_request() -> Self {
        Self(())
    }

    /// Gives up on sending the request.
    pub fn refuse(self, reason: RefusalReason) -> NotRunProof {
        let Self(()) = self;
        NotRunProof { reason }
    }

    /// Starts sending; from here `not-run` needs every dispatch to come back.
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
    /// Counts `calls` sent to a holder.
    pub fn record_sent(&mut self, calls: usize) {
        self.sent += calls as u64;
    }

    /// Counts a call of which the holder says that it sent nothing on.
    pub fn record_unsent(&mut self) {
        self.unsent += 1;
        crate::invariant::check(self.unsent <= self.sent, "unsent-within-sent", || {
            format!("{} of {}", self.unsent, self.sent)
        });
    }

    /// The token again, if nothing that was sent may have run.
    ///
    /// # Errors
    /// Returns the ledger if some call may have reached a backend server.
    pub fn close(self) -> Result<UnsentToken, Self> {
        if self.sent == self.unsent {
            Ok(UnsentToken(()))
        } else {
            Err(self)
        }
    }
}
