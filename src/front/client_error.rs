//! The errors that the fronts send to clients, with their SQLSTATEs (PostgreSQL, appendix A).

use super::read_ahead::ReadAheadOverrun;
use crate::core::UnservedReason;
use crate::proto::pg::ErrorResponse;
use sprucelink_time::TimeDelta;
use std::time::Duration;

/// Retry-After where buffers or session slots are used up: they become free as requests end.
const RETRY_AFTER_EXHAUSTION: TimeDelta = TimeDelta::from_secs(1);
/// Characters of a client's text that messages show.
const MAX_SHOWN_CHARACTERS: usize = 64;

/// Adds when to retry: the hint for people, the detail for programs.
fn with_retry_after(error: ErrorResponse, retry_after: TimeDelta) -> ErrorResponse {
    let millis = retry_after.as_micros().saturating_add(999) / 1000;
    let error = ErrorResponse { detail: Some(format!("retry_after_ms={millis}")), ..error };
    error.hint(format!("Come back in {millis} ms."))
}

/// A request that was rejected, so that a retry by the client does no harm. An attempt of it may have run if its class
/// is idempotent. On the platform's front all rejections are of class 53; the `extended` front distinguishes an expired
/// deadline from overload.
pub(super) fn rejected(reason: UnservedReason, retry_after: TimeDelta, extended: bool) -> ErrorResponse {
    let error = match reason {
        UnservedReason::DeadlineExceeded if extended => {
            ErrorResponse::new("57014", "canceled: its time ran out; a repeat does no harm")
        }
        UnservedReason::DeadlineExceeded => {
            ErrorResponse::new("53000", "refused: its time ran out; a repeat does no harm")
        }
        _ => ErrorResponse::new("53400", "refused: there is more to do than can be done in time"),
    };
    with_retry_after(error, retry_after)
}

/// A request that failed and may have run.
pub(super) fn failed(reason: UnservedReason, retry_after: TimeDelta) -> ErrorResponse {
    let (code, message) = match reason {
        UnservedReason::DeadlineExceeded => ("57014", "canceled: its time ran out; it may have run"),
        UnservedReason::EngineError => ("58000", "the engine failed; it may have run"),
        UnservedReason::ConnectionLost => ("08006", "the connection to the engine broke; it may have run"),
        UnservedReason::Unreachable => ("08001", "no engine could be reached"),
        UnservedReason::Overloaded => ("40003", "given up; it may have run"),
    };
    with_retry_after(ErrorResponse::new(code, message), retry_after)
}

/// A request that its client cancelled.
pub(super) fn cancelled() -> ErrorResponse {
    ErrorResponse::new("57014", "canceled at the client's request")
}

/// The buffer pool is exhausted.
pub(super) fn no_buffer() -> ErrorResponse {
    let error = ErrorResponse::new("53200", "refused: no buffer is free");
    with_retry_after(error, RETRY_AFTER_EXHAUSTION)
}

/// All slots are in use, and no connection can be evicted.
pub(super) fn too_many_sessions() -> ErrorResponse {
    with_retry_after(ErrorResponse::new("53300", "too many sessions"), RETRY_AFTER_EXHAUSTION)
}

/// A message or packet of which only a part arrived in time.
pub(super) fn incomplete_in_time(field: &str, limit: Duration) -> ErrorResponse {
    ErrorResponse::new("08P01", format!("field {field} did not come whole within {} ms", limit.as_millis()))
}

/// A request's field that is missing or wrong.
pub(super) fn invalid_field(field: &str, reason: &str) -> ErrorResponse {
    let example = "/* kind=CLASS,timeout=MILLISECONDS */ SELECT ...";
    ErrorResponse::new("08P01", format!("field {field} {reason}")).hint(format!("Write {example}"))
}

/// The final error of a session whose client sent more behind an open request than may be buffered. SQLSTATE 54000, a
/// limit of this program, where it is the session's own bound: the same input fails again. 53200, out of memory, where
/// all sessions together buffer too much: a retry may succeed.
pub(super) fn read_ahead_overrun(overrun: ReadAheadOverrun, max_bytes: usize) -> ErrorResponse {
    let (code, excess) = match overrun {
        ReadAheadOverrun::Session => ("54000", format!("more than {max_bytes} bytes")),
        ReadAheadOverrun::Shared => ("53200", "more than there is room for in all sessions".to_owned()),
    };
    let message = format!("{excess} came behind an open request: what came behind them was not read");
    ErrorResponse::new(code, message).hint("Wait for answers before writing more, and connect again.")
}

/// A client's text as messages show it: in quotes, and not longer than a line.
pub(super) fn quoted(text: &str) -> String {
    let shown: String = text.chars().take(MAX_SHOWN_CHARACTERS).collect();
    format!("{shown:?}")
}
