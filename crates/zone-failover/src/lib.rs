//! Failover between zones and regions.
//!
//! Requests stay in their manager's zone while its sound capacity covers its load with a margin; what is missing goes to
//! the nearest zones, then to other regions, in proportion to what they can spare; a zone that comes back gets its share
//! gradually. Which zones are lost is a verdict with hysteresis ([`verdict::Zone`]), by the same rule in every manager,
//! from what all are told, with what a manager saw itself as a tie-break, and with what others saw where managers keep a
//! view of the fleet. What goes where follows from the verdicts ([`plan::shares`]). [`Locality`] holds both together.
//!
//! Nothing here does input or output or reads a clock: time is an argument, in microseconds.

pub mod plan;
pub mod silence;
pub mod terms;
pub mod verdict;

pub use sprucelink_time::{TimeDelta, Timestamp};

use plan::{shares, Room};
use std::collections::BTreeMap;
use terms::Terms;
use verdict::{Verdict, Zone};

/// Zones that are followed at most; more are taken for sound.
pub const MOST_ZONES: usize = 64;

/// What is known of a zone as of now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Seen {
    /// The zone, by number.
    pub zone: u32,
    /// Its region, by number.
    pub region: u32,
    /// Cores of the engines that the list names as taking work.
    pub listed: f64,
    /// Of these, the cores of engines believed sound, each times its warmth.
    pub sound: f64,
    /// Threads that are taken to be on them.
    pub load: f64,
    /// Engines listed there.
    pub engines: u32,
    /// Of these, engines that do not answer this manager.
    pub mute: u32,
    /// Of these, engines that answered it of late.
    pub heard: u32,
    /// Managers outside the zone that tell what they see of it, this one not among them.
    pub observers: u32,
    /// Of these, managers that cannot reach most of its engines.
    pub unreachable_to: u32,
    /// Managers inside the zone that are held, the dead too.
    pub inside: u32,
    /// Of these, managers that are here.
    pub inside_here: u32,
}

/// What a manager is to do.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Share of its requests for each zone, in the order of what was seen; they add up to 1 (or all are 0: nothing known).
    pub shares: Vec<(u32, f64)>,
    /// Weights for the draw, by zone number: 1 for the most favoured, never 0.
    pub weights: Vec<f64>,
    /// Too little is sound anywhere: verdicts are passed over, and all zones count by their cores.
    pub panic: bool,
    /// This manager's own zone is cut off from all others: it stays at home.
    pub island: bool,
    /// What changed, in words, with its reasons.
    pub news: Vec<String>,
}

/// The failover of one manager.
#[derive(Clone, Debug)]
pub struct Locality {
    terms: Terms,
    /// This manager's own zone and region; `None` where it is not told: then no zone is nearer than another.
    home: Option<(u32, u32)>,
    zones: BTreeMap<u32, Zone>,
    island: bool,
    panic: bool,
}

impl Locality {
    /// A manager of a zone and region that starts now.
    pub fn new(terms: Terms, home: Option<(u32, u32)>) -> Locality {
        Locality { terms, home, zones: BTreeMap::new(), island: false, panic: false }
    }

    /// A zone's verdict as it stands.
    pub fn verdict(&self, zone: u32) -> Verdict {
        self.zones.get(&zone).map_or(Verdict::Up, Zone::verdict)
    }

    /// Judges all zones by what is seen now, and says what goes where.
    pub fn judge(&mut self, now: Timestamp, seen: &[Seen]) -> Plan {
        let seen = &seen[..seen.len().min(MOST_ZONES)];
        let mut news = Vec::new();
        for s in seen {
            let zone = self.zones.entry(s.zone).or_insert_with(|| Zone::new(s.listed));
            news.extend(zone.judge(now, &self.terms, s).map(|why| format!("zone {} {why}", s.zone)));
        }
        let named: Vec<u32> = seen.iter().map(|s| s.zone).collect();
        // A zone that is not named any more is one of which all engines are gone from the list for good.
        self.zones.retain(|z, zone| named.contains(z) || !zone.forgotten(now));
        self.alone(seen, &mut news);
        let rooms: Vec<Room> = seen.iter().map(|s| self.room(now, s)).collect();
        let total: f64 = rooms.iter().map(|r| r.known).sum();
        let sound: f64 = rooms.iter().map(|r| r.sound).sum();
        // A zone cut off sees little sound anywhere, and that is no panic: its own bears its requests.
        let panic = !self.island && total > 0.0 && sound < self.terms.panic_below * total;
        if panic != std::mem::replace(&mut self.panic, panic) {
            let how = if panic { "begins: verdicts are passed over" } else { "ends" };
            news.push(format!("panic {how}: {sound:.1} of {total:.1} cores sound"));
        }
        let home = self.home.map(|h| h.0);
        let shares = match (panic, self.island, home) {
            (true, _, _) => rooms.iter().map(|r| if total > 0.0 { r.known / total } else { 0.0 }).collect(),
            (_, true, Some(home)) => rooms.iter().map(|r| f64::from(u8::from(r.zone == home))).collect(),
            _ => shares(&self.terms, &rooms),
        };
        let weights = plan::weights(&self.terms, &rooms, &shares, panic);
        let shares = rooms.iter().map(|r| r.zone).zip(shares).collect();
        Plan { shares, weights, panic, island: self.island, news }
    }

