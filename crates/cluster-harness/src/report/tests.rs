//! Tests of the table, of the time until requests are served, and of the chart.

use super::*;

#[test]
fn the_csv_line_matches_the_header_and_the_json_is_valid() {
    let report = Report { scenario: "x".into(), served: 7, ..Report::default() };
    assert_eq!(Report::head().split(',').count(), report.line().split(',').count());
    let json: serde_json::Value = serde_json::from_str(&report.json()).expect("json");
    assert_eq!((json["scenario"].as_str(), json["served"].as_f64()), (Some("x"), Some(7.0)));
}

#[test]
fn the_start_is_over_after_the_last_bucket_below_the_serving_fraction() {
    let outcomes =
        Outcomes { issued: vec![10; 6], served: vec![0, 10, 5, 10, 10, 10], ..Outcomes::default() };
    assert_eq!(outcomes.seconds_to_serving(1), 0.75);
    // Three buckets are joined: 15 of 30 requests, then 30 of 30 requests were served.
    assert_eq!(outcomes.seconds_to_serving(30), 0.75);
    let all_served = Outcomes { issued: vec![10; 3], served: vec![10; 3], ..Outcomes::default() };
    assert_eq!(all_served.seconds_to_serving(1), 0.0);
}

#[test]
fn a_chart_is_an_svg_with_labelled_lines() {
    let dir = std::env::temp_dir().join(format!("sprucelink-chart-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let path = dir.join("c.svg");
    let lines = vec![Series { name: "served", values: vec![1.0, 2.0, 3.0] }];
    chart(&path, "title", &[("requests", lines)]).expect("drawn");
    let svg = std::fs::read_to_string(&path).expect("read");
    assert!(svg.starts_with("<svg") && svg.contains("served") && svg.contains("polyline"));
    std::fs::remove_dir_all(&dir).expect("removed");
}
