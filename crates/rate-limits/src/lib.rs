//! Data structures for rate limits and usage statistics: token bucket, sliding windows, moving averages and
//! an LRU set.
//!
//! The structures hold no policy: callers decide what to do with a count, a sum or an average. None of the
//! structures reads a clock: a call that depends on the time takes the current time as an argument.

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
