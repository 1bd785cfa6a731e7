//! Faults that two rare events cause together, each as the smallest run that shows it.

mod support;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use support::*;

/// An attempt waits for its connection to come up, or behind a slow peer. The engine must be told what the client has left
/// as the attempt leaves, not as it was chosen.
#[test]
fn deadline_told_to_an_engine_is_what_is_left_when_its_connection_comes_up() {
    let late = DelayedListener::listen();
    let program = Program::start(&[("s-1", late.address)], None, None);
    let mut client = RawClient::connect(program.platform);
    let sent = Instant::now();
    client
        .send(&query("/* kind=lane-rate,req=00000000000000f1,timeout=6000,owner=sud */ SELECT 1 FROM a_1.b"));
    std::thread::sleep(Duration::from_millis(1_500));
    let engine = late.open(|command| Reply::Pages(vec![format!("{}\tb\tc\n", command.parts[3])]));
    let command = engine.wait_for("do", 1).remove(0);
    let told = Duration::from_millis(command.field("wait").expect("a deadline").parse().expect("a number"));
    let left = Duration::from_millis(6_000).saturating_sub(command.received_at - sent);
    assert!(told <= left + Duration::from_millis(150), "told {told:?} of {left:?}");
    assert_eq!(message_types(&client.until_ready()), "TDCZ");
}

/// A request that stands behind another one counts from its own last byte, whatever its client writes after it.
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
    // The first one may be sent twice, for it takes long.
    let is_second = |command: &ReceivedCommand| command.parts[1] == "00000000000000a2";
    let second = wait_until(|| engine.received("do").into_iter().find(is_second));
    let told = Duration::from_millis(second.field("wait").expect("a deadline").parse().expect("a number"));
    let left = Duration::from_millis(4_000).saturating_sub(second.received_at - second_sent);
    assert!(told <= left + Duration::from_millis(150), "told {told:?} of {left:?}");
    (0..3).for_each(|_| assert_eq!(message_types(&client.until_ready()), "TDCZ"));
}

/// A program whose output goes elsewhere than to the test: its process and where it listens.
fn with_output(stdout: Stdio, stderr: Stdio, more: &[&str]) -> (Child, SocketAddr) {
    let engine = Engine::echo();
    let dir = scratch_dir();
    let port = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address");
    let known = list(1, true, &[("s-1", engine.address, "ready")]);
    let config = format!(
        r#"{{"name":"n0","listen":"{port}","seed":"00000000000000aa","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
         "known":{{"n":1,"events":[{known}]}},"settings":{SETTINGS}}}"#
    );
    std::fs::write(dir.join("config.json"), config).expect("written");
    let mut command = Command::new(program_path());
    command
        .arg("serve")
        .arg("--config")
        .arg(dir.join("config.json"))
        .args(more)
        .stdout(stdout)
        .stderr(stderr);
    let mut child = command.spawn().expect("started");
    wait_until(|| {
        let ended = child.try_wait().expect("waited");
        assert!(ended.is_none(), "it ended: {ended:?}");
        TcpStream::connect(port).ok()
    });
    (child, port)
}

/// Ends a process by its id.
fn end(mut child: Child) {
    child.kill().expect("killed");
    child.wait().expect("waited");
}

/// The disk of the log is full, or its reader has gone: that must not end a process that serves.
#[test]
fn log_that_cannot_be_written_does_not_end_the_process() {
    let full = || Stdio::from(std::fs::OpenOptions::new().write(true).open("/dev/full").expect("/dev/full"));
    let (mut child, port) = with_output(full(), full(), &[]);
    let mut client = RawClient::connect(port);
    let sql = "/* kind=lane-rate,req=00000000000000e1,timeout=6000,owner=sud */ SELECT 1 FROM a_1.b";
    assert_eq!(message_types(&client.ask(sql)), "TDCZ");
    assert!(child.try_wait().expect("waited").is_none(), "it ended");
    end(child);
}

/// The reader of the log is stuck, and the pipe to it full: requests are answered all the same.
#[test]
fn log_whose_reader_is_stuck_holds_up_no_request() {
    // The test holds the reading end, and reads nothing.
    let (child, port) = with_output(Stdio::piped(), Stdio::null(), &["--log-level", "debug"]);
    for id in 1..=1_000 {
        let mut client = RawClient::connect(port);
        client.stream.set_read_timeout(Some(Duration::from_secs(5))).expect("set");
        client.send(&query(&format!(
            "/* kind=lane-rate,req={id:016x},timeout=4000,owner=sud,ms=1.0 */ SELECT 1 FROM a_1.b"
        )));
        let first = client.message();
        assert!(first.is_some(), "request {id} has no answer");
    }
    end(child);
}

/// The program with the library that fails system calls, told to fail these.
fn with_failing_calls(engines: &[(&str, SocketAddr)], faults: &str) -> Program {
    let library = sprucelink_fault_soak::shim::build(&scratch_dir()).expect("compiled");
    let library = library.to_str().expect("a name in UTF-8");
    let vars = [("LD_PRELOAD", library), ("SYSCALL_FAULTS", faults)];
    Program::launch_in(&vars, None, engines, None, None, (192, 1024), SETTINGS, &[])
}

