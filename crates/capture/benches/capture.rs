//! Benchmarks of checkpoints and replays; `examples/cost.rs` measures the cost of recording.
//! Run with `cargo bench -p sprucelink-capture`.
#![allow(missing_docs, reason = "the macros of criterion generate functions without documentation")]

#[path = "../tests/common/mod.rs"]
mod common;

use common::{recorder_settings, MemoryStore, Simulation, START};
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};
use sprucelink_capture::replay::{replay_segment, ReplayOptions};
use sprucelink_policy::TimeDelta;

fn bench_checkpoint(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("checkpoint");
    for engines in [8, 64, 512] {
        let mut simulation = Simulation::new(engines, 5);
        simulation.rate = u64::from(engines) * 14;
        simulation.advance(2.0);
        let open_requests = simulation.policy.open_requests().len();
        let bytes = rmp_serde::to_vec_named(&simulation.policy).expect("serialized").len();
        println!("{engines} engines, {open_requests} requests open: {bytes} bytes");
        // The recorder copies the policy on the serving thread.
        group.bench_function(BenchmarkId::new("copy", engines), |b| b.iter(|| simulation.policy.clone()));
        // The writer thread serializes the copy.
        group.bench_function(BenchmarkId::new("write down", engines), |b| {
            b.iter(|| rmp_serde::to_vec_named(&simulation.policy).expect("serialized"));
        });
    }
    group.finish();
}

fn bench_replay(criterion: &mut Criterion) {
    let memory = MemoryStore::default();
    let mut simulation = Simulation::recorded(8, 5, &recorder_settings(), memory.clone());
    simulation.advance(30.0);
    let (span, open_requests) = (simulation.now - START, simulation.policy.overview().open_requests);
    drop(simulation.recorder.take());
    let contents = memory.contents();
    let records: usize = contents.segments.iter().map(|segment| segment.records.len()).sum();
    println!(
        "{records} records of {} s in {} bytes, {open_requests} still open",
        span.as_secs_f64(),
        memory.bytes().len()
    );
    let mut group = criterion.benchmark_group("replay");
    group.sample_size(20);
    group.throughput(Throughput::Elements(records as u64));
    assert!(span > TimeDelta::ZERO);
    group.bench_function("30 s at 110 requests a second", |b| {
        b.iter(|| {
            for segment in &contents.segments {
                assert_eq!(
                    replay_segment(segment, &ReplayOptions::default(), &mut |_| {})
                        .expect("replayed")
                        .differing_events,
                    0
                );
            }
        });
    });
    group.finish();
}

criterion_group!(benches, bench_checkpoint, bench_replay);
criterion_main!(benches);
