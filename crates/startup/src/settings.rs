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
use sprucelink_settings::{InvalidField, SettingsFile};

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

impl SettingsFile for ColdStart {
    const SUBJECT: &'static str = "cold start";

    fn validate(&self) -> Result<(), InvalidField> {
        self.lists.validate().map_err(|invalid| invalid.in_section("lists"))?;
        self.dials.validate().map_err(|invalid| invalid.in_section("dials"))?;
        self.first_load.validate().map_err(|invalid| invalid.in_section("first_load"))?;
        self.admission.validate().map_err(|invalid| invalid.in_section("admission"))?;
        self.held.validate().map_err(|invalid| invalid.in_section("held"))?;
        self.ready.validate().map_err(|invalid| invalid.in_section("ready"))
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
        let e = ColdStart::parse("{ enabled: true, list: {} }").unwrap_err().to_string();
        assert!(e.contains("unknown field") && e.contains("list"), "{e}");
        let e = ColdStart::parse("{ dials: { stage_ms: 900 } }").unwrap_err().to_string();
        assert!(e.contains("dials.stage_ms"), "{e}");
        let e = ColdStart::parse(
            "{ lists: { refused: { initial_ms: 0, multiplier: 1.6, jitter: 0.2, max_ms: 9 } } }",
        );
        let e = e.unwrap_err().to_string();
        assert!(e.contains("lists.refused.initial_ms"), "{e}");
        let e = ColdStart::parse("{ enabled: yes }").unwrap_err().to_string();
        assert!(e.starts_with("cold start:"), "{e}");
    }
}
