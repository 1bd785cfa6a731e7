//! Start-up control.
//!
//! Input: requests and their responses, endpoint lists, connections that open. Output: the times of dials,
//! whether a request is admitted while this manager warms up, the part of an endpoint list that may be
//! applied, and when this manager is ready. State: the state machines of `sprucelink_startup`, which make
//! these decisions.

use crate::proto::events::{EndpointPhase, ListEvent};
use sprucelink_policy::{TimeDelta, Timestamp};
use sprucelink_startup::admission::WarmupAdmission;
use sprucelink_startup::config::StartupConfig;
use sprucelink_startup::dial_pacer::DialPacer;
use sprucelink_startup::endpoint_list_guard::{EndpointListGuard, EndpointState};
use sprucelink_startup::readiness::Readiness;
use tracing::{info, warn};

/// The state machines of `sprucelink_startup` that the core drives.
pub(super) struct StartupControl {
    dial_pacer: DialPacer,
    admission: WarmupAdmission,
    list_guard: EndpointListGuard,
    readiness: Readiness,
}

impl StartupControl {
    /// Creates the control of a start-up that begins at `now`. `name`: this manager's configured name;
    /// `seed`: seed of the jitter of Retry-After; `listed_engines`: the number of engines listed so far.
    pub(super) fn new(
        settings: &StartupConfig,
        name: &str,
        seed: u64,
        listed_engines: usize,
        now: Timestamp,
    ) -> StartupControl {
        let mut readiness = Readiness::new(settings.readiness, now);
        readiness.record_endpoint_list(listed_engines);
        StartupControl {
            dial_pacer: DialPacer::new(settings.dial_pacer, name, now),
            admission: WarmupAdmission::new(settings.admission, seed, now),
            list_guard: EndpointListGuard::new(settings.endpoint_list_guard),
            readiness,
        }
    }

    /// Admits a request, or rejects it while this manager warms up. `pending`: the number of pending
    /// requests.
    ///
    /// # Errors
    /// The Retry-After of a rejected request.
    pub(super) fn admit(&mut self, now: Timestamp, pending: usize) -> Result<(), TimeDelta> {
        self.admission.admit(now, pending)
    }

    /// Records that a request was served, `latency` after its submission.
    pub(super) fn record_served(&mut self, latency: TimeDelta) {
        self.admission.record_served(latency);
    }

    /// Records that an engine rejected an attempt because of its load, or answered it with an error.
    pub(super) fn record_engine_failure(&mut self) {
        self.admission.record_engine_failure();
    }

    /// Reserves a dial of an engine; returns the time from which the dial may start.
    pub(super) fn reserve_dial(&mut self, now: Timestamp, engine_id: &str) -> Timestamp {
        self.dial_pacer.reserve_dial(now, engine_id)
    }

    /// Records that the control feed has answered a poll, for readiness.
    pub(super) fn record_feed_answer(&mut self) {
        self.readiness.record_feed_answer();
    }

    /// Records that a connection to an engine has opened, for readiness.
    pub(super) fn record_connection(&mut self) {
        self.readiness.record_connection();
    }

    /// Records that an endpoint list was applied, and the number of engines that are listed after it.
    pub(super) fn record_endpoint_list(&mut self, listed_engines: usize) {
        self.readiness.record_endpoint_list(listed_engines);
    }

    /// Logs once that this manager has become ready; returns the time of the next check, or `None` if no
    /// further check is needed.
    pub(super) fn check_readiness(&mut self, now: Timestamp) -> Option<Timestamp> {
        if let Some(ready) = self.readiness.check(now) {
            info!(
                after_s = ready.after.as_secs_f64(),
                feed_answered = ready.feed_answered,
                connected = ready.is_connected,
                engines = ready.engines,
                delayed_dials = self.dial_pacer.delayed_dials(),
                rejected_requests = self.admission.rejected(),
                "manager is ready"
            );
        }
        self.readiness.next_check_at()
    }

    /// Returns the part of a list that may be applied, if the list is older than the current list or
    /// contradicts itself; `None` if the complete list may be applied.
    pub(super) fn filter_list(&mut self, list: &ListEvent, now: Timestamp) -> Option<ListEvent> {
        let entries: Vec<(&str, EndpointState)> =
            list.endpoints.iter().map(|member| (member.id.as_str(), endpoint_state(member.phase))).collect();
        let decision = self.list_guard.evaluate(now, list.revision, list.is_complete, &entries);
        if !decision.is_stale && decision.contradictions == 0 {
            return None;
        }
        warn!(
            event = list.number,
            revision = list.revision,
            held_revision = self.list_guard.revision(),
            entries = list.endpoints.len(),
            applied = decision.accepted.len(),
            contradicted = decision.contradictions,
            "endpoint list applied in part"
        );
        let members = decision.accepted.iter().map(|i| list.endpoints[*i].clone()).collect();
        Some(ListEvent {
            number: list.number,
            revision: list.revision,
            is_complete: decision.is_complete,
            endpoints: members,
        })
    }
}

fn endpoint_state(phase: EndpointPhase) -> EndpointState {
    match phase {
        EndpointPhase::Ready => EndpointState::Ready,
        EndpointPhase::Draining => EndpointState::Draining,
        EndpointPhase::Gone => EndpointState::Gone,
    }
}
