//! Converts the settings on the wire to the policy's settings. An absent value gets its default here, and an
//! unknown word takes the most restrictive meaning.

use crate::{NumberList, WireClass, WireEngines, WireSettings, WireTenant};
use sprucelink_policy::{
    ClassSettings, DedupGroup, Effect, MemoryShort, ReportVia, RetryBudgetSettings, Settings, TenantSettings,
};
use sprucelink_time::TimeDelta;

/// `loadReport.fields`: values either of which shows the load of an engine.
const LOAD_FIELDS: [&str; 2] = ["rif", "busy"];
/// `loadReport.via`: reports come with each answer.
const VIA_ANSWERS: &str = "piggyback";
/// `loadReport.via`: reports come with load probes only.
const VIA_PROBES: &str = "pull";
/// `discovery`: the endpoint list must be polled.
const POLLED_DISCOVERY: &str = "ask";
/// `specifics.memoryShort`: a query gets the remaining memory, and spills to disk.
const MEMORY_SHORT_SHRINKS: &str = "trim";
/// `specifics.memoryShort`: a query runs, and the engine pages memory out.
const MEMORY_SHORT_PAGES: &str = "swap";
/// `profiles[].effect`: idempotent.
const EFFECT_IDEMPOTENT: &str = "read_like";
/// `profiles[].effect`: idempotent by key.
const EFFECT_KEYED: &str = "idempotency_key";
/// `profiles[].dedupScope`: retries are deduplicated among all engines.
const DEDUP_ALL: &str = "all";
/// `profiles[].dedupScope`: retries are deduplicated among the engines of a zone.
const DEDUP_ZONE: &str = "zone";

impl WireSettings {
    /// The policy's settings. Settings without a counterpart on the wire keep the defaults of [`Settings`]:
    /// the startup ramp, the fleet's shared budgets, weights of zones.
    pub fn to_policy_settings(&self) -> Settings {
        let engines = &self.engines;
        let limits = &self.limits;
        let rules = &self.invariants;
        Settings {
            classes: self.classes.iter().enumerate().map(|(i, class)| class.to_policy(i, engines)).collect(),
            tenants: self.tenants.iter().map(WireTenant::to_policy).collect(),
            over_quota_value_factor: self.over_quota_value_factor.unwrap_or(1.0),
            gateways: self.managers.unwrap_or(1.0).max(1.0) as u32,
            position: self.position.unwrap_or(0.0) as u32,
            must_poll_endpoints: self.discovery.get() == Some(POLLED_DISCOVERY),
            report_via: self.report_via(),
            reports_load: self.load_report.fields.iter().any(|name| LOAD_FIELDS.contains(&name.0.as_str())),
            kind_cores: engines.kind_cores.0.clone(),
            kind_memory_mb: engines.kind_memory_mb.0.clone(),
            grants: engines.applies_grants.0,
            memory_short: engines.memory_short(),
            priorities: engines.priorities.0,
            progress_interval: engines.progress_interval.as_time_delta(),
            reports_cost: engines.reports_cost.0,
            cancel: limits.cancel.0,
            probes: limits.probes.0,
            peers: limits.peers.0,
            retry_after: limits.retry_after.0,
            max_retry_after: limits.max_retry_after.as_time_delta(),
            max_attempts: limits.max_attempts.unwrap_or(1.0) as u32,
            drain_grace: rules.drain_grace.as_time_delta(),
            slow_start_multiple: rules.slow_start_multiple.unwrap_or(1.0),
            slow_start_window: rules.slow_start_window.as_time_delta(),
            initial_capacity_fraction: rules.initial_capacity_fraction.unwrap_or(1.0),
            slow_start_duration: rules.slow_start_duration.as_time_delta(),
            key_settle_time: rules.key_settle_time.as_time_delta(),
            retry_budget: self.retry_budget(),
            probe_price: self.prices.probe.unwrap_or(0.0),
            zone: self.zone.get().and_then(|zone| zone.parse().ok()),
            cross_zone_price: self.prices.cross_zone.unwrap_or(0.0),
            handshake_price: self.prices.handshake.unwrap_or(0.0),
            idle_timeout: limits.idle_timeout.as_time_delta(),
            ..Settings::default()
        }
    }

    fn report_via(&self) -> ReportVia {
        match self.load_report.via.get() {
            Some(VIA_ANSWERS) => ReportVia::Answers,
            Some(VIA_PROBES) => ReportVia::Probes,
            _ => ReportVia::Silent,
        }
    }

    /// The retry budget; `None` if its window is absent.
    fn retry_budget(&self) -> Option<RetryBudgetSettings> {
        let rules = &self.invariants;
        rules.retry_window.0.map(|seconds| RetryBudgetSettings {
            window: TimeDelta::from_secs_f64(seconds),
            free_retries: rules.free_retries.unwrap_or(0.0),
            retries_per_request: rules.retries_per_request.unwrap_or(0.0),
        })
    }
}

impl WireEngines {
    fn memory_short(&self) -> MemoryShort {
        match self.memory_short.get() {
            Some(MEMORY_SHORT_SHRINKS) => MemoryShort::Shrinks,
            Some(MEMORY_SHORT_PAGES) => MemoryShort::Pages,
            _ => MemoryShort::Waits,
        }
    }
}

impl WireClass {
    /// The settings of the class with index `class`.
    fn to_policy(&self, class: usize, engines: &WireEngines) -> ClassSettings {
        ClassSettings {
            value: self.value.unwrap_or(1.0),
            late_value_fraction: self.late_value_fraction.unwrap_or(0.0),
            latency_objective: self.latency_objective.as_time_delta(),
            objective_per_work: self.objective_per_work.unwrap_or(0.0),
            deadline: self.deadline.as_time_delta(),
            effect: self.effect(),
            group: self.dedup_group(),
            repeat_window: self.repeat_window.as_time_delta(),
            ordered_by_key: self.ordered_by_key.0,
            threads: engines.class_threads.0.get(class).copied().unwrap_or(1.0).max(1.0),
            loads_tables: engines.class_loads_tables.get(class).is_some_and(|flag| flag.0),
            kinds: self.kinds.as_ref().map(NumberList::as_indices),
            zones: self.zones.as_ref().map(NumberList::as_indices),
        }
    }

    fn effect(&self) -> Effect {
        match self.effect.get() {
            Some(EFFECT_IDEMPOTENT) => Effect::Safe,
            Some(EFFECT_KEYED) => Effect::Keyed,
            // An unknown effect must not be retried.
            _ => Effect::Unsafe,
        }
    }

    fn dedup_group(&self) -> DedupGroup {
        match self.dedup_scope.get() {
            Some(DEDUP_ALL) => DedupGroup::All,
            Some(DEDUP_ZONE) => DedupGroup::Zone,
            _ => DedupGroup::Cell,
        }
    }
}

impl WireTenant {
    fn to_policy(&self) -> TenantSettings {
        TenantSettings { quota_per_s: self.quota_per_s.unwrap_or(f64::MAX) }
    }
}
