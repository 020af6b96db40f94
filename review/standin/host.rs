//! Starts, signals and stops host processes of the build of the deploy file.

use std::{
    fs,
    io::{self, BufRead, BufReader},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use super::http;

const PROGRAM: &str = "target/release/mulberryrackd";

/// A free port of the loopback address.
fn free_port() -> io::Result<u16> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.port())
}

/// A host: its settings file, and its process while it runs.
pub struct Host {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
    log: Arc<Mutex<Vec<String>>>,
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Host {
    /// Writes the settings of a host, in the form of `deploy/host.ini`, and starts it.
    pub fn start(
        folder: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let local = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let (callers, readiness) = (local(free_port()?), local(free_port()?));
        let (directory, peers) = (local(free_port()?), free_port()?);
        let metrics = free_port()?;
        let text = format!(
            "[host]\nname = {name}\ndata_centre = {zone}\nip = 127.0.0.1\n\
             caller_address = {callers}\nreadiness_address = {readiness}\n\
             directory_address = {directory}\npeer_port = {peers}\nmetrics_port = {metrics}\n\
             descriptors = 1000\ncores = 0.25\n\n\
             [store]\naddress = {store}\nlease_min_ms = 1000\n\n\
             [bounds]\ngrace_s = 8\nconfig_ms = 2000\ndrain_ms = 2000\nretry_share = 0.2\n\
             retry_extra = 56\nretry_window_s = 10\norder_lease_ms = 3000\nload_window_s = 5\n\
             address_ttl_s = 5\n\n[log]\nlevel = info\n"
        );
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, text)?;
        let mut host = Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            callers,
            readiness,
            directory,
            settings,
            child: None,
            log: Arc::default(),
        };
        host.restart()?;
        Ok(host)
    }

    /// Starts the process with the command of the deploy file.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        let mut child = Command::new(PROGRAM)
            .arg("site")
            .env("MULBERRYRACK_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let output = child.stdout.take().expect("a pipe");
        let log = self.log.clone();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                log.lock().expect("unpoisoned").push(line);
            }
        });
        self.child = Some(child);
        Ok(())
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails if the process has ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let _ = Command::new("kill").args(["-s", name, &id]).status();
        }
    }

    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => true,
        }
    }

    /// Whether the readiness check answers 200.
    pub fn is_ready(&self) -> bool {
        let text = "GET /mulberryrack/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        http::exchange(self.readiness, text, Duration::from_secs(1)).status == 200
    }

    /// Logged lines with one of the texts.
    pub fn logged(&self, texts: &[&str]) -> Vec<String> {
        let log = self.log.lock().expect("unpoisoned");
        let lines = log.iter().filter(|line| texts.iter().any(|text| line.contains(text)));
        lines.cloned().collect()
    }
}
