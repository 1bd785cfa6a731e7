//! The command line.

use super::logging::{self, Logging};
use lexopt::{Arg, Parser, ValueExt};
use std::ffi::OsString;

/// What was asked for.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Serve clients.
    Serve(Files),
    /// Read the configuration and say whether it will do.
    Check(Files),
    /// Say the version.
    Version,
    /// Say how to call.
    Help,
}

/// The files that a start reads.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Files {
    /// The configuration; else `EDGE_CONFIG` names it.
    pub config: Option<String>,
    /// Where to listen instead of where the configuration says.
    pub listen: Option<String>,
    /// The operator's file, which sets the second front up; without it that front is off.
    pub operator: Option<String>,
    /// How log lines are written.
    pub logging: Logging,
}

/// How to call the program.
pub const USAGE: &str = "\
sprucelink: a workload manager in front of query engines

usage: sprucelink serve [--config FILE] [--listen ADDRESS] [--operator FILE]
                        [--log-format text|json] [--log-level LEVEL]
       sprucelink check [--config FILE] [--listen ADDRESS] [--operator FILE]
       sprucelink version
       sprucelink help

  --config FILE       the configuration; without it, the file that EDGE_CONFIG names
  --listen ADDRESS    where clients connect, instead of the configuration's own
  --operator FILE     sets up the second front (PostgreSQL with extended queries); without it that is off
  --log-format FORMAT text lines (the default) or json, one object a line
  --log-level LEVEL   error, warn, info (the default), debug or trace

exit status: 0 done or stopped, 1 the start failed, 2 a bad command line or configuration
";

/// Understands the arguments behind the program's name.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, String> {
    let mut parser = Parser::from_args(args);
    let (mut word, mut files) = (None, Files::default());
    while let Some(arg) = parser.next().map_err(|e| e.to_string())? {
        let value = |p: &mut Parser| p.value().and_then(|v| v.string()).map_err(|e| e.to_string());
        match arg {
            Arg::Long("config") => files.config = Some(value(&mut parser)?),
            Arg::Long("listen") => files.listen = Some(value(&mut parser)?),
            Arg::Long("operator") => files.operator = Some(value(&mut parser)?),
            Arg::Long("log-format") => files.logging.format = value(&mut parser)?.parse()?,
            Arg::Long("log-level") => files.logging.level = logging::level(&value(&mut parser)?)?,
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Help),
            Arg::Long("version") | Arg::Short('V') => return Ok(Command::Version),
            Arg::Value(v) if word.is_none() => word = Some(v.string().map_err(|e| e.to_string())?),
            other => return Err(other.unexpected().to_string()),
        }
    }
    match word.as_deref() {
        Some("serve") => Ok(Command::Serve(files)),
        Some("check") => Ok(Command::Check(files)),
        Some("version") => Ok(Command::Version),
        Some("help") => Ok(Command::Help),
        Some(other) => Err(format!("no such command: {other}")),
        None => Err("a command is missing".into()),
    }
}
