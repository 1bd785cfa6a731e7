//! One test for each failure that was found, and each part of the ordinary path.
mod common;
use common::*;
use sprucelink_policy::*;

fn attempts_on(manager: &mut TestManager, engine: u32, n: usize, outcome: Outcome) -> usize {
    let mut hits = 0;
    for _ in 0..n {
        let (id, out) = manager.submit(0, 0.1, None);
        let to = forwarded(&out)[0].1;
        manager.now = manager.now + TimeDelta::from_micros(10_000);
        if to == EngineId(engine) {
            hits += 1;
            manager.end_attempt(id, 0, outcome);
            manager.handle(Event::RequestAbandoned { id });
        } else {
            manager.end_attempt(id, 0, Outcome::Succeeded);
        }
    }
    hits
}

#[test]
fn engine_that_fails_at_once_does_not_attract_traffic() {
    let mut manager = TestManager::new(settings(vec![class(Effect::Unsafe)]), 4);
    attempts_on(&mut manager, 2, 80, Outcome::EngineError);
    let hits = attempts_on(&mut manager, 2, 100, Outcome::EngineError);
    assert!(hits <= 5, "{hits} of 100");
}

/// A request that no engine could execute had six attempts, as had dozens of its kind: little was left of the retry
/// budget for requests that a retry would have helped.
#[test]
fn request_ends_after_engine_errors_on_two_engines() {
    for seed in 0..20 {
        let mut manager = TestManager::seeded(settings(vec![class(Effect::Safe)]), seed, 3);
        let (id, out) = manager.submit(0, 0.1, None);
        let first = forwarded(&out)[0].1;
        let again = manager.end_attempt(id, 0, Outcome::EngineError);
        assert_ne!(forwarded(&again)[0].1, first);
        let over = manager.end_attempt(id, 1, Outcome::EngineError);
        assert!(forwarded(&over).is_empty() && is_rejected(&over, id));
    }
}

#[test]
fn broken_connections_do_not_restart_slow_start() {
    let mut manager = TestManager::new(settings(vec![class(Effect::Unsafe)]), 1);
    for _ in 0..3 {
        let (id, out) = manager.submit(0, 0.1, None);
        assert_eq!(forwarded(&out).len(), 1);
        manager.end_attempt(id, 0, Outcome::ConnectionLost);
    }
    manager.advance(1.0);
    let out: Vec<Action> = (0..8).flat_map(|_| manager.submit(0, 1.0, None).1).collect();
    assert_eq!(forwarded(&out).len(), 8, "in slow start it would get 2.88 thread-seconds only");
}

#[test]
fn engine_that_refuses_connections_is_backed_off_from() {
    let set = Settings { max_attempts: 1, ..settings(vec![class(Effect::Safe)]) };
    let mut manager = TestManager::new(set, 3);
    let mut last = None;
    for _ in 0..40 {
        let (id, out) = manager.submit(0, 0.1, None);
        let to = forwarded(&out)[0].1;
        let outcome = if to == EngineId(0) { Outcome::ConnectFailed } else { Outcome::Succeeded };
        manager.end_attempt(id, 0, outcome);
        last = if to == EngineId(0) { Some(manager.now) } else { last };
        manager.now = manager.now + TimeDelta::from_micros(5_000);
    }
    let last = last.expect("it was tried once at least");
    assert!(manager.now - last > TimeDelta::from_micros(100_000), "nothing is sent within its backoff");
}

#[test]
fn unresponsive_engine_gets_trials_only() {
    let mut manager = TestManager::new(settings(vec![class(Effect::Safe)]), 3);
    let mut late_hits = 0;
    for i in 0..300 {
        let (id, out) = manager.submit(0, 0.1, None);
        let to = forwarded(&out).first().map(|s| s.1);
        if to.is_some_and(|e| e != EngineId(1)) {
            manager.end_attempt(id, 0, Outcome::Succeeded);
        } else if i >= 150 {
            late_hits += 1;
        }
        manager.advance(0.02);
    }
    // For three seconds: by its estimated load alone it would be filled up.
    assert!(late_hits <= 4, "{late_hits} sends");
}

