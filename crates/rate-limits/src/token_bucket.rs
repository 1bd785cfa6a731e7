//! A token bucket for limits whose rate changes over time.

use serde::{Deserialize, Serialize};
use sprucelink_time::Timestamp;

/// A token bucket whose rate and depth are arguments of each call, so that they may change between calls.
///
/// A new bucket is empty and counts as last refilled at the clock's origin.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TokenBucket {
    /// Tokens in the bucket after the last call.
    level: f64,
    /// Time of the last call.
    #[serde(rename = "at")]
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Takes one token if the bucket holds at least one; returns whether a token was taken.
    ///
    /// Before that, the bucket is refilled at `rate` tokens per second for the time since the last call, up
    /// to `depth` tokens.
    pub fn try_take(&mut self, now: Timestamp, rate: f64, depth: f64) -> bool {
        let elapsed = (now - self.refilled_at).as_secs_f64();
        self.level = (self.level + elapsed * rate).min(depth);
        self.refilled_at = now;
        let has_token = self.level >= 1.0;
        if has_token {
            self.level -= 1.0;
        }
        has_token
    }
}
