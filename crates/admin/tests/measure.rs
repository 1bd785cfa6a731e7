//! Measures the cost of the admin address. Run by hand:
//! `cargo test --release -p sprucelink-admin --test measure -- --ignored --nocapture`

mod common;

use common::*;
use std::collections::VecDeque;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Processor time that the serving threads have used so far.
fn serving_cpu_time() -> Duration {
    let tasks = std::fs::read_dir("/proc/self/task").unwrap().flatten().map(|t| t.path());
    let is_serving = |task: &std::path::PathBuf| {
        std::fs::read_to_string(task.join("comm")).unwrap().trim() == SERVING_THREAD
    };
    let cpu_nanos = |task: std::path::PathBuf| -> u64 {
        let schedstat = std::fs::read_to_string(task.join("schedstat")).unwrap();
        schedstat.split(' ').next().unwrap().parse().unwrap()
    };
    Duration::from_nanos(tasks.filter(is_serving).map(cpu_nanos).sum())
}

/// Sends requests for `duration`, pausing for `gap` after each; returns their number, and the median and the
/// longest latency.
fn measure_requests(address: SocketAddr, duration: Duration, gap: Duration) -> (usize, Duration, Duration) {
    let (begin, mut latencies) = (Instant::now(), Vec::new());
    while begin.elapsed() < duration {
        let start = Instant::now();
        assert_eq!(get(address, "/admin/stats").status, 200);
        latencies.push(start.elapsed());
        std::thread::sleep(gap);
    }
    latencies.sort();
    (latencies.len(), latencies[latencies.len() / 2], latencies[latencies.len() - 1])
}

/// Connects clients that write `bytes` and stay connected, `rate` per second, until `is_over` or up to
/// `max_connections`; returns their number.
fn flood(address: SocketAddr, bytes: &[u8], rate: f64, max_connections: u32, is_over: &AtomicBool) -> u32 {
    let (begin, mut open, mut connected) = (Instant::now(), VecDeque::<TcpStream>::new(), 0);
    while !is_over.load(Ordering::Relaxed) {
        if connected == max_connections {
            std::thread::sleep(Duration::from_millis(5));
            continue;
        }
        let mut client = connect(address);
        let _ = client.write_all(bytes);
        open.push_back(client);
        connected += 1;
        if open.len() > 1_000 {
            open.pop_front();
        }
        let due = Duration::from_secs_f64(f64::from(connected) / rate);
        std::thread::sleep(due.saturating_sub(begin.elapsed()));
    }
    connected
}

#[test]
#[ignore = "a measurement"]
fn cost_of_requests_and_of_a_flood() {
    let address = start_with_default_limits();
    let duration = Duration::from_secs(3);
    let before = serving_cpu_time();
    let (requests, median, longest) = measure_requests(address, duration, Duration::ZERO);
    let cpu_per_request = (serving_cpu_time() - before) / requests as u32;
    println!(
        "no flood: {} requests/s, {cpu_per_request:?} of processor time each, median {median:?}, longest {longest:?}",
        requests / 3
    );
    let partial_request = b"GET /admin/hea";
    let floods: [(&str, &[u8], f64, u32); 7] = [
        ("100 silent at once", b"", f64::MAX, 100),
        ("300 silent at once", b"", f64::MAX, 300),
        ("600 with a partial request at once", partial_request, f64::MAX, 600),
        ("300 per second, silent", b"", 300.0, u32::MAX),
        ("300 per second, partial request", partial_request, 300.0, u32::MAX),
        ("300 per second, malformed", b"\x16\x03\x01\r\n\r\n", 300.0, u32::MAX),
        ("as fast as they can, silent", b"", f64::MAX, u32::MAX),
    ];
    for (description, bytes, rate, max_connections) in floods {
        let (address, is_over) = (start_with_default_limits(), AtomicBool::new(false));
        let before = serving_cpu_time();
        std::thread::scope(|s| {
            let flooding = s.spawn(|| flood(address, bytes, rate, max_connections, &is_over));
            let (requests, median, longest) = measure_requests(address, duration, Duration::from_millis(20));
            is_over.store(true, Ordering::Relaxed);
            let connected = flooding.join().unwrap();
            let cores = (serving_cpu_time() - before).as_secs_f64() / duration.as_secs_f64();
            println!("{description}: {connected} connected, {cores:.3} cores; {requests} requests, median {median:?}, longest {longest:?}");
        });
    }
}
