//! Engines as processes of their own: the program of the case, called with `engine` and an id.

use std::{
    env,
    io::{self, BufRead, BufReader},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use super::{
    engine::{Engine, Setup},
    json::Json,
    record::Record,
};

/// Runs an engine until the process is killed: prints its entry, then what it does.
pub fn run_engine(setup: Setup) -> io::Result<()> {
    let record = Record::create("/dev/stdout")?;
    let engine = Engine::start(setup, Arc::default(), &record)?;
    println!("{}", engine.entry("ready"));
    loop {
        thread::sleep(Duration::from_secs(1));
    }
}

/// An engine process, killed when dropped.
pub struct Process {
    pub id: String,
    child: Child,
    entry: Json,
    /// What the engine has told, with the time.
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Process {
    pub fn start(id: &str, record: &Record) -> io::Result<Self> {
        let mut child = Command::new(env::current_exe()?)
            .args(["engine", id])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut output = BufReader::new(child.stdout.take().expect("a pipe")).lines();
        let first = output.next().ok_or_else(|| io::Error::other("no engine"))??;
        let entry = Json::parse(&first).ok_or_else(|| io::Error::other("no entry"))?;
        let lines: Arc<Mutex<Vec<(Duration, String)>>> = Arc::default();
        let (record, seen) = (record.clone(), lines.clone());
        thread::spawn(move || {
            // Each line begins with the time of the engine's own record.
            for line in output.map_while(Result::ok) {
                let text = line.trim_start().split_once(' ').map_or("", |it| it.1);
                record.line(text);
                let told = (record.now(), text.to_owned());
                seen.lock().expect("unpoisoned").push(told);
            }
        });
        Ok(Self { id: id.to_owned(), child, entry, lines })
    }

    /// The entry in a state, with the time that remains.
    pub fn entry(&self, state: &str, sequence: u64, remaining: Option<Duration>) -> Json {
        let Json::Table(mut fields) = self.entry.clone() else {
            return Json::Null;
        };
        fields.insert("state".into(), state.into());
        fields.insert("sequence".into(), sequence.into());
        if let Some(remaining) = remaining {
            let ms = u64::try_from(remaining.as_millis()).unwrap_or(0);
            fields.insert("remaining-ms".into(), ms.into());
        }
        Json::Table(fields)
    }

    pub fn kill(&mut self) {
        // Fails if the process has ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// What the engine has told so far, with the time.
    pub fn lines(&self) -> Vec<(Duration, String)> {
        self.lines.lock().expect("unpoisoned").clone()
    }
}
