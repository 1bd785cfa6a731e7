//! Readiness: a started process answers an empty query within 10 s, also with a feed that refuses connections
//! or is silent, with engines that never accept, and with many starts at once. A start that fails reports the
//! reason.
mod support;

use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::sync::Barrier;
use std::thread;
use std::time::{Duration, Instant};
use support::resource_limits::{FeedProxy, FeedProxyMode};
use support::*;

/// Time within which a started process must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Options with which the platform starts the program, without and with the cold start.
const OPTIONS: [&[&str]; 2] = [
    &["--failover", "deploy/failover.json5"],
    &["--failover", "deploy/failover.json5", "--cold-start", "deploy/cold-start.json5"],
];

/// Starts the program. Also returns the time until it answered an empty query, which is the platform's health
/// check.
fn start(config: &str, extra_args: &[&str]) -> (Program, Duration) {
    let started_at = Instant::now();
    let program = resource_limits::start(config, None, extra_args);
    assert_eq!(message_types(&RawClient::connect(program.platform).ask("")), "IZ");
    (program, started_at.elapsed())
}

fn check_ready(config: &str) {
    check_ready_and(config, || {});
}

/// As [`check_ready`]; `check_running` is called after each start, while the program still runs.
fn check_ready_and(config: &str, mut check_running: impl FnMut()) {
    for args in OPTIONS {
        let (mut program, after) = start(config, args);
        assert!(after < READY_TIMEOUT && program.is_running(), "{after:?} with {args:?}");
        eprintln!("ready after {after:?} with {args:?}");
        check_running();
    }
}

/// An address that refuses connections.
fn refusing_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address")
}

#[test]
fn start_is_ready_while_the_feed_refuses_connections() {
    let engine = Engine::echo();
    check_ready(&resource_limits::config(
        &[("s-1", engine.address)],
        Some(refusing_address()),
        1024,
        SETTINGS,
    ));
}

/// Checks that the program becomes ready with a feed in this mode, and that it calls the feed.
fn check_ready_with_feed(mode: FeedProxyMode) {
    let engine = Engine::echo();
    let feed_proxy = FeedProxy::start(refusing_address(), mode);
    let config =
        resource_limits::config(&[("s-1", engine.address)], Some(feed_proxy.address), 1024, SETTINGS);
    // Without this wait the program would be killed as soon as it is ready, possibly before its first call.
    let mut starts = 0;
    check_ready_and(&config, || {
        starts += 1;
        wait_until(|| (feed_proxy.calls() >= starts).then_some(()));
    });
}

#[test]
fn start_is_ready_while_the_feed_never_answers() {
    check_ready_with_feed(FeedProxyMode::Silent);
}

#[test]
fn start_is_ready_while_the_feed_sends_only_its_head() {
    check_ready_with_feed(FeedProxyMode::HeadOnly);
}

/// Connections to these engines are never established.
#[test]
fn start_is_ready_while_engines_never_accept() {
    let listeners: Vec<DelayedListener> = (0..4).map(|_| DelayedListener::listen()).collect();
    let ids = ["s-1", "s-2", "s-3", "s-4"];
    let engines: Vec<_> = ids.iter().zip(&listeners).map(|(id, listener)| (*id, listener.address)).collect();
    let config = resource_limits::config(&engines, Some(refusing_address()), 1024, SETTINGS);
    for args in OPTIONS {
        let (program, after) = start(&config, args);
        assert!(after < READY_TIMEOUT, "{after:?} with {args:?}");
        // Requests that wait for these engines do not delay a health check.
        let mut waiting: Vec<RawClient> = (0..8).map(|_| RawClient::connect(program.platform)).collect();
        for (i, client) in (1u64..).zip(&mut waiting) {
            client.send(&query(&format!(
                "/* kind=lane-rate,req={i:016x},timeout=20000,owner=sud,ms=5 */ SELECT a FROM b"
            )));
        }
        let sent_at = Instant::now();
        assert_eq!(message_types(&RawClient::connect(program.platform).ask("")), "IZ");
        assert!(sent_at.elapsed() < READY_TIMEOUT, "{:?}", sent_at.elapsed());
    }
}

