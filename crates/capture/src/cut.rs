//! Cuts a small test case out of a capture: the policy's state shortly before a moment, the records from then
//! until shortly after it, and the rules that a replay of them must hold.

use crate::engine_numbers::EngineNumbers;
use crate::error::{CheckError, CutError};
use crate::replay::{replay_segment, OutcomePolicy, ReplayOptions, Step};
use crate::rules::{Breach, Checker, Rule};
use crate::segment::{Answer, Record, Segment, SegmentHeader};
use sprucelink_policy::{Action, TimeDelta, Timestamp};

/// Rule of the [`Breach`] that reports a panic of the policy, as JSON.
const NO_PANIC_RULE: &str = "\"no panic\"";
/// Resolution of timestamps.
const ONE_MICROSECOND: TimeDelta = TimeDelta::from_micros(1);

/// The part of a capture that becomes a case.
#[derive(Clone, Debug)]
pub struct CaseSpan {
    /// The moment that the case shows.
    pub around: Timestamp,
    /// Time from the start of the case to the moment.
    pub before: TimeDelta,
    /// Time from the moment to the end of the case.
    pub after: TimeDelta,
    /// Rules that a replay of the case must hold.
    pub rules: Vec<Rule>,
    /// Description of the case for its readers.
    pub note: String,
}

impl CaseSpan {
    fn start(&self) -> Timestamp {
        self.around - self.before
    }

    fn end(&self) -> Timestamp {
        self.around + self.after
    }
}

/// The point of a segment at which a case begins.
struct CaseStart {
    /// Index of the case's first record in the segment.
    first_record: usize,
    /// Time of the policy's state.
    at: Timestamp,
    /// The policy's state in MessagePack.
    state: Vec<u8>,
    engines: EngineNumbers,
}

/// Cuts a case out of the consecutive segments of a capture.
///
/// # Errors
/// No segment covers the moment, the replay diverges from the recording before it, the span holds no record,
/// or the recorded digests differ from the replay's, so that complete answers cannot be restored.
pub fn cut_case(segments: &[Segment], span: &CaseSpan) -> Result<Segment, CutError> {
    let first_segment = find_segment(segments, span).ok_or(CutError::MomentNotRecorded)?;
    let segment = &segments[first_segment];
    let start = replay_to_start(segment, span)?;
    let records = collect_records(&segments[first_segment..], start.first_record, span.end());
    if records.is_empty() {
        return Err(CutError::NothingRecorded);
    }
    let header = SegmentHeader {
        number: 0,
        lost_events_before: 0,
        has_complete_answers: true,
        note: span.note.clone(),
        rules: span.rules.iter().map(Rule::text).collect(),
        ..segment.header.clone()
    };
    let CaseStart { at, state, engines, .. } = start;
    let mut case = Segment { header, at, state, engines, records, ..segment.clone() };
    complete_answers(&mut case)?;
    Ok(case)
}

/// Index of the segment in which a case begins: the last one that covers the case's start, or else the first
/// one that covers the moment.
fn find_segment(segments: &[Segment], span: &CaseSpan) -> Option<usize> {
    let covers = |segment: &Segment, time: Timestamp| segment.at <= time && segment.until() >= time;
    let covering_start = segments.iter().rposition(|segment| covers(segment, span.start()));
    covering_start.or_else(|| segments.iter().position(|segment| covers(segment, span.around)))
}

/// Replays a segment up to the start of a case: the records before the start are part of the case's state.
fn replay_to_start(segment: &Segment, span: &CaseSpan) -> Result<CaseStart, CutError> {
    let records = &segment.records;
    let first_record = records.iter().position(|record| record.at >= span.start()).unwrap_or(records.len());
    let mut engines = segment.engines.clone();
    for record in &records[..first_record] {
        engines.apply(&record.input);
    }
    let Some(last_before) = first_record.checked_sub(1) else {
        return Ok(CaseStart { first_record, at: segment.at, state: segment.state.clone(), engines });
    };
    let mut state = None;
    let mut on_step = |step: Step| {
        if step.record_index == last_before {
            state = Some(rmp_serde::to_vec_named(step.policy));
        }
    };
    let options = ReplayOptions { until: Some(span.start() - ONE_MICROSECOND), ..ReplayOptions::default() };
    let summary = replay_segment(segment, &options, &mut on_step)?;
    if let Some(divergence) = summary.first_divergence {
        return Err(CutError::Diverged {
            record: divergence.record,
            got: divergence.got,
            expected: divergence.expected,
        });
    }
    let state = state.transpose().map_err(CutError::State)?.unwrap_or_else(|| segment.state.clone());
    Ok(CaseStart { first_record, at: records[last_before].at, state, engines })
}

/// The records from `first_record` of the first segment up to `until`. Continues into later segments as long
/// as no events were lost between them.
fn collect_records(segments: &[Segment], first_record: usize, until: Timestamp) -> Vec<Record> {
    let is_within = |record: &&Record| record.at <= until;
    let mut records: Vec<Record> =
        segments[0].records[first_record..].iter().filter(is_within).cloned().collect();
    for pair in segments.windows(2) {
        let [segment, next] = pair else { break };
        let is_past_end = segment.until() > until || next.at > until;
        if is_past_end || !follows(next, segment) || next.header.lost_events_before > 0 {
            break;
        }
        records.extend(next.records.iter().filter(is_within).cloned());
    }
    records
}

/// Whether the same recorder wrote `next` directly after `segment`.
fn follows(next: &Segment, segment: &Segment) -> bool {
    next.header.policy_started_at == segment.header.policy_started_at
        && next.header.number == segment.header.number + 1
}

/// Replaces the recorded digests by the replay's complete answers. Fails if the replay's answers differ from
/// the digests.
fn complete_answers(case: &mut Segment) -> Result<(), CutError> {
    if !case.records.iter().any(|record| matches!(record.answer, Answer::Digest { .. })) {
        return Ok(());
    }
    let mut answers: Vec<(usize, Vec<Action>)> = Vec::new();
    let mut on_step = |step: Step| answers.push((step.record_index, step.actions.to_vec()));
    let summary = replay_segment(case, &ReplayOptions::default(), &mut on_step)?;
    if summary.differing_events > 0 {
        return Err(CutError::DigestsDiverged);
    }
    for (record_index, actions) in answers {
        case.records[record_index].answer = Answer::Complete(actions);
    }
    Ok(())
}

/// Replays a case and checks its rules. Returns the breaches; a panic of the policy is one of them.
///
/// # Errors
/// The case has no rules or an invalid one, or it cannot be replayed.
pub fn check_case(case: &Segment) -> Result<Vec<Breach>, CheckError> {
    let rules = case.header.rules.iter().map(|text| Rule::parse(text)).collect::<Result<Vec<_>, _>>()?;
    if rules.is_empty() {
        return Err(CheckError::NoRules);
    }
    let mut checker = Checker::new(rules, &case.policy()?, case.at);
    let options = ReplayOptions { outcome_policy: OutcomePolicy::Matched, ..ReplayOptions::default() };
    let summary = replay_segment(case, &options, &mut |step| checker.check_step(&step))?;
    let mut breaches = checker.finish(case.until());
    if let Some(panic) = summary.panic {
        let at_us = case.records.get(panic.record).map_or(0, |record| record.at.as_micros());
        let why = format!("the module panicked at record {}: {}", panic.record, panic.message);
        breaches.push(Breach { rule: NO_PANIC_RULE.to_owned(), at_us, why });
    }
    Ok(breaches)
}