/// A signal may interrupt any read or write before a byte was moved: it is repeated, on connections to clients and engines.
#[test]
fn interrupted_reads_and_writes_lose_no_request() {
    let engine = Engine::echo();
    let program = with_failing_calls(&[("s-1", engine.address)], "seed=1,eintr=100");
    for id in 1..=200 {
        let mut client = RawClient::connect(program.platform);
        let answer = client.ask(&format!(
            "/* kind=lane-rate,req={id:016x},timeout=6000,owner=sud */ SELECT {id} FROM a_1.b"
        ));
        assert_eq!(message_types(&answer), "TDCZ", "request {id}");
    }
}

/// A read or write may move fewer bytes than it could: what is left is there at once, and nothing wakes who waits for it.
#[test]
fn short_reads_and_writes_hold_up_no_request() {
    let row = format!("{}\tb\tc\n", "x".repeat(5_900));
    let pages = vec![row; 7];
    let engine = Engine::start(move |_| Reply::Pages(pages.clone()));
    let program = with_failing_calls(&[("s-1", engine.address)], "seed=1,short=500");
    let begun = Instant::now();
    for id in 1..=50 {
        let mut client = RawClient::connect(program.platform);
        client.stream.set_read_timeout(Some(Duration::from_secs(10))).expect("set");
        let answer = client.ask(&format!(
            "/* kind=lane-rate,req={id:016x},timeout=9000,owner=sud */ SELECT {id} FROM a_1.b"
        ));
        assert_eq!(message_types(&answer), "TDDDDDDDCZ", "request {id}");
    }
    assert!(begun.elapsed() < Duration::from_secs(20), "{:?}", begun.elapsed());
}

/// An accept may fail for the new connection's own sake, or for a moment: no client that is there is evicted for it.
#[test]
fn failing_accepts_evict_no_client_that_is_writing_its_request() {
    let engine = Engine::echo();
    let program = with_failing_calls(&[("s-1", engine.address)], "seed=1,accept=100");
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

/// A local failure to make a connection passes, and says nothing of the engine: the dial is repeated within its time.
#[test]
fn dials_that_fail_locally_are_repeated_and_blame_no_engine() {
    let engine = Engine::start(|command| Reply::Pages(vec![format!("{}\tb\tc\n", command.parts[3])]));
    let program = with_failing_calls(&[("s-1", engine.address)], "seed=3,connect=500,socket=300,eintr=100");
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
    let blamed: Vec<String> =
        program.lines().into_iter().filter(|line| line.contains("no connection")).collect();
    assert!(blamed.is_empty(), "{blamed:?}");
}

/// The milliseconds of the machine's monotonic clock, so many from now.
fn from_now(millis: i64) -> i64 {
    sprucelink_fault_soak::clock::monotonic_ms() + millis
}

/// For a moment there is no descriptor for the listener: the process starts all the same.
#[test]
fn start_waits_for_a_moment_in_which_no_socket_can_be_made() {
    let engine = Engine::echo();
    let faults = format!("seed=1,socket=1000,to={}", from_now(1_000));
    let program = with_failing_calls(&[("s-1", engine.address)], &faults);
    let mut client = RawClient::connect(program.platform);
    let answer =
        client.ask("/* kind=lane-rate,req=00000000000000d1,timeout=6000,owner=sud */ SELECT 1 FROM a_1.b");
    assert_eq!(message_types(&answer), "TDCZ");
}

/// SIGHUP comes in a moment in which the configuration cannot be opened. There is no second signal, and the old feed closes.
#[test]
fn reload_is_tried_again_when_the_configuration_cannot_be_read() {
    let engine = Engine::echo();
    let (old, new) = (Feed::start(), Feed::start());
    let library = sprucelink_fault_soak::shim::build(&scratch_dir()).expect("compiled");
    let faults = format!("seed=1,config=1000,from={},to={}", from_now(1_500), from_now(3_000));
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

/// An idle session ends with the process, and its client's next request crosses the end. It must not be read: what is read is
/// owed an answer, and what was not is sent again elsewhere.
#[test]
fn request_that_crosses_the_end_of_an_idle_session_is_not_read() {
    let engine = Engine::echo();
    let program = Program::start(&[("s-1", engine.address)], None, None);
    let ask =
        |id: u64| format!("/* kind=lane-rate,req={id:016x},timeout=6000,owner=sud */ SELECT {id} FROM a_1.b");
    let mut client = RawClient::connect(program.platform);
    assert_eq!(message_types(&client.ask(&ask(1))), "TDCZ");
    program.terminate();
    assert_eq!(client.message(), None, "the end");
    // The first write may still find the connection open; its reset comes right behind.
    let crossed = std::io::Write::write_all(&mut client.stream, &query(&ask(2)));
    std::thread::sleep(Duration::from_millis(50));
    let behind = std::io::Write::write_all(&mut client.stream, &query(&ask(3)));
    assert!(crossed.is_err() || behind.is_err(), "the process goes on reading");
}
