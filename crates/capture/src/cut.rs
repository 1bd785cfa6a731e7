//! Makes a small case out of a capture: the module's state a little before a moment, what it was told up to a
//! little after it, and what must hold over that.

use crate::error::{CheckError, CutError};
use crate::replay::{segment, Play, Treatment};
use crate::rules::{Checker, Rule};
use crate::segment::{Answer, Record, Segment};
use crate::wire::Told;
use sprucelink_policy::{Action, TimeDelta, Timestamp};

/// What to cut.
#[derive(Clone, Debug)]
pub struct Cut {
    /// The moment.
    pub around: Timestamp,
    /// So much before it.
    pub before: TimeDelta,
    /// So much after it.
    pub after: TimeDelta,
    /// What must hold.
    pub holds: Vec<Rule>,
    /// What the case shows, in words.
    pub note: String,
}

/// Cuts a case out of segments that follow each other. An error says why it cannot be made: no segment holds
/// the moment, the replay parts from the record before it, or a gap lies within.
pub fn cut(segments: &[Segment], what: &Cut) -> Result<Segment, CutError> {
    let (from, until) = (what.around - what.before, what.around + what.after);
    let first = segments.iter().rposition(|s| s.at <= from && s.until() >= from);
    let first =
        first.or_else(|| segments.iter().position(|s| s.at <= what.around && s.until() >= what.around));
    let first = first.ok_or(CutError::MomentNotRecorded)?;
    let seg = &segments[first];
    // What was told before it makes the state to begin with.
    let next = seg.records.iter().position(|r| r.at >= from).unwrap_or(seg.records.len());
    let (mut state, mut failed) = (None, None);
    let mut engines = seg.engines.clone();
    seg.records[..next].iter().for_each(|r| number(&mut engines, &r.told));
    let at = next.checked_sub(1).map_or(seg.at, |last| seg.records[last].at);
    if next > 0 {
        let mut hear = |step: crate::replay::Step| {
            if step.number + 1 == next {
                state = rmp_serde::to_vec_named(step.module).map_err(|e| failed = Some(e)).ok();
            }
        };
        let before = Play { until: Some(from - TimeDelta::from_micros(1)), ..Play::default() };
        let seen = segment(seg, &before, &mut hear)?;
        if let Some(first) = seen.first {
            let (record, got, expected) = (first.record, first.got, first.expected);
            return Err(CutError::Diverged { record, got, expected });
        }
    }
    if let Some(source) = failed {
        return Err(CutError::State(source));
    }
    let mut last = first;
    let mut kept: Vec<Record> = Vec::new();
    kept.extend(seg.records[next..].iter().filter(|r| r.at <= until).cloned());
    // On into the segments behind, as long as nothing was lost between.
    while segments[last].until() <= until {
        let Some(more) = segments.get(last + 1) else { break };
        let follows =
            more.head.born_us == seg.head.born_us && more.head.segment == segments[last].head.segment + 1;
        if !follows || more.head.lost_before > 0 || more.at > until {
            break;
        }
        kept.extend(more.records.iter().filter(|r| r.at <= until).cloned());
        last += 1;
    }
    if kept.is_empty() {
        return Err(CutError::NothingRecorded);
    }
    let mut head = seg.head.clone();
    head.segment = 0;
    head.lost_before = 0;
    head.whole_answers = true;
    head.note.clone_from(&what.note);
    head.holds = what.holds.iter().map(Rule::text).collect();
    let state = state.unwrap_or_else(|| seg.state.clone());
    let mut case = Segment { head, at, state, engines, records: kept, ..seg.clone() };
    answer(&mut case)?;
    Ok(case)
}

/// Keeps numbers of engines as a record tells them.
pub fn number(engines: &mut Vec<(String, u32)>, told: &Told) {
    if let Told::Numbered { id, number, freed } = told {
        engines.retain(|e| e.0 != *id);
        if !freed {
            engines.push((id.clone(), *number));
        }
    }
}

/// Puts whole answers in place of digests, where the replay gives the same.
fn answer(case: &mut Segment) -> Result<(), CutError> {
    if !case.records.iter().any(|r| matches!(r.answer, Answer::Digest(..))) {
        return Ok(());
    }
    let mut all: Vec<(usize, Vec<Action>)> = Vec::new();
    let mut hear = |s: crate::replay::Step| all.push((s.number, s.actions.to_vec()));
    let seen = segment(case, &Play::default(), &mut hear)?;
    if seen.differ > 0 {
        return Err(CutError::DigestsDiverged);
    }
    for (number, actions) in all {
        case.records[number].answer = Answer::Whole(actions);
    }
    Ok(())
}

/// Replays a case and checks what it holds: breaches, none where all holds. An error says that it cannot be
/// used.
pub fn check(case: &Segment) -> Result<Vec<crate::rules::Breach>, CheckError> {
    let rules = case.head.holds.iter().map(|t| Rule::parse(t)).collect::<Result<Vec<_>, _>>()?;
    if rules.is_empty() {
        return Err(CheckError::NoRules);
    }
    let mut checker = Checker::new(rules, &case.module()?, case.at);
    let mut hear = |step: crate::replay::Step| checker.step(&step);
    let seen = segment(case, &Play { treatment: Treatment::Matched, ..Play::default() }, &mut hear)?;
    let mut breaches = checker.finish(case.until());
    if let Some((record, why)) = seen.panicked {
        let at_us = case.records.get(record).map_or(0, |r| r.at.as_micros());
        let why = format!("the module panicked at record {record}: {why}");
        breaches.push(crate::rules::Breach { rule: "\"no panic\"".into(), at_us, why });
    }
    Ok(breaches)
}
