//! The packets that a client sends before its session starts: SSLRequest, GSSENCRequest, CancelRequest and
//! StartupMessage. They have no type byte.

use super::cursor::Cursor;
use super::error::PgError;

/// Minimum length of a start-up packet in bytes: the length field and the code.
const MIN_PACKET_BYTES: usize = 8;
/// Maximum length of a start-up packet that is accepted, in bytes.
const MAX_PACKET_BYTES: usize = 10_000;
/// Request code of a CancelRequest.
const CANCEL_REQUEST: u32 = 80_877_102;
/// Request code of an SSLRequest.
const SSL_REQUEST: u32 = 80_877_103;
/// Request code of a GSSENCRequest.
const GSSENC_REQUEST: u32 = 80_877_104;
/// Supported major version of the protocol.
const MAJOR_VERSION: u32 = 3;

/// A packet that a client sends before its session starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartupPacket {
    /// SSLRequest: the client asks for TLS.
    Ssl,
    /// GSSENCRequest: the client asks for GSSAPI encryption.
    Gssenc,
    /// CancelRequest: the client asks to cancel the open request of another session.
    Cancel {
        /// The process id, from BackendKeyData, of the session whose request the client asks to cancel.
        process_id: u32,
        /// The secret key of that session, from BackendKeyData.
        secret: u32,
    },
    /// StartupMessage: the client starts a session.
    Startup {
        /// The minor version of the protocol that the client asks for.
        minor: u16,
        /// Names and values of the start-up parameters.
        parameters: Vec<(String, String)>,
    },
}

/// Reads a start-up packet from the front of `bytes`, and returns it with its length; `None` if more bytes
/// are needed.
///
/// # Errors
/// If the bytes are not a start-up packet of protocol version 3.
pub fn read_startup_packet(bytes: &[u8]) -> Result<Option<(StartupPacket, usize)>, PgError> {
    let Some(length) = bytes.get(..4) else { return Ok(None) };
    let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
    if !(MIN_PACKET_BYTES..=MAX_PACKET_BYTES).contains(&length) {
        return Err(PgError::StartupPacketLength);
    }
    let Some(body) = bytes.get(4..length) else { return Ok(None) };
    let mut cursor = Cursor(body);
    let packet = match cursor.u32("code")? {
        SSL_REQUEST => StartupPacket::Ssl,
        GSSENC_REQUEST => StartupPacket::Gssenc,
        CANCEL_REQUEST => {
            StartupPacket::Cancel { process_id: cursor.u32("process id")?, secret: cursor.u32("secret key")? }
        }
        code if code >> 16 == MAJOR_VERSION => {
            StartupPacket::Startup { minor: code as u16, parameters: read_parameters(&mut cursor)? }
        }
        code => return Err(PgError::Version { major: (code >> 16) as u16, minor: code as u16 }),
    };
    Ok(Some((packet, length)))
}

/// Reads names and values up to an empty name or the end of the packet.
fn read_parameters(cursor: &mut Cursor) -> Result<Vec<(String, String)>, PgError> {
    let mut parameters = Vec::new();
    while cursor.0.first().is_some_and(|byte| *byte != 0) {
        let name = cursor.text("parameter name")?.to_owned();
        let value = cursor.text("parameter value")?.to_owned();
        parameters.push((name, value));
    }
    Ok(parameters)
}
