//! Start-up settings, read from the operator's JSON5 file, such as `deploy/cold-start.json5`.
//!
//! Every field has a default. Unknown fields and numbers out of range are rejected by name.

use crate::admission::AdmissionConfig;
use crate::dial_pacer::DialPacerConfig;
use crate::endpoint_list_guard::EndpointListGuardConfig;
use crate::endpoint_poller::EndpointPollerConfig;
use crate::first_load::FirstLoadConfig;
use crate::readiness::ReadinessConfig;
use serde::{Deserialize, Serialize};
use sprucelink_settings::{InvalidField, SettingsFile};

/// All start-up settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StartupConfig {
    /// Whether start-up control is on.
    pub enabled: bool,
    /// Schedule of the polls of the endpoint list.
    #[serde(rename = "lists")]
    pub endpoint_poller: EndpointPollerConfig,
    /// Pacing of new connections to engines.
    #[serde(rename = "dials")]
    pub dial_pacer: DialPacerConfig,
    /// Ramp of the load that this manager puts on engines in slow start after its own start.
    pub first_load: FirstLoadConfig,
    /// Admission of requests during warm-up.
    pub admission: AdmissionConfig,
    /// Treatment of endpoint lists that are older than the current list.
    #[serde(rename = "held")]
    pub endpoint_list_guard: EndpointListGuardConfig,
    /// Conditions for the manager to report that it is ready.
    #[serde(rename = "ready")]
    pub readiness: ReadinessConfig,
}

impl SettingsFile for StartupConfig {
    /// Name of these settings in error messages.
    const SUBJECT: &'static str = "cold start";

    fn validate(&self) -> Result<(), InvalidField> {
        self.endpoint_poller.validate().map_err(|invalid| invalid.in_section("lists"))?;
        self.dial_pacer.validate().map_err(|invalid| invalid.in_section("dials"))?;
        self.first_load.validate().map_err(|invalid| invalid.in_section("first_load"))?;
        self.admission.validate().map_err(|invalid| invalid.in_section("admission"))?;
        self.endpoint_list_guard.validate().map_err(|invalid| invalid.in_section("held"))?;
        self.readiness.validate().map_err(|invalid| invalid.in_section("ready"))
    }
}
