//! The follower's decisions against feeds of every kind, in virtual time.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};
use sprucelink_startup::lists::ListTerms;

/// What a feed does with one call, each step so many microseconds after the one before.
#[derive(Clone, Debug)]
struct Answer {
    connects: i64,
    answers: (i64, u16),
    says: Vec<i64>,
    /// After so many steps of the call the feed moves.
    moves: Option<usize>,
}

/// Spans on both sides of a bound.
fn around(bound: TimeDelta) -> impl Strategy<Value = i64> {
    prop_oneof![4 => 0..bound.as_micros() / 10, 1 => bound.as_micros() - 2..bound.as_micros() + 2, 1 => Just(i64::MAX / 4)]
}

fn answer() -> impl Strategy<Value = Answer> {
    let status =
        prop_oneof![6 => Just(200u16), 1 => Just(503), 1 => Just(429), 1 => Just(302), 1 => Just(500)];
    let says = proptest::collection::vec(around(SILENCE), 0..6);
    let moves = proptest::option::weighted(0.1, 0usize..4);
    (around(DIAL), (around(SILENCE), status), says, moves)
        .prop_map(|(connects, answers, says, moves)| Answer { connects, answers, says, moves })
}

/// Goes on to what the feed does after `span`, or to the end of the follower's patience; `false` for that.
fn step(f: &EndpointWatch, now: &mut Timestamp, span: i64) -> bool {
    let patience = f.patience(*now);
    let comes = TimeDelta::from_micros(span) <= patience;
    *now = *now + if comes { TimeDelta::from_micros(span) } else { patience };
    comes
}

/// How a call went: what the feed's answer was, if it answered.
#[derive(Debug, PartialEq)]
enum Went {
    Moved,
    Over(Option<u16>),
}

/// Plays one call from its begin.
fn play(f: &mut EndpointWatch, now: &mut Timestamp, a: &Answer) -> Went {
    let mut steps = 0;
    let mut moves = || {
        steps += 1;
        a.moves == Some(steps - 1)
    };
    f.begins(*now);
    if moves() {
        return Went::Moved;
    }
    if !step(f, now, a.connects) {
        assert_eq!(f.impatience(), "no connection in time");
        return Went::Over(None);
    }
    f.connected(*now);
    if moves() {
        return Went::Moved;
    }
    if !step(f, now, a.answers.0) {
        assert_eq!(f.impatience(), "silent");
        return Went::Over(None);
    }
    if f.answered(a.answers.1, *now).is_err() {
        return Went::Over(Some(a.answers.1));
    }
    for gap in &a.says {
        if moves() {
            return Went::Moved;
        }
        if !step(f, now, *gap) {
            break;
        }
        f.heard(true, *now);
    }
    Went::Over(Some(200))
}

/// Guards the rule on drains: whatever the feed does, a call that was not refused is followed by another within
/// 250 ms, no call outlives its silence, and a feed that moved is called at once.
#[test]
fn no_feed_keeps_the_follower_waiting() {
    let runner = TestRunner::new(Config {
        cases: 500,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(3),
        ..Config::default()
    });
    let feeds = (proptest::collection::vec(answer(), 1..40), any::<bool>(), any::<u64>());
    let run = { runner }.run(&feeds, |(answers, scheduled, seed)| {
        let mut now = Timestamp::from_micros(1_000_000_000_000);
        let calls = scheduled.then(|| ListCalls::new(ListTerms::default(), 300, seed, now));
        let mut f = EndpointWatch::new(calls, now);
        prop_assert!(
            f.patience(now) <= TimeDelta::from_micros(200_000),
            "the first call is within the window"
        );
        let mut rest = REST[0];
        for a in &answers {
            now = now + f.patience(now);
            prop_assert_eq!(f.patience(now), TimeDelta::ZERO);
            let began = now;
            let went = play(&mut f, &mut now, a);
            if went == Went::Moved {
                f.moved(now);
                prop_assert_eq!(f.patience(now), TimeDelta::ZERO, "a feed that moved is called at once");
                rest = REST[0];
                continue;
            }
            let longest = DIAL.as_micros() + SILENCE.as_micros() * (a.says.len() as i64 + 2);
            prop_assert!((now - began).as_micros() <= longest, "a call ends by itself");
            let r = f.ended(now);
            prop_assert_eq!(r.span, f.patience(now), "the rest is what it says");
            let refused = matches!(went, Went::Over(Some(429 | 503)));
            prop_assert_eq!(r.refused, refused && scheduled);
            if !r.refused {
                prop_assert!(r.span <= TimeDelta::from_micros(250_000), "{:?}", r);
            }
            rest = if went == Went::Over(Some(200)) { REST[0] } else { (rest + rest).min(REST[1]) };
            if !scheduled {
                prop_assert_eq!(r.span, rest, "rests double while nobody answers, and start anew after");
            }
        }
        Ok(())
    });
    run.expect("holds");
}

/// Guards the rule on drains: a feed that ends its answers often, with nothing new in them, was
/// called again only after a whole second, while what it held counted as told.
#[test]
fn rests_grow_only_while_nobody_answers_and_stay_far_under_the_drain_grace() {
    let (mut f, mut now) = (EndpointWatch::new(None, Timestamp::ZERO), Timestamp::ZERO);
    let mut call = |status: Option<u16>| {
        f.begins(now);
        if let Some(status) = status {
            f.connected(now);
            let _ = f.answered(status, now);
        }
        let rest = f.ended(now).span;
        now = now + rest;
        rest.as_millis()
    };
    assert!((0..20).all(|_| call(Some(200)) == 20));
    let rests: Vec<i64> = (0..6).map(|i| call([None, Some(500), Some(503)][i % 3])).collect();
    assert_eq!(rests, [40, 80, 160, 250, 250, 250]);
    assert_eq!(call(Some(200)), 20);
}

