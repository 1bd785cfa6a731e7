//! Settings of the membership: a JSON5 file such as `deploy/membership.json5`.

use serde::{Deserialize, Serialize};
use sprucelink_settings::{check_range, InvalidField, SettingsFile, Violation};
use std::net::SocketAddr;

/// Longest name, zone and region, in bytes: the updates of a datagram stay small.
pub const MAX_NAME_BYTES: usize = 32;
/// Maximum number of seeds.
pub const MAX_SEEDS: usize = 16;

/// The parameters of the protocol. Names in files are those of `serde(rename)`, where a field has one.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProtocolConfig {
    /// SWIM's protocol period, in which one member is probed, in milliseconds; 50 to 60,000.
    pub period_ms: f64,
    /// How long the answer to a direct probe is awaited before others are asked to probe, in milliseconds; 10 to
    /// `period_ms`.
    pub timeout_ms: f64,
    /// How many members are asked to probe on one's behalf; 0 to 10 (SWIM's k).
    #[serde(rename = "indirect")]
    pub indirect_probes: u32,
    /// A suspicion lasts at least this many periods times the logarithm (base 10) of the fleet; 1 to 20.
    #[serde(rename = "suspicion_least")]
    pub suspicion_multiplier: f64,
    /// Until others confirm it, a suspicion lasts this many times its minimum; 1 to 20 (Lifeguard's β).
    #[serde(rename = "suspicion_most")]
    pub max_suspicion_multiplier: f64,
    /// Confirmations by others that bring a suspicion to its minimum; 0 to 10 (Lifeguard's k).
    pub confirmations: u32,
    /// Bound of the local health score: periods and time-outs grow to 1 + this times themselves; 0 to 16 (Lifeguard's S).
    #[serde(rename = "health_most")]
    pub max_local_health: u32,
    /// An update is sent this many times the logarithm (base 10) of the fleet, each time to another; 1 to 20.
    #[serde(rename = "retransmit")]
    pub retransmit_multiplier: f64,
    /// Interval of gossip rounds, in milliseconds; 20 to 60,000.
    #[serde(rename = "gossip_ms")]
    pub gossip_interval_ms: f64,
    /// Members that a gossip round is sent to; 0 to 10.
    #[serde(rename = "fanout")]
    pub gossip_fanout: u32,
    /// Interval of comparisons of the complete view with one other member (anti-entropy), in milliseconds; 200 to 600,000,
    /// randomized by a fifth either way. Dead members and seeds are contacted in turn, too, so that partitioned views
    /// merge.
    #[serde(rename = "rejoin_ms")]
    pub anti_entropy_interval_ms: f64,
    /// How long dead members are remembered, in seconds; 1 to 86,400.
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
    /// Checks each number against its range.
    ///
    /// # Errors
    /// The first field outside its range, by its name in files.
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

/// What members publish, and what the fleet spends together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SharingConfig {
    /// Whether the retry budget is spent as a fleet: a part of what others have left may be used.
    #[serde(rename = "ration")]
    pub pool_retry_budgets: bool,
    /// Whether warm-up budgets, this manager's fraction of cores and tenants' quotas are divided among the live members
    /// instead of the configured number of managers.
    #[serde(rename = "parts")]
    pub divide_by_live_members: bool,
    /// Interval of a member's payloads, in milliseconds; 200 to 60,000. In fleets of more than a hundred members it grows
    /// by 10 ms a member, so that the rate at which each member receives payloads stays bounded.
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

/// All settings of the membership.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipConfig {
    /// Whether managers exchange messages; never on the platform.
    pub enabled: bool,
    /// Where this manager listens (UDP, IPv4): `address:port`; with port 0 the kernel chooses one.
    pub listen: String,
    /// Where others reach it, if that is not where it listens.
    pub advertise: Option<String>,
    /// Members that are contacted first, and again to heal partitions; at most [`MAX_SEEDS`]. This manager's own address
    /// may be among them.
    pub seeds: Vec<String>,
    /// Its zone; empty where there is none. At most [`MAX_NAME_BYTES`].
    pub zone: String,
    /// Its region; likewise.
    pub region: String,
    /// The parameters of the protocol.
    pub protocol: ProtocolConfig,
    /// What is published and shared.
    pub share: SharingConfig,
}

impl SettingsFile for MembershipConfig {
    /// What error messages call these settings.
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
