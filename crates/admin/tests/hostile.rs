//! Clients that stay connected: silent, with a partial request, or not reading. Others are answered meanwhile.

mod common;

use common::*;
use sprucelink_admin::Limits;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Operators expect a response within 1 s; a busy machine gets more time, and still less than any idle client stays.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(5);

/// Clients that send nothing or a partial request, and stay connected.
fn open_idle_connections(at: SocketAddr, many: usize) -> Vec<TcpStream> {
    let halves: [&[u8]; 3] =
        [b"", b"GET /admin/hea", b"POST /admin/cordon HTTP/1.1\r\nContent-Length: 16\r\n\r\n{\"targ"];
    let clients = (0..many).map(|n| {
        let mut stream = connect(at);
        // It may have been evicted already.
        let _ = stream.write_all(halves[n % halves.len()]);
        stream
    });
    clients.collect()
}

#[test]
fn complete_request_is_answered_among_hundreds_of_silent_and_partial_ones() {
    let at = start(Limits { request_timeout: Duration::from_secs(20), ..Limits::default() }, 0, None);
    let crowding = std::thread::spawn(move || open_idle_connections(at, 600));
    // While they connect and while they stay: ten requests, each answered in time.
    for n in 0..10 {
        let start = Instant::now();
        let body = if n % 2 == 0 { "{\"target\":\"s-1\"}" } else { "{\"target\":\"s-2\"}" };
        assert_eq!(post(at, "/admin/cordon", body).status, 200);
        assert!(start.elapsed() < MAX_RESPONSE_TIME, "call {n} took {:?}", start.elapsed());
        std::thread::sleep(Duration::from_millis(50));
    }
    let mut clients = crowding.join().unwrap();
    assert_eq!(get(at, "/admin/stats").status, 200);
    // All but the last of them were evicted, long before their requests timed out, and got a response that says so.
    assert!(metric(at, "admin.displaced") >= 500, "{}", metric(at, "admin.displaced"));
    assert_eq!(metric(at, "admin.call_late"), 0);
    let evicted = read_response(&mut clients[1]);
    assert!(evicted.status == 503 && evicted.body.starts_with("too many callers"), "{evicted:?}");
}

#[test]
fn partial_request_gets_408_at_its_timeout_even_if_bytes_keep_arriving() {
    let due = Duration::from_millis(300);
    let at = start(Limits { request_timeout: due, ..Limits::default() }, 0, None);
    for mut client in open_idle_connections(at, 3) {
        let start = Instant::now();
        let late = read_response(&mut client);
        assert!(late.status == 408 && late.body == "call: not whole in time\n", "{late:?}");
        assert!(start.elapsed() < MAX_RESPONSE_TIME);
    }
    let mut drip = connect(at);
    let start = Instant::now();
    let mut reader = drip.try_clone().unwrap();
    let answered = std::thread::spawn(move || (read_response(&mut reader).status, Instant::now()));
    // Further bytes do not extend the timeout.
    while !answered.is_finished() && drip.write_all(b"G").is_ok() {
        std::thread::sleep(Duration::from_millis(10));
    }
    let (status, end) = answered.join().unwrap();
    assert_eq!(status, 408);
    assert!(end - start >= due / 2 && end - start < due + MAX_RESPONSE_TIME, "{:?}", end - start);
    assert_eq!(metric(at, "admin.call_late"), 4);
}

#[test]
fn response_is_complete_for_a_slow_reader_and_reset_for_one_that_never_reads() {
    let limits = Limits { max_connections: 4, response_timeout: Duration::from_secs(3), ..Limits::default() };
    let at = start(limits, 60_000, Some(4 * 1024));
    let ask = |buffer: usize| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let stream = runtime.block_on(async {
            let socket = tokio::net::TcpSocket::new_v4().unwrap();
            socket.set_recv_buffer_size(buffer as u32).unwrap();
            socket.connect(at).await.unwrap().into_std().unwrap()
        });
        stream.set_nonblocking(false).unwrap();
        let mut stream = stream;
        stream.write_all(b"GET /admin/stats HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
        stream
    };
    let (mut slow, mut never) = (ask(4 * 1024), ask(4 * 1024));
    let (mut bytes, mut some) = (Vec::new(), [0; 4_096]);
    loop {
        match slow.read(&mut some).unwrap() {
            0 => break,
            n => bytes.extend_from_slice(&some[..n]),
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let whole = parse(&bytes);
    assert!(whole.status == 200 && whole.body.len() > 60_000);
    let start = Instant::now();
    while metric(at, "admin.answer_late") == 0 {
        assert!(start.elapsed() < Duration::from_secs(20), "never reset");
        std::thread::sleep(Duration::from_millis(20));
    }
    let mut rest = Vec::new();
    assert!(never.read_to_end(&mut rest).is_err(), "{} bytes and a clean end", rest.len());
    // Connections whose responses are not read are evicted for new ones, too.
    let _stuck: Vec<TcpStream> = (0..8).map(|_| ask(4 * 1024)).collect();
    assert_eq!(get(at, "/admin/health").status, 200);
}

#[test]
fn metrics_beyond_the_response_limit_are_an_error() {
    let at = start(Limits::default(), sprucelink_admin::MAX_RESPONSE_BYTES, None);
    let over = get(at, "/admin/stats");
    assert!(over.status == 500 && over.body.starts_with("figures: "), "{over:?}");
}
