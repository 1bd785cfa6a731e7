//! Identifiers of engines, requests, classes and priority levels.

use serde::{Deserialize, Serialize};

/// An engine, numbered by the caller in the order in which the endpoint list first had it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineId(pub u32);

/// A request; the number is unique while its manager runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// A request class: its index in [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassId(pub usize);

/// A priority level of the engines, 0 (lowest) to 3.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Level(pub u8);
