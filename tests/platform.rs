//! The program on sockets: the platform's front, the engine protocol, the control feed, start and stop.
mod support;

use std::io::Write;
use std::process::Command;
use std::time::{Duration, Instant};
use support::*;

fn sql(class: &str, req: u64, extra: &str) -> String {
    format!("/* kind={class},req={req:016x},timeout=20000,owner=sud{extra} */ SELECT a FROM sales_17.orders")
}

#[test]
fn query_is_forwarded_unchanged_and_its_pages_return_in_order() {
    let page = |n: usize| (0..40).map(|i| format!("{n}\t{i}\t'quoted' \u{e9}\n")).collect::<String>();
    let engine = Engine::start(move |_| Reply::Pages((0..8).map(page).collect()));
    let program = Program::start(&[("s-1", engine.address)], None, None);
    let mut client = RawClient::connect(program.platform);
    let answer = client.ask(&sql("tariff-load", 0x9b1f_03aa_5c7e_2d41, ",opkey=5c0f6e,ms=820.0,heap_mb=96"));
    let expected: Vec<String> =
        (0..8).flat_map(|n| (0..40).map(move |i| format!("{n}|{i}|'quoted' \u{e9}"))).collect();
    assert_eq!(rows(&answer), expected);
    assert_eq!(message_types(&answer).replace('D', ""), "TCZ");
    let sent = &engine.received("do")[0];
    assert_eq!(
        (sent.parts[1].as_str(), sent.parts[3].as_str()),
        ("9b1f03aa5c7e2d41", "SELECT a FROM sales_17.orders")
    );
    assert_eq!((sent.field("class"), sent.field("once")), (Some("tariff-load"), Some("5c0f6e")));
    let number = |name: &str| sent.field(name).expect(name).parse::<u64>().expect("a number");
    assert!(number("wait") <= 20_000 && number("mb") >= 96 && number("nice") <= 3);
    let pages: Vec<String> = engine.received("page").iter().map(|s| s.parts[2].clone()).collect();
    assert_eq!(pages, ["1", "2", "3", "4", "5", "6", "7"]);
}

#[test]
fn query_directly_after_the_startup_packet_is_answered() {
    let engine = Engine::echo();
    let program = Program::start(&[("s-1", engine.address)], None, None);
    let mut client = RawClient::open(program.platform);
    let encryption =
        [80_877_104u32, 80_877_103].map(|code| [8u32.to_be_bytes(), code.to_be_bytes()].concat());
    for packet in encryption {
        client.send(&packet);
        let mut reply = [0];
        std::io::Read::read_exact(&mut client.stream, &mut reply).expect("an answer");
        assert_eq!(reply, *b"N");
    }
    client.send(&[startup(), query(""), query(" ;\n"), query(&sql("lane-rate", 1, ""))].concat());
    assert!(message_types(&client.until_ready()).starts_with("RS"));
    assert_eq!(message_types(&client.until_ready()), "IZ", "the platform's health check");
    assert_eq!(message_types(&client.until_ready()), "IZ");
    assert_eq!(rows(&client.until_ready()), ["SELECT a FROM sales_17.orders|b|c"]);
}

