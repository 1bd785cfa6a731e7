//! Who is connected to a front, and who has to go when it is full: first those that have said nothing
//! of a session, then sessions that have asked nothing yet, then the one that has been idle for longest.
//! Newcomers are turned away only when nobody can go. Of the last, only who has said what it wants takes the state. Guards against clients that connect and stay: they would keep the others out.
//!
//! Each connection holds one state, from its accept to its close: a [`ConnectionSlot`], or a state in the [`SessionlessConnections`]. Both are
//! bounded, and so are the descriptors that clients hold.

use crate::core::now;
use sprucelink_time::{TimeDelta, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;

/// A newcomer has so long to say something before it may have to go: its first packet is under way. So have a session
/// that has asked nothing yet, and one that has begun a message: max_slots come whole at once.
const EVICTION_GRACE: TimeDelta = TimeDelta::from_millis(50);

/// What a connection is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotActivity {
    /// No session yet.
    Handshaking,
    /// A session with no open request.
    Idle,
    /// A session whose next message is here in part.
    ReceivingMessage,
    /// A session whose request is open.
    Executing,
}

/// One connection's seat.
#[derive(Debug)]
struct SlotState {
    activity: Cell<SlotActivity>,
    since: Cell<Timestamp>,
    /// Its session has had a request taken.
    has_requested: Cell<bool>,
    is_evicted: Cell<bool>,
    evicted: Notify,
}

impl SlotState {
    fn new() -> SlotState {
        SlotState {
            activity: Cell::new(SlotActivity::Handshaking),
            since: Cell::new(now()),
            has_requested: Cell::new(false),
            is_evicted: Cell::new(false),
            evicted: Notify::new(),
        }
    }

    /// Tells who is there to go.
    fn evict(&self) {
        self.is_evicted.set(true);
        self.evicted.notify_one();
    }
}

/// The slots of a front.
#[derive(Debug)]
pub struct ConnectionSlots {
    states: RefCell<BTreeMap<u64, Rc<SlotState>>>,
    next: Cell<u64>,
    max_slots: usize,
    /// Of those told to go, so many may still be there besides: what they had begun is ended first.
    max_evicted: usize,
    /// A seat has become free.
    released: Notify,
    /// Idle sessions hold nothing that their clients would miss.
    may_evict_idle: bool,
}

/// A seat that is taken; it is free again when this is dropped.
#[derive(Debug)]
pub struct ConnectionSlot {
    slots: Rc<ConnectionSlots>,
    number: u64,
    state: Rc<SlotState>,
}

impl ConnectionSlots {
    /// So many slots, and besides so many of those who have been told to go and are still there.
    pub fn new(max_slots: usize, max_evicted: usize, may_evict_idle: bool) -> Rc<ConnectionSlots> {
        let (states, next, released) = (RefCell::default(), Cell::new(0), Notify::new());
        Rc::new(ConnectionSlots { states, next, max_slots, max_evicted, released, may_evict_idle })
    }

    /// A seat for a newcomer, if need be of one that is told to go; `None` where nobody can, or where too many of
    /// those told are still there. For who has not said yet what it wants, no session goes that was served.
    pub fn acquire(self: &Rc<Self>, may_evict_served: bool) -> Option<ConnectionSlot> {
        // Guards the descriptors: who was told may have begun a request, and goes only behind its answer.
        if self.is_at_hard_limit() {
            return None;
        }
        if self.retained() >= self.max_slots && !self.evict_one(may_evict_served) {
            return None;
        }
        let mut states = self.states.borrow_mut();
        let number = self.next.get();
        self.next.set(number + 1);
        let state = Rc::new(SlotState::new());
        states.insert(number, Rc::clone(&state));
        Some(ConnectionSlot { slots: Rc::clone(self), number, state })
    }

    /// Whether as many are still there who were told to go as may be.
    pub fn is_at_hard_limit(&self) -> bool {
        self.occupied() >= self.max_slots.saturating_add(self.max_evicted)
    }

