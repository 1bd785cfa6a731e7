//! Tests of the behaviour at each limit.

use sprucelink_cordon::{
    Cause, CordonError, CordonLimits, CordonOutcome, CordonRequest, CordonState, Target, TimeDelta,
    Timestamp, MAX_ENGINE_ID_BYTES, MAX_LEASE, MAX_REASON_BYTES,
};

const NOW: Timestamp = Timestamp::from_micros(1_700_000_000_000_000);

fn engine(id: &str) -> Target {
    Target::Engine(id.into())
}

/// A state with limits so low that a few calls reach them.
fn small_state() -> CordonState {
    CordonState::new(CordonLimits {
        max_known_ids: 8,
        max_cordons: 3,
        max_cordon_id_bytes: 20,
        max_tombstones: 2,
        max_tombstone_id_bytes: 100,
    })
}

#[test]
fn cordon_is_rejected_at_the_limit_but_a_repeat_is_accepted() {
    let mut state = small_state();
    ["a", "b", "c", "d"].iter().for_each(|id| state.mark_listed(id));
    for id in ["a", "b", "c"] {
        assert_eq!(state.cordon(NOW, &engine(id), CordonRequest::Operator, ""), Ok(CordonOutcome::Cordoned));
    }
    assert_eq!(
        state.cordon(NOW, &engine("d"), CordonRequest::Operator, ""),
        Err(CordonError::TooManyCordons)
    );
    assert_eq!(
        state.cordon(NOW, &engine("a"), CordonRequest::Operator, ""),
        Ok(CordonOutcome::AlreadyCordoned)
    );
    assert_eq!(state.uncordon(NOW, &engine("a"), Cause::Operator), Ok(CordonOutcome::Uncordoned));
    assert_eq!(state.cordon(NOW, &engine("d"), CordonRequest::Operator, ""), Ok(CordonOutcome::Cordoned));
    assert_eq!(state.counters().too_many_cordons, 1);
}

#[test]
fn cordon_is_rejected_when_id_bytes_are_used_up() {
    let mut state = small_state();
    let first = "x".repeat(15);
    let second = "y".repeat(15);
    state.mark_listed(&first);
    state.mark_listed(&second);
    state.cordon(NOW, &engine(&first), CordonRequest::Operator, "").expect("fits");
    assert_eq!(
        state.cordon(NOW, &engine(&second), CordonRequest::Operator, ""),
        Err(CordonError::TooManyCordons)
    );
    assert_eq!(
        state.cordon(NOW, &Target::Manager, CordonRequest::Operator, ""),
        Ok(CordonOutcome::Cordoned),
        "the manager uses no id bytes"
    );
}

#[test]
fn tombstone_of_the_lowest_version_is_evicted_first() {
    let mut state = small_state();
    for (index, id) in ["a", "b", "c"].iter().enumerate() {
        state.mark_listed(id);
        state
            .uncordon(NOW + TimeDelta::from_micros(index as i64), &engine(id), Cause::Operator)
            .expect("accepted");
    }
    let retained: Vec<Target> = state.export_records().into_iter().map(|record| record.target).collect();
    assert_eq!(retained, [engine("b"), engine("c")]);
    assert_eq!((state.counters().tombstones_evicted, state.sizes().tombstones), (1, 2));
}

#[test]
fn merge_over_the_limit_reports_the_number_of_records_not_merged() {
    let mut large = CordonState::new(CordonLimits::default());
    for index in 0..5 {
        large.mark_listed(&format!("{index}"));
        large.cordon(NOW, &engine(&format!("{index}")), CordonRequest::Operator, "").expect("accepted");
    }
    let mut state = small_state();
    let result = state.merge_records(NOW, &large.export_records());
    assert_eq!((result.changes.len(), result.over_limit), (3, 2));
    assert_eq!(state.counters().merge_over_limit, 2);
}

