//! Errors of the platform's configuration, the simulator's settings and the environment.

use crate::environment::MIN_DESCRIPTOR;
use crate::pairs::PairError;
use crate::Place;

/// Why a configuration, settings or an environment variable could not be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{place}{reason}")]
pub struct Error {
    /// Where: the field's path, such as `settings.profiles[0].aim`, or the variable's name; in JSON also line and column.
    pub place: Place,
    /// What is wrong there.
    pub reason: ErrorReason,
}

/// What is wrong with a configuration, settings or an environment variable.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ErrorReason {
    /// The JSON library's message; the position that it ends with stands in [`Error::place`].
    #[error("{0}")]
    Json(String),
    /// A value of a `path=value` pair cannot be read.
    #[error(transparent)]
    Pair(PairError),
    /// The text is no socket address.
    #[error("{0:?} is no address and port")]
    NotSocketAddress(String),
    /// The text is no descriptor that may be inherited.
    #[error("{0:?} is no descriptor from {MIN_DESCRIPTOR}")]
    NotDescriptor(String),
    /// The limit on descriptors leaves too few to serve with.
    #[error("{limit} descriptors are too few: {needed} are needed at least")]
    TooFewDescriptors {
        /// The limit found.
        limit: usize,
        /// The smallest limit that would do.
        needed: usize,
    },
    /// The memory limit is zero.
    #[error("0 MB are too few")]
    NoMemory,
}

impl Error {
    /// A fault of the field at `path`, in a text without lines.
    pub fn at_path(path: &str, reason: ErrorReason) -> Error {
        Error { place: Place { position: None, path: path.to_owned() }, reason }
    }

    /// A fault of a JSON text, at a path.
    pub(crate) fn json(path: String, error: &serde_json::Error) -> Error {
        let text = error.to_string();
        let tail = format!(" at line {} column {}", error.line(), error.column());
        let message = text.strip_suffix(&tail).unwrap_or(&text).to_owned();
        let position = (error.line() > 0).then(|| (error.line(), error.column()));
        Error { place: Place { position, path }, reason: ErrorReason::Json(message) }
    }
}
