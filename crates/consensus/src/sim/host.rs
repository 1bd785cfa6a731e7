//! A simulated process with its disk: drives a node in virtual time, as the program does in real time.

use super::checker::Checker;
use super::draw;
use super::plan::{InjectedBug, Plan};
use super::state_machine::StateMachine;
use crate::config::Config;
use crate::frame::Frame;
use crate::ids::{MemberId, ProposalId};
use crate::node::{Node, ProposeError};
use crate::ready::{Batch, Ready};
use crate::role::Role;
use crate::snapshot::Snapshot;
use crate::store;
use crate::wire::envelope::Body;
use prost::Message as _;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use sprucelink_time::{TimeDelta, Timestamp};
use sprucelink_wal::{FaultDisk, Faults, Wal, WalError, WriteBatch};
use std::collections::VecDeque;

/// Largest number of frames that wait for a paused process, as in its sockets' buffers; further ones are
/// lost.
const MAX_WAITING_FRAMES: usize = 2000;
/// Largest offset of a host's clock, milliseconds.
const MAX_CLOCK_OFFSET_MILLIS: i64 = 3_600_000;
/// Interval of the retries of a write to a full disk.
const FULL_DISK_RETRY: TimeDelta = TimeDelta::from_millis(50);
/// Time of a sync in addition to the drawn time, so that no sync completes at once.
const MIN_SYNC_TIME: TimeDelta = TimeDelta::from_micros(1);
/// Interval, in entries, of the state digests that a host gives to its node.
const DIGEST_EVERY: u64 = 16;

/// Frames that may be sent only when a batch is on disk.
struct DelayedFrames {
    after_batch: u64,
    frames: Vec<Frame>,
}

/// A received snapshot that is installed when its batch is on disk.
struct DelayedSnapshot {
    after_batch: u64,
    snapshot: Snapshot,
}

/// A frame that waits for a paused process.
struct WaitingFrame {
    from: MemberId,
    frame: Frame,
}

/// A process, running or not, with its disk.
pub struct Host<A> {
    /// The member that the host runs.
    pub id: MemberId,
    /// State machine that applies the entries; a new one at each start of the process.
    pub state_machine: A,
    /// The node, while the process runs.
    pub node: Option<Node>,
    /// The write-ahead log, while the process runs.
    wal: Option<Wal<FaultDisk>>,
    /// The disk, while the process does not run.
    disk: Option<FaultDisk>,
    /// Whether the process is paused, as by SIGSTOP: it does nothing, and frames wait.
    pub is_paused: bool,
    /// Frames that arrived while the process was paused.
    waiting_frames: Vec<WaitingFrame>,
    /// Batches handed out and not yet on disk, oldest first.
    unwritten_batches: VecDeque<Batch>,
    delayed_frames: VecDeque<DelayedFrames>,
    delayed_snapshot: Option<DelayedSnapshot>,
    /// Index up to which all entries are applied.
    applied_index: u64,
    /// Number of starts of the process.
    pub start_count: u64,
    /// Why the store could not be opened; the member is then permanently excluded.
    pub store_error: Option<WalError>,
    /// The role that the node last handed out.
    pub role: Option<Role>,
    /// Offset of the host's clock from the virtual time.
    pub clock_offset: TimeDelta,
    /// Current longest duration of a sync.
    pub max_sync_time: TimeDelta,
    /// Whether the disk is currently full.
    pub is_disk_full: bool,
    /// Whether syncs currently succeed without making data durable.
    pub is_disk_lying: bool,
    /// Whether a sync has ever succeeded without making data durable.
    pub has_disk_lied: bool,
    /// Time at which the write in progress completes.
    pub sync_due: Option<Timestamp>,
    seed: u64,
}

/// Parameters of the start of a host.
pub(super) struct StartOptions<'a> {
    pub founders: &'a [MemberId],
    pub contacts: &'a [MemberId],
    pub plan: &'a Plan,
}

