//! Clients that leave while their request waits: by a close, a reset or a CancelRequest, behind more bytes than the
//! front buffers, on both fronts, wherever the request waits. Nothing is sent for them afterwards, and other clients
//! are served.
#[path = "support/authority.rs"]
mod authority;
mod support;

use authority::{Authority, Tls};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use support::admin_client::metric;
use support::*;

const OPERATOR: &str = r#"{"listen":"127.0.0.1:0","default_tenant":"sud"}"#;

/// A front.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Side {
    Platform,
    Second,
}
const SIDES: [Side; 2] = [Side::Platform, Side::Second];

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Close,
    Reset,
    Cancel,
}
const WAYS: [Way; 3] = [Way::Close, Way::Reset, Way::Cancel];

impl Side {
    fn address(self, program: &Program) -> SocketAddr {
        match self {
            Side::Platform => program.platform,
            Side::Second => program.second.expect("the second front is on"),
        }
    }
    /// Bytes that a session may buffer, as its final error names them.
    fn bound(self) -> usize {
        match self {
            Side::Platform => 64 << 10,
            Side::Second => 1 << 20,
        }
    }
    /// A request that selects `what`, followed by a name of so many bytes.
    fn request(self, req: u64, what: &str, padding: usize) -> Vec<u8> {
        let sql = format!("SELECT {what} FROM sales_17.orders WHERE name = '{}'", "x".repeat(padding));
        match self {
            Side::Platform => {
                query(&format!("/* kind=lane-rate,req={req:016x},timeout=20000,owner=sud,ms=5 */ {sql}"))
            }
            Side::Second => {
                let sql = format!("/* kind=lane-rate,timeout=20000,ms=5 */ {sql}");
                [parse("", &sql), bind("", "", &[]), execute("", 0), sync()].concat()
            }
        }
    }
    /// Complete messages that exceed what a session may buffer: requests, or messages that request nothing.
    fn pile(self, requests: bool) -> Vec<u8> {
        let size = self.bound() + (200 << 10);
        let mut pile = Vec::new();
        let mut n = 1_000;
        while pile.len() < size {
            n += 1;
            match (requests, self) {
                (true, _) => pile.extend(self.request(n, "piled", 2_000)),
                (false, Side::Platform) => pile.extend(query("")),
                (false, Side::Second) => pile.extend(framed(b'H', b"")),
            }
        }
        pile
    }
}

fn program(engines: &[(&str, SocketAddr)], feed: Option<&Feed>, operator: &str) -> Program {
    let vars = [("EDGE_OPERATOR", "127.0.0.1:0")];
    Program::launch_in(&vars, None, engines, feed, Some(operator), (192, 1024), SETTINGS, &[])
}

fn program_metric(program: &Program, name: &str) -> u64 {
    metric(program.operators.expect("an address"), name)
}

/// A session whose writes time out within the test.
fn session(program: &Program, side: Side) -> RawClient {
    let raw = RawClient::connect(side.address(program));
    raw.stream.set_write_timeout(Some(Duration::from_secs(20))).expect("set");
    raw
}

/// Closes a connection by a reset.
fn reset(stream: TcpStream) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().expect("a runtime");
    stream.set_nonblocking(true).expect("set");
    let _entered = runtime.enter();
    let stream = tokio::net::TcpStream::from_std(stream).expect("registered");
    stream.set_zero_linger().expect("set");
    drop(stream);
}

/// Waits until the program has read all that was written to it, also the end of the stream: both the send queue of one
/// end and the receive queue of the other are empty.
fn all_read(raw: &RawClient) {
    let (ours, theirs) = (raw.stream.local_addr(), raw.stream.peer_addr());
    let ends = [ours.expect("an address").port(), theirs.expect("an address").port()];
    let port = |field: &str| u16::from_str_radix(field.rsplit(':').next().expect("a port"), 16).expect("hex");
    wait_until(|| {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("read");
        let lines = table.lines().skip(1).map(|l| l.split_whitespace().collect::<Vec<_>>());
        let (mut sent, mut got) = (None, None);
        for line in lines {
            let queues = line[4].split_once(':').expect("two queues");
            match [port(line[1]), port(line[2])] {
                pair if pair == ends => sent = Some(queues.0 == "00000000"),
                [theirs, ours] if [ours, theirs] == ends => got = Some(queues.1 == "00000000"),
                _ => {}
            }
        }
        (sent == Some(true) && got == Some(true)).then_some(())
    });
}

