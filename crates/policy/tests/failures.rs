//! One short test for each failure found, and each part of the ordinary path.
mod common;
use common::*;
use sprucelink_policy::*;

fn count_to(b: &mut Bench, engine: u32, n: usize, outcome: Outcome) -> usize {
    let mut hits = 0;
    for _ in 0..n {
        let (id, out) = b.arrive(0, 0.1, None);
        let to = sent(&out)[0].1;
        b.now = b.now + TimeDelta::from_micros(10_000);
        if to == EngineId(engine) {
            hits += 1;
            b.end(id, 0, outcome);
            b.give(Event::RequestAbandoned { id });
        } else {
            b.end(id, 0, Outcome::Succeeded);
        }
    }
    hits
}

#[test]
fn an_engine_that_fails_at_once_does_not_draw_the_traffic() {
    let mut b = Bench::new(settings(vec![class(Effect::Unsafe)]), 4);
    count_to(&mut b, 2, 80, Outcome::EngineError);
    let hits = count_to(&mut b, 2, 100, Outcome::EngineError);
    assert!(hits <= 5, "{hits} of 100");
}

/// Seen on sockets: a request that no engine could use went out six times, and so did dozens of its kind;
/// little was left of the ration for what a further attempt would have helped.
#[test]
fn two_errors_end_a_request_and_the_second_try_goes_elsewhere() {
    for seed in 0..20 {
        let mut b = Bench::seeded(settings(vec![class(Effect::Safe)]), seed, 3);
        let (id, out) = b.arrive(0, 0.1, None);
        let first = sent(&out)[0].1;
        let again = b.end(id, 0, Outcome::EngineError);
        assert_ne!(sent(&again)[0].1, first);
        let over = b.end(id, 1, Outcome::EngineError);
        assert!(sent(&over).is_empty() && refused(&over, id));
    }
}

#[test]
fn broken_connections_do_not_make_an_engine_cold() {
    let mut b = Bench::new(settings(vec![class(Effect::Unsafe)]), 1);
    for _ in 0..3 {
        let (id, out) = b.arrive(0, 0.1, None);
        assert_eq!(sent(&out).len(), 1);
        b.end(id, 0, Outcome::ConnectionLost);
    }
    b.pass(1.0);
    let out: Vec<Action> = (0..8).flat_map(|_| b.arrive(0, 1.0, None).1).collect();
    assert_eq!(sent(&out).len(), 8, "a cold engine would take 2.88 thread-seconds only");
}

#[test]
fn an_engine_that_refuses_connections_is_left_alone_then_tried_gently() {
    let set = Settings { max_attempts: 1, ..settings(vec![class(Effect::Safe)]) };
    let mut b = Bench::new(set, 3);
    let mut last = None;
    for _ in 0..40 {
        let (id, out) = b.arrive(0, 0.1, None);
        let to = sent(&out)[0].1;
        let outcome = if to == EngineId(0) { Outcome::ConnectFailed } else { Outcome::Succeeded };
        b.end(id, 0, outcome);
        last = if to == EngineId(0) { Some(b.now) } else { last };
        b.now = b.now + TimeDelta::from_micros(5_000);
    }
    let last = last.expect("it was tried once at least");
    assert!(b.now - last > TimeDelta::from_micros(100_000), "no send within its rest");
}

#[test]
fn a_silent_engine_gets_a_trickle() {
    let mut b = Bench::new(settings(vec![class(Effect::Safe)]), 3);
    let mut late_hits = 0;
    for i in 0..300 {
        let (id, out) = b.arrive(0, 0.1, None);
        let to = sent(&out).first().map(|s| s.1);
        if to.is_some_and(|e| e != EngineId(1)) {
            b.end(id, 0, Outcome::Succeeded);
        } else if i >= 150 {
            late_hits += 1;
        }
        b.pass(0.02);
    }
    // Three seconds: by load alone it would keep filling up to its room.
    assert!(late_hits <= 4, "{late_hits} sends");
}

/// The level that a single query is last given in 1.9 of its wanted 2 s, by a gateway among so many.
fn raised_to(gateways: u32) -> Option<u8> {
    let mut b = Bench::new(Settings { gateways, ..settings(vec![class(Effect::Safe)]) }, 4);
    let (id, _) = b.arrive(0, 0.5, None);
    let mut terms = b.pass(1.9).into_iter().filter_map(|a| match a {
        Action::SetExecutionTerms { id: i, level, .. } if i == id => Some(level.0),
        _ => None,
    });
    terms.next_back()
}

