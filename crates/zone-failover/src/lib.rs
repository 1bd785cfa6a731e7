//! Failover between zones and regions.
//!
//! Requests stay in their manager's zone while the zone's healthy capacity covers its load with a margin.
//! Requests beyond that go to the other zones of the region, then to other regions, in proportion to their
//! spare capacity; a zone that recovers gets its fraction of requests back gradually. Every manager ejects
//! zones by the same rule and with hysteresis ([`zone_health::ZoneHealth`]), by the evidence of the endpoint
//! list, which all managers receive; of a quorum of other managers, where managers exchange observations; or
//! otherwise of the manager's own connections ([`failure_detector::FailureDetector`]). The routing weights
//! follow from the states of the zones ([`weights`]). [`ZoneFailover`] combines these steps.
//!
//! The terms are those of Envoy's locality load balancing: overprovisioning factor, panic threshold,
//! ejection.
//!
//! This crate performs no I/O and reads no clock: the current time is an argument.

pub mod config;
pub mod event;
pub mod failure_detector;
pub mod observation;
pub mod weights;
pub mod zone_failover;
pub mod zone_health;

pub use event::{Capacity, FailoverEvent};
pub use observation::ZoneObservation;
pub use sprucelink_time::{TimeDelta, Timestamp};
pub use zone_failover::{Locality, RoutingPlan, ZoneFailover, ZoneFraction, MAX_ZONES};
