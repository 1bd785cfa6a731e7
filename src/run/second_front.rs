//! The operator's file: settings of the second front. Without the file the second front is off.

use super::certificates::{self, CertificateConfig, RetryBackoff};
use crate::front::FrontConfig;
use crate::run::descriptor_budget::TooFewDescriptors;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Maximum number of sessions of the second front if the file has no `max_sessions`.
const DEFAULT_MAX_SESSIONS: usize = 64;
/// Without `max_sessions` in the file, the second front's maximum number of sessions is also at most that of
/// the platform's front divided by this.
const SESSIONS_DIVISOR: usize = 4;
/// Highest value of `max_sessions` in the file.
const MAX_SESSIONS: u64 = 256;
/// Maximum number of connections of the second front without a session slot.
const MAX_SESSIONLESS: usize = 8;
/// Maximum number of evicted connections of the second front that still hold a slot.
const MAX_EVICTED: usize = 2;
/// Seconds before expiry at which a certificate is renewed if the file has no value: 30 days.
const DEFAULT_RENEW_BEFORE_S: f64 = 30.0 * 86_400.0;
/// Seconds from a failed order of a certificate to the first retry if the file has no value.
const DEFAULT_FIRST_RETRY_S: f64 = 60.0;
/// Seconds of the longest pause between two orders of a certificate if the file has no value.
const DEFAULT_MAX_RETRY_S: f64 = 3_600.0;
/// Longest duration that the file may set, in seconds: a leap year.
const MAX_SECONDS: f64 = 366.0 * 86_400.0;
/// Names of the fields that the file may have.
const FIELDS: [&str; 6] = ["listen", "max_sessions", "default_class", "default_tenant", "tls", "acme"];
/// Names of the fields that the file may have under `acme`.
const ACME_FIELDS: [&str; 8] =
    ["directory", "trust_root", "names", "contact", "challenge_listen", "store", "renew_before_s", "retry_s"];

/// Settings of the second front, as read from the operator's file.
#[derive(Debug)]
pub struct SecondFrontConfig {
    /// Address on which clients of the second front connect.
    pub listen: String,
    /// Limits, defaults and TLS mode of the front; classes and tenants are the platform's.
    pub front: FrontConfig,
    /// How certificates are obtained; without it the second front has no TLS.
    pub certificates: Option<CertificateConfig>,
}

impl SecondFrontConfig {
    /// Maximum number of descriptors that the second front holds: its listener, its connections, and those
    /// for certificates.
    pub fn descriptors(&self) -> usize {
        let certificates = self.certificates.as_ref().map_or(0, |_| certificates::MAX_DESCRIPTORS);
        1 + self.front.max_connections() + certificates
    }
}

/// Reason why an operator's file is invalid.
#[derive(Debug, thiserror::Error)]
pub enum SecondFrontError {
    /// The text is not JSON.
    #[error("operator's file")]
    Json(#[source] serde_json::Error),
    /// A field is invalid.
    #[error("operator's file: {field}: {reason}")]
    Field {
        /// Path of the field, such as `acme.names`.
        field: String,
        /// Reason why the field is invalid.
        reason: FieldError,
    },
    /// The limit on descriptors is too low for the second front.
    #[error(
        "operator's file: max_sessions: the second front needs {needed} descriptors: limits.sockets is {limit}, and \
         {sufficient} would do", limit = .too_few.limit, sufficient = .too_few.sufficient
    )]
    TooManyDescriptors {
        /// Maximum number of descriptors that the second front holds.
        needed: usize,
        /// The configured limit, and the lowest sufficient one.
        too_few: TooFewDescriptors,
    },
}

