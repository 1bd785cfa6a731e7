//! Whether a zone is lost: evidence, and a verdict with hysteresis.
//!
//! Evidence goes by rank, so that managers that are told the same come to the same verdict: what the list tells (most of
//! the zone's cores are gone from it); then, where enough managers outside the zone tell what they see, their quorum,
//! against which a manager's own sockets alone say nothing; then its own sockets. A verdict changes only when evidence
//! has held for a while, and a zone that was lost again soon after it came back has to stay back for longer each time.

use crate::terms::Terms;
use crate::{Seen, TimeDelta, Timestamp};

/// A zone's capacity is remembered as the most of the last such span.
const REMEMBER: TimeDelta = TimeDelta::from_millis(120_000);
/// Lost again within this after its return, a zone flaps: its next return takes twice as long.
const SOON: TimeDelta = TimeDelta::from_millis(60_000);
/// Seconds over which a zone's load is smoothed.
const SMOOTH: f64 = 3.0;
/// Share of its requests at which a returning zone begins.
const FIRST_SHARE: f64 = 0.1;

/// How a zone stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It bears its requests.
    Up,
    /// It is out: it gets none but what finds room nowhere else.
    Lost,
    /// It is back, and gets its share gradually.
    Returning,
}

/// What speaks for a zone being out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Nothing.
    None,
    /// The list names too little of it.
    List,
    /// A quorum of managers outside it cannot reach it.
    Quorum,
    /// This manager's own sockets are silent.
    Own,
}

/// Weighs what is seen of a zone of which so many cores are known.
pub fn weigh(terms: &Terms, known: f64, s: &Seen) -> Evidence {
    if known > 0.0 && s.listed < terms.lost_below * known {
        return Evidence::List;
    }
    let mute = f64::from(s.mute);
    let silent = s.mute >= terms.mute_least.min(s.engines.max(1))
        && mute >= terms.mute_share * (mute + f64::from(s.heard));
    if s.observers >= terms.quorum_least {
        // This manager's own word is one among them, if it has one.
        let own = u32::from(s.mute > 0 || s.heard > 0);
        let say = s.unreachable_to + u32::from(silent);
        let quorum = f64::from(say) >= terms.quorum * f64::from(s.observers + own);
        return if quorum { Evidence::Quorum } else { Evidence::None };
    }
    if silent {
        Evidence::Own
    } else {
        Evidence::None
    }
}

/// A zone's verdict, and what it rests on.
#[derive(Clone, Debug)]
pub struct Zone {
    verdict: Verdict,
    /// Since when the evidence has been of the other kind than the verdict.
    against: Option<Timestamp>,
    /// Since when the verdict has stood.
    since: Timestamp,
    returned: Option<Timestamp>,
    flaps: u32,
    known: f64,
    known_at: Timestamp,
    load: f64,
    load_at: Option<Timestamp>,
}

impl Zone {
    /// A zone seen for the first time, with so many cores listed.
    pub fn new(listed: f64) -> Zone {
        Zone {
            verdict: Verdict::Up,
            against: None,
            since: Timestamp::ZERO,
            returned: None,
            flaps: 0,
            known: listed,
            known_at: Timestamp::ZERO,
            load: 0.0,
            load_at: None,
        }
    }

    /// How it stands.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Cores known there: the most that were listed of late.
    pub fn known(&self) -> f64 {
        self.known
    }

    /// Its load, smoothed: what one report says of an engine is chance.
    pub fn load(&self) -> f64 {
        self.load
    }

    fn smooth(&mut self, now: Timestamp, load: f64) {
        let gone = self.load_at.map_or(f64::INFINITY, |t| (now - t).as_secs_f64().max(0.0));
        self.load += (1.0 - (-gone / SMOOTH).exp()) * (load - self.load);
        self.load_at = Some(now);
    }

    /// Whether it has not been named for so long that nothing of it is to be remembered.
    pub fn forgotten(&self, now: Timestamp) -> bool {
        now - self.known_at > REMEMBER
    }

    /// Share of its sound capacity that counts: none while it is lost, rising once it is back.
    pub fn factor(&self, now: Timestamp, terms: &Terms) -> f64 {
        match self.verdict {
            Verdict::Up => 1.0,
            Verdict::Lost => 0.0,
            Verdict::Returning if terms.ramp_ms <= 0.0 => 1.0,
            Verdict::Returning => {
                let gone = (now - self.since).as_secs_f64() * 1e3 / terms.ramp_ms;
                (FIRST_SHARE + (1.0 - FIRST_SHARE) * gone).clamp(FIRST_SHARE, 1.0)
            }
        }
    }

    /// How long evidence must be absent before the zone is back.
    fn back_after(&self, terms: &Terms) -> TimeDelta {
        let doubled = terms.back_ms * f64::from(2u32.saturating_pow(self.flaps.min(16)));
        TimeDelta::from_secs_f64(doubled.min(terms.back_most_ms) / 1e3)
    }

    /// Judges it by what is seen now: in words what has changed, with the reasons.
    pub fn judge(&mut self, now: Timestamp, terms: &Terms, s: &Seen) -> Option<String> {
        if s.listed >= self.known || now - self.known_at > REMEMBER {
            (self.known, self.known_at) = (s.listed, now);
        }
        self.smooth(now, s.load);
        let evidence = weigh(terms, self.known, s);
        let out = evidence != Evidence::None;
        let was_out = self.verdict == Verdict::Lost;
        if out == was_out {
            self.against = None;
            return self.warmed(now, terms);
        }
        let since = *self.against.get_or_insert(now);
        let wait = if out { TimeDelta::from_secs_f64(terms.hold_ms / 1e3) } else { self.back_after(terms) };
        if now - since < wait {
            return None;
        }
        (self.against, self.since) = (None, now);
        if out {
            let soon = self.returned.is_some_and(|t| now - t < SOON);
            self.flaps = if soon { self.flaps + 1 } else { 0 };
            self.verdict = Verdict::Lost;
            return Some(format!("lost by {}", reasons(evidence, self.known, s)));
        }
        (self.verdict, self.returned) = (Verdict::Returning, Some(now));
        let (heard, sound) = (s.heard, s.sound);
        Some(format!("returns: {heard} engines heard, {sound:.1} of {:.1} cores sound", self.known))
    }

    fn warmed(&mut self, now: Timestamp, terms: &Terms) -> Option<String> {
        if self.verdict != Verdict::Returning || self.factor(now, terms) < 1.0 {
            return None;
        }
        (self.verdict, self.since) = (Verdict::Up, now);
        Some("up: it has its whole share again".into())
    }
}

fn reasons(evidence: Evidence, known: f64, s: &Seen) -> String {
    let inside = match (s.inside, s.inside_here) {
        (0, _) => "",
        (_, 0) => "; its managers are silent, too: cut off or dead",
        _ => "; its managers are here: its engines are out",
    };
    match evidence {
        Evidence::List => format!("the list: {:.1} of {known:.1} cores named{inside}", s.listed),
        Evidence::Quorum => {
            format!(
                "a quorum: {} of {} managers outside cannot reach it{inside}",
                s.unreachable_to, s.observers
            )
        }
        Evidence::Own | Evidence::None => {
            format!("own sockets: {} of {} engines silent, {} heard{inside}", s.mute, s.engines, s.heard)
        }
    }
}
