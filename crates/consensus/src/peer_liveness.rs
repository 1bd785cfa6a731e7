//! What members tell each other beside the agreement: starts, witnesses, hellos and their answers; and how a probation ends.

use crate::ids::MemberId;
use crate::limits::{MAX_COUNT, MAX_FRAMES_WAITING};
use crate::membership::Membership;
use crate::node::{Node, Phase, QuarantineReason};
use crate::peer_table::{beyond, Start};
use crate::pending_proposals::UnknownReason;
use crate::ready::Alarm;
use crate::rejoin::{RejoinAnswer, RejoinOutcome};
use crate::wire::{self, envelope::Body};
use raft::StateRole;

impl Node {
    /// What every frame tells beside its body.
    pub(crate) fn remember(&mut self, from: MemberId, envelope: &wire::Envelope) {
        if let Some(witness) = &envelope.acknowledged {
            self.peers.saw(from, witness);
        }
        for boot in envelope.boots.iter().filter(|boot| boot.boot <= MAX_COUNT) {
            self.learn(MemberId::from_raw(boot.member), boot.boot, boot.nonce);
        }
        if envelope.digest.as_ref().is_some_and(|digest| self.digests.contradicts(digest)) {
            let index = envelope.digest.map_or(0, |digest| digest.index);
            self.alarm(Alarm::Diverged { peer: from, index });
        }
    }

    pub(crate) fn learn(&mut self, member: MemberId, boot: u64, nonce: u64) {
        if member == self.me {
            if boot > self.boot || (boot == self.boot && nonce != 0 && nonce != self.nonce) {
                self.outnumbered(boot);
            }
        } else if self.peers.learn(member, boot, nonce) {
            self.started_anew(member);
        }
    }

    /// Somebody knows a start of this member with a higher number: the counter on the disk was lost.
    pub(crate) fn outnumbered(&mut self, boot: u64) {
        match &mut self.phase {
            Phase::Rejoining { quorum, next_hello, .. } => {
                self.boot = boot + 1;
                quorum.restart();
                *next_hello = self.now;
            }
            // An answer was missed that would have said so. What this start gave stands; it only takes a higher number, so
            // that it is heard again. Where another process runs under its name the alarm comes back.
            _ => {
                self.boot = boot + 1;
                self.state_due = true;
                self.alarm(Alarm::DuplicateInstance { boot });
            }
        }
    }

    /// A member has started anew: what it gave before its start no longer counts. A leader forgets what it acknowledged,
    /// and asks again; a candidate, who may hold its vote, gives up.
    pub(crate) fn started_anew(&mut self, member: MemberId) {
        if let Phase::Rejoining { quorum, .. } = &mut self.phase {
            quorum.forget(member);
        }
        match self.raw.raft.state {
            StateRole::Leader => {
                if let Some(progress) = self.raw.raft.mut_prs().get_mut(member.raw()) {
                    let next = progress.matched + 1;
                    progress.matched = 0;
                    progress.become_probe();
                    progress.next_idx = next;
                }
            }
            StateRole::Candidate | StateRole::PreCandidate => {
                let term = self.raw.raft.term;
                self.raw.raft.become_follower(term, 0);
            }
            StateRole::Follower => {}
        }
    }

