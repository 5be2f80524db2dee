//! Tests of the decisions, without I/O and with a time of their own.

mod admission;
mod claim;
mod dispatch;
mod gate;
mod hedge;
mod quarantine;
mod silence;
