//! Benchmarks of the statement cache on a hit and on a miss.
//! Run with `cargo bench -p sprucelink-query-fingerprint`.
#![allow(missing_docs, reason = "the macros of criterion generate functions without documentation")]

use criterion::{criterion_group, criterion_main, Criterion};
use sprucelink_query_fingerprint::cache::Bounds;
use sprucelink_query_fingerprint::statement_cache::StatementCache;

const LOOK_UP: &str = "SELECT price FROM rates_17.lanes WHERE tag = '3f9c'";
const REPORT: &str = "SELECT l.day, count(*) AS n, max(p.price) FROM sales_3.orders AS l JOIN rates_8.prices p ON p.item = l.id \
                      WHERE l.tag IN ('a', 'b', 'c') AND l.day BETWEEN '2026-01-01' AND '2026-02-01' GROUP BY l.day ORDER BY n";

fn bench_statement_cache(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("shape");
    for (name, sql) in [("look-up", LOOK_UP), ("report", REPORT)] {
        group.bench_function(format!("{name}, hit"), |b| {
            let mut statements = StatementCache::new(Bounds { entries: 4_096, bytes: 4 << 20 });
            (0..2_000).for_each(|n| drop(statements.get_or_read(&format!("SELECT a{n} FROM x_1.t"))));
            b.iter(|| statements.get_or_read(sql));
        });
        group.bench_function(format!("{name}, miss"), |b| {
            // The cache stores nothing, so every call analyses the statement.
            let mut statements = StatementCache::new(Bounds { entries: 0, bytes: 0 });
            b.iter(|| statements.get_or_read(sql));
        });
    }
    group.finish();
}

criterion_group!(benches, bench_statement_cache);
criterion_main!(benches);