/// Malformed input affects its own session only, and the error names the field.
#[test]
fn malformed_message_gets_an_error_that_names_the_field() {
    let engine = Engine::echo();
    let mut program = Program::start(&[("s-1", engine.address)], None, None);
    let mut session = RawClient::connect(program.platform);
    for (text, name) in [
        ("/* kind=lane-rate,req=12,timeout=5 */ SELECT 1".to_owned(), "req"),
        (sql("lane-rate", 1, ",ms=x"), "ms"),
        (sql("no-such", 1, ""), "kind"),
        (sql("lane-rate", 1, ",owner=nobody"), "owner"),
        ("SELECT 1".to_owned(), "kind"),
        ("/**/".to_owned(), "query"),
        (sql("lane-rate", 1, "").split(" SELECT").next().expect("a comment").to_owned(), "query"),
        (sql("lane-rate", 1, ",heap_mb=1e12"), "heap_mb"),
        (sql("lane-rate", 1, ",heap_mb=-40"), "heap_mb"),
        (sql("lane-rate", 1, ",ms=nan"), "ms"),
        (sql("lane-rate", 1, ",resent=2"), "resent"),
        (sql("lane-rate", 1, ",timeout=5"), "timeout"),
        (sql("tariff-load", 1, ""), "opkey"),
        ("/* kind=lane-rate,timeout=5 */ SELECT 1".to_owned(), "req"),
        (
            "/* kind=lane-rate,req=0000000000000001,timeout=99999999999999999999999 */ SELECT 1".to_owned(),
            "timeout",
        ),
    ] {
        let answer = session.ask(&text);
        let [code, message, _, _] = error_fields(&answer);
        assert_eq!((message_types(&answer).as_str(), code.as_str()), ("EZ", "08P01"), "{message}");
        assert!(message.contains(&format!("field {name} ")), "{text}: {message}");
    }
    // After a query without its final zero byte the session continues with the next message.
    session.send(&framed(b'Q', b"no end"));
    assert!(error_fields(&session.until_ready())[1].contains("field query"));
    // Extended queries are not supported on this front: one error, then messages are skipped up to Sync.
    session.send(&[parse("", "x"), bind("", "", &[]), execute("", 0), sync()].concat());
    let answer = session.until_ready();
    assert_eq!((message_types(&answer).as_str(), error_fields(&answer)[0].as_str()), ("EZ", "0A000"));
    // After a length that no message can have, the session ends with an error.
    let mut invalid_length = RawClient::connect(program.platform);
    invalid_length.send(&[b'Q', 0xff, 0xff, 0xff, 0xff]);
    let last = invalid_length.message().expect("a final error");
    assert_eq!(error_fields(&[last])[0], "08P01");
    assert!(invalid_length.message().is_none());
    let mut old_version = RawClient::open(program.platform);
    old_version.send(&[0, 0, 0, 8, 0, 2, 0, 0]);
    assert!(error_fields(&[old_version.message().expect("a final error")])[1].contains("field version"));
    assert_eq!(rows(&session.ask(&sql("lane-rate", 2, ""))).len(), 1);
    // Several statements in one query are rejected: only the first would be answered.
    let several = session.ask(&format!("{}; DROP TABLE staging.batch", sql("lane-rate", 3, "")));
    assert_eq!(error_fields(&several)[0], "0A000");
    // A request id that was used before with another statement is rejected.
    let reused_id = session.ask(&sql("lane-rate", 2, "").replace("orders", "lines"));
    assert_eq!(error_fields(&reused_id)[0], "42710");
    assert_eq!(engine.received("do").len(), 1, "no malformed request was forwarded");
    assert!(program.is_running());
}

/// A rejected request is answered at once with a retry delay.
#[test]
fn rejection_is_immediate_and_carries_retry_after() {
    let program = Program::start(&[], None, None);
    let mut client = RawClient::connect(program.platform);
    // Ten minutes of work with a deadline of twenty seconds cannot be served in time.
    let answer = client.ask(&sql("lane-rate", 1, ",ms=600000"));
    let [code, _, detail, hint] = error_fields(&answer);
    assert!(code.starts_with("53"), "{code}");
    let ms: u64 = detail.strip_prefix("retry_after_ms=").expect("a retry delay").parse().expect("a number");
    assert!((1..=2_000).contains(&ms), "within limits.maxRetryAfter: {ms}");
    assert_eq!(hint, format!("Come back in {ms} ms."));
}

#[test]
fn cancel_or_disconnect_cancels_the_platform_request() {
    let engine = Engine::start(|_| Reply::Hold);
    let program = Program::start(&[("s-1", engine.address)], None, None);
    let mut client = RawClient::connect(program.platform);
    client.send(&query(&sql("lane-rate", 1, "")));
    engine.wait_for("do", 1);
    client.cancel(program.platform);
    assert_eq!(error_fields(&client.until_ready())[0], "57014");
    assert_eq!(engine.wait_for("undo", 1)[0].parts[1], format!("{:016x}", 1));
    client.send(&query(&sql("lane-rate", 2, "")));
    engine.wait_for("do", 2);
    drop(client);
    assert_eq!(engine.wait_for("undo", 2)[1].parts[1], format!("{:016x}", 2));
}

