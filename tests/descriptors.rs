//! Descriptors under a low operating-system limit: idle clients can use up the descriptors for clients, but
//! not those reserved for the feed, connections to engines, the operators' address, CancelRequests and
//! rejections.
mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use support::admin_client::*;
use support::resource_limits::{descriptors, DescriptorWatch, FeedProxy, FeedProxyMode};
use support::*;

fn sql(req: u64, text: &str) -> String {
    format!(
        "/* kind=lane-rate,req={req:016x},timeout=60000,owner=sud,ms=1 */ SELECT {text} FROM sales_17.orders"
    )
}

/// Opens `count` connections of each of four kinds, in turn: they send nothing, send a part of a start-up
/// packet, open a session and stay idle, or open a session and send a part of a message.
fn flood(to: SocketAddr, count: usize) -> Vec<RawClient> {
    let message = query(&sql(1 << 40, "half"));
    let inputs = [vec![], startup()[..9].to_vec(), startup(), [startup(), message[..20].to_vec()].concat()];
    let mut clients = Vec::new();
    for bytes in (0..count).flat_map(|_| &inputs) {
        let mut client = RawClient::open(to);
        // A write error means that the connection has already been evicted.
        let _ = std::io::Write::write_all(&mut client.stream, bytes);
        clients.push(client);
    }
    clients
}

/// Sends a request and checks that it is answered with one row.
fn check_served(client: &mut RawClient, req: u64, text: &str) {
    let answer = client.ask(&sql(req, text));
    assert!(
        message_types(&answer).starts_with('T') && rows(&answer).len() == 1,
        "request {req}: {:?}",
        error_fields(&answer)
    );
}

/// Opens at most `max_sessions` sessions, each with a request that its engine does not answer, until one is
/// rejected. Returns the sessions with their request ids, and the error fields of the rejection.
fn open_busy_sessions(to: SocketAddr, max_sessions: usize) -> (Vec<(u64, RawClient)>, [String; 4]) {
    let mut busy = Vec::new();
    for id in (0..max_sessions as u64).map(|i| 1_000 + i) {
        let mut client = RawClient::open(to);
        client.send(&startup());
        let first = client.message().expect("an answer");
        if first.0 == b'E' {
            assert!(client.message().is_none(), "the connection ends after a rejection");
            return (busy, error_fields(&[first]));
        }
        let rest = client.until_ready();
        client.key = rest.into_iter().find(|m| m.0 == b'K').expect("a key").1;
        client.send(&query(&sql(id, "hold")));
        busy.push((id, client));
    }
    panic!("none of {max_sessions} sessions was rejected");
}

