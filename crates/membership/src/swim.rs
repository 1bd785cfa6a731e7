//! The state machine of the protocol: what a member does when a message comes and when time passes.
//!
//! Deviations from the papers, and why:
//!
//! - A member is its *name and life* (start time): a new process under an old name replaces the old one whatever
//!   incarnation that had, and words on an earlier life are passed over.
//! - Views are compared by a digest with one other at a time ([`Kind::Digest`]), and with the seeds and the dead in
//!   turn, so that parted views merge. What such a comparison says of the dead counts as a suspicion, as in
//!   memberlist's push-pull: the accused gets to refute it.
//! - A suspicion that is about to end is put to the suspect itself first (*last calls*), by each member that holds it: news
//!   goes out a bounded number of times, and where datagrams get lost one member or other misses a refutation. An
//!   answer to an accusation brings the refutation with it, and outdated words are answered with the newer one held.
//! - A member that was stopped (SIGSTOP, a machine that slept) sees time jump: it draws no verdict from silence it
//!   slept through, gives every suspicion its time back, and compares views at once.

use crate::codec::{self, Kind, Member, Message, State, Update, MOST_DATAGRAM};
use crate::facts::{Board, Facts};
use crate::terms::Protocol;
use crate::{TimeDelta, Timestamp};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sprucelink_stable_hash::stable_hash;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Members held at most, the dead included; what comes beyond is passed over.
pub const MOST_MEMBERS: usize = 4_096;
/// Changes kept for whoever asks, at most; older ones go first.
const MOST_CHANGES: usize = 1_024;
/// Probes in others' stead that are under way, at most.
const MOST_RELAYS: usize = 256;
/// Whole views sent in a second at most: a flood of joins is served, a forged question is no amplifier.
const VIEWS_A_SECOND: f64 = 50.0;
/// Time between two ticks from which a member takes itself to have been stopped, in protocol periods.
const STOPPED: f64 = 3.0;
/// Bytes of a datagram that updates may take: the rest is the head, two names and an address at most.
const ROOM: usize = MOST_DATAGRAM - 140;
/// Last calls before a suspicion ends, and their distance in time-outs of a probe: so that an answer can come.
const LAST_CALLS: u32 = 5;
const CALL_GAP: f64 = 1.2;
/// Rounds of news also go to the dead for so long, so that one wrongly taken for dead hears of it and refutes.
const TELL_DEAD: TimeDelta = TimeDelta::from_micros(30_000_000);

/// This member.
#[derive(Clone, Debug)]
pub struct Me {
    /// Its name.
    pub name: String,
    /// When it started, in Unix milliseconds.
    pub life: u64,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// What happened to a member of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// It came, or came back.
    Joined,
    /// It is a new process under a name that was held.
    Restarted,
    /// It did not answer.
    Suspected,
    /// It answered a suspicion, or was taken for dead and is not.
    Refuted,
    /// It is taken for dead.
    Died,
    /// It left.
    Left,
    /// Another, later process has this member's own name.
    Superseded,
}

/// A change of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// When.
    pub at: Timestamp,
    /// Who.
    pub name: String,
    /// What.
    pub what: What,
    /// Who said so first, where that is known.
    pub by: String,
}

/// Counters, for logs and pages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages handed out to be sent.
    pub sent: u64,
    /// Messages taken.
    pub received: u64,
    /// Direct probes that no answer came to in time.
    pub indirect: u64,
    /// Suspicions begun here.
    pub suspicions: u64,
    /// Times that this member refuted a word on itself.
    pub refutations: u64,
    /// Times that it took itself to have been stopped.
    pub stopped: u64,
    /// Whole views sent.
    pub views: u64,
    /// Members passed over for the bound.
    pub over: u64,
}

#[derive(Clone, Debug)]
struct Suspicion {
    began: Timestamp,
    least: TimeDelta,
    most: TimeDelta,
    wanted: u32,
    by: BTreeSet<String>,
    calls: u32,
}

