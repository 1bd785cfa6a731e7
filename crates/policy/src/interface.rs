//! The vocabulary between a gateway and the decision module: settings, events and actions.
//!
//! Nothing here decides anything. Times are whole microseconds on the caller's clock.

use serde::{Deserialize, Serialize};
pub use sprucelink_time::*;

/// An engine, numbered by the caller in the order in which this gateway first heard of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineId(pub u32);
/// A request, unique within a gateway's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId(pub u64);
/// A request class: its index in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassId(pub usize);
/// A priority level of the engines, 0 (lowest) to 3.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Level(pub u8);

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

/// What the engine list says of one engine's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineState {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Withdrawn.
    Gone,
}

/// One entry of the engine list.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineEntry {
    /// Which engine.
    pub engine: EngineId,
    /// Its zone.
    pub zone: u32,
    /// Its machine kind.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: EngineState,
    /// When it last started, if that was lately.
    pub since: Option<Timestamp>,
}

/// What kind of list came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListKind {
    /// Only what changed.
    Changes,
    /// The whole list.
    Whole,
    /// The list as last held, possibly out of date.
    Remembered,
    /// A call to the list failed; the old one stays.
    Failed,
}

/// A load report. What an engine does not tell is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Queries in hand.
    pub in_hand: Option<f64>,
    /// Queries waiting for memory.
    pub waiting: Option<f64>,
    /// Share of the cores in use.
    pub busy: Option<f64>,
    /// Share of the memory granted.
    pub memory: Option<f64>,
    /// Share of the disks in use.
    pub disks: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Served.
    Delivered,
    /// The engine answered with an error; it may have run.
    Error,
    /// Turned away unseen; never ran.
    Shed,
    /// No reply in time; it may have run or still run.
    Expired,
    /// No connection; never ran.
    DialFailed,
    /// The connection broke; it may have run.
    Dropped,
    /// Cancelled; it may have run.
    Revoked,
    /// Never sent.
    Unused,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Shed | Outcome::DialFailed | Outcome::Unused)
    }
}

/// What an answer told of the query's needs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bill {
    /// Work in thread-seconds.
    pub work: f64,
    /// Memory in MB.
    pub memory_mb: f64,
}

/// A note on a running attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Note {
    /// Share done, roughly.
    Progress(f64),
    /// It spills to disk for want of so many MB.
    Spills(f64),
    /// It waits for memory.
    WaitsForMemory,
    /// It waits for a load to end.
    WaitsForLoad,
}

/// A request as it arrives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: usize,
    /// The group of tables it reads or writes.
    pub tables: u64,
    /// How long its client still waits.
    pub time_left: TimeDelta,
    /// Estimated work in thread-seconds.
    pub cost: Option<f64>,
    /// Estimated memory in MB.
    pub memory_mb: Option<f64>,
    /// Its key, for classes that keep order.
    pub key: Option<String>,
}

/// What a gateway tells the module.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// News of the engine list.
    List {
        /// What kind of list.
        kind: ListKind,
        /// Its entries.
        entries: Vec<EngineEntry>,
    },
    /// A client's request came in.
    Arrived(Arrival),
    /// A streamed answer began: the attempt is the client's from here on.
    Started {
        /// The request.
        id: RequestId,
    },
    /// A note on a running attempt.
    Noted {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// The note.
        note: Note,
    },
    /// An attempt ended.
    Ended {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: TimeDelta,
        /// The request is finished.
        complete: bool,
        /// What it needed, where told.
        bill: Option<Bill>,
        /// The engine's load report.
        report: Report,
    },
    /// The client gave up.
    GivenUp {
        /// The request.
        id: RequestId,
    },
    /// A timer is due.
    Timer {
        /// The token it was set with.
        token: u64,
    },
    /// A probe ended.
    Probed {
        /// The engine.
        engine: EngineId,
        /// How it ended.
        outcome: Outcome,
        /// Its load report.
        report: Report,
    },
    /// Another gateway's message.
    Heard {
        /// Its number.
        from: u32,
        /// The message.
        message: Vec<u8>,
    },
    /// News of the fleet, where gateways keep a view of it: among how many it parts what it shares, and what
    /// the others leave of their further attempts.
    Fleet {
        /// Gateways, this one included.
        gateways: u32,
        /// Further attempts.
        spare: f64,
    },
    /// News of failover between zones: their weights in the draw, by number.
    Zones(Vec<f64>),
}