/// The level that a single query is last given in 1.9 s of its objective of 2 s, by one of so many managers.
fn last_level_given(gateways: u32) -> Option<u8> {
    let mut manager = TestManager::new(Settings { gateways, ..settings(vec![class(Effect::Safe)]) }, 4);
    let (id, _) = manager.submit(0, 0.5, None);
    let mut terms = manager.advance(1.9).into_iter().filter_map(|a| match a {
        Action::SetExecutionTerms { id: i, level, .. } if i == id => Some(level.0),
        _ => None,
    });
    terms.next_back()
}

#[test]
fn level_of_a_running_request_rises_with_its_age_if_load_is_visible() {
    assert_eq!(last_level_given(1), Some(2));
    assert_eq!(
        last_level_given(200),
        None,
        "in an overload that it cannot see, raised levels would order nothing"
    );
}

#[test]
fn attempt_with_slow_progress_is_cancelled_and_retried_elsewhere() {
    let mut manager = TestManager::new(settings(vec![class(Effect::Safe)]), 3);
    let (id, out) = manager.submit(0, 1.0, None);
    let first = forwarded(&out)[0].1;
    manager.advance(1.0);
    let out = manager.handle(Event::ProgressReported { id, attempt: 0, note: ProgressNote::Progress(0.5) });
    assert!(out.is_empty(), "half done is fine");
    manager.advance(0.5);
    let out = manager.handle(Event::ProgressReported { id, attempt: 0, note: ProgressNote::Progress(0.05) });
    assert_eq!(out, vec![Action::Cancel { id, attempt: 0 }]);
    let out = manager.end_attempt(id, 0, Outcome::Cancelled);
    assert!(
        forwarded(&out).len() == 1 && forwarded(&out)[0].1 != first,
        "elsewhere, once the first has ended"
    );
}

#[test]
fn requests_are_forwarded_when_every_engine_is_ejected() {
    let set = Settings { max_attempts: 1, ..settings(vec![class(Effect::Safe)]) };
    let mut manager = TestManager::new(set, 3);
    let mut out = Vec::new();
    for _ in 0..60 {
        let (id, sends) = manager.submit(0, 0.05, None);
        out = sends;
        manager.end_attempt(id, 0, Outcome::EngineError);
        manager.now = manager.now + TimeDelta::from_micros(10_000);
    }
    assert_eq!(forwarded(&out).len(), 1);
}

#[test]
fn requests_are_rejected_on_arrival_under_overload() {
    let mut manager = TestManager::new(settings(vec![class(Effect::Safe)]), 1);
    let mut refusals = 0;
    for _ in 0..200 {
        let (id, out) = manager.submit(0, 0.5, None);
        refusals += usize::from(is_rejected(&out, id));
    }
    assert!(refusals > 100, "{refusals} of 200 at their arrival");
}

#[test]
fn events_for_unknown_requests_and_engines_are_ignored() {
    let mut manager = TestManager::new(settings(vec![class(Effect::Safe)]), 1);
    let id = RequestId(999);
    assert!(manager.end_attempt(id, 0, Outcome::Succeeded).is_empty());
    assert!(manager.handle(Event::RequestAbandoned { id }).is_empty());
    assert!(manager
        .handle(Event::ProgressReported { id, attempt: 3, note: ProgressNote::Progress(0.1) })
        .is_empty());
    let (engine, report) = (EngineId(77), LoadReport::default());
    assert!(manager
        .handle(Event::ProbeCompleted { engine, outcome: Outcome::ConnectFailed, report })
        .is_empty());
    let (id, out) = manager.submit(0, 0.1, None);
    assert_eq!(forwarded(&out).len(), 1);
    assert!(manager.end_attempt(id, 5, Outcome::EngineError).is_empty(), "no such attempt");
    manager.end_attempt(id, 0, Outcome::Succeeded);
    assert!(manager.end_attempt(id, 0, Outcome::Succeeded).is_empty(), "already finished");
}

