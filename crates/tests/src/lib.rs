//! Helpers that the integration tests share.
//!
//! [`small::cluster`] starts a small deployment whose table is in force; [`isolated_config`]
//! configures a single daemon without a platform; [`CertificateAuthority`] and
//! [`TemporaryDirectory`] provide certificates and files.

pub mod small;

use mulberryrack_daemon::config::{Config, Tls};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use std::{
    fs,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
};

/// Configuration of a daemon on free ports, without a platform: nothing listens at its
/// addresses of the key-value service and of the list.
///
/// # Panics
///
/// Panics if the configuration is refused.
#[must_use]
pub fn isolated_config() -> Config {
    let text = "[host]\nname = entry-1\ndata_centre = casa-hall\n\
                caller_address = 127.0.0.1:0\npeer_address = 127.0.0.1:0\n\
                admin_address = 127.0.0.1:0\n\
                [platform]\nkv_url = http://127.0.0.1:9\nlist_url = http://127.0.0.1:9\n";
    Config::parse(text).expect("the settings are right")
}

/// A temporary directory, removed when dropped.
#[derive(Debug)]
pub struct TemporaryDirectory(PathBuf);

impl TemporaryDirectory {
    /// Creates the directory, under a name that no other test uses.
    ///
    /// # Panics
    ///
    /// Panics if the directory cannot be created.
    #[must_use]
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("mulberryrack-tests-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a writable directory for temporary files");
        Self(path)
    }

    /// Path of the directory.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Default for TemporaryDirectory {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A certificate authority that signs certificates for tests.
#[derive(Debug)]
pub struct CertificateAuthority {
    issuer: Issuer<'static, KeyPair>,
    certificate: String,
}

impl CertificateAuthority {
    /// Generates the authority's key and its own certificate.
    ///
    /// # Panics
    ///
    /// Panics if the library fails.
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

    /// Writes three files into `directory`: the authority's certificate, a new certificate for
    /// `name`, and its key. The names of the files begin with `file`.
    ///
    /// # Panics
    ///
    /// Panics if the library fails or the directory cannot be written.
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

impl Default for CertificateAuthority {
    fn default() -> Self {
        Self::new()
    }
}
