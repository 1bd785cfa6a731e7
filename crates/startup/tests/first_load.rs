//! Tests of the ramp of a starting manager's load on engines in slow start.

use sprucelink_startup::first_load::FirstLoadConfig;

#[test]
fn ramp_reaches_the_full_fraction_at_its_end() {
    let (initial, seconds_to_rise_by_one) = FirstLoadConfig::default().ramp().expect("the ramp is on");
    let fraction = |seconds: f64| (initial + seconds / seconds_to_rise_by_one).min(1.0);
    assert_eq!(fraction(0.0), 0.1);
    assert!((fraction(2.0) - 0.55).abs() < 1e-9, "halfway: {}", fraction(2.0));
    assert!(fraction(3.9) < 1.0 && (fraction(4.0) - 1.0).abs() < 1e-9);
    assert_eq!(FirstLoadConfig { ramp_ms: 0.0, ..Default::default() }.ramp(), None);
    let flat = FirstLoadConfig { initial_fraction: 1.0, ..Default::default() };
    assert!(flat.ramp().expect("the ramp is on").1.is_finite());
}

#[test]
fn numbers_out_of_range_are_rejected_by_name() {
    let low = FirstLoadConfig { initial_fraction: 0.0, ramp_ms: 1.0 };
    assert!(low.validate().unwrap_err().path.starts_with("from"));
    let negative = FirstLoadConfig { initial_fraction: 0.5, ramp_ms: -1.0 };
    assert!(negative.validate().unwrap_err().path.starts_with("over_ms"));
}
