//! A client leaves while its request waits: by a close, a reset or a CancelRequest, after it has sent more
//! bytes than a session may read ahead. Tested on both fronts and in each state in which a request can wait:
//! no engine gets a further request of that client, and other clients are served.
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

#[derive(Clone, Copy, Debug, PartialEq)]
enum Front {
    Platform,
    Second,
}
const FRONTS: [Front; 2] = [Front::Platform, Front::Second];

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Departure {
    Close,
    Reset,
    Cancel,
}
const DEPARTURES: [Departure; 3] = [Departure::Close, Departure::Reset, Departure::Cancel];

impl Front {
    fn address(self, program: &Program) -> SocketAddr {
        match self {
            Front::Platform => program.platform,
            Front::Second => program.second.expect("the second front is on"),
        }
    }
    /// Number of bytes that a session may read ahead. If a session exceeds this limit, its final error names
    /// it.
    fn read_ahead_limit(self) -> usize {
        match self {
            Front::Platform => 64 << 10,
            Front::Second => 1 << 20,
        }
    }
    /// A request that selects `column`, with a string literal of `padding` bytes.
    fn request(self, req: u64, column: &str, padding: usize) -> Vec<u8> {
        let sql = format!("SELECT {column} FROM sales_17.orders WHERE name = '{}'", "x".repeat(padding));
        match self {
            Front::Platform => {
                query(&format!("/* kind=lane-rate,req={req:016x},timeout=20000,owner=sud,ms=5 */ {sql}"))
            }
            Front::Second => {
                let sql = format!("/* kind=lane-rate,timeout=20000,ms=5 */ {sql}");
                [parse("", &sql), bind("", "", &[]), execute("", 0), sync()].concat()
            }
        }
    }
    /// Complete messages that together exceed the read-ahead limit: requests if `with_requests` is true,
    /// otherwise messages that request nothing.
    fn overflow(self, with_requests: bool) -> Vec<u8> {
        let size = self.read_ahead_limit() + (200 << 10);
        let mut messages = Vec::new();
        let mut id = 1_000;
        while messages.len() < size {
            id += 1;
            match (with_requests, self) {
                (true, _) => messages.extend(self.request(id, "pipelined", 2_000)),
                (false, Front::Platform) => messages.extend(query("")),
                (false, Front::Second) => messages.extend(framed(b'H', b"")),
            }
        }
        messages
    }
}

fn start_program(engines: &[(&str, SocketAddr)], feed: Option<&Feed>, operator: &str) -> Program {
    let vars = [("EDGE_OPERATOR", "127.0.0.1:0")];
    Program::launch_in(&vars, None, engines, feed, Some(operator), (192, 1024), SETTINGS, &[])
}

fn program_metric(program: &Program, name: &str) -> u64 {
    metric(program.operators.expect("an address"), name)
}

/// Starts a session whose writes time out within the test.
fn session(program: &Program, front: Front) -> RawClient {
    let client = RawClient::connect(front.address(program));
    client.stream.set_write_timeout(Some(Duration::from_secs(20))).expect("set");
    client
}

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().expect("a runtime");
    stream.set_nonblocking(true).expect("set");
    let _entered = runtime.enter();
    let stream = tokio::net::TcpStream::from_std(stream).expect("registered");
    stream.set_zero_linger().expect("set");
    drop(stream);
}

/// Waits until the program has read everything that was written to it, including the end of the stream: the
/// client's send queue and the program's receive queue are empty.
fn wait_until_all_read(client: &RawClient) {
    let (local, peer) = (client.stream.local_addr(), client.stream.peer_addr());
    let ports = [local.expect("an address").port(), peer.expect("an address").port()];
    let port = |field: &str| u16::from_str_radix(field.rsplit(':').next().expect("a port"), 16).expect("hex");
    wait_until(|| {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("read");
        let lines = table.lines().skip(1).map(|l| l.split_whitespace().collect::<Vec<_>>());
        let (mut is_sent, mut is_read) = (None, None);
        for line in lines {
            let queues = line[4].split_once(':').expect("two queues");
            match [port(line[1]), port(line[2])] {
                pair if pair == ports => is_sent = Some(queues.0 == "00000000"),
                [peer, local] if [local, peer] == ports => is_read = Some(queues.1 == "00000000"),
                _ => {}
            }
        }
        (is_sent == Some(true) && is_read == Some(true)).then_some(())
    });
}

