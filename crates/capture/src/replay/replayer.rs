//! Gives recorded events to a policy and compares its answers with the recorded ones.

use super::actions::{describe_actions, describe_answer, differing_kinds, is_same_answer};
use super::outcome_policy::{match_event, OutcomePolicy};
use super::recorded_attempts::RecordedAttempts;
use super::{Divergence, PolicyPanic, ReplaySummary, Step, StepCallback};
use crate::codec::{digest_actions, encode_actions};
use crate::input::RecordedInput;
use crate::segment::{Answer, Record, Segment};
use sprucelink_policy::{Action, Event, LoadReport, Outcome, Policy, RequestId, TimeDelta, Timestamp};
use std::any::Any;
use std::collections::VecDeque;
use std::ops::ControlFlow;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Time from a cancellation that was not recorded to the end of its attempt: the round trip to the engine.
const CANCELLATION_LATENCY: TimeDelta = TimeDelta::from_millis(10);
/// Number of bits by which the digest of all answers is rotated before the next answer's digest is added, so
/// that the order of the answers counts.
const DIGEST_ROTATION: u32 = 1;

/// A cancellation that was not recorded, so that no record ends its attempt.
#[derive(Clone, Copy)]
struct PendingCancellation {
    /// Time at which the attempt ends.
    due: Timestamp,
    id: RequestId,
    attempt: u32,
}

/// The replay of one segment.
pub(super) struct Replayer<'a, 'b> {
    policy: Policy,
    outcome_policy: OutcomePolicy,
    recorded: RecordedAttempts,
    summary: ReplaySummary,
    /// The policy's actions for the last event.
    actions: Vec<Action>,
    /// Buffer for the computation of digests, reused.
    digest_buffer: Vec<u8>,
    /// Pending cancellations, earliest first.
    cancellations: VecDeque<PendingCancellation>,
    on_step: StepCallback<'a, 'b>,
}

impl<'a, 'b> Replayer<'a, 'b> {
    pub(super) fn new(
        policy: Policy,
        outcome_policy: OutcomePolicy,
        on_step: StepCallback<'a, 'b>,
    ) -> Replayer<'a, 'b> {
        let recorded = RecordedAttempts::at_checkpoint(&policy);
        Replayer {
            policy,
            outcome_policy,
            recorded,
            summary: ReplaySummary::default(),
            actions: Vec::new(),
            digest_buffer: Vec::new(),
            cancellations: VecDeque::new(),
            on_step,
        }
    }

    /// Replays the records of a segment up to `until`, or up to a panic of the policy.
    pub(super) fn run(mut self, segment: &Segment, until: Option<Timestamp>) -> ReplaySummary {
        for (record_index, record) in segment.records.iter().enumerate() {
            if until.is_some_and(|until| record.at > until) {
                break;
            }
            if self.replay_record(record_index, record).is_break() {
                break;
            }
        }
        self.summary
    }

    fn replay_record(&mut self, record_index: usize, record: &Record) -> ControlFlow<()> {
        let is_matched = self.outcome_policy == OutcomePolicy::Matched;
        if is_matched {
            self.complete_due_cancellations(record_index, record.at)?;
        }
        let RecordedInput::Event(event) = &record.input else {
            self.actions.clear();
            self.report_step(record_index, record.at, record.input.clone(), &record.answer);
            return ControlFlow::Continue(());
        };
        let replayed_event =
            if is_matched { match_event(event, &self.policy, &self.recorded) } else { Some(event.clone()) };
        self.recorded.apply(event, &record.answer);
        let Some(replayed_event) = replayed_event else { return ControlFlow::Continue(()) };
        self.handle_event(record_index, record.at, replayed_event.clone())?;
        if is_matched {
            self.add_cancellations(record.at, &record.answer);
        }
        self.compare(record_index, record, event);
        self.report_step(record_index, record.at, RecordedInput::Event(replayed_event), &record.answer);
        ControlFlow::Continue(())
    }

