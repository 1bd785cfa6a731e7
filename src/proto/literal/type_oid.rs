//! Object ids of PostgreSQL's built-in types (its catalog `pg_type`).

use crate::proto::pg::TEXT;

pub(super) const BOOL: u32 = 16;
pub(super) const BYTEA: u32 = 17;
pub(super) const NAME: u32 = 19;
pub(super) const INT8: u32 = 20;
pub(super) const INT2: u32 = 21;
pub(super) const INT4: u32 = 23;
pub(super) const OID: u32 = 26;
pub(super) const JSON: u32 = 114;
pub(super) const FLOAT4: u32 = 700;
pub(super) const FLOAT8: u32 = 701;
pub(super) const UNKNOWN: u32 = 705;
pub(super) const BPCHAR: u32 = 1042;
pub(super) const VARCHAR: u32 = 1043;
pub(super) const DATE: u32 = 1082;
pub(super) const TIMESTAMP: u32 = 1114;
pub(super) const TIMESTAMPTZ: u32 = 1184;
pub(super) const NUMERIC: u32 = 1700;
pub(super) const UUID: u32 = 2950;

/// Types whose binary form is their text; 0 is a type that was not specified.
pub(super) const TEXT_TYPES: [u32; 7] = [0, UNKNOWN, JSON, NAME, TEXT, BPCHAR, VARCHAR];
