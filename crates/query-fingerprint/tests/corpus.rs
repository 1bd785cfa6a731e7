//! Tests that the statements of `corpus.txt` have the expected facts, that all spellings of a statement have
//! the same fingerprint, and that different statements have different fingerprints.

use proptest::prelude::*;
use sprucelink_query_fingerprint::facts::{
    data_set, qualified_tables, read_statement, StatementFacts, StatementKind,
};
use sprucelink_query_fingerprint::lex::{token, tokens, TokenKind};
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

/// A statement of the corpus with its expected facts.
struct Entry {
    kind: StatementKind,
    data_sets: Vec<u64>,
    /// Properties, each as a letter; see [`flags`].
    flags: String,
    /// The statement and other spellings of it.
    spellings: Vec<String>,
}

fn corpus() -> Vec<Entry> {
    let mut entries: Vec<Entry> = Vec::new();
    for line in include_str!("corpus.txt").lines().filter(|line| !line.is_empty() && !line.starts_with('#')) {
        let parts: Vec<&str> = line.splitn(4, " | ").collect();
        let kind = KINDS.iter().find(|(name, _)| *name == parts[0]).filter(|_| parts.len() == 4);
        if let Some((_, kind)) = kind {
            let data_sets = parts[1].split(',').filter_map(|number| number.parse().ok()).collect();
            let (flags, spellings) = (parts[2].trim_matches('-').to_owned(), vec![parts[3].to_owned()]);
            entries.push(Entry { kind: *kind, data_sets, flags, spellings });
            continue;
        }
        let entry = entries.last_mut().expect("a previous statement");
        match line.strip_prefix("~ ") {
            Some(spelling) => entry.spellings.push(spelling.to_owned()),
            // The spelling continues on another line.
            None => {
                let last = entry.spellings.last_mut().expect("a spelling");
                last.push('\n');
                last.push_str(line);
            }
        }
    }
    entries
}

/// The properties of a statement, each as a letter as in the corpus.
fn flags(facts: &StatementFacts) -> String {
    let flags = [
        (facts.may_write, 'w'),
        (facts.may_load, 'l'),
        (facts.takes_locks, 'k'),
        (facts.aggregates, 'a'),
        (facts.sorts, 's'),
        (facts.has_limit, 'm'),
        (facts.joins > 0, 'j'),
    ];
    flags.iter().filter(|(is_set, _)| *is_set).map(|(_, letter)| letter).collect()
}

fn sorted(text: &str) -> Vec<char> {
    let mut letters: Vec<char> = text.chars().collect();
    letters.sort_unstable();
    letters
}

#[test]
fn corpus_statement_has_the_expected_facts_in_every_spelling() {
    let mut wrong = Vec::new();
    for entry in corpus() {
        for spelling in &entry.spellings {
            let facts = read_statement(spelling);
            if (facts.kind, &facts.data_sets) != (entry.kind, &entry.data_sets)
                || sorted(&flags(&facts)) != sorted(&entry.flags)
            {
                wrong.push(format!(
                    "{spelling}\n  {:?} {:?} {:?}, expected {:?} {:?} {:?}",
                    facts.kind,
                    facts.data_sets,
                    flags(&facts),
                    entry.kind,
                    entry.data_sets,
                    entry.flags
                ));
            }
            assert_eq!(facts.is_complete, facts.kind != StatementKind::Unknown, "{spelling}");
        }
    }
    assert!(wrong.is_empty(), "{} wrong:\n{}", wrong.len(), wrong.join("\n"));
}

#[test]
fn spellings_share_a_fingerprint_and_different_statements_never_do() {
    let (mut normaliser, mut statements, mut wrong) = (Normaliser::default(), BTreeMap::new(), Vec::new());
    for entry in corpus() {
        let fingerprint = normaliser.fingerprint(&entry.spellings[0]);
        let normal_form = normaliser.text().to_owned();
        for spelling in &entry.spellings[1..] {
            if normaliser.fingerprint(spelling) != fingerprint {
                wrong.push(format!("{spelling}\n  {}\n  {normal_form}", normaliser.text()));
            }
        }
        if let Some(other) = statements.insert(fingerprint, entry.spellings[0].clone()) {
            wrong.push(format!("same fingerprint: {other}\n  and {}\n  {normal_form}", entry.spellings[0]));
        }
    }
    assert!(wrong.is_empty(), "{} wrong:\n{}", wrong.len(), wrong.join("\n"));
}

