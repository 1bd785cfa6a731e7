//! The settings as they are told, under their names on the simulator's wire, and what they mean to the module.

use crate::value::{objects, or_default, present, section, Flag, Number, NumberList, Text};
use serde::Deserialize;
use sprucelink_policy::*;

/// The settings that the program uses. Times are in seconds, shares and prices parts of one, unless said.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireSettings {
    /// Classes of requests, in the order in which they are numbered.
    #[serde(deserialize_with = "objects")]
    pub profiles: Vec<WireClass>,
    /// Tenants, in the order in which they are numbered.
    #[serde(deserialize_with = "objects")]
    pub customers: Vec<WireTenant>,
    /// Worth of a request over its tenant's share; absent: 1.
    pub over_share_worth: Number,
    /// Instances in this tier; absent or under 1: 1.
    pub siblings: Number,
    /// This instance's number among them, from 0.
    pub position: Number,
    /// `ask` where the list of engines must be asked for; all else: it is pushed.
    pub discovery: Text,
    /// Number of this instance's own zone; a word that is no whole number tells none.
    pub az: Text,
    /// Names of zones, by number.
    #[serde(deserialize_with = "or_default")]
    pub zones: Vec<Text>,
    /// Names of machine kinds, by number.
    #[serde(deserialize_with = "or_default")]
    pub shapes: Vec<Text>,
    /// Load reports.
    #[serde(deserialize_with = "section")]
    pub load_report: WireLoadReport,
    /// What is known of engines and of the classes on them.
    #[serde(rename = "specifics", deserialize_with = "section")]
    pub engines: WireEngines,
    /// What the site permits.
    #[serde(deserialize_with = "section")]
    pub limits: WireLimits,
    /// Figures of the rules.
    #[serde(deserialize_with = "section")]
    pub invariants: WireInvariants,
    /// Points taken off.
    #[serde(deserialize_with = "section")]
    pub prices: WirePrices,
    /// How clients behave.
    #[serde(deserialize_with = "section")]
    pub clients: WireClients,
}

/// A class of requests.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireClass {
    /// Its name.
    pub name: Text,
    /// Worth of a request; absent: 1.
    pub value: Number,
    /// Share of the worth that a late answer earns.
    pub late_worth: Number,
    /// Wanted time.
    pub aim: Number,
    /// The wanted time grows by this times the work over the threads.
    pub aim_stretch: Number,
    /// How long a client waits in all.
    pub deadline: Number,
    /// `read_like` or `idempotency_key`; all else counts as never to be repeated.
    pub effect: Text,
    /// Where repeats are dropped: `all`, `zone`; all else: one cell.
    pub dedup_scope: Text,
    /// For how long repeats are dropped.
    pub repeat_window: Number,
    /// Requests with one key run one at a time.
    pub in_turn: Flag,
    /// Machine kinds, by number, that the class is bound to; told at all, it binds.
    #[serde(deserialize_with = "present")]
    pub allowed_on: Option<NumberList>,
    /// Zones, by number, that the class is bound to; told at all, it binds.
    #[serde(deserialize_with = "present")]
    pub runs_in: Option<NumberList>,
}

/// A tenant.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireTenant {
    /// Its name.
    pub name: Text,
    /// Requests a second within its share; absent: no bound.
    pub quota_per_s: Number,
}

/// Load reports.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireLoadReport {
    /// `piggyback` or `pull`; all else: none come.
    pub via: Text,
    /// Names of the values.
    #[serde(deserialize_with = "or_default")]
    pub fields: Vec<Text>,
}

/// What is known of engines and of the classes on them (`specifics`).
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireEngines {
    /// Threads that a query of each class runs on; absent or under 1: 1.
    pub class_threads: NumberList,
    /// Whether each class holds its tables while it runs.
    #[serde(deserialize_with = "or_default")]
    pub loads: Vec<Flag>,
    /// Cores of each machine kind.
    pub size_cores: NumberList,
    /// Memory of each machine kind, in MB.
    pub ram_of_kind_mb: NumberList,
    /// Memory grants are heeded.
    pub takes_grants: Flag,
    /// `trim` or `swap`; all else: queries wait for memory.
    pub memory_short: Text,
    /// Priorities are heeded.
    pub priorities: Flag,
    /// Time between notes of progress; 0: none.
    pub progress_pace: Number,
    /// Answers tell what a query needed.
    pub tells_cost: Flag,
}

/// What the site permits (`limits` of the settings; the program's own limits are [`crate::ProcessLimits`]).
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireLimits {
    /// Attempts can be called off.
    pub cancel: Flag,
    /// Engines may be probed.
    pub probes: Flag,
    /// Instances may send each other messages.
    pub peers: Flag,
    /// Clients are told when to come back.
    pub retry_after: Flag,
    /// Longest such wait.
    pub max_retry_after: Number,
    /// Attempts allowed for one request; absent: 1.
    pub max_attempts: Number,
    /// Attempts that one connection carries at a time.
    pub max_streams: Number,
    /// A connection has to be up within this.
    pub connect_timeout: Number,
    /// An idle connection closes after this.
    pub conn_idle: Number,
}

