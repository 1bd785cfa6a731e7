//! Who gets a slot, and who has to go for it.

use super::*;

/// Guards the usual clients: silent ones, then idle ones, make room for them; who has a request
/// open, or has only just come, stays.
#[test]
fn the_silent_go_first_then_the_longest_idle_and_the_busy_never() {
    let slots = ConnectionSlots::new(4, 8, true);
    let taken: Vec<ConnectionSlot> = (0..4).map(|_| slots.acquire(true).expect("a seat")).collect();
    assert!(slots.acquire(true).is_none(), "all have only just come");
    let at = |i: usize, ago: i64| taken[i].state.since.set(now() - TimeDelta::from_micros(ago));
    taken[0].set_executing(true);
    taken[1].set_executing(false);
    taken[2].set_executing(false);
    at(0, 9_000_000);
    at(1, 2_000_000);
    at(2, 3_000_000);
    at(3, 100_000);
    let told = || taken.iter().map(ConnectionSlot::is_evicted).collect::<Vec<_>>();
    let newcomers: Vec<Option<ConnectionSlot>> = (0..4).map(|_| slots.acquire(true)).collect();
    assert_eq!(told(), [false, true, true, true]);
    assert!(newcomers[2].is_some() && newcomers[3].is_none(), "only the busy and the new are left");
    drop(newcomers);
    assert!(slots.acquire(true).is_some());
    let keeps = ConnectionSlots::new(1, 8, false);
    let idle = keeps.acquire(true).expect("a seat");
    idle.set_executing(false);
    assert!(keeps.acquire(true).is_none(), "where a session holds something it is not ended");
}

/// Guards the descriptors: sessions told to go with half a message in hand, or a request that came just then, stay for
/// seconds, and each made a newcomer's slot one more than there are.
#[test]
fn those_told_to_go_hold_so_many_seats_besides_and_no_more() {
    let slots = ConnectionSlots::new(4, 2, true);
    let idle = || {
        let slot = slots.acquire(true);
        slot.iter().for_each(|s| {
            s.set_executing(false);
            s.record_request();
        });
        slot
    };
    let mut taken: Vec<ConnectionSlot> = (0..4).map_while(|_| idle()).collect();
    taken.extend((0..50).map_while(|_| idle()));
    assert_eq!((taken.len(), slots.occupied()), (6, 6));
    assert_eq!(taken.iter().filter(|s| s.is_evicted()).count(), 2, "nobody is told to go for nothing");
    drop(taken.remove(0));
    assert!(idle().is_some(), "one has gone");
}

/// Guards clients that were served: those that connect and stay, or begin messages, filled the slots after them.
#[test]
fn sessions_that_asked_nothing_go_before_those_that_were_served() {
    let slots = ConnectionSlots::new(4, 8, true);
    let taken: Vec<ConnectionSlot> = (0..4).map(|_| slots.acquire(true).expect("a seat")).collect();
    taken.iter().for_each(|s| s.set_executing(false));
    taken[0].record_request();
    taken[1].record_request();
    taken[1].set_receiving();
    taken[2].set_receiving();
    let at = |i: usize, ago: i64| taken[i].state.since.set(now() - TimeDelta::from_micros(ago));
    [(0, 9_000_000), (1, 8_000_000), (2, 1_000_000), (3, 60_000)].into_iter().for_each(|(i, ago)| at(i, ago));
    let mut newcomers = Vec::new();
    for gone in [2, 3, 0, 1] {
        assert!(!taken[gone].is_evicted());
        let slot = slots.acquire(false);
        assert_eq!(slot.is_some(), gone > 1, "for who has said nothing, none of the served goes");
        let slot = slot.or_else(|| slots.acquire(true)).expect("a seat");
        slot.set_executing(true);
        newcomers.push(slot);
        assert!(taken[gone].is_evicted(), "{gone} is next");
    }
    assert!(slots.acquire(true).is_none(), "all are busy");
}

/// Guards the served from a crowd that comes at once: who waits for a slot waits until the newest may go.
#[test]
fn the_grace_of_the_silent_is_told() {
    let slots = ConnectionSlots::new(2, 8, true);
    let taken: Vec<ConnectionSlot> = (0..2).map(|_| slots.acquire(false).expect("a seat")).collect();
    taken[0].set_executing(false);
    taken[0].record_request();
    taken[1].state.since.set(now() - TimeDelta::from_millis(20));
    assert!(slots.acquire(false).is_none());
    let left = slots.time_until_evictable().expect("one is silent");
    assert!((TimeDelta::ZERO..=TimeDelta::from_millis(30)).contains(&left), "{left:?}");
    taken[1].state.since.set(now() - TimeDelta::from_millis(60));
    assert_eq!(slots.time_until_evictable(), Some(TimeDelta::ZERO));
    let slot = slots
        .acquire(true)
        .filter(|_| taken[1].is_evicted() && !taken[0].is_evicted())
        .expect("the silent one's");
    taken[1].set_executing(true);
    slot.set_executing(true);
    assert_eq!(slots.time_until_evictable(), None);
}

/// Guards cancels and newcomers that wait for a slot: those that had their last word filled the connections after them.
#[test]
fn the_lobby_displaces_the_parting_first_and_then_who_has_been_there_for_longest() {
    use SessionlessPhase::{Closing, Handshaking};
    let connections = SessionlessConnections::new(3);
    // Each with the one that goes for it.
    let all = [
        (Handshaking, None),
        (Handshaking, None),
        (Closing, None),
        (Handshaking, Some(2)),
        (Handshaking, Some(0)),
        (Closing, Some(5)),
        (Handshaking, Some(1)),
    ];
    let (mut held, mut gone) = (Vec::new(), Vec::new());
    for (i, (phase, goes)) in all.into_iter().enumerate() {
        held.push(connections.enter(phase));
        gone.extend(goes);
        gone.sort_unstable();
        let told: Vec<usize> = (0..=i).filter(|i| held[*i].is_evicted()).collect();
        assert_eq!(told, gone, "after {i}");
    }
    held[6].set_closing();
    let _more = connections.enter(Handshaking);
    assert!(held[6].is_evicted() && !held[3].is_evicted() && !held[4].is_evicted());
    drop(held.remove(3));
    let _more = connections.enter(Handshaking);
    assert!(!held[3].is_evicted(), "there was room");
    assert!(
        connections.evict_one()
            && connections.evict_one()
            && connections.evict_one()
            && !connections.evict_one()
    );
}
