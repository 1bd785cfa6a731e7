//! Watches of the control feed in every bad order: silent, trickling, moved under way, numbered anew, late or twice. The
//! feed here does nothing by itself: each call is the test's, which writes its bytes and ends it when it will.
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

/// A feed whose calls the test takes.
struct ScriptedFeed {
    address: SocketAddr,
    calls: Receiver<(u64, TcpStream)>,
}

impl ScriptedFeed {
    fn start() -> ScriptedFeed {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (tell, calls) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let input = BufReader::new(stream.try_clone().expect("a second handle"));
                let head = input.lines().map_while(Result::ok).take_while(|l| !l.is_empty());
                let asked = head.filter_map(|l| {
                    l.to_ascii_lowercase().strip_prefix("last-event-id: ").and_then(|n| n.parse().ok())
                });
                if tell.send((asked.last().expect("a number"), stream)).is_err() {
                    return;
                }
            }
        });
        ScriptedFeed { address, calls }
    }

    /// The next call: the number after which it asks for events, and its connection.
    fn call(&self) -> (u64, TcpStream) {
        self.calls.recv_timeout(WAIT_TIMEOUT).expect("a call")
    }

    /// The next call, answered with these bytes.
    fn answer(&self, bytes: impl AsRef<[u8]>) -> (u64, TcpStream) {
        let (asked, mut stream) = self.call();
        say(&mut stream, HEAD);
        say(&mut stream, bytes);
        (asked, stream)
    }
}

/// A caller that hung up has had enough: what it made of it the test sees.
fn say(to: &mut TcpStream, bytes: impl AsRef<[u8]>) {
    let _ = to.write_all(bytes.as_ref());
}

fn sent(n: usize, data: &str) -> String {
    format!("id: {n}\ndata: {data}\n\n")
}

fn nowhere() -> SocketAddr {
    "127.0.0.1:9".parse().expect("an address")
}

/// An event that names one engine, which is nowhere.
fn told(n: usize, id: &str, phase: &str) -> String {
    sent(n, &list(n, false, &[(id, nowhere(), phase)]))
}

/// The program with engine `s-1` by event 1, and its feed here.
fn start(feed: &ScriptedFeed) -> Program {
    let program = Program::start(&[("s-1", nowhere())], None, None);
    program.reload(&program.config_with_feed(feed.address));
    program
}

fn count(program: &Program, text: &str) -> usize {
    program.lines().iter().filter(|l| l.contains(text)).count()
}

fn sql(id: u64) -> String {
    format!("/* kind=lane-rate,req={id:016x},timeout=20000 */ SELECT price FROM rates_1.lanes")
}

// ---- What is heard when --------------------------------------------------------------------

/// Guards the rule on drains: one byte now and then kept a call that told nothing for ever.
#[test]
fn watch_that_only_trickles_is_polled_again() {
    let feed = ScriptedFeed::start();
    let program = start(&feed);
    let (_, mut stream) = feed.answer(": here\n\n");
    thread::spawn(move || {
        // Always well within the silence that a watch is granted, and never a whole comment.
        while stream.write_all(b":").is_ok() {
            thread::sleep(Duration::from_millis(300));
        }
    });
    let (asked, mut again) = feed.answer(told(2, "s-1", "draining"));
    assert_eq!(asked, 1);
    program.wait_line("engine_id=s-1 phase=Draining");
    assert_eq!(count(&program, "feed lost error=silent"), 1);
    say(&mut again, ": here\n\n");
}

/// Guards the rule on drains: a call that nobody answers costs no more than the time of one head.
#[test]
fn silent_watch_and_silent_poll_after_it_are_both_cancelled() {
    let feed = ScriptedFeed::start();
    let program = start(&feed);
    let (_, silent) = feed.answer(": here\n\n");
    let (_, dumb) = feed.call();
    let (asked, _third) = feed.answer(told(2, "s-1", "draining"));
    assert_eq!(asked, 1);
    program.wait_line("engine_id=s-1 phase=Draining");
    assert_eq!(count(&program, "feed lost error=silent"), 2);
    // Both were let go: nothing that they still say is read.
    for mut stream in [silent, dumb] {
        let mut rest = Vec::new();
        assert_eq!(stream.read_to_end(&mut rest).map_err(|e| e.kind()).unwrap_or(0), 0);
    }
}

