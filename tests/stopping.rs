//! Stops by SIGTERM. The platform continues to open connections for 0.2 to 0.4 s after the signal, and to
//! send requests on open connections for another 0.2 s. Each of these requests is answered, and sessions end
//! after their last answer.
mod support;

use std::io::Write;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use support::timed_engine::TimedEngine;
use support::*;

/// Time after SIGTERM until which the platform may open a connection.
const LAST_CONNECTION: Duration = Duration::from_millis(400);
/// Time after SIGTERM until which the platform may send a request on an open connection.
const LAST_REQUEST: Duration = Duration::from_millis(600);
/// Margin before [`LAST_CONNECTION`] and [`LAST_REQUEST`] in which a test sends nothing, so that a delayed
/// test does not send too late.
const SAFETY_MARGIN: Duration = Duration::from_millis(10);

fn sql(req: u64, ms: u64) -> String {
    format!("/* kind=lane-rate,req={req:016x},timeout=20000,owner=sud,ms={ms} */ SELECT a FROM sales_17.orders WHERE ms = {ms}")
}

fn signal(program: &Program, name: &str) {
    let id = program.id().to_string();
    assert!(Command::new("kill").args([name, &id]).status().expect("kill").success());
}

/// Clients continue after SIGTERM as the platform does: eight on connections that were open before, and eight
/// on new connections, each with its first request directly after the start-up packet. Requests take 200 ms,
/// so that the last ones are in flight when the program stops listening.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step after step")]
fn input_arriving_after_a_stop_is_answered() {
    let engine = TimedEngine::start();
    let mut program = Program::start(&[("s-1", engine.address)], None, None);
    let next_id = AtomicU64::new(1);
    let mut open: Vec<RawClient> = (0..8).map(|_| RawClient::connect(program.platform)).collect();
    assert!(open
        .iter_mut()
        .all(|client| rows(&client.ask(&sql(next_id.fetch_add(1, Ordering::SeqCst), 1))).len() == 1));
    let terminated_at = Instant::now();
    program.terminate();
    let (platform, next_id) = (program.platform, &next_id);
    let answered: Vec<(usize, Duration)> = thread::scope(|scope| {
        let on_open = open.into_iter().zip(0u64..).map(|(mut client, k)| {
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(24 * k));
                let (mut count, mut last) = (0, Duration::ZERO);
                while terminated_at.elapsed() + SAFETY_MARGIN < LAST_REQUEST {
                    let id = next_id.fetch_add(1, Ordering::SeqCst);
                    client.send(&query(&sql(id, 200)));
                    last = terminated_at.elapsed();
                    assert_eq!(
                        rows(&client.until_ready()).len(),
                        1,
                        "request {id}, sent {last:?} after the signal"
                    );
                    count += 1;
                }
                (count, last)
            })
        });
        let on_new = (0..8).map(|k| {
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(48 * k));
                if terminated_at.elapsed() + SAFETY_MARGIN >= LAST_CONNECTION {
                    return (0, Duration::ZERO);
                }
                let id = next_id.fetch_add(1, Ordering::SeqCst);
                let mut client = RawClient::open(platform);
                client.send(&[startup(), query(&sql(id, 200))].concat());
                let last = terminated_at.elapsed();
                client.until_ready();
                assert_eq!(
                    rows(&client.until_ready()).len(),
                    1,
                    "connection opened {last:?} after the signal"
                );
                (1, last)
            })
        });
        let threads: Vec<_> = on_open.chain(on_new).collect();
        threads.into_iter().map(|t| t.join().expect("answered")).collect()
    });
    assert_eq!(program.wait_for_exit(), Some(0));
    let last = answered.iter().map(|a| a.1).max().unwrap_or_default();
    eprintln!(
        "{} answered, the last sent {last:?} after the signal",
        answered.iter().map(|a| a.0).sum::<usize>()
    );
    assert!(program.lines().iter().any(|l| l.ends_with(" stopped open_requests=0")), "{:?}", program.lines());
}