/// Thirty processes start at once, with a feed that refuses connections and an engine that never accepts: at
/// least 27 are ready within [`READY_TIMEOUT`].
#[test]
fn thirty_simultaneous_starts_are_ready() {
    let (engine, listener) = (Engine::echo(), DelayedListener::listen());
    let engines = [("s-1", engine.address), ("s-2", listener.address)];
    let config = resource_limits::config(&engines, Some(refusing_address()), 1024, SETTINGS);
    for args in OPTIONS {
        let barrier = Barrier::new(30);
        let start_together = || {
            barrier.wait();
            start(&config, args)
        };
        let mut times: Vec<(Program, Duration)> = thread::scope(|scope| {
            let threads: Vec<_> = (0..30).map(|_| scope.spawn(start_together)).collect();
            threads.into_iter().map(|t| t.join().expect("started")).collect()
        });
        times.sort_by_key(|t| t.1);
        assert!(times[26].1 < READY_TIMEOUT, "the 27th of 30 took {:?} with {args:?}", times[26].1);
        assert!(times.iter_mut().all(|t| t.0.is_running()));
        eprintln!("30 at once: the 27th ready after {:?}, the last after {:?}", times[26].1, times[29].1);
    }
}

/// The process is repeatedly killed while clients are connected, and restarted on the same address.
#[test]
fn restart_on_the_same_address_is_ready() {
    let engine = Engine::echo();
    let config =
        resource_limits::config(&[("s-1", engine.address)], Some(refusing_address()), 1024, SETTINGS);
    let (mut program, _) = start(&config, OPTIONS[0]);
    let listen = program.platform.to_string();
    for round in 1..=5 {
        let mut clients: Vec<RawClient> = (0..8).map(|_| RawClient::connect(program.platform)).collect();
        program.kill();
        assert!(
            clients.iter_mut().all(|client| client.message().is_none()),
            "the connection ends with the process"
        );
        let args = [OPTIONS[round % 2], &["--listen", listen.as_str()]].concat();
        let after;
        (program, after) = start(&config, &args);
        assert!(after < READY_TIMEOUT, "{after:?} in round {round}");
        assert_eq!(program.platform.to_string(), listen);
    }
}

/// Runs the program to its end and returns its exit status and its output.
fn run(args: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sprucelink"));
    let out = command.args(args).env_remove("EDGE_CONFIG").env_remove("EDGE_OPERATOR").output().expect("run");
    (out.status.code(), String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned())
}

