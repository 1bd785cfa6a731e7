//! Outlier detection: engines and zones that are down, silent, slow or failing get next to nothing.

use crate::*; // Vocabulary: `crates/policy/src/events.rs`, `actions.rs`, `settings.rs`; records: `state.rs`.

/// Notes missed after which an attempt's engine counts as mute; so many mute ones tell of a zone cut off.
const NOTES_MISSED: f64 = 1.5;
pub(crate) const MUTE: usize = 2;
/// An engine this many times slower than the middle one gets a trickle only; believed after so many outcomes.
const CRAWL: f64 = 3.5;
const CRAWL_SAMPLES: u32 = 6;
/// Share of failed attempts that costs an engine its trust: what fails at once looks idle and draws all.
const FAULTY: f64 = 0.4;
/// A distrusted engine is trusted again below this share of a bound, so that verdicts do not flap.
const RELENT: f64 = 0.5;
/// An attempt out for this many times its expected latency is overdue.
pub(crate) const OVERDUE: f64 = 3.0;
/// A report older than this is outweighed by an attempt that is overdue.
const OLD_NEWS: TimeDelta = TimeDelta::from_micros(1_000_000);
/// An engine silent for this long with most attempts overdue takes work and answers none.
const SILENCE: TimeDelta = TimeDelta::from_micros(700_000);
/// Gap between two queries of the trickle to a distrusted engine.
pub(crate) const TRICKLE: TimeDelta = TimeDelta::from_micros(1_000_000);
/// First rest after a failed connection; doubles up to eight times this.
const DOWN_REST: TimeDelta = TimeDelta::from_micros(500_000);
/// Rest of an engine that turned a query away as full.
pub(crate) const FULL_REST: TimeDelta = TimeDelta::from_micros(100_000);
/// Weight of a failure and of an answer in an engine's share of failures: trust comes back sooner.
pub(crate) const FAULT_STEP: f64 = 0.15;
pub(crate) const AMENDS_STEP: f64 = 0.3;
/// Bounds of what one outcome may say of an engine's slowness.
const SLOW_BOUNDS: [f64; 2] = [0.05, 50.0];

impl Policy {
    /// A connection failed: the engine rests, longer each time; after two in a row it is cold when back.
    pub(crate) fn went_down(&mut self, i: usize) {
        let (now, e) = (self.now, &mut self.engines[i]);
        if now >= e.down_until {
            e.down_until = now + TimeDelta::from_micros(DOWN_REST.as_micros() << e.failures.min(3));
            e.failures += 1;
        }
        if e.failures >= 2 && self.set.cold_for > TimeDelta::ZERO {
            e.started = Some(now);
        }
    }

    /// Ejects engines that are down, silent, failing or far slower than the rest, whatever the cause.
    pub(crate) fn judge_engines(&mut self, out: &mut Vec<Action>) {
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
}

impl ZoneBook {
    /// An engine there said something.
    pub(crate) fn word(&mut self, now: Timestamp) {
        self.heard = now;
        self.cut = false;
        self.mute.clear();
    }
    /// An attempt there met silence; it counts where nobody there has spoken since it left.
    pub(crate) fn missed(&mut self, a: &Attempt, enough: usize) {
        if a.sent > self.heard {
            self.mute.insert(a.engine.0);
            self.cut |= self.mute.len() >= enough;
        }
    }
}

/// How slow an engine is against the middle one, so that what slows all marks none; 1 when unknown.
pub(crate) fn slowness(e: &Engine, middle: f64) -> f64 {
    let known = e.slow_samples >= CRAWL_SAMPLES && middle < f64::MAX;
    if known {
        (e.slow - middle).exp()
    } else {
        1.0
    }
}

pub(crate) fn learn_slowness(e: &mut Engine, ratio: f64) {
    e.slow_samples = e.slow_samples.saturating_add(1);
    let weight = (1.0 / f64::from(e.slow_samples)).max(STEP);
    e.slow += weight * (ratio.clamp(SLOW_BOUNDS[0], SLOW_BOUNDS[1]).ln() - e.slow);
}
