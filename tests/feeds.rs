//! The program's client of the control feed, tested with responses that are split at any byte, chunked or
//! not, truncated, silent, malformed or endless.
mod support;

use quickcheck::{Arbitrary, Gen};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use support::*;

/// The response to one call: the pieces are written one at a time, then the connection is closed or stays
/// silent.
struct Script {
    pieces: Vec<Vec<u8>>,
    closes: bool,
}

/// A response that is written at once and followed by a close.
fn closing(text: &str) -> Script {
    Script { pieces: vec![text.as_bytes().to_vec()], closes: true }
}

/// A feed that answers each call with the next script. It waits for a script if there is none.
struct ScriptedFeed {
    address: SocketAddr,
    scripts: Sender<Script>,
    /// Lines of the request head of every call.
    heads: Receiver<Vec<String>>,
}

impl ScriptedFeed {
    fn start() -> ScriptedFeed {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (scripts, next) = channel::<Script>();
        let (head_sender, heads) = channel();
        thread::spawn(move || {
            let mut silent_connections = Vec::new();
            for mut stream in listener.incoming().flatten() {
                let input = BufReader::new(stream.try_clone().expect("a second handle"));
                let head = input.lines().map_while(Result::ok).take_while(|l| !l.is_empty()).collect();
                let Ok(script) = next.recv() else { return };
                stream.set_nodelay(true).expect("set");
                let written = script.pieces.iter().try_for_each(|piece| {
                    thread::yield_now();
                    stream.write_all(piece)
                });
                // The program may have disconnected: the test checks the program's reaction.
                drop(written);
                let _ = head_sender.send(head);
                if script.closes {
                    let _ = stream.shutdown(Shutdown::Both);
                } else {
                    silent_connections.push(stream);
                }
            }
        });
        ScriptedFeed { address, scripts, heads }
    }

    fn answer(&self, script: Script) {
        self.scripts.send(script).expect("the feed runs");
    }

    /// Checks the request line and headers of the next call and returns its Last-Event-ID.
    fn next_call(&self) -> u64 {
        let head = self.heads.recv_timeout(WAIT_TIMEOUT).expect("a call");
        assert_eq!(head[0], "GET /v1/events HTTP/1.1");
        let field = |name: &str| {
            head.iter().filter_map(|l| l.split_once(": ")).find(|(n, _)| n.eq_ignore_ascii_case(name))
        };
        assert_eq!(field("accept").map(|f| f.1), Some("text/event-stream"));
        assert_eq!(field("host").map(|f| f.1.to_owned()), Some(self.address.to_string()));
        field("last-event-id").and_then(|f| f.1.parse().ok()).expect("a number")
    }
}

fn start(feed: &ScriptedFeed) -> Program {
    let program = Program::start(&[("s-1", "127.0.0.1:9".parse().expect("an address"))], None, None);
    program.reload(&program.config_with_feed(feed.address));
    program
}

fn event(n: usize) -> String {
    let address = "127.0.0.1:9".parse().expect("an address");
    format!("id: {n}\ndata: {}\n\n", list_event(n, false, &[(&format!("s-{n}"), address, "ready")]))
}

const PLAIN: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Splits a text into parts of 1 to 40 bytes, with lengths drawn from `gen`.
fn split(gen: &mut Gen, text: &str) -> Vec<String> {
    let (mut parts, mut rest) = (Vec::new(), text);
    while !rest.is_empty() {
        let (part, remainder) = rest.split_at((usize::arbitrary(gen) % 40 + 1).min(rest.len()));
        parts.push(part.to_owned());
        rest = remainder;
    }
    parts
}

/// Each of twenty responses has a repeated event, a new one and an incomplete one, and is split at random
/// places.
#[test]
fn feed_split_at_any_byte_is_read_chunked_or_not() {
    let (feed, mut gen) = (ScriptedFeed::start(), Gen::from_size_and_seed(64, 9));
    let program = start(&feed);
    for n in 2..22 {
        let text = format!(": hello\n\n{}{}{}", event(n - 1), event(n), &event(n + 1)[..60]);
        let response = if n % 2 == 0 {
            let chunks: String = split(&mut gen, &text).iter().map(|part| chunk(part)).collect();
            // Half of the chunked responses end with the last chunk, the others are truncated.
            format!("{CHUNKED}{chunks}{}", if n % 4 == 0 { "0\r\n\r\n" } else { "" })
        } else {
            format!("{PLAIN}{text}")
        };
        let pieces = split(&mut gen, &response).into_iter().map(String::into_bytes).collect();
        feed.answer(Script { pieces, closes: true });
        assert_eq!(feed.next_call(), n as u64 - 1, "events after the last complete one are requested");
        program.wait_line(&format!("engine_id=s-{n} phase=Ready"));
    }
    let count_lines = |n: usize| {
        let text = format!("engine_id=s-{n} phase=Ready");
        program.lines().iter().filter(|l| l.contains(&text)).count()
    };
    assert!((2..22).all(|n| count_lines(n) == 1), "repeated events are ignored");
}

/// After any invalid response the next call requests the events after the last one that was read, and the
/// reason is logged.
#[test]
fn feed_with_an_invalid_response_is_polled_again() {
    let feed = ScriptedFeed::start();
    let program = start(&feed);
    let long = "x".repeat(2 << 20);
    let unavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    for (i, (script, reason)) in [
        (closing(""), "feed lost error="),
        (closing(unavailable), "feed lost error=\"field status is not 200: 503"),
        (
            closing("HTTP/1.1 302 Found\r\nLocation: /\r\n\r\n"),
            "feed lost error=\"field status is not 200: 302",
        ),
        (closing("HTTP/1.1 200 OK\r\nContent-Ty"), "feed lost error="),
        (closing("SSH-2.0-x\r\n\r\n"), "feed lost error="),
        (closing(&format!("HTTP/1.1 200 OK\r\nX: {long}")), "feed lost error=\"message head is too large"),
        (closing(&format!("{PLAIN}data: {long}")), "feed lost error=\"field data is too long"),
        (closing(&format!("{CHUNKED}zz\r\n")), "feed lost error="),
        (closing(&format!("{CHUNKED}{}ffff\r\nid: 9\nda", chunk(": hello\n\n"))), "feed lost error="),
        (closing(&format!("{PLAIN}id: 9\ndata: {{")), "feed lost error=\"ended by the other side\""),
        (Script { closes: false, ..closing("") }, "feed lost error=silent"),
        (Script { closes: false, ..closing(&format!("{CHUNKED}5\r\n:")) }, "feed lost error=silent"),
    ]
    .into_iter()
    .enumerate()
    {
        feed.answer(script);
        assert_eq!(feed.next_call(), i as u64 + 1);
        let is_lost = |l: &String| l.contains("feed lost error=");
        let line = wait_until(|| program.lines().iter().filter(|l| is_lost(l)).nth(2 * i).cloned());
        assert!(line.contains(reason), "script {i}: {line}");
        feed.answer(closing(&format!("{PLAIN}{}", event(i + 2))));
        assert_eq!(feed.next_call(), i as u64 + 1);
        wait_until(|| program.lines().iter().filter(|l| is_lost(l)).nth(2 * i + 1).cloned());
    }
}
