//! Tests of finding releases, halts and schemas by a scenario's marks.

use super::*;
use serde_json::json;

#[test]
fn a_halt_names_the_version_of_its_release() {
    let marks: Marks = json5::from_str(
        "{ only: { '/outcome/rule': null }, release: { record: 'start', id: '/number', version: '/to' },
           halt: { record: 'halt', id: '/release', release: '/release' },
           halt_over: { record: 'resume', id: '/release' },
           schema: { record: 'schema', publisher: '/by', reads: '/reads' } }",
    )
    .expect("read");
    let mut releases = KnownReleases::default();
    let halt = json!({ "release": 7 });
    assert_eq!(releases.events_of(&marks, "halt", &halt), [], "a halt of an unknown release");
    let rejected_release = json!({ "number": 7, "to": "v9", "outcome": { "rule": "busy" } });
    assert_eq!(releases.events_of(&marks, "start", &rejected_release), []);
    releases.events_of(&marks, "start", &json!({ "number": "7", "to": "v2" }));
    let id = || "7".to_owned();
    assert_eq!(
        releases.events_of(&marks, "halt", &halt),
        [Event::Halted { id: id(), version: Some("v2".into()) }]
    );
    assert_eq!(releases.events_of(&marks, "resume", &halt), [Event::HaltLifted { id: id() }]);
    let schema = json!({ "by": "lists", "reads": ["1", "2"] });
    let reads = vec!["1".into(), "2".into()];
    assert_eq!(
        releases.events_of(&marks, "schema", &schema),
        [Event::SchemaActivated { publisher: "lists".into(), reads }]
    );
}
