//! sprucelink is a workload manager: it decides, in front of query engines with limited memory,
//! which queries are admitted, at which priority level and to which engine they go, and what is
//! done when an attempt ends badly; and it carries that out on sockets.
//!
//! The decision module and its vocabulary are a crate of their own, `sprucelink-policy`. [`simulator`] is the
//! simulator's wire and adapter, [`proto`] the protocols, [`core`] requests, attempts and engines,
//! [`front`] what clients connect to, [`run`] command line, start and stop.

pub mod core;
pub mod front;
pub mod proto;
pub mod run;
pub mod simulator;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
