//! Workspaces: whose request it is, and what it may use.

pub mod credit_asker;
pub mod key_check;
pub mod quota_desk;
pub mod quota_grantor;
pub mod quota_state;
pub mod quota_states;