// ---- Numbers -------------------------------------------------------------------------------

/// Guards the rule on drains: a feed that counts from 1 again was never heard any more.
#[test]
fn restarted_event_numbering_is_followed() {
    let feed = ScriptedFeed::start();
    let program = start(&feed);
    let (_, first) = feed.answer(told(40, "s-2", "ready"));
    program.wait_line("engine_id=s-2 phase=Ready");
    drop(first);
    // The whole list under number 1, of a revision after that of event 40, and what follows on it.
    let whole = list(41, true, &[("s-2", nowhere(), "ready"), ("s-3", nowhere(), "ready")]);
    let (asked, second) = feed.answer(
        [sent(1, &whole.replace("{\"n\":41", "{\"n\":1")), {
            let drain = list(42, false, &[("s-2", nowhere(), "draining")]);
            sent(2, &drain.replace("{\"n\":42", "{\"n\":2"))
        }]
        .concat(),
    );
    assert_eq!(asked, 40);
    program.wait_line("engine_id=s-3 phase=Ready");
    program.wait_line("engine_id=s-2 phase=Draining");
    program.wait_line("engine_id=s-1 phase=Gone");
    drop(second);
    // From there it goes on by the new numbers, and repeats are passed over as ever.
    let again = sent(1, &whole.replace("{\"n\":41", "{\"n\":1"));
    let (asked, _third) = feed.answer([again, told(43, "s-4", "ready").replace("43", "3")].concat());
    assert_eq!(asked, 2);
    program.wait_line("engine_id=s-4 phase=Ready");
    assert_eq!(count(&program, "engine_id=s-3 phase=Ready"), 1);
}

/// Guards the rule on drains: an event out of its turn was taken for a repeat. It counts for engines of which nothing
/// later was said, and for no others.
#[test]
fn late_event_applies_where_no_later_one_was_received() {
    let feed = ScriptedFeed::start();
    let program = start(&feed);
    let both = list(3, false, &[("s-1", nowhere(), "draining"), ("s-2", nowhere(), "ready")]);
    let (_, first) = feed.answer(
        [told(2, "s-2", "ready"), told(4, "s-2", "gone"), sent(3, &both), told(5, "s-5", "ready")].concat(),
    );
    program.wait_line("engine_id=s-5 phase=Ready");
    assert_eq!(count(&program, "engine_id=s-1 phase=Draining"), 1);
    assert_eq!(count(&program, "engine_id=s-2 phase=Ready"), 1, "event 3 doesn't bring it back");
    drop(first);
    assert_eq!(feed.call().0, 5);
}

/// Guards against engines that are gone and come back with an old event: a list that names nobody, told twice, is no new
/// numbering.
#[test]
fn empty_list_starts_no_new_numbering() {
    let feed = ScriptedFeed::start();
    let program = start(&feed);
    let (ready, gone, none) =
        (told(2, "s-2", "ready"), told(3, "s-2", "gone"), sent(4, &list(4, false, &[])));
    let (_, first) = feed.answer([&*ready, &gone, &none].concat());
    program.wait_line("engine_id=s-2 phase=Gone");
    drop(first);
    let (asked, _second) = feed.answer([&*none, &ready, &told(5, "s-5", "ready")].concat());
    assert_eq!(asked, 4);
    program.wait_line("engine_id=s-5 phase=Ready");
    assert_eq!(count(&program, "engine_id=s-2 phase=Ready"), 1);
    assert_eq!(count(&program, "event numbering restarted"), 0);
}