/// Checks that the program ends with this status and a single error line that contains `text`.
fn check_error(args: &[&str], status: i32, text: &str) {
    let (code, output) = run(args);
    assert_eq!(code, Some(status), "{args:?}: {output}");
    let lines: Vec<&str> = output.lines().filter(|l| l.starts_with("sprucelink: ")).collect();
    assert!(
        lines.len() == 1 && lines[0].contains(text) && !output.contains("panicked"),
        "{args:?}: {output}"
    );
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step after step")]
fn unusable_file_is_reported_by_name_with_exit_status_2() {
    let dir = scratch_dir();
    let write_file = |name: &str, bytes: &[u8]| {
        let path = dir.join(name);
        std::fs::write(&path, bytes).expect("written");
        path.to_str().expect("text").to_owned()
    };
    let config_with_limits = |name: &str, limits: &str| {
        let text =
            format!(r#"{{"listen":"127.0.0.1:0","seed":"0a","limits":{limits},"settings":{SETTINGS}}}"#);
        write_file(name, text.as_bytes())
    };
    let folder = dir.to_str().expect("text").to_owned();
    let not_utf8 = write_file("bytes.json", b"{\"listen\":\"\xff\xfe\"}");
    let empty = write_file("empty.json", b"");
    let truncated = write_file("half.json", br#"{"listen":"127.0.0.1:0","seed":"0a","settings":{"#);
    let no_sockets = config_with_limits("none.json", r#"{"sockets":0}"#);
    let too_few_sockets = config_with_limits("few.json", r#"{"sockets":29}"#);
    let no_memory = config_with_limits("memory.json", r#"{"memory_mb":0}"#);
    let negative_sockets = config_with_limits("below.json", r#"{"sockets":-1}"#);
    let valid = config_with_limits("good.json", r#"{"sockets":64}"#);
    let no_limits = config_with_limits("absent.json", "{}");
    let max_limits = config_with_limits(
        "most.json",
        r#"{"sockets":18446744073709551615,"memory_mb":18446744073709551615}"#,
    );
    let too_many_sessions = write_file("many.json", br#"{"listen":"127.0.0.1:0","max_sessions":256}"#);
    let invalid = write_file("bad.json5", b"{ enabled: maybe }");
    for command in ["check", "serve"] {
        for (file, text) in [
            (folder.as_str(), format!("{folder}: ")),
            ("/nonexistent.json", "/nonexistent.json: ".into()),
            (&not_utf8, "bytes.json: ".into()),
            (&empty, "empty.json: line 1, column 0: EOF".into()),
            (&truncated, "half.json: line 1, column 48: settings.?: EOF".into()),
            (
                &no_sockets,
                "none.json: limits.sockets: 0 descriptors are too few: 30 are needed at least".into(),
            ),
            (
                &too_few_sockets,
                "few.json: limits.sockets: 29 descriptors are too few: 30 are needed at least".into(),
            ),
            (&no_memory, "memory.json: limits.memory_mb: 0 MB are too few".into()),
            (&negative_sockets, "below.json: line 1, column ".into()),
        ] {
            check_error(&[command, "--config", file], 2, &text);
        }
        for option in ["--operator", "--cold-start", "--failover", "--membership", "--recorder"] {
            check_error(
                &[command, "--config", &valid, option, "/nonexistent.json5"],
                2,
                "/nonexistent.json5: ",
            );
            check_error(&[command, "--config", &valid, option, &folder], 2, &format!("{folder}: "));
            check_error(&[command, "--config", &valid, option, &not_utf8], 2, "bytes.json: ");
        }
        for option in ["--cold-start", "--failover", "--membership"] {
            check_error(&[command, "--config", &valid, option, &invalid], 2, "bad.json5: ");
        }
        check_error(
            &[command, "--config", &valid, "--operator", &too_many_sessions],
            2,
            "many.json: operator's file: max_sessions: the second front needs 267 descriptors: limits.sockets is 64",
        );
    }
    for config in [&valid, &no_limits, &max_limits] {
        let (status, output) = run(&["check", "--config", config]);
        assert_eq!(status, Some(0), "{output}");
    }
    drop(std::fs::remove_dir_all(dir));
}

/// Each address that the program listens on is in use in turn.
#[test]
fn address_in_use_is_reported_with_exit_status_1() {
    let dir = scratch_dir();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let write_file = |name: &str, text: String| {
        let path = dir.join(name);
        std::fs::write(&path, text).expect("written");
        path.to_str().expect("text").to_owned()
    };
    let config = |name: &str, listen: &str, fields: &str| {
        write_file(name, format!(r#"{{"listen":"{listen}","seed":"0a",{fields}"settings":{SETTINGS}}}"#))
    };
    let any = "127.0.0.1:0";
    let (valid, in_use_config) = (config("good.json", any, ""), config("here.json", &address, ""));
    let operators = config("operators.json", any, &format!(r#""operator":"{address}","#));
    let second = write_file("second.json", format!(r#"{{"listen":"{address}"}}"#));
    let in_use = format!("listen on {address}: Address already in use");
    check_error(&["serve", "--config", &in_use_config], 1, &in_use);
    check_error(&["serve", "--config", &valid, "--listen", &address], 1, &in_use);
    check_error(&["serve", "--config", &operators], 1, &format!("operators: {in_use}"));
    check_error(&["serve", "--config", &valid, "--operator", &second], 1, &in_use);
    drop(std::fs::remove_dir_all(dir));
}
