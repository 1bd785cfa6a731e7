use super::{ClassSettings, DedupGroup, Effect, Settings};
use sprucelink_time::TimeDelta;

/// A class with this effect and number of threads that may run on all engines, for the unit tests of all
/// modules.
pub(crate) fn class(effect: Effect, threads: f64) -> ClassSettings {
    ClassSettings {
        value: 1.0,
        late_value_fraction: 0.0,
        latency_objective: TimeDelta::from_secs(1),
        objective_per_work: 0.0,
        deadline: TimeDelta::from_secs(5),
        effect,
        group: DedupGroup::All,
        repeat_window: TimeDelta::ZERO,
        ordered_by_key: false,
        threads,
        loads_tables: false,
        kinds: None,
        zones: None,
    }
}

#[test]
fn zone_without_a_configured_weight_has_weight_1() {
    let settings = Settings { zone_weights: vec![0.5, 0.0], ..Settings::default() };
    assert_eq!([0, 1, 2].map(|zone| settings.zone_weight(zone)), [0.5, 0.0, 1.0]);
}
