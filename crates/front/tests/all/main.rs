//! Tests of the front.
