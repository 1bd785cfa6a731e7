//! What a gateway is set up with. Times are whole microseconds.

use serde::{Deserialize, Serialize};
use sprucelink_time::TimeDelta;

/// What repeating a request of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Safe to repeat.
    Safe,
    /// Repeats are discarded within a group of engines, for a while.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// The engines among which repeats of a keyed request are discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DedupGroup {
    /// All engines.
    All,
    /// Engines of one zone.
    Zone,
    /// Engines of one cell.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct ClassSettings {
    /// Worth of one request answered in time.
    pub worth: f64,
    /// Share of the worth that a late answer still earns.
    pub late_worth: f64,
    /// Wanted time, before the stretch for its own work.
    pub aim: TimeDelta,
    /// The wanted time grows by this times the request's work over its threads.
    pub aim_stretch: f64,
    /// How long a client waits in all.
    pub deadline: TimeDelta,
    /// What a repeat may do.
    pub effect: Effect,
    /// For keyed classes: where repeats are discarded.
    pub group: DedupGroup,
    /// For keyed classes: how long repeats are discarded.
    pub repeat_window: TimeDelta,
    /// Requests with one key run one at a time, in order.
    pub in_turn: bool,
    /// Threads that a query of the class runs on.
    pub threads: f64,
    /// The query holds its group of tables on its engine while it runs.
    pub load: bool,
    /// Machine kinds that the class is bound to.
    pub kinds: Option<Vec<u32>>,
    /// Zones that the class is bound to.
    pub zones: Option<Vec<u32>>,
}

/// A tenant's share.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
pub struct TenantSettings {
    /// Requests a second, over all gateways, within its share.
    pub quota_per_s: f64,
}

/// What an engine does once the memory granted passes what it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemoryShort {
    /// A query waits in the engine's line.
    Waits,
    /// It gets what is left, and spills.
    Shrinks,
    /// It is let in; all slow down once the memory in use, grant or need, passes what there is.
    Pages,
}

/// What engines tell of their load, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportVia {
    /// In every answer and probe.
    Answers,
    /// In probes only.
    Probes,
    /// Never.
    Silent,
}

/// The further-attempt budget.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
pub struct AttemptBudget {
    /// Length of the sliding window.
    pub span: TimeDelta,
    /// Further attempts allowed in any case.
    pub free: f64,
    /// Further attempts allowed for each request taken.
    pub share: f64,
}

/// All that a gateway is told at its start.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(default)]
pub struct Settings {
    /// Request classes.
    pub classes: Vec<ClassSettings>,
    /// Tenants, if any.
    pub tenants: Vec<TenantSettings>,
    /// Worth of a request beyond its tenant's share, against its class's.
    pub over_share_worth: f64,
    /// Gateways in this tier, this one included.
    pub gateways: u32,
    /// This gateway's own number among them.
    pub position: u32,
    /// The engine list must be asked for.
    pub must_ask: bool,
    /// How load reports come.
    pub report_via: ReportVia,
    /// Reports tell of queries in hand or of busy cores.
    pub reports_load: bool,
    /// Cores, for each machine kind.
    pub kind_cores: Vec<f64>,
    /// Memory in MB, for each machine kind.
    pub kind_memory_mb: Vec<f64>,
    /// Memory grants are heeded.
    pub grants: bool,
    /// What happens when grants pass an engine's memory.
    pub memory_short: MemoryShort,
    /// Priority levels are heeded.
    pub priorities: bool,
    /// Time between progress notes; zero where there are none.
    pub progress_pace: TimeDelta,
    /// Answers tell the work and memory a query needed.
    pub tells_cost: bool,
    /// Attempts can be cancelled.
    pub cancel: bool,
    /// Engines may be probed.
    pub probes: bool,
    /// Gateways may send each other messages.
    pub peers: bool,
    /// Clients are told when to come back.
    pub retry_after: bool,
    /// Longest such advice.
    pub max_retry_after: TimeDelta,
    /// Attempts allowed for one request.
    pub max_attempts: u32,
    /// Sends to a draining engine must end within this.
    pub drain_grace: TimeDelta,
    /// A cold engine falls when sent more than this multiple of its capacity.
    pub fall_multiple: f64,
    /// For this long.
    pub fall_span: TimeDelta,
    /// Share of its capacity that an engine starts with.
    pub start_share: f64,
    /// An engine is warm after this at the latest.
    pub cold_for: TimeDelta,
    /// A gateway that just started uses this share of its part of a cold engine's budget, rising evenly to all
    /// of it in so many seconds; `None`: half of it for one `fall_span`.
    pub cold_ramp: Option<(f64, f64)>,
    /// How long a key rests after an attempt that may still run.
    pub order_settle: TimeDelta,
    /// The further-attempt budget, if one is set.
    pub attempt_budget: Option<AttemptBudget>,
    /// Further attempts that others leave to this gateway over its own budget, where the fleet spends together.
    pub spare: f64,
    /// Price of one probe for each query.
    pub probe_price: f64,
    /// This gateway's zone, by number; `None` where it is not told.
    pub zone: Option<u32>,
    /// Weights of zones in the draw, by number, where failover between zones is on; 1 for zones beyond it.
    pub zone_weights: Vec<f64>,
    /// Price of one attempt in another zone for each query.
    pub cross_zone_price: f64,
    /// Price of one new connection for each query.
    pub handshake_price: f64,
    /// A connection that carries nothing is closed after this.
    pub idle: TimeDelta,
}

impl Settings {
    /// A zone's weight in the draw.
    pub fn zone_weight(&self, zone: u32) -> f64 {
        self.zone_weights.get(zone as usize).copied().unwrap_or(1.0)
    }
}

impl Default for Settings {
    /// One gateway, no classes, nothing allowed beyond plain sends, no limit of a rule set.
    fn default() -> Settings {
        Settings {
            classes: Vec::new(),
            tenants: Vec::new(),
            over_share_worth: 1.0,
            gateways: 1,
            position: 0,
            must_ask: false,
            report_via: ReportVia::Silent,
            reports_load: false,
            kind_cores: Vec::new(),
            kind_memory_mb: Vec::new(),
            grants: false,
            memory_short: MemoryShort::Waits,
            priorities: false,
            progress_pace: TimeDelta::ZERO,
            tells_cost: false,
            cancel: false,
            probes: false,
            peers: false,
            retry_after: false,
            max_retry_after: TimeDelta::ZERO,
            max_attempts: 1,
            drain_grace: TimeDelta::ZERO,
            fall_multiple: 1.0,
            fall_span: TimeDelta::ZERO,
            start_share: 1.0,
            cold_for: TimeDelta::ZERO,
            cold_ramp: None,
            spare: 0.0,
            zone_weights: Vec::new(),
            order_settle: TimeDelta::ZERO,
            attempt_budget: None,
            probe_price: 0.0,
            zone: None,
            cross_zone_price: 0.0,
            handshake_price: 0.0,
            idle: TimeDelta::ZERO,
        }
    }
}
