//! The bans in force, and the calls that change them.

use crate::causes::{Cause, Causes, Load};
use crate::counters::Counters;
use crate::known::{id_hash, KnownIds};
use crate::limits::Limits;
use crate::manager::Manager;
use crate::target::{By, Change, Hold, Refused, Target};
use crate::word::{reason, Word};
use crate::Timestamp;
use std::collections::BTreeMap;

/// One cause that holds a target out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Out<'a> {
    /// What is out.
    pub target: Target,
    /// Whose cause.
    pub by: By,
    /// When its last call came.
    pub at: Timestamp,
    /// The end of its lease, for the fleet's.
    pub until: Option<Timestamp>,
    /// The reason given.
    pub why: &'a str,
}

/// Which engines and managers are out here, and why.
#[derive(Clone, Debug)]
pub struct Outages {
    pub(crate) limits: Limits,
    pub(crate) engines: BTreeMap<String, Causes>,
    pub(crate) own: Causes,
    pub(crate) manager: Manager,
    pub(crate) known: KnownIds,
    /// The highest version given or seen.
    pub(crate) high: u64,
    pub(crate) held: Load,
    pub(crate) spent: Load,
    pub(crate) counters: Counters,
}

impl Outages {
    /// Nothing out, nothing listed, this manager serving.
    pub fn new(limits: Limits) -> Outages {
        Outages {
            limits,
            engines: BTreeMap::new(),
            own: Causes::default(),
            manager: Manager::Serving,
            known: KnownIds::new(limits.ids),
            high: 0,
            held: Load::default(),
            spent: Load::default(),
            counters: Counters::default(),
        }
    }

    // ---- The list ---------------------------------------------------------------------------

    /// The list names the engine, in whatever state. Bans stay as they are.
    pub fn listed(&mut self, id: &str) {
        // Guards the memory of ids against a list with names that no call could hold.
        if crate::target::check_id(id).is_ok() {
            self.known.listed(id_hash(id), true);
        }
    }

    /// The list names the engine no more, or says that it is gone. Bans stay as they are, and so does the memory
    /// that it was listed, within [`Limits::ids`].
    pub fn unlisted(&mut self, id: &str) {
        self.known.listed(id_hash(id), false);
    }

    /// Whether the engine was ever listed, here or at a process whose ids were taken over.
    pub fn ever_listed(&self, id: &str) -> bool {
        self.known.has(id_hash(id)) || self.engines.contains_key(id)
    }

    // ---- Calls ------------------------------------------------------------------------------

    /// A call out. `Ok` is a yes, also where the target was out already; what the reason holds beyond
    /// [`crate::WHY_MOST`] bytes is cut.
    pub fn cordon(
        &mut self,
        now: Timestamp,
        target: &Target,
        hold: Hold,
        why: &str,
    ) -> Result<Change, Refused> {
        let by = hold.by();
        self.may_call(target)
            .and_then(|()| hold.check(now))
            .and_then(|()| if self.has_room(target, by) { Ok(()) } else { Err(Refused::TooMany) })
            .inspect_err(|refused| self.count(*refused))?;
        let was_out = self.causes(target).is_some_and(|c| c.held_by().is_some());
        let word = Word {
            version: self.next_version(now),
            out: true,
            until: hold.until(),
            at: now,
            why: reason(why),
        };
        self.put(now, target, by, Cause::new(now, word));
        self.counters.cordons += 1;
        Ok(if was_out { Change::AlreadyOut } else { Change::Out })
    }

    /// A call back: this cause holds the target no longer, however many calls out there were. It is remembered even
    /// where nothing was out, for [`crate::TOMBSTONE_KEPT`]: another process may hold an older ban.
    pub fn uncordon(&mut self, now: Timestamp, target: &Target, by: By) -> Result<Change, Refused> {
        self.may_call(target).inspect_err(|refused| self.count(*refused))?;
        let was_out = self.causes(target).is_some_and(|c| c.held_by().is_some());
        let version = self.next_version(now);
        let word = Word { version, out: false, until: None, at: now, why: String::new() };
        self.put(now, target, by, Cause::new(now, word));
        self.trim();
        self.counters.uncordons += 1;
        let still = self.causes(target).and_then(Causes::held_by);
        Ok(match still {
            Some(by) => Change::StillOut { by },
            None if was_out => Change::Back,
            None => Change::NotOut,
        })
    }

    fn may_call(&self, target: &Target) -> Result<(), Refused> {
        target.check()?;
        match target {
            Target::Engine(id) if !self.ever_listed(id) => Err(Refused::NeverListed),
            _ => Ok(()),
        }
    }

