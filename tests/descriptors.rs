//! Descriptors under a real, low limit: idle clients can take all that are for clients, but not those of the feed, of
//! connections to engines, of the operators' address, of CancelRequests and of rejections.
mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use support::admin_client::*;
use support::resource_limits::{descriptors, DescriptorWatch, DiscoveryMode, FeedProxy};
use support::*;

fn sql(req: u64, text: &str) -> String {
    format!(
        "/* kind=lane-rate,req={req:016x},timeout=60000,owner=sud,ms=1 */ SELECT {text} FROM sales_17.orders"
    )
}

/// So many connections each that send nothing, that send a part of a start-up packet, that open a session and stay
/// idle, and that send a part of a message, in turns.
fn flood(to: SocketAddr, each: usize) -> Vec<RawClient> {
    let half = query(&sql(1 << 40, "half"));
    let says = [vec![], startup()[..9].to_vec(), startup(), [startup(), half[..20].to_vec()].concat()];
    let mut all = Vec::new();
    for bytes in (0..each).flat_map(|_| &says) {
        let mut raw = RawClient::open(to);
        // A write error means that the connection was evicted already.
        let _ = std::io::Write::write_all(&mut raw.stream, bytes);
        all.push(raw);
    }
    all
}

/// Sends a request, and is served one row.
fn is_served(raw: &mut RawClient, req: u64, text: &str) {
    let got = raw.ask(&sql(req, text));
    assert!(
        message_types(&got).starts_with('T') && rows(&got).len() == 1,
        "request {req}: {:?}",
        error_fields(&got)
    );
}

/// Opens sessions, each with a request that its engine holds back, until one is rejected: the rejection is the last.
fn fill_with_busy(to: SocketAddr, most: usize) -> (Vec<(u64, RawClient)>, [String; 4]) {
    let mut busy = Vec::new();
    for i in (0..most as u64).map(|i| 1_000 + i) {
        let mut raw = RawClient::open(to);
        raw.send(&startup());
        let first = raw.message().expect("a word");
        if first.0 == b'E' {
            assert!(raw.message().is_none(), "a refusal is the last word");
            return (busy, error_fields(&[first]));
        }
        let rest = raw.until_ready();
        raw.key = rest.into_iter().find(|m| m.0 == b'K').expect("a key").1;
        raw.send(&query(&sql(i, "hold")));
        busy.push((i, raw));
    }
    panic!("{most} sessions, and nobody was refused");
}

