//! The phases of a process, and what follows from them.
//!
//! ```text
//!             can serve,              all peers share their budgets,
//!             peers are alive         or did not within ACK_TIMEOUT
//! Starting ------------------> Ready ---------------------------> Serving <---------+
//!     |                                                           ^  |              |
//!     +-----------------------------------------------------------+  | a newer      | it died
//!             can serve, no peer is active                           v is active    |
//!                                                        ServingBesideSuccessor ----+
//! any --- SIGTERM ---> Draining --- ended ---> Terminated
//! ```

use crate::peer_state::PeerState;
use crate::state::{Phase, Process, MAX_SHARING_PEERS};
use crate::{TimeDelta, Timestamp};

/// How long a new process that could serve waits for its peers to share their budgets; then it serves without. They read
/// files every 100 ms, so one that has not answered within this time is overloaded or stuck, and a hot restart must not
/// wait for it.
pub const ACK_TIMEOUT: TimeDelta = TimeDelta::from_secs(1);
/// How long after SIGTERM new connections are still accepted while no newer process serves: clients still open them.
pub const ACCEPT_GRACE: TimeDelta = TimeDelta::from_millis(700);
/// During [`IDLE_GRACE`] only sessions that have been idle this long are closed: a client that has just received its
/// response may be writing its next request, which would be lost if the session were closed.
pub const MIN_IDLE_TIME: TimeDelta = TimeDelta::from_millis(100);
/// This long after SIGTERM any idle session is closed at once: a request that arrives after [`ACCEPT_GRACE`] may be cut
/// off by SIGKILL.
pub const IDLE_GRACE: TimeDelta = TimeDelta::from_millis(500);

/// The phase of a process, and what it may do in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PhaseStatus {
    /// The phase.
    pub phase: Phase,
    /// Since when.
    pub since: Timestamp,
    /// Whether it accepts new connections from the shared listening socket. Whether this manager quiesces
    /// ([`sprucelink_cordon::ManagerState`]) is checked besides.
    pub accepts_connections: bool,
    /// Whether it has ever started to serve: the answer to a health check, which never becomes negative again.
    pub has_served: bool,
    /// The number of processes among which the manager's budgets are divided: this one may spend `1 / budget_parts` of
    /// the warm-up budget and of the manager's fraction of the engines' cores. Over all live processes that spend at all
    /// these fractions add up to no more than 1, except while a process has not read another's file for [`ACK_TIMEOUT`]
    /// or is considered dead while it is alive.
    pub budget_parts: u32,
    /// Whether it started to serve only because peers did not share their budgets within [`ACK_TIMEOUT`].
    pub is_unacknowledged: bool,
    /// Sessions without an open request that have been idle this long are to be closed; `None`: none are.
    pub close_idle_after: Option<TimeDelta>,
    /// The processes that it shares its budgets with, oldest first, to be written to its file: each of them counts in
    /// `budget_parts`.
    pub shares_with: Vec<Process>,
}

/// What the phase depends on in the peers' files.
struct PeerView {
    shares_with: Vec<Process>,
    /// A newer process is active.
    has_active_successor: bool,
    /// A newer process serves.
    has_serving_successor: bool,
    /// Every peer that may spend the budgets shares them with this process.
    is_acknowledged: bool,
}

impl PeerView {
    fn new(process: Process, peers: &[PeerState]) -> PeerView {
        let others = || peers.iter().filter(|peer| peer.process != process);
        let active = others().filter(|peer| peer.phase.is_active());
        let mut shares_with: Vec<Process> = active.map(|peer| peer.process).collect();
        shares_with.sort_unstable();
        shares_with.truncate(MAX_SHARING_PEERS);
        // Peers that may spend, or may without asking this process: an old process that starts does not wait for a newer
        // one.
        let mut relevant = others().filter(|peer| peer.phase.is_active() || peer.process < process);
        PeerView {
            has_active_successor: shares_with.last().is_some_and(|newest| *newest > process),
            has_serving_successor: peers.iter().any(|peer| peer.process > process && peer.phase.is_serving()),
            is_acknowledged: relevant.all(|peer| peer.shares_with.contains(&process)),
            shares_with,
        }
    }
}