/// Reason why a field is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldError {
    /// The field is absent or not a string.
    #[error("missing")]
    Missing,
    /// The format of the file has no field of this name.
    #[error("is not known")]
    Unknown,
    /// The value is not an object.
    #[error("is no object")]
    NotAnObject,
    /// The value is not a list of strings.
    #[error("is not a list of strings")]
    NotAListOfTexts,
    /// The configuration has no class or tenant of this name.
    #[error("names none that is configured")]
    NotConfigured,
    /// The number of sessions is not a whole number in its range.
    #[error("is no number from 1 to {MAX_SESSIONS}")]
    SessionCount,
    /// A duration is not a number of seconds from 0 to a leap year.
    #[error("is not a number of seconds from 0 to a leap year")]
    Seconds,
    /// The TLS mode is unknown, or it is `required` without certificates.
    #[error("is neither allowed nor required, or acme is missing")]
    TlsMode,
    /// The URL of the authority's directory is absent, or does not begin with `https://`.
    #[error("is missing, or not https")]
    Directory,
    /// The list of names to certify is empty.
    #[error("holds no name")]
    NoName,
    /// A file or folder does not exist.
    #[error("does not exist")]
    NoSuchPath,
    /// The field is a string that is not a socket address; the value is the string.
    #[error("{0:?} is no address")]
    InvalidAddress(String),
    /// `challenge_listen` of `acme` is absent or not a socket address.
    #[error("is no address")]
    NotAnAddress,
}

/// Reads an operator's file; `platform` is the configuration of the platform's front, which supplies classes
/// and tenants.
///
/// # Errors
/// The first invalid field.
pub fn parse(text: &str, platform: &FrontConfig) -> Result<SecondFrontConfig, SecondFrontError> {
    let json: Value = serde_json::from_str(text).map_err(SecondFrontError::Json)?;
    let file = Section { prefix: "", json: &json };
    file.check_fields(&FIELDS)?;
    let listen = file.address("listen")?;
    let default_class = file
        .configured_name("default_class", |name| platform.classes.iter().any(|class| class.name == name))?;
    let default_tenant =
        file.configured_name("default_tenant", |name| platform.tenants.iter().any(|tenant| tenant == name))?;
    let max_sessions = file.max_sessions(platform)?;
    let certificates = match &json["acme"] {
        Value::Null => None,
        acme => Some(parse_certificates(acme)?),
    };
    let front = FrontConfig {
        require_tls: file.require_tls(certificates.is_some())?,
        max_sessions,
        max_evicted: MAX_EVICTED,
        max_sessionless: MAX_SESSIONLESS,
        allows_extended_queries: true,
        default_class,
        default_tenant,
        ..platform.clone()
    };
    Ok(SecondFrontConfig { listen, front, certificates })
}

fn parse_certificates(json: &Value) -> Result<CertificateConfig, SecondFrontError> {
    let acme = Section { prefix: "acme.", json };
    acme.check_fields(&ACME_FIELDS)?;
    let directory = json["directory"].as_str().filter(|directory| directory.starts_with("https://"));
    let directory = directory.ok_or_else(|| acme.error("directory", FieldError::Directory))?.to_owned();
    let names = acme.strings("names")?;
    if names.is_empty() {
        return Err(acme.error("names", FieldError::NoName));
    }
    Ok(CertificateConfig {
        directory,
        trust_root: acme.existing_path("trust_root")?,
        names,
        store: acme.existing_path("store")?,
        contact: acme.strings("contact")?,
        challenge_listen: acme
            .address("challenge_listen")
            .map_err(|_| acme.error("challenge_listen", FieldError::NotAnAddress))?,
        renew_before: acme.seconds("renew_before_s", &json["renew_before_s"], DEFAULT_RENEW_BEFORE_S)?,
        retry: RetryBackoff {
            first: acme.seconds("retry_s", &json["retry_s"][0], DEFAULT_FIRST_RETRY_S)?,
            max: acme.seconds("retry_s", &json["retry_s"][1], DEFAULT_MAX_RETRY_S)?,
        },
    })
}

