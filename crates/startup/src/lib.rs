//! The cold start of a workload manager among hundreds that start at once.
//!
//! A manager that starts alone may ask for its list, dial its engines and fill them at once. Hundreds that
//! start together (a release, a crash of most of a fleet, a rolling restart) do the same in step, and the
//! list service and the engines meet the sum. This crate is the deciding half of a start that spares them:
//! when to call for lists ([`lists::ListCalls`]), with a budget and backoff ([`backoff::Backoff`]); when a
//! new connection may be dialled ([`dials::DialStager`]); how fast its first load on cold engines rises
//! ([`first_load::FirstLoadTerms`]); what it takes in hand while it warms ([`admission::WarmAdmission`]); what an
//! older or contradictory list may change ([`held::HeldList`]); and when a manager says that it is ready
//! ([`ready::Readiness`]). Nothing here does input or output or reads a clock: time is an argument, in
//! microseconds of the caller's clock, and randomness comes from a seed.
//!
//! On the platform managers do not talk to each other: everything here follows from what each manager is
//! told (the fleet's size, its own name and seed) and what it sees.

pub mod admission;
pub mod backoff;
pub mod dials;
pub mod first_load;
pub mod held;
pub mod lists;
pub mod ready;
pub mod settings;

pub use sprucelink_time::{TimeDelta, Timestamp};