/// Columns selected by the requests that the engine received, once per request: on a slow machine a request
/// whose client is still connected may be retried.
fn selected_columns(engine: &Engine) -> Vec<String> {
    first_commands(engine, "do").iter().map(|c| selected_column(c).to_owned()).collect()
}

/// The first command with this word for each request.
fn first_commands(engine: &Engine, word: &str) -> Vec<ReceivedCommand> {
    let mut ids = std::collections::BTreeSet::new();
    engine.received(word).into_iter().filter(|c| ids.insert(c.parts[1].clone())).collect()
}

/// Waits until the engine has received commands with this word for `count` requests.
fn wait_for_requests(engine: &Engine, word: &str, count: usize) {
    wait_until(|| (first_commands(engine, word).len() >= count).then_some(()));
}

/// Name of the column that a request selects.
fn selected_column(command: &ReceivedCommand) -> &str {
    command.parts[3].split(' ').nth(1).unwrap_or_default()
}

fn row(first_column: &str) -> Reply {
    Reply::Pages(vec![format!("{first_column}\tb\tc\n")])
}

/// Starts an engine that answers each request with the name of the column that it selects.
fn start_engine() -> Engine {
    Engine::start(|command| row(selected_column(command)))
}

/// Sends more bytes than the session may read ahead, then leaves. Returns once the program has noticed the
/// departure.
fn leave(program: &Program, front: Front, departure: Departure, mut client: RawClient) {
    let abandoned = program_metric(program, "abandoned");
    let sent = client.stream.write_all(&front.overflow(departure != Departure::Cancel));
    assert!(sent.is_ok(), "{front:?} {departure:?}: the front must continue to read: {sent:?}");
    match departure {
        Departure::Close => drop(client),
        Departure::Reset => reset(client.stream),
        Departure::Cancel => {
            wait_until_all_read(&client);
            client.cancel(front.address(program));
            let cancelled = std::iter::from_fn(|| client.message()).find(|m| m.0 == b'E').expect("an error");
            assert_eq!(error_fields(&[cancelled])[0], "57014", "{front:?}");
            let last = std::iter::from_fn(|| client.message()).find(|m| m.0 == b'E').expect("a final error");
            let [code, message, _, hint] = error_fields(&[last]);
            assert_eq!(code, "54000", "{front:?}: {message}");
            assert!(message.contains(&front.read_ahead_limit().to_string()) && !hint.is_empty(), "{message}");
            assert!(client.message().is_none());
            return;
        }
    }
    wait_until(|| (program_metric(program, "abandoned") == abandoned + 1).then_some(()));
}

/// Checks that the client `other`, whose session was open all the time, is served, and that its request is
/// the only one that the engine received after those that select the columns of `before`.
fn check_only_later_request_sent(
    front: Front,
    departure: Departure,
    engine: &Engine,
    mut other: RawClient,
    before: &[&str],
) {
    other.send(&front.request(7, "later", 1));
    assert_eq!(rows(&other.until_ready()), ["later|b|c"], "{front:?} {departure:?}");
    assert_eq!(selected_columns(engine), [before, &["later"]].concat(), "{front:?} {departure:?}");
}

fn for_each_front_and_departure(test: impl Fn(Front, Departure)) {
    FRONTS.iter().for_each(|front| DEPARTURES.iter().for_each(|departure| test(*front, *departure)));
}

