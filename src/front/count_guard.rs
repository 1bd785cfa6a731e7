//! A counter's increment that is undone on drop.

use std::cell::Cell;

/// Keeps a counter incremented by one until it is dropped.
pub(super) struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    /// Increments the counter.
    pub(super) fn new(counter: &'a Cell<usize>) -> CountGuard<'a> {
        counter.set(counter.get() + 1);
        CountGuard(counter)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
