//! What a call names, who calls, and what is answered.

use crate::limits::LEASE_MOST;
use crate::Timestamp;
use std::fmt;

/// Longest id of an engine, in bytes: lists name engines by some dozen characters, and ids are kept and written to a
/// file with every ban.
pub const TARGET_MOST: usize = 256;

/// What is taken out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    /// An engine, by the id that the list gives it.
    Engine(String),
    /// This workload manager: it takes no new connections and answers what it has.
    Manager,
}

impl Target {
    /// Whether it can be a target at all: an engine's id has 1 to [`TARGET_MOST`] bytes and no control characters.
    pub fn check(&self) -> Result<(), Refused> {
        match self {
            Target::Manager => Ok(()),
            Target::Engine(id) => check_id(id),
        }
    }
}

/// Guards the log and the handover's file against ids that no list would hold.
pub(crate) fn check_id(id: &str) -> Result<(), Refused> {
    if id.is_empty() || id.len() > TARGET_MOST || id.chars().any(char::is_control) {
        return Err(Refused::BadTarget);
    }
    Ok(())
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Target::Engine(id) => write!(f, "engine {id}"),
            Target::Manager => f.write_str("this manager"),
        }
    }
}

/// Whose cause it is. Causes are kept apart: none ends another's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum By {
    /// The operator: one cause, however many calls.
    Operator,
    /// A permit that the fleet agreed on.
    Fleet {
        /// The permit's number.
        permit: u64,
    },
}

impl fmt::Display for By {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            By::Operator => f.write_str("operator"),
            By::Fleet { permit } => write!(f, "fleet permit {permit}"),
        }
    }
}

/// A call out: whose, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// The operator's: until the call back.
    Operator,
    /// The fleet's: until the call back or the end of its lease.
    Fleet {
        /// The permit's number.
        permit: u64,
        /// When the lease ends; a later call with the same permit gives it a new end.
        until: Timestamp,
    },
}

impl Hold {
    /// Whose cause it is.
    pub fn by(self) -> By {
        match self {
            Hold::Operator => By::Operator,
            Hold::Fleet { permit, .. } => By::Fleet { permit },
        }
    }

    /// When it ends by itself.
    pub fn until(self) -> Option<Timestamp> {
        match self {
            Hold::Operator => None,
            Hold::Fleet { until, .. } => Some(until),
        }
    }

    pub(crate) fn check(self, now: Timestamp) -> Result<(), Refused> {
        match self.until() {
            Some(until) if until <= now || until - now > LEASE_MOST => Err(Refused::BadLease),
            _ => Ok(()),
        }
    }
}

/// What a call did. Every one of these is a yes: the target is as the caller wants it, or another cause holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It was in and is out now.
    Out,
    /// It was out already, by this cause or another; this cause holds it, too.
    AlreadyOut,
    /// It was out and is back now.
    Back,
    /// It was not out. The call is remembered all the same: another process may hold an older ban.
    NotOut,
    /// This cause holds it no longer, but another does.
    StillOut {
        /// One that does: the operator first, then the permit with the lowest number.
        by: By,
    },
}

/// Why a call is answered with no; nothing was changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// No list ever named the engine, or so long ago that it was forgotten ([`crate::Limits::ids`]).
    NeverListed,
    /// The bound on bans is reached ([`crate::Limits::bans`], [`crate::Limits::ban_bytes`]).
    TooMany,
    /// The id is empty, longer than [`TARGET_MOST`], or holds control characters.
    BadTarget,
    /// The lease has ended already, or is longer than [`LEASE_MOST`].
    BadLease,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Refused::NeverListed => "never listed",
            Refused::TooMany => "too many bans",
            Refused::BadTarget => "an id has 1 to 256 bytes and no control characters",
            Refused::BadLease => "the lease has ended, or is longer than a day",
        })
    }
}

impl std::error::Error for Refused {}
