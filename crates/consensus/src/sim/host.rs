//! One process with its disk: the acting half, as it will stand in the program, in virtual time.

use super::checker::Checker;
use super::{draw_span, InjectedBug, Plan, StateMachine};
use crate::ready::{Alarm, Batch, Ready, Role, Snapshot};
use crate::store;
use crate::wire::envelope::Body;
use crate::{Config, Frame, MemberId, Node, ProposalId, ProposeError, TimeDelta, Timestamp};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use sprucelink_wal::{FaultDisk, Faults, Wal, WalError};
use std::collections::VecDeque;

/// Most frames that wait at a stopped process, as in its sockets' buffers; further ones are lost.
const MAX_INBOX: usize = 2000;

/// A process, up or down.
pub struct Host<A> {
    /// Its name.
    pub id: MemberId,
    /// What applies records; begins anew at each start.
    pub app: A,
    /// The member, while the process is up.
    pub council: Option<Node>,
    wal: Option<Wal<FaultDisk>>,
    disk: Option<FaultDisk>,
    /// Stopped as by SIGSTOP: nothing is done, and frames wait.
    pub stopped: bool,
    inbox: Vec<(MemberId, Frame)>,
    writing: VecDeque<Batch>,
    held: VecDeque<(u64, Vec<Frame>)>,
    installing: Option<(u64, Snapshot)>,
    applied: u64,
    /// How often it was started.
    pub starts: u64,
    /// Why the store would not open: the member is out for good.
    pub damaged: Option<WalError>,
    /// Its part, as last told.
    pub role: Option<Role>,
    /// How far its clock is off.
    pub offset: TimeDelta,
    /// Longest time of a sync now.
    pub max_sync_time: TimeDelta,
    /// Whether the disk is full now.
    pub full: bool,
    /// Whether the disk's syncs lie now.
    pub lying: bool,
    /// Whether the disk has lied.
    pub lied: bool,
    /// When the next write is on disk, when one is under way.
    pub sync_due: Option<Timestamp>,
    seed: u64,
}

/// The settings that a host is started with.
pub(crate) struct Start<'a> {
    pub founders: &'a [MemberId],
    pub contacts: &'a [MemberId],
    pub plan: &'a Plan,
}

impl<A: StateMachine> Host<A> {
    pub(crate) fn new(id: MemberId, app: A, plan: &Plan, rng: &mut ChaCha8Rng) -> Self {
        let seed = rng.gen();
        Host {
            id,
            app,
            council: None,
            wal: None,
            disk: Some(FaultDisk::new(seed)),
            stopped: false,
            inbox: Vec::new(),
            writing: VecDeque::new(),
            held: VecDeque::new(),
            installing: None,
            applied: 0,
            starts: 0,
            damaged: None,
            role: None,
            offset: TimeDelta::from_millis(rng.gen_range(0..3_600_000)),
            max_sync_time: plan.max_sync_time,
            full: false,
            lying: false,
            lied: false,
            sync_due: None,
            seed,
        }
    }

    /// Whether the process runs.
    pub fn is_up(&self) -> bool {
        self.council.is_some()
    }

    /// Whether the process runs and takes part.
    pub fn is_established(&self) -> bool {
        self.is_up() && !matches!(self.role, None | Some(Role::Rejoining | Role::Quarantined))
    }

    /// Whether the member is out for good.
    pub fn is_out(&self) -> bool {
        self.damaged.is_some() || self.role == Some(Role::Quarantined)
    }

