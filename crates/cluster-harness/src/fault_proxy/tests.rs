//! The fault proxy on real sockets.

use super::*;
use std::io::{Read, Write};
use std::net::{TcpListener as Listener, TcpStream as Stream, UdpSocket as Socket};

/// Long enough for what must come on a busy machine.
const PATIENCE: Duration = Duration::from_secs(20);
/// What must not come is waited for this long: its absence cannot be shown otherwise.
const QUIET: Duration = Duration::from_millis(150);

/// A connection through the fault proxy: the client's end and the server's.
fn pair(faults: &Faults) -> (TcpPath, Stream, Stream) {
    let server = Listener::bind("127.0.0.1:0").expect("a port");
    let path = tcp(faults, "a", "s", server.local_addr().expect("an address")).expect("a path");
    let client = Stream::connect(path.address).expect("connected");
    let (served, _) = server.accept().expect("accepted");
    for s in [&client, &served] {
        s.set_read_timeout(Some(PATIENCE)).expect("set");
    }
    (path, client, served)
}

fn passes(from: &mut Stream, to: &mut Stream) {
    from.write_all(b"hello").expect("written");
    let mut got = [0; 5];
    to.read_exact(&mut got).expect("read");
    assert_eq!(&got, b"hello");
}

fn silent(to: &mut Stream) {
    to.set_read_timeout(Some(QUIET)).expect("set");
    let got = to.read(&mut [0; 8]).expect_err("nothing comes");
    assert!(matches!(got.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut), "{got}");
    to.set_read_timeout(Some(PATIENCE)).expect("set");
}

#[test]
fn one_way_of_a_connection_is_parted_and_what_waited_comes_once_healed() {
    let faults = Faults::new(1);
    let (_path, mut client, mut served) = pair(&faults);
    passes(&mut client, &mut served);
    faults.set("a", "s", Rule { partition: true, ..Rule::default() });
    client.write_all(b"hello").expect("written");
    silent(&mut served);
    passes(&mut served, &mut client);
    faults.heal();
    let mut got = [0; 5];
    served.read_exact(&mut got).expect("what waited");
    assert_eq!(&got, b"hello");
}

#[test]
fn a_half_close_ends_one_way_and_a_close_both() {
    let faults = Faults::new(1);
    let (_path, mut client, mut served) = pair(&faults);
    passes(&mut client, &mut served);
    faults.cut("a", "s", ConnectionCut::HalfClose);
    assert_eq!(served.read(&mut [0; 8]).expect("the end"), 0);
    passes(&mut served, &mut client);
    faults.cut("s", "a", ConnectionCut::Close);
    assert!(matches!(client.read(&mut [0; 8]), Ok(0) | Err(_)), "the other way ends, too");
}

#[test]
fn what_is_garbled_differs_in_one_byte_and_a_delay_holds() {
    let faults = Faults::new(1);
    let (_path, mut client, mut served) = pair(&faults);
    faults.set("a", "s", Rule { garble: 1.0, delay_ms: 40.0, ..Rule::default() });
    let begun = std::time::Instant::now();
    client.write_all(b"hello").expect("written");
    let mut got = [0; 5];
    served.read_exact(&mut got).expect("read");
    assert!(begun.elapsed() >= Duration::from_millis(40));
    assert_eq!(got.iter().zip(b"hello").filter(|(a, b)| a != b).count(), 1, "{got:?}");
}

#[test]
fn refused_connections_are_closed_before_they_reach_the_target() {
    let faults = Faults::new(1);
    let (path, _client, _served) = pair(&faults);
    faults.set("a", "s", Rule { refuse: true, ..Rule::default() });
    let mut next = Stream::connect(path.address).expect("the kernel takes it");
    next.set_read_timeout(Some(PATIENCE)).expect("set");
    assert!(matches!(next.read(&mut [0; 8]), Ok(0) | Err(_)));
}

