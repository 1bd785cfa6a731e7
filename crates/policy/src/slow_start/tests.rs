use super::{capacity_fraction, SlowStartBudget, SlowStartLimits};
use crate::class_estimates::ClassEstimates;
use crate::settings::tests::class;
use crate::settings::{Effect, Settings};
use sprucelink_stable_hash::SplitMix64;
use sprucelink_time::{TimeDelta, Timestamp};

const CORES: f64 = 10.0;

/// An engine starts with a tenth of its capacity and has all of it after 10 s.
fn settings(gateways: u32) -> Settings {
    Settings {
        classes: vec![class(Effect::Safe, 1.0), class(Effect::Safe, 4.0)],
        gateways,
        slow_start_multiple: 2.0,
        slow_start_window: TimeDelta::from_secs(1),
        slow_start_duration: TimeDelta::from_secs(10),
        initial_capacity_fraction: 0.1,
        ..Settings::default()
    }
}

fn at_millis(millis: i64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// The limits at 100 s on a manager that started at zero, and the charges of its two classes.
fn limits(settings: &Settings) -> (SlowStartLimits<'_>, [f64; 2]) {
    let estimates: Vec<ClassEstimates> = settings.classes.iter().map(ClassEstimates::new).collect();
    let limits = SlowStartLimits::new(at_millis(100_000), Timestamp::ZERO, settings, &estimates);
    let charge = |class: usize| limits.charge(&settings.classes[class], &estimates[class]);
    (limits, [charge(0), charge(1)])
}

#[test]
fn capacity_rises_linearly_over_the_slow_start() {
    let settings = settings(1);
    let fraction =
        |millis: i64| capacity_fraction(at_millis(100_000 + millis), Some(at_millis(100_000)), &settings);
    assert!((fraction(0) - 0.1).abs() < 1e-12);
    assert!((fraction(5_000) - 0.55).abs() < 1e-12);
    assert!((fraction(10_000) - 1.0).abs() < 1e-12);
    assert_eq!(capacity_fraction(at_millis(0), None, &settings), 1.0, "the engine did not start recently");
}

#[test]
fn starting_engine_is_sent_no_more_than_its_budget_in_a_window() {
    let settings = settings(1);
    let (limits, [light, heavy]) = limits(&settings);
    let started_at = Some(at_millis(100_000));
    // `slow_start_multiple` 2 x a tenth of ten cores x 1 s x `USABLE_CORE_FRACTION` 0.56.
    assert!((limits.budget(CORES, started_at) - 1.12).abs() < 1e-12);
    let mut usage = SlowStartBudget::default();
    assert!(
        limits.allows(light, CORES, started_at, &usage) && limits.allows(heavy, CORES, started_at, &usage)
    );
    usage.charge_send(at_millis(100_000), heavy, &settings);
    assert!(!limits.allows(heavy, CORES, started_at, &usage), "1 of 1.12 thread-seconds is spent");
    assert!(!limits.allows(light, CORES, started_at, &usage));
}

#[test]
fn budget_is_divided_among_managers() {
    let started_at = Some(at_millis(100_000));
    let budget = |managers| limits(&settings(managers)).0.budget(CORES, started_at);
    assert!((budget(4) * 4.0 - budget(1)).abs() < 1e-12);
}

/// With 100 managers no query fits a manager's part of the budget: a random fraction of the managers may send
/// one query each.
#[test]
fn only_sampled_managers_send_where_no_query_fits() {
    let settings = settings(100);
    let (limits, [light, _]) = limits(&settings);
    let started_at = Some(at_millis(100_000));
    let fraction = limits.sender_fraction(CORES, started_at);
    assert!((fraction - 0.7 * 0.0112 / light).abs() < 1e-12, "{fraction}");
    let mut random = SplitMix64::new(1);
    let mut usage = SlowStartBudget::default();
    let mut senders = 0;
    for _ in 0..10_000 {
        usage.draw_number(at_millis(100_000), &settings, &mut random);
        senders += u32::from(limits.allows(light, CORES, started_at, &usage));
    }
    let expected = fraction * 10_000.0;
    assert!((f64::from(senders) - expected).abs() < 0.25 * expected, "{senders} of 10,000");
    usage.charge_send(at_millis(100_000), light, &settings);
    assert!(!limits.allows(light, CORES, started_at, &usage), "one query per window");
}

/// With 12 managers a light query fits a manager's part of the budget and a heavy one does not: a random
/// fraction of the managers may send a heavy one.
#[test]
fn sampled_managers_send_a_heavy_query_where_only_light_ones_fit() {
    let settings = settings(12);
    let (limits, [light, heavy]) = limits(&settings);
    let (cores, started_at) = (40.0, Some(at_millis(100_000)));
    let mut random = SplitMix64::new(2);
    let mut usage = SlowStartBudget::default();
    let mut senders = 0;
    for _ in 0..10_000 {
        usage.draw_number(at_millis(100_000), &settings, &mut random);
        assert!(limits.allows(light, cores, started_at, &usage));
        senders += u32::from(limits.allows(heavy, cores, started_at, &usage));
    }
    let expected = 0.35 * limits.budget(cores, started_at) / heavy * 10_000.0;
    assert!((f64::from(senders) - expected).abs() < 0.1 * expected, "{senders} of 10,000, not {expected}");
    assert_eq!(limits.sender_fraction(cores, started_at), 1.0, "all managers may send light queries");
}

#[test]
fn recently_started_manager_uses_part_of_its_budget() {
    let mut settings = settings(1);
    let budget = |settings: &Settings, age_millis: i64| {
        let now = at_millis(age_millis);
        let estimates: Vec<ClassEstimates> = settings.classes.iter().map(ClassEstimates::new).collect();
        SlowStartLimits::new(now, Timestamp::ZERO, settings, &estimates).budget(CORES, Some(now))
    };
    let full = budget(&settings, 100_000);
    assert!((budget(&settings, 999) - full / 2.0).abs() < 1e-12);
    assert!((budget(&settings, 1_000) - full).abs() < 1e-12);
    settings.restart_ramp = Some((0.25, 4.0).into());
    assert!(
        (budget(&settings, 1_000) - full / 2.0).abs() < 1e-12,
        "the initial quarter and one quarter after 1 s of the ramp"
    );
    assert!((budget(&settings, 3_000) - full).abs() < 1e-12);
}
