//! TLS for connections from callers.

use std::{fmt, path::Path, sync::Arc};

use rustls::{
    ServerConfig,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
};
use tokio_rustls::TlsAcceptor;

/// Why TLS could not be set up.
#[derive(Debug)]
pub struct TlsError {
    detail: String,
}

impl fmt::Display for TlsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TLS can't be set up: {}", self.detail)
    }
}

impl std::error::Error for TlsError {}

/// Builds an acceptor from PEM files with a certificate chain and its private key.
///
/// Fails if a file can't be read, or if the key does not belong to the certificate.
pub fn tls_acceptor(certificate_file: &Path, key_file: &Path) -> Result<TlsAcceptor, TlsError> {
    let tls_error = |path: &Path, error: &dyn fmt::Display| TlsError {
        detail: format!("{}: {error}", path.display()),
    };
    let chain: Vec<CertificateDer<'static>> = CertificateDer::pem_file_iter(certificate_file)
        .map_err(|error| tls_error(certificate_file, &error))?
        .collect::<Result<_, _>>()
        .map_err(|error| tls_error(certificate_file, &error))?;
    let key =
        PrivateKeyDer::from_pem_file(key_file).map_err(|error| tls_error(key_file, &error))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| tls_error(certificate_file, &error))?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .map_err(|error| tls_error(certificate_file, &error))?;
    Ok(TlsAcceptor::from(Arc::new(config)))
}