#[test]
fn running_work_is_raised_as_its_wanted_time_runs_out_by_who_sees_the_load() {
    assert_eq!(raised_to(1), Some(2));
    assert_eq!(raised_to(200), None, "in a jam that it cannot see, levels would say nothing");
}

#[test]
fn a_bad_plan_is_redone() {
    let mut b = Bench::new(settings(vec![class(Effect::Safe)]), 3);
    let (id, out) = b.arrive(0, 1.0, None);
    let first = sent(&out)[0].1;
    b.pass(1.0);
    let out = b.give(Event::ProgressReported { id, attempt: 0, note: ProgressNote::Progress(0.5) });
    assert!(out.is_empty(), "half done is fine");
    b.pass(0.5);
    let out = b.give(Event::ProgressReported { id, attempt: 0, note: ProgressNote::Progress(0.05) });
    assert_eq!(out, vec![Action::Cancel { id, attempt: 0 }]);
    let out = b.end(id, 0, Outcome::Cancelled);
    assert!(sent(&out).len() == 1 && sent(&out)[0].1 != first, "elsewhere, once the first has ended");
}

#[test]
fn when_every_engine_looks_bad_service_goes_on() {
    let set = Settings { max_attempts: 1, ..settings(vec![class(Effect::Safe)]) };
    let mut b = Bench::new(set, 3);
    let mut out = Vec::new();
    for _ in 0..60 {
        let (id, sends) = b.arrive(0, 0.05, None);
        out = sends;
        b.end(id, 0, Outcome::EngineError);
        b.now = b.now + TimeDelta::from_micros(10_000);
    }
    assert_eq!(sent(&out).len(), 1);
}

#[test]
fn overload_refuses_at_once() {
    let mut b = Bench::new(settings(vec![class(Effect::Safe)]), 1);
    let mut refusals = 0;
    for _ in 0..200 {
        let (id, out) = b.arrive(0, 0.5, None);
        refusals += usize::from(refused(&out, id));
    }
    assert!(refusals > 100, "{refusals} of 200 at their arrival");
}

#[test]
fn nothing_unknown_disturbs() {
    let mut b = Bench::new(settings(vec![class(Effect::Safe)]), 1);
    let id = RequestId(999);
    assert!(b.end(id, 0, Outcome::Succeeded).is_empty());
    assert!(b.give(Event::RequestAbandoned { id }).is_empty());
    assert!(b.give(Event::ProgressReported { id, attempt: 3, note: ProgressNote::Progress(0.1) }).is_empty());
    let (engine, report) = (EngineId(77), LoadReport::default());
    assert!(b.give(Event::ProbeCompleted { engine, outcome: Outcome::ConnectFailed, report }).is_empty());
    let (id, out) = b.arrive(0, 0.1, None);
    assert_eq!(sent(&out).len(), 1);
    assert!(b.end(id, 5, Outcome::EngineError).is_empty(), "no such attempt");
    b.end(id, 0, Outcome::Succeeded);
    assert!(b.end(id, 0, Outcome::Succeeded).is_empty(), "already finished");
}

