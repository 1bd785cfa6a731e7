//! How the file descriptors that the process may hold are divided among those that use them.

/// Descriptors that the process needs regardless of load, at most: three standard streams, seven of the runtime (its
/// poll, the waker, signals), the clients' listener, the membership's socket, the connection to the control feed, and
/// three files: a configuration read again, a capture, the hot restart's state.
const OWN_DESCRIPTORS: usize = 16;
/// Sixteenths of the shared descriptors that sessions may hold; engine connections get the rest.
const SESSION_SIXTEENTHS: usize = 10;
/// The limit is divided by this for connections without a session slot.
const HANDSHAKES_DIVISOR: usize = 16;
/// Fewest connections without a session slot.
const MIN_HANDSHAKES: usize = 4;
/// Most connections without a session slot.
const MAX_HANDSHAKES: usize = 24;
/// The limit is divided by this for sessions that are draining.
const DRAINING_DIVISOR: usize = 64;
/// Fewest descriptors for sessions that are draining.
const MIN_DRAINING: usize = 2;
/// Most descriptors for sessions that are draining.
const MAX_DRAINING: usize = 8;
/// Fewest shared descriptors that are enough to serve with: five sessions and three engine connections.
const MIN_SHARED: usize = 8;

/// A division of the descriptors; the bounds together never exceed the limit:
///
/// `OWN_DESCRIPTORS + reserved + handshakes + draining + sessions + engine_connections <= limit`
///
/// Sessions get ten sixteenths of what the first four leave and engine connections six, each rounded down.
///
/// | limit | own | reserved (admin) | handshakes | draining | sessions | engine connections | in all |
/// | --- | --- | --- | --- | --- | --- | --- | --- |
/// | 64 | 16 | 6 | 4 | 2 | 22 | 13 | 63 |
/// | 128 | 16 | 10 | 8 | 2 | 57 | 34 | 127 |
/// | 512 | 16 | 34 | 24 | 8 | 268 | 161 | 511 |
/// | 672 | 16 | 34 | 24 | 8 | 368 | 221 | 671 |
/// | 1024 | 16 | 34 | 24 | 8 | 588 | 353 | 1023 |
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Descriptors for other uses than the platform's front and engine connections: the admin listener, the second
    /// front.
    pub reserved: usize,
    /// Clients' connections that hold no session slot.
    pub handshakes: usize,
    /// Sessions that were asked to end and have something to complete first.
    pub draining: usize,
    /// Sessions.
    pub sessions: usize,
    /// Connections to engines.
    pub engine_connections: usize,
}

/// A limit on descriptors that is too low.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{limit} descriptors are too few: {sufficient} are needed at least")]
pub struct TooFewDescriptors {
    /// The limit.
    pub limit: usize,
    /// The lowest limit that is enough.
    pub sufficient: usize,
}

/// Descriptors set aside before sessions and engine connections share the rest.
struct FixedPart {
    handshakes: usize,
    draining: usize,
    shared: usize,
}

impl DescriptorBudget {
    /// Divides `limit` descriptors, of which `reserved` are for other uses.
    ///
    /// # Errors
    /// A limit that leaves too few to serve with.
    pub fn divide(limit: usize, reserved: usize) -> Result<DescriptorBudget, TooFewDescriptors> {
        let Some(FixedPart { handshakes, draining, shared }) = FixedPart::of(limit, reserved) else {
            let sufficient = (limit..).find(|limit| FixedPart::of(*limit, reserved).is_some());
            return Err(TooFewDescriptors { limit, sufficient: sufficient.unwrap_or(usize::MAX) });
        };
        let sessions = shared.saturating_mul(SESSION_SIXTEENTHS) / 16;
        let engine_connections = shared.saturating_mul(16 - SESSION_SIXTEENTHS) / 16;
        Ok(DescriptorBudget { reserved, handshakes, draining, sessions, engine_connections })
    }
}

impl FixedPart {
    /// The fixed part of a limit; `None` where it leaves too few to share.
    fn of(limit: usize, reserved: usize) -> Option<FixedPart> {
        let handshakes = (limit / HANDSHAKES_DIVISOR).clamp(MIN_HANDSHAKES, MAX_HANDSHAKES);
        let draining = (limit / DRAINING_DIVISOR).clamp(MIN_DRAINING, MAX_DRAINING);
        let shared = limit.checked_sub(OWN_DESCRIPTORS + reserved + handshakes + draining)?;
        (shared >= MIN_SHARED).then_some(FixedPart { handshakes, draining, shared })
    }
}

#[cfg(test)]
mod tests;
