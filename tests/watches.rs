//! Calls to the control feed under faults: silent or slow responses, changes of the feed during a call,
//! restarted event numbering, and late or repeated events. The stand-in feed hands each call to the test,
//! which writes the response and closes the call.
//!
//! "Missed drain": an engine that the feed lists as draining continues to get requests, because the event was
//! not read or not applied. Where a comment says what an earlier version did, the test guards against it.
mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::Duration;
use support::admin_client::metric;
use support::*;

const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/// A feed that hands its calls to the test.
struct ScriptedFeed {
    address: SocketAddr,
    /// Last-Event-ID and connection of each call that the test has not yet taken.
    calls: Receiver<(u64, TcpStream)>,
}

impl ScriptedFeed {
    fn start() -> ScriptedFeed {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, calls) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let input = BufReader::new(stream.try_clone().expect("a second handle"));
                let head = input.lines().map_while(Result::ok).take_while(|l| !l.is_empty());
                let last_event = head.filter_map(|l| {
                    l.to_ascii_lowercase().strip_prefix("last-event-id: ").and_then(|n| n.parse().ok())
                });
                if sender.send((last_event.last().expect("a number"), stream)).is_err() {
                    return;
                }
            }
        });
        ScriptedFeed { address, calls }
    }

    /// Waits for the next call; returns its Last-Event-ID and its connection.
    fn next_call(&self) -> (u64, TcpStream) {
        self.calls.recv_timeout(WAIT_TIMEOUT).expect("a call")
    }

    /// Answers the next call with a response head and these bytes; returns its Last-Event-ID and its
    /// connection.
    fn answer(&self, bytes: impl AsRef<[u8]>) -> (u64, TcpStream) {
        let (last_event, mut stream) = self.next_call();
        write(&mut stream, HEAD);
        write(&mut stream, bytes);
        (last_event, stream)
    }
}

/// Writes to a call. Errors are ignored, since the program may have disconnected: the test checks the
/// program's reaction.
fn write(to: &mut TcpStream, bytes: impl AsRef<[u8]>) {
    let _ = to.write_all(bytes.as_ref());
}

/// An event with this number and data.
fn event(n: usize, data: &str) -> String {
    format!("id: {n}\ndata: {data}\n\n")
}

/// An address at which no server listens.
fn unreachable_address() -> SocketAddr {
    "127.0.0.1:9".parse().expect("an address")
}

/// An event that lists one engine at an unreachable address.
fn engine_event(n: usize, id: &str, phase: &str) -> String {
    event(n, &list_event(n, false, &[(id, unreachable_address(), phase)]))
}

/// Starts the program with engine `s-1`, listed by event 1 of its configuration, and with this feed.
fn start(feed: &ScriptedFeed) -> Program {
    let program = Program::start(&[("s-1", unreachable_address())], None, None);
    program.reload(&program.config_with_feed(feed.address));
    program
}

/// Number of log lines that contain a text.
fn count_lines(program: &Program, text: &str) -> usize {
    program.lines().iter().filter(|l| l.contains(text)).count()
}

fn sql(id: u64) -> String {
    format!("/* kind=lane-rate,req={id:016x},timeout=20000 */ SELECT price FROM rates_1.lanes")
}

// ---- Timeouts ------------------------------------------------------------------------------

/// A call whose response consists of single bytes and no event is closed, and the feed is called again. In an
/// earlier version it was not, and drains were missed.
#[test]
fn feed_that_sends_only_incomplete_comments_is_called_again() {
    let feed = ScriptedFeed::start();
    let program = start(&feed);
    let (_, mut stream) = feed.answer(": here\n\n");
    thread::spawn(move || {
        // The bytes follow each other well within the silence timeout, and never form a complete comment.
        while stream.write_all(b":").is_ok() {
            thread::sleep(Duration::from_millis(300));
        }
    });
    let (last_event, mut second) = feed.answer(engine_event(2, "s-1", "draining"));
    assert_eq!(last_event, 1);
    program.wait_line("engine_id=s-1 phase=Draining");
    assert_eq!(count_lines(&program, "feed lost error=silent"), 1);
    write(&mut second, ": here\n\n");
}

