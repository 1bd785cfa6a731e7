//! Decoding of datagrams ([`crate::wire`]). Datagrams come from the network and may be hostile: decoding is
//! bounded by the datagram's length, never panics, and rejects every field beyond its bound.

use crate::config::MAX_NAME_BYTES;
use crate::gossip_payload::{GossipPayload, WarmupWork, MAX_ENGINES};
use crate::message::{Member, MemberState, Message, MessageKind, Sender, Update};
use crate::wire::{
    CRC_BYTES, KIND_ACK, KIND_DIGEST, KIND_GOSSIP, KIND_NACK, KIND_OFFSET, KIND_PING, KIND_PING_REQUEST,
    KIND_QUERY, KIND_VIEW, MAGIC, MAX_DATAGRAM_BYTES, UPDATE_ALIVE, UPDATE_DEAD, UPDATE_LEFT, UPDATE_PAYLOAD,
    UPDATE_SUSPECT, VERSION, VERSION_OFFSET,
};
use std::net::SocketAddr;
use thiserror::Error;

/// Minimum length of a datagram, in bytes: magic number, version, kind and checksum.
const MIN_DATAGRAM_BYTES: usize = 8;

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The datagram is not of this protocol, or of another version of it.
    #[error("not a message of this protocol and version")]
    ForeignProtocol,
    /// The checksum does not match.
    #[error("the checksum does not match")]
    ChecksumMismatch,
    /// A field is missing, longer than its bound, or has a value that no message has.
    #[error("field {field} is missing, too long or out of range")]
    InvalidField {
        /// Name of the field in the wire format.
        field: &'static str,
    },
}

/// Decodes a datagram.
///
/// # Errors
/// The reason for the rejection; no part of a rejected datagram is used.
pub fn decode(datagram: &[u8]) -> Result<Message, DecodeError> {
    let is_valid_length = (MIN_DATAGRAM_BYTES..=MAX_DATAGRAM_BYTES).contains(&datagram.len());
    if !is_valid_length || !datagram.starts_with(&MAGIC) || datagram[VERSION_OFFSET] != VERSION {
        return Err(DecodeError::ForeignProtocol);
    }
    let (body, crc) = datagram.split_at(datagram.len() - CRC_BYTES);
    if crc32fast::hash(body).to_be_bytes() != crc {
        return Err(DecodeError::ChecksumMismatch);
    }
    let mut reader = Reader(&body[KIND_OFFSET..]);
    let kind_code = reader.u8("kind")?;
    let sender = Sender {
        name: reader.name("from")?,
        generation: reader.u64("life")?,
        address: reader.address("address")?,
    };
    // A query must be as long as the longest answer.
    if kind_code == KIND_QUERY && datagram.len() != MAX_DATAGRAM_BYTES {
        return Err(invalid("kind"));
    }
    let kind = reader.kind_fields(kind_code)?;
    let count = reader.u8("updates")?;
    let updates = (0..count).map(|_| reader.update()).collect::<Result<Vec<_>, _>>()?;
    if !reader.0.is_empty() && !matches!(kind, MessageKind::Query { .. }) {
        return Err(invalid("end"));
    }
    Ok(Message { sender, kind, updates })
}

