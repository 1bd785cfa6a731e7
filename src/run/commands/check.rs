//! `sprucelink check`: prints which features the startup files would enable.

use crate::run::second_front::SecondFrontConfig;
use crate::run::serve::ServerConfig;
use sprucelink_capture::settings::Settings as RecorderSettings;
use sprucelink_membership::MembershipConfig;
use sprucelink_startup::config::StartupConfig;
use sprucelink_zone_failover::config::FailoverConfig;

/// Prints a line for the configuration and for each optional file.
pub fn print(server: &ServerConfig) {
    let config = &server.config;
    let classes = config.front.classes.len();
    let events = config.known_endpoints.events.len();
    println!("the configuration will do: listen {}, {classes} classes, {events} events", config.listen);
    print_second_front(server.second_front.as_ref());
    print_recorder(server.recorder.as_ref());
    print_startup(server.startup.as_ref());
    print_membership(server.membership.as_ref());
    print_failover(server.failover.as_ref());
}

fn print_second_front(config: Option<&SecondFrontConfig>) {
    match config {
        Some(config) => println!("the operator's file will do: second front on {}", config.listen),
        None => println!("no operator's file: the second front is off"),
    }
}

fn print_recorder(settings: Option<&RecorderSettings>) {
    match settings {
        Some(settings) => {
            println!("the recorder's settings will do: {} MB in {}", settings.ring_mb, settings.dir.display())
        }
        None => println!("no recorder's settings: nothing is recorded"),
    }
}

fn print_startup(settings: Option<&StartupConfig>) {
    match settings {
        Some(settings) if settings.enabled => println!(
            "the cold start's settings will do: lists at {} a second for the fleet, dials staged over {} ms",
            settings.endpoint_poller.fleet_rate, settings.dial_pacer.window_ms
        ),
        Some(_) => println!("the cold start's settings will do; they are not enabled"),
        None => println!("no cold start's settings: the start is as it always was"),
    }
}

fn print_membership(settings: Option<&MembershipConfig>) {
    match settings {
        Some(settings) if settings.enabled => println!(
            "the membership's settings will do: listen {}, {} seeds, a period of {} ms",
            settings.listen,
            settings.seeds.len(),
            settings.protocol.period_ms
        ),
        Some(_) => println!("the membership's settings will do; they are not enabled"),
        None => println!("no membership's settings: managers do not talk"),
    }
}

fn print_failover(settings: Option<&FailoverConfig>) {
    match settings {
        Some(settings) if settings.enabled => println!(
            "the failover's settings will do: {} regions named, a factor of {}",
            settings.regions.len(),
            settings.overprovisioning_factor
        ),
        Some(_) => println!("the failover's settings will do; they are not enabled"),
        None => println!("no failover's settings: the draw goes by load and prices alone"),
    }
}
