//! Every decision of the gateway. Its vocabulary is in `crates/policy/src/interface.rs`: read that first.
//!
//! An ordinary query is priced, admitted and levelled by the tolls of Konana et al. (sections 3.2 to
//! 3.4), then waits in the gateway's line until an engine drawn for it has room. What ends badly is
//! tried again or answered. Two gates hold the rules: `send` for every attempt, `answer` for every
//! final answer.

use crate::interface::*;
pub use crate::state::Policy;
use crate::state::*;
use sprucelink_rate_limits::update_mean_and_variance;
use sprucelink_stable_hash::weighted_index;

pub mod view;

// ---- Constants -------------------------------------------------------------------------------

/// Interval between two settings of the tolls (design page: 1 s).
pub(crate) const INTERVAL: TimeDelta = TimeDelta::from_micros(1_000_000);
/// Share of the new price in the implemented one (design page, paper eq. 7).
const ALPHA: f64 = 0.1;
/// Share of a fresh interval or outcome in the smoothed rate and wait; a few outcomes decide (ours).
const SMOOTH: f64 = 0.2;
/// Outcomes in an interval from which its figures stand alone; with fewer, older ones count along.
const EVIDENCE: f64 = 10.0;
/// Own load is averaged over as long as this gateway's cores take for so much work, thread-seconds.
const CALM: f64 = 10.0;
/// Utilisation counts up to this in the slope, which would else have no bound (design page).
const U_CAP: f64 = 0.9;
/// Below this utilisation of the picked engine a query in time enters (design page).
const LOW_UTIL: f64 = 0.7;
/// Held queries tried at one look; the rest of the line waits for the next.
const LOOK_AHEAD: usize = 200;
/// Engine priorities, 0 to 3 (design page).
const LEVELS: usize = 4;
/// Between two looks at all that is open, microseconds: short against every deadline.
const TICK: TimeDelta = TimeDelta::from_micros(20_000);
/// An answer goes out this long before the client stops waiting: two looks and a batch.
const ANSWER_MARGIN: TimeDelta = TimeDelta::from_micros(50_000);
/// Threads a core up to which a level may fill an engine: above one, as part of the work waits for disks.
const FILL: [f64; LEVELS] = [1.5, 1.7, 1.9, 2.1];
/// Own threads may pass the even part of what fills the engines by so many roots of this share.
const OVERHANG: f64 = 1.0;
/// A report weighs at least this where it, not this gateway's share, says whether an engine has room.
const HEARD: f64 = 0.8;
/// A report older than this is outweighed by an attempt that is overdue.
const OLD_NEWS: TimeDelta = TimeDelta::from_micros(1_000_000);
/// Notes missed after which an attempt's engine counts as mute; so many mute ones tell of a zone cut off.
const NOTES_MISSED: f64 = 1.5;
const MUTE: usize = 2;
/// Threads a core that a price of a query's worth weighs as much as in the draw, times the square of what is
/// not seen of the fleet: of few gateways one or two fill their zone, and load must weigh more.
const PRICE_LOAD: f64 = 17.0;
/// Seconds of each class counted into the threads of a query in hand before outcomes tell.
pub(crate) const MIX_PRIOR: f64 = 2.0;
/// Share of busy cores from which a report no longer tells how many threads wait.
const FULL: f64 = 0.85;
/// Seconds in which a report of load fades into the mean, as long as the queries last that it counted; the
/// mean of all reports in twice that.
const FADE: f64 = 4.0;
/// With fewer cores to its share a gateway's own load is mostly chance, and tells little of the others'.
const GUESS: f64 = 4.0;
/// Threads a core taken to be on an engine that turned a query away as full.
const BRIMFUL: f64 = 4.0;
/// Weight of a report in the mean load, of a look in own threads that reports count; least one of an outcome.
const STEP: f64 = 0.1;
/// A tenant's bucket holds its share of a second, or this many requests: few come by chance in bunches.
const TENANT_BURST: f64 = 6.0;
/// Engines a query of several threads chooses among at least; its wait for probes, and for others if held.
const PROBE_SAMPLES: usize = 2;
const PROBE_WAIT: TimeDelta = TimeDelta::from_micros(15_000);
const PROBE_GAP: TimeDelta = TimeDelta::from_micros(500_000);
/// A report weighs less than this when it is too old to spare a probe.
const PROBE_STALE: f64 = 0.7;
/// Worth spent on probes, as a share of all that is asked for.
const PROBE_POINTS: f64 = 0.01;
/// How sharply the draw turns from load, per thread a core: a twelfth of a thread a core halves a chance.
const DRAW_STEEPNESS: f64 = 8.0;
/// Chance multiplier of an engine that lately read the query's tables.
const WARM_BONUS: f64 = 1.6;
/// Chance multiplier of an engine that just failed the query, or runs a load on the same tables.
const AVOID: f64 = 1e-3;
/// Groups of tables taken to be warm on an engine, of those sent last; engines tell no number.
const WARM_GROUPS: usize = 4;
/// Share of the told cores that counts as capacity in the cold budget: slow machines, cores never all busy.
const COLD_CAPACITY: f64 = 0.56;
/// Estimates that the first guess of a class's charge weighs as much as.
const FIRST_CHARGES: f64 = 1.0;
/// Share of the cold budget used by draw, where no query fits a part: several may draw well at once.
const COLD_CHANCE: f64 = 0.7;
/// Shares of it for light queries that fit a part, and for heavy ones by draw: who sends one sends no more.
const COLD_LIGHT: f64 = 0.75;
const COLD_HEAVY: f64 = 0.35;
/// What is drawn for may take one part in so many of all gateways' budget: of heavier work two make a jam.
const COLD_PARTS: f64 = 4.0;
/// An engine this many times slower than the middle one gets a trickle only; believed after so many outcomes.
const CRAWL: f64 = 3.5;
/// Share of failed attempts that costs an engine its trust: what fails at once looks idle and draws all.
const FAULTY: f64 = 0.4;
const CRAWL_SAMPLES: u32 = 6;
/// Shorter latencies than this are not expected of any attempt, in seconds.
const EXPECTED_FLOOR: f64 = 0.05;
/// An attempt out for this many times its expected latency is overdue.
const OVERDUE: f64 = 3.0;
/// Shares of the wanted time after which a running query is raised to levels 1 and 2; 3 is never forced.
const URGENT: [f64; 2] = [0.35, 0.6];
/// An attempt unheard of for this many times its expected latency is lost.
const LOST: f64 = 5.0;
/// An engine silent for this long with most attempts overdue takes work and answers none.
const SILENCE: TimeDelta = TimeDelta::from_micros(700_000);
/// Gap between two queries of the trickle to a distrusted engine.
const TRICKLE: TimeDelta = TimeDelta::from_micros(1_000_000);
/// First rest after a failed connection; doubles up to eight times this.
const DOWN_REST: TimeDelta = TimeDelta::from_micros(500_000);
/// So many errors end a request: what two engines cannot do is most likely its own fault.
const MOST_ERRORS: u32 = 2;
/// An attempt is redone when what is left would take this many times a fresh one.
const REDO_GAIN: f64 = 3.0;
/// An answer is late when this many times its expected time passes the wanted one; else half would be.
const PRUDENCE: f64 = 1.5;
/// Rise of a class's grant, in estimates, by a note that all of it is missing.
const SPILL_STEP: f64 = 0.1;
/// Memory granted against the estimate at first; then learned from spills.
pub(crate) const FIRST_GRANT: f64 = 1.15;