    pub(crate) fn start(&mut self, now: Timestamp, start: &Start, app: A) {
        let Some(mut disk) = self.disk.take() else { return };
        disk.faults = Faults { lying_sync: self.lying, ..Faults::default() };
        let copy = disk.clone();
        let (wal, restored) = match Wal::open(disk) {
            Ok(opened) => opened,
            Err(error) => {
                self.damaged = Some(error);
                self.disk = Some(copy);
                return;
            }
        };
        self.starts += 1;
        (self.app, self.role) = (app, None);
        let config = Config {
            member: self.id,
            founders: start.founders.to_vec(),
            contacts: start.contacts.to_vec(),
            timing: start.plan.timing.clone(),
        };
        let restored = store::restored(restored).expect("the wal holds what was written");
        self.applied = restored.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        if let Some(snapshot) = &restored.snapshot {
            self.app.install(&snapshot.data);
        }
        let council = Node::new(config, restored, self.seed ^ self.starts, now + self.offset);
        let mut council = council.expect("what was written starts again");
        if start.plan.has(InjectedBug::TrustDisk) {
            council.trust_disk();
        }
        (self.council, self.wal) = (Some(council), Some(wal));
    }

    /// The process dies, with the machine's memory: what no sync covered may be lost.
    pub(crate) fn crash(&mut self, torn: bool) {
        let Some(mut wal) = self.wal.take() else { return };
        if torn {
            if let Some(batch) = self.writing.front() {
                wal.disk_mut().faults = Faults { failing_sync: true, torn_writes: torn, ..Faults::default() };
                let _ = wal.write(&store::to_write(batch));
            }
        }
        let mut disk = wal.into_disk();
        disk.faults = Faults { lying_sync: self.lying, torn_writes: torn, ..Faults::default() };
        disk.crash();
        self.disk = Some(disk);
        self.council = None;
        self.inbox.clear();
        self.writing.clear();
        self.held.clear();
        (self.installing, self.sync_due, self.stopped) = (None, None, false);
    }

    pub(crate) fn tick(&mut self, now: Timestamp) {
        let local = now + self.offset;
        if let Some(council) = self.council.as_mut().filter(|_| !self.stopped) {
            council.tick(local);
        }
    }

    pub(crate) fn deliver(&mut self, now: Timestamp, from: MemberId, mut frame: Frame, plan: &Plan) {
        let Some(council) = &mut self.council else { return };
        if self.stopped {
            if self.inbox.len() < MAX_INBOX {
                self.inbox.push((from, frame));
            }
            return;
        }
        if let Some(Body::ForwardedProposal(propose)) = &mut frame.0.body {
            if plan.has(InjectedBug::AnyTermProposals) {
                propose.term = council.term();
            }
        }
        council.step(now + self.offset, from, frame);
    }

    /// The process runs on; whether it first looks at the clock or at its sockets is up to the seed.
    pub(crate) fn wake(&mut self, now: Timestamp, rng: &mut ChaCha8Rng, plan: &Plan) {
        self.stopped = false;
        if rng.gen() {
            self.tick(now);
        }
        for (from, frame) in std::mem::take(&mut self.inbox) {
            self.deliver(now, from, frame, plan);
        }
    }

    /// Proposes, as the process' own code would.
    pub fn propose(&mut self, bytes: Vec<u8>, id: ProposalId) -> Result<(), ProposeError> {
        let running = self.council.as_mut().filter(|_| !self.stopped);
        running.map_or(Err(ProposeError::NotLeader { leader: None }), |council| council.propose(bytes, id))
    }

    /// The write under way is done, or refused. False when the process can't go on.
    pub(crate) fn synced(&mut self, now: Timestamp, plan: &Plan, out: &mut Vec<Frame>) -> bool {
        self.sync_due = None;
        let (Some(wal), Some(batch)) = (&mut self.wal, self.writing.front()) else { return true };
        wal.disk_mut().faults = Faults { disk_full: self.full, lying_sync: self.lying, ..Faults::default() };
        self.lied |= self.lying;
        let mut write = store::to_write(batch);
        if plan.has(InjectedBug::VoteNotKept) {
            let mut state = batch.state.clone();
            state.vote = 0;
            state.term = self
                .council
                .as_ref()
                .and_then(|c| c.term_at(state.commit))
                .unwrap_or(state.term)
                .min(state.term);
            write.state = prost::Message::encode_to_vec(&state);
        }
        match wal.write(&write) {
            Ok(()) => {}
            Err(WalError::Refused(_)) => return true,
            Err(_) => return false,
        }
        let number = batch.number;
        self.writing.pop_front();
        self.on_disk(now, number, out);
        true
    }

