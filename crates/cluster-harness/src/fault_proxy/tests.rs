//! Tests of the fault proxy on real sockets.

use super::*;
use std::io::{Read, Write};
use std::net::{TcpListener as Listener, TcpStream as Stream, UdpSocket as Socket};

/// Read timeout for data that must arrive; long enough for a busy machine.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which a test waits for data that must not arrive.
const SILENCE_TIME: Duration = Duration::from_millis(150);

/// A connection through the fault proxy from `a` to `s`: the path, the client's socket and the server's
/// socket.
fn connect(faults: &Faults) -> (TcpPath, Stream, Stream) {
    let server = Listener::bind("127.0.0.1:0").expect("a port");
    let path = tcp(faults, "a", "s", server.local_addr().expect("an address")).expect("a path");
    let client = Stream::connect(path.address).expect("connected");
    let (server_end, _) = server.accept().expect("accepted");
    for s in [&client, &server_end] {
        s.set_read_timeout(Some(READ_TIMEOUT)).expect("set");
    }
    (path, client, server_end)
}

fn assert_forwarded(from: &mut Stream, to: &mut Stream) {
    from.write_all(b"hello").expect("written");
    let mut got = [0; 5];
    to.read_exact(&mut got).expect("read");
    assert_eq!(&got, b"hello");
}

fn assert_silent(to: &mut Stream) {
    to.set_read_timeout(Some(SILENCE_TIME)).expect("set");
    let got = to.read(&mut [0; 8]).expect_err("nothing comes");
    assert!(matches!(got.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut), "{got}");
    to.set_read_timeout(Some(READ_TIMEOUT)).expect("set");
}

#[test]
fn a_one_way_partition_holds_data_until_it_is_healed() {
    let faults = Faults::new(1);
    let (_path, mut client, mut server_end) = connect(&faults);
    assert_forwarded(&mut client, &mut server_end);
    faults.set_rule("a", "s", Rule { partition: true, ..Rule::default() });
    client.write_all(b"hello").expect("written");
    assert_silent(&mut server_end);
    assert_forwarded(&mut server_end, &mut client);
    faults.heal();
    let mut got = [0; 5];
    server_end.read_exact(&mut got).expect("held data");
    assert_eq!(&got, b"hello");
}

#[test]
fn a_half_close_ends_one_direction_and_a_close_both() {
    let faults = Faults::new(1);
    let (_path, mut client, mut server_end) = connect(&faults);
    assert_forwarded(&mut client, &mut server_end);
    faults.cut("a", "s", ConnectionCut::HalfClose);
    assert_eq!(server_end.read(&mut [0; 8]).expect("the end"), 0);
    assert_forwarded(&mut server_end, &mut client);
    faults.cut("s", "a", ConnectionCut::Close);
    assert!(matches!(client.read(&mut [0; 8]), Ok(0) | Err(_)), "the other direction ends, too");
}

#[test]
fn garbled_data_differs_in_one_byte_and_arrives_after_the_delay() {
    let faults = Faults::new(1);
    let (_path, mut client, mut server_end) = connect(&faults);
    faults.set_rule("a", "s", Rule { garble: 1.0, delay_ms: 40.0, ..Rule::default() });
    let started = std::time::Instant::now();
    client.write_all(b"hello").expect("written");
    let mut got = [0; 5];
    server_end.read_exact(&mut got).expect("read");
    assert!(started.elapsed() >= Duration::from_millis(40));
    assert_eq!(got.iter().zip(b"hello").filter(|(a, b)| a != b).count(), 1, "{got:?}");
}

#[test]
fn refused_connections_are_closed_before_they_reach_the_target() {
    let faults = Faults::new(1);
    let (path, _client, _served) = connect(&faults);
    faults.set_rule("a", "s", Rule { refuse: true, ..Rule::default() });
    let mut next = Stream::connect(path.address).expect("accepted by the kernel");
    next.set_read_timeout(Some(READ_TIMEOUT)).expect("set");
    assert!(matches!(next.read(&mut [0; 8]), Ok(0) | Err(_)));
}

