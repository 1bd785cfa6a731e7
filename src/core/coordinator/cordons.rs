//! Engines that are cordoned by hand. `sprucelink_cordon` decides which are; here they are put between the endpoint list
//! and the policy, which hears of them as draining whatever the list says, so that a cordon takes the way of every drain.

use super::{ConnectionRuntime, Coordinator};
use crate::core::clock::now;
use crate::proto::events::{ListEvent, Member, Phase};
use sprucelink_cordon::{Ban, By, Change, Hold, Merged, Refused, Target};
use std::collections::BTreeSet;
use tracing::{info, warn};

impl Coordinator {
    /// Cordons an engine; `Ok` also where it is cordoned already.
    ///
    /// # Errors
    /// An id that was never listed, and a call over the bounds on cordons.
    pub(in crate::core) fn cordon(
        &mut self,
        runtime: &dyn ConnectionRuntime,
        id: &str,
        hold: Hold,
        reason: &str,
    ) -> Result<Change, Refused> {
        let change = self.cordons.cordon(now(), &Target::Engine(id.to_owned()), hold, reason)?;
        let by = hold.by();
        info!(engine = %id, "engine {id} is taken out by {by}: {change:?}");
        self.reapply_entry(runtime, id);
        Ok(change)
    }

    /// Ends a cordon of the same caller; `Ok` also where there is none.
    ///
    /// # Errors
    /// An id that was never listed.
    pub(in crate::core) fn uncordon(
        &mut self,
        runtime: &dyn ConnectionRuntime,
        id: &str,
        by: By,
    ) -> Result<Change, Refused> {
        let change = self.cordons.uncordon(now(), &Target::Engine(id.to_owned()), by)?;
        info!(engine = %id, "engine {id} is put back by {by}: {change:?}");
        self.reapply_entry(runtime, id);
        Ok(change)
    }

    /// The cordons, and hashes of ids ever listed, for this process's successor.
    pub(in crate::core) fn export_cordons(&self, max_ids: usize) -> (Vec<Ban>, Vec<u64>) {
        (self.cordons.export(), self.cordons.export_ids(max_ids))
    }

    /// Merges another process's cordons and listed ids.
    pub(in crate::core) fn merge_cordons(
        &mut self,
        runtime: &dyn ConnectionRuntime,
        cordons: &[Ban],
        ids: &[u64],
    ) -> Merged {
        self.cordons.import_ids(ids);
        let merged = self.cordons.import(now(), cordons);
        for moved in &merged.moved {
            let (target, change) = (&moved.target, moved.change);
            info!("{target}: {change:?}, by word of another process");
            if let Target::Engine(id) = target {
                self.reapply_entry(runtime, id);
            }
        }
        if merged.over + merged.bad > 0 {
            warn!(
                over = merged.over,
                bad = merged.bad,
                "bans of another process do not hold here: {merged:?}"
            );
        }
        merged
    }

    /// Ends the cordons whose time is over; to be called about once a second.
    pub(in crate::core) fn expire_cordons(&mut self, runtime: &dyn ConnectionRuntime) {
        for moved in self.cordons.expire(now()) {
            info!("{}: {:?}, its time is over", moved.target, moved.change);
            if let Target::Engine(id) = &moved.target {
                self.reapply_entry(runtime, id);
            }
        }
    }

    /// Engines that are listed, and how many of them get no requests: cordoned, or avoided by the policy.
    pub(in crate::core) fn listed_and_avoided(&self) -> (usize, usize) {
        let views = self.policy.engine_views();
        let is_avoided = |number: usize, id: &str| {
            let by_policy = views.get(number).is_some_and(|v| v.distrusted || v.silent || v.rests > 0.0);
            by_policy || self.cordons.is_out(id)
        };
        let listed = self.engines.iter().enumerate().filter(|(_, engine)| engine.is_listed());
        let avoided: Vec<bool> = listed.map(|(number, engine)| is_avoided(number, &engine.id)).collect();
        (avoided.len(), avoided.iter().filter(|is_avoided| **is_avoided).count())
    }

    /// Records which engines a list names, for calls by id.
    pub(super) fn record_listed_ids(&mut self, list: &ListEvent) {
        for member in &list.members {
            match member.phase {
                Phase::Gone => self.cordons.unlisted(&member.id),
                Phase::Ready | Phase::Draining => self.cordons.listed(&member.id),
            }
        }
        if list.complete {
            let named: BTreeSet<&str> = list.members.iter().map(|member| member.id.as_str()).collect();
            let omitted = self.engines.iter().filter(|e| e.is_listed() && !named.contains(e.id.as_str()));
            omitted.for_each(|engine| self.cordons.unlisted(&engine.id));
        }
    }

    /// A list with the cordoned engines as draining, where that differs.
    pub(super) fn apply_cordons(&self, list: &ListEvent) -> Option<ListEvent> {
        let is_cordoned = |member: &Member| member.phase == Phase::Ready && self.cordons.is_out(&member.id);
        if !list.members.iter().any(is_cordoned) {
            return None;
        }
        let mut effective = list.clone();
        for member in &mut effective.members {
            if is_cordoned(member) {
                member.phase = Phase::Draining;
            }
        }
        Some(effective)
    }

    /// Applies an engine's entry again after its cordon has changed.
    fn reapply_entry(&mut self, runtime: &dyn ConnectionRuntime, id: &str) {
        let Some(entry) = self.engines.listed_entry(id) else { return };
        let n = self.engines.last_event();
        let list = ListEvent { n, revision: 0, complete: false, members: vec![entry] };
        let commands = self.apply_members(&list, false);
        self.execute(runtime, commands);
        runtime.wake();
    }
}