/// The request is queued in the policy because there is no engine yet.
#[test]
fn disconnect_while_queued_sends_nothing() {
    for_each_front_and_departure(|front, departure| {
        let (engine, feed) = (start_engine(), Feed::start());
        feed.send("{\"n\":1}");
        let program = start_program(&[], Some(&feed), OPERATOR);
        let (mut client, other) = (session(&program, front), session(&program, front));
        client.send(&front.request(1, "gone", 1));
        wait_until(|| (program_metric(&program, "outstanding") == 1).then_some(()));
        leave(&program, front, departure, client);
        feed.send(list_event(2, false, &[("s-1", engine.address, "ready")]));
        program.wait_line("engine_id=s-1 phase=Ready");
        check_only_later_request_sent(front, departure, &engine, other, &[]);
    });
}

/// The request waits for a connection that is not yet established.
#[test]
fn disconnect_during_dial_sends_nothing() {
    for_each_front_and_departure(|front, departure| {
        let listener = DelayedListener::listen();
        let program = start_program(&[("s-1", listener.address)], None, OPERATOR);
        let (mut client, other) = (session(&program, front), session(&program, front));
        client.send(&front.request(1, "gone", 1));
        wait_until(|| (program_metric(&program, "outstanding") == 1).then_some(()));
        leave(&program, front, departure, client);
        let engine = listener.open(|command| row(selected_column(command)));
        check_only_later_request_sent(front, departure, &engine, other, &[]);
    });
}

/// The request waits between two attempts: an engine rejected the first attempt, and there is no other
/// engine.
#[test]
fn disconnect_between_attempts_prevents_a_retry() {
    for_each_front_and_departure(|front, departure| {
        let drained = Arc::new(AtomicBool::new(false));
        let is_drained = Arc::clone(&drained);
        // The marker request is answered directly after the rejection: its answer shows that the rejection
        // was read.
        let first = Engine::start(move |command| {
            if selected_column(command) == "marker" {
                return Reply::Hold;
            }
            wait_until(|| is_drained.load(Ordering::SeqCst).then_some(()));
            let marker = format!("{:016x}", 9);
            let answer = |parts: &[&str]| {
                let encoded: String = parts.iter().map(|p| format!("${}\r\n{p}\r\n", p.len())).collect();
                format!("*{}\r\n{encoded}", parts.len())
            };
            let rejection = answer(&[&command.parts[1], "overload", "-", ""]);
            Reply::Raw(rejection + &answer(&[&marker, "served", "batches=1,cpu=5", "marker\tb\tc\n"]))
        });
        let (second, feed) = (start_engine(), Feed::start());
        feed.send("{\"n\":1}");
        let program = start_program(&[("s-1", first.address)], Some(&feed), OPERATOR);
        let (mut client, other) = (session(&program, front), session(&program, front));
        let mut marker = session(&program, Front::Platform);
        marker.send(&Front::Platform.request(9, "marker", 1));
        first.wait_for("do", 1);
        client.send(&front.request(1, "gone", 1));
        first.wait_for("do", 2);
        feed.send(list_event(2, false, &[("s-1", first.address, "draining")]));
        program.wait_line("engine_id=s-1 phase=Draining");
        drained.store(true, Ordering::SeqCst);
        assert_eq!(rows(&marker.until_ready()), ["marker|b|c"]);
        assert_eq!(program_metric(&program, "outstanding"), 1, "the request waits for another attempt");
        leave(&program, front, departure, client);
        let before = first.received("do").len();
        feed.send(list_event(3, false, &[("s-2", second.address, "ready")]));
        program.wait_line("engine_id=s-2 phase=Ready");
        check_only_later_request_sent(front, departure, &second, other, &[]);
        assert_eq!(selected_columns(&first), ["marker", "gone"]);
        assert_eq!(first.received("do").len(), before, "no further attempt after the client left");
    });
}