impl<A: StateMachine> Host<A> {
    pub(super) fn new(id: MemberId, state_machine: A, plan: &Plan, rng: &mut ChaCha8Rng) -> Self {
        let seed = rng.gen();
        let clock_offset = TimeDelta::from_millis(rng.gen_range(0..MAX_CLOCK_OFFSET_MILLIS));
        Host {
            id,
            state_machine,
            node: None,
            wal: None,
            disk: Some(FaultDisk::new(seed)),
            is_paused: false,
            waiting_frames: Vec::new(),
            unwritten_batches: VecDeque::new(),
            delayed_frames: VecDeque::new(),
            delayed_snapshot: None,
            applied_index: 0,
            start_count: 0,
            store_error: None,
            role: None,
            clock_offset,
            max_sync_time: plan.max_sync_time,
            is_disk_full: false,
            is_disk_lying: false,
            has_disk_lied: false,
            sync_due: None,
            seed,
        }
    }

    /// Whether the process runs.
    pub fn is_up(&self) -> bool {
        self.node.is_some()
    }

    /// Whether the process runs and its node has rejoined: it takes part in the protocol.
    pub fn is_established(&self) -> bool {
        self.is_up() && !matches!(self.role, None | Some(Role::Rejoining | Role::Quarantined))
    }

    /// Whether the member is permanently excluded: its store is damaged, or it is quarantined.
    pub fn is_excluded(&self) -> bool {
        self.store_error.is_some() || self.role == Some(Role::Quarantined)
    }

    pub(super) fn start(&mut self, now: Timestamp, options: &StartOptions, state_machine: A) {
        let Some(mut disk) = self.disk.take() else { return };
        disk.faults = Faults { lying_sync: self.is_disk_lying, ..Faults::default() };
        let copy = disk.clone();
        let (wal, recovered) = match Wal::open(disk) {
            Ok(opened) => opened,
            Err(error) => {
                self.store_error = Some(error);
                self.disk = Some(copy);
                return;
            }
        };
        self.start_count += 1;
        self.state_machine = state_machine;
        self.role = None;
        let recovered = store::recover(recovered).expect("the store contains a member's state");
        self.applied_index = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        if let Some(snapshot) = &recovered.snapshot {
            self.state_machine.install(&snapshot.data);
        }
        let config = Config {
            member: self.id,
            founders: options.founders.to_vec(),
            contacts: options.contacts.to_vec(),
            timing: options.plan.timing.clone(),
        };
        let node = Node::new(config, recovered, self.seed ^ self.start_count, now + self.clock_offset);
        let mut node = node.expect("a node starts from a recovered store");
        if options.plan.has(InjectedBug::TrustDisk) {
            node.trust_disk();
        }
        self.node = Some(node);
        self.wal = Some(wal);
    }

    /// Crashes the process and its machine. Data that no sync covered may be lost.
    pub(super) fn crash(&mut self, torn_writes: bool) {
        let Some(mut wal) = self.wal.take() else { return };
        if torn_writes {
            if let Some(batch) = self.unwritten_batches.front() {
                wal.disk_mut().faults = Faults { failing_sync: true, torn_writes, ..Faults::default() };
                let _ = wal.write(&store::to_wal(batch));
            }
        }
        let mut disk = wal.into_disk();
        disk.faults = Faults { lying_sync: self.is_disk_lying, torn_writes, ..Faults::default() };
        disk.crash();
        self.disk = Some(disk);
        self.node = None;
        self.waiting_frames.clear();
        self.unwritten_batches.clear();
        self.delayed_frames.clear();
        self.delayed_snapshot = None;
        self.sync_due = None;
        self.is_paused = false;
    }

    /// Flips a bit of the newest segment, at a position drawn from the seed. Has an effect only while the
    /// process does not run.
    pub fn flip_bit(&mut self) {
        if let Some(disk) = &mut self.disk {
            if let Some(segment) = disk.newest_segment() {
                disk.flip_bit(&segment, u64::MAX);
            }
        }
    }