    /// Returns when a seat becomes free from now on.
    pub fn released(&self) -> Notified<'_> {
        self.released.notified()
    }

    /// Tells the one to go that can best; false where nobody can. Sessions that were served go only if `served` do.
    pub fn evict_one(&self, may_evict_served: bool) -> bool {
        let states = self.states.borrow();
        let fresh = |p: &SlotState| now() - p.since.get() <= EVICTION_GRACE;
        let may = |p: &&Rc<SlotState>| match p.activity.get() {
            _ if p.is_evicted.get() => false,
            SlotActivity::Handshaking => !fresh(p),
            SlotActivity::Idle | SlotActivity::ReceivingMessage if !self.may_evict_idle => false,
            SlotActivity::Idle if p.has_requested.get() => may_evict_served,
            SlotActivity::Idle => !fresh(p),
            SlotActivity::ReceivingMessage => !fresh(p) && (may_evict_served || !p.has_requested.get()),
            SlotActivity::Executing => false,
        };
        // Guards clients that were served: those that only connect and stay go before them.
        let rank = |p: &SlotState| match p.activity.get() {
            SlotActivity::Handshaking => 0,
            SlotActivity::Idle | SlotActivity::ReceivingMessage if !p.has_requested.get() => 1,
            SlotActivity::Idle => 2,
            SlotActivity::ReceivingMessage | SlotActivity::Executing => 3,
        };
        let goes = states.values().filter(may).min_by_key(|p| (rank(p), p.since.get()));
        goes.inspect(|p| p.evict()).is_some()
    }

    /// How long until the next of those who have asked nothing may have to go; `None` where there are none.
    pub fn time_until_evictable(&self) -> Option<TimeDelta> {
        let states = self.states.borrow();
        let may = |p: &&Rc<SlotState>| match p.activity.get() {
            _ if p.is_evicted.get() => false,
            SlotActivity::Handshaking => true,
            SlotActivity::Idle | SlotActivity::ReceivingMessage => {
                self.may_evict_idle && !p.has_requested.get()
            }
            SlotActivity::Executing => false,
        };
        states
            .values()
            .filter(may)
            .map(|p| p.since.get() + EVICTION_GRACE - now())
            .min()
            .map(|left| left.max(TimeDelta::ZERO))
    }

    /// ConnectionSlots of those who were not told to go.
    fn retained(&self) -> usize {
        self.states.borrow().values().filter(|p| !p.is_evicted.get()).count()
    }
}

impl ConnectionSlots {
    /// Tells sessions to go that have been idle for so long, and connections that have been silent for so long.
    pub fn evict_idle(&self, idle: TimeDelta) {
        for state in self.states.borrow().values() {
            // A message that was begun is answered first: the end comes with it.
            let busy =
                matches!(state.activity.get(), SlotActivity::Executing | SlotActivity::ReceivingMessage);
            if !busy && now() - state.since.get() >= idle && !state.is_evicted.replace(true) {
                state.evicted.notify_one();
            }
        }
    }

    /// ConnectionSlots that are taken.
    pub fn occupied(&self) -> usize {
        self.states.borrow().len()
    }
}

impl ConnectionSlot {
    /// The session has an open request, or has none.
    pub fn set_executing(&self, is_executing: bool) {
        self.set_activity(if is_executing { SlotActivity::Executing } else { SlotActivity::Idle });
    }
    /// A request of the session was taken.
    pub fn record_request(&self) {
        self.state.has_requested.set(true);
    }
    /// The session's next message is here in part.
    pub fn set_receiving(&self) {
        self.set_activity(SlotActivity::ReceivingMessage);
    }
    fn set_activity(&self, activity: SlotActivity) {
        if self.state.activity.replace(activity) != activity {
            self.state.since.set(now());
        }
    }
    /// Whether it was told to go. A request that came first is answered first.
    pub fn is_evicted(&self) -> bool {
        self.state.is_evicted.get()
    }
    /// Returns when it is told to go.
    pub async fn evicted(&self) {
        self.state.evicted.notified().await;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.slots.states.borrow_mut().remove(&self.number);
        self.slots.released.notify_waiters();
    }
}

