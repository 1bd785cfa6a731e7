//! Object ids of PostgreSQL's built-in types (its catalog `pg_type`), with their binary formats.

use crate::proto::pg::TEXT;

/// `boolean`: one byte, 0 or 1, in binary.
pub(super) const BOOL: u32 = 16;
/// `bytea`: the bytes themselves.
pub(super) const BYTEA: u32 = 17;
/// `name`, the type of identifiers: its text.
pub(super) const NAME: u32 = 19;
/// `bigint`: 8 bytes, big-endian.
pub(super) const INT8: u32 = 20;
/// `smallint`: 2 bytes, big-endian.
pub(super) const INT2: u32 = 21;
/// `integer`: 4 bytes, big-endian.
pub(super) const INT4: u32 = 23;
/// `oid`, an object id: 4 bytes, unsigned, big-endian.
pub(super) const OID: u32 = 26;
/// `json`: its text.
pub(super) const JSON: u32 = 114;
/// `real`: 4 bytes, IEEE 754, big-endian.
pub(super) const FLOAT4: u32 = 700;
/// `double precision`: 8 bytes, IEEE 754, big-endian.
pub(super) const FLOAT8: u32 = 701;
/// `unknown`, a literal of no type yet: its text.
pub(super) const UNKNOWN: u32 = 705;
/// `character(n)`, padded with blanks: its text.
pub(super) const BPCHAR: u32 = 1042;
/// `character varying`: its text.
pub(super) const VARCHAR: u32 = 1043;
/// `date`: days since 2000-01-01 in 4 bytes.
pub(super) const DATE: u32 = 1082;
/// `timestamp without time zone`: microseconds since 2000-01-01 in 8 bytes.
pub(super) const TIMESTAMP: u32 = 1114;
/// `timestamp with time zone`: microseconds since 2000-01-01 UTC in 8 bytes.
pub(super) const TIMESTAMPTZ: u32 = 1184;
/// `numeric`: arbitrary precision; not decoded from binary.
pub(super) const NUMERIC: u32 = 1700;
/// `uuid`: 16 bytes.
pub(super) const UUID: u32 = 2950;

/// Types whose binary form is their text; 0 is a type that was not specified.
pub(super) const TEXT_TYPES: [u32; 7] = [0, UNKNOWN, JSON, NAME, TEXT, BPCHAR, VARCHAR];