/// Figures of the rules.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireInvariants {
    /// Sends to a draining engine must end within this.
    pub drain_grace: Number,
    /// A cold engine falls when sent more than this multiple of its capacity; absent: 1.
    pub fall_multiple: Number,
    /// For this long.
    pub overload_for: Number,
    /// Share of its capacity that an engine starts with; absent: 1.
    pub start_capacity: Number,
    /// An engine is warm after this.
    pub cold: Number,
    /// A key rests for this after an attempt that may still run.
    pub order_settle: Number,
    /// Span of the ration of further attempts; absent: there is no ration.
    pub ratio_span: Number,
    /// Further attempts allowed in any case.
    pub free_resends: Number,
    /// Further attempts allowed for each request taken.
    pub budget_share: Number,
}

/// Points taken off.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WirePrices {
    /// Of a probe, for each first try.
    pub probe: Number,
    /// Of an attempt in another zone, for each first try.
    pub cross_zone: Number,
    /// Of a new connection, for each first try.
    pub handshake: Number,
}

/// How clients behave.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireClients {
    /// Clients mark their repeats.
    pub marks_retry: Flag,
}

impl WireSettings {
    /// The module's settings. What the simulator and the platform tell of no such thing keeps the default of
    /// [`Settings`]: the cold start's ramp, what a fleet leaves, weights of zones.
    pub fn to_policy_settings(&self) -> Settings {
        let (engines, limits, rules) = (&self.engines, &self.limits, &self.invariants);
        Settings {
            classes: self.profiles.iter().enumerate().map(|(i, p)| p.class(i, engines)).collect(),
            tenants: self.customers.iter().map(WireTenant::tenant).collect(),
            over_share_worth: self.over_share_worth.unwrap_or(1.0),
            gateways: self.siblings.unwrap_or(1.0).max(1.0) as u32,
            position: self.position.unwrap_or(0.0) as u32,
            must_ask: self.discovery.get() == Some("ask"),
            report_via: match self.load_report.via.get() {
                Some("piggyback") => ReportVia::Answers,
                Some("pull") => ReportVia::Probes,
                _ => ReportVia::Silent,
            },
            reports_load: self.load_report.fields.iter().any(|n| n.0 == "rif" || n.0 == "busy"),
            kind_cores: engines.size_cores.0.clone(),
            kind_memory_mb: engines.ram_of_kind_mb.0.clone(),
            grants: engines.takes_grants.0,
            memory_short: match engines.memory_short.get() {
                Some("trim") => MemoryShort::Shrinks,
                Some("swap") => MemoryShort::Pages,
                _ => MemoryShort::Waits,
            },
            priorities: engines.priorities.0,
            progress_pace: engines.progress_pace.as_time_delta(),
            tells_cost: engines.tells_cost.0,
            cancel: limits.cancel.0,
            probes: limits.probes.0,
            peers: limits.peers.0,
            retry_after: limits.retry_after.0,
            max_retry_after: limits.max_retry_after.as_time_delta(),
            max_attempts: limits.max_attempts.unwrap_or(1.0) as u32,
            drain_grace: rules.drain_grace.as_time_delta(),
            fall_multiple: rules.fall_multiple.unwrap_or(1.0),
            fall_span: rules.overload_for.as_time_delta(),
            start_share: rules.start_capacity.unwrap_or(1.0),
            cold_for: rules.cold.as_time_delta(),
            order_settle: rules.order_settle.as_time_delta(),
            attempt_budget: rules.ratio_span.0.map(|span| AttemptBudget {
                span: TimeDelta::from_secs_f64(span),
                free: rules.free_resends.unwrap_or(0.0),
                share: rules.budget_share.unwrap_or(0.0),
            }),
            probe_price: self.prices.probe.unwrap_or(0.0),
            zone: self.az.get().and_then(|z| z.parse().ok()),
            cross_zone_price: self.prices.cross_zone.unwrap_or(0.0),
            handshake_price: self.prices.handshake.unwrap_or(0.0),
            idle: limits.conn_idle.as_time_delta(),
            ..Settings::default()
        }
    }
}

impl WireClass {
    /// What the class numbered `i` means to the module.
    fn class(&self, i: usize, engines: &WireEngines) -> ClassSettings {
        ClassSettings {
            worth: self.value.unwrap_or(1.0),
            late_worth: self.late_worth.unwrap_or(0.0),
            aim: self.aim.as_time_delta(),
            aim_stretch: self.aim_stretch.unwrap_or(0.0),
            deadline: self.deadline.as_time_delta(),
            effect: match self.effect.get() {
                Some("read_like") => Effect::Safe,
                Some("idempotency_key") => Effect::Keyed,
                // What is not known to be safe counts as unsafe.
                _ => Effect::Unsafe,
            },
            group: match self.dedup_scope.get() {
                Some("all") => DedupGroup::All,
                Some("zone") => DedupGroup::Zone,
                _ => DedupGroup::Cell,
            },
            repeat_window: self.repeat_window.as_time_delta(),
            in_turn: self.in_turn.0,
            threads: engines.class_threads.0.get(i).copied().unwrap_or(1.0).max(1.0),
            load: engines.loads.get(i).is_some_and(|l| l.0),
            kinds: self.allowed_on.as_ref().map(NumberList::as_indices),
            zones: self.runs_in.as_ref().map(NumberList::as_indices),
        }
    }
}

impl WireTenant {
    fn tenant(&self) -> TenantSettings {
        TenantSettings { quota_per_s: self.quota_per_s.unwrap_or(f64::MAX) }
    }
}
