//! Observations about every request, engine and manager during a run, and the rules that are checked at each
//! observation.

use crate::clock::ClockStep;
use crate::judge::{Rule, Violation, TRANSIT};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Classes of the deployment under test, by class index. The settings list them in this order.
pub const CLASSES: [Class; 3] = [
    Class { name: "lane-rate", repeat: Repeat::Safe },
    Class { name: "tariff-load", repeat: Repeat::Keyed },
    Class { name: "fee-post", repeat: Repeat::Never },
];
/// Time after its first attempt within which a request with an idempotency key may be retried.
pub const KEYED_WINDOW: Duration = Duration::from_secs(3);
/// Time after the departure of a client during which an attempt of its request may still start.
const CLIENT_GONE_GRACE: Duration = Duration::from_millis(100);
/// Tolerance for the excess of an engine's deadline over the time that the client has left.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// Time after the delivery of a drain during which attempts may still be sent to the engine: the grace period
/// of 0.5 s in the settings and the platform's tolerance.
const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// Time after its creation at which a list event counts as delivered, whether it was written to the manager
/// or not.
const MAX_DELIVERY_TIME: Duration = Duration::from_secs(7);
/// Two attempts of one request count as concurrent only if the end of the first is observed later than this
/// after the start of the second: the events of different connections may be read in either order.
const OVERLAP_TOLERANCE: Duration = Duration::from_millis(60);
/// Number of violations after which no more are stored.
const MAX_VIOLATIONS: usize = 10_000;

/// Rule for the retries of a class's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Retries are always safe.
    Safe,
    /// Retries are safe within [`KEYED_WINDOW`].
    Keyed,
    /// No retry once an attempt may have run.
    Never,
}

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Name of the class in the settings.
    pub name: &'static str,
    /// Rule for the retries of its requests.
    pub repeat: Repeat,
}

/// One attempt, as observed by its engine.
#[derive(Clone, Debug)]
struct AttemptRecord {
    id: u64,
    started_at: Instant,
    ended_at: Option<Instant>,
    /// The engine answered that the attempt never ran.
    never_ran: bool,
}

/// One request: when its client must have the answer, when the client left, and the attempts that engines
/// received.
#[derive(Clone, Debug)]
struct RequestRecord {
    manager: usize,
    class: usize,
    deadline: Instant,
    client_gone_at: Option<Instant>,
    attempts: Vec<AttemptRecord>,
}

/// State of one engine according to the list and to its start.
#[derive(Clone, Debug, Default)]
struct EngineRecord {
    /// Number of the first list event by which the engine drains or is gone; `None` while it is ready.
    drained_by: Option<u64>,
    /// Limit on the engine's requests during slow start; `None` if it started before the run.
    slow_start: Option<SlowStartLimit>,
}

/// Limit on the requests of an engine in slow start.
#[derive(Clone, Debug)]
struct SlowStartLimit {
    /// Maximum number of attempts within any time span of length `window`, with the tolerance for requests
    /// whose work differs from the mean.
    max_requests: f64,
    until: Instant,
    window: Duration,
    started_attempts: Vec<Instant>,
    is_reported: bool,
}

#[derive(Default)]
struct State {
    requests: HashMap<u64, RequestRecord>,
    engines: HashMap<String, EngineRecord>,
    /// Time at which each list event was added to the feed; the first element is event 1.
    pushed: Vec<Instant>,
    /// Time at which each list event was written to a manager, by manager and event number.
    delivered: HashMap<(usize, u64), Instant>,
    /// Times at which the requests to each manager's present process were sent.
    request_times: HashMap<usize, Vec<Instant>>,
    /// Times at which engines received the retries of each manager's present process.
    retry_times: HashMap<usize, Vec<Instant>>,
    violations: Vec<Violation>,
    next_attempt: u64,
}

/// The state of a run, shared by all stand-ins.
pub struct World {
    /// Time at which the run started.
    pub start: Instant,
    /// Steps of the wall clock of the processes under test, ordered by time.
    pub steps: Vec<ClockStep>,
    state: Mutex<State>,
    /// Longest scheduling delay of this process within about the last second, in microseconds.
    lag_us: AtomicU64,
}

