//! An appender that never blocks: lines wait in a bounded queue for a thread that writes.

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

/// Lines that wait to be written; at a usual length a quarter of a megabyte.
const QUEUED_LINES: usize = 1_024;
/// Share of the queue that lines of ordinary events may fill; warnings have the rest.
const ORDINARY_LINES: u64 = 768;
/// Longest time that the end of the process waits for queued lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between two looks at the queue.
const FLUSH_CHECK: Duration = Duration::from_millis(2);
/// Longest time until lost lines are told of.
const REPORT_EVERY: Duration = Duration::from_secs(1);

/// Counts shared by those who log and the thread that writes.
#[derive(Debug, Default)]
struct Counts {
    waiting: AtomicU64,
    dropped: AtomicU64,
}

/// Writes lines to the standard output from a thread of its own.
#[derive(Debug)]
pub struct Queue {
    encoder: PatternEncoder,
    lines: SyncSender<Vec<u8>>,
    counts: std::sync::Arc<Counts>,
}

impl Queue {
    /// A queue that is written out until the process ends.
    ///
    /// # Errors
    ///
    /// The system gives no thread.
    pub fn start(pattern: &str) -> io::Result<Self> {
        let (lines, waiting) = mpsc::sync_channel(QUEUED_LINES);
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
        if record.level() > Level::Warn && waiting >= ORDINARY_LINES {
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

    /// Waits a moment for what is queued; called at the end of the process.
    fn flush(&self) {
        let until = Instant::now() + FLUSH_TIMEOUT;
        while self.counts.waiting.load(Ordering::Relaxed) > 0 && Instant::now() < until {
            thread::sleep(FLUSH_CHECK);
        }
    }
}

/// Writes lines until nobody can log any more.
fn write_out(lines: &Receiver<Vec<u8>>, counts: &Counts, out: &mut impl Write) {
    let mut told = Instant::now();
    while let Ok(line) = lines.recv() {
        // An output that is closed takes no lines, and there is nowhere else to say so.
        let _ = out.write_all(&line);
        counts.waiting.fetch_sub(1, Ordering::Relaxed);
        if told.elapsed() >= REPORT_EVERY {
            told = Instant::now();
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
