//! Accounting of requests: each request is started once and completes once.
//!
//! The number of outstanding requests is not stored: it is the number started minus the number completed.
//! Each request has a guard, which completion consumes. A path on which the core drops a request (a cancelled
//! task, an early return) therefore cannot make the metrics differ from the number of open requests.

use crate::registry::AtomicValue;
use std::rc::Rc;

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Completion {
    /// The request was served.
    Succeeded,
    /// The request was rejected; a retry is harmless.
    Rejected,
    /// The request failed, or its guard was dropped without completion.
    Aborted,
    /// The client stopped waiting before a response was due.
    Abandoned,
}

/// Counters of the requests of one class.
#[derive(Debug, Default)]
struct RequestCounters {
    started: AtomicValue,
    succeeded: AtomicValue,
    rejected: AtomicValue,
    aborted: AtomicValue,
    abandoned: AtomicValue,
}

impl RequestCounters {
    /// Number of requests started and not yet completed. It is never negative: each completion comes from a
    /// guard, and each request was counted as started when its guard was created.
    fn outstanding(&self) -> u64 {
        let completed =
            self.succeeded.get() + self.rejected.get() + self.aborted.get() + self.abandoned.get();
        self.started.get() - completed
    }
}

/// Number of completed requests of a class, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Number of requests that were served.
    pub succeeded: u64,
    /// Number of requests that were rejected; a retry is harmless (`declined` in the rendering).
    pub rejected: u64,
    /// Number of requests that failed, or whose guards were dropped without completion.
    pub aborted: u64,
    /// Number of requests whose clients stopped waiting before a response was due.
    pub abandoned: u64,
}

/// The counters of a class that are rendered.
pub(crate) struct ClassCounters {
    pub(crate) succeeded: AtomicValue,
    pub(crate) rejected: AtomicValue,
    pub(crate) aborted: AtomicValue,
}

/// Accounts of the requests of all classes, and of requests with an invalid class index.
#[derive(Debug)]
pub struct RequestAccounting {
    counters_by_class: Vec<Rc<RequestCounters>>,
    /// Counters of requests with an invalid class index.
    unclassed_counters: Rc<RequestCounters>,
    /// Number of abandoned requests of all classes: the platform's format has no line per class for them.
    abandoned: AtomicValue,
    /// Number of completed requests with an invalid class index.
    unclassed: AtomicValue,
}

impl RequestAccounting {
    /// Creates the accounting for `classes` request classes, with all counts 0.
    pub fn new(classes: usize) -> RequestAccounting {
        RequestAccounting {
            counters_by_class: (0..classes).map(|_| Rc::default()).collect(),
            unclassed_counters: Rc::default(),
            abandoned: AtomicValue::default(),
            unclassed: AtomicValue::default(),
        }
    }

    /// Counts a request as started; see [`crate::Metrics::start_request`].
    pub fn start(&self, class: usize) -> ActiveRequest {
        let known = self.counters_by_class.get(class);
        let counters = Rc::clone(known.unwrap_or(&self.unclassed_counters));
        counters.started.add(1);
        ActiveRequest {
            counters,
            abandoned: self.abandoned.clone(),
            unclassed: known.is_none().then(|| self.unclassed.clone()),
            completion: Completion::Aborted,
        }
    }

    /// Number of requests started and not yet completed, including those with an invalid class index.
    pub fn outstanding(&self) -> u64 {
        let classed: u64 = self.counters_by_class.iter().map(|counters| counters.outstanding()).sum();
        classed + self.unclassed_counters.outstanding()
    }

    /// Number of completed requests of a class, by outcome; `None` for an invalid class index.
    pub fn counts(&self, class: usize) -> Option<RequestCounts> {
        self.counters_by_class.get(class).map(|counters| RequestCounts {
            succeeded: counters.succeeded.get(),
            rejected: counters.rejected.get(),
            aborted: counters.aborted.get(),
            abandoned: counters.abandoned.get(),
        })
    }

    pub(crate) fn class_counters(&self) -> impl Iterator<Item = ClassCounters> + '_ {
        self.counters_by_class.iter().map(|counters| ClassCounters {
            succeeded: counters.succeeded.clone(),
            rejected: counters.rejected.clone(),
            aborted: counters.aborted.clone(),
        })
    }

    pub(crate) fn abandoned(&self) -> AtomicValue {
        self.abandoned.clone()
    }

    pub(crate) fn unclassed(&self) -> AtomicValue {
        self.unclassed.clone()
    }
}

/// Guard of a request that was started and has not completed. Each method that completes the request consumes
/// the guard; if the guard is dropped, the request counts as aborted. The guard belongs to the thread of its
/// [`RequestAccounting`], which it may outlive.
#[derive(Debug)]
#[must_use = "a request whose guard is dropped counts as aborted"]
pub struct ActiveRequest {
    counters: Rc<RequestCounters>,
    abandoned: AtomicValue,
    /// The counter of completed requests with an invalid class index, if this request has one.
    unclassed: Option<AtomicValue>,
    /// The outcome that is counted when the guard is dropped.
    completion: Completion,
}

impl ActiveRequest {
    /// Counts the request as served.
    pub fn succeed(self) {
        self.complete(Completion::Succeeded);
    }

    /// Counts the request as rejected; a retry is harmless.
    pub fn reject(self) {
        self.complete(Completion::Rejected);
    }

    /// Counts the request as failed.
    pub fn abort(self) {
        self.complete(Completion::Aborted);
    }

    /// Counts the request as abandoned: its client stopped waiting before a response was due. It counts in
    /// `edge.abandoned` and in no line of a class.
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
            Completion::Succeeded => self.counters.succeeded.add(1),
            Completion::Rejected => self.counters.rejected.add(1),
            Completion::Aborted => self.counters.aborted.add(1),
            Completion::Abandoned => {
                self.counters.abandoned.add(1);
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
