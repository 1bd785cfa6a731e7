//! Failures that need two rare events at once, each reproduced by a minimal run.

mod support;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use support::*;

/// An attempt may wait for its connection to be established, or for an engine that reads slowly. The engine
/// must get the time that the client has left when the attempt is sent, not when the engine was chosen.
#[test]
fn deadline_sent_to_an_engine_is_the_time_left_when_its_connection_is_established() {
    let listener = DelayedListener::listen();
    let program = Program::start(&[("s-1", listener.address)], None, None);
    let mut client = RawClient::connect(program.platform);
    let sent = Instant::now();
    client
        .send(&query("/* kind=lane-rate,req=00000000000000f1,timeout=6000,owner=sud */ SELECT 1 FROM a_1.b"));
    std::thread::sleep(Duration::from_millis(1_500));
    let engine = listener.open(|command| Reply::Pages(vec![format!("{}\tb\tc\n", command.parts[3])]));
    let command = engine.wait_for("do", 1).remove(0);
    let sent_deadline =
        Duration::from_millis(command.field("wait").expect("a deadline").parse().expect("a number"));
    let left = Duration::from_millis(6_000).saturating_sub(command.received_at - sent);
    assert!(
        sent_deadline <= left + Duration::from_millis(150),
        "deadline of {sent_deadline:?} with {left:?} left"
    );
    assert_eq!(message_types(&client.until_ready()), "TDCZ");
}

/// The deadline of a request that is queued behind another counts from its own last byte, whatever its client
/// writes after it.
#[test]
fn deadline_of_a_pipelined_request_counts_from_its_own_last_byte() {
    let engine = Engine::start(|command| match command.parts[1].as_str() {
        "00000000000000a1" => {
            std::thread::sleep(Duration::from_millis(1_600));
            Reply::Pages(vec!["a\tb\tc\n".into()])
        }
        _ => Reply::Pages(vec!["a\tb\tc\n".into()]),
    });
    let program = Program::start(&[("s-1", engine.address)], None, None);
    let mut client = RawClient::connect(program.platform);
    let ask = |id: &str| {
        query(&format!("/* kind=lane-rate,req={id},timeout=4000,owner=sud,ms=10.0 */ SELECT 1 FROM a_1.b"))
    };
    client.send(&ask("00000000000000a1"));
    engine.wait_for("do", 1);
    client.send(&ask("00000000000000a2"));
    let second_sent = Instant::now();
    std::thread::sleep(Duration::from_millis(800));
    client.send(&ask("00000000000000a3"));
    // The first request takes long and may be retried, so the second one is found by its id.
    let is_second = |command: &ReceivedCommand| command.parts[1] == "00000000000000a2";
    let second = wait_until(|| engine.received("do").into_iter().find(is_second));
    let sent_deadline =
        Duration::from_millis(second.field("wait").expect("a deadline").parse().expect("a number"));
    let left = Duration::from_millis(4_000).saturating_sub(second.received_at - second_sent);
    assert!(
        sent_deadline <= left + Duration::from_millis(150),
        "deadline of {sent_deadline:?} with {left:?} left"
    );
    (0..3).for_each(|_| assert_eq!(message_types(&client.until_ready()), "TDCZ"));
}

/// Starts a program whose output does not go to the test; returns its process and its address.
fn start_with_output(stdout: Stdio, stderr: Stdio, extra_args: &[&str]) -> (Child, SocketAddr) {
    let engine = Engine::echo();
    let dir = scratch_dir();
    let address = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address");
    let known = list_event(1, true, &[("s-1", engine.address, "ready")]);
    let config = format!(
        r#"{{"name":"n0","listen":"{address}","seed":"00000000000000aa","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
         "known":{{"n":1,"events":[{known}]}},"settings":{SETTINGS}}}"#
    );
    std::fs::write(dir.join("config.json"), config).expect("written");
    let mut command = Command::new(program_path());
    command
        .arg("serve")
        .arg("--config")
        .arg(dir.join("config.json"))
        .args(extra_args)
        .stdout(stdout)
        .stderr(stderr);
    let mut child = command.spawn().expect("started");
    wait_until(|| {
        let ended = child.try_wait().expect("waited");
        assert!(ended.is_none(), "the program ended: {ended:?}");
        TcpStream::connect(address).ok()
    });
    (child, address)
}

fn kill(mut child: Child) {
    child.kill().expect("killed");
    child.wait().expect("waited");
}

