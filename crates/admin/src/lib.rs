//! The operators' address: HTTP/1.1, one call a connection, in plain text.
//!
//! `GET /admin/health`, `GET /admin/stats`, `POST /admin/cordon` and `POST /admin/uncordon` with `{"target":"ID"}`. What the
//! calls do is the program's ([`Operations`]); this crate speaks HTTP (by hyper), holds callers to their bounds
//! ([`Limits`]) and gives every bad call a clear status.
//!
//! Two halves: [`admission`], [`routes`], [`target`] and [`answer`] decide, do no I/O and read no clock; [`serve`](mod@serve) does the
//! sockets. It runs on the serving loop's thread, within a `LocalSet`: answers wait for nothing but that loop, and what
//! bad callers can cost it is bounded by the seats and by the rate at which they are accepted.

pub mod admission;
pub mod answer;
mod caller;
mod limits;
mod line;
mod operations;
pub mod routes;
mod serve;
pub mod target;

pub use limits::{
    Limits, ACCEPTS_PER_SECOND, MOST_ANSWER, MOST_BODY, MOST_DISCARDED, MOST_HEAD, MOST_TARGET,
};
pub use operations::{Bite, Done, Operations, Refused};
pub use serve::serve;
