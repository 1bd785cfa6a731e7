//! The corpus: every statement has the expected facts, other spellings have the same fingerprint, and no two different
//! statements share one.

use proptest::prelude::*;
use sprucelink_query_fingerprint::facts::{data_set, named, read, StatementFacts, StatementKind};
use sprucelink_query_fingerprint::lex::{token, tokens};
use sprucelink_query_fingerprint::normal::{Normaliser, MAX_TEXT_BYTES};
use std::collections::BTreeMap;

const KINDS: [(&str, StatementKind); 9] = [
    ("select", StatementKind::Select),
    ("insert", StatementKind::Insert),
    ("update", StatementKind::Update),
    ("delete", StatementKind::Delete),
    ("merge", StatementKind::Merge),
    ("copy", StatementKind::Copy),
    ("ddl", StatementKind::Ddl),
    ("utility", StatementKind::Utility),
    ("unknown", StatementKind::Unknown),
];

struct Entry {
    kind: StatementKind,
    sets: Vec<u64>,
    flags: String,
    /// The statement and other spellings of it.
    texts: Vec<String>,
}

fn corpus() -> Vec<Entry> {
    let mut all: Vec<Entry> = Vec::new();
    for line in include_str!("corpus.txt").lines().filter(|l| !l.is_empty() && !l.starts_with('#')) {
        let parts: Vec<&str> = line.splitn(4, " | ").collect();
        let kind = KINDS.iter().find(|k| k.0 == parts[0]).filter(|_| parts.len() == 4);
        if let Some((_, kind)) = kind {
            let sets = parts[1].split(',').filter_map(|n| n.parse().ok()).collect();
            let (flags, texts) = (parts[2].trim_matches('-').to_owned(), vec![parts[3].to_owned()]);
            all.push(Entry { kind: *kind, sets, flags, texts });
            continue;
        }
        let entry = all.last_mut().expect("a statement before");
        match line.strip_prefix("~ ") {
            Some(spelling) => entry.texts.push(spelling.to_owned()),
            // A spelling of several lines.
            None => {
                let last = entry.texts.last_mut().expect("one");
                last.push('\n');
                last.push_str(line);
            }
        }
    }
    all
}

fn flags(f: &StatementFacts) -> String {
    let all = [
        (f.may_write, 'w'),
        (f.load, 'l'),
        (f.locks, 'k'),
        (f.aggregates, 'a'),
        (f.sorts, 's'),
        (f.limit, 'm'),
        (f.joins > 0, 'j'),
    ];
    all.iter().filter(|a| a.0).map(|a| a.1).collect()
}

fn sorted(text: &str) -> Vec<char> {
    let mut all: Vec<char> = text.chars().collect();
    all.sort_unstable();
    all
}

#[test]
fn corpus_statement_has_the_expected_facts_in_every_spelling() {
    let mut wrong = Vec::new();
    for e in corpus() {
        for text in &e.texts {
            let f = read(text);
            if (f.kind, &f.data_sets) != (e.kind, &e.sets) || sorted(&flags(&f)) != sorted(&e.flags) {
                wrong.push(format!(
                    "{text}\n  {:?} {:?} {:?}, not {:?} {:?} {:?}",
                    f.kind,
                    f.data_sets,
                    flags(&f),
                    e.kind,
                    e.sets,
                    e.flags
                ));
            }
            assert_eq!(f.is_complete, f.kind != StatementKind::Unknown, "{text}");
        }
    }
    assert!(wrong.is_empty(), "{} wrong:\n{}", wrong.len(), wrong.join("\n"));
}

#[test]
fn spellings_share_a_fingerprint_and_different_statements_never_do() {
    let (mut n, mut seen, mut wrong) = (Normaliser::default(), BTreeMap::new(), Vec::new());
    for e in corpus() {
        let first = n.fingerprint(&e.texts[0]);
        let normal = n.text().to_owned();
        for text in &e.texts[1..] {
            if n.fingerprint(text) != first {
                wrong.push(format!("{text}\n  {}\n  {normal}", n.text()));
            }
        }
        if let Some(other) = seen.insert(first, e.texts[0].clone()) {
            wrong.push(format!("one shape: {other}\n  and {}\n  {normal}", e.texts[0]));
        }
    }
    assert!(wrong.is_empty(), "{} wrong:\n{}", wrong.len(), wrong.join("\n"));
}

