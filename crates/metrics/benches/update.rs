//! What an update of the figures costs, and a rendering. `cargo bench -p sprucelink-metrics`.
#![allow(missing_docs, reason = "the macros of criterion generate functions without documentation")]

use criterion::{criterion_group, criterion_main, Criterion};
use sprucelink_metrics::Metrics;

fn figures(c: &mut Criterion) {
    let classes: Vec<String> = (0..8).map(|n| format!("class-{n}")).collect();
    let figures = Metrics::new(&classes).expect("eight plain names");
    let counter = figures.counter("bench.counter").expect("a plain name");
    let mut group = c.benchmark_group("figures");
    group.bench_function("one attempt forwarded", |b| b.iter(|| figures.forwarded()));
    group.bench_function("a counter by name", |b| b.iter(|| counter.increment(1)));
    group.bench_function("a request taken and ended", |b| b.iter(|| figures.take(3).succeeded()));
    group.bench_function("rendering, 31 lines", |b| b.iter(|| figures.render()));
    for n in 0.. {
        if figures.counter(&format!("bench.further.{n:04}")).is_err() {
            break;
        }
    }
    group.bench_function("rendering, full", |b| b.iter(|| figures.render()));
    group.finish();
}

criterion_group!(benches, figures);
criterion_main!(benches);
