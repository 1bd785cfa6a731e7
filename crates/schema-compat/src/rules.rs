//! The rules and their stable names, and the findings and violations that refer to them.

use std::fmt;

macro_rules! rules {
    ($($(#[$doc:meta])* $variant:ident = $name:literal,)*) => {
        /// A rule. Its name is stable: logs, settings and operators refer to it by name
        /// (`docs/operators/schema-compat.md`).
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
        pub enum Rule { $($(#[$doc])* $variant,)* }

        impl Rule {
            /// All rules.
            pub const ALL: &'static [Rule] = &[$(Rule::$variant,)*];

            /// The rule's stable name.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self { $(Rule::$variant => $name,)* }
            }
        }
    };
}

rules! {
    /// A field that readers use was removed.
    FieldRemovedInUse = "FIELD_REMOVED_IN_USE",
    /// A field's number changed.
    FieldRenumbered = "FIELD_RENUMBERED",
    /// A number that a field had in any version is reused for another field.
    FieldNumberReused = "FIELD_NUMBER_REUSED",
    /// A removed field's name is reused with another number.
    FieldNameReused = "FIELD_NAME_REUSED",
    /// A field or enum value has another name, as declared.
    FieldRenamed = "FIELD_RENAMED",
    /// A field that readers need may be absent from written records.
    FieldNeededMissing = "FIELD_NEEDED_MISSING",
    /// The written and the read type have nothing in common, or only their encoding.
    TypeChanged = "TYPE_CHANGED",
    /// Some values of the written type cannot be represented in the read type.
    TypeNarrowed = "TYPE_NARROWED",
    /// Every value of the written type can be represented in the read type, but is encoded differently.
    TypeReencoded = "TYPE_REENCODED",
    /// A field changed between a single value, a list and a map.
    CardinalityChanged = "CARDINALITY_CHANGED",
    /// Readers distinguish an absent field from one that holds the default; writers do not.
    PresenceChanged = "PRESENCE_CHANGED",
    /// An absent field means different values to writers and readers.
    DefaultChanged = "DEFAULT_CHANGED",
    /// Fields that may be set together are read as members of one oneof.
    OneofJoined = "ONEOF_JOINED",
    /// A oneof may hold a member that readers do not know.
    OneofMemberUnknown = "ONEOF_MEMBER_UNKNOWN",
    /// New values may lie outside the range that old readers' version declares.
    RangeWidened = "RANGE_WIDENED",
    /// Old values may lie outside the range that new readers' version declares.
    RangeNarrowed = "RANGE_NARROWED",
    /// New lengths may lie outside the range that old readers' version declares.
    LengthWidened = "LENGTH_WIDENED",
    /// Old lengths may lie outside the range that new readers' version declares.
    LengthNarrowed = "LENGTH_NARROWED",
    /// A number that some version reserved is used.
    ReservedNumberUsed = "RESERVED_NUMBER_USED",
    /// A name that some version reserved is used.
    ReservedNameUsed = "RESERVED_NAME_USED",
    /// A reservation of an earlier version was removed.
    ReservedDropped = "RESERVED_DROPPED",
    /// Old readers do not know an enum's new value.
    EnumValueAdded = "ENUM_VALUE_ADDED",
    /// New readers do not know a value that old records hold.
    EnumValueRemoved = "ENUM_VALUE_REMOVED",
    /// An enum number stands for another value than before.
    EnumNumberReused = "ENUM_NUMBER_REUSED",
    /// An enum value's number changed.
    EnumValueRenumbered = "ENUM_VALUE_RENUMBERED",
    /// The publisher declares that the meaning changed.
    MeaningChanged = "MEANING_CHANGED",
    /// A message that readers use is no longer published.
    MessageRemovedInUse = "MESSAGE_REMOVED_IN_USE",
    /// A published message has another name, as declared.
    MessageRenamed = "MESSAGE_RENAMED",
    /// A published message moved to another package without a declaration.
    PackageRenamed = "PACKAGE_RENAMED",
    /// A reader's usage declaration names a message or field that its version does not have.
    UseUnknown = "USE_UNKNOWN",
    /// The translation failed on a sample record.
    TranslationFailed = "TRANSLATION_FAILED",
    /// The comparison would exceed a limit, which counts as a break.
    BoundExceeded = "BOUND_EXCEEDED",
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Which of two versions writes and which reads.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Direction {
    /// The newer version writes, the older version reads.
    NewToOld,
    /// The older version writes (or wrote), the newer version reads.
    OldToNew,
    /// The new schema is checked against all earlier ones, independently of readers.
    History,
}

impl Direction {
    /// The stable name: `down`, `up` or `history`.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Direction::NewToOld => "down",
            Direction::OldToNew => "up",
            Direction::History => "history",
        }
    }
}

/// The severity of a finding; the most severe finding determines the result of a check.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Severity {
    /// Informational: no reader breaks.
    Note,
    /// The reader needs a translation.
    Translate,
    /// The reader breaks.
    Break,
}

impl Severity {
    /// The stable name: `note`, `translate` or `break`.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Severity::Note => "note",
            Severity::Translate => "translate",
            Severity::Break => "break",
        }
    }
}

/// One finding of a comparison.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Finding {
    /// The rule that produced the finding.
    pub rule: Rule,
    /// Path `package.Message/field.field`, in the reader's names.
    pub path: String,
    /// The direction in which the finding applies.
    pub direction: Direction,
    /// The effect on readers.
    pub severity: Severity,
    /// Description of the finding.
    pub detail: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Finding { rule, path, direction, severity, detail } = self;
        write!(f, "{} {rule} {path} ({}): {detail}", severity.name(), direction.name())
    }
}

/// A rule that a rejected change or subscriber violates, with the readers that would break.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Violation {
    /// Path as in [`Finding::path`].
    pub path: String,
    /// The violated rule.
    pub rule: Rule,
    /// Readers that would break: up to [`crate::limits::MAX_NAMED_READERS`] subscriber names, or the
    /// description of a version.
    pub affected: Vec<String>,
    /// Number of readers that would break; may exceed the number of names in `affected`.
    pub affected_count: usize,
    /// Description of the finding.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: {}; breaks {}", self.rule, self.path, self.detail, self.affected.join(", "))?;
        if self.affected_count > self.affected.len() {
            write!(f, " and {} more", self.affected_count - self.affected.len())?;
        }
        Ok(())
    }
}
