//! What the failover between zones is told by the core, and what it tells the module: sums over the module's own beliefs
//! of engines, and over what other managers see. It adds up; `sprucelink_locality` decides.

use super::facade::{News, Order};
use super::now;
use super::requests::{Core, Inner};
use sprucelink_coldstart::stable_hash;
use sprucelink_locality::terms::Terms;
use sprucelink_locality::{Locality, Plan, Seen};
use sprucelink_membership::facts::Facts;
use sprucelink_policy::brain::view::EngineView;
use sprucelink_policy::interface::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tracing::{debug, info, warn};

/// Between two judgements.
const EVERY: Micros = Micros(100_000);
/// An engine whose last word is younger has been heard of late; one whose is older, with attempts overdue, keeps silent.
const LATE: Micros = Micros(2_000_000);
const SILENT: Micros = Micros(300_000);
/// A silence counts until anybody in the zone speaks, for this long at most.
const REMEMBERED: Micros = Micros(30_000_000);
/// A weight that moved by less is not told to the module.
const MOVED: f64 = 0.01;

/// Another manager, as the view of the fleet has it.
pub struct Observer {
    /// Its zone, by name.
    pub zone: String,
    /// It is here, not dead.
    pub here: bool,
    /// Its summary, where one is held.
    pub facts: Option<Facts>,
}

/// The failover, where it is on.
pub(super) struct Failover {
    locality: Locality,
    terms: Terms,
    zones: Vec<String>,
    observers: Vec<Observer>,
    /// Engines that kept silent, by number: their zone, and since when that is known.
    silent: BTreeMap<u32, (u32, Micros)>,
    pub(super) next: Micros,
    told: Vec<f64>,
}

/// What an engine is to this manager.
#[derive(Clone, Copy, PartialEq)]
enum Word {
    /// It keeps silent: since when that is known.
    Silent(Micros),
    /// It spoke of late.
    Heard,
    /// Neither.
    Unknown,
}

impl Core {
    /// Switches the failover on: this manager's own zone by number, and the zones' names.
    pub fn failover(&self, terms: &Terms, home: Option<u32>, zones: Vec<String>) {
        let home = home.map(|z| (z, terms.region(&zones, z as usize)));
        self.inner.borrow_mut().failover = Some(Failover {
            locality: Locality::new(terms.clone(), home),
            terms: terms.clone(),
            zones,
            observers: Vec::new(),
            silent: BTreeMap::new(),
            next: now(),
            told: Vec::new(),
        });
        self.wake.notify_one();
    }

    /// What other managers are and tell, where they keep a view of the fleet.
    pub fn observed(&self, observers: Vec<Observer>) {
        if let Some(f) = &mut self.inner.borrow_mut().failover {
            f.observers = observers;
        }
    }

    /// Judges zones when that is due.
    pub(super) fn judge_zones(self: &Rc<Self>) {
        let mut inner = self.inner.borrow_mut();
        let orders = inner.judge_zones();
        inner.work(self, orders);
    }
}

impl Inner {
    /// What an engine is to this manager now, apart from what is remembered.
    fn word(&self, e: &EngineView) -> Word {
        let word = self.engines.get(e.engine as usize).and_then(|k| k.word);
        let young = |most: Micros| word.is_some_and(|t| now() - t < most);
        if e.silent || e.rests > 0.0 || e.overdue > 0 && !young(SILENT) {
            Word::Silent(now())
        } else if young(LATE) {
            Word::Heard
        } else {
            Word::Unknown
        }
    }

    /// Engines that keep silent to this manager, as named among managers.
    pub(super) fn silent_engines(&self) -> Vec<u64> {
        let id =
            |e: &EngineView| self.engines.get(e.engine as usize).map(|e| stable_hash(&[e.id.as_bytes()]));
        let silent = |e: &&EngineView| {
            let remembered = self.failover.as_ref().is_some_and(|f| f.silent.contains_key(&e.engine));
            e.listed && (remembered || matches!(self.word(e), Word::Silent(_)))
        };
        self.facade.beliefs().iter().filter(silent).filter_map(id).collect()
    }