fn invalid(field: &'static str) -> DecodeError {
    DecodeError::InvalidField { field }
}

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, length: usize, field: &'static str) -> Result<&'a [u8], DecodeError> {
        let (head, rest) = self.0.split_at_checked(length).ok_or(invalid(field))?;
        self.0 = rest;
        Ok(head)
    }

    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], DecodeError> {
        let mut bytes = [0; N];
        bytes.copy_from_slice(self.take(N, field)?);
        Ok(bytes)
    }

    fn u8(&mut self, field: &'static str) -> Result<u8, DecodeError> {
        self.array::<1>(field).map(|[byte]| byte)
    }

    fn u32(&mut self, field: &'static str) -> Result<u32, DecodeError> {
        self.array(field).map(u32::from_be_bytes)
    }

    fn u64(&mut self, field: &'static str) -> Result<u64, DecodeError> {
        self.array(field).map(u64::from_be_bytes)
    }

    fn text(&mut self, field: &'static str) -> Result<String, DecodeError> {
        let length = usize::from(self.u8(field)?);
        if length > MAX_NAME_BYTES {
            return Err(invalid(field));
        }
        let text = std::str::from_utf8(self.take(length, field)?).map_err(|_| invalid(field))?;
        // Names are written to log lines, which a control character would break.
        if text.chars().any(char::is_control) {
            return Err(invalid(field));
        }
        Ok(text.to_owned())
    }

    fn name(&mut self, field: &'static str) -> Result<String, DecodeError> {
        let name = self.text(field)?;
        if name.is_empty() {
            return Err(invalid(field));
        }
        Ok(name)
    }

    fn address(&mut self, field: &'static str) -> Result<SocketAddr, DecodeError> {
        let [a, b, c, d, port_high, port_low] = self.array::<6>(field)?;
        let port = u16::from_be_bytes([port_high, port_low]);
        Ok(SocketAddr::from(([a, b, c, d], port)))
    }

    fn kind_fields(&mut self, kind_code: u8) -> Result<MessageKind, DecodeError> {
        Ok(match kind_code {
            KIND_PING => MessageKind::Ping { sequence: self.u32("seq")?, target: self.name("to")? },
            KIND_ACK => MessageKind::Ack { sequence: self.u32("seq")? },
            KIND_PING_REQUEST => MessageKind::PingRequest {
                sequence: self.u32("seq")?,
                target: self.name("to")?,
                address: self.address("at")?,
            },
            KIND_NACK => MessageKind::Nack { sequence: self.u32("seq")? },
            KIND_GOSSIP => MessageKind::Gossip,
            KIND_DIGEST => MessageKind::Digest {
                digest: self.u64("digest")?,
                member_count: self.u32("count")?,
                is_reply: self.u8("answered")? != 0,
            },
            KIND_QUERY => MessageKind::Query { offset: self.u32("place")? },
            KIND_VIEW => MessageKind::View { offset: self.u32("place")?, total: self.u32("of")? },
            _ => return Err(invalid("kind")),
        })
    }

    fn update(&mut self) -> Result<Update, DecodeError> {
        let state = match self.u8("state")? {
            UPDATE_ALIVE => MemberState::Alive,
            UPDATE_SUSPECT => MemberState::Suspect,
            UPDATE_DEAD => MemberState::Dead,
            UPDATE_LEFT => MemberState::Left,
            UPDATE_PAYLOAD => return self.payload_update(),
            _ => return Err(invalid("state")),
        };
        let member = Member {
            state,
            name: self.name("member")?,
            generation: self.u64("life")?,
            incarnation: self.u32("incarnation")?,
            address: self.address("address")?,
            zone: self.text("zone")?,
            region: self.text("region")?,
        };
        Ok(Update::Member { member, reported_by: self.text("by")? })
    }

    fn payload_update(&mut self) -> Result<Update, DecodeError> {
        let member = self.name("member")?;
        let generation = self.u64("life")?;
        let mut payload = GossipPayload {
            version: self.u32("version")?,
            admitted_requests: self.u32("taken")?,
            retries: self.u32("spent")?,
            ..GossipPayload::default()
        };
        for _ in 0..self.engine_count("unreachable")? {
            payload.unreachable_engines.push(self.u64("unreachable")?);
        }
        for _ in 0..self.engine_count("cold")? {
            let work = WarmupWork { engine: self.u64("cold")?, work_ms: self.u32("cold")? };
            payload.warmup_work.push(work);
        }
        Ok(Update::Payload { member, generation, payload })
    }

    fn engine_count(&mut self, field: &'static str) -> Result<usize, DecodeError> {
        let count = usize::from(self.u8(field)?);
        if count > MAX_ENGINES {
            return Err(invalid(field));
        }
        Ok(count)
    }
}