/// What the statements that the engine received select, each once: a request whose client is still there may be retried
/// on a slow machine.
fn asked(engine: &Engine) -> Vec<String> {
    firsts(engine, "do").iter().map(|s| selected(s).to_owned()).collect()
}

/// The first command of a kind on each request.
fn firsts(engine: &Engine, word: &str) -> Vec<ReceivedCommand> {
    let mut ids = std::collections::BTreeSet::new();
    engine.received(word).into_iter().filter(|s| ids.insert(s.parts[1].clone())).collect()
}

/// Waits for a command of a kind on so many requests.
fn wait_firsts(engine: &Engine, word: &str, n: usize) {
    wait_until(|| (firsts(engine, word).len() >= n).then_some(()));
}

fn selected(command: &ReceivedCommand) -> &str {
    command.parts[3].split(' ').nth(1).unwrap_or_default()
}

fn row(what: &str) -> Reply {
    Reply::Pages(vec![format!("{what}\tb\tc\n")])
}

/// An engine that answers every request with what it selects.
fn engine() -> Engine {
    Engine::start(|command| row(selected(command)))
}

/// The client leaves behind more bytes than its session may buffer. Returns once the manager has seen it.
fn go(program: &Program, side: Side, way: Way, mut raw: RawClient) {
    let gone = program_metric(program, "abandoned");
    let sent = raw.stream.write_all(&side.pile(way != Way::Cancel));
    assert!(sent.is_ok(), "{side:?} {way:?}: the front reads on: {sent:?}");
    match way {
        Way::Close => drop(raw),
        Way::Reset => reset(raw.stream),
        Way::Cancel => {
            all_read(&raw);
            raw.cancel(side.address(program));
            let first = std::iter::from_fn(|| raw.message()).find(|m| m.0 == b'E').expect("an error");
            assert_eq!(error_fields(&[first])[0], "57014", "{side:?}");
            let last = std::iter::from_fn(|| raw.message()).find(|m| m.0 == b'E').expect("a last word");
            let [code, message, _, hint] = error_fields(&[last]);
            assert_eq!(code, "54000", "{side:?}: {message}");
            assert!(message.contains(&side.bound().to_string()) && !hint.is_empty(), "{message}");
            assert!(raw.message().is_none());
            return;
        }
    }
    wait_until(|| (program_metric(program, "abandoned") == gone + 1).then_some(()));
}

/// Another client, whose session was open all the time, is served, and its request is the only one that was sent since.
fn only_later(side: Side, way: Way, engine: &Engine, mut other: RawClient, before: &[&str]) {
    other.send(&side.request(7, "later", 1));
    assert_eq!(rows(&other.until_ready()), ["later|b|c"], "{side:?} {way:?}");
    assert_eq!(asked(engine), [before, &["later"]].concat(), "{side:?} {way:?}");
}

fn each(test: impl Fn(Side, Way)) {
    SIDES.iter().for_each(|side| WAYS.iter().for_each(|way| test(*side, *way)));
}

/// The request is queued in the policy, since there is no engine yet.
#[test]
fn disconnect_while_queued_sends_nothing() {
    each(|side, way| {
        let (engine, feed) = (engine(), Feed::start());
        feed.send("{\"n\":1}");
        let program = program(&[], Some(&feed), OPERATOR);
        let (mut raw, other) = (session(&program, side), session(&program, side));
        raw.send(&side.request(1, "gone", 1));
        wait_until(|| (program_metric(&program, "outstanding") == 1).then_some(()));
        go(&program, side, way, raw);
        feed.send(list(2, false, &[("s-1", engine.address, "ready")]));
        program.wait_line("engine_id=s-1 phase=Ready");
        only_later(side, way, &engine, other, &[]);
    });
}