impl Suspicion {
    /// When it ends: at its most while one alone suspects, at its least once enough others have confirmed.
    fn ends(&self) -> Timestamp {
        let confirmed = (self.by.len().saturating_sub(1) as f64).min(f64::from(self.wanted));
        let share =
            if self.wanted == 0 { 1.0 } else { (confirmed + 1.0).ln() / f64::from(self.wanted + 1).ln() };
        let span = self.most.as_secs_f64() - (self.most.as_secs_f64() - self.least.as_secs_f64()) * share;
        self.began + TimeDelta::from_secs_f64(span.max(self.least.as_secs_f64()))
    }

    /// When the suspect is called once more before it ends; none once all calls were made.
    fn next_call(&self, gap: TimeDelta) -> Option<Timestamp> {
        let left = LAST_CALLS.checked_sub(self.calls).filter(|left| *left > 0)?;
        Some(self.ends() - TimeDelta::from_micros(gap.as_micros() * i64::from(left)))
    }
}

#[derive(Clone, Debug)]
struct Held {
    member: Member,
    since: Timestamp,
    suspicion: Option<Suspicion>,
}

impl Held {
    fn here(&self) -> bool {
        matches!(self.member.state, State::Alive | State::Suspect)
    }
}

#[derive(Clone, Debug)]
struct Probe {
    target: String,
    life: u64,
    seq: u32,
    ask_at: Timestamp,
    ends: Timestamp,
    asked: u32,
    nacks: u32,
    acked: bool,
}

#[derive(Clone, Debug)]
struct Relay {
    origin: SocketAddr,
    seq: u32,
    until: Timestamp,
}

/// News that is still to be spread: member's news before summaries, then what was sent least.
type Place = (bool, String);

/// One member of the protocol.
#[derive(Clone, Debug)]
pub struct Swim {
    me: Me,
    incarnation: u32,
    seeds: Vec<SocketAddr>,
    terms: Protocol,
    rng: ChaCha8Rng,
    members: BTreeMap<String, Held>,
    board: Board,
    facts: Facts,
    queue: BTreeMap<Place, (Update, u32)>,
    /// Whom to probe next: all once, in an order drawn anew for each round (SWIM 4.3).
    round: Vec<String>,
    probe: Option<Probe>,
    relays: BTreeMap<u32, Relay>,
    seq: u32,
    health: u32,
    ticked: Timestamp,
    next_probe: Timestamp,
    next_gossip: Timestamp,
    next_rejoin: Timestamp,
    /// Whether the next comparison goes to a seed or to the dead.
    outward: bool,
    views: f64,
    views_filled: Timestamp,
    left: bool,
    superseded: bool,
    out: Vec<(SocketAddr, Message)>,
    changes: VecDeque<Change>,
    counters: Counters,
}

impl Swim {
    /// A member that starts now and knows its seeds only; it asks them at the first tick.
    pub fn new(me: Me, seeds: Vec<SocketAddr>, terms: Protocol, seed: u64, now: Timestamp) -> Swim {
        let seeds = seeds.into_iter().filter(|s| *s != me.address).collect();
        let mut swim = Swim {
            me,
            incarnation: 0,
            seeds,
            terms,
            rng: ChaCha8Rng::seed_from_u64(seed),
            members: BTreeMap::new(),
            board: Board::default(),
            facts: Facts::default(),
            queue: BTreeMap::new(),
            round: Vec::new(),
            probe: None,
            relays: BTreeMap::new(),
            seq: 0,
            health: 0,
            ticked: now,
            next_probe: now,
            next_gossip: now,
            next_rejoin: now,
            outward: true,
            views: VIEWS_A_SECOND,
            views_filled: now,
            left: false,
            superseded: false,
            out: Vec::new(),
            changes: VecDeque::new(),
            counters: Counters::default(),
        };
        // Members that start together do not probe in step.
        swim.next_probe = now + swim.spread(swim.terms.period_ms);
        swim.next_gossip = now + swim.spread(swim.terms.gossip_ms);
        let mine = swim.mine(State::Alive);
        swim.spread_news(mine, swim.me.name.clone());
        swim
    }