    pub(crate) fn hello(&mut self, from: MemberId, boot: u64, hello: wire::RejoinRequest) {
        if hello.term > MAX_COUNT || boot > MAX_COUNT {
            return;
        }
        let Some(start) = self.peers.hello(from, boot, hello.nonce) else { return };
        if start == Start::New {
            self.started_anew(from);
        }
        let (accepted, known_boot) = match start {
            Start::New | Start::Known => (true, boot),
            Start::Behind(known) => (false, known),
        };
        let established = matches!(self.phase, Phase::Established);
        let (membership_index, members) = match &self.phase {
            Phase::Established => self.in_force().clone(),
            _ => self.raw.store().members_on_disk().unwrap_or_else(|| self.contacts.clone()),
        };
        let leads = established && self.raw.raft.state == StateRole::Leader;
        if leads && hello.term > self.raw.raft.term && members.voters.contains(&from) {
            // The asker can't follow a leader of a lower term, and its own term is on its disk.
            self.raw.raft.become_follower(hello.term, 0);
        }
        let last = self.raft_last();
        let floor = |&(member, (term, index)): &(MemberId, (u64, u64))| wire::LogFloor {
            member: member.raw(),
            term,
            index,
        };
        let welcome = wire::RejoinResponse {
            nonce: hello.nonce,
            known_boot,
            accepted,
            observed_ack: Some(self.peers.seen(from)),
            term: self.raw.raft.term.max(self.floors.vote),
            last_term: last.0,
            last_index: last.1,
            established,
            quarantined: matches!(self.phase, Phase::Quarantined(_)),
            membership: Some(members.to_wire()),
            membership_index,
            floors: self.floors.logs.iter().map(floor).collect(),
        };
        if self.after.len() < MAX_FRAMES_WAITING {
            self.after.push((from, Body::RejoinResponse(welcome)));
        }
    }

    pub(crate) fn welcome(&mut self, from: MemberId, welcome: wire::RejoinResponse) {
        let Phase::Rejoining { quorum, .. } = &mut self.phase else { return };
        let figures = [welcome.term, welcome.last_term, welcome.last_index, welcome.known_boot];
        if welcome.nonce != self.nonce || figures.iter().any(|&figure| figure > MAX_COUNT) {
            return;
        }
        let observed_ack = welcome.observed_ack.unwrap_or_default();
        if !welcome.quarantined && beyond(&observed_ack, &self.held) {
            return self.quarantine(QuarantineReason::LostAcknowledgedWrites {
                by: from,
                observed_ack,
                held: self.held,
            });
        }
        if !welcome.accepted && welcome.known_boot >= self.boot {
            return self.outnumbered(welcome.known_boot);
        }
        let members = welcome.membership.as_ref().and_then(|members| Membership::from_wire(members, &[]));
        let Some(members) = members.filter(|_| welcome.accepted && welcome.known_boot == self.boot) else {
            return;
        };
        quorum.answer(
            from,
            RejoinAnswer {
                term: welcome.term,
                last: (welcome.last_term, welcome.last_index),
                floors: welcome
                    .floors
                    .iter()
                    .map(|f| (MemberId::from_raw(f.member), (f.term, f.index)))
                    .collect(),
                established: welcome.established,
                quarantined: welcome.quarantined,
                members: (welcome.membership_index, members),
            },
        );
        self.judge();
    }

    /// Ends the probation when enough was heard.
    pub(crate) fn judge(&mut self) {
        let Phase::Rejoining { quorum, .. } = &self.phase else { return };
        let Some(vouched) = quorum.outcome(self.now) else { return };
        self.establish(vouched);
    }

    pub(crate) fn establish(&mut self, vouched: RejoinOutcome) {
        if vouched.relaxed {
            self.alarm(Alarm::WeakRejoinQuorum);
        }
        self.floors = vouched.floors;
        self.floors.vote = self.floors.vote.max(self.raw.raft.term);
        if self.floors.vote > self.raw.raft.term {
            self.raw.raft.become_follower(self.floors.vote, 0);
        }
        self.phase = Phase::Established;
        self.state_due = true;
        self.last_tick = self.now;
    }

    pub(crate) fn quarantine(&mut self, fault: QuarantineReason) {
        let term = self.raw.raft.term;
        self.raw.raft.become_follower(term, 0);
        self.alarm(Alarm::Quarantined(fault.clone()));
        self.phase = Phase::Quarantined(fault);
        self.state_due = true;
        self.proposals.give_up(UnknownReason::Quarantined, &mut self.outcomes);
    }
}