/// The request waits for a connection that is not established.
#[test]
fn disconnect_during_dial_sends_nothing() {
    each(|side, way| {
        let late = DelayedListener::listen();
        let program = program(&[("s-1", late.address)], None, OPERATOR);
        let (mut raw, other) = (session(&program, side), session(&program, side));
        raw.send(&side.request(1, "gone", 1));
        wait_until(|| (program_metric(&program, "outstanding") == 1).then_some(()));
        go(&program, side, way, raw);
        let engine = late.open(|command| row(selected(command)));
        only_later(side, way, &engine, other, &[]);
    });
}

/// The request waits between two attempts: its first was rejected, and no other engine accepts it.
#[test]
fn disconnect_between_attempts_prevents_a_retry() {
    each(|side, way| {
        let drained = Arc::new(AtomicBool::new(false));
        let cue = Arc::clone(&drained);
        // The marker request is answered directly after the rejection: its answer shows that the rejection was read.
        let first = Engine::start(move |command| {
            if selected(command) == "marker" {
                return Reply::Hold;
            }
            wait_until(|| cue.load(Ordering::SeqCst).then_some(()));
            let marker = format!("{:016x}", 9);
            let parts = |parts: &[&str]| {
                let each: String = parts.iter().map(|p| format!("${}\r\n{p}\r\n", p.len())).collect();
                format!("*{}\r\n{each}", parts.len())
            };
            let word = parts(&[&command.parts[1], "overload", "-", ""]);
            Reply::Raw(word + &parts(&[&marker, "served", "batches=1,cpu=5", "marker\tb\tc\n"]))
        });
        let (second, feed) = (engine(), Feed::start());
        feed.send("{\"n\":1}");
        let program = program(&[("s-1", first.address)], Some(&feed), OPERATOR);
        let (mut raw, other) = (session(&program, side), session(&program, side));
        let mut marker = session(&program, Side::Platform);
        marker.send(&Side::Platform.request(9, "marker", 1));
        first.wait_for("do", 1);
        raw.send(&side.request(1, "gone", 1));
        first.wait_for("do", 2);
        feed.send(list(2, false, &[("s-1", first.address, "draining")]));
        program.wait_line("engine_id=s-1 phase=Draining");
        drained.store(true, Ordering::SeqCst);
        assert_eq!(rows(&marker.until_ready()), ["marker|b|c"]);
        assert_eq!(program_metric(&program, "outstanding"), 1, "it waits for a further attempt");
        go(&program, side, way, raw);
        let before = first.received("do").len();
        feed.send(list(3, false, &[("s-2", second.address, "ready")]));
        program.wait_line("engine_id=s-2 phase=Ready");
        only_later(side, way, &second, other, &[]);
        assert_eq!(asked(&first), ["marker", "gone"]);
        assert_eq!(first.received("do").len(), before, "no further attempt once it had gone");
    });
}

/// The end of a client is seen under TLS too, with a close_notify or without.
#[test]
fn disconnect_under_tls_is_seen_behind_unread_bytes() {
    let engine =
        Engine::start(
            |command| if selected(command) == "gone" { Reply::Hold } else { row(selected(command)) },
        );
    // A port that was free a moment ago: the program needs one in its configuration.
    let challenges = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address");
    let authority = Authority::start(Duration::from_secs(600), challenges);
    let root = scratch_dir().join("root.pem");
    std::fs::write(&root, &authority.root).expect("written");
    let operator = format!(
        r#"{{"listen":"127.0.0.1:0","tls":"required","default_tenant":"sud","acme":{{
            "directory":"{}","trust_root":"{}","names":["{NAME}"],
            "challenge_listen":"{challenges}","renew_before_s":1,"retry_s":[0.1,0.4]}}}}"#,
        authority.directory,
        root.display()
    );
    let program = program(&[("s-1", engine.address)], None, &operator);
    program.wait_line("certificate renewed");
    for (n, way) in [(1, Way::Close), (2, Way::Reset)] {
        let mut tls = secure(&program, &authority);
        tls.write_all(&Side::Second.request(1, "gone", 1)).expect("written");
        wait_firsts(&engine, "do", n);
        tls.write_all(&Side::Second.pile(true)).expect("the front reads on");
        match way {
            Way::Reset => reset(tls.into_parts().1),
            _ => drop(tls),
        }
        wait_firsts(&engine, "undo", n);
        wait_until(|| (program_metric(&program, "abandoned") == n as u64).then_some(()));
    }
    assert_eq!(asked(&engine), ["gone", "gone"]);
}