/// A malformed answer closes the engine's connection and ends one attempt of each request on it.
#[test]
fn malformed_answer_is_retried() {
    use std::sync::atomic::{AtomicUsize, Ordering};
    static ATTEMPTS: AtomicUsize = AtomicUsize::new(0);
    let engine = Engine::start(|command| match ATTEMPTS.fetch_add(1, Ordering::SeqCst) {
        0 => Reply::Disconnect,
        1 => Reply::Word("overload"),
        2 => Reply::Pages(vec!["x".repeat(7_000)]),
        _ => Reply::Pages(vec![format!("{}\tb\tc\n", command.parts[1])]),
    });
    let program = Program::start(&[("s-1", engine.address)], None, None);
    let mut client = RawClient::connect(program.platform);
    assert_eq!(rows(&client.ask(&sql("lane-rate", 7, ""))), [format!("{:016x}|b|c", 7)]);
    assert_eq!(engine.received("do").len(), 4);
    program.wait_line("unreadable: field body");
}

/// Encodes an array of bulk strings, in which each `@` stands for a request id of 16 characters.
fn encode_array(parts: &[&str]) -> String {
    let encoded: String =
        parts.iter().map(|p| format!("${}\r\n{p}\r\n", p.replace('@', &"0".repeat(16)).len())).collect();
    format!("*{}\r\n{encoded}", parts.len())
}

/// A malformed answer never reaches a client: its connection is closed, the request is retried if its class
/// allows it, and later valid answers are served. The engine is not ejected.
#[test]
fn malformed_answers_are_retried_and_never_delivered() {
    use std::sync::atomic::{AtomicUsize, Ordering};
    let malformed = [
        encode_array(&["@", "served", "batches=x,cpu=5", "a\tb\tc\n"]),
        encode_array(&["@", "served", "cpu=5", "a\tb\tc\n"]),
        encode_array(&["@", "served", "batches=1,cpu=nan", "a\tb\tc\n"]),
        encode_array(&["@", "served", "batches=1,stats=inflight:?", "a\tb\tc\n"]),
        encode_array(&["@", "served", "batches=1", "a\tb\tc\na\tb"]),
        encode_array(&["@", "served", "batches=1", "a\tb\n"]),
        encode_array(&["@", "served", "batches=1", "a\tb\tc\n"]).replace("$6\r\na", "$9\r\na"),
        encode_array(&["@", "sreved", "batches=1", "a\tb\tc\n"]),
        "*4\r\n$16\r\n@\r\n$6\r\nserved\r\n$9\r\nbatches=1\r\n$3221225472\r\n".into(),
        "*4\r\n$16\r\n@\r\n$6\r\nser".into(),
    ];
    // Three malformed answers per process, which is the number of retries that its retry budget always
    // allows.
    for malformed in malformed.chunks(3) {
        let (answers, attempts) = (malformed.to_vec(), AtomicUsize::new(0));
        // Every second answer is malformed, each in a different way.
        let engine = Engine::start(move |_| {
            let n = attempts.fetch_add(1, Ordering::SeqCst);
            let malformed = answers.get(n / 2).filter(|_| n % 2 == 0);
            malformed.map_or_else(|| Reply::Pages(vec!["good\tb\tc\n".into()]), |m| Reply::Raw(m.clone()))
        });
        let program = Program::start(&[("s-1", engine.address)], None, None);
        let mut client = RawClient::connect(program.platform);
        for (id, text) in malformed.iter().enumerate() {
            assert_eq!(rows(&client.ask(&sql("lane-rate", id as u64, ""))), ["good|b|c"], "{text}");
        }
        let lines = program.lines();
        assert_eq!(lines.iter().filter(|l| l.contains("unreadable")).count(), malformed.len());
        assert!(lines.iter().all(|l| !l.contains("distrusted")), "no engine is ejected");
    }
}

/// Duplicate answers, and answers with unknown ids, are ignored.
#[test]
fn unexpected_answers_are_ignored() {
    let engine = Engine::start(|_| {
        let valid = encode_array(&["@", "served", "batches=1", "a\tb\tc\n"]);
        let unknown = encode_array(&["0123456789abcdef", "served", "-", "x"]);
        Reply::Raw([unknown.as_str(), &valid, &valid, &unknown].concat())
    });
    let program = Program::start(&[("s-1", engine.address)], None, None);
    let mut client = RawClient::connect(program.platform);
    for i in 1..30 {
        assert_eq!(rows(&client.ask(&sql("lane-rate", i, ""))), ["a|b|c"]);
    }
    assert_eq!(engine.received("do").len(), 29, "each request was sent once");
    assert_eq!(engine.received("page").len() + engine.received("forget").len(), 0);
    assert!(
        program.lines().iter().all(|l| !l.contains("engine connection lost")),
        "the connection stays open"
    );
}

