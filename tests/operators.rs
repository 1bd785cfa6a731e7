//! Calls to the operators' address of the running program: health, metrics, and cordons of engines.
mod support;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use support::admin_client::*;
use support::*;

fn sql(req: u64) -> String {
    format!("/* kind=lane-rate,req={req:016x},timeout=20000,owner=sud,ms=5 */ SELECT a FROM sales_17.orders")
}

#[test]
fn health_and_metrics_report_served_requests() {
    let engine = Engine::start(|command| match command.parts[1].ends_with('f') {
        _ if command.parts[1].ends_with('e') => Reply::Hold,
        true => Reply::Word("crashed"),
        false => Reply::Pages(vec!["a\tb\tc\n".into()]),
    });
    let program = Program::with_operators(&[("s-1", engine.address)], None, SETTINGS);
    let admin = program.operators.expect("an address");
    assert_eq!(call(admin, "GET", "/admin/health", "").0, 200);
    let names = ["results.lane-rate.succeeded", "results.tariff-load.declined", "forwards", "outstanding"];
    assert!(names.iter().all(|n| metric(admin, n) == 0), "counts start at 0");
    let mut client = RawClient::connect(program.platform);
    (1..=7).for_each(|req| assert_eq!(rows(&client.ask(&sql(req))).len(), 1));
    // A request that cannot be served in time is rejected at once.
    let heavy = sql(8).replace("ms=5", "ms=600000");
    assert_eq!(error_fields(&client.ask(&heavy))[0], "53400");
    assert_eq!(metric(admin, "results.lane-rate.succeeded"), 7);
    assert_eq!(metric(admin, "results.lane-rate.declined"), 1);
    assert_eq!(metric(admin, "forwards"), 7);
    // A client that cancels its request gets an error; the request of a client that leaves is counted as
    // abandoned.
    let aborted = metric(admin, "results.lane-rate.aborted");
    let mut other = RawClient::connect(program.platform);
    other.send(&query(&sql(14)));
    engine.wait_for("do", 8);
    other.cancel(program.platform);
    assert_eq!(error_fields(&other.until_ready())[0], "57014");
    assert_eq!(metric(admin, "results.lane-rate.aborted"), aborted + 1);
    other.send(&query(&sql(30)));
    engine.wait_for("do", 9);
    drop(other);
    wait_until(|| (metric(admin, "abandoned") == 1).then_some(()));
    // The engine fails each attempt; the class allows six.
    assert_eq!(error_fields(&client.ask(&sql(15)))[0].len(), 5);
    let attempts = engine.received("do").len() as u64;
    assert_eq!(metric(admin, "forwards"), attempts);
    let failures = ["declined", "aborted"].map(|e| metric(admin, &format!("results.lane-rate.{e}")));
    assert_eq!(failures.iter().sum::<u64>(), 3);
    assert_eq!((metric(admin, "outstanding"), metric(admin, "discovered")), (0, 1));
}

#[test]
fn cordoned_engine_gets_no_requests_until_uncordoned() {
    let (cordoned, other) = (Engine::echo(), Engine::echo());
    let feed = Feed::start();
    let program =
        Program::with_operators(&[("s-1", cordoned.address), ("s-2", other.address)], Some(&feed), SETTINGS);
    let admin = program.operators.expect("an address");
    assert_eq!(
        call(admin, "POST", "/admin/cordon", &target_body("s-9")).0,
        404,
        "the engine was never listed"
    );
    assert_eq!(call(admin, "POST", "/admin/uncordon", &target_body("s-9")).0, 404);
    assert_eq!(call(admin, "POST", "/admin/cordon", "{").0, 400);
    for _ in 0..3 {
        assert_eq!(
            call(admin, "POST", "/admin/cordon", &target_body("s-1")).0,
            200,
            "a cordon may be repeated"
        );
    }
    assert_eq!((metric(admin, "discovered"), metric(admin, "ejected")), (2, 1));
    // List events remove the engine and add it again, then a complete list follows.
    let (id, address) = ("s-1", cordoned.address);
    let events = [(false, "draining"), (false, "gone"), (false, "ready"), (true, "ready")];
    let mut client = RawClient::connect(program.platform);
    let mut req = 0;
    let mut send_requests = |count: u64| {
        for _ in 0..count {
            req += 1;
            assert_eq!(rows(&client.ask(&sql(req))).len(), 1);
        }
    };
    for (i, (complete, phase)) in events.into_iter().enumerate() {
        let listed = [(id, address, phase), ("s-2", other.address, "ready")];
        feed.send(list_event(i + 2, complete, &listed[..1 + usize::from(complete)]));
        let expected = format!("engine_id=s-1 phase={}", phase[..1].to_uppercase() + &phase[1..]);
        program.wait_line(&expected);
        send_requests(20);
    }
    assert_eq!(cordoned.received("do").len(), 0);
    assert_eq!(
        call(admin, "POST", "/admin/uncordon", &target_body("s-1")).0,
        200,
        "one uncordon ends repeated cordons"
    );
    assert_eq!(metric(admin, "ejected"), 0);
    wait_until(|| {
        send_requests(5);
        (!cordoned.received("do").is_empty()).then_some(())
    });
}

