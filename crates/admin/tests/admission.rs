//! Admission as a state machine: whatever callers do, its bounds hold.

use proptest::prelude::*;
use sprucelink_admin::admission::{Admission, ConnectionId, Stage};
use sprucelink_admin::{Limits, PEAK_ACCEPTS_PER_SECOND};
use std::collections::BTreeMap;
use std::time::Duration;

const SLOTS: usize = 6;

fn limits() -> Limits {
    Limits {
        max_connections: SLOTS,
        request_timeout: Duration::from_millis(200),
        response_timeout: Duration::from_millis(150),
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
fn least(seen: &BTreeMap<ConnectionId, Seen>, gone: ConnectionId) -> Result<(), TestCaseError> {
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
    fn slots_timeouts_and_eviction_order_hold(ops in prop::collection::vec(op(), 1..300)) {
        let mut admission = Admission::new(limits());
        let mut seen: BTreeMap<ConnectionId, Seen> = BTreeMap::new();
        let mut now = Duration::ZERO;
        let pick = |seen: &BTreeMap<ConnectionId, Seen>, n: usize| seen.keys().nth(n % seen.len().max(1)).copied();
        for op in ops {
            match op {
                Op::Pass(n) => now += ms(n),
                Op::Admit => {
                    let full = seen.len() == SLOTS;
                    let admitted = admission.admit(now);
                    prop_assert_eq!(admitted.evicted.is_some(), full, "somebody goes only when all is taken");
                    if let Some(gone) = admitted.evicted {
                        least(&seen, gone)?;
                        seen.remove(&gone);
                    }
                    seen.insert(admitted.id, Seen { accepted: now, stage: Stage::ReadingRequest, since: now });
                }
                Op::Starved => match admission.evict() {
                    Some(gone) => {
                        least(&seen, gone)?;
                        seen.remove(&gone);
                    }
                    None => prop_assert!(seen.is_empty()),
                },
                Op::Heard(n) => if let Some(id) = pick(&seen, n) {
                    let due = admission.deadline(id);
                    admission.on_request_bytes(now, id);
                    prop_assert_eq!(admission.deadline(id), due, "what is heard buys no time");
                    let s = seen.get_mut(&id).unwrap();
                    if s.stage == Stage::ReadingRequest { s.since = now }
                },
                Op::Answering(n) | Op::Answered(n) => if let Some(id) = pick(&seen, n) {
                    let s = seen.get_mut(&id).unwrap();
                    let (from, to) = match op {
                        Op::Answering(_) => { admission.on_response_begin(now, id); (Stage::ReadingRequest, Stage::WritingResponse) }
                        _ => { admission.on_response_sent(now, id); (Stage::WritingResponse, Stage::Closing) }
                    };
                    if s.stage == from { s.stage = to; s.since = now }
                },
                Op::Left(n) => if let Some(id) = pick(&seen, n) {
                    admission.remove(id);
                    admission.remove(id);
                    seen.remove(&id);
                },
            }
            prop_assert!(admission.connections() == seen.len() && seen.len() <= SLOTS);
            let limits = limits();
            for (id, s) in &seen {
                let time = match s.stage {
                    Stage::ReadingRequest => limits.request_timeout,
                    Stage::WritingResponse => limits.response_timeout,
                    Stage::Closing => limits.linger,
                };
                let begun = if s.stage == Stage::ReadingRequest { s.accepted } else { s.since };
                prop_assert_eq!(admission.deadline(*id), Some(begun + time));
                prop_assert_eq!(admission.timed_out(now, *id), (now >= begun + time).then_some(s.stage));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(19), failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    /// Callers who come as fast as they are let: never more than either burst and its rate, in any span.
    #[test]
    fn accepts_are_paced(pauses in prop::collection::vec(prop_oneof![6 => Just(0_u64), 1 => 0..200_u64], 130..220)) {
        let mut admission = Admission::new(Limits { max_connections: 40, ..limits() });
        let (mut now, mut times) = (Duration::ZERO, Vec::new());
        for pause in pauses {
            now = admission.accept_at(now + ms(pause));
            admission.admit(now);
            times.push(now);
        }
        for (n, from) in times.iter().enumerate() {
            for (m, to) in times.iter().enumerate().skip(n) {
                let span = (*to - *from).as_secs_f64();
                let most = (20.0 + span * f64::from(PEAK_ACCEPTS_PER_SECOND)).min(100.0 + span * 400.0) + 1e-6;
                prop_assert!((m - n + 1) as f64 <= most, "{} accepts in {:?}", m - n + 1, *to - *from);
            }
        }
    }

    /// However many others come at the pace they are let, and whatever half calls they send, a caller whose call is whole
    /// within the time that pace leaves it is still there.
    #[test]
    fn connection_with_a_complete_request_keeps_its_slot(before in 0..200_usize, talk in prop::collection::vec(any::<bool>(), 300)) {
        let limits = Limits { max_connections: 64, accept_burst: 512, ..Limits::default() };
        let mut admission = Admission::new(limits);
        let mut now = Duration::ZERO;
        let crowd = |admission: &mut Admission, now: &mut Duration, n: usize| {
            *now = admission.accept_at(*now);
            let id = admission.admit(*now).id;
            if talk[n % talk.len()] { admission.on_request_bytes(*now, id) }
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
        prop_assert!(admission.deadline(good).is_some(), "displaced by {} others in 30 ms", n);
        admission.on_response_begin(within, good);
        // From now on it goes last.
        (0..500).for_each(|m| crowd(&mut admission, &mut now, m));
        prop_assert_eq!(admission.deadline(good), Some(within + limits.response_timeout));
    }
}

#[test]
fn zero_slots_count_as_one() {
    let mut admission = Admission::new(Limits { max_connections: 0, ..limits() });
    let first = admission.admit(ms(1)).id;
    assert_eq!(admission.admit(ms(2)).evicted, Some(first));
    assert_eq!(
        (admission.connections(), limits().descriptors(), admission.deadline(first)),
        (1, SLOTS + 2, None)
    );
}