/// What a connection without a seat is about. Where the owner is full, those that are parting go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SessionlessPhase {
    /// It is being ended: what it still gets is its last word.
    Closing,
    /// It has not said what it wants, or waits for a seat.
    Handshaking,
}

/// Where connections stand that have no seat: newcomers whose first packet may be a cancel, which needs none, and those
/// that are being ended with a last word. When it is full, one of them is closed, of each phase the one that has been
/// there for longest.
#[derive(Debug)]
pub struct SessionlessConnections {
    states: RefCell<BTreeMap<u64, Rc<SessionlessState>>>,
    next: Cell<u64>,
    max_slots: usize,
}

/// Who is in the owner.
#[derive(Debug)]
struct SessionlessState {
    phase: Cell<SessionlessPhase>,
    is_evicted: Cell<bool>,
    evicted: Notify,
}

/// A state in the owner; it is free again when this is dropped.
#[derive(Debug)]
pub struct SessionlessConnection {
    owner: Rc<SessionlessConnections>,
    number: u64,
    state: Rc<SessionlessState>,
}

impl SessionlessConnections {
    /// So many states, one at least.
    pub fn new(max_slots: usize) -> Rc<SessionlessConnections> {
        Rc::new(SessionlessConnections {
            states: RefCell::default(),
            next: Cell::new(0),
            max_slots: max_slots.max(1),
        })
    }

    /// A state, if need be another's; where its own phase is the first to go, it is told so at once.
    pub fn enter(self: &Rc<Self>, phase: SessionlessPhase) -> SessionlessConnection {
        let number = self.next.get();
        self.next.set(number + 1);
        let state = Rc::new(SessionlessState {
            phase: Cell::new(phase),
            is_evicted: Cell::new(false),
            evicted: Notify::new(),
        });
        self.states.borrow_mut().insert(number, Rc::clone(&state));
        if self.states.borrow().len() > self.max_slots {
            self.evict_one();
        }
        SessionlessConnection { owner: Rc::clone(self), number, state }
    }

    /// Whether one more can come without another's going.
    pub fn has_room(&self) -> bool {
        self.states.borrow().len() < self.max_slots
    }

    /// Tells the one to go that can best; false where nobody is.
    pub fn evict_one(&self) -> bool {
        let mut states = self.states.borrow_mut();
        let goes = states.iter().min_by_key(|(number, state)| (state.phase.get(), **number));
        let Some(state) = goes.map(|g| *g.0).and_then(|number| states.remove(&number)) else { return false };
        state.is_evicted.set(true);
        state.evicted.notify_one();
        true
    }
}

impl SessionlessConnection {
    /// Its connection is being ended from now on.
    pub fn set_closing(&self) {
        self.state.phase.set(SessionlessPhase::Closing);
    }
    /// Whether it was told to go: its connection is closed in this turn.
    pub fn is_evicted(&self) -> bool {
        self.state.is_evicted.get()
    }
    /// Returns when it is told to go, or was before.
    pub async fn evicted(&self) {
        if !self.is_evicted() {
            self.state.evicted.notified().await;
        }
    }
}

impl Drop for SessionlessConnection {
    fn drop(&mut self) {
        self.owner.states.borrow_mut().remove(&self.number);
    }
}

/// What a connection holds: one of the two, at any time.
#[derive(Debug)]
pub enum ConnectionGuard {
    /// A seat.
    Slot(ConnectionSlot),
    /// A state in the owner.
    Sessionless(SessionlessConnection),
}

impl ConnectionGuard {
    /// Returns when it is told to go.
    pub async fn evicted(&self) {
        match self {
            ConnectionGuard::Slot(seat) => seat.evicted().await,
            ConnectionGuard::Sessionless(state) => state.evicted().await,
        }
    }
    /// Whether it has no seat.
    pub fn is_sessionless(&self) -> bool {
        matches!(self, ConnectionGuard::Sessionless(_))
    }
}

#[cfg(test)]
#[path = "connection_slots_tests.rs"]
mod tests;
