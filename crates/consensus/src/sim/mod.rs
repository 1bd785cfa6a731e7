//! A seeded simulator of a consensus group in virtual time: network, disks and processes with faults, and a checker.
//!
//! One seed replays a complete run. A [`Cluster`] holds the hosts, each a [`crate::Node`] over a write-ahead log on a disk with
//! faults and a [`StateMachine`] that applies entries, and the network between them. A [`Simulation`] drives it: a nemesis
//! injects faults as the [`Plan`] says, an operator replaces members, and a [`Checker`] examines what the hosts did after each step
//! and ends the run at the first violation. Other crates' simulators build on it with a [`StateMachine`] and
//! commands of their own ([`Simulation::run_until`], [`Cluster::host_mut`], [`Cluster::propose`]).
//!
//! [`InjectedBug`] puts a bug into the hosts (never into the node) to show that the checker can fail.

mod checker;
mod cluster;
mod draw;
mod event_queue;
mod faults;
mod host;
mod nemesis;
mod network;
mod operator;
mod plan;
mod recorder;
mod report;
mod simulation;
mod state_machine;

pub use checker::{Checker, OutcomeCounts, Violation, ViolationKind};
pub use cluster::Cluster;
pub use faults::{Fault, Link};
pub use host::Host;
pub use network::Network;
pub use plan::{InjectedBug, Plan};
pub use recorder::ProposalRecorder;
pub use report::Report;
pub use simulation::Simulation;
pub use state_machine::StateMachine;
