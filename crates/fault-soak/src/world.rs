//! Observations about every request, engine and manager during a run, and the rules that are checked at once.

use crate::clock::ClockStep;
use crate::judge::{Rule, Violation, TRANSIT};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Classes of the deployment under test, by class number.
pub const CLASSES: [Class; 3] = [
    Class { name: "lane-rate", repeat: Repeat::Safe },
    Class { name: "tariff-load", repeat: Repeat::Keyed },
    Class { name: "fee-post", repeat: Repeat::Never },
];
/// Time within which a request with an idempotency key may be retried.
pub const KEYED_WINDOW: Duration = Duration::from_secs(3);
/// Time after its client has left during which an attempt may still start.
const CLIENT_GONE_GRACE: Duration = Duration::from_millis(100);
/// Tolerance of the deadline that an engine gets.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// Grace period of a drain, including the platform's tolerance.
const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// Time after which a list event counts as delivered, whether it was written to the manager or not.
const MAX_DELIVERY_TIME: Duration = Duration::from_secs(7);
/// Two attempts of one request count as concurrent only if the end of the first is observed later than this
/// after the start of the second: the events of different connections may be read in either order.
const OVERLAP_TOLERANCE: Duration = Duration::from_millis(60);
/// Maximum number of stored violations.
const MAX_VIOLATIONS: usize = 10_000;

/// When the requests of a class may be retried.
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
    /// Name in the settings.
    pub name: &'static str,
    /// When its requests may be retried.
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

/// One request, as sent by its client.
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
    /// Number of the list event by which it drains or is gone.
    drained_by: Option<u64>,
    /// Limit on its requests during slow start, if it started during the run.
    cold_start: Option<ColdStart>,
}

/// Limit on the requests of an engine in slow start.
#[derive(Clone, Debug)]
struct ColdStart {
    /// Maximum number of requests of mean work in each window.
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
    /// Time at which each event was written to a manager, by manager and event number.
    delivered: HashMap<(usize, u64), Instant>,
    /// Times of the requests of each manager.
    request_times: HashMap<usize, Vec<Instant>>,
    /// Times of the retries of each manager.
    retry_times: HashMap<usize, Vec<Instant>>,
    violations: Vec<Violation>,
    next_attempt: u64,
}

/// The state of a run, shared by all stand-ins.
pub struct World {
    /// Time at which the run started.
    pub start: Instant,
    /// Steps of the wall clock.
    pub steps: Vec<ClockStep>,
    state: Mutex<State>,
    /// Longest recent scheduling delay of this process, in microseconds.
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

    /// Scheduling delay of this process: an event may have happened this much earlier than its recorded time.
    pub fn lag(&self) -> Duration {
        Duration::from_micros(self.lag_us.load(Ordering::Relaxed))
    }

    /// Measures [`World::lag`] during the run, as the maximum over about one second.
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

    /// Records a violation of a rule.
    pub fn report_violation(&self, rule: Rule, detail: String) {
        self.add_violation(&mut self.state(), rule, detail);
    }

    fn add_violation(&self, state: &mut State, rule: Rule, detail: String) {
        if state.violations.len() < MAX_VIOLATIONS {
            state.violations.push(Violation { rule, at: self.start.elapsed(), detail });
        }
    }

    /// A client has written the last byte of a request.
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
        // A request that crossed the close of an idle connection is sent again.
        record.deadline = record.deadline.max(deadline);
    }

    /// A client has closed its connection, or cancelled its request.
    pub fn client_gone(&self, id: u64) {
        if let Some(request) = self.state().requests.get_mut(&id) {
            request.client_gone_at.get_or_insert_with(Instant::now);
        }
    }

    /// An engine has read an attempt, which is checked against the rules. Returns the attempt's id, for
    /// [`World::attempt_ended`], or `None` if no client sent the request.
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

    /// An attempt has ended: it was answered or cancelled, or its connection ended.
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

    /// Checks, at the end of the run, that no two attempts of a request were in flight at once.
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

    /// The next list event was added to the feed.
    pub fn event_pushed(&self) {
        self.state().pushed.push(Instant::now());
    }

    /// An event was written to a manager.
    pub fn event_delivered(&self, manager: usize, event: u64) {
        self.state().delivered.entry((manager, event)).or_insert_with(Instant::now);
    }

    /// A manager's process has started; its configuration holds the events up to `last_known`.
    pub fn manager_started(&self, manager: usize, last_known: u64) {
        let mut state = self.state();
        state.delivered.retain(|(owner, _), _| *owner != manager);
        for event in 1..=last_known {
            state.delivered.insert((manager, event), Instant::now());
        }
        state.request_times.remove(&manager);
        state.retry_times.remove(&manager);
    }

    /// An engine is listed by this event: as ready, or as draining or gone.
    pub fn engine_listed(&self, engine: &str, is_ready: bool, event: u64) {
        let mut state = self.state();
        let record = state.engines.entry(engine.to_owned()).or_default();
        record.drained_by = if is_ready { None } else { record.drained_by.or(Some(event)) };
    }

    /// An engine has started cold: it may get `max_requests` requests in each `window` up to `until`.
    pub fn engine_started(&self, engine: &str, max_requests: f64, window: Duration, until: Instant) {
        let cold_start =
            ColdStart { max_requests, until, window, started_attempts: Vec::new(), is_reported: false };
        self.state().engines.entry(engine.to_owned()).or_default().cold_start = Some(cold_start);
    }

    /// Managers that made retries, each with the times of its requests and of its retries.
    pub fn retry_times(&self) -> Vec<(usize, Vec<Instant>, Vec<Instant>)> {
        let state = self.state();
        let times = state.retry_times.iter().map(|(manager, retries)| {
            let requests = state.request_times.get(manager).cloned().unwrap_or_default();
            (*manager, requests, retries.clone())
        });
        times.collect()
    }

    /// Violations recorded so far.
    pub fn violations(&self) -> Vec<Violation> {
        self.state().violations.clone()
    }

    /// Number of requests sent, and of attempts that engines received.
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

/// Number of attempts that a cold engine got in its window, if it exceeds the limit for the first time.
fn attempts_above_slow_start(state: &mut State, engine: &str, now: Instant) -> Option<usize> {
    let cold = state.engines.get_mut(engine)?.cold_start.as_mut()?;
    if now > cold.until {
        return None;
    }
    cold.started_attempts.push(now);
    cold.started_attempts.retain(|started_at| now - *started_at <= cold.window);
    let count = cold.started_attempts.len();
    let is_over = count as f64 > cold.max_requests
        && !std::mem::replace(&mut cold.is_reported, count as f64 > cold.max_requests);
    is_over.then_some(count)
}