/// The scenario at one limit, which is configured and set on the process, and at which so many sessions must fit.
#[expect(clippy::too_many_lines, reason = "one scenario, step after step")]
fn idle_clients_take_nobody_elses(limit: usize, sessions: usize) {
    let cut = Arc::new(AtomicBool::new(false));
    let once = Arc::clone(&cut);
    let a = Engine::start(move |command| match command.parts[3].as_str() {
        text if text.contains("hold") => Reply::Hold,
        text if text.contains("cut") && !once.swap(true, Ordering::SeqCst) => Reply::Disconnect,
        _ => Reply::Pages(vec!["a\tb\tc\n".into()]),
    });
    let b = Engine::echo();
    let feed = Feed::start();
    let feed_proxy = FeedProxy::start(feed.address, DiscoveryMode::Down);
    let config = resource_limits::config(&[("s-1", a.address)], Some(feed_proxy.address), limit, SETTINGS);
    let mut program = resource_limits::start(&config, Some(limit), &[]);
    let (to, operators, process) = (program.platform, program.operators.expect("an address"), program.id());
    let mut served = RawClient::connect(to);
    is_served(&mut served, 1, "a");
    wait_until(|| (feed_proxy.calls() >= 2).then_some(()));
    let before = descriptors(process);
    let watched = DescriptorWatch::start(process);

    let mut idlers = flood(to, limit / 2);
    is_served(&mut served, 2, "a");
    // The connection breaks: the next request needs a new one.
    is_served(&mut served, 3, "cut");
    assert!(cut.load(Ordering::SeqCst), "the old one broke");
    assert_eq!(call(operators, "GET", "/admin/health", "").0, 200);
    let called = feed_proxy.calls();
    wait_until(|| (feed_proxy.calls() > called).then_some(()));

    // Sessions with requests evict the idle ones, one after the other, until none is left.
    let (mut busy, refusal) = fill_with_busy(to, limit);
    assert_eq!((refusal[0].as_str(), refusal[2].as_str()), ("53300", "retry_after_ms=1000"), "{refusal:?}");
    assert!(!refusal[3].is_empty());
    assert!(busy.len() >= sessions, "{} had room", busy.len());
    idlers.extend(flood(to, limit / 2));
    assert_eq!(call(operators, "GET", "/admin/health", "").0, 200);
    // All slots are occupied, and silent new connections are in the way: a CancelRequest is accepted.
    let out = a.wait_for("do", 4).into_iter().find(|s| s.parts[3].contains("hold")).expect("one is held");
    let out = u64::from_str_radix(&out.parts[1], 16).expect("an id");
    let at = busy.iter().position(|b| b.0 == out).expect("its session");
    let (_, mut one) = busy.swap_remove(at);
    one.cancel(to);
    assert_eq!(error_fields(&one.until_ready())[0], "57014");
    // The session may have been evicted for a new connection since: it was idle.
    drop(one);

    // The feed returns, with one engine more and one less.
    feed_proxy.set(DiscoveryMode::Up);
    feed.send(list(1, true, &[("s-1", a.address, "ready")]));
    feed.send(list(2, false, &[("s-2", b.address, "ready"), ("s-1", a.address, "draining")]));
    program.wait_line("engine_id=s-2 phase=Ready");
    program.wait_line("engine_id=s-1 phase=Draining");
    let mut newcomer = RawClient::connect(to);
    is_served(&mut newcomer, 4, "b");
    // Besides those that the other engine held, and that may go on there.
    assert_eq!(b.received("do").iter().filter(|s| s.parts[3].contains("SELECT b")).count(), 1);

    // All clients leave, and all is as before.
    drop((idlers, busy, newcomer));
    wait_until(|| (descriptors(process) <= before + 3).then_some(()));
    let most = watched.peak();
    let mut after: Vec<RawClient> = (0..5).map(|_| RawClient::connect(to)).collect();
    for (i, raw) in after.iter_mut().enumerate() {
        is_served(raw, 10 + i as u64, "c");
    }
    let starved = |l: &&String| l.contains("accept failed") || l.contains("open files");
    assert_eq!(program.lines().iter().find(starved), None);
    assert!(program.running() && most <= limit, "{most} of {limit}");
    eprintln!("limit {limit}: {before} descriptors before, {most} at most");
}

#[test]
fn idle_clients_leave_reserved_descriptors_free_at_the_minimum_limits() {
    idle_clients_take_nobody_elses(64, 21);
    idle_clients_take_nobody_elses(40, 5);
}

#[test]
fn idle_clients_leave_reserved_descriptors_free_at_a_reduced_limit() {
    idle_clients_take_nobody_elses(512, 170);
}

/// The program keeps to its configured limit also where the process may open far more descriptors.
#[test]
fn descriptors_stay_within_the_configured_limit() {
    let engine = Engine::echo();
    let second = r#"{"listen":"127.0.0.1:0","max_sessions":16,"default_class":"lane-rate"}"#;
    let file = scratch_dir().join("operator.json");
    std::fs::write(&file, second).expect("written");
    let config = resource_limits::config(&[("s-1", engine.address)], None, 128, SETTINGS);
    let program = resource_limits::start(&config, None, &["--operator", file.to_str().expect("text")]);
    let (to, second) = (program.platform, program.second.expect("on"));
    let operators = program.operators.expect("an address");
    let watched = DescriptorWatch::start(program.id());
    let mut idlers = Vec::new();
    for _ in 0..4 {
        idlers.extend(flood(to, 32));
        idlers.extend(flood(second, 32));
        idlers.extend((0..32).map(|_| RawClient::open(operators)));
        let mut raw = RawClient::connect(to);
        is_served(&mut raw, idlers.len() as u64, "a");
        assert_eq!(call(operators, "GET", "/admin/health", "").0, 200);
    }
    let most = watched.peak();
    assert!((64..=128).contains(&most), "{most} of 128");
    eprintln!("{most} descriptors at most of 128 told");
}

