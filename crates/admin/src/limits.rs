//! The bounds of the admin address, each with its reason.

use std::time::Duration;

/// Longest head of a request in bytes, its first line and headers together; beyond it the response is 431. Operators'
/// requests have a few hundred; it is also the smallest buffer that the HTTP library accepts.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Longest body of a request in bytes; beyond it the response is 413. A body names one engine.
pub const MAX_BODY_BYTES: usize = 4 * 1024;
/// Longest engine id in bytes; beyond it the response is 400. Ids on the endpoint list have about ten.
pub const MAX_TARGET_BYTES: usize = 128;
/// Longest body of a response in bytes: it waits in memory for each client that reads slowly. The metrics take 61 KiB at
/// most.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024;
/// Bytes that are read and discarded after a response at most. Closing a connection with unread bytes resets it, and the
/// client might lose the response; a client that sends without end is not read for ever.
pub const MAX_DISCARDED_BYTES: usize = 64 * 1024;
/// Most connections accepted a second at any time, after half the slots at once: a new one has some 30 ms for its request
/// before others can evict it, however many arrive.
pub const PEAK_ACCEPTS_PER_SECOND: u32 = 1_000;

/// Limits on the clients of the admin address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections at a time, 1 or more (64): operators, health checks and scrapers are a handful.
    pub max_connections: usize,
    /// Time from accepting a connection to a complete request (2 s); then the response is 408.
    pub request_timeout: Duration,
    /// Time that a client has to read its response (2 s); then the connection is reset.
    pub response_timeout: Duration,
    /// Time that a client has to close its side after the response (500 ms); then the connection is closed.
    pub linger: Duration,
    /// Connections accepted a second in the long run, 1 or more (500); others wait in the kernel's queue. A connection
    /// costs the loop that serves requests some 100 us, however little it sends: a flood costs it a twentieth of a core
    /// at most.
    pub accepts_per_second: u32,
    /// Connections accepted before that rate applies, 1 or more (512): a burst is served within the second in which
    /// operators expect a response.
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
    /// File descriptors that the admin address holds at most: one for each connection, the listener's, and one for a
    /// connection that was accepted before the one it evicts has ended. The program reserves these.
    pub fn descriptors(&self) -> usize {
        self.max_connections.max(1).saturating_add(2)
    }
}
