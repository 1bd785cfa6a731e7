//! The admin address: HTTP/1.1, one request per connection, plain text responses.
//!
//! Requests are `GET /admin/health`, `GET /admin/stats`, `POST /admin/cordon` and `POST /admin/uncordon`, the
//! last two with the body `{"target":"ID"}`. The program implements the operations ([`Operations`]); this
//! crate speaks HTTP (with hyper), bounds the clients ([`Limits`]) and answers every invalid request with a
//! specific status.
//!
//! [`admission`], [`routes`], [`target`] and [`response`] make the decisions, do no I/O and read no clock;
//! [`serve`] drives the sockets. It runs on the thread of the program's event loop, within a `LocalSet`:
//! responses wait only for that loop, and the slots and the rate of accepting connections bound the load that
//! abusive clients can put on the loop.

mod accept_pacer;
pub mod admission;
mod connection;
mod limits;
mod observed_stream;
mod operations;
pub mod response;
pub mod routes;
mod server;
mod shared_state;
pub mod target;

pub use limits::{
    Limits, MAX_BODY_BYTES, MAX_DISCARDED_BYTES, MAX_HEAD_BYTES, MAX_RESPONSE_BYTES, MAX_TARGET_BYTES,
    PEAK_ACCEPTS_PER_SECOND,
};
pub use operations::{LimitReached, OperationError, OperationOutcome, Operations};
pub use server::serve;
