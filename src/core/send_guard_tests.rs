//! The gate at an attempt's first byte, rule by rule, at the edges.

use super::*;
use quickcheck::{Gen, QuickCheck, TestResult};
use sprucelink_policy::{ClassSettings, DedupGroup};

fn class(effect: Effect, window_ms: i64) -> ClassSettings {
    ClassSettings {
        worth: 1.0,
        late_worth: 0.5,
        aim: ms(1),
        aim_stretch: 0.0,
        deadline: ms(20_000),
        effect,
        group: DedupGroup::All,
        repeat_window: ms(window_ms),
        in_turn: false,
        threads: 1.0,
        load: false,
        kinds: None,
        zones: None,
    }
}

fn ms(t: i64) -> TimeDelta {
    TimeDelta::from_millis(t)
}

fn at(t: i64) -> Timestamp {
    Timestamp::from_millis(t)
}

fn gate(budget: Option<AttemptBudget>) -> SendGuard {
    let classes = vec![class(Effect::Safe, 0), class(Effect::Keyed, 400), class(Effect::Unsafe, 9_000)];
    SendGuard::new(&Settings { classes, attempt_budget: budget, ..Settings::default() })
}

const FIRST: OutgoingAttempt = OutgoingAttempt {
    open: true,
    deadline: Timestamp::from_micros(2_000_000),
    class: 0,
    further: false,
    may_have_run: None,
    engine_ready: true,
};

#[test]
fn a_request_that_is_over_or_late_and_an_engine_that_drains_get_nothing() {
    let gate = gate(None);
    assert_eq!(gate.check(at(1), 0.0, &FIRST), Ok(()));
    assert_eq!(gate.check(at(1), 0.0, &OutgoingAttempt { open: false, ..FIRST }), Err(SendRejection::Over));
    assert_eq!(gate.check(at(1_999), 0.0, &FIRST), Ok(()));
    assert_eq!(gate.check(at(2_000), 0.0, &FIRST), Err(SendRejection::Late));
    assert_eq!(
        gate.check(at(1), 0.0, &OutgoingAttempt { engine_ready: false, ..FIRST }),
        Err(SendRejection::Engine)
    );
}

#[test]
fn a_repeat_leaves_within_its_window_and_what_is_unsafe_never() {
    let gate = gate(None);
    let again = OutgoingAttempt { further: true, may_have_run: Some(at(100)), ..FIRST };
    assert_eq!(gate.check(at(1_000), 0.0, &again), Ok(()), "a safe class has no window");
    let keyed = OutgoingAttempt { class: 1, ..again };
    assert_eq!(gate.check(at(499), 0.0, &keyed), Ok(()));
    assert_eq!(gate.check(at(500), 0.0, &keyed), Err(SendRejection::Repeat));
    let never_ran = OutgoingAttempt { may_have_run: None, ..keyed };
    assert_eq!(gate.check(at(1_500), 0.0, &never_ran), Ok(()));
    let one_way = OutgoingAttempt { class: 2, ..again };
    assert_eq!(gate.check(at(101), 0.0, &one_way), Err(SendRejection::Repeat));
    assert_eq!(gate.check(at(101), 0.0, &OutgoingAttempt { may_have_run: None, ..one_way }), Ok(()));
}

#[test]
fn a_process_that_ends_sends_nothing_that_could_not_end_before() {
    let mut gate = gate(None);
    assert!(!gate.closed(at(5_000)));
    gate.ends_by(at(700));
    assert_eq!((gate.answer_by(at(500)), gate.answer_by(at(900))), (at(500), at(700)));
    assert_eq!(gate.check(at(699), 0.0, &FIRST), Ok(()));
    assert_eq!(gate.check(at(700), 0.0, &FIRST), Err(SendRejection::Late));
    assert!(!gate.closed(at(699)) && gate.closed(at(700)));
}

/// Whatever is taken and chosen when, and however late it leaves: no further attempt leaves that is over the ration of the
/// span before it.
#[test]
fn no_span_holds_more_further_attempts_than_its_ration() {
    fn holds(steps: Vec<(u8, bool)>) -> TestResult {
        let budget = AttemptBudget { span: ms(1_000), free: 3.0, share: 0.1 };
        let mut gate = gate(Some(budget));
        let (mut now, mut taken, mut left) = (at(50_000), Vec::new(), Vec::<Timestamp>::new());
        for (rest, request) in steps {
            now = now + ms(i64::from(rest) / 2);
            if request {
                gate.took(now);
                taken.push(now);
            }
            let further = OutgoingAttempt { further: true, deadline: now + ms(1), ..FIRST };
            if gate.check(now, 0.0, &further).is_err() {
                continue;
            }
            gate.left(now, true);
            left.push(now);
            // The rule counts at each of them, itself included.
            let from = now - budget.span;
            let of = |all: &[Timestamp]| all.iter().filter(|t| **t > from).count() as f64;
            if of(&left) > budget.free + budget.share * of(&taken) + 1e-9 {
                return TestResult::failed();
            }
        }
        TestResult::passed()
    }
    let rng = Gen::from_size_and_seed(400, 11);
    QuickCheck::new().rng(rng).tests(300).quickcheck(holds as fn(Vec<(u8, bool)>) -> TestResult);
}

#[test]
fn the_ration_is_used_and_its_counts_stay_bounded() {
    let budget = AttemptBudget { span: ms(5_000), free: 3.0, share: 0.1 };
    let mut gate = gate(Some(budget));
    let further = OutgoingAttempt { further: true, deadline: Timestamp::MAX, ..FIRST };
    let mut left = 0;
    for t in 0..60_000 {
        gate.took(at(t));
        if gate.check(at(t), 0.0, &further).is_ok() {
            gate.left(at(t), true);
            left += 1;
        }
    }
    // A tenth of 60,000 and a free one now and then.
    assert!((5_800..=6_100).contains(&left), "{left}");
    assert!(gate.taken.counts.len() as i64 <= MOST_SLOTS && gate.further.counts.len() as i64 <= MOST_SLOTS);
    assert_eq!(gate.check(at(60_000), 1e9, &further), Ok(()), "others leave some");
}
