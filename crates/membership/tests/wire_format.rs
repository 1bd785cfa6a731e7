//! The wire format stays bit for bit: datagrams of an earlier release are read and written unchanged, and a simulated
//! run sends the datagrams that it sent then.
mod common;

use common::{Net, S};
use sprucelink_membership::codec::{self, Kind, Member, Message, State, Update};
use sprucelink_membership::facts::Facts;
use sprucelink_membership::terms::Protocol;
use sprucelink_membership::Timestamp;
use std::net::SocketAddr;

/// One datagram of each kind, written by an earlier release: `kind hex` a line.
const EARLIER_DATAGRAMS: &str = include_str!("golden/datagrams-v1.txt");

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 2, 3], port))
}

fn member(state: State, name: &str) -> Update {
    let member = Member {
        name: name.into(),
        life: 1_700_000_000_123,
        incarnation: 7,
        state,
        address: address(7001),
        zone: "hall-a".into(),
        region: "north".into(),
    };
    Update::Member(member, "n9".into())
}

fn updates() -> Vec<Update> {
    let facts = Facts {
        version: 3,
        taken: 200,
        spent: 17,
        unreachable: vec![1, u64::MAX],
        cold: vec![(5, 900), (6, 1)],
    };
    vec![
        member(State::Alive, "n1"),
        member(State::Suspect, "n2"),
        member(State::Dead, "n3"),
        member(State::Left, "é"),
        Update::Facts("n4".into(), 1_700_000_000_456, facts),
    ]
}

fn message(kind_name: &str) -> Message {
    let kind = match kind_name {
        "ping" => Kind::Ping(41, "n2".into()),
        "ack" => Kind::Ack(42),
        "ping-req" => Kind::PingReq(43, "n2".into(), address(9)),
        "nack" => Kind::Nack(44),
        "gossip" => Kind::Gossip,
        "digest" => Kind::Digest(0x0123_4567_89ab_cdef, 12, true),
        "query" => Kind::Query(5),
        "view" => Kind::View(6, 300),
        other => panic!("unknown kind {other}"),
    };
    let updates = if kind_name == "query" { Vec::new() } else { updates() };
    Message { from: ("n7".into(), 1_700_000_000_789, address(7000)), kind, updates }
}

fn bytes_of(hex: &str) -> Vec<u8> {
    let byte = |index| u8::from_str_radix(&hex[index..index + 2], 16).expect("hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

#[test]
fn datagram_of_an_earlier_release_is_read_and_written_bit_for_bit() {
    let mut kinds = 0;
    for line in EARLIER_DATAGRAMS.lines() {
        let (kind, hex) = line.split_once(' ').expect("kind and hex");
        let bytes = bytes_of(hex);
        assert_eq!(codec::read(&bytes).as_ref(), Ok(&message(kind)), "{kind}");
        assert_eq!(codec::write(&message(kind)), (bytes, 0), "{kind}");
        kinds += 1;
    }
    assert_eq!(kinds, 8);
}

/// Bytes, datagrams, changes of the view, and a digest over all datagrams, recorded with an earlier release.
#[test]
fn simulated_run_sends_the_same_datagrams_as_an_earlier_release() {
    let recorded = [
        (1, (1_629_728, 21_512, 2_646, 0x0d06_3898_76a6_ad07)),
        (77, (1_595_921, 20_007, 2_561, 0xd3ef_9589_8267_8a5b)),
    ];
    for (seed, expected) in recorded {
        let mut net = Net::new(20, Protocol::default(), seed);
        net.loss = 0.15;
        net.coded = true;
        net.run(Timestamp::from_micros(30 * S));
        net.crash(7);
        net.stopped[4] = true;
        net.parted = Some((0..20).map(|i| i >= 14).collect());
        net.run(Timestamp::from_micros(90 * S));
        net.parted = None;
        net.resume(4);
        net.start(7);
        if let Some(node) = &mut net.nodes[6] {
            node.leave();
        }
        net.run(Timestamp::from_micros(150 * S));
        assert_eq!((net.bytes, net.messages, net.changes.len(), net.trace), expected, "seed {seed}");
    }
}