/// The program also notices under TLS that a client has disconnected, with or without a close_notify.
#[test]
fn disconnect_under_tls_is_noticed_behind_unread_bytes() {
    let engine = Engine::start(|command| {
        if selected_column(command) == "gone" {
            Reply::Hold
        } else {
            row(selected_column(command))
        }
    });
    // The port was free just before: the program's configuration needs a fixed port.
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
    let program = start_program(&[("s-1", engine.address)], None, &operator);
    program.wait_line("certificate renewed");
    for (count, departure) in [(1, Departure::Close), (2, Departure::Reset)] {
        let mut tls = secure(&program, &authority);
        tls.write_all(&Front::Second.request(1, "gone", 1)).expect("written");
        wait_for_requests(&engine, "do", count);
        tls.write_all(&Front::Second.overflow(true)).expect("the front continues to read");
        match departure {
            Departure::Reset => reset(tls.into_parts().1),
            _ => drop(tls),
        }
        wait_for_requests(&engine, "undo", count);
        wait_until(|| (program_metric(&program, "abandoned") == count as u64).then_some(()));
    }
    assert_eq!(selected_columns(&engine), ["gone", "gone"]);
}

const NAME: &str = "pg.fret-atlas.test";

fn secure(program: &Program, authority: &Authority) -> Tls {
    let stream = RawClient::open(program.second.expect("the second front is on")).stream;
    stream.set_write_timeout(Some(Duration::from_secs(20))).expect("set");
    authority.secure(stream, NAME, &startup())
}

/// When a session exceeds the read-ahead limit, requests that are buffered completely are answered in order,
/// a request that is truncated at the limit is never read, and the final error names the limit.
#[test]
fn overrun_session_answers_complete_requests_then_ends_with_an_error() {
    for front in FRONTS {
        let release = Arc::new(AtomicBool::new(false));
        let is_released = Arc::clone(&release);
        let engine = Engine::start(move |command| {
            wait_until(|| is_released.load(Ordering::SeqCst).then_some(()));
            row(selected_column(command))
        });
        let program = start_program(&[("s-1", engine.address)], None, OPERATOR);
        let mut client = session(&program, front);
        // The requests have different lengths, so that the limit is in the middle of a request.
        let requests: Vec<Vec<u8>> =
            (0..200).map(|n| front.request(n, &format!("n{n}"), 9_000 + 37 * n as usize)).collect();
        client.send(&requests[0]);
        engine.wait_for("do", 1);
        let sent = client.stream.write_all(&requests[1..].concat());
        assert!(sent.is_ok(), "{front:?}: the front must continue to read: {sent:?}");
        wait_until_all_read(&client);
        release.store(true, Ordering::SeqCst);
        let messages: Vec<Message> = std::iter::from_fn(|| client.message()).collect();
        let served_rows = rows(&messages);
        let served = served_rows.len();
        assert_eq!(served_rows, (0..served).map(|n| format!("n{n}|b|c")).collect::<Vec<_>>(), "{front:?}");
        let bytes = |n: usize| requests[1..=n].iter().map(Vec::len).sum::<usize>();
        assert!(bytes(served - 1) <= front.read_ahead_limit(), "{front:?}: {served} served");
        assert!(bytes(served) > front.read_ahead_limit(), "{front:?}: {served} served");
        let [code, message, ..] = error_fields(&messages);
        assert_eq!(code, "54000", "{front:?}: {message}");
        assert!(message.contains(&front.read_ahead_limit().to_string()), "{message}");
        assert_eq!(selected_columns(&engine).len(), served, "no other request was sent");
    }
}

