//! The cold start with a running program: calls to a list service that refuses them back off, the program
//! logs when it is ready, and the cold start's settings are checked.
mod support;

use sprucelink_cluster_harness::lists::{DiscoveryMode, ListService};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// The test harness's list service, which answers every call with 503 and records its time.
fn refusing_feed() -> ListService {
    let feed = ListService::start(String::new(), Instant::now()).expect("a list service");
    feed.set_discovery_mode(DiscoveryMode::Refusing);
    feed
}

/// Writes a cold-start settings file and returns its path.
fn cold_start_file(text: &str) -> String {
    let path = scratch_dir().join("cold-start.json5");
    std::fs::write(&path, text).expect("written");
    path.display().to_string()
}

/// Number of calls that a refusing list service gets within `span` after the first call, which counts too.
fn calls_while_refused(extra_args: &[&str], span: Duration) -> usize {
    let engine = Engine::echo();
    let program = Program::launch(&[("s-1", engine.address)], None, None, (192, 1024), SETTINGS, extra_args);
    let feed = refusing_feed();
    program.reload(&program.config_with_feed(feed.address));
    let calls = || feed.calls.read().times;
    let first_call = wait_until(|| calls().first().copied());
    thread::sleep(span);
    calls().iter().filter(|t| **t - first_call < span).count()
}

/// Guards against overloading a list service that refuses calls: with the cold start, refused calls are
/// repeated with gRPC's backoff (1 s, then 1.6 s); without it they are repeated every 20 to 250 ms.
#[test]
fn refusing_list_service_is_polled_with_backoff() {
    let span = Duration::from_millis(2_500);
    let path = cold_start_file("{ enabled: true }");
    let cold = calls_while_refused(&["--cold-start", &path], span);
    assert!((1..=3).contains(&cold), "{cold} calls in 2.5 s with the cold start");
    let plain = calls_while_refused(&[], span);
    eprintln!("calls in 2.5 s of refusals: {cold} with the cold start, {plain} without");
    assert!(plain >= 8, "{plain} calls in 2.5 s without it: the comparison shows nothing");
}

/// With the cold start, a process logs once that it is ready, and by which conditions.
#[test]
fn cold_start_logs_once_when_it_is_ready() {
    let engine = Engine::echo();
    let feed = Feed::start();
    let path = cold_start_file("{ enabled: true, ready: { link_wait_ms: 300 } }");
    let program = Program::launch(
        &[("s-1", engine.address)],
        Some(&feed),
        None,
        (192, 1024),
        SETTINGS,
        &["--cold-start", &path],
    );
    let line = program.wait_line("manager is ready after_s=");
    assert!(line.contains("feed_answered=true") || line.contains("feed_answered=false"), "{line}");
    assert!(line.contains(" engines=1 "), "{line}");
    let mut client = RawClient::connect(program.platform);
    let answer = client.ask(
        "/* kind=lane-rate,req=0000000000000001,timeout=20000,owner=sud */ SELECT a FROM sales_17.orders",
    );
    assert_eq!(rows(&answer).len(), 1, "served after the cold start");
    assert_eq!(program.lines().iter().filter(|l| l.contains("manager is ready after_s=")).count(), 1);
}

/// Invalid settings are rejected at the start with exit status 2, and the error names the setting.
#[test]
fn invalid_startup_settings_are_rejected_by_name() {
    let engine = Engine::echo();
    let program = Program::start(&[("s-1", engine.address)], None, None);
    let config = scratch_dir().join("config.json");
    std::fs::write(&config, program.config_with_feed("127.0.0.1:9".parse().expect("an address")))
        .expect("written");
    let check = |text: &str| {
        let path = cold_start_file(text);
        Command::new(env!("CARGO_BIN_EXE_sprucelink"))
            .args(["check", "--config", &config.display().to_string(), "--cold-start", &path])
            .output()
            .expect("ran")
    };
    let valid = check(&std::fs::read_to_string("deploy/cold-start.json5").expect("the deploy file"));
    assert_eq!(valid.status.code(), Some(0), "{}", String::from_utf8_lossy(&valid.stderr));
    assert!(String::from_utf8_lossy(&valid.stdout).contains("cold start's settings will do"));
    for (text, field) in
        [("{ dials: { stage_ms: 9000 } }", "dials.stage_ms"), ("{ enabled: true, lits: {} }", "lits")]
    {
        let invalid = check(text);
        assert_eq!(invalid.status.code(), Some(2));
        let stderr = String::from_utf8_lossy(&invalid.stderr);
        assert!(stderr.contains(field), "{stderr}");
    }
}
