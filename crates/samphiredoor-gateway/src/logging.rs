//! Structured log lines on standard output, limited in volume. Logging never blocks the caller.
//!
//! A line has a time, a level, a short sentence that starts with the name of the component, and `key=value` pairs. Lines
//! pass through a bounded channel to a writer thread. Lines are dropped and counted when standard output is too slow or
//! the limit for a second is reached, and the count is logged with the next line that is written.

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    time::{Duration, Instant},
};

use env_logger::{Builder, Target, fmt::Formatter};
use log::{
    Level, Record,
    kv::{Key, Value, VisitSource},
};

use crate::config::LogConfig;

/// Lines buffered for standard output; a busy process writes them in some seconds.
const BUFFERED_LINES: usize = 1_024;
/// Pause between two writes, so that lines are written in batches.
const WRITE_PAUSE: Duration = Duration::from_millis(100);
const SECOND: Duration = Duration::from_secs(1);

/// Installs the global logger and starts the writer thread. Call it once.
pub fn start(config: LogConfig) {
    let (lines, inbox) = sync_channel(BUFFERED_LINES);
    std::thread::spawn(move || write_lines(&inbox));
    let bounded = RateLimitedWriter {
        lines,
        max_per_s: config.lines_per_s,
        second_start: Instant::now(),
        lines_in_second: 0,
        dropped: 0,
    };
    Builder::new()
        .filter_level(config.level)
        .parse_default_env()
        .target(Target::Pipe(Box::new(bounded)))
        .format(format_line)
        .init();
}

fn write_lines(inbox: &Receiver<Vec<u8>>) {
    while let Ok(mut text) = inbox.recv() {
        for line in inbox.try_iter() {
            text.extend_from_slice(&line);
        }
        // A closed standard output cannot be reported anywhere else.
        let _ = io::stdout().write_all(&text);
        std::thread::sleep(WRITE_PAUSE);
    }
}

fn format_line(out: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let level = match record.level() {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    };
    write!(out, "{} {level} {}", out.timestamp_millis(), record.args())?;
    record.key_values().visit(&mut Pairs(out)).map_err(io::Error::other)?;
    writeln!(out)
}

/// Writes the key-value pairs of a record.
struct Pairs<'a>(&'a mut Formatter);

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        write!(self.0, " {key}={value}").map_err(log::kv::Error::boxed)
    }
}

/// Passes lines to the writer thread, and drops lines above the limits.
struct RateLimitedWriter {
    lines: SyncSender<Vec<u8>>,
    max_per_s: u32,
    second_start: Instant,
    lines_in_second: u32,
    /// Lines dropped since the last line that was passed on.
    dropped: u64,
}

impl Write for RateLimitedWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.second_start.elapsed() >= SECOND {
            self.second_start = Instant::now();
            self.lines_in_second = 0;
        }
        self.lines_in_second += 1;
        if self.lines_in_second > self.max_per_s {
            self.dropped += 1;
            return Ok(line.len());
        }
        let mut text = Vec::with_capacity(line.len());
        if self.dropped > 0 {
            text.extend_from_slice(format!("log: lines left out={}\n", self.dropped).as_bytes());
        }
        text.extend_from_slice(line);
        match self.lines.try_send(text) {
            Ok(()) => self.dropped = 0,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped += 1,
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
