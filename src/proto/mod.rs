//! Codecs of the protocols on sockets, without sockets or clocks (sans-io).
//!
//! Each codec is incremental (it says when it needs more bytes) and bounded (it rejects what exceeds its limits), and
//! none panics, whatever bytes it is given. Each has its own error type, whose messages name the field that is wrong.

pub mod engine_answer;
pub mod engine_command;
pub mod events;
pub mod fields;
pub mod literal;
pub mod pg;
pub mod resp;
pub mod sse;
pub mod tables;
