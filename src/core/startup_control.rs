//! Start-up control: when new connections are dialled, which requests are admitted while engines warm up, what an
//! endpoint list may change of the one held, and when this manager is ready.

use crate::proto::events::{EndpointPhase, ListEvent};
use sprucelink_policy::Timestamp;
use sprucelink_startup::admission::WarmupAdmission;
use sprucelink_startup::config::StartupConfig;
use sprucelink_startup::dial_pacer::DialPacer;
use sprucelink_startup::endpoint_list_guard::{EndpointListGuard, EndpointState};
use sprucelink_startup::readiness::Readiness;
use tracing::{info, warn};

/// The state machines of `sprucelink_startup` that the core drives.
pub(super) struct StartupControl {
    /// When new connections are dialled.
    pub(super) dials: DialPacer,
    /// Which requests are admitted while engines warm up.
    pub(super) admission: WarmupAdmission,
    list_guard: EndpointListGuard,
    /// When this manager is ready.
    pub(super) readiness: Readiness,
}

impl StartupControl {
    /// A start-up that begins now. `name` is this manager's configured name, `listed_engines` those known so far.
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
            dials: DialPacer::new(settings.dial_pacer, name, now),
            admission: WarmupAdmission::new(settings.admission, seed, now),
            list_guard: EndpointListGuard::new(settings.endpoint_list_guard),
            readiness,
        }
    }

    /// Logs once that this manager has become ready; when to check again.
    pub(super) fn check_readiness(&mut self, now: Timestamp) -> Option<Timestamp> {
        if let Some(ready) = self.readiness.check(now) {
            info!(
                after_s = ready.after.as_secs_f64(),
                feed_answered = ready.feed_answered,
                connected = ready.is_connected,
                engines = ready.engines,
                delayed_dials = self.dials.delayed_dials(),
                rejected_requests = self.admission.rejected(),
                "manager is ready"
            );
        }
        self.readiness.next_check_at()
    }

    /// What may be applied of a list that is older than the one held, or contradicts itself; `None`: all of it.
    pub(super) fn filter_list(&mut self, list: &ListEvent, now: Timestamp) -> Option<ListEvent> {
        let entries: Vec<(&str, EndpointState)> =
            list.members.iter().map(|member| (member.id.as_str(), endpoint_state(member.phase))).collect();
        let decision = self.list_guard.evaluate(now, list.revision, list.complete, &entries);
        if !decision.is_stale && decision.contradictions == 0 {
            return None;
        }
        warn!(
            event = list.n,
            revision = list.revision,
            held_revision = self.list_guard.revision(),
            entries = list.members.len(),
            applied = decision.accepted.len(),
            contradicted = decision.contradictions,
            "endpoint list applied in part"
        );
        let members = decision.accepted.iter().map(|i| list.members[*i].clone()).collect();
        Some(ListEvent { n: list.n, revision: list.revision, complete: decision.is_complete, members })
    }
}

fn endpoint_state(phase: EndpointPhase) -> EndpointState {
    match phase {
        EndpointPhase::Ready => EndpointState::Ready,
        EndpointPhase::Draining => EndpointState::Draining,
        EndpointPhase::Gone => EndpointState::Gone,
    }
}
