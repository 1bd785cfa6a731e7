//! Tests of the facts that are gossiped.

use super::*;

fn time_s(seconds: i64) -> Timestamp {
    Timestamp::from_secs(seconds)
}

fn span_s(seconds: i64) -> TimeDelta {
    TimeDelta::from_secs(seconds)
}

#[test]
fn events_older_than_their_window_are_not_counted() {
    let windows = GossipWindows {
        retry_budget: span_s(5),
        slow_start_window: span_s(2),
        slow_start_duration: span_s(15),
    };
    let mut gossip = GossipFacts::new(windows);
    gossip.record_request(time_s(0));
    gossip.record_request(time_s(4));
    gossip.record_attempt(time_s(1), true, "e", 1, 40.0);
    gossip.record_attempt(time_s(4), false, "e", 1, 2.5);
    gossip.record_attempt(time_s(4), false, "warm", 0, 9.0);
    gossip.record_connection(time_s(1), "x", false);
    let facts = gossip.payload(time_s(4), vec![engine_hash("x")]);
    assert_eq!(
        (facts.admitted_requests, facts.retries, facts.warmup_work.clone(), facts.unreachable_engines.len()),
        (2, 1, vec![WarmupWork { engine: engine_hash("e"), work_ms: 2 }], 1)
    );
    let facts = gossip.payload(time_s(8), Vec::new());
    assert_eq!(
        (facts.admitted_requests, facts.retries, facts.warmup_work.len(), facts.unreachable_engines.len()),
        (1, 0, 0, 1)
    );
    gossip.record_connection(time_s(8), "x", true);
    assert!(gossip.payload(time_s(9), Vec::new()).unreachable_engines.is_empty());
    (0..2 * MAX_EVENTS).for_each(|_| gossip.record_request(time_s(9)));
    assert!(gossip.requests.len() <= MAX_EVENTS);
}
