//! Tests of the facts that are gossiped.

use super::*;

fn at(secs: i64) -> Timestamp {
    Timestamp::from_secs(secs)
}

fn span(secs: i64) -> TimeDelta {
    TimeDelta::from_secs(secs)
}

#[test]
fn events_older_than_their_window_are_not_counted() {
    let windows =
        GossipWindows { retry_budget: span(5), slow_start_window: span(2), slow_start_duration: span(15) };
    let mut gossip = GossipFacts::new(windows);
    gossip.record_request(at(0));
    gossip.record_request(at(4));
    gossip.record_attempt(at(1), true, "e", 1, 40.0);
    gossip.record_attempt(at(4), false, "e", 1, 2.5);
    gossip.record_attempt(at(4), false, "warm", 0, 9.0);
    gossip.record_connection(at(1), "x", false);
    let facts = gossip.payload(at(4), vec![engine_hash("x")]);
    assert_eq!(
        (facts.admitted_requests, facts.retries, facts.warmup_work.clone(), facts.unreachable_engines.len()),
        (2, 1, vec![WarmupWork { engine: engine_hash("e"), work_ms: 2 }], 1)
    );
    let facts = gossip.payload(at(8), Vec::new());
    assert_eq!(
        (facts.admitted_requests, facts.retries, facts.warmup_work.len(), facts.unreachable_engines.len()),
        (1, 0, 0, 1)
    );
    gossip.record_connection(at(8), "x", true);
    assert!(gossip.payload(at(9), Vec::new()).unreachable_engines.is_empty());
    (0..2 * MAX_EVENTS).for_each(|_| gossip.record_request(at(9)));
    assert!(gossip.requests.len() <= MAX_EVENTS);
}
