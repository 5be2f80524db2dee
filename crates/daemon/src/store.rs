//! The platform's object API, the only persistent storage of the tier.

pub mod claims;
pub mod client;
pub mod history;
pub mod object;
mod version;
