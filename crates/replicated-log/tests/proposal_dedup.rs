//! Detection of duplicate proposals.

use sprucelink_replicated_log::{ProposalDedup, MAX_ORIGINS, SEQUENCE_WINDOW};
use std::collections::BTreeSet;

/// Random proposals of three origins, compared with a plain set as the model.
#[test]
fn proposal_takes_effect_once_in_any_order() {
    let mut dedup = ProposalDedup::default();
    let mut model = BTreeSet::new();
    let mut random = 1u64;
    let mut highest = [0u64; 3];
    for step in 0..20_000 {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let origin = (random >> 33) as usize % 3;
        let distance = (random >> 40) % 80;
        let sequence = (highest[origin] + 3).saturating_sub(distance).max(1);
        let is_known = !model.insert((origin, sequence));
        let is_too_old = highest[origin].saturating_sub(sequence) > SEQUENCE_WINDOW;
        let is_new = dedup.insert(&origin.to_string(), sequence);
        assert_eq!(is_new, !is_known && !is_too_old, "step {step}");
        highest[origin] = highest[origin].max(sequence);
        if step % 1_000 == 0 {
            dedup = ProposalDedup::import(dedup.export());
        }
    }
}

#[test]
fn oldest_origin_is_evicted_at_the_limit() {
    let mut dedup = ProposalDedup::default();
    (0..=MAX_ORIGINS).for_each(|origin| assert!(dedup.insert(&origin.to_string(), 1)));
    assert_eq!(dedup.export().len(), MAX_ORIGINS);
    assert!(!dedup.insert("1", 1), "origin 1 is recorded");
    assert!(dedup.insert("0", 1), "origin 0 was evicted");
}
