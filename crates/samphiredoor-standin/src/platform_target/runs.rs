//! Names of runs in the data of events, by which tests see which run made an event.
//!
//! A name follows the data: the number of the run, unique within the process, and the `Last-Event-Id` that it was asked with.

use std::{
    fmt,
    sync::atomic::{AtomicU64, Ordering},
};

static NEXT_RUN: AtomicU64 = AtomicU64::new(1);

const NAME_START: &str = "[run ";
const AFTER: &str = " after ";
/// Stands for the number after which a run goes on, in the name of one that begins a stream.
const FROM_START: &str = "none";

/// Run of a target, as it is named in the data of its events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct NamedRun {
    /// Number of the run, unique within the process.
    pub number: u64,
    /// `Last-Event-Id` that it was asked with; `None` if it was asked to begin.
    pub after: Option<u64>,
}

impl NamedRun {
    /// Run that begins now, with the next number.
    pub fn begin(after: Option<u64>) -> NamedRun {
        NamedRun { number: NEXT_RUN.fetch_add(1, Ordering::Relaxed), after }
    }

    /// Adds the name to the data of an event.
    pub fn add_to(self, data: &str) -> String {
        format!("{data} {self}")
    }

    /// Splits the data of an event from the name of its run; `None` if it has none.
    pub fn split(data: &str) -> Option<(&str, NamedRun)> {
        let (data, name) = data.split_once(' ')?;
        let (number, after) =
            name.strip_prefix(NAME_START)?.strip_suffix(']')?.split_once(AFTER)?;
        let after = match after {
            FROM_START => None,
            number => Some(number.parse().ok()?),
        };
        Some((data, NamedRun { number: number.parse().ok()?, after }))
    }
}

impl fmt::Display for NamedRun {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{NAME_START}{}{AFTER}", self.number)?;
        match self.after {
            Some(after) => write!(formatter, "{after}]"),
            None => write!(formatter, "{FROM_START}]"),
        }
    }
}

/// The received part of a stream as it is without names. An event whose name is cut off is kept up to the end of its data;
/// one with anything else after its data is kept as it is.
pub fn stream_without_names(body: &[u8]) -> Vec<u8> {
    let body = String::from_utf8_lossy(body);
    let lines = body.split_inclusive('\n').map(|line| {
        let content = line.strip_prefix("data: ").unwrap_or_default();
        let whole = content.strip_suffix('\n').and_then(NamedRun::split).map(|(data, _)| data);
        let cut_off = content.split_once(' ').filter(|(_, rest)| is_cut_off_name(rest));
        match whole.or(cut_off.map(|(data, _)| data)) {
            // A line feed follows the data, so that a stream with too little data before the name differs.
            Some(data) => format!("data: {data}\n"),
            None => line.to_owned(),
        }
    });
    lines.collect::<String>().into_bytes()
}

/// The text of an item as it is without names. A line without a name is kept as it is.
pub fn text_without_names(text: &str) -> String {
    let lines = text.split('\n').map(|it| NamedRun::split(it).map_or(it, |(data, _)| data));
    lines.collect::<Vec<&str>>().join("\n")
}

/// Whether the bytes after the data of an event, at the end of what was received, are the beginning of a name.
fn is_cut_off_name(rest: &str) -> bool {
    let Some(rest) = rest.strip_prefix(NAME_START) else { return NAME_START.starts_with(rest) };
    let rest = rest.trim_start_matches(|it: char| it.is_ascii_digit());
    let Some(rest) = rest.strip_prefix(AFTER) else { return AFTER.starts_with(rest) };
    let rest = rest.trim_start_matches(|it: char| it.is_ascii_digit());
    rest.is_empty() || rest == "]" || FROM_START.starts_with(rest) || rest == "none]"
}