    /// Lets the policy handle an event; breaks if the policy panics.
    fn handle_event(&mut self, record_index: usize, at: Timestamp, event: Event) -> ControlFlow<()> {
        self.actions.clear();
        let policy = &mut self.policy;
        let actions = &mut self.actions;
        let Err(cause) = catch_unwind(AssertUnwindSafe(|| policy.handle(at, event, actions))) else {
            return ControlFlow::Continue(());
        };
        self.summary.panic =
            Some(PolicyPanic { record: record_index, message: panic_message(cause.as_ref()) });
        ControlFlow::Break(())
    }

    /// Passes a step to the caller's callback.
    fn report_step(&mut self, record_index: usize, at: Timestamp, input: RecordedInput, answer: &Answer) {
        let record = Record { at, input, answer: answer.clone() };
        (self.on_step)(Step { record_index, record: &record, policy: &self.policy, actions: &self.actions });
    }

    /// Ends the attempts whose cancellation is due.
    fn complete_due_cancellations(&mut self, record_index: usize, now: Timestamp) -> ControlFlow<()> {
        while let Some(&cancellation) = self.cancellations.front().filter(|pending| pending.due <= now) {
            self.cancellations.pop_front();
            let PendingCancellation { due, id, attempt } = cancellation;
            if self.policy.in_flight_attempt(id).is_none_or(|(own_attempt, _)| own_attempt != attempt) {
                continue;
            }
            let ended = Event::AttemptEnded {
                id,
                attempt,
                outcome: Outcome::Cancelled,
                latency: CANCELLATION_LATENCY,
                complete: false,
                query_cost: None,
                report: LoadReport::default(),
            };
            self.handle_event(record_index, due, ended.clone())?;
            self.report_step(record_index, due, RecordedInput::Event(ended), &Answer::None);
            self.add_cancellations(due, &Answer::None);
        }
        ControlFlow::Continue(())
    }

    /// Schedules the end of attempts whose cancellation was not recorded. For recorded cancellations the
    /// capture holds the end of the attempt.
    fn add_cancellations(&mut self, at: Timestamp, answer: &Answer) {
        for action in &self.actions {
            let Action::Cancel { id, attempt } = action else { continue };
            let is_recorded = matches!(answer, Answer::Complete(recorded) if recorded.contains(action));
            if !is_recorded {
                let due = at + CANCELLATION_LATENCY;
                self.cancellations.push_back(PendingCancellation { due, id: *id, attempt: *attempt });
            }
        }
    }

    /// Compares the policy's answer with the recorded one, and updates the summary.
    fn compare(&mut self, record_index: usize, record: &Record, event: &Event) {
        self.summary.events += 1;
        let replayed = encode_actions(&self.actions);
        let digest = digest_actions(&replayed, &mut self.digest_buffer);
        self.summary.digest = self.summary.digest.rotate_left(DIGEST_ROTATION) ^ digest;
        if is_same_answer(&record.answer, &replayed, &mut self.digest_buffer) {
            return;
        }
        self.summary.differing_events += 1;
        let kinds = differing_kinds(&record.answer, &self.actions);
        for kind in &kinds {
            *self.summary.differing_by_kind.entry(kind).or_default() += 1;
        }
        let actions = &self.actions;
        self.summary.first_divergence.get_or_insert_with(|| Divergence {
            record: record_index,
            at_us: record.at.as_micros(),
            event: format!("{event:?}"),
            expected: describe_answer(&record.answer),
            got: describe_actions(actions),
            kinds,
        });
    }
}

/// Message of a panic, if its payload is a string.
fn panic_message(cause: &(dyn Any + Send)) -> String {
    if let Some(text) = cause.downcast_ref::<&str>() {
        return (*text).to_owned();
    }
    cause.downcast_ref::<String>().cloned().unwrap_or_else(|| "no text".to_owned())
}
