//! Golden tests with the logs and frames of three members, written by an earlier release. The logs are
//! recovered with the same content, members started on them agree as before, and the current version writes
//! and sends the same bytes.
#![allow(missing_docs)]

use sprucelink_consensus::wire::{self, envelope::Body};
use sprucelink_consensus::{
    store, CommittedEntry, Config, Decoder, Frame, MemberId, Node, ProposalId, RecoveredState, Role,
    TimeDelta, Timestamp, Timing,
};
use sprucelink_wal::{Disk, FaultDisk, Wal};
use std::collections::VecDeque;
use std::path::{Path, PathBuf};

/// Time from one tick to the next.
const TICK: TimeDelta = TimeDelta::from_micros(50_000);

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn member(node: u32) -> MemberId {
    MemberId::new(node, 1)
}

/// A member with its log on an in-memory disk, on which every write completes at once.
struct Member {
    node: Node,
    log: Wal<FaultDisk>,
    applied: Vec<CommittedEntry>,
    applied_through: u64,
    role: Option<Role>,
}

impl Member {
    fn start(id: MemberId, disk: FaultDisk, now: Timestamp) -> Member {
        let founders = (1..=3).map(member).collect();
        let timing = Timing { snapshot_every: 16, ..Timing::default() };
        let config = Config { member: id, founders, contacts: vec![], timing };
        let (log, recovered) = Wal::open(disk).expect("an intact log");
        let recovered = store::recover(recovered).expect("a member's log");
        let node = Node::new(config, recovered, u64::from(id.node), now).expect("started");
        Member { node, log, applied: Vec::new(), applied_through: 0, role: None }
    }

    /// Carries out the node's pending work and returns the frames to send.
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
                self.applied_through = ready.apply_through;
                self.node.applied(ready.apply_through, Some(ready.apply_through * 3));
            }
            if ready.snapshot_due {
                let state = format!("{} records", self.applied.len()).into_bytes();
                self.node.snapshot_taken(self.applied_through, state).expect("taken");
            }
            self.role = ready.role.map(|change| change.role).or(self.role);
        }
        sent
    }
}

/// Three members and all frames that they sent each other.
struct Group {
    members: Vec<Member>,
    now: Timestamp,
    sent: Vec<Frame>,
}

impl Group {
    fn start(disks: [FaultDisk; 3], now: Timestamp) -> Group {
        let node = |(index, disk)| Member::start(member(index as u32 + 1), disk, now);
        Group { members: disks.into_iter().enumerate().map(node).collect(), now, sent: Vec::new() }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        for member in &mut self.members {
            member.node.tick(self.now);
        }
        self.deliver_all();
    }

    /// Delivers frames until no member has pending work.
    fn deliver_all(&mut self) {
        let mut in_flight = VecDeque::new();
        loop {
            for member in &mut self.members {
                in_flight.extend(member.process_ready(self.now));
            }
            let Some(frame) = in_flight.pop_front() else { return };
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
            if let Some(leader) = self.members.iter().position(|member| member.role == Some(Role::Leader)) {
                return leader;
            }
            self.tick();
        }
        panic!("no leader after 200 ticks");
    }

    fn propose(&mut self, sequence: u64) {
        let leader = self.leader();
        let id = ProposalId { origin: 7, sequence };
        let record = format!("record {sequence}").into_bytes();
        self.members[leader].node.propose(record, id).expect("proposed");
        self.deliver_all();
    }
}

/// A history with an election, records, a learner that is added and removed, and a snapshot.
fn history() -> Group {
    let mut group = Group::start([1, 2, 3].map(FaultDisk::new), Timestamp::from_micros(1_000_000));
    (1..=20).for_each(|sequence| group.propose(sequence));
    let leader = group.leader();
    group.members[leader].node.add_learner(MemberId::new(4, 2)).expect("proposed");
    group.deliver_all();
    (21..=24).for_each(|sequence| group.propose(sequence));
    group.members[leader].node.remove(MemberId::new(4, 2)).expect("proposed");
    group.deliver_all();
    (0..4).for_each(|_| group.tick());
    (25..=27).for_each(|sequence| group.propose(sequence));
    group
}

/// Names and contents of the files on a disk.
fn files(disk: &FaultDisk) -> Vec<(String, Vec<u8>)> {
    let mut names = disk.list().expect("names");
    names.sort();
    names.into_iter().map(|name| (name.clone(), disk.read(&name).expect("read"))).collect()
}

/// A disk with a member's golden log.
fn golden_disk(node: u64) -> FaultDisk {
    let mut disk = FaultDisk::new(node);
    for entry in std::fs::read_dir(golden(&format!("member-{node}"))).expect("a directory") {
        let path = entry.expect("an entry").path();
        let name = path.file_name().and_then(|name| name.to_str()).expect("a name");
        disk.create(name).expect("created");
        disk.append(name, &std::fs::read(&path).expect("read")).expect("written");
        disk.sync(name).expect("synced");
        disk.sync_directory().expect("synced");
    }
    disk
}

