//! Settings of the membership protocol: a JSON5 file such as `deploy/membership.json5`.

use serde::{Deserialize, Serialize};
use sprucelink_settings::{check_range, InvalidField, SettingsFile, Violation};
use std::net::SocketAddr;

/// Maximum length of a name, zone or region, in bytes; it keeps the updates in a datagram small.
pub const MAX_NAME_BYTES: usize = 32;
/// Maximum number of seeds in the settings.
pub const MAX_SEEDS: usize = 16;

/// Parameters of the protocol. A field with `serde(rename)` has that name in settings files.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProtocolConfig {
    /// SWIM's protocol period, in which one member is probed, in milliseconds; 50 to 60,000.
    pub period_ms: f64,
    /// Time-out of a direct probe, after which other members are requested to probe, in milliseconds; 10 to
    /// `period_ms`.
    pub timeout_ms: f64,
    /// Number of members that are requested to probe on this member's behalf; 0 to 10 (SWIM's k).
    #[serde(rename = "indirect")]
    pub indirect_probes: u32,
    /// Minimum duration of a suspicion: this many periods, multiplied by the base-10 logarithm of the number
    /// of live members; 1 to 20.
    #[serde(rename = "suspicion_least")]
    pub suspicion_multiplier: f64,
    /// Maximum duration of a suspicion, which applies while no other member confirms it, as a multiple of the
    /// minimum; 1 to 20 (Lifeguard's β).
    #[serde(rename = "suspicion_most")]
    pub max_suspicion_multiplier: f64,
    /// Number of confirmations by other members that reduce a suspicion's duration to its minimum; 0 to 10
    /// (Lifeguard's k).
    pub confirmations: u32,
    /// Maximum of the local health score. Periods and time-outs are multiplied by 1 + the score; 0 to 16
    /// (Lifeguard's S).
    #[serde(rename = "health_most")]
    pub max_local_health: u32,
    /// Number of transmissions of an update, each to a different member: this factor times the base-10
    /// logarithm of the number of live members; 1 to 20.
    #[serde(rename = "retransmit")]
    pub retransmit_multiplier: f64,
    /// Interval of gossip rounds, in milliseconds; 20 to 60,000.
    #[serde(rename = "gossip_ms")]
    pub gossip_interval_ms: f64,
    /// Number of members that each gossip round is sent to; 0 to 10.
    #[serde(rename = "fanout")]
    pub gossip_fanout: u32,
    /// Interval at which the complete view is compared with one other member's (anti-entropy), in
    /// milliseconds; 200 to 600,000, with a jitter of ±20%. Every other comparison is with a seed or a dead
    /// member, so that partitioned views merge.
    #[serde(rename = "rejoin_ms")]
    pub anti_entropy_interval_ms: f64,
    /// Time for which dead members are retained in the view, in seconds; 1 to 86,400.
    #[serde(rename = "keep_dead_s")]
    pub dead_retention_s: f64,
}

impl Default for ProtocolConfig {
    fn default() -> ProtocolConfig {
        ProtocolConfig {
            period_ms: 1_000.0,
            timeout_ms: 300.0,
            indirect_probes: 3,
            suspicion_multiplier: 4.0,
            max_suspicion_multiplier: 6.0,
            confirmations: 3,
            max_local_health: 8,
            retransmit_multiplier: 4.0,
            gossip_interval_ms: 250.0,
            gossip_fanout: 3,
            anti_entropy_interval_ms: 5_000.0,
            dead_retention_s: 600.0,
        }
    }
}

