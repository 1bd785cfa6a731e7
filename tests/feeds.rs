//! The control feed's follower against feeds that answer in every way: cut at any byte, chunked or not, broken off,
//! silent, garbled, without end.
mod support;

use quickcheck::{Arbitrary, Gen};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use support::*;

/// What the feed does with one call: it writes these pieces, each by itself, and then closes or falls silent.
struct Script {
    pieces: Vec<Vec<u8>>,
    closes: bool,
}

fn closes(text: &str) -> Script {
    Script { pieces: vec![text.as_bytes().to_vec()], closes: true }
}

/// A feed that answers each call by the next script; without one it waits for it.
struct Scripted {
    address: SocketAddr,
    scripts: Sender<Script>,
    /// The head of every call.
    heads: Receiver<Vec<String>>,
}

impl Scripted {
    fn start() -> Scripted {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (scripts, next) = channel::<Script>();
        let (tell, heads) = channel();
        thread::spawn(move || {
            let mut silent = Vec::new();
            for mut stream in listener.incoming().flatten() {
                let input = BufReader::new(stream.try_clone().expect("a second handle"));
                let head = input.lines().map_while(Result::ok).take_while(|l| !l.is_empty()).collect();
                let Ok(script) = next.recv() else { return };
                stream.set_nodelay(true).expect("set");
                let written = script.pieces.iter().try_for_each(|piece| {
                    thread::yield_now();
                    stream.write_all(piece)
                });
                // A caller that hung up has had enough: what it thinks of the script the test sees.
                drop(written);
                let _ = tell.send(head);
                if script.closes {
                    let _ = stream.shutdown(Shutdown::Both);
                } else {
                    silent.push(stream);
                }
            }
        });
        Scripted { address, scripts, heads }
    }

    fn answer(&self, script: Script) {
        self.scripts.send(script).expect("the feed runs");
    }

    /// The number that the next call asks for events after.
    fn asked(&self) -> u64 {
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

fn start(feed: &Scripted) -> Program {
    let program = Program::start(&[("s-1", "127.0.0.1:9".parse().expect("an address"))], None, None);
    program.reload(&program.config_with_feed(feed.address));
    program
}

fn event(n: usize) -> String {
    let address = "127.0.0.1:9".parse().expect("an address");
    format!("id: {n}\ndata: {}\n\n", list(n, false, &[(&format!("s-{n}"), address, "ready")]))
}

const PLAIN: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Parts of a text, cut at random places from a fixed seed.
fn cut(gen: &mut Gen, text: &str) -> Vec<String> {
    let (mut parts, mut rest) = (Vec::new(), text);
    while !rest.is_empty() {
        let (part, more) = rest.split_at((usize::arbitrary(gen) % 40 + 1).min(rest.len()));
        parts.push(part.to_owned());
        rest = more;
    }
    parts
}

/// Twenty calls, each with one event more than the last, one repeated, a half one, and all cut anywhere.
#[test]
fn feed_split_at_any_byte_is_read_chunked_or_not() {
    let (feed, mut gen) = (Scripted::start(), Gen::from_size_and_seed(64, 9));
    let program = start(&feed);
    for n in 2..22 {
        let text = format!(": hello\n\n{}{}{}", event(n - 1), event(n), &event(n + 1)[..60]);
        let whole = if n % 2 == 0 {
            let chunks: String = cut(&mut gen, &text).iter().map(|part| chunk(part)).collect();
            // Some of these answers end by their own word, others break off.
            format!("{CHUNKED}{chunks}{}", if n % 4 == 0 { "0\r\n\r\n" } else { "" })
        } else {
            format!("{PLAIN}{text}")
        };
        let pieces = cut(&mut gen, &whole).into_iter().map(String::into_bytes).collect();
        feed.answer(Script { pieces, closes: true });
        assert_eq!(feed.asked(), n as u64 - 1, "what came after the last whole event is asked for");
        program.wait_line(&format!("engine_id=s-{n} phase=Ready"));
    }
    let named = |n: usize| {
        let text = format!("engine_id=s-{n} phase=Ready");
        program.lines().iter().filter(|l| l.contains(&text)).count()
    };
    assert!((2..22).all(|n| named(n) == 1), "a repeated event is passed over");
}

/// Whatever a feed answers, the next call goes on after the last event read, and the log says why.
#[test]
fn feed_with_an_invalid_response_is_polled_again() {
    let feed = Scripted::start();
    let program = start(&feed);
    let long = "x".repeat(2 << 20);
    let gone = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    for (i, (script, why)) in [
        (closes(""), "feed lost error="),
        (closes(gone), "feed lost error=\"field status is not 200: 503"),
        (
            closes("HTTP/1.1 302 Found\r\nLocation: /\r\n\r\n"),
            "feed lost error=\"field status is not 200: 302",
        ),
        (closes("HTTP/1.1 200 OK\r\nContent-Ty"), "feed lost error="),
        (closes("SSH-2.0-x\r\n\r\n"), "feed lost error="),
        (closes(&format!("HTTP/1.1 200 OK\r\nX: {long}")), "feed lost error=\"message head is too large"),
        (closes(&format!("{PLAIN}data: {long}")), "feed lost error=\"field data is too long"),
        (closes(&format!("{CHUNKED}zz\r\n")), "feed lost error="),
        (closes(&format!("{CHUNKED}{}ffff\r\nid: 9\nda", chunk(": hello\n\n"))), "feed lost error="),
        (closes(&format!("{PLAIN}id: 9\ndata: {{")), "feed lost error=\"ended by the other side\""),
        (Script { closes: false, ..closes("") }, "feed lost error=silent"),
        (Script { closes: false, ..closes(&format!("{CHUNKED}5\r\n:")) }, "feed lost error=silent"),
    ]
    .into_iter()
    .enumerate()
    {
        feed.answer(script);
        assert_eq!(feed.asked(), i as u64 + 1);
        let lost = |l: &String| l.contains("feed lost error=");
        let line = wait_until(|| program.lines().iter().filter(|l| lost(l)).nth(2 * i).cloned());
        assert!(line.contains(why), "script {i}: {line}");
        feed.answer(closes(&format!("{PLAIN}{}", event(i + 2))));
        assert_eq!(feed.asked(), i as u64 + 1);
        wait_until(|| program.lines().iter().filter(|l| lost(l)).nth(2 * i + 1).cloned());
    }
}
