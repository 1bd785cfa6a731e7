//! What is known of every request, engine and manager while a run goes on.

use crate::clock::ClockStep;
use crate::judge::{Rule, Violation, TRANSIT};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Classes of the deployment under test, by number.
pub const CLASSES: [Class; 3] = [
    Class { name: "lane-rate", repeat: Repeat::Safe },
    Class { name: "tariff-load", repeat: Repeat::Keyed },
    Class { name: "fee-post", repeat: Repeat::Never },
];
/// How long a keyed request may be sent again.
pub const KEYED_WINDOW: Duration = Duration::from_secs(3);
/// After the client has gone an attempt may begin for this long.
const GONE_GRACE: Duration = Duration::from_millis(100);
/// Slack on the deadline that an engine is sent.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// Grace of a drain, with the platform's slack.
const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// An event of the list counts as delivered after this, whether it arrived or not.
const DELIVERED_AT_LATEST: Duration = Duration::from_secs(7);
/// Two attempts of one request are out at once only if the first one's end has not come this long after the second began:
/// the two ends of different connections may be read in either order.
const OVERLAP_LOOK: Duration = Duration::from_millis(60);
/// Violations that are kept.
const MAX_VIOLATIONS: usize = 10_000;

/// Whether a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// At any time.
    Safe,
    /// Within [`KEYED_WINDOW`].
    Keyed,
    /// Not once it may have run.
    Never,
}

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Its name in the settings.
    pub name: &'static str,
    /// Whether it may be repeated.
    pub repeat: Repeat,
}

/// One attempt, as an engine saw it.
#[derive(Clone, Debug)]
struct AttemptRecord {
    number: u64,
    begun: Instant,
    ended: Option<Instant>,
    /// The engine said that it never ran.
    never_ran: bool,
}

/// One request, as its client sent it.
#[derive(Clone, Debug)]
struct RequestRecord {
    manager: usize,
    class: usize,
    deadline: Instant,
    gone_at: Option<Instant>,
    attempts: Vec<AttemptRecord>,
}

/// One engine, as the list and its own process have it.
#[derive(Clone, Debug, Default)]
struct EngineRecord {
    /// The event that said that it drains or is gone.
    drained_by: Option<u64>,
    /// When its process started late, and how many requests of mean work it may get in the window of slow start.
    cold: Option<ColdStart>,
}

#[derive(Clone, Debug)]
struct ColdStart {
    bound: f64,
    until: Instant,
    window: Duration,
    begun: Vec<Instant>,
    is_reported: bool,
}

#[derive(Default)]
struct State {
    requests: HashMap<u64, RequestRecord>,
    engines: HashMap<String, EngineRecord>,
    /// When each event of the list was put into the feed, by its number from 1.
    pushed: Vec<Instant>,
    /// When each was written to a manager: by manager and event.
    delivered: HashMap<(usize, u64), Instant>,
    /// Times of requests and retries of each manager.
    taken: HashMap<usize, Vec<Instant>>,
    retried: HashMap<usize, Vec<Instant>>,
    violations: Vec<Violation>,
    next_attempt: u64,
}

/// The state of a run, shared by all stand-ins.
pub struct World {
    /// When the run started.
    pub start: Instant,
    /// Steps of the wall clock.
    pub steps: Vec<ClockStep>,
    state: Mutex<State>,
    /// The longest delay by which this process was scheduled of late, in microseconds.
    lag_us: AtomicU64,
}

