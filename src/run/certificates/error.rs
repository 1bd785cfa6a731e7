//! Errors in loading, ordering and serving certificates.

use std::io;

/// Reason why the maintenance of certificates could not start.
#[derive(Debug, thiserror::Error)]
pub enum CertificateError {
    /// The challenge address cannot be listened on.
    #[error("listen on {address}")]
    Listen {
        /// The address as configured.
        address: String,
        /// The operating system's reason.
        source: io::Error,
    },
}

/// Reason why a certificate and its key cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InvalidCertificate {
    /// The chain is not PEM.
    #[error("certificate")]
    Pem(#[source] tokio_rustls::rustls::pki_types::pem::Error),
    /// The first certificate of the chain is not X.509.
    #[error("certificate")]
    X509(#[source] x509_parser::nom::Err<x509_parser::error::X509Error>),
    /// The key is not PEM.
    #[error("key")]
    Key(#[source] tokio_rustls::rustls::pki_types::pem::Error),
    /// The TLS library rejects the certificate or the key, or they do not match.
    #[error(transparent)]
    Tls(#[from] tokio_rustls::rustls::Error),
}

/// Reason why the certificate could not be loaded from disk.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file cannot be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The file lacks the key or the certificate.
    #[error("key or certificate missing")]
    Incomplete,
    /// The certificate in the file is invalid.
    #[error(transparent)]
    Invalid(#[from] InvalidCertificate),
}

/// Reason why an order for a certificate failed.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// The order was not complete in time.
    #[error("the order timed out")]
    Timeout,
    /// The account at the authority cannot be used or created.
    #[error("account")]
    Account(#[source] instant_acme::Error),
    /// The account's credentials cannot be serialized as JSON.
    #[error(transparent)]
    AccountFormat(#[from] serde_json::Error),
    /// The authority could not be reached, or it rejected a step of the order.
    #[error(transparent)]
    Authority(#[from] instant_acme::Error),
    /// The authority only offers other types of challenges.
    #[error("the authority offers no http-01 challenge")]
    NoHttpChallenge,
    /// The authority did not accept the responses to its challenges.
    #[error("the order has status {0:?}, expected Ready")]
    NotReady(instant_acme::OrderStatus),
    /// The certificate that the authority issued is unusable.
    #[error(transparent)]
    Invalid(#[from] InvalidCertificate),
}
