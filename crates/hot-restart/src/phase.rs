//! The phases of a process, and the permissions that follow from them.
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

/// Time for which a new process that can serve waits for its peers to share their budgets; then it serves
/// without their acknowledgement. Peers read files every 100 ms, so a peer that has not acknowledged within
/// this time is overloaded or stuck, and a hot restart must not wait for it.
pub const ACK_TIMEOUT: TimeDelta = TimeDelta::from_secs(1);
/// Time after SIGTERM for which new connections are still accepted while no newer process serves, because
/// clients still open them.
pub const ACCEPT_GRACE: TimeDelta = TimeDelta::from_millis(700);
/// Minimum time for which a session must have been idle to be closed during [`IDLE_GRACE`]: a client that has
/// just received its response may be writing its next request, which would be lost if the session were
/// closed.
pub const MIN_IDLE_TIME: TimeDelta = TimeDelta::from_millis(100);
/// Time after SIGTERM from which any idle session is closed at once: a request that arrives after
/// [`ACCEPT_GRACE`] may be interrupted by SIGKILL.
pub const IDLE_GRACE: TimeDelta = TimeDelta::from_millis(500);

/// The phase of a process, and its permissions in this phase.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PhaseStatus {
    /// Current phase of the process.
    pub phase: Phase,
    /// Time at which the phase began.
    pub since: Timestamp,
    /// Whether the process accepts new connections from the shared listening socket. The caller checks
    /// separately whether the manager quiesces ([`sprucelink_cordon::ManagerState`]).
    pub accepts_connections: bool,
    /// Whether the process has ever started to serve. This determines the answer to health checks, which
    /// never becomes negative again.
    pub has_served: bool,
    /// Number of processes among which the manager's budgets are divided: this process may spend `1 /
    /// budget_parts` of the warm-up budget and of the manager's fraction of the engines' cores. The fractions
    /// of all live processes that spend budgets add up to at most 1, except while a process has not read
    /// another's file for [`ACK_TIMEOUT`] or is considered dead while it is alive.
    pub budget_parts: u32,
    /// Whether the process started to serve without acknowledgement, because peers did not share their
    /// budgets within [`ACK_TIMEOUT`].
    pub is_unacknowledged: bool,
    /// Idle time after which sessions without an open request are to be closed; `None` if no sessions are to
    /// be closed.
    pub close_idle_after: Option<TimeDelta>,
    /// Processes with which this process shares its budgets, oldest first. They are written to its file, and
    /// each counts in `budget_parts`.
    pub shares_with: Vec<Process>,
}

/// The information in the peers' files on which the phase depends.
struct PeerView {
    shares_with: Vec<Process>,
    /// Whether a newer process is active.
    has_active_successor: bool,
    /// Whether a newer process serves.
    has_serving_successor: bool,
    /// Whether every peer that may spend the budgets shares them with this process.
    is_acknowledged: bool,
}

impl PeerView {
    fn new(process: Process, peers: &[PeerState]) -> PeerView {
        let others = || peers.iter().filter(|peer| peer.process != process);
        let active = others().filter(|peer| peer.phase.is_active());
        let mut shares_with: Vec<Process> = active.map(|peer| peer.process).collect();
        shares_with.sort_unstable();
        shares_with.truncate(MAX_SHARING_PEERS);
        // Peers that may spend budgets now, or start to without an acknowledgement by this process: an older
        // process that starts does not wait for a newer one.
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
    /// Creates the state machine of a process that starts now.
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

    /// Determines the phase from the peers' states (from the last scan of their files), whether SIGTERM was
    /// received, and whether this process can serve. Must be called after each scan of the files, at SIGTERM,
    /// and when the process becomes able to serve.
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

    /// Enters [`Phase::Terminated`], the phase of the last file of a process.
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
            // A successor that died after SIGTERM leaves connections in the accept queue. If they were
            // accepted after the grace period, SIGKILL would close them with requests in flight, which is
            // worse.
            (Phase::Draining, Some(sigterm_at)) => {
                self.has_served && !has_serving_successor && now - sigterm_at < ACCEPT_GRACE
            }
            _ => false,
        }
    }

    fn close_idle_after(&self, now: Timestamp, has_serving_successor: bool) -> Option<TimeDelta> {
        let sigterm_at = self.sigterm_at.filter(|_| self.phase == Phase::Draining)?;
        let elapsed = now - sigterm_at;
        // Without a successor, requests are still accepted, also on open sessions.
        if !has_serving_successor && elapsed < ACCEPT_GRACE {
            return None;
        }
        Some(if elapsed < IDLE_GRACE { MIN_IDLE_TIME } else { TimeDelta::ZERO })
    }
}
