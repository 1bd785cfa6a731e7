//! The operator's part: replaces members that are out for good, or that the nemesis wants replaced, and hands over the
//! lead, step by step through whoever leads. Where none can lead, says who is gone for good.

use super::simulation::Simulation;
use super::StateMachine;
use crate::{MemberId, TimeDelta, Timestamp};

/// With no leader for so long the operator says who is gone.
const STUCK: TimeDelta = TimeDelta::from_whole_secs(8);

/// Wishes not yet fulfilled.
#[derive(Debug, Default)]
pub(crate) struct Operator {
    /// Members to be replaced, each by whom, the first first.
    replacing: Vec<(MemberId, MemberId)>,
    hand_over: Option<MemberId>,
    /// Members whose stores are no more.
    gone: Vec<MemberId>,
    led: Timestamp,
    /// Members replaced so far.
    pub replaced: u64,
}

impl Operator {
    /// Wants a member that is well replaced by one on a node of its own.
    pub fn replace(&mut self, old: MemberId, new: MemberId) {
        if self.replacing.is_empty() {
            self.replacing.push((old, new));
        }
    }

    pub fn hand_over(&mut self, to: MemberId) {
        self.hand_over = Some(to);
    }

    /// Takes the next step of the first wish.
    pub fn step<A: StateMachine>(world: &mut Simulation<A>) {
        let out: Vec<MemberId> =
            world.hosts.values().filter(|host| host.is_out()).map(|host| host.id).collect();
        for old in out {
            // It takes no part any more, so its node may begin anew in its place.
            if !world.operator.replacing.iter().any(|(held, _)| *held == old) {
                let new = MemberId::new(old.node, old.incarnation + 1);
                world.operator.replacing.push((old, new));
            }
        }
        let Some(leader) = world.leader() else { return Self::stuck(world) };
        world.operator.led = world.now();
        let hand_over = world.operator.hand_over.take();
        let wish = world.operator.replacing.first().copied();
        let old_is_out =
            wish.is_some_and(|(old, _)| world.hosts.get(&old.node).is_none_or(|h| h.id != old || h.is_out()));
        let Some(council) = world.host_mut(leader).council.as_mut() else { return };
        let members = council.members();
        if let Some(to) = hand_over {
            let _ = council.transfer(to);
        }
        let Some((old, new)) = wish else { return };
        let voters = members.voters.len();
        if old == leader {
            if let Some(&other) = members.voters.iter().find(|&&voter| voter != old) {
                let _ = council.transfer(other);
            }
        } else if members.contains(old) && voters > 3 && (old_is_out || voters == 7) {
            // Out first: it only weighs on the majority, or there is no room for another beside it.
            let _ = council.remove(old);
        } else if !members.contains(new) {
            let _ = council.add_learner(new);
            if world.renew(new, members.voters.clone()) && old.node == new.node {
                world.operator.gone.push(old);
            }
        } else if members.learners.contains(&new) {
            let _ = council.promote(new);
        } else if members.contains(old) {
            let _ = council.remove(old);
        } else {
            world.operator.replacing.remove(0);
            world.operator.replaced += 1;
            world.retire(old);
        }
    }

    /// Nobody leads: after a while everybody is told whose stores are no more.
    fn stuck<A: StateMachine>(world: &mut Simulation<A>) {
        if world.now() - world.operator.led < STUCK {
            return;
        }
        world.operator.led = world.now();
        let out = world.hosts.values().filter(|host| host.is_out()).map(|host| host.id);
        let gone: Vec<MemberId> = out.chain(world.operator.gone.iter().copied()).collect();
        for council in world.hosts.values_mut().filter_map(|host| host.council.as_mut()) {
            let me = council.member();
            for &member in gone.iter().filter(|&&member| member != me) {
                council.gone(member);
            }
        }
    }
}
