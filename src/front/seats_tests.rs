//! Who gets a seat, and who has to go for it.

use super::*;

/// Guards the usual clients: silent ones, then idle ones, make room for them; who has a request
/// open, or has only just come, stays.
#[test]
fn the_silent_go_first_then_the_longest_idle_and_the_busy_never() {
    let seats = Seats::new(4, true);
    let taken: Vec<Seat> = (0..4).map(|_| seats.take().expect("a seat")).collect();
    assert!(seats.take().is_none(), "all have only just come");
    let at = |i: usize, ago: i64| taken[i].place.since.set(now() - Micros(ago));
    taken[0].busy(true);
    taken[1].busy(false);
    taken[2].busy(false);
    at(0, 9_000_000);
    at(1, 2_000_000);
    at(2, 3_000_000);
    at(3, 100_000);
    let told = || taken.iter().map(Seat::told).collect::<Vec<_>>();
    let newcomers: Vec<Option<Seat>> = (0..4).map(|_| seats.take()).collect();
    assert_eq!(told(), [false, true, true, true]);
    assert!(newcomers[2].is_some() && newcomers[3].is_none(), "only the busy and the new are left");
    drop(newcomers);
    assert!(seats.take().is_some());
    let keeps = Seats::new(1, false);
    let idle = keeps.take().expect("a seat");
    idle.busy(false);
    assert!(keeps.take().is_none(), "where a session holds something it is not ended");
}
