//! Writes actions; the texts in quotes are the wire's.

use sprucelink_policy::{Action, EngineId, TimeDelta};
use std::fmt::Write;

/// Appends a span as seconds with six decimals.
fn write_seconds(out: &mut String, span: TimeDelta) {
    let micros = span.as_micros().unsigned_abs();
    let sign = if span.as_micros() < 0 { "-" } else { "" };
    let _ = write!(out, "{sign}{}.{:06}", micros / 1_000_000, micros % 1_000_000);
}

/// Appends a span as seconds; an absent one is `0`.
fn write_optional_seconds(out: &mut String, span: Option<TimeDelta>) {
    match span {
        Some(span) => write_seconds(out, span),
        None => out.push('0'),
    }
}

/// Replaces control characters, which would break the line.
fn without_control_characters(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { ' ' } else { c }).collect()
}

/// Appends an action of an instance as a line; `engine_name` gives an engine's name on the wire.
pub fn print_action<'a>(
    out: &mut String,
    instance: &str,
    action: &Action,
    engine_name: impl Fn(EngineId) -> &'a str,
) {
    // Writing to a string cannot fail.
    let _ = match action {
        Action::ForwardAttempt { id, timeout, engine } => {
            let _ = write!(out, "SEND\t{instance}\t{:016x}\t", id.0);
            write_optional_seconds(out, *timeout);
            write!(out, "\t{}", engine_name(*engine))
        }
        Action::SetExecutionTerms { id, grant_mb, level } => {
            write!(out, "TUNE\t{instance}\t{:016x}\t{}\t{}", id.0, grant_mb.unwrap_or(0.0), level.0)
        }
        Action::Cancel { id, attempt } => write!(out, "CALL_OFF\t{instance}\t{:016x}\t{attempt}", id.0),
        Action::Reject { id, retry_after } => {
            let _ = write!(out, "DECLINE\t{instance}\t{:016x}\t", id.0);
            write_optional_seconds(out, *retry_after);
            Ok(())
        }
        Action::Fail { id, .. } => write!(out, "END_FAILED\t{instance}\t{:016x}", id.0),
        Action::StartTimer { delay, token } => {
            let _ = write!(out, "REMIND\t{instance}\t");
            write_seconds(out, *delay);
            write!(out, "\t{token}")
        }
        Action::Probe { engine } => write!(out, "TOUCH\t{instance}\t{}", engine_name(*engine)),
        Action::BroadcastToPeers { message } => {
            let _ = write!(out, "PUBLISH\t{instance}\tall\t");
            if message.is_empty() {
                out.push('-');
            }
            message.iter().try_for_each(|byte| write!(out, "{byte:02x}"))
        }
        // The wire has no line for diagnostics.
        Action::Explain(_) => return,
        Action::WatchEndpoints => write!(out, "KEEP_INFORMED\t{instance}\t1"),
        Action::Log(text) => {
            write!(out, "NOTE_DOWN\t{instance}\t{}", without_control_characters(text))
        }
    };
    out.push('\n');
}
