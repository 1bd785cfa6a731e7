//! The last-writer-wins register of one cause on one target, and its record as exchanged between processes.

use crate::cause::Cause;
use crate::error::RecordError;
use crate::limits::{MAX_REASON_BYTES, MAX_VERSION};
use crate::target::Target;
use crate::Timestamp;

#[cfg(test)]
mod tests;

/// The last call of one cause on one target.
///
/// Of two entries for the same target and cause the greater wins, in the order of the fields: the higher version; on a
/// tie the one that cordons; then the longer lease; the remaining fields only make the order total, so that merging is
/// associative, commutative and idempotent whatever was received.
///
/// A version is a Lamport clock that runs no slower than the Unix clock: the call's microsecond, or one more than the
/// highest version that the process has seen, whichever is higher (Lamport 1978; hybrid logical clocks, Kulkarni
/// et al. 2014). A call made after another was seen always wins over it, even where the clock was set back, and
/// of two calls that did not see each other the later one wins by the clock that both processes share.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CordonEntry {
    /// Which of two entries is the newer.
    pub version: u64,
    /// Whether the call cordons the target; otherwise it uncordons it.
    pub cordoned: bool,
    /// For the fleet's cordons: when the lease expires.
    pub lease_expires_at: Option<Timestamp>,
    /// When the call was made.
    pub changed_at: Timestamp,
    /// The reason given: at most [`MAX_REASON_BYTES`] bytes, no control characters.
    pub reason: String,
}

/// An entry with its key: what goes from process to process. Entries that uncordon are among them (`cordoned` is
/// false), so that they win over older cordons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CordonRecord {
    /// What the entry applies to.
    pub target: Target,
    /// Whose call it was.
    pub cause: Cause,
    /// The call.
    pub entry: CordonEntry,
}

impl CordonRecord {
    /// Checks a record that came from another process.
    ///
    /// # Errors
    /// The first field that no call could have produced.
    pub fn validate(&self) -> Result<(), RecordError> {
        self.target.validate().map_err(RecordError::Target)?;
        let entry = &self.entry;
        if entry.version > MAX_VERSION {
            return Err(RecordError::Version);
        }
        if entry.reason.len() > MAX_REASON_BYTES || entry.reason.chars().any(char::is_control) {
            return Err(RecordError::Reason);
        }
        match (self.cause, entry.cordoned, entry.lease_expires_at) {
            (Cause::Fleet { .. }, true, None) => Err(RecordError::MissingLease),
            (Cause::Operator, _, Some(_)) | (_, false, Some(_)) => Err(RecordError::UnexpectedLease),
            _ => Ok(()),
        }
    }
}

/// A reason as it is retained: control characters become spaces, so that it stays one log line, and it is truncated at
/// [`MAX_REASON_BYTES`] bytes.
pub(crate) fn sanitize_reason(reason: &str) -> String {
    let mut sanitized = String::new();
    for character in reason.trim().chars() {
        let printable = if character.is_control() { ' ' } else { character };
        if sanitized.len() + printable.len_utf8() > MAX_REASON_BYTES {
            break;
        }
        sanitized.push(printable);
    }
    sanitized
}
