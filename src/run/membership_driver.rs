//! Drives the membership: connects the SWIM state machine of `sprucelink_membership` to a UDP socket and the
//! clock. The state machine makes all decisions. The driver also passes gossip payloads (the requests,
//! retries, unreachable engines and slow-start work that a manager reports to the others) between the state
//! machine and the core, and sets in the core this manager's part of the fleet's budgets.

use crate::core::zone_routing::Observer;
use crate::core::{now, to_duration, Core, GossipWindows};
use sprucelink_membership::{
    budget_divisor, decode, encode, spare_retries, LocalMember, Member, MembershipConfig, MembershipCounters,
    MembershipEventKind, OutgoingMessage, RetryBudget, SwimNode, MAX_DATAGRAM_BYTES, MAX_NAME_BYTES,
};
use sprucelink_policy::{RetryBudgetSettings, TimeDelta, Timestamp};
use sprucelink_stable_hash::stable_hash;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

/// Maximum number of datagrams read before other tasks run: a flood of datagrams must not delay requests.
const MAX_DATAGRAMS_PER_TURN: usize = 32;
/// Shortest pause between two ticks of the state machine.
const MIN_PAUSE: Duration = Duration::from_millis(2);
/// Window in which requests and retries are counted for the gossip payload if no retry budget is configured.
const DEFAULT_BUDGET_WINDOW: TimeDelta = TimeDelta::from_secs(5);
/// Interval between two log lines with the counters of the membership.
const COUNTERS_INTERVAL: TimeDelta = TimeDelta::from_secs(60);
/// Number of live members above which gossip payloads are published less often.
const MAX_FULL_RATE_MEMBERS: usize = 100;
/// Milliseconds that each member above [`MAX_FULL_RATE_MEMBERS`] adds to the interval between two gossip
/// payloads.
const EXTRA_MS_PER_MEMBER: f64 = 10.0;
/// Maximum number of invalid datagrams that are logged within [`COUNTERS_INTERVAL`].
const MAX_INVALID_DATAGRAM_LINES: u32 = 10;
/// How long the shutdown waits for the departure messages to be sent.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(100);

/// Settings by which the managers of the fleet divide their budgets.
#[derive(Clone, Copy, Debug)]
pub struct FleetSettings {
    /// Configured number of managers in the fleet.
    pub managers: u32,
    /// Retry budget of each manager; `None` if there is no budget.
    pub retry_budget: Option<RetryBudgetSettings>,
    /// Window of the slow-start budgets of engines.
    pub slow_start_window: TimeDelta,
    /// Length of an engine's slow start.
    pub slow_start_duration: TimeDelta,
}

