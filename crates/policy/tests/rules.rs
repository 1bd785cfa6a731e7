//! One short test for each rule, through the public interface.
mod common;
use common::*;
use sprucelink_policy::*;

#[test]
fn request_gets_a_response_before_its_deadline() {
    let mut manager = TestManager::new(settings(vec![class(Effect::Safe)]), 1);
    let (id, out) = manager.submit(0, 0.1, None);
    assert_eq!(forwarded(&out).len(), 1);
    let out = manager.advance(5.0);
    assert!(is_rejected(&out, id), "a request whose attempt is not answered is rejected in time");
    assert!(forwarded(&manager.advance(1.0)).is_empty(), "nothing is forwarded for it afterwards");
}

#[test]
fn request_without_an_engine_is_queued_then_rejected() {
    let mut manager = TestManager::new(settings(vec![class(Effect::Unsafe)]), 0);
    let (id, out) = manager.submit(0, 0.1, None);
    assert!(forwarded(&out).is_empty());
    assert!(
        is_rejected(&[out, manager.advance(5.0)].concat(), id),
        "never sent: a retry by the client does no harm"
    );
}

#[test]
fn unsafe_request_is_not_retried_once_it_may_have_run() {
    for outcome in [Outcome::EngineError, Outcome::TimedOut, Outcome::ConnectionLost, Outcome::Cancelled] {
        let mut manager = TestManager::new(settings(vec![class(Effect::Unsafe)]), 3);
        let (id, _) = manager.submit(0, 0.1, None);
        let out = manager.end_attempt(id, 0, outcome);
        assert!(forwarded(&out).is_empty() && is_failed(&out, id), "{outcome:?}");
    }
    for outcome in [Outcome::RejectedByEngine, Outcome::ConnectFailed, Outcome::NeverSent] {
        let mut manager = TestManager::new(settings(vec![class(Effect::Unsafe)]), 3);
        let (id, _) = manager.submit(0, 0.1, None);
        let out = manager.end_attempt(id, 0, outcome);
        assert_eq!(forwarded(&out).first().map(|s| s.0), Some(id), "{outcome:?} proves that it never ran");
    }
}

#[test]
fn keyed_retry_is_sent_only_within_its_dedup_group_and_window() {
    let mut manager = TestManager::new(settings(vec![class(Effect::Keyed)]), 3);
    let (id, out) = manager.submit(0, 0.1, None);
    let first_engine = forwarded(&out)[0].1;
    let out = manager.end_attempt(id, 0, Outcome::EngineError);
    assert_eq!(forwarded(&out), vec![(id, first_engine)], "each engine is a cell of its own here");
    manager.now = manager.now + TimeDelta::from_secs_f64(2.5);
    let out = manager.end_attempt(id, 1, Outcome::EngineError);
    assert!(forwarded(&out).is_empty() && is_failed(&out, id), "past the window no retry is deduplicated");
}

#[test]
fn draining_engine_gets_no_requests() {
    let mut manager = TestManager::new(settings(vec![class(Effect::Safe)]), 2);
    for state in [EngineState::Draining, EngineState::Gone] {
        manager.change_endpoints(EndpointUpdate::Changes, vec![EngineEntry { state, ..entry(0) }]);
        for _ in 0..20 {
            let (id, out) = manager.submit(0, 0.1, None);
            assert_eq!(forwarded(&out), vec![(id, EngineId(1))]);
            manager.end_attempt(id, 0, Outcome::Succeeded);
        }
        manager.change_endpoints(EndpointUpdate::Changes, vec![entry(0)]);
    }
    manager.change_endpoints(EndpointUpdate::Complete, vec![entry(1)]);
    let (_, out) = manager.submit(0, 0.1, None);
    assert_eq!(forwarded(&out)[0].1, EngineId(1), "absent from a complete list means gone");
}

#[test]
fn starting_engine_is_sent_no_more_than_its_slow_start_budget() {
    let mut manager = TestManager::new(settings(vec![class(Effect::Safe)]), 0);
    manager.advance(2.0);
    let started_at = Some(manager.now);
    manager.change_endpoints(EndpointUpdate::Complete, vec![EngineEntry { since: started_at, ..entry(0) }]);
    let mut out = Vec::new();
    for _ in 0..200 {
        out.extend(manager.submit(0, 0.5, None).1);
    }
    // The budget is twice three tenths of eight cores for one second: 4.8 thread-seconds.
    let sends = forwarded(&out).len();
    assert!(sends >= 1 && sends as f64 * 0.5 <= 4.8, "{sends} sends");
}

