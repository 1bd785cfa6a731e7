//! Errors of the platform's configuration, the simulator's settings and the environment.

use crate::environment::MIN_DESCRIPTOR;
use crate::pairs::PairError;
use crate::Place;

/// Error for a configuration, settings or an environment variable that cannot be used: the place of the fault
/// and the reason.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{place}{reason}")]
pub struct Error {
    /// The field's path, such as `settings.profiles[0].aim`, or the variable's name; in JSON also the line
    /// and column.
    pub place: Place,
    /// Reason why the value at this place cannot be used.
    pub reason: ErrorReason,
}

/// Reason why a configuration, settings or an environment variable cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ErrorReason {
    /// The text is not JSON, or a field is missing or invalid. Holds the JSON library's message without its
    /// position, which is in [`Error::place`].
    #[error("{0}")]
    Json(String),
    /// The value of a `path=value` pair is invalid.
    #[error(transparent)]
    Pair(PairError),
    /// The value is not a socket address.
    #[error("{0:?} is no address and port")]
    NotSocketAddress(String),
    /// The value is not a descriptor that may be inherited.
    #[error("{0:?} is no descriptor from {MIN_DESCRIPTOR}")]
    NotDescriptor(String),
    /// The limit on descriptors leaves too few to serve.
    #[error("{limit} descriptors are too few: {needed} are needed at least")]
    TooFewDescriptors {
        /// The configured limit.
        limit: usize,
        /// The lowest sufficient limit.
        needed: usize,
    },
    /// The memory limit is zero.
    #[error("0 MB are too few")]
    NoMemory,
}

impl Error {
    /// Creates an error in the field or variable at `path`, without a line and column.
    pub fn at_path(path: &str, reason: ErrorReason) -> Error {
        Error { place: Place { position: None, path: path.to_owned() }, reason }
    }

    /// Creates an error in the field at `path` from an error of the JSON library.
    pub(crate) fn json(path: String, error: &serde_json::Error) -> Error {
        let text = error.to_string();
        let position_suffix = format!(" at line {} column {}", error.line(), error.column());
        let message = text.strip_suffix(&position_suffix).unwrap_or(&text).to_owned();
        let position = (error.line() > 0).then(|| (error.line(), error.column()));
        Error { place: Place { position, path }, reason: ErrorReason::Json(message) }
    }
}
