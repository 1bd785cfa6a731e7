//! The sub-commands, one module per sub-command. [`run`] executes a command.

mod capture_cut;
mod capture_reader;
mod capture_show;
mod capture_verify;
mod check;
mod error;
mod explain;
mod fleet_members;
mod output;
mod replay;
mod setting_changes;
mod shapes_explain;

pub use error::{CaptureError, CommandError};

use super::cli::{self, Command, ServeOptions};
use super::{logging, serve, startup_files};

/// Outcome of a command that ran without an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The command is complete, and its comparison, if any, found no difference.
    Success,
    /// A comparison failed: a replay diverged, or a case broke a rule.
    Mismatch,
}

impl CommandOutcome {
    /// The outcome of a comparison; `matches` is whether it found no difference.
    fn from_match(matches: bool) -> CommandOutcome {
        match matches {
            true => CommandOutcome::Success,
            false => CommandOutcome::Mismatch,
        }
    }

    /// The exit status of the process.
    pub fn exit_status(self) -> u8 {
        match self {
            CommandOutcome::Success => 0,
            CommandOutcome::Mismatch => 1,
        }
    }
}

/// Executes a command and prints its result to standard output.
///
/// # Errors
/// Files that cannot be used, a server that could not start, a manager that did not answer.
pub fn run(command: Command) -> Result<CommandOutcome, CommandError> {
    match command {
        Command::Version => println!("sprucelink {}", env!("CARGO_PKG_VERSION")),
        Command::Help(subcommand) => print!("{}", cli::usage(subcommand)),
        Command::Serve(options) => serve_clients(options)?,
        Command::Check(options) => check::print(&startup_files::read(&options)?),
        Command::Replay(options) => return Ok(replay::run(&options)?),
        Command::Explain { capture, query, json } => explain::run(&capture, &query, json)?,
        Command::CaptureShow { capture, json } => capture_show::run(&capture, json)?,
        Command::CaptureCut(options) => capture_cut::run(&options)?,
        Command::CaptureVerify { cases, json } => return Ok(capture_verify::run(&cases, json)?),
        Command::ShapesExplain { statement, json } => shapes_explain::run(&statement, json),
        Command::FleetMembers { address, json } => fleet_members::run(address, json)?,
    }
    Ok(CommandOutcome::Success)
}

fn serve_clients(options: ServeOptions) -> Result<(), CommandError> {
    let config = startup_files::read(&options)?;
    let _flush = logging::start(options.logging);
    serve::serve(config, options, startup_files::read_config)?;
    Ok(())
}