/// Where answers tell the memory needed, a grant lies so many deviations over its mean, by what an engine
/// short of it does. Pages: grants cost nothing, only use does. Shrinks, waits: others pay for it.
const GRANT_SAFETY: [f64; 3] = [0.5, 0.7, 2.0];
/// Answers counted in that mean, and its square deviation at first.
const NEED_SPAN: u32 = 50;
pub(crate) const NEED_SCATTER: f64 = 0.25;
/// A class's mean cost at first, as a share of its wanted time on all its threads; no estimate came yet.
const FIRST_MEAN: f64 = 0.25;
/// Latency against the estimate at first: as in a busy hour, until outcomes tell.
pub(crate) const FIRST_PACE: f64 = 2.0;
/// Estimates in a class's mean cost: the first weigh equally, then the last of about so many.
const MEAN_SPAN: u32 = 200;
/// Weight of one answer in told work over estimate, and the most one may say: estimates err by class.
const BIAS_STEP: f64 = 0.02;
const BIAS_MOST: f64 = 4.0;
/// Weight of one answer in the pace, and the most one may say: bad plans are not the class's pace.
const PACE_STEP: f64 = 0.05;
const PACE_MOST: f64 = 20.0;
/// Steps of the learned ratio up and down: it rests where a quarter of the answers are quicker.
const RATIO_UP: f64 = 1.01;
const RATIO_DOWN: f64 = 0.97;
/// Fall of a class's grant with each answer, and the least it comes to, in estimates.
const GRANT_DECAY: f64 = 0.001;
const GRANT_LEAST: f64 = 0.5;
/// Wait left to a level when a full interval's evidence is silent on it (design page: half).
const UNHEARD: f64 = 0.5;
/// Weight of a failure and of an answer in an engine's share of failures: trust comes back sooner.
const FAULT_STEP: f64 = 0.15;
const AMENDS_STEP: f64 = 0.3;
/// Bounds of what one outcome may say of an engine's slowness.
const SLOW_BOUNDS: [f64; 2] = [0.05, 50.0];
/// A distrusted engine is trusted again below this share of a bound, so that verdicts do not flap.
const RELENT: f64 = 0.5;
/// Rest of an engine that turned a query away as full.
const FULL_REST: TimeDelta = TimeDelta::from_micros(100_000);

