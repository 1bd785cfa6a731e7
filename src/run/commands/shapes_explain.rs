//! `sprucelink shapes explain`: prints the fingerprint of a statement and the facts derived from it.

use super::output::print_line;
use serde_json::json;
use sprucelink_query_fingerprint::cache::Bounds;
use sprucelink_query_fingerprint::facts::StatementFacts;
use sprucelink_query_fingerprint::statement_cache::StatementCache;

/// Prints the fingerprint, the normal form and the facts.
pub fn run(statement: &str, as_json: bool) {
    let statement_shape =
        StatementCache::new(Bounds { entries: 1, bytes: usize::MAX }).get_or_read(statement);
    if as_json {
        return print_line(&json!(*statement_shape).to_string());
    }
    print_line(&format!("fingerprint  {}", statement_shape.fingerprint));
    print_line(&format!("normal form  {}", statement_shape.text));
    print_facts(&statement_shape.facts);
}

fn print_facts(facts: &StatementFacts) {
    let partial = match facts.is_complete {
        true => "",
        false => ", not read whole: what follows is certain, and there may be more",
    };
    print_line(&format!("kind         {:?}{partial}", facts.kind));
    print_line(&format!("reads        {}", join_or_none(&facts.reads)));
    print_line(&format!("writes       {}", join_or_none(&facts.writes)));
    print_line(&format!("data sets    {:?}", facts.data_sets));
    print_line(&format!("calls        {}", join_or_none(&facts.calls)));
    print_line(&format!("joins        {}", facts.joins));
    print_line(&format!("it           {}", join_or_none(&properties(facts))));
}

/// Descriptions of the properties that a statement has.
fn properties(facts: &StatementFacts) -> Vec<String> {
    let properties = [
        (facts.may_write, "may write"),
        (facts.may_load, "may load"),
        (facts.takes_locks, "locks"),
        (facts.aggregates, "aggregates"),
        (facts.sorts, "sorts"),
        (facts.has_limit, "limits its rows"),
    ];
    properties.iter().filter(|(holds, _)| *holds).map(|(_, name)| (*name).to_owned()).collect()
}

fn join_or_none(names: &[String]) -> String {
    match names.is_empty() {
        true => "none".to_owned(),
        false => names.join(", "),
    }
}
