//! Tests of the choice of the connection that is evicted when all slots are in use.

use super::EvictionScope::{WithoutOpenRequest, WithoutRequest};
use super::*;

fn set_age(slot: &ConnectionSlot, micros: i64) {
    slot.state.activity_since.set(now() - TimeDelta::from_micros(micros));
}

#[test]
fn connections_without_session_are_evicted_before_idle_sessions_and_executing_ones_never() {
    let slots = ConnectionSlots::new(4, 8, true);
    let held: Vec<ConnectionSlot> =
        (0..4).map(|_| slots.acquire(WithoutOpenRequest).expect("a slot")).collect();
    assert!(slots.acquire(WithoutOpenRequest).is_none(), "all are within their grace period");
    held[0].set_executing(true);
    held[1].set_executing(false);
    held[2].set_executing(false);
    set_age(&held[0], 9_000_000);
    set_age(&held[1], 2_000_000);
    set_age(&held[2], 3_000_000);
    set_age(&held[3], 100_000);
    let evicted = || held.iter().map(ConnectionSlot::is_evicted).collect::<Vec<_>>();
    let new_slots: Vec<Option<ConnectionSlot>> = (0..4).map(|_| slots.acquire(WithoutOpenRequest)).collect();
    assert_eq!(evicted(), [false, true, true, true]);
    assert!(new_slots[2].is_some() && new_slots[3].is_none(), "only executing and new connections are left");
    drop(new_slots);
    assert!(slots.acquire(WithoutOpenRequest).is_some());
    let slots_of_stateful_sessions = ConnectionSlots::new(1, 8, false);
    let session_slot = slots_of_stateful_sessions.acquire(WithoutOpenRequest).expect("a slot");
    session_slot.set_executing(false);
    assert!(
        slots_of_stateful_sessions.acquire(WithoutOpenRequest).is_none(),
        "idle sessions that hold state are not evicted"
    );
}

/// An evicted session keeps its slot for seconds if a message is incomplete or a request has just arrived.
/// Evicted sessions must not let the number of occupied slots grow without bound.
#[test]
fn evicted_sessions_hold_a_bounded_number_of_slots() {
    let slots = ConnectionSlots::new(4, 2, true);
    let acquire_idle = || {
        let slot = slots.acquire(WithoutOpenRequest);
        slot.iter().for_each(|s| {
            s.set_executing(false);
            s.record_request();
        });
        slot
    };
    let mut held: Vec<ConnectionSlot> = (0..4).map_while(|_| acquire_idle()).collect();
    held.extend((0..50).map_while(|_| acquire_idle()));
    assert_eq!((held.len(), slots.occupied()), (6, 6));
    assert_eq!(held.iter().filter(|s| s.is_evicted()).count(), 2, "no more are evicted than necessary");
    drop(held.remove(0));
    assert!(acquire_idle().is_some(), "one slot was released");
}

/// Clients that connect and send no request, or only begin a message, must not displace sessions that were
/// served.
#[test]
fn sessions_without_request_are_evicted_before_those_that_were_served() {
    let slots = ConnectionSlots::new(4, 8, true);
    let held: Vec<ConnectionSlot> =
        (0..4).map(|_| slots.acquire(WithoutOpenRequest).expect("a slot")).collect();
    held.iter().for_each(|s| s.set_executing(false));
    held[0].record_request();
    held[1].record_request();
    held[1].set_receiving();
    held[2].set_receiving();
    for (index, age) in [(0, 9_000_000), (1, 8_000_000), (2, 1_000_000), (3, 60_000)] {
        set_age(&held[index], age);
    }
    let mut new_slots = Vec::new();
    for evicted in [2, 3, 0, 1] {
        assert!(!held[evicted].is_evicted());
        let slot = slots.acquire(WithoutRequest);
        assert_eq!(slot.is_some(), evicted > 1, "no served session is evicted before a start-up packet");
        let slot = slot.or_else(|| slots.acquire(WithoutOpenRequest)).expect("a slot");
        slot.set_executing(true);
        new_slots.push(slot);
        assert!(held[evicted].is_evicted(), "connection {evicted} is evicted next");
    }
    assert!(slots.acquire(WithoutOpenRequest).is_none(), "all are executing");
}

/// A new connection waits until a connection without a session can be evicted, rather than evict a served
/// session.
#[test]
fn time_until_evictable_is_the_rest_of_the_grace_period() {
    let slots = ConnectionSlots::new(2, 8, true);
    let held: Vec<ConnectionSlot> = (0..2).map(|_| slots.acquire(WithoutRequest).expect("a slot")).collect();
    held[0].set_executing(false);
    held[0].record_request();
    set_age(&held[1], 20_000);
    assert!(slots.acquire(WithoutRequest).is_none());
    let remaining = slots.time_until_evictable().expect("one connection has no session");
    assert!((TimeDelta::ZERO..=TimeDelta::from_millis(30)).contains(&remaining), "{remaining:?}");
    set_age(&held[1], 60_000);
    assert_eq!(slots.time_until_evictable(), Some(TimeDelta::ZERO));
    let slot = slots.acquire(WithoutOpenRequest).filter(|_| held[1].is_evicted() && !held[0].is_evicted());
    let slot = slot.expect("the slot of the connection without a session");
    held[1].set_executing(true);
    slot.set_executing(true);
    assert_eq!(slots.time_until_evictable(), None);
}
