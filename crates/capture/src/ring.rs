//! Decides for the recorder: when a segment ends, what is dropped, which files go. No clock, no files.

use sprucelink_policy::{TimeDelta, Timestamp};

/// Limits of a recorder, in bytes and microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// All files of the ring together.
    pub ring_bytes: u64,
    /// A segment that ended longer ago than this goes, the newest excepted.
    pub ring_age: TimeDelta,
    /// A segment ends once so much was written to it.
    pub segment_bytes: u64,
    /// A segment ends once it is so old.
    pub segment_age: TimeDelta,
    /// Bytes of records a second, before compression, over any longer time; the burst is four seconds' worth.
    pub rate: f64,
}

/// Seconds of its rate that a recorder may write at once: a burst of requests is what is looked at later.
const BURST: f64 = 4.0;
/// Between two tries to go on after a loss. Each costs a checkpoint; what was lost is lost.
pub const RETRY: TimeDelta = TimeDelta::from_micros(1_000_000);

/// What is to be done with records in hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// They belong to the segment that is open.
    Write,
    /// They are lost: nothing is open.
    Drop,
}

/// The recorder's state as far as it decides.
#[derive(Debug)]
pub struct Ring {
    limits: Limits,
    /// The open segment: since when, and bytes written to it. `None` before the first, and after a loss.
    open: Option<(Timestamp, u64)>,
    tokens: f64,
    filled: Timestamp,
    /// No new segment before this.
    not_before: Timestamp,
    /// Events lost since the last segment was open.
    lost: u64,
}

impl Ring {
    /// Nothing is open yet.
    pub fn new(limits: Limits, now: Timestamp) -> Ring {
        let tokens = limits.rate * BURST;
        Ring { limits, open: None, tokens, filled: now, not_before: now, lost: 0 }
    }

    /// Whether a segment is to be begun now, in place of the one that is open if there is one.
    pub fn rolls(&self, now: Timestamp) -> bool {
        match self.open {
            // Guards against a clock that stepped back: the age is never negative for long.
            Some((since, bytes)) => {
                let age = now - since;
                bytes >= self.limits.segment_bytes || age >= self.limits.segment_age || age < TimeDelta::ZERO
            }
            None => now >= self.not_before || self.not_before - now > RETRY,
        }
    }

    /// A segment is open from now on: the events lost since the one before it.
    pub fn begun(&mut self, now: Timestamp) -> u64 {
        self.open = Some((now, 0));
        std::mem::take(&mut self.lost)
    }

    /// What becomes of so many bytes of so many events. A drop ends the segment.
    pub fn offer(&mut self, now: Timestamp, bytes: u64, events: u64) -> Verdict {
        let passed = (now - self.filled).as_secs_f64().max(0.0);
        self.filled = now;
        self.tokens = (self.tokens + passed * self.limits.rate).min(self.limits.rate * BURST);
        let Some((_, written)) = &mut self.open else {
            self.lost += events;
            return Verdict::Drop;
        };
        if self.tokens < bytes as f64 {
            self.failed(now, events);
            return Verdict::Drop;
        }
        self.tokens -= bytes as f64;
        *written += bytes;
        Verdict::Write
    }

    /// So many events were lost, for want of room or by the files' fault: the segment ends here.
    pub fn failed(&mut self, now: Timestamp, events: u64) {
        self.open = None;
        self.lost += events;
        self.not_before = now + RETRY;
    }

    /// Events lost since the last segment.
    pub fn lost(&self) -> u64 {
        self.lost
    }
}

