//! The rules by name, and the findings and violations that name them.

use std::fmt;

macro_rules! rules {
    ($($(#[$doc:meta])* $variant:ident = $name:literal,)*) => {
        /// A rule. Its name is stable: logs, settings and operators speak of it by name
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
    /// A field that readers use is gone.
    FieldRemovedInUse = "FIELD_REMOVED_IN_USE",
    /// A field has another number than before.
    FieldRenumbered = "FIELD_RENUMBERED",
    /// A number is given to another field than the one that had it in any version.
    FieldNumberReused = "FIELD_NUMBER_REUSED",
    /// A name that a removed field had comes back under another number.
    FieldNameReused = "FIELD_NAME_REUSED",
    /// A field has another name, declared.
    FieldRenamed = "FIELD_RENAMED",
    /// A field that readers cannot do without may be absent in what is written.
    FieldNeededMissing = "FIELD_NEEDED_MISSING",
    /// Types that have nothing in common, or only bytes.
    TypeChanged = "TYPE_CHANGED",
    /// Some values of the written type cannot be represented in the read one.
    TypeNarrowed = "TYPE_NARROWED",
    /// Every value can be represented, but is encoded differently.
    TypeReencoded = "TYPE_REENCODED",
    /// One value, many, or a map.
    CardinalityChanged = "CARDINALITY_CHANGED",
    /// Readers distinguish an absent field from the default, writers do not.
    PresenceChanged = "PRESENCE_CHANGED",
    /// An absent field means another value.
    DefaultChanged = "DEFAULT_CHANGED",
    /// Fields that may be set together are read as members of one oneof.
    OneofJoined = "ONEOF_JOINED",
    /// A oneof may hold a member that readers do not know.
    OneofMemberUnknown = "ONEOF_MEMBER_UNKNOWN",
    /// New values lie outside of what old readers were promised.
    RangeWidened = "RANGE_WIDENED",
    /// Old values lie outside of what new readers are promised.
    RangeNarrowed = "RANGE_NARROWED",
    /// New lengths lie outside of what old readers were promised.
    LengthWidened = "LENGTH_WIDENED",
    /// Old lengths lie outside of what new readers are promised.
    LengthNarrowed = "LENGTH_NARROWED",
    /// A number that some version reserved is used.
    ReservedNumberUsed = "RESERVED_NUMBER_USED",
    /// A name that some version reserved is used.
    ReservedNameUsed = "RESERVED_NAME_USED",
    /// A reservation is gone.
    ReservedDropped = "RESERVED_DROPPED",
    /// Old readers do not know an enum's new value.
    EnumValueAdded = "ENUM_VALUE_ADDED",
    /// New readers do not know a value that old records hold.
    EnumValueRemoved = "ENUM_VALUE_REMOVED",
    /// An enum's number means another value.
    EnumNumberReused = "ENUM_NUMBER_REUSED",
    /// An enum's value has another number.
    EnumValueRenumbered = "ENUM_VALUE_RENUMBERED",
    /// The publisher marked that the meaning changed.
    MeaningChanged = "MEANING_CHANGED",
    /// A published message is gone.
    MessageRemovedInUse = "MESSAGE_REMOVED_IN_USE",
    /// A published message has another name, declared.
    MessageRenamed = "MESSAGE_RENAMED",
    /// A published message is in another package, not declared.
    PackageRenamed = "PACKAGE_RENAMED",
    /// A reader's declaration names what its version does not have.
    UseUnknown = "USE_UNKNOWN",
    /// The translation failed on a sample record.
    TranslationFailed = "TRANSLATION_FAILED",
    /// The comparison would exceed a limit: counts as a break.
    BoundExceeded = "BOUND_EXCEEDED",
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Who writes and who reads.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Direction {
    /// The newer version writes, the older reads.
    Down,
    /// The older version writes (or wrote), the newer reads.
    Up,
    /// Neither: the new schema against all that were before it.
    History,
}

impl Direction {
    /// `down`, `up` or `history`.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Direction::Down => "down",
            Direction::Up => "up",
            Direction::History => "history",
        }
    }
}

/// The severity of a finding; the most severe one decides.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Severity {
    /// Informational: no reader breaks.
    Note,
    /// The reader needs a translation.
    Translate,
    /// Breaks the reader.
    Break,
}

impl Severity {
    /// `note`, `translate` or `break`.
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
    /// The rule.
    pub rule: Rule,
    /// Where: `package.Message/field.field`, in the reader's names.
    pub path: String,
    /// Who writes and who reads.
    pub direction: Direction,
    /// Its severity.
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
    /// Where, as in [`Finding::path`].
    pub path: String,
    /// The rule.
    pub rule: Rule,
    /// Readers that would break: up to [`crate::limits::MAX_NAMED_READERS`] subscriber names, or the
    /// description of a version.
    pub affected: Vec<String>,
    /// How many readers would break.
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
