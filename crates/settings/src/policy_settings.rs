//! What the settings of the wire mean to the decision module. An absent value gets its default here, and a word that is
//! unknown takes the most restrictive meaning.

use crate::{NumberList, WireClass, WireEngines, WireSettings, WireTenant};
use sprucelink_policy::{
    ClassSettings, DedupGroup, Effect, MemoryShort, ReportVia, RetryBudgetSettings, Settings, TenantSettings,
};
use sprucelink_time::TimeDelta;

/// Names of load values on the wire, either of which tells how busy an engine is.
const LOAD_FIELDS: [&str; 2] = ["rif", "busy"];

impl WireSettings {
    /// The decision module's settings. What has no counterpart on the wire keeps the default of [`Settings`]: the
    /// start-up ramp, the fleet's shared budgets, weights of zones.
    pub fn to_policy_settings(&self) -> Settings {
        let engines = &self.engines;
        let limits = &self.limits;
        let rules = &self.invariants;
        Settings {
            classes: self.profiles.iter().enumerate().map(|(i, class)| class.to_policy(i, engines)).collect(),
            tenants: self.customers.iter().map(WireTenant::to_policy).collect(),
            over_quota_value_factor: self.over_share_worth.unwrap_or(1.0),
            gateways: self.siblings.unwrap_or(1.0).max(1.0) as u32,
            position: self.position.unwrap_or(0.0) as u32,
            must_poll_endpoints: self.discovery.get() == Some("ask"),
            report_via: self.report_via(),
            reports_load: self.load_report.fields.iter().any(|name| LOAD_FIELDS.contains(&name.0.as_str())),
            kind_cores: engines.size_cores.0.clone(),
            kind_memory_mb: engines.ram_of_kind_mb.0.clone(),
            grants: engines.takes_grants.0,
            memory_short: engines.memory_short(),
            priorities: engines.priorities.0,
            progress_interval: engines.progress_pace.as_time_delta(),
            reports_cost: engines.tells_cost.0,
            cancel: limits.cancel.0,
            probes: limits.probes.0,
            peers: limits.peers.0,
            retry_after: limits.retry_after.0,
            max_retry_after: limits.max_retry_after.as_time_delta(),
            max_attempts: limits.max_attempts.unwrap_or(1.0) as u32,
            drain_grace: rules.drain_grace.as_time_delta(),
            slow_start_multiple: rules.fall_multiple.unwrap_or(1.0),
            slow_start_window: rules.overload_for.as_time_delta(),
            initial_capacity_fraction: rules.start_capacity.unwrap_or(1.0),
            slow_start_duration: rules.cold.as_time_delta(),
            key_settle_time: rules.order_settle.as_time_delta(),
            retry_budget: self.retry_budget(),
            probe_price: self.prices.probe.unwrap_or(0.0),
            zone: self.az.get().and_then(|zone| zone.parse().ok()),
            cross_zone_price: self.prices.cross_zone.unwrap_or(0.0),
            handshake_price: self.prices.handshake.unwrap_or(0.0),
            idle_timeout: limits.conn_idle.as_time_delta(),
            ..Settings::default()
        }
    }

    fn report_via(&self) -> ReportVia {
        match self.load_report.via.get() {
            Some("piggyback") => ReportVia::Answers,
            Some("pull") => ReportVia::Probes,
            _ => ReportVia::Silent,
        }
    }

    /// The retry budget; `None` where its span is absent.
    fn retry_budget(&self) -> Option<RetryBudgetSettings> {
        let rules = &self.invariants;
        rules.ratio_span.0.map(|span| RetryBudgetSettings {
            window: TimeDelta::from_secs_f64(span),
            free_retries: rules.free_resends.unwrap_or(0.0),
            retries_per_request: rules.budget_share.unwrap_or(0.0),
        })
    }
}

impl WireEngines {
    fn memory_short(&self) -> MemoryShort {
        match self.memory_short.get() {
            Some("trim") => MemoryShort::Shrinks,
            Some("swap") => MemoryShort::Pages,
            _ => MemoryShort::Waits,
        }
    }
}

impl WireClass {
    /// The settings of the class with number `class`.
    fn to_policy(&self, class: usize, engines: &WireEngines) -> ClassSettings {
        ClassSettings {
            value: self.value.unwrap_or(1.0),
            late_value_fraction: self.late_worth.unwrap_or(0.0),
            latency_objective: self.aim.as_time_delta(),
            objective_per_work: self.aim_stretch.unwrap_or(0.0),
            deadline: self.deadline.as_time_delta(),
            effect: self.effect(),
            group: self.dedup_group(),
            repeat_window: self.repeat_window.as_time_delta(),
            ordered_by_key: self.in_turn.0,
            threads: engines.class_threads.0.get(class).copied().unwrap_or(1.0).max(1.0),
            loads_tables: engines.loads.get(class).is_some_and(|flag| flag.0),
            kinds: self.allowed_on.as_ref().map(NumberList::as_indices),
            zones: self.runs_in.as_ref().map(NumberList::as_indices),
        }
    }

    fn effect(&self) -> Effect {
        match self.effect.get() {
            Some("read_like") => Effect::Safe,
            Some("idempotency_key") => Effect::Keyed,
            // An unknown effect must not be retried.
            _ => Effect::Unsafe,
        }
    }

    fn dedup_group(&self) -> DedupGroup {
        match self.dedup_scope.get() {
            Some("all") => DedupGroup::All,
            Some("zone") => DedupGroup::Zone,
            _ => DedupGroup::Cell,
        }
    }
}

impl WireTenant {
    fn to_policy(&self) -> TenantSettings {
        TenantSettings { quota_per_s: self.quota_per_s.unwrap_or(f64::MAX) }
    }
}
