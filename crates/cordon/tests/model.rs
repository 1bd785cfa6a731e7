//! Tests that any sequence of calls, endpoint list events and time steps has the same results as in a
//! reference model.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sprucelink_cordon::{
    Cause, CordonError, CordonLimits, CordonOutcome, CordonRequest, CordonState, ManagerState, Target,
    Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
enum Step {
    Listed(u8),
    Unlisted(u8),
    /// Target index, permit (0: the operator), and lease in ticks.
    Cordon(u8, u8, i8),
    /// Target index and permit (0: the operator).
    Uncordon(u8, u8),
    /// Number of requests in flight.
    InFlight(u8),
    Expire,
    /// Exports all state and merges it into a new process.
    HotRestart,
}

fn step() -> impl Strategy<Value = Step> {
    let (id, permit) = (0_u8..6, 0_u8..4);
    prop_oneof![
        2 => id.clone().prop_map(Step::Listed),
        1 => id.clone().prop_map(Step::Unlisted),
        5 => (id.clone(), permit.clone(), -1_i8..9)
            .prop_map(|(id, permit, lease)| Step::Cordon(id, permit, lease)),
        4 => (id, permit).prop_map(|(id, permit)| Step::Uncordon(id, permit)),
        1 => (0_u8..3).prop_map(Step::InFlight),
        2 => Just(Step::Expire),
        1 => Just(Step::HotRestart),
    ]
}

/// Target 0 is this manager; all other targets are engines.
fn target(index: u8) -> Target {
    if index == 0 {
        Target::Manager
    } else {
        Target::Engine(format!("s-{index}"))
    }
}

fn cause(permit: u8) -> Cause {
    if permit == 0 {
        Cause::Operator
    } else {
        Cause::Fleet { permit: u64::from(permit) }
    }
}

/// A reference implementation that is as simple as possible: the engines that were ever listed, and the
/// expiry time of each active cause.
#[derive(Default)]
struct ReferenceModel {
    ever_listed: BTreeSet<u8>,
    active: BTreeMap<(u8, Cause), i64>,
    quiesced_since: Option<i64>,
    quiescing_since: Option<i64>,
}

impl ReferenceModel {
    fn active_causes(&self, index: u8) -> Vec<Cause> {
        self.active.keys().filter(|(target, _)| *target == index).map(|(_, cause)| *cause).collect()
    }

    fn is_cordoned(&self, index: u8) -> bool {
        !self.active_causes(index).is_empty()
    }

    fn is_known(&self, index: u8) -> bool {
        index == 0 || self.ever_listed.contains(&index)
    }

    fn cordon(&mut self, index: u8, permit: u8, now: i64, lease: i64) -> Result<CordonOutcome, CordonError> {
        if !self.is_known(index) {
            return Err(CordonError::NeverListed);
        }
        if permit > 0 && lease <= 0 {
            return Err(CordonError::InvalidLease);
        }
        let was_cordoned = self.is_cordoned(index);
        let expires_at = if permit == 0 { i64::MAX } else { now + lease };
        self.active.insert((index, cause(permit)), expires_at);
        Ok(if was_cordoned { CordonOutcome::AlreadyCordoned } else { CordonOutcome::Cordoned })
    }

    fn uncordon(&mut self, index: u8, permit: u8) -> Result<CordonOutcome, CordonError> {
        if !self.is_known(index) {
            return Err(CordonError::NeverListed);
        }
        let was_cordoned = self.is_cordoned(index);
        self.active.remove(&(index, cause(permit)));
        Ok(match self.active_causes(index).first() {
            Some(cause) => CordonOutcome::StillCordoned { cause: *cause },
            None if was_cordoned => CordonOutcome::Uncordoned,
            None => CordonOutcome::NotCordoned,
        })
    }

    fn expire(&mut self, now: i64) -> Vec<(Target, CordonOutcome)> {
        let expired: Vec<(u8, Cause)> =
            self.active.iter().filter(|(_, expires_at)| **expires_at <= now).map(|(key, _)| *key).collect();
        for key in &expired {
            self.active.remove(key);
        }
        let affected: BTreeSet<u8> = expired.iter().map(|(index, _)| *index).collect();
        let outcome = |index: u8| match self.active_causes(index).first() {
            Some(cause) => CordonOutcome::StillCordoned { cause: *cause },
            None => CordonOutcome::Uncordoned,
        };
        affected.iter().map(|index| (target(*index), outcome(*index))).collect()
    }

    fn set_in_flight(&mut self, now: i64, count: u8) {
        if self.quiescing_since.is_none() {
            return;
        }
        match (count, self.quiesced_since) {
            (0, None) => self.quiesced_since = Some(now),
            (1.., Some(since)) => {
                self.quiescing_since = Some(since);
                self.quiesced_since = None;
            }
            _ => {}
        }
    }