    /// What every engine is to this manager, with the silences that are remembered: each counts until anybody in its zone
    /// has spoken since. Guards against forgetting with each attempt that is called off that nobody there answers.
    fn words(&self, f: &mut Failover, beliefs: &[EngineView]) -> Vec<Word> {
        let mut spoke: BTreeMap<u32, Micros> = BTreeMap::new();
        for e in beliefs {
            if let Some(t) = self.engines.get(e.engine as usize).and_then(|k| k.word) {
                let last = spoke.entry(e.zone).or_insert(t);
                *last = t.max(*last);
            }
        }
        f.silent.retain(|_, (zone, since)| {
            spoke.get(zone).is_none_or(|t| *t < *since) && now() - *since < REMEMBERED
        });
        let mut out = Vec::with_capacity(beliefs.len());
        for e in beliefs {
            let word = self.word(e);
            if let Word::Silent(since) = word {
                f.silent.entry(e.engine).or_insert((e.zone, since));
            }
            out.push(f.silent.get(&e.engine).map_or(word, |s| Word::Silent(s.1)));
        }
        out
    }

    fn judge_zones(&mut self) -> Vec<Order> {
        let due = self.failover.as_ref().is_some_and(|f| now() >= f.next);
        let Some(mut failover) = due.then(|| self.failover.take()).flatten() else { return Vec::new() };
        failover.next = now() + EVERY;
        let beliefs: Vec<EngineView> = self.facade.beliefs().into_iter().filter(|e| e.listed).collect();
        let words = self.words(&mut failover, &beliefs);
        let seen = self.seen(&failover, &beliefs, &words);
        let plan = failover.locality.judge(now(), &seen);
        say(&failover, &plan);
        debug!("failover: shares {:?}, weights {:?}, of {seen:?}", plan.shares, plan.weights);
        let moved = plan.weights.len() != failover.told.len()
            || plan.weights.iter().zip(&failover.told).any(|(a, b)| (a - b).abs() > MOVED * b.max(MOVED));
        let weights = moved.then(|| plan.weights.clone());
        if let Some(w) = &weights {
            failover.told.clone_from(w);
        }
        self.failover = Some(failover);
        weights.map(|w| self.facade.report(now(), News::Zones(w))).unwrap_or_default()
    }

    /// Sums by zone: the module's beliefs, and what the others tell.
    fn seen(&self, f: &Failover, beliefs: &[EngineView], words: &[Word]) -> Vec<Seen> {
        let mut zones: BTreeMap<u32, Seen> = BTreeMap::new();
        let mut engines: BTreeMap<u32, BTreeSet<u64>> = BTreeMap::new();
        for z in 0..f.zones.len() as u32 {
            zones
                .insert(z, Seen { zone: z, region: f.terms.region(&f.zones, z as usize), ..Seen::default() });
        }
        for (e, word) in beliefs.iter().zip(words) {
            let Some(s) = zones.get_mut(&e.zone) else { continue };
            let (mute, heard) = (matches!(word, Word::Silent(_)), *word == Word::Heard);
            s.listed += e.cores;
            s.engines += 1;
            s.mute += u32::from(mute);
            s.heard += u32::from(heard);
            s.load += e.load;
            if !mute && !e.distrusted {
                s.sound += e.cores * e.warmth;
            }
            let id = self.engines.get(e.engine as usize).map(|known| stable_hash(&[known.id.as_bytes()]));
            engines.entry(e.zone).or_default().extend(id);
        }
        for o in &f.observers {
            let own = f.zones.iter().position(|z| *z == o.zone).map(|z| z as u32);
            if let Some(s) = own.and_then(|z| zones.get_mut(&z)) {
                s.inside += 1;
                s.inside_here += u32::from(o.here);
            }
            let Some(facts) = o.facts.as_ref().filter(|_| o.here) else { continue };
            for s in zones.values_mut().filter(|s| Some(s.zone) != own) {
                let here = engines.get(&s.zone);
                let out = facts.unreachable.iter().filter(|e| here.is_some_and(|h| h.contains(e))).count();
                s.observers += 1;
                s.unreachable_to += u32::from(s.engines > 0 && out * 2 >= s.engines as usize);
            }
        }
        zones.into_values().collect()
    }
}

/// Says each verdict with its reasons, zones by name.
fn say(f: &Failover, plan: &Plan) {
    for news in &plan.news {
        let named = news.strip_prefix("zone ").and_then(|rest| {
            let (number, rest) = rest.split_once([' ', ','])?;
            let name = f.zones.get(number.parse::<usize>().ok()?)?;
            Some(format!("failover: zone {name} {rest}"))
        });
        let line = named.unwrap_or_else(|| format!("failover: {news}"));
        let shares: Vec<String> = plan
            .shares
            .iter()
            .map(|(z, s)| format!("{}:{s:.2}", f.zones.get(*z as usize).map_or("?", |n| n)))
            .collect();
        let shares = shares.join(" ");
        if line.contains(" lost ") || line.contains("panic begins") || line.contains("is cut off from") {
            warn!(shares, "{line}; shares {shares}");
        } else {
            info!(shares, "{line}; shares {shares}");
        }
    }
}
