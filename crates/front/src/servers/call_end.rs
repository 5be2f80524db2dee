//! How calls to backend servers end.

use crate::answer::ServerAnswer;

/// The outcome of a call.
#[derive(Debug)]
pub enum CallEnd {
    /// The server ran the request and its answer is complete.
    Answered(ServerAnswer),
    /// The server received the request and did not run it.
    NotRun(NotRunCause),
    /// No byte of the request was sent.
    Unsent(UnsentCause),
    /// The request may have run, and its answer is lost.
    Lost(LostCause),
}

/// Why a server did not run a request that reached it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunCause {
    /// It rejected the request.
    Rejected,
    /// The request was addressed to another server.
    Misdirected,
}

/// Why nothing was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnsentCause {
    /// The server's port refused the connection.
    Refused,
    /// Connecting timed out or failed otherwise.
    NotConnected,
    /// The kept connection was closed already.
    Closed,
    /// The caller disconnected before the call.
    CallerDisconnected,
}

/// Why the answer to a request that may have run is lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LostCause {
    /// The connection ended before an answer began.
    ConnectionLost,
    /// The connection ended in the middle of the answer.
    AnswerCut,
    /// The bytes are no answer, or too many.
    Malformed,
    /// The answer names another request or none, lacks a signature or is encoded.
    Mismatched,
    /// The call timed out.
    Timeout,
    /// The caller disconnected during the call.
    CallerDisconnected,
}

impl CallEnd {
    /// The name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Answered(answer) if answer.status.is_success() => "answered",
            Self::Answered(_) => "failure-answered",
            Self::NotRun(NotRunCause::Rejected) => "rejected",
            Self::NotRun(NotRunCause::Misdirected) => "misdirected",
            Self::Unsent(UnsentCause::Refused) => "connection-refused",
            Self::Unsent(UnsentCause::NotConnected) => "not-connected",
            Self::Unsent(UnsentCause::Closed) => "connection-closed",
            Self::Unsent(UnsentCause::CallerDisconnected) => "caller-left-unsent",
            Self::Lost(LostCause::ConnectionLost) => "connection-lost",
            Self::Lost(LostCause::AnswerCut) => "answer-cut",
            Self::Lost(LostCause::Malformed) => "answer-broken",
            Self::Lost(LostCause::Mismatched) => "answer-of-another",
            Self::Lost(LostCause::Timeout) => "timeout",
            Self::Lost(LostCause::CallerDisconnected) => "caller-left",
        }
    }

    /// Whether the server may have crashed while it ran the request.
    pub fn may_be_crash(&self) -> bool {
        match self {
            Self::Lost(LostCause::ConnectionLost | LostCause::AnswerCut | LostCause::Malformed) => {
                true
            }
            Self::Answered(answer) => !answer.is_delimited,
            Self::Lost(
                LostCause::Mismatched | LostCause::Timeout | LostCause::CallerDisconnected,
            )
            | Self::NotRun(_)
            | Self::Unsent(_) => false,
        }
    }
}