/// After a lost connection the feed is resumed, repeated events are ignored, and a draining engine gets no
/// new requests.
#[test]
fn feed_is_resumed_after_a_disconnect() {
    let (first, second, feed) = (Engine::echo(), Engine::echo(), Feed::start());
    feed.send(list_event(1, true, &[("s-1", first.address, "ready")]));
    let program = Program::start(&[("s-1", first.address)], Some(&feed), None);
    let mut client = RawClient::connect(program.platform);
    assert_eq!(rows(&client.ask(&sql("lane-rate", 1, ""))).len(), 1);
    feed.send(list_event(2, false, &[("s-2", second.address, "ready")]));
    program.wait_line("engine_id=s-2 phase=Ready");
    feed.close_calls();
    wait_until(|| (feed.calls.lock().expect("unpoisoned").len() >= 2).then_some(()));
    feed.send(list_event(3, false, &[("s-1", first.address, "draining")]));
    program.wait_line("engine_id=s-1 phase=Draining");
    for i in 2..30 {
        assert_eq!(rows(&client.ask(&sql("lane-rate", i, ""))).len(), 1);
    }
    assert_eq!((first.received("do").len(), second.received("do").len()), (1, 28));
    let calls = feed.calls.lock().expect("unpoisoned").clone();
    assert_eq!(calls[..2], [1, 2], "each call requests the events after the last one read");
    let updates = program.lines().iter().filter(|l| l.contains("engine_id=s-1 phase=Ready")).count();
    assert_eq!(updates, 1, "the repeated event was ignored");
}

/// Connections without a session and idle sessions must not keep all slots, or new clients would be rejected.
#[test]
fn silent_and_idle_connections_are_evicted_for_active_ones() {
    let engine = Engine::echo();
    let program = Program::start_limited(&[("s-1", engine.address)], None, None, 16, 96);
    let mut sessions: Vec<RawClient> = Vec::new();
    for id in 1..120 {
        let mut client = RawClient::connect(program.platform);
        assert_eq!(rows(&client.ask(&sql("lane-rate", id, ""))).len(), 1, "request {id}");
        sessions.push(client);
    }
    assert!(sessions[0].message().is_none(), "the session idle for longest was evicted");
    sessions[118].ask(&sql("lane-rate", 119 + 1, ""));
    let silent: Vec<RawClient> = (0..200).map(|_| RawClient::open(program.platform)).collect();
    // Wait for the end of the silent connections' grace period, within which they are not evicted.
    std::thread::sleep(Duration::from_millis(100));
    for id in 200..240 {
        let mut client = RawClient::connect(program.platform);
        assert_eq!(rows(&client.ask(&sql("lane-rate", id, ""))).len(), 1, "request {id}");
    }
    drop(silent);
}

/// An incomplete message must not occupy a slot and a buffer for ever: after a timeout its sender gets an
/// error.
#[test]
fn incomplete_message_times_out_with_an_error() {
    let program = Program::start(&[], None, None);
    let started_at = Instant::now();
    let (mut silent, mut partial_startup) =
        (RawClient::open(program.platform), RawClient::open(program.platform));
    let mut partial_message = RawClient::connect(program.platform);
    partial_startup.send(&startup()[..9]);
    partial_message.send(&query(&sql("lane-rate", 1, ""))[..20]);
    for (client, name) in
        [(&mut silent, "start-up"), (&mut partial_startup, "start-up"), (&mut partial_message, "length")]
    {
        let text = &error_fields(&[client.message().expect("a final error")])[1];
        assert!(text.contains(&format!("field {name}")), "{text}");
        assert!(client.message().is_none());
    }
    assert!(started_at.elapsed() >= Duration::from_millis(1_500), "not before the timeout");
}

/// Closing a socket with unread input would send a reset, which could destroy the final error.
#[test]
fn oversized_message_sender_receives_its_error() {
    let program = Program::start(&[], None, None);
    let mut client = RawClient::connect(program.platform);
    let mut message = vec![b'x'; 60 << 20];
    message[..5].copy_from_slice(&[b'Q', 0x03, 0x93, 0x87, 0x00]);
    client.send(&message);
    std::thread::sleep(Duration::from_millis(50));
    assert!(error_fields(&[client.message().expect("a final error")])[1].contains("field length"));
    assert!(client.message().is_none());
}