    /// Whether all zones but this manager's own are out for it, while its own answers: it is this zone that is cut
    /// off, not all the others that died.
    fn alone(&mut self, seen: &[Seen], news: &mut Vec<String>) {
        let Some((home, _)) = self.home else { return };
        let own = seen.iter().find(|s| s.zone == home).is_some_and(|s| s.heard > 0 && s.mute * 2 < s.engines);
        let others: Vec<&Seen> = seen.iter().filter(|s| s.zone != home && s.engines > 0).collect();
        let out = others.iter().filter(|s| self.verdict(s.zone) == Verdict::Lost).count();
        let island = own && others.len() >= 2 && out == others.len();
        if island != std::mem::replace(&mut self.island, island) {
            let how = if island { "is cut off from all others: requests stay" } else { "is cut off no more" };
            news.push(format!("zone {home}, this manager's own, {how}"));
        }
    }

    fn room(&self, now: Timestamp, s: &Seen) -> Room {
        let zone = self.zones.get(&s.zone);
        let factor = zone.map_or(1.0, |z| z.factor(now, &self.terms));
        let known = zone.map_or(s.listed, |z| z.known().max(s.listed));
        let distance = match self.home {
            Some((home, _)) if home == s.zone => 0,
            Some((_, region)) if region == s.region => 1,
            Some(_) => 2,
            None => 0,
        };
        Room { zone: s.zone, distance, known, sound: s.sound * factor, load: zone.map_or(s.load, Zone::load) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: i64 = 1_000;

    fn at(ms: i64) -> Timestamp {
        Timestamp::from_micros(ms * MS)
    }

    fn zone(zone: u32, region: u32) -> Seen {
        Seen { zone, region, listed: 32.0, sound: 32.0, load: 8.0, engines: 4, heard: 4, ..Seen::default() }
    }

    fn four() -> Vec<Seen> {
        vec![zone(0, 0), zone(1, 0), zone(2, 1), zone(3, 1)]
    }

    fn mute(s: &Seen) -> Seen {
        Seen { sound: 0.0, mute: 4, heard: 0, ..*s }
    }

    fn share(plan: &Plan, zone: u32) -> f64 {
        plan.shares.iter().find(|s| s.0 == zone).expect("it is named").1
    }

    fn manager() -> Locality {
        Locality::new(Terms::default(), Some((0, 0)))
    }

    /// Judges every 100 ms from `from` up to `to`; the last plan.
    fn play(l: &mut Locality, from: i64, to: i64, seen: &[Seen]) -> Plan {
        (from / 100..=to / 100).map(|k| l.judge(at(k * 100), seen)).last().expect("a plan")
    }

    #[test]
    fn requests_stay_at_home_while_nothing_fails() {
        let plan = play(&mut manager(), 0, 5_000, &four());
        assert_eq!(share(&plan, 0), 1.0);
        assert_eq!(plan.weights[0], 1.0);
        assert!(plan.weights[1..].iter().all(|w| *w < 0.01), "{plan:?}");
        assert!(!plan.panic && !plan.island);
    }

    #[test]
    fn a_lost_zone_is_left_within_half_a_second_for_the_nearest() {
        let mut l = manager();
        play(&mut l, 0, 1_000, &four());
        let mut seen = four();
        seen[0] = mute(&seen[0]);
        let plan = play(&mut l, 1_100, 1_600, &seen);
        assert_eq!(l.verdict(0), Verdict::Lost);
        assert_eq!(share(&plan, 0), 0.0);
        assert!(share(&plan, 1) > 0.99, "its neighbour has room for all: {plan:?}");
    }

    #[test]
    fn a_region_of_two_zones_lost_goes_to_the_other_region_and_not_before() {
        let mut l = manager();
        play(&mut l, 0, 1_000, &four());
        let mut seen = four();
        (0..2).for_each(|i| seen[i] = mute(&seen[i]));
        let plan = play(&mut l, 1_100, 2_000, &seen);
        assert!((share(&plan, 2) - 0.5).abs() < 0.01 && (share(&plan, 3) - 0.5).abs() < 0.01, "{plan:?}");
    }

    /// What one report says of load is chance: a belief that swings from half to all of a zone's room each half second
    /// moves little across zones.
    #[test]
    fn a_load_that_swings_is_smoothed() {
        let mut l = manager();
        let crossed: Vec<f64> = (0..100)
            .map(|k| {
                let mut seen = four();
                seen[0].load = if k / 5 % 2 == 0 { 12.0 } else { 30.0 };
                1.0 - share(&l.judge(at(k * 100), &seen), 0)
            })
            .collect();
        assert!(crossed.iter().all(|c| *c < 0.1), "{crossed:?}");
    }

    #[test]
    fn one_slow_engine_in_eight_is_no_failover() {
        let mut l = manager();
        let mut seen = four();
        seen[0] = Seen { engines: 8, listed: 64.0, sound: 56.0, mute: 1, heard: 7, load: 20.0, ..seen[0] };
        let plan = play(&mut l, 0, 10_000, &seen);
        assert_eq!((l.verdict(0), share(&plan, 0)), (Verdict::Up, 1.0));
    }

    /// Half of a zone is gone: the overprovisioning factor covers a part of it, the rest goes next door.
    #[test]
    fn what_is_missing_spills_in_proportion() {
        let mut l = manager();
        play(&mut l, 0, 1_000, &four());
        let mut seen = four();
        seen[0] = Seen { sound: 16.0, mute: 2, heard: 2, ..seen[0] };
        let plan = play(&mut l, 1_100, 3_000, &seen);
        assert_eq!(l.verdict(0), Verdict::Up);
        assert!((share(&plan, 0) - 0.7).abs() < 1e-9, "half of the cores times 1.4: {plan:?}");
        assert!((share(&plan, 1) - 0.3).abs() < 1e-9);
    }

    #[test]
    fn a_zone_that_returns_gets_its_share_by_and_by() {
        let mut l = manager();
        play(&mut l, 0, 1_000, &four());
        let mut seen = four();
        seen[0] = mute(&seen[0]);
        play(&mut l, 1_100, 6_000, &seen);
        // It is back, cold: three tenths of its capacity, rising over 15 s.
        let mut last = 0.0;
        let mut steps = Vec::new();
        for k in 61..260 {
            let warm = (0.3 + 0.7 * (k - 61) as f64 / 150.0).min(1.0);
            let mut back = four();
            back[0] = Seen { sound: 32.0 * warm, ..back[0] };
            let plan = l.judge(at(k * 100), &back);
            let now = share(&plan, 0);
            steps.push(now - last);
            last = now;
            if k < 61 + 15 {
                assert_eq!(now, 0.0, "not before it has stayed back: {k}");
            }
        }
        assert_eq!((l.verdict(0), last), (Verdict::Up, 1.0));
        assert!(steps.iter().all(|s| *s < 0.12), "never all at once: {steps:?}");
    }

    #[test]
    fn a_flapping_zone_is_not_followed() {
        let mut l = manager();
        play(&mut l, 0, 1_000, &four());
        let mut changes = 0;
        for second in 1..30 {
            let mut seen = four();
            if second % 2 == 1 {
                seen[0] = mute(&seen[0]);
            }
            for k in 0..10 {
                changes += l.judge(at(second * 1_000 + k * 100), &seen).news.len();
            }
        }
        assert_eq!(l.verdict(0), Verdict::Lost);
        assert!(changes <= 2, "{changes} changes of verdict in 29 s of flapping");
    }

    /// Lists that come late name a zone's engines as ready for seconds while its sockets are silent; and name them
    /// as gone while they answer.
    #[test]
    fn sockets_say_more_than_late_lists_and_lists_more_than_nothing() {
        let mut l = manager();
        play(&mut l, 0, 1_000, &four());
        let mut seen = four();
        seen[1] = mute(&seen[1]);
        play(&mut l, 1_100, 1_600, &seen);
        assert_eq!(l.verdict(1), Verdict::Lost, "the list still names all four as ready");
        let mut seen = four();
        seen[2] = Seen { listed: 0.0, sound: 0.0, engines: 0, heard: 0, mute: 0, load: 0.0, ..seen[2] };
        play(&mut l, 1_700, 2_300, &seen);
        assert_eq!(l.verdict(2), Verdict::Lost, "the list names none there any more");
    }

    /// One manager cannot reach a zone that all others reach: where they tell, its own alarm moves nobody's verdict;
    /// where most of them say the same, it stands.
    #[test]
    fn a_single_false_alarm_moves_nothing_where_others_tell() {
        let mut l = manager();
        play(&mut l, 0, 1_000, &four());
        let mut seen = four();
        seen[1] = Seen { observers: 9, unreachable_to: 0, ..mute(&seen[1]) };
        play(&mut l, 1_100, 4_000, &seen);
        assert_eq!(l.verdict(1), Verdict::Up);
        seen[1].unreachable_to = 6;
        play(&mut l, 4_100, 4_700, &seen);
        assert_eq!(l.verdict(1), Verdict::Lost);
        // And where this manager has not asked the zone at all, the others' word is enough.
        let mut l = manager();
        play(&mut l, 0, 1_000, &four());
        let mut seen = four();
        seen[1] = Seen { observers: 9, unreachable_to: 8, heard: 0, ..seen[1] };
        play(&mut l, 1_100, 1_600, &seen);
        assert_eq!(l.verdict(1), Verdict::Lost);
    }

    /// Seen from inside a zone that is cut off, all others are silent and its own answers: requests stay, and the
    /// others are not said to have died.
    #[test]
    fn a_zone_cut_off_from_the_others_keeps_to_itself() {
        let mut l = manager();
        play(&mut l, 0, 1_000, &four());
        let mut seen = four();
        (1..4).for_each(|i| seen[i] = mute(&seen[i]));
        let plan = play(&mut l, 1_100, 1_700, &seen);
        assert!(plan.island && !plan.panic && share(&plan, 0) == 1.0, "{plan:?}");
        let plan = play(&mut l, 1_800, 2_500, &four());
        assert_eq!(share(&plan, 0), 1.0);
    }

    /// From outside, a zone whose managers are here but whose engines nobody reaches has lost its engines; one whose
    /// managers are gone, too, is cut off or dead: the reasons say which.
    #[test]
    fn a_zone_cut_off_is_told_apart_from_one_that_lost_its_engines() {
        for (here, word) in [(5, "its managers are here"), (0, "its managers are silent, too")] {
            let mut l = manager();
            play(&mut l, 0, 1_000, &four());
            let mut seen = four();
            seen[1] =
                Seen { observers: 9, unreachable_to: 9, inside: 5, inside_here: here, ..mute(&seen[1]) };
            let news: Vec<String> = (11..17).flat_map(|k| l.judge(at(k * 100), &seen).news).collect();
            assert!(news.iter().any(|n| n.contains("zone 1 lost") && n.contains(word)), "{news:?}");
        }
    }

    #[test]
    fn with_little_left_anywhere_verdicts_are_passed_over() {
        let mut l = manager();
        play(&mut l, 0, 1_000, &four());
        let mut seen = four();
        seen[0] = Seen { heard: 0, mute: 4, sound: 0.0, ..seen[0] };
        (1..4).for_each(|i| seen[i] = mute(&seen[i]));
        let plan = play(&mut l, 1_100, 2_000, &seen);
        assert!(plan.panic);
        assert!(plan.weights.iter().all(|w| (*w - 1.0).abs() < 1e-9), "{plan:?}");
    }

    #[test]
    fn more_zones_than_are_followed_are_no_harm() {
        let mut l = manager();
        let many: Vec<Seen> = (0..200).map(|i| zone(i, i / 2)).collect();
        let plan = l.judge(at(0), &many);
        assert_eq!(plan.shares.len(), MOST_ZONES);
        assert_eq!(l.judge(at(100), &[]).shares.len(), 0);
    }
}