    pub(super) fn tick(&mut self, now: Timestamp) {
        let local_time = now + self.clock_offset;
        if let Some(node) = self.node.as_mut().filter(|_| !self.is_paused) {
            node.tick(local_time);
        }
    }

    pub(super) fn deliver(&mut self, now: Timestamp, from: MemberId, mut frame: Frame, plan: &Plan) {
        let Some(node) = &mut self.node else { return };
        if self.is_paused {
            if self.waiting_frames.len() < MAX_WAITING_FRAMES {
                self.waiting_frames.push(WaitingFrame { from, frame });
            }
            return;
        }
        if let Some(Body::ForwardedProposal(forwarded)) = &mut frame.0.body {
            if plan.has(InjectedBug::AnyTermProposals) {
                forwarded.term = node.term();
            }
        }
        node.step(now + self.clock_offset, from, frame);
    }

    /// Resumes a paused process. Whether the process reads the clock or its sockets first is drawn from the
    /// seed.
    pub(super) fn resume(&mut self, now: Timestamp, rng: &mut ChaCha8Rng, plan: &Plan) {
        self.is_paused = false;
        if rng.gen() {
            self.tick(now);
        }
        for waiting in std::mem::take(&mut self.waiting_frames) {
            self.deliver(now, waiting.from, waiting.frame, plan);
        }
    }

    /// Makes a proposal, as the process itself would.
    ///
    /// # Errors
    /// Those of [`Node::propose`]; `NotLeader` without a leader when the process does not run or is paused.
    pub fn propose(&mut self, bytes: Vec<u8>, id: ProposalId) -> Result<(), ProposeError> {
        let running = self.node.as_mut().filter(|_| !self.is_paused);
        running.map_or(Err(ProposeError::NotLeader { leader: None }), |node| node.propose(bytes, id))
    }

    /// Completes or rejects the write in progress. Returns false when the process can't continue.
    pub(super) fn complete_write(&mut self, now: Timestamp, plan: &Plan, outgoing: &mut Vec<Frame>) -> bool {
        self.sync_due = None;
        let Some(batch) = self.unwritten_batches.front() else { return true };
        let number = batch.number;
        let write = self.batch_for_disk(batch, plan);
        let Some(wal) = &mut self.wal else { return true };
        wal.disk_mut().faults =
            Faults { disk_full: self.is_disk_full, lying_sync: self.is_disk_lying, ..Faults::default() };
        self.has_disk_lied |= self.is_disk_lying;
        match wal.write(&write) {
            Ok(()) => {}
            Err(WalError::WriteRejected(_)) => return true,
            Err(_) => return false,
        }
        self.unwritten_batches.pop_front();
        self.batch_on_disk(now, number, outgoing);
        true
    }

    /// The batch as it is written to disk; without the vote if the plan has
    /// [`InjectedBug::VoteNotPersisted`].
    fn batch_for_disk(&self, batch: &Batch, plan: &Plan) -> WriteBatch {
        let mut write = store::to_wal(batch);
        if plan.has(InjectedBug::VoteNotPersisted) {
            let mut state = batch.state.clone();
            let committed_term = self.node.as_ref().and_then(|node| node.term_at(state.commit));
            state.vote = 0;
            state.term = committed_term.unwrap_or(state.term).min(state.term);
            write.state = state.encode_to_vec();
        }
        write
    }

    fn batch_on_disk(&mut self, now: Timestamp, number: u64, outgoing: &mut Vec<Frame>) {
        if let Some(delayed) = self.delayed_snapshot.take_if(|delayed| delayed.after_batch <= number) {
            self.state_machine.install(&delayed.snapshot.data);
            self.applied_index = delayed.snapshot.index;
        }
        while self.delayed_frames.front().is_some_and(|delayed| delayed.after_batch <= number) {
            outgoing.extend(self.delayed_frames.pop_front().into_iter().flat_map(|delayed| delayed.frames));
        }
        if let Some(node) = &mut self.node {
            node.persisted(now + self.clock_offset, number);
            if self.applied_index > 0 {
                node.applied(self.applied_index, None);
            }
        }
    }

