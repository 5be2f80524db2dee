//! The ports of callers and of the load balancer.

pub mod readiness_port;
pub mod request_handler;
pub mod room_desk;
