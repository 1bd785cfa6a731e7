//! Durations drawn from the seed.

use rand::Rng;
use sprucelink_time::TimeDelta;

/// A duration drawn uniformly between two inclusive bounds.
pub(super) fn duration(rng: &mut impl Rng, shortest: TimeDelta, longest: TimeDelta) -> TimeDelta {
    TimeDelta::from_micros(rng.gen_range(shortest.as_micros()..=longest.as_micros()))
}

/// A duration drawn uniformly between half and one and a half times an average.
pub(super) fn duration_around(rng: &mut impl Rng, average: TimeDelta) -> TimeDelta {
    let micros = average.as_micros();
    duration(rng, TimeDelta::from_micros(micros / 2), TimeDelta::from_micros(micros * 3 / 2))
}
