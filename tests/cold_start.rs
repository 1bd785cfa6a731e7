//! The cold start on sockets: a list service that refuses is not called in step, a start says when it is
//! ready, and its settings are checked.
mod support;

use sprucelink_cluster_harness::lists::{DiscoveryMode, ListService};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// The rig's list service, answering every call with 503 and noting when it came.
fn refusing_feed() -> ListService {
    let feed = ListService::start(String::new(), Instant::now()).expect("a list service");
    feed.set_discovery_mode(DiscoveryMode::Refusing);
    feed
}

fn cold_file(text: &str) -> String {
    let path = scratch().join("cold-start.json5");
    std::fs::write(&path, text).expect("written");
    path.display().to_string()
}

/// Calls that a refusing service gets in `span` after the program is moved to it.
fn calls_while_refused(more: &[&str], span: Duration) -> usize {
    let engine = Engine::echo();
    let program = Program::launch(&[("s-1", engine.address)], None, None, (192, 1024), SETTINGS, more);
    let feed = refusing_feed();
    program.reload(&program.config_with_feed(feed.address));
    let calls = || feed.calls.read().times;
    let first = until(|| calls().first().copied());
    thread::sleep(span);
    calls().iter().filter(|t| **t - first < span).count()
}

/// Guards the list service against a fleet that hammers it while it refuses: with the cold start, calls
/// that were refused back off by gRPC's figures (1 s, then 1.6 s); without, they come every 20 to 250 ms.
#[test]
fn refusing_list_service_is_polled_with_backoff() {
    let span = Duration::from_millis(2_500);
    let path = cold_file("{ enabled: true }");
    let cold = calls_while_refused(&["--cold-start", &path], span);
    assert!((1..=3).contains(&cold), "{cold} calls in 2.5 s with the cold start");
    let plain = calls_while_refused(&[], span);
    eprintln!("calls in 2.5 s of refusals: {cold} with the cold start, {plain} without");
    assert!(plain >= 8, "{plain} calls in 2.5 s without it: the comparison has no ground");
}

/// A start with the cold start says once that it is ready, and why.
#[test]
fn paced_start_logs_when_it_is_ready() {
    let engine = Engine::echo();
    let feed = Feed::start();
    let path = cold_file("{ enabled: true, ready: { link_wait_ms: 300 } }");
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
    let mut raw = Raw::connect(program.platform);
    let got = raw.ask(
        "/* kind=lane-rate,req=0000000000000001,timeout=20000,owner=sud */ SELECT a FROM sales_17.orders",
    );
    assert_eq!(rows(&got).len(), 1, "served after the cold start");
    assert_eq!(program.lines().iter().filter(|l| l.contains("manager is ready after_s=")).count(), 1);
}

/// Settings that cannot be meant are refused at the start, by name, with exit status 2.
#[test]
fn invalid_startup_settings_are_rejected_by_name() {
    let engine = Engine::echo();
    let program = Program::start(&[("s-1", engine.address)], None, None);
    let config = scratch().join("config.json");
    std::fs::write(&config, program.config_with_feed("127.0.0.1:9".parse().expect("an address")))
        .expect("written");
    let check = |text: &str| {
        let path = cold_file(text);
        Command::new(env!("CARGO_BIN_EXE_sprucelink"))
            .args(["check", "--config", &config.display().to_string(), "--cold-start", &path])
            .output()
            .expect("ran")
    };
    let good = check(&std::fs::read_to_string("deploy/cold-start.json5").expect("the deploy file"));
    assert_eq!(good.status.code(), Some(0), "{}", String::from_utf8_lossy(&good.stderr));
    assert!(String::from_utf8_lossy(&good.stdout).contains("cold start's settings will do"));
    for (text, named) in
        [("{ dials: { stage_ms: 9000 } }", "dials.stage_ms"), ("{ enabled: true, lits: {} }", "lits")]
    {
        let bad = check(text);
        assert_eq!(bad.status.code(), Some(2));
        let said = String::from_utf8_lossy(&bad.stderr);
        assert!(said.contains(named), "{said}");
    }
}