/// Floods the program with idle clients and checks that the reserved descriptors stay available. `limit` is
/// both the configured number of descriptors and the limit of the process; at least `min_sessions` sessions
/// with an open request must fit.
#[expect(clippy::too_many_lines, reason = "one scenario, step after step")]
fn check_reserved_descriptors(limit: usize, min_sessions: usize) {
    let has_disconnected = Arc::new(AtomicBool::new(false));
    let disconnected = Arc::clone(&has_disconnected);
    let first_engine = Engine::start(move |command| match command.parts[3].as_str() {
        text if text.contains("hold") => Reply::Hold,
        text if text.contains("cut") && !disconnected.swap(true, Ordering::SeqCst) => Reply::Disconnect,
        _ => Reply::Pages(vec!["a\tb\tc\n".into()]),
    });
    let second_engine = Engine::echo();
    let feed = Feed::start();
    let feed_proxy = FeedProxy::start(feed.address, FeedProxyMode::Down);
    let config =
        resource_limits::config(&[("s-1", first_engine.address)], Some(feed_proxy.address), limit, SETTINGS);
    let mut program = resource_limits::start(&config, Some(limit), &[]);
    let (to, operators, process) = (program.platform, program.operators.expect("an address"), program.id());
    let mut early_session = RawClient::connect(to);
    check_served(&mut early_session, 1, "a");
    wait_until(|| (feed_proxy.calls() >= 2).then_some(()));
    let before = descriptors(process);
    let watch = DescriptorWatch::start(process);

    let mut idle_clients = flood(to, limit / 2);
    check_served(&mut early_session, 2, "a");
    // The engine closes its connection: the next request needs a new one.
    check_served(&mut early_session, 3, "cut");
    assert!(has_disconnected.load(Ordering::SeqCst), "the engine closed the old connection");
    assert_eq!(call(operators, "GET", "/admin/health", "").0, 200);
    let calls_before = feed_proxy.calls();
    wait_until(|| (feed_proxy.calls() > calls_before).then_some(()));

    // Sessions with requests evict the idle ones, one after the other, until none is left.
    let (mut busy, rejection) = open_busy_sessions(to, limit);
    assert_eq!(
        (rejection[0].as_str(), rejection[2].as_str()),
        ("53300", "retry_after_ms=1000"),
        "{rejection:?}"
    );
    assert!(!rejection[3].is_empty());
    assert!(busy.len() >= min_sessions, "only {} busy sessions were accepted", busy.len());
    idle_clients.extend(flood(to, limit / 2));
    assert_eq!(call(operators, "GET", "/admin/health", "").0, 200);
    // All slots are occupied, and silent new connections are waiting: a CancelRequest is accepted.
    let held = first_engine.wait_for("do", 4).into_iter().find(|c| c.parts[3].contains("hold"));
    let held_id = u64::from_str_radix(&held.expect("a held request").parts[1], 16).expect("an id");
    let index = busy.iter().position(|b| b.0 == held_id).expect("its session");
    let (_, mut cancelled) = busy.swap_remove(index);
    cancelled.cancel(to);
    assert_eq!(error_fields(&cancelled.until_ready())[0], "57014");
    // The session is idle now, and may already have been evicted for a new connection.
    drop(cancelled);

    // The feed is reachable again. It adds an engine and drains the first one.
    feed_proxy.set(FeedProxyMode::Up);
    feed.send(list_event(1, true, &[("s-1", first_engine.address, "ready")]));
    let engines = [("s-2", second_engine.address, "ready"), ("s-1", first_engine.address, "draining")];
    feed.send(list_event(2, false, &engines));
    program.wait_line("engine_id=s-2 phase=Ready");
    program.wait_line("engine_id=s-1 phase=Draining");
    let mut newcomer = RawClient::connect(to);
    check_served(&mut newcomer, 4, "b");
    // Requests that the first engine held may be retried at the second one: they are not counted.
    let served = second_engine.received("do");
    assert_eq!(served.iter().filter(|c| c.parts[3].contains("SELECT b")).count(), 1);

    // After all clients have left, the descriptors are free again.
    drop((idle_clients, busy, newcomer));
    wait_until(|| (descriptors(process) <= before + 3).then_some(()));
    let peak = watch.peak();
    let mut later_sessions: Vec<RawClient> = (0..5).map(|_| RawClient::connect(to)).collect();
    for (i, client) in later_sessions.iter_mut().enumerate() {
        check_served(client, 10 + i as u64, "c");
    }
    let reports_shortage = |l: &&String| l.contains("accept failed") || l.contains("open files");
    assert_eq!(program.lines().iter().find(reports_shortage), None);
    assert!(program.is_running() && peak <= limit, "{peak} of {limit}");
    eprintln!("limit {limit}: {before} descriptors before, {peak} at most");
}

#[test]
fn idle_clients_leave_reserved_descriptors_free_at_the_minimum_limits() {
    check_reserved_descriptors(64, 21);
    check_reserved_descriptors(40, 5);
}

#[test]
fn idle_clients_leave_reserved_descriptors_free_at_a_reduced_limit() {
    check_reserved_descriptors(512, 170);
}

/// The program stays within its configured limit even if the process may open far more descriptors.
#[test]
fn descriptors_stay_within_the_configured_limit() {
    let engine = Engine::echo();
    let second = r#"{"listen":"127.0.0.1:0","max_sessions":16,"default_class":"lane-rate"}"#;
    let file = scratch_dir().join("operator.json");
    std::fs::write(&file, second).expect("written");
    let config = resource_limits::config(&[("s-1", engine.address)], None, 128, SETTINGS);
    let program = resource_limits::start(&config, None, &["--operator", file.to_str().expect("text")]);
    let (to, second) = (program.platform, program.second.expect("the second front is on"));
    let operators = program.operators.expect("an address");
    let watch = DescriptorWatch::start(program.id());
    let mut idle_clients = Vec::new();
    for _ in 0..4 {
        idle_clients.extend(flood(to, 32));
        idle_clients.extend(flood(second, 32));
        idle_clients.extend((0..32).map(|_| RawClient::open(operators)));
        let mut client = RawClient::connect(to);
        check_served(&mut client, idle_clients.len() as u64, "a");
        assert_eq!(call(operators, "GET", "/admin/health", "").0, 200);
    }
    let peak = watch.peak();
    assert!((64..=128).contains(&peak), "{peak} of 128");
    eprintln!("{peak} descriptors at most of 128 configured");
}