#[test]
fn same_events_give_the_same_actions() {
    let run = || {
        let mut manager = TestManager::new(settings(vec![class(Effect::Safe)]), 5);
        let mut all = Vec::new();
        for i in 0..100 {
            let (id, out) = manager.submit(0, 0.1, None);
            all.extend(out);
            if i % 3 != 0 {
                all.extend(manager.end_attempt(id, 0, Outcome::Succeeded));
            }
            all.extend(manager.advance(0.02));
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn queued_request_is_rejected_once_its_answer_would_be_late() {
    let mut manager = TestManager::new(settings(vec![class(Effect::Safe)]), 1);
    let mut held = Vec::new();
    for _ in 0..60 {
        let (id, out) = manager.submit(0, 0.2, None);
        if forwarded(&out).is_empty() && !is_rejected(&out, id) {
            held.push(id);
        }
    }
    assert!(!held.is_empty(), "some are held");
    // Their objective is 1.4 s: without a margin they would stay queued until 1.2 s had passed.
    let out = manager.advance(1.0);
    assert!(held.iter().all(|id| is_rejected(&out, *id)));
}

#[test]
fn request_with_a_short_deadline_is_rejected_in_time() {
    let mut manager = TestManager::new(settings(vec![class(Effect::Safe)]), 1);
    for _ in 0..20 {
        manager.submit(0, 0.2, None);
    }
    let id = RequestId(5000);
    let time_left = TimeDelta::from_secs_f64(0.3);
    let (class, cost, key) = (ClassId(0), Some(0.2), None);
    let a = Arrival { id, class, tenant: 0, tables: 1, time_left, cost, memory_mb: None, key };
    let out = manager.handle(Event::RequestArrived(a));
    assert!(
        is_rejected(&out, id) || is_rejected(&manager.advance(0.04), id),
        "no answer would reach it in time"
    );
}

#[test]
fn loads_of_one_table_group_go_to_different_engines() {
    let load = ClassSettings { loads_tables: true, threads: 2.0, ..class(Effect::Unsafe) };
    let mut manager = TestManager::new(settings(vec![load]), 4);
    let out: Vec<Action> = (0..4).flat_map(|_| manager.submit(0, 0.5, None).1).collect();
    let mut engines: Vec<EngineId> = forwarded(&out).iter().map(|s| s.1).collect();
    engines.sort();
    engines.dedup();
    assert_eq!(engines.len(), 4, "one would wait for the lock of the other");
}

/// One of hundreds of managers: an engine rejects its request, and it sends none there although it has no attempt there.
#[test]
fn full_engine_is_avoided_by_a_manager_without_attempts_there() {
    let set = Settings { gateways: 200, ..settings(vec![class(Effect::Safe)]) };
    let mut manager = TestManager::new(set, 3);
    let (id, out) = manager.submit(0, 0.1, None);
    let full = forwarded(&out)[0].1;
    let mut out = manager.end_attempt(id, 0, Outcome::RejectedByEngine);
    manager.end_attempt(id, 1, Outcome::Succeeded);
    manager.advance(0.2);
    for _ in 0..10 {
        let (id, actions) = manager.submit(0, 0.1, None);
        out.extend(actions);
        manager.end_attempt(id, 0, Outcome::Succeeded);
    }
    assert_eq!(forwarded(&out).len(), 11);
    assert!(forwarded(&out).iter().all(|s| s.1 != full), "{full:?} has four threads a core");
}

/// In a fleet of 100 managers and 30 engines each had thirteen threads in flight where its share was 3.6 cores: none
/// knew that an engine of 12 cores had 100 threads, and nothing was answered for ten seconds.
#[test]
fn managers_without_load_reports_do_not_overload_engines_together() {
    let set = Settings { gateways: 100, reports_load: true, ..settings(vec![class(Effect::Safe)]) };
    let (mut manager, mut out) = (TestManager::new(set, 30), Vec::new());
    for _ in 0..40 {
        out.extend(manager.submit(0, 0.1, None).1);
    }
    let (n, threads) = (forwarded(&out).len(), 100.0 * forwarded(&out).len() as f64);
    assert!((3..=8).contains(&n), "{n} in flight");
    assert!(threads <= 4.0 * 30.0 * 8.0, "{threads} of all managers on 240 cores");
    // A fresh load report counts for more than the share.
    let (first, engine) = forwarded(&out)[0];
    let further: Vec<EngineId> = forwarded(&manager.succeed(first, 0.0)).iter().map(|s| s.1).collect();
    assert!(further.len() > 1 && further[1..].iter().all(|e| *e == engine), "{further:?}");
}

/// In a fleet of 100 managers overloaded engines answered nothing, so reported nothing, and each manager went on to
/// estimate their load as mean.
#[test]
fn overdue_attempt_marks_an_engine_full_unless_it_reported_lately() {
    let set = settings(vec![class(Effect::Unsafe)]);
    let set = Settings { gateways: 100, reports_load: true, kind_cores: vec![800.0], ..set };
    let mut manager = TestManager::new(set, 3);
    let (_, out) = manager.submit(0, 0.1, None);
    let jammed = forwarded(&out)[0].1;
    let before = manager.policy.engine_view(jammed).expect("it is known").utilisation;
    manager.advance(1.0);
    let after = manager.policy.engine_view(jammed).expect("it is known").utilisation;
    assert!(before < 1.0 && after > 3.0, "{before} threads a core, then {after}");
    let (quick, out) = manager.submit(0, 0.1, None);
    let other = forwarded(&out)[0].1;
    assert_ne!(other, jammed);
    // A fresh load report counts, however long the last attempt takes.
    manager.succeed(quick, 0.0);
    let told = manager.policy.engine_view(other).expect("it is known").utilisation;
    assert!(told < 1.0, "{told}");
}

/// A zone of three engines (0 to 2) that answer nothing and another (3 to 5) whose engines answer: queries of 0.1 s come
/// for `secs`, one every 60 ms; when and where they are forwarded.
fn serve_beside_a_silent_zone(manager: &mut TestManager, secs: f64) -> Vec<(Timestamp, u32)> {
    let (mut went, end) = (Vec::new(), manager.now + TimeDelta::from_secs_f64(secs));
    while manager.now < end {
        let mut out = manager.submit(0, 0.1, None).1;
        out.extend(manager.advance(0.06));
        while let Some((id, to)) = forwarded(&out).first().copied() {
            let number =
                out.iter().filter(|a| matches!(a, Action::ForwardAttempt { id: i, .. } if *i == id)).count();
            assert_eq!(number, 1);
            went.push((manager.now, to.0));
            out.retain(|a| !matches!(a, Action::ForwardAttempt { id: i, .. } if *i == id));
            if to.0 >= 3 {
                out.extend(manager.succeed(id, 1.0));
            }
        }
    }
    went
}

/// When a zone was lost under 61 managers, each learned it engine by engine for five seconds, at the price of an attempt
/// or two on each of seventeen.
#[test]
fn zone_is_unreachable_once_two_of_its_engines_are_silent() {
    let mut set = settings(vec![class(Effect::Unsafe)]);
    (set.gateways, set.reports_load, set.progress_interval) = (100, true, TimeDelta::from_secs_f64(0.4));
    let mut manager = TestManager::new(Settings { kind_cores: vec![800.0], ..set }, 0);
    let zoned = |n: u32| EngineEntry { zone: n / 3, ..entry(n) };
    manager.change_endpoints(EndpointUpdate::Remembered, (0..6).map(zoned).collect());
    let went = serve_beside_a_silent_zone(&mut manager, 3.0);
    let start = went[0].0;
    let mute = |from: f64| went.iter().filter(|w| w.1 < 3 && (w.0 - start).as_secs_f64() >= from).count();
    assert!(mute(0.0) >= 2, "two attempts show it");
    assert!(mute(1.5) <= 2, "{} after it was known, one a second in the whole zone", mute(1.5));
    let ejected = |manager: &TestManager| {
        (0..3).filter(|n| manager.policy.engine_view(EngineId(*n)).unwrap().ejected).count()
    };
    assert_eq!(ejected(&manager), 3, "also the one that was sent nothing");
    // A new process there, by the endpoint list, ends it.
    manager.now = manager.now + TimeDelta::from_micros(20_000);
    let since = Some(manager.now);
    manager.change_endpoints(EndpointUpdate::Changes, vec![EngineEntry { since, ..zoned(0) }]);
    manager.advance(0.02);
    assert!(!manager.policy.engine_view(EngineId(0)).unwrap().ejected);
}

/// Forwards 200 light queries, each answered before the next: how many go to zone 0, and to how many engines.
fn attempts_in_own_zone_and_engines(set: Settings, in_hand: f64) -> (usize, usize) {
    let mut manager = TestManager::new(Settings { gateways: 40, reports_load: true, ..set }, 0);
    let zoned = |n: u32| EngineEntry { zone: n % 2, ..entry(n) };
    manager.change_endpoints(EndpointUpdate::Remembered, (0..20).map(zoned).collect());
    let mut went = Vec::new();
    for _ in 0..200 {
        let (id, out) = manager.submit(0, 0.05, None);
        went.push(forwarded(&out)[0].1 .0);
        let home = went.last().is_some_and(|n| n % 2 == 0);
        manager.succeed(id, if home { in_hand } else { 0.0 });
        manager.now = manager.now + TimeDelta::from_micros(1_000);
    }
    let home = went.iter().filter(|n| **n % 2 == 0).count();
    went.sort_unstable();
    went.dedup();
    (home, went.len())
}

/// In a fleet of 100 managers half of all attempts crossed zones and each manager had a connection to every engine,
/// although the settings have a price for both.
#[test]
fn engine_selection_weighs_cross_zone_and_handshake_prices() {
    let told = settings(vec![class(Effect::Safe)]);
    let told = Settings { zone: Some(0), idle_timeout: TimeDelta::from_secs_f64(15.0), ..told };
    let (home, engines) = attempts_in_own_zone_and_engines(told.clone(), 0.0);
    assert!((70..130).contains(&home) && engines == 20, "no price: {home} at home on {engines}");
    let crossing = Settings { cross_zone_price: 0.04, ..told.clone() };
    assert!(
        attempts_in_own_zone_and_engines(crossing.clone(), 0.0).0 > 140,
        "{:?}",
        attempts_in_own_zone_and_engines(crossing.clone(), 0.0)
    );
    let linking = Settings { handshake_price: 0.08, ..told };
    assert!(
        attempts_in_own_zone_and_engines(linking.clone(), 0.0).1 < 16,
        "{:?}",
        attempts_in_own_zone_and_engines(linking, 0.0)
    );
    // Load outweighs the price: five queries in flight on an engine of eight cores.
    assert!(
        attempts_in_own_zone_and_engines(crossing.clone(), 5.0).0 < 120,
        "{:?}",
        attempts_in_own_zone_and_engines(crossing, 5.0)
    );
}

/// One of hundreds of managers has an eighth of a core as its share: queries heavier than that are still forwarded, one
/// at a time, and light ones after them.
#[test]
fn manager_with_a_share_below_one_core_serves_one_query_at_a_time() {
    let heavy = ClassSettings { threads: 3.0, ..class(Effect::Safe) };
    let set = Settings { gateways: 200, ..settings(vec![class(Effect::Safe), heavy]) };
    let mut manager = TestManager::new(set, 3);
    let (first, out) = manager.submit(1, 0.3, None);
    assert_eq!(forwarded(&out).len(), 1);
    let (second, out) = manager.submit(0, 0.05, None);
    assert!(forwarded(&out).is_empty() && !is_rejected(&out, second));
    assert_eq!(forwarded(&manager.end_attempt(first, 0, Outcome::Succeeded))[0].0, second);
}

/// A load report neither repels nor attracts requests for good.
#[test]
fn old_report_of_a_full_engine_loses_its_weight() {
    let set = Settings { gateways: 200, ..settings(vec![class(Effect::Safe)]) };
    let mut manager = TestManager::new(set, 2);
    let (id, out) = manager.submit(0, 0.1, None);
    let full = forwarded(&out)[0].1;
    manager.end_attempt(id, 0, Outcome::RejectedByEngine);
    manager.end_attempt(id, 1, Outcome::Succeeded);
    manager.advance(30.0);
    let mut back = 0;
    for _ in 0..40 {
        let (id, out) = manager.submit(0, 0.1, None);
        back += usize::from(forwarded(&out)[0].1 == full);
        manager.end_attempt(id, 0, Outcome::Succeeded);
    }
    assert!(back >= 8, "{back} of 40 on one of two engines");
}

/// With hundreds of managers a tenant's quota is below one request a second here: chance bursts are within it.
#[test]
fn burst_within_its_tenants_quota_keeps_its_value() {
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
    let mut manager = TestManager::new(set, 1);
    manager.client_patience_secs = 60.0;
    let ids: Vec<RequestId> = (0..10).map(|_| manager.submit(0, 0.5, None).0).collect();
    manager.advance(0.98);
    manager.end_attempt(ids[0], 0, Outcome::Succeeded);
    // The engine is full and has a price: requests without value are rejected from here on.
    manager.advance(12.0);
    let bunch: Vec<_> = (0..5).map(|_| manager.submit(0, 0.5, None)).collect();
    assert!(bunch.iter().all(|(id, out)| !is_rejected(out, *id)), "five after twelve quiet seconds");
    let more: Vec<_> = (0..5).map(|_| manager.submit(0, 0.5, None)).collect();
    assert!(more.iter().any(|(id, out)| is_rejected(out, *id)), "ten at once are beyond it");
}

#[test]
fn malformed_peer_message_is_ignored() {
    let mut manager = TestManager::new(Settings { peers: true, ..settings(vec![class(Effect::Safe)]) }, 1);
    for message in [vec![], vec![255; 3], vec![7; 256]] {
        assert!(manager.handle(Event::PeerMessageReceived { from: 9, message }).is_empty());
    }
    assert_eq!(forwarded(&manager.submit(0, 0.1, None).1).len(), 1);
}

/// Without progress notes and with estimates wrong for a class, grants only fell, and half of the queries spilled.
#[test]
fn grants_follow_the_memory_that_answers_report() {
    let mut set = settings(vec![class(Effect::Safe)]);
    set.grants = true;
    for (told, short) in
        [(200.0, MemoryShort::Shrinks), (50.0, MemoryShort::Waits), (50.0, MemoryShort::Pages)]
    {
        let mut manager = TestManager::new(Settings { memory_short: short, ..set.clone() }, 3);
        let mut grants = Vec::new();
        for _ in 0..40 {
            let (id, out) = manager.submit(0, 0.05, None);
            grants.extend(out.iter().filter_map(|a| match a {
                Action::SetExecutionTerms { grant_mb, .. } => *grant_mb,
                _ => None,
            }));
            manager.now = manager.now + TimeDelta::from_secs_f64(0.1);
            let (latency, report) = (TimeDelta::from_secs_f64(0.1), LoadReport::default());
            let query_cost = Some(QueryCost { work: 0.05, memory_mb: told });
            let (attempt, outcome, complete) = (0, Outcome::Succeeded, true);
            manager.handle(Event::AttemptEnded {
                id,
                attempt,
                outcome,
                latency,
                complete,
                query_cost,
                report,
            });
        }
        let last = *grants.last().expect("a grant");
        assert!(last >= told && last < 1.5 * told, "{last} MB for a need of {told}");
    }
}

fn probed_engines(actions: &[Action]) -> Vec<EngineId> {
    let pick = |a: &Action| match a {
        Action::Probe { engine } => Some(*engine),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

/// A manager with little traffic sent to full engines: it had no load report of any.
#[test]
fn heavy_query_goes_to_the_engine_that_a_probe_found_idle() {
    let mut manager = TestManager::new(many_managers_with_probes(), 12);
    manager.warm_up();
    let (id, out) = manager.submit(1, 2.0, None);
    let asked = probed_engines(&out);
    assert_eq!((asked.len(), forwarded(&out).len()), (2, 0), "it probes first");
    for (n, engine) in asked.iter().enumerate() {
        manager.complete_probe(*engine, if n == 1 { 0.0 } else { 60.0 });
    }
    assert_eq!(forwarded(&manager.advance(0.02)), vec![(id, asked[1])]);
}

/// Two hundred idle managers put four threads each on full engines.
#[test]
fn heavy_query_waits_while_all_known_engines_are_full() {
    let set = Settings { probes: false, ..many_managers_with_probes() };
    let mut manager = TestManager::new(set, 3);
    for _ in 0..60 {
        let (id, _) = manager.submit(0, 0.05, None);
        manager.succeed(id, 60.0);
    }
    assert!(forwarded(&manager.submit(1, 0.2, None).1).is_empty(), "no engine has capacity for four threads");
    assert_eq!(forwarded(&manager.submit(0, 0.05, None).1).len(), 1, "one has for one thread");
}

/// An engine that hangs or is overloaded answers no probe, and was estimated at the mean load.
#[test]
fn probe_that_times_out_marks_its_engine_full() {
    let mut manager = TestManager::new(many_managers_with_probes(), 4);
    manager.warm_up();
    let (_, out) = manager.submit(1, 2.0, None);
    for engine in probed_engines(&out) {
        manager.handle(Event::ProbeCompleted {
            engine,
            outcome: Outcome::TimedOut,
            report: LoadReport::default(),
        });
    }
    assert!(forwarded(&manager.advance(0.1)).is_empty(), "no engine is known to have capacity");
}

/// Replaced engines looked idle to all managers when their slow start ended, and each sent its heavy queries there.
#[test]
fn idle_engine_is_not_filled_by_all_managers_at_once() {
    let set = Settings { probes: false, ..many_managers_with_probes() };
    let mut hits = 0;
    for seed in 0..60 {
        let mut manager = TestManager::seeded(set.clone(), seed, 30);
        for _ in 0..200 {
            let (id, out) = manager.submit(0, 0.05, None);
            let idle = forwarded(&out)[0].1 == EngineId(7);
            manager.succeed(id, if idle { 0.0 } else { 9.0 });
        }
        hits += forwarded(&manager.submit(1, 0.2, None).1).iter().filter(|s| s.1 == EngineId(7)).count();
    }
    assert!((1..20).contains(&hits), "{hits} of 60 managers chose the idle one at the same moment");
}

/// Few managers were sampled for a starting engine, and of those the candidates of most did not contain it.
#[test]
fn starting_engine_with_budget_is_a_candidate_of_every_manager() {
    let set = Settings { probes: false, gateways: 30, ..many_managers_with_probes() };
    let mut hits = 0;
    for seed in 0..200 {
        let mut manager = TestManager::seeded(set.clone(), seed, 30);
        manager.advance(4.0);
        manager.change_endpoints(
            EndpointUpdate::Changes,
            vec![EngineEntry { since: Some(manager.now), ..entry(30) }],
        );
        manager.advance(8.0);
        // All others are full.
        for n in 0..31 {
            manager.complete_probe(EngineId(n), if n < 30 { 60.0 } else { 0.0 });
        }
        hits += forwarded(&manager.submit(1, 0.3, None).1).iter().filter(|s| s.1 == EngineId(30)).count();
    }
    assert!(hits > 50, "{hits} of 200 managers used the starting engine");
}
