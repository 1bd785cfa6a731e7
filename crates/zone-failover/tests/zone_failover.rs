//! The failover of one manager, played step by step.

use sprucelink_zone_failover::config::FailoverConfig;
use sprucelink_zone_failover::zone_health::ZoneState;
use sprucelink_zone_failover::{Locality, RoutingPlan, Timestamp, ZoneFailover, ZoneObservation, MAX_ZONES};

const MS: i64 = 1_000;

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * MS)
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

fn four() -> Vec<ZoneObservation> {
    vec![zone(0, 0), zone(1, 0), zone(2, 1), zone(3, 1)]
}

fn silenced(s: &ZoneObservation) -> ZoneObservation {
    ZoneObservation { healthy_cores: 0.0, unresponsive: 4, responsive: 0, ..*s }
}

fn fraction(plan: &RoutingPlan, zone: u32) -> f64 {
    plan.fractions.iter().find(|f| f.zone == zone).expect("it is observed").fraction
}

fn manager() -> ZoneFailover {
    ZoneFailover::new(FailoverConfig::default(), Some(Locality { zone: 0, region: 0 }))
}

/// Updates every 100 ms from `from` up to `to`; the last plan.
fn play(failover: &mut ZoneFailover, from: i64, to: i64, seen: &[ZoneObservation]) -> RoutingPlan {
    (from / 100..=to / 100).map(|k| failover.update(at(k * 100), seen)).last().expect("a plan")
}

#[test]
fn requests_stay_in_the_home_zone_while_nothing_fails() {
    let plan = play(&mut manager(), 0, 5_000, &four());
    assert_eq!(fraction(&plan, 0), 1.0);
    assert_eq!(plan.weights[0], 1.0);
    assert!(plan.weights[1..].iter().all(|w| *w < 0.01), "{plan:?}");
    assert!(!plan.is_panic && !plan.is_isolated);
}

#[test]
fn requests_leave_an_ejected_zone_for_the_nearest_within_half_a_second() {
    let mut failover = manager();
    play(&mut failover, 0, 1_000, &four());
    let mut seen = four();
    seen[0] = silenced(&seen[0]);
    let plan = play(&mut failover, 1_100, 1_600, &seen);
    assert_eq!(failover.zone_state(0), ZoneState::Ejected);
    assert_eq!(fraction(&plan, 0), 0.0);
    assert!(fraction(&plan, 1) > 0.99, "its neighbour has room for all: {plan:?}");
}

#[test]
fn requests_leave_a_region_when_all_its_zones_are_ejected() {
    let mut failover = manager();
    play(&mut failover, 0, 1_000, &four());
    let mut seen = four();
    (0..2).for_each(|i| seen[i] = silenced(&seen[i]));
    let plan = play(&mut failover, 1_100, 2_000, &seen);
    assert!((fraction(&plan, 2) - 0.5).abs() < 0.01 && (fraction(&plan, 3) - 0.5).abs() < 0.01, "{plan:?}");
}

/// Single load reports scatter: an estimate that swings from half to all of a zone's capacity each half second moves few
/// requests across zones.
#[test]
fn load_that_swings_is_smoothed() {
    let mut failover = manager();
    let crossed: Vec<f64> = (0..100)
        .map(|k| {
            let mut seen = four();
            seen[0].load = if k / 5 % 2 == 0 { 12.0 } else { 30.0 };
            1.0 - fraction(&failover.update(at(k * 100), &seen), 0)
        })
        .collect();
    assert!(crossed.iter().all(|c| *c < 0.1), "{crossed:?}");
}

#[test]
fn one_unresponsive_engine_of_eight_causes_no_failover() {
    let mut failover = manager();
    let mut seen = four();
    seen[0] = ZoneObservation {
        engines: 8,
        listed_cores: 64.0,
        healthy_cores: 56.0,
        unresponsive: 1,
        responsive: 7,
        load: 20.0,
        ..seen[0]
    };
    let plan = play(&mut failover, 0, 10_000, &seen);
    assert_eq!((failover.zone_state(0), fraction(&plan, 0)), (ZoneState::Healthy, 1.0));
}

/// Half of a zone is gone: the overprovisioning factor covers a part of it, the rest goes to the next zone.
#[test]
fn missing_capacity_spills_to_the_next_zone_in_proportion() {
    let mut failover = manager();
    play(&mut failover, 0, 1_000, &four());
    let mut seen = four();
    seen[0] = ZoneObservation { healthy_cores: 16.0, unresponsive: 2, responsive: 2, ..seen[0] };
    let plan = play(&mut failover, 1_100, 3_000, &seen);
    assert_eq!(failover.zone_state(0), ZoneState::Healthy);
    assert!((fraction(&plan, 0) - 0.7).abs() < 1e-9, "half of the cores times 1.4: {plan:?}");
    assert!((fraction(&plan, 1) - 0.3).abs() < 1e-9);
}

#[test]
fn recovering_zone_gets_its_fraction_back_gradually() {
    let mut failover = manager();
    play(&mut failover, 0, 1_000, &four());
    let mut seen = four();
    seen[0] = silenced(&seen[0]);
    play(&mut failover, 1_100, 6_000, &seen);
    // It is back, cold: three tenths of its capacity, rising over 15 s.
    let mut last = 0.0;
    let mut steps = Vec::new();
    for k in 61..260 {
        let warm = (0.3 + 0.7 * (k - 61) as f64 / 150.0).min(1.0);
        let mut back = four();
        back[0] = ZoneObservation { healthy_cores: 32.0 * warm, ..back[0] };
        let plan = failover.update(at(k * 100), &back);
        let now = fraction(&plan, 0);
        steps.push(now - last);
        last = now;
        if k < 61 + 15 {
            assert_eq!(now, 0.0, "not before it has stayed back: {k}");
        }
    }
    assert_eq!((failover.zone_state(0), last), (ZoneState::Healthy, 1.0));
    assert!(steps.iter().all(|s| *s < 0.12), "never all at once: {steps:?}");
}

