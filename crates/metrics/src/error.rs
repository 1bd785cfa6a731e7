//! Errors in registering metrics.

use crate::{MAX_CLASSES, MAX_METRICS, MAX_NAME_BYTES};

/// Reason why a metric could not be registered.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MetricError {
    /// The name is empty.
    #[error("a metric's name is empty")]
    EmptyName,
    /// The name is longer than [`MAX_NAME_BYTES`]; the field is its length in bytes.
    #[error("a metric's name has {0} bytes, more than {MAX_NAME_BYTES}")]
    NameTooLong(usize),
    /// The name has white space, a control character or `=`, which would break its line in a rendering.
    #[error("metric {0:?}: white space, control characters and = are not allowed")]
    InvalidName(String),
    /// The name belongs to a metric that only this crate updates, or is already registered.
    #[error("metric {0:?} is reserved")]
    ReservedName(String),
    /// A gauge was requested with the name of a counter, or a counter with the name of a gauge.
    #[error("metric {0:?} is registered with another kind")]
    KindMismatch(String),
    /// [`MAX_METRICS`] metrics are already registered.
    #[error("there are {MAX_METRICS} metrics already")]
    RegistryFull,
    /// There are more than [`MAX_CLASSES`] request classes; the field is their number.
    #[error("{0} classes, more than {MAX_CLASSES}")]
    TooManyClasses(usize),
}
