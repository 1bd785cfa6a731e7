//! The decision module stays small enough to be ported by hand.

#[test]
fn the_module_keeps_to_its_length_and_width() {
    let text = include_str!("../src/brain.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 1000, "{lines} non-blank lines");
    for (i, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too wide", i + 1);
    }
    assert!(text.lines().take(3).any(|l| l.contains("crates/policy/src/interface.rs")));
}
