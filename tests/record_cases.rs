//! Records the runs that the cases in `captures/` are cut from: the program against timed stand-ins, in real time.
//! Not part of the suite: `cargo test --release --test record_cases -- --ignored --nocapture --test-threads 1`
//! leaves one folder a run under `target/cases/`, and says the moment to cut around.
mod support;

use std::path::Path;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use support::timed_engine::{lookup_sql, TimedEngine, BUSY};
use support::*;

/// Sessions that ask; more requests at a time wait for one of them.
const SESSIONS: usize = 96;

struct Run {
    engines: Vec<TimedEngine>,
    feed: Feed,
    program: Program,
    asks: SyncSender<(u64, u64)>,
    next: AtomicU64,
    served: Arc<AtomicUsize>,
    began: Instant,
    dir: std::path::PathBuf,
}

impl Run {
    fn start(name: &str, engines: usize) -> Run {
        let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("target/cases").join(name);
        let _ = std::fs::remove_dir_all(&dir);
        let engines: Vec<TimedEngine> = (0..engines).map(|_| TimedEngine::start()).collect();
        let ids: Vec<String> = (1..=engines.len()).map(|n| format!("s-{n}")).collect();
        let named: Vec<(&str, std::net::SocketAddr)> =
            ids.iter().map(String::as_str).zip(engines.iter().map(|e| e.address)).collect();
        let feed = Feed::start();
        let ready: Vec<_> = named.iter().map(|(id, at)| (*id, *at, "ready")).collect();
        feed.send(list(1, true, &ready));
        let more = ["--capture", dir.to_str().expect("text")];
        let program = Program::launch(&named, Some(&feed), None, (192, 1024), BUSY, &more);
        let (asks, asked) = sync_channel::<(u64, u64)>(10_000);
        let (asked, served) = (Arc::new(Mutex::new(asked)), Arc::<AtomicUsize>::default());
        for _ in 0..SESSIONS {
            let (asked, served, to) = (Arc::clone(&asked), Arc::clone(&served), program.platform);
            thread::spawn(move || {
                let mut raw = RawClient::connect(to);
                loop {
                    let next = asked.lock().expect("unpoisoned").recv();
                    let Ok((id, ms)) = next else { return };
                    let got = raw.ask(&lookup_sql(id, ms));
                    served.fetch_add(usize::from(!rows(&got).is_empty()), Ordering::SeqCst);
                }
            });
        }
        let (next, began) = (AtomicU64::new(1), Instant::now());
        Run { engines, feed, program, asks, next, served, began, dir }
    }

    /// One request, of work between 160 and 330 ms.
    fn ask(&self) {
        let id = self.next.fetch_add(1, Ordering::SeqCst);
        self.asks.send((id, 160 + id * 7919 % 170)).expect("taken");
    }

    /// Requests at an even pace, so many a second, for so long.
    fn load(&self, rate: u64, secs: f64) {
        let start = Instant::now();
        for n in 0..(rate as f64 * secs) as u64 {
            let due = Duration::from_micros(n * 1_000_000 / rate);
            thread::sleep(due.saturating_sub(start.elapsed()));
            self.ask();
        }
    }

    fn moment(&self, what: &str) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs_f64();
        println!(
            "{}: {what} at {unix:.6}, {:.2} s in",
            self.dir.display(),
            self.began.elapsed().as_secs_f64()
        );
    }

    fn end(mut self) {
        thread::sleep(Duration::from_secs(2));
        println!(
            "{} asked, {} served",
            self.next.load(Ordering::SeqCst) - 1,
            self.served.load(Ordering::SeqCst)
        );
        self.program.terminate();
        assert_eq!(self.program.wait_for_exit(), Some(0));
    }
}

/// A fifth of the engines slows at once: one of five, six times, under a load that the others can carry.
#[test]
#[ignore = "records a run in real time"]
fn a_fifth_slows() {
    let run = Run::start("a-fifth-slows", 5);
    run.load(90, 5.0);
    run.moment("engine s-2 slows");
    run.engines[1].set_slowdown(6.0);
    run.load(90, 8.0);
    run.engines[1].set_slowdown(1.0);
    run.load(90, 5.0);
    run.end();
}

/// An engine drains under load, and requests come every quarter of a millisecond around the end of its grace.
#[test]
#[ignore = "records a run in real time"]
fn a_drain_and_what_comes_at_the_end_of_its_grace() {
    let run = Run::start("drain-edge", 4);
    run.load(90, 4.0);
    let at = run.engines[2].address;
    run.moment("engine s-3 drains");
    run.feed.send(list(2, false, &[("s-3", at, "draining")]));
    run.program.wait_line("engine_id=s-3 phase=Draining");
    let told = Instant::now();
    run.load(90, 0.46);
    while told.elapsed() < Duration::from_millis(485) {
        thread::sleep(Duration::from_micros(200));
    }
    for n in 0..120_u64 {
        let due = Duration::from_micros(485_000 + n * 250);
        while told.elapsed() < due {
            std::hint::spin_loop();
        }
        run.ask();
    }
    run.load(60, 2.0);
    run.end();
}

/// An engine's process dies under load and the feed says so a second later.
#[test]
#[ignore = "records a run in real time"]
fn an_engine_dies() {
    let run = Run::start("engine-dies", 4);
    run.load(100, 4.0);
    run.moment("engine s-1 dies");
    run.engines[0].crash();
    run.load(100, 1.0);
    run.feed.send(list(2, false, &[("s-1", run.engines[0].address, "gone")]));
    run.load(100, 4.0);
    run.end();
}

/// Every engine's connections break again and again: many more further attempts are wanted than the ration has.
#[test]
#[ignore = "records a run in real time"]
fn connections_break() {
    let run = Run::start("connections-break", 4);
    run.load(100, 5.5);
    run.moment("connections begin to break");
    for n in 0..24 {
        run.load(100, 0.25);
        run.engines[n % 4].close_connections();
    }
    run.load(100, 2.0);
    run.end();
}

/// Four times what the engines can do comes for three seconds.
#[test]
#[ignore = "records a run in real time"]
fn a_burst() {
    let run = Run::start("burst", 2);
    run.load(60, 3.0);
    run.moment("the burst begins");
    run.load(600, 3.0);
    run.load(60, 3.0);
    run.end();
}
