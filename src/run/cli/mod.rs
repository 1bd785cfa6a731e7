//! The command line: [`subcommands`] is the table of sub-commands with their options, [`parser`] reads the
//! arguments into a [`Command`], and [`help`] makes the help texts.

mod error;
mod help;
mod options;
mod parser;
mod subcommands;

pub use error::{CliError, ValueError};
pub use help::usage;
pub use options::{Command, CutOptions, ExplainQuery, Moment, ReplayOptions, ServeOptions, SettingChange};
pub use parser::parse;

#[cfg(test)]
mod tests;