/// The process is suspended from before the last requests arrive until after it would have stopped listening.
/// Input that its connections received meanwhile was accepted by the kernel and must be answered.
#[test]
fn input_received_while_the_process_was_suspended_is_answered() {
    let engine = TimedEngine::start();
    let mut program = Program::start(&[("s-1", engine.address)], None, None);
    let mut open: Vec<RawClient> = (0..16).map(|_| RawClient::connect(program.platform)).collect();
    let terminated_at = Instant::now();
    program.terminate();
    program.wait_line("stopping open_requests=");
    thread::sleep(Duration::from_millis(200));
    signal(&program, "-STOP");
    let mut new: Vec<RawClient> = (0..4).map(|_| RawClient::open(program.platform)).collect();
    for (i, client) in new.iter_mut().enumerate() {
        client.send(&[startup(), query(&sql(1_000 + i as u64, 1))].concat());
    }
    for (i, client) in open.iter_mut().enumerate() {
        client.send(&query(&sql(1 + i as u64, 1)));
    }
    let sent_after = terminated_at.elapsed();
    thread::sleep(Duration::from_millis(1_000));
    signal(&program, "-CONT");
    // If the requests were sent too late on a slow machine, their answers are not checked.
    if sent_after + SAFETY_MARGIN < LAST_CONNECTION {
        let answered: Vec<usize> = open.iter_mut().map(|client| count_rows(client, 1)).collect();
        assert_eq!(answered, vec![1; 16], "on connections that were open");
        let answered: Vec<usize> = new.iter_mut().map(|client| count_rows(client, 2)).collect();
        assert_eq!(answered, vec![1; 4], "on new connections");
    } else {
        eprintln!("nothing checked: sent {sent_after:?} after the signal");
    }
    assert_eq!(program.wait_for_exit(), Some(0));
}

/// Number of rows read up to the `ready_count`th ReadyForQuery, or to the end of the connection.
fn count_rows(client: &mut RawClient, mut ready_count: usize) -> usize {
    let mut messages = Vec::new();
    while ready_count > 0 {
        let Some(message) = client.message() else { break };
        ready_count -= usize::from(message.0 == b'Z');
        messages.push(message);
    }
    rows(&messages).len()
}

/// Sends SIGTERM to a program while a request with a service time of 1.5 s is in flight. Returns the engine,
/// the program and the request's client.
fn stopped_with_one_in_flight() -> (TimedEngine, Program, RawClient) {
    let engine = TimedEngine::start();
    let program = Program::start(&[("s-1", engine.address)], None, None);
    let mut client = RawClient::connect(program.platform);
    client.send(&query(&sql(1, 1_500)));
    wait_until(|| (engine.queries_in_flight() == 1).then_some(()));
    program.terminate();
    (engine, program, client)
}

/// A session whose request is in flight when the program stops listening gets its complete answer, then the
/// connection is closed. The platform handles a request that the client sends while the connection is being
/// closed.
#[test]
fn session_ends_after_its_last_answer() {
    let (engine, mut program, mut client) = stopped_with_one_in_flight();
    assert_eq!(rows(&client.until_ready()).len(), 1);
    // An error means that the connection was closed before the write.
    let _ = client.stream.write_all(&query(&sql(2, 1)));
    assert!(client.message().is_none(), "nothing follows the last answer");
    assert_eq!(program.wait_for_exit(), Some(0));
    assert_eq!(engine.served(), 1);
}

