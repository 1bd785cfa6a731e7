//! Declarations of which parts of its schema version a reader uses.

use crate::limits::{MAX_NAME_BYTES, MAX_PATH_STEPS, MAX_USAGE_PATHS};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// The encoding in which a reader receives records.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub enum RecordEncoding {
    /// Binary protobuf: names do not matter.
    #[default]
    Binary,
    /// Protobuf JSON: names matter, so that a rename needs a translation.
    Json,
}

/// The parts of its schema version that a reader uses: everything, or only the named paths. Fields marked
/// `needed` are always used.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct ReaderUsage {
    /// Paths such as `fleet.Event/permit.until_ms`, in the names of the reader's version; a path without
    /// fields stands for the complete message, and a path that ends at a field of message type for all fields
    /// of that message. A map entry is not a separate step (`fleet.View/members.zone`). `None`: everything.
    pub paths: Option<BTreeSet<String>>,
    /// Whether the reader tolerates unknown values of an open enum or a oneof where the schema does not
    /// specify it.
    pub tolerant: bool,
    /// The encoding in which the reader receives records.
    pub encoding: RecordEncoding,
}

impl ReaderUsage {
    /// Usage of a reader that uses everything, in binary form, and fails on unknown values.
    #[must_use]
    pub fn all() -> Self {
        Self::default()
    }

    /// Usage of a reader that uses only the given paths, otherwise as [`ReaderUsage::all`].
    #[must_use]
    pub fn of(paths: &[&str]) -> Self {
        Self { paths: Some(paths.iter().map(|path| path.to_string()).collect()), ..Self::default() }
    }

    /// The same usage by a reader that tolerates unknown values.
    #[must_use]
    pub fn tolerant(self) -> Self {
        Self { tolerant: true, ..self }
    }

    /// The same usage by a reader of records in JSON.
    #[must_use]
    pub fn json(self) -> Self {
        Self { encoding: RecordEncoding::Json, ..self }
    }

    /// Checks the declaration against [`MAX_USAGE_PATHS`], [`MAX_PATH_STEPS`] and [`MAX_NAME_BYTES`].
    ///
    /// # Errors
    /// A limit is exceeded; the error says which.
    pub fn check_limits(&self) -> Result<(), UsageError> {
        let Some(paths) = &self.paths else { return Ok(()) };
        if paths.len() > MAX_USAGE_PATHS {
            return Err(UsageError::TooManyPaths { count: paths.len() });
        }
        for path in paths {
            let fields = path.split_once('/').map_or("", |(_, fields)| fields);
            if fields.split('.').count() > MAX_PATH_STEPS || path.len() > MAX_PATH_STEPS * MAX_NAME_BYTES {
                let start = path.chars().take(SHOWN_PATH_CHARS).collect();
                return Err(UsageError::PathTooLong { start });
            }
        }
        Ok(())
    }
}

/// Number of characters of an overlong path that its error shows.
const SHOWN_PATH_CHARS: usize = 80;

/// Why a usage declaration is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UsageError {
    /// The declaration has more paths than [`MAX_USAGE_PATHS`].
    #[error("usage declaration has {count} paths, at most {MAX_USAGE_PATHS} are allowed")]
    TooManyPaths {
        /// Number of declared paths.
        count: usize,
    },
    /// A path has more than [`MAX_PATH_STEPS`] steps, or more than [`MAX_PATH_STEPS`] * [`MAX_NAME_BYTES`]
    /// bytes.
    #[error("usage path {start} is longer than {MAX_PATH_STEPS} steps")]
    PathTooLong {
        /// The first characters of the path.
        start: String,
    },
}

/// A reader's use of one message or field during a traversal.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub(crate) enum UsageNode {
    Unused,
    All,
    /// The reader uses some fields: index into the parts of the tree.
    Part(usize),
}

/// The paths of a usage declaration as a tree, for traversal alongside a schema.
pub(crate) struct UsageTree {
    /// Uses by field name, for each message of which some fields are used.
    parts: Vec<BTreeMap<String, UsageNode>>,
    /// Uses by message name.
    roots: BTreeMap<String, UsageNode>,
    /// Whether the reader uses everything.
    all: bool,
}

impl UsageTree {
    pub(crate) fn from_usage(usage: &ReaderUsage) -> Self {
        let mut tree = Self { parts: Vec::new(), roots: BTreeMap::new(), all: usage.paths.is_none() };
        for path in usage.paths.iter().flatten() {
            let (root, fields) = path.split_once('/').unwrap_or((path, ""));
            let mut steps = fields.split('.').filter(|step| !step.is_empty()).peekable();
            let first = tree.roots.get(root).copied();
            let mut current_part = match (first, steps.peek()) {
                (Some(UsageNode::All), _) => continue,
                (_, None) => {
                    tree.roots.insert(root.to_string(), UsageNode::All);
                    continue;
                }
                (Some(UsageNode::Part(part)), _) => part,
                _ => {
                    let part = tree.add_part();
                    tree.roots.insert(root.to_string(), UsageNode::Part(part));
                    part
                }
            };
            while let Some(step) = steps.next() {
                let child = tree.parts[current_part].get(step).copied();
                current_part = match (child, steps.peek()) {
                    (Some(UsageNode::All), _) => break,
                    (_, None) => {
                        tree.parts[current_part].insert(step.to_string(), UsageNode::All);
                        break;
                    }
                    (Some(UsageNode::Part(part)), _) => part,
                    _ => {
                        let part = tree.add_part();
                        tree.parts[current_part].insert(step.to_string(), UsageNode::Part(part));
                        part
                    }
                };
            }
        }
        tree
    }

    fn add_part(&mut self) -> usize {
        self.parts.push(BTreeMap::new());
        self.parts.len() - 1
    }

    pub(crate) fn root(&self, message: &str) -> UsageNode {
        if self.all {
            return UsageNode::All;
        }
        self.roots.get(message).copied().unwrap_or(UsageNode::Unused)
    }

    pub(crate) fn field(&self, message: UsageNode, field: &str) -> UsageNode {
        match message {
            UsageNode::Part(part) => self.parts[part].get(field).copied().unwrap_or(UsageNode::Unused),
            other => other,
        }
    }

    /// The declared message names.
    pub(crate) fn roots(&self) -> impl Iterator<Item = &String> {
        self.roots.keys()
    }

    /// The declared field names of one message.
    pub(crate) fn fields(&self, message: UsageNode) -> impl Iterator<Item = &String> {
        let part = match message {
            UsageNode::Part(part) => self.parts.get(part),
            _ => None,
        };
        part.into_iter().flat_map(BTreeMap::keys)
    }
}
