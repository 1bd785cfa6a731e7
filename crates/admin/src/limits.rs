//! Limits of the admin address, and the reason for each.

use std::time::Duration;

/// Maximum length in bytes of a request's head, request line and headers together; above it the response is
/// 431. Operators' requests have a few hundred bytes; this is also the smallest buffer that the HTTP library
/// accepts.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum length in bytes of a request's body; above it the response is 413. A body names one engine.
pub const MAX_BODY_BYTES: usize = 4 * 1024;
/// Maximum length in bytes of an engine id; above it the response is 400. Ids on the endpoint list have about
/// ten bytes.
pub const MAX_TARGET_BYTES: usize = 128;
/// Maximum length in bytes of a response's body, which stays in memory for each client that reads slowly. The
/// metrics take at most 61 KiB.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024;
/// Maximum number of bytes read and discarded after a response. Closing a connection with unread bytes resets
/// it, and the client could lose the response; the limit stops reading from a client that never stops
/// sending.
pub const MAX_DISCARDED_BYTES: usize = 64 * 1024;
/// Maximum number of connections accepted per second, after a burst of half the slots: a new connection has
/// some 30 ms for its request before others can evict it, however many arrive.
pub const PEAK_ACCEPTS_PER_SECOND: u32 = 1_000;

/// Limits on the clients of the admin address. The defaults are given in parentheses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of concurrent connections, 1 or more (64): operators, health checks and scrapers need
    /// only a few connections.
    pub max_connections: usize,
    /// Time from accepting a connection to a complete request (2 s); after it the response is 408.
    pub request_timeout: Duration,
    /// Time in which a client must read its response (2 s); after it the connection is reset.
    pub response_timeout: Duration,
    /// Time in which a client must close its side after the response (500 ms); after it the connection is
    /// closed.
    pub linger: Duration,
    /// Connections accepted per second in the long run, 1 or more (500); further connections wait in the
    /// kernel's queue. A connection costs the event loop that serves requests some 100 us, however little it
    /// sends, so a flood costs at most a twentieth of a core.
    pub accepts_per_second: u32,
    /// Connections accepted before [`Limits::accepts_per_second`] applies, 1 or more (512): a burst is served
    /// within the second in which operators expect a response.
    pub accept_burst: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_connections: 64,
            request_timeout: Duration::from_secs(2),
            response_timeout: Duration::from_secs(2),
            linger: Duration::from_millis(500),
            accepts_per_second: 500,
            accept_burst: 512,
        }
    }
}

impl Limits {
    /// Maximum number of file descriptors that the admin address holds: one per connection, one for the
    /// listener, and one for a connection that was accepted before the evicted one has ended. The program
    /// reserves them.
    pub fn descriptors(&self) -> usize {
        self.max_connections.max(1).saturating_add(2)
    }
}