/// Reason why the membership could not start.
#[derive(Debug, thiserror::Error)]
pub enum MembershipStartError {
    /// The listen address cannot be bound.
    #[error("membership on {address}")]
    Bind {
        /// The address as configured.
        address: String,
        /// The operating system's reason.
        source: io::Error,
    },
    /// The socket's local address cannot be read.
    #[error("membership")]
    LocalAddress(#[source] io::Error),
}

/// Binds the socket and starts the task that drives the membership, on the current `LocalSet`.
///
/// # Errors
/// If the configured address cannot be bound.
pub async fn start(
    core: Rc<Core>,
    settings: MembershipConfig,
    manager_name: &str,
    seed: u64,
    fleet: FleetSettings,
) -> Result<MembershipHandle, MembershipStartError> {
    let bound = UdpSocket::bind(&settings.listen).await;
    let socket =
        bound.map_err(|source| MembershipStartError::Bind { address: settings.listen.clone(), source })?;
    let local_address = socket.local_addr().map_err(MembershipStartError::LocalAddress)?;
    let address = settings.advertise.as_ref().and_then(|a| a.parse().ok()).unwrap_or(local_address);
    let local = local_member(&settings, manager_name, address);
    let seeds = settings.seeds.iter().filter_map(|seed| seed.parse().ok()).collect();
    let seed = seed ^ stable_hash(&[local.name.as_bytes()]);
    let swim = SwimNode::new(local, seeds, settings.protocol, seed, now());
    let budget_window = fleet.retry_budget.map_or(DEFAULT_BUDGET_WINDOW, |budget| budget.window);
    core.enable_gossip(GossipWindows {
        retry_budget: budget_window,
        slow_start_window: fleet.slow_start_window,
        slow_start_duration: fleet.slow_start_duration,
    });
    info!(%local_address, advertised_address = %address, "membership listening");
    let (leave, leave_requested) = oneshot::channel();
    let driver = MembershipDriver {
        core,
        settings,
        fleet,
        swim,
        socket,
        next_payload: now(),
        next_counters: now() + COUNTERS_INTERVAL,
        logged_invalid_datagrams: 0,
        applied_budgets: None,
    };
    let task = tokio::task::spawn_local(driver.run(leave_requested));
    Ok(MembershipHandle { leave, task })
}

/// This manager as a member. If no name is configured, the address serves as the name.
fn local_member(settings: &MembershipConfig, manager_name: &str, address: SocketAddr) -> LocalMember {
    let name = match manager_name.is_empty() {
        true => address.to_string(),
        false => manager_name.chars().take(MAX_NAME_BYTES).collect(),
    };
    // The start time in milliseconds distinguishes two processes with the same name.
    let generation = now().as_millis().max(1) as u64;
    LocalMember { name, generation, address, zone: settings.zone.clone(), region: settings.region.clone() }
}

/// Handle of a running membership, by which it is stopped.
pub struct MembershipHandle {
    leave: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl MembershipHandle {
    /// Notifies the other members of the departure, and waits up to [`LEAVE_TIMEOUT`] for the messages to be
    /// sent.
    pub async fn leave(self) {
        if self.leave.send(()).is_ok() {
            let _ = timeout(LEAVE_TIMEOUT, self.task).await;
        }
    }
}

/// The budgets that were last set in the core.
#[derive(Clone, Copy, Debug, PartialEq)]
struct AppliedBudgets {
    managers: u32,
    spare_retries: f64,
}

struct MembershipDriver {
    core: Rc<Core>,
    settings: MembershipConfig,
    fleet: FleetSettings,
    swim: SwimNode,
    socket: UdpSocket,
    next_payload: Timestamp,
    next_counters: Timestamp,
    /// Number of log lines about invalid datagrams since the last log line of counters.
    logged_invalid_datagrams: u32,
    applied_budgets: Option<AppliedBudgets>,
}

impl MembershipDriver {
    async fn run(mut self, mut leave_requested: oneshot::Receiver<()>) {
        let mut buffer = [0u8; MAX_DATAGRAM_BYTES + 1];
        loop {
            let next_due = self.swim.next_deadline().min(self.next_payload);
            let pause = to_duration(next_due - now()).max(MIN_PAUSE);
            tokio::select! {
                () = sleep(pause) => {}
                received = self.socket.recv_from(&mut buffer) => self.receive(received, &mut buffer),
                _ = &mut leave_requested => {
                    self.swim.leave();
                    self.send().await;
                    return;
                }
            }
            self.swim.tick(now());
            self.exchange_payloads();
            self.send().await;
            self.log_changes();
            self.log_counters();
        }
    }

    /// Handles a datagram, then those that are queued in the socket.
    fn receive(&mut self, mut received: io::Result<(usize, SocketAddr)>, buffer: &mut [u8]) {
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            // An error reports that another member's port is closed; the failure detector finds that out by
            // its probes.
            let Ok((length, sender)) = received else { return };
            self.handle_datagram(&buffer[..length], sender);
            received = match self.socket.try_recv_from(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                next => next,
            };
        }
    }

    fn handle_datagram(&mut self, datagram: &[u8], sender: SocketAddr) {
        match decode(datagram) {
            Ok(message) => self.swim.receive(now(), message),
            Err(error) if self.logged_invalid_datagrams < MAX_INVALID_DATAGRAM_LINES => {
                self.logged_invalid_datagrams += 1;
                warn!(%sender, %error, "membership datagram rejected");
            }
            Err(_) => {}
        }
    }

