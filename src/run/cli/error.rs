//! Why a command line was rejected.

use crate::run::error::BoxError;
use crate::run::logging::LoggingError;

/// A command line that cannot be carried out.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The arguments are malformed: an option without its value, a text that is not Unicode.
    #[error(transparent)]
    Arguments(#[from] lexopt::Error),
    /// An option's value is invalid.
    #[error("--{option}")]
    Value {
        /// The option, without its dashes.
        option: String,
        /// What is wrong with the value.
        source: ValueError,
    },
    /// No sub-command has this option.
    #[error("invalid option '--{0}'")]
    UnknownOption(String),
    /// No sub-command is given.
    #[error("a command is missing")]
    MissingCommand,
    /// There is no such sub-command.
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
        /// The first argument too many.
        argument: String,
    },
    /// An argument or option that the sub-command needs is absent.
    #[error("{command}: {what} is missing")]
    Missing {
        /// The sub-command.
        command: &'static str,
        /// What is absent.
        what: &'static str,
    },
    /// `explain` needs exactly one of its three queries.
    #[error("explain: give one of --request, --engine and --at")]
    AmbiguousQuery,
    /// An argument that should be a socket address is none.
    #[error("{command}: {argument:?} is no address and port")]
    InvalidAddress {
        /// The sub-command.
        command: &'static str,
        /// The argument.
        argument: String,
    },
}

/// What is wrong with the value of an option.
#[derive(Debug, thiserror::Error)]
pub enum ValueError {
    /// The number of replays is out of its range.
    #[error("is no number from 1 to {max}")]
    ReplayCount {
        /// The highest number.
        max: u32,
    },
    /// Neither form of a moment.
    #[error("{0:?} is neither Unix seconds nor +SECONDS")]
    Moment(String),
    /// No number of seconds, or more than a day.
    #[error("{0:?} is no number of seconds up to a day")]
    Seconds(String),
    /// No equals sign.
    #[error("{0:?} is no PATH=VALUE")]
    SettingChange(String),
    /// No request id.
    #[error("{0:?} is not 16 hex digits")]
    RequestId(String),
    /// A log format or level that does not exist.
    #[error(transparent)]
    Logging(#[from] LoggingError),
    /// An outcome policy or a rule that the capture tools do not know.
    #[error(transparent)]
    Capture(BoxError),
}
