//! Hot restarts: a second process starts beside the first, with the same inherited listening socket and state
//! folder. No request is rejected, cordons stay in force, and a process that dies during the restart loses
//! only its own requests.
mod support;

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;
use support::admin_client::*;
use support::timed_engine::TimedEngine;
use support::*;

fn sql(req: u64, ms: u64) -> String {
    format!("/* kind=lane-rate,req={req:016x},timeout=20000,owner=sud,ms={ms} */ SELECT a FROM sales_17.orders WHERE ms = {ms}")
}

/// Binds a listening socket on which only the programs accept connections.
fn shared_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

fn is_healthy(program: &Program) -> bool {
    program.operators.is_some_and(|admin| call(admin, "GET", "/admin/health", "").0 == 200)
}

/// Starts a process on the shared listening socket, and waits until it is healthy.
fn start_healthy(listener: &TcpListener, folder: &Path, engines: &[(&str, SocketAddr)]) -> Program {
    let program = Program::start_on_shared_listener(listener, folder, engines);
    wait_until(|| is_healthy(&program).then_some(()));
    program
}

/// Numbers of requests by outcome, as clients observed it.
#[derive(Default)]
struct OutcomeCounts {
    served: AtomicU64,
    rejected: AtomicU64,
    /// Requests that were sent while the program was closing their connection. They are retried once on a new
    /// connection, as the platform does.
    crossed_close: AtomicU64,
}

