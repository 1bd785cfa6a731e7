//! Writes actions and the lines of a reply.

use super::names::sent;
use sprucelink_policy::{Action, EngineId, RequestId, TimeDelta};
use std::fmt::Write;

/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Appends a duration in seconds with six decimals.
fn write_seconds(out: &mut String, duration: TimeDelta) {
    let micros = duration.as_micros().unsigned_abs();
    let sign = if duration.as_micros() < 0 { "-" } else { "" };
    let _ = write!(out, "{sign}{}.{:06}", micros / MICROS_PER_SECOND, micros % MICROS_PER_SECOND);
}

/// Appends a duration in seconds; an absent one is written as `0`.
fn write_optional_seconds(out: &mut String, duration: Option<TimeDelta>) {
    match duration {
        Some(duration) => write_seconds(out, duration),
        None => out.push('0'),
    }
}

/// Replaces control characters by spaces: a line feed or tab would break the line's format.
fn without_control_characters(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { ' ' } else { c }).collect()
}

/// Appends the first two fields of a line: its name, and the instance or batch that it refers to.
fn begin_line(out: &mut String, name: &str, subject: &str) {
    out.push_str(name);
    out.push('\t');
    out.push_str(subject);
}

/// Appends the first three fields of a line about a request.
fn begin_request_line(out: &mut String, name: &str, instance: &str, id: RequestId) {
    begin_line(out, name, instance);
    let _ = write!(out, "\t{:016x}", id.0);
}

/// Appends an action of an instance (a simulated manager) as a line; `engine_name` returns an engine's name
/// on the wire.
pub fn print_action<'a>(
    out: &mut String,
    instance: &str,
    action: &Action,
    engine_name: impl Fn(EngineId) -> &'a str,
) {
    // Writing to a string cannot fail.
    match action {
        Action::ForwardAttempt { id, timeout, engine } => {
            begin_request_line(out, sent::FORWARD_ATTEMPT, instance, *id);
            out.push('\t');
            write_optional_seconds(out, *timeout);
            let _ = write!(out, "\t{}", engine_name(*engine));
        }
        Action::SetExecutionTerms { id, grant_mb, level } => {
            begin_request_line(out, sent::EXECUTION_TERMS, instance, *id);
            let _ = write!(out, "\t{}\t{}", grant_mb.unwrap_or(0.0), level.0);
        }
        Action::Cancel { id, attempt } => {
            begin_request_line(out, sent::CANCEL, instance, *id);
            let _ = write!(out, "\t{attempt}");
        }
        Action::Reject { id, retry_after } => {
            begin_request_line(out, sent::REJECT, instance, *id);
            out.push('\t');
            write_optional_seconds(out, *retry_after);
        }
        Action::Fail { id, .. } => begin_request_line(out, sent::FAIL, instance, *id),
        Action::StartTimer { delay, token } => print_timer(out, instance, *delay, *token),
        Action::Probe { engine } => {
            begin_line(out, sent::PROBE, instance);
            let _ = write!(out, "\t{}", engine_name(*engine));
        }
        Action::BroadcastToPeers { message } => print_broadcast(out, instance, message),
        // The wire has no line for explanations, which are diagnostics.
        Action::Explain(_) => return,
        Action::WatchEndpoints => {
            begin_line(out, sent::WATCH_ENDPOINTS, instance);
            out.push_str("\t1");
        }
        Action::Log(text) => {
            begin_line(out, sent::LOG, instance);
            let _ = write!(out, "\t{}", without_control_characters(text));
        }
    }
    out.push('\n');
}

fn print_timer(out: &mut String, instance: &str, delay: TimeDelta, token: u64) {
    begin_line(out, sent::START_TIMER, instance);
    out.push('\t');
    write_seconds(out, delay);
    let _ = write!(out, "\t{token}");
}

fn print_broadcast(out: &mut String, instance: &str, message: &[u8]) {
    begin_line(out, sent::BROADCAST, instance);
    let _ = write!(out, "\t{}\t", sent::TO_ALL_PEERS);
    write_bytes(out, message);
}

/// Appends bytes in hex; an empty sequence is written as `-`.
fn write_bytes(out: &mut String, bytes: &[u8]) {
    if bytes.is_empty() {
        out.push('-');
    }
    for byte in bytes {
        let _ = write!(out, "{byte:02x}");
    }
}

/// Appends the line that reports an instance's panic and its message.
pub fn print_panic(out: &mut String, instance: &str, message: &str) {
    begin_line(out, sent::PANICKED, instance);
    out.push('\t');
    out.push_str(&message.replace(['\n', '\t'], " "));
    out.push('\n');
}

/// Appends the line that ends the reply to a batch; `batch` is the number of the batch.
pub fn print_batch_end(out: &mut String, batch: &str) {
    begin_line(out, sent::REPLY_END, batch);
    out.push('\n');
}