const NAME: &str = "pg.fret-atlas.test";

fn secure(program: &Program, authority: &Authority) -> Tls {
    let stream = RawClient::open(program.second.expect("on")).stream;
    stream.set_write_timeout(Some(Duration::from_secs(20))).expect("set");
    authority.secure(stream, NAME, &startup())
}

/// Requests that are buffered completely are answered in order; one that was cut is never read as a message; and the
/// final error names the bound.
#[test]
fn overrun_session_answers_complete_requests_then_ends_with_an_error() {
    for side in SIDES {
        let release = Arc::new(AtomicBool::new(false));
        let go = Arc::clone(&release);
        let engine = Engine::start(move |command| {
            wait_until(|| go.load(Ordering::SeqCst).then_some(()));
            row(selected(command))
        });
        let program = program(&[("s-1", engine.address)], None, OPERATOR);
        let mut raw = session(&program, side);
        // Of different lengths, so that the cut is in the middle of one.
        let all: Vec<Vec<u8>> =
            (0..200).map(|n| side.request(n, &format!("n{n}"), 9_000 + 37 * n as usize)).collect();
        raw.send(&all[0]);
        engine.wait_for("do", 1);
        let sent = raw.stream.write_all(&all[1..].concat());
        assert!(sent.is_ok(), "{side:?}: the front reads on: {sent:?}");
        all_read(&raw);
        release.store(true, Ordering::SeqCst);
        let got: Vec<Message> = std::iter::from_fn(|| raw.message()).collect();
        let served = rows(&got);
        assert_eq!(served, (0..served.len()).map(|n| format!("n{n}|b|c")).collect::<Vec<_>>(), "{side:?}");
        let bytes = |n: usize| all[1..=n].iter().map(Vec::len).sum::<usize>();
        assert!(bytes(served.len() - 1) <= side.bound(), "{side:?}: {} served", served.len());
        assert!(bytes(served.len()) > side.bound(), "{side:?}: {} served", served.len());
        let [code, message, ..] = error_fields(&got);
        assert_eq!(code, "54000", "{side:?}: {message}");
        assert!(message.contains(&side.bound().to_string()), "{message}");
        assert_eq!(asked(&engine).len(), served.len(), "nothing else was asked for");
    }
}

/// The read-ahead of all sessions is bounded too, here to a sixteenth of the memory. A session that exceeds it gets an
/// error that says so, and the buffers of a session that has ended are free again.
#[test]
fn read_ahead_of_all_sessions_is_bounded() {
    let engine = Engine::start(|_| Reply::Hold);
    let vars = [("EDGE_OPERATOR", "127.0.0.1:0")];
    let listed = [("s-1", engine.address)];
    let program = Program::launch_in(&vars, None, &listed, None, Some(OPERATOR), (16, 1024), SETTINGS, &[]);
    let to = Side::Second.address(&program);
    let begin = |open: u64| {
        let mut raw = session(&program, Side::Second);
        raw.send(&Side::Second.request(1, "gone", 1));
        // It does not matter whether it has reached the engine.
        wait_until(|| (program_metric(&program, "outstanding") == open).then_some(()));
        raw.send(&Side::Second.pile(false));
        all_read(&raw);
        raw
    };
    let end = |mut raw: RawClient| {
        raw.cancel(to);
        let all: Vec<Message> = std::iter::from_fn(|| raw.message()).collect();
        let errors = all.into_iter().filter(|m| m.0 == b'E');
        errors.map(|m| error_fields(&[m])[0].clone()).collect::<Vec<_>>()
    };
    let (first, second) = (begin(1), begin(2));
    assert_eq!(end(second), ["57014", "53200"]);
    assert_eq!(end(first), ["57014", "54000"]);
    assert_eq!(end(begin(1)), ["57014", "54000"]);
}

