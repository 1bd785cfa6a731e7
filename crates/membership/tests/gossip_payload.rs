//! Merging payloads by version, and what is counted over members.

use quickcheck::{Gen, QuickCheck};
use sprucelink_membership::{GossipPayload, PayloadTable, WarmupWork, MAX_ENGINES};

fn payload(version: u32, retries: u32) -> GossipPayload {
    GossipPayload { version, retries, ..GossipPayload::default() }
}

#[test]
fn late_and_repeated_payloads_change_nothing() {
    let mut table = PayloadTable::default();
    assert!(table.merge("a", 10, &payload(3, 7)));
    assert!(!table.merge("a", 10, &payload(3, 9)));
    assert!(!table.merge("a", 10, &payload(2, 9)));
    assert!(!table.merge("a", 9, &payload(99, 9)));
    assert_eq!(table.get("a").map(|held| (held.generation, held.payload.retries)), Some((10, 7)));
    assert!(table.merge("a", 11, &payload(1, 1)), "versions start again with a new generation");
}

/// Whatever order payloads arrive in, and however often, two tables that got the same ones hold the same.
#[test]
fn tables_agree_whatever_the_order() {
    fn merge(table: &mut PayloadTable, update: &(u8, u8, u8)) {
        let (member, generation, version) = update;
        let generation = generation % 3;
        // A version of one generation has one content.
        let payload = payload(u32::from(*version), u32::from(generation));
        table.merge(&format!("m{}", member % 4), u64::from(generation), &payload);
    }
    fn holds(updates: Vec<(u8, u8, u8)>, turn: usize) -> bool {
        let mut in_order = PayloadTable::default();
        let mut rotated_and_repeated = PayloadTable::default();
        updates.iter().for_each(|update| merge(&mut in_order, update));
        let first = if updates.is_empty() { 0 } else { turn % updates.len() };
        let rotated = updates[first..].iter().chain(&updates[..first]);
        rotated.chain(&updates).for_each(|update| merge(&mut rotated_and_repeated, update));
        in_order == rotated_and_repeated
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 5))
        .quickcheck(holds as fn(Vec<(u8, u8, u8)>, usize) -> bool);
}

#[test]
fn reports_on_engines_are_counted_over_members_and_bounded() {
    let mut table = PayloadTable::default();
    let many = (0..100).map(|engine| WarmupWork { engine, work_ms: engine as u32 }).collect();
    let first = GossipPayload {
        version: 1,
        unreachable_engines: vec![7, 8],
        warmup_work: many,
        ..GossipPayload::default()
    };
    let second = GossipPayload {
        version: 1,
        unreachable_engines: vec![7],
        warmup_work: vec![WarmupWork { engine: 99, work_ms: 5 }],
        ..GossipPayload::default()
    };
    table.merge("a", 1, &first);
    table.merge("b", 1, &second);
    assert_eq!(table.unreachable_count(7, ["a", "b", "c"].into_iter()), 2);
    assert_eq!(table.warmup_work_ms(99, ["a", "b"].into_iter()), 104);
    assert_eq!(table.get("a").expect("held").payload.warmup_work.len(), MAX_ENGINES);
    table.remove("a");
    assert_eq!(table.unreachable_count(7, ["a", "b"].into_iter()), 1);
}