/// A request whose deadline is after the time at which the platform kills the process is ended before that
/// time with an error that tells whether a retry is safe, and the program exits by itself.
#[test]
fn unfinishable_request_gets_an_error_before_the_kill() {
    let engine = Engine::start(|_| Reply::Hold);
    let mut program = Program::start(&[("s-1", engine.address)], None, None);
    let mut client = RawClient::connect(program.platform);
    client.send(&query(&sql(1, 1).replace("timeout=20000", "timeout=60000")));
    engine.wait_for("do", 1);
    let terminated_at = Instant::now();
    program.terminate();
    let answer = client.until_ready();
    assert_eq!(error_fields(&answer)[0], "40003", "it may have run");
    let after = terminated_at.elapsed();
    assert_eq!(program.wait_for_exit(), Some(0));
    // The error is not sent while other requests may still be answered.
    assert!(after > Duration::from_secs(3), "{after:?}");
    engine.wait_for("undo", 1);
}

/// A request arrives during the stop, and its deadline is after the process's end: its engine gets only the
/// time that remains, and its client gets an error before the platform kills the process.
#[test]
fn request_during_a_stop_gets_the_remaining_time() {
    let engine = Engine::start(|_| Reply::Hold);
    let mut program = Program::start(&[("s-1", engine.address)], None, None);
    let mut client = RawClient::connect(program.platform);
    program.terminate();
    program.wait_line("stopping open_requests=");
    client.send(&query(&sql(1, 1)));
    let commands = engine.wait_for("do", 1);
    let wait: u64 = commands[0].field("wait").and_then(|w| w.parse().ok()).expect("a number");
    assert!(wait <= 3_450, "its engine gets a deadline of {wait} ms");
    let answer = client.until_ready();
    assert!(
        ["40003", "53000", "53400", "57014"].contains(&error_fields(&answer)[0].as_str()),
        "{:?}",
        error_fields(&answer)
    );
    assert_eq!(program.wait_for_exit(), Some(0));
}

/// Signals to stop or reload have no effect while the process stops.
#[test]
fn signals_during_a_stop_have_no_effect() {
    let engine = Engine::start(|_| Reply::Hold);
    let feed = Feed::start();
    let mut program = Program::start(&[("s-1", engine.address)], Some(&feed), None);
    let mut client = RawClient::connect(program.platform);
    client.send(&query(&sql(1, 1)));
    engine.wait_for("do", 1);
    program.terminate();
    program.wait_line("stopping open_requests=");
    for name in ["-TERM", "-HUP", "-INT", "-TERM"] {
        signal(&program, name);
    }
    let answer = client.until_ready();
    assert_eq!(error_fields(&answer)[0], "40003", "it may have run");
    assert_eq!(program.wait_for_exit(), Some(0));
    assert_eq!(program.lines().iter().filter(|l| l.ends_with(" stopping open_requests=1")).count(), 1);
}

/// A client has not read its last answer and continues to write. If its connection were closed with unread
/// input, it would be reset and the answer lost.
#[test]
fn last_answer_is_delivered_to_a_client_that_still_writes() {
    let (engine, mut program, mut client) = stopped_with_one_in_flight();
    // Waits until the complete answer has arrived, without reading it.
    let mut peeked = [0; 4096];
    wait_until(|| {
        let n = client.stream.peek(&mut peeked).expect("peeked");
        peeked[..n].windows(6).any(|w| w == b"Z\0\0\0\x05I").then_some(())
    });
    let (mut last_write, mut longest_gap) = (Instant::now(), Duration::ZERO);
    for n in 0..40 {
        let written = client.stream.write_all(&query(&sql(2 + n, 1)));
        assert!(written.is_ok(), "write {n} failed by a reset: {written:?}");
        thread::sleep(Duration::from_millis(10));
        longest_gap = longest_gap.max(last_write.elapsed());
        last_write = Instant::now();
    }
    if longest_gap < Duration::from_millis(250) {
        assert_eq!(rows(&client.until_ready()).len(), 1);
        assert!(client.message().is_none(), "nothing follows the last answer");
    } else {
        eprintln!("nothing checked: {longest_gap:?} between two writes");
    }
    drop(client);
    assert_eq!(program.wait_for_exit(), Some(0));
    assert_eq!(engine.served(), 1);
}
