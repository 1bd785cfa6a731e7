//! Engines that are taken out by hand, and what the deciding part hears of it: the list, with those engines draining
//! whatever the list says. `sprucelink_cordon` decides what is out; here it is put between the list and the module,
//! so that a ban takes the way that every drain takes.

use super::facade::PolicyCommand;
use super::now;
use super::request_table::{Core, RequestTable};
use crate::proto::events::{ListEvent, Member, Phase};
use sprucelink_cordon::{
    Cause, CordonError, CordonOutcome, CordonRecord, CordonRequest, MergeResult, Target,
};
use std::rc::Rc;
use tracing::{info, warn};

impl Core {
    /// Takes an engine out; `Ok` is a yes, also where it was out already.
    ///
    /// # Errors
    /// An id that was never listed, and a call over the bounds on bans.
    pub fn cordon_engine(
        self: &Rc<Self>,
        id: &str,
        request: CordonRequest,
        reason: &str,
    ) -> Result<CordonOutcome, CordonError> {
        let mut inner = self.inner.borrow_mut();
        let outcome = inner.cordons.cordon(now(), &Target::Engine(id.to_owned()), request, reason)?;
        info!(engine = %id, cause = %request.cause(), ?outcome, "engine cordoned");
        inner.retell(self, id);
        Ok(outcome)
    }

    /// Puts an engine back that the same caller took out; `Ok` is a yes, also where it was not out.
    ///
    /// # Errors
    /// An id that was never listed.
    pub fn uncordon_engine(self: &Rc<Self>, id: &str, cause: Cause) -> Result<CordonOutcome, CordonError> {
        let mut inner = self.inner.borrow_mut();
        let outcome = inner.cordons.uncordon(now(), &Target::Engine(id.to_owned()), cause)?;
        info!(engine = %id, %cause, ?outcome, "engine uncordoned");
        inner.retell(self, id);
        Ok(outcome)
    }

    /// The records of all cordons, and at most `max_ids` hashes of engine ids ever listed, for this process's successor.
    pub fn export_cordons(&self, max_ids: usize) -> (Vec<CordonRecord>, Vec<u64>) {
        let inner = self.inner.borrow();
        (inner.cordons.export_records(), inner.cordons.export_known_ids(max_ids))
    }

    /// Merges another process's cordon records and engine ids.
    pub fn merge_cordons(self: &Rc<Self>, records: &[CordonRecord], ids: &[u64]) -> MergeResult {
        let mut inner = self.inner.borrow_mut();
        inner.cordons.merge_known_ids(ids);
        let result = inner.cordons.merge_records(now(), records);
        for change in &result.changes {
            info!(cordon_target = %change.target, outcome = ?change.outcome, "cordon merged from another process");
            if let Target::Engine(id) = &change.target {
                inner.retell(self, id);
            }
        }
        if result.over_limit + result.malformed > 0 {
            warn!(
                over_limit = result.over_limit,
                malformed = result.malformed,
                "cordons of another process are not in force here"
            );
        }
        result
    }

    /// Ends cordons whose lease has expired; to be called about once a second.
    pub fn expire_cordons(self: &Rc<Self>) {
        let mut inner = self.inner.borrow_mut();
        for change in inner.cordons.expire(now()) {
            info!(cordon_target = %change.target, outcome = ?change.outcome, "cordon lease expired");
            if let Target::Engine(id) = &change.target {
                inner.retell(self, id);
            }
        }
    }

    /// Engines on the list, and how many of them are avoided: taken out by hand, or by the module's choice.
    pub fn listed_and_avoided(&self) -> (usize, usize) {
        let inner = self.inner.borrow();
        let beliefs = inner.facade.beliefs();
        let avoided = |i: usize| {
            let by_choice = beliefs.get(i).is_some_and(|b| b.distrusted || b.silent || b.rests > 0.0);
            by_choice || inner.cordons.is_engine_cordoned(&inner.engines[i].id)
        };
        let listed = (0..inner.engines.len()).filter(|i| inner.engines[*i].is_listed());
        let (listed, avoided): (Vec<usize>, Vec<bool>) = listed.map(|i| (i, avoided(i))).unzip();
        (listed.len(), avoided.into_iter().filter(|a| *a).count())
    }
}

impl RequestTable {
    /// Notes what a list says of engines, for calls that name them.
    pub(super) fn note_listed(&mut self, list: &ListEvent) {
        for member in &list.members {
            match member.phase {
                Phase::Gone => self.cordons.note_unlisted(&member.id),
                Phase::Ready | Phase::Draining => self.cordons.note_listed(&member.id),
            }
        }
        if list.complete {
            let named: std::collections::BTreeSet<&str> =
                list.members.iter().map(|m| m.id.as_str()).collect();
            let unnamed = self.engines.iter().filter(|e| e.is_listed() && !named.contains(e.id.as_str()));
            unnamed.for_each(|e| self.cordons.note_unlisted(&e.id));
        }
    }

    /// The list as the deciding part hears it, where that differs.
    pub(super) fn masked(&self, list: &ListEvent) -> Option<ListEvent> {
        let hidden = |m: &Member| m.phase == Phase::Ready && self.cordons.is_engine_cordoned(&m.id);
        list.members.iter().any(hidden).then(|| {
            let mut list = list.clone();
            list.members.iter_mut().filter(|m| hidden(m)).for_each(|m| m.phase = Phase::Draining);
            list
        })
    }

    /// Tells the deciding part of one engine anew: it was taken out or put back.
    fn retell(&mut self, core: &Rc<Core>, id: &str) {
        let Some(told) = self.engines.iter().find(|e| e.id == id).and_then(|e| e.told.clone()) else {
            return;
        };
        let list = ListEvent { n: self.last_event, revision: 0, complete: false, members: vec![told] };
        let orders: Vec<PolicyCommand> = self.on_members(&list, false);
        self.work(core, orders);
        core.wake.notify_one();
    }
}