/// Resident memory in bytes.
fn resident(program: &Program) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.id())).expect("read");
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("a line");
    line.trim().trim_end_matches(" kB").parse::<usize>().expect("a number") << 10
}

/// Clients that never stop writing behind an open request: they hold no more than their bound, others are served
/// meanwhile, and in the end their request and session are ended.
#[test]
fn flooding_sessions_hold_bounded_memory_and_are_ended() {
    const FLOOD: usize = 40 << 20;
    let engine =
        Engine::start(
            |command| if selected(command) == "gone" { Reply::Hold } else { row(selected(command)) },
        );
    let program = program(&[("s-1", engine.address)], None, OPERATOR);
    let mut other = session(&program, Side::Platform);
    let before = resident(&program);
    let (done, most) = (AtomicBool::new(false), std::sync::atomic::AtomicUsize::new(0));
    thread::scope(|scope| {
        let floods: Vec<_> = (0..8u64)
            .map(|n| {
                let (program, side) = (&program, SIDES[n as usize % 2]);
                scope.spawn(move || {
                    let mut raw = session(program, side);
                    raw.send(&side.request(100 + n, "gone", 1));
                    let piece = side.pile(false);
                    let mut sent = 0;
                    while sent < FLOOD && raw.stream.write_all(&piece).is_ok() {
                        sent += piece.len();
                    }
                    // The front reads more than it discards behind a request: it lingers after its final error.
                    let last = std::iter::from_fn(|| raw.message()).find(|m| m.0 == b'E');
                    error_fields(&[last.expect("a last word")])[0].clone()
                })
            })
            .collect();
        let watch = scope.spawn(|| {
            while !done.load(Ordering::SeqCst) {
                most.fetch_max(resident(&program), Ordering::SeqCst);
                thread::sleep(Duration::from_millis(1));
            }
        });
        for n in 0..60 {
            other.send(&Side::Platform.request(n, "later", 1));
            assert_eq!(rows(&other.until_ready()), ["later|b|c"]);
        }
        let words: Vec<String> = floods.into_iter().map(|f| f.join().expect("it ended")).collect();
        done.store(true, Ordering::SeqCst);
        watch.join().expect("watched");
        assert_eq!(words, ["54000"; 8]);
    });
    assert_eq!(program_metric(&program, "outstanding"), 0, "their requests were called off");
    let grown = most.load(Ordering::SeqCst).saturating_sub(before);
    eprintln!("resident memory grew by {} KiB at most", grown >> 10);
    // Four sessions of the second front hold 1 MiB each, four of the platform's 64 KiB; at least 128 MiB were sent.
    assert!(grown < 24 << 20, "{grown} bytes more at most");
}

/// A CancelRequest that arrives between two requests has no effect: the next one is served.
#[test]
fn cancel_between_requests_does_not_cancel_the_next() {
    let engine = engine();
    let program = program(&[("s-1", engine.address)], None, OPERATOR);
    for side in SIDES {
        let mut raw = session(&program, side);
        for n in 0..20 {
            heard(&raw, side.address(&program));
            raw.send(&side.request(n, "later", 1));
            assert_eq!(rows(&raw.until_ready()), ["later|b|c"], "{side:?}");
        }
    }
}

/// Sends a CancelRequest and waits until the program has read it.
fn heard(raw: &RawClient, to: SocketAddr) {
    let mut other = RawClient::open(to);
    other.send(&[&16u32.to_be_bytes()[..], &80_877_102u32.to_be_bytes(), &raw.key].concat());
    assert!(other.message().is_none(), "no word is owed");
}