/// A damaged event must not be lost, since it may announce a drain: it is requested again. An event that
/// stays damaged is finally skipped.
#[test]
fn unreadable_event_is_requested_again_and_finally_skipped() {
    let (engine, feed) = (Engine::echo(), Feed::start());
    feed.send(list_event(1, true, &[("s-1", engine.address, "ready")]));
    let drain = list_event(2, false, &[("s-1", engine.address, "draining")]);
    feed.send_malformed_once(&drain, &drain[..drain.len() / 2]);
    let program = Program::start(&[("s-1", engine.address)], Some(&feed), None);
    program.wait_line("an event could not be read");
    program.wait_line("engine_id=s-1 phase=Draining");
    feed.send("{\"n\":3,\"members\":7}");
    program.wait_line("feed event skipped");
    feed.send(list_event(4, false, &[("s-2", engine.address, "ready")]));
    program.wait_line("engine_id=s-2 phase=Ready");
    let calls = feed.calls.lock().expect("unpoisoned").clone();
    let calls_after = |n: u64| calls.iter().filter(|c| **c == n).count();
    assert!(calls_after(1) == 2 && calls_after(2) == 3, "{calls:?}");
}

/// SIGHUP changes only the feed: the events after the last one read are requested at the new address, the old
/// feed's connection is closed, and all other connections stay open.
#[test]
fn sighup_moves_the_feed_and_changes_nothing_else() {
    let release = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let is_released = std::sync::Arc::clone(&release);
    let engine = Engine::start(move |_| {
        while !is_released.load(std::sync::atomic::Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(2));
        }
        Reply::Pages(vec!["a\tb\tc\n".into()])
    });
    let (old, new) = (Feed::start(), Feed::start());
    for feed in [&old, &new] {
        feed.send(list_event(1, true, &[("s-1", engine.address, "ready")]));
        feed.send("{\"n\":2}");
    }
    let mut program = Program::start(&[("s-1", engine.address)], Some(&old), None);
    let mut client = RawClient::connect(program.platform);
    client.send(&query(&sql("lane-rate", 1, "")));
    engine.wait_for("do", 1);
    // A configuration that cannot be parsed changes nothing, and is logged.
    let config = program.config_with_feed(new.address);
    program.reload(&config[..config.len() / 2]);
    program.wait_line("configuration not reloaded");
    program.reload(&config);
    program.wait_line("configuration reloaded");
    new.send(list_event(3, false, &[("s-2", engine.address, "ready")]));
    program.wait_line("engine_id=s-2 phase=Ready");
    assert_eq!(
        new.calls.lock().expect("unpoisoned")[0],
        2,
        "the new feed is asked for the events after the last one read"
    );
    assert_eq!(old.calls.lock().expect("unpoisoned").len(), 1, "the old feed is not called again");
    wait_until(|| (old.open_calls() == 0).then_some(()));
    release.store(true, std::sync::atomic::Ordering::SeqCst);
    assert_eq!(rows(&client.until_ready()).len(), 1);
    assert!(program.is_running());
}

/// When an address is reused, requests for the new engine are not sent on connections to the old one.
#[test]
fn new_engine_at_a_reused_address_is_dialed_again() {
    let (engine, feed) = (Engine::echo(), Feed::start());
    feed.send("{\"n\":1}");
    let program = Program::start(&[("s-1", engine.address)], Some(&feed), None);
    let mut client = RawClient::connect(program.platform);
    assert_eq!(rows(&client.ask(&sql("lane-rate", 1, ""))).len(), 1);
    feed.send(list_event(2, false, &[("s-1", engine.address, "gone"), ("s-9", engine.address, "ready")]));
    program.wait_line("engine_id=s-9 phase=Ready");
    assert_eq!(rows(&client.ask(&sql("lane-rate", 2, ""))).len(), 1);
}

/// After SIGTERM admitted requests are answered, requests that still arrive are served, and the exit status
/// is 0.
#[test]
fn stop_answers_admitted_requests_and_exits_with_0() {
    let engine = Engine::start(|command| {
        std::thread::sleep(Duration::from_millis(if command.parts[1].ends_with('1') { 1_500 } else { 0 }));
        Reply::Pages(vec!["a\tb\tc\n".into()])
    });
    let mut program = Program::start(&[("s-1", engine.address)], None, None);
    let (mut slow, mut idle) = (RawClient::connect(program.platform), RawClient::connect(program.platform));
    slow.send(&query(&sql("lane-rate", 1, "")));
    engine.wait_for("do", 1);
    program.terminate();
    let terminated_at = Instant::now();
    program.wait_line("stopping open_requests=");
    if idle.stream.write_all(&query("")).is_ok() {
        let answer = idle.message().map(|m| m.0);
        // Requests are served for another 0.6 s. On a slow machine the message may have been sent too late,
        // and is then not checked.
        assert!(answer == Some(b'I') || terminated_at.elapsed() > Duration::from_millis(500), "{answer:?}");
        assert!(answer.is_none() || idle.message().map(|m| m.0) == Some(b'Z'));
    }
    assert_eq!(rows(&slow.until_ready()).len(), 1);
    assert!(slow.message().is_none() && idle.message().is_none());
    assert_eq!(program.wait_for_exit(), Some(0));
}

