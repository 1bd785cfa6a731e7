use super::{is_in_dedup_group, is_placement_allowed, is_trial, Locality};
use crate::settings::tests::class;
use crate::settings::{ClassSettings, DedupGroup, Effect};

#[test]
fn class_runs_only_on_its_kinds_and_in_its_zones() {
    let restricted =
        ClassSettings { kinds: Some(vec![1]), zones: Some(vec![0, 2]), ..class(Effect::Safe, 1.0) };
    assert!(is_placement_allowed(&restricted, 1, 2));
    assert!(!is_placement_allowed(&restricted, 0, 2), "an excluded kind");
    assert!(!is_placement_allowed(&restricted, 1, 1), "an excluded zone");
    assert!(is_placement_allowed(&class(Effect::Safe, 1.0), 7, 7), "a class without restrictions");
}

#[test]
fn keyed_retry_stays_in_its_deduplication_group() {
    let first = Locality { zone: 1, cell: 4 };
    let localities = [first, Locality { zone: 1, cell: 5 }, Locality { zone: 2, cell: 4 }];
    let allowed = |group| localities.map(|locality| is_in_dedup_group(group, first, locality));
    assert_eq!(allowed(DedupGroup::All), [true, true, true]);
    assert_eq!(allowed(DedupGroup::Zone), [true, true, false]);
    assert_eq!(allowed(DedupGroup::Cell), [true, false, false]);
}

#[test]
fn trial_of_an_ejected_engine_is_one_light_idempotent_request() {
    assert!(is_trial(&class(Effect::Safe, 1.0), 0, true));
    assert!(!is_trial(&class(Effect::Safe, 1.0), 0, false), "no trial is due");
    assert!(!is_trial(&class(Effect::Safe, 1.0), 1, true), "an attempt is in flight");
    assert!(!is_trial(&class(Effect::Safe, 2.0), 0, true), "the query has several threads");
    assert!(!is_trial(&class(Effect::Keyed, 1.0), 0, true), "a failed trial might not be retried");
}
