//! The wire format must not change: datagrams of an earlier release are decoded and encoded bit for bit, and
//! a simulated run sends the same datagrams as with that release.
mod common;

use common::SimulatedNetwork;
use sprucelink_membership::GossipPayload;
use sprucelink_membership::ProtocolConfig;
use sprucelink_membership::Timestamp;
use sprucelink_membership::{
    decode, encode, EncodedDatagram, Member, MemberState, Message, MessageKind, Sender, Update, WarmupWork,
};
use std::net::SocketAddr;

/// One datagram of each kind, written by an earlier release. Each line is `kind hex`.
const EARLIER_DATAGRAMS: &str = include_str!("golden/datagrams-v1.txt");

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 2, 3], port))
}

fn member_update(state: MemberState, name: &str) -> Update {
    let member = Member {
        name: name.into(),
        generation: 1_700_000_000_123,
        incarnation: 7,
        state,
        address: address(7001),
        zone: "hall-a".into(),
        region: "north".into(),
    };
    Update::Member { member, reported_by: "n9".into() }
}

fn updates() -> Vec<Update> {
    let payload = GossipPayload {
        version: 3,
        admitted_requests: 200,
        retries: 17,
        unreachable_engines: vec![1, u64::MAX],
        warmup_work: vec![WarmupWork { engine: 5, work_ms: 900 }, WarmupWork { engine: 6, work_ms: 1 }],
    };
    vec![
        member_update(MemberState::Alive, "n1"),
        member_update(MemberState::Suspect, "n2"),
        member_update(MemberState::Dead, "n3"),
        member_update(MemberState::Left, "é"),
        Update::Payload { member: "n4".into(), generation: 1_700_000_000_456, payload },
    ]
}

fn message(kind_name: &str) -> Message {
    let kind = match kind_name {
        "ping" => MessageKind::Ping { sequence: 41, target: "n2".into() },
        "ack" => MessageKind::Ack { sequence: 42 },
        "ping-req" => MessageKind::PingRequest { sequence: 43, target: "n2".into(), address: address(9) },
        "nack" => MessageKind::Nack { sequence: 44 },
        "gossip" => MessageKind::Gossip,
        "digest" => MessageKind::Digest { digest: 0x0123_4567_89ab_cdef, member_count: 12, is_reply: true },
        "query" => MessageKind::Query { offset: 5 },
        "view" => MessageKind::View { offset: 6, total: 300 },
        other => panic!("unknown kind {other}"),
    };
    let updates = if kind_name == "query" { Vec::new() } else { updates() };
    Message {
        sender: Sender { name: "n7".into(), generation: 1_700_000_000_789, address: address(7000) },
        kind,
        updates,
    }
}

fn decode_hex(hex: &str) -> Vec<u8> {
    let byte = |index| u8::from_str_radix(&hex[index..index + 2], 16).expect("hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

#[test]
fn datagram_of_an_earlier_release_is_decoded_and_encoded_bit_for_bit() {
    let mut kind_count = 0;
    for line in EARLIER_DATAGRAMS.lines() {
        let (kind, hex) = line.split_once(' ').expect("kind and hex");
        let bytes = decode_hex(hex);
        assert_eq!(decode(&bytes).as_ref(), Ok(&message(kind)), "{kind}");
        let expected = EncodedDatagram { bytes, updates_left_out: 0 };
        assert_eq!(encode(&message(kind)), expected, "{kind}");
        kind_count += 1;
    }
    assert_eq!(kind_count, 8);
}

/// The expected values were recorded with an earlier release: the number of bytes, datagrams and membership
/// events, and a digest of all datagrams.
#[test]
fn simulated_run_sends_the_same_datagrams_as_an_earlier_release() {
    let recorded = [
        (1, (1_629_728, 21_512, 2_646, 0x0d06_3898_76a6_ad07)),
        (77, (1_595_921, 20_007, 2_561, 0xd3ef_9589_8267_8a5b)),
    ];
    for (seed, expected) in recorded {
        let mut network = SimulatedNetwork::new(20, ProtocolConfig::default(), seed);
        network.loss = 0.15;
        network.uses_codec = true;
        network.run(Timestamp::from_secs(30));
        network.crash(7);
        network.is_stopped[4] = true;
        network.partition = Some((0..20).map(|i| i >= 14).collect());
        network.run(Timestamp::from_secs(90));
        network.partition = None;
        network.resume(4);
        network.start(7);
        if let Some(node) = &mut network.nodes[6] {
            node.leave();
        }
        network.run(Timestamp::from_secs(150));
        assert_eq!(
            (network.bytes, network.messages, network.events.len(), network.datagram_digest),
            expected,
            "seed {seed}"
        );
    }
}
