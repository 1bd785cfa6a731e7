//! What a reader uses of its version.

use crate::bounds::{MAX_NAME, MAX_PATH_STEPS, MAX_USES};
use std::collections::{BTreeMap, BTreeSet};

/// The form in which a reader gets records.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub enum Form {
    /// Protobuf's bytes: names do not matter.
    #[default]
    Binary,
    /// Protobuf's JSON: names matter, so that a rename needs a translation.
    Json,
}

/// What a reader uses: everything in its version, or what some paths name. Fields marked `needed` are always used.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Uses {
    /// Paths such as `fleet.Event/permit.until_ms`, in the names of the reader's version; a path without fields stands
    /// for the whole message, one that ends at a message's field for all below it; the entry of a map is passed over
    /// (`fleet.View/members.zone`). None: everything.
    pub paths: Option<BTreeSet<String>>,
    /// Whether the reader goes on where an open enum or a oneof holds what its version does not know and the schema
    /// does not say.
    pub tolerant: bool,
    /// The form in which records are read.
    pub form: Form,
}

impl Uses {
    /// A reader of everything, in binary form, that breaks on values unknown to it.
    #[must_use]
    pub fn all() -> Self {
        Self::default()
    }

    /// A reader of some paths, otherwise as [`Uses::all`].
    #[must_use]
    pub fn of(paths: &[&str]) -> Self {
        Self { paths: Some(paths.iter().map(|path| path.to_string()).collect()), ..Self::default() }
    }

    /// The same reader, which goes on where it meets values unknown to it.
    #[must_use]
    pub fn tolerant(self) -> Self {
        Self { tolerant: true, ..self }
    }

    /// The same reader, of records in JSON.
    #[must_use]
    pub fn json(self) -> Self {
        Self { form: Form::Json, ..self }
    }

    /// Whether the declaration keeps within [`MAX_USES`], [`MAX_PATH_STEPS`] and [`MAX_NAME`].
    ///
    /// # Errors
    /// The bound that is exceeded, in words.
    pub fn bounded(&self) -> Result<(), String> {
        let Some(paths) = &self.paths else { return Ok(()) };
        if paths.len() > MAX_USES {
            return Err(format!("{} paths of use, at most {MAX_USES} are taken", paths.len()));
        }
        for path in paths {
            let fields = path.split_once('/').map_or("", |(_, fields)| fields);
            if fields.split('.').count() > MAX_PATH_STEPS || path.len() > MAX_PATH_STEPS * MAX_NAME {
                let start: String = path.chars().take(80).collect();
                return Err(format!("path of use {start} is longer than {MAX_PATH_STEPS} steps"));
            }
        }
        Ok(())
    }
}

/// Where a walk stands in a declaration of use.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub(crate) enum Use {
    Nothing,
    All,
    /// Index into the tree.
    Part(usize),
}

/// Paths as a tree, for walks along two schemas.
pub(crate) struct UseTree {
    parts: Vec<BTreeMap<String, Use>>,
    roots: BTreeMap<String, Use>,
    all: bool,
}

impl UseTree {
    pub(crate) fn of(uses: &Uses) -> Self {
        let mut tree = Self { parts: Vec::new(), roots: BTreeMap::new(), all: uses.paths.is_none() };
        for path in uses.paths.iter().flatten() {
            let (root, fields) = path.split_once('/').unwrap_or((path, ""));
            let mut steps = fields.split('.').filter(|step| !step.is_empty()).peekable();
            let first = tree.roots.get(root).copied();
            let mut here = match (first, steps.peek()) {
                (Some(Use::All), _) => continue,
                (_, None) => {
                    tree.roots.insert(root.to_string(), Use::All);
                    continue;
                }
                (Some(Use::Part(at)), _) => at,
                _ => {
                    let at = tree.part();
                    tree.roots.insert(root.to_string(), Use::Part(at));
                    at
                }
            };
            while let Some(step) = steps.next() {
                let below = tree.parts[here].get(step).copied();
                here = match (below, steps.peek()) {
                    (Some(Use::All), _) => break,
                    (_, None) => {
                        tree.parts[here].insert(step.to_string(), Use::All);
                        break;
                    }
                    (Some(Use::Part(at)), _) => at,
                    _ => {
                        let at = tree.part();
                        tree.parts[here].insert(step.to_string(), Use::Part(at));
                        at
                    }
                };
            }
        }
        tree
    }

    fn part(&mut self) -> usize {
        self.parts.push(BTreeMap::new());
        self.parts.len() - 1
    }

    pub(crate) fn root(&self, message: &str) -> Use {
        if self.all {
            return Use::All;
        }
        self.roots.get(message).copied().unwrap_or(Use::Nothing)
    }

    pub(crate) fn field(&self, at: Use, field: &str) -> Use {
        match at {
            Use::Part(part) => self.parts[part].get(field).copied().unwrap_or(Use::Nothing),
            other => other,
        }
    }

    /// Names of roots, and of fields at one place, that are declared.
    pub(crate) fn roots(&self) -> impl Iterator<Item = &String> {
        self.roots.keys()
    }

    pub(crate) fn fields(&self, at: Use) -> impl Iterator<Item = &String> {
        let part = match at {
            Use::Part(part) => self.parts.get(part),
            _ => None,
        };
        part.into_iter().flat_map(BTreeMap::keys)
    }
}
