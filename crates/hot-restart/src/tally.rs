//! Counts of the last seconds, in buckets, for the successor.

use crate::content::{ColdBucket, ColdSends, RationBucket, BUCKET, BUCKETS_MOST, COLD_MOST};
use sprucelink_time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// What this process did within the windows of the rules: further attempts and requests taken under the ration, and
/// work sent to cold engines.
#[derive(Clone, Debug)]
pub struct Tally {
    ration_span: TimeDelta,
    cold_span: TimeDelta,
    ration: VecDeque<RationBucket>,
    cold: BTreeMap<String, VecDeque<ColdBucket>>,
    /// The beginning of the newest bucket.
    newest: Timestamp,
    left_out: u64,
}

/// A window in whole buckets and no more than [`BUCKETS_MOST`] of them, one of which is begun.
fn span(told: TimeDelta) -> TimeDelta {
    TimeDelta::from_micros(told.as_micros().clamp(0, (BUCKETS_MOST as i64 - 2) * BUCKET.as_micros()))
}

impl Tally {
    /// Nothing counted yet. The ration's window and that of the cold budget, 15 s of each at most.
    pub fn new(ration_span: TimeDelta, cold_span: TimeDelta) -> Tally {
        Tally {
            ration_span: span(ration_span),
            cold_span: span(cold_span),
            ration: VecDeque::new(),
            cold: BTreeMap::new(),
            newest: Timestamp::from_micros(i64::MIN),
            left_out: 0,
        }
    }

    /// A request was taken.
    pub fn taken(&mut self, now: Timestamp) {
        let bucket = self.ration_bucket(now);
        bucket.taken = bucket.taken.saturating_add(1);
    }

    /// An attempt beyond its request's first was sent.
    pub fn further(&mut self, now: Timestamp) {
        let bucket = self.ration_bucket(now);
        bucket.further = bucket.further.saturating_add(1);
    }

    /// A cold engine was sent work, in milliseconds of one thread.
    pub fn cold_send(&mut self, now: Timestamp, engine: &str, work_ms: u32) {
        let at = self.bucket(now);
        if !self.cold.contains_key(engine) {
            if self.cold.len() >= COLD_MOST {
                self.drop_oldest();
            }
            self.cold.insert(engine.to_owned(), VecDeque::new());
        }
        let span = self.cold_span;
        let Some(buckets) = self.cold.get_mut(engine) else { return };
        match buckets.back_mut().filter(|b| b.at == at) {
            Some(bucket) => bucket.work_ms = bucket.work_ms.saturating_add(work_ms),
            None => buckets.push_back(ColdBucket { at, work_ms }),
        }
        while buckets.front().is_some_and(|b| b.at + BUCKET <= now - span) {
            buckets.pop_front();
        }
    }

    /// Counts under the ration within its window, oldest first.
    pub fn ration(&self, now: Timestamp) -> Vec<RationBucket> {
        let from = now - self.ration_span;
        self.ration.iter().filter(|b| b.at + BUCKET > from).copied().collect()
    }

    /// Work sent to cold engines within their window, by id; at most [`COLD_MOST`] engines.
    pub fn cold(&self, now: Timestamp) -> Vec<ColdSends> {
        let from = now - self.cold_span;
        let young = |buckets: &VecDeque<ColdBucket>| -> Vec<ColdBucket> {
            buckets.iter().filter(|b| b.at + BUCKET > from).copied().collect()
        };
        let sends = self.cold.iter();
        let sends =
            sends.map(|(engine, buckets)| ColdSends { engine: engine.clone(), buckets: young(buckets) });
        sends.filter(|s| !s.buckets.is_empty()).collect()
    }

    /// Engines left out so far because [`COLD_MOST`] others were sent work later.
    pub fn left_out(&self) -> u64 {
        self.left_out
    }

    fn ration_bucket(&mut self, now: Timestamp) -> &mut RationBucket {
        let at = self.bucket(now);
        while self.ration.front().is_some_and(|b| b.at + BUCKET <= now - self.ration_span) {
            self.ration.pop_front();
        }
        if self.ration.back().is_none_or(|b| b.at != at) {
            self.ration.push_back(RationBucket { at, further: 0, taken: 0 });
        }
        let last = self.ration.len() - 1;
        &mut self.ration[last]
    }

