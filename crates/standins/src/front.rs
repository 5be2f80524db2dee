//! Stand-ins for the users' platform: its object store, backend servers that
//! sign their answers, and a caller that checks what it gets. They run on
//! threads of the test; the fronts are real processes.

pub mod http_message;
pub mod object_store;
pub mod signed_server;
pub mod tcp_proxy;
pub mod testbed;
