//! The acting half of the membership: a UDP socket, a clock, and what the core tells and is told. What is decided is
//! decided in `sprucelink_membership`. Never on the platform.

use crate::core::zone_routing::Observer;
use crate::core::{now, to_duration, Core, GossipWindows};
use sprucelink_membership::{
    budget_divisor, decode, encode, spare_retries, LocalMember, Member, MembershipConfig,
    MembershipEventKind, OutgoingMessage, RetryBudget, SwimNode, MAX_DATAGRAM_BYTES, MAX_NAME_BYTES,
};
use sprucelink_policy::{AttemptBudget, TimeDelta, Timestamp};
use sprucelink_stable_hash::stable_hash;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

/// Datagrams read in one turn at most: the serving path gets its own turn between.
const IN_A_TURN: usize = 32;
/// Least rest between two turns of the clock.
const LEAST_REST: Duration = Duration::from_millis(2);
/// Span of the counts where no ration is told: the protocol's.
const RATION_SPAN: TimeDelta = TimeDelta::from_micros(5_000_000);
/// Between two lines of figures.
const FIGURES: TimeDelta = TimeDelta::from_micros(60_000_000);
/// Members over which summaries come more rarely, and by how much for each.
const CROWD: usize = 100;
const CROWD_MS: f64 = 10.0;
/// Datagrams that could not be read are told of so often at most, between two lines of figures.
const MOST_COMPLAINTS: u32 = 10;

/// What the fleet's view needs from the settings of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    /// Managers, as the settings tell.
    pub gateways: u32,
    /// The rule on further attempts.
    pub ration: Option<AttemptBudget>,
    /// The span of cold budgets.
    pub cold_span: TimeDelta,
    /// How long an engine is cold.
    pub cold_for: TimeDelta,
}

/// Opens the socket and keeps the view from then on, in a task of its own: a call to it tells others that this
/// member leaves.
///
/// # Errors
/// Where the address cannot be listened on: the start fails.
pub async fn keep(
    core: Rc<Core>,
    set: MembershipConfig,
    name: &str,
    seed: u64,
    told: Told,
) -> Result<Leaver, String> {
    let socket =
        UdpSocket::bind(&set.listen).await.map_err(|e| format!("membership on {}: {e}", set.listen))?;
    let at = socket.local_addr().map_err(|e| format!("membership: {e}"))?;
    let address = set.advertise.as_ref().and_then(|a| a.parse().ok()).unwrap_or(at);
    let name =
        if name.is_empty() { address.to_string() } else { name.chars().take(MAX_NAME_BYTES).collect() };
    // Two lives of one name differ by their start; the clock's milliseconds tell them apart.
    let generation = (now().as_millis()).max(1) as u64;
    let me = LocalMember { name, generation, address, zone: set.zone.clone(), region: set.region.clone() };
    let seeds = set.seeds.iter().filter_map(|s| s.parse().ok()).collect();
    let seed = seed ^ stable_hash(&[me.name.as_bytes()]);
    let swim = SwimNode::new(me, seeds, set.protocol, seed, now());
    core.enable_gossip(GossipWindows {
        retry_budget: told.ration.map_or(RATION_SPAN, |r| r.span),
        warm_up_budget: told.cold_span,
        warm_up: told.cold_for,
    });
    info!(%address, "membership on {at}, reached at {address}");
    let (leaver, leaving) = tokio::sync::oneshot::channel();
    let keeper = Keeper {
        core,
        set,
        told,
        swim,
        socket,
        next_facts: now(),
        next_figures: now() + FIGURES,
        complaints: 0,
        applied: None,
    };
    let done = tokio::task::spawn_local(keeper.run(leaving));
    Ok(Leaver { leaver, done })
}

/// Tells others that this member leaves.
pub struct Leaver {
    leaver: tokio::sync::oneshot::Sender<()>,
    done: tokio::task::JoinHandle<()>,
}

impl Leaver {
    /// Says so, and waits until it is said, a moment at most.
    pub async fn leave(self) {
        if self.leaver.send(()).is_ok() {
            let _ = timeout(Duration::from_millis(100), self.done).await;
        }
    }
}

struct Keeper {
    core: Rc<Core>,
    set: MembershipConfig,
    told: Told,
    swim: SwimNode,
    socket: UdpSocket,
    next_facts: Timestamp,
    next_figures: Timestamp,
    complaints: u32,
    applied: Option<(u32, f64)>,
}

