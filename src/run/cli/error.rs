//! Errors in the command line.

use crate::run::error::BoxError;
use crate::run::logging::LoggingError;

/// Reason why a command line was rejected.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The arguments are malformed: an option lacks its value, or an argument is not Unicode.
    #[error(transparent)]
    Arguments(#[from] lexopt::Error),
    /// An option's value is invalid.
    #[error("--{option}")]
    Value {
        /// The option, without its dashes.
        option: String,
        /// Reason why the value is invalid.
        source: ValueError,
    },
    /// No sub-command has this option.
    #[error("invalid option '--{0}'")]
    UnknownOption(String),
    /// No sub-command is given.
    #[error("a command is missing")]
    MissingCommand,
    /// The sub-command does not exist.
    #[error("no such command: {0}")]
    UnknownCommand(String),
    /// The option belongs to other sub-commands.
    #[error("{command}: invalid option '--{option}'")]
    OptionOfOtherCommand {
        /// The sub-command.
        command: &'static str,
        /// The option, without its dashes.
        option: String,
    },
    /// More arguments than the sub-command takes.
    #[error("{command}: unexpected argument {argument:?}")]
    UnexpectedArgument {
        /// The sub-command.
        command: &'static str,
        /// The first excess argument.
        argument: String,
    },
    /// An argument or option that the sub-command needs is absent.
    #[error("{command}: {what} is missing")]
    Missing {
        /// The sub-command.
        command: &'static str,
        /// Description of the absent argument, or the absent option with its dashes.
        what: &'static str,
    },
    /// `explain` needs exactly one of its three queries.
    #[error("explain: give one of --request, --engine and --at")]
    AmbiguousQuery,
    /// An argument is not a socket address.
    #[error("{command}: invalid address {argument:?}: expected IP:PORT")]
    InvalidAddress {
        /// The sub-command.
        command: &'static str,
        /// The invalid argument.
        argument: String,
    },
}

/// Reason why the value of an option is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ValueError {
    /// The value is not a number of replays in the allowed range.
    #[error("expected a number from 1 to {max}")]
    ReplayCount {
        /// The highest number allowed.
        max: u32,
    },
    /// The value is not an instant in one of the two forms.
    #[error("{0:?} is neither Unix seconds nor +SECONDS")]
    Moment(String),
    /// The value is not a number of seconds, or more than a day.
    #[error("{0:?} is not a number of seconds up to a day")]
    Seconds(String),
    /// The value has no equals sign.
    #[error("invalid setting change {0:?}: expected PATH=VALUE")]
    SettingChange(String),
    /// The value is not a request id.
    #[error("{0:?} is not 16 hex digits")]
    RequestId(String),
    /// A log format or level that does not exist.
    #[error(transparent)]
    Logging(#[from] LoggingError),
    /// The capture library does not know the outcome policy or the rule.
    #[error(transparent)]
    Capture(BoxError),
}
