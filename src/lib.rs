//! sprucelink is a workload manager in front of query engines with limited memory. It decides which queries
//! are admitted, at which priority level they run, to which engine they go, and how a failed attempt is
//! handled, and it carries out these decisions on network connections.
//!
//! The decision module and its types are a separate crate, `sprucelink-policy`. [`simulator`] connects it to
//! the simulator; [`proto`] holds the codecs of the network protocols; [`core`] manages requests, attempts
//! and engines; [`front`] serves the clients' connections; [`run`] holds the command line, start-up and
//! shutdown.

pub mod core;
pub mod front;
pub mod proto;
pub mod run;
pub mod simulator;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