    async fn send(&mut self) {
        for OutgoingMessage { to, message } in self.swim.take_outbox() {
            let datagram = encode(&message).bytes;
            // A datagram that cannot be sent counts as lost; the protocol tolerates loss.
            let _ = self.socket.send_to(&datagram, to).await;
        }
    }

    /// Publishes this manager's gossip payload, and passes the payloads of the other members to the core, if
    /// the interval has passed.
    fn exchange_payloads(&mut self) {
        if now() < self.next_payload {
            return;
        }
        let members = self.swim.live_count();
        let extra_ms = EXTRA_MS_PER_MEMBER * members.saturating_sub(MAX_FULL_RATE_MEMBERS) as f64;
        let interval_ms = self.settings.share.payload_interval_ms + extra_ms;
        self.next_payload = now() + TimeDelta::from_secs_f64(interval_ms / 1e3);
        if let Some(payload) = self.core.gossip_payload() {
            self.swim.set_payload(payload);
        }
        let payloads = self.swim.payloads();
        let observer = |member: &Member| Observer {
            zone: member.zone.clone(),
            is_alive: member.state.is_live(),
            payload: payloads.get(&member.name).map(|entry| entry.payload.clone()),
        };
        self.core.set_observers(|| self.swim.members().map(observer).collect());
        if self.settings.share.pool_retry_budgets || self.settings.share.divide_by_live_members {
            self.apply_budgets(members);
        }
    }

    /// Sets this manager's part of the fleet's budgets in the core if it has changed.
    fn apply_budgets(&mut self, members: usize) {
        let configured = self.fleet.managers;
        let managers = if self.settings.share.divide_by_live_members {
            budget_divisor(members, configured)
        } else {
            configured
        };
        let budgets = AppliedBudgets { managers, spare_retries: self.spare_retries(members) };
        if self.applied_budgets != Some(budgets) {
            self.applied_budgets = Some(budgets);
            self.core.set_fleet(budgets.managers, budgets.spare_retries);
        }
    }

    /// Number of retries that the other members leave unused and this manager may make; 0 if budgets are not
    /// pooled.
    fn spare_retries(&self, members: usize) -> f64 {
        let Some(budget) = self.fleet.retry_budget.filter(|_| self.settings.share.pool_retry_budgets) else {
            return 0.0;
        };
        let payloads = self.swim.payloads();
        let others: Vec<_> = self
            .swim
            .live_members()
            .filter_map(|member| payloads.get(&member.name))
            .map(|entry| &entry.payload)
            .collect();
        spare_retries(
            RetryBudget { min_retries: budget.free_retries, retry_ratio: budget.retries_per_request },
            &others,
            members,
        )
    }

    fn log_changes(&mut self) {
        let live = self.swim.live_count();
        for change in self.swim.take_events() {
            info!(
                member = %change.member,
                change = describe(change.kind),
                reported_by = %change.reported_by,
                live,
                "membership changed"
            );
        }
    }

    fn log_counters(&mut self) {
        if now() < self.next_counters {
            return;
        }
        self.next_counters = now() + COUNTERS_INTERVAL;
        self.logged_invalid_datagrams = 0;
        let live = self.swim.live_count();
        let local_health = self.swim.local_health();
        let MembershipCounters { sent, received, suspicions, refutations, stops, .. } = self.swim.counters();
        info!(live, sent, received, suspicions, refutations, local_health, stops, "membership counters");
    }
}

/// Name of a membership change in log lines.
fn describe(change: MembershipEventKind) -> &'static str {
    match change {
        MembershipEventKind::Joined => "joined",
        MembershipEventKind::Restarted => "restarted",
        MembershipEventKind::Suspected => "suspected",
        MembershipEventKind::Refuted => "refuted",
        MembershipEventKind::Died => "died",
        MembershipEventKind::Left => "left",
        MembershipEventKind::Superseded => "superseded: a later process has this manager's name",
    }
}
