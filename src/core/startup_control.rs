//! Start-up control: when new connections are dialled, which requests are admitted while engines warm up, what an
//! endpoint list may change of the one held, and when this manager is ready.

use crate::proto::events::{ListEvent, Phase};
use sprucelink_policy::Timestamp;
use sprucelink_startup::admission::WarmAdmission;
use sprucelink_startup::dials::DialStager;
use sprucelink_startup::held::{HeldList, Says};
use sprucelink_startup::ready::Readiness;
use sprucelink_startup::settings::ColdStart;
use tracing::{info, warn};

/// The state machines of `sprucelink_startup` that the core drives.
pub(super) struct StartupControl {
    pub(super) dials: DialStager,
    pub(super) admission: WarmAdmission,
    list_guard: HeldList,
    pub(super) readiness: Readiness,
}

impl StartupControl {
    /// A start-up that begins now. `name` is this manager's configured name, `listed_engines` those known so far.
    pub(super) fn new(
        settings: &ColdStart,
        name: &str,
        seed: u64,
        listed_engines: usize,
        now: Timestamp,
    ) -> StartupControl {
        let mut readiness = Readiness::new(settings.ready, now);
        readiness.listed(listed_engines);
        StartupControl {
            dials: DialStager::new(settings.dials, name, now),
            admission: WarmAdmission::new(settings.admission, seed, now),
            list_guard: HeldList::new(settings.held),
            readiness,
        }
    }

    /// Logs once that this manager has become ready; when to check again.
    pub(super) fn check_readiness(&mut self, now: Timestamp) -> Option<Timestamp> {
        if let Some(ready) = self.readiness.look(now) {
            let after = ready.after.as_secs_f64();
            let staged = self.dials.staged();
            let turned_away = self.admission.refused();
            info!(
                after,
                feed = ready.feed,
                link = ready.link,
                engines = ready.engines,
                staged,
                turned_away,
                "ready after {after:.3} s: feed {}, link {}, {} engines, {staged} dials staged, {turned_away} turned away",
                if ready.feed { "answered" } else { "not yet" },
                if ready.link { "up" } else { "not yet" },
                ready.engines
            );
        }
        self.readiness.next_look()
    }

    /// What may be applied of a list that is older than the one held, or contradicts itself; `None`: all of it.
    pub(super) fn filter_list(&mut self, list: &ListEvent, now: Timestamp) -> Option<ListEvent> {
        let entries: Vec<(&str, Says)> =
            list.members.iter().map(|member| (member.id.as_str(), says(member.phase))).collect();
        let decision = self.list_guard.judge(now, list.revision, list.complete, &entries);
        if !decision.older && decision.contradicted == 0 {
            return None;
        }
        let (n, revision, held) = (list.n, list.revision, self.list_guard.revision());
        let (taken, of, twice) = (decision.take.len(), list.members.len(), decision.contradicted);
        warn!(
            n,
            revision,
            held,
            taken,
            "list {n} of revision {revision}, {held} held: {taken} of {of} entries taken, {twice} contradicted"
        );
        let members = decision.take.iter().map(|i| list.members[*i].clone()).collect();
        Some(ListEvent { n, revision, complete: decision.whole, members })
    }
}

fn says(phase: Phase) -> Says {
    match phase {
        Phase::Ready => Says::Ready,
        Phase::Draining => Says::Draining,
        Phase::Gone => Says::Gone,
    }
}
