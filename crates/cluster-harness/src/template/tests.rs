//! Tests that templates in texts and JSON values are filled, and that unknown ones are errors.

use super::*;

#[test]
fn templates_in_texts_and_values_are_filled_and_other_text_is_unchanged() {
    let variables = [("name", "n2".to_owned()), ("clock_offset_ms", "-250".to_owned())].into();
    let peers = [("council".to_owned(), vec![("n0".to_owned(), "127.0.0.1:9".to_owned())])].into();
    let values = Values { variables, peers };
    assert_eq!(values.fill("{name}/{a b}{ {peers:council}"), Ok("n2/{a b}{ n0=127.0.0.1:9".into()));
    assert_eq!(values.fill("{at:council:n0}"), Ok("127.0.0.1:9".into()));
    assert!(values.fill("{at:council:n7}").is_err() && values.fill("{folder}").is_err());
    let file =
        json!({ "me": "{name}", "offset": "{clock_offset_ms}", "peers": ["{peers_json:council}"], "n": 1 });
    let filled = json!({ "me": "n2", "offset": -250,
        "peers": [[{ "name": "n0", "address": "127.0.0.1:9" }]], "n": 1 });
    assert_eq!(values.fill_value(&file), Ok(filled));
    let is_port = |p: &str| p == "council";
    assert!(check_value(&file, &is_port).is_ok());
    assert!(check("{at:council}", &is_port).is_err() && check("{peers:x}", &is_port).is_err());
}
