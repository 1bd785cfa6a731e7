//! Bounds, and what happens at each.

use sprucelink_cordon::{
    By, Change, Hold, Limits, Outages, Refused, Target, TimeDelta, Timestamp, LEASE_MOST, TARGET_MOST,
    WHY_MOST,
};

const NOW: Timestamp = Timestamp::from_micros(1_700_000_000_000_000);

fn engine(id: &str) -> Target {
    Target::Engine(id.into())
}

fn small() -> Outages {
    Outages::new(Limits { ids: 8, bans: 3, ban_bytes: 20, tombstones: 2, tombstone_bytes: 100 })
}

#[test]
fn a_further_ban_is_refused_at_the_bound_and_repeats_are_not() {
    let mut o = small();
    ["a", "b", "c", "d"].iter().for_each(|id| o.listed(id));
    for id in ["a", "b", "c"] {
        assert_eq!(o.cordon(NOW, &engine(id), Hold::Operator, ""), Ok(Change::Out));
    }
    assert_eq!(o.cordon(NOW, &engine("d"), Hold::Operator, ""), Err(Refused::TooMany));
    assert_eq!(o.cordon(NOW, &engine("a"), Hold::Operator, ""), Ok(Change::AlreadyOut));
    assert_eq!(o.uncordon(NOW, &engine("a"), By::Operator), Ok(Change::Back));
    assert_eq!(o.cordon(NOW, &engine("d"), Hold::Operator, ""), Ok(Change::Out));
    assert_eq!(o.counters().too_many, 1);
}

#[test]
fn long_ids_use_up_their_bytes() {
    let mut o = small();
    let (long, other) = ("x".repeat(15), "y".repeat(15));
    o.listed(&long);
    o.listed(&other);
    o.cordon(NOW, &engine(&long), Hold::Operator, "").expect("fits");
    assert_eq!(o.cordon(NOW, &engine(&other), Hold::Operator, ""), Err(Refused::TooMany));
    assert_eq!(o.cordon(NOW, &Target::Manager, Hold::Operator, ""), Ok(Change::Out), "it takes no bytes");
}

#[test]
fn the_lowest_version_is_the_first_call_back_to_be_forgotten() {
    let mut o = small();
    for (n, id) in ["a", "b", "c"].iter().enumerate() {
        o.listed(id);
        o.uncordon(NOW + TimeDelta::from_micros(n as i64), &engine(id), By::Operator).expect("yes");
    }
    let left: Vec<Target> = o.export().into_iter().map(|b| b.target).collect();
    assert_eq!(left, [engine("b"), engine("c")]);
    assert_eq!((o.counters().tombstones_forgotten, o.sizes().1), (1, 2));
}

#[test]
fn a_merge_over_the_bound_says_how_many_it_left_out() {
    let mut rich = Outages::new(Limits::default());
    for i in 0..5 {
        rich.listed(&format!("{i}"));
        rich.cordon(NOW, &engine(&format!("{i}")), Hold::Operator, "").expect("yes");
    }
    let mut o = small();
    let merged = o.import(NOW, &rich.export());
    assert_eq!((merged.moved.len(), merged.over), (3, 2));
    assert_eq!(o.counters().merge_over, 2);
}

#[test]
fn targets_leases_and_reasons_that_will_not_do() {
    let mut o = Outages::new(Limits::default());
    let longest = "e".repeat(TARGET_MOST);
    o.listed(&longest);
    o.listed("e");
    assert_eq!(o.cordon(NOW, &engine(&longest), Hold::Operator, ""), Ok(Change::Out));
    for id in ["", "a\nb", &"e".repeat(TARGET_MOST + 1)] {
        o.listed(id);
        assert_eq!(o.cordon(NOW, &engine(id), Hold::Operator, ""), Err(Refused::BadTarget));
        assert_eq!(o.uncordon(NOW, &engine(id), By::Operator), Err(Refused::BadTarget));
    }
    assert_eq!(o.cordon(NOW, &engine("f"), Hold::Operator, ""), Err(Refused::NeverListed));
    assert_eq!(o.uncordon(NOW, &engine("f"), By::Operator), Err(Refused::NeverListed));
    let lease = |until| Hold::Fleet { permit: 1, until };
    let most = NOW + LEASE_MOST;
    assert_eq!(o.cordon(NOW, &engine("e"), lease(NOW), ""), Err(Refused::BadLease));
    assert_eq!(
        o.cordon(NOW, &engine("e"), lease(most + TimeDelta::from_micros(1)), ""),
        Err(Refused::BadLease)
    );
    assert_eq!(o.cordon(NOW, &engine("e"), lease(most), &"w".repeat(500)), Ok(Change::Out));
    let why = o.out().find(|out| out.target == engine("e")).expect("out").why.len();
    assert_eq!(why, WHY_MOST);
    let c = o.counters();
    assert_eq!((c.never_listed, c.bad_target, c.bad_lease, c.cordons), (2, 6, 2, 2));
}

/// The page's own case: out twice, restarted meanwhile, back once.
#[test]
fn whatever_the_list_says_the_ban_holds_until_the_call_back() {
    let mut o = Outages::new(Limits::default());
    o.listed("e");
    assert_eq!(o.cordon(NOW, &engine("e"), Hold::Operator, "swap"), Ok(Change::Out));
    let permit = Hold::Fleet { permit: 3, until: NOW + TimeDelta::from_micros(1_000) };
    assert_eq!(o.cordon(NOW, &engine("e"), permit, "release"), Ok(Change::AlreadyOut));
    assert_eq!(o.cordon(NOW, &engine("e"), Hold::Operator, "swap"), Ok(Change::AlreadyOut));
    o.unlisted("e");
    assert!(o.is_out("e") && o.engines_out() == 1);
    o.listed("e");
    assert!(o.is_out("e"));
    let back = o.uncordon(NOW, &engine("e"), By::Operator);
    assert_eq!(back, Ok(Change::StillOut { by: By::Fleet { permit: 3 } }), "the fleet's stays");
    o.unlisted("e");
    assert_eq!(o.uncordon(NOW, &engine("e"), By::Fleet { permit: 3 }), Ok(Change::Back));
    assert_eq!(o.uncordon(NOW, &engine("e"), By::Operator), Ok(Change::NotOut));
    assert!(!o.is_out("e") && o.engines_out() == 0);
}

/// An id that a ban holds is never forgotten, and the call back is answered with yes however long ago it was listed.
#[test]
fn a_banned_id_is_remembered_past_the_bound() {
    let mut o = small();
    o.listed("e");
    o.cordon(NOW, &engine("e"), Hold::Operator, "").expect("yes");
    o.unlisted("e");
    for i in 0..50 {
        o.listed(&format!("{i}"));
        o.unlisted(&format!("{i}"));
    }
    assert!(o.ever_listed("e") && !o.ever_listed("0") && o.ever_listed("49"));
    assert_eq!(o.sizes().2, 8);
    assert_eq!(o.counters().ids_forgotten, 43);
    assert_eq!(o.uncordon(NOW, &engine("e"), By::Operator), Ok(Change::Back));
}
