//! Settings of the membership: a JSON5 file of the operator's, such as `deploy/membership.json5`.

use serde::{Deserialize, Serialize};
use sprucelink_settings::{check_range, InvalidField, SettingsFile, Violation};
use std::net::SocketAddr;

/// Longest name, zone and region, in bytes: a datagram's updates stay small.
pub const MOST_NAME: usize = 32;
/// Seeds at most.
const MOST_SEEDS: usize = 16;

/// The figures of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Protocol {
    /// One member is probed in each period, in milliseconds; 50 to 60,000 (SWIM's protocol period).
    pub period_ms: f64,
    /// An answer to a direct probe is awaited for so long before others are asked to probe; 10 to `period_ms`.
    pub timeout_ms: f64,
    /// Members asked to probe in one's stead; 0 to 10 (SWIM's k).
    pub indirect: u32,
    /// A suspicion lasts at least this many periods times the logarithm (base 10) of the fleet; 1 to 20.
    pub suspicion_least: f64,
    /// And at most this many times its least, until others confirm it; 1 to 20 (Lifeguard's β).
    pub suspicion_most: f64,
    /// Confirmations by others that bring a suspicion to its least; 0 to 10 (Lifeguard's k).
    pub confirmations: u32,
    /// Most of the local health: periods and time-outs grow to 1 + this times themselves; 0 to 16 (Lifeguard's S).
    pub health_most: u32,
    /// News goes out this many times the logarithm (base 10) of the fleet, each time to another; 1 to 20.
    pub retransmit: f64,
    /// Time between two rounds of news, in milliseconds; 20 to 60,000.
    pub gossip_ms: f64,
    /// Members that get a round; 0 to 10.
    pub fanout: u32,
    /// Time between two comparisons of the whole view with one other, in milliseconds; 200 to 600,000. Each is
    /// spread by a fifth either way. Dead members and seeds are asked in turn, too: so do parted views merge.
    pub rejoin_ms: f64,
    /// The dead are remembered for so long, in seconds; 1 to 86,400.
    pub keep_dead_s: f64,
}

impl Default for Protocol {
    fn default() -> Protocol {
        Protocol {
            period_ms: 1_000.0,
            timeout_ms: 300.0,
            indirect: 3,
            suspicion_least: 4.0,
            suspicion_most: 6.0,
            confirmations: 3,
            health_most: 8,
            retransmit: 4.0,
            gossip_ms: 250.0,
            fanout: 3,
            rejoin_ms: 5_000.0,
            keep_dead_s: 600.0,
        }
    }
}

impl Protocol {
    /// Checks each number against its range.
    ///
    /// # Errors
    /// The first field outside its range.
    pub fn validate(&self) -> Result<(), InvalidField> {
        check_range("period_ms", self.period_ms, 50.0, 60_000.0)?;
        check_range("timeout_ms", self.timeout_ms, 10.0, self.period_ms)?;
        check_range("indirect", f64::from(self.indirect), 0.0, 10.0)?;
        check_range("suspicion_least", self.suspicion_least, 1.0, 20.0)?;
        check_range("suspicion_most", self.suspicion_most, 1.0, 20.0)?;
        check_range("confirmations", f64::from(self.confirmations), 0.0, 10.0)?;
        check_range("health_most", f64::from(self.health_most), 0.0, 16.0)?;
        check_range("retransmit", self.retransmit, 1.0, 20.0)?;
        check_range("gossip_ms", self.gossip_ms, 20.0, 60_000.0)?;
        check_range("fanout", f64::from(self.fanout), 0.0, 10.0)?;
        check_range("rejoin_ms", self.rejoin_ms, 200.0, 600_000.0)?;
        check_range("keep_dead_s", self.keep_dead_s, 1.0, 86_400.0)
    }
}

/// What is shared, and what the fleet spends together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Share {
    /// The retry ration is spent as a fleet: what others leave of theirs may be used in part.
    pub ration: bool,
    /// Cold budgets, and this manager's parts of cores and tenants' shares, are parted among the members that are
    /// alive instead of the managers told.
    pub parts: bool,
    /// Time between two summaries of a member, in milliseconds; 200 to 60,000. In fleets over a hundred members it
    /// grows by 10 ms a member, so that what all receive stays bounded.
    pub every_ms: f64,
}

impl Default for Share {
    fn default() -> Share {
        Share { ration: false, parts: false, every_ms: 1_000.0 }
    }
}

/// All settings of the membership.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Whether managers talk to each other; never on the platform.
    pub enabled: bool,
    /// Where this manager listens (UDP, IPv4): `address:port`, port 0 for one that the kernel chooses.
    pub listen: String,
    /// Where others reach it, if that is not where it listens.
    pub advertise: Option<String>,
    /// Members that are asked first, and again to heal partitions; this manager's own address may be among them.
    pub seeds: Vec<String>,
    /// Its zone; empty where there is none. 32 bytes at most.
    pub zone: String,
    /// Its region; likewise.
    pub region: String,
    /// The protocol's figures.
    pub protocol: Protocol,
    /// What is shared.
    pub share: Share,
}

impl SettingsFile for Settings {
    const SUBJECT: &'static str = "membership";

    fn validate(&self) -> Result<(), InvalidField> {
        if self.enabled || !self.listen.is_empty() {
            check_ipv4_address("listen", &self.listen)?;
        }
        self.advertise.iter().try_for_each(|address| check_ipv4_address("advertise", address))?;
        check_range("seeds", self.seeds.len() as f64, 0.0, MOST_SEEDS as f64)?;
        for (index, seed) in self.seeds.iter().enumerate() {
            check_ipv4_address(&format!("seeds[{index}]"), seed)?;
        }
        for (name, text) in [("zone", &self.zone), ("region", &self.region)] {
            if text.len() > MOST_NAME {
                let violation = Violation::TooLong { max: MOST_NAME, length: text.len() };
                return Err(InvalidField::new(name, violation));
            }
        }
        self.protocol.validate().map_err(|invalid| invalid.in_section("protocol"))?;
        check_range("share.every_ms", self.share.every_ms, 200.0, 60_000.0)
    }
}

fn check_ipv4_address(field: &str, text: &str) -> Result<(), InvalidField> {
    match text.parse::<SocketAddr>() {
        Ok(address) if address.is_ipv4() => Ok(()),
        _ => Err(InvalidField::new(field, Violation::NotIpv4SocketAddress { value: text.to_owned() })),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn settings_are_read_with_defaults_and_refused_by_name() {
        let set = Settings::parse("{ enabled: true, listen: '127.0.0.1:0', protocol: { period_ms: 500 } }");
        assert_eq!(set.expect("read").protocol.indirect, 3);
        let wrong = |text: &str| Settings::parse(text).unwrap_err().to_string();
        assert!(wrong("{ enabled: true }").contains("listen"));
        assert!(wrong("{ enabled: true, listen: '[::1]:7' }").contains("IPv4"));
        assert!(wrong("{ seeds: ['x'] }").contains("seeds[0]"));
        assert!(wrong("{ protocol: { timeout_ms: 2000 } }").contains("protocol.timeout_ms"));
        assert!(wrong("{ share: { rations: true } }").contains("rations"));
        assert!(Settings::parse("{}").is_ok(), "off by default");
    }
}