/// The state machine of one process.
#[derive(Clone, Debug)]
pub struct PhaseMachine {
    process: Process,
    phase: Phase,
    since: Timestamp,
    ready_since: Option<Timestamp>,
    sigterm_at: Option<Timestamp>,
    has_served: bool,
    is_unacknowledged: bool,
}

impl PhaseMachine {
    /// A process that starts now.
    pub fn new(process: Process, now: Timestamp) -> PhaseMachine {
        PhaseMachine {
            process,
            phase: Phase::Starting,
            since: now,
            ready_since: None,
            sigterm_at: None,
            has_served: false,
            is_unacknowledged: false,
        }
    }

    /// Applies the peers' states (as their files were last read), whether SIGTERM was received, and whether this process
    /// could serve. To be called after each scan of the files, at SIGTERM and when it becomes able to serve.
    pub fn step(
        &mut self,
        now: Timestamp,
        peers: &[PeerState],
        is_sigterm_received: bool,
        can_serve: bool,
    ) -> PhaseStatus {
        if is_sigterm_received && self.sigterm_at.is_none() {
            self.sigterm_at = Some(now);
        }
        let view = PeerView::new(self.process, peers);
        let next = self.next_phase(now, &view, can_serve);
        if next != self.phase {
            self.phase = next;
            self.since = now;
        }
        PhaseStatus {
            phase: self.phase,
            since: self.since,
            accepts_connections: self.accepts_connections(now, view.has_serving_successor),
            has_served: self.has_served,
            budget_parts: view.shares_with.len() as u32 + 1,
            is_unacknowledged: self.is_unacknowledged,
            close_idle_after: self.close_idle_after(now, view.has_serving_successor),
            shares_with: view.shares_with,
        }
    }

    /// The process has ended: the phase of its last file.
    pub fn terminate(&mut self, now: Timestamp) {
        self.phase = Phase::Terminated;
        self.since = now;
    }

    fn next_phase(&mut self, now: Timestamp, view: &PeerView, can_serve: bool) -> Phase {
        if self.phase == Phase::Terminated {
            return Phase::Terminated;
        }
        if self.sigterm_at.is_some() {
            return Phase::Draining;
        }
        if !self.has_served {
            if !can_serve {
                self.ready_since = None;
                return Phase::Starting;
            }
            let ready_since = *self.ready_since.get_or_insert(now);
            if !view.is_acknowledged && now - ready_since < ACK_TIMEOUT {
                return Phase::Ready;
            }
            self.has_served = true;
            self.is_unacknowledged = !view.is_acknowledged;
        }
        if view.has_active_successor {
            Phase::ServingBesideSuccessor
        } else {
            Phase::Serving
        }
    }

    fn accepts_connections(&self, now: Timestamp, has_serving_successor: bool) -> bool {
        match (self.phase, self.sigterm_at) {
            (Phase::Serving, _) => true,
            (Phase::ServingBesideSuccessor, _) => !has_serving_successor,
            // A successor that died after SIGTERM leaves connections in the accept queue; accepted after the grace
            // period, they would be cut off by SIGKILL with requests in flight, which is worse.
            (Phase::Draining, Some(at)) => {
                self.has_served && !has_serving_successor && now - at < ACCEPT_GRACE
            }
            _ => false,
        }
    }

    fn close_idle_after(&self, now: Timestamp, has_serving_successor: bool) -> Option<TimeDelta> {
        let sigterm_at = self.sigterm_at.filter(|_| self.phase == Phase::Draining)?;
        let elapsed = now - sigterm_at;
        // Without a successor it still accepts requests that arrive, on open sessions, too.
        if !has_serving_successor && elapsed < ACCEPT_GRACE {
            return None;
        }
        Some(if elapsed < IDLE_GRACE { MIN_IDLE_TIME } else { TimeDelta::ZERO })
    }
}
