//! Why certificates cannot be served or ordered.

use std::io;

/// A start without certificates.
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

/// A certificate and key that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InvalidCertificate {
    /// The chain is no PEM.
    #[error("certificate")]
    Pem(#[source] tokio_rustls::rustls::pki_types::pem::Error),
    /// The first certificate of the chain is no X.509.
    #[error("certificate")]
    X509(#[source] x509_parser::nom::Err<x509_parser::error::X509Error>),
    /// The key is no PEM.
    #[error("key")]
    Key(#[source] tokio_rustls::rustls::pki_types::pem::Error),
    /// The TLS library rejects the pair.
    #[error(transparent)]
    Tls(#[from] tokio_rustls::rustls::Error),
}

/// A certificate that is not on disk, or not as it was written.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file cannot be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The file lacks a part.
    #[error("no key and certificate")]
    Incomplete,
    /// The content is invalid.
    #[error(transparent)]
    Invalid(#[from] InvalidCertificate),
}

/// An order that failed.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// It was not complete in time.
    #[error("the order took too long")]
    Timeout,
    /// The account cannot be used or created.
    #[error("account")]
    Account(#[source] instant_acme::Error),
    /// The account has no JSON form.
    #[error(transparent)]
    AccountFormat(#[from] serde_json::Error),
    /// The authority failed or rejected a step.
    #[error(transparent)]
    Authority(#[from] instant_acme::Error),
    /// The authority validates by other challenges only.
    #[error("the authority offers no http-01 challenge")]
    NoHttpChallenge,
    /// The authority did not accept the challenges.
    #[error("the order is {0:?}")]
    NotReady(instant_acme::OrderStatus),
    /// What the authority issued is unusable.
    #[error(transparent)]
    Invalid(#[from] InvalidCertificate),
}