/// A call that became silent and the call after it, which gets no response, are both closed. The unanswered
/// call must cost no more than the timeout of one response head, or drains are missed.
#[test]
fn silent_call_and_unanswered_call_after_it_are_both_closed() {
    let feed = ScriptedFeed::start();
    let program = start(&feed);
    let (_, silent) = feed.answer(": here\n\n");
    let (_, unanswered) = feed.next_call();
    let (last_event, _third) = feed.answer(engine_event(2, "s-1", "draining"));
    assert_eq!(last_event, 1);
    program.wait_line("engine_id=s-1 phase=Draining");
    assert_eq!(count_lines(&program, "feed lost error=silent"), 2);
    // Both connections were closed by the program.
    for mut stream in [silent, unanswered] {
        let mut rest = Vec::new();
        assert_eq!(stream.read_to_end(&mut rest).map_err(|e| e.kind()).unwrap_or(0), 0);
    }
}

// ---- Event numbers -------------------------------------------------------------------------

/// After a feed restarts its event numbering at 1, its events apply. In an earlier version they were ignored,
/// and drains were missed.
#[test]
fn restarted_event_numbering_is_followed() {
    let feed = ScriptedFeed::start();
    let program = start(&feed);
    let (_, first) = feed.answer(engine_event(40, "s-2", "ready"));
    program.wait_line("engine_id=s-2 phase=Ready");
    drop(first);
    // The complete list is event 1, with a revision after that of event 40; event 2 follows it.
    let complete = list_event(
        41,
        true,
        &[("s-2", unreachable_address(), "ready"), ("s-3", unreachable_address(), "ready")],
    );
    let (last_event, second) = feed.answer(
        [event(1, &complete.replace("{\"n\":41", "{\"n\":1")), {
            let drain = list_event(42, false, &[("s-2", unreachable_address(), "draining")]);
            event(2, &drain.replace("{\"n\":42", "{\"n\":2"))
        }]
        .concat(),
    );
    assert_eq!(last_event, 40);
    program.wait_line("engine_id=s-3 phase=Ready");
    program.wait_line("engine_id=s-2 phase=Draining");
    program.wait_line("engine_id=s-1 phase=Gone");
    drop(second);
    // After that the new numbers count, and repeated events are ignored as before.
    let repeated = event(1, &complete.replace("{\"n\":41", "{\"n\":1"));
    let (last_event, _third) =
        feed.answer([repeated, engine_event(43, "s-4", "ready").replace("43", "3")].concat());
    assert_eq!(last_event, 2);
    program.wait_line("engine_id=s-4 phase=Ready");
    assert_eq!(count_lines(&program, "engine_id=s-3 phase=Ready"), 1);
}

/// An event that arrives out of order applies to the engines for which no later event was received, and to no
/// other engine. In an earlier version it was ignored as a repeated event, and drains were missed.
#[test]
fn late_event_applies_where_no_later_one_was_received() {
    let feed = ScriptedFeed::start();
    let program = start(&feed);
    let both = list_event(
        3,
        false,
        &[("s-1", unreachable_address(), "draining"), ("s-2", unreachable_address(), "ready")],
    );
    let (_, first) = feed.answer(
        [
            engine_event(2, "s-2", "ready"),
            engine_event(4, "s-2", "gone"),
            event(3, &both),
            engine_event(5, "s-5", "ready"),
        ]
        .concat(),
    );
    program.wait_line("engine_id=s-5 phase=Ready");
    assert_eq!(count_lines(&program, "engine_id=s-1 phase=Draining"), 1);
    assert_eq!(count_lines(&program, "engine_id=s-2 phase=Ready"), 1, "event 3 does not restore the engine");
    drop(first);
    assert_eq!(feed.next_call().0, 5);
}

/// An empty list that is sent twice does not restart the event numbering. Otherwise older events would
/// restore engines that are gone.
#[test]
fn empty_list_starts_no_new_numbering() {
    let feed = ScriptedFeed::start();
    let program = start(&feed);
    let (ready, gone, empty) = (
        engine_event(2, "s-2", "ready"),
        engine_event(3, "s-2", "gone"),
        event(4, &list_event(4, false, &[])),
    );
    let (_, first) = feed.answer([&*ready, &gone, &empty].concat());
    program.wait_line("engine_id=s-2 phase=Gone");
    drop(first);
    let (last_event, _second) = feed.answer([&*empty, &ready, &engine_event(5, "s-5", "ready")].concat());
    assert_eq!(last_event, 4);
    program.wait_line("engine_id=s-5 phase=Ready");
    assert_eq!(count_lines(&program, "engine_id=s-2 phase=Ready"), 1);
    assert_eq!(count_lines(&program, "event numbering restarted"), 0);
}

