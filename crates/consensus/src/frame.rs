//! Frames between members: a length, then an [`Envelope`] in protobuf. Reading is incremental and bounded.
//!
//! | bytes | what |
//! | --- | --- |
//! | 4 | length of the rest, little-endian, at most [`MAX_FRAME_BYTES`] |
//! | n | the envelope |

use crate::ids::MemberId;
use crate::limits::{
    MAX_APPEND_ENTRIES, MAX_CONTEXT_BYTES, MAX_FRAME_BYTES, MAX_PEERS, MAX_PROPOSAL_BYTES, MAX_VOTERS,
};
use crate::wire::envelope::Body;
use crate::wire::Envelope;
use prost::Message;
use std::fmt;

/// The version that this code speaks. Another is refused: versions come with a release that speaks both.
pub const VERSION: u32 = 1;

/// A message from one member to another.
#[derive(Debug, Clone, PartialEq)]
pub struct Frame(pub Envelope);

impl Frame {
    /// Who sends it.
    pub fn from(&self) -> MemberId {
        MemberId::from_raw(self.0.from)
    }

    /// For whom it is.
    pub fn to(&self) -> MemberId {
        MemberId::from_raw(self.0.to)
    }

    /// Its bytes, length in front.
    pub fn encode(&self) -> Vec<u8> {
        let len = self.0.encoded_len();
        let mut bytes = Vec::with_capacity(4 + len);
        bytes.extend_from_slice(&(len as u32).to_le_bytes());
        bytes.extend_from_slice(&self.0.encode_to_vec());
        bytes
    }
}

/// Why a connection's bytes can't be read on: it must be closed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameError {
    /// Longer than [`MAX_FRAME_BYTES`].
    TooLong(usize),
    /// Not an envelope.
    Malformed(String),
    /// A version that is not spoken here.
    Version(u32),
    /// A part over its bound.
    Bounds(&'static str),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::TooLong(len) => {
                write!(f, "a frame of {len} bytes, at most {MAX_FRAME_BYTES} are read")
            }
            FrameError::Malformed(reason) => write!(f, "not a frame: {reason}"),
            FrameError::Version(version) => write!(f, "version {version}, spoken here is {VERSION}"),
            FrameError::Bounds(what) => write!(f, "{what} over its bound"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Takes bytes as they come and gives whole frames. After an error it gives nothing more.
#[derive(Debug, Default)]
pub struct Decoder {
    held: Vec<u8>,
    read: usize,
    failed: Option<FrameError>,
}

impl Decoder {
    /// Takes more bytes. What is held is bounded when [`Decoder::next_frame`] is called until it gives `None` after
    /// each push: one frame and what was pushed.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.failed.is_none() {
            self.held.drain(..self.read);
            self.read = 0;
            self.held.extend_from_slice(bytes);
        }
    }

    /// The next whole frame, if one is there.
    ///
    /// # Errors
    /// What is wrong with the bytes, from then on always.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        if let Some(error) = &self.failed {
            return Err(error.clone());
        }
        let read = self.read_frame();
        if let Err(error) = &read {
            self.failed = Some(error.clone());
            self.held = Vec::new();
        }
        read
    }

    fn read_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let rest = &self.held[self.read..];
        let Some((front, body)) = rest.split_first_chunk::<4>() else { return Ok(None) };
        let len = u32::from_le_bytes(*front) as usize;
        if len > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(len));
        }
        let Some(body) = body.get(..len) else { return Ok(None) };
        let envelope = Envelope::decode(body).map_err(|error| FrameError::Malformed(error.to_string()))?;
        check(&envelope)?;
        self.read += 4 + len;
        Ok(Some(Frame(envelope)))
    }
}

/// The bounds of an envelope's parts.
fn check(envelope: &Envelope) -> Result<(), FrameError> {
    if envelope.version != VERSION {
        return Err(FrameError::Version(envelope.version));
    }
    // Twice the voters: two lists may be told of while one replaces the other.
    if envelope.boots.len() > 2 * MAX_VOTERS {
        return Err(FrameError::Bounds("boots"));
    }
    match &envelope.body {
        None => Err(FrameError::Malformed("nothing in it".to_owned())),
        Some(Body::Raft(message)) if message.entries.len() > MAX_APPEND_ENTRIES => {
            Err(FrameError::Bounds("entries"))
        }
        Some(Body::Raft(message)) if message.context.len() > MAX_CONTEXT_BYTES => {
            Err(FrameError::Bounds("context"))
        }
        Some(Body::RejoinResponse(welcome)) if welcome.floors.len() > MAX_PEERS => {
            Err(FrameError::Bounds("floors"))
        }
        Some(Body::ForwardedProposal(propose))
            if propose.proposal.as_ref().is_some_and(|record| record.data.len() > MAX_PROPOSAL_BYTES) =>
        {
            Err(FrameError::Bounds("proposal"))
        }
        Some(_) => Ok(()),
    }
}
