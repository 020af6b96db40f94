//! Tests of TLS between hosts and operators, and of the reloading of certificates.

use mulberryrack_daemon::{
    Daemon,
    config::Tls,
    peer,
    tls::{self, Reloading},
};
use mulberryrack_tests::{CertificateAuthority, TemporaryDirectory, isolated_config};
use mulberryrack_wire::operator::{Command, operator_client::OperatorClient};
use std::{fs, sync::Arc, time::Duration};
use tokio::runtime::Runtime;
use tonic::Code;

const STATUS: &str = r#"{"command":"status"}"#;

/// Queries a host for its status over its operator interface; `None` means plain text.
fn ask(address: &str, files: Option<&Tls>) -> Result<String, Code> {
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let channel = peer::connect(address, files)
            .await
            .map_err(|_| Code::Unavailable)?;
        let json = STATUS.to_owned();
        let mut answers = OperatorClient::new(channel)
            .run(Command { json })
            .await
            .map_err(|status| status.code())?
            .into_inner();
        let answer = answers.message().await.map_err(|status| status.code())?;
        Ok(answer.expect("one answer").json)
    })
}

fn host(authority: &CertificateAuthority, directory: &TemporaryDirectory) -> Daemon {
    let mut config = isolated_config();
    config.tls = authority.sign(directory.path(), "host", tls::HOST);
    Daemon::start(&config).expect("free ports")
}

#[test]
fn an_operator_certificate_runs_commands() {
    let (authority, directory) = (CertificateAuthority::new(), TemporaryDirectory::new());
    let daemon = host(&authority, &directory);
    let operator = authority.sign(directory.path(), "operator", tls::OPERATOR);
    let answer = ask(&daemon.identity().peer_address, Some(&operator));
    assert!(answer.expect("an answer").contains("\"answer\":\"status\""));
}

#[test]
fn a_host_certificate_runs_no_command() {
    let (authority, directory) = (CertificateAuthority::new(), TemporaryDirectory::new());
    let daemon = host(&authority, &directory);
    let other = authority.sign(directory.path(), "other", tls::HOST);
    let answer = ask(&daemon.identity().peer_address, Some(&other));
    assert_eq!(answer, Err(Code::PermissionDenied));
}

#[test]
fn another_authority_and_plain_text_are_refused() {
    let (authority, directory) = (CertificateAuthority::new(), TemporaryDirectory::new());
    let daemon = host(&authority, &directory);
    let foreign = CertificateAuthority::new().sign(directory.path(), "foreign", tls::OPERATOR);
    let address = &daemon.identity().peer_address;
    assert!(ask(address, Some(&foreign)).is_err());
    assert!(ask(address, None).is_err());
}

#[test]
fn replaced_files_are_reloaded_and_invalid_ones_are_not() {
    let (authority, directory) = (CertificateAuthority::new(), TemporaryDirectory::new());
    let files = authority.sign(directory.path(), "host", tls::HOST);
    let reloading = Reloading::new(&files, Duration::ZERO).expect("readable files");
    let first = reloading.current();
    assert!(Arc::ptr_eq(&first, &reloading.current()));

    let replaced = authority.sign(directory.path(), "host", tls::HOST);
    assert_eq!(replaced, files);
    advance_modified_time(&files.key_file, 1);
    let second = reloading.current();
    assert!(!Arc::ptr_eq(&first, &second));

    fs::write(&*files.key_file, "no key").expect("a writable file");
    advance_modified_time(&files.key_file, 2);
    assert!(Arc::ptr_eq(&second, &reloading.current()));
}

/// Moves a file's modification time into the future, since two writes may get the same one.
fn advance_modified_time(path: &str, seconds: u64) {
    let file = fs::File::options()
        .write(true)
        .open(path)
        .expect("the file");
    let now = file
        .metadata()
        .and_then(|data| data.modified())
        .expect("a time");
    let ahead = now + Duration::from_secs(seconds);
    file.set_modified(ahead).expect("the time is set");
}