/// An object in the file, and the prefix of its fields' paths.
struct Section<'a> {
    prefix: &'static str,
    json: &'a Value,
}

impl Section<'_> {
    fn error(&self, field: &str, reason: FieldError) -> SecondFrontError {
        SecondFrontError::Field { field: format!("{}{field}", self.prefix), reason }
    }

    /// Checks that every field of the object is in `fields`.
    fn check_fields(&self, fields: &[&str]) -> Result<(), SecondFrontError> {
        let map = self.json.as_object().ok_or_else(|| self.error("", FieldError::NotAnObject))?;
        match map.keys().find(|key| !fields.contains(&key.as_str())) {
            Some(key) => Err(self.error(key, FieldError::Unknown)),
            None => Ok(()),
        }
    }

    fn address(&self, field: &str) -> Result<String, SecondFrontError> {
        let text = self.json[field].as_str().ok_or_else(|| self.error(field, FieldError::Missing))?;
        match text.parse::<SocketAddr>() {
            Ok(_) => Ok(text.to_owned()),
            Err(_) => Err(self.error(field, FieldError::InvalidAddress(text.to_owned()))),
        }
    }

    /// The class or tenant that a field names, for which `is_configured` must be true; `None` if the field is
    /// absent.
    fn configured_name(
        &self,
        field: &str,
        is_configured: impl Fn(&str) -> bool,
    ) -> Result<Option<String>, SecondFrontError> {
        match &self.json[field] {
            Value::Null => Ok(None),
            Value::String(name) if is_configured(name) => Ok(Some(name.clone())),
            _ => Err(self.error(field, FieldError::NotConfigured)),
        }
    }

    fn max_sessions(&self, platform: &FrontConfig) -> Result<usize, SecondFrontError> {
        match &self.json["max_sessions"] {
            Value::Null => Ok(DEFAULT_MAX_SESSIONS.min(platform.max_sessions / SESSIONS_DIVISOR).max(1)),
            number => match number.as_u64() {
                Some(sessions @ 1..=MAX_SESSIONS) => Ok(sessions as usize),
                _ => Err(self.error("max_sessions", FieldError::SessionCount)),
            },
        }
    }

    /// Whether sessions must use TLS; by default they must if there are certificates.
    fn require_tls(&self, has_certificates: bool) -> Result<bool, SecondFrontError> {
        match &self.json["tls"] {
            Value::Null => Ok(has_certificates),
            Value::String(mode) if mode == "required" && has_certificates => Ok(true),
            Value::String(mode) if mode == "allowed" => Ok(false),
            _ => Err(self.error("tls", FieldError::TlsMode)),
        }
    }

    /// The strings in a list; empty if the field is absent or not a list.
    fn strings(&self, field: &str) -> Result<Vec<String>, SecondFrontError> {
        let list = self.json[field].as_array().map_or(&[][..], Vec::as_slice);
        let strings: Option<Vec<String>> =
            list.iter().map(|value| value.as_str().map(str::to_owned)).collect();
        strings.ok_or_else(|| self.error(field, FieldError::NotAListOfTexts))
    }

    fn seconds(&self, field: &str, value: &Value, default: f64) -> Result<Duration, SecondFrontError> {
        let seconds = match value {
            Value::Null => Some(default),
            value => value.as_f64().filter(|seconds| (0.0..=MAX_SECONDS).contains(seconds)),
        };
        let seconds = seconds.ok_or_else(|| self.error(field, FieldError::Seconds))?;
        Ok(Duration::from_secs_f64(seconds))
    }

    /// The file or folder in a field, which must exist; `None` if the field is absent.
    fn existing_path(&self, field: &str) -> Result<Option<PathBuf>, SecondFrontError> {
        let Some(path) = self.json[field].as_str().map(PathBuf::from) else { return Ok(None) };
        match path.exists() {
            true => Ok(Some(path)),
            false => Err(self.error(field, FieldError::NoSuchPath)),
        }
    }
}