    fn reset_manager(&mut self) {
        self.quiescing_since = None;
        self.quiesced_since = None;
    }

    fn update_manager(&mut self, now: i64) {
        if self.is_cordoned(0) {
            self.quiescing_since.get_or_insert(now);
        } else {
            self.reset_manager();
        }
    }

    fn manager_state(&self) -> ManagerState {
        let at_micros = Timestamp::from_micros;
        match (self.is_cordoned(0), self.quiescing_since, self.quiesced_since) {
            (false, ..) => ManagerState::Serving,
            (true, _, Some(since)) => ManagerState::Quiesced { since: at_micros(since) },
            (true, since, None) => ManagerState::Quiescing { since: at_micros(since.unwrap_or(0)) },
        }
    }
}

fn cordon_request(permit: u8, lease_expires_at: i64) -> CordonRequest {
    let lease_expires_at = Timestamp::from_micros(lease_expires_at);
    match cause(permit) {
        Cause::Operator => CordonRequest::Operator,
        Cause::Fleet { permit } => CordonRequest::Fleet { permit, lease_expires_at },
    }
}

/// Checks the manager's state, the cordoned engines, the known engines and the active causes against the
/// model.
fn assert_matches_model(
    real: &CordonState,
    model: &ReferenceModel,
    step: &Step,
) -> Result<(), TestCaseError> {
    prop_assert_eq!(real.manager_state(), model.manager_state());
    for index in 1..6_u8 {
        let id = format!("s-{index}");
        let cordoned = real.is_engine_cordoned(&id);
        prop_assert_eq!(cordoned, model.is_cordoned(index), "engine {} after {:?}", index, step);
        prop_assert_eq!(real.was_ever_listed(&id), model.is_known(index));
    }
    let active: BTreeSet<(String, Cause)> =
        real.active_cordons().map(|cordon| (cordon.target.to_string(), cordon.cause)).collect();
    let expected = model.active.keys().map(|(index, cause)| (target(*index).to_string(), *cause)).collect();
    prop_assert_eq!(active, expected);
    prop_assert_eq!(real.sizes().active_cordons, model.active.len());
    Ok(())
}

/// Time between two steps, in microseconds.
const TICK: i64 = 1_000_000;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(41), failure_persistence: None, ..ProptestConfig::with_cases(400)
    })]

    #[test]
    fn any_sequence_of_calls_matches_the_reference_model(steps in prop::collection::vec(step(), 1..120)) {
        let mut real = CordonState::new(CordonLimits::default());
        let mut model = ReferenceModel::default();
        let mut now = 1_700_000_000_000_000_i64;
        for step in steps {
            now += TICK;
            let timestamp = Timestamp::from_micros(now);
            match &step {
                Step::Listed(index) => {
                    real.mark_listed(&format!("s-{index}"));
                    model.ever_listed.insert(*index);
                }
                Step::Unlisted(index) => real.mark_unlisted(&format!("s-{index}")),
                Step::Cordon(index, permit, lease) => {
                    let lease = i64::from(*lease) * TICK;
                    let expected = model.cordon(*index, *permit, now, lease);
                    let request = cordon_request(*permit, now + lease);
                    prop_assert_eq!(real.cordon(timestamp, &target(*index), request, "why"), expected);
                }
                Step::Uncordon(index, permit) => {
                    let expected = model.uncordon(*index, *permit);
                    prop_assert_eq!(real.uncordon(timestamp, &target(*index), cause(*permit)), expected);
                }
                Step::InFlight(count) => {
                    real.set_in_flight(timestamp, usize::from(*count));
                    model.set_in_flight(now, *count);
                }
                Step::Expire => {
                    let expected = model.expire(now);
                    let mut changes: Vec<(Target, CordonOutcome)> =
                        real.expire(timestamp)
                            .into_iter()
                            .map(|change| (change.target, change.outcome))
                            .collect();
                    changes.sort_by_key(|(target, _)| (*target != Target::Manager, target.to_string()));
                    prop_assert_eq!(changes, expected);
                }
                Step::HotRestart => {
                    let mut successor = CordonState::new(CordonLimits::default());
                    successor.merge_known_ids(&real.export_known_ids(usize::MAX));
                    let result = successor.merge_records(timestamp, &real.export_records());
                    prop_assert_eq!((result.over_limit, result.malformed), (0, 0));
                    // The new process never activates a cordon whose lease expires at the time of the merge.
                    model.active.retain(|_, expires_at| *expires_at > now);
                    model.reset_manager();
                    real = successor;
                }
            }
            model.update_manager(now);
            assert_matches_model(&real, &model, &step)?;
        }
    }
}
