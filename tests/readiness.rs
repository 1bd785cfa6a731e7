//! Readiness: a started process answers an empty query within 10 s, also with discovery down, a silent feed, engines that
//! never accept, and many starts at once. And a start that cannot be says why, plainly.
mod support;

use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::sync::Barrier;
use std::thread;
use std::time::{Duration, Instant};
use support::resource_limits::{DiscoveryMode, FeedProxy};
use support::*;

/// The operators' bound.
const READY: Duration = Duration::from_secs(10);

/// The options that the platform's `run` line has, and the same with the cold start.
const OPTIONS: [&[&str]; 2] = [
    &["--failover", "deploy/failover.json5"],
    &["--failover", "deploy/failover.json5", "--cold-start", "deploy/cold-start.json5"],
];

/// Starts the program: the time until its first empty query was answered, by the platform's sign of life.
fn start(config: &str, more: &[&str]) -> (Program, Duration) {
    let begin = Instant::now();
    let program = resource_limits::start(config, None, more);
    assert_eq!(message_types(&RawClient::connect(program.platform).ask("")), "IZ");
    (program, begin.elapsed())
}

fn is_ready(config: &str) {
    is_ready_and(config, || {});
}

/// As [`is_ready`]; `check_running` is called after each start, while the program still runs.
fn is_ready_and(config: &str, mut check_running: impl FnMut()) {
    for more in OPTIONS {
        let (mut program, after) = start(config, more);
        assert!(after < READY && program.running(), "{after:?} with {more:?}");
        eprintln!("ready after {after:?} with {more:?}");
        check_running();
    }
}

/// An address where nobody listens.
fn refusing() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address")
}

#[test]
fn start_is_ready_while_the_feed_refuses_connections() {
    let engine = Engine::echo();
    is_ready(&resource_limits::config(&[("s-1", engine.address)], Some(refusing()), 1024, SETTINGS));
}

/// With a feed that takes calls and does no more than this.
fn is_ready_behind(discovery: DiscoveryMode) {
    let engine = Engine::echo();
    let feed_proxy = FeedProxy::start(refusing(), discovery);
    let config =
        resource_limits::config(&[("s-1", engine.address)], Some(feed_proxy.address), 1024, SETTINGS);
    // A program that is ended as soon as it is ready may not have polled the feed yet: the poll is awaited before.
    let mut starts = 0;
    is_ready_and(&config, || {
        starts += 1;
        wait_until(|| (feed_proxy.calls() >= starts).then_some(()));
    });
}

#[test]
fn start_is_ready_while_the_feed_never_answers() {
    is_ready_behind(DiscoveryMode::Silent);
}

#[test]
fn start_is_ready_while_the_feed_sends_only_its_head() {
    is_ready_behind(DiscoveryMode::HeadOnly);
}

/// Connections to these engines wait in the network, and never come up.
#[test]
fn start_is_ready_while_engines_never_accept() {
    let late: Vec<DelayedListener> = (0..4).map(|_| DelayedListener::listen()).collect();
    let ids = ["s-1", "s-2", "s-3", "s-4"];
    let engines: Vec<_> = ids.iter().zip(&late).map(|(id, late)| (*id, late.address)).collect();
    let config = resource_limits::config(&engines, Some(refusing()), 1024, SETTINGS);
    for more in OPTIONS {
        let (program, after) = start(&config, more);
        assert!(after < READY, "{after:?} with {more:?}");
        // Requests that wait for those engines keep nobody's sign of life waiting.
        let mut waiting: Vec<RawClient> = (0..8).map(|_| RawClient::connect(program.platform)).collect();
        for (i, raw) in (1u64..).zip(&mut waiting) {
            raw.send(&query(&format!(
                "/* kind=lane-rate,req={i:016x},timeout=20000,owner=sud,ms=5 */ SELECT a FROM b"
            )));
        }
        let asked = Instant::now();
        assert_eq!(message_types(&RawClient::connect(program.platform).ask("")), "IZ");
        assert!(asked.elapsed() < READY, "{:?}", asked.elapsed());
    }
}

/// Thirty at once, with discovery down and an engine that never accepts: nine in ten within the bound.
#[test]
fn thirty_simultaneous_starts_are_ready() {
    let (engine, late) = (Engine::echo(), DelayedListener::listen());
    let engines = [("s-1", engine.address), ("s-2", late.address)];
    let config = resource_limits::config(&engines, Some(refusing()), 1024, SETTINGS);
    for more in OPTIONS {
        let all_here = Barrier::new(30);
        let begin = || {
            all_here.wait();
            start(&config, more)
        };
        let mut times: Vec<(Program, Duration)> = thread::scope(|scope| {
            let all: Vec<_> = (0..30).map(|_| scope.spawn(begin)).collect();
            all.into_iter().map(|t| t.join().expect("started")).collect()
        });
        times.sort_by_key(|t| t.1);
        assert!(times[26].1 < READY, "the 27th of 30 took {:?} with {more:?}", times[26].1);
        assert!(times.iter_mut().all(|t| t.0.running()));
        eprintln!("30 at once: the 27th ready after {:?}, the last after {:?}", times[26].1, times[29].1);
    }
}

/// Killed outright under its clients, and started again under the same address, over and over.
#[test]
fn restart_on_the_same_address_is_ready() {
    let engine = Engine::echo();
    let config = resource_limits::config(&[("s-1", engine.address)], Some(refusing()), 1024, SETTINGS);
    let (mut program, _) = start(&config, OPTIONS[0]);
    let listen = program.platform.to_string();
    for round in 1..=5 {
        let mut clients: Vec<RawClient> = (0..8).map(|_| RawClient::connect(program.platform)).collect();
        program.kill();
        assert!(clients.iter_mut().all(|raw| raw.message().is_none()), "killed");
        let more = [OPTIONS[round % 2], &["--listen", listen.as_str()]].concat();
        let after;
        (program, after) = start(&config, &more);
        assert!(after < READY, "{after:?} in round {round}");
        assert_eq!(program.platform.to_string(), listen);
    }
}

