//! `sprucelink capture show`: lists the segments of a capture.

use super::capture_reader::{Capture, Damage};
use super::output::{format_timestamp, print_line};
use super::CaptureError;
use serde_json::{json, Value};
use sprucelink_capture::segment::{Segment, SegmentEnd};
use std::collections::BTreeMap;
use std::path::Path;

/// Prints each segment: file, offset, time span, events by kind, gaps and damage.
///
/// # Errors
/// A capture that cannot be used.
pub fn run(path: &Path, as_json: bool) -> Result<(), CaptureError> {
    let capture = Capture::read(path)?;
    if as_json {
        print_json(&capture);
    } else {
        capture.segments.iter().for_each(print_segment);
    }
    Ok(())
}

/// Number of records of a segment by kind of event.
fn count_by_kind(segment: &Segment) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    for record in &segment.records {
        *counts.entry(record.input.kind_name()).or_default() += 1;
    }
    counts
}

/// Description of how a segment ended.
fn describe_end(end: &SegmentEnd) -> String {
    match end {
        SegmentEnd::Closed { .. } => "closed".to_owned(),
        SegmentEnd::Truncated { inside_frame: true } => "cut off inside a frame".to_owned(),
        SegmentEnd::Truncated { inside_frame: false } => "open, or cut off behind a frame".to_owned(),
        SegmentEnd::Damaged { offset, reason } => format!("damaged at byte {offset}: {reason}"),
    }
}

/// Number of events that the recorder lost after the last record of a segment; 0 if it is unknown.
fn lost_after(end: &SegmentEnd) -> u64 {
    match end {
        SegmentEnd::Closed { lost_events } => *lost_events,
        SegmentEnd::Truncated { .. } | SegmentEnd::Damaged { .. } => 0,
    }
}

fn print_json(capture: &Capture) {
    let segments: Vec<Value> = capture.segments.iter().map(segment_json).collect();
    let damage: Vec<Value> = capture
        .damage
        .iter()
        .map(|Damage { file, offset, reason }| json!({"file": file, "offset": offset, "why": reason}))
        .collect();
    print_line(&json!({"segments": segments, "damage": damage}).to_string());
}

fn segment_json(segment: &Segment) -> Value {
    json!({
        "file": segment.file, "offset": segment.offset, "segment": segment.header.number,
        "format": segment.header.format, "build": segment.header.build,
        "module": format!("{:08x}", segment.header.policy_checksum),
        "from_us": segment.at.as_micros(), "until_us": segment.until().as_micros(),
        "records": segment.records.len(), "events": count_by_kind(segment),
        "engines": segment.engines.len(), "state_bytes": segment.state.len(),
        "lost_before": segment.header.lost_events_before, "lost_after": lost_after(&segment.end),
        "end": describe_end(&segment.end), "holds": segment.header.rules, "note": segment.header.note,
        "other_build": segment.build_differences(),
    })
}

fn print_segment(segment: &Segment) {
    let header = &segment.header;
    if header.lost_events_before > 0 {
        print_line(&format!("gap: {} events lost", header.lost_events_before));
    }
    let counts: Vec<String> =
        count_by_kind(segment).iter().map(|(kind, count)| format!("{kind} {count}")).collect();
    print_line(&format!(
        "{} segment {} at byte {}: {} to {} ({:.3} s), {} records ({}), checkpoint {} bytes, {} engines, {}",
        segment.file.display(),
        header.number,
        segment.offset,
        format_timestamp(segment.at),
        format_timestamp(segment.until()),
        (segment.until() - segment.at).as_secs_f64(),
        segment.records.len(),
        counts.join(", "),
        segment.state.len(),
        segment.engines.len(),
        describe_end(&segment.end),
    ));
    print_line(&format!(
        "  by {}, module {:08x}, format {}",
        header.build, header.policy_checksum, header.format
    ));
    segment.build_differences().iter().for_each(|reason| print_line(&format!("  {reason}")));
    if !header.note.is_empty() {
        print_line(&format!("  case: {}", header.note));
    }
    header.rules.iter().for_each(|rule| print_line(&format!("  must hold: {rule}")));
}
