//! Benchmark: time that the decision module takes per event, by number of engines. The results are the
//! project's baseline for this time. Run with `cargo bench -p sprucelink-policy`.
#![allow(missing_docs, reason = "criterion's macros generate functions without documentation")]

use criterion::{criterion_group, criterion_main, BatchSize, BenchmarkId, Criterion};

use sprucelink_policy::{
    Arrival, ClassId, ClassSettings, DedupGroup, Effect, EndpointUpdate, EngineEntry, EngineId, EngineState,
    Event, LoadReport, Outcome, Policy, QueryCost, ReportVia, RequestId, RetryBudgetSettings, Settings,
    TimeDelta, Timestamp,
};

/// A module with this many engines and open requests. Every request is sent to an engine; the engines are
/// half loaded.
#[expect(clippy::too_many_lines, reason = "the setup of one measurement, kept in one place")]
fn loaded_policy(engine_count: u32, open_requests: u64) -> (Policy, Timestamp) {
    let class = |threads: f64| ClassSettings {
        value: 1.0,
        late_value_fraction: 0.3,
        latency_objective: TimeDelta::from_secs_f64(1.2),
        objective_per_work: 2.0,
        deadline: TimeDelta::from_secs_f64(6.0),
        effect: Effect::Safe,
        group: DedupGroup::All,
        repeat_window: TimeDelta::ZERO,
        ordered_by_key: false,
        threads,
        loads_tables: false,
        kinds: None,
        zones: None,
    };
    let settings = Settings {
        classes: vec![class(1.0), class(3.0)],
        gateways: 3,
        report_via: ReportVia::Answers,
        reports_load: true,
        kind_cores: vec![12.0],
        priorities: true,
        grants: true,
        cancel: true,
        max_attempts: 6,
        slow_start_multiple: 2.5,
        slow_start_window: TimeDelta::from_secs_f64(2.0),
        initial_capacity_fraction: 0.3,
        slow_start_duration: TimeDelta::from_secs_f64(15.0),
        retry_budget: Some(RetryBudgetSettings {
            window: TimeDelta::from_secs_f64(5.0),
            free_retries: 3.0,
            retries_per_request: 0.1,
        }),
        ..Settings::default()
    };
    let mut now = Timestamp::from_secs_f64(1_000.0);
    let (mut policy, mut out) = (Policy::new(settings, 7, now), Vec::new());
    let entry = |number| {
        let (engine, state) = (EngineId(number), EngineState::Ready);
        EngineEntry { engine, zone: 0, kind: 0, cell: number, state, since: None }
    };
    policy.handle(
        now,
        Event::EndpointsChanged {
            kind: EndpointUpdate::Complete,
            entries: (0..engine_count).map(entry).collect(),
        },
        &mut out,
    );
    for id in 0..open_requests {
        now = now + TimeDelta::from_micros(1_000);
        policy.handle(now, arrival(id), &mut out);
    }
    (policy, now)
}

fn arrival(id: u64) -> Event {
    Event::RequestArrived(Arrival {
        id: RequestId(id),
        class: ClassId(usize::from(id.is_multiple_of(6))),
        tenant: 0,
        tables: id % 30,
        time_left: TimeDelta::from_secs_f64(6.0),
        cost: Some(0.25),
        memory_mb: Some(200.0),
        key: None,
    })
}

/// Restores a module from its stored state, so that each measurement starts from a copy.
fn restore(stored: &[u8]) -> Policy {
    rmp_serde::from_slice(stored).expect("the stored state is read back")
}

fn event_benchmarks(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("module");
    for engine_count in [8, 64, 512] {
        // Four open requests per engine, as on a busy day, but no more than a front has sessions for.
        let (policy, now) = loaded_policy(engine_count, u64::from(engine_count * 4).min(640));
        let stored = rmp_serde::to_vec_named(&policy).expect("the state is stored");
        let later = now + TimeDelta::from_micros(1_000);
        let mut out = Vec::new();
        group.bench_function(BenchmarkId::new("arrived and ended", engine_count), |bencher| {
            let mut policy = restore(&stored);
            let mut id = 1 << 32;
            bencher.iter(|| {
                id += 1;
                out.clear();
                policy.handle(later, arrival(id), &mut out);
                let ended = Event::AttemptEnded {
                    id: RequestId(id),
                    attempt: 0,
                    outcome: Outcome::Succeeded,
                    latency: TimeDelta::from_micros(200_000),
                    complete: true,
                    query_cost: Some(QueryCost { work: 0.25, memory_mb: 180.0 }),
                    report: LoadReport { queries_in_flight: Some(6.0), ..LoadReport::default() },
                };
                policy.handle(later, ended, &mut out);
            });
        });
        group.bench_function(BenchmarkId::new("timer", engine_count), |bencher| {
            bencher.iter_batched_ref(
                || restore(&stored),
                |policy| {
                    out.clear();
                    policy.handle(later, Event::Timer { token: 0 }, &mut out);
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, event_benchmarks);
criterion_main!(benches);
