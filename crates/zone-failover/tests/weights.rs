//! Tests of the fractions of requests by zone, and of the routing weights.

use quickcheck::{Gen, QuickCheck};
use sprucelink_zone_failover::config::FailoverConfig;
use sprucelink_zone_failover::weights::Distance::{Local, OtherRegion, SameRegion};
use sprucelink_zone_failover::weights::{request_fractions, routing_weights, Distance, ZoneCapacity};

fn capacity(zone: u32, distance: Distance, healthy_cores: f64, load: f64) -> ZoneCapacity {
    ZoneCapacity { zone, distance, known_cores: 32.0, healthy_cores, load }
}

#[test]
fn load_beyond_the_margin_spills_to_the_same_region_by_spare_cores() {
    let config = FailoverConfig::default();
    // With the margin of 1.4, 32 cores take 22.9 of the zone's 40 threads, so 57% of the requests stay.
    let zones = [
        capacity(0, Local, 32.0, 40.0),
        capacity(1, SameRegion, 32.0, 10.0),
        capacity(2, SameRegion, 32.0, 20.0),
        capacity(3, OtherRegion, 32.0, 0.0),
    ];
    let fractions = request_fractions(&config, &zones);
    assert!((fractions[0] - 32.0 / 1.4 / 40.0).abs() < 1e-9, "{fractions:?}");
    let spare = [32.0 / 1.4 - 10.0, 32.0 / 1.4 - 20.0];
    assert!(
        (fractions[1] / fractions[2] - spare[0] / spare[1]).abs() < 1e-9 && fractions[3] == 0.0,
        "{fractions:?}"
    );
}

#[test]
fn region_without_spare_cores_is_skipped() {
    let config = FailoverConfig::default();
    let zones = [
        capacity(0, Local, 0.0, 0.0),
        capacity(1, SameRegion, 32.0, 40.0),
        capacity(2, OtherRegion, 32.0, 0.0),
    ];
    assert_eq!(request_fractions(&config, &zones), [0.0, 0.0, 1.0]);
    // No zone has spare cores: requests are divided by healthy cores.
    let zones = [
        capacity(0, Local, 0.0, 0.0),
        capacity(1, SameRegion, 32.0, 40.0),
        capacity(2, OtherRegion, 32.0, 40.0),
    ];
    assert_eq!(request_fractions(&config, &zones), [0.0, 0.5, 0.5]);
}

/// For any zones, fractions lie within 0 and 1, add up to 1 if any zone has healthy cores, and are 0 for
/// zones without healthy cores; weights lie within the configured minimum and 1.
#[test]
fn fractions_add_up_to_one_and_go_only_to_healthy_zones() {
    fn holds(zones: Vec<(u8, u8, u8)>) -> bool {
        let zones: Vec<ZoneCapacity> = zones
            .iter()
            .take(20)
            .enumerate()
            .map(|(index, (distance, healthy, load))| ZoneCapacity {
                zone: index as u32,
                distance: match (index, distance % 2) {
                    (0, _) => Local,
                    (_, 0) => SameRegion,
                    _ => OtherRegion,
                },
                known_cores: 255.0,
                healthy_cores: f64::from(*healthy),
                load: f64::from(*load),
            })
            .collect();
        let config = FailoverConfig::default();
        let fractions = request_fractions(&config, &zones);
        let sum: f64 = fractions.iter().sum();
        let is_any_healthy = zones.iter().any(|zone| zone.healthy_cores > 0.0);
        let only_healthy_get_requests = fractions.iter().zip(&zones).all(|(fraction, zone)| {
            (-1e-9..=1.0 + 1e-9).contains(fraction) && (zone.healthy_cores > 0.0 || *fraction == 0.0)
        });
        let weights = routing_weights(&config, &zones, &fractions);
        let are_bounded = weights.iter().all(|weight| (config.min_weight..=1.0 + 1e-9).contains(weight));
        let is_sum_correct = if is_any_healthy { (sum - 1.0).abs() < 1e-6 } else { sum == 0.0 };
        only_healthy_get_requests && are_bounded && is_sum_correct
    }
    QuickCheck::new()
        .tests(2_000)
        .rng(Gen::from_size_and_seed(30, 6))
        .quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
}
