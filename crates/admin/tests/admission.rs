//! Admission as a state machine: whatever callers do, its bounds hold.

use proptest::prelude::*;
use sprucelink_admin::admission::{Admission, CallerId, Stage};
use sprucelink_admin::{Limits, ACCEPTS_PER_SECOND};
use std::collections::BTreeMap;
use std::time::Duration;

const SEATS: usize = 6;

fn limits() -> Limits {
    Limits {
        callers: SEATS,
        call_due: Duration::from_millis(200),
        answer_due: Duration::from_millis(150),
        linger: Duration::from_millis(50),
        accepts_per_second: 400,
        accept_burst: 100,
    }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[derive(Clone, Debug)]
enum Op {
    Admit,
    Heard(usize),
    Answering(usize),
    Answered(usize),
    Left(usize),
    Starved,
    Pass(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let any = any::<usize>;
    prop_oneof![
        4 => Just(Op::Admit),
        3 => any().prop_map(Op::Heard),
        2 => any().prop_map(Op::Answering),
        2 => any().prop_map(Op::Answered),
        1 => any().prop_map(Op::Left),
        1 => Just(Op::Starved),
        4 => (0..60_u64).prop_map(Op::Pass),
    ]
}

/// What a caller did, as the test saw it.
#[derive(Clone, Copy, Debug)]
struct Seen {
    accepted: Duration,
    stage: Stage,
    since: Duration,
}

/// Nobody who had to go mattered more than one who stays: by stage, then by how long nothing was heard.
fn least(seen: &BTreeMap<CallerId, Seen>, gone: CallerId) -> Result<(), TestCaseError> {
    let rank = |s: &Seen| (s.stage, s.since);
    let out = seen[&gone];
    for (id, other) in seen {
        prop_assert!(rank(&out) <= rank(other), "{:?} went for {:?} {:?}", out, id, other);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(17), failure_persistence: None, ..ProptestConfig::with_cases(512) })]

    #[test]
    fn seats_times_and_turns_hold(ops in prop::collection::vec(op(), 1..300)) {
        let mut admission = Admission::new(limits());
        let mut seen: BTreeMap<CallerId, Seen> = BTreeMap::new();
        let mut now = Duration::ZERO;
        let pick = |seen: &BTreeMap<CallerId, Seen>, n: usize| seen.keys().nth(n % seen.len().max(1)).copied();
        for op in ops {
            match op {
                Op::Pass(n) => now += ms(n),
                Op::Admit => {
                    let full = seen.len() == SEATS;
                    let admitted = admission.admit(now);
                    prop_assert_eq!(admitted.displaced.is_some(), full, "somebody goes only when all is taken");
                    if let Some(gone) = admitted.displaced {
                        least(&seen, gone)?;
                        seen.remove(&gone);
                    }
                    seen.insert(admitted.id, Seen { accepted: now, stage: Stage::Calling, since: now });
                }
                Op::Starved => match admission.displace() {
                    Some(gone) => {
                        least(&seen, gone)?;
                        seen.remove(&gone);
                    }
                    None => prop_assert!(seen.is_empty()),
                },
                Op::Heard(n) => if let Some(id) = pick(&seen, n) {
                    let due = admission.due(id);
                    admission.heard(now, id);
                    prop_assert_eq!(admission.due(id), due, "what is heard buys no time");
                    let s = seen.get_mut(&id).unwrap();
                    if s.stage == Stage::Calling { s.since = now }
                },
                Op::Answering(n) | Op::Answered(n) => if let Some(id) = pick(&seen, n) {
                    let s = seen.get_mut(&id).unwrap();
                    let (from, to) = match op {
                        Op::Answering(_) => { admission.answering(now, id); (Stage::Calling, Stage::Answering) }
                        _ => { admission.answered(now, id); (Stage::Answering, Stage::Leaving) }
                    };
                    if s.stage == from { s.stage = to; s.since = now }
                },
                Op::Left(n) => if let Some(id) = pick(&seen, n) {
                    admission.left(id);
                    admission.left(id);
                    seen.remove(&id);
                },
            }
            prop_assert!(admission.callers() == seen.len() && seen.len() <= SEATS);
            let l = limits();
            for (id, s) in &seen {
                let time = match s.stage {
                    Stage::Calling => l.call_due,
                    Stage::Answering => l.answer_due,
                    Stage::Leaving => l.linger,
                };
                let begun = if s.stage == Stage::Calling { s.accepted } else { s.since };
                prop_assert_eq!(admission.due(*id), Some(begun + time));
                prop_assert_eq!(admission.overdue(now, *id), (now >= begun + time).then_some(s.stage));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(19), failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    /// Callers who come as fast as they are let: never more than either burst and its rate, in any span.
    #[test]
    fn accepts_are_paced(pauses in prop::collection::vec(prop_oneof![6 => Just(0_u64), 1 => 0..200_u64], 130..220)) {
        let mut admission = Admission::new(Limits { callers: 40, ..limits() });
        let (mut now, mut times) = (Duration::ZERO, Vec::new());
        for pause in pauses {
            now = admission.accept_at(now + ms(pause));
            admission.admit(now);
            times.push(now);
        }
        for (n, from) in times.iter().enumerate() {
            for (m, to) in times.iter().enumerate().skip(n) {
                let span = (*to - *from).as_secs_f64();
                let most = (20.0 + span * f64::from(ACCEPTS_PER_SECOND)).min(100.0 + span * 400.0) + 1e-6;
                prop_assert!((m - n + 1) as f64 <= most, "{} accepts in {:?}", m - n + 1, *to - *from);
            }
        }
    }

    /// However many others come at the pace they are let, and whatever half calls they send, a caller whose call is whole
    /// within the time that pace leaves it is still there.
    #[test]
    fn a_good_caller_keeps_its_seat(before in 0..200_usize, talk in prop::collection::vec(any::<bool>(), 300)) {
        let limits = Limits { callers: 64, accept_burst: 512, ..Limits::default() };
        let mut admission = Admission::new(limits);
        let mut now = Duration::ZERO;
        let crowd = |admission: &mut Admission, now: &mut Duration, n: usize| {
            *now = admission.accept_at(*now);
            let id = admission.admit(*now).id;
            if talk[n % talk.len()] { admission.heard(*now, id) }
        };
        (0..before).for_each(|n| crowd(&mut admission, &mut now, n));
        now = admission.accept_at(now);
        let good = admission.admit(now).id;
        let within = now + ms(30);
        let mut n = 0;
        while admission.accept_at(now) < within {
            crowd(&mut admission, &mut now, before + n);
            n += 1;
        }
        prop_assert!(n >= 29, "{} others came meanwhile", n);
        prop_assert!(admission.due(good).is_some(), "displaced by {} others in 30 ms", n);
        admission.answering(within, good);
        // From now on it goes last.
        (0..500).for_each(|m| crowd(&mut admission, &mut now, m));
        prop_assert_eq!(admission.due(good), Some(within + limits.answer_due));
    }
}

#[test]
fn no_seats_is_one_seat() {
    let mut admission = Admission::new(Limits { callers: 0, ..limits() });
    let first = admission.admit(ms(1)).id;
    assert_eq!(admission.admit(ms(2)).displaced, Some(first));
    assert_eq!((admission.callers(), limits().descriptors(), admission.due(first)), (1, SEATS + 2, None));
}
