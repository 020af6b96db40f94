//! Mutual TLS between hosts, and between operators and hosts.
//!
//! One certificate authority of the deployment signs all certificates. A host's certificate
//! is valid for the name [`HOST`], an operator's for [`OPERATOR`]. A host accepts messages
//! from hosts only and commands from operators only. Certificate files are read again when
//! they change, so that certificates can be replaced without a restart.

use crate::{config::Tls, logging};
use mulberryrack_core::note::{Level, Note};
use rustls::{
    RootCertStore, ServerConfig,
    pki_types::{CertificateDer, PrivateKeyDer, ServerName, pem::PemObject},
    server::WebPkiClientVerifier,
};
use std::{
    fs, io,
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant, SystemTime},
};
use tonic::transport::{Certificate, ClientTlsConfig, Identity};

/// DNS name for which a host's certificate is valid.
pub const HOST: &str = "host.mulberryrack";
/// DNS name for which an operator's certificate is valid.
pub const OPERATOR: &str = "operator.mulberryrack";

/// Minimum time between two checks of a daemon's certificate files for changes.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// ALPN protocol id of HTTP/2, on which gRPC runs.
const ALPN: &[u8] = b"h2";

/// Reads the client's certificate and key and the authority that it trusts.
///
/// # Errors
///
/// A file cannot be read.
pub fn client_config(files: &Tls) -> io::Result<ClientTlsConfig> {
    let authority = Certificate::from_pem(read(&files.authority_file)?);
    let identity = Identity::from_pem(read(&files.certificate_file)?, read(&files.key_file)?);
    Ok(ClientTlsConfig::new()
        .ca_certificate(authority)
        .identity(identity)
        .domain_name(HOST))
}

fn read(path: &str) -> io::Result<Vec<u8>> {
    fs::read(path).map_err(|error| io::Error::new(error.kind(), format!("{path}: {error}")))
}

fn invalid(path: &str, error: impl std::fmt::Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("{path}: {error}"))
}

/// Whether a certificate is valid for `name`. The TLS handshake has already checked its
/// signature.
#[must_use]
pub fn is_valid_for(certificate: &CertificateDer<'_>, name: &'static str) -> bool {
    let Ok(name) = ServerName::try_from(name) else {
        return false;
    };
    webpki::EndEntityCert::try_from(certificate)
        .is_ok_and(|entity| entity.verify_is_valid_for_subject_name(&name).is_ok())
}

/// The server's TLS configuration, which is reloaded when one of its files has changed.
#[derive(Debug)]
pub struct Reloading {
    files: Tls,
    interval: Duration,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    config: Arc<ServerConfig>,
    /// Modification times of the files when `config` was read.
    modified: Vec<SystemTime>,
    checked_at: Instant,
}

impl Reloading {
    /// Reads the files. They are checked for changes at most once in each `interval`.
    ///
    /// # Errors
    ///
    /// A file cannot be read or used.
    pub fn new(files: &Tls, interval: Duration) -> io::Result<Self> {
        let state = State {
            modified: modified_times(files)?,
            config: Arc::new(server_config(files)?),
            checked_at: Instant::now(),
        };
        Ok(Self {
            files: files.clone(),
            interval,
            state: Mutex::new(state),
        })
    }

    /// The newest usable configuration. If changed files cannot be used, this logs the error
    /// and returns the previous configuration.
    pub fn current(&self) -> Arc<ServerConfig> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.checked_at.elapsed() >= self.interval {
            state.checked_at = Instant::now();
            if let Err(error) = self.reload(&mut state) {
                let note = Note::new(Level::Error, "tls-not-reloaded").with("error", &error);
                logging::write("peer", &note);
            }
        }
        state.config.clone()
    }

    fn reload(&self, state: &mut State) -> io::Result<()> {
        let modified = modified_times(&self.files)?;
        if modified == state.modified {
            return Ok(());
        }
        state.config = Arc::new(server_config(&self.files)?);
        state.modified = modified;
        logging::write("peer", &Note::new(Level::Info, "tls-reloaded"));
        Ok(())
    }
}

fn modified_times(files: &Tls) -> io::Result<Vec<SystemTime>> {
    [
        &files.authority_file,
        &files.certificate_file,
        &files.key_file,
    ]
    .into_iter()
    .map(|path| fs::metadata(Path::new(&**path)).and_then(|data| data.modified()))
    .collect()
}

fn server_config(files: &Tls) -> io::Result<ServerConfig> {
    let mut roots = RootCertStore::empty();
    for certificate in certificates(&files.authority_file)? {
        roots
            .add(certificate)
            .map_err(|error| invalid(&files.authority_file, error))?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider.clone())
        .build()
        .map_err(|error| invalid(&files.authority_file, error))?;
    let key = PrivateKeyDer::from_pem_slice(&read(&files.key_file)?)
        .map_err(|error| invalid(&files.key_file, error))?;
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| invalid(&files.certificate_file, error))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(certificates(&files.certificate_file)?, key)
        .map_err(|error| invalid(&files.certificate_file, error))?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    Ok(config)
}

fn certificates(path: &str) -> io::Result<Vec<CertificateDer<'static>>> {
    let text = read(path)?;
    CertificateDer::pem_slice_iter(&text)
        .collect::<Result<Vec<_>, _>>()
        .map_err(|error| invalid(path, error))
}
