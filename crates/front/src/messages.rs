//! Messages between fronts.
//!
//! Fronts of an earlier release read and send these too. A field is only appended, at the
//! end of its message, as [`appended::Appended`]; what an earlier release can't read it skips.

pub mod appended;
pub mod crash_notice;
pub mod credit_message;
pub mod feed_message;
pub mod stall_notice;
