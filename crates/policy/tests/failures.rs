//! Regression tests, one for each failure that was found, and tests of the normal path. Comments in the past
//! tense describe the failure that a test guards against.
mod common;
use common::*;
use sprucelink_policy::*;

/// Submits requests one after another. Attempts on `engine` end with `outcome`, attempts on other engines
/// succeed. Returns the number of attempts on `engine`.
fn count_attempts_on(manager: &mut TestManager, engine: u32, requests: usize, outcome: Outcome) -> usize {
    let mut sends = 0;
    for _ in 0..requests {
        let (id, out) = manager.submit(0, 0.1, None);
        let target = forwarded(&out)[0].1;
        manager.now = manager.now + TimeDelta::from_micros(10_000);
        if target == EngineId(engine) {
            sends += 1;
            manager.end_attempt(id, 0, outcome);
            manager.handle(Event::RequestAbandoned { id });
        } else {
            manager.end_attempt(id, 0, Outcome::Succeeded);
        }
    }
    sends
}

#[test]
fn engine_that_fails_at_once_does_not_attract_traffic() {
    let mut manager = TestManager::new(settings(vec![class(Effect::Unsafe)]), 4);
    count_attempts_on(&mut manager, 2, 80, Outcome::EngineError);
    let sends = count_attempts_on(&mut manager, 2, 100, Outcome::EngineError);
    assert!(sends <= 5, "{sends} of 100");
}

