//! Encoding and decoding of datagrams, including hostile ones.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sprucelink_membership::{
    decode, encode, encoded_size, DecodeError, GossipPayload, Member, MemberState, Message, MessageKind,
    Sender, Update, WarmupWork, MAX_DATAGRAM_BYTES, MAX_NAME_BYTES,
};
use std::net::SocketAddr;

/// Length of the checksum at the end of a datagram, in bytes.
const CRC_BYTES: usize = 4;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn arbitrary_name(source: &mut Gen) -> String {
    format!("n{}", u8::arbitrary(source))
}

fn arbitrary_member(source: &mut Gen) -> Member {
    let states = [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left];
    Member {
        state: *source.choose(&states).expect("the list is not empty"),
        generation: u64::arbitrary(source),
        incarnation: u32::arbitrary(source),
        zone: arbitrary_name(source),
        region: String::new(),
        address: address(u16::arbitrary(source)),
        name: arbitrary_name(source),
    }
}

fn arbitrary_payload(source: &mut Gen) -> GossipPayload {
    let unreachable_count = u8::arbitrary(source) % 16;
    let warmup_count = u8::arbitrary(source) % 16;
    let work =
        |source: &mut Gen| WarmupWork { engine: u64::arbitrary(source), work_ms: u32::arbitrary(source) };
    GossipPayload {
        version: u32::arbitrary(source),
        admitted_requests: 1,
        retries: 2,
        unreachable_engines: (0..unreachable_count).map(|_| u64::arbitrary(source)).collect(),
        warmup_work: (0..warmup_count).map(|_| work(source)).collect(),
    }
}

fn arbitrary_update(source: &mut Gen) -> Update {
    if bool::arbitrary(source) {
        Update::Member { member: arbitrary_member(source), reported_by: arbitrary_name(source) }
    } else {
        Update::Payload {
            payload: arbitrary_payload(source),
            member: arbitrary_name(source),
            generation: u64::arbitrary(source),
        }
    }
}

#[derive(Clone, Debug)]
struct AnyMessage(Message);

impl Arbitrary for AnyMessage {
    fn arbitrary(source: &mut Gen) -> AnyMessage {
        let number = u32::arbitrary(source);
        let kind = match number % 8 {
            0 => MessageKind::Ping { sequence: number, target: arbitrary_name(source) },
            1 => MessageKind::Ack { sequence: number },
            2 => MessageKind::PingRequest {
                sequence: number,
                target: arbitrary_name(source),
                address: address(7),
            },
            3 => MessageKind::Nack { sequence: number },
            4 => MessageKind::Gossip,
            5 => MessageKind::Digest {
                digest: u64::arbitrary(source),
                member_count: number,
                is_reply: bool::arbitrary(source),
            },
            6 => MessageKind::Query { offset: number },
            _ => MessageKind::View { offset: number, total: number },
        };
        let updates = (0..u8::arbitrary(source) % 6).map(|_| arbitrary_update(source)).collect();
        let sender =
            Sender { name: arbitrary_name(source), generation: u64::arbitrary(source), address: address(9) };
        AnyMessage(Message { sender, kind, updates })
    }
}

#[test]
fn encoded_message_is_decoded_unchanged() {
    fn is_unchanged(message: AnyMessage) -> bool {
        let encoded = encode(&message.0);
        let mut expected = message.0.clone();
        expected.updates.truncate(expected.updates.len() - encoded.updates_left_out);
        encoded.bytes.len() <= MAX_DATAGRAM_BYTES && decode(&encoded.bytes) == Ok(expected)
    }
    QuickCheck::new()
        .tests(500)
        .rng(Gen::from_size_and_seed(40, 3))
        .quickcheck(is_unchanged as fn(AnyMessage) -> bool);
}

/// Any bytes, and any valid message with some bytes changed and a matching checksum, are decoded or rejected
/// without a panic, and a decoded message never exceeds the limits of a datagram.
#[test]
fn hostile_datagram_is_decoded_within_bounds_or_rejected() {
    fn is_bounded(
        message: AnyMessage,
        changes: Vec<(usize, u8)>,
        removed_bytes: usize,
        garbage: Vec<u8>,
    ) -> bool {
        let _ = decode(&garbage);
        let mut bytes = encode(&message.0).bytes;
        bytes.truncate(bytes.len() - CRC_BYTES);
        for (position, value) in changes {
            let length = bytes.len();
            bytes[position % length] = value;
        }
        bytes.truncate(bytes.len().saturating_sub(removed_bytes % 40));
        let crc = crc32fast::hash(&bytes);
        bytes.extend_from_slice(&crc.to_be_bytes());
        match decode(&bytes) {
            Ok(message) => message.updates.len() <= 255 && message.sender.name.len() <= MAX_NAME_BYTES,
            Err(_) => true,
        }
    }
    QuickCheck::new()
        .tests(3_000)
        .rng(Gen::from_size_and_seed(60, 4))
        .quickcheck(is_bounded as fn(AnyMessage, Vec<(usize, u8)>, usize, Vec<u8>) -> bool);
}

#[test]
fn changed_byte_is_detected_and_a_query_is_as_long_as_the_longest_answer() {
    let sender = Sender { name: "n1".to_owned(), generation: 5, address: address(9) };
    let ack = Message { sender: sender.clone(), kind: MessageKind::Ack { sequence: 1 }, updates: Vec::new() };
    let bytes = encode(&ack).bytes;
    for index in 3..bytes.len() {
        let mut changed = bytes.clone();
        changed[index] ^= 0x10;
        assert_eq!(decode(&changed), Err(DecodeError::ChecksumMismatch), "byte {index}");
    }
    let query = Message { sender, kind: MessageKind::Query { offset: 0 }, updates: Vec::new() };
    let query = encode(&query).bytes;
    assert_eq!(query.len(), MAX_DATAGRAM_BYTES);
    assert!(decode(&query).is_ok());
}

#[test]
fn updates_that_do_not_fit_are_counted() {
    let member = Member {
        name: "n".repeat(32),
        generation: 1,
        incarnation: 1,
        state: MemberState::Alive,
        address: address(1),
        zone: "z".repeat(32),
        region: "r".repeat(32),
    };
    let updates = vec![Update::Member { member, reported_by: "b".repeat(32) }; 40];
    let update_bytes = encoded_size(&updates[0]);
    let sender = Sender { name: "a".into(), generation: 1, address: address(1) };
    let encoded = encode(&Message { sender, kind: MessageKind::Gossip, updates });
    let length = encoded.bytes.len();
    assert!(encoded.updates_left_out > 0);
    assert!(length + update_bytes > MAX_DATAGRAM_BYTES && length <= MAX_DATAGRAM_BYTES);
}