/// The total read-ahead of all sessions is limited to an eighth of the pool of buffers, in this test to 24
/// buffers. A session that exceeds the total gets another error code (53200) than one that exceeds its own limit (54000), and the
/// buffers of a session that has ended become available again.
#[test]
fn read_ahead_of_all_sessions_is_bounded() {
    let engine = Engine::start(|_| Reply::Hold);
    let vars = [("EDGE_OPERATOR", "127.0.0.1:0")];
    let listed = [("s-1", engine.address)];
    let program = Program::launch_in(&vars, None, &listed, None, Some(OPERATOR), (32, 1024), SETTINGS, &[]);
    let to = Front::Second.address(&program);
    let start_session = |outstanding: u64| {
        let mut client = session(&program, Front::Second);
        client.send(&Front::Second.request(1, "gone", 1));
        // It does not matter whether the request has reached the engine.
        wait_until(|| (program_metric(&program, "outstanding") == outstanding).then_some(()));
        client.send(&Front::Second.overflow(false));
        wait_until_all_read(&client);
        client
    };
    let cancel_and_read_errors = |mut client: RawClient| {
        client.cancel(to);
        let messages: Vec<Message> = std::iter::from_fn(|| client.message()).collect();
        let errors = messages.into_iter().filter(|m| m.0 == b'E');
        errors.map(|m| error_fields(&[m])[0].clone()).collect::<Vec<_>>()
    };
    let (first, second) = (start_session(1), start_session(2));
    assert_eq!(cancel_and_read_errors(second), ["57014", "53200"]);
    assert_eq!(cancel_and_read_errors(first), ["57014", "54000"]);
    assert_eq!(cancel_and_read_errors(start_session(1)), ["57014", "54000"]);
}

/// Resident memory of the program in bytes.
fn resident_bytes(program: &Program) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.id())).expect("read");
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("a line");
    line.trim().trim_end_matches(" kB").parse::<usize>().expect("a number") << 10
}

/// Clients continue to write while their request is open: their sessions buffer no more than the limit, other
/// clients are served meanwhile, and finally the requests are cancelled and the sessions ended.
#[test]
fn flooding_sessions_use_bounded_memory_and_are_ended() {
    const FLOOD_BYTES: usize = 40 << 20;
    let engine = Engine::start(|command| {
        if selected_column(command) == "gone" {
            Reply::Hold
        } else {
            row(selected_column(command))
        }
    });
    let program = start_program(&[("s-1", engine.address)], None, OPERATOR);
    let mut other = session(&program, Front::Platform);
    let before = resident_bytes(&program);
    let (done, peak) = (AtomicBool::new(false), std::sync::atomic::AtomicUsize::new(0));
    thread::scope(|scope| {
        let floods: Vec<_> = (0..8u64)
            .map(|n| {
                let (program, front) = (&program, FRONTS[n as usize % 2]);
                scope.spawn(move || {
                    let mut client = session(program, front);
                    client.send(&front.request(100 + n, "gone", 1));
                    let chunk = front.overflow(false);
                    let mut sent = 0;
                    while sent < FLOOD_BYTES && client.stream.write_all(&chunk).is_ok() {
                        sent += chunk.len();
                    }
                    // The front continues to read and discard input after its final error, which a reset
                    // could destroy.
                    let last = std::iter::from_fn(|| client.message()).find(|m| m.0 == b'E');
                    error_fields(&[last.expect("a final error")])[0].clone()
                })
            })
            .collect();
        let sampler = scope.spawn(|| {
            while !done.load(Ordering::SeqCst) {
                peak.fetch_max(resident_bytes(&program), Ordering::SeqCst);
                thread::sleep(Duration::from_millis(1));
            }
        });
        for n in 0..60 {
            other.send(&Front::Platform.request(n, "later", 1));
            assert_eq!(rows(&other.until_ready()), ["later|b|c"]);
        }
        let codes: Vec<String> = floods.into_iter().map(|f| f.join().expect("the session ended")).collect();
        done.store(true, Ordering::SeqCst);
        sampler.join().expect("sampled");
        assert_eq!(codes, ["54000"; 8]);
    });
    assert_eq!(program_metric(&program, "outstanding"), 0, "their requests were cancelled");
    let growth = peak.load(Ordering::SeqCst).saturating_sub(before);
    eprintln!("resident memory grew by {} KiB at most", growth >> 10);
    // Four sessions of the second front buffer 1 MiB each, four of the platform's front 64 KiB; at least 128
    // MiB were sent.
    assert!(growth < 24 << 20, "resident memory grew by {growth} bytes");
}

