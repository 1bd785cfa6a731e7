//! What share of a manager's requests goes to which zone, and the weights that bring the draw there.

use crate::terms::Terms;

/// A zone's room as the verdicts leave it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    /// The zone, by number.
    pub zone: u32,
    /// 0: the manager's own; 1: of its region; 2: of another.
    pub distance: u8,
    /// Cores known there.
    pub known: f64,
    /// Cores that are sound, warm and counted by its verdict.
    pub sound: f64,
    /// Threads that are taken to be on them.
    pub load: f64,
}

impl Room {
    /// Share of its own requests that it bears: its sound cores times the factor against its known ones, and no more
    /// load than the inverse of the factor of its sound cores.
    fn bears(&self, terms: &Terms) -> f64 {
        if self.known <= 0.0 || self.sound <= 0.0 {
            return 0.0;
        }
        let health = terms.overprovision * self.sound / self.known;
        let covers = self.sound / terms.overprovision / self.load.max(1e-9);
        health.min(covers).clamp(0.0, 1.0)
    }

    /// Cores that it can spare for others: what its own load leaves of the part that may be used.
    fn spare(&self, terms: &Terms) -> f64 {
        (self.sound / terms.overprovision - self.load).max(0.0)
    }
}

/// Shares by zone, in the order given: as much as the nearest bear, the rest to the next in proportion to what they can
/// spare. They add up to 1 where anything is sound anywhere.
pub fn shares(terms: &Terms, rooms: &[Room]) -> Vec<f64> {
    let mut out = vec![0.0; rooms.len()];
    let mut left = 1.0;
    for level in 0..=2u8 {
        let here: Vec<usize> = (0..rooms.len()).filter(|i| rooms[*i].distance == level).collect();
        let spare: f64 = here.iter().map(|i| rooms[*i].spare(terms)).sum();
        if level == 0 {
            // Several at no distance: no zone is nearer than another, and their cores part what they bear.
            let sound: f64 = here.iter().map(|i| rooms[*i].sound).sum();
            let bears =
                here.iter().map(|i| rooms[*i].bears(terms) * rooms[*i].sound).sum::<f64>() / sound.max(1e-9);
            here.iter().for_each(|i| out[*i] = bears * rooms[*i].sound / sound.max(1e-9));
            left -= bears;
        } else if left > 1e-9 && spare > 0.0 {
            // A level takes what is left as far as it bears requests at all, by the same factor.
            let known: f64 = here.iter().map(|i| rooms[*i].known).sum();
            let sound: f64 = here.iter().map(|i| rooms[*i].sound).sum();
            let takes = left * (terms.overprovision * sound / known.max(1e-9)).min(1.0);
            here.iter().for_each(|i| out[*i] = takes * rooms[*i].spare(terms) / spare);
            left -= takes;
        }
    }
    if left > 1e-9 {
        // Nobody can spare anything: what is left goes where cores are sound, near or far.
        let sound: f64 = rooms.iter().map(|r| r.sound).sum();
        if sound > 0.0 {
            rooms.iter().zip(&mut out).for_each(|(r, o)| *o += left * r.sound / sound);
        }
    }
    out
}

/// Weights for the draw, by zone number: the draw goes by cores, so a zone's weight is its share against its part of the
/// sound cores, the largest 1, none under the least. In a panic all are 1.
pub fn weights(terms: &Terms, rooms: &[Room], shares: &[f64], panic: bool) -> Vec<f64> {
    let most = rooms.iter().map(|r| r.zone as usize + 1).max().unwrap_or(0).min(crate::MOST_ZONES);
    let mut out = vec![1.0; most];
    if panic {
        return out;
    }
    let against = |(r, s): (&Room, &f64)| if r.sound > 0.0 { s / r.sound } else { 0.0 };
    let top = rooms.iter().zip(shares).map(against).fold(0.0f64, f64::max);
    if top <= 0.0 {
        return out;
    }
    for (r, s) in rooms.iter().zip(shares) {
        if let Some(w) = out.get_mut(r.zone as usize) {
            *w = (against((r, s)) / top).max(terms.least_weight);
        }
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{Gen, QuickCheck};

    fn room(zone: u32, distance: u8, sound: f64, load: f64) -> Room {
        Room { zone, distance, known: 32.0, sound, load }
    }

    #[test]
    fn load_over_the_margin_spills_next_door_by_what_can_be_spared() {
        let terms = Terms::default();
        // 32 cores bear 22.9 threads with the margin; 40 are there: 57% stay.
        let rooms =
            [room(0, 0, 32.0, 40.0), room(1, 1, 32.0, 10.0), room(2, 1, 32.0, 20.0), room(3, 2, 32.0, 0.0)];
        let got = shares(&terms, &rooms);
        assert!((got[0] - 32.0 / 1.4 / 40.0).abs() < 1e-9, "{got:?}");
        let spare = [32.0 / 1.4 - 10.0, 32.0 / 1.4 - 20.0];
        assert!((got[1] / got[2] - spare[0] / spare[1]).abs() < 1e-9 && got[3] == 0.0, "{got:?}");
    }

    #[test]
    fn a_region_with_nothing_to_spare_is_passed_over() {
        let rooms = [room(0, 0, 0.0, 0.0), room(1, 1, 32.0, 40.0), room(2, 2, 32.0, 0.0)];
        let got = shares(&Terms::default(), &rooms);
        assert_eq!(got, [0.0, 0.0, 1.0]);
        // Nobody can spare anything: by cores.
        let rooms = [room(0, 0, 0.0, 0.0), room(1, 1, 32.0, 40.0), room(2, 2, 32.0, 40.0)];
        assert_eq!(shares(&Terms::default(), &rooms), [0.0, 0.5, 0.5]);
    }

    /// Whatever zones look like: shares lie within 0 and 1, add up to 1 where anything is sound, and go to nothing that
    /// is not; weights lie within the least and 1.
    #[test]
    fn shares_add_up_and_go_to_the_sound() {
        fn holds(zones: Vec<(u8, u8, u8)>) -> bool {
            let rooms: Vec<Room> = zones
                .iter()
                .take(20)
                .enumerate()
                .map(|(i, (d, sound, load))| {
                    let distance = if i == 0 { 0 } else { 1 + d % 2 };
                    Room {
                        zone: i as u32,
                        distance,
                        known: 255.0,
                        sound: f64::from(*sound),
                        load: f64::from(*load),
                    }
                })
                .collect();
            let terms = Terms::default();
            let got = shares(&terms, &rooms);
            let sum: f64 = got.iter().sum();
            let some = rooms.iter().any(|r| r.sound > 0.0);
            let sound = got
                .iter()
                .zip(&rooms)
                .all(|(s, r)| (-1e-9..=1.0 + 1e-9).contains(s) && (r.sound > 0.0 || *s == 0.0));
            let weights = weights(&terms, &rooms, &got, false);
            let bounded = weights.iter().all(|w| (terms.least_weight..=1.0 + 1e-9).contains(w));
            sound && bounded && if some { (sum - 1.0).abs() < 1e-6 } else { sum == 0.0 }
        }
        QuickCheck::new()
            .tests(2_000)
            .rng(Gen::from_size_and_seed(30, 6))
            .quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
    }
}
