//! The decision module of the workload manager: takes events and the current time, returns actions. It does
//! no input or output and reads no clock.
//!
//! [`Policy`] owns the parts and routes events to them; each part has private fields and states its rules as
//! functions of their inputs. `events`, `actions`, `reasons` and `settings` have the types of the interface.
//! A request is priced (`pricing`) and admitted or rejected (`admission`), queued (`request_queue`), and sent
//! to an engine drawn for it (`engine_eligibility`, `engine_selection`, `engine_weight`) as soon as one has
//! capacity. The end of an attempt leads to a retry or a response (`attempt_outcome`, `retry`,
//! `final_response`); every tick reviews all open requests (`cancellation`). `docs/ARCHITECTURE.md` has a
//! table of all rules.
//!
//! Every file that learns or decides is named under `policy` in `deploy/balancer.toml`.

mod actions;
mod admission;
mod answer_value;
mod attempt_outcome;
mod cancellation;
mod candidate_sampling;
mod class_estimates;
pub mod diagnostics;
mod engine;
mod engine_eligibility;
mod engine_health;
mod engine_load;
mod engine_selection;
mod engine_slowness;
mod engine_table;
mod engine_weight;
mod events;
mod final_response;
mod fleet_view;
mod ids;
mod level_price;
mod load_estimate;
mod memory_grant;
mod outlier_detection;
mod own_load;
mod policy;
mod pricing;
mod probe_credit;
mod reasons;
mod request;
mod request_queue;
mod retry;
mod settings;
mod slow_start;
mod snapshot;
mod tenant_quota;

pub use actions::Action;
pub use events::{
    Arrival, EndpointUpdate, EngineEntry, EngineState, Event, LoadReport, Outcome, ProgressNote, QueryCost,
};
pub use ids::{ClassId, EngineId, Level, RequestId};
pub use policy::Policy;
pub use reasons::{Candidate, IneligibleReason, Reason};
pub use retry::{AttemptHistory, RetryBudget, RetryDecision, RetryRule};
pub use settings::{
    ClassSettings, DedupGroup, Effect, MemoryShort, ReportVia, RestartRamp, RetryBudgetSettings, Settings,
    TenantSettings,
};
pub use sprucelink_time::{TimeDelta, Timestamp};

/// The source text that decisions depend on: the files of this crate and of the data structures that it uses.
/// Captures identify the version of the module by a hash of this text.
pub const SOURCES: [&str; 53] = [
    include_str!("actions.rs"),
    include_str!("admission.rs"),
    include_str!("answer_value.rs"),
    include_str!("attempt_outcome.rs"),
    include_str!("cancellation.rs"),
    include_str!("candidate_sampling.rs"),
    include_str!("class_estimates.rs"),
    include_str!("diagnostics.rs"),
    include_str!("engine.rs"),
    include_str!("engine_eligibility.rs"),
    include_str!("engine_health.rs"),
    include_str!("engine_load.rs"),
    include_str!("engine_selection.rs"),
    include_str!("engine_slowness.rs"),
    include_str!("engine_table.rs"),
    include_str!("engine_weight.rs"),
    include_str!("events.rs"),
    include_str!("final_response.rs"),
    include_str!("fleet_view.rs"),
    include_str!("ids.rs"),
    include_str!("level_price.rs"),
    include_str!("load_estimate.rs"),
    include_str!("memory_grant.rs"),
    include_str!("outlier_detection.rs"),
    include_str!("own_load.rs"),
    include_str!("policy.rs"),
    include_str!("policy/arrivals.rs"),
    include_str!("policy/attempts.rs"),
    include_str!("policy/dispatch.rs"),
    include_str!("policy/endpoints.rs"),
    include_str!("policy/explanations.rs"),
    include_str!("policy/review.rs"),
    include_str!("policy/stored.rs"),
    include_str!("policy/ticks.rs"),
    include_str!("policy/views.rs"),
    include_str!("pricing.rs"),
    include_str!("probe_credit.rs"),
    include_str!("reasons.rs"),
    include_str!("request.rs"),
    include_str!("request_queue.rs"),
    include_str!("retry.rs"),
    include_str!("settings.rs"),
    include_str!("slow_start.rs"),
    include_str!("snapshot.rs"),
    include_str!("snapshot/requests.rs"),
    include_str!("tenant_quota.rs"),
    include_str!("../../float-math/src/lib.rs"),
    include_str!("../../rate-limits/src/event_window.rs"),
    include_str!("../../rate-limits/src/moving_average.rs"),
    include_str!("../../rate-limits/src/recent_set.rs"),
    include_str!("../../rate-limits/src/sum_window.rs"),
    include_str!("../../rate-limits/src/token_bucket.rs"),
    include_str!("../../stable-hash/src/split_mix.rs"),
];
