//! Codecs of the network protocols. They use neither sockets nor clocks (sans-io).
//!
//! Each codec is incremental (it reports when it needs more bytes) and bounded (it rejects input that exceeds
//! its limits), and no input makes it panic. Each has its own error type, whose messages name the invalid
//! field.

pub mod engine_answer;
pub mod engine_command;
pub mod events;
pub mod fields;
pub mod literal;
pub mod pg;
pub mod resp;
pub mod sse;
pub mod tables;