impl Keeper {
    async fn run(mut self, mut leaving: tokio::sync::oneshot::Receiver<()>) {
        let mut bytes = [0u8; MAX_DATAGRAM_BYTES + 1];
        loop {
            let due = self.swim.next_deadline().min(self.next_facts);
            let rest = to_duration(due - now()).max(LEAST_REST);
            tokio::select! {
                () = sleep(rest) => {}
                got = self.socket.recv_from(&mut bytes) => self.took(got, &mut bytes),
                _ = &mut leaving => {
                    self.swim.leave();
                    self.send().await;
                    return;
                }
            }
            self.swim.tick(now());
            self.facts();
            self.send().await;
            self.say();
        }
    }

    /// Takes a datagram, and those that wait behind it.
    fn took(&mut self, mut got: std::io::Result<(usize, SocketAddr)>, bytes: &mut [u8]) {
        for _ in 0..IN_A_TURN {
            match got {
                Ok((n, from)) => match decode(&bytes[..n]) {
                    Ok(message) => self.swim.receive(now(), message),
                    Err(e) if self.complaints < MOST_COMPLAINTS => {
                        self.complaints += 1;
                        warn!("membership: a datagram from {from} was passed over: {e}");
                    }
                    Err(_) => {}
                },
                // What came back from a closed port: the member there is probed all the same.
                Err(_) => return,
            }
            got = match self.socket.try_recv_from(bytes) {
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return,
                got => got,
            };
        }
    }

    async fn send(&mut self) {
        for OutgoingMessage { to, message } in self.swim.take_outbox() {
            let bytes = encode(&message).bytes;
            // A datagram that cannot be sent is one that was lost.
            let _ = self.socket.send_to(&bytes, to).await;
        }
    }

    /// Tells the others of this manager, and the core of the others.
    fn facts(&mut self) {
        if now() < self.next_facts {
            return;
        }
        let size = self.swim.live_count();
        let crowd = CROWD_MS * size.saturating_sub(CROWD) as f64;
        self.next_facts =
            now() + TimeDelta::from_secs_f64((self.set.share.payload_interval_ms + crowd) / 1e3);
        if let Some(facts) = self.core.gossip_payload() {
            self.swim.set_payload(facts);
        }
        let payloads = self.swim.payloads();
        let observer = |m: &Member| Observer {
            zone: m.zone.clone(),
            here: m.state.is_live(),
            payload: payloads.get(&m.name).map(|held| held.payload.clone()),
        };
        self.core.set_observers(|| self.swim.members().map(observer).collect());
        if !self.set.share.pool_retry_budgets && !self.set.share.divide_by_live_members {
            return;
        }
        let told = self.told.gateways;
        let gateways = if self.set.share.divide_by_live_members { budget_divisor(size, told) } else { told };
        let spare = match self.told.ration.filter(|_| self.set.share.pool_retry_budgets) {
            Some(r) => {
                let payloads = self.swim.payloads();
                let others: Vec<_> = self
                    .swim
                    .live_members()
                    .filter_map(|m| payloads.get(&m.name))
                    .map(|held| &held.payload)
                    .collect();
                spare_retries(RetryBudget { min_retries: r.free, retry_ratio: r.share }, &others, size)
            }
            None => 0.0,
        };
        if self.applied != Some((gateways, spare)) {
            self.applied = Some((gateways, spare));
            self.core.set_fleet(gateways, spare);
        }
    }

    fn say(&mut self) {
        let here = self.swim.live_count();
        for c in self.swim.take_events() {
            let what = match c.kind {
                MembershipEventKind::Joined => "joined",
                MembershipEventKind::Restarted => "restarted",
                MembershipEventKind::Suspected => "suspected",
                MembershipEventKind::Refuted => "refuted",
                MembershipEventKind::Died => "died",
                MembershipEventKind::Left => "left",
                MembershipEventKind::Superseded => "superseded: a later process has this manager's name",
            };
            info!(member = %c.member, what, by = %c.reported_by, here, "fleet: {} {what}, by {}, {here} here", c.member, c.reported_by);
        }
        if now() >= self.next_figures {
            (self.next_figures, self.complaints) = (now() + FIGURES, 0);
            let c = self.swim.counters();
            info!(
                here,
                sent = c.sent,
                received = c.received,
                "fleet: {here} here, sent {}, received {}, suspicions {}, refutations {}, health {}, stopped {}",
                c.sent,
                c.received,
                c.suspicions,
                c.refutations,
                self.swim.local_health(),
                c.stops
            );
        }
    }
}
