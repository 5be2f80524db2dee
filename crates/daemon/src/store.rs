//! The platform's object API, the only place where something lasts.

pub mod claims;
pub mod client;
pub mod object;
