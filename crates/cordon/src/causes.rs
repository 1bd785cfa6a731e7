//! The causes on one target.

use crate::target::By;
use crate::word::Word;
use crate::Timestamp;
use std::collections::BTreeMap;

/// One cause's last word, and whether its lease is known to have ended. A lapsed word is kept unchanged until it has
/// aged, for an older one with a longer lease must not win over it.
#[derive(Clone, Debug)]
pub(crate) struct Cause {
    pub(crate) word: Word,
    pub(crate) lapsed: bool,
}

impl Cause {
    pub(crate) fn new(now: Timestamp, word: Word) -> Cause {
        Cause { lapsed: word.until.is_some_and(|until| until <= now), word }
    }

    pub(crate) fn holds(&self) -> bool {
        self.word.out && !self.lapsed
    }

    /// Since when it holds no longer, by the clock of who called.
    pub(crate) fn spent_at(&self) -> Timestamp {
        self.word.until.unwrap_or(self.word.at).max(self.word.at)
    }
}

/// All causes on one target that said anything of late.
#[derive(Clone, Debug, Default)]
pub(crate) struct Causes(pub(crate) BTreeMap<By, Cause>);

impl Causes {
    /// A cause that holds the target out, the operator first.
    pub(crate) fn held_by(&self) -> Option<By> {
        self.0.iter().find(|(_, c)| c.holds()).map(|(by, _)| *by)
    }

    /// Whether a cause holds it out.
    pub(crate) fn holds(&self, by: By) -> bool {
        self.0.get(&by).is_some_and(Cause::holds)
    }
}

/// How many words, and the bytes of their ids.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load {
    pub(crate) words: usize,
    pub(crate) bytes: usize,
}

impl Load {
    pub(crate) fn add(&mut self, bytes: usize) {
        self.words += 1;
        self.bytes += bytes;
    }

    pub(crate) fn take(&mut self, bytes: usize) {
        self.words -= 1;
        self.bytes -= bytes;
    }
}
