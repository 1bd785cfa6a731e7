//! Tests of rendering the metrics in the platform's format.

use sprucelink_metrics::{MetricError, Metrics, MAX_CLASSES};

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|n| (*n).to_owned()).collect()
}

#[test]
fn all_metrics_are_rendered_from_the_start_in_the_platforms_format() {
    let metrics = Metrics::try_new(&names(&["lane-rate", "tariff-load"])).unwrap();
    let zeros = "edge.abandoned=0\nedge.discovered=0\nedge.ejected=0\nedge.forwards=0\nedge.outstanding=0\n\
                 edge.results.lane-rate.aborted=0\nedge.results.lane-rate.declined=0\n\
                 edge.results.lane-rate.succeeded=0\nedge.results.tariff-load.aborted=0\n\
                 edge.results.tariff-load.declined=0\nedge.results.tariff-load.succeeded=0\nedge.unclassed=0\n";
    assert_eq!(metrics.render(), zeros);
    let active = metrics.start_request(1);
    metrics.start_request(0).succeed();
    metrics.start_request(0).reject();
    metrics.start_request(7).succeed();
    metrics.start_request(1).abandon();
    drop(metrics.start_request(1));
    metrics.record_forward();
    metrics.set_discovered(8);
    metrics.set_ejected(2);
    let text = metrics.render();
    for line in [
        "edge.abandoned=1",
        "edge.discovered=8",
        "edge.ejected=2",
        "edge.forwards=1",
        "edge.outstanding=1",
        "edge.results.lane-rate.declined=1",
        "edge.results.lane-rate.succeeded=1",
        "edge.results.tariff-load.aborted=1",
        "edge.unclassed=1",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} missing in\n{text}");
    }
    assert_eq!(text.lines().count(), 12);
    active.succeed();
    assert_eq!((metrics.outstanding(), metrics.request_counts(1).unwrap().succeeded), (0, 1));
}

#[test]
fn invalid_class_names_are_rejected_at_construction() {
    let many_classes: Vec<String> = (0..=MAX_CLASSES).map(|n| format!("c{n}")).collect();
    assert_eq!(Metrics::try_new(&many_classes).unwrap_err(), MetricError::TooManyClasses(MAX_CLASSES + 1));
    assert!(Metrics::try_new(&many_classes[1..]).is_ok());
    assert!(matches!(Metrics::try_new(&names(&["a", "a"])), Err(MetricError::ReservedName(_))));
    assert!(matches!(Metrics::try_new(&names(&["a=1\nb"])), Err(MetricError::InvalidName(_))));
    assert_eq!(Metrics::try_new(&names(&[""])).unwrap_err(), MetricError::EmptyName);
}
