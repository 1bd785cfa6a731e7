//! The binary format of a state file.
//!
//! ```text
//! magic   4 bytes  "SLHO"
//! format  4 bytes  little endian
//! length  4 bytes  of the body, little endian
//! crc     4 bytes  CRC-32 (IEEE) of format, length and body, little endian
//! body    length bytes, protocol buffers
//! ```
//!
//! The header is the same in every format version, so that a file of a newer version can be distinguished
//! from a damaged file.

use crate::error::{InvalidState, StateFileError};
use crate::format::{FORMAT_VERSION, HEADER_BYTES, MAX_FILE_BYTES, MIN_FORMAT_VERSION};
use crate::message::StateFileMessage;
use crate::state::{Instance, StateFile};
use prost::Message;

#[cfg(test)]
mod tests;

/// Magic number at the start of every file.
const MAGIC: [u8; 4] = *b"SLHO";
/// Offset of the format version in the header, in bytes.
const FORMAT_OFFSET: usize = 4;
/// Offset of the body's length in the header, in bytes.
const LENGTH_OFFSET: usize = 8;
/// Offset of the checksum in the header, in bytes.
const CRC_OFFSET: usize = 12;
/// Bytes reserved for the tag and length of the field of engine id hashes.
const IDS_HEADER_BYTES: usize = 8;

/// Bytes that hashes of engine ids may take before CancelRequests are left out for them.
const RESERVED_ID_BYTES: usize = 1_024 * size_of::<u64>();

/// An encoded state file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedFile {
    /// Bytes of the file, at most [`MAX_FILE_BYTES`].
    pub bytes: Vec<u8>,
    /// Number of engine id hashes that did not fit; these are the last ones of the snapshot.
    pub ids_left_out: usize,
    /// Number of request ids that did not fit; these are the last ones of the snapshot.
    pub request_ids_left_out: usize,
}

/// Encodes a state file. If the contents do not fit, hashes of engine ids are left out, and beside very many
/// cordons request ids and the oldest CancelRequests.
///
/// # Errors
/// [`StateFileError::TooLarge`] if the contents do not fit even without any hashes.
pub fn encode(file: &StateFile) -> Result<EncodedFile, StateFileError> {
    let mut message = StateFileMessage::from(file);
    let ids = std::mem::take(&mut message.known_ids);
    let mut request_ids = message.request_ids.take();
    let wanted_id_bytes = RESERVED_ID_BYTES.min(ids.len() * size_of::<u64>()) + IDS_HEADER_BYTES;
    let bytes = HEADER_BYTES + message.encoded_len();
    message.drop_oldest_cancels((bytes + wanted_id_bytes).saturating_sub(MAX_FILE_BYTES));
    let bytes_without_ids = HEADER_BYTES + message.encoded_len();
    if bytes_without_ids > MAX_FILE_BYTES {
        return Err(StateFileError::TooLarge { bytes: bytes_without_ids });
    }
    let bytes_for_request_ids = MAX_FILE_BYTES.saturating_sub(bytes_without_ids + wanted_id_bytes);
    let request_ids_left_out = request_ids.as_mut().map_or(0, |ids| ids.truncate_to(bytes_for_request_ids));
    message.request_ids = request_ids.filter(|ids| !ids.is_empty());
    let bytes_without_ids = HEADER_BYTES + message.encoded_len();
    let bytes_for_ids = MAX_FILE_BYTES.saturating_sub(bytes_without_ids + IDS_HEADER_BYTES);
    let fitting_ids = ids.len().min(bytes_for_ids / size_of::<u64>());
    let ids_left_out = ids.len() - fitting_ids;
    message.known_ids = ids;
    message.known_ids.truncate(fitting_ids);
    Ok(EncodedFile { bytes: with_header(&message.encode_to_vec()), ids_left_out, request_ids_left_out })
}

/// Prepends the header to a body.
fn with_header(body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    let crc = checksum(&bytes[FORMAT_OFFSET..], body);
    bytes.extend_from_slice(&crc.to_le_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Decodes a state file of this instance. Never panics, for any bytes.
///
/// # Errors
/// The reason for the rejection; no part of a rejected file is used.
pub fn decode(bytes: &[u8], instance: &Instance) -> Result<StateFile, StateFileError> {
    if bytes.len() > MAX_FILE_BYTES {
        return Err(StateFileError::TooLarge { bytes: bytes.len() });
    }
    let body = checked_body(bytes)?;
    let message = StateFileMessage::decode(body)
        .map_err(|error| StateFileError::Invalid(InvalidState::Protobuf(error)))?;
    let file = StateFile::try_from(message).map_err(StateFileError::Invalid)?;
    if file.instance != *instance {
        return Err(StateFileError::OtherInstance(file.instance));
    }
    Ok(file)
}

/// Checks the header, checksum and format version of a file and returns its body.
fn checked_body(bytes: &[u8]) -> Result<&[u8], StateFileError> {
    let Some((header, body)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Err(StateFileError::Damaged("shorter than the header"));
    };
    if !header.starts_with(&MAGIC) {
        return Err(StateFileError::Damaged("wrong magic number"));
    }
    if read_u32(header, LENGTH_OFFSET) as usize != body.len() {
        return Err(StateFileError::Damaged("length differs from the length in the header"));
    }
    if checksum(&header[FORMAT_OFFSET..CRC_OFFSET], body) != read_u32(header, CRC_OFFSET) {
        return Err(StateFileError::Damaged("the checksum does not match"));
    }
    let format = read_u32(header, FORMAT_OFFSET);
    if format > FORMAT_VERSION {
        return Err(StateFileError::NewerFormat { format });
    }
    if format < MIN_FORMAT_VERSION {
        return Err(StateFileError::UnsupportedFormat { format });
    }
    Ok(body)
}

fn checksum(format_and_length: &[u8], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(format_and_length);
    hasher.update(body);
    hasher.finalize()
}

fn read_u32(header: &[u8], offset: usize) -> u32 {
    let bytes = header.get(offset..offset + size_of::<u32>()).and_then(|bytes| bytes.try_into().ok());
    bytes.map_or(0, u32::from_le_bytes)
}