/// If the number in an event's data differs from the event's id, the id counts. In an earlier version all
/// later events were then ignored, and drains were missed.
#[test]
fn event_counts_under_its_own_number() {
    let feed = ScriptedFeed::start();
    let program = start(&feed);
    let other_number = event(
        2,
        &list_event(900, false, &[("s-2", unreachable_address(), "ready")])
            .replace("\"revision\":900", "\"revision\":2"),
    );
    let (_, first) = feed.answer([other_number, engine_event(3, "s-1", "draining")].concat());
    program.wait_line("engine_id=s-2 phase=Ready");
    program.wait_line("engine_id=s-1 phase=Draining");
    drop(first);
    // For an event without an id, the number in its data counts.
    let (last_event, second) = feed
        .answer(format!("data: {}\n\n", list_event(4, false, &[("s-4", unreachable_address(), "ready")])));
    assert_eq!(last_event, 3);
    program.wait_line("engine_id=s-4 phase=Ready");
    drop(second);
    assert_eq!(feed.next_call().0, 4);
}

/// Gives the same answer to the next `calls` calls, each of which must request the events after event 1.
fn answer_repeatedly(feed: &ScriptedFeed, answer: &str, calls: usize) {
    for _ in 0..calls {
        let (last_event, stream) = feed.answer(answer);
        assert_eq!(last_event, 1);
        drop(stream);
    }
}

/// After an event number that no feed can reach, later events apply. In an earlier version they were ignored,
/// and drains were missed.
#[test]
fn implausible_event_number_skips_nothing() {
    let feed = ScriptedFeed::start();
    let program = start(&feed);
    // The event is requested again three times and then skipped, whatever its data.
    let answer = format!(
        "id: {0}\ndata: {{\"n\":7}}\n\nid: {0}\ndata: {{\"n\":{0}}}\n\n{1}",
        u64::MAX,
        engine_event(2, "s-1", "draining")
    );
    answer_repeatedly(&feed, &answer, 4);
    program.wait_line("engine_id=s-1 phase=Draining");
    assert_eq!(feed.next_call().0, 2);
}

// ---- Events that cannot be read ------------------------------------------------------------

/// Two unreadable events in one response are each requested again three times and then skipped. In an earlier
/// version they reset each other's retry count, so that no event after them, such as a drain, was ever read.
#[test]
fn two_unreadable_events_are_both_finally_skipped() {
    let feed = ScriptedFeed::start();
    let program = start(&feed);
    let answer = format!("data: {{\n\n{}{}", event(2, "{"), engine_event(3, "s-1", "draining"));
    // Each of the two events is requested again three times before it is skipped; one more call reads the
    // rest.
    answer_repeatedly(&feed, &answer, 7);
    program.wait_line("engine_id=s-1 phase=Draining");
    assert_eq!(feed.next_call().0, 3);
}

/// An event that is too long to be read is requested again three times and then skipped. In an earlier
/// version it was requested with every call, so that no later event, such as a drain, was ever read.
#[test]
fn oversized_event_is_finally_skipped() {
    let feed = ScriptedFeed::start();
    let program = start(&feed);
    let long = "x".repeat((1 << 20) + 10);
    let answer = format!("{}{}", event(2, &long), engine_event(3, "s-1", "draining"));
    for _ in 0..4 {
        let (last_event, mut stream) = feed.answer(&answer);
        assert_eq!(last_event, 1);
        // Waits until the program has disconnected or has read everything.
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let _ = stream.read_to_end(&mut Vec::new());
    }
    program.wait_line("engine_id=s-1 phase=Draining");
    assert_eq!(feed.next_call().0, 3);
    assert_eq!(count_lines(&program, "feed event skipped error=\"field data is too long"), 1);
}

/// An event that is not valid UTF-8 is requested again. In an earlier version a damaged id was read as that
/// of another engine, and the drain of the right engine counted as received.
#[test]
fn event_that_is_not_utf_8_is_requested_again() {
    let feed = ScriptedFeed::start();
    let program = start(&feed);
    let mut malformed = engine_event(2, "s-1", "draining").into_bytes();
    let offset = malformed.windows(3).position(|w| w == b"s-1").expect("the engine's id");
    malformed[offset + 1] = 0xff;
    let (_, first) = feed.answer(&malformed);
    let (last_event, _second) = feed.answer(engine_event(2, "s-1", "draining"));
    assert_eq!(last_event, 1, "an event damaged in transit is requested again");
    program.wait_line("engine_id=s-1 phase=Draining");
    drop(first);
}