#[test]
fn invalid_targets_and_leases_are_rejected_and_long_reasons_truncated() {
    let mut state = CordonState::new(CordonLimits::default());
    let longest = "e".repeat(MAX_ENGINE_ID_BYTES);
    state.mark_listed(&longest);
    state.mark_listed("e");
    assert_eq!(
        state.cordon(NOW, &engine(&longest), CordonRequest::Operator, ""),
        Ok(CordonOutcome::Cordoned)
    );
    for id in ["", "a\nb", &"e".repeat(MAX_ENGINE_ID_BYTES + 1)] {
        state.mark_listed(id);
        assert_eq!(
            state.cordon(NOW, &engine(id), CordonRequest::Operator, ""),
            Err(CordonError::InvalidTarget)
        );
        assert_eq!(state.uncordon(NOW, &engine(id), Cause::Operator), Err(CordonError::InvalidTarget));
    }
    assert_eq!(state.cordon(NOW, &engine("f"), CordonRequest::Operator, ""), Err(CordonError::NeverListed));
    assert_eq!(state.uncordon(NOW, &engine("f"), Cause::Operator), Err(CordonError::NeverListed));
    let lease = |lease_expires_at| CordonRequest::Fleet { permit: 1, lease_expires_at };
    let latest = NOW + MAX_LEASE;
    assert_eq!(state.cordon(NOW, &engine("e"), lease(NOW), ""), Err(CordonError::InvalidLease));
    assert_eq!(
        state.cordon(NOW, &engine("e"), lease(latest + TimeDelta::from_micros(1)), ""),
        Err(CordonError::InvalidLease)
    );
    assert_eq!(state.cordon(NOW, &engine("e"), lease(latest), &"w".repeat(500)), Ok(CordonOutcome::Cordoned));
    let cordon = state.active_cordons().find(|cordon| cordon.target == engine("e")).expect("cordoned");
    assert_eq!(cordon.reason.len(), MAX_REASON_BYTES);
    let counters = state.counters();
    assert_eq!(
        (counters.never_listed, counters.invalid_target, counters.invalid_lease, counters.cordons),
        (2, 6, 2, 2)
    );
}

/// An engine is cordoned by two causes, leaves the endpoint list and returns, and is uncordoned once for each
/// cause.
#[test]
fn cordon_lasts_until_uncordoned_regardless_of_the_endpoint_list() {
    let mut state = CordonState::new(CordonLimits::default());
    state.mark_listed("e");
    assert_eq!(state.cordon(NOW, &engine("e"), CordonRequest::Operator, "swap"), Ok(CordonOutcome::Cordoned));
    let permit = CordonRequest::Fleet { permit: 3, lease_expires_at: NOW + TimeDelta::from_micros(1_000) };
    assert_eq!(state.cordon(NOW, &engine("e"), permit, "release"), Ok(CordonOutcome::AlreadyCordoned));
    assert_eq!(
        state.cordon(NOW, &engine("e"), CordonRequest::Operator, "swap"),
        Ok(CordonOutcome::AlreadyCordoned)
    );
    state.mark_unlisted("e");
    assert!(state.is_engine_cordoned("e") && state.cordoned_engine_count() == 1);
    state.mark_listed("e");
    assert!(state.is_engine_cordoned("e"));
    let outcome = state.uncordon(NOW, &engine("e"), Cause::Operator);
    assert_eq!(
        outcome,
        Ok(CordonOutcome::StillCordoned { cause: Cause::Fleet { permit: 3 } }),
        "the fleet's cordon stays active"
    );
    state.mark_unlisted("e");
    assert_eq!(state.uncordon(NOW, &engine("e"), Cause::Fleet { permit: 3 }), Ok(CordonOutcome::Uncordoned));
    assert_eq!(state.uncordon(NOW, &engine("e"), Cause::Operator), Ok(CordonOutcome::NotCordoned));
    assert!(!state.is_engine_cordoned("e") && state.cordoned_engine_count() == 0);
}

/// A cordoned id is never evicted, and uncordoning it is accepted no matter how long ago it was listed.
#[test]
fn cordoned_id_is_remembered_past_the_limit() {
    let mut state = small_state();
    state.mark_listed("e");
    state.cordon(NOW, &engine("e"), CordonRequest::Operator, "").expect("accepted");
    state.mark_unlisted("e");
    for index in 0..50 {
        state.mark_listed(&format!("{index}"));
        state.mark_unlisted(&format!("{index}"));
    }
    assert!(state.was_ever_listed("e") && !state.was_ever_listed("0") && state.was_ever_listed("49"));
    assert_eq!(state.sizes().known_ids, 8);
    assert_eq!(state.counters().ids_evicted, 43);
    assert_eq!(state.uncordon(NOW, &engine("e"), Cause::Operator), Ok(CordonOutcome::Uncordoned));
}
