//! Stand-ins for the users' platform around the fronts: its object store, backend
//! servers that sign their answers, and a caller. They run on threads of the
//! test process; the fronts are processes of their own.

pub mod http_message;
pub mod object_store;
pub mod signed_server;
pub mod tcp_proxy;
pub mod testbed;
