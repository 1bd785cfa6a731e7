//! Accounting of requests: each is started once and completes once.
//!
//! The number outstanding is not stored: it is the number started less the number completed. A request is held as a guard,
//! which each way of completing consumes. So a path on which the core forgets a request (a cancelled task, an early return)
//! cannot make the metrics drift from what is open.

use crate::registry::AtomicValue;
use std::rc::Rc;

/// How a request completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Completion {
    /// Served.
    Succeeded,
    /// Rejected; a retry is harmless.
    Rejected,
    /// Failed, or dropped without completion.
    Aborted,
    /// The client stopped waiting before a response was owed.
    Abandoned,
}

/// Counters of one class.
#[derive(Debug, Default)]
struct Account {
    started: AtomicValue,
    succeeded: AtomicValue,
    rejected: AtomicValue,
    aborted: AtomicValue,
    abandoned: AtomicValue,
}

impl Account {
    /// Never below 0: each completion comes from a guard, and each guard was counted when it was made.
    fn outstanding(&self) -> u64 {
        let completed =
            self.succeeded.get() + self.rejected.get() + self.aborted.get() + self.abandoned.get();
        self.started.get() - completed
    }
}

/// How the requests of a class have completed so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Served.
    pub succeeded: u64,
    /// Rejected: a retry is harmless (`declined` on the wire).
    pub rejected: u64,
    /// Failed, or dropped without completion.
    pub aborted: u64,
    /// Their clients stopped waiting before a response was owed.
    pub abandoned: u64,
}

/// The counters that a class's lines render.
pub(crate) struct ClassCounters {
    pub(crate) succeeded: AtomicValue,
    pub(crate) rejected: AtomicValue,
    pub(crate) aborted: AtomicValue,
}

/// Accounts of all classes, and one for requests of no class.
#[derive(Debug)]
pub struct RequestAccounting {
    accounts: Vec<Rc<Account>>,
    unclassed_account: Rc<Account>,
    /// Of all classes together: the platform's form has no line per class for it.
    abandoned: AtomicValue,
    /// Completed requests of no class.
    unclassed: AtomicValue,
}

impl RequestAccounting {
    /// Accounting for a number of classes.
    pub fn new(classes: usize) -> RequestAccounting {
        RequestAccounting {
            accounts: (0..classes).map(|_| Rc::default()).collect(),
            unclassed_account: Rc::default(),
            abandoned: AtomicValue::default(),
            unclassed: AtomicValue::default(),
        }
    }

    /// Counts a request as started; see [`crate::Metrics::start_request`].
    pub fn start(&self, class: usize) -> ActiveRequest {
        let known = self.accounts.get(class);
        let account = Rc::clone(known.unwrap_or(&self.unclassed_account));
        account.started.add(1);
        ActiveRequest {
            account,
            abandoned: self.abandoned.clone(),
            unclassed: known.is_none().then(|| self.unclassed.clone()),
            completion: Completion::Aborted,
        }
    }

    /// Requests started and not yet completed, of all classes and of none.
    pub fn outstanding(&self) -> u64 {
        let classed: u64 = self.accounts.iter().map(|account| account.outstanding()).sum();
        classed + self.unclassed_account.outstanding()
    }

    /// How the requests of a class have completed; `None` where there is no such class.
    pub fn counts(&self, class: usize) -> Option<RequestCounts> {
        self.accounts.get(class).map(|account| RequestCounts {
            succeeded: account.succeeded.get(),
            rejected: account.rejected.get(),
            aborted: account.aborted.get(),
            abandoned: account.abandoned.get(),
        })
    }

    pub(crate) fn class_counters(&self) -> impl Iterator<Item = ClassCounters> + '_ {
        self.accounts.iter().map(|account| ClassCounters {
            succeeded: account.succeeded.clone(),
            rejected: account.rejected.clone(),
            aborted: account.aborted.clone(),
        })
    }

    pub(crate) fn abandoned(&self) -> AtomicValue {
        self.abandoned.clone()
    }

    pub(crate) fn unclassed(&self) -> AtomicValue {
        self.unclassed.clone()
    }
}

/// Guard of a request that was started and has not completed. Each way of completing consumes it; dropped, the request
/// counts as aborted. It belongs to the thread of its [`RequestAccounting`], which it may outlive.
#[derive(Debug)]
#[must_use = "a request whose guard is dropped counts as aborted"]
pub struct ActiveRequest {
    account: Rc<Account>,
    abandoned: AtomicValue,
    /// The counter of completed requests of no class, if this is one.
    unclassed: Option<AtomicValue>,
    /// Counted when the guard is dropped.
    completion: Completion,
}

impl ActiveRequest {
    /// The request was served.
    pub fn succeed(self) {
        self.complete(Completion::Succeeded);
    }

    /// The request was rejected; a retry is harmless.
    pub fn reject(self) {
        self.complete(Completion::Rejected);
    }

    /// The request failed.
    pub fn abort(self) {
        self.complete(Completion::Aborted);
    }

    /// The client stopped waiting before a response was owed. It counts in `edge.abandoned` and under no class.
    pub fn abandon(self) {
        self.complete(Completion::Abandoned);
    }

    fn complete(mut self, completion: Completion) {
        self.completion = completion;
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        match self.completion {
            Completion::Succeeded => self.account.succeeded.add(1),
            Completion::Rejected => self.account.rejected.add(1),
            Completion::Aborted => self.account.aborted.add(1),
            Completion::Abandoned => {
                self.account.abandoned.add(1);
                self.abandoned.add(1);
            }
        }
        if let Some(unclassed) = &self.unclassed {
            unclassed.add(1);
        }
    }
}

#[cfg(test)]
mod tests;
