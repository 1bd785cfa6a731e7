//! Errors of the registry.

use crate::{MAX_CLASSES, MAX_METRICS, MAX_NAME_BYTES};

/// Why a metric could not be registered.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MetricError {
    /// The name is empty.
    #[error("a metric's name is empty")]
    EmptyName,
    /// The name is longer than [`MAX_NAME_BYTES`]; its length.
    #[error("a metric's name has {0} bytes, more than {MAX_NAME_BYTES}")]
    NameTooLong(usize),
    /// White space, a control character or `=` in the name would break its line.
    #[error("metric {0:?}: white space, control characters and = are not allowed")]
    InvalidName(String),
    /// The name is that of a metric which only this crate updates.
    #[error("metric {0:?} is reserved")]
    ReservedName(String),
    /// The name is a counter's, and a gauge was requested, or the other way round.
    #[error("metric {0:?} is of the other kind")]
    KindMismatch(String),
    /// [`MAX_METRICS`] are registered already.
    #[error("there are {MAX_METRICS} metrics already")]
    RegistryFull,
    /// More than [`MAX_CLASSES`] request classes; their number.
    #[error("{0} classes, more than {MAX_CLASSES}")]
    TooManyClasses(usize),
}
