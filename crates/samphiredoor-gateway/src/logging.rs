//! Structured log lines on standard output, bounded in volume and never waited for.
//!
//! A line is a time, a level, a short sentence with the prefix of its part, and `key=value` pairs. Lines go through a
//! bounded channel to a thread of their own: where standard output does not take them, or more come than are allowed in
//! a second, lines are left out, counted, and the count is said with the next line that is written.

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

/// Lines that wait for standard output; some seconds of a busy process.
const WAITING_LINES: usize = 1_024;
/// Pause between two writes, so that lines are written together.
const WRITE_PAUSE: Duration = Duration::from_millis(100);
const SECOND: Duration = Duration::from_secs(1);

/// Starts logging for the whole process.
pub fn start(config: LogConfig) {
    let (lines, inbox) = sync_channel(WAITING_LINES);
    std::thread::spawn(move || write_lines(&inbox));
    let bounded = BoundedLines {
        lines,
        allowed_per_s: config.lines_per_s,
        second: Instant::now(),
        in_second: 0,
        left_out: 0,
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
        // There is no other place to say that standard output is gone.
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

struct Pairs<'a>(&'a mut Formatter);

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        write!(self.0, " {key}={value}").map_err(log::kv::Error::boxed)
    }
}

struct BoundedLines {
    lines: SyncSender<Vec<u8>>,
    allowed_per_s: u32,
    second: Instant,
    in_second: u32,
    left_out: u64,
}

impl Write for BoundedLines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.second.elapsed() >= SECOND {
            self.second = Instant::now();
            self.in_second = 0;
        }
        self.in_second += 1;
        if self.in_second > self.allowed_per_s {
            self.left_out += 1;
            return Ok(line.len());
        }
        let mut text = Vec::with_capacity(line.len());
        if self.left_out > 0 {
            text.extend_from_slice(format!("log: lines left out={}\n", self.left_out).as_bytes());
        }
        text.extend_from_slice(line);
        match self.lines.try_send(text) {
            Ok(()) => self.left_out = 0,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.left_out += 1,
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
