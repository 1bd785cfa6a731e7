//! Records the runs that the cases in `captures/` are cut from: the program with timed stand-in engines, in
//! real time. The tests are ignored by default. `cargo test --release --test record_cases -- --ignored
//! --nocapture --test-threads 1` writes one folder per run under `target/cases/`, and prints the time around
//! which a case is cut.
mod support;

use std::path::Path;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use support::timed_engine::{lookup_sql, TimedEngine, BUSY};
use support::*;

/// Number of sessions that send requests; further requests wait until a session is free.
const SESSIONS: usize = 96;

struct Run {
    engines: Vec<TimedEngine>,
    feed: Feed,
    program: Program,
    /// Queue of requests: id and work in milliseconds.
    requests: SyncSender<(u64, u64)>,
    next_id: AtomicU64,
    served: Arc<AtomicUsize>,
    started_at: Instant,
    dir: std::path::PathBuf,
}

impl Run {
    fn start(name: &str, engines: usize) -> Run {
        let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("target/cases").join(name);
        let _ = std::fs::remove_dir_all(&dir);
        let engines: Vec<TimedEngine> = (0..engines).map(|_| TimedEngine::start()).collect();
        let ids: Vec<String> = (1..=engines.len()).map(|n| format!("s-{n}")).collect();
        let engines_by_id: Vec<(&str, std::net::SocketAddr)> =
            ids.iter().map(String::as_str).zip(engines.iter().map(|e| e.address)).collect();
        let feed = Feed::start();
        let ready: Vec<_> = engines_by_id.iter().map(|(id, address)| (*id, *address, "ready")).collect();
        feed.send(list_event(1, true, &ready));
        let args = ["--capture", dir.to_str().expect("text")];
        let program = Program::launch(&engines_by_id, Some(&feed), None, (192, 1024), BUSY, &args);
        let (requests, queue) = sync_channel::<(u64, u64)>(10_000);
        let (queue, served) = (Arc::new(Mutex::new(queue)), Arc::<AtomicUsize>::default());
        for _ in 0..SESSIONS {
            let (queue, served, to) = (Arc::clone(&queue), Arc::clone(&served), program.platform);
            thread::spawn(move || {
                let mut client = RawClient::connect(to);
                loop {
                    let next = queue.lock().expect("unpoisoned").recv();
                    let Ok((id, ms)) = next else { return };
                    let answer = client.ask(&lookup_sql(id, ms));
                    served.fetch_add(usize::from(!rows(&answer).is_empty()), Ordering::SeqCst);
                }
            });
        }
        let (next_id, started_at) = (AtomicU64::new(1), Instant::now());
        Run { engines, feed, program, requests, next_id, served, started_at, dir }
    }

    /// Queues one request with 160 to 330 ms of work.
    fn send_request(&self) {
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        self.requests.send((id, 160 + id * 7919 % 170)).expect("queued");
    }

    /// Sends `rate` requests per second at an even pace for `seconds`.
    fn load(&self, rate: u64, seconds: f64) {
        let start = Instant::now();
        for n in 0..(rate as f64 * seconds) as u64 {
            let due = Duration::from_micros(n * 1_000_000 / rate);
            thread::sleep(due.saturating_sub(start.elapsed()));
            self.send_request();
        }
    }

    /// Prints the time of an event, around which a case is cut.
    fn print_moment(&self, event: &str) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs_f64();
        println!(
            "{}: {event} at {unix:.6}, {:.2} s after the start",
            self.dir.display(),
            self.started_at.elapsed().as_secs_f64()
        );
    }

    fn end(mut self) {
        thread::sleep(Duration::from_secs(2));
        println!(
            "{} sent, {} served",
            self.next_id.load(Ordering::SeqCst) - 1,
            self.served.load(Ordering::SeqCst)
        );
        self.program.terminate();
        assert_eq!(self.program.wait_for_exit(), Some(0));
    }
}

/// One of five engines suddenly becomes six times slower, under a load that the others can serve.
#[test]
#[ignore = "records a run in real time"]
fn one_of_five_engines_slows() {
    let run = Run::start("a-fifth-slows", 5);
    run.load(90, 5.0);
    run.print_moment("engine s-2 slows");
    run.engines[1].set_slowdown(6.0);
    run.load(90, 8.0);
    run.engines[1].set_slowdown(1.0);
    run.load(90, 5.0);
    run.end();
}

/// An engine drains under load. Requests arrive every 0.25 ms from 15 ms before to 15 ms after the end of the
/// drain grace period, the 0.5 s after the notice in which requests may still be sent to the engine.
#[test]
#[ignore = "records a run in real time"]
fn requests_arrive_around_the_end_of_a_drain_grace_period() {
    let run = Run::start("drain-edge", 4);
    run.load(90, 4.0);
    let address = run.engines[2].address;
    run.print_moment("engine s-3 drains");
    run.feed.send(list_event(2, false, &[("s-3", address, "draining")]));
    run.program.wait_line("engine_id=s-3 phase=Draining");
    let drained_at = Instant::now();
    run.load(90, 0.46);
    while drained_at.elapsed() < Duration::from_millis(485) {
        thread::sleep(Duration::from_micros(200));
    }
    for n in 0..120_u64 {
        let due = Duration::from_micros(485_000 + n * 250);
        while drained_at.elapsed() < due {
            std::hint::spin_loop();
        }
        run.send_request();
    }
    run.load(60, 2.0);
    run.end();
}

/// An engine's process dies under load, and the feed lists it as gone a second later.
#[test]
#[ignore = "records a run in real time"]
fn engine_dies() {
    let run = Run::start("engine-dies", 4);
    run.load(100, 4.0);
    run.print_moment("engine s-1 dies");
    run.engines[0].crash();
    run.load(100, 1.0);
    run.feed.send(list_event(2, false, &[("s-1", run.engines[0].address, "gone")]));
    run.load(100, 4.0);
    run.end();
}

/// Connections to every engine break repeatedly: many more attempts fail than the retry budget allows
/// retries.
#[test]
#[ignore = "records a run in real time"]
fn connections_break() {
    let run = Run::start("connections-break", 4);
    run.load(100, 5.5);
    run.print_moment("connections begin to break");
    for n in 0..24 {
        run.load(100, 0.25);
        run.engines[n % 4].close_connections();
    }
    run.load(100, 2.0);
    run.end();
}

/// For three seconds the load is four times the engines' capacity.
#[test]
#[ignore = "records a run in real time"]
fn burst_above_capacity() {
    let run = Run::start("burst", 2);
    run.load(60, 3.0);
    run.print_moment("the burst begins");
    run.load(600, 3.0);
    run.load(60, 3.0);
    run.end();
}
