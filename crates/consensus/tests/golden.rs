//! Golden: logs and frames of three members, written by an earlier release. The logs are read
//! as what was written and members started on them agree as before; what is written and sent today has the same bytes.
#![allow(missing_docs)]

use sprucelink_consensus::wire::{self, envelope::Body};
use sprucelink_consensus::{
    store, CommittedEntry, Config, Decoder, Frame, MemberId, Node, ProposalId, RecoveredState, Role,
    TimeDelta, Timestamp, Timing,
};
use sprucelink_wal::{Disk, FaultDisk, Wal};
use std::collections::VecDeque;
use std::path::{Path, PathBuf};

/// From one tick to the next.
const TICK: TimeDelta = TimeDelta::from_micros(50_000);

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn member(node: u32) -> MemberId {
    MemberId::new(node, 1)
}

/// A member on its log, whose disk is as fast as memory.
struct Member {
    node: Node,
    log: Wal<FaultDisk>,
    applied: Vec<CommittedEntry>,
    through: u64,
    role: Option<Role>,
}

impl Member {
    fn start(id: MemberId, disk: FaultDisk, now: Timestamp) -> Member {
        let founders = (1..=3).map(member).collect();
        let timing = Timing { snapshot_every: 16, ..Timing::default() };
        let config = Config { member: id, founders, contacts: vec![], timing };
        let (log, restored) = Wal::open(disk).expect("a whole log");
        let restored = store::recover(restored).expect("a member's log");
        let node = Node::new(config, restored, u64::from(id.node), now).expect("started");
        Member { node, log, applied: Vec::new(), through: 0, role: None }
    }

    /// Does what is to be done; the frames that go out.
    fn process_ready(&mut self, now: Timestamp) -> Vec<Frame> {
        let mut sent = Vec::new();
        while let Some(ready) = self.node.ready() {
            if let Some(batch) = &ready.persist {
                self.log.write(&store::to_wal(batch)).expect("written");
                self.node.persisted(now, batch.number);
            }
            sent.extend(ready.messages);
            sent.extend(ready.persisted_messages);
            self.applied.extend(ready.committed_entries);
            if ready.apply_through > 0 {
                self.through = ready.apply_through;
                self.node.applied(ready.apply_through, Some(ready.apply_through * 3));
            }
            if ready.snapshot_due {
                let state = format!("{} records", self.applied.len()).into_bytes();
                self.node.snapshot_taken(self.through, state).expect("taken");
            }
            self.role = ready.role.map(|change| change.role).or(self.role);
        }
        sent
    }
}

/// Three members and what they sent each other.
struct World {
    members: Vec<Member>,
    now: Timestamp,
    sent: Vec<Frame>,
}

impl World {
    fn start(disks: [FaultDisk; 3], now: Timestamp) -> World {
        let node = |(index, disk)| Member::start(member(index as u32 + 1), disk, now);
        World { members: disks.into_iter().enumerate().map(node).collect(), now, sent: Vec::new() }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        for member in &mut self.members {
            member.node.tick(self.now);
        }
        self.settle();
    }

    /// Until nobody has anything to do.
    fn settle(&mut self) {
        let mut under_way = VecDeque::new();
        loop {
            for member in &mut self.members {
                under_way.extend(member.process_ready(self.now));
            }
            let Some(frame) = under_way.pop_front() else { return };
            self.sent.push(frame.clone());
            let to = frame.to().node as usize - 1;
            let from = frame.from();
            if let Some(node) = self.members.get_mut(to) {
                node.node.step(self.now, from, frame);
            }
        }
    }

    fn leader(&mut self) -> usize {
        for _ in 0..200 {
            if let Some(at) = self.members.iter().position(|node| node.role == Some(Role::Leader)) {
                return at;
            }
            self.tick();
        }
        panic!("nobody leads");
    }

    fn propose(&mut self, sequence: u64) {
        let leader = self.leader();
        let id = ProposalId { origin: 7, sequence };
        let record = format!("record {sequence}").into_bytes();
        self.members[leader].node.propose(record, id).expect("proposed");
        self.settle();
    }
}