fn run(args: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sprucelink"));
    let out = command.args(args).env_remove("EDGE_CONFIG").output().expect("run");
    (out.status.code(), String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned())
}

#[test]
fn invalid_command_line_or_configuration_exits_with_2_and_a_message() {
    let dir = scratch_dir();
    let file = |name: &str, text: &str| {
        let path = dir.join(name);
        std::fs::write(&path, text).expect("written");
        path.to_str().expect("text").to_owned()
    };
    let valid = format!(r#"{{"listen":"127.0.0.1:0","seed":"0a","settings":{SETTINGS}}}"#);
    let valid = file("good.json", &valid);
    let deeply_nested = file("deep.json", &"[".repeat(100_000));
    let invalid_number =
        file("number.json", r#"{"listen":"127.0.0.1:0","seed":"0a","settings":{"overShareWorth":"x"}}"#);
    let invalid_listen = file("bare.json", r#"{"listen":"x","seed":"0a","settings":{}}"#);
    let operator = file("operator.json", r#"{"listen":"127.0.0.1:0","lisen":1}"#);
    for (args, message) in [
        (vec![], "a command is missing"),
        (vec!["sevre"], "no such command: sevre"),
        (vec!["serve", "--confg", "x"], "--confg"),
        (vec!["serve"], "EDGE_CONFIG"),
        (vec!["check", "--config", "/nonexistent"], "/nonexistent"),
        (
            vec!["check", "--config", &deeply_nested],
            "deep.json: line 1, column 0: invalid type: sequence, expected an object",
        ),
        (
            vec!["check", "--config", &invalid_number],
            "number.json: line 1, column 68: settings.overShareWorth: ",
        ),
        (vec!["serve", "--config", &invalid_listen], "bare.json: line 1, column 13: listen: "),
        (vec!["check", "--config", &valid, "--operator", &operator], "lisen: is not known"),
    ] {
        let (status, text) = run(&args);
        assert_eq!(status, Some(2), "{args:?}: {text}");
        assert!(text.contains(message) && !text.contains("panicked"), "{args:?}: {text}");
    }
    assert_eq!(run(&["check", "--config", &valid]).0, Some(0));
    let (status, text) = run(&["version"]);
    assert_eq!((status, text.trim()), (Some(0), concat!("sprucelink ", env!("CARGO_PKG_VERSION"))));
    assert!(run(&["help"]).1.contains("usage:"));
    drop(std::fs::remove_dir_all(dir));
}

/// A request must not be sent on a connection that is established after the request was answered. The
/// engine's accept queue is full, so that the program's connection is established only when this test accepts
/// connections.
#[test]
fn answered_request_is_not_sent_when_its_connection_opens_late() {
    let listener = DelayedListener::listen();
    let program = Program::start(&[("s-1", listener.address)], None, None);
    let mut client = RawClient::connect(program.platform);
    // The policy rejects the first request.
    let short = sql("lane-rate", 1, "").replace("timeout=20000", "timeout=400");
    assert_eq!(message_types(&client.ask(&short)), "EZ", "no engine could answer it in time");
    // The client of the second request leaves.
    let mut departed = RawClient::connect(program.platform);
    departed.send(&query(&sql("lane-rate", 2, "")));
    drop(departed);
    for _ in 0..3 {
        assert_eq!(message_types(&client.ask("")), "IZ", "the client's end has been read by then");
    }
    let engine = listener.open(|_| Reply::Hold);
    client.send(&query(&sql("lane-rate", 3, "")));
    // The requests share the connection: an earlier request would have arrived first.
    let commands = engine.wait_for("do", 1);
    assert_eq!(commands[0].parts[1], format!("{:016x}", 3), "{commands:?}");
}
