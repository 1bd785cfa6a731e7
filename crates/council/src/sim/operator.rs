//! The operator's part: replaces members that are out for good, or that the nemesis wants replaced, and hands over the
//! lead, step by step through whoever leads.

use super::world::World;
use super::App;
use crate::MemberId;
use std::collections::BTreeMap;

/// Wishes not yet fulfilled.
#[derive(Debug, Default)]
pub(crate) struct Operator {
    /// Members to be replaced, by node: the old one.
    replacing: BTreeMap<u32, MemberId>,
    hand_over: Option<MemberId>,
    /// Members replaced so far.
    pub replaced: u64,
}

impl Operator {
    pub fn replace(&mut self, old: MemberId) {
        // One at a time: each is a walk of several changes.
        if self.replacing.is_empty() {
            self.replacing.insert(old.node, old);
        }
    }

    pub fn hand_over(&mut self, to: MemberId) {
        self.hand_over = Some(to);
    }

    /// Takes the next step of every wish.
    pub fn step<A: App>(world: &mut World<A>) {
        let out: Vec<MemberId> =
            world.hosts.values().filter(|host| host.is_out()).map(|host| host.id).collect();
        for old in out {
            world.operator.replacing.entry(old.node).or_insert(old);
        }
        let Some(leader) = world.leader() else { return };
        let hand_over = world.operator.hand_over.take();
        let wishes: Vec<MemberId> = world.operator.replacing.values().copied().collect();
        let Some(council) = world.host_mut(leader).council.as_mut() else { return };
        let members = council.members();
        if let Some(to) = hand_over {
            let _ = council.transfer(to);
        }
        // The first wish only; members change one at a time.
        let Some(&old) = wishes.first() else { return };
        let new = MemberId::new(old.node, old.incarnation + 1);
        if old == leader {
            if let Some(&other) = members.voters.iter().find(|&&voter| voter != old) {
                let _ = council.transfer(other);
            }
        } else if members.contains(old) && members.voters.len() > 3 {
            // Out first, in where the list is long enough: at its longest there is no room for the new one beside it.
            let _ = council.remove(old);
        } else if !members.contains(new) {
            let _ = council.add_learner(new);
            let contacts = members.voters.clone();
            world.renew(new, contacts);
        } else if members.learners.contains(&new) {
            let _ = council.promote(new);
        } else if members.contains(old) {
            let _ = council.remove(old);
        } else {
            world.operator.replacing.remove(&old.node);
            world.operator.replaced += 1;
        }
    }
}
