//! The phases of a process, and what follows from them.
//!
//! ```text
//!             can serve,             all others have made room,
//!             others live            or did not within ROOM_WAIT
//! Starting ------------------> Ready ------------------------------> Serving <----+
//!     |                                                              ^  |         |
//!     +--------------------------------------------------------------+  | a younger process is at work;
//!             can serve, nobody else at work                            v it died |
//!                                                                  Accompanied ---+
//! any --- SIGTERM ---> Leaving --- ended ---> Gone
//! ```

use crate::book::Other;
use crate::content::{Phase, Process, ROOM_MOST};
use sprucelink_time::{TimeDelta, Timestamp};

/// A newcomer that could serve waits so long for the others to make room; then it serves without. They read files
/// every 100 ms, so one that has not answered in a second is busy or stuck, and an upgrade must not hang on it.
pub const ROOM_WAIT: TimeDelta = TimeDelta::from_micros(1_000_000);
/// After SIGTERM with no younger process that serves, new connections are taken for so long: they still come.
pub const STILL_COMING: TimeDelta = TimeDelta::from_micros(700_000);
/// In the first while after SIGTERM only sessions that have been idle for so long are let go: a client that was just
/// answered may be writing its next request, which a close would cross.
pub const IDLE_FOR: TimeDelta = TimeDelta::from_micros(100_000);
/// After so long from SIGTERM any idle session is let go at once: what comes after [`STILL_COMING`] may be cut off
/// by SIGKILL.
pub const IDLE_WAIT: TimeDelta = TimeDelta::from_micros(500_000);

/// Where a process stands, and what it may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stand {
    /// The phase.
    pub phase: Phase,
    /// Since when.
    pub since: Timestamp,
    /// Whether it accepts new connections from the listening socket that it shares. Whether this manager quiesces
    /// ([`sprucelink_cordon::ManagerState`]) is asked besides.
    pub accepts: bool,
    /// Whether it has come to serve: the answer to a health check, which never falls back to no.
    pub yes: bool,
    /// Among how many processes the manager's budgets are parted: this one may spend 1 of so many parts of the cold
    /// budget and of the manager's share of the engines' cores. Over all living processes that spend at all these parts
    /// are no more than 1, but for a process that did not hear of another for [`ROOM_WAIT`] or was taken for dead.
    pub parts: u32,
    /// Whether it came to serve only because others did not make room within [`ROOM_WAIT`].
    pub without_room: bool,
    /// Sessions with no open request that have been idle for so long are to be closed; `None`: none are.
    pub let_go: Option<TimeDelta>,
    /// The processes that it makes room for, oldest first, to be told in its file: each of them counts in `parts`.
    pub room_for: Vec<Process>,
}

/// The state machine of one process.
#[derive(Clone, Debug)]
pub struct Upgrade {
    me: Process,
    phase: Phase,
    since: Timestamp,
    ready_since: Option<Timestamp>,
    term_at: Option<Timestamp>,
    served: bool,
    without_room: bool,
}

impl Upgrade {
    /// A process that starts now.
    pub fn new(me: Process, now: Timestamp) -> Upgrade {
        Upgrade {
            me,
            phase: Phase::Starting,
            since: now,
            ready_since: None,
            term_at: None,
            served: false,
            without_room: false,
        }
    }

    /// Takes in where the others stand (as their files were last read), whether SIGTERM has come, and whether this
    /// process could serve. To be called after each look at the files, at SIGTERM and when it becomes able to serve.
    pub fn step(&mut self, now: Timestamp, others: &[Other], term: bool, can_serve: bool) -> Stand {
        if term && self.term_at.is_none() {
            self.term_at = Some(now);
        }
        let me = self.me;
        let at_work = others.iter().filter(|o| o.process != me && o.phase.at_work());
        let mut room_for: Vec<Process> = at_work.map(|o| o.process).collect();
        room_for.sort_unstable();
        room_for.truncate(ROOM_MOST);
        let accompanied = room_for.last().is_some_and(|youngest| *youngest > me);
        let relieved = others.iter().any(|o| o.process > me && o.phase.serves());
        // Whoever may spend, or may without asking this one: an elder that starts does not wait for a younger one.
        let matters = |o: &&Other| o.process != me && (o.phase.at_work() || o.process < me);
        let made_room = others.iter().filter(matters).all(|o| o.room_for.contains(&me));
        let next = self.next(now, accompanied, made_room, can_serve);
        if next != self.phase {
            (self.phase, self.since) = (next, now);
        }
        Stand {
            phase: self.phase,
            since: self.since,
            accepts: self.accepts(now, relieved),
            yes: self.served,
            parts: room_for.len() as u32 + 1,
            without_room: self.without_room,
            let_go: self.let_go(now, relieved),
            room_for,
        }
    }

    /// It has ended: the phase of its last file.
    pub fn gone(&mut self, now: Timestamp) {
        (self.phase, self.since) = (Phase::Gone, now);
    }

    fn next(&mut self, now: Timestamp, accompanied: bool, made_room: bool, can_serve: bool) -> Phase {
        if self.phase == Phase::Gone {
            return Phase::Gone;
        }
        if self.term_at.is_some() {
            return Phase::Leaving;
        }
        if !self.served {
            if !can_serve {
                self.ready_since = None;
                return Phase::Starting;
            }
            let since = *self.ready_since.get_or_insert(now);
            if !made_room && now - since < ROOM_WAIT {
                return Phase::Ready;
            }
            (self.served, self.without_room) = (true, !made_room);
        }
        if accompanied {
            Phase::Accompanied
        } else {
            Phase::Serving
        }
    }

    fn accepts(&self, now: Timestamp, relieved: bool) -> bool {
        match (self.phase, self.term_at) {
            (Phase::Serving, _) => true,
            (Phase::Accompanied, _) => !relieved,
            // A younger one that died after SIGTERM leaves connections unread; taken in now, they would be cut off by
            // SIGKILL with requests open, which is worse.
            (Phase::Leaving, Some(at)) => self.served && !relieved && now - at < STILL_COMING,
            _ => false,
        }
    }

    fn let_go(&self, now: Timestamp, relieved: bool) -> Option<TimeDelta> {
        let at = self.term_at.filter(|_| self.phase == Phase::Leaving)?;
        let since = now - at;
        // Alone, it still takes what comes, on open sessions, too.
        if !relieved && since < STILL_COMING {
            return None;
        }
        Some(if since < IDLE_WAIT { IDLE_FOR } else { TimeDelta::ZERO })
    }
}
