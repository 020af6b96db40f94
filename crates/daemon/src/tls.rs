//! TLS between hosts, and between operators and hosts: both ends show certificates.
//!
//! One authority of the deployment signs all certificates. A host's certificate is valid
//! for [`HOST`], an operator's for [`OPERATOR`]; hosts take messages from hosts only and
//! commands from operators only. Files are read again when they change, so that
//! certificates are replaced without a restart.

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

/// Name in a host's certificate.
pub const HOST: &str = "host.mulberryrack";
/// Name in an operator's certificate.
pub const OPERATOR: &str = "operator.mulberryrack";

/// Time between looks at the files, for a daemon.
pub const LOOK_INTERVAL: Duration = Duration::from_secs(5);
/// The protocol that gRPC runs on.
const ALPN: &[u8] = b"h2";

/// Reads what a client shows and trusts.
///
/// # Errors
///
/// A file cannot be read.
pub fn client(files: &Tls) -> io::Result<ClientTlsConfig> {
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

/// Whether a certificate is valid for `name`. Its signature is checked before.
#[must_use]
pub fn names(certificate: &CertificateDer<'_>, name: &'static str) -> bool {
    let Ok(name) = ServerName::try_from(name) else {
        return false;
    };
    webpki::EndEntityCert::try_from(certificate)
        .is_ok_and(|entity| entity.verify_is_valid_for_subject_name(&name).is_ok())
}

/// What a server shows and trusts, read again when a file has changed.
#[derive(Debug)]
pub struct Reloading {
    files: Tls,
    interval: Duration,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    config: Arc<ServerConfig>,
    /// When the files were last written.
    written: Vec<SystemTime>,
    looked: Instant,
}

impl Reloading {
    /// Reads the files, and looks at them again when `interval` has passed.
    ///
    /// # Errors
    ///
    /// A file cannot be read or used.
    pub fn new(files: &Tls, interval: Duration) -> io::Result<Self> {
        let state = State {
            written: written(files)?,
            config: Arc::new(server(files)?),
            looked: Instant::now(),
        };
        Ok(Self {
            files: files.clone(),
            interval,
            state: Mutex::new(state),
        })
    }

    /// The newest configuration that could be used.
    pub fn current(&self) -> Arc<ServerConfig> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.looked.elapsed() >= self.interval {
            state.looked = Instant::now();
            if let Err(error) = self.reload(&mut state) {
                let note = Note::new(Level::Error, "tls-not-reloaded").with("error", &error);
                logging::write("peer", &note);
            }
        }
        state.config.clone()
    }

    fn reload(&self, state: &mut State) -> io::Result<()> {
        let written = written(&self.files)?;
        if written == state.written {
            return Ok(());
        }
        state.config = Arc::new(server(&self.files)?);
        state.written = written;
        logging::write("peer", &Note::new(Level::Info, "tls-reloaded"));
        Ok(())
    }
}

fn written(files: &Tls) -> io::Result<Vec<SystemTime>> {
    [
        &files.authority_file,
        &files.certificate_file,
        &files.key_file,
    ]
    .into_iter()
    .map(|path| fs::metadata(Path::new(&**path)).and_then(|data| data.modified()))
    .collect()
}

fn server(files: &Tls) -> io::Result<ServerConfig> {
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
