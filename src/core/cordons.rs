//! Engines that are taken out by hand, and what the deciding part hears of it: the list, with those engines draining
//! whatever the list says. `sprucelink_cordon` decides what is out; here it is put between the list and the module,
//! so that a ban takes the way that every drain takes.

use super::facade::PolicyCommand;
use super::now;
use super::request_table::{Core, RequestTable};
use crate::proto::events::{ListEvent, Member, Phase};
use sprucelink_cordon::{Ban, Change, Hold, Merged, Refused, Target};
use std::rc::Rc;
use tracing::{info, warn};

impl Core {
    /// Takes an engine out; `Ok` is a yes, also where it was out already.
    ///
    /// # Errors
    /// An id that was never listed, and a call over the bounds on bans.
    pub fn take_out(self: &Rc<Self>, id: &str, hold: Hold, why: &str) -> Result<Change, Refused> {
        let mut inner = self.inner.borrow_mut();
        let change = inner.outages.cordon(now(), &Target::Engine(id.to_owned()), hold, why)?;
        let by = hold.by();
        info!(engine = %id, "engine {id} is taken out by {by}: {change:?}");
        inner.retell(self, id);
        Ok(change)
    }

    /// Puts an engine back that the same caller took out; `Ok` is a yes, also where it was not out.
    ///
    /// # Errors
    /// An id that was never listed.
    pub fn put_back(self: &Rc<Self>, id: &str, by: sprucelink_cordon::By) -> Result<Change, Refused> {
        let mut inner = self.inner.borrow_mut();
        let change = inner.outages.uncordon(now(), &Target::Engine(id.to_owned()), by)?;
        info!(engine = %id, "engine {id} is put back by {by}: {change:?}");
        inner.retell(self, id);
        Ok(change)
    }

    /// The bans, and hashes of ids ever listed, for this process's successor.
    pub fn outages(&self, most_ids: usize) -> (Vec<Ban>, Vec<u64>) {
        let inner = self.inner.borrow();
        (inner.outages.export(), inner.outages.export_ids(most_ids))
    }

    /// Takes another process's bans and ids in.
    pub fn adopt_outages(self: &Rc<Self>, bans: &[Ban], ids: &[u64]) -> Merged {
        let mut inner = self.inner.borrow_mut();
        inner.outages.import_ids(ids);
        let merged = inner.outages.import(now(), bans);
        for moved in &merged.moved {
            let (target, change) = (&moved.target, moved.change);
            info!("{target}: {change:?}, by word of another process");
            if let Target::Engine(id) = target {
                inner.retell(self, id);
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

    /// Ends what was taken out for a time; to be called once a second or so.
    pub fn expire_outages(self: &Rc<Self>) {
        let mut inner = self.inner.borrow_mut();
        for moved in inner.outages.expire(now()) {
            info!("{}: {:?}, its time is over", moved.target, moved.change);
            if let Target::Engine(id) = &moved.target {
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
            by_choice || inner.outages.is_out(&inner.engines[i].id)
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
                Phase::Gone => self.outages.unlisted(&member.id),
                Phase::Ready | Phase::Draining => self.outages.listed(&member.id),
            }
        }
        if list.complete {
            let named: std::collections::BTreeSet<&str> =
                list.members.iter().map(|m| m.id.as_str()).collect();
            let unnamed = self.engines.iter().filter(|e| e.is_listed() && !named.contains(e.id.as_str()));
            unnamed.for_each(|e| self.outages.unlisted(&e.id));
        }
    }

    /// The list as the deciding part hears it, where that differs.
    pub(super) fn masked(&self, list: &ListEvent) -> Option<ListEvent> {
        let hidden = |m: &Member| m.phase == Phase::Ready && self.outages.is_out(&m.id);
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
