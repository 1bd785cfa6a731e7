//! Tests with clients that stay connected without sending, with a partial request, or without reading.
//! Requests of other clients are answered meanwhile.

mod common;

use common::*;
use sprucelink_admin::Limits;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Operators expect a response within 1 s; a busy machine gets more time, still less than any idle client
/// stays connected.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(5);

/// Connects clients that send nothing or a partial request, and stay connected.
fn open_idle_connections(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    let partial_requests: [&[u8]; 3] =
        [b"", b"GET /admin/hea", b"POST /admin/cordon HTTP/1.1\r\nContent-Length: 16\r\n\r\n{\"targ"];
    let clients = (0..count).map(|n| {
        let mut stream = connect(address);
        // The write fails if the client was evicted already.
        let _ = stream.write_all(partial_requests[n % partial_requests.len()]);
        stream
    });
    clients.collect()
}

#[test]
fn complete_request_is_answered_among_hundreds_of_silent_and_partial_ones() {
    let address = start(Limits { request_timeout: Duration::from_secs(20), ..Limits::default() }, 0, None);
    let idle_clients = std::thread::spawn(move || open_idle_connections(address, 600));
    // Ten requests, while the idle clients connect and while they stay: each is answered in time.
    for n in 0..10 {
        let start = Instant::now();
        let body = if n % 2 == 0 { "{\"target\":\"s-1\"}" } else { "{\"target\":\"s-2\"}" };
        assert_eq!(post(address, "/admin/cordon", body).status, 200);
        assert!(start.elapsed() < MAX_RESPONSE_TIME, "request {n} took {:?}", start.elapsed());
        std::thread::sleep(Duration::from_millis(50));
    }
    let mut clients = idle_clients.join().unwrap();
    assert_eq!(get(address, "/admin/stats").status, 200);
    // All idle clients but the last ones were evicted long before their requests timed out, and got the
    // response of an eviction.
    assert!(metric(address, "admin.displaced") >= 500, "{}", metric(address, "admin.displaced"));
    assert_eq!(metric(address, "admin.call_late"), 0);
    let evicted = read_response(&mut clients[1]);
    assert!(evicted.status == 503 && evicted.body.starts_with("too many callers"), "{evicted:?}");
}

#[test]
fn partial_request_gets_408_at_its_timeout_even_if_bytes_keep_arriving() {
    let request_timeout = Duration::from_millis(300);
    let address = start(Limits { request_timeout, ..Limits::default() }, 0, None);
    for mut client in open_idle_connections(address, 3) {
        let start = Instant::now();
        let response = read_response(&mut client);
        assert!(response.status == 408 && response.body == "call: not whole in time\n", "{response:?}");
        assert!(start.elapsed() < MAX_RESPONSE_TIME);
    }
    let mut slow_writer = connect(address);
    let start = Instant::now();
    let mut reader = slow_writer.try_clone().unwrap();
    let response = std::thread::spawn(move || (read_response(&mut reader).status, Instant::now()));
    // Further bytes do not extend the timeout.
    while !response.is_finished() && slow_writer.write_all(b"G").is_ok() {
        std::thread::sleep(Duration::from_millis(10));
    }
    let (status, end) = response.join().unwrap();
    assert_eq!(status, 408);
    assert!(
        end - start >= request_timeout / 2 && end - start < request_timeout + MAX_RESPONSE_TIME,
        "{:?}",
        end - start
    );
    assert_eq!(metric(address, "admin.call_late"), 4);
}

#[test]
fn response_is_complete_for_a_slow_reader_and_reset_for_one_that_never_reads() {
    let limits = Limits { max_connections: 4, response_timeout: Duration::from_secs(3), ..Limits::default() };
    let address = start(limits, 60_000, Some(4 * 1024));
    let request_stats = |buffer: usize| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let stream = runtime.block_on(async {
            let socket = tokio::net::TcpSocket::new_v4().unwrap();
            socket.set_recv_buffer_size(buffer as u32).unwrap();
            socket.connect(address).await.unwrap().into_std().unwrap()
        });
        stream.set_nonblocking(false).unwrap();
        let mut stream = stream;
        stream.write_all(b"GET /admin/stats HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
        stream
    };
    let (mut slow_reader, mut non_reader) = (request_stats(4 * 1024), request_stats(4 * 1024));
    let (mut bytes, mut buffer) = (Vec::new(), [0; 4_096]);
    loop {
        match slow_reader.read(&mut buffer).unwrap() {
            0 => break,
            n => bytes.extend_from_slice(&buffer[..n]),
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let response = parse(&bytes);
    assert!(response.status == 200 && response.body.len() > 60_000);
    let start = Instant::now();
    while metric(address, "admin.answer_late") == 0 {
        assert!(start.elapsed() < Duration::from_secs(20), "never reset");
        std::thread::sleep(Duration::from_millis(20));
    }
    let mut rest = Vec::new();
    assert!(non_reader.read_to_end(&mut rest).is_err(), "{} bytes and a clean end", rest.len());
    // Connections whose responses are not read are evicted for new ones, too.
    let _non_readers: Vec<TcpStream> = (0..8).map(|_| request_stats(4 * 1024)).collect();
    assert_eq!(get(address, "/admin/health").status, 200);
}

#[test]
fn metrics_beyond_the_response_limit_are_an_error() {
    let address = start(Limits::default(), sprucelink_admin::MAX_RESPONSE_BYTES, None);
    let response = get(address, "/admin/stats");
    assert!(response.status == 500 && response.body.starts_with("figures: "), "{response:?}");
}
