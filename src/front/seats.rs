//! Who is connected to a front, and who has to go when it is full: first those that have said nothing
//! of a session, then the session that has been idle for longest. Newcomers are turned away only when
//! nobody can go. Guards against clients that connect and stay: they would keep the others out.

use crate::core::now;
use sprucelink_policy::interface::Micros;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// A newcomer has so long to say something before it may have to go: its first packet is under way.
const GRACE: Micros = Micros(50_000);

/// What a connection is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// No session yet.
    Silent,
    /// A session with no open request.
    Idle,
    /// A session whose request is open.
    Busy,
}

/// One connection's seat.
#[derive(Debug)]
struct Place {
    standing: Cell<Standing>,
    since: Cell<Micros>,
    told: Cell<bool>,
    leave: Notify,
}

/// The seats of a front.
#[derive(Debug)]
pub struct Seats {
    places: RefCell<BTreeMap<u64, Rc<Place>>>,
    next: Cell<u64>,
    most: usize,
    /// Idle sessions hold nothing that their clients would miss.
    idle_may_go: bool,
}

/// A seat that is taken; it is free again when this is dropped.
#[derive(Debug)]
pub struct Seat {
    seats: Rc<Seats>,
    number: u64,
    place: Rc<Place>,
}

impl Seats {
    /// So many seats.
    pub fn new(most: usize, idle_may_go: bool) -> Rc<Seats> {
        Rc::new(Seats { places: RefCell::default(), next: Cell::new(0), most, idle_may_go })
    }

    /// A seat for a newcomer, if need be of one that is told to go; `None` where nobody can.
    pub fn take(self: &Rc<Self>) -> Option<Seat> {
        let mut places = self.places.borrow_mut();
        let staying = || places.values().filter(|p| !p.told.get());
        if staying().count() >= self.most {
            let may = |p: &&Rc<Place>| match p.standing.get() {
                Standing::Silent => now() - p.since.get() > GRACE,
                Standing::Idle => self.idle_may_go,
                Standing::Busy => false,
            };
            let first = |p: &&Rc<Place>| (p.standing.get() != Standing::Silent, p.since.get());
            let goes = staying().filter(may).min_by_key(first)?;
            goes.told.set(true);
            goes.leave.notify_one();
        }
        let number = self.next.get();
        self.next.set(number + 1);
        let (standing, since) = (Cell::new(Standing::Silent), Cell::new(now()));
        let place = Rc::new(Place { standing, since, told: Cell::new(false), leave: Notify::new() });
        places.insert(number, Rc::clone(&place));
        Some(Seat { seats: Rc::clone(self), number, place })
    }
}

impl Seats {
    /// Tells sessions to go that have been idle for so long, and connections that have been silent for so long.
    pub fn let_go(&self, idle: Micros) {
        for place in self.places.borrow().values() {
            let busy = place.standing.get() == Standing::Busy;
            if !busy && now() - place.since.get() >= idle && !place.told.replace(true) {
                place.leave.notify_one();
            }
        }
    }

    /// Seats that are taken.
    pub fn taken(&self) -> usize {
        self.places.borrow().len()
    }
}

impl Seat {
    /// The session has an open request, or has none.
    pub fn busy(&self, busy: bool) {
        let standing = if busy { Standing::Busy } else { Standing::Idle };
        if self.place.standing.replace(standing) != standing {
            self.place.since.set(now());
        }
    }
    /// Whether it was told to go. A request that came first is answered first.
    pub fn told(&self) -> bool {
        self.place.told.get()
    }
    /// Returns when it is told to go.
    pub async fn leave(&self) {
        self.place.leave.notified().await;
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.seats.places.borrow_mut().remove(&self.number);
    }
}

#[cfg(test)]
#[path = "seats_tests.rs"]
mod tests;
