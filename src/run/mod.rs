//! Start and stop: the command line, the configuration, signals, and the tools that read captures.

pub mod admin;
pub mod certificates;
pub mod cli;
pub mod commands;
pub mod config;
pub mod hot_restart_driver;
pub mod logging;
pub mod membership_driver;
pub mod second_front;
pub mod serve;
pub mod socket_activation;
