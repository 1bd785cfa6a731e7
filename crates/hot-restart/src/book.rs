//! Which of the files read belong to living processes, and which may be removed.

use crate::codec::Refusal;
use crate::content::{Handover, Phase, Process};
use sprucelink_time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A process whose file has not changed for so long counts as dead: six times the pace at which it writes. Longer,
/// and connections wait where a newcomer was killed; shorter, and a process that gets no core for a second counts as
/// dead while it lives.
pub const DEAD_AFTER: TimeDelta = TimeDelta::from_micros(1_500_000);
/// A dead process's file is kept for so long, and until what it holds stands in this process's own file. One that was
/// only stopped comes back within it, most likely; if it comes back later it writes its file anew.
pub const DEAD_KEPT: TimeDelta = TimeDelta::from_micros(10_000_000);
/// A damaged file, or one that its writer died over, is kept for so long unchanged: time to look at it, and no time
/// to fill a folder that counts as memory.
pub const DAMAGED_KEPT: TimeDelta = TimeDelta::from_micros(60_000_000);
/// Files of one manager that are looked at, the youngest processes' first; the others are left alone. An upgrade has
/// two.
pub const FILES_MOST: usize = 16;
/// Files removed after one write, at most, so that a folder full of them does not hold up requests.
pub const REMOVALS_MOST: usize = 4;

/// Another living process of this manager, as its file tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Other {
    /// Which.
    pub process: Process,
    /// Where it stands.
    pub phase: Phase,
    /// The processes that it has made room for.
    pub room_for: Vec<Process>,
}

#[derive(Clone, Debug)]
enum What {
    Of {
        other: Other,
        /// When it was last known to have been written, by this process's clock.
        changed: Timestamp,
        /// What it holds stands in this process's own file.
        covered: bool,
    },
    /// Not whole, or a file that its writer died over.
    Scrap { since: Timestamp },
    /// Whole, and not for this build or this manager: not this process's to remove.
    Foreign,
}

/// The files of this manager that were read, by name.
#[derive(Clone, Debug, Default)]
pub struct Book {
    files: BTreeMap<String, What>,
}

impl Book {
    /// A file was read and is not as it was at the last look.
    pub fn read(&mut self, now: Timestamp, name: &str, read: &Result<Handover, Refusal>) {
        let what = match read {
            Ok(h) => {
                let other = Other { process: h.process, phase: h.phase, room_for: h.room_for.clone() };
                // A file from the future is young, and does not stay so: it has to change.
                What::Of { other, changed: h.written_at.min(now), covered: false }
            }
            // Guards against a file of a living process that cannot be read once: it lives on until its time is up.
            Err(_) if matches!(self.files.get(name), Some(What::Of { .. })) => return,
            Err(Refusal::Damaged(_)) => What::Scrap { since: now },
            Err(_) => What::Foreign,
        };
        self.files.insert(name.to_owned(), what);
    }

    /// A file that is being written was seen, or one that its writer died over.
    pub fn temp(&mut self, now: Timestamp, name: &str) {
        self.files.entry(name.to_owned()).or_insert(What::Scrap { since: now });
    }

    /// These files are there; all others are gone.
    pub fn listed(&mut self, names: &BTreeSet<String>) {
        self.files.retain(|name, _| names.contains(name));
    }

    /// This process's own file was written, after all that was read had been taken over.
    pub fn wrote(&mut self) {
        for what in self.files.values_mut() {
            if let What::Of { covered, .. } = what {
                *covered = true;
            }
        }
    }

    /// The other processes that live.
    pub fn living(&self, now: Timestamp) -> Vec<Other> {
        let living = self.files.values().filter_map(|what| match what {
            What::Of { other, changed, .. } if other.phase != Phase::Gone && now - *changed <= DEAD_AFTER => {
                Some(other.clone())
            }
            _ => None,
        });
        living.collect()
    }

    /// The highest generation of any process whose file was read, living or dead; 0 without one.
    pub fn generation(&self) -> u64 {
        let of = |what: &What| if let What::Of { other, .. } = what { other.process.generation } else { 0 };
        self.files.values().map(of).max().unwrap_or(0)
    }

