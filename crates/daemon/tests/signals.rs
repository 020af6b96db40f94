//! How the binary reacts to signals, and its exit codes.

use std::{
    fs,
    io::{BufRead, BufReader, Lines},
    process::{Child, ChildStderr, Command, ExitStatus, Stdio},
};

/// A daemon process whose platform services cannot be reached; killed when dropped.
struct Process {
    child: Child,
    log: Lines<BufReader<ChildStderr>>,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has already ended, as it usually has.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts the binary, with `more_settings` appended to its settings, and waits until it
    /// handles signals.
    fn start(name: &str, more_settings: &str) -> Self {
        let directory = std::env::temp_dir();
        let path = directory.join(format!("mulberryrack-{name}-{}.ini", std::process::id()));
        let text = format!(
            "[host]\nname = entry-1\ndata_centre = casa-hall\n\
             caller_address = 127.0.0.1:0\npeer_address = 127.0.0.1:0\n\
             admin_address = 127.0.0.1:0\n[platform]\nkv_url = http://127.0.0.1:9\n\
             list_url = http://127.0.0.1:9\n{more_settings}"
        );
        fs::write(&path, text).expect("a writable directory");
        let mut child = Command::new(env!("CARGO_BIN_EXE_mulberryrackd"))
            .arg("--config")
            .arg(&path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let log = child.stderr.take().expect("a pipe");
        let log = BufReader::new(log).lines();
        let mut this = Self { child, log };
        this.wait_for_log("event=started");
        fs::remove_file(path).expect("the file is there");
        this
    }

    /// Reads the log up to a line that contains `part`.
    fn wait_for_log(&mut self, part: &str) {
        let found = self.log.any(|line| line.expect("text").contains(part));
        assert!(found, "the log ended without {part:?}");
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args(["-s", name, &self.child.id().to_string()])
            .status();
        assert!(status.expect("the command runs").success());
    }

    fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("a status")
    }
}

#[test]
fn first_sigterm_drains_the_host_and_it_exits_with_0() {
    let mut process = Process::start("leave", "[member]\naddress_ms = 100\nleave_ms = 100\n");
    process.signal("HUP");
    process.signal("TERM");
    assert_eq!(process.wait().code(), Some(0));
}

#[test]
fn second_sigterm_ends_the_process_at_once_with_3() {
    let mut process = Process::start("end", "[member]\naddress_ms = 600000\n");
    process.signal("TERM");
    process.wait_for_log("event=signal");
    process.signal("TERM");
    assert_eq!(process.wait().code(), Some(3));
}