/// Dozens of requests that no engine could execute had six attempts each: they used up most of the retry
/// budget, which was then missing for requests that a retry would have helped.
#[test]
fn request_ends_after_engine_errors_on_two_engines() {
    for seed in 0..20 {
        let mut manager = TestManager::seeded(settings(vec![class(Effect::Safe)]), seed, 3);
        let (id, out) = manager.submit(0, 0.1, None);
        let first = forwarded(&out)[0].1;
        let after_first = manager.end_attempt(id, 0, Outcome::EngineError);
        assert_ne!(forwarded(&after_first)[0].1, first);
        let after_second = manager.end_attempt(id, 1, Outcome::EngineError);
        assert!(forwarded(&after_second).is_empty() && is_rejected(&after_second, id));
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
    assert_eq!(forwarded(&out).len(), 8, "in slow start the engine would be sent only 2.88 thread-seconds");
}

#[test]
fn engine_that_refuses_connections_gets_a_backoff() {
    let settings = Settings { max_attempts: 1, ..settings(vec![class(Effect::Safe)]) };
    let mut manager = TestManager::new(settings, 3);
    let mut last_send = None;
    for _ in 0..40 {
        let (id, out) = manager.submit(0, 0.1, None);
        let target = forwarded(&out)[0].1;
        let outcome = if target == EngineId(0) { Outcome::ConnectFailed } else { Outcome::Succeeded };
        manager.end_attempt(id, 0, outcome);
        last_send = if target == EngineId(0) { Some(manager.now) } else { last_send };
        manager.now = manager.now + TimeDelta::from_micros(5_000);
    }
    let last_send = last_send.expect("the engine was sent at least one attempt");
    assert!(manager.now - last_send > TimeDelta::from_micros(100_000), "nothing is sent during the backoff");
}

#[test]
fn unresponsive_engine_gets_only_trials() {
    let mut manager = TestManager::new(settings(vec![class(Effect::Safe)]), 3);
    let mut late_sends = 0;
    for index in 0..300 {
        let (id, out) = manager.submit(0, 0.1, None);
        let target = forwarded(&out).first().map(|sent| sent.1);
        if target.is_some_and(|engine| engine != EngineId(1)) {
            manager.end_attempt(id, 0, Outcome::Succeeded);
        } else if index >= 150 {
            late_sends += 1;
        }
        manager.advance(0.02);
    }
    // The last 150 requests take three seconds. By its estimated load alone the engine would be filled up.
    assert!(late_sends <= 4, "{late_sends} sends");
}

/// The last level that one of `gateways` managers gives a single query within the first 1.9 s of its latency
/// objective of 2 s.
fn last_level_given(gateways: u32) -> Option<u8> {
    let mut manager = TestManager::new(Settings { gateways, ..settings(vec![class(Effect::Safe)]) }, 4);
    let (id, _) = manager.submit(0, 0.5, None);
    let mut levels = manager.advance(1.9).into_iter().filter_map(|action| match action {
        Action::SetExecutionTerms { id: request, level, .. } if request == id => Some(level.0),
        _ => None,
    });
    levels.next_back()
}

#[test]
fn level_of_a_running_request_rises_with_its_age_if_load_is_visible() {
    assert_eq!(last_level_given(1), Some(2));
    assert_eq!(
        last_level_given(200),
        None,
        "in an overload that a manager cannot see, raised levels would have no effect on the order"
    );
}

#[test]
fn attempt_with_slow_progress_is_cancelled_and_retried_elsewhere() {
    let mut manager = TestManager::new(settings(vec![class(Effect::Safe)]), 3);
    let (id, out) = manager.submit(0, 1.0, None);
    let first = forwarded(&out)[0].1;
    manager.advance(1.0);
    let out = manager.handle(Event::ProgressReported { id, attempt: 0, note: ProgressNote::Progress(0.5) });
    assert!(out.is_empty(), "half done is fast enough");
    manager.advance(0.5);
    let out = manager.handle(Event::ProgressReported { id, attempt: 0, note: ProgressNote::Progress(0.05) });
    assert_eq!(out, vec![Action::Cancel { id, attempt: 0 }]);
    let out = manager.end_attempt(id, 0, Outcome::Cancelled);
    assert!(
        forwarded(&out).len() == 1 && forwarded(&out)[0].1 != first,
        "retried on another engine, once the first attempt has ended"
    );
}

#[test]
fn requests_are_forwarded_when_every_engine_is_ejected() {
    let settings = Settings { max_attempts: 1, ..settings(vec![class(Effect::Safe)]) };
    let mut manager = TestManager::new(settings, 3);
    let mut out = Vec::new();
    for _ in 0..60 {
        let (id, actions) = manager.submit(0, 0.05, None);
        out = actions;
        manager.end_attempt(id, 0, Outcome::EngineError);
        manager.now = manager.now + TimeDelta::from_micros(10_000);
    }
    assert_eq!(forwarded(&out).len(), 1);
}

#[test]
fn requests_are_rejected_on_arrival_under_overload() {
    let mut manager = TestManager::new(settings(vec![class(Effect::Safe)]), 1);
    let mut rejections = 0;
    for _ in 0..200 {
        let (id, out) = manager.submit(0, 0.5, None);
        rejections += usize::from(is_rejected(&out, id));
    }
    assert!(rejections > 100, "{rejections} of 200 rejected on arrival");
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
    assert!(manager.end_attempt(id, 5, Outcome::EngineError).is_empty(), "the request has no such attempt");
    manager.end_attempt(id, 0, Outcome::Succeeded);
    assert!(manager.end_attempt(id, 0, Outcome::Succeeded).is_empty(), "the request is already finished");
}

#[test]
fn same_events_give_the_same_actions() {
    let run = || {
        let mut manager = TestManager::new(settings(vec![class(Effect::Safe)]), 5);
        let mut actions = Vec::new();
        for index in 0..100 {
            let (id, out) = manager.submit(0, 0.1, None);
            actions.extend(out);
            if index % 3 != 0 {
                actions.extend(manager.end_attempt(id, 0, Outcome::Succeeded));
            }
            actions.extend(manager.advance(0.02));
        }
        actions
    };
    assert_eq!(run(), run());
}

#[test]
fn queued_request_is_rejected_once_its_answer_would_be_late() {
    let mut manager = TestManager::new(settings(vec![class(Effect::Safe)]), 1);
    let mut queued = Vec::new();
    for _ in 0..60 {
        let (id, out) = manager.submit(0, 0.2, None);
        if forwarded(&out).is_empty() && !is_rejected(&out, id) {
            queued.push(id);
        }
    }
    assert!(!queued.is_empty(), "some requests are queued");
    // Their latency objective is 1.4 s: without a margin the requests would stay queued until 1.2 s had
    // passed.
    let out = manager.advance(1.0);
    assert!(queued.iter().all(|id| is_rejected(&out, *id)));
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
    let arrival = Arrival { id, class, tenant: 0, tables: 1, time_left, cost, memory_mb: None, key };
    let out = manager.handle(Event::RequestArrived(arrival));
    assert!(
        is_rejected(&out, id) || is_rejected(&manager.advance(0.04), id),
        "no answer would reach the client in time"
    );
}

#[test]
fn loads_of_one_table_group_go_to_different_engines() {
    let load = ClassSettings { loads_tables: true, threads: 2.0, ..class(Effect::Unsafe) };
    let mut manager = TestManager::new(settings(vec![load]), 4);
    let out: Vec<Action> = (0..4).flat_map(|_| manager.submit(0, 0.5, None).1).collect();
    let mut engines: Vec<EngineId> = forwarded(&out).iter().map(|sent| sent.1).collect();
    engines.sort();
    engines.dedup();
    assert_eq!(engines.len(), 4, "loads on one engine would wait for the lock of each other");
}

/// After an engine has rejected a request of one of hundreds of managers, this manager sends it no further
/// requests, although the manager has no attempt in flight on the engine.
#[test]
fn full_engine_is_avoided_by_a_manager_without_attempts_on_it() {
    let settings = Settings { gateways: 200, ..settings(vec![class(Effect::Safe)]) };
    let mut manager = TestManager::new(settings, 3);
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
    assert!(
        forwarded(&out).iter().all(|sent| sent.1 != full),
        "{full:?} counts as having four threads per core"
    );
}

/// In a fleet of 100 managers and 30 engines each manager had thirteen threads in flight on a share of 3.6
/// cores: none knew that an engine of 12 cores had 100 threads, and nothing was answered for ten seconds.
#[test]
fn managers_without_load_reports_do_not_overload_engines_together() {
    let settings = Settings { gateways: 100, reports_load: true, ..settings(vec![class(Effect::Safe)]) };
    let (mut manager, mut out) = (TestManager::new(settings, 30), Vec::new());
    for _ in 0..40 {
        out.extend(manager.submit(0, 0.1, None).1);
    }
    let (in_flight, threads) = (forwarded(&out).len(), 100.0 * forwarded(&out).len() as f64);
    assert!((3..=8).contains(&in_flight), "{in_flight} in flight");
    assert!(threads <= 4.0 * 30.0 * 8.0, "{threads} threads of all managers on 240 cores");
    // A fresh load report overrides the limit of the share.
    let (first, engine) = forwarded(&out)[0];
    let further: Vec<EngineId> = forwarded(&manager.succeed(first, 0.0)).iter().map(|sent| sent.1).collect();
    assert!(further.len() > 1 && further[1..].iter().all(|target| *target == engine), "{further:?}");
}

/// In a fleet of 100 managers overloaded engines answered nothing and therefore reported nothing, and each
/// manager kept estimating their load as the mean.
#[test]
fn overdue_attempt_marks_an_engine_full_unless_it_reported_recently() {
    let settings = settings(vec![class(Effect::Unsafe)]);
    let settings = Settings { gateways: 100, reports_load: true, kind_cores: vec![800.0], ..settings };
    let mut manager = TestManager::new(settings, 3);
    let (_, out) = manager.submit(0, 0.1, None);
    let overloaded = forwarded(&out)[0].1;
    let before = manager.policy.engine_view(overloaded).expect("the engine is listed").utilisation;
    manager.advance(1.0);
    let after = manager.policy.engine_view(overloaded).expect("the engine is listed").utilisation;
    assert!(before < 1.0 && after > 3.0, "{before} threads per core, then {after}");
    let (answered, out) = manager.submit(0, 0.1, None);
    let other = forwarded(&out)[0].1;
    assert_ne!(other, overloaded);
    // A fresh load report counts for more than an attempt in flight, even if the attempt is overdue.
    manager.succeed(answered, 0.0);
    let reported = manager.policy.engine_view(other).expect("the engine is listed").utilisation;
    assert!(reported < 1.0, "{reported} threads per core");
}

/// Serves queries of 0.1 s, one every 60 ms for `secs`, where engines 0 to 2 of one zone answer nothing and
/// engines 3 to 5 of another zone answer. Returns the time and the engine of each attempt.
fn serve_with_a_silent_zone(manager: &mut TestManager, secs: f64) -> Vec<(Timestamp, u32)> {
    let (mut sent, end) = (Vec::new(), manager.now + TimeDelta::from_secs_f64(secs));
    while manager.now < end {
        let mut out = manager.submit(0, 0.1, None).1;
        out.extend(manager.advance(0.06));
        while let Some((id, target)) = forwarded(&out).first().copied() {
            let is_attempt_of_request = |action: &Action| match action {
                Action::ForwardAttempt { id: request, .. } => *request == id,
                _ => false,
            };
            assert_eq!(out.iter().filter(|action| is_attempt_of_request(action)).count(), 1);
            sent.push((manager.now, target.0));
            out.retain(|action| !is_attempt_of_request(action));
            if target.0 >= 3 {
                out.extend(manager.succeed(id, 1.0));
            }
        }
    }
    sent
}

/// When a zone failed in a fleet of 61 managers, each manager detected it engine by engine over five
/// seconds, at the cost of one or two attempts on each of 17 engines.
#[test]
fn zone_is_unreachable_once_two_of_its_engines_are_silent() {
    let mut settings = settings(vec![class(Effect::Unsafe)]);
    (settings.gateways, settings.reports_load, settings.progress_interval) =
        (100, true, TimeDelta::from_secs_f64(0.4));
    let mut manager = TestManager::new(Settings { kind_cores: vec![800.0], ..settings }, 0);
    let zone_entry = |number: u32| EngineEntry { zone: number / 3, ..entry(number) };
    manager.change_endpoints(EndpointUpdate::Remembered, (0..6).map(zone_entry).collect());
    let sent = serve_with_a_silent_zone(&mut manager, 3.0);
    let start = sent[0].0;
    let attempts_on_silent_zone = |from: f64| {
        sent.iter().filter(|(time, engine)| *engine < 3 && (*time - start).as_secs_f64() >= from).count()
    };
    assert!(attempts_on_silent_zone(0.0) >= 2, "it takes two attempts to detect");
    let later_attempts = attempts_on_silent_zone(1.5);
    assert!(later_attempts <= 2, "{later_attempts} after the detection, at most one per second in the zone");
    let ejected = |manager: &TestManager| {
        (0..3).filter(|engine| manager.policy.engine_view(EngineId(*engine)).unwrap().ejected).count()
    };
    assert_eq!(ejected(&manager), 3, "including the engine that was sent nothing");
    // A new process of one of its engines, by the endpoint list, makes the zone reachable again.
    manager.now = manager.now + TimeDelta::from_micros(20_000);
    let started_at = Some(manager.now);
    manager
        .change_endpoints(EndpointUpdate::Changes, vec![EngineEntry { since: started_at, ..zone_entry(0) }]);
    manager.advance(0.02);
    assert!(!manager.policy.engine_view(EngineId(0)).unwrap().ejected);
}

/// Forwards 200 light queries, each answered before the next. Returns how many go to zone 0, and the number
/// of engines used. Engines of zone 0 report `queries_in_own_zone` queries in flight.
fn attempts_in_own_zone_and_engines(settings: Settings, queries_in_own_zone: f64) -> (usize, usize) {
    let mut manager = TestManager::new(Settings { gateways: 40, reports_load: true, ..settings }, 0);
    let zone_entry = |number: u32| EngineEntry { zone: number % 2, ..entry(number) };
    manager.change_endpoints(EndpointUpdate::Remembered, (0..20).map(zone_entry).collect());
    let mut engines = Vec::new();
    for _ in 0..200 {
        let (id, out) = manager.submit(0, 0.05, None);
        let engine = forwarded(&out)[0].1 .0;
        engines.push(engine);
        manager.succeed(id, if engine.is_multiple_of(2) { queries_in_own_zone } else { 0.0 });
        manager.now = manager.now + TimeDelta::from_micros(1_000);
    }
    let in_own_zone = engines.iter().filter(|engine| **engine % 2 == 0).count();
    engines.sort_unstable();
    engines.dedup();
    (in_own_zone, engines.len())
}

/// In a fleet of 100 managers half of all attempts crossed zones and each manager had a connection to every
/// engine, although the settings have a price for crossing zones and for handshakes.
#[test]
fn engine_selection_weighs_cross_zone_and_handshake_prices() {
    let base = settings(vec![class(Effect::Safe)]);
    let base = Settings { zone: Some(0), idle_timeout: TimeDelta::from_secs_f64(15.0), ..base };
    let (in_own_zone, engines) = attempts_in_own_zone_and_engines(base.clone(), 0.0);
    assert!(
        (70..130).contains(&in_own_zone) && engines == 20,
        "without prices: {in_own_zone} attempts in the manager's own zone, {engines} engines"
    );
    let with_zone_price = Settings { cross_zone_price: 0.04, ..base.clone() };
    assert!(
        attempts_in_own_zone_and_engines(with_zone_price.clone(), 0.0).0 > 140,
        "{:?}",
        attempts_in_own_zone_and_engines(with_zone_price.clone(), 0.0)
    );
    let with_handshake_price = Settings { handshake_price: 0.08, ..base };
    assert!(
        attempts_in_own_zone_and_engines(with_handshake_price.clone(), 0.0).1 < 16,
        "{:?}",
        attempts_in_own_zone_and_engines(with_handshake_price, 0.0)
    );
    // Load outweighs the price: the engines of the manager's own zone have eight cores each and five queries
    // in flight.
    assert!(
        attempts_in_own_zone_and_engines(with_zone_price.clone(), 5.0).0 < 120,
        "{:?}",
        attempts_in_own_zone_and_engines(with_zone_price, 5.0)
    );
}

/// The share of one of hundreds of managers is an eighth of a core: queries heavier than that are still
/// forwarded, one at a time, and light ones after them.
#[test]
fn manager_with_a_share_below_one_core_serves_one_query_at_a_time() {
    let heavy = ClassSettings { threads: 3.0, ..class(Effect::Safe) };
    let settings = Settings { gateways: 200, ..settings(vec![class(Effect::Safe), heavy]) };
    let mut manager = TestManager::new(settings, 3);
    let (first, out) = manager.submit(1, 0.3, None);
    assert_eq!(forwarded(&out).len(), 1);
    let (second, out) = manager.submit(0, 0.05, None);
    assert!(forwarded(&out).is_empty() && !is_rejected(&out, second));
    assert_eq!(forwarded(&manager.end_attempt(first, 0, Outcome::Succeeded))[0].0, second);
}

/// An old load report must neither keep requests away from its engine nor attract them permanently.
#[test]
fn old_report_of_a_full_engine_loses_its_weight() {
    let settings = Settings { gateways: 200, ..settings(vec![class(Effect::Safe)]) };
    let mut manager = TestManager::new(settings, 2);
    let (id, out) = manager.submit(0, 0.1, None);
    let full = forwarded(&out)[0].1;
    manager.end_attempt(id, 0, Outcome::RejectedByEngine);
    manager.end_attempt(id, 1, Outcome::Succeeded);
    manager.advance(30.0);
    let mut sends = 0;
    for _ in 0..40 {
        let (id, out) = manager.submit(0, 0.1, None);
        sends += usize::from(forwarded(&out)[0].1 == full);
        manager.end_attempt(id, 0, Outcome::Succeeded);
    }
    assert!(sends >= 8, "{sends} of 40 on one of two engines");
}

/// With hundreds of managers a tenant's quota on each is below one request per second: a random burst must
/// still count as within the quota.
#[test]
fn burst_within_its_tenants_quota_keeps_its_value() {
    let tenants = vec![TenantSettings { quota_per_s: 100.0 }];
    let long = TimeDelta::from_secs_f64(60.0);
    let patient = ClassSettings { latency_objective: long, deadline: long, ..class(Effect::Safe) };
    let settings = Settings {
        gateways: 200,
        tenants,
        over_quota_value_factor: 0.0,
        cancel: false,
        ..settings(vec![patient])
    };
    let mut manager = TestManager::new(settings, 1);
    manager.client_patience_secs = 60.0;
    let ids: Vec<RequestId> = (0..10).map(|_| manager.submit(0, 0.5, None).0).collect();
    manager.advance(0.98);
    manager.end_attempt(ids[0], 0, Outcome::Succeeded);
    // The engine is full and requests have a price: from now on requests without value are rejected.
    manager.advance(12.0);
    let burst: Vec<_> = (0..5).map(|_| manager.submit(0, 0.5, None)).collect();
    assert!(
        burst.iter().all(|(id, out)| !is_rejected(out, *id)),
        "five requests after twelve idle seconds are within the quota"
    );
    let more: Vec<_> = (0..5).map(|_| manager.submit(0, 0.5, None)).collect();
    assert!(more.iter().any(|(id, out)| is_rejected(out, *id)), "ten requests at once exceed the quota");
}

#[test]
fn malformed_peer_message_is_ignored() {
    let mut manager = TestManager::new(Settings { peers: true, ..settings(vec![class(Effect::Safe)]) }, 1);
    for message in [vec![], vec![255; 3], vec![7; 256]] {
        assert!(manager.handle(Event::PeerMessageReceived { from: 9, message }).is_empty());
    }
    assert_eq!(forwarded(&manager.submit(0, 0.1, None).1).len(), 1);
}

/// Without progress notes and with wrong estimates of a class, grants could only shrink, and half of the
/// queries spilled.
#[test]
fn grants_follow_the_memory_that_answers_report() {
    let mut settings = settings(vec![class(Effect::Safe)]);
    settings.grants = true;
    for (reported_mb, memory_short) in
        [(200.0, MemoryShort::Shrinks), (50.0, MemoryShort::Waits), (50.0, MemoryShort::Pages)]
    {
        let mut manager = TestManager::new(Settings { memory_short, ..settings.clone() }, 3);
        let mut grants = Vec::new();
        for _ in 0..40 {
            let (id, out) = manager.submit(0, 0.05, None);
            grants.extend(out.iter().filter_map(|action| match action {
                Action::SetExecutionTerms { grant_mb, .. } => *grant_mb,
                _ => None,
            }));
            manager.now = manager.now + TimeDelta::from_secs_f64(0.1);
            let (latency, report) = (TimeDelta::from_secs_f64(0.1), LoadReport::default());
            let query_cost = Some(QueryCost { work: 0.05, memory_mb: reported_mb });
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
        let last_mb = *grants.last().expect("at least one grant");
        assert!(
            last_mb >= reported_mb && last_mb < 1.5 * reported_mb,
            "a grant of {last_mb} MB for reports of {reported_mb} MB"
        );
    }
}

fn probed_engines(actions: &[Action]) -> Vec<EngineId> {
    let probed_engine = |action: &Action| match action {
        Action::Probe { engine } => Some(*engine),
        _ => None,
    };
    actions.iter().filter_map(probed_engine).collect()
}

/// A manager with little traffic has no load report of any engine, and sent heavy queries to full ones.
#[test]
fn heavy_query_goes_to_the_engine_that_a_probe_found_idle() {
    let mut manager = TestManager::new(many_managers_with_probes(), 12);
    manager.warm_up();
    let (id, out) = manager.submit(1, 2.0, None);
    let probed = probed_engines(&out);
    assert_eq!((probed.len(), forwarded(&out).len()), (2, 0), "two probes before the query is sent");
    for (index, engine) in probed.iter().enumerate() {
        manager.complete_probe(*engine, if index == 1 { 0.0 } else { 60.0 });
    }
    assert_eq!(forwarded(&manager.advance(0.02)), vec![(id, probed[1])]);
}

/// Each of 200 idle managers put four threads on full engines.
#[test]
fn heavy_query_waits_while_all_known_engines_are_full() {
    let settings = Settings { probes: false, ..many_managers_with_probes() };
    let mut manager = TestManager::new(settings, 3);
    for _ in 0..60 {
        let (id, _) = manager.submit(0, 0.05, None);
        manager.succeed(id, 60.0);
    }
    assert!(forwarded(&manager.submit(1, 0.2, None).1).is_empty(), "no engine has capacity for four threads");
    assert_eq!(forwarded(&manager.submit(0, 0.05, None).1).len(), 1, "an engine has capacity for one thread");
}

/// An engine that hangs or is overloaded answers no probe, and its load was estimated as the mean.
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

/// An engine that had replaced another one looked idle to all managers when its slow start ended, and every
/// manager sent its heavy queries to it.
#[test]
fn idle_engine_is_not_filled_by_all_managers_at_once() {
    let settings = Settings { probes: false, ..many_managers_with_probes() };
    let mut sends = 0;
    for seed in 0..60 {
        let mut manager = TestManager::seeded(settings.clone(), seed, 30);
        for _ in 0..200 {
            let (id, out) = manager.submit(0, 0.05, None);
            let idle = forwarded(&out)[0].1 == EngineId(7);
            manager.succeed(id, if idle { 0.0 } else { 9.0 });
        }
        sends +=
            forwarded(&manager.submit(1, 0.2, None).1).iter().filter(|sent| sent.1 == EngineId(7)).count();
    }
    assert!((1..20).contains(&sends), "{sends} of 60 managers chose the idle engine at the same moment");
}

/// Few managers were sampled as senders to a starting engine, and most of those did not have the engine among
/// their candidates.
#[test]
fn starting_engine_with_budget_is_a_candidate_of_every_manager() {
    let settings = Settings { probes: false, gateways: 30, ..many_managers_with_probes() };
    let mut sends = 0;
    for seed in 0..200 {
        let mut manager = TestManager::seeded(settings.clone(), seed, 30);
        manager.advance(4.0);
        manager.change_endpoints(
            EndpointUpdate::Changes,
            vec![EngineEntry { since: Some(manager.now), ..entry(30) }],
        );
        manager.advance(8.0);
        // All other engines are full.
        for engine in 0..31 {
            manager.complete_probe(EngineId(engine), if engine < 30 { 60.0 } else { 0.0 });
        }
        sends +=
            forwarded(&manager.submit(1, 0.3, None).1).iter().filter(|sent| sent.1 == EngineId(30)).count();
    }
    assert!(sends > 50, "{sends} of 200 managers used the starting engine");
}
