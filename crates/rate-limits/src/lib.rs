//! Plain data structures for limits over time: they count, sum and average, and decide nothing.
//!
//! No structure reads a clock: each call takes the current time. What a caller does with a count is its own concern.

pub mod event_window;
pub mod moving_average;
pub mod slot_window;
pub mod sum_window;
pub mod token_bucket;

pub use event_window::EventWindow;
pub use moving_average::MovingAverage;
pub use slot_window::{Slot, SlotWindow};
pub use sum_window::SumWindow;
pub use token_bucket::TokenBucket;

/// The sources of the structures that carry the decision module's state, for fingerprints of its version.
pub const SOURCES: [&str; 4] = [
    include_str!("event_window.rs"),
    include_str!("moving_average.rs"),
    include_str!("sum_window.rs"),
    include_str!("token_bucket.rs"),
];
