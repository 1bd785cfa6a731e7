//! Spans of time drawn from the seed.

use rand::Rng;
use sprucelink_time::TimeDelta;

/// A span drawn evenly between two bounds, both included.
pub(super) fn span(rng: &mut impl Rng, shortest: TimeDelta, longest: TimeDelta) -> TimeDelta {
    TimeDelta::from_micros(rng.gen_range(shortest.as_micros()..=longest.as_micros()))
}

/// A span drawn evenly between half and one and a half times an average.
pub(super) fn span_around(rng: &mut impl Rng, average: TimeDelta) -> TimeDelta {
    let micros = average.as_micros();
    span(rng, TimeDelta::from_micros(micros / 2), TimeDelta::from_micros(micros * 3 / 2))
}
