//! `sprucelink fleet members`: prints the members in the view of a running manager.

use super::CommandError;
use serde_json::json;
use sprucelink_membership::Member;
use std::net::SocketAddr;

/// Queries the membership at `address` and prints its members.
///
/// # Errors
/// A membership that does not answer.
pub fn run(address: SocketAddr, as_json: bool) -> Result<(), CommandError> {
    let members = sprucelink_membership::query_members(address)
        .map_err(|source| CommandError::FleetMembers { address, source })?;
    if !as_json {
        println!(
            "{:<20} {:<8} {:<22} {:<10} {:<10} {:>14} {:>5}",
            "member", "state", "address", "zone", "region", "life", "inc"
        );
    }
    for member in members {
        if as_json {
            print_json(&member);
        } else {
            print_row(&member);
        }
    }
    Ok(())
}

fn state_name(member: &Member) -> String {
    format!("{:?}", member.state).to_lowercase()
}

fn print_json(member: &Member) {
    let line = json!({
        "member": member.name, "state": state_name(member), "address": member.address.to_string(),
        "zone": member.zone, "region": member.region, "life": member.generation,
        "incarnation": member.incarnation,
    });
    println!("{line}");
}

fn print_row(member: &Member) {
    println!(
        "{:<20} {:<8} {:<22} {:<10} {:<10} {:>14} {:>5}",
        member.name,
        state_name(member),
        member.address.to_string(),
        member.zone,
        member.region,
        member.generation,
        member.incarnation
    );
}
