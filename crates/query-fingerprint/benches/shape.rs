//! What a statement's shape costs on a hit and on a miss. `cargo bench -p sprucelink-query-fingerprint`.
#![allow(missing_docs, reason = "the macros of criterion generate functions without documentation")]

use criterion::{criterion_group, criterion_main, Criterion};
use sprucelink_query_fingerprint::cache::Bounds;
use sprucelink_query_fingerprint::known::Shapes;

const LOOK_UP: &str = "SELECT price FROM rates_17.lanes WHERE tag = '3f9c'";
const REPORT: &str = "SELECT l.day, count(*) AS n, max(p.price) FROM sales_3.orders AS l JOIN rates_8.prices p ON p.item = l.id \
                      WHERE l.tag IN ('a', 'b', 'c') AND l.day BETWEEN '2026-01-01' AND '2026-02-01' GROUP BY l.day ORDER BY n";

fn shapes(c: &mut Criterion) {
    let mut group = c.benchmark_group("shape");
    for (name, sql) in [("look-up", LOOK_UP), ("report", REPORT)] {
        group.bench_function(format!("{name}, hit"), |b| {
            let mut shapes = Shapes::new(Bounds { entries: 4_096, bytes: 4 << 20 });
            (0..2_000).for_each(|n| drop(shapes.shape(&format!("SELECT a{n} FROM x_1.t"))));
            b.iter(|| shapes.shape(sql));
        });
        group.bench_function(format!("{name}, miss"), |b| {
            // No room for any: every call reads.
            let mut shapes = Shapes::new(Bounds { entries: 0, bytes: 0 });
            b.iter(|| shapes.shape(sql));
        });
    }
    group.finish();
}

criterion_group!(benches, shapes);
criterion_main!(benches);
