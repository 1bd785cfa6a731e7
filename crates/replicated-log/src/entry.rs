//! Encoding and decoding of entries, with the checks that every entry has to pass.

use crate::Entry;
use prost::Message;

/// Largest encoded entry, bytes: it has to fit into one consensus message together with other entries, and
/// into every subscriber's buffer.
pub const MAX_ENTRY_BYTES: usize = 256 * 1024;

/// Why an entry can't be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// The encoded entry is longer than [`MAX_ENTRY_BYTES`].
    #[error("entry of {bytes} bytes, at most {MAX_ENTRY_BYTES} are allowed")]
    TooLong {
        /// Length of the entry, bytes.
        bytes: usize,
    },
    /// The bytes are not an encoded entry.
    #[error("undecodable entry")]
    Undecodable(#[source] prost::DecodeError),
    /// The named field, which every entry must have, is missing.
    #[error("{0}: missing")]
    MissingField(&'static str),
}

/// Encodes an entry.
///
/// # Errors
/// The entry has no origin or sequence, or is too long.
pub fn encode(entry: &Entry) -> Result<Vec<u8>, EntryError> {
    check_fields(entry)?;
    check_length(entry.encoded_len())?;
    Ok(entry.encode_to_vec())
}

/// Decodes an entry. A body that this version does not know is decoded as `None`: such an entry has a
/// position, but no effect at this version.
///
/// # Errors
/// There are too many bytes, the bytes are not an entry, or the entry has no origin or sequence.
pub fn decode(bytes: &[u8]) -> Result<Entry, EntryError> {
    check_length(bytes.len())?;
    let entry = Entry::decode(bytes).map_err(EntryError::Undecodable)?;
    check_fields(&entry)?;
    Ok(entry)
}

fn check_length(bytes: usize) -> Result<(), EntryError> {
    if bytes > MAX_ENTRY_BYTES {
        return Err(EntryError::TooLong { bytes });
    }
    Ok(())
}

fn check_fields(entry: &Entry) -> Result<(), EntryError> {
    if entry.origin.is_empty() {
        return Err(EntryError::MissingField("origin"));
    }
    if entry.sequence == 0 {
        return Err(EntryError::MissingField("sequence"));
    }
    Ok(())
}
