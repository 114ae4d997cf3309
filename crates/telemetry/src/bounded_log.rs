//! Non-blocking logging through a bounded queue to a thread that writes to standard output.
//!
//! Warnings and errors have their own rate limit, so that a burst of less severe records doesn't exhaust
//! it. Dropped records are counted, and the count is logged as a `log_dropped` event.

use std::{
    io::Write,
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use log::{Level, LevelFilter, Record};

use crate::logging::json_line;

/// Capacity of the queue to the writer thread.
const QUEUE_LINES: usize = 2_048;
/// Rate limit for records at `info` and below.
const INFO_LINES_PER_S: u64 = 200;
/// Rate limit for records at `warn` and above.
const WARN_LINES_PER_S: u64 = 100;
/// How long [`flush_logs`] waits for the writer thread.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Entry {
    Line(String),
    Flush(flume::Sender<()>),
}

/// A limit on the records in each whole second since the start.
struct RateLimit {
    per_s: u64,
    second: AtomicU64,
    used: AtomicU64,
}

impl RateLimit {
    const fn new(per_s: u64) -> RateLimit {
        RateLimit { per_s, second: AtomicU64::new(0), used: AtomicU64::new(0) }
    }

    /// Counts a record and returns whether it is within this second's limit.
    fn try_acquire(&self, second: u64) -> bool {
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.used.store(0, Ordering::Relaxed);
        }
        self.used.fetch_add(1, Ordering::Relaxed) < self.per_s
    }
}

struct BoundedLog {
    queue: flume::Sender<Entry>,
    started: Instant,
    dropped: AtomicU64,
    info_limit: RateLimit,
    warn_limit: RateLimit,
}

static LOG: OnceLock<BoundedLog> = OnceLock::new();

/// Starts logging to standard output; a second call in one process changes nothing.
pub fn init_bounded_logging(level: LevelFilter) {
    let (queue, entries) = flume::bounded(QUEUE_LINES);
    let bounded = BoundedLog {
        queue,
        started: Instant::now(),
        dropped: AtomicU64::new(0),
        info_limit: RateLimit::new(INFO_LINES_PER_S),
        warn_limit: RateLimit::new(WARN_LINES_PER_S),
    };
    if LOG.set(bounded).is_err() {
        return;
    }
    let writer =
        std::thread::Builder::new().name("log".to_owned()).spawn(move || write_entries(&entries));
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Trace)
        .level_for("hyper", LevelFilter::Warn)
        .chain(fern::Output::call(enqueue));
    // If there is no writer thread or another logger is installed, logging stays off.
    if writer.is_ok() && dispatch.apply().is_ok() {
        log::set_max_level(level);
    }
}

/// Waits until all records so far are written, for at most 200 ms.
pub fn flush_logs() {
    let Some(bounded) = LOG.get() else { return };
    let (flushed, flush_done) = flume::bounded(1);
    if bounded.queue.try_send(Entry::Flush(flushed)).is_ok() {
        // A blocked standard output must not prevent the process from exiting.
        let _ = flush_done.recv_timeout(FLUSH_TIMEOUT);
    }
}

fn enqueue(record: &Record<'_>) {
    let Some(bounded) = LOG.get() else { return };
    let second = bounded.started.elapsed().as_secs() + 1;
    let limit =
        if record.level() <= Level::Warn { &bounded.warn_limit } else { &bounded.info_limit };
    let line = || json_line(&record.args().to_string(), record).to_string();
    let queued = limit.try_acquire(second) && bounded.queue.try_send(Entry::Line(line())).is_ok();
    if !queued {
        bounded.dropped.fetch_add(1, Ordering::Relaxed);
    }
}

fn write_entries(entries: &flume::Receiver<Entry>) {
    let mut out = std::io::stdout();
    while let Ok(entry) = entries.recv() {
        // All queued lines go into one write.
        let mut text = String::new();
        let mut flushes = Vec::new();
        for entry in std::iter::once(entry).chain(entries.try_iter()) {
            match entry {
                Entry::Line(line) => {
                    text.push_str(&line);
                    text.push('\n');
                }
                Entry::Flush(flushed) => flushes.push(flushed),
            }
        }
        let dropped = LOG.get().map_or(0, |bounded| bounded.dropped.swap(0, Ordering::Relaxed));
        if dropped > 0 {
            text.push_str(&format!("{{\"event\":\"log_dropped\",\"lines\":{dropped}}}\n"));
        }
        // A failure to write log records can't be logged.
        let _ = out.write_all(text.as_bytes());
        let _ = out.flush();
        for flushed in flushes {
            let _ = flushed.send(());
        }
    }
}
