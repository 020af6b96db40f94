//! Tests of the check of settings, which reports all problems at once.

use mulberryrack_daemon::config::Config;

const VALID: &str = "[host]\nname = entry-1\ndata_centre = casa-hall\n\
    caller_address = 127.0.0.1:0\npeer_address = 127.0.0.1:0\nadmin_address = 127.0.0.1:0\n\
    [platform]\nkv_url = http://127.0.0.1:9\nlist_url = http://127.0.0.1:9\n";

fn problems(text: &str) -> Vec<String> {
    Config::parse(text)
        .err()
        .map_or_else(Vec::new, |error| error.problems)
}

#[test]
fn valid_settings_are_accepted() {
    assert_eq!(problems(VALID), Vec::<String>::new());
}

#[test]
fn unknown_names_are_refused_with_the_most_similar_name() {
    let text = format!("{VALID}kv_timeout = 3\n[limit]\n[log]\nlevle = info\n");
    let problems = problems(&text);
    assert!(
        problems
            .iter()
            .any(|line| line.contains("did you mean kv_timeout_ms?"))
    );
    assert!(
        problems
            .iter()
            .any(|line| line.contains("did you mean limits?"))
    );
    assert!(
        problems
            .iter()
            .any(|line| line.contains("did you mean level?"))
    );
}

#[test]
fn every_problem_is_named_at_once() {
    let problems =
        problems("[host]\nname =\ncaller_address = localhost\n[limits]\nmax_requests = many\n");
    for part in [
        "[host] name is missing",
        "[host] data_centre is missing",
        "caller_address = \"localhost\"",
        "[platform] kv_url is missing",
        "[limits] max_requests = \"many\"",
    ] {
        assert!(
            problems.iter().any(|line| line.contains(part)),
            "{part:?} is not in {problems:?}"
        );
    }
}

#[test]
fn a_peer_address_off_loopback_needs_certificates() {
    let text = VALID.replace("peer_address = 127.0.0.1:0", "peer_address = 192.0.2.1:80");
    assert!(problems(&text)[0].starts_with("[tls] must be set"));
}

#[test]
fn missing_certificate_files_are_refused() {
    let text = format!("{VALID}[tls]\nauthority_file = /none/here\n");
    let problems = problems(&text);
    assert!(
        problems
            .iter()
            .any(|line| line.starts_with("[tls] authority_file"))
    );
    assert!(
        problems
            .iter()
            .any(|line| line.starts_with("[tls] key_file"))
    );
}
