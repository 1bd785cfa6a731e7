//! Encoding of messages as datagrams ([`crate::wire`]).

use crate::config::MAX_NAME_BYTES;
use crate::gossip_payload::{GossipPayload, MAX_ENGINES};
use crate::message::{Member, MemberState, Message, MessageKind, Update};
use crate::wire::{
    CRC_BYTES, KIND_ACK, KIND_DIGEST, KIND_GOSSIP, KIND_NACK, KIND_PING, KIND_PING_REQUEST, KIND_QUERY,
    KIND_VIEW, MAGIC, MAX_DATAGRAM_BYTES, MAX_UPDATES, UPDATE_ALIVE, UPDATE_DEAD, UPDATE_LEFT,
    UPDATE_PAYLOAD, UPDATE_SUSPECT, VERSION,
};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// Initial capacity for an encoded update, in bytes: more than nearly all updates take.
const TYPICAL_UPDATE_BYTES: usize = 128;

/// A message encoded as a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedDatagram {
    /// Bytes of the datagram, at most [`MAX_DATAGRAM_BYTES`].
    pub bytes: Vec<u8>,
    /// Number of updates that did not fit; these are the last ones of the message.
    pub updates_left_out: usize,
}

/// Encodes a message. Updates that do not fit are left out.
pub fn encode(message: &Message) -> EncodedDatagram {
    let mut writer = Writer(Vec::with_capacity(MAX_DATAGRAM_BYTES));
    writer.0.extend_from_slice(&MAGIC);
    writer.u8(VERSION);
    writer.u8(kind_code(&message.kind));
    writer.text(&message.sender.name);
    writer.u64(message.sender.generation);
    writer.address(message.sender.address);
    writer.kind_fields(&message.kind);
    let count_offset = writer.0.len();
    writer.u8(0);
    let mut written_count = 0;
    for update in message.updates.iter().take(MAX_UPDATES) {
        let update_offset = writer.0.len();
        writer.update(update);
        if writer.0.len() + CRC_BYTES > MAX_DATAGRAM_BYTES {
            writer.0.truncate(update_offset);
            break;
        }
        written_count += 1;
    }
    writer.0[count_offset] = written_count as u8;
    if matches!(message.kind, MessageKind::Query { .. }) {
        writer.0.resize(MAX_DATAGRAM_BYTES - CRC_BYTES, 0);
    }
    let crc = crc32fast::hash(&writer.0);
    writer.u32(crc);
    EncodedDatagram { bytes: writer.0, updates_left_out: message.updates.len() - written_count }
}

/// Size of an update in a datagram, in bytes.
pub fn encoded_size(update: &Update) -> usize {
    let mut writer = Writer(Vec::with_capacity(TYPICAL_UPDATE_BYTES));
    writer.update(update);
    writer.0.len()
}

fn kind_code(kind: &MessageKind) -> u8 {
    match kind {
        MessageKind::Ping { .. } => KIND_PING,
        MessageKind::Ack { .. } => KIND_ACK,
        MessageKind::PingRequest { .. } => KIND_PING_REQUEST,
        MessageKind::Nack { .. } => KIND_NACK,
        MessageKind::Gossip => KIND_GOSSIP,
        MessageKind::Digest { .. } => KIND_DIGEST,
        MessageKind::Query { .. } => KIND_QUERY,
        MessageKind::View { .. } => KIND_VIEW,
    }
}

fn state_code(state: MemberState) -> u8 {
    match state {
        MemberState::Alive => UPDATE_ALIVE,
        MemberState::Suspect => UPDATE_SUSPECT,
        MemberState::Dead => UPDATE_DEAD,
        MemberState::Left => UPDATE_LEFT,
    }
}

struct Writer(Vec<u8>);

impl Writer {
    fn u8(&mut self, value: u8) {
        self.0.push(value);
    }

    fn u32(&mut self, value: u32) {
        self.0.extend_from_slice(&value.to_be_bytes());
    }

    fn u64(&mut self, value: u64) {
        self.0.extend_from_slice(&value.to_be_bytes());
    }

    fn text(&mut self, text: &str) {
        // Truncated at a character boundary; the settings reject names that are too long.
        let mut end = text.len().min(MAX_NAME_BYTES);
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        self.u8(end as u8);
        self.0.extend_from_slice(&text.as_bytes()[..end]);
    }

    fn address(&mut self, address: SocketAddr) {
        let v4 = match address {
            SocketAddr::V4(v4) => v4,
            // The settings allow IPv4 only; any other address is written as unspecified.
            SocketAddr::V6(_) => SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
        };
        self.0.extend_from_slice(&v4.ip().octets());
        self.0.extend_from_slice(&v4.port().to_be_bytes());
    }

    fn kind_fields(&mut self, kind: &MessageKind) {
        match kind {
            MessageKind::Ping { sequence, target } => {
                self.u32(*sequence);
                self.text(target);
            }
            MessageKind::Ack { sequence } | MessageKind::Nack { sequence } => self.u32(*sequence),
            MessageKind::PingRequest { sequence, target, address } => {
                self.u32(*sequence);
                self.text(target);
                self.address(*address);
            }
            MessageKind::Gossip => {}
            MessageKind::Digest { digest, member_count, is_reply } => {
                self.u64(*digest);
                self.u32(*member_count);
                self.u8(u8::from(*is_reply));
            }
            MessageKind::Query { offset } => self.u32(*offset),
            MessageKind::View { offset, total } => {
                self.u32(*offset);
                self.u32(*total);
            }
        }
    }

    fn update(&mut self, update: &Update) {
        match update {
            Update::Member { member, reported_by } => {
                self.member(member);
                self.text(reported_by);
            }
            Update::Payload { member, generation, payload } => {
                self.u8(UPDATE_PAYLOAD);
                self.text(member);
                self.u64(*generation);
                self.payload(payload);
            }
        }
    }

    fn member(&mut self, member: &Member) {
        self.u8(state_code(member.state));
        self.text(&member.name);
        self.u64(member.generation);
        self.u32(member.incarnation);
        self.address(member.address);
        self.text(&member.zone);
        self.text(&member.region);
    }

    fn payload(&mut self, payload: &GossipPayload) {
        self.u32(payload.version);
        self.u32(payload.admitted_requests);
        self.u32(payload.retries);
        let unreachable = &payload.unreachable_engines[..payload.unreachable_engines.len().min(MAX_ENGINES)];
        self.u8(unreachable.len() as u8);
        for engine in unreachable {
            self.u64(*engine);
        }
        let warmup = &payload.warmup_work[..payload.warmup_work.len().min(MAX_ENGINES)];
        self.u8(warmup.len() as u8);
        for work in warmup {
            self.u64(work.engine);
            self.u32(work.work_ms);
        }
    }
}
