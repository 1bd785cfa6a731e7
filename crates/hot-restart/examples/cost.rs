//! What the state files of hot restarts cost: `cargo run --release -p sprucelink-hot-restart --example cost -- /dev/shm`.
//!
//! Medians of many runs, for a usual snapshot (80 engines, 3 cordons) and for one at its bounds.

use sprucelink_cordon::{CordonLimits, CordonRequest, CordonState, Target};
use sprucelink_hot_restart::*;
use std::hint::black_box;
use std::time::Instant;

const RUNS: usize = 2_000;

fn median(mut run: impl FnMut(i64)) -> f64 {
    let mut took: Vec<f64> = (0..RUNS as i64)
        .map(|i| {
            let began = Instant::now();
            run(i);
            began.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    took.sort_unstable_by(f64::total_cmp);
    took[RUNS / 2]
}

fn cordon_state(engines: usize, cordons: usize, now: Timestamp) -> CordonState {
    let mut state = CordonState::new(CordonLimits::default());
    for i in 0..engines {
        state.note_listed(&format!("s-{i:08x}"));
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

fn main() {
    let root = std::env::args().nth(1).unwrap_or_else(|| "/dev/shm".into());
    let dir = std::path::Path::new(&root).join(format!("sprucelink-cost-{}", std::process::id()));
    std::fs::create_dir(&dir).expect("a folder");
    let now = Timestamp::from_micros(1_700_000_000_000_000);
    let at = |i: i64| Timestamp::from_micros(now.as_micros() + i * 1_000);
    for (what, engines, cordons, warming) in
        [("usual", 80, 3, 8), ("at its bounds", 16_384, 1_024, MAX_WARMING_ENGINES)]
    {
        let folder = DiskFolder::new(&dir);
        let me = Instance { name: "n3".into(), listen: "127.0.0.1:7001".into() };
        let state = cordon_state(engines, cordons, now);
        let mut counters =
            WindowCounters::new(TimeDelta::from_micros(5_000_000), TimeDelta::from_micros(4_000_000));
        for ms in (0..5_000).step_by(10) {
            counters.count_admitted(at(ms - 5_000));
            counters.count_warmup(at(ms - 5_000), &format!("s-{:08x}", ms as usize / 10 % warming), 40);
        }
        let (mut writer, _) = StateFileDriver::open(folder.clone(), me.clone(), "sprucelink 0.1.0", 1, now);
        let (mut reader, _) = StateFileDriver::open(folder.clone(), me, "sprucelink 0.1.0", 2, at(1));
        let whole = snapshot(&state, &counters, now);
        let bytes = writer.write(now, whole.clone()).expect("written").bytes;
        let gather = median(|_| _ = black_box(snapshot(&state, &counters, now)));
        let write = median(|i| _ = writer.write(at(i), whole.clone()).expect("written"));
        // The same bytes over the old ones, neither atomically nor checked: the least that a file costs.
        let (raw, path) = (vec![7_u8; bytes], dir.join("raw"));
        let plain = median(|_| std::fs::write(&path, &raw).expect("written"));
        let idle = median(|i| _ = black_box(reader.scan(at(i))));
        // The write before it is not counted.
        let mut looks: Vec<f64> = (0..RUNS as i64)
            .map(|i| {
                writer.write(at(10_000 + i), whole.clone()).expect("written");
                let began = Instant::now();
                assert_eq!(reader.scan(at(10_000 + i)).files.len(), 1);
                began.elapsed().as_secs_f64() * 1e6
            })
            .collect();
        looks.sort_unstable_by(f64::total_cmp);
        let fresh = looks[RUNS / 2];
        let merge = median(|_| {
            let mut other = CordonState::new(CordonLimits::default());
            other.merge_records(now, &whole.cordons);
            black_box(&other);
        });
        let id = format!("s-{:08x}", engines - 1);
        let out =
            median(|_| (0..1_000).for_each(|_| _ = black_box(state.is_engine_cordoned(black_box(&id)))));
        let alone = (gather + write) * 4.0 + idle * 10.0;
        let beside = alone + (fresh - idle + merge) * 4.0;
        println!("{what}: {bytes} bytes, {engines} ids, {cordons} cordons, {warming} warming engines");
        println!("  snapshot taken     {gather:9.1} us");
        println!(
            "  written             {write:9.1} us, {:.1} times a plain write ({plain:.1} us)",
            write / plain
        );
        println!("  scan, nothing new   {idle:9.1} us");
        println!("  scan, a new file    {fresh:9.1} us");
        println!("  merged into empty  {merge:9.1} us");
        println!("  is_out              {:9.1} ns", out);
        println!("  of a core: alone {:.3}%, beside another {:.3}%", alone / 1e4, beside / 1e4);
        std::fs::read_dir(&dir).expect("listed").flatten().for_each(|e| _ = std::fs::remove_file(e.path()));
    }
    std::fs::remove_dir(&dir).expect("removed");
}
