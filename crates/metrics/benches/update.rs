//! Benchmarks of updates and of rendering. Run with `cargo bench -p sprucelink-metrics`.
#![allow(missing_docs, reason = "the macros of criterion generate functions without documentation")]

use criterion::{criterion_group, criterion_main, Criterion};
use sprucelink_metrics::Metrics;

fn bench_metrics(c: &mut Criterion) {
    let classes: Vec<String> = (0..8).map(|n| format!("class-{n}")).collect();
    let metrics = Metrics::try_new(&classes).expect("eight plain names");
    let counter = metrics.counter("bench.counter").expect("a plain name");
    let mut group = c.benchmark_group("figures");
    group.bench_function("one attempt forwarded", |b| b.iter(|| metrics.record_forward()));
    group.bench_function("a counter by name", |b| b.iter(|| counter.increment(1)));
    group.bench_function("a request taken and ended", |b| b.iter(|| metrics.start_request(3).succeed()));
    group.bench_function("rendering, 31 lines", |b| b.iter(|| metrics.render()));
    // Fill the registry.
    for n in 0.. {
        if metrics.counter(&format!("bench.further.{n:04}")).is_err() {
            break;
        }
    }
    group.bench_function("rendering, full", |b| b.iter(|| metrics.render()));
    group.finish();
}

criterion_group!(benches, bench_metrics);
criterion_main!(benches);