/// The process may open fewer descriptors than configured, so that accept fails. It neither spins nor ends,
/// and accepts again as soon as descriptors are free.
#[test]
fn accept_failure_without_descriptors_affects_no_session() {
    let engine = Engine::echo();
    let config = resource_limits::config(&[("s-1", engine.address)], None, 1024, SETTINGS);
    let mut program = resource_limits::start(&config, Some(64), &[]);
    let mut served = RawClient::connect(program.platform);
    check_served(&mut served, 1, "a");
    let idle_clients: Vec<RawClient> = (0..200).map(|_| RawClient::open(program.platform)).collect();
    program.wait_line("accept failed");
    // After tens of failed accepts the new connections have been evicted, and their descriptors are free.
    std::thread::sleep(Duration::from_millis(500));
    check_served(&mut served, 2, "a");
    let mut newcomer = RawClient::connect(program.platform);
    check_served(&mut newcomer, 3, "a");
    drop(idle_clients);
    wait_until(|| (descriptors(program.id()) < 40).then_some(()));
    check_served(&mut RawClient::connect(program.platform), 4, "a");
    assert!(program.is_running());
    // About fifty accepts per second fail, and one failure per five seconds is logged.
    let lines = program.lines().iter().filter(|l| l.contains("accept failed")).count();
    assert!((1..=15).contains(&lines), "{lines} lines");
}

/// Clients that disconnect before or directly after they are accepted affect no other client.
#[test]
fn immediately_reset_connections_affect_no_session() {
    let engine = Engine::echo();
    let config = resource_limits::config(&[("s-1", engine.address)], None, 64, SETTINGS);
    let program = resource_limits::start(&config, Some(64), &[]);
    let mut served = RawClient::connect(program.platform);
    for i in 0..400 {
        let mut client = RawClient::open(program.platform);
        // Closing with unread input sends a reset; the other half of the connections end without having sent
        // anything.
        if i % 2 == 0 {
            client.send(&startup());
        }
        drop(client);
        if i % 20 == 0 {
            check_served(&mut served, i + 1, "a");
        }
    }
    wait_until(|| (descriptors(program.id()) < 30).then_some(()));
    check_served(&mut RawClient::connect(program.platform), 9_999, "a");
}

/// CancelRequests are accepted even when all session slots are occupied. A silent connection then gets an
/// error before it is closed.
#[test]
fn cancel_is_accepted_and_rejection_delivered_when_all_slots_are_occupied() {
    let engine = Engine::start(|_| Reply::Hold);
    let file = scratch_dir().join("operator.json");
    std::fs::write(&file, r#"{"listen":"127.0.0.1:0","max_sessions":1,"default_class":"lane-rate"}"#)
        .expect("written");
    let config = resource_limits::config(&[("s-1", engine.address)], None, 128, SETTINGS);
    let program = resource_limits::start(&config, Some(128), &["--operator", file.to_str().expect("text")]);
    let second = program.second.expect("the second front is on");
    let mut client = RawClient::connect(second);
    client.send(&query(&sql(1, "hold")));
    engine.wait_for("do", 1);
    let mut silent = RawClient::open(second);
    for _ in 0..3 {
        let mut newcomer = RawClient::open(second);
        newcomer.send(&startup());
        assert_eq!(error_fields(&[newcomer.message().expect("an error")])[0], "53300");
        assert!(newcomer.message().is_none());
    }
    client.cancel(second);
    assert_eq!(error_fields(&client.until_ready())[0], "57014");
    assert_eq!(error_fields(&[silent.message().expect("an error")])[0], "53300");
    assert!(silent.message().is_none());
    // The first session stays although it has no request: idle sessions that hold state are not evicted.
    assert_eq!(message_types(&client.ask("")), "IZ");
}
