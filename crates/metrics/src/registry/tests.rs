//! Tests of registering and rendering metrics.

use super::*;

#[test]
fn same_name_gives_the_same_metric_from_any_thread() {
    let mut registry = Registry::default();
    let local = registry.counter("a.b").unwrap();
    let sent = registry.counter("a.b").unwrap();
    std::thread::spawn(move || sent.increment(4)).join().unwrap();
    local.increment(1);
    registry.gauge("g").unwrap().set(2.9);
    registry.gauge("low").unwrap().set(-3.0);
    registry.gauge("none").unwrap().set(f64::NAN);
    assert_eq!(registry.render(), "edge.a.b=5\nedge.g=2\nedge.low=0\nedge.none=0\n");
}

#[test]
fn invalid_names_and_mismatched_kinds_are_rejected() {
    let mut registry = Registry::default();
    registry.reserve("mine", AtomicValue::default()).unwrap();
    assert_eq!(registry.counter("mine").unwrap_err(), MetricError::ReservedName("mine".into()));
    assert!(registry.gauge("g").is_ok());
    assert_eq!(registry.counter("g").unwrap_err(), MetricError::KindMismatch("g".into()));
    for name in ["a b", "a\nb", "a=b", "a\u{7f}", "a\u{2028}b"] {
        assert_eq!(registry.counter(name).unwrap_err(), MetricError::InvalidName(name.into()));
    }
    assert_eq!(registry.counter("").unwrap_err(), MetricError::EmptyName);
    assert_eq!(
        registry.counter(&"x".repeat(MAX_NAME_BYTES + 1)).unwrap_err(),
        MetricError::NameTooLong(MAX_NAME_BYTES + 1)
    );
    assert_eq!(registry.render(), "edge.g=0\nedge.mine=0\n");
}

#[test]
fn full_registry_rejects_new_names_and_renders_within_its_bound() {
    let mut registry = Registry::default();
    for n in 0..MAX_METRICS {
        let name = format!("{n:0width$}", width = MAX_NAME_BYTES);
        registry.counter(&name).unwrap().increment(u64::MAX);
    }
    assert_eq!(registry.counter("one.more").unwrap_err(), MetricError::RegistryFull);
    assert_eq!(registry.gauge("one.more").unwrap_err(), MetricError::RegistryFull);
    assert!(registry.counter(&format!("{:0width$}", 3, width = MAX_NAME_BYTES)).is_ok());
    let text = registry.render();
    assert_eq!((text.len(), text.lines().count()), (MAX_RENDERED_BYTES, MAX_METRICS));
}