/// Any statement of the corpus, and a way to write it otherwise.
fn respelled() -> impl Strategy<Value = (String, String)> {
    let texts: Vec<String> = corpus().into_iter().flat_map(|e| e.texts).collect();
    let blank = prop::sample::select(vec![
        " ",
        "\n",
        "\t ",
        "/**/",
        "/* a /* b */ ' */",
        "-- x'\n",
        "\u{a0}",
        "\u{3000} ",
        "\u{feff}",
        " \u{2028}",
    ]);
    (prop::sample::select(texts), prop::collection::vec((blank, any::<bool>()), 8)).prop_map(
        |(text, ways)| {
            let mut lexed = Vec::new();
            assert!(tokens(&text, 10_000, &mut lexed));
            let mut out = String::new();
            for (i, t) in lexed.iter().enumerate() {
                let raw = &text[t.at..t.end];
                let (blank, upper) = ways[i % ways.len()];
                let glued = i > 0 && lexed[i - 1].end == t.at;
                // Where there was space there may be other space; where there was none, nothing is put: `a.b`, `::`.
                if !glued {
                    // Behind an operator a comment would be another operator, or another comment.
                    out.push_str(if blank.starts_with(['-', '/']) { " " } else { "" });
                    out.push_str(blank);
                }
                let word = t.kind == sprucelink_query_fingerprint::lex::TokenKind::Word && raw.is_ascii();
                out.push_str(&if word && upper { raw.to_ascii_uppercase() } else { raw.to_owned() });
            }
            (text, out)
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::with_cases(1500) })]

    #[test]
    fn another_spelling_never_changes_the_fingerprint((text, other) in respelled()) {
        let mut n = Normaliser::default();
        let first = n.fingerprint(&text);
        let normal = n.text().to_owned();
        prop_assert_eq!(n.fingerprint(&other), first, "{}\n{}\n{}", other, n.text(), normal);
    }

    /// The lexer and the parser agree on data sets wherever the parser reads the statement whole.
    #[test]
    fn lexer_and_reader_agree_on_data_sets((text, other) in respelled()) {
        let f = read(&other);
        prop_assert_eq!(&f.data_sets, &read(&text).data_sets);
        if f.is_complete {
            let mut lexed = Vec::new();
            tokens(&other, 10_000, &mut lexed);
            for set in named(&other, &lexed).iter().filter_map(|table| data_set(&table.schema)) {
                prop_assert!(f.data_sets.contains(&set), "{set}: {other}");
            }
        }
    }

    /// Any text, cut anywhere: nothing panics, and every byte belongs to one token.
    #[test]
    fn any_text_is_tokenised_completely_without_panic(text in "\\PC{0,200}", cut in 0_usize..200) {
        let cut = (0..=cut.min(text.len())).rev().find(|i| text.is_char_boundary(*i)).unwrap_or(0);
        let text = &text[..cut];
        let mut at = 0;
        while let Some(t) = token(text, at) {
            prop_assert!(t.at == at && t.end > at && text.is_char_boundary(t.end));
            at = t.end;
        }
        prop_assert_eq!(at, text.len());
        Normaliser::default().fingerprint(text);
        read(text);
    }

    /// A statement of the corpus cut anywhere, or with a byte changed.
    #[test]
    fn truncated_or_altered_statement_is_read_without_panic((text, _) in respelled(), cut in 0_usize..400, with in "\\PC") {
        let cut = (0..=cut.min(text.len())).rev().find(|i| text.is_char_boundary(*i)).unwrap_or(0);
        read(&text[..cut]);
        let altered = format!("{}{with}{}", &text[..cut], &text[cut..]);
        Normaliser::default().fingerprint(&altered);
        let f = read(&altered);
        prop_assert!(f.is_complete || f.may_write && f.load, "unknown is the careful side");
    }
}

/// What nests or goes on without end costs no stack and little time, and is unknown.
#[test]
fn deep_or_long_statement_is_unknown_and_costs_no_stack() {
    let deep = |open: &str, close: &str, n: usize| {
        format!("SELECT {}1{} FROM rates_17.lanes", open.repeat(n), close.repeat(n))
    };
    for (text, is_complete) in [
        (deep("(", ")", 20), true),
        (deep("(", ")", 5_000), false),
        (deep("[", "", 3_000), false),
        (deep("- ", "", 3_000), false),
        (deep("NOT ", "", 1_500), false),
        (deep("CASE WHEN a THEN ", " END", 500), false),
        (format!("SELECT 1{} FROM rates_17.lanes", " + 1".repeat(900)), true),
        (format!("SELECT 1{} FROM rates_17.lanes", " + 1".repeat(20_000)), false),
        (format!("{} SELECT 1 FROM rates_17.lanes", "/*".repeat(20_000)), false),
        (format!("SELECT '{}", "'".repeat(20_001)), false),
    ] {
        let f = read(&text);
        assert_eq!(f.is_complete, is_complete, "{}", &text[..60]);
        assert!(is_complete || f.may_write, "{}", &text[..60]);
        let mut n = Normaliser::default();
        n.fingerprint(&text);
    }
    let mut n = Normaliser::default();
    let long = format!("SELECT 1 FROM rates_17.lanes WHERE a IN ({}1)", "1,".repeat(MAX_TEXT_BYTES));
    n.fingerprint(&long);
    assert!(!n.is_complete());
    // Lists of any length that fit have one shape.
    let list = |k: usize| format!("SELECT 1 FROM rates_17.lanes WHERE a IN ({}1)", "1,".repeat(k));
    assert_eq!(n.fingerprint(&list(0)), n.fingerprint(&list(7_000)));
    assert_eq!(
        read(&list(5_000)).data_sets,
        [17],
        "the data set is known even if the statement is too long for the parser"
    );
}
