//! The faults that the nemesis may inject, and how each ends.

use crate::ids::MemberId;

/// A fault that the nemesis may inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// One process crashes and restarts.
    Crash,
    /// Several processes crash at once, perhaps all.
    CrashMany,
    /// The leader crashes.
    CrashLeader,
    /// The network is partitioned in two.
    Partition,
    /// One link carries nothing, in one direction.
    OneWay,
    /// A member receives from nobody, or reaches nobody.
    Isolate,
    /// A process is stopped, as by SIGSTOP, and resumes later.
    Stop,
    /// A member's messages take ten times as long.
    SlowLinks,
    /// A disk's syncs take up to a second.
    SlowSync,
    /// A disk is full for a while.
    DiskFull,
    /// A disk's syncs lie for a while, and then the process crashes.
    LyingDisk,
    /// A bit flips on the disk of a crashed process.
    BitFlip,
    /// A member is replaced by a new one.
    Replace,
    /// Leadership is transferred.
    Transfer,
}

impl Fault {
    /// All but those of disks that lose acknowledged writes, which have a count of their own.
    pub const ALL_BUT_LYING_DISKS: [Fault; 12] = [
        Fault::Crash,
        Fault::CrashMany,
        Fault::CrashLeader,
        Fault::Partition,
        Fault::OneWay,
        Fault::Isolate,
        Fault::Stop,
        Fault::SlowLinks,
        Fault::SlowSync,
        Fault::DiskFull,
        Fault::Replace,
        Fault::Transfer,
    ];
}

/// One direction between two nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    /// The sending node.
    pub from: u32,
    /// The receiving node.
    pub to: u32,
}

impl Link {
    /// The link from one node to another.
    pub const fn new(from: u32, to: u32) -> Self {
        Link { from, to }
    }
}

/// The end of a fault.
#[derive(Debug, Clone)]
pub(super) enum FaultEnd {
    /// A crashed process restarts.
    Restart(MemberId),
    /// A process whose disk lies crashes.
    CrashLiar(MemberId),
    /// Links work again.
    RestoreLinks(Vec<Link>),
    /// A stopped process resumes.
    Wake(MemberId),
    /// A node's links are fast again.
    RestoreSpeed(u32),
    /// A disk has space and syncs fast again.
    RestoreDisk(MemberId),
}