/// Malformed and hostile calls affect neither sessions nor other operators, who must get an answer within a
/// second.
#[test]
fn malformed_admin_calls_affect_neither_operators_nor_clients() {
    let engine = Engine::echo();
    let program = Program::with_operators(&[("s-1", engine.address)], None, SETTINGS);
    let admin = program.operators.expect("an address");
    let malformed_calls: [&[u8]; 6] = [
        b"",
        b"GET /admin/he",
        b"POST /admin/cordon HTTP/1.1\r\nContent-Length: 4000\r\n\r\n{\"target\":",
        b"\x16\x03\x01garbage\0\xff\r\n\r\n",
        b"DELETE /admin/health HTTP/1.1\r\nHost: wm\r\n\r\n",
        b"POST /admin/cordon HTTP/1.1\r\nHost: wm\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n{",
    ];
    let open_malformed = |i: usize| {
        let mut stream = TcpStream::connect(admin).expect("connected");
        stream.write_all(malformed_calls[i % malformed_calls.len()]).expect("written");
        stream
    };
    let mut held: Vec<TcpStream> = (0..48).map(open_malformed).collect();
    let mut client = RawClient::connect(program.platform);
    let started_at = Instant::now();
    let mut slowest = Duration::ZERO;
    for req in 1..=100 {
        assert_eq!(rows(&client.ask(&sql(req))).len(), 1);
        let called_at = Instant::now();
        assert_eq!(call(admin, "GET", "/admin/health", "").0, 200);
        slowest = slowest.max(called_at.elapsed());
        held.push(open_malformed(req as usize));
    }
    assert!(slowest < Duration::from_secs(10), "{slowest:?} of {:?}", started_at.elapsed());
    assert_eq!(metric(admin, "results.lane-rate.succeeded"), 100);
    let long_path = format!("/admin/{}", "x".repeat(20_000));
    assert!([414, 431, 400].contains(&call(admin, "GET", &long_path, "").0));
    assert_eq!(call(admin, "GET", "/admin/nothing", "").0, 404);
    assert_eq!(call(admin, "POST", "/admin/health", "").0, 405);
}

/// Callers that disconnect at once, within a call, or before their answer affect neither other calls nor
/// sessions, and leave no open descriptor.
#[test]
fn aborted_admin_calls_leave_no_state() {
    let engine = Engine::echo();
    let mut program = Program::with_operators(&[("s-1", engine.address)], None, SETTINGS);
    let admin = program.operators.expect("an address");
    let mut client = RawClient::connect(program.platform);
    assert_eq!(rows(&client.ask(&sql(1))).len(), 1);
    let before = resource_limits::descriptors(program.id());
    let inputs: [&[u8]; 5] = [
        b"",
        b"GET /admin/st",
        b"GET /admin/stats HTTP/1.1\r\nHost: wm\r\n\r\n",
        b"POST /admin/cordon HTTP/1.1\r\nHost: wm\r\nContent-Length: 4096\r\n\r\n{",
        &[0xff; 16 * 1024],
    ];
    for req in 2..=200 {
        let mut caller = TcpStream::connect(admin).expect("connected");
        // The connection may already have been closed in favour of another call.
        let _ = caller.write_all(inputs[req as usize % inputs.len()]);
        drop(caller);
        if req % 20 == 0 {
            assert_eq!(call(admin, "GET", "/admin/health", "").0, 200);
            assert_eq!(rows(&client.ask(&sql(req))).len(), 1);
        }
    }
    wait_until(|| (resource_limits::descriptors(program.id()) <= before + 1).then_some(()));
    assert_eq!(call(admin, "GET", "/admin/health", "").0, 200);
    assert!(program.is_running());
}