/// A CancelRequest that arrives between two requests has no effect: the next request is served.
#[test]
fn cancel_between_requests_does_not_cancel_the_next() {
    let engine = start_engine();
    let program = start_program(&[("s-1", engine.address)], None, OPERATOR);
    for front in FRONTS {
        let mut client = session(&program, front);
        for n in 0..20 {
            send_cancel_and_wait(&client, front.address(&program));
            client.send(&front.request(n, "later", 1));
            assert_eq!(rows(&client.until_ready()), ["later|b|c"], "{front:?}");
        }
    }
}

/// Sends a CancelRequest and waits until the program has read it.
fn send_cancel_and_wait(client: &RawClient, to: SocketAddr) {
    let mut cancel_connection = RawClient::open(to);
    cancel_connection.send(&[&16u32.to_be_bytes()[..], &80_877_102u32.to_be_bytes(), &client.key].concat());
    assert!(cancel_connection.message().is_none(), "a CancelRequest gets no answer");
}

/// A CancelRequest arrives while its session is blocked writing an answer that its client does not read. It
/// cancels the open batch: the next Execute fails, and the messages after it are skipped up to Sync.
#[test]
fn cancel_during_blocked_write_ends_the_batch() {
    let page = || "x\ty\tz\n".repeat(950);
    let engine = Engine::start(move |_| Reply::Pages((0..8).map(|_| page()).collect()));
    let program = start_program(&[("s-1", engine.address)], None, OPERATOR);
    let mut client = session(&program, Front::Second);
    let sql = "/* kind=lane-rate,timeout=20000,ms=5 */ SELECT a FROM sales_17.orders";
    let batch = 400;
    client.send(&parse("", sql));
    client.send(&[bind("", "", &[]), execute("", 0)].concat().repeat(batch));
    client.send(&sync());
    // A CancelRequest that arrived earlier would only cancel the open request, which this test does not
    // check.
    wait_until_blocked(&engine);
    send_cancel_and_wait(&client, Front::Second.address(&program));
    let messages = client.until_ready();
    let [code, message, ..] = error_fields(&messages);
    assert_eq!((code.as_str(), message.as_str()), ("57014", "canceled at the client's request"));
    let served_count = message_types(&messages).matches('C').count();
    assert!(served_count < batch, "{served_count} served");
    let started = selected_columns(&engine).len();
    assert!(
        started <= served_count + 1,
        "{started} requests started and {served_count} served; at most one may be cancelled"
    );
    assert_eq!(message_types(&client.ask("")), "IZ", "the session continues");
}

/// A client shuts down its connection while its session is blocked writing an answer. Once the client has
/// read that answer, no further request of its batch is started, however many messages precede the end of
/// stream.
#[test]
fn disconnect_during_blocked_write_starts_no_further_request() {
    let page = || "x\ty\tz\n".repeat(950);
    let engine = Engine::start(move |_| Reply::Pages((0..8).map(|_| page()).collect()));
    let program = start_program(&[("s-1", engine.address)], None, OPERATOR);
    let mut client = session(&program, Front::Second);
    let sql = "/* kind=lane-rate,timeout=30000,ms=5 */ SELECT a FROM sales_17.orders";
    client.send(&parse("", sql));
    client.send(&[bind("", "", &[]), execute("", 0)].concat().repeat(400));
    wait_until_blocked(&engine);
    let pipelined: Vec<u8> = (0..400).flat_map(|n| Front::Second.request(n, "pipelined", 2_000)).collect();
    assert!((600 << 10..1 << 20).contains(&pipelined.len()), "within the limit: {}", pipelined.len());
    client.send(&pipelined);
    // Shut down, not closed: a close with an unread answer would send a reset, which is noticed in another
    // way.
    client.stream.shutdown(std::net::Shutdown::Write).expect("shut down");
    wait_until_all_read(&client);
    wait_until(|| (program_metric(&program, "outstanding") == 0).then_some(()));
    let started = engine.received("do").len();
    let messages: Vec<Message> = std::iter::from_fn(|| client.message()).collect();
    assert_eq!(message_types(&messages).matches('E').count(), 0);
    assert!(started < 400, "{started} requests started");
    assert_eq!(engine.received("do").len(), started, "no request started after the client's end was read");
}

