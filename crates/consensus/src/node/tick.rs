//! Timers of a member: raft ticks, rejoin requests and snapshot retries.

use super::{Node, Phase};
use crate::alarm::Alarm;
use crate::limits::MAX_TICKS_AT_ONCE;
use crate::wire::envelope::Body;
use crate::wire::RejoinRequest;
use raft::{ProgressState, SnapshotStatus, StateRole};
use sprucelink_time::{TimeDelta, Timestamp};

impl Node {
    /// Advances the timers to `now`. Must be called at least once per tick. A longer gap counts as a pause of
    /// the process; a leader that was paused for an election timeout steps down at once.
    pub fn tick(&mut self, now: Timestamp) {
        self.advance_clock(now);
        self.proposals.tick(now);
        match self.phase {
            Phase::Quarantined(_) => self.last_tick = now,
            Phase::Rejoining { .. } => {
                self.last_tick = now;
                self.send_rejoin_requests(now);
                self.finish_rejoin();
            }
            Phase::Established => self.tick_raft(now),
        }
    }

    /// Advances the clock. A leader that was paused steps down before it does anything else.
    pub(super) fn advance_clock(&mut self, now: Timestamp) {
        let since_tick = now - self.last_tick;
        if since_tick >= self.timing.election_timeout() && self.raw_node.raft.state == StateRole::Leader {
            self.step_down();
            self.raise_alarm(Alarm::LeaderPaused { paused_for: since_tick });
            self.last_tick = now;
        }
        self.now = self.now.max(now);
    }

    fn send_rejoin_requests(&mut self, now: Timestamp) {
        let Phase::Rejoining { quorum, next_request_at } = &mut self.phase else { return };
        if now < *next_request_at {
            return;
        }
        *next_request_at = now + self.timing.rejoin_request_every;
        let request = RejoinRequest { nonce: self.nonce, term: self.raw_node.raft.term };
        let messages = quorum.request_targets().into_iter().map(|to| (to, Body::RejoinRequest(request)));
        self.outbox.immediate.extend(messages);
    }

    fn tick_raft(&mut self, now: Timestamp) {
        let tick = self.timing.tick.as_micros();
        let due = ((now - self.last_tick).as_micros() / tick).max(0);
        let ticks = due.min(MAX_TICKS_AT_ONCE);
        self.last_tick = if due > ticks { now } else { self.last_tick + TimeDelta::from_micros(due * tick) };
        for _ in 0..ticks {
            self.set_election_timeout();
            self.raw_node.tick();
        }
        self.retry_snapshots(now);
    }

    fn set_election_timeout(&mut self) {
        let may_campaign = self.may_campaign();
        let raft = &mut self.raw_node.raft;
        if may_campaign {
            let timeout = self.election_timeout.ticks(raft.term, raft.state);
            raft.set_randomized_election_timeout(timeout);
        } else {
            // The lease of a silent leader still expires at this member, so that it votes for others; but the
            // election timeout never elapses, so the member doesn't campaign itself.
            raft.election_elapsed = raft.election_elapsed.min(self.election_timeout.shortest());
            raft.set_randomized_election_timeout(self.election_timeout.longest());
        }
    }

    /// Makes the raft library resend the snapshots that got no response in time.
    fn retry_snapshots(&mut self, now: Timestamp) {
        if self.raw_node.raft.state != StateRole::Leader {
            self.snapshots_sent_at.clear();
            return;
        }
        let receivers = self.snapshot_receivers();
        self.snapshots_sent_at.retain(|receiver, _| receivers.contains(receiver));
        for receiver in receivers {
            let sent_at = *self.snapshots_sent_at.entry(receiver).or_insert(now);
            if now - sent_at >= self.timing.snapshot_retry {
                self.snapshots_sent_at.remove(&receiver);
                self.raw_node.report_snapshot(receiver, SnapshotStatus::Failure);
            }
        }
    }

    /// Raw member numbers of the members to which a snapshot is being sent.
    fn snapshot_receivers(&self) -> Vec<u64> {
        let progress = self.raw_node.raft.prs().iter();
        let receiving = progress.filter(|(_, progress)| progress.state == ProgressState::Snapshot);
        receiving.map(|(&id, _)| id).collect()
    }
}
