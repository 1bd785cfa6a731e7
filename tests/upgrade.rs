//! Hot restarts: a second process beside the first, on the listening socket that the platform holds and in the folder that
//! both share. No request is rejected, cordons stay in force, and a process that dies in the middle loses no more than
//! its own requests.
mod support;

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;
use support::admin_client::*;
use support::timed_engine::TimedEngine;
use support::*;

fn sql(req: u64, ms: u64) -> String {
    format!("/* kind=lane-rate,req={req:016x},timeout=20000,owner=sud,ms={ms} */ SELECT a FROM sales_17.orders WHERE ms = {ms}")
}

/// A listening socket that only the programs accept on.
fn shared_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    (listener, at)
}

fn healthy(program: &Program) -> bool {
    program.operators.is_some_and(|at| call(at, "GET", "/admin/health", "").0 == 200)
}

/// Counts of responses that clients received.
#[derive(Default)]
struct ObservedEnds {
    served: AtomicU64,
    rejected: AtomicU64,
    /// Requests whose connection was closed without a response: retried once on a new one, as the platform does.
    crossed: AtomicU64,
}

/// Whether the other side has closed an idle connection.
fn is_closed(raw: &RawClient) -> bool {
    raw.stream.set_nonblocking(true).expect("set");
    let is_closed =
        !matches!(raw.stream.peek(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
    raw.stream.set_nonblocking(false).expect("set");
    is_closed
}

/// A client like the platform's: it sends requests one after the other on a connection that it keeps for some time, and
/// checks whether that was closed before it sends the next.
fn client(to: SocketAddr, seen: &ObservedEnds, next: &AtomicU64, stop: &AtomicBool) {
    let mut raw: Option<RawClient> = None;
    while !stop.load(Ordering::SeqCst) {
        let id = next.fetch_add(1, Ordering::SeqCst);
        let mut is_retry = false;
        loop {
            raw = raw.take_if(|raw| !is_closed(raw));
            let connection = raw.get_or_insert_with(|| RawClient::connect(to));
            let sent = std::io::Write::write_all(&mut connection.stream, &query(&sql(id, 10)));
            let mut got = Vec::new();
            while sent.is_ok() {
                match connection.message() {
                    Some(message) => got.push(message),
                    None => break,
                }
                if got.last().is_some_and(|m| m.0 == b'Z') {
                    break;
                }
            }
            match message_types(&got).chars().next() {
                Some('T') => seen.served.fetch_add(1, Ordering::SeqCst),
                Some('E') => seen.rejected.fetch_add(1, Ordering::SeqCst),
                _ => {
                    assert!(
                        got.is_empty() && !is_retry,
                        "request {id} was left with {:?}",
                        message_types(&got)
                    );
                    is_retry = true;
                    seen.crossed.fetch_add(1, Ordering::SeqCst);
                    raw = None;
                    continue;
                }
            };
            break;
        }
        thread::sleep(Duration::from_millis(3 + id % 7));
        // A new connection now and then.
        raw = raw.take_if(|_| !id.is_multiple_of(23));
    }
}

/// Three hot restarts in a row under load. No request is left without a response; at most a few cross a close.
#[test]
fn no_request_is_rejected_or_lost_in_hot_restarts_under_load() {
    let engines: Vec<TimedEngine> = (0..3).map(|_| TimedEngine::start()).collect();
    let ids = ["s-1", "s-2", "s-3"];
    let at: Vec<(&str, SocketAddr)> = ids.iter().zip(&engines).map(|(id, e)| (*id, e.address)).collect();
    let (listener, to) = shared_listener();
    let folder = scratch_dir();
    let mut serving = Program::start_on_shared_listener(&listener, &folder, &at);
    wait_until(|| healthy(&serving).then_some(()));
    let (seen, next, stop) = (ObservedEnds::default(), AtomicU64::new(1), AtomicBool::new(false));
    thread::scope(|scope| {
        (0..12).for_each(|_| drop(scope.spawn(|| client(to, &seen, &next, &stop))));
        for round in 1..=3u64 {
            wait_until(|| (seen.served.load(Ordering::SeqCst) >= round * 300).then_some(()));
            let successor = Program::start_on_shared_listener(&listener, &folder, &at);
            wait_until(|| healthy(&successor).then_some(()));
            serving.terminate();
            assert_eq!(serving.wait_for_exit(), Some(0), "the old process ends by itself");
            serving = successor;
        }
        wait_until(|| (seen.served.load(Ordering::SeqCst) >= 1_200).then_some(()));
        stop.store(true, Ordering::SeqCst);
    });
    let crossed = seen.crossed.load(Ordering::SeqCst);
    eprintln!("{} served, {crossed} crossed a close", seen.served.load(Ordering::SeqCst));
    assert_eq!(seen.rejected.load(Ordering::SeqCst), 0);
    assert!(crossed <= 12, "{crossed} requests crossed a close, of twelve clients in three hot restarts");
    assert_eq!(metric(serving.operators.expect("an address"), "outstanding"), 0);
}

/// A cordon made at either process is in force in both, in their successor, and in one that starts after all have ended;
/// one uncordon, at any of them, ends it in all.
#[test]
fn cordon_is_in_force_in_all_processes_until_uncordoned() {
    let (out, other) = (Engine::echo(), Engine::echo());
    let at = [("s-1", out.address), ("s-2", other.address)];
    let (listener, to) = shared_listener();
    let folder = scratch_dir();
    let mut first = Program::start_on_shared_listener(&listener, &folder, &at);
    wait_until(|| healthy(&first).then_some(()));
    let operators = |p: &Program| p.operators.expect("an address");
    assert_eq!(call(operators(&first), "POST", "/admin/cordon", &target_body("s-1")).0, 200);
    let second = Program::start_on_shared_listener(&listener, &folder, &at);
    wait_until(|| healthy(&second).then_some(()));
    assert_eq!(metric(operators(&second), "ejected"), 1, "before its first request");
    let mut next = 0;
    let mut ask = |n: u64| {
        for _ in 0..n {
            next += 1;
            let mut raw = RawClient::connect(to);
            assert_eq!(rows(&raw.ask(&sql(next, 1))).len(), 1);
        }
    };
    ask(30);
    first.terminate();
    ask(30);
    assert_eq!(first.wait_for_exit(), Some(0));
    // It is killed without a successor: its file stays.
    drop(second);
    let third = Program::start_on_shared_listener(&listener, &folder, &at);
    wait_until(|| healthy(&third).then_some(()));
    ask(30);
    assert_eq!(out.received("do").len(), 0);
    // An uncordon at the new process takes effect in the old one, too.
    let fourth = Program::start_on_shared_listener(&listener, &folder, &at);
    wait_until(|| healthy(&fourth).then_some(()));
    assert_eq!(call(operators(&fourth), "POST", "/admin/uncordon", &target_body("s-1")).0, 200);
    wait_until(|| (metric(operators(&third), "ejected") == 0).then_some(()));
    wait_until(|| {
        ask(5);
        (!out.received("do").is_empty()).then_some(())
    });
}

/// A new process that dies before it is healthy, and one that dies after: the old process goes on serving.
#[test]
fn old_process_goes_on_serving_when_the_new_one_dies() {
    let engine = TimedEngine::start();
    let at = [("s-1", engine.address)];
    let (listener, to) = shared_listener();
    let folder = scratch_dir();
    let mut first = Program::start_on_shared_listener(&listener, &folder, &at);
    wait_until(|| healthy(&first).then_some(()));
    let (seen, next, stop) = (ObservedEnds::default(), AtomicU64::new(1), AtomicBool::new(false));
    thread::scope(|scope| {
        (0..4).for_each(|_| drop(scope.spawn(|| client(to, &seen, &next, &stop))));
        let served = |more: u64| {
            let from = seen.served.load(Ordering::SeqCst);
            wait_until(|| (seen.served.load(Ordering::SeqCst) >= from + more).then_some(()));
        };
        served(100);
        // It listens, and has not yet answered a health check.
        let mut early = Program::start_on_shared_listener(&listener, &folder, &at);
        early.kill();
        served(100);
        let mut late = Program::start_on_shared_listener(&listener, &folder, &at);
        wait_until(|| healthy(&late).then_some(()));
        first.wait_line("hot restart phase changed phase=ServingBesideSuccessor");
        // Its requests are lost with it, which its clients see as a closed connection: they retry.
        late.kill();
        first.wait_line("hot restart process is unresponsive remaining_processes=0 ");
        served(100);
        stop.store(true, Ordering::SeqCst);
    });
    assert!(first.running() && healthy(&first));
    first.terminate();
    assert_eq!(first.wait_for_exit(), Some(0));
}

/// The old process is killed in the middle of a hot restart: the new one goes on serving alone.
#[test]
fn new_process_goes_on_serving_when_the_old_one_dies() {
    let engine = TimedEngine::start();
    let at = [("s-1", engine.address)];
    let (listener, to) = shared_listener();
    let folder = scratch_dir();
    let mut first = Program::start_on_shared_listener(&listener, &folder, &at);
    wait_until(|| healthy(&first).then_some(()));
    let mut raw = RawClient::connect(to);
    assert_eq!(rows(&raw.ask(&sql(1, 1))).len(), 1);
    let successor = Program::start_on_shared_listener(&listener, &folder, &at);
    wait_until(|| healthy(&successor).then_some(()));
    first.kill();
    let mut raw = RawClient::connect(to);
    assert_eq!(rows(&raw.ask(&sql(2, 1))).len(), 1);
    successor.wait_line("hot restart process is unresponsive remaining_processes=0 ");
    assert!(successor
        .lines()
        .iter()
        .any(|l| l.ends_with("hot restart phase changed phase=Serving budget_parts=1")));
}

/// Damaged files, and files of other programs, cause at most a log line.
#[test]
fn damaged_and_foreign_files_are_ignored() {
    let engine = Engine::echo();
    let at = [("s-1", engine.address)];
    let (listener, to) = shared_listener();
    let folder = scratch_dir();
    let mut first = Program::start_on_shared_listener(&listener, &folder, &at);
    wait_until(|| healthy(&first).then_some(()));
    first.terminate();
    assert_eq!(first.wait_for_exit(), Some(0));
    let left: Vec<_> = std::fs::read_dir(&folder).expect("read").flatten().map(|f| f.path()).collect();
    assert_eq!(left.len(), 1, "{left:?}");
    let mut bytes = std::fs::read(&left[0]).expect("read");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x10;
    std::fs::write(&left[0], bytes).expect("written");
    std::fs::write(folder.join("notes.txt"), "not of this program").expect("written");
    let second = Program::start_on_shared_listener(&listener, &folder, &at);
    wait_until(|| healthy(&second).then_some(()));
    second.wait_line("reason=\"damaged: ");
    assert_eq!(rows(&RawClient::connect(to).ask(&sql(1, 1))).len(), 1);
    assert!(folder.join("notes.txt").exists());
}
