//! Engine selection: which engines may take a request, and the weighted draw among them.

use crate::*; // Vocabulary: `crates/policy/src/events.rs`, `actions.rs`, `settings.rs`; records: `state.rs`.

/// Threads a core up to which a level may fill an engine: above one, as part of the work waits for disks.
pub(crate) const FILL: [f64; LEVELS] = [1.5, 1.7, 1.9, 2.1];
/// Own threads may pass the even part of what fills the engines by so many roots of this share.
const OVERHANG: f64 = 1.0;
/// A report weighs at least this where it, not this gateway's share, says whether an engine has room.
const HEARD: f64 = 0.8;
/// Threads a core that a price of a query's worth weighs as much as in the draw, times the square of what is
/// not seen of the fleet: of few gateways one or two fill their zone, and load must weigh more.
const PRICE_LOAD: f64 = 17.0;
/// Engines a query of several threads chooses among at least; its wait for probes, and for others if held.
pub(crate) const PROBE_SAMPLES: usize = 2;
const PROBE_WAIT: TimeDelta = TimeDelta::from_micros(15_000);
const PROBE_GAP: TimeDelta = TimeDelta::from_micros(500_000);
/// A report weighs less than this when it is too old to spare a probe.
const PROBE_STALE: f64 = 0.7;
/// Worth spent on probes, as a share of all that is asked for.
pub(crate) const PROBE_POINTS: f64 = 0.01;
/// How sharply the draw turns from load, per thread a core: a twelfth of a thread a core halves a chance.
const DRAW_STEEPNESS: f64 = 8.0;
/// Chance multiplier of an engine that lately read the query's tables.
const WARM_BONUS: f64 = 1.6;
/// Chance multiplier of an engine that just failed the query, or runs a load on the same tables.
const AVOID: f64 = 1e-3;

impl Policy {
    /// Whether a query's choice hangs on news of load.
    fn heavy(&self, r: &Request) -> bool {
        self.set.reports_load && self.set.classes[r.class].threads > 1.0
    }

    fn may_ask(&self, r: &Request) -> bool {
        self.set.probes && self.heavy(r) && self.probe_credit >= PROBE_SAMPLES as f64
    }

    /// A query of several threads chooses among a few engines drawn at random (a departure from the paper);
    /// those of unknown load are probed first. Else many gateways would fill an engine that looks idle.
    pub(crate) fn draw_few(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let due = |r: &&Request| self.heavy(r) && self.now > r.drawn + PROBE_GAP;
        let Some(r) = self.requests.get(&id).filter(due) else { return };
        let may = |i: &usize| self.gate_engine(r, *i) && self.usable(r, *i);
        // A cold engine that lets this gateway in was drawn for already.
        let cold = |i: &usize| self.warmth(&self.engines[*i]) < 1.0;
        let (mut few, mut warm): (Vec<_>, Vec<_>) = (0..self.engines.len()).filter(may).partition(cold);
        let (fair, ask) = (warm.len() as f64 / f64::from(self.set.gateways).sqrt(), self.may_ask(r));
        for _ in 0..warm.len().min(PROBE_SAMPLES.max(fair as usize)) {
            few.push(warm.swap_remove((self.rng.next_unit() * warm.len() as f64) as usize));
        }
        let unknown = few.iter().filter(|i| ask && self.trust(&self.engines[**i]) < PROBE_STALE);
        let probes: Vec<Action> = unknown.map(|i| Action::Probe { engine: EngineId(*i as u32) }).collect();
        self.probe_credit -= probes.len() as f64;
        let probes_due = if probes.is_empty() { self.now } else { self.now + PROBE_WAIT };
        out.extend(probes);
        self.requests.entry(id).and_modify(|r| (r.few, r.probes_due, r.drawn) = (few, probes_due, self.now));
    }

    /// Whether own threads on sound, warm engines fill this gateway's share of them: many gateways may jam an
    /// engine together of which each sees too little.
    fn crowded(&self, r: &Request) -> bool {
        let sound = |e: &&Engine| e.listed && !e.distrusted && self.warmth(e) >= 1.0;
        let warm = || self.engines.iter().filter(sound);
        let share = warm().map(|e| e.cores).sum::<f64>() / f64::from(self.set.gateways);
        let own = warm().map(|e| e.threads).sum::<f64>();
        own > 0.0 && own + self.set.classes[r.class].threads > FILL[r.level] * share + OVERHANG * share.sqrt()
    }

    pub(crate) fn has_room(&self, r: &Request, i: usize) -> bool {
        // Only one thread finds room anywhere while nothing is out; what may be asked is not guessed.
        let alone = self.own <= 0.0 && self.set.classes[r.class].threads <= 1.0;
        let known = !self.may_ask(r) || self.trust(&self.engines[i]) > PROBE_STALE / 2.0;
        alone || known && self.utilisation(i) < FILL[r.level]
    }