/// Guards the rule on drains: the number in an event's data, where it was not the event's own, let all that came after
/// pass.
#[test]
fn event_counts_under_its_own_number() {
    let feed = ScriptedFeed::start();
    let program = start(&feed);
    let other = sent(
        2,
        &list(900, false, &[("s-2", nowhere(), "ready")]).replace("\"revision\":900", "\"revision\":2"),
    );
    let (_, first) = feed.answer([other, told(3, "s-1", "draining")].concat());
    program.wait_line("engine_id=s-2 phase=Ready");
    program.wait_line("engine_id=s-1 phase=Draining");
    drop(first);
    // Without one, that in its data counts.
    let (asked, second) =
        feed.answer(format!("data: {}\n\n", list(4, false, &[("s-4", nowhere(), "ready")])));
    assert_eq!(asked, 3);
    program.wait_line("engine_id=s-4 phase=Ready");
    drop(second);
    assert_eq!(feed.call().0, 4);
}

/// Answers so many calls alike, each of which goes on from the first event.
fn ask_anew(feed: &ScriptedFeed, answer: &str, calls: usize) {
    for _ in 0..calls {
        let (asked, stream) = feed.answer(answer);
        assert_eq!(asked, 1);
        drop(stream);
    }
}

/// Guards the rule on drains: one number that no feed counts up to let all that came after pass.
#[test]
fn implausible_event_number_skips_nothing() {
    let feed = ScriptedFeed::start();
    let program = start(&feed);
    // It is asked for anew three times, and then passed over; what it is about plays no part.
    let both = format!(
        "id: {0}\ndata: {{\"n\":7}}\n\nid: {0}\ndata: {{\"n\":{0}}}\n\n{1}",
        u64::MAX,
        told(2, "s-1", "draining")
    );
    ask_anew(&feed, &both, 4);
    program.wait_line("engine_id=s-1 phase=Draining");
    assert_eq!(feed.call().0, 2);
}

// ---- Events that cannot be read ------------------------------------------------------------

/// Guards the rule on drains: two bad events in one answer started each other's count anew, and nothing behind them
/// was ever read.
#[test]
fn two_unreadable_events_are_both_skipped_in_the_end() {
    let feed = ScriptedFeed::start();
    let program = start(&feed);
    let bad = format!("data: {{\n\n{}{}", sent(2, "{"), told(3, "s-1", "draining"));
    // Three calls for each that are given up, and one more that reads them.
    ask_anew(&feed, &bad, 7);
    program.wait_line("engine_id=s-1 phase=Draining");
    assert_eq!(feed.call().0, 3);
}

/// Guards the rule on drains: an event too long to be read came again with every call, and nothing behind it was ever
/// read.
#[test]
fn oversized_event_is_skipped_in_the_end() {
    let feed = ScriptedFeed::start();
    let program = start(&feed);
    let long = "x".repeat((1 << 20) + 10);
    let bad = format!("{}{}", sent(2, &long), told(3, "s-1", "draining"));
    for _ in 0..4 {
        let (asked, mut stream) = feed.answer(&bad);
        assert_eq!(asked, 1);
        // Until it has hung up, or has read it all.
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let _ = stream.read_to_end(&mut Vec::new());
    }
    program.wait_line("engine_id=s-1 phase=Draining");
    assert_eq!(feed.call().0, 3);
    assert_eq!(count(&program, "feed event skipped error=\"field data is too long"), 1);
}

/// Guards the rule on drains: bytes that are no UTF-8 became another engine's name, and that one's drain was ticked off.
#[test]
fn an_event_that_is_not_utf_8_is_asked_for_anew() {
    let feed = ScriptedFeed::start();
    let program = start(&feed);
    let mut malformed = told(2, "s-1", "draining").into_bytes();
    let at = malformed.windows(3).position(|w| w == b"s-1").expect("its name");
    malformed[at + 1] = 0xff;
    let (_, first) = feed.answer(&malformed);
    let (asked, _second) = feed.answer(told(2, "s-1", "draining"));
    assert_eq!(asked, 1, "what was malformed on the way may not come so again");
    program.wait_line("engine_id=s-1 phase=Draining");
    drop(first);
}

