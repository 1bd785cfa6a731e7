//! Slots for sessions, and the choice of the connection that is evicted when all of them are in use.
//!
//! Connections that have not sent a start-up packet are evicted first, then sessions that have never sent a
//! request, then the session that has been idle for longest. A connection whose request is executing is never
//! evicted. A new connection is rejected only when none can be evicted for it. Without eviction, clients that
//! connect and stay idle would lock out all others.
//!
//! Every connection holds either a [`ConnectionSlot`] or a
//! [`SessionlessConnection`](super::sessionless::SessionlessConnection). Both are bounded, and so is the
//! number of descriptors that clients hold.

use crate::core::now;
use sprucelink_time::{TimeDelta, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;

/// How long a connection is protected from eviction after it was accepted, after its session started without
/// a request, or after a part of a message arrived: its next bytes are probably in transit.
const EVICTION_GRACE: TimeDelta = TimeDelta::from_millis(50);

/// Which connections may be evicted for a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionScope {
    /// Connections without a session, and sessions of which no request has been admitted.
    WithoutRequest,
    /// The connections of [`EvictionScope::WithoutRequest`], and sessions of which requests have been
    /// admitted but none is open.
    WithoutOpenRequest,
}

/// What a connection that holds a slot is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotActivity {
    /// The connection has not started a session.
    Handshaking,
    /// The session has no open request.
    Idle,
    /// The session has received a part of a message.
    ReceivingMessage,
    /// The session has an open request.
    Executing,
}

/// State of one slot, shared between the table and the connection.
#[derive(Debug)]
struct SlotState {
    activity: Cell<SlotActivity>,
    /// Time at which `activity` last changed.
    activity_since: Cell<Timestamp>,
    /// Whether a request of the session has been admitted.
    has_requested: Cell<bool>,
    is_evicted: Cell<bool>,
    evicted: Notify,
}

impl SlotState {
    fn new() -> SlotState {
        SlotState {
            activity: Cell::new(SlotActivity::Handshaking),
            activity_since: Cell::new(now()),
            has_requested: Cell::new(false),
            is_evicted: Cell::new(false),
            evicted: Notify::new(),
        }
    }

    fn evict(&self) {
        self.is_evicted.set(true);
        self.evicted.notify_one();
    }

    /// Whether the connection can be evicted now. Sessions can be evicted only if `may_evict_sessions`.
    fn is_evictable(&self, scope: EvictionScope, may_evict_sessions: bool) -> bool {
        let may_evict_after_request = scope == EvictionScope::WithoutOpenRequest;
        let in_grace = now() - self.activity_since.get() <= EVICTION_GRACE;
        match self.activity.get() {
            _ if self.is_evicted.get() => false,
            SlotActivity::Handshaking => !in_grace,
            SlotActivity::Idle | SlotActivity::ReceivingMessage if !may_evict_sessions => false,
            SlotActivity::Idle if self.has_requested.get() => may_evict_after_request,
            SlotActivity::Idle => !in_grace,
            SlotActivity::ReceivingMessage => {
                !in_grace && (may_evict_after_request || !self.has_requested.get())
            }
            SlotActivity::Executing => false,
        }
    }

    /// Rank among the evictable connections; the lowest is evicted first.
    fn eviction_rank(&self) -> u8 {
        match self.activity.get() {
            SlotActivity::Handshaking => 0,
            SlotActivity::Idle | SlotActivity::ReceivingMessage if !self.has_requested.get() => 1,
            SlotActivity::Idle => 2,
            SlotActivity::ReceivingMessage | SlotActivity::Executing => 3,
        }
    }

    /// Whether the connection is evictable in the scope [`EvictionScope::WithoutRequest`] once its grace
    /// period is over.
    fn is_evictable_after_grace(&self, may_evict_sessions: bool) -> bool {
        match self.activity.get() {
            _ if self.is_evicted.get() => false,
            SlotActivity::Handshaking => true,
            SlotActivity::Idle | SlotActivity::ReceivingMessage => {
                may_evict_sessions && !self.has_requested.get()
            }
            SlotActivity::Executing => false,
        }
    }
}

/// The slots for the connections of a front.
#[derive(Debug)]
pub struct ConnectionSlots {
    states: RefCell<BTreeMap<u64, Rc<SlotState>>>,
    next_number: Cell<u64>,
    max_slots: usize,
    /// Maximum number of evicted connections that still hold a slot, beyond `max_slots`.
    max_evicted: usize,
    /// Notified when a slot is released.
    released: Notify,
    /// Whether sessions without an open request can be evicted, since they have no state that their clients
    /// would lose.
    may_evict_sessions: bool,
}

/// A slot in use; it is released on drop.
#[derive(Debug)]
pub struct ConnectionSlot {
    slots: Rc<ConnectionSlots>,
    number: u64,
    state: Rc<SlotState>,
}

