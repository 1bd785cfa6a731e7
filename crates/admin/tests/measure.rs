//! What the operators' address costs. By hand:
//! `cargo test --release -p sprucelink-admin --test measure -- --ignored --nocapture`

mod common;

use common::*;
use std::collections::VecDeque;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Processor time of the serving threads so far.
fn spent() -> Duration {
    let tasks = std::fs::read_dir("/proc/self/task").unwrap().flatten().map(|t| t.path());
    let serving = |t: &std::path::PathBuf| std::fs::read_to_string(t.join("comm")).unwrap().trim() == THREAD;
    let on = |task: std::path::PathBuf| -> u64 {
        let schedstat = std::fs::read_to_string(task.join("schedstat")).unwrap();
        schedstat.split(' ').next().unwrap().parse().unwrap()
    };
    Duration::from_nanos(tasks.filter(serving).map(on).sum())
}

/// Good calls, one every `gap`, for so long: how many, the median and the longest.
fn good(at: SocketAddr, time: Duration, gap: Duration) -> (usize, Duration, Duration) {
    let (begin, mut took) = (Instant::now(), Vec::new());
    while begin.elapsed() < time {
        let start = Instant::now();
        assert_eq!(get(at, "/admin/stats").status, 200);
        took.push(start.elapsed());
        std::thread::sleep(gap);
    }
    took.sort();
    (took.len(), took[took.len() / 2], took[took.len() - 1])
}

/// Callers that write `bytes` and stay, `rate` a second, until `over` or so many came; how many came.
fn flood(at: SocketAddr, bytes: &[u8], rate: f64, most: u32, over: &AtomicBool) -> u32 {
    let (begin, mut kept, mut n) = (Instant::now(), VecDeque::<TcpStream>::new(), 0);
    while !over.load(Ordering::Relaxed) {
        if n == most {
            std::thread::sleep(Duration::from_millis(5));
            continue;
        }
        let mut caller = connect(at);
        let _ = caller.write_all(bytes);
        kept.push_back(caller);
        n += 1;
        if kept.len() > 1_000 {
            kept.pop_front();
        }
        let due = Duration::from_secs_f64(f64::from(n) / rate);
        std::thread::sleep(due.saturating_sub(begin.elapsed()));
    }
    n
}

#[test]
#[ignore = "a measurement"]
fn cost_of_calls_and_of_a_flood() {
    let at = start_plain();
    let time = Duration::from_secs(3);
    let before = spent();
    let (calls, median, longest) = good(at, time, Duration::ZERO);
    let each = (spent() - before) / calls as u32;
    println!(
        "alone: {} calls/s, each {each:?} of the loop's processor, median {median:?}, longest {longest:?}",
        calls / 3
    );
    let half = b"GET /admin/hea";
    let floods: [(&str, &[u8], f64, u32); 7] = [
        ("100 silent at once", b"", f64::MAX, 100),
        ("300 silent at once", b"", f64::MAX, 300),
        ("600 with half a call at once", half, f64::MAX, 600),
        ("300 a second, silent", b"", 300.0, u32::MAX),
        ("300 a second, half a call", half, 300.0, u32::MAX),
        ("300 a second, garbage", b"\x16\x03\x01\r\n\r\n", 300.0, u32::MAX),
        ("as fast as they can, silent", b"", f64::MAX, u32::MAX),
    ];
    for (what, bytes, rate, most) in floods {
        let (at, over) = (start_plain(), AtomicBool::new(false));
        let before = spent();
        std::thread::scope(|s| {
            let flooding = s.spawn(|| flood(at, bytes, rate, most, &over));
            let (calls, median, longest) = good(at, time, Duration::from_millis(20));
            over.store(true, Ordering::Relaxed);
            let came = flooding.join().unwrap();
            let share = (spent() - before).as_secs_f64() / time.as_secs_f64();
            println!("{what}: {came} came, {share:.3} of a core; {calls} good calls, median {median:?}, longest {longest:?}");
        });
    }
}
