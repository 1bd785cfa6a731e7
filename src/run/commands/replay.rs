//! `sprucelink replay`: feeds a capture to this build's policy and compares its actions.

use super::capture_reader::Capture;
use super::output::{format_timestamp, print_line};
use super::{setting_changes, CaptureError, CommandOutcome};
use crate::run::cli::ReplayOptions;
use crate::run::error::BoxError;
use serde_json::json;
use sprucelink_capture::replay::{self, replay_segment, Divergence, ReplaySummary};
use sprucelink_capture::segment::Segment;
use sprucelink_policy::{Policy, TimeDelta, Timestamp};
use std::time::Instant;

/// Lower bound, in seconds, of the duration from which the speed of a replay is computed.
const MIN_DURATION_S: f64 = 1e-9;

/// Replays the segments and prints the result; a replay that diverged is a mismatch.
///
/// # Errors
/// A capture or settings that cannot be used.
pub fn run(options: &ReplayOptions) -> Result<CommandOutcome, CaptureError> {
    let capture = Capture::read(&options.capture)?;
    let start = capture.start();
    let from = options.from.map(|moment| moment.resolve(start));
    let until = options.until.map(|moment| moment.resolve(start));
    let segments = select_segments(&capture, from, until);
    if segments.is_empty() {
        return Err(CaptureError::SpanOutsideCapture);
    }
    let report = replay_all(&segments, options, until)?;
    if options.json {
        print_json(&report, options);
    } else {
        print_text(&report, options);
    }
    Ok(CommandOutcome::from_match(report.is_same()))
}

/// The segments that overlap the time span from `from` to `until`.
fn select_segments(capture: &Capture, from: Option<Timestamp>, until: Option<Timestamp>) -> Vec<&Segment> {
    let overlaps = |segment: &&Segment| {
        from.is_none_or(|from| segment.until() >= from) && until.is_none_or(|until| segment.at <= until)
    };
    capture.segments.iter().filter(overlaps).collect()
}

/// Results of all replays of all segments.
#[derive(Default)]
struct ReplayReport {
    segments: usize,
    /// Sums over all segments, from the first replay.
    total: ReplaySummary,
    /// The first divergence, and the number of its segment.
    first_divergence: Option<(u64, Divergence)>,
    /// Number of segments that diverged.
    diverged_segments: usize,
    /// Sum of the time spans of the segments.
    span: TimeDelta,
    /// Digest of all actions, one per replay.
    digests: Vec<u64>,
    /// Average duration of one replay in seconds.
    duration_s: f64,
    /// How the build that recorded the first segment differs from this build; empty unless a replay diverged.
    build_differences: Vec<String>,
}

impl ReplayReport {
    /// Whether all replays gave the same actions.
    fn is_repeatable(&self) -> bool {
        self.digests.iter().all(|digest| *digest == self.digests[0])
    }

    /// Whether all actions in all replays were as recorded, and no replay panicked.
    fn is_same(&self) -> bool {
        self.total.differing_events == 0 && self.is_repeatable() && self.total.panic.is_none()
    }

    /// Adds the result of a segment from the first replay.
    fn add_segment(&mut self, segment: &Segment, summary: ReplaySummary) {
        self.span = self.span + (segment.until() - segment.at);
        self.total.events += summary.events;
        self.total.differing_events += summary.differing_events;
        self.diverged_segments += usize::from(summary.differing_events > 0);
        for (kind, count) in summary.differing_by_kind {
            *self.total.differing_by_kind.entry(kind).or_default() += count;
        }
        if self.first_divergence.is_none() {
            let number = segment.header.number;
            self.first_divergence = summary.first_divergence.map(|divergence| (number, divergence));
        }
        if self.total.panic.is_none() {
            self.total.panic = summary.panic;
        }
    }
}

fn replay_all(
    segments: &[&Segment],
    options: &ReplayOptions,
    until: Option<Timestamp>,
) -> Result<ReplayReport, CaptureError> {
    let change =
        |policy: &mut Policy| setting_changes::apply(&options.changes, policy).map_err(BoxError::from);
    let replay_options = replay::ReplayOptions {
        outcome_policy: options.outcome_policy,
        until,
        explain: false,
        change: &change,
    };
    let mut report = ReplayReport { segments: segments.len(), ..ReplayReport::default() };
    let started = Instant::now();
    for repetition in 0..options.times {
        let mut digest = 0_u64;
        for segment in segments {
            let summary = replay_segment(segment, &replay_options, &mut |_| {}).map_err(BoxError::from)?;
            digest = digest.rotate_left(7) ^ summary.digest;
            if repetition == 0 {
                report.add_segment(segment, summary);
            }
        }
        report.digests.push(digest);
    }
    report.duration_s = started.elapsed().as_secs_f64() / f64::from(options.times);
    if report.first_divergence.is_some() {
        report.build_differences = segments[0].build_differences();
    }
    Ok(report)
}

fn print_json(report: &ReplayReport, options: &ReplayOptions) {
    let total = &report.total;
    let result = json!({
        "same": report.is_same(), "segments": report.segments, "events": total.events,
        "differ": total.differing_events, "segments_differ": report.diverged_segments, "by_kind": total.differing_by_kind,
        "first": report.first_divergence.as_ref().map(|(_, divergence)| divergence),
        "digest": format!("{:016x}", report.digests[0]), "times": options.times,
        "alike": report.is_repeatable(),
        "panicked": total.panic.as_ref().map(|panic| &panic.message),
        "treatment": options.outcome_policy, "span_s": report.span.as_secs_f64(),
        "took_s": report.duration_s, "other_build": report.build_differences,
    });
    print_line(&result.to_string());
}

fn print_text(report: &ReplayReport, options: &ReplayOptions) {
    let span = report.span.as_secs_f64();
    print_line(&format!(
        "{} events in {} segments over {span:.3} s, replayed {} times at {:.0} times real time; answers {:016x}",
        report.total.events,
        report.segments,
        options.times,
        span / report.duration_s.max(MIN_DURATION_S),
        report.digests[0]
    ));
    if let Some((segment, divergence)) = &report.first_divergence {
        print_divergence(*segment, divergence, &report.build_differences);
        if options.against {
            print_differences(report);
        }
    }
    if let Some(panic) = &report.total.panic {
        print_line(&format!("the module panicked at record {}: {}", panic.record, panic.message));
    }
    if !report.is_repeatable() {
        print_line("the replays differ among themselves");
    }
    if report.is_same() {
        print_line("the same");
    }
}

fn print_divergence(segment: u64, divergence: &Divergence, build_differences: &[String]) {
    print_line(&format!(
        "diverged in segment {segment} at record {}, {}:\n  event    {}\n  expected {}\n  got      {}",
        divergence.record,
        format_timestamp(Timestamp::from_micros(divergence.at_us)),
        divergence.event,
        divergence.expected,
        divergence.got
    ));
    build_differences.iter().for_each(|reason| print_line(&format!("  {reason}")));
}

fn print_differences(report: &ReplayReport) {
    let total = &report.total;
    let by_kind: Vec<String> =
        total.differing_by_kind.iter().map(|(kind, count)| format!("{kind} {count}")).collect();
    let percentage = 100.0 * total.differing_events as f64 / total.events.max(1) as f64;
    print_line(&format!(
        "{} of {} answers differ ({percentage:.2}%), in {} of {} segments; by kind: {}",
        total.differing_events,
        total.events,
        report.diverged_segments,
        report.segments,
        by_kind.join(", ")
    ));
}
