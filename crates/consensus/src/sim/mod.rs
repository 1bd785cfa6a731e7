//! A seeded simulator of a consensus group in virtual time: network, disks and processes with faults, and a
//! checker.
//!
//! A run is determined by its plan and seed. A [`Cluster`] holds the network and the hosts. Each host has a
//! [`crate::Node`], a write-ahead log on a disk with faults, and a [`StateMachine`] that applies entries. A
//! [`Simulation`] drives the cluster: a nemesis injects the faults of the [`Plan`], an operator replaces
//! members, and a [`Checker`] examines the actions of the hosts and ends the run at the first violation.
//! Simulators of other crates can use this simulator with a [`StateMachine`] and commands of their own
//! ([`Simulation::run_until`], [`Cluster::host_mut`], [`Cluster::propose`]).
//!
//! [`InjectedBug`] adds a bug to the hosts (never to the node) to show that the checker detects it.

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