/// Waits until no request has arrived for 300 ms: by then the answers exceed what the system buffers for a
/// client that does not read.
fn wait_until_blocked(engine: &Engine) {
    let mut last = 0;
    wait_until(|| {
        thread::sleep(Duration::from_millis(300));
        let now = engine.received("do").len();
        (std::mem::replace(&mut last, now) == now && now > 0).then_some(())
    });
}

/// A CancelRequest needs no session slot: a waiting request can be cancelled while no session can start.
#[test]
fn cancel_is_accepted_when_all_slots_are_occupied() {
    let engine = Engine::start(|_| Reply::Hold);
    let operator = r#"{"listen":"127.0.0.1:0","max_sessions":1,"default_tenant":"sud"}"#;
    let program = start_program(&[("s-1", engine.address)], None, operator);
    let to = Front::Second.address(&program);
    let mut client = session(&program, Front::Second);
    client.send(&Front::Second.request(1, "gone", 1));
    engine.wait_for("do", 1);
    let mut rejected = RawClient::open(to);
    rejected.send(&startup());
    assert_eq!(error_fields(&[rejected.message().expect("an error")])[0], "53300");
    send_cancel_and_wait(&client, to);
    assert_eq!(error_fields(&client.until_ready())[0], "57014");
    engine.wait_for("undo", 1);
}

/// Guards against a CancelRequest that is lost, or that cancels a later request, while other clients keep the
/// program busy (review, case 10).
#[test]
fn cancel_concerns_only_what_was_sent_before_it_at_full_load() {
    const BUSY_CLIENTS: usize = 6;
    const CLIENTS: u64 = 8;
    const ROUNDS: u64 = 15;
    let engine = Engine::start(|command| match selected_column(command) {
        "gone" => Reply::Hold,
        column => row(column),
    });
    let program = start_program(&[("s-1", engine.address)], None, OPERATOR);
    let is_done = AtomicBool::new(false);
    let invalid_requests = query("/* kind=none,req=1 */ SELECT 1").repeat(300);
    thread::scope(|scope| {
        for _ in 0..BUSY_CLIENTS {
            scope.spawn(|| {
                let mut client = session(&program, Front::Platform);
                while !is_done.load(Ordering::SeqCst) {
                    client.send(&invalid_requests);
                    (0..300).for_each(|_| assert_eq!(message_types(&client.until_ready()), "EZ"));
                }
            });
        }
        let run_client = |number: u64| {
            let front = FRONTS[number as usize % 2];
            let to = front.address(&program);
            let mut client = session(&program, front);
            for round in 0..ROUNDS {
                let id = 2 * (number * ROUNDS + round);
                client.send(&front.request(id, "gone", 1));
                client.cancel(to);
                assert_eq!(error_fields(&client.until_ready())[0], "57014", "{front:?}, round {round}");
                send_cancel_and_wait(&client, to);
                client.send(&front.request(id + 1, "later", 1));
                assert_eq!(rows(&client.until_ready()), ["later|b|c"], "{front:?}, round {round}");
            }
        };
        let clients: Vec<_> = (0..CLIENTS).map(|number| scope.spawn(move || run_client(number))).collect();
        let results: Vec<_> = clients.into_iter().map(|client| client.join()).collect();
        is_done.store(true, Ordering::SeqCst);
        assert!(results.iter().all(Result::is_ok));
    });
}