// ---- Endpoint lists ------------------------------------------------------------------------

/// A complete list without an engine removes the engine, and a request that waits for a connection to it is
/// sent to another engine. In an earlier version the request was sent to the removed engine seconds later.
#[test]
fn engine_missing_from_a_full_list_gets_no_new_requests() {
    let (feed, removed, remaining) = (ScriptedFeed::start(), DelayedListener::listen(), Engine::echo());
    let program = Program::with_operators(&[("s-1", removed.address)], None, SETTINGS);
    let admin = program.operators.expect("an address");
    program.reload(&program.config_with_feed(feed.address));
    let (_, mut stream) = feed.answer(": here\n\n");
    let mut client = RawClient::connect(program.platform);
    client.send(&query(&sql(1)));
    // The request was assigned to s-1, the only engine, when it was admitted, and waits for the connection.
    wait_until(|| (metric(admin, "outstanding") == 1).then_some(()));
    let complete = list_event(2, true, &[("s-2", remaining.address, "ready")]);
    write(&mut stream, event(2, &complete));
    program.wait_line("engine_id=s-2 phase=Ready");
    let removed = removed.open(|_| Reply::Pages(vec!["a\tb\tc\n".into()]));
    assert_eq!(rows(&client.until_ready()).len(), 1);
    assert_eq!(
        (removed.received("do").len(), remaining.received("do").len()),
        (0, 1),
        "the remaining engine got the request"
    );
    assert_eq!(count_lines(&program, "engine_id=s-1 phase=Gone"), 1);
}

/// If a list has two entries for one engine, the more restrictive one applies. In an earlier version the
/// later one applied, and drains were missed.
#[test]
fn more_restrictive_of_two_entries_for_one_engine_applies() {
    let (feed, draining, ready) = (ScriptedFeed::start(), Engine::echo(), Engine::echo());
    let program = Program::start(&[("s-1", draining.address)], None, None);
    program.reload(&program.config_with_feed(feed.address));
    let entries = [
        ("s-1", draining.address, "draining"),
        ("s-2", ready.address, "ready"),
        ("s-1", draining.address, "ready"),
    ];
    let (_, _stream) = feed.answer(event(2, &list_event(2, false, &entries)));
    program.wait_line("engine_id=s-2 phase=Ready");
    let mut client = RawClient::connect(program.platform);
    for id in 1..20 {
        assert_eq!(rows(&client.ask(&sql(id))).len(), 1);
    }
    assert_eq!((draining.received("do").len(), ready.received("do").len()), (0, 19));
}

// ---- Changes of the feed's address ---------------------------------------------------------

/// A partial event of the old feed is not applied, and the new feed's copy of it is applied once. Otherwise a
/// drain could be missed.
#[test]
fn partial_event_of_the_old_feed_is_not_joined_with_the_new_one() {
    let (old, new) = (ScriptedFeed::start(), ScriptedFeed::start());
    let program = start(&old);
    let drain = engine_event(3, "s-1", "draining");
    let (partial, rest) = drain.split_at(drain.len() - 1);
    let (_, mut first) = old.answer([&engine_event(2, "s-2", "ready"), partial].concat());
    program.wait_line("engine_id=s-2 phase=Ready");
    program.reload(&program.config_with_feed(new.address));
    let (last_event, mut second) = new.next_call();
    assert_eq!(last_event, 2, "only complete events of the old feed count");
    // The last byte of the partial event arrives only now.
    write(&mut first, rest);
    write(&mut second, [HEAD, &drain, &engine_event(4, "s-4", "ready")].concat());
    program.wait_line("engine_id=s-4 phase=Ready");
    assert_eq!(count_lines(&program, "engine_id=s-1 phase=Draining"), 1);
}

/// A reload that blocks, because a named pipe replaces the program's configuration file, until the test has
/// written to the pipe and closed it.
struct BlockedReload {
    file: std::path::PathBuf,
    pipe: std::path::PathBuf,
    process_id: String,
}

