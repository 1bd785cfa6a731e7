//! The program around the serving core: command line, configuration, startup and shutdown.
//!
//! [`cli`] reads the arguments, [`commands`] runs a sub-command, [`startup_files`] reads the files that the
//! options name, and [`serve`] starts and stops the subsystems. The drivers connect state machines of other
//! crates to sockets, files and the clock: [`membership_driver`], [`hot_restart_driver`], [`certificates`],
//! [`admin`].

pub mod admin;
pub mod cancel_forwarding;
pub mod certificates;
pub mod cli;
pub mod commands;
pub mod config;
pub mod descriptor_budget;
pub mod error;
pub mod feed_address;
pub mod hot_restart_driver;
pub mod listen;
pub mod logging;
pub mod membership_driver;
pub mod memory_budget;
pub mod second_front;
pub mod serve;
pub mod socket_activation;
pub mod startup_files;
