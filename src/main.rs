//! The workload manager's program: `sprucelink help` prints its usage.

use sprucelink::run::error::with_causes;
use sprucelink::run::{cli, commands};
use std::process::ExitCode;

/// Exit status after an invalid command line.
const INVALID_COMMAND_LINE: u8 = 2;

fn main() -> ExitCode {
    let command = match cli::parse(std::env::args_os().skip(1)) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("sprucelink: {}\n\n{}", with_causes(&error), cli::usage(None));
            return ExitCode::from(INVALID_COMMAND_LINE);
        }
    };
    match commands::run(command) {
        Ok(outcome) => ExitCode::from(outcome.exit_status()),
        Err(error) => {
            eprintln!("sprucelink: {}", with_causes(&error));
            ExitCode::from(error.exit_status())
        }
    }
}