/// The process may open fewer descriptors than configured, so that accept fails. It neither spins nor ends, and goes on
/// as soon as descriptors are free again.
#[test]
fn accept_failure_without_descriptors_harms_no_session() {
    let engine = Engine::echo();
    let config = resource_limits::config(&[("s-1", engine.address)], None, 1024, SETTINGS);
    let mut program = resource_limits::start(&config, Some(64), &[]);
    let mut served = RawClient::connect(program.platform);
    is_served(&mut served, 1, "a");
    let idlers: Vec<RawClient> = (0..200).map(|_| RawClient::open(program.platform)).collect();
    program.wait_line("accept failed");
    // After some tens of failed accepts the new connections have been evicted, and their descriptors are free.
    std::thread::sleep(Duration::from_millis(500));
    is_served(&mut served, 2, "a");
    let mut newcomer = RawClient::connect(program.platform);
    is_served(&mut newcomer, 3, "a");
    drop(idlers);
    wait_until(|| (descriptors(program.id()) < 40).then_some(()));
    is_served(&mut RawClient::connect(program.platform), 4, "a");
    assert!(program.running());
    // About fifty fail each second, and one in five seconds is logged.
    let lines = program.lines().iter().filter(|l| l.contains("accept failed")).count();
    assert!((1..=15).contains(&lines), "{lines} lines");
}

/// Clients that leave before they are accepted, or directly after it, have no effect.
#[test]
fn immediately_reset_connections_harm_no_session() {
    let engine = Engine::echo();
    let config = resource_limits::config(&[("s-1", engine.address)], None, 64, SETTINGS);
    let program = resource_limits::start(&config, Some(64), &[]);
    let mut served = RawClient::connect(program.platform);
    for i in 0..400 {
        let mut raw = RawClient::open(program.platform);
        // Closing with unread input sends a reset, and half of the connections end before they sent anything.
        if i % 2 == 0 {
            raw.send(&startup());
        }
        drop(raw);
        if i % 20 == 0 {
            is_served(&mut served, i + 1, "a");
        }
    }
    wait_until(|| (descriptors(program.id()) < 30).then_some(()));
    is_served(&mut RawClient::connect(program.platform), 9_999, "a");
}

/// CancelRequests are accepted also when all slots are occupied. A silent connection there gets an error before it is
/// closed.
#[test]
fn cancel_is_accepted_and_rejection_delivered_when_all_slots_are_occupied() {
    let engine = Engine::start(|_| Reply::Hold);
    let file = scratch_dir().join("operator.json");
    std::fs::write(&file, r#"{"listen":"127.0.0.1:0","max_sessions":1,"default_class":"lane-rate"}"#)
        .expect("written");
    let config = resource_limits::config(&[("s-1", engine.address)], None, 128, SETTINGS);
    let program = resource_limits::start(&config, Some(128), &["--operator", file.to_str().expect("text")]);
    let second = program.second.expect("on");
    let mut raw = RawClient::connect(second);
    raw.send(&query(&sql(1, "hold")));
    engine.wait_for("do", 1);
    let mut silent = RawClient::open(second);
    for _ in 0..3 {
        let mut newcomer = RawClient::open(second);
        newcomer.send(&startup());
        assert_eq!(error_fields(&[newcomer.message().expect("a word")])[0], "53300");
        assert!(newcomer.message().is_none());
    }
    raw.cancel(second);
    assert_eq!(error_fields(&raw.until_ready())[0], "57014");
    assert_eq!(error_fields(&[silent.message().expect("a word")])[0], "53300");
    assert!(silent.message().is_none());
    // The first session sent no request and stays: idle sessions that hold state are not evicted.
    assert_eq!(message_types(&raw.ask("")), "IZ");
}
