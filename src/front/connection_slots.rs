//! Who is connected to a front, and who has to go when it is full: first those that have said nothing
//! of a session, then sessions that have asked nothing yet, then the one that has been idle for longest.
//! Newcomers are turned away only when nobody can go. Of the last, only who has said what it wants takes the place. Guards against clients that connect and stay: they would keep the others out.
//!
//! Each connection holds one place, from its accept to its close: a [`Seat`], or a place in the [`Lobby`]. Both are
//! bounded, and so are the descriptors that clients hold.

use crate::core::now;
use sprucelink_time::{TimeDelta, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;

/// A newcomer has so long to say something before it may have to go: its first packet is under way. So have a session
/// that has asked nothing yet, and one that has begun a message: most come whole at once.
const GRACE: TimeDelta = TimeDelta::from_millis(50);

/// What a connection is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// No session yet.
    Silent,
    /// A session with no open request.
    Idle,
    /// A session whose next message is here in part.
    Begun,
    /// A session whose request is open.
    Busy,
}

/// One connection's seat.
#[derive(Debug)]
struct Place {
    standing: Cell<Standing>,
    since: Cell<Timestamp>,
    /// Its session has had a request taken.
    asked: Cell<bool>,
    told: Cell<bool>,
    leave: Notify,
}

impl Place {
    fn new() -> Place {
        Place {
            standing: Cell::new(Standing::Silent),
            since: Cell::new(now()),
            asked: Cell::new(false),
            told: Cell::new(false),
            leave: Notify::new(),
        }
    }

    /// Tells who is there to go.
    fn tell(&self) {
        self.told.set(true);
        self.leave.notify_one();
    }
}

/// The seats of a front.
#[derive(Debug)]
pub struct Seats {
    places: RefCell<BTreeMap<u64, Rc<Place>>>,
    next: Cell<u64>,
    most: usize,
    /// Of those told to go, so many may still be there besides: what they had begun is ended first.
    most_leaving: usize,
    /// A seat has become free.
    freed: Notify,
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
    /// So many seats, and besides so many of those who have been told to go and are still there.
    pub fn new(most: usize, most_leaving: usize, idle_may_go: bool) -> Rc<Seats> {
        let (places, next, freed) = (RefCell::default(), Cell::new(0), Notify::new());
        Rc::new(Seats { places, next, most, most_leaving, freed, idle_may_go })
    }

    /// A seat for a newcomer, if need be of one that is told to go; `None` where nobody can, or where too many of
    /// those told are still there. For who has not said yet what it wants, no session goes that was served.
    pub fn take(self: &Rc<Self>, wants_session: bool) -> Option<Seat> {
        // Guards the descriptors: who was told may have begun a request, and goes only behind its answer.
        if self.is_crowded() {
            return None;
        }
        if self.staying() >= self.most && !self.make_room(wants_session) {
            return None;
        }
        let mut places = self.places.borrow_mut();
        let number = self.next.get();
        self.next.set(number + 1);
        let place = Rc::new(Place::new());
        places.insert(number, Rc::clone(&place));
        Some(Seat { seats: Rc::clone(self), number, place })
    }

    /// Whether as many are still there who were told to go as may be.
    pub fn is_crowded(&self) -> bool {
        self.taken() >= self.most.saturating_add(self.most_leaving)
    }

    /// Returns when a seat becomes free from now on.
    pub fn freed(&self) -> Notified<'_> {
        self.freed.notified()
    }

    /// Tells the one to go that can best; false where nobody can. Sessions that were served go only if `served` do.
    pub fn make_room(&self, served: bool) -> bool {
        let places = self.places.borrow();
        let fresh = |p: &Place| now() - p.since.get() <= GRACE;
        let may = |p: &&Rc<Place>| match p.standing.get() {
            _ if p.told.get() => false,
            Standing::Silent => !fresh(p),
            Standing::Idle | Standing::Begun if !self.idle_may_go => false,
            Standing::Idle if p.asked.get() => served,
            Standing::Idle => !fresh(p),
            Standing::Begun => !fresh(p) && (served || !p.asked.get()),
            Standing::Busy => false,
        };
        // Guards clients that were served: those that only connect and stay go before them.
        let rank = |p: &Place| match p.standing.get() {
            Standing::Silent => 0,
            Standing::Idle | Standing::Begun if !p.asked.get() => 1,
            Standing::Idle => 2,
            Standing::Begun | Standing::Busy => 3,
        };
        let goes = places.values().filter(may).min_by_key(|p| (rank(p), p.since.get()));
        goes.inspect(|p| p.tell()).is_some()
    }

    /// How long until the next of those who have asked nothing may have to go; `None` where there are none.
    pub fn grace(&self) -> Option<TimeDelta> {
        let places = self.places.borrow();
        let may = |p: &&Rc<Place>| match p.standing.get() {
            _ if p.told.get() => false,
            Standing::Silent => true,
            Standing::Idle | Standing::Begun => self.idle_may_go && !p.asked.get(),
            Standing::Busy => false,
        };
        places
            .values()
            .filter(may)
            .map(|p| p.since.get() + GRACE - now())
            .min()
            .map(|left| left.max(TimeDelta::ZERO))
    }

    /// Seats of those who were not told to go.
    fn staying(&self) -> usize {
        self.places.borrow().values().filter(|p| !p.told.get()).count()
    }
}

