//! An appender that never blocks: it puts lines into a bounded queue, from which a thread of
//! its own writes them to standard output.

use log::{Level, Record};
use log4rs::{
    append::Append,
    encode::{Encode, pattern::PatternEncoder, writer::simple::SimpleWriter},
};
use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{self, Receiver, SyncSender, TrySendError},
    },
    thread,
    time::{Duration, Instant},
};

/// Capacity of the queue in lines: a quarter of a megabyte at the usual length of a line.
const MAX_QUEUED_LINES: usize = 1_024;
/// Queued lines from which on lines of level info and below are dropped; the rest of the
/// queue is reserved for warnings and errors.
const MAX_QUEUED_INFO_LINES: u64 = 768;
/// Maximum time that a flush waits for queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between two checks of the queue during a flush.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Minimum time between two reports of dropped lines. A report follows a written line.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Numbers of queued and of dropped lines, shared by the threads that log and the thread
/// that writes.
#[derive(Debug, Default)]
struct Counts {
    waiting: AtomicU64,
    dropped: AtomicU64,
}

/// The appender.
#[derive(Debug)]
pub struct Queue {
    encoder: PatternEncoder,
    lines: SyncSender<Vec<u8>>,
    counts: std::sync::Arc<Counts>,
}

impl Queue {
    /// Starts the writing thread, which runs until the process ends.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(pattern: &str) -> io::Result<Self> {
        let (lines, waiting) = mpsc::sync_channel(MAX_QUEUED_LINES);
        let counts = std::sync::Arc::<Counts>::default();
        let shared = counts.clone();
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_out(&waiting, &shared, &mut io::stdout()))?;
        Ok(Self {
            encoder: PatternEncoder::new(pattern),
            lines,
            counts,
        })
    }
}

impl Append for Queue {
    fn append(&self, record: &Record) -> anyhow::Result<()> {
        let waiting = self.counts.waiting.load(Ordering::Relaxed);
        if record.level() > Level::Warn && waiting >= MAX_QUEUED_INFO_LINES {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = SimpleWriter(Vec::new());
        self.encoder.encode(&mut line, record)?;
        self.counts.waiting.fetch_add(1, Ordering::Relaxed);
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.lines.try_send(line.0)
        {
            self.counts.waiting.fetch_sub(1, Ordering::Relaxed);
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Waits up to [`FLUSH_TIMEOUT`] for queued lines to be written; called at the end of the
    /// process.
    fn flush(&self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while self.counts.waiting.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
            thread::sleep(FLUSH_CHECK_INTERVAL);
        }
    }
}

/// Writes queued lines until the appender is dropped.
fn write_out(lines: &Receiver<Vec<u8>>, counts: &Counts, out: &mut impl Write) {
    let mut reported_at = Instant::now();
    while let Ok(line) = lines.recv() {
        // Standard output may be closed, and there is no other place to report that.
        let _ = out.write_all(&line);
        counts.waiting.fetch_sub(1, Ordering::Relaxed);
        if reported_at.elapsed() >= DROP_REPORT_INTERVAL {
            reported_at = Instant::now();
            let dropped = counts.dropped.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                let _ = writeln!(
                    out,
                    "level=WARN target=log event=lines-dropped count={dropped}"
                );
            }
        }
    }
}