impl World {
    /// Creates the state of a run that starts now.
    pub fn new(steps: Vec<ClockStep>) -> World {
        World { start: Instant::now(), steps, state: Mutex::default(), lag_us: AtomicU64::new(0) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Longest scheduling delay of this process within about the last second: an event may have happened this
    /// much earlier than its recorded time.
    pub fn lag(&self) -> Duration {
        Duration::from_micros(self.lag_us.load(Ordering::Relaxed))
    }

    /// Measures [`World::lag`] every 5 ms. Never returns: the caller aborts the task.
    pub async fn measure_lag(&self) {
        let interval = Duration::from_millis(5);
        let mut recent: std::collections::VecDeque<u64> = std::collections::VecDeque::new();
        loop {
            let due = Instant::now() + interval;
            tokio::time::sleep_until(due.into()).await;
            recent.push_back(due.elapsed().as_micros() as u64);
            if recent.len() > 200 {
                recent.pop_front();
            }
            self.lag_us.store(recent.iter().copied().max().unwrap_or(0), Ordering::Relaxed);
        }
    }

    /// Records a violation of a rule, found now.
    pub fn report_violation(&self, rule: Rule, detail: String) {
        self.add_violation(&mut self.state(), rule, detail);
    }

    fn add_violation(&self, state: &mut State, rule: Rule, detail: String) {
        if state.violations.len() < MAX_VIOLATIONS {
            state.violations.push(Violation { rule, at: self.start.elapsed(), detail });
        }
    }

    /// Records that a client has written the last byte of a request, whose deadline is `timeout` from now.
    pub fn request_sent(&self, id: u64, manager: usize, class: usize, timeout: Duration) {
        let now = Instant::now();
        let mut state = self.state();
        let deadline = now + timeout;
        state.request_times.entry(manager).or_default().push(now);
        let record = state.requests.entry(id).or_insert(RequestRecord {
            manager,
            class,
            deadline,
            client_gone_at: None,
            attempts: Vec::new(),
        });
        // A request that crossed the close of an idle connection is sent again: the later deadline applies.
        record.deadline = record.deadline.max(deadline);
    }

    /// Records that a client has closed its connection or cancelled its request. Only the first call per
    /// request counts.
    pub fn client_gone(&self, id: u64) {
        if let Some(request) = self.state().requests.get_mut(&id) {
            request.client_gone_at.get_or_insert_with(Instant::now);
        }
    }

    /// Records that an engine has read an attempt with a deadline of `wait`, and checks the attempt against
    /// the rules. Returns the attempt's id for [`World::attempt_ended`], or `None` if no client sent the
    /// request.
    pub fn attempt_started(&self, engine: &str, id: u64, wait: Duration) -> Option<u64> {
        let lag = self.lag() + TRANSIT;
        let now = Instant::now();
        let mut guard = self.state();
        let state = &mut *guard;
        state.next_attempt += 1;
        let attempt_id = state.next_attempt;
        let request = state.requests.get_mut(&id)?;
        let mut violations = Vec::new();
        if let Some(gone) = request.client_gone_at.filter(|gone| now > *gone + CLIENT_GONE_GRACE + lag) {
            violations.push((Rule::SentAfterClientGone, format!("{:?} after its client left", now - gone)));
        }
        if now + wait > request.deadline + DEADLINE_SLACK + lag {
            let excess = now + wait - request.deadline;
            violations.push((
                Rule::LateDeadline,
                format!("sent {wait:?}, {excess:?} more than the client has left"),
            ));
        }
        let may_have_run =
            request.attempts.iter().find(|attempt| !attempt.never_ran).map(|first| first.started_at);
        match (CLASSES[request.class].repeat, may_have_run) {
            (Repeat::Never, Some(first)) => {
                violations.push((Rule::UnsafeRepeat, format!("{:?} after the first", now - first)));
            }
            (Repeat::Keyed, Some(first)) if now > first + KEYED_WINDOW + lag => {
                violations.push((Rule::UnsafeRepeat, format!("keyed, {:?} after the first", now - first)));
            }
            _ => {}
        }
        let manager = request.manager;
        if !request.attempts.is_empty() {
            state.retry_times.entry(manager).or_default().push(now);
        }
        let record = AttemptRecord { id: attempt_id, started_at: now, ended_at: None, never_ran: false };
        state.requests.get_mut(&id)?.attempts.push(record);
        if let Some(late) = send_delay_after_drain(state, engine, manager, now, lag) {
            violations
                .push((Rule::SentToDraining, format!("{engine}: {late:?} after the drain was delivered")));
        }
        if let Some(count) = attempts_above_slow_start(state, engine, now) {
            violations.push((Rule::SlowStart, format!("{engine}: {count} requests in the window")));
        }
        for (rule, detail) in violations {
            self.add_violation(state, rule, format!("manager {manager}, request {id:016x}: {detail}"));
        }
        Some(attempt_id)
    }

    /// Records that an attempt was answered or cancelled, or that its connection ended. `never_ran` says that
    /// the engine rejected it unexecuted.
    pub fn attempt_ended(&self, request_id: u64, attempt_id: u64, never_ran: bool) {
        if let Some(request) = self.state().requests.get_mut(&request_id) {
            if let Some(attempt) =
                request.attempts.iter_mut().find(|a| a.id == attempt_id && a.ended_at.is_none())
            {
                attempt.ended_at = Some(Instant::now());
                attempt.never_ran = never_ran;
            }
        }
    }

    /// Checks that no two attempts of a request were in flight at once. Called at the end of the run.
    pub fn check_overlaps(&self) {
        let mut guard = self.state();
        let mut overlaps = Vec::new();
        for (id, request) in &guard.requests {
            for pair in request.attempts.windows(2) {
                let ended_at = pair[0].ended_at.unwrap_or_else(Instant::now);
                if ended_at > pair[1].started_at + OVERLAP_TOLERANCE + self.lag() {
                    let excess = ended_at - pair[1].started_at;
                    overlaps.push(format!("manager {}, request {id:016x}: {excess:?}", request.manager));
                }
            }
        }
        for detail in overlaps {
            self.add_violation(&mut guard, Rule::ConcurrentAttempts, detail);
        }
    }

    /// Records that the next list event was added to the feeds.
    pub fn event_pushed(&self) {
        self.state().pushed.push(Instant::now());
    }

    /// Records that a list event was written to a manager. Only the first time counts.
    pub fn event_delivered(&self, manager: usize, event: u64) {
        self.state().delivered.entry((manager, event)).or_insert_with(Instant::now);
    }

    /// Records that a process of a manager is started, whose configuration holds the list events up to number
    /// `last_known`. The request and retry times of its predecessor are dropped: each process has its own
    /// retry budget.
    pub fn manager_started(&self, manager: usize, last_known: u64) {
        let mut state = self.state();
        state.delivered.retain(|(owner, _), _| *owner != manager);
        for event in 1..=last_known {
            state.delivered.insert((manager, event), Instant::now());
        }
        state.request_times.remove(&manager);
        state.retry_times.remove(&manager);
    }

    /// Records that list event number `event` lists an engine as ready, or as draining or gone.
    pub fn engine_listed(&self, engine: &str, is_ready: bool, event: u64) {
        let mut state = self.state();
        let record = state.engines.entry(engine.to_owned()).or_default();
        record.drained_by = if is_ready { None } else { record.drained_by.or(Some(event)) };
    }

    /// Records that an engine has started cold: up to `until` it may get `max_requests` requests in each
    /// `window`.
    pub fn engine_started(&self, engine: &str, max_requests: f64, window: Duration, until: Instant) {
        let slow_start =
            SlowStartLimit { max_requests, until, window, started_attempts: Vec::new(), is_reported: false };
        self.state().engines.entry(engine.to_owned()).or_default().slow_start = Some(slow_start);
    }

    /// Managers whose present process made retries, each with the times of its requests and of its retries.
    pub fn retry_times(&self) -> Vec<(usize, Vec<Instant>, Vec<Instant>)> {
        let state = self.state();
        let times = state.retry_times.iter().map(|(manager, retries)| {
            let requests = state.request_times.get(manager).cloned().unwrap_or_default();
            (*manager, requests, retries.clone())
        });
        times.collect()
    }

    /// Violations recorded so far, in order.
    pub fn violations(&self) -> Vec<Violation> {
        self.state().violations.clone()
    }

    /// Number of requests that clients sent and number of attempts that engines received, in this order.
    pub fn totals(&self) -> (usize, usize) {
        let state = self.state();
        (state.requests.len(), state.requests.values().map(|request| request.attempts.len()).sum())
    }
}

/// Time between the delivery of an engine's drain to this manager and the start of an attempt, if it exceeds
/// the grace period.
fn send_delay_after_drain(
    state: &State,
    engine: &str,
    manager: usize,
    now: Instant,
    lag: Duration,
) -> Option<Duration> {
    let event = state.engines.get(engine)?.drained_by?;
    let pushed = *state.pushed.get(usize::try_from(event).ok()?.checked_sub(1)?)?;
    let latest = pushed + MAX_DELIVERY_TIME;
    let delivered_at = state.delivered.get(&(manager, event)).map_or(latest, |at| (*at).min(latest));
    let late = now.checked_duration_since(delivered_at)?;
    (late > DRAIN_GRACE + lag).then_some(late)
}

/// Records an attempt at an engine. Returns the number of attempts within the last window if the engine is in
/// slow start and exceeds its limit for the first time.
fn attempts_above_slow_start(state: &mut State, engine: &str, now: Instant) -> Option<usize> {
    let limit = state.engines.get_mut(engine)?.slow_start.as_mut()?;
    if now > limit.until {
        return None;
    }
    limit.started_attempts.push(now);
    limit.started_attempts.retain(|started_at| now - *started_at <= limit.window);
    let count = limit.started_attempts.len();
    let is_over = count as f64 > limit.max_requests
        && !std::mem::replace(&mut limit.is_reported, count as f64 > limit.max_requests);
    is_over.then_some(count)
}
