//! Divides the file descriptors that the process may hold among its connections and files.

/// Maximum number of descriptors that the process needs regardless of load: three standard streams, seven of
/// the runtime (poll, waker, signals), the clients' listener, the membership's socket, the connection to the
/// control feed, and three files: a configuration that is reloaded, a capture, the hot restart's state.
const OWN_DESCRIPTORS: usize = 16;
/// Sixteenths of the shared descriptors that sessions may hold; engine connections get the rest.
const SESSION_SIXTEENTHS: usize = 10;
/// Divisor of the limit that gives the connections without a session slot.
const HANDSHAKES_DIVISOR: usize = 16;
/// Lowest limit on connections without a session slot.
const MIN_HANDSHAKES: usize = 4;
/// Highest limit on connections without a session slot.
const MAX_HANDSHAKES: usize = 24;
/// Divisor of the limit that gives the descriptors for draining sessions.
const DRAINING_DIVISOR: usize = 64;
/// Lowest number of descriptors for draining sessions.
const MIN_DRAINING: usize = 2;
/// Highest number of descriptors for draining sessions.
const MAX_DRAINING: usize = 8;
/// Lowest number of shared descriptors that is enough to serve: five sessions and three engine connections.
const MIN_SHARED: usize = 8;

/// A division of the descriptors. The bounds together never exceed the limit:
///
/// `OWN_DESCRIPTORS + reserved + handshakes + draining + sessions + engine_connections <= limit`
///
/// Of the descriptors that the first four leave, sessions get ten sixteenths and engine connections six, each
/// rounded down.
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
    /// Client connections without a session slot.
    pub handshakes: usize,
    /// Sessions that were evicted and still complete what they had begun.
    pub draining: usize,
    /// Sessions with a slot.
    pub sessions: usize,
    /// Connections to engines.
    pub engine_connections: usize,
}

/// A limit on descriptors that is too low.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{limit} descriptors are too few: {sufficient} are needed at least")]
pub struct TooFewDescriptors {
    /// The configured limit.
    pub limit: usize,
    /// The lowest sufficient limit.
    pub sufficient: usize,
}

/// Descriptors set aside before sessions and engine connections share the rest.
struct FixedPart {
    handshakes: usize,
    draining: usize,
    shared: usize,
}

impl DescriptorBudget {
    /// Divides `limit` descriptors, `reserved` of which are set aside for [`DescriptorBudget::reserved`].
    ///
    /// # Errors
    /// A limit that leaves too few descriptors to serve.
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
    /// The fixed part of a limit; `None` if it leaves too few descriptors to share.
    fn compute(limit: usize, reserved: usize) -> Option<FixedPart> {
        let handshakes = (limit / HANDSHAKES_DIVISOR).clamp(MIN_HANDSHAKES, MAX_HANDSHAKES);
        let draining = (limit / DRAINING_DIVISOR).clamp(MIN_DRAINING, MAX_DRAINING);
        let shared = limit.checked_sub(OWN_DESCRIPTORS + reserved + handshakes + draining)?;
        (shared >= MIN_SHARED).then_some(FixedPart { handshakes, draining, shared })
    }
}

#[cfg(test)]
mod tests;
