//! The listener for the certificate authority's challenge requests against malformed and hostile ones: each is answered
//! or closed, within bounds, and neither a valid request nor a session is harmed.
mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use support::resource_limits::{descriptors, DescriptorWatch};
use support::*;

/// The program with a second front whose authority cannot be reached: it retries, and the listener is open. Its address
/// was free a moment ago: the program needs one in its configuration.
fn program(engine: &Engine) -> (Program, SocketAddr) {
    let dir = scratch_dir();
    let free = || TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address");
    let (challenges, nobody) = (free(), free());
    let operator = format!(
        r#"{{"listen":"127.0.0.1:0","max_sessions":8,"default_class":"lane-rate","acme":{{
            "directory":"https://{nobody}/directory","names":["pg.test"],"challenge_listen":"{challenges}","retry_s":[0.1,0.1]}}}}"#
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

/// Writes a text, and returns what is read up to the end; a reset counts as one.
fn told(to: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = open(to);
    // The listener may close before all is written.
    let _ = stream.write_all(bytes);
    let mut got = Vec::new();
    let _ = stream.read_to_end(&mut got);
    String::from_utf8_lossy(&got).into_owned()
}

const QUESTION: &[u8] = b"GET /.well-known/acme-challenge/unknown HTTP/1.1\r\nHost: pg.test\r\n\r\n";

#[test]
fn malformed_challenge_requests_are_answered_or_closed() {
    let engine = Engine::echo();
    let (mut program, at) = program(&engine);
    let not_found = |text: &str| text.starts_with("HTTP/1.1 404 Not Found\r\n") && text.ends_with("\r\n\r\n");
    assert!(not_found(&told(at, QUESTION)));
    for garbage in [
        &b"\r\n\r\n"[..],
        b"\x16\x03\x01garbage\0\xff\xfe\r\n\r\n",
        b"POST / HTTP/1.1\r\n\r\n",
        b"GET\r\n\r\n",
        b"GET /.well-known/acme-challenge/../../etc/passwd HTTP/1.1\r\n\r\n",
        b"GET \xc3\x28 HTTP/1.1\r\n\r\n",
    ] {
        assert!(not_found(&told(at, garbage)), "{garbage:?}");
    }
    // Longer than any request may be: closed without an answer.
    assert_eq!(told(at, &[b'x'; 64 * 1024]), "");
    // A part of a request, and its sender's end.
    let mut half = open(at);
    half.write_all(&QUESTION[..40]).expect("written");
    half.shutdown(Shutdown::Write).expect("shut");
    assert_eq!(half.read(&mut [0; 16]).expect("an end"), 0);
    // A part of a request, and nothing more: closed in time.
    let (mut half, begun) = (open(at), Instant::now());
    half.write_all(&QUESTION[..40]).expect("written");
    assert_eq!(half.read(&mut [0; 16]).expect("an end"), 0);
    assert!(begun.elapsed() < Duration::from_secs(10), "{:?}", begun.elapsed());
    // Sent byte by byte, it is a valid request.
    let mut pieces = open(at);
    pieces.set_nodelay(true).expect("set");
    QUESTION.iter().for_each(|b| pieces.write_all(&[*b]).expect("written"));
    let mut text = String::new();
    pieces.read_to_string(&mut text).expect("an answer");
    assert!(not_found(&text), "{text}");
    assert!(program.running());
}

/// Hundreds of silent connections, incomplete requests and early closes: the valid request is answered among them,
/// clients are served, and the descriptors that they hold are bounded.
#[test]
fn flood_of_challenge_requests_harms_no_valid_request_or_session() {
    let engine = Engine::echo();
    let (program, at) = program(&engine);
    let mut raw = RawClient::connect(program.platform);
    let before = descriptors(program.id());
    let watched = DescriptorWatch::start(program.id());
    let mut held = Vec::new();
    for i in 1..=300 {
        let mut caller = open(at);
        if i % 3 > 0 {
            // The listener may have closed it for another already.
            let _ = caller.write_all(&QUESTION[..40]);
        }
        if i % 3 < 2 {
            held.push(caller);
        }
        if i % 30 == 0 {
            assert!(told(at, QUESTION).starts_with("HTTP/1.1 404"), "question {i}");
            let sql = format!("/* kind=lane-rate,req={i:016x},timeout=20000,owner=sud */ SELECT a FROM b");
            assert_eq!(rows(&raw.ask(&sql)).len(), 1);
        }
    }
    let most = watched.peak();
    // Sixteen requests and the one just accepted; two connections to the authority; one to the engine.
    assert!(most <= before + 16 + 1 + 2 + 1, "{most} descriptors, {before} before");
    drop(held);
    assert!(told(at, QUESTION).starts_with("HTTP/1.1 404"));
}
