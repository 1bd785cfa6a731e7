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
/// Of two entries for the same target and cause the greater entry wins. Entries are compared in the order of
/// their fields: the higher version wins; on a tie the entry that cordons; then the longer lease. The
/// remaining fields only make the order total, so that merging is associative, commutative and idempotent for
/// any records.
///
/// A version is the value of a Lamport clock that runs no slower than the Unix clock: the time of the call in
/// microseconds, or one more than the highest version that the process has seen, whichever is higher (Lamport
/// 1978; hybrid logical clocks, Kulkarni et al. 2014). A call made by a process that has seen another call
/// always wins over that call, even if the clock was set back. Of two concurrent calls, the later one wins by
/// the clock that both processes share.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CordonEntry {
    /// Version of the entry: of two entries, the one with the higher version is newer.
    pub version: u64,
    /// Whether the call cordons the target; false for a call that uncordons the target.
    pub cordoned: bool,
    /// Time at which the lease expires; `None` for the operator's entries and for entries that uncordon.
    pub lease_expires_at: Option<Timestamp>,
    /// Unix time of the call, by the clock of the process that received the call.
    pub changed_at: Timestamp,
    /// The reason given with the call: at most [`MAX_REASON_BYTES`] bytes, no control characters.
    pub reason: String,
}

/// An entry with its target and cause, as exchanged between processes. Entries that uncordon (`cordoned` is
/// false) are exchanged, too, so that they win over older cordons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CordonRecord {
    /// Target of the call.
    pub target: Target,
    /// Cause that the call activated or ended.
    pub cause: Cause,
    /// The entry of the call.
    pub entry: CordonEntry,
}

impl CordonRecord {
    /// Checks a record received from another process.
    ///
    /// # Errors
    /// Returns the first field with a value that no call could have produced.
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

/// Converts a reason to the form in which it is retained. Control characters become spaces, so that the
/// reason stays on one log line, and the reason is truncated to at most [`MAX_REASON_BYTES`] bytes.
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