/// A full log disk, or a log reader that has ended, must not end a serving process.
#[test]
fn log_that_cannot_be_written_does_not_end_the_process() {
    let full = || Stdio::from(std::fs::OpenOptions::new().write(true).open("/dev/full").expect("/dev/full"));
    let (mut child, address) = start_with_output(full(), full(), &[]);
    let mut client = RawClient::connect(address);
    let sql = "/* kind=lane-rate,req=00000000000000e1,timeout=6000,owner=sud */ SELECT 1 FROM a_1.b";
    assert_eq!(message_types(&client.ask(sql)), "TDCZ");
    assert!(child.try_wait().expect("waited").is_none(), "the program ended");
    kill(child);
}

/// Requests are answered even while the log's reader does not read and the pipe to the reader is full.
#[test]
fn log_whose_reader_is_blocked_delays_no_request() {
    // The test keeps the read end open and reads nothing.
    let (child, address) = start_with_output(Stdio::piped(), Stdio::null(), &["--log-level", "debug"]);
    for id in 1..=1_000 {
        let mut client = RawClient::connect(address);
        client.stream.set_read_timeout(Some(Duration::from_secs(5))).expect("set");
        client.send(&query(&format!(
            "/* kind=lane-rate,req={id:016x},timeout=4000,owner=sud,ms=1.0 */ SELECT 1 FROM a_1.b"
        )));
        let first = client.message();
        assert!(first.is_some(), "request {id} has no answer");
    }
    kill(child);
}

/// Starts the program with the library that makes system calls fail, configured by `faults`.
fn start_with_syscall_faults(engines: &[(&str, SocketAddr)], faults: &str) -> Program {
    let library = sprucelink_fault_soak::shim::build(&scratch_dir()).expect("compiled");
    let library = library.to_str().expect("a name in UTF-8");
    let vars = [("LD_PRELOAD", library), ("SYSCALL_FAULTS", faults)];
    Program::launch_in(&vars, None, engines, None, None, (192, 1024), SETTINGS, &[])
}

/// A signal may interrupt any read or write before a byte was transferred: the call is repeated, on
/// connections to clients and to engines.
#[test]
fn interrupted_reads_and_writes_lose_no_request() {
    let engine = Engine::echo();
    let program = start_with_syscall_faults(&[("s-1", engine.address)], "seed=1,eintr=100");
    for id in 1..=200 {
        let mut client = RawClient::connect(program.platform);
        let answer = client.ask(&format!(
            "/* kind=lane-rate,req={id:016x},timeout=6000,owner=sud */ SELECT {id} FROM a_1.b"
        ));
        assert_eq!(message_types(&answer), "TDCZ", "request {id}");
    }
}

/// A read or write may transfer fewer bytes than possible. The rest can be transferred at once, but no
/// further readiness event announces it: a task that waited for one would never wake.
#[test]
fn short_reads_and_writes_delay_no_request() {
    let row = format!("{}\tb\tc\n", "x".repeat(5_900));
    let pages = vec![row; 7];
    let engine = Engine::start(move |_| Reply::Pages(pages.clone()));
    let program = start_with_syscall_faults(&[("s-1", engine.address)], "seed=1,short=500");
    let started_at = Instant::now();
    for id in 1..=50 {
        let mut client = RawClient::connect(program.platform);
        client.stream.set_read_timeout(Some(Duration::from_secs(10))).expect("set");
        let answer = client.ask(&format!(
            "/* kind=lane-rate,req={id:016x},timeout=9000,owner=sud */ SELECT {id} FROM a_1.b"
        ));
        assert_eq!(message_types(&answer), "TDDDDDDDCZ", "request {id}");
    }
    assert!(started_at.elapsed() < Duration::from_secs(20), "{:?}", started_at.elapsed());
}

/// An accept may fail because of the new connection itself, or temporarily: no existing client is evicted
/// because of the failure.
#[test]
fn failing_accepts_evict_no_client_that_is_writing_its_request() {
    let engine = Engine::echo();
    let program = start_with_syscall_faults(&[("s-1", engine.address)], "seed=1,accept=100");
    let sql = "/* kind=lane-rate,req=00000000000000c1,timeout=6000,owner=sud */ SELECT 1 FROM a_1.b";
    let message = query(sql);
    let mut client = RawClient::connect(program.platform);
    let (first, second) = message.split_at(message.len() / 2);
    client.send(first);
    let others: Vec<RawClient> = (0..100).map(|_| RawClient::connect(program.platform)).collect();
    client.send(second);
    assert_eq!(message_types(&client.until_ready()), "TDCZ");
    drop(others);
}