    /// Health: a distrusted engine gets a trickle of light repeatable queries.
    pub(crate) fn usable(&self, r: &Request, i: usize) -> bool {
        let (e, c) = (&self.engines[i], &self.set.classes[r.class]);
        let light = c.effect == Effect::Safe && c.threads <= 1.0;
        let zone = self.zones.get(&e.zone).filter(|z| z.cut);
        let trickle = light
            && e.flying == 0
            && self.now >= e.next_trickle.max(zone.map_or(Timestamp::ZERO, |z| z.next_trickle));
        self.now >= e.down_until && (!e.distrusted || trickle)
    }

    /// Draws an engine against load and for warm tables; where health leaves none, among all allowed.
    pub(crate) fn pick(&self, r: &Request, room: bool, dice: f64) -> Option<EngineId> {
        let mut among: Vec<usize> = (0..self.engines.len()).filter(|i| self.gate_engine(r, *i)).collect();
        if among.iter().any(|i| self.usable(r, *i)) {
            among.retain(|i| self.usable(r, *i));
        }
        // Guards against an engine that fails at once: it looks idle, and would draw what it just failed.
        let elsewhere = |i: &usize| r.last != Some(EngineId(*i as u32));
        if r.errors > 0 && among.iter().any(elsewhere) {
            among.retain(elsewhere);
        }
        let crowded = room && self.crowded(r);
        let unheard = |e: &Engine| self.warmth(e) >= 1.0 && self.trust(e) < HEARD;
        let full = |i: usize| !self.has_room(r, i) || crowded && unheard(&self.engines[i]);
        among.retain(|i| !(room && full(*i)) && (r.few.is_empty() || r.few.contains(i)));
        let drawn: Vec<f64> = among.iter().map(|i| self.weight(r, *i)).collect();
        weighted_index(&drawn, dice).map(|n| EngineId(among[n] as u32))
    }

    pub(crate) fn weight(&self, r: &Request, i: usize) -> f64 {
        let (e, c, here) = (&self.engines[i], &self.set.classes[r.class], EngineId(i as u32));
        let away = f64::from(u8::from(self.set.zone.is_some_and(|z| z != e.zone)));
        let new = e.flying == 0 && e.last_sent.is_none_or(|t| self.now - t >= self.set.idle);
        let price = self.set.cross_zone_price * away + self.set.handshake_price * f64::from(u8::from(new));
        let busy = self.utilisation(i)
            + c.threads / e.cores.max(1.0)
            + PRICE_LOAD * (1.0 - self.sees()).powi(2) * price;
        let sound = (1.0 - e.bad.value()).max(0.01) / slowness(e, self.middle).max(1.0);
        let holds = |o: &Request| o.tables == r.tables && self.set.classes[o.class].load;
        let at = |o: &Request| o.out.as_ref().is_some_and(|a| a.engine == here);
        let bonus = if !c.load && e.warm.contains(r.tables) { WARM_BONUS } else { 1.0 };
        let shun = r.last == Some(here) || c.load && self.requests.values().any(|o| holds(o) && at(o));
        let bonus = bonus * self.set.zone_weight(e.zone);
        e.cores * (-DRAW_STEEPNESS * busy).exp() * sound.powi(2) * bonus * if shun { AVOID } else { 1.0 }
    }

    /// Drains, placement, repeats of keyed requests, and the cold budget.
    pub(crate) fn gate_engine(&self, r: &Request, i: usize) -> bool {
        let (e, c) = (&self.engines[i], &self.set.classes[r.class]);
        let bound = |to: &Option<Vec<u32>>, v: u32| to.as_ref().is_none_or(|l| l.contains(&v));
        if !e.listed || !bound(&c.kinds, e.kind) || !bound(&c.zones, e.zone) {
            return false;
        }
        if let (Effect::Keyed, Some((_, at))) = (c.effect, r.may_have_run) {
            let old = &self.engines[at.0 as usize];
            let same = match c.group {
                DedupGroup::All => true,
                DedupGroup::Zone => old.zone == e.zone,
                DedupGroup::Cell => old.zone == e.zone && old.cell == e.cell,
            };
            if !same {
                return false;
            }
        }
        if self.warmth(e) >= 1.0 {
            return true;
        }
        let (charge, spent) = (self.charge(r.class), e.charges.sum(self.now, self.set.fall_span));
        // Departure: where an even part is less than one query, each gateway draws whether it may send one
        // in this span, so that all together keep to the budget without leaving the engine idle.
        let (fits, drawn) = self.cold_parts(e);
        let light = charge * COLD_PARTS <= self.cold_budget(e) * f64::from(self.set.gateways);
        spent + charge <= fits || light && spent <= 0.0 && e.lot * charge < drawn
    }
}
