//! Who gets a seat, and who has to go for it.

use super::*;

/// Guards the usual clients: silent ones, then idle ones, make room for them; who has a request
/// open, or has only just come, stays.
#[test]
fn the_silent_go_first_then_the_longest_idle_and_the_busy_never() {
    let seats = Seats::new(4, 8, true);
    let taken: Vec<Seat> = (0..4).map(|_| seats.take(true).expect("a seat")).collect();
    assert!(seats.take(true).is_none(), "all have only just come");
    let at = |i: usize, ago: i64| taken[i].place.since.set(now() - TimeDelta::from_micros(ago));
    taken[0].busy(true);
    taken[1].busy(false);
    taken[2].busy(false);
    at(0, 9_000_000);
    at(1, 2_000_000);
    at(2, 3_000_000);
    at(3, 100_000);
    let told = || taken.iter().map(Seat::told).collect::<Vec<_>>();
    let newcomers: Vec<Option<Seat>> = (0..4).map(|_| seats.take(true)).collect();
    assert_eq!(told(), [false, true, true, true]);
    assert!(newcomers[2].is_some() && newcomers[3].is_none(), "only the busy and the new are left");
    drop(newcomers);
    assert!(seats.take(true).is_some());
    let keeps = Seats::new(1, 8, false);
    let idle = keeps.take(true).expect("a seat");
    idle.busy(false);
    assert!(keeps.take(true).is_none(), "where a session holds something it is not ended");
}

/// Guards the descriptors: sessions told to go with half a message in hand, or a request that came just then, stay for
/// seconds, and each made a newcomer's seat one more than there are.
#[test]
fn those_told_to_go_hold_so_many_seats_besides_and_no_more() {
    let seats = Seats::new(4, 2, true);
    let idle = || {
        let seat = seats.take(true);
        seat.iter().for_each(|s| {
            s.busy(false);
            s.asked();
        });
        seat
    };
    let mut taken: Vec<Seat> = (0..4).map_while(|_| idle()).collect();
    taken.extend((0..50).map_while(|_| idle()));
    assert_eq!((taken.len(), seats.taken()), (6, 6));
    assert_eq!(taken.iter().filter(|s| s.told()).count(), 2, "nobody is told to go for nothing");
    drop(taken.remove(0));
    assert!(idle().is_some(), "one has gone");
}

/// Guards clients that were served: those that connect and stay, or begin messages, filled the seats after them.
#[test]
fn sessions_that_asked_nothing_go_before_those_that_were_served() {
    let seats = Seats::new(4, 8, true);
    let taken: Vec<Seat> = (0..4).map(|_| seats.take(true).expect("a seat")).collect();
    taken.iter().for_each(|s| s.busy(false));
    taken[0].asked();
    taken[1].asked();
    taken[1].begun();
    taken[2].begun();
    let at = |i: usize, ago: i64| taken[i].place.since.set(now() - TimeDelta::from_micros(ago));
    [(0, 9_000_000), (1, 8_000_000), (2, 1_000_000), (3, 60_000)].into_iter().for_each(|(i, ago)| at(i, ago));
    let mut newcomers = Vec::new();
    for gone in [2, 3, 0, 1] {
        assert!(!taken[gone].told());
        let seat = seats.take(false);
        assert_eq!(seat.is_some(), gone > 1, "for who has said nothing, none of the served goes");
        let seat = seat.or_else(|| seats.take(true)).expect("a seat");
        seat.busy(true);
        newcomers.push(seat);
        assert!(taken[gone].told(), "{gone} is next");
    }
    assert!(seats.take(true).is_none(), "all are busy");
}

/// Guards the served from a crowd that comes at once: who waits for a seat waits until the newest may go.
#[test]
fn the_grace_of_the_silent_is_told() {
    let seats = Seats::new(2, 8, true);
    let taken: Vec<Seat> = (0..2).map(|_| seats.take(false).expect("a seat")).collect();
    taken[0].busy(false);
    taken[0].asked();
    taken[1].place.since.set(now() - TimeDelta::from_millis(20));
    assert!(seats.take(false).is_none());
    let left = seats.grace().expect("one is silent");
    assert!((TimeDelta::ZERO..=TimeDelta::from_millis(30)).contains(&left), "{left:?}");
    taken[1].place.since.set(now() - TimeDelta::from_millis(60));
    assert_eq!(seats.grace(), Some(TimeDelta::ZERO));
    let seat = seats.take(true).filter(|_| taken[1].told() && !taken[0].told()).expect("the silent one's");
    taken[1].busy(true);
    seat.busy(true);
    assert_eq!(seats.grace(), None);
}

/// Guards cancels and newcomers that wait for a seat: those that had their last word filled the lobby after them.
#[test]
fn the_lobby_displaces_the_parting_first_and_then_who_has_been_there_for_longest() {
    use Errand::{Coming, Parting};
    let lobby = Lobby::new(3);
    // Each with the one that goes for it.
    let all = [
        (Coming, None),
        (Coming, None),
        (Parting, None),
        (Coming, Some(2)),
        (Coming, Some(0)),
        (Parting, Some(5)),
        (Coming, Some(1)),
    ];
    let (mut guests, mut gone) = (Vec::new(), Vec::new());
    for (i, (errand, goes)) in all.into_iter().enumerate() {
        guests.push(lobby.enter(errand));
        gone.extend(goes);
        gone.sort_unstable();
        let told: Vec<usize> = (0..=i).filter(|i| guests[*i].told()).collect();
        assert_eq!(told, gone, "after {i}");
    }
    guests[6].parts();
    let _more = lobby.enter(Coming);
    assert!(guests[6].told() && !guests[3].told() && !guests[4].told());
    drop(guests.remove(3));
    let _more = lobby.enter(Coming);
    assert!(!guests[3].told(), "there was room");
    assert!(lobby.displace() && lobby.displace() && lobby.displace() && !lobby.displace());
}
