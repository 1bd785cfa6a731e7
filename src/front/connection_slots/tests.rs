//! Which connection is evicted when all slots are in use.

use super::EvictionScope::{WithoutOpenRequest, WithoutRequest};
use super::*;

fn set_age(slot: &ConnectionSlot, micros: i64) {
    slot.state.since.set(now() - TimeDelta::from_micros(micros));
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
    let newcomers: Vec<Option<ConnectionSlot>> = (0..4).map(|_| slots.acquire(WithoutOpenRequest)).collect();
    assert_eq!(evicted(), [false, true, true, true]);
    assert!(newcomers[2].is_some() && newcomers[3].is_none(), "only the executing and the new ones are left");
    drop(newcomers);
    assert!(slots.acquire(WithoutOpenRequest).is_some());
    let stateful = ConnectionSlots::new(1, 8, false);
    let idle = stateful.acquire(WithoutOpenRequest).expect("a slot");
    idle.set_executing(false);
    assert!(stateful.acquire(WithoutOpenRequest).is_none(), "idle sessions that hold state are not evicted");
}

/// Evicted sessions stay for seconds where a message of theirs is incomplete, or a request arrived just then. Each of
/// them must not make room for one more connection.
#[test]
fn evicted_sessions_hold_a_bounded_number_of_slots() {
    let slots = ConnectionSlots::new(4, 2, true);
    let idle = || {
        let slot = slots.acquire(WithoutOpenRequest);
        slot.iter().for_each(|s| {
            s.set_executing(false);
            s.record_request();
        });
        slot
    };
    let mut held: Vec<ConnectionSlot> = (0..4).map_while(|_| idle()).collect();
    held.extend((0..50).map_while(|_| idle()));
    assert_eq!((held.len(), slots.occupied()), (6, 6));
    assert_eq!(held.iter().filter(|s| s.is_evicted()).count(), 2, "none is evicted without need");
    drop(held.remove(0));
    assert!(idle().is_some(), "one slot was released");
}

/// Clients that connect and stay, or begin messages, must not take the slots from those that were served.
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
    let mut newcomers = Vec::new();
    for evicted in [2, 3, 0, 1] {
        assert!(!held[evicted].is_evicted());
        let slot = slots.acquire(WithoutRequest);
        assert_eq!(slot.is_some(), evicted > 1, "no served session is evicted before a start-up packet");
        let slot = slot.or_else(|| slots.acquire(WithoutOpenRequest)).expect("a slot");
        slot.set_executing(true);
        newcomers.push(slot);
        assert!(held[evicted].is_evicted(), "{evicted} is next");
    }
    assert!(slots.acquire(WithoutOpenRequest).is_none(), "all are executing");
}

/// A newcomer waits until the newest connection without a session can be evicted, rather than take a served one's slot.
#[test]
fn time_until_evictable_is_the_rest_of_the_grace_period() {
    let slots = ConnectionSlots::new(2, 8, true);
    let held: Vec<ConnectionSlot> = (0..2).map(|_| slots.acquire(WithoutRequest).expect("a slot")).collect();
    held[0].set_executing(false);
    held[0].record_request();
    set_age(&held[1], 20_000);
    assert!(slots.acquire(WithoutRequest).is_none());
    let remaining = slots.time_until_evictable().expect("one has no session");
    assert!((TimeDelta::ZERO..=TimeDelta::from_millis(30)).contains(&remaining), "{remaining:?}");
    set_age(&held[1], 60_000);
    assert_eq!(slots.time_until_evictable(), Some(TimeDelta::ZERO));
    let slot = slots.acquire(WithoutOpenRequest).filter(|_| held[1].is_evicted() && !held[0].is_evicted());
    let slot = slot.expect("the slot of the one without a session");
    held[1].set_executing(true);
    slot.set_executing(true);
    assert_eq!(slots.time_until_evictable(), None);
}
