//! Tests of the order in which connections without a slot are evicted.

use super::SessionlessPhase::{Closing, Handshaking};
use super::*;

/// Connections that linger after their final error must not displace CancelRequests and new connections.
#[test]
fn closing_connections_are_evicted_before_the_oldest_in_handshake() {
    let connections = SessionlessConnections::new(3);
    // The phase of each new connection, and the index of the connection that is evicted for it.
    let entries = [
        (Handshaking, None),
        (Handshaking, None),
        (Closing, None),
        (Handshaking, Some(2)),
        (Handshaking, Some(0)),
        (Closing, Some(5)),
        (Handshaking, Some(1)),
    ];
    let mut held = Vec::new();
    let mut expected = Vec::new();
    for (index, (phase, evicted)) in entries.into_iter().enumerate() {
        held.push(connections.add(phase));
        expected.extend(evicted);
        expected.sort_unstable();
        let evicted: Vec<usize> = (0..=index).filter(|i| held[*i].is_evicted()).collect();
        assert_eq!(evicted, expected, "after {index}");
    }
    held[6].set_closing();
    let _newer = connections.add(Handshaking);
    assert!(held[6].is_evicted() && !held[3].is_evicted() && !held[4].is_evicted());
    drop(held.remove(3));
    let _newest = connections.add(Handshaking);
    assert!(!held[3].is_evicted(), "no eviction was necessary");
    assert!(connections.evict_one() && connections.evict_one() && connections.evict_one());
    assert!(!connections.evict_one());
}