// ---- Lists ---------------------------------------------------------------------------------

/// Guards the rule on drains: a whole list that leaves an engine out ends it, and what waited for a connection to it
/// went out seconds later.
#[test]
fn engine_missing_from_a_full_list_gets_no_new_requests() {
    let (feed, late, next) = (ScriptedFeed::start(), DelayedListener::listen(), Engine::echo());
    let program = Program::with_operators(&[("s-1", late.address)], None, SETTINGS);
    let operators = program.operators.expect("an address");
    program.reload(&program.config_with_feed(feed.address));
    let (_, mut stream) = feed.answer(": here\n\n");
    let mut client = RawClient::connect(program.platform);
    client.send(&query(&sql(1)));
    // It was drawn for s-1, the only engine, when it was taken, and waits for the connection.
    wait_until(|| (metric(operators, "outstanding") == 1).then_some(()));
    let whole = list(2, true, &[("s-2", next.address, "ready")]);
    say(&mut stream, sent(2, &whole));
    program.wait_line("engine_id=s-2 phase=Ready");
    let old = late.open(|_| Reply::Pages(vec!["a\tb\tc\n".into()]));
    assert_eq!(rows(&client.until_ready()).len(), 1);
    assert_eq!(
        (old.received("do").len(), next.received("do").len()),
        (0, 1),
        "it went to the engine that is left"
    );
    assert_eq!(count(&program, "engine_id=s-1 phase=Gone"), 1);
}

/// Guards the rule on drains: of two words on one engine in one list the later counted, whichever it was.
#[test]
fn more_cautious_of_two_entries_for_one_engine_counts() {
    let (feed, engine, next) = (ScriptedFeed::start(), Engine::echo(), Engine::echo());
    let program = Program::start(&[("s-1", engine.address)], None, None);
    program.reload(&program.config_with_feed(feed.address));
    let rows_of = [
        ("s-1", engine.address, "draining"),
        ("s-2", next.address, "ready"),
        ("s-1", engine.address, "ready"),
    ];
    let (_, _stream) = feed.answer(sent(2, &list(2, false, &rows_of)));
    program.wait_line("engine_id=s-2 phase=Ready");
    let mut client = RawClient::connect(program.platform);
    for id in 1..20 {
        assert_eq!(rows(&client.ask(&sql(id))).len(), 1);
    }
    assert_eq!((engine.received("do").len(), next.received("do").len()), (0, 19));
}

// ---- The feed moves ------------------------------------------------------------------------

/// Guards the rule on drains: half an event of the old feed must neither count nor be told twice.
#[test]
fn half_an_event_of_the_old_feed_is_not_joined_with_the_new_one() {
    let (old, new) = (ScriptedFeed::start(), ScriptedFeed::start());
    let program = start(&old);
    let drain = told(3, "s-1", "draining");
    let (half, rest) = drain.split_at(drain.len() - 1);
    let (_, mut first) = old.answer([&told(2, "s-2", "ready"), half].concat());
    program.wait_line("engine_id=s-2 phase=Ready");
    program.reload(&program.config_with_feed(new.address));
    let (asked, mut second) = new.call();
    assert_eq!(asked, 2, "what came whole of the old one counts, and no more");
    // The last byte comes only now.
    say(&mut first, rest);
    say(&mut second, [HEAD, &drain, &told(4, "s-4", "ready")].concat());
    program.wait_line("engine_id=s-4 phase=Ready");
    assert_eq!(count(&program, "engine_id=s-1 phase=Draining"), 1);
}

/// The configuration's file of a program, and a pipe in its place: who reads it waits for the test.
struct Held {
    file: std::path::PathBuf,
    pipe: std::path::PathBuf,
    id: String,
}

