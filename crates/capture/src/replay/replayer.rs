//! A policy in replay.

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

/// How long an attempt takes to end that the replayed policy cancels and the recorded one did not: the round trip of a
/// cancellation.
const CANCELLATION_LATENCY: TimeDelta = TimeDelta::from_millis(10);
/// Bits by which the digest of all answers is rotated before the next answer's digest is added.
const DIGEST_ROTATION: u32 = 1;

/// A cancellation that no record completes.
#[derive(Clone, Copy)]
struct PendingCancellation {
    /// When the attempt ends.
    due: Timestamp,
    id: RequestId,
    attempt: u32,
}

/// Gives records to a policy and compares its answers.
pub(super) struct Replayer<'a, 'b> {
    policy: Policy,
    outcome_policy: OutcomePolicy,
    recorded: RecordedAttempts,
    summary: ReplaySummary,
    /// The policy's actions on the last event.
    actions: Vec<Action>,
    /// A buffer that is reused from digest to digest.
    digest_buffer: Vec<u8>,
    /// In the order in which they are due.
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

    /// Replays the records of a segment up to a time, or up to a panic of the policy.
    pub(super) fn run(mut self, segment: &Segment, until: Option<Timestamp>) -> ReplaySummary {
        for (number, record) in segment.records.iter().enumerate() {
            if until.is_some_and(|until| record.at > until) {
                break;
            }
            if self.replay_record(number, record).is_break() {
                break;
            }
        }
        self.summary
    }

    fn replay_record(&mut self, number: usize, record: &Record) -> ControlFlow<()> {
        let is_matched = self.outcome_policy == OutcomePolicy::Matched;
        if is_matched {
            self.complete_due_cancellations(number, record.at)?;
        }
        let RecordedInput::Event(event) = &record.input else {
            self.actions.clear();
            self.report_step(number, record.at, record.input.clone(), &record.answer);
            return ControlFlow::Continue(());
        };
        let given =
            if is_matched { match_event(event, &self.policy, &self.recorded) } else { Some(event.clone()) };
        self.recorded.apply(event, &record.answer);
        let Some(given) = given else { return ControlFlow::Continue(()) };
        self.give(number, record.at, given.clone())?;
        if is_matched {
            self.add_cancellations(record.at, &record.answer);
        }
        self.compare(number, record, event);
        self.report_step(number, record.at, RecordedInput::Event(given), &record.answer);
        ControlFlow::Continue(())
    }

    /// Gives the policy an event; breaks if the policy panics.
    fn give(&mut self, number: usize, at: Timestamp, event: Event) -> ControlFlow<()> {
        self.actions.clear();
        let policy = &mut self.policy;
        let actions = &mut self.actions;
        let Err(cause) = catch_unwind(AssertUnwindSafe(|| policy.handle(at, event, actions))) else {
            return ControlFlow::Continue(());
        };
        self.summary.panic = Some(PolicyPanic { record: number, message: panic_message(cause.as_ref()) });
        ControlFlow::Break(())
    }

    fn report_step(&mut self, number: usize, at: Timestamp, input: RecordedInput, answer: &Answer) {
        let record = Record { at, input, answer: answer.clone() };
        (self.on_step)(Step { number, record: &record, policy: &self.policy, actions: &self.actions });
    }

    /// Ends the attempts whose cancellation is due.
    fn complete_due_cancellations(&mut self, number: usize, now: Timestamp) -> ControlFlow<()> {
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
            self.give(number, due, ended.clone())?;
            self.report_step(number, due, RecordedInput::Event(ended), &Answer::None);
            self.add_cancellations(due, &Answer::None);
        }
        ControlFlow::Continue(())
    }

    /// Adds the cancellations that were not recorded; the others have their attempt's end in the record.
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

    fn compare(&mut self, number: usize, record: &Record, event: &Event) {
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
            record: number,
            at_us: record.at.as_micros(),
            event: format!("{event:?}"),
            expected: describe_answer(&record.answer),
            got: describe_actions(actions),
            kinds,
        });
    }
}

/// The message of a panic.
fn panic_message(cause: &(dyn Any + Send)) -> String {
    if let Some(text) = cause.downcast_ref::<&str>() {
        return (*text).to_owned();
    }
    cause.downcast_ref::<String>().cloned().unwrap_or_else(|| "no text".to_owned())
}