impl Policy {
    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !std::mem::replace(&mut self.armed, true) {
            out.push(Action::Timer { delay: TICK, token: 0 });
        }
        let is_tick = matches!(event, Event::Timer { .. });
        match event {
            Event::Arrived(a) => return self.on_arrival(a, out),
            Event::Started { id } => return self.on_started(id),
            Event::Noted { id, attempt, note } => return self.on_note(id, attempt, note, out),
            Event::GivenUp { id } => return self.finish(id, out),
            Event::Heard { .. } => return,
            Event::Zones(weights) => return self.set.zone_weights = weights,
            Event::Fleet { gateways, spare } => return self.on_fleet(gateways, spare),
            // These may free room for what waits.
            Event::List { kind, entries } => self.on_list(kind, entries),
            ended @ Event::Ended { .. } => self.on_ended(ended, out),
            Event::Timer { .. } => self.on_tick(out),
            Event::Probed { engine, outcome, report } => self.on_probed(engine.0 as usize, outcome, report),
        }
        self.dispatch(None, out);
        if is_tick {
            out.push(Action::Timer { delay: TICK, token: 0 });
        }
    }

    // ---- Tolls -------------------------------------------------------------------------------

    /// Told cores of the engines that take work, over the gateways: this one's share.
    fn core_share(&self) -> f64 {
        (self.cores / f64::from(self.set.gateways)).max(1.0)
    }

    /// How far own load tells of the fleet's: half at GUESS cores to this gateway's share.
    fn sees(&self) -> f64 {
        self.core_share() / (self.core_share() + GUESS)
    }

    /// Worth lost per second of waiting: worth over deadline.
    fn delta(&self, class: usize) -> f64 {
        self.set.classes[class].worth / self.set.classes[class].deadline.as_secs_f64().max(1e-3)
    }

    /// Sets every price anew (paper eq. 6 and 7).
    fn reprice(&mut self) {
        let share = self.core_share();
        let evidence = (f64::from(self.outcomes) / EVIDENCE).min(1.0);
        self.outcomes = 0;
        for book in &mut self.classes {
            for l in &mut book.levels {
                l.rate.update(f64::from(l.admitted) / INTERVAL.as_secs_f64(), SMOOTH);
                l.admitted = 0;
                // Departure: a level unheard of loses half its wait only as others are heard.
                l.wait *= if l.fresh { 1.0 } else { UNHEARD.powf(evidence) };
                l.fresh = false;
            }
        }
        // What one more thread-second a second at a level costs those who wait there.
        let mut burden = [0.0; LEVELS];
        for (h, (burden, above)) in burden.iter_mut().zip(self.above).enumerate() {
            let books = || self.classes.iter().map(|c| c.levels[h]);
            let rates: f64 = books().map(|l| l.rate.value()).sum();
            let waits: f64 = books().map(|l| l.rate.value() * l.wait).sum();
            let lost: f64 = books().enumerate().map(|(j, l)| self.delta(j) * l.rate.value()).sum();
            let wait = if rates > 0.0 { waits / rates } else { 0.0 };
            *burden = wait / (1.0 - (above.value() / share).min(U_CAP)) / share * lost;
        }
        for book in &mut self.classes {
            let mut sum = 0.0;
            for (l, b) in book.levels.iter_mut().zip(burden) {
                sum += b;
                l.price += ALPHA * (book.mean * book.bias.value() * sum - l.price);
            }
        }
    }

    // ---- Admission and level -----------------------------------------------------------------

    /// Expected latency at work alone: estimate times the learned ratio, over the threads.
    fn own_time(&self, class: usize, cost: f64) -> f64 {
        cost * self.classes[class].ratio / self.set.classes[class].threads
    }

    fn now_time(&self, class: usize, cost: f64) -> f64 {
        cost * self.classes[class].pace.value().max(self.classes[class].ratio)
            / self.set.classes[class].threads
    }

    /// The level of least delay cost plus toll, and its tau and toll.
    fn cheapest(&self, class: usize, cost: f64) -> (usize, f64, f64) {
        let book = &self.classes[class];
        let mut best = (0, 0.0, f64::MAX, f64::MAX);
        let mut ahead: f64 = self.held.iter().sum();
        for (k, l) in book.levels.iter().enumerate() {
            // Departure: what is held now at this level and above tells of a jam before outcomes do.
            let live = ahead / (self.core_share() + GUESS);
            ahead -= self.held[k];
            let tau = l.wait.max(live) + self.own_time(class, cost);
            let toll = l.price * cost / book.mean;
            let total = self.delta(class) * tau + toll;
            if total < best.3 {
                best = (k, tau, toll, total);
            }
        }
        (best.0, best.1, best.2)
    }

    /// The time within which an answer earns its full worth and its client still waits, seconds.
    fn aim(&self, r: &Request) -> f64 {
        let c = &self.set.classes[r.class];
        let wanted =
            c.aim.as_secs_f64() + c.aim_stretch * r.cost * self.classes[r.class].bias.value() / c.threads;
        wanted.min((r.deadline - r.arrived - ANSWER_MARGIN).as_secs_f64())
    }

    /// What an answer `in_all` seconds after the arrival earns.
    fn step_worth(&self, r: &Request, in_all: f64) -> f64 {
        let gone = in_all > (r.deadline - r.arrived).as_secs_f64();
        let late_worth = if gone { 0.0 } else { self.set.classes[r.class].late_worth };
        r.worth * if in_all * PRUDENCE > self.aim(r) { late_worth } else { 1.0 }
    }

    /// Worth less delay cost for an answer `in_all` seconds after its arrival. Departure: past the
    /// wanted time only the late worth is left, as the paper's footnote 8 allows for steps.
    fn worth_at(&self, r: &Request, in_all: f64) -> f64 {
        let c = &self.set.classes[r.class];
        self.step_worth(r, in_all) - r.worth / c.deadline.as_secs_f64().max(1e-3) * in_all
    }

    fn on_arrival(&mut self, a: Arrival, out: &mut Vec<Action>) {
        let class = a.class.0;
        self.taken.record(self.now, self.set.attempt_budget.map_or(TimeDelta::ZERO, |b| b.span));
        if class >= self.classes.len() {
            return out.push(Action::Fail { id: a.id, retry_after: None });
        }
        let (worth, in_turn) = (self.set.classes[class].worth, self.set.classes[class].in_turn);
        let quota = self.set.tenants.get(a.tenant).map(|t| t.quota_per_s / f64::from(self.set.gateways));
        let within = quota.is_none_or(|q| self.tenants[a.tenant].try_take(self.now, q, q.max(TENANT_BURST)));
        let book = &mut self.classes[class];
        let cost = a.cost.unwrap_or(book.mean);
        if a.cost.is_some() {
            book.samples = (book.samples + 1).min(MEAN_SPAN);
            book.mean += (cost - book.mean) / f64::from(book.samples);
        }
        let rate = PROBE_POINTS / self.set.probe_price.max(PROBE_POINTS / PROBE_SAMPLES as f64);
        self.probe_credit = (self.probe_credit + rate).min(4.0 * PROBE_SAMPLES as f64);
        self.seq += 1;
        let mut r = Request::new(&a, self.seq, self.now, cost);
        r.worth = if within { worth } else { worth * self.set.over_share_worth };
        r.key = a.key.filter(|_| in_turn);
        if let Some(key) = &r.key {
            self.keys.entry(key.clone()).or_default().turns.push_back(a.id);
        }
        self.requests.insert(a.id, r);
        self.admit(a.id, out);
    }

    fn admit(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some((class, cost)) = self.requests.get(&id).map(|r| (r.class, r.cost)) else { return };
        let (level, tau, toll) = self.cheapest(class, cost);
        let dice = self.rng.next_unit();
        self.requests.entry(id).and_modify(|r| r.level = level);
        self.draw_few(id, out);
        let Some(r) = self.requests.get(&id) else { return };
        let picked = self.pick(r, false, dice);
        let idle = picked.is_some_and(|e| self.utilisation(e.0 as usize) < LOW_UTIL);
        let free = (self.own < self.core_share() || idle) && tau <= (r.deadline - self.now).as_secs_f64();
        let (enters, place) = (free || self.worth_at(r, tau) - toll >= 0.0, place(r));
        self.why_priced(id, (tau, toll, free, enters), out);
        if enters {
            self.classes[class].levels[level].admitted += 1;
            self.line.insert(place, id);
            self.dispatch(Some(id), out);
            if self.line.contains_key(&place) {
                self.held[level] += cost * self.classes[class].bias.value();
            }
        } else {
            self.answer(id, out);
        }
    }

    /// Sends what waits as engines have room, top level first. A newcomer is tried alone: it frees no room.
    fn dispatch(&mut self, newcomer: Option<RequestId>, out: &mut Vec<Action>) {
        let place = newcomer.and_then(|id| Some((place(self.requests.get(&id)?), id)));
        let all = || self.line.iter().take(LOOK_AHEAD).map(|(k, v)| (*k, *v)).collect();
        let waiting: Vec<((usize, u64), RequestId)> = place.map_or_else(all, |p| vec![p]);
        for (place, id) in waiting {
            let dice = self.rng.next_unit();
            let Some(r) = self.requests.get(&id) else { continue };
            if !self.my_turn(id, r) || !(r.attempts == 0 || self.within_attempt_budget()) {
                continue;
            }
            self.draw_few(id, out);
            let Some(r) = self.requests.get(&id).filter(|r| self.now >= r.probes_due) else { continue };
            self.why_drawn(id, dice, out);
            if self.pick(r, true, dice).is_some_and(|e| self.send(id, e, out)) {
                self.line.remove(&place);
            }
        }
    }

    /// Whether a query's choice hangs on news of load.
    fn heavy(&self, r: &Request) -> bool {
        self.set.reports_load && self.set.classes[r.class].threads > 1.0
    }

    fn may_ask(&self, r: &Request) -> bool {
        self.set.probes && self.heavy(r) && self.probe_credit >= PROBE_SAMPLES as f64
    }

    /// A query of several threads chooses among a few engines drawn at random (a departure from the paper);
    /// those of unknown load are probed first. Else many gateways would fill an engine that looks idle.
    fn draw_few(&mut self, id: RequestId, out: &mut Vec<Action>) {
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

    // ---- Eligible engines and pick -----------------------------------------------------------

    /// Share of its capacity that an engine has by now: from the start share up, evenly.
    fn warmth(&self, e: &Engine) -> f64 {
        let Some(started) = e.started else { return 1.0 };
        let age = (self.now - started).as_secs_f64() / self.set.cold_for.as_secs_f64().max(1e-3);
        1.0 - (1.0 - self.set.start_share) * (1.0 - age.clamp(0.0, 1.0))
    }

    /// Threads a core of other gateways, if each has as many out as this one.
    fn equal(&self) -> f64 {
        f64::from(self.set.gateways - 1) * self.above[0].value() / self.cores.max(1.0)
    }

    /// The same in the mean: as reported of late, else as far as own load can tell.
    fn usual(&self) -> f64 {
        let trust = (-(self.now - self.fleet_heard).as_secs_f64() / (2.0 * FADE)).exp();
        self.fleet.value() * trust + self.equal() * self.sees() * (1.0 - trust)
    }

    /// How much the last report still tells of an engine.
    fn trust(&self, e: &Engine) -> f64 {
        e.heard.map_or(0.0, |t| (-(self.now - t).as_secs_f64() / FADE).exp())
    }

    /// Threads on an engine: own, and others' by report. Departure: a report fades into the mean as it ages,
    /// so that what was heard once neither draws nor repels for good.
    fn load(&self, e: &Engine) -> f64 {
        let usual = self.usual() * e.cores * self.warmth(e) * self.let_in(e);
        let trust = self.trust(e);
        let reported = if e.full { e.others.max(self.equal() * e.cores) } else { e.others };
        e.threads + usual + (reported - usual) * trust + e.waiting * trust
    }

    fn utilisation(&self, i: usize) -> f64 {
        let e = &self.engines[i];
        self.load(e) / (e.cores * self.warmth(e)).max(1e-3)
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

    fn has_room(&self, r: &Request, i: usize) -> bool {
        // Only one thread finds room anywhere while nothing is out; what may be asked is not guessed.
        let alone = self.own <= 0.0 && self.set.classes[r.class].threads <= 1.0;
        let known = !self.may_ask(r) || self.trust(&self.engines[i]) > PROBE_STALE / 2.0;
        alone || known && self.utilisation(i) < FILL[r.level]
    }

    /// Health: a distrusted engine gets a trickle of light repeatable queries.
    fn usable(&self, r: &Request, i: usize) -> bool {
        let (e, c) = (&self.engines[i], &self.set.classes[r.class]);
        let light = c.effect == Effect::Safe && c.threads <= 1.0;
        let zone = self.zones.get(&e.zone).filter(|z| z.cut);
        let trickle = light
            && e.flying == 0
            && self.now >= e.next_trickle.max(zone.map_or(Timestamp::ZERO, |z| z.next_trickle));
        self.now >= e.down_until && (!e.distrusted || trickle)
    }

    /// Draws an engine against load and for warm tables; where health leaves none, among all allowed.
    fn pick(&self, r: &Request, room: bool, dice: f64) -> Option<EngineId> {
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

    fn weight(&self, r: &Request, i: usize) -> f64 {
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

    // ---- Attempts and outcomes ---------------------------------------------------------------

    fn on_list(&mut self, kind: ListKind, entries: Vec<EngineEntry>) {
        if kind == ListKind::Failed {
            return self.ask_again = Some(self.now + INTERVAL);
        }
        if kind != ListKind::Changes {
            self.engines.iter_mut().for_each(|e| e.listed = false);
        }
        for entry in entries {
            let i = entry.engine.0 as usize;
            self.engines.resize_with(self.engines.len().max(i + 1), Engine::default);
            let e = &mut self.engines[i];
            if std::mem::replace(&mut e.gone, entry.state == EngineState::Gone) {
                // Back under its number, or another in its place: nothing is known of it but what is out.
                *e = Engine { threads: e.threads, flying: e.flying, gone: e.gone, ..Engine::default() };
            }
            if entry.since > e.started {
                self.zones.entry(entry.zone).or_default().word(self.now);
                // A fresh start: what was known of the old process is void.
                (e.slow, e.slow_samples, e.failures, e.bad) = (0.0, 0, 0, Default::default());
                (e.down_until, e.distrusted, e.silent) = (self.now, false, false);
                e.warm.clear();
                (e.lot, e.next_lot) = (self.rng.next_unit(), self.now + self.set.fall_span);
            }
            e.listed = entry.state == EngineState::Ready;
            (e.zone, e.kind, e.cell) = (entry.zone, entry.kind, entry.cell);
            e.cores = self.set.kind_cores.get(entry.kind as usize).copied().unwrap_or(1.0).max(1.0);
            e.started = entry.since.max(e.started);
        }
        self.cores = self.engines.iter().filter(|e| e.listed).map(|e| e.cores).sum();
    }

    fn on_note(&mut self, id: RequestId, attempt: u32, note: Note, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.out.as_mut().filter(|a| a.number == attempt && !a.cancelled) else { return };
        a.heard = self.now;
        let e = &mut self.engines[a.engine.0 as usize];
        e.last_word = self.now;
        self.zones.entry(e.zone).or_default().word(self.now);
        let (age, expected) = ((self.now - a.sent).as_secs_f64(), a.expected);
        let (class, r) = (r.class, &*r);
        match (note, r.memory) {
            (Note::Spills(missing), Some(need)) => {
                self.classes[class].grant += SPILL_STEP * (missing / need.max(1.0)).min(1.0);
            }
            (Note::Progress(done), _) => {
                // A bad plan or a slow engine: a fresh attempt would be far quicker than what is left.
                let left = age * (1.0 - done) / done.max(0.01);
                let r = &self.requests[&id];
                let fresh = expected.max(self.now_time(class, r.cost));
                let pays =
                    left > REDO_GAIN * fresh && (self.now - r.arrived).as_secs_f64() + left > self.aim(r);
                if pays && self.may_repeat(r) && self.within_attempt_budget() {
                    self.cancel(id, out);
                }
            }
            _ => {}
        }
    }

    fn cancel(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.why_cancelled(id, out);
        let out_now = self.requests.get_mut(&id).and_then(|r| r.out.as_mut());
        if let Some(a) = out_now.filter(|a| self.set.cancel && !a.cancelled) {
            a.cancelled = true;
            out.push(Action::Cancel { id, attempt: a.number });
        }
    }

    fn on_report(&mut self, i: usize, report: Report) {
        if report.in_hand.is_none() && report.busy.is_none() && report.waiting.is_none() {
            return;
        }
        let mean_threads = self.thread_time / self.query_time.max(1e-6);
        let usual = self.usual() * self.engines[i].cores;
        let e = &mut self.engines[i];
        let total = report.in_hand.map(|n| n * mean_threads).or(report.busy.map(|b| b * e.cores));
        (e.heard, e.waiting) = (Some(self.now), report.waiting.unwrap_or(0.0));
        e.full = report.in_hand.is_none() && total.is_some_and(|t| t > FULL * e.cores);
        e.others = total.map_or(usual, |t| (t - e.smooth_threads.value()).max(0.0));
        if total.is_some() {
            self.fleet.update(e.others / e.cores, STEP);
            self.fleet_heard = self.now;
        }
    }

    fn on_started(&mut self, id: RequestId) {
        self.requests.entry(id).and_modify(|r| r.answered = true);
    }

    fn on_probed(&mut self, i: usize, outcome: Outcome, report: Report) {
        if outcome == Outcome::Expired {
            self.brimful(i);
        }
        self.on_report(i, report);
    }

    fn on_fleet(&mut self, gateways: u32, spare: f64) {
        self.set.gateways = gateways.max(1);
        self.set.spare = spare;
    }

    /// A connection failed: the engine rests, longer each time; after two in a row it is cold when back.
    fn went_down(&mut self, i: usize) {
        let (now, e) = (self.now, &mut self.engines[i]);
        if now >= e.down_until {
            e.down_until = now + TimeDelta::from_micros(DOWN_REST.as_micros() << e.failures.min(3));
            e.failures += 1;
        }
        if e.failures >= 2 && self.set.cold_for > TimeDelta::ZERO {
            e.started = Some(now);
        }
    }

    fn on_ended(&mut self, ended: Event, out: &mut Vec<Action>) {
        let Event::Ended { id, attempt, outcome, latency, complete, bill, report } = ended else { return };
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.out.take_if(|a| a.number == attempt) else { return };
        let (class, level, cost, memory, at) = (r.class, r.level, r.cost, r.memory, a.engine);
        let i = at.0 as usize;
        let c = &self.set.classes[class];
        let (threads, load) = (c.threads, c.load);
        if !outcome.never_ran() {
            r.may_have_run.get_or_insert((a.sent, at));
        }
        let zone = self.zones.entry(self.engines[i].zone).or_default();
        match outcome {
            Outcome::Delivered | Outcome::Error | Outcome::Shed => zone.word(self.now),
            Outcome::DialFailed => zone.missed(&a, MUTE),
            _ => {}
        }
        r.errors += u32::from(outcome == Outcome::Error);
        r.answered |= complete;
        let (key, answered, in_all) = (r.key.clone(), r.answered, (self.now - r.arrived).as_secs_f64());
        let e = &mut self.engines[i];
        e.threads -= threads;
        self.own -= threads;
        e.flying -= 1;
        self.thread_time += threads * latency.as_secs_f64();
        self.query_time += latency.as_secs_f64();
        if matches!(outcome, Outcome::Expired | Outcome::Dropped | Outcome::Revoked) {
            if let Some(line) = key.and_then(|k| self.keys.get_mut(&k)) {
                line.rests_until = self.now + self.set.order_settle;
            }
        }
        let (fault, weight) = match outcome {
            Outcome::Delivered => (0.0, AMENDS_STEP),
            Outcome::Revoked | Outcome::Unused | Outcome::Expired => (0.0, 0.0),
            _ => (1.0, FAULT_STEP),
        };
        e.bad.update(fault, weight);
        self.on_report(i, report);
        match outcome {
            Outcome::Delivered => {
                let book = &mut self.classes[class];
                if let Some(b) = bill.filter(|_| cost > 0.0) {
                    book.bias.update((b.work / cost).min(BIAS_MOST), BIAS_STEP);
                    let need = memory.map(|m| b.memory_mb / m);
                    need.filter(|n| *n > 0.0).into_iter().for_each(|n| learn_need(book, n.ln()));
                }
                // The lower quarter of the ratios: what a query takes when little stands in its way.
                let seen = latency.as_secs_f64() * threads / cost.max(1e-6);
                book.pace.update(seen.min(PACE_MOST), PACE_STEP);
                book.ratio *= if seen > book.ratio { RATIO_UP } else { RATIO_DOWN };
                book.grant = (book.grant - GRANT_DECAY).max(GRANT_LEAST);
                let wait = (in_all - self.own_time(class, cost)).max(0.0);
                self.learn_wait(class, level, wait);
                let e = &mut self.engines[i];
                (e.last_word, e.failures, e.silent) = (self.now, 0, false);
                if !load {
                    learn_slowness(e, latency.as_secs_f64() / a.expected);
                }
            }
            Outcome::Expired => self.learn_wait(class, level, in_all),
            Outcome::DialFailed => self.went_down(i),
            // Guards against engines at their limit of sessions, whoever filled them: it is news of load.
            Outcome::Shed => {
                self.brimful(i);
                self.engines[i].down_until = self.now + FULL_REST;
            }
            _ => {}
        }
        match self.requests.get(&id) {
            _ if answered || outcome == Outcome::Delivered => self.finish(id, out),
            // Guards the ration of further attempts against requests that every engine fails.
            Some(r) if r.errors < MOST_ERRORS && self.may_repeat(r) => _ = self.line.insert(place(r), id),
            _ => self.answer(id, out),
        }
    }

    /// What turned a query away as full or left a probe unanswered has much to do, or is out of order.
    fn brimful(&mut self, i: usize) {
        let e = &mut self.engines[i];
        (e.others, e.heard) = (BRIMFUL * e.cores, Some(self.now));
    }

    /// A level above is served no later than one below, heard of or not (a departure from the paper): old
    /// waits at high levels would keep light work low.
    fn learn_wait(&mut self, class: usize, level: usize, wait: f64) {
        self.outcomes += 1;
        let levels = &mut self.classes[class].levels;
        levels[level].wait += SMOOTH * (wait - levels[level].wait);
        levels[level].fresh = true;
        let heard = levels[level].wait;
        levels[level..].iter_mut().for_each(|l| l.wait = l.wait.min(heard));
    }

    fn on_tick(&mut self, out: &mut Vec<Action>) {
        if self.ask_again.is_some_and(|t| self.now >= t) {
            self.ask_again = None;
            out.push(Action::Watch);
        }
        while self.now >= self.next_tolls {
            self.next_tolls = self.next_tolls + INTERVAL;
            self.keys.retain(|_, l| !l.turns.is_empty() || self.now < l.rests_until);
            self.reprice();
        }
        for e in &mut self.engines {
            e.smooth_threads.update(e.threads, STEP);
            if self.now >= e.next_lot {
                (e.lot, e.next_lot) = (self.rng.next_unit(), self.now + self.set.fall_span);
            }
        }
        let mut above = [0.0; LEVELS];
        for r in self.requests.values().filter(|r| r.out.is_some()) {
            above[..=r.level].iter_mut().for_each(|t| *t += self.set.classes[r.class].threads);
        }
        let weight = (TICK.as_secs_f64() * self.core_share() / CALM).min(1.0);
        self.above.iter_mut().zip(above).for_each(|(old, new)| old.update(new, weight));
        self.judge_engines(out);
        self.review(out);
        self.held = [0.0; LEVELS];
        for r in self.line.values().filter_map(|id| self.requests.get(id)) {
            self.held[r.level] += r.cost * self.classes[r.class].bias.value();
        }
    }

    /// Answers due, held queries whose worth is gone, attempts stuck.
    fn review(&mut self, out: &mut Vec<Action>) {
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        let (free, sees) = (self.own < self.core_share(), self.sees());
        for id in ids {
            let Some(r) = self.requests.get(&id).filter(|r| !r.answered) else { continue };
            // Guards against holding what may not go out any more: nothing is left to wait for.
            if self.now + ANSWER_MARGIN >= r.deadline || r.out.is_none() && !self.may_repeat(r) {
                self.answer(id, out);
            } else if let Some(a) = &r.out {
                let age = (self.now - a.sent).as_secs_f64();
                let doubted = self.engines[a.engine.0 as usize].distrusted && age > OVERDUE * a.expected;
                let stuck = doubted || (self.now - a.heard).as_secs_f64() > LOST * a.expected;
                let gone = (self.now - r.arrived).as_secs_f64() / self.aim(r);
                let need = URGENT.iter().filter(|part| gone * sees > **part && gone < 1.0).count();
                if stuck && self.may_repeat(r) && self.within_attempt_budget() {
                    self.cancel(id, out);
                } else if need > r.level && self.set.priorities {
                    // So that it does not starve on its engine; the less of the load is seen, the later.
                    self.requests.entry(id).and_modify(|r| r.level = need);
                    out.extend(self.requests.get(&id).map(|r| self.terms(id, r)));
                }
            } else {
                let left = (self.now - r.arrived).as_secs_f64() + self.now_time(r.class, r.cost);
                let late = left * PRUDENCE > self.aim(r);
                let toll = if late { self.cheapest(r.class, r.cost).2 } else { 0.0 };
                // The free-core pass holds for what waits for its turn, too: late is better than never.
                if !(free && self.step_worth(r, left) > 0.0 || !free && self.worth_at(r, left) >= toll) {
                    self.answer(id, out);
                }
            }
        }
    }

    /// The level, and a grant near the need learned from spills where grants are heeded.
    fn terms(&self, id: RequestId, r: &Request) -> Action {
        let book = &self.classes[r.class];
        // Guards against spills where no notes tell of them, and against grants nobody needs.
        let safety = GRANT_SAFETY[self.set.memory_short as usize] * book.need_scatter.sqrt();
        let times = if book.told > 0 { (book.need + safety).exp() } else { book.grant };
        let grant_mb = r.memory.filter(|_| self.set.grants).map(|m| m * times);
        Action::Terms { id, grant_mb, level: Level(r.level as u8) }
    }

    /// Ejects engines that are down, silent, failing or far slower than the rest, whatever the cause.
    fn judge_engines(&mut self, out: &mut Vec<Action>) {
        self.engines.iter_mut().for_each(|e| e.overdue = 0);
        let unheard_for = NOTES_MISSED * self.set.progress_pace.as_secs_f64();
        for r in self.requests.values_mut() {
            let Some(a) = &mut r.out else { continue };
            let e = &mut self.engines[a.engine.0 as usize];
            if unheard_for > 0.0 && (self.now - a.heard).as_secs_f64() > unheard_for {
                self.zones.entry(e.zone).or_default().missed(a, MUTE);
            }
            let ratio = (self.now - a.sent).as_secs_f64() / a.expected;
            e.overdue += u32::from(ratio > OVERDUE);
            if ratio > a.overdue {
                a.overdue *= 2.0;
                learn_slowness(e, ratio);
                // An engine that answers nothing reports nothing either, and would count as an average one.
                if e.heard.is_none_or(|t| self.now - t > OLD_NEWS) {
                    (e.others, e.heard) = (e.others.max(BRIMFUL * e.cores), Some(self.now));
                }
            }
        }
        let known = |e: &&Engine| e.listed && e.slow_samples >= CRAWL_SAMPLES;
        let mut all: Vec<f64> = self.engines.iter().filter(known).map(|e| e.slow).collect();
        all.sort_by(f64::total_cmp);
        self.middle = if all.len() < 3 { f64::MAX } else { all[all.len() / 2] };
        for (i, e) in self.engines.iter_mut().enumerate() {
            let slowness = slowness(e, self.middle);
            let quiet = self.now - e.last_word > SILENCE;
            e.silent |= e.overdue >= 2 && e.overdue * 2 >= e.flying && quiet;
            let margin = if e.distrusted { RELENT } else { 1.0 };
            let cut = self.zones.get(&e.zone).is_some_and(|z| z.cut);
            let failing = e.bad.value() > FAULTY * margin;
            let bad = e.silent || cut || slowness > CRAWL * margin || failing || self.now < e.down_until;
            if bad != e.distrusted {
                e.distrusted = bad;
                e.log_health(i, slowness, out);
            }
        }
    }

    // ---- Rule guards -------------------------------------------------------------------------

    /// Order: a request with a key goes out only in its turn, and not while the key rests.
    fn my_turn(&self, id: RequestId, r: &Request) -> bool {
        let Some(line) = r.key.as_ref().and_then(|k| self.keys.get(k)) else { return true };
        line.turns.front() == Some(&id) && self.now >= line.rests_until
    }

    /// Effects and attempts: whether a further attempt is allowed at all.
    fn may_repeat(&self, r: &Request) -> bool {
        let c = &self.set.classes[r.class];
        let effect = match (c.effect, r.may_have_run) {
            (Effect::Unsafe, Some(_)) => false,
            (Effect::Unsafe, None) => r.out.is_none(),
            (Effect::Keyed, Some((at, _))) => self.now < at + c.repeat_window,
            _ => true,
        };
        effect && r.attempts < self.set.max_attempts && self.now + ANSWER_MARGIN < r.deadline
    }

    fn within_attempt_budget(&self) -> bool {
        let Some(b) = self.set.attempt_budget else { return true };
        // The extra ones are counted a little longer than asked, so that no edge matters.
        let from = self.now - b.span;
        let (taken, extra) = (self.taken.count_after(from), self.extra.count_after(from - TICK));
        (extra + 1) as f64 <= b.free + b.share * taken as f64 + self.set.spare
    }

    /// Work charged to the cold budget: the class's mean, lest each of many gateways send a small one.
    fn charge(&self, class: usize) -> f64 {
        let (book, c) = (&self.classes[class], &self.set.classes[class]);
        // Few estimates most often tell too little: a gateway that just started counts a full one in.
        let first = if self.now - self.born < self.set.cold_for { FIRST_CHARGES } else { 0.0 };
        let (samples, most) = (f64::from(book.samples.max(1)), c.aim.as_secs_f64() * c.threads);
        (book.mean * samples + most * first) / (samples + first) * book.bias.value().max(1.0)
    }

    /// This gateway's even part of what a cold engine may be sent in one span.
    fn cold_budget(&self, e: &Engine) -> f64 {
        let share = self.set.fall_multiple * self.warmth(e) * self.set.fall_span.as_secs_f64();
        // A gateway that just started has forgotten its sends: half counts as spent, or what the ramp says.
        let age = self.now - self.born;
        let step = if age < self.set.fall_span { 0.5 } else { 1.0 };
        let newborn =
            self.set.cold_ramp.map_or(step, |(from, over)| (from + age.as_secs_f64() / over).min(1.0));
        share * e.cores * COLD_CAPACITY * newborn / f64::from(self.set.gateways)
    }

    /// The charge of the class that is charged least.
    fn least_charge(&self) -> f64 {
        (0..self.classes.len()).map(|c| self.charge(c)).fold(f64::MAX, f64::min)
    }

    /// What this gateway may send of its part of the cold budget as it likes, and what it draws for: a query
    /// over the former, one a span if the draw lets it. Where no query fits all are drawn for.
    fn cold_parts(&self, e: &Engine) -> (f64, f64) {
        let part = self.cold_budget(e);
        let most = (0..self.classes.len()).map(|c| self.charge(c)).fold(0.0, f64::max);
        match part {
            _ if most <= part => (part, 0.0),
            _ if self.least_charge() <= COLD_LIGHT * part => (COLD_LIGHT * part, COLD_HEAVY * part),
            _ => (0.0, COLD_CHANCE * part),
        }
    }

    /// Share of the gateways that the draw lets send to an engine: those who may are to find it free.
    fn let_in(&self, e: &Engine) -> f64 {
        match self.cold_parts(e) {
            (fits, drawn) if self.warmth(e) < 1.0 && fits <= 0.0 => (drawn / self.least_charge()).min(1.0),
            _ => 1.0,
        }
    }

    /// Drains, placement, repeats of keyed requests, and the cold budget.
    fn gate_engine(&self, r: &Request, i: usize) -> bool {
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

    /// The only way out to an engine. False where a rule forbids it.
    fn send(&mut self, id: RequestId, engine: EngineId, out: &mut Vec<Action>) -> bool {
        let (i, Some(r)) = (engine.0 as usize, self.requests.get(&id)) else { return false };
        let (free, within) =
            (!r.answered && r.out.is_none(), r.attempts == 0 || self.within_attempt_budget());
        if !(free && within && self.may_repeat(r) && self.my_turn(id, r) && self.gate_engine(r, i)) {
            return false;
        }
        let c = &self.set.classes[r.class];
        let expected = (self.now_time(r.class, r.cost)).max(EXPECTED_FLOOR);
        let terms = self.terms(id, r);
        let (threads, charge, tables) = (c.threads, self.charge(r.class), r.tables);
        let e = &mut self.engines[i];
        self.own += threads;
        if e.flying == 0 {
            e.last_word = self.now;
        }
        e.last_sent = Some(self.now);
        e.threads += threads;
        e.flying += 1;
        e.charges.record(self.now, charge, self.set.fall_span);
        e.warm.touch(tables, WARM_GROUPS);
        e.next_trickle = self.now + TRICKLE;
        self.zones.entry(e.zone).or_default().next_trickle = self.now + TRICKLE;
        let Some(r) = self.requests.get_mut(&id) else { return false };
        if r.attempts > 0 {
            self.extra.record(self.now, self.set.attempt_budget.map_or(TimeDelta::ZERO, |b| b.span + TICK));
        }
        let number = r.attempts;
        r.attempts += 1;
        r.last = Some(engine);
        r.out = Some(Attempt::new(engine, number, self.now, expected, OVERDUE));
        if self.set.priorities || self.set.grants {
            out.push(terms);
        }
        out.push(Action::Send { id, timeout: None, engine });
        true
    }

    /// The only final answer: refused where a repeat surely does no harm, else failed.
    fn answer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.requests.get(&id).is_none_or(|r| r.answered) {
            return;
        }
        self.why_answered(id, out);
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.answered = true;
        let c = &self.set.classes[r.class];
        let touched = r.out.is_some() || r.may_have_run.is_some();
        let harmless = match c.effect {
            Effect::Safe => true,
            Effect::Keyed => !touched || c.group == DedupGroup::All,
            Effect::Unsafe => !touched,
        };
        let wait = TimeDelta::from_secs_f64(self.classes[r.class].levels[r.level].wait.max(self.jam()));
        let most = self.set.max_retry_after;
        let retry_after = Some(if most > TimeDelta::ZERO { wait.min(most) } else { wait });
        let (refuse, fail) = (Action::Refuse { id, retry_after }, Action::Fail { id, retry_after });
        out.push(if harmless { refuse } else { fail });
        self.finish(id, out);
    }

    /// Seconds that what is held in the line takes this gateway's share of the cores.
    fn jam(&self) -> f64 {
        self.held.iter().sum::<f64>() / (self.core_share() + GUESS)
    }

    /// Forgets a finished request, but for an attempt that is still out.
    fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.answered = true;
        self.line.remove(&place(r));
        if r.out.is_some() {
            self.cancel(id, out);
            return;
        }
        if let Some(line) = r.key.as_ref().and_then(|k| self.keys.get_mut(k)) {
            line.turns.retain(|t| *t != id);
        }
        self.requests.remove(&id);
    }
}

impl ZoneBook {
    /// An engine there said something.
    fn word(&mut self, now: Timestamp) {
        self.heard = now;
        self.cut = false;
        self.mute.clear();
    }
    /// An attempt there met silence; it counts where nobody there has spoken since it left.
    fn missed(&mut self, a: &Attempt, enough: usize) {
        if a.sent > self.heard {
            self.mute.insert(a.engine.0);
            self.cut |= self.mute.len() >= enough;
        }
    }
}

/// A class's mean cost until estimates come, thread-seconds.
pub(crate) fn first_mean(c: &ClassSettings) -> f64 {
    (c.aim.as_secs_f64() * c.threads * FIRST_MEAN).max(1e-3)
}

/// A request's place in the line: higher levels first, then in turn.
fn place(r: &Request) -> (usize, u64) {
    (LEVELS - r.level, r.seq)
}

/// How slow an engine is against the middle one, so that what slows all marks none; 1 when unknown.
fn slowness(e: &Engine, middle: f64) -> f64 {
    let known = e.slow_samples >= CRAWL_SAMPLES && middle < f64::MAX;
    if known {
        (e.slow - middle).exp()
    } else {
        1.0
    }
}

fn learn_slowness(e: &mut Engine, ratio: f64) {
    e.slow_samples = e.slow_samples.saturating_add(1);
    let weight = (1.0 / f64::from(e.slow_samples)).max(STEP);
    e.slow += weight * (ratio.clamp(SLOW_BOUNDS[0], SLOW_BOUNDS[1]).ln() - e.slow);
}

/// Counts the logarithm of told memory over the estimate.
fn learn_need(book: &mut ClassBook, need: f64) {
    book.told = (book.told + 1).min(NEED_SPAN);
    let weight = 1.0 / f64::from(book.told + 1);
    update_mean_and_variance(&mut book.need, &mut book.need_scatter, need, weight);
}