fn signal(program: &Program, name: &str) {
    let id = program.id().to_string();
    assert!(Command::new("kill").args([name, &id]).status().expect("kill").success());
}

/// A request and its CancelRequest both arrive while the program is suspended: each request is cancelled.
#[test]
fn cancel_directly_after_its_request_is_not_lost() {
    let engine = Engine::start(|_| Reply::Hold);
    let program = start_program(&[("s-1", engine.address)], None, OPERATOR);
    for front in FRONTS {
        let mut clients: Vec<(RawClient, RawClient)> =
            (0..16).map(|_| (session(&program, front), RawClient::open(front.address(&program)))).collect();
        signal(&program, "-STOP");
        for (n, (client, cancel_connection)) in clients.iter_mut().enumerate() {
            client.send(&front.request(n as u64, "gone", 1));
            cancel_connection
                .send(&[&16u32.to_be_bytes()[..], &80_877_102u32.to_be_bytes(), &client.key].concat());
        }
        signal(&program, "-CONT");
        for (client, _) in &mut clients {
            assert_eq!(
                error_fields(&client.until_ready())[1],
                "canceled at the client's request",
                "{front:?}"
            );
        }
    }
}

/// Requests of a client that has left are not submitted. The end of stream directly follows the requests, and
/// both arrive while the program is suspended.
#[test]
fn pipelined_requests_of_a_departed_client_are_not_submitted() {
    let engine = start_engine();
    let program = start_program(&[("s-1", engine.address)], None, OPERATOR);
    for front in FRONTS {
        let mut departed: Vec<RawClient> = (0..8).map(|_| session(&program, front)).collect();
        let mut other = session(&program, front);
        signal(&program, "-STOP");
        for client in &mut departed {
            client.send(&[query(""), front.request(1, "gone", 1), front.request(2, "gone", 1)].concat());
        }
        // Shut down, not closed: a close with an unread answer would send a reset, which is noticed in
        // another way.
        departed
            .iter()
            .for_each(|client| client.stream.shutdown(std::net::Shutdown::Write).expect("shut down"));
        signal(&program, "-CONT");
        for client in &mut departed {
            assert_eq!(
                message_types(&client.until_ready()),
                "IZ",
                "a message that needs no engine is answered"
            );
            let rest: Vec<Message> = std::iter::from_fn(|| client.message()).collect();
            // On the second front Parse and Bind, which are not requests, are still handled.
            assert_eq!(
                message_types(&rest),
                if front == Front::Second { "12" } else { "" },
                "{front:?}: the client has left"
            );
        }
        other.send(&front.request(7, "later", 1));
        assert_eq!(rows(&other.until_ready()), ["later|b|c"]);
    }
    assert_eq!(selected_columns(&engine), ["later"; 2]);
    assert_eq!(program_metric(&program, "abandoned"), 0, "none of the requests was admitted");
}

/// When many sessions end at once, no connection is closed with unread input: a reset could destroy the final
/// error.
#[test]
fn many_simultaneous_closes_all_deliver_the_final_error_and_a_clean_end() {
    let program = Program::start(&[], None, None);
    let mut clients: Vec<RawClient> = (0..100).map(|_| RawClient::connect(program.platform)).collect();
    signal(&program, "-STOP");
    let malformed = [&[b'Q', 0xff, 0xff, 0xff, 0xff][..], &vec![b'x'; 90_000]].concat();
    clients.iter_mut().for_each(|client| client.send(&malformed));
    signal(&program, "-CONT");
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(error_fields(&[client.message().expect("a final error")])[0], "08P01", "session {n}");
        let end = client.stream.read(&mut [0]).map_err(|e| e.kind());
        assert!(matches!(end, Ok(0)), "session {n}: {end:?}, {:?} is a reset", ErrorKind::ConnectionReset);
    }
}
