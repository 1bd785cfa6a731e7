//! Tests of the statement cache with many distinct statements and with a skewed sequence of statements.

use sprucelink_float_math::pow;
use sprucelink_query_fingerprint::cache::Bounds;
use sprucelink_query_fingerprint::statement_cache::StatementCache;

/// A client that sends 20,000 statements once each must neither exceed the bounds nor evict statements that
/// are in use.
#[test]
fn many_distinct_statements_stay_within_the_bounds_and_keep_used_entries() {
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

/// In a skewed sequence of 100,000 statements a fifth are sent only once. More than 99% of the remaining
/// statements must be hits, not counting the first occurrence of each form.
#[test]
fn skewed_sequence_with_one_off_statements_has_a_high_hit_rate() {
    let mut statements = StatementCache::new(Bounds { entries: 1_024, bytes: 4 << 20 });
    let (mut random, mut repeated, mut hits, mut known_forms) =
        (7_u64, 0_u32, 0_u32, std::collections::BTreeSet::new());
    for n in 0..100_000_u32 {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let unit = (random >> 11) as f64 / (1_u64 << 53) as f64;
        if n % 5 == 0 {
            statements.get_or_read(&format!("SELECT once{n} FROM x_1.t"));
            continue;
        }
        // Five hundred forms, approximately with a Zipf distribution.
        let form = (pow(500.0, unit) - 1.0) as u32;
        let before = statements.counters().hits;
        statements.get_or_read(&format!("SELECT a{form} FROM x_1.t WHERE b = {n}"));
        if known_forms.insert(form) {
            continue;
        }
        repeated += 1;
        hits += u32::from(statements.counters().hits > before);
    }
    let rate = f64::from(hits) / f64::from(repeated);
    assert!(rate > 0.99, "{rate}");
}
