//! The cold start's settings: a JSON5 file of the operator's, such as `deploy/cold-start.json5`.
//!
//! Every field has a default; a field that is not known is refused by name, and so is a figure out of its
//! range, so that a typing error never passes as a setting.

use crate::admission::AdmissionTerms;
use crate::dials::DialTerms;
use crate::first_load::FirstLoadTerms;
use crate::held::HeldTerms;
use crate::lists::ListTerms;
use crate::ready::ReadyTerms;
use serde::{Deserialize, Serialize};

/// All settings of the cold start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ColdStart {
    /// Whether the cold start is on; off, the program calls and dials as it did before.
    pub enabled: bool,
    /// Calls for lists.
    pub lists: ListTerms,
    /// New connections to engines.
    pub dials: DialTerms,
    /// First load on cold engines.
    pub first_load: FirstLoadTerms,
    /// Requests taken in hand while a start warms.
    pub admission: AdmissionTerms,
    /// Lists that are older than the one held.
    pub held: HeldTerms,
    /// When a manager says that it is ready.
    pub ready: ReadyTerms,
}

impl ColdStart {
    /// Reads the settings from a JSON5 text: an error names the line and field, or the field and rule.
    pub fn parse(text: &str) -> Result<ColdStart, String> {
        let set: ColdStart = json5::from_str(text).map_err(|e| format!("cold start: {e}"))?;
        set.check()?;
        Ok(set)
    }

    /// What is wrong with the settings, if anything, by path.
    pub fn check(&self) -> Result<(), String> {
        self.lists.check().map_err(|e| format!("cold start: lists.{e}"))?;
        self.dials.check().map_err(|e| format!("cold start: dials.{e}"))?;
        self.first_load.check().map_err(|e| format!("cold start: first_load.{e}"))?;
        self.admission.check().map_err(|e| format!("cold start: admission.{e}"))?;
        self.held.check().map_err(|e| format!("cold start: held.{e}"))?;
        self.ready.check().map_err(|e| format!("cold start: ready.{e}"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_with_comments_and_some_fields_takes_defaults_for_the_rest() {
        let set = ColdStart::parse("{ // on\n enabled: true, lists: { fleet_rate: 50 }, }").expect("read");
        assert!(set.enabled);
        assert_eq!(set.lists.fleet_rate, 50.0);
        assert_eq!(set.dials, DialTerms::default());
    }

    #[test]
    fn unknown_fields_and_figures_out_of_range_are_named() {
        let e = ColdStart::parse("{ enabled: true, list: {} }").unwrap_err();
        assert!(e.contains("unknown field") && e.contains("list"), "{e}");
        let e = ColdStart::parse("{ dials: { stage_ms: 900 } }").unwrap_err();
        assert!(e.contains("dials.stage_ms"), "{e}");
        let e = ColdStart::parse(
            "{ lists: { refused: { initial_ms: 0, multiplier: 1.6, jitter: 0.2, max_ms: 9 } } }",
        );
        let e = e.unwrap_err();
        assert!(e.contains("lists.refused.initial_ms"), "{e}");
        let e = ColdStart::parse("{ enabled: yes }").unwrap_err();
        assert!(e.starts_with("cold start:"), "{e}");
    }
}
