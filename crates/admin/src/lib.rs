//! The admin address: HTTP/1.1, one request a connection, in plain text.
//!
//! `GET /admin/health`, `GET /admin/stats`, `POST /admin/cordon` and `POST /admin/uncordon` with `{"target":"ID"}`. What the
//! operations do is the program's ([`Operations`]); this crate speaks HTTP (by hyper), bounds its clients ([`Limits`])
//! and gives every invalid request a clear status.
//!
//! [`admission`], [`routes`], [`target`] and [`response`] decide, do no I/O and read no clock; [`serve`] drives the sockets.
//! It runs on the serving loop's thread, within a `LocalSet`: responses wait for nothing but that loop, and what abusive
//! clients can cost it is bounded by the slots and by the rate at which connections are accepted.

mod accept_pacer;
pub mod admission;
mod connection;
mod limits;
mod observed_stream;
mod operations;
pub mod response;
pub mod routes;
mod server;
mod service;
pub mod target;

pub use limits::{
    Limits, MAX_BODY_BYTES, MAX_DISCARDED_BYTES, MAX_HEAD_BYTES, MAX_RESPONSE_BYTES, MAX_TARGET_BYTES,
    PEAK_ACCEPTS_PER_SECOND,
};
pub use operations::{LimitReached, OperationError, OperationOutcome, Operations};
pub use server::serve;
