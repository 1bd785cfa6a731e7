//! Tests of generated ids.

use super::*;
use sprucelink_policy::TimeDelta;

#[test]
fn ids_are_split_mix_values_salted_with_the_time() {
    let mut ids = IdGenerator::new(7);
    let now = Timestamp::from_secs(1_700_000_000);
    assert_eq!(ids.next_id(now), 0x9a2e_5425_c71d_3dfc);
    assert_eq!(ids.next_id(now + TimeDelta::from_micros(1)), 0x75c7_6bbe_16e2_9721);
}
