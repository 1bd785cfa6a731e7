//! The listener for ACME challenge requests under malformed and hostile input: each connection is answered or
//! closed within bounded time and descriptors, and valid requests and sessions are not affected.
mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use support::resource_limits::{descriptors, DescriptorWatch};
use support::*;

/// Starts the program with a second front whose certificate authority cannot be reached, so that the program
/// keeps retrying and its challenge listener stays open. Also returns the listener's address: the
/// configuration needs a fixed port, so one is taken that was free just before.
fn start_program(engine: &Engine) -> (Program, SocketAddr) {
    let dir = scratch_dir();
    let free_address = || TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address");
    let (challenges, unreachable) = (free_address(), free_address());
    let operator = format!(
        r#"{{"listen":"127.0.0.1:0","max_sessions":8,"default_class":"lane-rate","acme":{{
            "directory":"https://{unreachable}/directory","names":["pg.test"],"challenge_listen":"{challenges}","retry_s":[0.1,0.1]}}}}"#
    );
    let file = dir.join("operator.json");
    std::fs::write(&file, operator).expect("written");
    let config = resource_limits::config(&[("s-1", engine.address)], None, 256, SETTINGS);
    (resource_limits::start(&config, Some(256), &["--operator", file.to_str().expect("text")]), challenges)
}

fn open(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).expect("connected");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    stream
}

/// Sends bytes on a new connection and returns the response up to the end; a reset counts as an end.
fn response(to: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = open(to);
    // The listener may close the connection before everything is written.
    let _ = stream.write_all(bytes);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

const VALID_REQUEST: &[u8] = b"GET /.well-known/acme-challenge/unknown HTTP/1.1\r\nHost: pg.test\r\n\r\n";

#[test]
fn malformed_challenge_requests_are_answered_or_closed() {
    let engine = Engine::echo();
    let (mut program, challenges) = start_program(&engine);
    let not_found = |text: &str| text.starts_with("HTTP/1.1 404 Not Found\r\n") && text.ends_with("\r\n\r\n");
    assert!(not_found(&response(challenges, VALID_REQUEST)));
    for garbage in [
        &b"\r\n\r\n"[..],
        b"\x16\x03\x01garbage\0\xff\xfe\r\n\r\n",
        b"POST / HTTP/1.1\r\n\r\n",
        b"GET\r\n\r\n",
        b"GET /.well-known/acme-challenge/../../etc/passwd HTTP/1.1\r\n\r\n",
        b"GET \xc3\x28 HTTP/1.1\r\n\r\n",
    ] {
        assert!(not_found(&response(challenges, garbage)), "{garbage:?}");
    }
    // A request longer than the maximum length: the connection is closed without an answer.
    assert_eq!(response(challenges, &[b'x'; 64 * 1024]), "");
    // An incomplete request whose sender shuts down its side.
    let mut incomplete = open(challenges);
    incomplete.write_all(&VALID_REQUEST[..40]).expect("written");
    incomplete.shutdown(Shutdown::Write).expect("shut down");
    assert_eq!(incomplete.read(&mut [0; 16]).expect("an end"), 0);
    // An incomplete request whose sender stays connected: closed by the timeout.
    let (mut incomplete, started_at) = (open(challenges), Instant::now());
    incomplete.write_all(&VALID_REQUEST[..40]).expect("written");
    assert_eq!(incomplete.read(&mut [0; 16]).expect("an end"), 0);
    assert!(started_at.elapsed() < Duration::from_secs(10), "{:?}", started_at.elapsed());
    // A valid request sent byte by byte is answered.
    let mut bytewise = open(challenges);
    bytewise.set_nodelay(true).expect("set");
    VALID_REQUEST.iter().for_each(|b| bytewise.write_all(&[*b]).expect("written"));
    let mut text = String::new();
    bytewise.read_to_string(&mut text).expect("an answer");
    assert!(not_found(&text), "{text}");
    assert!(program.is_running());
}

/// Under hundreds of silent connections, incomplete requests and early closes, valid requests are answered,
/// clients are served, and the number of descriptors is bounded.
#[test]
fn flood_of_challenge_requests_affects_no_valid_request_or_session() {
    let engine = Engine::echo();
    let (program, challenges) = start_program(&engine);
    let mut client = RawClient::connect(program.platform);
    let before = descriptors(program.id());
    let watched = DescriptorWatch::start(program.id());
    let mut held = Vec::new();
    for i in 1..=300 {
        let mut caller = open(challenges);
        if i % 3 > 0 {
            // The listener may already have closed the connection in favour of a newer one.
            let _ = caller.write_all(&VALID_REQUEST[..40]);
        }
        if i % 3 < 2 {
            held.push(caller);
        }
        if i % 30 == 0 {
            assert!(
                response(challenges, VALID_REQUEST).starts_with("HTTP/1.1 404"),
                "valid request after {i} connections"
            );
            let sql = format!("/* kind=lane-rate,req={i:016x},timeout=20000,owner=sud */ SELECT a FROM b");
            assert_eq!(rows(&client.ask(&sql)).len(), 1);
        }
    }
    let peak = watched.peak();
    // Sixteen connections with challenge requests and the one just accepted; two connections to the
    // authority; one to the engine.
    assert!(peak <= before + 16 + 1 + 2 + 1, "peak of {peak} descriptors, {before} before");
    drop(held);
    assert!(response(challenges, VALID_REQUEST).starts_with("HTTP/1.1 404"));
}
