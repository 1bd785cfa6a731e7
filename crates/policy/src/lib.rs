//! The decision module of the workload manager: events and the time go in, actions come out. It does no input or
//! output and reads no clock.
//!
//! The vocabulary stands in `settings`, `events` and `actions`, the state in `state`. A request is priced and admitted
//! or rejected (`admission`, by the priority pricing of Konana et al., sections 3.2 to 3.4), queued, and sent to an
//! engine drawn for it as soon as one has capacity (`dispatch`, `engine_selection`). A failed attempt is retried or
//! answered (`retry`). Two functions enforce the rules: `send` for every attempt, `respond` for every final response
//! that no engine gave.
//!
//! Every file that learns or decides is named under `policy` in `deploy/balancer.toml`. Each tuning constant names its
//! source: the paper, the design page (the platform's brief), or ours, as is one that names none.

mod actions;
mod admission;
mod cancellation;
pub mod diagnostics;
mod dispatch;
mod engine_selection;
mod events;
mod ids;
mod load_estimation;
mod memory_grant;
mod outlier_detection;
mod policy;
mod reasons;
mod retry;
mod settings;
mod slow_start;
mod state;

pub use actions::*;
pub use events::*;
pub use ids::*;
pub use reasons::*;
pub use settings::*;
pub use sprucelink_time::{TimeDelta, Timestamp};
pub use state::Policy;

use admission::*;
use dispatch::*;
use engine_selection::*;
use load_estimation::*;
use memory_grant::*;
use outlier_detection::*;
use policy::*;
use retry::*;
use sprucelink_rate_limits::{update_mean, update_mean_and_variance, MovingAverage};
use sprucelink_stable_hash::weighted_index;
use state::*;

/// The text of all that decisions hang on, this crate's sources and those of the data structures in use, for who must
/// tell one version of the module from another.
pub const SOURCES: [&str; 23] = [
    include_str!("actions.rs"),
    include_str!("admission.rs"),
    include_str!("cancellation.rs"),
    include_str!("diagnostics.rs"),
    include_str!("dispatch.rs"),
    include_str!("engine_selection.rs"),
    include_str!("events.rs"),
    include_str!("ids.rs"),
    include_str!("load_estimation.rs"),
    include_str!("memory_grant.rs"),
    include_str!("outlier_detection.rs"),
    include_str!("policy.rs"),
    include_str!("reasons.rs"),
    include_str!("retry.rs"),
    include_str!("settings.rs"),
    include_str!("slow_start.rs"),
    include_str!("state.rs"),
    include_str!("../../rate-limits/src/event_window.rs"),
    include_str!("../../rate-limits/src/moving_average.rs"),
    include_str!("../../rate-limits/src/recent_set.rs"),
    include_str!("../../rate-limits/src/sum_window.rs"),
    include_str!("../../rate-limits/src/token_bucket.rs"),
    include_str!("../../stable-hash/src/split_mix.rs"),
];
