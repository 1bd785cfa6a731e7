//! What two processes hold is merged the same way whatever the order, and the newest call wins at both.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sprucelink_cordon::{
    Ban, By, Change, Hold, Limits, Outages, Target, TimeDelta, Timestamp, Word, TOMBSTONE_KEPT,
};

const S: i64 = 1_000_000;
const NOW: Timestamp = Timestamp::from_micros(1_700_000_000 * S);

/// Words as they may come: few targets, causes, versions and leases, so that ties of every kind are among them.
fn ban() -> impl Strategy<Value = Ban> {
    (0_u8..4, 0_u8..3, 0_u64..4, any::<bool>(), 1_i64..4, 0_i64..3, 0_u8..2).prop_map(
        |(on, permit, version, out, lease, at, why)| {
            let fleet = permit > 0;
            Ban {
                target: if on == 0 { Target::Manager } else { Target::Engine(format!("s-{on}")) },
                by: if fleet { By::Fleet { permit: u64::from(permit) } } else { By::Operator },
                word: Word {
                    version,
                    out,
                    until: (fleet && out).then_some(Timestamp::from_micros(NOW.as_micros() + lease * S)),
                    at: Timestamp::from_micros(NOW.as_micros() - at),
                    why: if out { format!("why {why}") } else { String::new() },
                },
            }
        },
    )
}

fn bans() -> impl Strategy<Value = Vec<Ban>> {
    prop::collection::vec(ban(), 0..12)
}

fn from(sets: &[&[Ban]]) -> Vec<Ban> {
    let mut o = Outages::new(Limits::default());
    for set in sets {
        let merged = o.import(NOW, set);
        assert_eq!((merged.over, merged.bad), (0, 0));
    }
    o.export()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(42), failure_persistence: None, ..ProptestConfig::with_cases(500)
    })]

    #[test]
    fn merging_is_associative_commutative_and_idempotent(a in bans(), b in bans(), c in bans()) {
        let (ab, bc) = (from(&[&a, &b]), from(&[&b, &c]));
        prop_assert_eq!(from(&[&ab, &c]), from(&[&a, &bc]));
        prop_assert_eq!(&ab, &from(&[&b, &a]));
        prop_assert_eq!(&from(&[&ab, &a]), &ab);
        prop_assert_eq!(&from(&[&ab, &ab, &b]), &ab);
        let mut reversed = a.clone();
        reversed.reverse();
        prop_assert_eq!(from(&[&a]), from(&[&reversed]), "nor does the order within one set matter");
    }

    /// Two processes live, calls come to either, files are read now and then, and the clock of each call is the one
    /// that both share. Once both have read each other's last file, each target is as the last call on it says.
    #[test]
    fn the_last_call_wins_at_both(
        calls in prop::collection::vec((any::<bool>(), 1_u8..4, any::<bool>(), 0_u8..4), 1..40),
        back in 0_i64..3,
    ) {
        let mut two = [Outages::new(Limits::default()), Outages::new(Limits::default())];
        for o in &mut two {
            (1..4).for_each(|i| o.listed(&format!("s-{i}")));
        }
        let mut last = [false; 4];
        for (n, (at, on, out, read)) in calls.iter().enumerate() {
            // A clock set back is no harm where the call has seen the ones before it: the other's file is read first.
            let set_back = *read == 3;
            if set_back {
                let file = two[usize::from(!*at)].export();
                two[usize::from(*at)].import(NOW, &file);
            }
            let now = Timestamp::from_micros(NOW.as_micros() + n as i64 * 10 - if set_back { back * 5 } else { 0 });
            let target = Target::Engine(format!("s-{on}"));
            let here = &mut two[usize::from(*at)];
            if *out {
                here.cordon(now, &target, Hold::Operator, "").expect("listed");
            } else {
                here.uncordon(now, &target, By::Operator).expect("listed");
            }
            last[usize::from(*on)] = *out;
            if *read > 1 {
                let file = two[usize::from(*at)].export();
                two[usize::from(!*at)].import(now, &file);
            }
        }
        let files = [two[0].export(), two[1].export()];
        two[0].import(NOW, &files[1]);
        two[1].import(NOW, &files[0]);
        prop_assert_eq!(two[0].export(), two[1].export());
        for (i, out) in last.iter().enumerate().skip(1) {
            prop_assert_eq!(two[0].is_out(&format!("s-{i}")), *out, "s-{}", i);
        }
    }
}

