//! The statement cache under many distinct statements and under a skewed stream.

use sprucelink_query_fingerprint::cache::Bounds;
use sprucelink_query_fingerprint::statement_cache::StatementCache;

/// A client that sends a million statements, each once, stays within the bounds and flushes nothing that is used.
#[test]
fn unlimited_distinct_statements_stay_within_the_bounds() {
    let bounds = Bounds { entries: 512, bytes: 512 * 1024 };
    let mut statements = StatementCache::new(bounds);
    let used: Vec<String> = (0..40).map(|n| format!("SELECT a{n} FROM x_{n}.t WHERE b = 1")).collect();
    for round in 0..3 {
        for sql in &used {
            assert_eq!(statements.get_or_read(sql).facts.data_sets.len(), 1, "{round}");
        }
    }
    let before = statements.counters();
    for n in 0..20_000 {
        statements.get_or_read(&format!("SELECT c{n} FROM y_{n}.t"));
        if n % 10 == 0 {
            statements.get_or_read(&used[n / 10 % used.len()]);
        }
    }
    let after = statements.counters();
    assert!(after.entries <= bounds.entries && after.bytes <= bounds.bytes);
    assert!(after.hits - before.hits >= 1_990, "{} of 2,000", after.hits - before.hits);
}

/// A skewed stream of 100,000 with a fifth of one-off statements: of the repeatable ones over 99% are hits, but
/// for each one's first.
#[test]
fn skewed_stream_with_one_off_statements_keeps_a_high_hit_rate() {
    let mut statements = StatementCache::new(Bounds { entries: 1_024, bytes: 4 << 20 });
    let (mut dice, mut repeatable, mut hits, mut seen) =
        (7_u64, 0_u32, 0_u32, std::collections::BTreeSet::new());
    for n in 0..100_000_u32 {
        dice = dice.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let unit = (dice >> 11) as f64 / (1_u64 << 53) as f64;
        if n % 5 == 0 {
            statements.get_or_read(&format!("SELECT once{n} FROM x_1.t"));
            continue;
        }
        // Five hundred forms, the first of them asked for most: Zipf's law, about.
        let form = (500.0_f64.powf(unit) - 1.0) as u32;
        let before = statements.counters().hits;
        statements.get_or_read(&format!("SELECT a{form} FROM x_1.t WHERE b = {n}"));
        if seen.insert(form) {
            continue;
        }
        repeatable += 1;
        hits += u32::from(statements.counters().hits > before);
    }
    let rate = f64::from(hits) / f64::from(repeatable);
    assert!(rate > 0.99, "{rate}");
}
