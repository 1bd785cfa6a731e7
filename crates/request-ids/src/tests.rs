//! Tests of the ids of open and recent requests.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const OLD: u32 = 1;
const NEW: u32 = 2;

fn time(millis: i64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Reserves an id for a request that ends at once.
fn reserve_and_release(ids: &mut RequestIds, id: u64, statement: &[u8], now: Timestamp) -> bool {
    let is_reserved = ids.reserve(id, statement, now).is_ok();
    if is_reserved {
        ids.release(id);
    }
    is_reserved
}

#[test]
fn id_is_rejected_for_another_statement_until_its_retention_ends() {
    let mut ids = RequestIds::default();
    let first = Timestamp::ZERO;
    let last = first + RETENTION;
    let late = last + TimeDelta::from_micros(1);
    assert!(reserve_and_release(&mut ids, 1, b"a", first));
    assert!(reserve_and_release(&mut ids, 1, b"a", last), "the client's retry");
    assert!(!reserve_and_release(&mut ids, 1, b"b", last));
    assert!(reserve_and_release(&mut ids, 1, b"b", late));
}

#[test]
fn number_of_ids_stays_bounded() {
    let mut ids = RequestIds::default();
    (2..2 * MAX_IDS as u64).for_each(|id| assert!(reserve_and_release(&mut ids, id, b"", Timestamp::ZERO)));
    assert!(ids.by_age.len() <= MAX_IDS && ids.recent.len() <= MAX_IDS);
    assert_eq!(ids.export(Timestamp::ZERO).len(), MAX_RECORDS);
}

#[test]
fn id_of_an_open_request_is_rejected_however_long_it_is_open() {
    let mut ids = RequestIds::default();
    assert_eq!(ids.reserve(1, b"a", time(0)), Ok(()));
    let late = time(0) + RETENTION + RETENTION;
    assert_eq!(ids.reserve(1, b"a", late), Err(IdConflict::Open));
    assert_eq!(ids.reserve(1, b"b", late), Err(IdConflict::Open));
    ids.release(1);
    assert_eq!(ids.reserve(1, b"b", late), Ok(()), "its retention has ended");
}

#[test]
fn id_that_is_open_in_another_process_is_rejected_as_long_as_that_is_alive() {
    let (mut old, mut new) = (RequestIds::default(), RequestIds::default());
    assert_eq!(old.reserve(1, b"a", time(0)), Ok(()));
    new.merge(OLD, &old.export(time(10)), time(10));
    assert_eq!(new.reserve(1, b"a", time(20)), Err(IdConflict::OpenInOtherProcess));
    assert_eq!(new.reserve(1, b"b", time(20)), Err(IdConflict::OpenInOtherProcess));
    new.retain_peers(|_| false);
    assert_eq!(new.reserve(1, b"b", time(30)), Err(IdConflict::OtherStatement));
    assert_eq!(new.reserve(1, b"a", time(30)), Ok(()), "the client's retry");
}

#[test]
fn ids_are_passed_on_to_the_process_after_the_next() {
    let (mut first, mut second, mut third) =
        (RequestIds::default(), RequestIds::default(), RequestIds::default());
    assert!(reserve_and_release(&mut first, 1, b"a", time(0)));
    second.merge(OLD, &first.export(time(10)), time(10));
    third.merge(NEW, &second.export(time(20)), time(20));
    assert_eq!(third.reserve(1, b"b", time(30)), Err(IdConflict::OtherStatement));
    let late = time(0) + RETENTION + TimeDelta::from_millis(1);
    assert_eq!(third.reserve(1, b"b", late), Ok(()), "the retention counts from the start of the request");
}

#[derive(Clone, Debug)]
enum Step {
    Reserve { in_new: bool, id: u64, statement: u8 },
    Release { id: u64 },
    Wait { millis: i64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (any::<bool>(), 0..4u64, 0..2u8).prop_map(|(in_new, id, statement)| Step::Reserve {
            in_new,
            id,
            statement
        }),
        (0..4u64).prop_map(|id| Step::Release { id }),
        (1..20_000i64).prop_map(|millis| Step::Wait { millis }),
    ];
    prop::collection::vec(step, 1..60)
}

/// Guards against a retry that restarts the retention in the process which reads of it.
#[test]
fn retry_does_not_restart_the_retention_in_another_process() {
    let (mut old, mut new) = (RequestIds::default(), RequestIds::default());
    assert!(reserve_and_release(&mut old, 1, b"a", time(0)));
    assert_eq!(old.reserve(1, b"a", time(20_000)), Ok(()));
    new.merge(OLD, &old.export(time(20_000)), time(20_000));
    old.release(1);
    new.merge(OLD, &old.export(time(20_010)), time(20_010));
    assert_eq!(new.reserve(1, b"b", time(30_001)), Ok(()));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(61),
        failure_persistence: None,
        ..ProptestConfig::with_cases(1_000)
    })]

    /// Two processes that have exchanged their records accept the ids that a single process accepts.
    #[test]
    fn prop_two_processes_decide_like_one(steps in steps()) {
        let mut one = RequestIds::default();
        let (mut old, mut new) = (RequestIds::default(), RequestIds::default());
        let mut now = time(0);
        for step in steps {
            match step {
                Step::Reserve { in_new, id, statement } => {
                    let process = if in_new { &mut new } else { &mut old };
                    let expected = one.reserve(id, &[statement], now).is_ok();
                    prop_assert_eq!(process.reserve(id, &[statement], now).is_ok(), expected);
                }
                Step::Release { id } => [&mut one, &mut old, &mut new].into_iter().for_each(|ids| ids.release(id)),
                Step::Wait { millis } => now = now + TimeDelta::from_millis(millis),
            }
            new.merge(OLD, &old.export(now), now);
            old.merge(NEW, &new.export(now), now);
        }
    }
}