impl BlockedReload {
    /// Replaces the configuration file by the pipe and sends SIGHUP.
    fn start(program: &Program) -> BlockedReload {
        let process_id = program.id().to_string();
        let command_line = std::fs::read_to_string(format!("/proc/{process_id}/cmdline")).expect("read");
        let mut args = command_line.split('\0').skip_while(|a| *a != "--config");
        let file = std::path::PathBuf::from(args.nth(1).expect("a file"));
        let pipe = file.with_extension("pipe");
        assert!(Command::new("mkfifo").arg(&pipe).status().expect("mkfifo").success());
        let reload = BlockedReload { file, pipe, process_id };
        std::fs::rename(&reload.pipe, &reload.file).expect("renamed");
        reload.send_sighup();
        reload
    }

    fn send_sighup(&self) {
        assert!(Command::new("kill").args(["-HUP", &self.process_id]).status().expect("kill").success());
    }

    /// Waits until the program has opened the pipe for reading, and opens it for writing. Without a reader a
    /// non-blocking open fails.
    fn open_pipe(&self) -> std::fs::File {
        use std::os::unix::fs::OpenOptionsExt;
        let open = || std::fs::OpenOptions::new().write(true).custom_flags(O_NONBLOCK).open(&self.file).ok();
        wait_until(open)
    }
}

/// Value of the flag on Linux.
const O_NONBLOCK: i32 = 0o4000;

/// The configuration file is replaced while the program reads it, and SIGHUP is sent again: the new file must
/// apply, so the signal must not be lost.
#[test]
fn sighup_during_a_reload_causes_another_reload() {
    let (old, new) = (ScriptedFeed::start(), ScriptedFeed::start());
    let program = Program::start(&[("s-1", unreachable_address())], None, None);
    let (first, second) = (program.config_with_feed(old.address), program.config_with_feed(new.address));
    let reload = BlockedReload::start(&program);
    let mut pipe = reload.open_pipe();
    // The program has the pipe open: another file replaces it, and further signals arrive.
    std::fs::write(reload.file.with_extension("next"), second).expect("written");
    std::fs::rename(reload.file.with_extension("next"), &reload.file).expect("renamed");
    reload.send_sighup();
    reload.send_sighup();
    let (_, mut client) = (pipe.write_all(first.as_bytes()), RawClient::connect(program.platform));
    drop(pipe);
    program.wait_line(&format!("configuration reloaded feed_address={}", old.address));
    program.wait_line(&format!("configuration reloaded feed_address={}", new.address));
    let (last_event, _stream) = new.answer(engine_event(2, "s-1", "draining"));
    assert_eq!(last_event, 1);
    program.wait_line("engine_id=s-1 phase=Draining");
    client.send(&query(""));
    assert!(client.message().is_some());
}

/// A stop does not wait for a reload. In an earlier version a file that could not be read to its end kept the
/// process running after all requests were answered.
#[test]
fn stop_does_not_wait_for_a_reload_in_progress() {
    let mut program = Program::start(&[("s-1", unreachable_address())], None, None);
    let reload = BlockedReload::start(&program);
    let pipe = reload.open_pipe();
    // Clients are served meanwhile.
    assert_eq!(message_types(&RawClient::connect(program.platform).ask("")), "IZ");
    program.terminate();
    assert_eq!(program.wait_for_exit(), Some(0));
    drop(pipe);
}

/// When a new configuration has no valid feed address, the program continues to use the old feed.
#[test]
fn reload_with_an_invalid_feed_address_changes_nothing() {
    let feed = ScriptedFeed::start();
    let program = start(&feed);
    let (_, mut stream) = feed.answer(": here\n\n");
    let config = program.config_with_feed(feed.address);
    for invalid in ["", "nowhere", ":7070", "127.0.0.1:0", "127.0.0.1:70707"] {
        program.reload(&config.replace(&feed.address.to_string(), invalid));
        let quoted = format!("{invalid:?}").replace('"', "\\\"");
        program.wait_line(&format!("feed: {quoted} is no address and port"));
    }
    // A reload with an unchanged address changes nothing either: the open call continues.
    program.reload(&config);
    wait_until(|| (count_lines(&program, "configuration reloaded") == 2).then_some(()));
    write(&mut stream, engine_event(2, "s-1", "draining"));
    program.wait_line("engine_id=s-1 phase=Draining");
    assert_eq!(count_lines(&program, "feed lost"), 0);
    assert!(feed.calls.try_recv().is_err(), "the feed was not called again");
}
