//! The faults that the nemesis may inject, and the events that end them.

use crate::ids::MemberId;

/// A fault that the nemesis may inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// One process crashes and restarts.
    Crash,
    /// Several or all processes crash at once.
    CrashMany,
    /// The leader crashes.
    CrashLeader,
    /// The network is partitioned in two.
    Partition,
    /// All messages from one node to another are lost; the opposite direction works.
    OneWayLoss,
    /// All incoming links of a member are cut, or all outgoing ones.
    Isolate,
    /// A process is paused, as by SIGSTOP, and resumes later.
    Pause,
    /// The messages to and from a member take ten times as long.
    SlowLinks,
    /// The syncs of a disk take up to a second.
    SlowSync,
    /// A disk is temporarily full.
    DiskFull,
    /// The syncs of a disk succeed without making data durable; later the process crashes.
    LyingDisk,
    /// A process crashes, and a bit on its disk flips.
    BitFlip,
    /// A member is replaced by a new one.
    Replace,
    /// Leadership is transferred to a running member.
    Transfer,
}

impl Fault {
    /// All faults except the faults that make a disk lose acknowledged writes: their number is limited
    /// separately.
    pub const ALL_WITHOUT_WRITE_LOSS: [Fault; 12] = [
        Fault::Crash,
        Fault::CrashMany,
        Fault::CrashLeader,
        Fault::Partition,
        Fault::OneWayLoss,
        Fault::Isolate,
        Fault::Pause,
        Fault::SlowLinks,
        Fault::SlowSync,
        Fault::DiskFull,
        Fault::Replace,
        Fault::Transfer,
    ];
}

/// One direction of the connection between two nodes.
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
    /// The process of a disk with lying syncs crashes, which loses the data of these syncs; then the disk
    /// syncs correctly again.
    CrashWithLyingDisk(MemberId),
    /// Cut links deliver messages again.
    RestoreLinks(Vec<Link>),
    /// A paused process resumes.
    Resume(MemberId),
    /// The links of a node have their normal speed again.
    RestoreSpeed(u32),
    /// A disk has space and its normal speed again.
    RestoreDisk(MemberId),
}