    /// Files that may be removed now, at most [`REMOVALS_MOST`].
    pub fn removable(&self, now: Timestamp) -> Vec<String> {
        let may = |what: &What| match what {
            What::Of { covered: false, .. } | What::Foreign => false,
            What::Of { other, changed, .. } => other.phase == Phase::Gone || now - *changed > DEAD_KEPT,
            What::Scrap { since } => now - *since > DAMAGED_KEPT,
        };
        let names = self.files.iter().filter(|(_, what)| may(what)).map(|(name, _)| name.clone());
        names.take(REMOVALS_MOST).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::content::{Content, Instance};

    const S: i64 = 1_000_000;

    fn file(pid: u32, written_at: i64, phase: Phase) -> Result<Handover, Refusal> {
        Ok(Handover {
            instance: Instance { name: "n".into(), listen: "l".into() },
            process: Process { generation: u64::from(pid), started: Timestamp::ZERO, pid },
            build: String::new(),
            written_at: Timestamp::from_micros(written_at),
            seq: 0,
            phase,
            phase_since: Timestamp::ZERO,
            room_for: Vec::new(),
            content: Content::default(),
        })
    }

    #[test]
    fn a_process_lives_as_long_as_its_file_changes_and_its_file_goes_once_it_is_covered() {
        let mut b = Book::default();
        b.read(Timestamp::from_micros(100 * S), "a", &file(1, 100 * S, Phase::Serving));
        assert_eq!(b.living(Timestamp::from_micros(100 * S) + DEAD_AFTER).len(), 1);
        let late = Timestamp::from_micros(100 * S) + DEAD_AFTER + TimeDelta::from_micros(1);
        assert!(b.living(late).is_empty());
        let much_later = Timestamp::from_micros(200 * S);
        assert!(b.removable(much_later).is_empty(), "not covered");
        b.wrote();
        assert!(b.removable(Timestamp::from_micros(100 * S) + DEAD_KEPT).is_empty());
        assert_eq!(b.removable(much_later), ["a"]);
        // One that was stopped and goes on.
        b.read(much_later, "a", &file(1, 200 * S, Phase::Serving));
        assert_eq!((b.living(much_later).len(), b.removable(much_later).len()), (1, 0));
        b.read(much_later, "a", &file(1, 200 * S, Phase::Gone));
        assert!(b.living(much_later).is_empty() && b.removable(much_later).is_empty());
        b.wrote();
        assert_eq!(b.removable(much_later), ["a"], "one that has ended in order goes at once");
        b.listed(&BTreeSet::new());
        assert!(b.removable(much_later).is_empty());
        assert_eq!(b.generation(), 0);
    }

    #[test]
    fn a_file_from_the_future_does_not_live_for_ever() {
        let mut b = Book::default();
        b.read(Timestamp::from_micros(100 * S), "a", &file(1, 9_000 * S, Phase::Serving));
        assert_eq!(b.living(Timestamp::from_micros(100 * S)).len(), 1);
        assert!(b.living(Timestamp::from_micros(102 * S)).is_empty());
    }

    #[test]
    fn damaged_files_go_after_their_time_and_foreign_ones_never() {
        let mut b = Book::default();
        let names = ["1", "2", "3", "4", "5", "6"];
        names.iter().for_each(|name| b.read(Timestamp::ZERO, name, &Err(Refusal::Damaged("cut"))));
        b.read(Timestamp::ZERO, "7", &Err(Refusal::FromTheFuture { format: 9 }));
        b.temp(Timestamp::ZERO, "8");
        b.temp(Timestamp::from_micros(50 * S), "8");
        assert!(b.removable(Timestamp::ZERO + DAMAGED_KEPT).is_empty());
        let after = Timestamp::ZERO + DAMAGED_KEPT + TimeDelta::from_micros(1);
        assert_eq!(b.removable(after), names[..REMOVALS_MOST], "a few at a time");
        b.listed(&["7", "8"].map(str::to_owned).into());
        assert_eq!(b.removable(after), ["8"]);
    }

    #[test]
    fn a_living_process_whose_file_cannot_be_read_once_lives_on() {
        let mut b = Book::default();
        b.read(Timestamp::ZERO, "a", &file(1, 0, Phase::Serving));
        b.read(Timestamp::from_micros(S), "a", &Err(Refusal::Damaged("cut")));
        assert_eq!(b.living(Timestamp::from_micros(S)).len(), 1);
        assert!(b.living(Timestamp::from_micros(2 * S)).is_empty());
    }
}