impl Held {
    /// Puts the pipe in the file's place and sends SIGHUP.
    fn hold(program: &Program) -> Held {
        let id = program.id().to_string();
        let line = std::fs::read_to_string(format!("/proc/{id}/cmdline")).expect("read");
        let mut parts = line.split('\0').skip_while(|p| *p != "--config");
        let file = std::path::PathBuf::from(parts.nth(1).expect("a file"));
        let pipe = file.with_extension("pipe");
        assert!(Command::new("mkfifo").arg(&pipe).status().expect("mkfifo").success());
        let held = Held { file, pipe, id };
        std::fs::rename(&held.pipe, &held.file).expect("renamed");
        held.hang_up();
        held
    }

    fn hang_up(&self) {
        assert!(Command::new("kill").args(["-HUP", &self.id]).status().expect("kill").success());
    }

    /// Waits until the program's reader is at the pipe, which only then can be opened for writing at once.
    fn reader(&self) -> std::fs::File {
        use std::os::unix::fs::OpenOptionsExt;
        let open = || std::fs::OpenOptions::new().write(true).custom_flags(O_NONBLOCK).open(&self.file).ok();
        wait_until(open)
    }
}

/// Linux's number for it.
const O_NONBLOCK: i32 = 0o4000;

/// Guards moves that follow on each other: while one file is read the next is put in its place, and that one counts.
#[test]
fn sighup_during_a_reload_causes_another_reload() {
    let (old, new) = (ScriptedFeed::start(), ScriptedFeed::start());
    let program = Program::start(&[("s-1", nowhere())], None, None);
    let (first, second) = (program.config_with_feed(old.address), program.config_with_feed(new.address));
    let held = Held::hold(&program);
    let mut reader = held.reader();
    // The reader has the pipe in hand: another file takes its place, and a second signal comes.
    std::fs::write(held.file.with_extension("next"), second).expect("written");
    std::fs::rename(held.file.with_extension("next"), &held.file).expect("renamed");
    held.hang_up();
    held.hang_up();
    let (_, mut client) = (reader.write_all(first.as_bytes()), RawClient::connect(program.platform));
    drop(reader);
    program.wait_line(&format!("configuration reloaded feed_address={}", old.address));
    program.wait_line(&format!("configuration reloaded feed_address={}", new.address));
    let (asked, _stream) = new.answer(told(2, "s-1", "draining"));
    assert_eq!(asked, 1);
    program.wait_line("engine_id=s-1 phase=Draining");
    client.send(&query(""));
    assert!(client.message().is_some());
}

/// Guards the stop: a file that cannot be read to its end held the process up when all was answered.
#[test]
fn stop_does_not_wait_for_a_reload_in_progress() {
    let mut program = Program::start(&[("s-1", nowhere())], None, None);
    let held = Held::hold(&program);
    let reader = held.reader();
    // Served meanwhile.
    assert_eq!(message_types(&RawClient::connect(program.platform).ask("")), "IZ");
    program.terminate();
    assert_eq!(program.wait_for_exit(), Some(0));
    drop(reader);
}

/// Guards the feed against a file that names none: the old one stays.
#[test]
fn reload_with_an_invalid_feed_address_changes_nothing() {
    let feed = ScriptedFeed::start();
    let program = start(&feed);
    let (_, mut stream) = feed.answer(": here\n\n");
    let good = program.config_with_feed(feed.address);
    for bad in ["", "nowhere", ":7070", "127.0.0.1:0", "127.0.0.1:70707"] {
        program.reload(&good.replace(&feed.address.to_string(), bad));
        let quoted = format!("{bad:?}").replace('"', "\\\"");
        program.wait_line(&format!("feed: {quoted} is no address and port"));
    }
    // So does the same address: the call that is open goes on.
    program.reload(&good);
    wait_until(|| (count(&program, "configuration reloaded") == 2).then_some(()));
    say(&mut stream, told(2, "s-1", "draining"));
    program.wait_line("engine_id=s-1 phase=Draining");
    assert_eq!(count(&program, "feed lost"), 0);
    assert!(feed.calls.try_recv().is_err(), "it was not called again");
}