/// Runs the program to its end: the exit status and all that it said.
fn run(args: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sprucelink"));
    let out = command.args(args).env_remove("EDGE_CONFIG").env_remove("EDGE_OPERATOR").output().expect("run");
    (out.status.code(), String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned())
}

/// One plain line that holds this.
fn says(args: &[&str], status: i32, text: &str) {
    let (code, said) = run(args);
    assert_eq!(code, Some(status), "{args:?}: {said}");
    let lines: Vec<&str> = said.lines().filter(|l| l.starts_with("sprucelink: ")).collect();
    assert!(lines.len() == 1 && lines[0].contains(text) && !said.contains("panicked"), "{args:?}: {said}");
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step after step")]
fn unusable_file_is_reported_by_name_with_exit_status_2() {
    let dir = scratch_dir();
    let put = |name: &str, bytes: &[u8]| {
        let path = dir.join(name);
        std::fs::write(&path, bytes).expect("written");
        path.to_str().expect("text").to_owned()
    };
    let limited = |name: &str, limits: &str| {
        let text =
            format!(r#"{{"listen":"127.0.0.1:0","seed":"0a","limits":{limits},"settings":{SETTINGS}}}"#);
        put(name, text.as_bytes())
    };
    let folder = dir.to_str().expect("text").to_owned();
    let bytes = put("bytes.json", b"{\"listen\":\"\xff\xfe\"}");
    let empty = put("empty.json", b"");
    let half = put("half.json", br#"{"listen":"127.0.0.1:0","seed":"0a","settings":{"#);
    let none = limited("none.json", r#"{"sockets":0}"#);
    let few = limited("few.json", r#"{"sockets":29}"#);
    let memory = limited("memory.json", r#"{"memory_mb":0}"#);
    let below = limited("below.json", r#"{"sockets":-1}"#);
    let good = limited("good.json", r#"{"sockets":64}"#);
    let absent = limited("absent.json", "{}");
    let most = limited("most.json", r#"{"sockets":18446744073709551615,"memory_mb":18446744073709551615}"#);
    let many = put("many.json", br#"{"listen":"127.0.0.1:0","max_sessions":256}"#);
    let bad = put("bad.json5", b"{ enabled: maybe }");
    for command in ["check", "serve"] {
        for (file, text) in [
            (folder.as_str(), format!("{folder}: ")),
            ("/nonexistent.json", "/nonexistent.json: ".into()),
            (&bytes, "bytes.json: ".into()),
            (&empty, "empty.json: line 1, column 0: EOF".into()),
            (&half, "half.json: line 1, column 48: settings.?: EOF".into()),
            (&none, "none.json: limits.sockets: 0 descriptors are too few: 30 are needed at least".into()),
            (&few, "few.json: limits.sockets: 29 descriptors are too few: 30 are needed at least".into()),
            (&memory, "memory.json: limits.memory_mb: 0 MB are too few".into()),
            (&below, "below.json: line 1, column ".into()),
        ] {
            says(&[command, "--config", file], 2, &text);
        }
        for option in ["--operator", "--cold-start", "--failover", "--membership", "--recorder"] {
            says(&[command, "--config", &good, option, "/nonexistent.json5"], 2, "/nonexistent.json5: ");
            says(&[command, "--config", &good, option, &folder], 2, &format!("{folder}: "));
            says(&[command, "--config", &good, option, &bytes], 2, "bytes.json: ");
        }
        for option in ["--cold-start", "--failover", "--membership"] {
            says(&[command, "--config", &good, option, &bad], 2, "bad.json5: ");
        }
        says(
            &[command, "--config", &good, "--operator", &many],
            2,
            "many.json: operator's file: max_sessions: the second front needs 267 descriptors: limits.sockets is 64",
        );
    }
    for good in [&good, &absent, &most] {
        let (status, said) = run(&["check", "--config", good]);
        assert_eq!(status, Some(0), "{said}");
    }
    drop(std::fs::remove_dir_all(dir));
}

/// Each of the addresses that are listened on, held by another.
#[test]
fn an_address_in_use_is_said_plainly_and_ends_with_1() {
    let dir = scratch_dir();
    let held = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = held.local_addr().expect("an address").to_string();
    let put = |name: &str, text: String| {
        let path = dir.join(name);
        std::fs::write(&path, text).expect("written");
        path.to_str().expect("text").to_owned()
    };
    let config = |name: &str, listen: &str, more: &str| {
        put(name, format!(r#"{{"listen":"{listen}","seed":"0a",{more}"settings":{SETTINGS}}}"#))
    };
    let any = "127.0.0.1:0";
    let (good, here) = (config("good.json", any, ""), config("here.json", &at, ""));
    let operators = config("operators.json", any, &format!(r#""operator":"{at}","#));
    let second = put("second.json", format!(r#"{{"listen":"{at}"}}"#));
    let in_use = format!("listen on {at}: Address already in use");
    says(&["serve", "--config", &here], 1, &in_use);
    says(&["serve", "--config", &good, "--listen", &at], 1, &in_use);
    says(&["serve", "--config", &operators], 1, &format!("operators: {in_use}"));
    says(&["serve", "--config", &good, "--operator", &second], 1, &in_use);
    drop(std::fs::remove_dir_all(dir));
}