    // ---- What it tells -----------------------------------------------------------------------

    /// Members of the view that are here (alive or suspect), this one not among them.
    pub fn here(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|h| h.here()).map(|h| &h.member)
    }

    /// All members of the view, the dead too, this one not among them.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|h| &h.member)
    }

    /// Members alive, this one included: the size of the fleet as it sees it.
    pub fn size(&self) -> usize {
        self.here().count() + 1
    }

    /// A digest of who is here, this member included: equal digests are equal views.
    pub fn digest(&self) -> u64 {
        let one = |name: &str, life: u64| stable_hash(&[name.as_bytes(), &life.to_be_bytes()]);
        self.here().map(|m| one(&m.name, m.life)).fold(one(&self.me.name, self.me.life), u64::wrapping_add)
    }

    /// This member's own word on itself.
    pub fn myself(&self) -> Member {
        self.mine(if self.left { State::Left } else { State::Alive })
    }

    /// The summaries held.
    pub fn board(&self) -> &Board {
        &self.board
    }

    /// Its own health: 0 is well; periods and time-outs are 1 + this times themselves.
    pub fn health(&self) -> u32 {
        self.health
    }

    /// Counters so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// What happened since this was last asked, oldest first.
    pub fn changes(&mut self) -> Vec<Change> {
        self.changes.drain(..).collect()
    }

    /// What is to be sent since this was last asked.
    pub fn outbox(&mut self) -> Vec<(SocketAddr, Message)> {
        std::mem::take(&mut self.out)
    }

    /// When [`Swim::tick`] wants to be called next at the latest.
    pub fn due(&self) -> Timestamp {
        let probe = self.probe.as_ref().filter(|p| !p.acked && p.asked == 0).map(|p| p.ask_at);
        let relay = self.relays.values().map(|r| r.until).min();
        let gap = self.ms(self.terms.timeout_ms * CALL_GAP);
        let next = |s: &Suspicion| s.next_call(gap).unwrap_or(s.ends()).min(s.ends());
        let suspicion = self.members.values().filter_map(|h| h.suspicion.as_ref()).map(next).min();
        let fixed = [self.next_probe, self.next_gossip, self.next_rejoin].into_iter();
        fixed.chain(probe).chain(relay).chain(suspicion).min().unwrap_or(self.next_probe)
    }

    // ---- What it is told ---------------------------------------------------------------------

    /// This member's summary has changed: the next version of it is spread.
    pub fn set_facts(&mut self, mut facts: Facts) {
        facts.bound();
        facts.version = self.facts.version.wrapping_add(1);
        self.facts = facts.clone();
        self.queue.insert(
            (true, self.me.name.clone()),
            (Update::Facts(self.me.name.clone(), self.me.life, facts), 0),
        );
    }

    /// This member leaves in order: others are told at once; nothing is probed any more.
    pub fn leave(&mut self) {
        self.left = true;
        let mine = self.mine(State::Left);
        self.spread_news(mine, self.me.name.clone());
        let many = (self.terms.fanout as usize).max(1) * 3;
        self.gossip_to(many);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Timestamp) {
        let gap = now - std::mem::replace(&mut self.ticked, now);
        if gap.as_secs_f64() > STOPPED * self.terms.period_ms / 1e3 {
            self.was_stopped(now, gap);
        }
        if self.left || self.superseded {
            (self.next_probe, self.next_gossip) =
                (now + self.ms(self.terms.period_ms), self.next_gossip.max(now));
            self.next_rejoin = self.next_probe;
            if now >= self.next_gossip {
                self.next_gossip = now + self.ms(self.terms.gossip_ms);
                self.gossip_to(self.terms.fanout as usize);
            }
            return;
        }
        self.relay_on(now);
        self.probe_on(now);
        self.last_calls(now);
        self.end_suspicions(now);
        if now >= self.next_gossip {
            self.next_gossip = now + self.ms(self.terms.gossip_ms);
            self.gossip_to(self.terms.fanout as usize);
        }
        if now >= self.next_rejoin {
            let span = self.terms.rejoin_ms * self.rng.gen_range(0.8..1.2);
            self.next_rejoin = now + self.ms(span);
            self.compare();
            self.forget(now);
        }
    }

    /// A message came.
    pub fn receive(&mut self, now: Timestamp, message: Message) {
        self.counters.received += 1;
        let (name, life, address) = message.from;
        if name == self.me.name {
            // Its own words come back through a middle, or another process has its name.
            self.supersede(now, life);
            return;
        }
        let compared = matches!(message.kind, Kind::View(..));
        let mut accused = false;
        for update in message.updates {
            match update {
                Update::Member(mut m, by) => {
                    accused |= m.name == self.me.name && m.life == self.me.life && m.state != State::Alive;
                    if compared && m.state == State::Dead {
                        m.state = State::Suspect;
                    }
                    self.hear(now, m, by);
                }
                Update::Facts(of, life, facts) => self.hear_facts(of, life, facts),
            }
        }
        match message.kind {
            Kind::Ping(seq, to) if to == self.me.name => {
                // Who accuses gets the refutation with the answer, whatever else is to be spread.
                let mine = accused.then(|| Update::Member(self.myself(), self.me.name.clone()));
                self.send_with(address, Kind::Ack(seq), mine.into_iter().collect());
            }
            // The address was another's before: what is probed is not here.
            Kind::Ping(..) => {}
            Kind::Ack(seq) => self.acked(seq),
            Kind::PingReq(seq, target, at) if self.relays.len() < MOST_RELAYS => {
                let mine = self.next_seq();
                let until = now + self.scaled(self.terms.timeout_ms * 0.8);
                self.relays.insert(mine, Relay { origin: address, seq, until });
                self.send(at, Kind::Ping(mine, target));
            }
            Kind::Nack(seq) => {
                if let Some(p) = self.probe.as_mut().filter(|p| p.seq == seq) {
                    p.nacks += 1;
                }
            }
            Kind::Digest(digest, _, answered) => {
                if digest != self.digest() && self.may_send_view(now) {
                    self.send_view(address);
                    if !answered {
                        self.send_digest(address, true);
                    }
                }
            }
            Kind::Query(place) => self.answer_query(address, place),
            Kind::Gossip if accused => {
                let mine = Update::Member(self.myself(), self.me.name.clone());
                self.send_with(address, Kind::Gossip, vec![mine]);
            }
            Kind::PingReq(..) | Kind::Gossip | Kind::View(..) => {}
        }
    }

    // ---- Views -------------------------------------------------------------------------------

    fn mine(&self, state: State) -> Member {
        let Me { name, life, address, zone, region } = self.me.clone();
        Member { name, life, incarnation: self.incarnation, state, address, zone, region }
    }

    fn supersede(&mut self, now: Timestamp, life: u64) {
        if life > self.me.life && !self.superseded {
            self.superseded = true;
            self.change(now, self.me.name.clone(), What::Superseded, String::new());
        }
    }

    fn change(&mut self, at: Timestamp, name: String, what: What, by: String) {
        if self.changes.len() >= MOST_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(Change { at, name, what, by });
    }

    fn spread_news(&mut self, member: Member, by: String) {
        self.queue.insert((false, member.name.clone()), (Update::Member(member, by), 0));
    }

    /// A word on a member came.
    fn hear(&mut self, now: Timestamp, m: Member, by: String) {
        if m.name == self.me.name {
            self.hear_of_me(now, &m);
            return;
        }
        let Some(held) = self.members.get_mut(&m.name) else {
            // Of those that are gone only what was held counts: nobody is brought in as dead.
            if !matches!(m.state, State::Alive | State::Suspect) {
                return;
            }
            if self.members.len() >= MOST_MEMBERS {
                self.counters.over += 1;
                return;
            }
            self.bring_in(now, m, by, What::Joined);
            return;
        };
        let old = &held.member;
        if m.life < old.life {
            return;
        }
        if m.life > old.life {
            if matches!(m.state, State::Alive | State::Suspect) {
                self.bring_in(now, m, by, What::Restarted);
            }
            return;
        }
        match (m.state, old.state) {
            (State::Alive, _) if m.incarnation > old.incarnation => {
                let refuted = old.state != State::Alive;
                (held.member, held.suspicion, held.since) = (m.clone(), None, now);
                if refuted {
                    self.change(now, m.name.clone(), What::Refuted, by.clone());
                }
                self.spread_news(m, by);
            }
            (State::Suspect, State::Alive) if m.incarnation >= old.incarnation => self.suspect(now, m, by),
            (State::Suspect, State::Suspect) if m.incarnation >= old.incarnation => {
                // A confirmation: another has the same suspicion, and it ends sooner.
                let most = self.terms.confirmations as usize + 1;
                if let Some(s) = held.suspicion.as_mut().filter(|s| s.by.len() < most) {
                    if s.by.insert(by.clone()) {
                        held.member.incarnation = m.incarnation;
                        self.spread_news(m, by);
                    }
                }
            }
            (State::Dead | State::Left, State::Alive | State::Suspect)
                if m.incarnation >= old.incarnation =>
            {
                self.end(now, m, by);
            }
            (State::Suspect | State::Dead, State::Alive) if m.incarnation < old.incarnation => {
                // Outdated: whoever says so has missed the refutation.
                let newer = old.clone();
                self.spread_news(newer, by);
            }
            _ => {}
        }
    }

    fn bring_in(&mut self, now: Timestamp, m: Member, by: String, what: What) {
        self.board.forget(&m.name);
        let suspect = m.state == State::Suspect;
        let alive = Member { state: State::Alive, ..m.clone() };
        self.members.insert(m.name.clone(), Held { member: alive.clone(), since: now, suspicion: None });
        self.change(now, m.name.clone(), what, by.clone());
        if suspect {
            self.suspect(now, m, by);
        } else {
            self.spread_news(alive, by);
        }
    }

    fn suspect(&mut self, now: Timestamp, m: Member, by: String) {
        let size = self.size() as f64;
        let least = self.terms.suspicion_least * size.max(10.0).log10() * self.terms.period_ms;
        // With too few others to confirm it a suspicion could only last its most.
        let wanted = self.terms.confirmations.min((self.size() as u32).saturating_sub(2));
        let most = if wanted == 0 { least } else { least * self.terms.suspicion_most };
        let (least, most) = (self.ms(least), self.ms(most));
        let Some(held) = self.members.get_mut(&m.name) else { return };
        held.member.state = State::Suspect;
        held.member.incarnation = m.incarnation;
        held.suspicion =
            Some(Suspicion { began: now, least, most, wanted, by: BTreeSet::from([by.clone()]), calls: 0 });
        held.since = now;
        let told = held.member.clone();
        self.change(now, m.name, What::Suspected, by.clone());
        self.spread_news(told, by);
    }

    fn end(&mut self, now: Timestamp, m: Member, by: String) {
        let Some(held) = self.members.get_mut(&m.name) else { return };
        (held.member.state, held.member.incarnation, held.since) = (m.state, m.incarnation, now);
        held.suspicion = None;
        let (told, what) =
            (held.member.clone(), if m.state == State::Left { What::Left } else { What::Died });
        self.board.forget(&m.name);
        self.queue.remove(&(true, m.name.clone()));
        self.change(now, m.name, what, by.clone());
        self.spread_news(told, by);
    }

    /// A word on this member itself: what is not so is refuted by a higher incarnation.
    fn hear_of_me(&mut self, now: Timestamp, m: &Member) {
        self.supersede(now, m.life);
        let wrong = m.state != State::Alive && m.life == self.me.life && m.incarnation >= self.incarnation;
        if wrong && !self.left {
            self.incarnation = m.incarnation.saturating_add(1);
            self.counters.refutations += 1;
            // Others did not hear it in time: that may be its own fault (Lifeguard's local health).
            self.worse(1);
            let mine = self.mine(State::Alive);
            self.spread_news(mine, self.me.name.clone());
        }
    }

    fn hear_facts(&mut self, of: String, life: u64, facts: Facts) {
        let known = self.members.get(&of).is_some_and(|h| h.here() && h.member.life == life);
        if known && self.board.merge(&of, life, &facts) {
            self.queue.insert((true, of.clone()), (Update::Facts(of, life, facts), 0));
        }
    }

    /// Puts suspicions that are about to end to the suspects themselves.
    fn last_calls(&mut self, now: Timestamp) {
        let gap = self.ms(self.terms.timeout_ms * CALL_GAP);
        let mut calls = Vec::new();
        for h in self.members.values_mut() {
            let Some(s) = &mut h.suspicion else { continue };
            if s.next_call(gap).is_some_and(|t| t <= now) {
                s.calls += 1;
                calls.push(h.member.clone());
            }
        }
        for m in calls {
            let seq = self.next_seq();
            let accusation = Update::Member(m.clone(), self.me.name.clone());
            self.send_with(m.address, Kind::Ping(seq, m.name), vec![accusation]);
        }
    }

    fn end_suspicions(&mut self, now: Timestamp) {
        let over = |h: &&Held| h.suspicion.as_ref().is_some_and(|s| s.ends() <= now);
        let ended: Vec<Member> = self.members.values().filter(over).map(|h| h.member.clone()).collect();
        for m in ended {
            let by = self.me.name.clone();
            self.end(now, Member { state: State::Dead, ..m }, by);
        }
    }

    fn forget(&mut self, now: Timestamp) {
        let keep = TimeDelta::from_secs_f64(self.terms.keep_dead_s);
        self.members.retain(|_, h| h.here() || now - h.since <= keep);
    }

    // ---- Probes ------------------------------------------------------------------------------

    fn ms(&self, ms: f64) -> TimeDelta {
        TimeDelta::from_secs_f64(ms / 1e3)
    }

    fn scaled(&self, ms: f64) -> TimeDelta {
        self.ms(ms * f64::from(1 + self.health))
    }

    fn spread(&mut self, ms: f64) -> TimeDelta {
        TimeDelta::from_secs_f64(ms / 1e3 * self.rng.gen::<f64>())
    }

    fn worse(&mut self, by: u32) {
        self.health = (self.health + by).min(self.terms.health_most);
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    fn probe_on(&mut self, now: Timestamp) {
        if let Some(p) = &self.probe {
            if !p.acked && p.asked == 0 && now >= p.ask_at && now < p.ends {
                self.ask_others();
            }
        }
        if now < self.next_probe {
            return;
        }
        self.conclude(now);
        self.next_probe = now + self.scaled(self.terms.period_ms);
        let Some(target) = self.next_target() else { return };
        let Some(held) = self.members.get(&target) else { return };
        let (m, suspect) = (held.member.clone(), held.suspicion.is_some());
        let seq = self.next_seq();
        let ask_at = now + self.scaled(self.terms.timeout_ms);
        self.probe = Some(Probe {
            target: target.clone(),
            life: m.life,
            seq,
            ask_at,
            ends: self.next_probe,
            asked: 0,
            nacks: 0,
            acked: false,
        });
        let mut updates = Vec::new();
        if suspect {
            // Buddy system: a suspect hears of it first, and with its probe.
            updates.push(Update::Member(m.clone(), self.me.name.clone()));
        }
        self.send_with(m.address, Kind::Ping(seq, target), updates);
    }

    /// The last probe's verdict.
    fn conclude(&mut self, now: Timestamp) {
        let Some(p) = self.probe.take() else { return };
        if p.acked {
            self.health = self.health.saturating_sub(1);
            return;
        }
        // Those asked that did not even say that they got no answer: the fault may be on this side.
        let silent = if p.asked == 0 { 1 } else { p.asked.saturating_sub(p.nacks) };
        self.worse(silent.min(1 + p.asked));
        let Some(held) = self.members.get(&p.target).filter(|h| h.member.life == p.life) else { return };
        if held.member.state == State::Alive {
            let m = held.member.clone();
            self.counters.suspicions += 1;
            self.suspect(now, m, self.me.name.clone());
        } else if held.member.state == State::Suspect {
            // It has not answered this member either: that confirms another's suspicion.
            let m = held.member.clone();
            self.hear(now, m, self.me.name.clone());
        }
    }

    fn ask_others(&mut self) {
        let Some((target, seq)) = self.probe.as_ref().map(|p| (p.target.clone(), p.seq)) else { return };
        let Some(at) = self.members.get(&target).map(|h| h.member.address) else { return };
        let mut others: Vec<SocketAddr> = self
            .members
            .values()
            .filter(|h| h.member.state == State::Alive && h.member.name != target)
            .map(|h| h.member.address)
            .collect();
        others.shuffle(&mut self.rng);
        others.truncate(self.terms.indirect as usize);
        self.counters.indirect += 1;
        if let Some(p) = &mut self.probe {
            p.asked = others.len() as u32;
            if others.is_empty() {
                // Nobody to ask: it is not looked at again before its period ends.
                p.ask_at = p.ends;
            }
        }
        for other in others {
            self.send(other, Kind::PingReq(seq, target.clone(), at));
        }
    }

    fn acked(&mut self, seq: u32) {
        if let Some(p) = self.probe.as_mut().filter(|p| p.seq == seq) {
            p.acked = true;
        }
        if let Some(relay) = self.relays.remove(&seq) {
            self.send(relay.origin, Kind::Ack(relay.seq));
        }
    }

    fn relay_on(&mut self, now: Timestamp) {
        let late: Vec<u32> = self.relays.iter().filter(|(_, r)| r.until <= now).map(|(s, _)| *s).collect();
        for seq in late {
            if let Some(relay) = self.relays.remove(&seq) {
                self.send(relay.origin, Kind::Nack(relay.seq));
            }
        }
    }

    fn next_target(&mut self) -> Option<String> {
        for _ in 0..2 {
            while let Some(name) = self.round.pop() {
                if self.members.get(&name).is_some_and(Held::here) {
                    return Some(name);
                }
            }
            self.round = self.here().map(|m| m.name.clone()).collect();
            self.round.shuffle(&mut self.rng);
        }
        None
    }

    fn was_stopped(&mut self, now: Timestamp, gap: TimeDelta) {
        self.counters.stopped += 1;
        self.probe = None;
        self.relays.clear();
        self.worse(2);
        for s in self.members.values_mut().filter_map(|h| h.suspicion.as_mut()) {
            s.began = s.began + gap;
        }
        (self.next_probe, self.next_rejoin) = (now + self.ms(self.terms.period_ms), now);
    }

    // ---- Messages ----------------------------------------------------------------------------

    fn send(&mut self, to: SocketAddr, kind: Kind) {
        self.send_with(to, kind, Vec::new());
    }

    /// Sends a message with these updates first, and what else is to be spread and has room.
    fn send_with(&mut self, to: SocketAddr, kind: Kind, mut updates: Vec<Update>) {
        let mut room = ROOM.saturating_sub(updates.iter().map(codec::size).sum());
        let limit =
            (self.terms.retransmit * ((self.size() + 1) as f64).log10().ceil()).ceil().max(1.0) as u32;
        let mut places: Vec<(bool, u32, Place)> =
            self.queue.iter().map(|(p, (_, sent))| (p.0, *sent, p.clone())).collect();
        places.sort_unstable();
        for (_, _, place) in places {
            let Some((update, sent)) = self.queue.get_mut(&place) else { continue };
            let size = codec::size(update);
            if size > room {
                // The smallest update has over forty bytes: the datagram is full.
                if room < 48 {
                    break;
                }
                continue;
            }
            room -= size;
            updates.push(update.clone());
            *sent += 1;
            if *sent >= limit {
                self.queue.remove(&place);
            }
        }
        self.hand_out(to, kind, updates);
    }

    fn hand_out(&mut self, to: SocketAddr, kind: Kind, updates: Vec<Update>) {
        self.counters.sent += 1;
        let from = (self.me.name.clone(), self.me.life, self.me.address);
        self.out.push((to, Message { from, kind, updates }));
    }

    fn gossip_to(&mut self, n: usize) {
        if self.queue.is_empty() {
            return;
        }
        let now = self.ticked;
        let hears = |h: &&Held| h.here() || h.member.state == State::Dead && now - h.since < TELL_DEAD;
        let mut to: Vec<SocketAddr> = self.members.values().filter(hears).map(|h| h.member.address).collect();
        to.shuffle(&mut self.rng);
        for address in to.into_iter().take(n) {
            if self.queue.is_empty() {
                return;
            }
            self.send(address, Kind::Gossip);
        }
    }

    /// Compares views with one other: in turn one that is here, and a seed or one of the dead.
    fn compare(&mut self) {
        self.outward = !self.outward;
        let here: BTreeSet<SocketAddr> = self.here().map(|m| m.address).collect();
        let dead = self.members.values().filter(|h| h.member.state == State::Dead).map(|h| h.member.address);
        let outside: Vec<SocketAddr> =
            self.seeds.iter().copied().chain(dead).filter(|a| !here.contains(a)).collect();
        let inside: Vec<SocketAddr> = here.into_iter().collect();
        // One that has nobody asks every seed: its first is as likely down as up.
        if inside.is_empty() {
            outside.into_iter().for_each(|a| self.send_digest(a, false));
            return;
        }
        let pool = if self.outward && !outside.is_empty() { outside } else { inside };
        if let Some(to) = pool.choose(&mut self.rng).copied() {
            self.send_digest(to, false);
        }
    }

    fn send_digest(&mut self, to: SocketAddr, answered: bool) {
        let (digest, count) = (self.digest(), self.size() as u32);
        // With its own word on itself: one that has just started is known by it.
        let mine = Update::Member(self.mine(State::Alive), self.me.name.clone());
        self.send_with(to, Kind::Digest(digest, count, answered), vec![mine]);
    }

    fn may_send_view(&mut self, now: Timestamp) -> bool {
        let gained = (now - self.views_filled).as_secs_f64().max(0.0) * VIEWS_A_SECOND;
        (self.views, self.views_filled) = ((self.views + gained).min(VIEWS_A_SECOND), now);
        let may = self.views >= 1.0;
        self.views -= f64::from(u8::from(may));
        may
    }

    /// The whole view to one that has another, in as many messages as it takes.
    fn send_view(&mut self, to: SocketAddr) {
        self.counters.views += 1;
        let of = self.members.len() as u32 + 1;
        let mut page = vec![Update::Member(self.mine(State::Alive), self.me.name.clone())];
        let (mut room, mut place) = (ROOM - codec::size(&page[0]), 0);
        let all: Vec<Member> = self.members.values().map(|h| h.member.clone()).collect();
        for (i, m) in all.into_iter().enumerate() {
            // A suspicion is told as this member's own: as a confirmation it counts once.
            let update = Update::Member(m, self.me.name.clone());
            let size = codec::size(&update);
            if size > room {
                let full = std::mem::take(&mut page);
                self.hand_out(to, Kind::View(place, of), full);
                (room, place) = (ROOM, i as u32 + 1);
            }
            room -= size;
            page.push(update);
        }
        self.hand_out(to, Kind::View(place, of), page);
    }

    /// One datagram of the view to somebody outside, from a place on; this member itself is the first.
    fn answer_query(&mut self, to: SocketAddr, place: u32) {
        let me = self.myself();
        let all = std::iter::once(&me).chain(self.members.values().map(|h| &h.member));
        let (mut page, mut room) = (Vec::new(), ROOM);
        for m in all.skip(place as usize) {
            let update = Update::Member(m.clone(), String::new());
            let size = codec::size(&update);
            if size > room {
                break;
            }
            room -= size;
            page.push(update);
        }
        let of = self.members.len() as u32 + 1;
        self.hand_out(to, Kind::View(place, of), page);
    }
}
