//! The ledger of requests: each is taken once and ends once.
//!
//! What is outstanding is never kept: it is what was taken less what has ended. A request is held as a guard, whose end
//! takes the guard with it. Guards against a core that forgets a path (a task cancelled, an early return): the figures
//! would drift from what is open, and no later request could put them right.

use crate::registry::Value;
use std::rc::Rc;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Succeeded,
    Declined,
    Aborted,
    Abandoned,
}

/// One class's account.
#[derive(Debug, Default)]
struct Account {
    taken: Value,
    succeeded: Value,
    declined: Value,
    aborted: Value,
    abandoned: Value,
}

/// How the requests of a class have ended so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ends {
    /// Served.
    pub succeeded: u64,
    /// Refused: trying again is harmless.
    pub declined: u64,
    /// Failed, or let fall without an end.
    pub aborted: u64,
    /// Their clients stopped waiting; no answer was owed.
    pub abandoned: u64,
}

/// The values behind a class's lines.
pub(crate) struct Counted {
    pub(crate) succeeded: Value,
    pub(crate) declined: Value,
    pub(crate) aborted: Value,
}

/// The accounts of all classes, and one more for requests of none.
#[derive(Debug)]
pub struct Ledger {
    accounts: Vec<Rc<Account>>,
    none: Rc<Account>,
    /// One for all classes: the platform's form has no line a class for it.
    abandoned: Value,
    unclassed: Value,
}

impl Ledger {
    /// Accounts for so many classes.
    pub fn new(classes: usize) -> Ledger {
        Ledger {
            accounts: (0..classes).map(|_| Rc::default()).collect(),
            none: Rc::default(),
            abandoned: Value::default(),
            unclassed: Value::default(),
        }
    }

    /// A request was taken; see [`crate::Metrics::take`].
    pub fn take(&self, class: usize) -> Taken {
        let known = self.accounts.get(class);
        let account = Rc::clone(known.unwrap_or(&self.none));
        account.taken.add(1);
        let none = known.is_none().then(|| self.unclassed.clone());
        Taken { account, abandoned: self.abandoned.clone(), none, end: End::Aborted }
    }

    /// Requests taken and not yet ended, of all classes and of none.
    pub fn outstanding(&self) -> u64 {
        let open = |a: &Account| {
            let ended = a.succeeded.get() + a.declined.get() + a.aborted.get() + a.abandoned.get();
            // Never below 0: an end comes from a guard, and each guard was counted when it was made.
            a.taken.get() - ended
        };
        self.accounts.iter().map(|a| open(a)).sum::<u64>() + open(&self.none)
    }

    /// How a class's requests have ended; `None` where there is no such class.
    pub fn ends(&self, class: usize) -> Option<Ends> {
        self.accounts.get(class).map(|a| Ends {
            succeeded: a.succeeded.get(),
            declined: a.declined.get(),
            aborted: a.aborted.get(),
            abandoned: a.abandoned.get(),
        })
    }

    pub(crate) fn counted(&self) -> impl Iterator<Item = Counted> + '_ {
        self.accounts.iter().map(|a| Counted {
            succeeded: a.succeeded.clone(),
            declined: a.declined.clone(),
            aborted: a.aborted.clone(),
        })
    }

    pub(crate) fn abandoned(&self) -> Value {
        self.abandoned.clone()
    }

    pub(crate) fn unclassed(&self) -> Value {
        self.unclassed.clone()
    }
}

/// A request that was taken and has not ended. Each of its ends uses it up; dropped, it counts as aborted. It belongs to
/// the thread of its [`Ledger`], and outlives it without harm.
#[derive(Debug)]
#[must_use = "a request that is dropped counts as aborted"]
pub struct Taken {
    account: Rc<Account>,
    abandoned: Value,
    none: Option<Value>,
    end: End,
}

impl Taken {
    /// It was served.
    pub fn succeeded(self) {
        self.over(End::Succeeded);
    }

    /// It was refused; trying again is harmless.
    pub fn declined(self) {
        self.over(End::Declined);
    }

    /// It failed.
    pub fn aborted(self) {
        self.over(End::Aborted);
    }

    /// Its client stopped waiting before an answer was owed. It counts in `edge.abandoned` and under no class.
    pub fn abandoned(self) {
        self.over(End::Abandoned);
    }

    fn over(mut self, end: End) {
        self.end = end;
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        match self.end {
            End::Succeeded => self.account.succeeded.add(1),
            End::Declined => self.account.declined.add(1),
            End::Aborted => self.account.aborted.add(1),
            End::Abandoned => {
                self.account.abandoned.add(1);
                self.abandoned.add(1);
            }
        }
        if let Some(none) = &self.none {
            none.add(1);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[derive(Clone, Debug)]
    enum Op {
        Take(usize),
        End(usize, u8),
    }

    fn op() -> impl Strategy<Value = Op> {
        prop_oneof![
            (0..5_usize).prop_map(Op::Take),
            (any::<usize>(), 0..5_u8).prop_map(|(n, e)| Op::End(n, e))
        ]
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::with_cases(256) })]

        /// Whatever is taken and however it ends, outstanding is the number of guards held, and each end is in one place.
        #[test]
        fn outstanding_is_what_is_held(ops in prop::collection::vec(op(), 0..200)) {
            const CLASSES: usize = 3;
            let ledger = Ledger::new(CLASSES);
            let mut held: Vec<(usize, Taken)> = Vec::new();
            let mut model = [Ends::default(); CLASSES];
            let (mut abandoned, mut unclassed) = (0, 0);
            for op in ops {
                match op {
                    Op::Take(class) => held.push((class, ledger.take(class))),
                    Op::End(n, end) if !held.is_empty() => {
                        let (class, taken) = held.swap_remove(n % held.len());
                        let mut none = Ends::default();
                        let ends = model.get_mut(class).unwrap_or(&mut none);
                        match end {
                            0 => { taken.succeeded(); ends.succeeded += 1 }
                            1 => { taken.declined(); ends.declined += 1 }
                            2 => { taken.aborted(); ends.aborted += 1 }
                            3 => { taken.abandoned(); ends.abandoned += 1; abandoned += 1 }
                            _ => { drop(taken); ends.aborted += 1 }
                        }
                        unclassed += u64::from(class >= CLASSES);
                    }
                    Op::End(..) => {}
                }
                prop_assert_eq!(ledger.outstanding(), held.len() as u64);
                for (class, ends) in model.iter().enumerate() {
                    prop_assert_eq!(ledger.ends(class), Some(*ends));
                }
                prop_assert_eq!((ledger.abandoned.get(), ledger.unclassed.get()), (abandoned, unclassed));
            }
            prop_assert_eq!(ledger.ends(CLASSES), None);
        }
    }
}
