//! What recording costs against the module alone, what a checkpoint takes, how fast a replay goes.
//! `cargo bench -p sprucelink-capture`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{recorder_settings, Day, Memory, START};
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};
use sprucelink_capture::recorder::Recorder;
use sprucelink_capture::replay::{segment, Play};
use sprucelink_capture::settings::{Answers, Settings};
use sprucelink_capture::wire::Told;
use sprucelink_policy::interface::{Event, Micros};

/// The same ten seconds at 110 requests a second, from the same state: the module alone, and recorded.
fn recording(c: &mut Criterion) {
    let mut group = c.benchmark_group("ten seconds at 110 requests");
    group.sample_size(30);
    for engines in [8, 64] {
        let memory = Memory::default();
        let mut day =
            Day::recorded(engines, 5, &Settings { segment_s: 3_600, ..recorder_settings() }, memory.clone());
        day.pass(10.0);
        drop(day.recorder.take());
        let seg = memory.contents().segments.remove(0);
        let module = seg.module().expect("a state");
        let events: Vec<(Micros, Event)> = seg
            .records
            .iter()
            .filter_map(|r| match &r.told {
                Told::Event(event) => Some((r.at, event.clone())),
                Told::Numbered { .. } => None,
            })
            .collect();
        println!("{engines} engines: {} events", events.len());
        let feed = |recorder: &mut Option<Recorder>| {
            let (mut brain, mut out) = (module.clone(), Vec::new());
            for (at, event) in &events {
                out.clear();
                if let Some(r) = recorder {
                    r.asked(*at, &brain, event, Vec::new);
                }
                brain.handle(*at, event.clone(), &mut out);
                if let Some(r) = recorder {
                    r.answered(&out);
                }
            }
        };
        group.bench_function(BenchmarkId::new("module alone", engines), |b| b.iter(|| feed(&mut None)));
        for answers in [Answers::Whole, Answers::Digest] {
            let set = Settings { segment_s: 3_600, rate_kb_s: 1_000_000, answers, ..recorder_settings() };
            group.bench_function(BenchmarkId::new(format!("recorded {answers:?}"), engines), |b| {
                let recorder = Recorder::with(&set, Box::new(Memory::default()), 5, START);
                let mut recorder = Some(recorder.expect("a thread"));
                b.iter(|| feed(&mut recorder));
            });
        }
    }
    group.finish();
}

fn checkpoint(c: &mut Criterion) {
    let mut group = c.benchmark_group("checkpoint");
    for engines in [8, 64, 512] {
        let mut day = Day::new(engines, 5);
        day.rate = u64::from(engines) * 14;
        day.pass(2.0);
        let open = day.brain.open().len();
        let bytes = rmp_serde::to_vec_named(&day.brain).expect("saved").len();
        println!("{engines} engines, {open} requests open: {bytes} bytes");
        // On the serving thread.
        group.bench_function(BenchmarkId::new("copy", engines), |b| b.iter(|| day.brain.clone()));
        // On the writer's.
        group.bench_function(BenchmarkId::new("write down", engines), |b| {
            b.iter(|| rmp_serde::to_vec_named(&day.brain).expect("saved"));
        });
    }
    group.finish();
}

fn replaying(c: &mut Criterion) {
    let memory = Memory::default();
    let mut day = Day::recorded(8, 5, &recorder_settings(), memory.clone());
    day.pass(30.0);
    let (span, arrived) = (day.now - START, day.brain.overview().open);
    drop(day.recorder.take());
    let all = memory.contents();
    let records: usize = all.segments.iter().map(|s| s.records.len()).sum();
    println!(
        "{records} records of {} s in {} bytes, {arrived} still open",
        span.secs(),
        memory.bytes().len()
    );
    let mut group = c.benchmark_group("replay");
    group.sample_size(20);
    group.throughput(Throughput::Elements(records as u64));
    assert!(span > Micros(0));
    group.bench_function("30 s at 110 requests a second", |b| {
        b.iter(|| {
            for s in &all.segments {
                assert_eq!(segment(s, &Play::default(), &mut |_| {}).expect("replayed").differ, 0);
            }
        });
    });
    group.finish();
}

criterion_group!(benches, recording, checkpoint, replaying);
criterion_main!(benches);