/// A CancelRequest arrives while its session is blocked writing an answer that its client does not read. It cancels the
/// batch, which is what is open: the next Execute fails, and what follows is skipped up to Sync.
#[test]
fn cancel_during_blocked_write_ends_the_batch() {
    let page = || "x\ty\tz\n".repeat(950);
    let engine = Engine::start(move |_| Reply::Pages((0..8).map(|_| page()).collect()));
    let program = program(&[("s-1", engine.address)], None, OPERATOR);
    let mut raw = session(&program, Side::Second);
    let sql = "/* kind=lane-rate,timeout=20000,ms=5 */ SELECT a FROM sales_17.orders";
    let batch = 400;
    raw.send(&parse("", sql));
    raw.send(&[bind("", "", &[]), execute("", 0)].concat().repeat(batch));
    raw.send(&sync());
    // A CancelRequest that arrives before cancels the open request, which shows nothing but does no harm.
    stuck(&engine);
    heard(&raw, Side::Second.address(&program));
    let got = raw.until_ready();
    let [code, message, ..] = error_fields(&got);
    assert_eq!((code.as_str(), message.as_str()), ("57014", "canceled at the client's request"));
    let served = message_types(&got).matches('C').count();
    assert!(served < batch, "{served} served");
    let begun = asked(&engine).len();
    assert!(begun <= served + 1, "{begun} begun, {served} served, one of them called off");
    assert_eq!(message_types(&raw.ask("")), "IZ", "the session goes on");
}

/// A client's end arrives while its session is blocked writing an answer. Once the client has read it, nothing more of
/// its batch is started, however much stands before the end.
#[test]
fn disconnect_during_blocked_write_starts_no_further_request() {
    let page = || "x\ty\tz\n".repeat(950);
    let engine = Engine::start(move |_| Reply::Pages((0..8).map(|_| page()).collect()));
    let program = program(&[("s-1", engine.address)], None, OPERATOR);
    let mut raw = session(&program, Side::Second);
    let sql = "/* kind=lane-rate,timeout=30000,ms=5 */ SELECT a FROM sales_17.orders";
    raw.send(&parse("", sql));
    raw.send(&[bind("", "", &[]), execute("", 0)].concat().repeat(400));
    stuck(&engine);
    let pile: Vec<u8> = (0..400).flat_map(|n| Side::Second.request(n, "piled", 2_000)).collect();
    assert!((600 << 10..1 << 20).contains(&pile.len()), "within the bound: {}", pile.len());
    raw.send(&pile);
    // Shut, not closed: a close with an answer unread would send a reset, which is seen by itself.
    raw.stream.shutdown(std::net::Shutdown::Write).expect("shut");
    all_read(&raw);
    wait_until(|| (program_metric(&program, "outstanding") == 0).then_some(()));
    let begun = engine.received("do").len();
    let got: Vec<Message> = std::iter::from_fn(|| raw.message()).collect();
    assert_eq!(message_types(&got).matches('E').count(), 0);
    assert!(begun < 400, "{begun} begun");
    assert_eq!(engine.received("do").len(), begun, "nothing began once its end was read");
}

/// Waits until no request has arrived for long: more has been answered then than the system buffers for a client that
/// does not read.
fn stuck(engine: &Engine) {
    let mut last = 0;
    wait_until(|| {
        thread::sleep(Duration::from_millis(300));
        let now = engine.received("do").len();
        (std::mem::replace(&mut last, now) == now && now > 0).then_some(())
    });
}

/// A CancelRequest needs no slot: a waiting request can be cancelled while no session can start.
#[test]
fn cancel_is_accepted_when_all_slots_are_occupied() {
    let engine = Engine::start(|_| Reply::Hold);
    let operator = r#"{"listen":"127.0.0.1:0","max_sessions":1,"default_tenant":"sud"}"#;
    let program = program(&[("s-1", engine.address)], None, operator);
    let to = Side::Second.address(&program);
    let mut raw = session(&program, Side::Second);
    raw.send(&Side::Second.request(1, "gone", 1));
    engine.wait_for("do", 1);
    let mut turned_away = RawClient::open(to);
    turned_away.send(&startup());
    assert_eq!(error_fields(&[turned_away.message().expect("a word")])[0], "53300");
    heard(&raw, to);
    assert_eq!(error_fields(&raw.until_ready())[0], "57014");
    engine.wait_for("undo", 1);
}

