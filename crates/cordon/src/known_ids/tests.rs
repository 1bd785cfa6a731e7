//! Tests of the eviction of known ids.

use super::*;

#[test]
fn id_unlisted_longest_ago_is_evicted_first_and_listed_or_cordoned_ids_never_are() {
    let mut known = KnownIds::new(4);
    for id in 1..=4 {
        assert!(known.set_listed(id, true));
    }
    assert!(!known.set_listed(5, true), "all four are listed");
    assert_eq!((known.over_limit(), known.contains(5)), (1, false));
    known.set_cordoned(1, true);
    for id in [1, 3, 2] {
        known.set_listed(id, false);
    }
    assert!(known.set_listed(5, true));
    assert!(
        known.contains(1) && !known.contains(3) && known.contains(2),
        "1 is cordoned, 3 was evicted before 2"
    );
    known.set_cordoned(1, false);
    assert!(known.set_listed(6, true) && known.set_listed(7, true));
    assert_eq!([1, 2, 4, 5, 6, 7].map(|id| known.contains(id)), [false, false, true, true, true, true]);
    assert_eq!((known.evicted(), known.len()), (3, 4));
}

#[test]
fn ids_of_another_process_fill_only_spare_capacity() {
    let mut known = KnownIds::new(3);
    known.set_listed(1, true);
    known.set_listed(1, false);
    (2..9).for_each(|id| known.add_remote(id));
    assert!(known.contains(1) && known.contains(2) && known.contains(3) && !known.contains(4));
    assert_eq!(known.export(2), [3, 2], "the most recently added first");
    known.set_listed(1, true);
    assert_eq!(known.export(9), [1, 3, 2], "listed ids before all others");
}
