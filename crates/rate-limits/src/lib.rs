//! Plain data structures for limits over time and for what was used last: they count, sum and average, and decide
//! nothing.
//!
//! No structure reads a clock: each call takes the current time. What a caller does with a count is its own concern.

pub mod event_window;
pub mod moving_average;
pub mod recent_set;
pub mod slot_window;
pub mod sum_window;
pub mod token_bucket;

pub use event_window::EventWindow;
pub use moving_average::{update_mean, update_mean_and_variance, MovingAverage};
pub use recent_set::RecentSet;
pub use slot_window::{Slot, SlotWindow};
pub use sum_window::SumWindow;
pub use token_bucket::TokenBucket;