/// The recovered content of a log as text, one line for each part.
fn describe_recovered(recovered: &RecoveredState) -> String {
    let state = &recovered.state;
    let mut lines = vec![
        format!("writes {}", recovered.last_batch),
        format!("term {} vote {:x} commit {}", state.term, state.vote, state.commit),
        format!("boot {} quarantined {}", state.boot, state.quarantined),
    ];
    for boot in &state.boots {
        lines.push(format!("boot of {:x}: {} nonce {:x}", boot.member, boot.boot, boot.nonce));
    }
    for observed in &state.observed_acks {
        let ack = observed.ack.unwrap_or_default();
        lines.push(format!(
            "seen of {:x}: writes {} term {} vote {:x} last {}.{}",
            observed.member, ack.writes, ack.term, ack.vote, ack.last_term, ack.last_index
        ));
    }
    if let Some(snapshot) = &recovered.snapshot {
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
    for entry in &recovered.entries {
        let data = String::from_utf8_lossy(&entry.data);
        lines.push(format!("entry {}.{} kind {} {data:?}", entry.term, entry.index, entry.kind));
    }
    lines.join("\n") + "\n"
}

fn expected(name: &str) -> String {
    std::fs::read_to_string(golden(name)).expect("a golden file")
}

#[test]
fn logs_of_an_earlier_release_are_recovered_as_they_were_written() {
    for node in 1..=3 {
        let (_, recovered) = Wal::open(golden_disk(node)).expect("an intact log");
        assert_eq!(recovered.torn_tail, None);
        let recovered = store::recover(recovered).expect("a member's log");
        assert_eq!(describe_recovered(&recovered), expected(&format!("member-{node}.txt")));
    }
}

/// Members that are started on the logs of an earlier release apply the entries that were committed, and
/// continue after them.
#[test]
fn members_started_on_logs_of_an_earlier_release_agree_on_what_was_committed() {
    let mut group = Group::start([1, 2, 3].map(golden_disk), Timestamp::from_micros(60_000_000));
    group.propose(28);
    group.tick();
    group.tick();
    let mut lines = String::new();
    for member in &group.members {
        for entry in &member.applied {
            let data = String::from_utf8_lossy(&entry.bytes);
            let (origin, sequence) = (entry.id.origin, entry.id.sequence);
            lines.push_str(&format!(
                "{} {}.{}: {origin}.{sequence} {data}\n",
                member.node.id(),
                entry.term,
                entry.index
            ));
        }
    }
    assert_eq!(lines, expected("restarted.txt"));
}

#[test]
fn history_writes_the_same_logs_as_an_earlier_release() {
    for (index, member) in history().members.into_iter().enumerate() {
        let golden = golden_disk(index as u64 + 1);
        assert!(files(&member.log.into_disk()) == files(&golden), "the log of member {}", index + 1);
    }
}

/// Compares all frames of the history, in order, each with its length in front as on a connection.
#[test]
fn history_sends_the_same_frames_as_an_earlier_release() {
    let group = history();
    let bytes: Vec<u8> = group.sent.iter().flat_map(Frame::encode).collect();
    let golden = std::fs::read(golden("frames.bin")).expect("a golden file");
    let mut decoder = Decoder::default();
    decoder.push(&golden);
    let mut frames = Vec::new();
    while let Some(frame) = decoder.next_frame().expect("a frame") {
        frames.push(frame);
    }
    for (index, (sent, expected)) in group.sent.iter().zip(&frames).enumerate() {
        assert_eq!(sent, expected, "frame {index}");
    }
    assert!(bytes == golden, "{} and {} bytes", bytes.len(), golden.len());
}

/// Compares the encoding of frames with every field of every kind of body set.
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

#[expect(clippy::too_many_lines, reason = "a literal of every message")]
fn every_body() -> Vec<Frame> {
    let ack = wire::AckState { writes: 1, term: 2, vote: 3, last_term: 4, last_index: 5 };
    let membership = wire::Membership { voters: vec![1, 2], learners: vec![3] };
    let entry = wire::Entry { index: 21, term: 22, kind: 1, data: b"entry".to_vec() };
    let snapshot = wire::Snapshot {
        index: 31,
        term: 32,
        membership: Some(membership.clone()),
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
    let response = wire::RejoinResponse {
        nonce: 51,
        known_boot: 52,
        accepted: true,
        observed_ack: Some(ack),
        term: 53,
        last_term: 54,
        last_index: 55,
        established: true,
        quarantined: true,
        membership: Some(membership),
        membership_index: 56,
        floors: vec![wire::LogFloor { member: 57, term: 58, index: 59 }],
    };
    let proposal = wire::Proposal { origin: 61, sequence: 62, data: b"record".to_vec() };
    let bodies = [
        Body::Raft(raft),
        Body::RejoinRequest(wire::RejoinRequest { nonce: 71, term: 72 }),
        Body::RejoinResponse(response),
        Body::ForwardedProposal(wire::ForwardedProposal { term: 73, proposal: Some(proposal) }),
        Body::ProposalRejection(wire::ProposalRejection { origin: 74, sequence: 75, reason: 76 }),
    ];
    let envelope = |body| wire::Envelope {
        version: 1,
        from: member(1).raw(),
        to: member(2).raw(),
        boot: 81,
        nonce: 82,
        acknowledged: Some(ack),
        boots: vec![wire::Boot { member: 83, boot: 84, nonce: 85 }],
        digest: Some(wire::StateDigest { index: 86, digest: 87 }),
        body: Some(body),
    };
    bodies.into_iter().map(|body| Frame(envelope(body))).collect()
}
