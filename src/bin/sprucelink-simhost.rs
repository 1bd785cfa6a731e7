//! The simulator's adapter: reads batches of events from standard input and writes the resulting actions to
//! standard output. With `--capture DIR` each instance is recorded in a directory of its own below DIR.

use sprucelink::run::error::with_causes;
use sprucelink::simulator::adapter::{self, AdapterError};
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit status after an invalid command line, an invalid input, or a failure of the input or output.
const FAILURE: u8 = 2;

/// Reason why the program failed.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Arguments(#[from] lexopt::Error),
    #[error(transparent)]
    Adapter(#[from] AdapterError),
}

/// Reads the directory of `--capture DIR` from the command line, if given.
fn read_capture_dir() -> Result<Option<PathBuf>, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut capture_dir = None;
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("capture") => capture_dir = Some(parser.value()?.into()),
            other => return Err(other.unexpected()),
        }
    }
    Ok(capture_dir)
}

fn run() -> Result<(), Error> {
    let capture_dir = read_capture_dir()?;
    adapter::run(io::stdin().lock(), io::stdout().lock(), capture_dir)?;
    Ok(())
}

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|info| eprintln!("sprucelink-simhost: {info}")));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sprucelink-simhost: {}", with_causes(&error));
            ExitCode::from(FAILURE)
        }
    }
}