/// How many of a ring's files, oldest first as `(size, ended)`, have to go so that `more` bytes fit in. The
/// newest stays whatever its age and size: what is begun behind it holds little yet.
pub fn evict(limits: &Limits, files: &[(u64, Timestamp)], more: u64, now: Timestamp) -> usize {
    let mut total = files.iter().map(|f| f.0).sum::<u64>() + more;
    let mut gone = 0;
    while gone + 1 < files.len() {
        let (size, ended) = files[gone];
        if total <= limits.ring_bytes && now - ended <= limits.ring_age {
            break;
        }
        total -= size;
        gone += 1;
    }
    gone
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn limits() -> Limits {
        let (segment_age, ring_age) =
            (TimeDelta::from_micros(60_000_000), TimeDelta::from_micros(600_000_000));
        Limits { ring_bytes: 1_000, ring_age, segment_bytes: 400, segment_age, rate: 100.0 }
    }

    #[test]
    fn a_segment_ends_by_size_by_age_and_when_the_clock_steps_back() {
        let at = Timestamp::from_micros(1_000_000_000);
        let mut ring = Ring::new(limits(), at);
        assert!(ring.rolls(at));
        assert_eq!(ring.offer(at, 10, 2), Verdict::Drop, "nothing is open");
        assert_eq!(ring.begun(at), 2);
        assert!(
            !ring.rolls(at + TimeDelta::from_micros(59_999_999))
                && ring.rolls(at + TimeDelta::from_micros(60_000_000))
        );
        assert!(ring.rolls(at - TimeDelta::from_micros(1)));
        assert_eq!(ring.offer(at, 399, 1), Verdict::Write);
        assert!(!ring.rolls(at));
        assert_eq!(ring.offer(at, 1, 1), Verdict::Write);
        assert!(ring.rolls(at));
    }

    #[test]
    fn what_is_lost_is_counted_and_a_new_segment_waits() {
        let at = Timestamp::from_micros(1_000_000_000);
        let mut ring = Ring::new(limits(), at);
        ring.begun(at);
        assert_eq!(ring.offer(at, 401, 7), Verdict::Drop, "over the burst");
        assert!(!ring.rolls(at + TimeDelta::from_micros(RETRY.as_micros() - 1)) && ring.rolls(at + RETRY));
        assert!(ring.rolls(at - TimeDelta::from_micros(5_000_000)), "a clock set back holds nothing up");
        assert_eq!(ring.offer(at, 1, 3), Verdict::Drop);
        assert_eq!((ring.lost(), ring.begun(at + RETRY), ring.lost()), (10, 10, 0));
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::with_cases(256) })]

        /// Over any run of offers no more is written than the rate and its burst allow, and every event is
        /// either written or counted as lost.
        #[test]
        fn the_rate_is_kept_and_nothing_is_lost_uncounted(offers in prop::collection::vec((0_i64..500_000, 0_u64..300, 1_u64..9), 1..200)) {
            let start = Timestamp::from_micros(1_000_000_000);
            let (mut ring, mut now) = (Ring::new(limits(), start), start);
            let (mut bytes_in, mut seen, mut written, mut lost) = (0, 0, 0, 0);
            for (gap, bytes, events) in offers {
                now = now + TimeDelta::from_micros(gap);
                if ring.rolls(now) {
                    lost += ring.begun(now);
                }
                seen += events;
                if ring.offer(now, bytes, events) == Verdict::Write {
                    (bytes_in, written) = (bytes_in + bytes, written + events);
                }
            }
            let allowed = limits().rate * ((now - start).as_secs_f64() + BURST);
            prop_assert!(bytes_in as f64 <= allowed + 1e-6);
            prop_assert_eq!(seen, written + lost + ring.lost());
        }

        /// What stays fits, or is the newest alone.
        #[test]
        fn eviction_keeps_the_newest_and_the_bounds(files in prop::collection::vec((0_u64..600, 0_i64..2_000_000_000), 0..12), more in 0_u64..500) {
            let now = Timestamp::from_micros(2_000_000_000);
            let files: Vec<(u64, Timestamp)> = files.into_iter().map(|(s, t)| (s, Timestamp::from_micros(t))).collect();
            let gone = evict(&limits(), &files, more, now);
            let left = &files[gone..];
            let fits = left.iter().map(|f| f.0).sum::<u64>() + more <= limits().ring_bytes;
            prop_assert!(left.len() <= 1 || fits && now - left[0].1 <= limits().ring_age);
            prop_assert!(files.is_empty() || !left.is_empty());
        }
    }
}
