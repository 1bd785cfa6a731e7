//! Tests of parameters as literals.

use super::type_oid::{BOOL, BYTEA, DATE, FLOAT8, INT4, INT8, NUMERIC, TIMESTAMPTZ, UUID};
use super::*;

fn text_parameter(text: &str) -> Parameter {
    parse_parameter(1, 25, 0, Some(text.as_bytes())).expect("valid parameter")
}

/// A value that ends its own literal early would be executed as a part of the statement.
#[test]
fn values_cannot_end_their_literal() {
    for value in ["a'b", "'; DROP TABLE x; --", "\\", "\\'", "a\\''", "/*", "$$", "", "$1"] {
        let sql = substitute("SELECT $1;", &[text_parameter(value)], 999).expect("substituted");
        let kinds: Vec<_> = {
            let (mut rest, mut kinds) = (sql.as_str(), Vec::new());
            while let Some((kind, length)) = first_token(rest) {
                kinds.push(kind);
                rest = &rest[length..];
            }
            kinds
        };
        let expected = [Token::Name, Token::Space, Token::Opaque, Token::Other];
        assert_eq!(kinds, expected, "{value:?} gave {sql}");
    }
}

#[test]
fn literals_are_separated_from_adjacent_tokens() {
    let minus_five = parse_parameter(1, INT4, 1, Some(&(-5i32).to_be_bytes())).expect("valid parameter");
    assert_eq!(
        substitute("SELECT 1-$1,'a'$2", &[minus_five, text_parameter("x")], 99).expect("ok"),
        "SELECT 1- (-5),'a' 'x'"
    );
    let quoted = "SELECT '$1', \"$1\", $$ $1 $$ -- $1";
    assert_eq!(substitute(quoted, &[], 99).expect("ok"), quoted);
    assert_eq!(max_parameter("SELECT $3, '$9' /* $8 */, $1"), 3);
}

#[test]
fn binary_values_are_decoded() {
    let read = |oid, bytes: &[u8]| parse_parameter(1, oid, 1, Some(bytes)).map(|parameter| parameter.literal);
    assert_eq!(read(BOOL, &[1]).expect("ok"), "TRUE");
    assert_eq!(read(INT8, &7i64.to_be_bytes()).expect("ok"), "7");
    assert_eq!(read(FLOAT8, &1.5f64.to_be_bytes()).expect("ok"), "1.5");
    assert_eq!(read(FLOAT8, &f64::NAN.to_be_bytes()).expect("ok"), "'NaN'");
    assert_eq!(read(DATE, &0i32.to_be_bytes()).expect("ok"), "'2000-01-01'");
    assert_eq!(read(DATE, &(-1i32).to_be_bytes()).expect("ok"), "'1999-12-31'");
    assert_eq!(read(DATE, &9831i32.to_be_bytes()).expect("ok"), "'2026-12-01'");
    let noon = 43_200_000_000i64.to_be_bytes();
    assert_eq!(read(TIMESTAMPTZ, &noon).expect("ok"), "'2000-01-01 12:00:00.000000+00'");
    assert_eq!(read(UUID, &[0xab; 16]).expect("ok"), "'abababab-abab-abab-abab-abababababab'");
    assert_eq!(read(BYTEA, &[0, 255]).expect("ok"), "E'\\\\x00ff'");
    assert_eq!(read(NUMERIC, &[0; 8]).expect_err("unsupported").code, "0A000");
    assert_eq!(read(INT4, &[0; 3]).expect_err("short").code, "22P03");
    assert_eq!(read(25, &[0xff]).expect_err("not UTF-8").code, "22021");
    assert_eq!(parse_parameter(1, INT4, 0, Some(b"x")).expect_err("not a number").code, "22P02");
}
