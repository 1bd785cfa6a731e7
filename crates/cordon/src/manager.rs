//! The state of this workload manager: serving, quiescing, out.

use crate::Timestamp;

/// Whether this workload manager takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manager {
    /// It takes new connections and requests.
    Serving,
    /// It takes no new connections and answers what it has.
    Quiescing {
        /// Since when.
        since: Timestamp,
    },
    /// It takes no new connections and has nothing in hand.
    Out {
        /// Since when it has nothing in hand.
        since: Timestamp,
    },
}

impl Manager {
    /// Whether new connections are taken.
    pub fn accepts(self) -> bool {
        self == Manager::Serving
    }

    /// The state once a cause holds it out or none does: a further cause changes nothing of what runs.
    pub(crate) fn held(self, now: Timestamp, out: bool) -> Manager {
        match (self, out) {
            (_, false) => Manager::Serving,
            (Manager::Serving, true) => Manager::Quiescing { since: now },
            (state, true) => state,
        }
    }

    /// The state once so many requests and sessions are in hand. One that is out can have something in hand again:
    /// what a connection accepted before the call brings only now.
    pub(crate) fn in_hand(self, now: Timestamp, n: usize) -> Manager {
        match (self, n) {
            (Manager::Quiescing { .. }, 0) => Manager::Out { since: now },
            (Manager::Out { since }, 1..) => Manager::Quiescing { since },
            (state, _) => state,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_quiesces_until_it_has_nothing_in_hand_and_serves_from_the_call_back() {
        let t = Timestamp::from_micros;
        let state = Manager::Serving.in_hand(t(1), 0);
        assert!(state.accepts(), "an idle manager is not out");
        let state = state.held(t(2), true).held(t(3), true).in_hand(t(4), 5);
        assert_eq!(state, Manager::Quiescing { since: t(2) }, "a second cause does not begin it anew");
        let state = state.in_hand(t(5), 0).in_hand(t(6), 0);
        assert_eq!(state, Manager::Out { since: t(5) });
        assert!(!state.accepts());
        assert_eq!(state.in_hand(t(7), 1), Manager::Quiescing { since: t(5) });
        assert_eq!(state.held(t(8), false), Manager::Serving);
    }
}
