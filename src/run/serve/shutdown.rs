//! Graceful shutdown: every open request gets its response, then the process exits.

use super::startup::Server;
use crate::core::{now, to_duration};
use sprucelink_policy::TimeDelta;
use std::time::Duration;
use tokio::time::{sleep, Instant};
use tracing::{info, warn};

/// How long new connections and requests are still accepted after SIGTERM. The phases of a hot restart use an
/// equal constant: `sprucelink_hot_restart::ACCEPT_GRACE`.
const ACCEPT_PERIOD: Duration = Duration::from_millis(700);
/// Maximum wait after [`ACCEPT_PERIOD`] for open requests to reach their deadlines; SIGKILL is not expected
/// before both have passed.
const MAX_DEADLINE_WAIT: Duration = Duration::from_secs(3);
/// Value of [`MAX_DEADLINE_WAIT`] for a process that shares the listening socket with another (a hot
/// restart).
const MAX_DEADLINE_WAIT_AT_HOT_RESTART: Duration = Duration::from_secs(5);
/// Time before the end of the shutdown at which every open request gets its final response. SIGKILL would
/// leave the remaining requests without a response, and a slow process needs time to write the responses.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);
/// Interval between two checks of whether all requests have their responses.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Consecutive checks that must find no open request before the process exits: bytes that arrived while this
/// process was not scheduled are read only now, and a new connection needs several polls of the event loop
/// until its first request is read.
const IDLE_CHECKS: u32 = 5;

/// Instants of a shutdown, and the wait from which they are computed.
#[derive(Clone, Copy)]
struct Schedule {
    /// The longest configured request deadline, limited by the maximum wait.
    deadline_wait: Duration,
    /// The process ends at this instant at the latest.
    stop_at: Instant,
    /// Every request that is still open at this instant gets its final response.
    answer_at: Instant,
}

impl Schedule {
    fn new(longest_deadline: TimeDelta, is_hot_restart: bool) -> Schedule {
        let max_wait = if is_hot_restart { MAX_DEADLINE_WAIT_AT_HOT_RESTART } else { MAX_DEADLINE_WAIT };
        let deadline_wait = to_duration(longest_deadline).min(max_wait);
        let stop_at = Instant::now() + ACCEPT_PERIOD + deadline_wait;
        Schedule { deadline_wait, stop_at, answer_at: stop_at - ANSWER_MARGIN }
    }

    /// Time from the start of the shutdown to [`Schedule::answer_at`], as a duration because the core has a
    /// clock of its own.
    fn answer_period(&self) -> TimeDelta {
        let period = ACCEPT_PERIOD + self.deadline_wait - ANSWER_MARGIN;
        TimeDelta::from_micros(period.as_micros() as i64)
    }
}

/// Stops accepting, waits until all requests have their responses or the schedule ends, and stops the
/// subsystems.
pub async fn shut_down(mut server: Server) {
    info!(open_requests = server.core.pending_requests(), "stopping");
    if let Some(hot_restart) = &server.hot_restart {
        hot_restart.begin_stop();
    }
    let schedule = Schedule::new(server.longest_deadline, server.hot_restart.is_some());
    // From this deadline on no request is forwarded. Until then it limits the deadlines of all requests.
    server.core.set_shutdown_deadline(now() + schedule.answer_period());
    sleep(ACCEPT_PERIOD).await;
    // If this process was not scheduled meanwhile, the timer may fire before the sockets are polled.
    sleep(CHECK_INTERVAL).await;
    for front in &mut server.fronts {
        front.close().await;
    }
    wait_until_idle(&server, schedule).await;
    if let Some(membership) = server.membership {
        membership.leave().await;
    }
    if let Some(hot_restart) = &server.hot_restart {
        hot_restart.leave();
    }
    server.core.set_recorder(None);
    server.core.check_nothing_pending();
    info!(open_requests = server.core.pending_requests(), "stopped");
}

/// Waits until no front is busy for [`IDLE_CHECKS`] checks in a row, at most until [`Schedule::stop_at`].
async fn wait_until_idle(server: &Server, schedule: Schedule) {
    let mut idle_checks = 0;
    let mut are_all_answered = false;
    while idle_checks < IDLE_CHECKS && Instant::now() < schedule.stop_at {
        sleep(CHECK_INTERVAL).await;
        if !are_all_answered && Instant::now() >= schedule.answer_at {
            are_all_answered = true;
            complete_all(server);
        }
        if server.fronts.iter().any(|front| front.is_busy()) {
            idle_checks = 0;
        } else {
            idle_checks += 1;
        }
    }
}

/// Sends every open request its final response, which the core's `shutdown_response` chooses.
fn complete_all(server: &Server) {
    let answered = server.core.complete_all();
    if answered > 0 {
        warn!(answered, "open requests answered because the shutdown deadline passed");
    }
}
