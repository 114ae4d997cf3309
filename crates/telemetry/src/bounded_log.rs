//! Logs that never hold the daemon up: a bounded ring to a thread that writes to standard output.
//!
//! Each level has a budget of lines a second, so that a flood of one kind does not push the others
//! out; what is dropped is counted and told in a line of its own.

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

/// Lines that may wait for the writer.
const RING_LINES: usize = 2_048;
/// Lines a second at `info` and below; a daemon serves some tens of statements a second here.
const INFO_LINES_PER_S: u64 = 200;
/// Lines a second at `warn` and above.
const WARN_LINES_PER_S: u64 = 100;
/// How long the end of the process waits for the writer.
const FLUSH_WITHIN: Duration = Duration::from_millis(200);

enum Entry {
    Line(String),
    Flush(flume::Sender<()>),
}

struct Budget {
    per_s: u64,
    second: AtomicU64,
    used: AtomicU64,
}

impl Budget {
    const fn new(per_s: u64) -> Budget {
        Budget { per_s, second: AtomicU64::new(0), used: AtomicU64::new(0) }
    }

    /// Takes one line out of this second's budget.
    fn take(&self, second: u64) -> bool {
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.used.store(0, Ordering::Relaxed);
        }
        self.used.fetch_add(1, Ordering::Relaxed) < self.per_s
    }
}

struct BoundedLog {
    ring: flume::Sender<Entry>,
    started: Instant,
    dropped: AtomicU64,
    info: Budget,
    warn: Budget,
}

static LOG: OnceLock<BoundedLog> = OnceLock::new();

/// Starts logging to standard output; a second call in one process changes nothing.
pub fn init_bounded_logging(level: LevelFilter) {
    let (ring, lines) = flume::bounded(RING_LINES);
    let bounded = BoundedLog {
        ring,
        started: Instant::now(),
        dropped: AtomicU64::new(0),
        info: Budget::new(INFO_LINES_PER_S),
        warn: Budget::new(WARN_LINES_PER_S),
    };
    if LOG.set(bounded).is_err() {
        return;
    }
    let writer = std::thread::Builder::new().name("log".to_owned()).spawn(move || write(&lines));
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Trace)
        .level_for("hyper", LevelFilter::Warn)
        .chain(fern::Output::call(offer));
    // Without a writer or with another logger in place there is nobody to tell.
    if writer.is_ok() && dispatch.apply().is_ok() {
        log::set_max_level(level);
    }
}

/// Waits a moment until what was logged so far is written.
pub fn flush_logs() {
    let Some(bounded) = LOG.get() else { return };
    let (done, is_done) = flume::bounded(1);
    if bounded.ring.try_send(Entry::Flush(done)).is_ok() {
        // A reader that does not read must not hold the end up.
        let _ = is_done.recv_timeout(FLUSH_WITHIN);
    }
}

fn offer(record: &Record<'_>) {
    let Some(bounded) = LOG.get() else { return };
    let second = bounded.started.elapsed().as_secs() + 1;
    let budget = if record.level() <= Level::Warn { &bounded.warn } else { &bounded.info };
    let line = || json_line(&record.args().to_string(), record).to_string();
    let taken = budget.take(second) && bounded.ring.try_send(Entry::Line(line())).is_ok();
    if !taken {
        bounded.dropped.fetch_add(1, Ordering::Relaxed);
    }
}

fn write(lines: &flume::Receiver<Entry>) {
    let mut out = std::io::stdout();
    while let Ok(entry) = lines.recv() {
        // Lines that came together are written together.
        let mut text = String::new();
        let mut flushes = Vec::new();
        for entry in std::iter::once(entry).chain(lines.try_iter()) {
            match entry {
                Entry::Line(line) => {
                    text.push_str(&line);
                    text.push('\n');
                }
                Entry::Flush(done) => flushes.push(done),
            }
        }
        let dropped = LOG.get().map_or(0, |bounded| bounded.dropped.swap(0, Ordering::Relaxed));
        if dropped > 0 {
            text.push_str(&format!("{{\"event\":\"log_dropped\",\"lines\":{dropped}}}\n"));
        }
        // A closed standard output leaves nobody to tell.
        let _ = out.write_all(text.as_bytes());
        let _ = out.flush();
        for done in flushes {
            let _ = done.send(());
        }
    }
}
