//! The targets of cordons.

use crate::error::CordonError;
use std::fmt;

/// Longest engine id, in bytes. Endpoint lists name engines by a few dozen characters; ids need a bound
/// because they are retained and written to a file with every cordon.
pub const MAX_ENGINE_ID_BYTES: usize = 256;

/// A target that can be cordoned.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    /// An engine, by its id in the endpoint list.
    Engine(String),
    /// This workload manager: it accepts no new connections and finishes its requests in flight.
    Manager,
}

impl Target {
    /// Checks the engine id: 1 to [`MAX_ENGINE_ID_BYTES`] bytes and no control characters.
    ///
    /// # Errors
    /// Returns [`CordonError::InvalidTarget`] if the id is invalid.
    pub fn validate(&self) -> Result<(), CordonError> {
        match self {
            Target::Manager => Ok(()),
            Target::Engine(id) => validate_engine_id(id),
        }
    }

    /// Length of the engine id in bytes, which counts towards the bounds on engine ids; 0 for the manager.
    pub(crate) fn id_bytes(&self) -> usize {
        match self {
            Target::Manager => 0,
            Target::Engine(id) => id.len(),
        }
    }
}

/// Checks an engine id, so that ids that cannot come from an endpoint list get neither into the log nor into
/// the hot-restart state file.
pub(crate) fn validate_engine_id(id: &str) -> Result<(), CordonError> {
    if id.is_empty() || id.len() > MAX_ENGINE_ID_BYTES || id.chars().any(char::is_control) {
        return Err(CordonError::InvalidTarget);
    }
    Ok(())
}

impl fmt::Display for Target {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Target::Engine(id) => write!(formatter, "engine {id}"),
            Target::Manager => formatter.write_str("this manager"),
        }
    }
}