    /// The bucket that `now` lies in. Where the clock was set back, what is held is set back with it: it must neither
    /// stay in the future for good nor be forgotten.
    fn bucket(&mut self, now: Timestamp) -> Timestamp {
        let at = Timestamp::from_micros(
            now.as_micros().div_euclid(BUCKET.as_micros()).saturating_mul(BUCKET.as_micros()),
        );
        if at < self.newest {
            let back = self.newest - at;
            self.ration.iter_mut().for_each(|b| b.at = b.at - back);
            self.cold.values_mut().flatten().for_each(|b| b.at = b.at - back);
        }
        self.newest = at;
        at
    }

    fn drop_oldest(&mut self) {
        let last = |buckets: &VecDeque<ColdBucket>| buckets.back().map(|b| b.at);
        let oldest = self.cold.iter().min_by_key(|(_, buckets)| last(buckets)).map(|(id, _)| id.clone());
        if let Some(id) = oldest {
            let gone = self.cold.remove(&id).and_then(|buckets| last(&buckets));
            // What has left its window anyway is no loss.
            self.left_out += u64::from(gone.is_some_and(|at| at + BUCKET > self.newest - self.cold_span));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: i64 = 1_000;
    const S: i64 = 1_000 * MS;

    fn tally() -> Tally {
        Tally::new(TimeDelta::from_micros(5 * S), TimeDelta::from_micros(2 * S))
    }

    fn sums(t: &Tally, now: Timestamp) -> (u32, u32, u32) {
        let ration = t.ration(now);
        let cold = t.cold(now);
        (
            ration.iter().map(|b| b.taken).sum(),
            ration.iter().map(|b| b.further).sum(),
            cold.iter().flat_map(|c| &c.buckets).map(|b| b.work_ms).sum(),
        )
    }

    #[test]
    fn what_left_its_window_is_not_told_and_memory_is_bounded() {
        let mut t = tally();
        for i in 0..100_000_i64 {
            let now = Timestamp::from_micros(i * 10 * MS);
            t.taken(now);
            if i % 10 == 0 {
                t.further(now);
            }
            t.cold_send(now, "e", 3);
            assert!(t.ration.len() <= 22 && t.cold["e"].len() <= 10, "{} buckets", t.ration.len());
        }
        let now = Timestamp::from_micros(99_999 * 10 * MS);
        let (taken, further, cold) = sums(&t, now);
        // Whole buckets: up to one bucket (25 sends of 10 ms) more than the window's 500 and 200 sends.
        assert!((500..=525).contains(&taken) && (50..=53).contains(&further), "{taken} {further}");
        assert!((600..=675).contains(&cold), "{cold}");
        assert_eq!(sums(&t, now + TimeDelta::from_micros(6 * S)), (0, 0, 0));
    }

    #[test]
    fn a_clock_set_back_takes_the_counts_with_it() {
        let mut t = tally();
        let now = Timestamp::from_micros(1_000 * S);
        (0..7).for_each(|_| t.further(now));
        let back = Timestamp::from_micros(10 * S);
        t.further(back);
        t.cold_send(back, "e", 5);
        assert_eq!(sums(&t, back), (0, 8, 5), "none forgotten");
        assert_eq!(sums(&t, back + TimeDelta::from_micros(6 * S)), (0, 0, 0), "and none there for good");
    }

    #[test]
    fn the_engine_sent_to_longest_ago_makes_room() {
        let mut t = tally();
        for i in 0..=COLD_MOST as i64 {
            t.cold_send(Timestamp::from_micros(i * MS), &format!("{i:03}"), 1);
        }
        let told = t.cold(Timestamp::from_micros(COLD_MOST as i64 * MS));
        assert_eq!((told.len(), t.left_out()), (COLD_MOST, 1));
        t.cold_send(Timestamp::from_micros(60 * S), "new", 1);
        assert_eq!(t.left_out(), 1, "what has left its window is no loss");
    }
}
