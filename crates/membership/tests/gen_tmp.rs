mod common;
use common::{Net, S};
use sprucelink_membership::codec::{self, *};
use sprucelink_membership::facts::Facts;
use sprucelink_membership::terms::Protocol;
use sprucelink_membership::Timestamp;
use std::fmt::Write;
use std::net::SocketAddr;
#[test]
fn gen() {
    let at = |p: u16| SocketAddr::from(([10, 1, 2, 3], p));
    let member = |state, n: &str| {
        Update::Member(
            Member {
                name: n.into(),
                life: 1_700_000_000_123,
                incarnation: 7,
                state,
                address: at(7001),
                zone: "hall-a".into(),
                region: "north".into(),
            },
            "n9".into(),
        )
    };
    let facts = Update::Facts(
        "n4".into(),
        1_700_000_000_456,
        Facts {
            version: 3,
            taken: 200,
            spent: 17,
            unreachable: vec![1, u64::MAX],
            cold: vec![(5, 900), (6, 1)],
        },
    );
    let all = vec![
        member(State::Alive, "n1"),
        member(State::Suspect, "n2"),
        member(State::Dead, "n3"),
        member(State::Left, "é"),
        facts,
    ];
    let kinds = [
        ("ping", Kind::Ping(41, "n2".into())),
        ("ack", Kind::Ack(42)),
        ("ping-req", Kind::PingReq(43, "n2".into(), at(9))),
        ("nack", Kind::Nack(44)),
        ("gossip", Kind::Gossip),
        ("digest", Kind::Digest(0x0123_4567_89ab_cdef, 12, true)),
        ("query", Kind::Query(5)),
        ("view", Kind::View(6, 300)),
    ];
    let mut out = String::new();
    for (name, kind) in kinds {
        let updates = if name == "query" { Vec::new() } else { all.clone() };
        let (bytes, left) =
            codec::write(&Message { from: ("n7".into(), 1_700_000_000_789, at(7000)), kind, updates });
        assert_eq!(left, 0);
        let mut hex = String::new();
        bytes.iter().for_each(|b| write!(hex, "{b:02x}").unwrap());
        writeln!(out, "{name} {hex}").unwrap();
    }
    std::fs::write("tests/golden/datagrams-v1.txt", out).unwrap();
}
#[test]
fn run() {
    for seed in [1, 77] {
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
        if let Some(n) = &mut net.nodes[6] {
            n.leave();
        }
        net.run(Timestamp::from_micros(150 * S));
        println!("TRACE {seed} {} {} {} {:016x}", net.bytes, net.messages, net.changes.len(), net.trace);
    }
}
