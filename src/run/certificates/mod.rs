//! Certificates for the second front, obtained by ACME (RFC 8555, challenge http-01).
//!
//! A certificate is ordered at startup and renewed before it expires; a failed order is retried with
//! exponential backoff while the old certificate stays in use. [`order`] communicates with the authority,
//! [`challenge_listener`] answers its validation requests, [`store`] keeps the account and the certificate on
//! disk.

mod certificate;
mod challenge_listener;
mod error;
mod order;
mod store;

pub use error::{CertificateError, OrderError};

use super::error::with_causes;
use super::listen::listen;
use crate::front::Front;
use certificate::Certificate;
use challenge_listener::{ChallengeResponses, MAX_REQUESTS};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::{error, info, warn};

/// Maximum number of descriptors that certificates need: the listener, its requests and a request just
/// accepted, two connections to the authority and a file.
pub const MAX_DESCRIPTORS: usize = 1 + MAX_REQUESTS + 1 + 2 + 1;
/// Maximum duration of one order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(120);
/// Minimum pause after a failed order, whatever is configured: an authority that rejects orders must not be
/// flooded.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Pause before saving a certificate is retried.
const SAVE_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Maximum sleep before the wall clock is read again: suspending the machine or setting its clock changes the
/// time left until the renewal.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_secs(60);

/// Pauses after consecutive failed orders; each pause is twice as long as the previous one.
#[derive(Clone, Copy, Debug)]
pub struct RetryBackoff {
    /// Pause after the first failure.
    pub first: Duration,
    /// Maximum pause, however many orders have failed.
    pub max: Duration,
}

/// How certificates are obtained and where they are stored.
#[derive(Clone, Debug)]
pub struct CertificateConfig {
    /// URL of the authority's directory.
    pub directory: String,
    /// File with the root certificate that verifies the TLS certificate of the authority; without it the root
    /// certificates of the system are used.
    pub trust_root: Option<PathBuf>,
    /// DNS names that the certificate must cover.
    pub names: Vec<String>,
    /// Contact URLs for a new account at the authority.
    pub contact: Vec<String>,
    /// Listen address for the authority's validation requests.
    pub challenge_listen: String,
    /// Folder for the account, the key and the certificate; without it each start orders a new certificate.
    pub store: Option<PathBuf>,
    /// Time before expiry at which a certificate is renewed, limited to a third of its lifetime.
    pub renew_before: Duration,
    /// Pauses after failed orders.
    pub retry: RetryBackoff,
}

/// Seconds since the Unix epoch.
fn unix_seconds() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_secs() as i64)
}

/// Supplies a front with certificates, in tasks that never end.
///
/// # Errors
/// A challenge address that cannot be listened on.
pub async fn maintain(config: CertificateConfig, front: Rc<Front>) -> Result<(), CertificateError> {
    let address = &config.challenge_listen;
    let listener = listen(address)
        .await
        .map_err(|source| CertificateError::Listen { address: address.clone(), source })?;
    let responses = ChallengeResponses::default();
    spawn_local(challenge_listener::run(listener, responses.clone()));
    spawn_local(renew_forever(config, front, responses));
    Ok(())
}

async fn renew_forever(config: CertificateConfig, front: Rc<Front>, responses: ChallengeResponses) {
    let mut current = load_usable(&config);
    if let Some(certificate) = &current {
        if install(&front, certificate) {
            info!(not_after = certificate.not_after(), "certificate loaded");
        }
    }
    let mut retry_pause = config.retry.first;
    let mut is_saved = true;
    loop {
        let due = current.as_ref().map_or(0, |certificate| certificate.renew_at(config.renew_before));
        let now = unix_seconds();
        if now < due {
            let max_sleep = if is_saved { CLOCK_CHECK_INTERVAL } else { SAVE_RETRY_PAUSE };
            sleep(Duration::from_secs((due - now) as u64).min(max_sleep)).await;
            if let Some(certificate) = current.as_ref().filter(|_| !is_saved) {
                is_saved = save(&config, certificate);
            }
            continue;
        }
        let ordered = timeout(ORDER_TIMEOUT, order::order(&config, &responses)).await;
        responses.clear();
        match ordered.unwrap_or(Err(OrderError::Timeout)) {
            Ok(certificate) => {
                is_saved = save(&config, &certificate);
                if install(&front, &certificate) {
                    info!(not_after = certificate.not_after(), "certificate renewed");
                }
                current = Some(certificate);
                retry_pause = config.retry.first;
            }
            Err(error) => {
                let retry_after_s = retry_pause.as_secs_f64();
                warn!(retry_after_s, error = with_causes(&error), "certificate not renewed");
                sleep(retry_pause.max(MIN_RETRY_PAUSE)).await;
                retry_pause = (retry_pause * 2).min(config.retry.max);
            }
        }
    }
}

/// Loads the certificate on disk; `None` if it is missing or invalid, has expired, or lacks a configured
/// name.
fn load_usable(config: &CertificateConfig) -> Option<Certificate> {
    let certificate = store::load(config.store.as_deref()?).ok()?;
    let is_usable = !certificate.is_expired(unix_seconds()) && certificate.covers(&config.names);
    is_usable.then_some(certificate)
}

/// Writes the certificate to disk if a folder is configured; false if the write failed and must be retried.
fn save(config: &CertificateConfig, certificate: &Certificate) -> bool {
    let Some(folder) = &config.store else { return true };
    let saved = store::save(folder, certificate);
    if let Err(error) = &saved {
        warn!(%error, "certificate not saved; retrying");
    }
    saved.is_ok()
}

/// Sets the certificate for new sessions; open sessions keep the certificate of their handshake. Returns
/// false if the certificate is unusable.
fn install(front: &Front, certificate: &Certificate) -> bool {
    match certificate.acceptor() {
        Ok(acceptor) => {
            front.set_certificate(acceptor);
            true
        }
        Err(error) => {
            error!(error = with_causes(&error), "certificate unusable");
            false
        }
    }
}