fn one(listed: &[&str]) -> Outages {
    let mut o = Outages::new(Limits::default());
    listed.iter().for_each(|id| o.listed(id));
    o
}

fn engine(id: &str) -> Target {
    Target::Engine(id.into())
}

/// A call back at the newcomer must beat the elder's ban even where the newcomer has not read of it yet; and an older
/// ban that comes in late must not undo it.
#[test]
fn a_newer_call_back_beats_an_older_ban_that_was_never_seen_here() {
    let (mut elder, mut newcomer) = (one(&["e"]), one(&["e"]));
    elder.cordon(NOW, &engine("e"), Hold::Operator, "swap").expect("yes");
    let back = newcomer.uncordon(Timestamp::from_micros(NOW.as_micros() + 5), &engine("e"), By::Operator);
    assert_eq!(back, Ok(Change::NotOut));
    let merged = newcomer.import(NOW, &elder.export());
    assert!(merged.moved.is_empty() && !newcomer.is_out("e"));
    let merged = elder.import(NOW, &newcomer.export());
    assert_eq!(merged.moved.len(), 1);
    assert!(!elder.is_out("e"));
}

#[test]
fn a_clock_set_back_does_not_make_a_newer_call_the_older_one() {
    let mut o = one(&["e"]);
    o.cordon(NOW, &engine("e"), Hold::Operator, "").expect("yes");
    let file = o.export();
    let earlier = Timestamp::from_micros(NOW.as_micros() - 3_600 * S);
    assert_eq!(o.uncordon(earlier, &engine("e"), By::Operator), Ok(Change::Back));
    o.import(earlier, &file);
    assert!(!o.is_out("e"));
}

#[test]
fn of_two_words_with_one_version_the_one_that_holds_it_out_wins() {
    let word = |out| Word { version: 9, out, until: None, at: NOW, why: String::new() };
    let ban = |out| Ban { target: engine("e"), by: By::Operator, word: word(out) };
    for pair in [[true, false], [false, true]] {
        let mut o = one(&[]);
        o.import(NOW, &pair.map(ban));
        assert!(o.is_out("e") && o.ever_listed("e"));
    }
}

/// The memory of a call back ends after its time, and no sooner; a ban has no such end.
#[test]
fn calls_back_are_forgotten_after_ten_minutes_and_bans_never() {
    let mut o = one(&["e", "f"]);
    o.cordon(NOW, &engine("f"), Hold::Operator, "").expect("yes");
    o.uncordon(NOW, &engine("e"), By::Operator).expect("yes");
    o.expire(NOW + TOMBSTONE_KEPT);
    assert_eq!(o.sizes(), (1, 1, 2));
    o.expire(NOW + TOMBSTONE_KEPT + TimeDelta::from_micros(1));
    assert_eq!(o.sizes(), (1, 0, 2));
    o.expire(NOW + TimeDelta::from_micros(1_000_000 * S));
    assert!(o.is_out("f"));
}

/// A lease that ended is not begun anew by an older word with a longer one.
#[test]
fn a_lapsed_lease_beats_an_older_and_longer_one() {
    let (mut a, mut b) = (one(&["e"]), one(&["e"]));
    let lease = |s: i64| Hold::Fleet { permit: 7, until: Timestamp::from_micros(NOW.as_micros() + s * S) };
    a.cordon(NOW, &engine("e"), lease(60), "").expect("yes");
    b.cordon(Timestamp::from_micros(NOW.as_micros() + 1), &engine("e"), lease(5), "").expect("yes");
    b.expire(Timestamp::from_micros(NOW.as_micros() + 6 * S));
    assert!(!b.is_out("e"));
    b.import(Timestamp::from_micros(NOW.as_micros() + 6 * S), &a.export());
    assert!(!b.is_out("e"), "the shorter lease was the newer word");
    a.import(Timestamp::from_micros(NOW.as_micros() + 6 * S), &b.export());
    assert!(!a.is_out("e"));
}