#[test]
fn restarted_manager_counts_slow_start_budget_as_partly_spent() {
    let count_sends = |wait_secs: f64| {
        let mut manager = TestManager::new(settings(vec![class(Effect::Safe)]), 0);
        manager.advance(wait_secs);
        let started_at = Some(manager.now);
        manager
            .change_endpoints(EndpointUpdate::Complete, vec![EngineEntry { since: started_at, ..entry(0) }]);
        (0..100).map(|_| forwarded(&manager.submit(0, 0.5, None).1).len()).sum::<usize>()
    };
    assert!(count_sends(0.0) < count_sends(2.0));
}

/// Protects starting engines while most managers of a fleet restart at once: with a configured ramp, a
/// manager's part of the budget rises gradually from its initial fraction to all of it, instead of in one
/// step.
#[test]
fn slow_start_budget_of_a_restarted_manager_rises_by_the_ramp() {
    let count_sends = |restart_ramp: Option<RestartRamp>, wait_secs: f64| {
        let settings = Settings { restart_ramp, ..settings(vec![class(Effect::Safe)]) };
        let mut manager = TestManager::new(settings, 0);
        manager.advance(wait_secs);
        let started_at = Some(manager.now);
        manager
            .change_endpoints(EndpointUpdate::Complete, vec![EngineEntry { since: started_at, ..entry(0) }]);
        let mut sends = 0;
        for _ in 0..400 {
            let (id, out) = manager.submit(0, 0.02, None);
            if !forwarded(&out).is_empty() {
                sends += 1;
                manager.end_attempt(id, 0, Outcome::Succeeded);
            }
        }
        sends
    };
    let ramp = Some(RestartRamp { initial_fraction: 0.25, secs_to_rise_by_one: 4.0 });
    let sends = [0.0, 1.0, 2.0, 3.1].map(|wait_secs| count_sends(ramp, wait_secs));
    assert!(sends.windows(2).all(|pair| pair[0] < pair[1]), "{sends:?}");
    assert_eq!(sends[3], count_sends(None, 3.1), "at the end of the ramp the manager uses all of its part");
    assert!(sends[0] < count_sends(None, 0.0), "the ramp begins below the single step: {sends:?}");
}

#[test]
fn requests_with_the_same_key_run_in_order_and_a_timeout_blocks_the_key() {
    let ordered_by_key = ClassSettings { ordered_by_key: true, ..class(Effect::Unsafe) };
    let mut settings = settings(vec![ordered_by_key]);
    settings.key_settle_time = TimeDelta::from_secs_f64(0.5);
    let mut manager = TestManager::new(settings, 3);
    let (first, out) = manager.submit(0, 0.1, Some("t/a"));
    assert_eq!(forwarded(&out).len(), 1);
    let (second, out) = manager.submit(0, 0.1, Some("t/a"));
    assert!(forwarded(&out).is_empty(), "the first is still in flight");
    assert_eq!(forwarded(&manager.submit(0, 0.1, Some("t/b")).1).len(), 1, "another key does not wait");
    let out = manager.end_attempt(first, 0, Outcome::TimedOut);
    assert!(forwarded(&out).is_empty() && is_failed(&out, first));
    assert!(forwarded(&manager.advance(0.4)).is_empty(), "the key is blocked");
    assert_eq!(forwarded(&manager.advance(0.2)).first().map(|s| s.0), Some(second));
}

#[test]
fn next_request_of_a_key_waits_for_an_abandoned_attempt() {
    let ordered_by_key = ClassSettings { ordered_by_key: true, ..class(Effect::Unsafe) };
    let mut manager = TestManager::new(settings(vec![ordered_by_key]), 3);
    let (first, _) = manager.submit(0, 0.1, Some("t/a"));
    let (second, _) = manager.submit(0, 0.1, Some("t/a"));
    manager.handle(Event::RequestAbandoned { id: first });
    assert!(forwarded(&manager.advance(0.2)).is_empty());
    let out = manager.end_attempt(first, 0, Outcome::Succeeded);
    assert_eq!(forwarded(&out).first().map(|s| s.0), Some(second));
}

#[test]
fn class_runs_only_on_its_machine_kinds() {
    let restricted_class = ClassSettings { kinds: Some(vec![1]), ..class(Effect::Safe) };
    let mut manager = TestManager::new(settings(vec![restricted_class]), 3);
    let (id, out) = manager.submit(0, 0.1, None);
    assert!(forwarded(&out).is_empty(), "no engine of the kind is listed");
    let out = manager.change_endpoints(EndpointUpdate::Changes, vec![EngineEntry { kind: 1, ..entry(3) }]);
    assert_eq!(forwarded(&out), vec![(id, EngineId(3))]);
    let out = manager.end_attempt(id, 0, Outcome::EngineError);
    assert!(forwarded(&out).iter().all(|s| s.1 == EngineId(3)));
}

