//! Frames between members: a length, then an [`Envelope`] in protobuf. Decoding is incremental and bounded.
//!
//! | bytes | content |
//! | --- | --- |
//! | 4 | length of the rest, little-endian, at most [`MAX_FRAME_BYTES`] |
//! | n | the envelope |

use crate::ids::MemberId;
use crate::limits::{
    MAX_APPEND_ENTRIES, MAX_CONTEXT_BYTES, MAX_FRAME_BYTES, MAX_PEERS, MAX_PROPOSAL_BYTES, MAX_VOTERS,
};
use crate::wire::envelope::Body;
use crate::wire::{Envelope, ForwardedProposal, RaftMessage, RejoinResponse};
use prost::Message;

/// The protocol version. Frames of another version are rejected: a new version requires a release that
/// supports both.
pub const VERSION: u32 = 1;

/// Size of the length field in front of an envelope, bytes.
const LENGTH_BYTES: usize = 4;

/// Largest number of boots in an envelope: twice the largest number of voters, for a membership and its
/// successor.
pub(crate) const MAX_BOOTS: usize = 2 * MAX_VOTERS;

/// A message from one member to another.
#[derive(Debug, Clone, PartialEq)]
pub struct Frame(pub Envelope);

impl Frame {
    /// The member that the envelope names as its sender.
    pub fn from(&self) -> MemberId {
        MemberId::from_raw(self.0.from)
    }

    /// The member that the envelope is addressed to.
    pub fn to(&self) -> MemberId {
        MemberId::from_raw(self.0.to)
    }

    /// Encodes the frame: the length, then the envelope.
    pub fn encode(&self) -> Vec<u8> {
        let length = self.0.encoded_len();
        let mut bytes = Vec::with_capacity(LENGTH_BYTES + length);
        bytes.extend_from_slice(&(length as u32).to_le_bytes());
        bytes.extend_from_slice(&self.0.encode_to_vec());
        bytes
    }
}

/// Why the bytes of a connection can't be decoded. The connection has to be closed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes, at most {MAX_FRAME_BYTES} are allowed")]
    TooLong(usize),
    /// The bytes are not an envelope.
    #[error("malformed envelope")]
    Malformed(#[source] prost::DecodeError),
    /// The envelope has no body.
    #[error("envelope without a body")]
    EmptyEnvelope,
    /// The envelope has a protocol version other than [`VERSION`].
    #[error("unsupported version {0}: expected version {VERSION}")]
    UnsupportedVersion(u32),
    /// The named part of the envelope exceeds its bound.
    #[error("{0}: bound exceeded")]
    OutOfBounds(&'static str),
}

/// Decodes frames from bytes as they arrive. After an error the decoder always returns that error.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
    /// Number of bytes at the front of the buffer that are already decoded.
    consumed: usize,
    /// The error that ended the decoding.
    failure: Option<FrameError>,
}

impl Decoder {
    /// Adds received bytes. If [`Decoder::next_frame`] is called until it returns `None` after each call, the
    /// buffer is bounded by one frame and the bytes of one call.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.failure.is_none() {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// The next complete frame, if there is one.
    ///
    /// # Errors
    /// The bytes are not a valid frame; no more frames can be decoded.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        if let Some(error) = &self.failure {
            return Err(error.clone());
        }
        let decoded = self.decode_frame();
        if let Err(error) = &decoded {
            self.failure = Some(error.clone());
            self.buffer = Vec::new();
        }
        decoded
    }

    fn decode_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let rest = &self.buffer[self.consumed..];
        let Some((length, rest)) = rest.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_le_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        let Some(bytes) = rest.get(..length) else { return Ok(None) };
        let envelope = Envelope::decode(bytes).map_err(FrameError::Malformed)?;
        check_envelope(&envelope)?;
        self.consumed += LENGTH_BYTES + length;
        Ok(Some(Frame(envelope)))
    }
}

/// Checks the version and the bounds of an envelope's parts.
fn check_envelope(envelope: &Envelope) -> Result<(), FrameError> {
    if envelope.version != VERSION {
        return Err(FrameError::UnsupportedVersion(envelope.version));
    }
    if envelope.boots.len() > MAX_BOOTS {
        return Err(FrameError::OutOfBounds("boots"));
    }
    match &envelope.body {
        None => Err(FrameError::EmptyEnvelope),
        Some(Body::Raft(message)) => check_raft_message(message),
        Some(Body::RejoinResponse(response)) => check_rejoin_response(response),
        Some(Body::ForwardedProposal(forwarded)) => check_forwarded_proposal(forwarded),
        Some(Body::RejoinRequest(_) | Body::ProposalRejection(_)) => Ok(()),
    }
}

fn check_raft_message(message: &RaftMessage) -> Result<(), FrameError> {
    if message.entries.len() > MAX_APPEND_ENTRIES {
        return Err(FrameError::OutOfBounds("entries"));
    }
    if message.context.len() > MAX_CONTEXT_BYTES {
        return Err(FrameError::OutOfBounds("context"));
    }
    Ok(())
}

fn check_rejoin_response(response: &RejoinResponse) -> Result<(), FrameError> {
    if response.floors.len() > MAX_PEERS {
        return Err(FrameError::OutOfBounds("floors"));
    }
    Ok(())
}

fn check_forwarded_proposal(forwarded: &ForwardedProposal) -> Result<(), FrameError> {
    let length = forwarded.proposal.as_ref().map_or(0, |proposal| proposal.data.len());
    if length > MAX_PROPOSAL_BYTES {
        return Err(FrameError::OutOfBounds("proposal"));
    }
    Ok(())
}
