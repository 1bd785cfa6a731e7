//! Failover between zones and regions.
//!
//! Requests stay in their manager's zone while its healthy capacity covers its load with a margin. What is missing goes to
//! the nearest zones, then to other regions, in proportion to their spare capacity; a zone that recovers gets its fraction
//! back gradually. Which zones are ejected is decided with hysteresis ([`zone_health::ZoneHealth`]) by the same rule in
//! every manager: from the endpoint list, which all receive; from a quorum of other managers, where managers exchange
//! observations; else from the manager's own connections ([`failure_detector::FailureDetector`]). The weights by which
//! requests are routed follow from that ([`weights`]). [`ZoneFailover`] combines the steps.
//!
//! Terms are those of Envoy's locality load balancing: overprovisioning factor, panic threshold, ejection.
//!
//! Nothing here does input or output or reads a clock: the current time is an argument.

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
