//! A certificate chain with its private key.

use super::error::InvalidCertificate;
use std::sync::Arc;
use std::time::Duration;
use tokio_rustls::rustls::crypto::ring::default_provider;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::TlsAcceptor;
use x509_parser::certificate::X509Certificate;
use x509_parser::extensions::GeneralName;

/// Upper limit of the time before expiry at which a certificate is renewed, as a fraction of the
/// certificate's lifetime. Otherwise a certificate with a short lifetime would be due for renewal as soon as
/// it is issued.
const MAX_RENEW_BEFORE_FRACTION: f64 = 1.0 / 3.0;

/// A certificate chain and its private key, both PEM.
pub struct Certificate {
    chain: String,
    key: String,
    /// Start of the validity, in Unix seconds.
    not_before: i64,
    /// End of the validity, in Unix seconds.
    not_after: i64,
    dns_names: Vec<String>,
}

impl Certificate {
    /// Reads the validity and the DNS names from the first certificate of the chain; the key is not checked.
    ///
    /// # Errors
    /// A chain whose first certificate cannot be read.
    pub fn parse(chain: String, key: String) -> Result<Certificate, InvalidCertificate> {
        let leaf = CertificateDer::from_pem_slice(chain.as_bytes()).map_err(InvalidCertificate::Pem)?;
        let (_, parsed) = x509_parser::parse_x509_certificate(&leaf).map_err(InvalidCertificate::X509)?;
        let validity = parsed.validity();
        let not_before = validity.not_before.timestamp();
        let not_after = validity.not_after.timestamp();
        let dns_names = dns_names(&parsed);
        Ok(Certificate { chain, key, not_before, not_after, dns_names })
    }

    /// The chain in PEM, as the authority issued it.
    pub fn chain(&self) -> &str {
        &self.chain
    }

    /// The private key in PEM.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Time at which the certificate expires, in Unix seconds.
    pub fn not_after(&self) -> i64 {
        self.not_after
    }

    /// Whether the certificate has expired at `now`, in Unix seconds.
    pub fn is_expired(&self, now: i64) -> bool {
        self.not_after <= now
    }

    /// Whether all `names` are DNS names of the certificate.
    pub fn covers(&self, names: &[String]) -> bool {
        names.iter().all(|name| self.dns_names.contains(name))
    }

    /// Time at which the certificate is due for renewal, in Unix seconds: `renew_before` ahead of the expiry,
    /// but not in the first two thirds of its lifetime.
    pub fn renew_at(&self, renew_before: Duration) -> i64 {
        let lifetime = (self.not_after - self.not_before) as f64;
        let max_renew_before = (lifetime * MAX_RENEW_BEFORE_FRACTION) as i64;
        self.not_after - max_renew_before.min(renew_before.as_secs() as i64)
    }

    /// Creates a TLS acceptor that presents this certificate.
    ///
    /// # Errors
    /// If the chain or the key cannot be read, or the key does not match the chain.
    pub fn acceptor(&self) -> Result<TlsAcceptor, InvalidCertificate> {
        let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(self.chain.as_bytes()).collect();
        let chain = chain.map_err(InvalidCertificate::Pem)?;
        let key = PrivateKeyDer::from_pem_slice(self.key.as_bytes()).map_err(InvalidCertificate::Key)?;
        let config = ServerConfig::builder_with_provider(Arc::new(default_provider()))
            .with_safe_default_protocol_versions()?
            .with_no_client_auth()
            .with_single_cert(chain, key)?;
        Ok(TlsAcceptor::from(Arc::new(config)))
    }
}

/// The DNS names among a certificate's subject alternative names.
fn dns_names(certificate: &X509Certificate) -> Vec<String> {
    let Ok(Some(extension)) = certificate.subject_alternative_name() else { return Vec::new() };
    let names = extension.value.general_names.iter().filter_map(|name| match name {
        GeneralName::DNSName(name) => Some((*name).to_owned()),
        _ => None,
    });
    names.collect()
}
