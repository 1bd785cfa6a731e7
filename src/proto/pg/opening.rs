//! The packets before a session, which have no type byte (SSLRequest, GSSENCRequest, CancelRequest, StartupMessage).

use super::cursor::Cursor;
use super::error::PgError;

/// Length of the shortest first packet in bytes: its length and a code.
const MIN_OPENING_BYTES: usize = 8;
/// Length of the longest first packet that is accepted, in bytes.
const MAX_OPENING_BYTES: usize = 10_000;
/// Request code of a CancelRequest.
const CANCEL_REQUEST: u32 = 80_877_102;
/// Request code of an SSLRequest.
const SSL_REQUEST: u32 = 80_877_103;
/// Request code of a GSSENCRequest.
const GSSENC_REQUEST: u32 = 80_877_104;
/// The major version of the protocol.
const MAJOR_VERSION: u32 = 3;

/// The first packet of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Opening {
    /// SSLRequest: the client asks for TLS.
    Ssl,
    /// GSSENCRequest: the client asks for GSSAPI encryption.
    Gssenc,
    /// CancelRequest: the open request of another session is to be cancelled.
    Cancel {
        /// The session's process id.
        session: u32,
        /// Its secret key.
        secret: u32,
    },
    /// StartupMessage: a session begins.
    Startup {
        /// The minor version that is asked for.
        minor: u16,
        /// Names and values.
        parameters: Vec<(String, String)>,
    },
}

/// Reads the first packet of a connection, and returns it with its length; `None` if more bytes are needed.
///
/// # Errors
/// Where the bytes are no such packet.
pub fn read_opening(bytes: &[u8]) -> Result<Option<(Opening, usize)>, PgError> {
    let Some(length) = bytes.get(..4) else { return Ok(None) };
    let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
    if !(MIN_OPENING_BYTES..=MAX_OPENING_BYTES).contains(&length) {
        return Err(PgError::OpeningLength);
    }
    let Some(packet) = bytes.get(4..length) else { return Ok(None) };
    let mut cursor = Cursor(packet);
    let opening = match cursor.u32("code")? {
        SSL_REQUEST => Opening::Ssl,
        GSSENC_REQUEST => Opening::Gssenc,
        CANCEL_REQUEST => {
            Opening::Cancel { session: cursor.u32("process id")?, secret: cursor.u32("secret key")? }
        }
        code if code >> 16 == MAJOR_VERSION => {
            Opening::Startup { minor: code as u16, parameters: read_parameters(&mut cursor)? }
        }
        code => return Err(PgError::Version { major: (code >> 16) as u16, minor: code as u16 }),
    };
    Ok(Some((opening, length)))
}

/// Names and values up to an empty name or the end of the packet.
fn read_parameters(cursor: &mut Cursor) -> Result<Vec<(String, String)>, PgError> {
    let mut parameters = Vec::new();
    while cursor.0.first().is_some_and(|byte| *byte != 0) {
        let name = cursor.text("parameter name")?.to_owned();
        let value = cursor.text("parameter value")?.to_owned();
        parameters.push((name, value));
    }
    Ok(parameters)
}