impl ProtocolConfig {
    /// Checks each parameter against its range.
    ///
    /// # Errors
    /// The first field outside its range, by its name in settings files.
    pub fn validate(&self) -> Result<(), InvalidField> {
        check_range("period_ms", self.period_ms, 50.0, 60_000.0)?;
        check_range("timeout_ms", self.timeout_ms, 10.0, self.period_ms)?;
        check_range("indirect", f64::from(self.indirect_probes), 0.0, 10.0)?;
        check_range("suspicion_least", self.suspicion_multiplier, 1.0, 20.0)?;
        check_range("suspicion_most", self.max_suspicion_multiplier, 1.0, 20.0)?;
        check_range("confirmations", f64::from(self.confirmations), 0.0, 10.0)?;
        check_range("health_most", f64::from(self.max_local_health), 0.0, 16.0)?;
        check_range("retransmit", self.retransmit_multiplier, 1.0, 20.0)?;
        check_range("gossip_ms", self.gossip_interval_ms, 20.0, 60_000.0)?;
        check_range("fanout", f64::from(self.gossip_fanout), 0.0, 10.0)?;
        check_range("rejoin_ms", self.anti_entropy_interval_ms, 200.0, 600_000.0)?;
        check_range("keep_dead_s", self.dead_retention_s, 1.0, 86_400.0)
    }
}

/// Settings of published payloads and of budgets shared by the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SharingConfig {
    /// Whether the fleet pools its retry budgets: a manager may then use a part of the retries that others
    /// have left.
    #[serde(rename = "ration")]
    pub pool_retry_budgets: bool,
    /// Whether warm-up budgets, this manager's fraction of cores and tenants' quotas are divided among the
    /// live members instead of the configured number of managers.
    #[serde(rename = "parts")]
    pub divide_by_live_members: bool,
    /// Interval at which a member publishes its payload, in milliseconds; 200 to 60,000. In fleets of more
    /// than a hundred members it grows by 10 ms per member, so that the rate at which each member receives
    /// payloads stays bounded.
    #[serde(rename = "every_ms")]
    pub payload_interval_ms: f64,
}

impl Default for SharingConfig {
    fn default() -> SharingConfig {
        SharingConfig {
            pool_retry_budgets: false,
            divide_by_live_members: false,
            payload_interval_ms: 1_000.0,
        }
    }
}

/// All settings of the membership protocol.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipConfig {
    /// Whether managers exchange membership messages; never enabled on the platform.
    pub enabled: bool,
    /// UDP address (IPv4) on which this manager listens, as `address:port`; with port 0 the kernel chooses a
    /// port.
    pub listen: String,
    /// Address at which other managers reach this one, if it differs from `listen`.
    pub advertise: Option<String>,
    /// Addresses of members that are contacted at the start, and again to merge partitioned views; at most
    /// [`MAX_SEEDS`]. This manager's own address may be among them.
    pub seeds: Vec<String>,
    /// This manager's zone, at most [`MAX_NAME_BYTES`] bytes; empty if it has none.
    pub zone: String,
    /// This manager's region, at most [`MAX_NAME_BYTES`] bytes; empty if it has none.
    pub region: String,
    /// Parameters of the protocol.
    pub protocol: ProtocolConfig,
    /// Settings of payloads and shared budgets.
    pub share: SharingConfig,
}

impl SettingsFile for MembershipConfig {
    /// Name of these settings in error messages.
    const SUBJECT: &'static str = "membership";

    fn validate(&self) -> Result<(), InvalidField> {
        if self.enabled || !self.listen.is_empty() {
            check_ipv4_address("listen", &self.listen)?;
        }
        self.advertise.iter().try_for_each(|address| check_ipv4_address("advertise", address))?;
        check_range("seeds", self.seeds.len() as f64, 0.0, MAX_SEEDS as f64)?;
        for (index, seed) in self.seeds.iter().enumerate() {
            check_ipv4_address(&format!("seeds[{index}]"), seed)?;
        }
        for (name, text) in [("zone", &self.zone), ("region", &self.region)] {
            if text.len() > MAX_NAME_BYTES {
                let violation = Violation::TooLong { max: MAX_NAME_BYTES, length: text.len() };
                return Err(InvalidField::new(name, violation));
            }
        }
        self.protocol.validate().map_err(|invalid| invalid.in_section("protocol"))?;
        check_range("share.every_ms", self.share.payload_interval_ms, 200.0, 60_000.0)
    }
}

fn check_ipv4_address(field: &str, text: &str) -> Result<(), InvalidField> {
    match text.parse::<SocketAddr>() {
        Ok(address) if address.is_ipv4() => Ok(()),
        _ => Err(InvalidField::new(field, Violation::NotIpv4SocketAddress { value: text.to_owned() })),
    }
}