/// A statement of the corpus, and another spelling of it with other white space, comments and case.
fn respelled() -> impl Strategy<Value = (String, String)> {
    let texts: Vec<String> = corpus().into_iter().flat_map(|entry| entry.spellings).collect();
    let separator = prop::sample::select(vec![
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
    (prop::sample::select(texts), prop::collection::vec((separator, any::<bool>()), 8)).prop_map(
        |(text, styles)| {
            let mut lexed = Vec::new();
            assert!(tokens(&text, 10_000, &mut lexed));
            let mut out = String::new();
            for (index, token) in lexed.iter().enumerate() {
                let raw = &text[token.start..token.end];
                let (separator, is_upper_case) = styles[index % styles.len()];
                let is_adjacent = index > 0 && lexed[index - 1].end == token.start;
                // White space is replaced, but none is added between adjacent tokens such as `a.b` and `::`.
                if !is_adjacent {
                    // Directly after an operator, a comment would be read as part of the operator or as
                    // another comment.
                    out.push_str(if separator.starts_with(['-', '/']) { " " } else { "" });
                    out.push_str(separator);
                }
                let is_word = token.kind == TokenKind::Word && raw.is_ascii();
                out.push_str(&if is_word && is_upper_case {
                    raw.to_ascii_uppercase()
                } else {
                    raw.to_owned()
                });
            }
            (text, out)
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::with_cases(1500) })]

    #[test]
    fn another_spelling_never_changes_the_fingerprint((text, other) in respelled()) {
        let mut normaliser = Normaliser::default();
        let fingerprint = normaliser.fingerprint(&text);
        let normal_form = normaliser.text().to_owned();
        prop_assert_eq!(normaliser.fingerprint(&other), fingerprint, "{}\n{}\n{}", other, normaliser.text(), normal_form);
    }

    /// The parser finds all data sets that the lexer finds, if it parses the statement completely.
    #[test]
    fn lexer_and_parser_agree_on_data_sets((text, other) in respelled()) {
        let facts = read_statement(&other);
        prop_assert_eq!(&facts.data_sets, &read_statement(&text).data_sets);
        if facts.is_complete {
            let mut lexed = Vec::new();
            tokens(&other, 10_000, &mut lexed);
            for number in qualified_tables(&other, &lexed).iter().filter_map(|table| data_set(&table.schema)) {
                prop_assert!(facts.data_sets.contains(&number), "{number}: {other}");
            }
        }
    }

    /// Any text, truncated anywhere, is read without a panic, and every byte belongs to one token.
    #[test]
    fn any_text_is_tokenised_completely_without_panic(text in "\\PC{0,200}", cut in 0_usize..200) {
        let cut = (0..=cut.min(text.len())).rev().find(|index| text.is_char_boundary(*index)).unwrap_or(0);
        let text = &text[..cut];
        let mut offset = 0;
        while let Some(token) = token(text, offset) {
            prop_assert!(token.start == offset && token.end > offset && text.is_char_boundary(token.end));
            offset = token.end;
        }
        prop_assert_eq!(offset, text.len());
        Normaliser::default().fingerprint(text);
        read_statement(text);
    }

    /// A statement of the corpus is read without a panic if it is truncated anywhere or a character is
    /// inserted. A statement that cannot be parsed counts as one that may write, also in bulk.
    #[test]
    fn truncated_or_altered_statement_is_read_without_panic((text, _) in respelled(), cut in 0_usize..400, inserted in "\\PC") {
        let cut = (0..=cut.min(text.len())).rev().find(|index| text.is_char_boundary(*index)).unwrap_or(0);
        read_statement(&text[..cut]);
        let altered = format!("{}{inserted}{}", &text[..cut], &text[cut..]);
        Normaliser::default().fingerprint(&altered);
        let facts = read_statement(&altered);
        prop_assert!(facts.is_complete || facts.may_write && facts.may_load, "an unknown statement counts as a load");
    }
}

/// Deeply nested or very long statements must not overflow the stack or take long; they are of unknown kind.
#[test]
fn deep_or_long_statement_is_unknown_and_does_not_overflow_the_stack() {
    let nested = |open: &str, close: &str, depth: usize| {
        format!("SELECT {}1{} FROM rates_17.lanes", open.repeat(depth), close.repeat(depth))
    };
    for (text, is_complete) in [
        (nested("(", ")", 20), true),
        (nested("(", ")", 5_000), false),
        (nested("[", "", 3_000), false),
        (nested("- ", "", 3_000), false),
        (nested("NOT ", "", 1_500), false),
        (nested("CASE WHEN a THEN ", " END", 500), false),
        (format!("SELECT 1{} FROM rates_17.lanes", " + 1".repeat(900)), true),
        (format!("SELECT 1{} FROM rates_17.lanes", " + 1".repeat(20_000)), false),
        (format!("{} SELECT 1 FROM rates_17.lanes", "/*".repeat(20_000)), false),
        (format!("SELECT '{}", "'".repeat(20_001)), false),
    ] {
        let facts = read_statement(&text);
        assert_eq!(facts.is_complete, is_complete, "{}", &text[..60]);
        assert!(is_complete || facts.may_write, "{}", &text[..60]);
        let mut normaliser = Normaliser::default();
        normaliser.fingerprint(&text);
    }
    let mut normaliser = Normaliser::default();
    let long = format!("SELECT 1 FROM rates_17.lanes WHERE a IN ({}1)", "1,".repeat(MAX_TEXT_BYTES));
    normaliser.fingerprint(&long);
    assert!(!normaliser.is_complete());
    // Statements with lists of any length have the same fingerprint, as long as they are within the maximum
    // length.
    let list = |values: usize| format!("SELECT 1 FROM rates_17.lanes WHERE a IN ({}1)", "1,".repeat(values));
    assert_eq!(normaliser.fingerprint(&list(0)), normaliser.fingerprint(&list(7_000)));
    assert_eq!(
        read_statement(&list(5_000)).data_sets,
        [17],
        "the data set is known even if the statement is too long for the parser"
    );
}
