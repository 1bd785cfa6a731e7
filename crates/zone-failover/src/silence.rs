//! Which engines keep silent to a manager, and how long that is remembered.
//!
//! An attempt that nobody answers is called off, and with it goes the sign of silence: forgotten each time, a zone that is
//! silent as a whole would look unknown, not lost. So a silence counts until anybody in its zone has spoken since.

use crate::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// An engine whose last word is younger has been heard of late; one whose is older, with attempts overdue, keeps silent.
const LATE: TimeDelta = TimeDelta::from_millis(2_000);
const SILENT: TimeDelta = TimeDelta::from_millis(300);
/// A silence counts until anybody in the zone speaks, for this long at most.
const REMEMBERED: TimeDelta = TimeDelta::from_millis(30_000);

/// What is known of an engine's answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Voice {
    /// The engine, by number.
    pub engine: u32,
    /// Its zone, by number.
    pub zone: u32,
    /// When it last said anything; none if it never did.
    pub word: Option<Timestamp>,
    /// It takes work and answers none, or no connection to it comes up.
    pub dumb: bool,
    /// Attempts there are overdue.
    pub overdue: bool,
}

/// What an engine is to a manager.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It keeps silent.
    Silent,
    /// It spoke of late.
    Late,
    /// Neither.
    Unknown,
}

/// What an engine is now, apart from what is remembered.
pub fn heard(now: Timestamp, v: &Voice) -> Heard {
    let young = |most: TimeDelta| v.word.is_some_and(|t| now - t < most);
    if v.dumb || v.overdue && !young(SILENT) {
        Heard::Silent
    } else if young(LATE) {
        Heard::Late
    } else {
        Heard::Unknown
    }
}

/// The silences that are remembered: as many as there are engines at most.
#[derive(Clone, Debug, Default)]
pub struct Silences(BTreeMap<u32, (u32, Timestamp)>);

impl Silences {
    /// Whether an engine's silence is remembered.
    pub fn holds(&self, engine: u32) -> bool {
        self.0.contains_key(&engine)
    }

    /// What every engine is, in the order given, with the silences that are remembered; new ones are noted.
    pub fn judge(&mut self, now: Timestamp, voices: &[Voice]) -> Vec<Heard> {
        let mut spoke: BTreeMap<u32, Timestamp> = BTreeMap::new();
        for (zone, t) in voices.iter().filter_map(|v| Some((v.zone, v.word?))) {
            let last = spoke.entry(zone).or_insert(t);
            *last = t.max(*last);
        }
        self.0.retain(|_, (zone, since)| {
            spoke.get(zone).is_none_or(|t| *t < *since) && now - *since < REMEMBERED
        });
        let one = |v: &Voice| {
            let now_is = heard(now, v);
            if now_is == Heard::Silent {
                self.0.entry(v.engine).or_insert((v.zone, now));
            }
            if self.holds(v.engine) {
                Heard::Silent
            } else {
                now_is
            }
        };
        voices.iter().map(one).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: i64) -> Timestamp {
        Timestamp::from_micros(ms * 1_000)
    }

    fn voice(engine: u32, zone: u32, word: Option<i64>, overdue: bool) -> Voice {
        Voice { engine, zone, word: word.map(at), dumb: false, overdue }
    }

    #[test]
    fn a_young_word_an_old_one_and_none() {
        assert_eq!(heard(at(1_000), &voice(0, 0, Some(800), true)), Heard::Late, "overdue, but it speaks");
        assert_eq!(heard(at(1_000), &voice(0, 0, Some(600), true)), Heard::Silent);
        assert_eq!(heard(at(1_000), &voice(0, 0, None, true)), Heard::Silent);
        assert_eq!(heard(at(5_000), &voice(0, 0, Some(600), false)), Heard::Unknown);
        assert_eq!(heard(at(1_000), &Voice { dumb: true, ..voice(0, 0, Some(999), false) }), Heard::Silent);
    }

    /// Called off, an attempt is overdue no more: the silence counts all the same, until anybody in the zone speaks.
    #[test]
    fn a_silence_counts_until_anybody_in_the_zone_speaks() {
        let mut s = Silences::default();
        let judge = |s: &mut Silences, now, word, overdue| {
            s.judge(
                at(now),
                &[voice(1, 7, Some(100), overdue), voice(2, 7, word, false), voice(3, 8, Some(now), false)],
            )
        };
        assert_eq!(judge(&mut s, 1_000, Some(200), true)[0], Heard::Silent);
        assert_eq!(
            judge(&mut s, 1_100, Some(200), false)[0],
            Heard::Silent,
            "another zone's word changes nothing"
        );
        assert!(s.holds(1) && !s.holds(2));
        assert_eq!(judge(&mut s, 1_300, Some(1_250), false)[0], Heard::Late, "its own word is 1.2 s old");
        assert!(!s.holds(1));
    }

    #[test]
    fn a_silence_is_forgotten_in_time() {
        let mut s = Silences::default();
        s.judge(at(0), &[voice(1, 7, None, true)]);
        assert_eq!(s.judge(at(29_900), &[voice(1, 7, None, false)])[0], Heard::Silent);
        assert_eq!(s.judge(at(30_000), &[voice(1, 7, None, false)])[0], Heard::Unknown);
    }
}