#[test]
fn retry_is_rejected_when_budget_is_exhausted() {
    let mut settings = settings(vec![class(Effect::Safe)]);
    settings.retry_budget = Some(RetryBudgetSettings {
        window: TimeDelta::from_secs_f64(5.0),
        free_retries: 2.0,
        retries_per_request: 0.1,
    });
    let mut manager = TestManager::new(settings, 4);
    let mut retries = 0;
    for _ in 0..10 {
        let (id, _) = manager.submit(0, 0.05, None);
        retries += forwarded(&manager.end_attempt(id, 0, Outcome::EngineError)).len();
    }
    assert_eq!(retries, 3, "two free retries and a tenth of ten requests");
}

/// The budget limits all managers together: if an equal part of it is less than one query, only a sample of
/// the managers uses the budget. The endpoint list reaches all managers at once; each has one query at that
/// instant and a few per second afterwards.
#[test]
fn many_managers_share_the_budget_of_a_starting_engine() {
    let (manager_count, cost) = (250, 0.2);
    let settings = Settings { gateways: manager_count, ..settings(vec![class(Effect::Safe)]) };
    let mut managers: Vec<TestManager> =
        (0..manager_count).map(|index| TestManager::seeded(settings.clone(), u64::from(index), 0)).collect();
    managers.iter_mut().for_each(|manager| drop(manager.advance(2.0)));
    let start = managers[0].now;
    let mut send_times: Vec<Timestamp> = Vec::new();
    for manager in &mut managers {
        manager
            .change_endpoints(EndpointUpdate::Complete, vec![EngineEntry { since: Some(start), ..entry(0) }]);
    }
    for step in 0..200usize {
        for (index, manager) in managers.iter_mut().enumerate() {
            let mut out = Vec::new();
            if step == 0 || (step * 7 + index) % 20 == 0 {
                out.extend(manager.submit(0, cost, None).1);
            }
            out.extend(manager.advance(0.02));
            send_times.extend(forwarded(&out).iter().map(|_| manager.now));
        }
    }
    // At its start the engine has three tenths of eight cores, of which 85% counts as capacity; twice that
    // work within one second overloads it.
    let capacity = 0.3 * 8.0 * 0.85;
    let work_per_window = (0..150).map(|k| start + TimeDelta::from_micros(20_000 * k)).map(|from| {
        let until = from + TimeDelta::from_micros(1_000_000);
        send_times.iter().filter(|time| **time >= from && **time < until).count() as f64 * cost
    });
    let max_work = work_per_window.fold(0.0, f64::max);
    assert!(max_work < 2.0 * capacity, "{max_work} thread-seconds within one second");
    let work_per_sec = send_times.len() as f64 * cost / 4.0;
    assert!(
        work_per_sec > 0.2 * capacity,
        "{work_per_sec} thread-seconds per second: the engine must not idle"
    );
}

/// In a class that is both keyed and ordered by key, the retry waits until the key is no longer blocked, and
/// the next request waits for the retry.
#[test]
fn keyed_retry_precedes_the_next_request_of_its_key() {
    let ordered_by_key = ClassSettings {
        ordered_by_key: true,
        group: DedupGroup::All,
        repeat_window: TimeDelta::from_secs_f64(12.0),
        ..class(Effect::Keyed)
    };
    let settings = Settings {
        key_settle_time: TimeDelta::from_secs_f64(0.3),
        max_attempts: 3,
        ..settings(vec![ordered_by_key])
    };
    let mut manager = TestManager::new(settings, 3);
    let (first, _) = manager.submit(0, 0.1, Some("t/a"));
    let (second, out) = manager.submit(0, 0.1, Some("t/a"));
    assert!(forwarded(&out).is_empty());
    assert!(
        forwarded(&manager.end_attempt(first, 0, Outcome::ConnectionLost)).is_empty(),
        "the key is blocked"
    );
    assert!(forwarded(&manager.advance(0.28)).is_empty(), "for 300 ms");
    assert_eq!(
        forwarded(&manager.advance(0.1)).first().map(|s| s.0),
        Some(first),
        "the retry of the first request comes first"
    );
    let out = manager.end_attempt(first, 1, Outcome::Succeeded);
    assert_eq!(forwarded(&out).first().map(|s| s.0), Some(second));
}

/// Whatever the drain grace, nothing is sent to an engine once the endpoint list has it as draining.
#[test]
fn queued_request_skips_a_sampled_engine_that_drains() {
    let mut manager = TestManager::new(many_managers_with_probes(), 2);
    manager.warm_up();
    let (id, out) = manager.submit(1, 1.0, None);
    assert!(forwarded(&out).is_empty(), "the manager probes first");
    manager.change_endpoints(
        EndpointUpdate::Changes,
        vec![EngineEntry { state: EngineState::Draining, ..entry(0) }],
    );
    for engine in 0..2 {
        manager.complete_probe(EngineId(engine), 4.0 * f64::from(engine));
    }
    assert_eq!(
        forwarded(&manager.advance(0.02)),
        vec![(id, EngineId(1))],
        "its candidates were sampled before the endpoint update"
    );
}

