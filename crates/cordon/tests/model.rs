//! Any run of calls, lists and time against a model that is as plain as can be.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sprucelink_cordon::{By, Change, Hold, Limits, Manager, Outages, Refused, Target, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
enum Step {
    Listed(u8),
    Unlisted(u8),
    /// On whom, the permit (0: the operator), and the lease in steps of time.
    Cordon(u8, u8, i8),
    Uncordon(u8, u8),
    InHand(u8),
    Expire,
    /// Goes through export and import into a process that knows nothing yet.
    Upgrade,
}

fn step() -> impl Strategy<Value = Step> {
    let (id, permit) = (0_u8..6, 0_u8..4);
    prop_oneof![
        2 => id.clone().prop_map(Step::Listed),
        1 => id.clone().prop_map(Step::Unlisted),
        5 => (id.clone(), permit.clone(), -1_i8..9).prop_map(|(i, p, l)| Step::Cordon(i, p, l)),
        4 => (id, permit).prop_map(|(i, p)| Step::Uncordon(i, p)),
        1 => (0_u8..3).prop_map(Step::InHand),
        2 => Just(Step::Expire),
        1 => Just(Step::Upgrade),
    ]
}

/// Target 0 is this manager, the others are engines.
fn target(i: u8) -> Target {
    if i == 0 {
        Target::Manager
    } else {
        Target::Engine(format!("s-{i}"))
    }
}

fn by(permit: u8) -> By {
    if permit == 0 {
        By::Operator
    } else {
        By::Fleet { permit: u64::from(permit) }
    }
}

/// What a reader of the page would keep on paper: who was ever listed, and which causes hold what until when.
#[derive(Default)]
struct Paper {
    ever: BTreeSet<u8>,
    holds: BTreeMap<(u8, By), i64>,
    idle_since: Option<i64>,
    quiet_since: Option<i64>,
}

impl Paper {
    fn causes(&self, i: u8) -> Vec<By> {
        self.holds.keys().filter(|(on, _)| *on == i).map(|(_, by)| *by).collect()
    }

    fn known(&self, i: u8) -> bool {
        i == 0 || self.ever.contains(&i)
    }

    fn manager(&mut self, now: i64) {
        if self.causes(0).is_empty() {
            (self.quiet_since, self.idle_since) = (None, None);
        } else {
            self.quiet_since.get_or_insert(now);
        }
    }
}

const TICK: i64 = 1_000_000;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(41), failure_persistence: None, ..ProptestConfig::with_cases(400)
    })]

    #[test]
    fn it_does_what_the_paper_says(steps in prop::collection::vec(step(), 1..120)) {
        let mut real = Outages::new(Limits::default());
        let mut paper = Paper::default();
        let mut now = 1_700_000_000_000_000_i64;
        for s in steps {
            now += TICK;
            let t = Timestamp::from_micros(now);
            match s {
                Step::Listed(i) => {
                    real.listed(&format!("s-{i}"));
                    paper.ever.insert(i);
                }
                Step::Unlisted(i) => real.unlisted(&format!("s-{i}")),
                Step::Cordon(i, permit, lease) => {
                    let until = now + i64::from(lease) * TICK;
                    let hold = match by(permit) {
                        By::Operator => Hold::Operator,
                        By::Fleet { permit } => Hold::Fleet { permit, until: Timestamp::from_micros(until) },
                    };
                    let was = !paper.causes(i).is_empty();
                    let want = if !paper.known(i) {
                        Err(Refused::NeverListed)
                    } else if permit > 0 && lease <= 0 {
                        Err(Refused::BadLease)
                    } else {
                        paper.holds.insert((i, by(permit)), if permit == 0 { i64::MAX } else { until });
                        Ok(if was { Change::AlreadyOut } else { Change::Out })
                    };
                    prop_assert_eq!(real.cordon(t, &target(i), hold, "why"), want);
                }
                Step::Uncordon(i, permit) => {
                    let was = !paper.causes(i).is_empty();
                    let want = if !paper.known(i) {
                        Err(Refused::NeverListed)
                    } else {
                        paper.holds.remove(&(i, by(permit)));
                        Ok(match paper.causes(i).first() {
                            Some(by) => Change::StillOut { by: *by },
                            None if was => Change::Back,
                            None => Change::NotOut,
                        })
                    };
                    prop_assert_eq!(real.uncordon(t, &target(i), by(permit)), want);
                }
                Step::InHand(n) => {
                    real.in_hand(t, usize::from(n));
                    if paper.quiet_since.is_some() {
                        match (n, paper.idle_since) {
                            (0, None) => paper.idle_since = Some(now),
                            (1.., Some(since)) => (paper.quiet_since, paper.idle_since) = (Some(since), None),
                            _ => {}
                        }
                    }
                }
                Step::Expire => {
                    let ended = paper.holds.iter().filter(|(_, until)| **until <= now).map(|(k, _)| *k);
                    let ended: Vec<(u8, By)> = ended.collect();
                    ended.iter().for_each(|k| _ = paper.holds.remove(k));
                    let touched: BTreeSet<u8> = ended.iter().map(|(i, _)| *i).collect();
                    let want: Vec<(Target, Change)> = touched
                        .iter()
                        .map(|i| match paper.causes(*i).first() {
                            Some(by) => (target(*i), Change::StillOut { by: *by }),
                            None => (target(*i), Change::Back),
                        })
                        .collect();
                    let mut got: Vec<_> = real.expire(t).into_iter().map(|m| (m.target, m.change)).collect();
                    got.sort_by_key(|(target, _)| (*target != Target::Manager, target.to_string()));
                    prop_assert_eq!(got, want);
                }
                Step::Upgrade => {
                    let mut next = Outages::new(Limits::default());
                    next.import_ids(&real.export_ids(usize::MAX));
                    let merged = next.import(t, &real.export());
                    prop_assert_eq!((merged.over, merged.bad), (0, 0));
                    // What runs out with the very call is not taken out first.
                    paper.holds.retain(|_, until| *until > now);
                    real = next;
                    (paper.quiet_since, paper.idle_since) = (None, None);
                }
            }
            paper.manager(now);
            for i in 0..6_u8 {
                let out = !paper.causes(i).is_empty();
                if i == 0 {
                    let want = match (out, paper.quiet_since, paper.idle_since) {
                        (false, ..) => Manager::Serving,
                        (true, _, Some(since)) => Manager::Out { since: Timestamp::from_micros(since) },
                        (true, since, None) => Manager::Quiescing { since: Timestamp::from_micros(since.unwrap_or(0)) },
                    };
                    prop_assert_eq!(real.manager(), want);
                } else {
                    prop_assert_eq!(real.is_out(&format!("s-{i}")), out, "engine {} after {:?}", i, s);
                    prop_assert_eq!(real.ever_listed(&format!("s-{i}")), paper.known(i));
                }
            }
            let held: BTreeSet<(String, By)> = real.out().map(|o| (o.target.to_string(), o.by)).collect();
            let want = paper.holds.keys().map(|(i, by)| (target(*i).to_string(), *by)).collect();
            prop_assert_eq!(held, want);
            prop_assert_eq!(real.sizes().0, paper.holds.len());
        }
    }
}
