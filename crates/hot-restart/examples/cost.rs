//! Measures the cost of hot-restart state files in a folder:
//! `cargo run --release -p sprucelink-hot-restart --example cost -- /dev/shm`.
//!
//! Prints medians of many runs, for a typical snapshot (80 engines, 3 cordons) and for one at its bounds.

use sprucelink_cordon::{CordonLimits, CordonRequest, CordonState, Target};
use sprucelink_hot_restart::{
    DiskFolder, Instance, StateFileDriver, StateSnapshot, TimeDelta, Timestamp, WindowCounters,
    MAX_WARMING_ENGINES,
};
use sprucelink_request_ids::{RequestIds, MAX_RECORDS};
use std::hint::black_box;
use std::path::Path;
use std::time::Instant;

/// Number of runs of each measurement.
const RUNS: usize = 2_000;

/// Median time of [`RUNS`] runs, in microseconds; the closure receives the index of the run.
fn median_us(mut run: impl FnMut(i64)) -> f64 {
    let mut times_us = Vec::with_capacity(RUNS);
    for index in 0..RUNS as i64 {
        let started_at = Instant::now();
        run(index);
        times_us.push(started_at.elapsed().as_secs_f64() * 1e6);
    }
    times_us.sort_unstable_by(f64::total_cmp);
    times_us[RUNS / 2]
}

fn cordon_state(engines: usize, cordons: usize, now: Timestamp) -> CordonState {
    let mut state = CordonState::new(CordonLimits::default());
    for i in 0..engines {
        state.mark_listed(&format!("s-{i:08x}"));
    }
    for i in 0..cordons {
        let target = Target::Engine(format!("s-{i:08x}"));
        state.cordon(now, &target, CordonRequest::Operator, "restart for a disk swap").expect("listed");
    }
    state
}

fn snapshot(state: &CordonState, counters: &WindowCounters, now: Timestamp) -> StateSnapshot {
    StateSnapshot {
        cordons: state.export_records(),
        known_ids: state.export_known_ids(usize::MAX),
        retry_budget: counters.retry_budget(now),
        warmup: counters.warmup(now),
        last_event: 1,
        ..StateSnapshot::default()
    }
}

/// A size of the state to measure.
struct StateSize {
    name: &'static str,
    engines: usize,
    cordons: usize,
    warming_engines: usize,
}

/// A typical state, and one at its bounds.
const STATE_SIZES: [StateSize; 2] = [
    StateSize { name: "usual", engines: 80, cordons: 3, warming_engines: 8 },
    StateSize {
        name: "at its bounds",
        engines: 16_384,
        cordons: 1_024,
        warming_engines: MAX_WARMING_ENGINES,
    },
];
/// Time of the first write.
const START: Timestamp = Timestamp::from_secs(1_700_000_000);
/// Time before [`START`] in which events are counted, in milliseconds.
const COUNTED_MS: i64 = 5_000;
/// Rate at which a process writes its own file, per second.
const WRITES_PER_SECOND: f64 = 4.0;
/// Rate at which a process scans the files of other processes, per second.
const SCANS_PER_SECOND: f64 = 10.0;
/// Rate at which two processes exchange request ids, if there are new ones all the time.
const EXCHANGES_PER_SECOND: f64 = 50.0;
/// Number of lookups in one run, so that a run is long enough to be measured.
const LOOKUPS_PER_RUN: usize = 1_000;

fn at_ms(millis: i64) -> Timestamp {
    START + TimeDelta::from_millis(millis)
}

fn counters(warming_engines: usize) -> WindowCounters {
    let mut counters = WindowCounters::new(TimeDelta::from_secs(5), TimeDelta::from_secs(4));
    for millis in (0..COUNTED_MS).step_by(10) {
        let engine = millis as usize / 10 % warming_engines;
        counters.count_admitted(at_ms(millis - COUNTED_MS));
        counters.count_warmup(at_ms(millis - COUNTED_MS), &format!("s-{engine:08x}"), 40);
    }
    counters
}

/// Median time of a scan that finds a new file, in microseconds; the write before each scan is not measured.
fn median_new_file_scan_us(
    writer: &mut StateFileDriver<DiskFolder>,
    reader: &mut StateFileDriver<DiskFolder>,
    snapshot: &StateSnapshot,
) -> f64 {
    let mut times_us = Vec::with_capacity(RUNS);
    for run in 0..RUNS as i64 {
        let now = at_ms(10_000 + run);
        writer.write(now, snapshot.clone()).expect("written");
        let started_at = Instant::now();
        assert_eq!(reader.scan(now).files.len(), 1);
        times_us.push(started_at.elapsed().as_secs_f64() * 1e6);
    }
    times_us.sort_unstable_by(f64::total_cmp);
    times_us[RUNS / 2]
}