impl Seats {
    /// Tells sessions to go that have been idle for so long, and connections that have been silent for so long.
    pub fn let_go(&self, idle: TimeDelta) {
        for place in self.places.borrow().values() {
            // A message that was begun is answered first: the end comes with it.
            let busy = matches!(place.standing.get(), Standing::Busy | Standing::Begun);
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
        self.stands(if busy { Standing::Busy } else { Standing::Idle });
    }
    /// A request of the session was taken.
    pub fn asked(&self) {
        self.place.asked.set(true);
    }
    /// The session's next message is here in part.
    pub fn begun(&self) {
        self.stands(Standing::Begun);
    }
    fn stands(&self, standing: Standing) {
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
        self.seats.freed.notify_waiters();
    }
}

/// What a connection without a seat is about. Where the lobby is full, those that are parting go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Errand {
    /// It is being ended: what it still gets is its last word.
    Parting,
    /// It has not said what it wants, or waits for a seat.
    Coming,
}

/// Where connections stand that have no seat: newcomers whose first packet may be a cancel, which needs none, and those
/// that are being ended with a last word. When it is full, one of them is closed, of each errand the one that has been
/// there for longest.
#[derive(Debug)]
pub struct Lobby {
    places: RefCell<BTreeMap<u64, Rc<Guest>>>,
    next: Cell<u64>,
    most: usize,
}

/// Who is in the lobby.
#[derive(Debug)]
struct Guest {
    errand: Cell<Errand>,
    told: Cell<bool>,
    leave: Notify,
}

/// A place in the lobby; it is free again when this is dropped.
#[derive(Debug)]
pub struct Standby {
    lobby: Rc<Lobby>,
    number: u64,
    guest: Rc<Guest>,
}

impl Lobby {
    /// So many places, one at least.
    pub fn new(most: usize) -> Rc<Lobby> {
        Rc::new(Lobby { places: RefCell::default(), next: Cell::new(0), most: most.max(1) })
    }

    /// A place, if need be another's; where its own errand is the first to go, it is told so at once.
    pub fn enter(self: &Rc<Self>, errand: Errand) -> Standby {
        let number = self.next.get();
        self.next.set(number + 1);
        let guest =
            Rc::new(Guest { errand: Cell::new(errand), told: Cell::new(false), leave: Notify::new() });
        self.places.borrow_mut().insert(number, Rc::clone(&guest));
        if self.places.borrow().len() > self.most {
            self.displace();
        }
        Standby { lobby: Rc::clone(self), number, guest }
    }

    /// Whether one more can come without another's going.
    pub fn has_room(&self) -> bool {
        self.places.borrow().len() < self.most
    }

    /// Tells the one to go that can best; false where nobody is.
    pub fn displace(&self) -> bool {
        let mut places = self.places.borrow_mut();
        let goes = places.iter().min_by_key(|(number, guest)| (guest.errand.get(), **number));
        let Some(guest) = goes.map(|g| *g.0).and_then(|number| places.remove(&number)) else { return false };
        guest.told.set(true);
        guest.leave.notify_one();
        true
    }
}

impl Standby {
    /// Its connection is being ended from now on.
    pub fn parts(&self) {
        self.guest.errand.set(Errand::Parting);
    }
    /// Whether it was told to go: its connection is closed in this turn.
    pub fn told(&self) -> bool {
        self.guest.told.get()
    }
    /// Returns when it is told to go, or was before.
    pub async fn leave(&self) {
        if !self.told() {
            self.guest.leave.notified().await;
        }
    }
}

impl Drop for Standby {
    fn drop(&mut self) {
        self.lobby.places.borrow_mut().remove(&self.number);
    }
}

/// What a connection holds: one of the two, at any time.
#[derive(Debug)]
pub enum Stay {
    /// A seat.
    Seat(Seat),
    /// A place in the lobby.
    Lobby(Standby),
}

impl Stay {
    /// Returns when it is told to go.
    pub async fn leave(&self) {
        match self {
            Stay::Seat(seat) => seat.leave().await,
            Stay::Lobby(place) => place.leave().await,
        }
    }
    /// Whether it has no seat.
    pub fn in_lobby(&self) -> bool {
        matches!(self, Stay::Lobby(_))
    }
}

#[cfg(test)]
#[path = "connection_slots_tests.rs"]
mod tests;