/// A history with an election, records, a learner that comes and goes, and a snapshot.
fn history() -> World {
    let mut world = World::start([1, 2, 3].map(FaultDisk::new), Timestamp::from_micros(1_000_000));
    (1..=20).for_each(|sequence| world.propose(sequence));
    let leader = world.leader();
    world.members[leader].node.add_learner(MemberId::new(4, 2)).expect("begun");
    world.settle();
    (21..=24).for_each(|sequence| world.propose(sequence));
    world.members[leader].node.remove(MemberId::new(4, 2)).expect("begun");
    world.settle();
    (0..4).for_each(|_| world.tick());
    (25..=27).for_each(|sequence| world.propose(sequence));
    world
}

/// The files on a disk: names and bytes.
fn files(disk: &FaultDisk) -> Vec<(String, Vec<u8>)> {
    let mut names = disk.list().expect("names");
    names.sort();
    names.into_iter().map(|name| (name.clone(), disk.read(&name).expect("read"))).collect()
}

/// A member's golden log, on a disk.
fn golden_disk(node: u64) -> FaultDisk {
    let mut disk = FaultDisk::new(node);
    for entry in std::fs::read_dir(golden(&format!("member-{node}"))).expect("a folder") {
        let path = entry.expect("an entry").path();
        let name = path.file_name().and_then(|name| name.to_str()).expect("a name");
        disk.create(name).expect("made");
        disk.append(name, &std::fs::read(&path).expect("read")).expect("written");
        disk.sync(name).expect("synced");
        disk.sync_directory().expect("synced");
    }
    disk
}

/// What a log says, a line for each part.
fn told(restored: &RecoveredState) -> String {
    let state = &restored.state;
    let mut lines = vec![
        format!("writes {}", restored.last_batch),
        format!("term {} vote {:x} commit {}", state.term, state.vote, state.commit),
        format!("boot {} quarantined {}", state.boot, state.quarantined),
    ];
    for boot in &state.boots {
        lines.push(format!("boot of {:x}: {} nonce {:x}", boot.member, boot.boot, boot.nonce));
    }
    for seen in &state.observed_acks {
        let witness = seen.ack.unwrap_or_default();
        lines.push(format!(
            "seen of {:x}: writes {} term {} vote {:x} last {}.{}",
            seen.member, witness.writes, witness.term, witness.vote, witness.last_term, witness.last_index
        ));
    }
    if let Some(snapshot) = &restored.snapshot {
        lines.push(format!("snapshot {}.{}", snapshot.term, snapshot.index));
        lines.push(format!(
            "voters {:?}",
            snapshot.membership.voters.iter().map(ToString::to_string).collect::<Vec<_>>()
        ));
        lines.push(format!(
            "learners {:?}",
            snapshot.membership.learners.iter().map(ToString::to_string).collect::<Vec<_>>()
        ));
        lines.push(format!("incarnations {:?}", snapshot.membership.incarnations));
        lines.push(format!("data {:?}", String::from_utf8_lossy(&snapshot.data)));
    }
    for entry in &restored.entries {
        let data = String::from_utf8_lossy(&entry.data);
        lines.push(format!("entry {}.{} kind {} {data:?}", entry.term, entry.index, entry.kind));
    }
    lines.join("\n") + "\n"
}

fn expected(name: &str) -> String {
    std::fs::read_to_string(golden(name)).expect("a golden file")
}

#[test]
fn logs_of_an_earlier_release_are_read_as_they_were_written() {
    for node in 1..=3 {
        let (_, restored) = Wal::open(golden_disk(node)).expect("a whole log");
        assert_eq!(restored.torn_tail, None);
        let restored = store::recover(restored).expect("a member's log");
        assert_eq!(told(&restored), expected(&format!("member-{node}.txt")));
    }
}

/// Members that are started on the logs of an earlier release apply what was committed, and continue from there.
#[test]
fn members_started_on_logs_of_an_earlier_release_agree_on_what_was_committed() {
    let mut world = World::start([1, 2, 3].map(golden_disk), Timestamp::from_micros(60_000_000));
    world.propose(28);
    world.tick();
    world.tick();
    let mut lines = String::new();
    for node in &world.members {
        for entry in &node.applied {
            let data = String::from_utf8_lossy(&entry.bytes);
            let (origin, sequence) = (entry.id.origin, entry.id.sequence);
            lines.push_str(&format!(
                "{} {}.{}: {origin}.{sequence} {data}\n",
                node.node.id(),
                entry.term,
                entry.index
            ));
        }
    }
    assert_eq!(lines, expected("restarted.txt"));
}

