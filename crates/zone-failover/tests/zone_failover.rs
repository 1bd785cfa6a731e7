//! Tests of the failover of one manager over sequences of observations.

use sprucelink_zone_failover::config::FailoverConfig;
use sprucelink_zone_failover::zone_health::ZoneState;
use sprucelink_zone_failover::{Locality, RoutingPlan, Timestamp, ZoneFailover, ZoneObservation, MAX_ZONES};

fn at_millis(millis: i64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn zone(zone: u32, region: u32) -> ZoneObservation {
    ZoneObservation {
        zone,
        region,
        listed_cores: 32.0,
        healthy_cores: 32.0,
        load: 8.0,
        engines: 4,
        responsive: 4,
        ..ZoneObservation::default()
    }
}

fn four_zones() -> Vec<ZoneObservation> {
    vec![zone(0, 0), zone(1, 0), zone(2, 1), zone(3, 1)]
}

fn unresponsive(observation: &ZoneObservation) -> ZoneObservation {
    ZoneObservation { healthy_cores: 0.0, unresponsive: 4, responsive: 0, ..*observation }
}

fn fraction(plan: &RoutingPlan, zone: u32) -> f64 {
    plan.fractions.iter().find(|entry| entry.zone == zone).expect("the zone is observed").fraction
}

fn failover_in_zone_0() -> ZoneFailover {
    ZoneFailover::new(FailoverConfig::default(), Some(Locality { zone: 0, region: 0 }))
}

/// Updates the failover every 100 ms from `start_ms` to `end_ms`, both included; returns the last plan.
fn run(
    failover: &mut ZoneFailover,
    start_ms: i64,
    end_ms: i64,
    observations: &[ZoneObservation],
) -> RoutingPlan {
    (start_ms / 100..=end_ms / 100)
        .map(|step| failover.update(at_millis(step * 100), observations))
        .last()
        .expect("at least one update")
}

#[test]
fn requests_stay_in_the_home_zone_while_nothing_fails() {
    let plan = run(&mut failover_in_zone_0(), 0, 5_000, &four_zones());
    assert_eq!(fraction(&plan, 0), 1.0);
    assert_eq!(plan.weights[0], 1.0);
    assert!(plan.weights[1..].iter().all(|weight| *weight < 0.01), "{plan:?}");
    assert!(!plan.is_panic && !plan.is_isolated);
}

#[test]
fn requests_leave_an_ejected_zone_for_the_nearest_within_half_a_second() {
    let mut failover = failover_in_zone_0();
    run(&mut failover, 0, 1_000, &four_zones());
    let mut observations = four_zones();
    observations[0] = unresponsive(&observations[0]);
    let plan = run(&mut failover, 1_100, 1_600, &observations);
    assert_eq!(failover.zone_state(0), ZoneState::Ejected);
    assert_eq!(fraction(&plan, 0), 0.0);
    assert!(fraction(&plan, 1) > 0.99, "the neighbouring zone can take all requests: {plan:?}");
}

#[test]
fn requests_leave_a_region_when_all_its_zones_are_ejected() {
    let mut failover = failover_in_zone_0();
    run(&mut failover, 0, 1_000, &four_zones());
    let mut observations = four_zones();
    (0..2).for_each(|zone| observations[zone] = unresponsive(&observations[zone]));
    let plan = run(&mut failover, 1_100, 2_000, &observations);
    assert!((fraction(&plan, 2) - 0.5).abs() < 0.01 && (fraction(&plan, 3) - 0.5).abs() < 0.01, "{plan:?}");
}

/// Single load reports vary widely. A load estimate that changes between 12 and 30 threads on 32 cores every
/// half second must move few requests to other zones.
#[test]
fn oscillating_load_moves_few_requests_to_other_zones() {
    let mut failover = failover_in_zone_0();
    let moved: Vec<f64> = (0..100)
        .map(|step| {
            let mut observations = four_zones();
            observations[0].load = if step / 5 % 2 == 0 { 12.0 } else { 30.0 };
            1.0 - fraction(&failover.update(at_millis(step * 100), &observations), 0)
        })
        .collect();
    assert!(moved.iter().all(|fraction| *fraction < 0.1), "{moved:?}");
}

#[test]
fn one_unresponsive_engine_of_eight_causes_no_failover() {
    let mut failover = failover_in_zone_0();
    let mut observations = four_zones();
    observations[0] = ZoneObservation {
        engines: 8,
        listed_cores: 64.0,
        healthy_cores: 56.0,
        unresponsive: 1,
        responsive: 7,
        load: 20.0,
        ..observations[0]
    };
    let plan = run(&mut failover, 0, 10_000, &observations);
    assert_eq!((failover.zone_state(0), fraction(&plan, 0)), (ZoneState::Healthy, 1.0));
}

/// Half of a zone's cores fail: the overprovisioning factor covers a part of them, and the rest of the
/// requests go to the next zone.
#[test]
fn missing_capacity_spills_to_the_next_zone_in_proportion() {
    let mut failover = failover_in_zone_0();
    run(&mut failover, 0, 1_000, &four_zones());
    let mut observations = four_zones();
    observations[0] =
        ZoneObservation { healthy_cores: 16.0, unresponsive: 2, responsive: 2, ..observations[0] };
    let plan = run(&mut failover, 1_100, 3_000, &observations);
    assert_eq!(failover.zone_state(0), ZoneState::Healthy);
    assert!((fraction(&plan, 0) - 0.7).abs() < 1e-9, "half of the cores times 1.4: {plan:?}");
    assert!((fraction(&plan, 1) - 0.3).abs() < 1e-9);
}

#[test]
fn recovering_zone_gets_its_fraction_back_gradually() {
    let mut failover = failover_in_zone_0();
    run(&mut failover, 0, 1_000, &four_zones());
    let mut observations = four_zones();
    observations[0] = unresponsive(&observations[0]);
    run(&mut failover, 1_100, 6_000, &observations);
    // The zone returns with cold engines: three tenths of its capacity are healthy, rising to all of its
    // capacity over 15 s.
    let mut previous = 0.0;
    let mut steps = Vec::new();
    for step in 61..260 {
        let warm = (0.3 + 0.7 * (step - 61) as f64 / 150.0).min(1.0);
        let mut observations = four_zones();
        observations[0] = ZoneObservation { healthy_cores: 32.0 * warm, ..observations[0] };
        let plan = failover.update(at_millis(step * 100), &observations);
        let current = fraction(&plan, 0);
        steps.push(current - previous);
        previous = current;
        if step < 61 + 15 {
            assert_eq!(current, 0.0, "no requests before the recovery time has passed: step {step}");
        }
    }
    assert_eq!((failover.zone_state(0), previous), (ZoneState::Healthy, 1.0));
    assert!(steps.iter().all(|rise| *rise < 0.12), "the fraction rises gradually: {steps:?}");
}

#[test]
fn flapping_zone_stays_ejected() {
    let mut failover = failover_in_zone_0();
    run(&mut failover, 0, 1_000, &four_zones());
    let mut changes = 0;
    for second in 1..30 {
        let mut observations = four_zones();
        if second % 2 == 1 {
            observations[0] = unresponsive(&observations[0]);
        }
        for step in 0..10 {
            changes += failover.update(at_millis(second * 1_000 + step * 100), &observations).events.len();
        }
    }
    assert_eq!(failover.zone_state(0), ZoneState::Ejected);
    assert!(changes <= 2, "{changes} changes of state in 29 s of flapping");
}

/// An outdated endpoint list names a zone's engines as ready for seconds after they stopped responding, or as
/// gone while they still respond.
#[test]
fn zone_is_ejected_by_own_connections_alone_or_by_the_list_alone() {
    let mut failover = failover_in_zone_0();
    run(&mut failover, 0, 1_000, &four_zones());
    let mut observations = four_zones();
    observations[1] = unresponsive(&observations[1]);
    run(&mut failover, 1_100, 1_600, &observations);
    assert_eq!(failover.zone_state(1), ZoneState::Ejected, "the list still names all four engines as ready");
    let mut observations = four_zones();
    observations[2] = ZoneObservation {
        listed_cores: 0.0,
        healthy_cores: 0.0,
        engines: 0,
        responsive: 0,
        unresponsive: 0,
        load: 0.0,
        ..observations[2]
    };
    run(&mut failover, 1_700, 2_300, &observations);
    assert_eq!(failover.zone_state(2), ZoneState::Ejected, "the list no longer names any engine of the zone");
}

/// One manager cannot reach a zone. While the other managers report that they reach the zone, this manager's
/// own observation changes no state; once most of them cannot reach the zone either, it is ejected.
#[test]
fn false_alarm_of_one_manager_is_outvoted_by_other_managers() {
    let mut failover = failover_in_zone_0();
    run(&mut failover, 0, 1_000, &four_zones());
    let mut observations = four_zones();
    observations[1] = ZoneObservation { observers: 9, unreachable_for: 0, ..unresponsive(&observations[1]) };
    run(&mut failover, 1_100, 4_000, &observations);
    assert_eq!(failover.zone_state(1), ZoneState::Healthy);
    observations[1].unreachable_for = 6;
    run(&mut failover, 4_100, 4_700, &observations);
    assert_eq!(failover.zone_state(1), ZoneState::Ejected);
    // If this manager has not contacted the zone at all, the reports of the other managers suffice.
    let mut failover = failover_in_zone_0();
    run(&mut failover, 0, 1_000, &four_zones());
    let mut observations = four_zones();
    observations[1] = ZoneObservation { observers: 9, unreachable_for: 8, responsive: 0, ..observations[1] };
    run(&mut failover, 1_100, 1_600, &observations);
    assert_eq!(failover.zone_state(1), ZoneState::Ejected);
}

/// To a manager inside an isolated zone, all other zones are unresponsive while its own zone responds.
/// Requests stay in the own zone, and the failures of the other zones do not start panic mode.
#[test]
fn isolated_zone_keeps_its_requests() {
    let mut failover = failover_in_zone_0();
    run(&mut failover, 0, 1_000, &four_zones());
    let mut observations = four_zones();
    (1..4).for_each(|zone| observations[zone] = unresponsive(&observations[zone]));
    let plan = run(&mut failover, 1_100, 1_700, &observations);
    assert!(plan.is_isolated && !plan.is_panic && fraction(&plan, 0) == 1.0, "{plan:?}");
    let plan = run(&mut failover, 1_800, 2_500, &four_zones());
    assert_eq!(fraction(&plan, 0), 1.0);
}

/// If no manager reaches the engines of a zone but the zone's managers are alive, the zone has lost its
/// engines; if the zone's managers are not alive either, the zone is isolated or dead.
#[test]
fn event_states_whether_the_managers_of_an_ejected_zone_are_alive() {
    for (live_managers, expected) in [(5, "its managers are alive"), (0, "its managers are silent, too")] {
        let mut failover = failover_in_zone_0();
        run(&mut failover, 0, 1_000, &four_zones());
        let mut observations = four_zones();
        observations[1] = ZoneObservation {
            observers: 9,
            unreachable_for: 9,
            managers: 5,
            live_managers,
            ..unresponsive(&observations[1])
        };
        let events: Vec<String> = (11..17)
            .flat_map(|step| failover.update(at_millis(step * 100), &observations).events)
            .map(|event| event.describe(|_| None))
            .collect();
        assert!(
            events.iter().any(|event| event.contains("zone 1 ejected") && event.contains(expected)),
            "{events:?}"
        );
    }
}

#[test]
fn panic_mode_ignores_the_states_of_zones() {
    let mut failover = failover_in_zone_0();
    run(&mut failover, 0, 1_000, &four_zones());
    let mut observations = four_zones();
    observations[0] =
        ZoneObservation { responsive: 0, unresponsive: 4, healthy_cores: 0.0, ..observations[0] };
    (1..4).for_each(|zone| observations[zone] = unresponsive(&observations[zone]));
    let plan = run(&mut failover, 1_100, 2_000, &observations);
    assert!(plan.is_panic);
    assert!(plan.weights.iter().all(|weight| (*weight - 1.0).abs() < 1e-9), "{plan:?}");
}

#[test]
fn zones_beyond_the_maximum_are_ignored() {
    let mut failover = failover_in_zone_0();
    let observations: Vec<ZoneObservation> = (0..200).map(|index| zone(index, index / 2)).collect();
    let plan = failover.update(at_millis(0), &observations);
    assert_eq!(plan.fractions.len(), MAX_ZONES);
    assert_eq!(failover.update(at_millis(100), &[]).fractions.len(), 0);
}
