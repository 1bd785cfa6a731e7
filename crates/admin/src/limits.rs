//! The bounds of the operators' address, each with its reason.

use std::time::Duration;

/// Bytes of a call's head at most, its first line and headers together; over it the answer is 431. Operators' calls have
/// a few hundred; it is also the least that the HTTP library's buffer takes.
pub const MOST_HEAD: usize = 8 * 1024;
/// Bytes of a call's body at most; over it the answer is 413. A body names one engine.
pub const MOST_BODY: usize = 4 * 1024;
/// Bytes of an engine's id at most; over it the answer is 400. Ids on the list have some ten.
pub const MOST_TARGET: usize = 128;
/// Bytes of an answer's body at most; the rest would wait in memory for each caller that reads slowly. Figures take
/// 61 KiB at most.
pub const MOST_ANSWER: usize = 64 * 1024;
/// Bytes that are read and thrown away behind an answer. Closing a connection with unread bytes on it resets it, and
/// the caller might lose the answer; a caller that sends without end is not listened to for ever.
pub const MOST_DISCARDED: usize = 64 * 1024;
/// Callers accepted a second at most at any time, after half the seats at once: a newcomer has some 30 ms for its call
/// before others can push it out, however many come.
pub const ACCEPTS_PER_SECOND: u32 = 1_000;

/// What callers are held to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections at a time, 1 or more (64): operators, checks and scrapers are a handful.
    pub callers: usize,
    /// A whole call is due so long after its connection was accepted (2 s, as for clients' start-up): half a call gets 408.
    pub call_due: Duration,
    /// A caller has so long to take its answer (2 s); then the connection is reset.
    pub answer_due: Duration,
    /// After its answer a caller has so long to close its side (500 ms); then it is closed.
    pub linger: Duration,
    /// Callers accepted a second in the long run, 1 or more (500); more wait in the kernel's queue. A caller costs the loop
    /// that serves requests some 100 us, however little it says: a flood costs it a twentieth of a core at most.
    pub accepts_per_second: u32,
    /// Callers accepted before that rate holds, 1 or more (512): a crowd that comes at once is met within the second that
    /// operators are owed.
    pub accept_burst: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            callers: 64,
            call_due: Duration::from_secs(2),
            answer_due: Duration::from_secs(2),
            linger: Duration::from_millis(500),
            accepts_per_second: 500,
            accept_burst: 512,
        }
    }
}

impl Limits {
    /// File descriptors that the operators' address holds at most: one a caller, the listener's, and that of a newcomer
    /// that was accepted before the one it displaces has gone. The program keeps these back from what it serves with.
    pub fn descriptors(&self) -> usize {
        self.callers.max(1).saturating_add(2)
    }
}