/// What the module tells a gateway to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an engine.
    Send {
        /// The request.
        id: RequestId,
        /// Time-out; until the client gives up if absent.
        timeout: Option<TimeDelta>,
        /// The engine.
        engine: EngineId,
    },
    /// Memory grant and level, for the next send and what is out.
    Terms {
        /// The request.
        id: RequestId,
        /// Memory in MB; the engine chooses if absent.
        grant_mb: Option<f64>,
        /// The level.
        level: Level,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Final: refused, a repeat does no harm.
    Refuse {
        /// The request.
        id: RequestId,
        /// When to come back, if that is said.
        retry_after: Option<TimeDelta>,
    },
    /// Final: failed, nothing assured.
    Fail {
        /// The request.
        id: RequestId,
        /// When to come back, if that is said.
        retry_after: Option<TimeDelta>,
    },
    /// Set a timer.
    Timer {
        /// From now.
        delay: TimeDelta,
        /// Comes back with the event.
        token: u64,
    },
    /// Probe an engine.
    Probe {
        /// The engine.
        engine: EngineId,
    },
    /// Send a message to all other gateways.
    Tell {
        /// The message.
        message: Vec<u8>,
    },
    /// Ask for changes of the engine list from now on.
    Watch,
    /// A line for the people on call.
    Log(String),
    /// A reason, told only to who listens; it asks for nothing.
    Why(Box<Reason>),
}

/// Why the module chose as it did: told only to who listens. Times in seconds, work in thread-seconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Reason {
    /// A request was priced, given a level, and let in or not.
    Priced {
        /// The request.
        id: RequestId,
        /// Its class.
        class: usize,
        /// The level of least delay cost plus toll.
        level: u8,
        /// Its cost as estimated.
        cost: f64,
        /// Expected time to its answer there.
        tau: f64,
        /// The toll there.
        toll: f64,
        /// Its worth less its delay cost.
        worth: f64,
        /// The time within which it is wanted.
        wanted: f64,
        /// Own threads in flight.
        own: f64,
        /// This gateway's share of the told cores.
        share: f64,
        /// The free-core pass lets it in.
        free: bool,
        /// It enters.
        enters: bool,
    },
    /// An engine is drawn for a request.
    Drawn {
        /// The request.
        id: RequestId,
        /// The number drawn, 0 to 1.
        dice: f64,
        /// Threads a core up to which its level may fill an engine.
        fill: f64,
        /// What comes of it; `None`: it waits.
        chosen: Option<EngineId>,
        /// Every engine that is not gone.
        among: Vec<Candidate>,
    },
    /// A request is answered without being served.
    Answered {
        /// The request.
        id: RequestId,
        /// Attempts made.
        attempts: u32,
        /// Attempts that ended with an engine's error.
        errors: u32,
        /// Time left to its client.
        left: f64,
        /// A further attempt would be allowed to it.
        may_repeat: bool,
        /// The ration of further attempts has room.
        budget: bool,
        /// Time to an answer, from its arrival, if it were sent now.
        in_all: f64,
        /// What that answer would earn, less its delay cost.
        worth: f64,
        /// The least toll now.
        toll: f64,
        /// Time that what is held takes this gateway's share of the cores.
        jam: f64,
    },
    /// An attempt is called off.
    Cancelled {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// Where it is.
        engine: EngineId,
        /// How long it has been out.
        age: f64,
        /// How long it was expected to be.
        expected: f64,
        /// Since something was heard of it.
        unheard: f64,
        /// Its engine is distrusted.
        distrusted: bool,
        /// Its request has its final answer.
        answered: bool,
    },
}

/// An engine in a draw.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Candidate {
    /// Which.
    pub engine: EngineId,
    /// What keeps it out of the draw.
    pub bar: Option<Bar>,
    /// Its weight, 0 where it is kept out.
    pub weight: f64,
    /// Threads a core that it is taken to have.
    pub utilisation: f64,
    /// How much the last report of its load still counts, 0 to 1.
    pub trust: f64,
}

/// What keeps an engine out of a draw.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bar {
    /// The list does not have it as ready.
    NotListed,
    /// A rule: placement, repeats of keyed requests, or the cold budget.
    Rules,
    /// It is distrusted or rests.
    Health,
    /// It just failed this request.
    JustFailed,
    /// The request chooses among a few others.
    NotAmongFew,
    /// It is taken to be full for this level.
    NoRoom,
}