    fn count(&mut self, refused: Refused) {
        let c = &mut self.counters;
        *match refused {
            Refused::NeverListed => &mut c.never_listed,
            Refused::TooMany => &mut c.too_many,
            Refused::BadTarget => &mut c.bad_target,
            Refused::BadLease => &mut c.bad_lease,
        } += 1;
    }

    /// This call's version: never under the clock, always over what was seen.
    fn next_version(&mut self, now: Timestamp) -> u64 {
        self.high = self.high.saturating_add(1).max(u64::try_from(now.as_micros()).unwrap_or(0));
        self.high
    }

    // ---- What is out ------------------------------------------------------------------------

    /// Whether an engine is out. Cheap: one look-up, and none of the allocator.
    pub fn is_out(&self, id: &str) -> bool {
        self.engines.get(id).is_some_and(|c| c.held_by().is_some())
    }

    /// Everything that is out, a line for each cause: this manager first, then engines by id.
    pub fn out(&self) -> impl Iterator<Item = Out<'_>> {
        let own = self.own.0.iter().map(|(by, cause)| (None, by, cause));
        let engines = self.engines.iter();
        let engines =
            engines.flat_map(|(id, causes)| causes.0.iter().map(move |(by, cause)| (Some(id), by, cause)));
        own.chain(engines).filter(|(.., cause)| cause.holds()).map(|(id, by, cause)| Out {
            target: id.map_or(Target::Manager, |id| Target::Engine(id.clone())),
            by: *by,
            at: cause.word.at,
            until: cause.word.until,
            why: &cause.word.why,
        })
    }

    /// Engines that are out, on the list or not.
    pub fn engines_out(&self) -> usize {
        self.engines.values().filter(|c| c.held_by().is_some()).count()
    }

    /// The state of this manager.
    pub fn manager(&self) -> Manager {
        self.manager
    }

    /// So many connections and requests are in hand at this manager: where it quiesces, none means that it is out.
    pub fn in_hand(&mut self, now: Timestamp, n: usize) {
        self.manager = self.manager.in_hand(now, n);
    }

    /// Counters so far.
    pub fn counters(&self) -> Counters {
        Counters { ids_forgotten: self.known.forgotten, ids_over: self.known.over, ..self.counters }
    }

    /// Bans in force, words of causes that hold no longer, and ids remembered.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.held.words, self.spent.words, self.known.len())
    }

    // ---- How words are kept -----------------------------------------------------------------

    pub(crate) fn causes(&self, target: &Target) -> Option<&Causes> {
        match target {
            Target::Manager => Some(&self.own),
            Target::Engine(id) => self.engines.get(id),
        }
    }

    fn causes_mut(&mut self, target: &Target) -> &mut Causes {
        match target {
            Target::Manager => &mut self.own,
            Target::Engine(id) => self.engines.entry(id.clone()).or_default(),
        }
    }

    /// Whether one more ban has room; one that holds already has.
    pub(crate) fn has_room(&self, target: &Target, by: By) -> bool {
        let holds = self.causes(target).is_some_and(|c| c.holds(by));
        let bytes = self.held.bytes + bytes(target);
        holds || self.held.words < self.limits.bans && bytes <= self.limits.ban_bytes
    }

    /// Sets a cause's word, whatever it was before.
    pub(crate) fn put(&mut self, now: Timestamp, target: &Target, by: By, cause: Cause) {
        let (bytes, holds) = (bytes(target), cause.holds());
        let before = self.causes_mut(target).0.insert(by, cause);
        if let Some(before) = before {
            self.load(before.holds()).take(bytes);
        }
        self.load(holds).add(bytes);
        self.settle(now, target);
    }

    /// Forgets a cause's word.
    pub(crate) fn forget(&mut self, now: Timestamp, target: &Target, by: By) {
        let causes = self.causes_mut(target);
        if let Some(cause) = causes.0.remove(&by) {
            self.load(cause.holds()).take(bytes(target));
        }
        self.settle(now, target);
        if let Target::Engine(id) = target {
            if self.engines.get(id).is_some_and(|c| c.0.is_empty()) {
                self.engines.remove(id);
            }
        }
    }

    fn load(&mut self, holds: bool) -> &mut Load {
        if holds {
            &mut self.held
        } else {
            &mut self.spent
        }
    }

    /// What follows from a target's causes.
    pub(crate) fn settle(&mut self, now: Timestamp, target: &Target) {
        let out = self.causes(target).is_some_and(|c| c.held_by().is_some());
        match target {
            Target::Manager => self.manager = self.manager.held(now, out),
            Target::Engine(id) => _ = self.known.banned(id_hash(id), out),
        }
    }
}

/// What a ban on a target counts for under the bounds on bytes.
pub(crate) fn bytes(target: &Target) -> usize {
    match target {
        Target::Manager => 0,
        Target::Engine(id) => id.len(),
    }
}
