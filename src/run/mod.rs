//! Start and stop: the command line, the configuration, signals.

pub mod acme;
pub mod args;
pub mod config;
pub mod logging;
pub mod operator;
pub mod serve;
