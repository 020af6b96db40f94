//! What the integration tests share: daemons, certificates, files, a small deployment.

pub mod small;

use mulberryrack_daemon::config::{Config, Tls};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use std::{
    fs,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
};

/// Settings of a daemon on free ports whose platform does not answer.
///
/// # Panics
///
/// If the settings are refused.
#[must_use]
pub fn lonely() -> Config {
    let text = "[host]\nname = entry-1\ndata_centre = casa-hall\n\
                caller_address = 127.0.0.1:0\npeer_address = 127.0.0.1:0\n\
                admin_address = 127.0.0.1:0\n\
                [platform]\nkv_url = http://127.0.0.1:9\nlist_url = http://127.0.0.1:9\n";
    Config::parse(text).expect("the settings are right")
}

/// A directory of its own for a test, removed when dropped.
#[derive(Debug)]
pub struct Scratch(PathBuf);

impl Scratch {
    /// Makes the directory.
    ///
    /// # Panics
    ///
    /// If the system gives none.
    #[must_use]
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("mulberryrack-tests-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a writable directory for temporary files");
        Self(path)
    }

    /// Its path.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Default for Scratch {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// An authority that signs certificates.
#[derive(Debug)]
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    certificate: String,
}

impl Authority {
    /// Makes its key.
    ///
    /// # Panics
    ///
    /// If the library fails.
    #[must_use]
    pub fn new() -> Self {
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(Vec::new()).expect("parameters");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let certificate = params.self_signed(&key).expect("a certificate").pem();
        Self {
            issuer: Issuer::new(params, key),
            certificate,
        }
    }

    /// Writes a certificate for `name` and its key into `directory`.
    ///
    /// # Panics
    ///
    /// If the library fails or the directory cannot be written.
    #[must_use]
    pub fn sign(&self, directory: &Path, file: &str, name: &str) -> Tls {
        let key = KeyPair::generate().expect("a key");
        let params = CertificateParams::new(vec![name.to_owned()]).expect("parameters");
        let certificate = params.signed_by(&key, &self.issuer).expect("a certificate");
        let write = |suffix: &str, text: &str| {
            let path = directory.join(format!("{file}-{suffix}.pem"));
            fs::write(&path, text).expect("a writable directory");
            path.display().to_string().into()
        };
        Tls {
            authority_file: write("authority", &self.certificate),
            certificate_file: write("certificate", &certificate.pem()),
            key_file: write("key", &key.serialize_pem()),
        }
    }
}

impl Default for Authority {
    fn default() -> Self {
        Self::new()
    }
}