#[test]
fn datagrams_show_their_sender_and_go_by_the_rule_of_their_way() {
    let faults = Faults::new(3);
    let net = UdpNet::new(&faults);
    let socket = || Socket::bind("127.0.0.1:0").expect("a port");
    let (a, b) = (socket(), socket());
    let at_a = net.join("a", a.local_addr().expect("an address")).expect("joined");
    let at_b = net.join("b", b.local_addr().expect("an address")).expect("joined");
    for s in [&a, &b] {
        s.set_read_timeout(Some(PATIENCE)).expect("set");
    }
    let mut got = [0; 16];
    a.send_to(b"one", at_b).expect("sent");
    assert_eq!(b.recv_from(&mut got).expect("received"), (3, at_a));
    b.send_to(b"two", at_a).expect("sent");
    assert_eq!(a.recv_from(&mut got).expect("received"), (3, at_b));
    // One way is parted, the other is not.
    faults.set("a", "b", Rule { partition: true, ..Rule::default() });
    a.send_to(b"gone", at_b).expect("sent");
    b.set_read_timeout(Some(QUIET)).expect("set");
    assert!(b.recv_from(&mut got).is_err());
    b.send_to(b"here", at_a).expect("sent");
    assert_eq!(a.recv_from(&mut got).expect("received").0, 4);
    // A third is lost, by the seed.
    faults.set("b", "a", Rule { drop: 0.3, ..Rule::default() });
    (0..200u8).for_each(|i| _ = b.send_to(&[i], at_a).expect("sent"));
    a.set_read_timeout(Some(Duration::from_millis(500))).expect("set");
    let came = std::iter::from_fn(|| a.recv_from(&mut got).ok()).count();
    assert!((100..=180).contains(&came), "{came} of 200");
}

#[test]
fn one_way_parted_by_name_leaves_the_other_way_and_other_pairs() {
    let faults = Faults::new(1);
    for (party, group) in [("n0", "a"), ("n1", "a"), ("n2", "b")] {
        faults.home(party, group);
    }
    let parted = Rule { partition: true, ..Rule::default() };
    faults.set("a", "b", parted);
    assert!(
        faults.rule("n0", "n2").partition
            && !faults.rule("n2", "n0").partition
            && !faults.rule("n0", "n1").partition
    );
    // The nearer rule comes first.
    faults.set("n1", "b", Rule::default());
    faults.set("n0", "n1", parted);
    assert!(!faults.rule("n1", "n2").partition && faults.rule("n0", "n1").partition);
    faults.heal();
    assert!(!faults.rule("n0", "n2").partition);
}

#[test]
fn a_blackhole_takes_new_connections_and_tells_the_target_nothing() {
    let faults = Faults::new(1);
    let (path, mut client, mut served) = pair(&faults);
    faults.set("a", "s", Rule { blackhole: true, ..Rule::default() });
    let mut next = Stream::connect(path.address).expect("the kernel takes it");
    next.write_all(b"hello").expect("written");
    silent(&mut next);
    passes(&mut client, &mut served);
}

#[test]
fn a_reset_loses_what_was_under_way_and_says_so() {
    let faults = Faults::new(1);
    let (_path, mut client, mut served) = pair(&faults);
    passes(&mut client, &mut served);
    faults.cut("a", "s", ConnectionCut::Reset);
    let ended = client.read(&mut [0; 8]).expect_err("no orderly end");
    assert_eq!(ended.kind(), std::io::ErrorKind::ConnectionReset);
}

/// 4,000 bytes at 10,000 a second: 0.4 s and not less. How much more, a busy machine decides.
#[test]
fn a_slow_way_carries_no_more_than_its_rate() {
    let faults = Faults::new(1);
    let (_path, mut client, mut served) = pair(&faults);
    faults.set("a", "s", Rule { bytes_s: 10_000.0, ..Rule::default() });
    let begun = std::time::Instant::now();
    client.write_all(&[7; 4_000]).expect("written");
    served.read_exact(&mut [0; 4_000]).expect("all of it");
    assert!(begun.elapsed() >= Duration::from_millis(400), "{:?}", begun.elapsed());
    passes(&mut served, &mut client);
}
