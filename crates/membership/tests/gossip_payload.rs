//! Merging of payloads by version, and totals over members.

use quickcheck::{Gen, QuickCheck};
use sprucelink_membership::{GossipPayload, PayloadTable, WarmupWork, MAX_ENGINES};

fn payload(version: u32, retries: u32) -> GossipPayload {
    GossipPayload { version, retries, ..GossipPayload::default() }
}

#[test]
fn late_and_duplicate_payloads_change_nothing() {
    let mut table = PayloadTable::default();
    assert!(table.merge("a", 10, &payload(3, 7)));
    assert!(!table.merge("a", 10, &payload(3, 9)));
    assert!(!table.merge("a", 10, &payload(2, 9)));
    assert!(!table.merge("a", 9, &payload(99, 9)));
    assert_eq!(table.get("a").map(|stored| (stored.generation, stored.payload.retries)), Some((10, 7)));
    assert!(table.merge("a", 11, &payload(1, 1)), "versions start again with a new generation");
}

/// Two tables that received the same payloads are equal, regardless of order and duplicates.
#[test]
fn tables_with_the_same_payloads_are_equal_in_any_order() {
    fn merge(table: &mut PayloadTable, update: &(u8, u8, u8)) {
        let (member, generation, version) = update;
        let generation = generation % 3;
        // All payloads of one member, generation and version have the same content.
        let payload = payload(u32::from(*version), u32::from(generation));
        table.merge(&format!("m{}", member % 4), u64::from(generation), &payload);
    }
    fn is_equal(updates: Vec<(u8, u8, u8)>, rotation: usize) -> bool {
        let mut in_order = PayloadTable::default();
        let mut rotated_and_repeated = PayloadTable::default();
        updates.iter().for_each(|update| merge(&mut in_order, update));
        let first = if updates.is_empty() { 0 } else { rotation % updates.len() };
        let rotated = updates[first..].iter().chain(&updates[..first]);
        rotated.chain(&updates).for_each(|update| merge(&mut rotated_and_repeated, update));
        in_order == rotated_and_repeated
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 5))
        .quickcheck(is_equal as fn(Vec<(u8, u8, u8)>, usize) -> bool);
}

#[test]
fn engine_reports_are_totalled_over_members_and_bounded() {
    let mut table = PayloadTable::default();
    let excess_work = (0..100).map(|engine| WarmupWork { engine, work_ms: engine as u32 }).collect();
    let first = GossipPayload {
        version: 1,
        unreachable_engines: vec![7, 8],
        warmup_work: excess_work,
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
    assert_eq!(table.get("a").expect("stored").payload.warmup_work.len(), MAX_ENGINES);
    table.remove("a");
    assert_eq!(table.unreachable_count(7, ["a", "b"].into_iter()), 1);
}