fn signal(program: &Program, name: &str) {
    let id = program.id().to_string();
    assert!(Command::new("kill").args([name, &id]).status().expect("kill").success());
}

/// Requests whose CancelRequest arrived before the program could read either: each is cancelled.
#[test]
fn cancel_directly_after_its_request_is_not_lost() {
    let engine = Engine::start(|_| Reply::Hold);
    let program = program(&[("s-1", engine.address)], None, OPERATOR);
    for side in SIDES {
        let mut all: Vec<(RawClient, RawClient)> =
            (0..16).map(|_| (session(&program, side), RawClient::open(side.address(&program)))).collect();
        signal(&program, "-STOP");
        for (n, (raw, other)) in all.iter_mut().enumerate() {
            raw.send(&side.request(n as u64, "gone", 1));
            other.send(&[&16u32.to_be_bytes()[..], &80_877_102u32.to_be_bytes(), &raw.key].concat());
        }
        signal(&program, "-CONT");
        for (raw, _) in &mut all {
            assert_eq!(error_fields(&raw.until_ready())[1], "canceled at the client's request", "{side:?}");
        }
    }
}

/// Requests of a client that has left are not submitted: its end directly follows them, and all arrived while the
/// program was suspended.
#[test]
fn pipelined_requests_of_a_departed_client_are_not_submitted() {
    let engine = engine();
    let program = program(&[("s-1", engine.address)], None, OPERATOR);
    for side in SIDES {
        let mut left: Vec<RawClient> = (0..8).map(|_| session(&program, side)).collect();
        let mut other = session(&program, side);
        signal(&program, "-STOP");
        for raw in &mut left {
            raw.send(&[query(""), side.request(1, "gone", 1), side.request(2, "gone", 1)].concat());
        }
        // Shut, not closed: a close with an answer unread would send a reset, which is seen by itself.
        left.iter().for_each(|raw| raw.stream.shutdown(std::net::Shutdown::Write).expect("shut"));
        signal(&program, "-CONT");
        for raw in &mut left {
            assert_eq!(message_types(&raw.until_ready()), "IZ", "what needs no engine is answered");
            let rest: Vec<Message> = std::iter::from_fn(|| raw.message()).collect();
            // On the second front Parse and Bind, which are no requests, are still handled.
            assert_eq!(
                message_types(&rest),
                if side == Side::Second { "12" } else { "" },
                "{side:?}: it has gone"
            );
        }
        other.send(&side.request(7, "later", 1));
        assert_eq!(rows(&other.until_ready()), ["later|b|c"]);
    }
    assert_eq!(asked(&engine), ["later"; 2]);
    assert_eq!(program_metric(&program, "abandoned"), 0, "none of them was taken");
}

/// However many sessions end at a time, no connection is closed with unread input: a reset could destroy the final
/// error.
#[test]
fn many_simultaneous_closes_all_deliver_the_final_error_and_a_clean_end() {
    let program = Program::start(&[], None, None);
    let mut all: Vec<RawClient> = (0..100).map(|_| RawClient::connect(program.platform)).collect();
    signal(&program, "-STOP");
    let bad = [&[b'Q', 0xff, 0xff, 0xff, 0xff][..], &vec![b'x'; 90_000]].concat();
    all.iter_mut().for_each(|raw| raw.send(&bad));
    signal(&program, "-CONT");
    for (n, raw) in all.iter_mut().enumerate() {
        assert_eq!(error_fields(&[raw.message().expect("a last word")])[0], "08P01", "session {n}");
        let end = raw.stream.read(&mut [0]).map_err(|e| e.kind());
        assert!(matches!(end, Ok(0)), "session {n}: {end:?}, {:?} is a reset", ErrorKind::ConnectionReset);
    }
}