impl World {
    /// A run that starts now.
    pub fn new(steps: Vec<ClockStep>) -> World {
        World { start: Instant::now(), steps, state: Mutex::default(), lag_us: AtomicU64::new(0) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How late this process itself runs: what it times may be that much later than it was.
    pub fn lag(&self) -> Duration {
        Duration::from_micros(self.lag_us.load(Ordering::Relaxed))
    }

    /// Measures [`World::lag`] for as long as the run goes on; the highest of the last second counts.
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

    /// Notes a violation.
    pub fn violate(&self, rule: Rule, detail: String) {
        self.note(&mut self.state(), rule, detail);
    }

    fn note(&self, state: &mut State, rule: Rule, detail: String) {
        if state.violations.len() < MAX_VIOLATIONS {
            state.violations.push(Violation { rule, at: self.start.elapsed(), detail });
        }
    }

    /// A client has written the last byte of a request.
    pub fn request_sent(&self, id: u64, manager: usize, class: usize, timeout: Duration) {
        let now = Instant::now();
        let mut state = self.state();
        let deadline = now + timeout;
        state.taken.entry(manager).or_default().push(now);
        let record = state.requests.entry(id).or_insert(RequestRecord {
            manager,
            class,
            deadline,
            gone_at: None,
            attempts: Vec::new(),
        });
        // A request that crossed the close of a resting connection was sent again.
        record.deadline = record.deadline.max(deadline);
    }

    /// A client has closed its connection, or cancelled.
    pub fn client_gone(&self, id: u64) {
        if let Some(request) = self.state().requests.get_mut(&id) {
            request.gone_at.get_or_insert_with(Instant::now);
        }
    }

    /// An engine has read an attempt; its number, by which its end is reported. `None` for a request that no client sent.
    pub fn attempt_begun(&self, engine: &str, id: u64, wait: Duration) -> Option<u64> {
        let lag = self.lag() + TRANSIT;
        let now = Instant::now();
        let mut guard = self.state();
        let state = &mut *guard;
        state.next_attempt += 1;
        let number = state.next_attempt;
        let request = state.requests.get_mut(&id)?;
        let mut broken = Vec::new();
        if let Some(gone) = request.gone_at.filter(|gone| now > *gone + GONE_GRACE + lag) {
            broken.push((Rule::SentAfterClientGone, format!("{:?} after it", now - gone)));
        }
        if now + wait > request.deadline + DEADLINE_SLACK + lag {
            let excess = now + wait - request.deadline;
            broken.push((Rule::LateDeadline, format!("sent {wait:?}, {excess:?} more than is left")));
        }
        let may_have_run =
            request.attempts.iter().find(|attempt| !attempt.never_ran).map(|first| first.begun);
        match (CLASSES[request.class].repeat, may_have_run) {
            (Repeat::Never, Some(first)) => {
                broken.push((Rule::UnsafeRepeat, format!("{:?} after the first", now - first)));
            }
            (Repeat::Keyed, Some(first)) if now > first + KEYED_WINDOW + lag => {
                broken.push((Rule::UnsafeRepeat, format!("keyed, {:?} after the first", now - first)));
            }
            _ => {}
        }
        let manager = request.manager;
        if !request.attempts.is_empty() {
            state.retried.entry(manager).or_default().push(now);
        }
        let record = AttemptRecord { number, begun: now, ended: None, never_ran: false };
        state.requests.get_mut(&id)?.attempts.push(record);
        if let Some(late) = late_send(state, engine, manager, now, lag) {
            broken.push((Rule::SentToDraining, format!("{engine}: {late:?} after its delivery")));
        }
        if let Some(count) = over_slow_start(state, engine, now) {
            broken.push((Rule::SlowStart, format!("{engine}: {count} requests in the window")));
        }
        for (rule, detail) in broken {
            self.note(state, rule, format!("manager {manager}, request {id:016x}: {detail}"));
        }
        Some(number)
    }

    /// An attempt has ended: answered, given up, or its connection is over.
    pub fn attempt_ended(&self, id: u64, number: u64, never_ran: bool) {
        if let Some(request) = self.state().requests.get_mut(&id) {
            if let Some(attempt) =
                request.attempts.iter_mut().find(|a| a.number == number && a.ended.is_none())
            {
                attempt.ended = Some(Instant::now());
                attempt.never_ran = never_ran;
            }
        }
    }

    /// Checks, at the end, that no two attempts of a request were out at once.
    pub fn check_overlaps(&self) {
        let mut guard = self.state();
        let mut overlaps = Vec::new();
        for (id, request) in &guard.requests {
            for pair in request.attempts.windows(2) {
                let ended = pair[0].ended.unwrap_or_else(Instant::now);
                if ended > pair[1].begun + OVERLAP_LOOK + self.lag() {
                    let excess = ended - pair[1].begun;
                    overlaps.push(format!("manager {}, request {id:016x}: {excess:?}", request.manager));
                }
            }
        }
        for detail in overlaps {
            self.note(&mut guard, Rule::ConcurrentAttempts, detail);
        }
    }

    /// Events of the list that were put into the feed.
    pub fn event_pushed(&self) {
        self.state().pushed.push(Instant::now());
    }

    /// An event was written to a manager.
    pub fn event_delivered(&self, manager: usize, event: u64) {
        self.state().delivered.entry((manager, event)).or_insert_with(Instant::now);
    }

    /// A manager's process has started again; it knows the events up to this one from its configuration.
    pub fn manager_started(&self, manager: usize, known: u64) {
        let mut state = self.state();
        state.delivered.retain(|(owner, _), _| *owner != manager);
        for event in 1..=known {
            state.delivered.insert((manager, event), Instant::now());
        }
        state.taken.remove(&manager);
        state.retried.remove(&manager);
    }

    /// An engine is listed as ready, drained or gone by this event.
    pub fn engine_listed(&self, engine: &str, is_ready: bool, event: u64) {
        let mut state = self.state();
        let record = state.engines.entry(engine.to_owned()).or_default();
        record.drained_by = if is_ready { None } else { record.drained_by.or(Some(event)) };
    }

    /// An engine has started cold: it may get `bound` requests in each `window` up to `until`.
    pub fn engine_started(&self, engine: &str, bound: f64, window: Duration, until: Instant) {
        let cold = ColdStart { bound, until, window, begun: Vec::new(), is_reported: false };
        self.state().engines.entry(engine.to_owned()).or_default().cold = Some(cold);
    }

    /// Times of the requests and the retries of each manager.
    pub fn retry_times(&self) -> Vec<(usize, Vec<Instant>, Vec<Instant>)> {
        let state = self.state();
        let times = state.retried.iter().map(|(manager, retries)| {
            let taken = state.taken.get(manager).cloned().unwrap_or_default();
            (*manager, taken, retries.clone())
        });
        times.collect()
    }

    /// All violations so far.
    pub fn violations(&self) -> Vec<Violation> {
        self.state().violations.clone()
    }

    /// Requests that were sent, and attempts that engines saw.
    pub fn totals(&self) -> (usize, usize) {
        let state = self.state();
        (state.requests.len(), state.requests.values().map(|request| request.attempts.len()).sum())
    }
}

/// How long after the engine's drain counted as delivered to this manager an attempt began, where that is too long.
fn late_send(state: &State, engine: &str, manager: usize, now: Instant, lag: Duration) -> Option<Duration> {
    let event = state.engines.get(engine)?.drained_by?;
    let pushed = *state.pushed.get(usize::try_from(event).ok()?.checked_sub(1)?)?;
    let at_latest = pushed + DELIVERED_AT_LATEST;
    let delivered_at = state.delivered.get(&(manager, event)).map_or(at_latest, |at| (*at).min(at_latest));
    let late = now.checked_duration_since(delivered_at)?;
    (late > DRAIN_GRACE + lag).then_some(late)
}

/// How many attempts a cold engine got in its window, where these are too many.
fn over_slow_start(state: &mut State, engine: &str, now: Instant) -> Option<usize> {
    let cold = state.engines.get_mut(engine)?.cold.as_mut()?;
    if now > cold.until {
        return None;
    }
    cold.begun.push(now);
    cold.begun.retain(|begun| now - *begun <= cold.window);
    let count = cold.begun.len();
    let is_over =
        count as f64 > cold.bound && !std::mem::replace(&mut cold.is_reported, count as f64 > cold.bound);
    is_over.then_some(count)
}