    fn on_disk(&mut self, now: Timestamp, number: u64, out: &mut Vec<Frame>) {
        if let Some((_, snapshot)) = self.installing.take_if(|(after, _)| *after <= number) {
            self.app.install(&snapshot.data);
            self.applied = snapshot.index;
        }
        while self.held.front().is_some_and(|(after, _)| *after <= number) {
            out.extend(self.held.pop_front().into_iter().flat_map(|(_, frames)| frames));
        }
        if let Some(council) = &mut self.council {
            council.persisted(now + self.offset, number);
            if self.applied > 0 {
                council.applied(self.applied, None);
            }
        }
    }

    /// Does all that the member wants done; frames that may go out are left in `out`.
    pub(crate) fn work(
        &mut self,
        now: Timestamp,
        plan: &Plan,
        rng: &mut ChaCha8Rng,
        check: &mut Checker,
        out: &mut Vec<Frame>,
    ) {
        if self.stopped {
            return;
        }
        while let Some(ready) = self.council.as_mut().and_then(Node::ready) {
            self.act(now, plan, ready, check, out);
        }
        if !self.writing.is_empty() && self.sync_due.is_none() {
            let time = if self.full {
                TimeDelta::from_millis(50)
            } else {
                draw_span(rng, TimeDelta::ZERO, self.max_sync_time)
            };
            self.sync_due = Some(now + time + TimeDelta::from_micros(1));
        }
    }

    fn act(&mut self, now: Timestamp, plan: &Plan, ready: Ready, check: &mut Checker, out: &mut Vec<Frame>) {
        let early = plan.has(InjectedBug::AckBeforeSync);
        let written = ready.persist.as_ref().map(|batch| batch.number);
        self.writing.extend(ready.persist);
        out.extend(ready.send_now);
        if ready.after == 0 || early {
            out.extend(ready.send_after);
        } else if !ready.send_after.is_empty() {
            self.held.push_back((ready.after, ready.send_after));
        }
        let installing = ready.install.is_some();
        if let (Some(snapshot), Some(number)) = (ready.install, written) {
            self.installing = Some((number, snapshot));
        }
        for entry in &ready.committed {
            check.applied(self.id, entry);
            self.app.apply(now, entry);
            if entry.index.is_multiple_of(16) {
                let digest = self.app.digest();
                if let Some(council) = &mut self.council {
                    council.applied(entry.index, Some(digest));
                }
            }
        }
        if ready.through > 0 && !installing {
            self.applied = ready.through;
            if let Some(council) = &mut self.council {
                council.applied(ready.through, None);
            }
        }
        if ready.snapshot_wanted && self.installing.is_none() {
            let state = self.app.snapshot();
            if let Some(council) = &mut self.council {
                let _ = council.snapshot_taken(self.applied, state);
            }
        }
        ready.outcomes.iter().for_each(|outcome| check.outcome(outcome));
        ready.alarms.iter().for_each(|alarm: &Alarm| check.alarm(self.id, alarm));
        if let (Some(change), Some(council)) = (&ready.role, &self.council) {
            self.role = Some(change.role);
            if change.role == Role::Quarantined {
                self.held.clear();
            }
            check.role(self.id, change, council);
        }
        if let Some(number) = written.filter(|_| early) {
            self.on_disk(now, number, out);
        }
    }

    /// Something of the disk turns bad: a bit in the newest generation, at a place that the seed chooses.
    pub fn rot(&mut self) {
        if let Some(disk) = &mut self.disk {
            if let Some(name) = disk.newest_segment() {
                disk.flip_bit(&name, u64::MAX);
            }
        }
    }
}
