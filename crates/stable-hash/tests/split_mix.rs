//! Tests of the generator, against published reference values of SplitMix64, and of weighted draws.

use sprucelink_stable_hash::{weighted_index, SplitMix64};

#[test]
fn numbers_are_those_of_the_reference_implementation() {
    // The test vector for seed 1234567 that Rosetta Code and others give for splitmix64.c.
    let mut generator = SplitMix64::new(1_234_567);
    let expected = [
        6_457_827_717_110_365_317,
        3_203_168_211_198_807_973,
        9_817_491_932_198_370_423,
        4_593_380_528_125_082_431,
        16_408_922_859_458_223_821,
    ];
    assert_eq!(expected.map(|_| generator.next_u64()), expected);
}

#[test]
fn unit_numbers_are_below_one_and_have_a_mean_of_a_half() {
    let mut generator = SplitMix64::new(7);
    let numbers: Vec<f64> = (0..10_000).map(|_| generator.next_f64()).collect();
    assert!(numbers.iter().all(|number| (0.0..1.0).contains(number)));
    let mean = numbers.iter().sum::<f64>() / numbers.len() as f64;
    assert!((mean - 0.5).abs() < 0.02, "{mean}");
}

#[test]
fn index_is_drawn_in_proportion_to_its_weight() {
    let weights = [1.0, 0.0, 3.0];
    let drawn = |unit: f64| weighted_index(&weights, unit);
    assert_eq!([0.0, 0.25, 0.26, 0.999].map(drawn), [Some(0), Some(0), Some(2), Some(2)]);
    assert_eq!(weighted_index(&[], 0.5), None);
    assert_eq!(weighted_index(&[f64::NAN, 1.0], 0.5), Some(1), "a NaN weight gives the last index");
}

#[test]
fn drawn_items_are_distinct_and_limited_by_the_pool() {
    let mut generator = SplitMix64::new(3);
    let mut pool: Vec<u32> = (0..10).collect();
    let mut all = generator.draw(&mut pool, 4);
    assert_eq!((all.len(), pool.len()), (4, 6));
    all.extend(generator.draw(&mut pool, 100));
    all.sort_unstable();
    assert_eq!(all, (0..10).collect::<Vec<u32>>());
    assert!(generator.draw(&mut pool, 1).is_empty());
}