#[test]
fn same_events_same_actions() {
    let run = || {
        let mut b = Bench::new(settings(vec![class(Effect::Safe)]), 5);
        let mut all = Vec::new();
        for i in 0..100 {
            let (id, out) = b.arrive(0, 0.1, None);
            all.extend(out);
            if i % 3 != 0 {
                all.extend(b.end(id, 0, Outcome::Succeeded));
            }
            all.extend(b.pass(0.02));
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn a_held_query_is_refused_while_its_answer_could_just_be_late() {
    let mut b = Bench::new(settings(vec![class(Effect::Safe)]), 1);
    let mut held = Vec::new();
    for _ in 0..60 {
        let (id, out) = b.arrive(0, 0.2, None);
        if sent(&out).is_empty() && !refused(&out, id) {
            held.push(id);
        }
    }
    assert!(!held.is_empty(), "some are held");
    // Wanted within 1.4 s: with nothing to spare_retries they would be kept until 1.2 s had gone.
    let out = b.pass(1.0);
    assert!(held.iter().all(|id| refused(&out, *id)));
}

#[test]
fn an_impatient_client_is_planned_for() {
    let mut b = Bench::new(settings(vec![class(Effect::Safe)]), 1);
    for _ in 0..20 {
        b.arrive(0, 0.2, None);
    }
    let id = RequestId(5000);
    let time_left = TimeDelta::from_secs_f64(0.3);
    let (class, cost, key) = (ClassId(0), Some(0.2), None);
    let a = Arrival { id, class, tenant: 0, tables: 1, time_left, cost, memory_mb: None, key };
    let out = b.give(Event::RequestArrived(a));
    assert!(refused(&out, id) || refused(&b.pass(0.04), id), "no answer would reach it in time");
}

#[test]
fn loads_on_one_group_of_tables_go_to_different_engines() {
    let load = ClassSettings { loads_tables: true, threads: 2.0, ..class(Effect::Unsafe) };
    let mut b = Bench::new(settings(vec![load]), 4);
    let out: Vec<Action> = (0..4).flat_map(|_| b.arrive(0, 0.5, None).1).collect();
    let mut engines: Vec<EngineId> = sent(&out).iter().map(|s| s.1).collect();
    engines.sort();
    engines.dedup();
    assert_eq!(engines.len(), 4, "one would stand still behind the other");
}

/// A gateway among hundreds: one told "full" by an engine leaves it alone, though it has nothing of its own there.
#[test]
fn an_engine_that_is_full_is_left_alone_by_a_gateway_with_nothing_there() {
    let set = Settings { gateways: 200, ..settings(vec![class(Effect::Safe)]) };
    let mut b = Bench::new(set, 3);
    let (id, out) = b.arrive(0, 0.1, None);
    let full = sent(&out)[0].1;
    let mut out = b.end(id, 0, Outcome::RejectedByEngine);
    b.end(id, 1, Outcome::Succeeded);
    b.pass(0.2);
    for _ in 0..10 {
        let (id, actions) = b.arrive(0, 0.1, None);
        out.extend(actions);
        b.end(id, 0, Outcome::Succeeded);
    }
    assert_eq!(sent(&out).len(), 11);
    assert!(sent(&out).iter().all(|s| s.1 != full), "{full:?} has four threads a core");
}

/// Seen on a fleet of 100 managers and 30 engines: each had thirteen threads out where its share was 3.6 cores,
/// none of them knew that 100 threads stood on an engine of 12 cores, and nothing came back for ten seconds.
#[test]
fn gateways_that_hear_nothing_of_engines_do_not_jam_them_together() {
    let set = Settings { gateways: 100, reports_load: true, ..settings(vec![class(Effect::Safe)]) };
    let (mut b, mut out) = (Bench::new(set, 30), Vec::new());
    for _ in 0..40 {
        out.extend(b.arrive(0, 0.1, None).1);
    }
    let (n, threads) = (sent(&out).len(), 100.0 * sent(&out).len() as f64);
    assert!((3..=8).contains(&n), "{n} out");
    assert!(threads <= 4.0 * 30.0 * 8.0, "{threads} of all gateways on 240 cores");
    // What one engine told just now counts for more than the share.
    let (first, engine) = sent(&out)[0];
    let further: Vec<EngineId> = sent(&b.served(first, 0.0)).iter().map(|s| s.1).collect();
    assert!(further.len() > 1 && further[1..].iter().all(|e| *e == engine), "{further:?}");
}

/// Seen on a fleet of 100 managers: engines that were jammed answered nothing, so reported nothing, and each
/// manager went on taking them for average ones.
#[test]
fn an_overdue_attempt_is_news_of_load_where_none_was_heard_of_late() {
    let set = settings(vec![class(Effect::Unsafe)]);
    let set = Settings { gateways: 100, reports_load: true, kind_cores: vec![800.0], ..set };
    let mut b = Bench::new(set, 3);
    let (_, out) = b.arrive(0, 0.1, None);
    let jammed = sent(&out)[0].1;
    let before = b.policy.engine_view(jammed).expect("it is known").utilisation;
    b.pass(1.0);
    let after = b.policy.engine_view(jammed).expect("it is known").utilisation;
    assert!(before < 1.0 && after > 3.0, "{before} threads a core, then {after}");
    let (quick, out) = b.arrive(0, 0.1, None);
    let other = sent(&out)[0].1;
    assert_ne!(other, jammed);
    // An engine that told of itself just now is believed, whatever its last attempt takes.
    b.served(quick, 0.0);
    let told = b.policy.engine_view(other).expect("it is known").utilisation;
    assert!(told < 1.0, "{told}");
}

/// A zone of three engines (0 to 2) that says nothing and another (3 to 5) that serves: the queries of 0.1 s
/// that come for `secs`, one every 50 ms, and where they go.
fn with_a_mute_zone(b: &mut Bench, secs: f64) -> Vec<(Timestamp, u32)> {
    let (mut went, end) = (Vec::new(), b.now + TimeDelta::from_secs_f64(secs));
    while b.now < end {
        let mut out = b.arrive(0, 0.1, None).1;
        out.extend(b.pass(0.06));
        while let Some((id, to)) = sent(&out).first().copied() {
            let number =
                out.iter().filter(|a| matches!(a, Action::ForwardAttempt { id: i, .. } if *i == id)).count();
            assert_eq!(number, 1);
            went.push((b.now, to.0));
            out.retain(|a| !matches!(a, Action::ForwardAttempt { id: i, .. } if *i == id));
            if to.0 >= 3 {
                out.extend(b.served(id, 1.0));
            }
        }
    }
    went
}

/// Seen when a zone was lost under 61 managers: each learned engine by engine, for five seconds, at the price
/// of an attempt or two for every one of seventeen.
#[test]
fn two_mute_engines_and_no_word_tell_of_a_zone_cut_off() {
    let mut set = settings(vec![class(Effect::Unsafe)]);
    (set.gateways, set.reports_load, set.progress_interval) = (100, true, TimeDelta::from_secs_f64(0.4));
    let mut b = Bench::new(Settings { kind_cores: vec![800.0], ..set }, 0);
    let zoned = |n: u32| EngineEntry { zone: n / 3, ..entry(n) };
    b.list(EndpointUpdate::Remembered, (0..6).map(zoned).collect());
    let went = with_a_mute_zone(&mut b, 3.0);
    let start = went[0].0;
    let mute = |from: f64| went.iter().filter(|w| w.1 < 3 && (w.0 - start).as_secs_f64() >= from).count();
    assert!(mute(0.0) >= 2, "two attempts told of it");
    assert!(mute(1.5) <= 2, "{} after it was known, one a second in the whole zone", mute(1.5));
    let ejected = |b: &Bench| (0..3).filter(|n| b.policy.engine_view(EngineId(*n)).unwrap().ejected).count();
    assert_eq!(ejected(&b), 3, "the one that got nothing, too");
    // One that is back, by the list, is enough to try the zone again.
    b.now = b.now + TimeDelta::from_micros(20_000);
    let since = Some(b.now);
    b.list(EndpointUpdate::Changes, vec![EngineEntry { since, ..zoned(0) }]);
    b.pass(0.02);
    assert!(!b.policy.engine_view(EngineId(0)).unwrap().ejected);
}

/// Sends of 200 light queries, each served before the next: how many go to zone 0, and to how many engines.
fn spread(set: Settings, in_hand: f64) -> (usize, usize) {
    let mut b = Bench::new(Settings { gateways: 40, reports_load: true, ..set }, 0);
    let zoned = |n: u32| EngineEntry { zone: n % 2, ..entry(n) };
    b.list(EndpointUpdate::Remembered, (0..20).map(zoned).collect());
    let mut went = Vec::new();
    for _ in 0..200 {
        let (id, out) = b.arrive(0, 0.05, None);
        went.push(sent(&out)[0].1 .0);
        let home = went.last().is_some_and(|n| n % 2 == 0);
        b.served(id, if home { in_hand } else { 0.0 });
        b.now = b.now + TimeDelta::from_micros(1_000);
    }
    let home = went.iter().filter(|n| **n % 2 == 0).count();
    went.sort_unstable();
    went.dedup();
    (home, went.len())
}

/// Seen on a fleet of 100 managers: half of all sends crossed zones and each manager had a connection to every
/// engine, at 0.02 and 0.03 of the service, though the settings told what both cost.
#[test]
fn the_draw_weighs_what_other_zones_and_new_connections_cost() {
    let told = settings(vec![class(Effect::Safe)]);
    let told = Settings { zone: Some(0), idle_timeout: TimeDelta::from_secs_f64(15.0), ..told };
    let (home, engines) = spread(told.clone(), 0.0);
    assert!((70..130).contains(&home) && engines == 20, "no price: {home} at home on {engines}");
    let crossing = Settings { cross_zone_price: 0.04, ..told.clone() };
    assert!(spread(crossing.clone(), 0.0).0 > 140, "{:?}", spread(crossing.clone(), 0.0));
    let linking = Settings { handshake_price: 0.08, ..told };
    assert!(spread(linking.clone(), 0.0).1 < 16, "{:?}", spread(linking, 0.0));
    // Load outweighs the price: five queries in hand on an engine of eight cores.
    assert!(spread(crossing.clone(), 5.0).0 < 120, "{:?}", spread(crossing, 5.0));
}

/// A manager of hundreds, with an eighth of a core to its share: what is heavier than that still goes out, one
/// at a time, and what is light after it.
#[test]
fn a_share_under_one_thread_serves_one_query_at_a_time() {
    let heavy = ClassSettings { threads: 3.0, ..class(Effect::Safe) };
    let set = Settings { gateways: 200, ..settings(vec![class(Effect::Safe), heavy]) };
    let mut b = Bench::new(set, 3);
    let (first, out) = b.arrive(1, 0.3, None);
    assert_eq!(sent(&out).len(), 1);
    let (second, out) = b.arrive(0, 0.05, None);
    assert!(sent(&out).is_empty() && !refused(&out, second));
    assert_eq!(sent(&b.end(first, 0, Outcome::Succeeded))[0].0, second);
}

/// What was heard of an engine once neither repels nor draws for good.
#[test]
fn old_news_of_a_full_engine_fades() {
    let set = Settings { gateways: 200, ..settings(vec![class(Effect::Safe)]) };
    let mut b = Bench::new(set, 2);
    let (id, out) = b.arrive(0, 0.1, None);
    let full = sent(&out)[0].1;
    b.end(id, 0, Outcome::RejectedByEngine);
    b.end(id, 1, Outcome::Succeeded);
    b.pass(30.0);
    let mut back = 0;
    for _ in 0..40 {
        let (id, out) = b.arrive(0, 0.1, None);
        back += usize::from(sent(&out)[0].1 == full);
        b.end(id, 0, Outcome::Succeeded);
    }
    assert!(back >= 8, "{back} of 40 on one of two engines");
}

/// With hundreds of gateways a tenant's share is under one request a second here: chance bunches are within it.
#[test]
fn a_tenant_within_its_share_keeps_its_worth_when_requests_come_in_bunches() {
    let tenants = vec![TenantSettings { quota_per_s: 100.0 }];
    let long = TimeDelta::from_secs_f64(60.0);
    let patient = ClassSettings { latency_objective: long, deadline: long, ..class(Effect::Safe) };
    let set = Settings {
        gateways: 200,
        tenants,
        over_quota_value_factor: 0.0,
        cancel: false,
        ..settings(vec![patient])
    };
    let mut b = Bench::new(set, 1);
    b.patience = 60.0;
    let ids: Vec<RequestId> = (0..10).map(|_| b.arrive(0, 0.5, None).0).collect();
    b.pass(0.98);
    b.end(ids[0], 0, Outcome::Succeeded);
    // The engine is full and a toll is set: what is value nothing is refused from here on.
    b.pass(12.0);
    let bunch: Vec<_> = (0..5).map(|_| b.arrive(0, 0.5, None)).collect();
    assert!(bunch.iter().all(|(id, out)| !refused(out, *id)), "five after twelve quiet seconds");
    let more: Vec<_> = (0..5).map(|_| b.arrive(0, 0.5, None)).collect();
    assert!(more.iter().any(|(id, out)| refused(out, *id)), "ten at once are beyond it");
}

#[test]
fn a_malformed_peer_message_is_ignored() {
    let mut b = Bench::new(Settings { peers: true, ..settings(vec![class(Effect::Safe)]) }, 1);
    for message in [vec![], vec![255; 3], vec![7; 256]] {
        assert!(b.give(Event::PeerMessageReceived { from: 9, message }).is_empty());
    }
    assert_eq!(sent(&b.arrive(0, 0.1, None).1).len(), 1);
}

/// No notes, estimates off by class: half of the answers spilled for want of memory, for the grant only fell.
#[test]
fn grants_follow_the_memory_that_answers_tell() {
    let mut set = settings(vec![class(Effect::Safe)]);
    set.grants = true;
    for (told, short) in
        [(200.0, MemoryShort::Shrinks), (50.0, MemoryShort::Waits), (50.0, MemoryShort::Pages)]
    {
        let mut b = Bench::new(Settings { memory_short: short, ..set.clone() }, 3);
        let mut grants = Vec::new();
        for _ in 0..40 {
            let (id, out) = b.arrive(0, 0.05, None);
            grants.extend(out.iter().filter_map(|a| match a {
                Action::SetExecutionTerms { grant_mb, .. } => *grant_mb,
                _ => None,
            }));
            b.now = b.now + TimeDelta::from_secs_f64(0.1);
            let (latency, report) = (TimeDelta::from_secs_f64(0.1), LoadReport::default());
            let query_cost = Some(QueryCost { work: 0.05, memory_mb: told });
            let (attempt, outcome, complete) = (0, Outcome::Succeeded, true);
            b.give(Event::AttemptEnded { id, attempt, outcome, latency, complete, query_cost, report });
        }
        let last = *grants.last().expect("a grant");
        assert!(last >= told && last < 1.5 * told, "{last} MB for a need of {told}");
    }
}

fn probed(actions: &[Action]) -> Vec<EngineId> {
    let pick = |a: &Action| match a {
        Action::Probe { engine } => Some(*engine),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

/// A gateway with little traffic filled engines that were full already: it had heard of none of them.
#[test]
fn a_heavy_query_goes_to_an_engine_that_a_probe_found_free() {
    let mut b = Bench::new(many_gateways_with_probes(), 12);
    b.warm_up();
    let (id, out) = b.arrive(1, 2.0, None);
    let asked = probed(&out);
    assert_eq!((asked.len(), sent(&out).len()), (2, 0), "it asks first");
    for (n, engine) in asked.iter().enumerate() {
        b.probe_told(*engine, if n == 1 { 0.0 } else { 60.0 });
    }
    assert_eq!(sent(&b.pass(0.02)), vec![(id, asked[1])]);
}

/// Two hundred idle gateways put four threads each on engines that were full.
#[test]
fn a_heavy_query_waits_while_all_known_engines_are_full() {
    let set = Settings { probes: false, ..many_gateways_with_probes() };
    let mut b = Bench::new(set, 3);
    for _ in 0..60 {
        let (id, _) = b.arrive(0, 0.05, None);
        b.served(id, 60.0);
    }
    assert!(sent(&b.arrive(1, 0.2, None).1).is_empty(), "four threads find no room");
    assert_eq!(sent(&b.arrive(0, 0.05, None).1).len(), 1, "one thread does");
}

/// An engine that hangs or jams answers no probe, and counted as one of usual load.
#[test]
fn a_probe_without_answer_marks_the_engine_as_full() {
    let mut b = Bench::new(many_gateways_with_probes(), 4);
    b.warm_up();
    let (_, out) = b.arrive(1, 2.0, None);
    for engine in probed(&out) {
        b.give(Event::ProbeCompleted { engine, outcome: Outcome::TimedOut, report: LoadReport::default() });
    }
    assert!(sent(&b.pass(0.1)).is_empty(), "no engine is known to have room");
}

/// Successors looked idle to all gateways when their warm-up ended, and each sent its heavy queries there.
#[test]
fn an_engine_that_looks_idle_is_not_filled_by_all_gateways_at_once() {
    let set = Settings { probes: false, ..many_gateways_with_probes() };
    let mut hits = 0;
    for seed in 0..60 {
        let mut b = Bench::seeded(set.clone(), seed, 30);
        for _ in 0..200 {
            let (id, out) = b.arrive(0, 0.05, None);
            let idle = sent(&out)[0].1 == EngineId(7);
            b.served(id, if idle { 0.0 } else { 9.0 });
        }
        hits += sent(&b.arrive(1, 0.2, None).1).iter().filter(|s| s.1 == EngineId(7)).count();
    }
    assert!((1..20).contains(&hits), "{hits} of 60 gateways chose the idle one at the same moment");
}

/// Each gateway's lot let few heavy queries into a successor, and the draw of a few engines missed it besides.
#[test]
fn a_cold_engine_that_lets_a_gateway_in_is_among_its_few() {
    let set = Settings { probes: false, gateways: 30, ..many_gateways_with_probes() };
    let mut hits = 0;
    for seed in 0..200 {
        let mut b = Bench::seeded(set.clone(), seed, 30);
        b.pass(4.0);
        b.list(EndpointUpdate::Changes, vec![EngineEntry { since: Some(b.now), ..entry(30) }]);
        b.pass(8.0);
        // All others are full.
        for n in 0..31 {
            b.probe_told(EngineId(n), if n < 30 { 60.0 } else { 0.0 });
        }
        hits += sent(&b.arrive(1, 0.3, None).1).iter().filter(|s| s.1 == EngineId(30)).count();
    }
    assert!(hits > 50, "{hits} of 200 gateways used the successor");
}