#[test]
fn history_writes_the_same_logs_as_an_earlier_release() {
    for (index, node) in history().members.into_iter().enumerate() {
        let golden = golden_disk(index as u64 + 1);
        assert!(files(&node.log.into_disk()) == files(&golden), "the log of member {}", index + 1);
    }
}

/// All frames of the history, in order, each with its length in front as on a connection.
#[test]
fn history_sends_the_same_frames_as_an_earlier_release() {
    let world = history();
    let bytes: Vec<u8> = world.sent.iter().flat_map(Frame::encode).collect();
    let golden = std::fs::read(golden("frames.bin")).expect("a golden file");
    let mut decoder = Decoder::default();
    decoder.push(&golden);
    let mut frames = Vec::new();
    while let Some(frame) = decoder.next_frame().expect("a frame") {
        frames.push(frame);
    }
    for (number, (now, before)) in world.sent.iter().zip(&frames).enumerate() {
        assert_eq!(now, before, "frame {number}");
    }
    assert!(bytes == golden, "{} and {} bytes", bytes.len(), golden.len());
}

/// A frame with every field of every body set, as it was encoded before.
#[test]
fn every_field_of_a_frame_has_the_bytes_of_an_earlier_release() {
    let bytes: Vec<u8> = every_body().into_iter().flat_map(|frame| frame.encode()).collect();
    let golden = std::fs::read(golden("bodies.bin")).expect("a golden file");
    assert!(bytes == golden, "{} and {} bytes", bytes.len(), golden.len());
    let mut decoder = Decoder::default();
    decoder.push(&golden);
    for expected in every_body() {
        assert_eq!(decoder.next_frame(), Ok(Some(expected)));
    }
}

#[expect(clippy::too_many_lines, reason = "one scenario, step after step")]
fn every_body() -> Vec<Frame> {
    let witness = wire::AckState { writes: 1, term: 2, vote: 3, last_term: 4, last_index: 5 };
    let members = wire::Membership { voters: vec![1, 2], learners: vec![3] };
    let entry = wire::Entry { index: 21, term: 22, kind: 1, data: b"entry".to_vec() };
    let snapshot = wire::Snapshot {
        index: 31,
        term: 32,
        membership: Some(members.clone()),
        incarnations: vec![33, 34],
        data: b"snapshot".to_vec(),
    };
    let raft = wire::RaftMessage {
        kind: 41,
        term: 42,
        log_term: 43,
        index: 44,
        commit: 45,
        commit_term: 46,
        reject: true,
        reject_hint: 47,
        context: b"context".to_vec(),
        entries: vec![entry],
        snapshot: Some(snapshot),
    };
    let welcome = wire::RejoinResponse {
        nonce: 51,
        known_boot: 52,
        accepted: true,
        observed_ack: Some(witness),
        term: 53,
        last_term: 54,
        last_index: 55,
        established: true,
        quarantined: true,
        membership: Some(members),
        membership_index: 56,
        floors: vec![wire::LogFloor { member: 57, term: 58, index: 59 }],
    };
    let record = wire::Proposal { origin: 61, sequence: 62, data: b"record".to_vec() };
    let bodies = [
        Body::Raft(raft),
        Body::RejoinRequest(wire::RejoinRequest { nonce: 71, term: 72 }),
        Body::RejoinResponse(welcome),
        Body::ForwardedProposal(wire::ForwardedProposal { term: 73, proposal: Some(record) }),
        Body::ProposalRejection(wire::ProposalRejection { origin: 74, sequence: 75, reason: 76 }),
    ];
    let envelope = |body| wire::Envelope {
        version: 1,
        from: member(1).raw(),
        to: member(2).raw(),
        boot: 81,
        nonce: 82,
        acknowledged: Some(witness),
        boots: vec![wire::Boot { member: 83, boot: 84, nonce: 85 }],
        digest: Some(wire::StateDigest { index: 86, digest: 87 }),
        body: Some(body),
    };
    bodies.into_iter().map(|body| Frame(envelope(body))).collect()
}