/// A local failure to connect is temporary and says nothing about the engine: the dial is repeated until its
/// timeout.
#[test]
fn dials_that_fail_locally_are_repeated_and_not_counted_against_the_engine() {
    let engine = Engine::start(|command| Reply::Pages(vec![format!("{}\tb\tc\n", command.parts[3])]));
    let program =
        start_with_syscall_faults(&[("s-1", engine.address)], "seed=3,connect=500,socket=300,eintr=100");
    for id in 1..=20 {
        let mut client = RawClient::connect(program.platform);
        let answer = client.ask(&format!(
            "/* kind=lane-rate,req={id:016x},timeout=6000,owner=sud */ SELECT {id} FROM a_1.b"
        ));
        assert_eq!(message_types(&answer), "TDCZ", "request {id}: {:?}", error_fields(&answer));
        if id == 1 {
            assert_eq!(engine.received("do").len(), 1);
        }
    }
    let reported: Vec<String> =
        program.lines().into_iter().filter(|line| line.contains("no connection")).collect();
    assert!(reported.is_empty(), "{reported:?}");
}

/// Time on the monotonic clock `millis` milliseconds from now, in milliseconds.
fn monotonic_ms_in(millis: i64) -> i64 {
    sprucelink_fault_soak::clock::monotonic_ms() + millis
}

/// If no socket can be created for a time, for example for lack of descriptors, the start waits and succeeds.
#[test]
fn start_waits_until_sockets_can_be_created() {
    let engine = Engine::echo();
    let faults = format!("seed=1,socket=1000,to={}", monotonic_ms_in(1_000));
    let program = start_with_syscall_faults(&[("s-1", engine.address)], &faults);
    let mut client = RawClient::connect(program.platform);
    let answer =
        client.ask("/* kind=lane-rate,req=00000000000000d1,timeout=6000,owner=sud */ SELECT 1 FROM a_1.b");
    assert_eq!(message_types(&answer), "TDCZ");
}

/// SIGHUP arrives while the configuration file cannot be opened: the program must retry, since no second
/// signal follows and the platform closes the old feed.
#[test]
fn reload_is_retried_when_the_configuration_cannot_be_read() {
    let engine = Engine::echo();
    let (old, new) = (Feed::start(), Feed::start());
    let library = sprucelink_fault_soak::shim::build(&scratch_dir()).expect("compiled");
    let faults = format!("seed=1,config=1000,from={},to={}", monotonic_ms_in(1_500), monotonic_ms_in(3_000));
    let vars = [("LD_PRELOAD", library.to_str().expect("a name in UTF-8")), ("SYSCALL_FAULTS", &faults)];
    let program = Program::launch_in(
        &vars,
        None,
        &[("s-1", engine.address)],
        Some(&old),
        None,
        (192, 1024),
        SETTINGS,
        &[],
    );
    std::thread::sleep(Duration::from_millis(1_700));
    program.reload(&program.config_with_feed(new.address));
    program.wait_line("configuration not reloaded");
    wait_until(|| (new.open_calls() > 0).then_some(()));
}

/// An idle session ends with the process while its client sends a request. That request must not be read: a
/// request that was read must be answered, and one that was not read is sent to another process.
#[test]
fn request_sent_while_its_idle_session_ends_is_not_read() {
    let engine = Engine::echo();
    let program = Program::start(&[("s-1", engine.address)], None, None);
    let ask =
        |id: u64| format!("/* kind=lane-rate,req={id:016x},timeout=6000,owner=sud */ SELECT {id} FROM a_1.b");
    let mut client = RawClient::connect(program.platform);
    assert_eq!(message_types(&client.ask(&ask(1))), "TDCZ");
    program.terminate();
    assert_eq!(client.message(), None, "the session ends");
    // The first write may still find the connection open; a reset follows it.
    let first_write = std::io::Write::write_all(&mut client.stream, &query(&ask(2)));
    std::thread::sleep(Duration::from_millis(50));
    let second_write = std::io::Write::write_all(&mut client.stream, &query(&ask(3)));
    assert!(first_write.is_err() || second_write.is_err(), "the process continues to read");
}