fn measure(size: &StateSize, directory: &Path) {
    let folder = DiskFolder::new(directory);
    let instance = Instance { name: "n3".into(), listen: "127.0.0.1:7001".into() };
    let build = "sprucelink 0.1.0";
    let state = cordon_state(size.engines, size.cordons, START);
    let counters = counters(size.warming_engines);
    let (mut writer, _) = StateFileDriver::open(folder.clone(), instance.clone(), build, 1, START);
    let (mut reader, _) = StateFileDriver::open(folder, instance, build, 2, at_ms(1));
    let full_snapshot = snapshot(&state, &counters, START);
    let bytes = writer.write(START, full_snapshot.clone()).expect("written").bytes;
    let gather_us = median_us(|_| _ = black_box(snapshot(&state, &counters, START)));
    let write_us = median_us(|run| _ = writer.write(at_ms(run), full_snapshot.clone()).expect("written"));
    // Overwrites a file of the same size, neither atomically nor with a checksum: the minimum cost of writing
    // a file.
    let raw_bytes = vec![7_u8; bytes];
    let raw_path = directory.join("raw");
    let raw_write_us = median_us(|_| std::fs::write(&raw_path, &raw_bytes).expect("written"));
    let idle_scan_us = median_us(|run| _ = black_box(reader.scan(at_ms(run))));
    let new_file_scan_us = median_new_file_scan_us(&mut writer, &mut reader, &full_snapshot);
    let merge_us = median_us(|_| {
        let mut other = CordonState::new(CordonLimits::default());
        other.merge_records(START, &full_snapshot.cordons);
        black_box(&other);
    });
    let last_engine = format!("s-{:08x}", size.engines - 1);
    let lookups_us = median_us(|_| {
        for _ in 0..LOOKUPS_PER_RUN {
            black_box(state.is_engine_cordoned(black_box(&last_engine)));
        }
    });
    let alone_us_per_s = (gather_us + write_us) * WRITES_PER_SECOND + idle_scan_us * SCANS_PER_SECOND;
    let beside_us_per_s = alone_us_per_s + (new_file_scan_us - idle_scan_us + merge_us) * WRITES_PER_SECOND;
    println!(
        "{}: {bytes} bytes, {} ids, {} cordons, {} warming engines",
        size.name, size.engines, size.cordons, size.warming_engines
    );
    println!("  snapshot taken      {gather_us:9.1} us");
    println!(
        "  written             {write_us:9.1} us, {:.1} times a plain write ({raw_write_us:.1} us)",
        write_us / raw_write_us
    );
    println!("  scan, nothing new   {idle_scan_us:9.1} us");
    println!("  scan, a new file    {new_file_scan_us:9.1} us");
    println!("  merged into empty   {merge_us:9.1} us");
    println!("  is_engine_cordoned  {:9.1} ns", lookups_us * 1e3 / LOOKUPS_PER_RUN as f64);
    println!("  of a core: alone {:.3}%, beside another {:.3}%", alone_us_per_s / 1e4, beside_us_per_s / 1e4);
}

/// Measures what two processes that are alive spend on the ids of `count` recent requests, the most that a file has
/// being [`MAX_RECORDS`].
fn measure_request_ids(count: usize, directory: &Path) {
    let folder = DiskFolder::new(directory);
    let instance = Instance { name: "ids".into(), listen: "127.0.0.1:7001".into() };
    let (mut writer, _) =
        StateFileDriver::open(folder.clone(), instance.clone(), "sprucelink 0.1.0", 3, START);
    let (mut reader, _) = StateFileDriver::open(folder, instance, "sprucelink 0.1.0", 4, at_ms(1));
    let mut ids = RequestIds::default();
    for id in 0..count as u64 {
        ids.reserve(id, b"SELECT a FROM sales_17.orders", START).expect("a new id");
        ids.release(id);
    }
    let export_us = median_us(|_| _ = black_box(ids.export(START)));
    let snapshot = StateSnapshot { request_ids: ids.export(START), ..StateSnapshot::default() };
    let bytes = writer.write(START, snapshot.clone()).expect("written").bytes;
    let write_us = median_us(|run| _ = writer.write(at_ms(run), snapshot.clone()).expect("written"));
    let scan_us = median_new_file_scan_us(&mut writer, &mut reader, &snapshot);
    let mut merged = RequestIds::default();
    let merge_us = median_us(|_| merged.merge(3, &snapshot.request_ids, START));
    let busy_fraction = EXCHANGES_PER_SECOND * (export_us + write_us + scan_us + merge_us) / 1e6;
    println!("{count} request ids: {bytes} bytes");
    println!("  exported {export_us:.1} us, written {write_us:.1} us, scanned {scan_us:.1} us, merged {merge_us:.1} us");
    println!(
        "  share of a core, at {EXCHANGES_PER_SECOND} exchanges a second: {:.2}%",
        100.0 * busy_fraction
    );
}

/// Removes the files of a measurement.
fn clear(directory: &Path) {
    for entry in std::fs::read_dir(directory).expect("listed").flatten() {
        // If a file cannot be removed, removing the folder at the end fails.
        let _ = std::fs::remove_file(entry.path());
    }
}

fn main() {
    let root = std::env::args().nth(1).unwrap_or_else(|| "/dev/shm".into());
    let directory = Path::new(&root).join(format!("sprucelink-cost-{}", std::process::id()));
    std::fs::create_dir(&directory).expect("a folder");
    for size in &STATE_SIZES {
        measure(size, &directory);
        clear(&directory);
    }
    for count in [1_000, MAX_RECORDS] {
        measure_request_ids(count, &directory);
        clear(&directory);
    }
    std::fs::remove_dir(&directory).expect("removed");
}
