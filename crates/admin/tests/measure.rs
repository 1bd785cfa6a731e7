//! What the admin address costs. Run by hand:
//! `cargo test --release -p sprucelink-admin --test measure -- --ignored --nocapture`

mod common;

use common::*;
use std::collections::VecDeque;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Processor time of the serving threads so far.
fn serving_cpu_time() -> Duration {
    let tasks = std::fs::read_dir("/proc/self/task").unwrap().flatten().map(|t| t.path());
    let serving =
        |t: &std::path::PathBuf| std::fs::read_to_string(t.join("comm")).unwrap().trim() == SERVING_THREAD;
    let on = |task: std::path::PathBuf| -> u64 {
        let schedstat = std::fs::read_to_string(task.join("schedstat")).unwrap();
        schedstat.split(' ').next().unwrap().parse().unwrap()
    };
    Duration::from_nanos(tasks.filter(serving).map(on).sum())
}

/// Sends requests for this time, one every `gap`: their number, and the median and the longest latency.
fn measure_requests(at: SocketAddr, time: Duration, gap: Duration) -> (usize, Duration, Duration) {
    let (begin, mut latencies) = (Instant::now(), Vec::new());
    while begin.elapsed() < time {
        let start = Instant::now();
        assert_eq!(get(at, "/admin/stats").status, 200);
        latencies.push(start.elapsed());
        std::thread::sleep(gap);
    }
    latencies.sort();
    (latencies.len(), latencies[latencies.len() / 2], latencies[latencies.len() - 1])
}

/// Connects clients that write `bytes` and stay, `rate` a second, until `is_over` or at the maximum; returns their number.
fn flood(at: SocketAddr, bytes: &[u8], rate: f64, max_connections: u32, is_over: &AtomicBool) -> u32 {
    let (begin, mut open, mut n) = (Instant::now(), VecDeque::<TcpStream>::new(), 0);
    while !is_over.load(Ordering::Relaxed) {
        if n == max_connections {
            std::thread::sleep(Duration::from_millis(5));
            continue;
        }
        let mut client = connect(at);
        let _ = client.write_all(bytes);
        open.push_back(client);
        n += 1;
        if open.len() > 1_000 {
            open.pop_front();
        }
        let due = Duration::from_secs_f64(f64::from(n) / rate);
        std::thread::sleep(due.saturating_sub(begin.elapsed()));
    }
    n
}

#[test]
#[ignore = "a measurement"]
fn cost_of_calls_and_of_a_flood() {
    let at = start_with_default_limits();
    let time = Duration::from_secs(3);
    let before = serving_cpu_time();
    let (calls, median, longest) = measure_requests(at, time, Duration::ZERO);
    let each = (serving_cpu_time() - before) / calls as u32;
    println!(
        "alone: {} calls/s, each {each:?} of the loop's processor, median {median:?}, longest {longest:?}",
        calls / 3
    );
    let partial_request = b"GET /admin/hea";
    let floods: [(&str, &[u8], f64, u32); 7] = [
        ("100 silent at once", b"", f64::MAX, 100),
        ("300 silent at once", b"", f64::MAX, 300),
        ("600 with half a call at once", partial_request, f64::MAX, 600),
        ("300 a second, silent", b"", 300.0, u32::MAX),
        ("300 a second, half a call", partial_request, 300.0, u32::MAX),
        ("300 a second, garbage", b"\x16\x03\x01\r\n\r\n", 300.0, u32::MAX),
        ("as fast as they can, silent", b"", f64::MAX, u32::MAX),
    ];
    for (what, bytes, rate, max_connections) in floods {
        let (at, is_over) = (start_with_default_limits(), AtomicBool::new(false));
        let before = serving_cpu_time();
        std::thread::scope(|s| {
            let flooding = s.spawn(|| flood(at, bytes, rate, max_connections, &is_over));
            let (calls, median, longest) = measure_requests(at, time, Duration::from_millis(20));
            is_over.store(true, Ordering::Relaxed);
            let connected = flooding.join().unwrap();
            let share = (serving_cpu_time() - before).as_secs_f64() / time.as_secs_f64();
            println!("{what}: {connected} came, {share:.3} of a core; {calls} good calls, median {median:?}, longest {longest:?}");
        });
    }
}