/// Whether the program has closed an idle connection.
fn is_closed(client: &RawClient) -> bool {
    client.stream.set_nonblocking(true).expect("set");
    let is_closed =
        !matches!(client.stream.peek(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
    client.stream.set_nonblocking(false).expect("set");
    is_closed
}

/// Sends requests as the platform's clients do: one after the other on a connection that is kept for some
/// time, and checked for a close before each request.
fn run_client(to: SocketAddr, outcomes: &OutcomeCounts, next_id: &AtomicU64, stop: &AtomicBool) {
    let mut client: Option<RawClient> = None;
    while !stop.load(Ordering::SeqCst) {
        let id = next_id.fetch_add(1, Ordering::SeqCst);
        let mut is_retry = false;
        loop {
            client = client.take_if(|client| !is_closed(client));
            let connection = client.get_or_insert_with(|| RawClient::connect(to));
            let sent = std::io::Write::write_all(&mut connection.stream, &query(&sql(id, 10)));
            let mut messages = Vec::new();
            while sent.is_ok() {
                match connection.message() {
                    Some(message) => messages.push(message),
                    None => break,
                }
                if messages.last().is_some_and(|m| m.0 == b'Z') {
                    break;
                }
            }
            match message_types(&messages).chars().next() {
                Some('T') => outcomes.served.fetch_add(1, Ordering::SeqCst),
                Some('E') => outcomes.rejected.fetch_add(1, Ordering::SeqCst),
                _ => {
                    assert!(
                        messages.is_empty() && !is_retry,
                        "request {id} got only {:?}",
                        message_types(&messages)
                    );
                    is_retry = true;
                    outcomes.crossed_close.fetch_add(1, Ordering::SeqCst);
                    client = None;
                    continue;
                }
            };
            break;
        }
        thread::sleep(Duration::from_millis(3 + id % 7));
        // Opens a new connection from time to time.
        client = client.take_if(|_| !id.is_multiple_of(23));
    }
}

/// Three consecutive hot restarts under load. Every request gets a response; at most a few are sent while the
/// program closes their connection, and are retried.
#[test]
fn no_request_is_rejected_or_lost_in_hot_restarts_under_load() {
    let engines: Vec<TimedEngine> = (0..3).map(|_| TimedEngine::start()).collect();
    let ids = ["s-1", "s-2", "s-3"];
    let engines_by_id: Vec<(&str, SocketAddr)> =
        ids.iter().zip(&engines).map(|(id, e)| (*id, e.address)).collect();
    let (listener, to) = shared_listener();
    let folder = scratch_dir();
    let mut serving = start_healthy(&listener, &folder, &engines_by_id);
    let (outcomes, next_id, stop) = (OutcomeCounts::default(), AtomicU64::new(1), AtomicBool::new(false));
    thread::scope(|scope| {
        (0..12).for_each(|_| drop(scope.spawn(|| run_client(to, &outcomes, &next_id, &stop))));
        for round in 1..=3u64 {
            wait_until(|| (outcomes.served.load(Ordering::SeqCst) >= round * 300).then_some(()));
            let successor = start_healthy(&listener, &folder, &engines_by_id);
            serving.terminate();
            assert_eq!(serving.wait_for_exit(), Some(0), "the old process ends by itself");
            serving = successor;
        }
        wait_until(|| (outcomes.served.load(Ordering::SeqCst) >= 1_200).then_some(()));
        stop.store(true, Ordering::SeqCst);
    });
    let crossed = outcomes.crossed_close.load(Ordering::SeqCst);
    eprintln!("{} served, {crossed} crossed a close", outcomes.served.load(Ordering::SeqCst));
    assert_eq!(outcomes.rejected.load(Ordering::SeqCst), 0);
    assert!(crossed <= 12, "{crossed} requests of twelve clients crossed a close in three hot restarts");
    assert_eq!(metric(serving.operators.expect("an address"), "outstanding"), 0);
}

/// A cordon made at either process is in force in both, in their successor, and in a process that starts
/// after all have ended. One uncordon at any process ends it in all.
#[test]
fn cordon_is_in_force_in_all_processes_until_uncordoned() {
    let (cordoned, other) = (Engine::echo(), Engine::echo());
    let engines = [("s-1", cordoned.address), ("s-2", other.address)];
    let (listener, to) = shared_listener();
    let folder = scratch_dir();
    let mut first = start_healthy(&listener, &folder, &engines);
    let operators = |p: &Program| p.operators.expect("an address");
    assert_eq!(call(operators(&first), "POST", "/admin/cordon", &target_body("s-1")).0, 200);
    let second = start_healthy(&listener, &folder, &engines);
    assert_eq!(metric(operators(&second), "ejected"), 1, "before its first request");
    let mut next_id = 0;
    let mut send_requests = |count: u64| {
        for _ in 0..count {
            next_id += 1;
            let mut client = RawClient::connect(to);
            assert_eq!(rows(&client.ask(&sql(next_id, 1))).len(), 1);
        }
    };
    send_requests(30);
    first.terminate();
    send_requests(30);
    assert_eq!(first.wait_for_exit(), Some(0));
    // The process is killed without a successor: its state file stays.
    drop(second);
    let third = start_healthy(&listener, &folder, &engines);
    send_requests(30);
    assert_eq!(cordoned.received("do").len(), 0);
    // An uncordon at the new process takes effect in the old one, too.
    let fourth = start_healthy(&listener, &folder, &engines);
    assert_eq!(call(operators(&fourth), "POST", "/admin/uncordon", &target_body("s-1")).0, 200);
    wait_until(|| (metric(operators(&third), "ejected") == 0).then_some(()));
    wait_until(|| {
        send_requests(5);
        (!cordoned.received("do").is_empty()).then_some(())
    });
}

/// One new process dies before it is healthy, and another one after it is: the old process continues to
/// serve.
#[test]
fn old_process_continues_to_serve_when_the_new_one_dies() {
    let engine = TimedEngine::start();
    let engines = [("s-1", engine.address)];
    let (listener, to) = shared_listener();
    let folder = scratch_dir();
    let mut first = start_healthy(&listener, &folder, &engines);
    let (outcomes, next_id, stop) = (OutcomeCounts::default(), AtomicU64::new(1), AtomicBool::new(false));
    thread::scope(|scope| {
        (0..4).for_each(|_| drop(scope.spawn(|| run_client(to, &outcomes, &next_id, &stop))));
        let wait_for_served = |count: u64| {
            let before = outcomes.served.load(Ordering::SeqCst);
            wait_until(|| (outcomes.served.load(Ordering::SeqCst) >= before + count).then_some(()));
        };
        wait_for_served(100);
        // This process listens, and dies before it has answered a health check.
        let mut early = Program::start_on_shared_listener(&listener, &folder, &engines);
        early.kill();
        wait_for_served(100);
        let mut late = start_healthy(&listener, &folder, &engines);
        first.wait_line("hot restart phase changed phase=ServingBesideSuccessor");
        // Requests in flight are lost with the process; their clients see a closed connection and retry.
        late.kill();
        first.wait_line("hot restart process is unresponsive remaining_processes=0 ");
        wait_for_served(100);
        stop.store(true, Ordering::SeqCst);
    });
    assert!(first.is_running() && is_healthy(&first));
    first.terminate();
    assert_eq!(first.wait_for_exit(), Some(0));
}

/// The old process is killed during a hot restart: the new one continues to serve alone.
#[test]
fn new_process_continues_to_serve_when_the_old_one_dies() {
    let engine = TimedEngine::start();
    let engines = [("s-1", engine.address)];
    let (listener, to) = shared_listener();
    let folder = scratch_dir();
    let mut first = start_healthy(&listener, &folder, &engines);
    let mut client = RawClient::connect(to);
    assert_eq!(rows(&client.ask(&sql(1, 1))).len(), 1);
    let successor = start_healthy(&listener, &folder, &engines);
    first.kill();
    let mut client = RawClient::connect(to);
    assert_eq!(rows(&client.ask(&sql(2, 1))).len(), 1);
    successor.wait_line("hot restart process is unresponsive remaining_processes=0 ");
    assert!(successor
        .lines()
        .iter()
        .any(|l| l.ends_with("hot restart phase changed phase=Serving budget_parts=1")));
}

/// Damaged state files, and files of other programs in the state folder, cause at most a log line.
#[test]
fn damaged_and_foreign_files_are_ignored() {
    let engine = Engine::echo();
    let engines = [("s-1", engine.address)];
    let (listener, to) = shared_listener();
    let folder = scratch_dir();
    let mut first = start_healthy(&listener, &folder, &engines);
    first.terminate();
    assert_eq!(first.wait_for_exit(), Some(0));
    let files: Vec<_> = std::fs::read_dir(&folder).expect("read").flatten().map(|f| f.path()).collect();
    assert_eq!(files.len(), 1, "{files:?}");
    let mut bytes = std::fs::read(&files[0]).expect("read");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x10;
    std::fs::write(&files[0], bytes).expect("written");
    std::fs::write(folder.join("notes.txt"), "not of this program").expect("written");
    let second = start_healthy(&listener, &folder, &engines);
    second.wait_line("reason=\"damaged: ");
    assert_eq!(rows(&RawClient::connect(to).ask(&sql(1, 1))).len(), 1);
    assert!(folder.join("notes.txt").exists());
}

/// A counter of CancelRequests that reached the wrong process.
fn cancels(program: &Program, name: &str) -> u64 {
    metric(program.operators.expect("an address"), &format!("cancels.{name}"))
}

/// Waits until new connections reach `successor`, to which the session of `client` is unknown.
fn wait_until_accepting_alone(successor: &Program, to: SocketAddr, client: &RawClient) {
    wait_until(|| {
        let before = cancels(successor, "unknown_session");
        client.cancel(to);
        thread::sleep(Duration::from_millis(200));
        (cancels(successor, "unknown_session") == before + 1).then_some(())
    });
}

/// Guards against a CancelRequest that the process which received it drops, since the other one serves the
/// session (review, case 3).
#[test]
fn cancel_request_reaches_its_session_in_the_old_process() {
    let engine = Engine::start(|_| Reply::Hold);
    let engines = [("s-1", engine.address)];
    let (listener, to) = shared_listener();
    let folder = scratch_dir();
    let first = start_healthy(&listener, &folder, &engines);
    let mut client = RawClient::connect(to);
    client.send(&query(&sql(1, 1)));
    engine.wait_for("do", 1);
    let second = start_healthy(&listener, &folder, &engines);
    first.terminate();
    first.wait_line("hot restart phase changed phase=Draining");
    client.cancel(to);
    assert_eq!(error_fields(&client.until_ready())[0], "57014");
    engine.wait_for("undo", 1);
    assert_eq!((cancels(&second, "unknown_session"), cancels(&second, "taken_over")), (1, 0));
}

/// The same in the other direction: the new process is told to stop, and the old one accepts again.
#[test]
fn cancel_request_reaches_its_session_in_a_new_process_that_stops() {
    let engine = Engine::start(|_| Reply::Hold);
    let engines = [("s-1", engine.address)];
    let (listener, to) = shared_listener();
    let folder = scratch_dir();
    let first = start_healthy(&listener, &folder, &engines);
    let second = start_healthy(&listener, &folder, &engines);
    let has_request = |program: &Program| metric(program.operators.expect("an address"), "outstanding") == 1;
    let mut next_id = 0;
    let mut client = wait_until(|| {
        next_id += 1;
        let mut client = RawClient::connect(to);
        client.send(&query(&sql(next_id, 1)));
        wait_until(|| (has_request(&first) || has_request(&second)).then_some(()));
        // The old process may still accept a connection, whose client then goes.
        has_request(&second).then_some(client)
    });
    second.terminate();
    second.wait_line("hot restart phase changed phase=Draining");
    // The new process accepts for 0.7 s after SIGTERM.
    thread::sleep(Duration::from_millis(800));
    client.cancel(to);
    assert_eq!(error_fields(&client.until_ready())[0], "57014");
    assert_eq!((cancels(&first, "unknown_session"), cancels(&first, "taken_over")), (1, 0));
}

/// An engine that never answers statements with `ms = 9`, and answers others at once.
fn holding_engine() -> Engine {
    Engine::start(|command| match command.parts[3].contains("ms = 9") {
        true => Reply::Hold,
        false => Reply::Pages(vec!["a\tb\tc\n".to_owned()]),
    })
}

/// Guards against a CancelRequest at the other process that is lost because its request is unread, or that cancels
/// the next request of a client which waits for the close.
#[test]
fn cancel_request_at_the_other_process_concerns_only_what_was_sent_before_it() {
    let engine = holding_engine();
    let engines = [("s-1", engine.address)];
    let (listener, to) = shared_listener();
    let folder = scratch_dir();
    let _first = start_healthy(&listener, &folder, &engines);
    let mut client = RawClient::connect(to);
    let second = start_healthy(&listener, &folder, &engines);
    wait_until_accepting_alone(&second, to, &client);
    for round in 1..10 {
        client.send(&query(&sql(2 * round, 9)));
        client.cancel(to);
        assert_eq!(error_fields(&client.until_ready())[0], "57014", "round {round}");
        let mut cancel_connection = RawClient::open(to);
        cancel_connection
            .send(&[&16u32.to_be_bytes()[..], &80_877_102u32.to_be_bytes(), &client.key].concat());
        assert!(cancel_connection.message().is_none(), "a CancelRequest gets no answer");
        assert_eq!(rows(&client.ask(&sql(2 * round + 1, 1))), ["a|b|c"], "round {round}");
    }
}

/// A request of a load with an idempotency key.
fn load(req: u64, key: u64) -> String {
    format!(
        "/* kind=tariff-load,req={req:016x},opkey={key:032x},timeout=20000,owner=sud,ms=1 */ INSERT INTO sales_17.orders VALUES (1)"
    )
}

/// Guards against an id of one process's request that the other process accepts for another statement (review, case
/// 9): in both directions, of open, waiting and recent requests, and over two upgrades in a row.
#[test]
fn request_id_known_to_one_process_is_refused_by_the_others() {
    let engine = holding_engine();
    let engines = [("s-1", engine.address)];
    let (listener, to) = shared_listener();
    let folder = scratch_dir();
    // The code of the error; empty if the request is served.
    let code = |client: &mut RawClient, id, ms| {
        let mut messages = client.ask(&sql(id, ms));
        messages.retain(|message| message.0 == b'E');
        if messages.is_empty() {
            String::new()
        } else {
            error_fields(&messages)[0].clone()
        }
    };
    let (open_in_first, waiting_in_first, recent_in_first) = (1, 7, 2);
    let (open_in_second, waiting_in_second) = (3, 8);
    let mut first = start_healthy(&listener, &folder, &engines);
    let (mut waiting, mut client_of_first) = (RawClient::connect(to), RawClient::connect(to));
    waiting.send(&[query(&sql(open_in_first, 9)), query(&sql(waiting_in_first, 9))].concat());
    assert_eq!(code(&mut client_of_first, recent_in_first, 1), "");
    assert_eq!(message_types(&client_of_first.ask(&load(4, 7))).matches('C').count(), 1);
    engine.wait_for("do", 3);

    let second = start_healthy(&listener, &folder, &engines);
    wait_until_accepting_alone(&second, to, &client_of_first);
    let mut client_of_second = RawClient::connect(to);
    assert_eq!(code(&mut client_of_second, open_in_first, 1), "42710");
    assert_eq!(code(&mut client_of_second, open_in_first, 9), "42710", "open, the same statement");
    assert_eq!(code(&mut client_of_second, waiting_in_first, 1), "42710");
    assert_eq!(code(&mut client_of_second, recent_in_first, 2), "42710");
    assert_eq!(code(&mut client_of_second, recent_in_first, 1), "", "the client's retry");
    // A key belongs to the client's retries, whichever process gets them: the engines know it.
    assert_eq!(message_types(&client_of_second.ask(&load(5, 7))).matches('C').count(), 1);

    let mut busy_in_second = RawClient::connect(to);
    busy_in_second.send(&[query(&sql(open_in_second, 9)), query(&sql(waiting_in_second, 9))].concat());
    engine.wait_for("do", 6);
    thread::sleep(EXCHANGE_TIME);
    assert_eq!(code(&mut client_of_first, open_in_second, 1), "42710");
    assert_eq!(code(&mut client_of_first, waiting_in_second, 1), "42710");

    drop(waiting);
    first.terminate();
    assert_eq!(first.wait_for_exit(), Some(0));
    let third = start_healthy(&listener, &folder, &engines);
    wait_until_accepting_alone(&third, to, &client_of_second);
    let mut client_of_third = RawClient::connect(to);
    for id in [open_in_first, waiting_in_first, recent_in_first, open_in_second, waiting_in_second] {
        assert_eq!(code(&mut client_of_third, id, 4), "42710", "request {id}");
    }
    assert_eq!(code(&mut client_of_third, 6, 1), "");
}

/// Time in which an id becomes known to the other process: two intervals of 20 ms, and a margin for a busy machine.
const EXCHANGE_TIME: Duration = Duration::from_millis(500);

/// Guards against a process that follows a feed which has ended, because the other one got the SIGHUP that
/// moved it.
#[test]
fn feed_that_one_process_is_told_of_is_followed_by_both() {
    let engine = Engine::echo();
    let engines = [("s-1", engine.address)];
    let feeds = [Feed::start(), Feed::start(), Feed::start()];
    for feed in &feeds {
        feed.send(list_event(1, true, &[("s-1", engine.address, "ready")]));
    }
    let (listener, _) = shared_listener();
    let folder = scratch_dir();
    let start = || {
        let folder = folder.to_str().expect("a name in UTF-8");
        let vars = [("EDGE_OPERATOR", "127.0.0.1:0"), ("EDGE_FD", "5"), ("TMPDIR", folder)];
        let limits = (192, 1024);
        Program::launch_in(&vars, Some(&listener), &engines, Some(&feeds[0]), None, limits, SETTINGS, &[])
    };
    let first = start();
    wait_until(|| is_healthy(&first).then_some(()));
    let second = start();
    wait_until(|| is_healthy(&second).then_some(()));
    for (told, feed) in [(&second, &feeds[1]), (&first, &feeds[2])] {
        told.reload(&told.config_with_feed(feed.address));
        wait_until(|| (feed.open_calls() == 2).then_some(()));
    }
}