/// Guards against one bad event that would come again with every call, and against giving up one that the way
/// there spoilt.
#[test]
fn an_event_that_cannot_be_read_is_asked_for_anew_three_times() {
    let mut f = EndpointWatch::new(None, Timestamp::ZERO);
    for event in [Some(7), Some(8), None, Some(7)] {
        let asked: Vec<bool> = (0..5).map(|_| f.unreadable(event)).collect();
        assert_eq!(asked, [true, true, true, false, false], "{event:?}");
    }
}

/// What a feed that has stopped telling does to the calls after it.
#[derive(Clone, Copy, Debug)]
enum Dumb {
    /// No connection comes up.
    Undialled,
    /// A connection comes up and no head.
    Headless,
    /// A head comes and nothing behind it.
    Wordless,
}

/// From the last that a silent watch told until a call is answered, if these calls come to nothing before.
fn until_heeded(calls: &[Dumb]) -> TimeDelta {
    let (mut f, mut now) = (EndpointWatch::new(None, Timestamp::ZERO), Timestamp::ZERO);
    let wait = |f: &EndpointWatch, now: &mut Timestamp| *now = *now + f.patience(*now);
    f.begins(Timestamp::ZERO);
    f.connected(Timestamp::ZERO);
    f.answered(200, Timestamp::ZERO).expect("answered");
    wait(&f, &mut now);
    for call in calls {
        f.ended(now);
        wait(&f, &mut now);
        f.begins(now);
        match call {
            Dumb::Undialled => {}
            Dumb::Headless => f.connected(now),
            Dumb::Wordless => {
                f.connected(now);
                f.answered(200, now).expect("answered");
            }
        }
        wait(&f, &mut now);
    }
    f.ended(now);
    wait(&f, &mut now);
    now
}

/// Guards the rule on drains: whatever the feed has to tell counts as told 7 s later at the latest, whether it arrived
/// or not. Two calls that nobody answers used that up, and six dials.
#[test]
fn a_silent_watch_is_heard_again_before_what_it_had_to_tell_counts_as_told() {
    use Dumb::{Headless, Undialled, Wordless};
    let ms = |calls: &[Dumb]| until_heeded(calls).as_millis();
    assert_eq!(ms(&[]), 2_520);
    assert_eq!((ms(&[Undialled]), ms(&[Headless]), ms(&[Wordless])), (3_060, 4_060, 5_040));
    for calls in [
        &[Headless, Headless][..],
        &[Undialled, Headless],
        &[Headless, Undialled],
        &[Wordless, Headless],
        &[Wordless, Undialled],
        &[Undialled; 5],
    ] {
        assert!(ms(calls) < 7_000, "{calls:?}: {} ms", ms(calls));
    }
}

/// Guards the rule on drains: an answer of one byte now and then was never given up, and what it told never whole. A
/// comment each second keeps it, also while a long event comes in parts.
#[test]
fn an_answer_must_bring_something_whole_now_and_then() {
    let (mut f, mut now) = (EndpointWatch::new(None, Timestamp::ZERO), Timestamp::ZERO);
    f.begins(now);
    f.connected(now);
    f.answered(200, now).expect("answered");
    for i in 1..=40 {
        now = now + TimeDelta::from_micros(500_000);
        assert!(f.patience(now - TimeDelta::from_micros(1)) > TimeDelta::ZERO, "half second {i}");
        f.heard(i % 7 == 0, now);
    }
    let trickles = (1..100).take_while(|_| {
        now = now + TimeDelta::from_micros(500_000);
        f.heard(false, now);
        f.patience(now) > TimeDelta::ZERO
    });
    assert_eq!(trickles.count(), 2, "at the third 4 s are over since the 35th half second");
    assert_eq!(f.impatience(), "silent");
}

/// Guards the rule on drains: a clock set back by an hour kept the feed from being called for that hour.
#[test]
fn a_clock_that_is_set_back_makes_nothing_last_longer() {
    let late = Timestamp::from_micros(10_000_000_000);
    let mut f = EndpointWatch::new(None, late);
    let early = late - TimeDelta::from_micros(3_600_000_000);
    assert_eq!(f.patience(early), TimeDelta::ZERO);
    f.begins(late);
    assert_eq!(f.patience(early), DIAL);
    f.connected(late);
    assert_eq!(f.patience(early), ANSWER);
    f.answered(200, late).expect("answered");
    assert_eq!(f.patience(early), SILENCE);
    assert_eq!(f.ended(late).span, f.patience(early));
}

/// Guards against two bad events that start each other's count anew: then neither is ever passed over.
#[test]
fn events_with_and_without_a_number_are_counted_apart() {
    let mut f = EndpointWatch::new(None, Timestamp::ZERO);
    let asked: Vec<(bool, bool)> = (0..5).map(|_| (f.unreadable(None), f.unreadable(Some(7)))).collect();
    assert_eq!(asked, [(true, true), (true, true), (true, true), (false, false), (false, false)]);
    f.progressed();
    assert!(f.unreadable(None), "after one that could be read it is another");
}
