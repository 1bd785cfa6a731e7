//! What breaks, when, and for how long.

use super::simulation::Simulation;
use super::{draw_span, Plan, StateMachine};
use crate::{MemberId, TimeDelta, Timestamp};
use rand::seq::SliceRandom;
use rand::Rng;

/// A trouble that the nemesis may make.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// One process dies and comes back.
    Crash,
    /// Several die at once, perhaps all.
    CrashMany,
    /// The leader dies.
    CrashLeader,
    /// Two parts that don't hear each other.
    Split,
    /// One link carries nothing, one way.
    OneWay,
    /// A member is heard by nobody, or hears nobody.
    Deaf,
    /// A process is stopped and goes on later.
    Stop,
    /// A member's messages take ten times as long.
    Slow,
    /// A disk's syncs take up to a second.
    SlowSync,
    /// A disk is full for a while.
    Full,
    /// A disk's syncs lie for a while, and then the process dies.
    Lie,
    /// A bit turns on the disk of a dead process.
    Rot,
    /// A member is replaced by its next incarnation.
    Replace,
    /// The lead is handed over.
    Transfer,
}

impl Fault {
    /// All but lying and rotting disks, which have counts of their own.
    pub const ALL: [Fault; 12] = [
        Fault::Crash,
        Fault::CrashMany,
        Fault::CrashLeader,
        Fault::Split,
        Fault::OneWay,
        Fault::Deaf,
        Fault::Stop,
        Fault::Slow,
        Fault::SlowSync,
        Fault::Full,
        Fault::Replace,
        Fault::Transfer,
    ];
}

/// The end of a trouble.
#[derive(Debug, Clone)]
pub(crate) enum FaultEnd {
    Restart(MemberId),
    CrashLiar(MemberId),
    Cuts(Vec<(u32, u32)>),
    Wake(MemberId),
    Slow(u32),
    Disk(MemberId),
}

/// The maker of troubles.
#[derive(Debug)]
pub struct Nemesis {
    liars_left: u32,
    /// Troubles made so far.
    pub faults_injected: u64,
}

impl Nemesis {
    pub(crate) fn new(plan: &Plan) -> Self {
        Nemesis { liars_left: plan.lying_disks, faults_injected: 0 }
    }

    /// Makes one trouble, if it may; gives what ends it and when.
    pub(crate) fn strike<A: StateMachine>(
        &mut self,
        world: &mut Simulation<A>,
    ) -> Vec<(Timestamp, FaultEnd)> {
        let now = world.now();
        let lasting =
            now + draw_span(&mut world.rng, TimeDelta::from_millis(50), TimeDelta::from_millis(3_000));
        let running: Vec<MemberId> =
            world.hosts.values().filter(|h| h.is_up() && !h.stopped).map(|h| h.id).collect();
        let away = world.hosts.values().filter(|h| !h.is_out() && !h.is_established()).count() as u32;
        let Some(&target) = running.choose(&mut world.rng) else { return Vec::new() };
        let Some(&trouble) = world.plan.faults.choose(&mut world.rng) else { return Vec::new() };
        let spare = world.plan.max_down.saturating_sub(away);
        self.faults_injected += 1;
        let downs = |world: &mut Simulation<A>, ids: Vec<MemberId>| {
            let torn = world.rng.gen();
            let back = |world: &mut Simulation<A>| {
                now + draw_span(&mut world.rng, TimeDelta::from_millis(10), TimeDelta::from_millis(2_000))
            };
            ids.into_iter()
                .map(|id| {
                    world.crash(id, torn);
                    (back(world), FaultEnd::Restart(id))
                })
                .collect()
        };
        match trouble {
            Fault::Crash if spare > 0 => downs(world, vec![target]),
            Fault::CrashLeader if spare > 0 => match world.leader() {
                Some(leader) => downs(world, vec![leader]),
                None => Vec::new(),
            },
            Fault::CrashMany if spare > 0 => {
                let count = world.rng.gen_range(1..=running.len()).min(spare as usize);
                let ids = running.choose_multiple(&mut world.rng, count).copied().collect();
                downs(world, ids)
            }
            Fault::Rot if spare > 0 && self.liars_left > 0 => {
                self.liars_left -= 1;
                let undo = downs(world, vec![target]);
                world.host_mut(target).rot();
                undo
            }
            Fault::Lie if self.liars_left > 0 && !world.host(target).lied => {
                self.liars_left -= 1;
                world.host_mut(target).lying = true;
                vec![(lasting, FaultEnd::CrashLiar(target))]
            }
            Fault::Split => {
                let mut left: Vec<u32> = world.hosts.keys().copied().collect();
                left.shuffle(&mut world.rng);
                let right = left.split_off(left.len() / 2 + world.rng.gen_range(0..=1));
                let cuts =
                    left.iter().flat_map(|&l| right.iter().flat_map(move |&r| [(l, r), (r, l)])).collect();
                self.cut(world, cuts, lasting)
            }
            Fault::OneWay => {
                let other = *running.choose(&mut world.rng).unwrap_or(&target);
                self.cut(world, vec![(target.node, other.node)], lasting)
            }
            Fault::Deaf => {
                let dumb = world.rng.gen();
                let one = |other: u32| if dumb { (target.node, other) } else { (other, target.node) };
                let cuts = world.hosts.keys().map(|&other| one(other)).collect();
                self.cut(world, cuts, lasting)
            }
            Fault::Stop => {
                world.host_mut(target).stopped = true;
                vec![(lasting, FaultEnd::Wake(target))]
            }
            Fault::Slow => {
                world.net.slow.insert(target.node);
                vec![(lasting, FaultEnd::Slow(target.node))]
            }
            Fault::SlowSync => {
                world.host_mut(target).max_sync_time = TimeDelta::from_millis(1_000);
                vec![(lasting, FaultEnd::Disk(target))]
            }
            Fault::Full => {
                world.host_mut(target).full = true;
                vec![(lasting, FaultEnd::Disk(target))]
            }
            Fault::Replace => {
                let node = world.hosts.keys().next_back().map_or(1, |last| last + 1);
                world.operator.replace(target, MemberId::new(node, 1));
                Vec::new()
            }
            Fault::Transfer => {
                world.operator.hand_over(target);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn cut<A: StateMachine>(
        &self,
        world: &mut Simulation<A>,
        cuts: Vec<(u32, u32)>,
        until: Timestamp,
    ) -> Vec<(Timestamp, FaultEnd)> {
        world.net.cut.extend(&cuts);
        vec![(until, FaultEnd::Cuts(cuts))]
    }
}
