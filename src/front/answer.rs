//! Final answers as clients see them.

use super::wire::Wire;
use crate::core::result_buffer::ResultSet;
use crate::core::RejectReason;
use crate::proto::pg::{self, Fault};
use sprucelink_policy::Micros;
use std::io;
use tokio::io::{AsyncRead, AsyncWrite};

pub use crate::proto::resp::COLUMNS;

/// Advice to come back: the hint for people, the detail for programs.
fn come_back(fault: Fault, wait: Micros) -> Fault {
    let ms = wait.0.saturating_add(999) / 1000;
    Fault { detail: Some(format!("retry_after_ms={ms}")), ..fault }.hint(format!("Come back in {ms} ms."))
}

/// A refusal: a repeat does no harm. On the platform only class 53 says so; the second front
/// tells a deadline from a jam.
pub fn refused(cause: RejectReason, wait: Micros, extended: bool) -> Fault {
    let fault = match cause {
        RejectReason::DeadlineExceeded if extended => {
            Fault::new("57014", "canceled: its time ran out; a repeat does no harm")
        }
        RejectReason::DeadlineExceeded => {
            Fault::new("53000", "refused: its time ran out; a repeat does no harm")
        }
        _ => Fault::new("53400", "refused: there is more to do than can be done in time"),
    };
    come_back(fault, wait)
}

/// A failure, by its cause.
pub fn failed(cause: RejectReason, wait: Micros) -> Fault {
    let (code, message) = match cause {
        RejectReason::DeadlineExceeded => ("57014", "canceled: its time ran out; it may have run"),
        RejectReason::EngineError => ("58000", "the engine failed; it may have run"),
        RejectReason::ConnectionLost => ("08006", "the connection to the engine broke; it may have run"),
        RejectReason::Unreachable => ("08001", "no engine could be reached"),
        RejectReason::Overloaded => ("40003", "given up; it may have run"),
    };
    come_back(Fault::new(code, message), wait)
}

/// A request that its own client cancelled.
pub fn cancelled() -> Fault {
    Fault::new("57014", "canceled at the client's request")
}

/// No buffer is free.
pub fn no_buffer() -> Fault {
    come_back(Fault::new("53200", "refused: no buffer is free"), Micros(1_000_000))
}

/// Writes rows from a place on, at most so many (0: all): how many, and the place where it stopped
/// if rows are left.
pub async fn rows<S: AsyncRead + AsyncWrite + Unpin>(
    wire: &mut Wire<S>,
    result: &ResultSet,
    mut place: (usize, usize),
    most: u32,
) -> io::Result<(u64, Option<(usize, usize)>)> {
    let mut sent = 0;
    while let Some((line, next)) = result.row(place) {
        if most > 0 && sent == u64::from(most) {
            return Ok((sent, Some(place)));
        }
        wire.make_room(pg::data_row_size(line)).await?;
        pg::data_row(wire.output(), line);
        (sent, place) = (sent + 1, next);
    }
    Ok((sent, None))
}
