//! The decision module of the workload manager: [`interface`] is its vocabulary, [`brain`] holds every
//! decision. No input or output, no clock of its own: events and the time go in, actions come out.

mod brain;
mod interface;
mod state;

pub use brain::view as diagnostics;
pub use brain::Policy;
pub use interface::*;

/// The text of all that decisions hang on, this crate's sources and those of the data structures in use, for who must
/// tell one version of the module from another.
pub const SOURCES: [&str; 9] = [
    include_str!("brain.rs"),
    include_str!("interface.rs"),
    include_str!("state.rs"),
    include_str!("../../rate-limits/src/event_window.rs"),
    include_str!("../../rate-limits/src/moving_average.rs"),
    include_str!("../../rate-limits/src/recent_set.rs"),
    include_str!("../../rate-limits/src/sum_window.rs"),
    include_str!("../../rate-limits/src/token_bucket.rs"),
    include_str!("../../stable-hash/src/split_mix.rs"),
];
