use super::{estimated_threads, EngineLoad};
use crate::events::LoadReport;
use crate::load_estimate::MeanLoad;
use sprucelink_time::Timestamp;

const CORES: f64 = 10.0;
const MEAN: MeanLoad = MeanLoad { even_per_core: 0.6, others_per_core: 0.5 };

fn at_millis(millis: i64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn load_with_report(report: LoadReport, threads: Option<f64>) -> EngineLoad {
    let mut load = EngineLoad::default();
    load.record_report(at_millis(0), &report, threads, CORES, MEAN);
    load
}

#[test]
fn report_fades_into_the_mean() {
    let queries = LoadReport { queries_in_flight: Some(8.0), ..LoadReport::default() };
    let load = load_with_report(queries, Some(8.0));
    let threads =
        |millis: i64| estimated_threads(1.0, 5.0, 6.0, load.report_weight(at_millis(millis)), &load);
    assert!((threads(0) - 9.0).abs() < 1e-9, "own threads and those of the report");
    assert!((threads(4_000) - (6.0 + 3.0 / std::f64::consts::E)).abs() < 1e-9, "its weight is 1/e after 4 s");
    assert!((threads(100_000) - 6.0).abs() < 1e-6, "own threads and the mean");
}

#[test]
fn saturated_cores_count_as_at_least_the_even_load() {
    let busy = LoadReport { busy_core_fraction: Some(0.9), ..LoadReport::default() };
    let load = load_with_report(busy, Some(9.0));
    assert!(load.is_excess_load_unknown());
    assert_eq!(estimated_threads(0.0, 5.0, 30.0, 1.0, &load), 30.0);
    assert_eq!(estimated_threads(0.0, 5.0, 6.0, 1.0, &load), 9.0);
}

#[test]
fn report_of_waiting_queries_alone_adds_them_to_the_mean() {
    let waiting = LoadReport { queries_waiting_for_memory: Some(3.0), ..LoadReport::default() };
    let load = load_with_report(waiting, None);
    assert_eq!(load.others_threads(), 5.0);
    assert_eq!(estimated_threads(0.0, 5.0, 6.0, 1.0, &load), 8.0);
}

#[test]
fn overdue_attempt_marks_an_engine_full_only_without_a_fresh_report() {
    let idle = LoadReport { queries_in_flight: Some(0.0), ..LoadReport::default() };
    let mut load = load_with_report(idle, Some(0.0));
    load.assume_full_unless_reported(at_millis(1_000), CORES);
    assert_eq!(load.others_threads(), 0.0, "the report is one second old");
    load.assume_full_unless_reported(at_millis(1_001), CORES);
    assert_eq!(load.others_threads(), 40.0, "four threads per core");
    assert_eq!(load.report_age_secs(at_millis(1_001)), Some(0.0));
}
