//! Traffic between daemons: QUIC with mutual TLS.
//!
//! A group request and a pull each use one bidirectional stream; gossip uses
//! datagrams, or a unidirectional stream for a message larger than a datagram.

pub mod frame;
pub mod handshakes;
pub mod link;
pub mod message;
pub mod pinned;
pub mod serve;
pub mod tls;
