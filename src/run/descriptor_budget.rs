//! Divides the file descriptors that the process may hold among its connections and files.

/// Maximum number of descriptors that the process needs regardless of load: three standard streams, seven of
/// the runtime (poll, waker, signals), the clients' listener, the membership's socket, the connection to the
/// control feed, and three files: a configuration that is reloaded, a capture, the hot restart's state.
const OWN_DESCRIPTORS: usize = 16;
/// Number of sixteenths of the shared descriptors that sessions may hold; engine connections get the rest.
const SESSION_SIXTEENTHS: usize = 10;
/// The limit on connections without a session slot is the limit on descriptors divided by this, but at least
/// [`MIN_HANDSHAKES`] and at most [`MAX_HANDSHAKES`].
const HANDSHAKES_DIVISOR: usize = 16;
/// Lowest limit on connections without a session slot.
const MIN_HANDSHAKES: usize = 4;
/// Highest limit on connections without a session slot.
const MAX_HANDSHAKES: usize = 24;
/// The limit on draining sessions is the limit on descriptors divided by this, but at least [`MIN_DRAINING`]
/// and at most [`MAX_DRAINING`].
const DRAINING_DIVISOR: usize = 64;
/// Lowest limit on draining sessions: evicted sessions that still complete a request or message.
const MIN_DRAINING: usize = 2;
/// Highest limit on draining sessions.
const MAX_DRAINING: usize = 8;
/// Lowest number of shared descriptors with which clients can be served: five sessions and three engine
/// connections.
const MIN_SHARED: usize = 8;

/// A division of the descriptors into bounds for each kind of connection. The sum of the bounds never exceeds
/// the limit:
///
/// `OWN_DESCRIPTORS + reserved + handshakes + draining + sessions + engine_connections <= limit`
///
/// The descriptors that remain after the first four terms are shared: sessions get ten sixteenths and engine
/// connections six sixteenths, each rounded down.
///
/// | limit | own | reserved (admin) | handshakes | draining | sessions | engine connections | total |
/// | --- | --- | --- | --- | --- | --- | --- | --- |
/// | 64 | 16 | 6 | 4 | 2 | 22 | 13 | 63 |
/// | 128 | 16 | 10 | 8 | 2 | 57 | 34 | 127 |
/// | 512 | 16 | 34 | 24 | 8 | 268 | 161 | 511 |
/// | 672 | 16 | 34 | 24 | 8 | 368 | 221 | 671 |
/// | 1024 | 16 | 34 | 24 | 8 | 588 | 353 | 1023 |
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Descriptors for other uses than the platform's front and engine connections: the admin listener, the
    /// second front.
    pub reserved: usize,
    /// Maximum number of client connections without a session slot.
    pub handshakes: usize,
    /// Maximum number of evicted sessions that still complete a request or message.
    pub draining: usize,
    /// Maximum number of sessions that have a slot and are not evicted.
    pub sessions: usize,
    /// Maximum number of connections to engines.
    pub engine_connections: usize,
}

/// Error for a limit on descriptors that is too low to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{limit} descriptors are too few: {sufficient} are needed at least")]
pub struct TooFewDescriptors {
    /// The configured limit.
    pub limit: usize,
    /// The lowest limit that would be sufficient.
    pub sufficient: usize,
}

/// Descriptors that are set aside, and the rest that sessions and engine connections share.
struct FixedPart {
    handshakes: usize,
    draining: usize,
    shared: usize,
}

impl DescriptorBudget {
    /// Divides `limit` descriptors, `reserved` of which are set aside for [`DescriptorBudget::reserved`].
    ///
    /// # Errors
    /// If the limit leaves fewer shared descriptors than are needed to serve.
    pub fn divide(limit: usize, reserved: usize) -> Result<DescriptorBudget, TooFewDescriptors> {
        let Some(FixedPart { handshakes, draining, shared }) = FixedPart::compute(limit, reserved) else {
            let sufficient = (limit..).find(|limit| FixedPart::compute(*limit, reserved).is_some());
            return Err(TooFewDescriptors { limit, sufficient: sufficient.unwrap_or(usize::MAX) });
        };
        let sessions = shared.saturating_mul(SESSION_SIXTEENTHS) / 16;
        let engine_connections = shared.saturating_mul(16 - SESSION_SIXTEENTHS) / 16;
        Ok(DescriptorBudget { reserved, handshakes, draining, sessions, engine_connections })
    }
}

impl FixedPart {
    /// Computes the fixed part of a limit; `None` if the rest would be too few descriptors to share.
    fn compute(limit: usize, reserved: usize) -> Option<FixedPart> {
        let handshakes = (limit / HANDSHAKES_DIVISOR).clamp(MIN_HANDSHAKES, MAX_HANDSHAKES);
        let draining = (limit / DRAINING_DIVISOR).clamp(MIN_DRAINING, MAX_DRAINING);
        let shared = limit.checked_sub(OWN_DESCRIPTORS + reserved + handshakes + draining)?;
        (shared >= MIN_SHARED).then_some(FixedPart { handshakes, draining, shared })
    }
}

#[cfg(test)]
mod tests;
