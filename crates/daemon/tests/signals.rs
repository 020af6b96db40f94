//! Signals to the binary, and how it ends.

use std::{
    fs,
    io::{BufRead, BufReader, Lines},
    process::{Child, ChildStderr, Command, ExitStatus, Stdio},
};

/// A daemon whose platform does not answer; killed when dropped.
struct Process {
    child: Child,
    log: Lines<BufReader<ChildStderr>>,
}

impl Drop for Process {
    fn drop(&mut self) {
        // It has ended in the ordinary case.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts the binary and waits until it listens for signals.
    fn start(name: &str, areas: &str) -> Self {
        let directory = std::env::temp_dir();
        let path = directory.join(format!("mulberryrack-{name}-{}.ini", std::process::id()));
        let text = format!(
            "[host]\nname = entry-1\ndata_centre = casa-hall\n\
             caller_address = 127.0.0.1:0\npeer_address = 127.0.0.1:0\n\
             admin_address = 127.0.0.1:0\n[platform]\nkv_url = http://127.0.0.1:9\n\
             list_url = http://127.0.0.1:9\n{areas}"
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
        this.until("event=started");
        fs::remove_file(path).expect("the file is there");
        this
    }

    /// Reads the log up to a line.
    fn until(&mut self, part: &str) {
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
fn a_signal_lets_the_host_leave() {
    let mut process = Process::start("leave", "[member]\naddress_ms = 100\nleave_ms = 100\n");
    process.signal("HUP");
    process.signal("TERM");
    assert_eq!(process.wait().code(), Some(0));
}

#[test]
fn a_second_signal_ends_it_at_once() {
    let mut process = Process::start("end", "[member]\naddress_ms = 600000\n");
    process.signal("TERM");
    process.until("event=signal");
    process.signal("TERM");
    assert_eq!(process.wait().code(), Some(3));
}
