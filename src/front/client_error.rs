//! The errors that the fronts send to clients, with their SQLSTATEs (PostgreSQL, appendix A).

use super::read_ahead::ReadAheadOverrun;
use crate::core::UnservedReason;
use crate::proto::pg::ErrorResponse;
use sprucelink_time::TimeDelta;
use std::time::Duration;

/// Retry delay sent when buffers or session slots are exhausted: they become free as requests end.
const RETRY_AFTER_EXHAUSTION: TimeDelta = TimeDelta::from_secs(1);
/// Maximum number of characters of a client's text that an error message quotes.
const MAX_SHOWN_CHARACTERS: usize = 64;

/// Adds the retry delay, as a hint for people and as a detail for programs.
fn with_retry_after(error: ErrorResponse, retry_after: TimeDelta) -> ErrorResponse {
    let millis = retry_after.as_micros().saturating_add(999) / 1000;
    let error = ErrorResponse { detail: Some(format!("retry_after_ms={millis}")), ..error };
    error.hint(format!("Come back in {millis} ms."))
}

/// The error of a rejected request, which the client can safely retry. An attempt of the request may have run
/// if its class is idempotent. On the platform's front all rejections have SQLSTATE class 53; the `extended`
/// front distinguishes an expired deadline from overload.
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

/// The error of a request that failed and may have run.
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

/// The error of a request that its client cancelled.
pub(super) fn cancelled() -> ErrorResponse {
    ErrorResponse::new("57014", "canceled at the client's request")
}

/// The error of a request for which the buffer pool has no buffer.
pub(super) fn no_buffer() -> ErrorResponse {
    let error = ErrorResponse::new("53200", "refused: no buffer is free");
    with_retry_after(error, RETRY_AFTER_EXHAUSTION)
}

/// The final error of a connection for which no slot is free and no connection can be evicted.
pub(super) fn too_many_sessions() -> ErrorResponse {
    with_retry_after(ErrorResponse::new("53300", "too many sessions"), RETRY_AFTER_EXHAUSTION)
}

/// The final error of a connection of which only a part of a message or packet arrived in time.
pub(super) fn incomplete_in_time(field: &str, limit: Duration) -> ErrorResponse {
    ErrorResponse::new("08P01", format!("field {field} did not come whole within {} ms", limit.as_millis()))
}

/// The error of a request with a missing or invalid field.
pub(super) fn invalid_field(field: &str, reason: &str) -> ErrorResponse {
    let example = "/* kind=CLASS,timeout=MILLISECONDS */ SELECT ...";
    ErrorResponse::new("08P01", format!("field {field} {reason}")).hint(format!("Write {example}"))
}

/// The final error of a session whose client sent more than may be buffered. SQLSTATE 54000 (program limit
/// exceeded) if the session's own limit was exceeded: the same input would fail again. SQLSTATE 53200 (out of
/// memory) if all sessions together hold too much: a retry may succeed.
pub(super) fn read_ahead_overrun(overrun: ReadAheadOverrun, max_bytes: usize) -> ErrorResponse {
    match overrun {
        ReadAheadOverrun::Session => {
            let message = format!(
                "more than {max_bytes} bytes came behind an open request: what came behind them was not read"
            );
            ErrorResponse::new("54000", message)
                .hint("Wait for answers before writing more, and connect again.")
        }
        ReadAheadOverrun::Shared => {
            let message = "refused: more came than there is room for in all sessions, the last was not read";
            with_retry_after(ErrorResponse::new("53200", message), RETRY_AFTER_EXHAUSTION)
        }
    }
}

/// Quotes a client's text for a message, truncated to [`MAX_SHOWN_CHARACTERS`].
pub(super) fn quoted(text: &str) -> String {
    let shown: String = text.chars().take(MAX_SHOWN_CHARACTERS).collect();
    format!("{shown:?}")
}
