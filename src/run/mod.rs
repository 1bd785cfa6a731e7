//! Start and stop: the command line, the configuration, signals, and the tools that read captures.

pub mod acme;
pub mod admin;
pub mod args;
pub mod config;
pub mod inherit;
pub mod logging;
pub mod members;
pub mod operator;
pub mod serve;
pub mod tools;
pub mod upgrade;