#[test]
fn datagrams_keep_their_sender_and_follow_the_rule_of_their_direction() {
    let faults = Faults::new(3);
    let net = UdpNet::new(&faults);
    let socket = || Socket::bind("127.0.0.1:0").expect("a port");
    let (a, b) = (socket(), socket());
    let address_a = net.join("a", a.local_addr().expect("an address")).expect("joined");
    let address_b = net.join("b", b.local_addr().expect("an address")).expect("joined");
    for s in [&a, &b] {
        s.set_read_timeout(Some(READ_TIMEOUT)).expect("set");
    }
    let mut got = [0; 16];
    a.send_to(b"one", address_b).expect("sent");
    assert_eq!(b.recv_from(&mut got).expect("received"), (3, address_a));
    b.send_to(b"two", address_a).expect("sent");
    assert_eq!(a.recv_from(&mut got).expect("received"), (3, address_b));
    // A partition in one direction does not affect the other.
    faults.set_rule("a", "b", Rule { partition: true, ..Rule::default() });
    a.send_to(b"gone", address_b).expect("sent");
    b.set_read_timeout(Some(SILENCE_TIME)).expect("set");
    assert!(b.recv_from(&mut got).is_err());
    b.send_to(b"here", address_a).expect("sent");
    assert_eq!(a.recv_from(&mut got).expect("received").0, 4);
    // 30% of the datagrams are dropped, by the seed.
    faults.set_rule("b", "a", Rule { drop: 0.3, ..Rule::default() });
    (0..200u8).for_each(|i| _ = b.send_to(&[i], address_a).expect("sent"));
    a.set_read_timeout(Some(Duration::from_millis(500))).expect("set");
    let received = std::iter::from_fn(|| a.recv_from(&mut got).ok()).count();
    assert!((100..=180).contains(&received), "{received} of 200");
}

#[test]
fn a_rule_applies_to_one_direction_and_the_most_specific_one_wins() {
    let faults = Faults::new(1);
    for (party, group) in [("n0", "a"), ("n1", "a"), ("n2", "b")] {
        faults.set_group(party, group);
    }
    let partition = Rule { partition: true, ..Rule::default() };
    faults.set_rule("a", "b", partition);
    assert!(
        faults.rule("n0", "n2").partition
            && !faults.rule("n2", "n0").partition
            && !faults.rule("n0", "n1").partition
    );
    // A more specific rule takes precedence.
    faults.set_rule("n1", "b", Rule::default());
    faults.set_rule("n0", "n1", partition);
    assert!(!faults.rule("n1", "n2").partition && faults.rule("n0", "n1").partition);
    faults.heal();
    assert!(!faults.rule("n0", "n2").partition);
}

#[test]
fn a_blackhole_accepts_new_connections_and_leaves_open_ones_working() {
    let faults = Faults::new(1);
    let (path, mut client, mut server_end) = connect(&faults);
    faults.set_rule("a", "s", Rule { blackhole: true, ..Rule::default() });
    let mut next = Stream::connect(path.address).expect("accepted by the kernel");
    next.write_all(b"hello").expect("written");
    assert_silent(&mut next);
    assert_forwarded(&mut client, &mut server_end);
}

#[test]
fn a_reset_reaches_the_client_as_an_error() {
    let faults = Faults::new(1);
    let (_path, mut client, mut server_end) = connect(&faults);
    assert_forwarded(&mut client, &mut server_end);
    faults.cut("a", "s", ConnectionCut::Reset);
    let ended = client.read(&mut [0; 8]).expect_err("no orderly end");
    assert_eq!(ended.kind(), std::io::ErrorKind::ConnectionReset);
}

/// 4,000 bytes at 10,000 bytes per second take at least 0.4 s; on a busy machine they may take longer.
#[test]
fn a_rate_limited_route_stays_within_its_rate() {
    let faults = Faults::new(1);
    let (_path, mut client, mut server_end) = connect(&faults);
    faults.set_rule("a", "s", Rule { bytes_s: 10_000.0, ..Rule::default() });
    let started = std::time::Instant::now();
    client.write_all(&[7; 4_000]).expect("written");
    server_end.read_exact(&mut [0; 4_000]).expect("all of it");
    assert!(started.elapsed() >= Duration::from_millis(400), "{:?}", started.elapsed());
    assert_forwarded(&mut server_end, &mut client);
}
