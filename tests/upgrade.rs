//! Upgrades: a second process beside the first, on the listening socket that the platform holds and in the folder that
//! both share. Clients notice nothing, bans hold across it, and a process that dies in the middle costs no more than
//! what it held.
mod support;

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;
use support::calls::*;
use support::paced::Paced;
use support::*;

fn sql(req: u64, ms: u64) -> String {
    format!("/* kind=lane-rate,req={req:016x},timeout=20000,owner=sud,ms={ms} */ SELECT a FROM sales_17.orders WHERE ms = {ms}")
}

/// A socket on which nobody accepts but the programs.
fn door() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    (listener, at)
}

fn healthy(program: &Program) -> bool {
    program.operators.is_some_and(|at| call(at, "GET", "/admin/health", "").0 == 200)
}

/// What clients saw.
#[derive(Default)]
struct Seen {
    served: AtomicU64,
    refused: AtomicU64,
    /// Requests whose connection ended with no answer: sent again on a new one, once, as the platform does.
    crossed: AtomicU64,
}

/// Whether the other side has ended a connection on which nothing is open.
fn ended(raw: &Raw) -> bool {
    raw.stream.set_nonblocking(true).expect("set");
    let ended = !matches!(raw.stream.peek(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
    raw.stream.set_nonblocking(false).expect("set");
    ended
}

/// A client as the platform's are: requests one after the other on a connection that it keeps for some time, and that
/// it looks at before it asks again.
fn client(to: SocketAddr, seen: &Seen, next: &AtomicU64, stop: &AtomicBool) {
    let mut raw: Option<Raw> = None;
    while !stop.load(Ordering::SeqCst) {
        let id = next.fetch_add(1, Ordering::SeqCst);
        let mut again = false;
        loop {
            raw = raw.take_if(|raw| !ended(raw));
            let connection = raw.get_or_insert_with(|| Raw::connect(to));
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
            match kinds(&got).chars().next() {
                Some('T') => seen.served.fetch_add(1, Ordering::SeqCst),
                Some('E') => seen.refused.fetch_add(1, Ordering::SeqCst),
                _ => {
                    assert!(got.is_empty() && !again, "request {id} was left with {:?}", kinds(&got));
                    again = true;
                    seen.crossed.fetch_add(1, Ordering::SeqCst);
                    raw = None;
                    continue;
                }
            };
            break;
        }
        thread::sleep(Duration::from_millis(3 + id % 7));
        // Now and then a new connection.
        raw = raw.take_if(|_| !id.is_multiple_of(23));
    }
}

/// Three upgrades in a row under load. No request is left without an answer; at most a few cross a close.
#[test]
fn clients_notice_no_upgrade() {
    let engines: Vec<Paced> = (0..3).map(|_| Paced::start()).collect();
    let ids = ["s-1", "s-2", "s-3"];
    let at: Vec<(&str, SocketAddr)> = ids.iter().zip(&engines).map(|(id, e)| (*id, e.address)).collect();
    let (listener, to) = door();
    let folder = scratch();
    let mut serving = Program::beside(&listener, &folder, &at);
    until(|| healthy(&serving).then_some(()));
    let (seen, next, stop) = (Seen::default(), AtomicU64::new(1), AtomicBool::new(false));
    thread::scope(|scope| {
        (0..12).for_each(|_| drop(scope.spawn(|| client(to, &seen, &next, &stop))));
        for round in 1..=3u64 {
            until(|| (seen.served.load(Ordering::SeqCst) >= round * 300).then_some(()));
            let newcomer = Program::beside(&listener, &folder, &at);
            until(|| healthy(&newcomer).then_some(()));
            serving.terminate();
            assert_eq!(serving.ended(), Some(0), "the one before ends by itself");
            serving = newcomer;
        }
        until(|| (seen.served.load(Ordering::SeqCst) >= 1_200).then_some(()));
        stop.store(true, Ordering::SeqCst);
    });
    let crossed = seen.crossed.load(Ordering::SeqCst);
    eprintln!("{} served, {crossed} crossed a close", seen.served.load(Ordering::SeqCst));
    assert_eq!(seen.refused.load(Ordering::SeqCst), 0);
    assert!(crossed <= 12, "{crossed} requests were turned back, of twelve clients in three upgrades");
    assert_eq!(figure(serving.operators.expect("an address"), "outstanding"), 0);
}

/// A ban that either process was told of holds in both, in whoever comes next, and in one that starts after all have
/// gone; one call back, at whichever, ends it in all.
#[test]
fn a_ban_holds_across_processes_until_the_call_back() {
    let (out, other) = (Engine::echo(), Engine::echo());
    let at = [("s-1", out.address), ("s-2", other.address)];
    let (listener, to) = door();
    let folder = scratch();
    let mut first = Program::beside(&listener, &folder, &at);
    until(|| healthy(&first).then_some(()));
    let operators = |p: &Program| p.operators.expect("an address");
    assert_eq!(call(operators(&first), "POST", "/admin/cordon", &target("s-1")).0, 200);
    let second = Program::beside(&listener, &folder, &at);
    until(|| healthy(&second).then_some(()));
    assert_eq!(figure(operators(&second), "ejected"), 1, "before its first request");
    let mut next = 0;
    let mut ask = |n: u64| {
        for _ in 0..n {
            next += 1;
            let mut raw = Raw::connect(to);
            assert_eq!(rows(&raw.ask(&sql(next, 1))).len(), 1);
        }
    };
    ask(30);
    first.terminate();
    ask(30);
    assert_eq!(first.ended(), Some(0));
    // It ends with no successor: its file stays.
    drop(second);
    let third = Program::beside(&listener, &folder, &at);
    until(|| healthy(&third).then_some(()));
    ask(30);
    assert_eq!(out.seen("do").len(), 0);
    // A call back at the newcomer holds in the one before it, too.
    let fourth = Program::beside(&listener, &folder, &at);
    until(|| healthy(&fourth).then_some(()));
    assert_eq!(call(operators(&fourth), "POST", "/admin/uncordon", &target("s-1")).0, 200);
    until(|| (figure(operators(&third), "ejected") == 0).then_some(()));
    until(|| {
        ask(5);
        (!out.seen("do").is_empty()).then_some(())
    });
}

/// A newcomer that dies before it has said yes, and one that dies after: the first process serves on, with all it had.
#[test]
fn the_first_process_serves_on_when_the_newcomer_dies() {
    let engine = Paced::start();
    let at = [("s-1", engine.address)];
    let (listener, to) = door();
    let folder = scratch();
    let mut first = Program::beside(&listener, &folder, &at);
    until(|| healthy(&first).then_some(()));
    let (seen, next, stop) = (Seen::default(), AtomicU64::new(1), AtomicBool::new(false));
    thread::scope(|scope| {
        (0..4).for_each(|_| drop(scope.spawn(|| client(to, &seen, &next, &stop))));
        let served = |more: u64| {
            let from = seen.served.load(Ordering::SeqCst);
            until(|| (seen.served.load(Ordering::SeqCst) >= from + more).then_some(()));
        };
        served(100);
        // It has opened its addresses, and nobody has heard a yes.
        let mut early = Program::beside(&listener, &folder, &at);
        early.kill();
        served(100);
        let mut late = Program::beside(&listener, &folder, &at);
        until(|| healthy(&late).then_some(()));
        first.wait_line("hot restart: phase ServingBesideSuccessor");
        // What it holds is lost with it, which its clients see as an end: they ask again.
        late.kill();
        first.wait_line("is unresponsive, no other process is left");
        served(100);
        stop.store(true, Ordering::SeqCst);
    });
    assert!(first.running() && healthy(&first));
    first.terminate();
    assert_eq!(first.ended(), Some(0));
}

/// The first process dies in the middle of an upgrade, without a word: the newcomer serves on alone.
#[test]
fn the_newcomer_serves_on_when_the_first_process_dies() {
    let engine = Paced::start();
    let at = [("s-1", engine.address)];
    let (listener, to) = door();
    let folder = scratch();
    let mut first = Program::beside(&listener, &folder, &at);
    until(|| healthy(&first).then_some(()));
    let mut raw = Raw::connect(to);
    assert_eq!(rows(&raw.ask(&sql(1, 1))).len(), 1);
    let newcomer = Program::beside(&listener, &folder, &at);
    until(|| healthy(&newcomer).then_some(()));
    first.kill();
    let mut raw = Raw::connect(to);
    assert_eq!(rows(&raw.ask(&sql(2, 1))).len(), 1);
    newcomer.wait_line("is unresponsive, no other process is left");
    assert!(newcomer.lines().iter().any(|l| l.contains("hot restart: phase Serving, 1 of 1 budget parts")));
}

/// Files that are damaged, of another manager or no files of this program cost a log line and nothing else.
#[test]
fn what_lies_in_the_folder_is_read_or_passed_over() {
    let engine = Engine::echo();
    let at = [("s-1", engine.address)];
    let (listener, to) = door();
    let folder = scratch();
    let mut first = Program::beside(&listener, &folder, &at);
    until(|| healthy(&first).then_some(()));
    first.terminate();
    assert_eq!(first.ended(), Some(0));
    let left: Vec<_> = std::fs::read_dir(&folder).expect("read").flatten().map(|f| f.path()).collect();
    assert_eq!(left.len(), 1, "{left:?}");
    let mut bytes = std::fs::read(&left[0]).expect("read");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x10;
    std::fs::write(&left[0], bytes).expect("written");
    std::fs::write(folder.join("notes.txt"), "not of this program").expect("written");
    let second = Program::beside(&listener, &folder, &at);
    until(|| healthy(&second).then_some(()));
    second.wait_line("rejected: damaged");
    assert_eq!(rows(&Raw::connect(to).ask(&sql(1, 1))).len(), 1);
    assert!(folder.join("notes.txt").exists());
}