#[test]
fn flapping_zone_stays_ejected() {
    let mut failover = manager();
    play(&mut failover, 0, 1_000, &four());
    let mut changes = 0;
    for second in 1..30 {
        let mut seen = four();
        if second % 2 == 1 {
            seen[0] = silenced(&seen[0]);
        }
        for k in 0..10 {
            changes += failover.update(at(second * 1_000 + k * 100), &seen).events.len();
        }
    }
    assert_eq!(failover.zone_state(0), ZoneState::Ejected);
    assert!(changes <= 2, "{changes} changes of state in 29 s of flapping");
}

/// A late list names a zone's engines as ready for seconds while they do not respond, and as gone while they do.
#[test]
fn own_connections_alone_and_the_list_alone_eject_a_zone() {
    let mut failover = manager();
    play(&mut failover, 0, 1_000, &four());
    let mut seen = four();
    seen[1] = silenced(&seen[1]);
    play(&mut failover, 1_100, 1_600, &seen);
    assert_eq!(failover.zone_state(1), ZoneState::Ejected, "the list still names all four as ready");
    let mut seen = four();
    seen[2] = ZoneObservation {
        listed_cores: 0.0,
        healthy_cores: 0.0,
        engines: 0,
        responsive: 0,
        unresponsive: 0,
        load: 0.0,
        ..seen[2]
    };
    play(&mut failover, 1_700, 2_300, &seen);
    assert_eq!(failover.zone_state(2), ZoneState::Ejected, "the list names none there any more");
}

/// One manager cannot reach a zone that all others reach: where they report, its own observation changes no state; where
/// most of them report the same, it does.
#[test]
fn single_false_alarm_is_outvoted_by_other_managers() {
    let mut failover = manager();
    play(&mut failover, 0, 1_000, &four());
    let mut seen = four();
    seen[1] = ZoneObservation { observers: 9, unreachable_for: 0, ..silenced(&seen[1]) };
    play(&mut failover, 1_100, 4_000, &seen);
    assert_eq!(failover.zone_state(1), ZoneState::Healthy);
    seen[1].unreachable_for = 6;
    play(&mut failover, 4_100, 4_700, &seen);
    assert_eq!(failover.zone_state(1), ZoneState::Ejected);
    // Where this manager has not contacted the zone at all, the reports of the others suffice.
    let mut failover = manager();
    play(&mut failover, 0, 1_000, &four());
    let mut seen = four();
    seen[1] = ZoneObservation { observers: 9, unreachable_for: 8, responsive: 0, ..seen[1] };
    play(&mut failover, 1_100, 1_600, &seen);
    assert_eq!(failover.zone_state(1), ZoneState::Ejected);
}

/// From inside an isolated zone, all others are unresponsive and its own responds: requests stay, and the others are not
/// taken for dead.
#[test]
fn isolated_zone_keeps_its_requests() {
    let mut failover = manager();
    play(&mut failover, 0, 1_000, &four());
    let mut seen = four();
    (1..4).for_each(|i| seen[i] = silenced(&seen[i]));
    let plan = play(&mut failover, 1_100, 1_700, &seen);
    assert!(plan.is_isolated && !plan.is_panic && fraction(&plan, 0) == 1.0, "{plan:?}");
    let plan = play(&mut failover, 1_800, 2_500, &four());
    assert_eq!(fraction(&plan, 0), 1.0);
}

/// From outside, a zone whose managers are alive but whose engines nobody reaches has lost its engines; one whose managers
/// are gone, too, is isolated or dead.
#[test]
fn event_states_whether_the_managers_of_an_ejected_zone_are_alive() {
    for (live, note) in [(5, "its managers are alive"), (0, "its managers are silent, too")] {
        let mut failover = manager();
        play(&mut failover, 0, 1_000, &four());
        let mut seen = four();
        seen[1] = ZoneObservation {
            observers: 9,
            unreachable_for: 9,
            managers: 5,
            live_managers: live,
            ..silenced(&seen[1])
        };
        let events: Vec<String> = (11..17)
            .flat_map(|k| failover.update(at(k * 100), &seen).events)
            .map(|event| event.describe(|_| None))
            .collect();
        assert!(events.iter().any(|e| e.contains("zone 1 ejected") && e.contains(note)), "{events:?}");
    }
}

#[test]
fn panic_mode_ignores_the_states_of_zones() {
    let mut failover = manager();
    play(&mut failover, 0, 1_000, &four());
    let mut seen = four();
    seen[0] = ZoneObservation { responsive: 0, unresponsive: 4, healthy_cores: 0.0, ..seen[0] };
    (1..4).for_each(|i| seen[i] = silenced(&seen[i]));
    let plan = play(&mut failover, 1_100, 2_000, &seen);
    assert!(plan.is_panic);
    assert!(plan.weights.iter().all(|w| (*w - 1.0).abs() < 1e-9), "{plan:?}");
}

#[test]
fn zones_beyond_the_maximum_are_ignored() {
    let mut failover = manager();
    let many: Vec<ZoneObservation> = (0..200).map(|i| zone(i, i / 2)).collect();
    let plan = failover.update(at(0), &many);
    assert_eq!(plan.fractions.len(), MAX_ZONES);
    assert_eq!(failover.update(at(100), &[]).fractions.len(), 0);
}