/// When small queries were charged at their own cost, every manager found one that fit, and a starting engine
/// was sent 5.8 times its capacity. The charge is the mean cost of the class, whatever the query's cost.
#[test]
fn small_queries_are_charged_to_a_starting_engine_at_their_class_mean() {
    let manager_count = 200;
    let settings =
        Settings { gateways: manager_count, reports_load: true, ..settings(vec![class(Effect::Safe)]) };
    let mut managers: Vec<TestManager> =
        (0..manager_count).map(|index| TestManager::seeded(settings.clone(), u64::from(index), 0)).collect();
    for manager in &mut managers {
        // Five small queries for each large one; the mean cost is 0.2 thread-seconds.
        for query in 0..30 {
            manager.submit(0, if query % 6 == 0 { 1.1 } else { 0.02 }, None);
        }
        manager.advance(6.0);
        manager.change_endpoints(
            EndpointUpdate::Complete,
            vec![EngineEntry { since: Some(manager.now), ..entry(0) }],
        );
    }
    let mut sends = 0;
    for manager in &mut managers {
        for query in 0..12 {
            sends += forwarded(&manager.submit(0, if query % 6 == 5 { 1.1 } else { 0.02 }, None).1).len();
        }
    }
    // Twice three tenths of eight cores, of which 85% counts as capacity, for one second; in queries of mean
    // cost.
    let max_sends = 2.0 * 0.3 * 8.0 * 0.85 / 0.2;
    assert!(
        sends >= 1 && f64::from(sends as u32) < max_sends,
        "{sends} sends, fewer than {max_sends} expected"
    );
}

/// A keyed request whose deduplication window has passed may not be retried; queueing it until its deadline
/// would only delay the response to its client.
#[test]
fn request_past_its_dedup_window_fails_at_once_with_retry_after() {
    let long_objective =
        ClassSettings { latency_objective: TimeDelta::from_secs_f64(20.0), ..class(Effect::Keyed) };
    let settings =
        Settings { max_retry_after: TimeDelta::from_secs_f64(2.0), ..settings(vec![long_objective]) };
    let mut manager = TestManager::new(settings, 1);
    let (id, out) = manager.submit(0, 0.1, None);
    assert_eq!(forwarded(&out).len(), 1);
    // The only engine drains, so no engine can take the retry.
    manager.change_endpoints(
        EndpointUpdate::Changes,
        vec![EngineEntry { state: EngineState::Draining, ..entry(0) }],
    );
    manager.end_attempt(id, 0, Outcome::EngineError);
    let early = manager.advance(1.9);
    assert!(!is_failed(&early, id), "the deduplication window of 2 s has not passed");
    let out = manager.advance(0.2);
    assert!(is_failed(&out, id), "the request was queued past its deduplication window");
    let has_retry_after =
        |a: &Action| matches!(a, Action::Fail { retry_after: Some(t), .. } if t.as_secs_f64() <= 2.0);
    assert!(out.iter().any(has_retry_after), "no Retry-After: {out:?}");
}

/// Endpoint lists come late and contradict each other: an engine that is listed as gone and then as ready
/// again within the slow-start window is the same process, so all that it was sent before still counts.
#[test]
fn starting_engine_that_is_listed_again_keeps_its_charges() {
    let count_sends = |is_listed_again: bool| {
        let mut manager = TestManager::new(settings(vec![class(Effect::Safe)]), 0);
        let starting = EngineEntry { since: Some(manager.now), ..entry(0) };
        let mut out = manager.change_endpoints(EndpointUpdate::Changes, vec![starting]);
        let mut sends = 0;
        for round in 0..60 {
            out.extend(manager.submit(0, 0.5, None).1);
            if is_listed_again && round % 20 == 19 {
                let gone = EngineEntry { state: EngineState::Gone, ..starting };
                out.extend(manager.change_endpoints(EndpointUpdate::Changes, vec![gone]));
                out.extend(manager.change_endpoints(EndpointUpdate::Changes, vec![starting]));
            }
            // Each request is answered at once, so only the budget delays requests.
            while let Some((id, _)) = forwarded(&out).first().copied() {
                sends += 1;
                out = manager.end_attempt(id, 0, Outcome::Succeeded);
            }
            out.clear();
        }
        sends
    };
    let sends = count_sends(false);
    assert!(sends > 0 && sends < 60, "{sends} sends: the budget must limit them");
    assert_eq!(count_sends(true), sends);
}
