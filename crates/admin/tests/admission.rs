//! Tests of admission as a state machine: the limits hold in any order of events.

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

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[derive(Clone, Debug)]
enum Operation {
    Admit,
    ReceiveBytes(usize),
    BeginResponse(usize),
    FinishResponse(usize),
    Remove(usize),
    RunOutOfDescriptors,
    Advance(u64),
}

fn operation() -> impl Strategy<Value = Operation> {
    let any = any::<usize>;
    prop_oneof![
        4 => Just(Operation::Admit),
        3 => any().prop_map(Operation::ReceiveBytes),
        2 => any().prop_map(Operation::BeginResponse),
        2 => any().prop_map(Operation::FinishResponse),
        1 => any().prop_map(Operation::Remove),
        1 => Just(Operation::RunOutOfDescriptors),
        4 => (0..60_u64).prop_map(Operation::Advance),
    ]
}

/// The state of a connection, as the test expects it.
#[derive(Clone, Copy, Debug)]
struct ConnectionModel {
    accepted: Duration,
    stage: Stage,
    last_activity: Duration,
}

/// Checks that the evicted connection was the first in eviction order: by stage, then by the time it has been
/// silent.
fn check_eviction_order(
    model: &BTreeMap<ConnectionId, ConnectionModel>,
    evicted: ConnectionId,
) -> Result<(), TestCaseError> {
    let eviction_rank = |connection: &ConnectionModel| (connection.stage, connection.last_activity);
    let first = model[&evicted];
    for (id, other) in model {
        prop_assert!(
            eviction_rank(&first) <= eviction_rank(other),
            "{:?} was evicted before {:?} {:?}",
            first,
            id,
            other
        );
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(17), failure_persistence: None, ..ProptestConfig::with_cases(512) })]

    #[test]
    fn slots_timeouts_and_eviction_order_hold(operations in prop::collection::vec(operation(), 1..300)) {
        let mut admission = Admission::new(limits());
        let mut model: BTreeMap<ConnectionId, ConnectionModel> = BTreeMap::new();
        let mut now = Duration::ZERO;
        let pick = |model: &BTreeMap<ConnectionId, ConnectionModel>, n: usize| model.keys().nth(n % model.len().max(1)).copied();
        for operation in operations {
            match operation {
                Operation::Advance(n) => now += millis(n),
                Operation::Admit => {
                    let is_full = model.len() == SLOTS;
                    let admission_result = admission.admit(now);
                    prop_assert_eq!(admission_result.evicted.is_some(), is_full, "a connection is evicted only when all slots are taken");
                    if let Some(evicted) = admission_result.evicted {
                        check_eviction_order(&model, evicted)?;
                        model.remove(&evicted);
                    }
                    model.insert(admission_result.id, ConnectionModel { accepted: now, stage: Stage::ReadingRequest, last_activity: now });
                }
                Operation::RunOutOfDescriptors => match admission.evict() {
                    Some(evicted) => {
                        check_eviction_order(&model, evicted)?;
                        model.remove(&evicted);
                    }
                    None => prop_assert!(model.is_empty()),
                },
                Operation::ReceiveBytes(n) => if let Some(id) = pick(&model, n) {
                    let deadline = admission.deadline(id);
                    admission.on_request_bytes(now, id);
                    prop_assert_eq!(admission.deadline(id), deadline, "bytes do not extend the deadline");
                    let connection = model.get_mut(&id).unwrap();
                    if connection.stage == Stage::ReadingRequest { connection.last_activity = now }
                },
                Operation::BeginResponse(n) | Operation::FinishResponse(n) => if let Some(id) = pick(&model, n) {
                    let connection = model.get_mut(&id).unwrap();
                    let (from, to) = match operation {
                        Operation::BeginResponse(_) => { admission.on_response_begin(now, id); (Stage::ReadingRequest, Stage::WritingResponse) }
                        _ => { admission.on_response_sent(now, id); (Stage::WritingResponse, Stage::Closing) }
                    };
                    if connection.stage == from { connection.stage = to; connection.last_activity = now }
                },
                Operation::Remove(n) => if let Some(id) = pick(&model, n) {
                    admission.remove(id);
                    admission.remove(id);
                    model.remove(&id);
                },
            }
            prop_assert!(admission.connections() == model.len() && model.len() <= SLOTS);
            let limits = limits();
            for (id, connection) in &model {
                let timeout = match connection.stage {
                    Stage::ReadingRequest => limits.request_timeout,
                    Stage::WritingResponse => limits.response_timeout,
                    Stage::Closing => limits.linger,
                };
                let started = if connection.stage == Stage::ReadingRequest { connection.accepted } else { connection.last_activity };
                prop_assert_eq!(admission.deadline(*id), Some(started + timeout));
                prop_assert_eq!(admission.timed_out(now, *id), (now >= started + timeout).then_some(connection.stage));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(19), failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    /// Clients connect as fast as they are accepted. In any period, the number of accepted connections
    /// exceeds neither the peak nor the sustained rate by more than the burst of that rate.
    #[test]
    fn accepts_stay_within_peak_and_sustained_rates(pauses in prop::collection::vec(prop_oneof![6 => Just(0_u64), 1 => 0..200_u64], 130..220)) {
        let mut admission = Admission::new(Limits { max_connections: 40, ..limits() });
        let (mut now, mut times) = (Duration::ZERO, Vec::new());
        for pause in pauses {
            now = admission.accept_at(now + millis(pause));
            admission.admit(now);
            times.push(now);
        }
        for (n, from) in times.iter().enumerate() {
            for (m, to) in times.iter().enumerate().skip(n) {
                let span = (*to - *from).as_secs_f64();
                let allowed = (20.0 + span * f64::from(PEAK_ACCEPTS_PER_SECOND)).min(100.0 + span * 400.0) + 1e-6;
                prop_assert!((m - n + 1) as f64 <= allowed, "{} accepts in {:?}", m - n + 1, *to - *from);
            }
        }
    }

    /// Guards against partial requests that evict a complete one: a client whose request is complete within
    /// the 30 ms that the peak rate leaves it keeps its slot, however many other clients connect at that
    /// rate.
    #[test]
    fn connection_with_a_complete_request_keeps_its_slot(before in 0..200_usize, sends_bytes in prop::collection::vec(any::<bool>(), 300)) {
        let limits = Limits { max_connections: 64, accept_burst: 512, ..Limits::default() };
        let mut admission = Admission::new(limits);
        let mut now = Duration::ZERO;
        let admit_other = |admission: &mut Admission, now: &mut Duration, n: usize| {
            *now = admission.accept_at(*now);
            let id = admission.admit(*now).id;
            if sends_bytes[n % sends_bytes.len()] { admission.on_request_bytes(*now, id) }
        };
        (0..before).for_each(|n| admit_other(&mut admission, &mut now, n));
        now = admission.accept_at(now);
        let complete = admission.admit(now).id;
        let completed_at = now + millis(30);
        let mut n = 0;
        while admission.accept_at(now) < completed_at {
            admit_other(&mut admission, &mut now, before + n);
            n += 1;
        }
        prop_assert!(n >= 29, "{} others connected meanwhile", n);
        prop_assert!(admission.deadline(complete).is_some(), "evicted by {} others in 30 ms", n);
        admission.on_response_begin(completed_at, complete);
        // From now on this connection is evicted last.
        (0..500).for_each(|m| admit_other(&mut admission, &mut now, m));
        prop_assert_eq!(admission.deadline(complete), Some(completed_at + limits.response_timeout));
    }
}

#[test]
fn zero_slots_count_as_one() {
    let mut admission = Admission::new(Limits { max_connections: 0, ..limits() });
    let first = admission.admit(millis(1)).id;
    assert_eq!(admission.admit(millis(2)).evicted, Some(first));
    assert_eq!(
        (admission.connections(), limits().descriptors(), admission.deadline(first)),
        (1, SLOTS + 2, None)
    );
}