impl ConnectionSlots {
    /// Creates `max_slots` slots, and `max_evicted` additional ones, which are used while evicted connections
    /// still hold a slot. Sessions can be evicted only if `may_evict_sessions`.
    pub fn new(max_slots: usize, max_evicted: usize, may_evict_sessions: bool) -> Rc<ConnectionSlots> {
        Rc::new(ConnectionSlots {
            states: RefCell::default(),
            next_number: Cell::new(0),
            max_slots,
            max_evicted,
            released: Notify::new(),
            may_evict_sessions,
        })
    }

    /// Acquires a slot, evicting another connection if necessary; `None` if none can be evicted or too many
    /// evicted connections are still open.
    pub fn acquire(self: &Rc<Self>, scope: EvictionScope) -> Option<ConnectionSlot> {
        // An evicted session still answers a message that arrived before the eviction took effect, and holds
        // its descriptor until then, so the number of evicted connections is bounded too.
        if self.is_at_hard_limit() {
            return None;
        }
        if self.retained() >= self.max_slots && !self.evict_one(scope) {
            return None;
        }
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let state = Rc::new(SlotState::new());
        self.states.borrow_mut().insert(number, Rc::clone(&state));
        Some(ConnectionSlot { slots: Rc::clone(self), number, state })
    }

    /// Whether all slots are in use, including the additional ones for evicted connections.
    pub fn is_at_hard_limit(&self) -> bool {
        self.occupied() >= self.max_slots.saturating_add(self.max_evicted)
    }

    /// Completes when a slot is released after this call.
    pub fn released(&self) -> Notified<'_> {
        self.released.notified()
    }

    /// Evicts the connection with the lowest eviction rank; false if no connection can be evicted.
    pub fn evict_one(&self, scope: EvictionScope) -> bool {
        let states = self.states.borrow();
        let candidate = states
            .values()
            .filter(|state| state.is_evictable(scope, self.may_evict_sessions))
            .min_by_key(|state| (state.eviction_rank(), state.activity_since.get()));
        candidate.inspect(|state| state.evict()).is_some()
    }

    /// Time until a connection becomes evictable in the scope [`EvictionScope::WithoutRequest`], zero if one
    /// is evictable now; `None` if no connection will become evictable.
    pub fn time_until_evictable(&self) -> Option<TimeDelta> {
        let states = self.states.borrow();
        let candidates =
            states.values().filter(|state| state.is_evictable_after_grace(self.may_evict_sessions));
        let remaining = candidates.map(|state| state.activity_since.get() + EVICTION_GRACE - now()).min();
        remaining.map(|remaining| remaining.max(TimeDelta::ZERO))
    }

    /// Evicts the connections that have been idle, or without a session, for at least `min_idle`.
    pub fn evict_idle(&self, min_idle: TimeDelta) {
        for state in self.states.borrow().values() {
            // A message that has begun to arrive is still answered, and the session ends after the answer.
            let is_busy =
                matches!(state.activity.get(), SlotActivity::Executing | SlotActivity::ReceivingMessage);
            let is_idle = !is_busy && now() - state.activity_since.get() >= min_idle;
            if is_idle && !state.is_evicted.get() {
                state.evict();
            }
        }
    }

    /// Number of slots in use, including those of evicted connections.
    pub fn occupied(&self) -> usize {
        self.states.borrow().len()
    }

    /// Number of slots whose connections have not been evicted.
    fn retained(&self) -> usize {
        self.states.borrow().values().filter(|state| !state.is_evicted.get()).count()
    }
}

impl ConnectionSlot {
    /// Sets whether the session has an open request; called with `false` when the session starts.
    pub fn set_executing(&self, is_executing: bool) {
        self.set_activity(if is_executing { SlotActivity::Executing } else { SlotActivity::Idle });
    }

    /// Records that the session has received a part of its next message.
    pub fn set_receiving(&self) {
        self.set_activity(SlotActivity::ReceivingMessage);
    }

    /// Records that a request of the session has been admitted.
    pub fn record_request(&self) {
        self.state.has_requested.set(true);
    }

    /// How long the session has had no open request; `None` if it has one, or has received a part of a
    /// message.
    pub fn idle_time(&self) -> Option<TimeDelta> {
        let is_idle = self.state.activity.get() == SlotActivity::Idle;
        is_idle.then(|| now() - self.state.activity_since.get())
    }

    /// Whether the connection has been evicted. Requests that arrived before the eviction are still answered.
    pub fn is_evicted(&self) -> bool {
        self.state.is_evicted.get()
    }

    /// Completes when the connection is evicted.
    pub async fn evicted(&self) {
        self.state.evicted.notified().await;
    }

    fn set_activity(&self, activity: SlotActivity) {
        if self.state.activity.replace(activity) != activity {
            self.state.activity_since.set(now());
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.slots.states.borrow_mut().remove(&self.number);
        self.slots.released.notify_waiters();
    }
}

#[cfg(test)]
mod tests;
