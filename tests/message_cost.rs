//! The work of one message grows no faster than its bytes, so that no client stops the others: all sessions
//! share one serving thread.
mod support;

use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// The platform requires an answer to its health check within this time.
const ANSWER_LIMIT: Duration = Duration::from_secs(3);
/// Text of one message, in bytes; a message of 64 KiB is the longest that is read.
const TEXT_BYTES: usize = 64_000;
/// Clients that send a costly message at the same time.
const CLIENTS: usize = 10;
const OPERATOR: &str = r#"{"listen":"127.0.0.1:0","default_tenant":"sud"}"#;

/// A text of nearly [`TEXT_BYTES`]: `begin`, as many `unit(index)` as fit, and `end`.
fn long_text(begin: &str, unit: impl Fn(usize) -> String, end: &str) -> String {
    let mut text = begin.to_owned();
    for index in 0.. {
        let next = unit(index);
        if text.len() + next.len() + end.len() > TEXT_BYTES {
            break;
        }
        text.push_str(&next);
    }
    text + end
}

/// A name that differs for each index, of four characters.
fn name(index: usize) -> String {
    let digits = b"abcdefghijklmnopqrstuvwxyz";
    (0..4).map(|place| char::from(digits[index / 26usize.pow(place) % 26])).collect()
}

/// Texts whose cost could grow faster than their length.
fn costly_texts() -> Vec<(&'static str, String)> {
    let repeated = |unit: &'static str| move |_: usize| unit.to_owned();
    vec![
        ("many fields", long_text("/* aaa=1", |i| format!(",{}=", name(i)), " */ SELECT 1")),
        ("many semicolons", long_text("SELECT 1", repeated(";"), "")),
        ("many empty statements", long_text("SELECT 1", repeated("; /**/"), "")),
        ("nested comments", long_text("SELECT 1", repeated("/*"), "")),
        ("many open dollar quotes", long_text("SELECT 1", |i| format!(" ${}", name(i)), "")),
        ("many dollar quotes", long_text("SELECT 1", |i| format!("${}$", name(i)), "")),
        ("many dots", long_text("SELECT 1 FROM a", repeated(".a"), "")),
        ("many underscores", long_text("SELECT 1 FROM a", repeated("_1"), ".a")),
    ]
}

/// Sends `message` on [`CLIENTS`] sessions at `address` and, directly after, a health check on another
/// session; returns how long the health check took.
fn health_check_beside(program: &Program, address: std::net::SocketAddr, message: &[u8]) -> Duration {
    let mut clients: Vec<RawClient> = (0..CLIENTS).map(|_| RawClient::connect(address)).collect();
    let mut health_check = RawClient::connect(program.platform);
    clients.iter_mut().for_each(|client| client.send(message));
    let started = Instant::now();
    assert_eq!(message_types(&health_check.ask("")), "IZ");
    started.elapsed()
}

/// Guards against a message whose cost is quadratic in its length: a few of them stopped all sessions for
/// seconds (review, case 1).
#[test]
fn costly_text_does_not_delay_other_sessions() {
    let engine = Engine::echo();
    let program = Program::start(&[("s-1", engine.address)], None, None);
    for (shape, text) in costly_texts() {
        let took = health_check_beside(&program, program.platform, &query(&text));
        assert!(took < ANSWER_LIMIT, "{shape}: the health check took {took:?}");
    }
}

/// Guards against the same cost in a statement that is prepared.
#[test]
fn costly_prepared_statement_does_not_delay_other_sessions() {
    let engine = Engine::echo();
    let program = Program::start(&[("s-1", engine.address)], None, Some(OPERATOR));
    let second = program.second.expect("the second front is on");
    for (shape, text) in costly_texts() {
        let message = [parse("", &text), sync()].concat();
        let took = health_check_beside(&program, second, &message);
        assert!(took < ANSWER_LIMIT, "{shape}: the health check took {took:?}");
    }
}

/// Guards against sessions that send long messages without end and get more than their turn of the thread.
#[test]
fn flood_of_long_messages_does_not_delay_other_sessions() {
    let engine = Engine::echo();
    let program = Program::start(&[("s-1", engine.address)], None, None);
    let text = long_text("SELECT 1; SELECT '", |i| format!("{} ", name(i)), "'");
    let mut clients: Vec<RawClient> = (0..40).map(|_| RawClient::connect(program.platform)).collect();
    let mut health_check = RawClient::connect(program.platform);
    let flood: Vec<_> = clients
        .iter_mut()
        .map(|client| {
            let mut stream = client.stream.try_clone().expect("a second handle");
            let message = query(&text);
            // Ends when the connection ends: the program refuses the messages, and nobody reads its answers.
            thread::spawn(move || while std::io::Write::write_all(&mut stream, &message).is_ok() {})
        })
        .collect();
    for _ in 0..5 {
        let started = Instant::now();
        assert_eq!(message_types(&health_check.ask("")), "IZ");
        let took = started.elapsed();
        assert!(took < ANSWER_LIMIT, "the health check took {took:?}");
    }
    drop(program);
    flood.into_iter().for_each(|writer| writer.join().expect("joined"));
}
