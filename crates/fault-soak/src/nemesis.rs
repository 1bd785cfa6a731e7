//! The fault schedule of a run, drawn from the seed. Faults occur in groups, so that two or three overlap.

use crate::clock::{monotonic_ms, ClockStep};
use crate::shim::SyscallFaults;
use rand::seq::SliceRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// A fault. The affected managers and engines are drawn when it is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Managers get SIGTERM, and are restarted when their processes have ended.
    Terminate {
        /// Number of managers.
        managers: usize,
    },
    /// Managers get SIGKILL and are restarted at once.
    Kill {
        /// Number of managers.
        managers: usize,
    },
    /// All serving managers get a configuration with another feed address, and SIGHUP; the old feed closes
    /// 1.5 s later.
    Reload,
    /// The feeds of about half of the managers send nothing.
    SilentFeeds {
        /// Duration of the fault.
        duration: Duration,
    },
    /// The feeds of all managers are down.
    FeedsDown {
        /// Duration of the fault.
        duration: Duration,
    },
    /// Engines drain, are gone two seconds later, and are replaced by cold ones.
    Replace {
        /// Number of engines.
        engines: usize,
    },
    /// Engines send no answers.
    Hang {
        /// Number of engines.
        engines: usize,
        /// Duration of the fault.
        duration: Duration,
    },
    /// All connections to some engines are reset.
    Reset {
        /// Number of engines.
        engines: usize,
    },
    /// Engines fail a third of their attempts.
    Fail {
        /// Number of engines.
        engines: usize,
        /// Duration of the fault.
        duration: Duration,
    },
    /// Clients send three times as many requests.
    Burst {
        /// Duration of the fault.
        duration: Duration,
    },
}

/// Fault schedule of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Faults with the times at which they are injected, since the start of the load, in order.
    pub faults: Vec<(Duration, Fault)>,
    /// System call faults of every process under test, throughout the run.
    pub syscalls: SyscallFaults,
}

/// Draws a plan for a run whose load has this duration. No group of faults starts in its last 5 s.
pub fn draw(rng: &mut ChaCha8Rng, duration: Duration) -> Plan {
    let mut faults = Vec::new();
    // No fault is injected in the first 1.5 to 3 s, in which managers start and learn about their engines.
    let mut group_start = Duration::from_millis(rng.gen_range(1_500..3_000));
    while group_start + Duration::from_secs(5) < duration {
        for _ in 0..rng.gen_range(1..=3) {
            let offset = Duration::from_millis(rng.gen_range(0..400));
            faults.push((group_start + offset, draw_fault(rng)));
        }
        group_start += Duration::from_millis(rng.gen_range(1_000..2_500));
    }
    faults.sort_by_key(|(at, _)| *at);
    Plan { faults, syscalls: draw_syscalls(rng, duration) }
}

fn draw_fault(rng: &mut ChaCha8Rng) -> Fault {
    let duration = Duration::from_millis(rng.gen_range(300..3_000));
    let count = rng.gen_range(1..4);
    match rng.gen_range(0..12) {
        0 | 1 => Fault::Terminate { managers: rng.gen_range(1..8) },
        2 => Fault::Kill { managers: count },
        3 | 4 => Fault::Reload,
        5 => Fault::SilentFeeds { duration },
        6 => Fault::FeedsDown { duration },
        7 | 8 => Fault::Replace { engines: count },
        9 => Fault::Hang { engines: count, duration },
        10 => Fault::Reset { engines: count },
        _ => match rng.gen_bool(0.5) {
            true => Fault::Fail { engines: count, duration },
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
    let mut rate = |max: u32| if rng.gen_bool(0.6) { rng.gen_range(1..=max) } else { 0 };
    SyscallFaults {
        interrupted: rate(30),
        short: rate(200),
        accept: rate(100),
        connect: rate(60),
        socket: rate(30),
        broken: rate(20),
        config: rate(400),
        steps,
    }
}
