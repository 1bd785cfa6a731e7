//! What goes wrong, and when: drawn from the seed. Faults come in groups, so that two or three overlap.

use crate::clock::{monotonic_ms, ClockStep};
use crate::shim::SyscallFaults;
use rand::seq::SliceRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Something that goes wrong. Managers and engines are drawn when it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Managers get SIGTERM, and are started again when they have ended.
    Terminate {
        /// How many.
        managers: usize,
    },
    /// Managers are killed, and started again.
    Kill {
        /// How many.
        managers: usize,
    },
    /// All managers get a new configuration whose feed is elsewhere, and SIGHUP; the old feed closes 1.5 s later.
    Reload,
    /// The feeds of half of the managers send no event.
    SilentFeeds {
        /// For how long.
        duration: Duration,
    },
    /// The feeds of all managers are down.
    FeedsDown {
        /// For how long.
        duration: Duration,
    },
    /// Engines drain, are gone two seconds later, and others come in their place.
    Replace {
        /// How many.
        engines: usize,
    },
    /// Engines answer nothing.
    Hang {
        /// How many.
        engines: usize,
        /// For how long.
        duration: Duration,
    },
    /// All connections to an engine are reset.
    Reset {
        /// How many engines.
        engines: usize,
    },
    /// Engines fail a third of their attempts.
    Fail {
        /// How many.
        engines: usize,
        /// For how long.
        duration: Duration,
    },
    /// Clients send three times as much.
    Burst {
        /// For how long.
        duration: Duration,
    },
}

/// What a run goes through.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Faults by when they begin, in order.
    pub faults: Vec<(Duration, Fault)>,
    /// What fails in the processes.
    pub syscalls: SyscallFaults,
}

/// Draws a plan for a run that lasts so long.
pub fn draw(rng: &mut ChaCha8Rng, duration: Duration) -> Plan {
    let mut faults = Vec::new();
    // The first seconds are quiet: managers start and learn.
    let mut at = Duration::from_millis(rng.gen_range(1_500..3_000));
    while at + Duration::from_secs(5) < duration {
        for _ in 0..rng.gen_range(1..=3) {
            let offset = Duration::from_millis(rng.gen_range(0..400));
            faults.push((at + offset, draw_fault(rng)));
        }
        at += Duration::from_millis(rng.gen_range(1_000..2_500));
    }
    faults.sort_by_key(|(at, _)| *at);
    Plan { faults, syscalls: draw_syscalls(rng, duration) }
}

fn draw_fault(rng: &mut ChaCha8Rng) -> Fault {
    let duration = Duration::from_millis(rng.gen_range(300..3_000));
    let few = rng.gen_range(1..4);
    match rng.gen_range(0..12) {
        0 | 1 => Fault::Terminate { managers: rng.gen_range(1..8) },
        2 => Fault::Kill { managers: few },
        3 | 4 => Fault::Reload,
        5 => Fault::SilentFeeds { duration },
        6 => Fault::FeedsDown { duration },
        7 | 8 => Fault::Replace { engines: few },
        9 => Fault::Hang { engines: few, duration },
        10 => Fault::Reset { engines: few },
        _ => match rng.gen_bool(0.5) {
            true => Fault::Fail { engines: few, duration },
            false => Fault::Burst { duration },
        },
    }
}

fn draw_syscalls(rng: &mut ChaCha8Rng, duration: Duration) -> SyscallFaults {
    let start = monotonic_ms();
    let mut steps = Vec::new();
    let run_ms = duration.as_millis() as i64;
    for _ in 0..rng.gen_range(0..3) {
        let ahead = *[2_000, 30_000, 3_600_000, -2_000, -30_000, -3_600_000].choose(rng).unwrap_or(&2_000);
        steps.push(ClockStep { at_ms: start + rng.gen_range(2_000..run_ms.max(2_001)), ahead_ms: ahead });
    }
    steps.sort_by_key(|step| step.at_ms);
    let mut chance = |most: u32| if rng.gen_bool(0.6) { rng.gen_range(1..=most) } else { 0 };
    SyscallFaults {
        interrupted: chance(30),
        short: chance(200),
        accept: chance(100),
        connect: chance(60),
        socket: chance(30),
        broken: chance(20),
        config: chance(400),
        steps,
    }
}
