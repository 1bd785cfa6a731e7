//! Tests of `report`.

use super::*;

#[test]
fn the_row_fits_its_head_and_is_json_too() {
    let r = Report { scenario: "x".into(), served: 7, ..Report::default() };
    assert_eq!(Report::head().split(',').count(), r.line().split(',').count());
    let v: serde_json::Value = serde_json::from_str(&r.json()).expect("json");
    assert_eq!((v["scenario"].as_str(), v["served"].as_f64()), (Some("x"), Some(7.0)));
}

#[test]
fn a_start_is_over_after_the_last_bad_bucket() {
    let o = Outcomes { issued: vec![10; 6], served: vec![0, 10, 5, 10, 10, 10], ..Outcomes::default() };
    assert_eq!(o.seconds_to_serving(1), 0.75);
    // Joined by three: 15 of 30, then 30 of 30.
    assert_eq!(o.seconds_to_serving(30), 0.75);
    let good = Outcomes { issued: vec![10; 3], served: vec![10; 3], ..Outcomes::default() };
    assert_eq!(good.seconds_to_serving(1), 0.0);
}

#[test]
fn a_chart_is_an_svg_with_its_lines_named() {
    let dir = std::env::temp_dir().join(format!("sprucelink-chart-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let path = dir.join("c.svg");
    let lines = vec![Series { name: "served", values: vec![1.0, 2.0, 3.0] }];
    chart(&path, "title", &[("requests", lines)]).expect("drawn");
    let svg = std::fs::read_to_string(&path).expect("read");
    assert!(svg.starts_with("<svg") && svg.contains("served") && svg.contains("polyline"));
    std::fs::remove_dir_all(&dir).expect("removed");
}
