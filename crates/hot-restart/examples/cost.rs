//! What the state files of hot restarts cost: `cargo run --release -p sprucelink-hot-restart --example cost -- /dev/shm`.
//!
//! Medians of many runs, for a usual snapshot (80 engines, 3 cordons) and for one at its bounds.

use sprucelink_cordon::{CordonLimits, CordonRequest, CordonState, Target};
use sprucelink_hot_restart::{
    DiskFolder, Instance, StateFileDriver, StateSnapshot, TimeDelta, Timestamp, WindowCounters,
    MAX_WARMING_ENGINES,
};
use std::hint::black_box;
use std::path::Path;
use std::time::Instant;

/// Number of runs of each measurement.
const RUNS: usize = 2_000;

/// The median time of a run, in microseconds; the closure gets the run's number.
fn median(mut run: impl FnMut(i64)) -> f64 {
    let mut times = Vec::with_capacity(RUNS);
    for number in 0..RUNS as i64 {
        let began = Instant::now();
        run(number);
        times.push(began.elapsed().as_secs_f64() * 1e6);
    }
    times.sort_unstable_by(f64::total_cmp);
    times[RUNS / 2]
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
    }
}

/// A size of the state that is measured.
struct Load {
    name: &'static str,
    engines: usize,
    cordons: usize,
    warming_engines: usize,
}

/// A usual state, and one at its bounds.
const LOADS: [Load; 2] = [
    Load { name: "usual", engines: 80, cordons: 3, warming_engines: 8 },
    Load { name: "at its bounds", engines: 16_384, cordons: 1_024, warming_engines: MAX_WARMING_ENGINES },
];
/// The time of the first write.
const NOW: Timestamp = Timestamp::from_secs(1_700_000_000);
/// How long counters are filled before it, in milliseconds.
const COUNTED_MS: i64 = 5_000;
/// Writes of the own file in a second.
const WRITES_PER_SECOND: f64 = 4.0;
/// Scans of the others' files in a second.
const SCANS_PER_SECOND: f64 = 10.0;
/// Look-ups in one run, so that a run is long enough to be measured.
const LOOKUPS: usize = 1_000;

fn at(millis: i64) -> Timestamp {
    NOW + TimeDelta::from_millis(millis)
}

fn counters(warming_engines: usize) -> WindowCounters {
    let mut counters = WindowCounters::new(TimeDelta::from_secs(5), TimeDelta::from_secs(4));
    for millis in (0..COUNTED_MS).step_by(10) {
        let engine = millis as usize / 10 % warming_engines;
        counters.count_admitted(at(millis - COUNTED_MS));
        counters.count_warmup(at(millis - COUNTED_MS), &format!("s-{engine:08x}"), 40);
    }
    counters
}

/// The median of scans that each find a new file; the writes before them are not counted.
fn median_scan_of_a_new_file(
    writer: &mut StateFileDriver<DiskFolder>,
    reader: &mut StateFileDriver<DiskFolder>,
    snapshot: &StateSnapshot,
) -> f64 {
    let mut scans = Vec::with_capacity(RUNS);
    for run in 0..RUNS as i64 {
        let now = at(10_000 + run);
        writer.write(now, snapshot.clone()).expect("written");
        let began = Instant::now();
        assert_eq!(reader.scan(now).files.len(), 1);
        scans.push(began.elapsed().as_secs_f64() * 1e6);
    }
    scans.sort_unstable_by(f64::total_cmp);
    scans[RUNS / 2]
}

fn measure(load: &Load, directory: &Path) {
    let folder = DiskFolder::new(directory);
    let instance = Instance { name: "n3".into(), listen: "127.0.0.1:7001".into() };
    let build = "sprucelink 0.1.0";
    let state = cordon_state(load.engines, load.cordons, NOW);
    let counters = counters(load.warming_engines);
    let (mut writer, _) = StateFileDriver::open(folder.clone(), instance.clone(), build, 1, NOW);
    let (mut reader, _) = StateFileDriver::open(folder, instance, build, 2, at(1));
    let complete = snapshot(&state, &counters, NOW);
    let bytes = writer.write(NOW, complete.clone()).expect("written").bytes;
    let gather_us = median(|_| _ = black_box(snapshot(&state, &counters, NOW)));
    let write_us = median(|run| _ = writer.write(at(run), complete.clone()).expect("written"));
    // The same bytes over the old ones, neither atomically nor with a checksum: the minimum that a file costs.
    let raw_bytes = vec![7_u8; bytes];
    let raw_path = directory.join("raw");
    let raw_write_us = median(|_| std::fs::write(&raw_path, &raw_bytes).expect("written"));
    let idle_scan_us = median(|run| _ = black_box(reader.scan(at(run))));
    let new_file_scan_us = median_scan_of_a_new_file(&mut writer, &mut reader, &complete);
    let merge_us = median(|_| {
        let mut other = CordonState::new(CordonLimits::default());
        other.merge_records(NOW, &complete.cordons);
        black_box(&other);
    });
    let last_engine = format!("s-{:08x}", load.engines - 1);
    let lookups_us = median(|_| {
        for _ in 0..LOOKUPS {
            black_box(state.is_engine_cordoned(black_box(&last_engine)));
        }
    });
    let alone_us = (gather_us + write_us) * WRITES_PER_SECOND + idle_scan_us * SCANS_PER_SECOND;
    let beside_us = alone_us + (new_file_scan_us - idle_scan_us + merge_us) * WRITES_PER_SECOND;
    println!(
        "{}: {bytes} bytes, {} ids, {} cordons, {} warming engines",
        load.name, load.engines, load.cordons, load.warming_engines
    );
    println!("  snapshot taken      {gather_us:9.1} us");
    println!(
        "  written             {write_us:9.1} us, {:.1} times a plain write ({raw_write_us:.1} us)",
        write_us / raw_write_us
    );
    println!("  scan, nothing new   {idle_scan_us:9.1} us");
    println!("  scan, a new file    {new_file_scan_us:9.1} us");
    println!("  merged into empty   {merge_us:9.1} us");
    println!("  is_engine_cordoned  {:9.1} ns", lookups_us * 1e3 / LOOKUPS as f64);
    println!("  of a core: alone {:.3}%, beside another {:.3}%", alone_us / 1e4, beside_us / 1e4);
}

fn main() {
    let root = std::env::args().nth(1).unwrap_or_else(|| "/dev/shm".into());
    let directory = Path::new(&root).join(format!("sprucelink-cost-{}", std::process::id()));
    std::fs::create_dir(&directory).expect("a folder");
    for load in &LOADS {
        measure(load, &directory);
        for entry in std::fs::read_dir(&directory).expect("listed").flatten() {
            // What can't be removed makes the removal of the folder fail.
            let _ = std::fs::remove_file(entry.path());
        }
    }
    std::fs::remove_dir(&directory).expect("removed");
}