    /// Carries out the node's pending work; frames that may be sent are added to `outgoing`.
    pub(super) fn process_ready(
        &mut self,
        now: Timestamp,
        plan: &Plan,
        rng: &mut ChaCha8Rng,
        checker: &mut Checker,
        outgoing: &mut Vec<Frame>,
    ) {
        if self.is_paused {
            return;
        }
        while let Some(ready) = self.node.as_mut().and_then(Node::ready) {
            self.handle_ready(now, plan, ready, checker, outgoing);
        }
        if !self.unwritten_batches.is_empty() && self.sync_due.is_none() {
            let sync_time = if self.is_disk_full {
                FULL_DISK_RETRY
            } else {
                draw::duration(rng, TimeDelta::ZERO, self.max_sync_time)
            };
            self.sync_due = Some(now + sync_time + MIN_SYNC_TIME);
        }
    }

    fn handle_ready(
        &mut self,
        now: Timestamp,
        plan: &Plan,
        mut ready: Ready,
        checker: &mut Checker,
        outgoing: &mut Vec<Frame>,
    ) {
        let acks_early = plan.has(InjectedBug::AckBeforeSync);
        let batch_number = ready.persist.as_ref().map(|batch| batch.number);
        self.unwritten_batches.extend(ready.persist.take());
        self.send_or_delay(&mut ready, acks_early, outgoing);
        let has_snapshot = ready.snapshot.is_some();
        if let (Some(snapshot), Some(after_batch)) = (ready.snapshot.take(), batch_number) {
            self.delayed_snapshot = Some(DelayedSnapshot { after_batch, snapshot });
        }
        self.apply_entries(now, &ready, has_snapshot, checker);
        if ready.snapshot_due {
            self.take_snapshot();
        }
        self.report_to_checker(&ready, checker);
        if let Some(number) = batch_number.filter(|_| acks_early) {
            self.batch_on_disk(now, number, outgoing);
        }
    }

    fn send_or_delay(&mut self, ready: &mut Ready, acks_early: bool, outgoing: &mut Vec<Frame>) {
        outgoing.append(&mut ready.messages);
        let frames = std::mem::take(&mut ready.persisted_messages);
        if ready.send_after_batch == 0 || acks_early {
            outgoing.extend(frames);
        } else if !frames.is_empty() {
            self.delayed_frames.push_back(DelayedFrames { after_batch: ready.send_after_batch, frames });
        }
    }

    fn apply_entries(&mut self, now: Timestamp, ready: &Ready, has_snapshot: bool, checker: &mut Checker) {
        for entry in &ready.committed_entries {
            checker.check_applied_entry(self.id, entry);
            self.state_machine.apply(now, entry);
            if entry.index.is_multiple_of(DIGEST_EVERY) {
                let digest = self.state_machine.digest();
                if let Some(node) = &mut self.node {
                    node.applied(entry.index, Some(digest));
                }
            }
        }
        if ready.apply_through > 0 && !has_snapshot {
            self.applied_index = ready.apply_through;
            if let Some(node) = &mut self.node {
                node.applied(ready.apply_through, None);
            }
        }
    }

    fn take_snapshot(&mut self) {
        if self.delayed_snapshot.is_some() {
            return;
        }
        let state = self.state_machine.snapshot();
        if let Some(node) = &mut self.node {
            // If the snapshot is rejected now, the node requests another one later.
            let _ = node.snapshot_taken(self.applied_index, state);
        }
    }

    fn report_to_checker(&mut self, ready: &Ready, checker: &mut Checker) {
        for outcome in &ready.outcomes {
            checker.check_outcome(outcome);
        }
        for alarm in &ready.alarms {
            checker.check_alarm(self.id, alarm);
        }
        if let (Some(change), Some(node)) = (&ready.role, &self.node) {
            self.role = Some(change.role);
            if change.role == Role::Quarantined {
                self.delayed_frames.clear();
            }
            checker.check_role_change(self.id, change, node);
        }
    }
}
