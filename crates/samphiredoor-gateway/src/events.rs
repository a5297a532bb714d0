//! Splits server-sent event streams into whole events.
//!
//! A target may fail in the middle of an event. Only whole events are forwarded, so that another target can resume the
//! stream after the last one.

use bytes::{Bytes, BytesMut};
use hyper::{HeaderMap, header};

/// Content type of an event stream.
const CONTENT_TYPE: &str = "text/event-stream";

/// Whether an answer is an event stream, by its content type.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE).and_then(|it| it.to_str().ok());
    content_type.is_some_and(|it| it.starts_with(CONTENT_TYPE))
}

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event, with the blank line that ends it.
    pub raw: Bytes,
    /// Number in the last `id` field, if there is one.
    pub id: Option<u64>,
}

impl Event {
    fn new(raw: Bytes) -> Event {
        let id = fields(&raw).filter(|(name, _)| *name == b"id").last();
        let id = id.and_then(|(_, value)| std::str::from_utf8(value).ok()?.trim().parse().ok());
        Event { raw, id }
    }

    /// Appends the data lines of the event to `text`, separated by line feeds. `is_first` means that no data has been
    /// appended before, so that no line feed comes first.
    pub fn append_data(&self, text: &mut Vec<u8>, is_first: bool) {
        let mut first = is_first;
        for (_, data) in fields(&self.raw).filter(|(name, _)| *name == b"data") {
            if !std::mem::take(&mut first) {
                text.push(b'\n');
            }
            text.extend_from_slice(data);
        }
    }

    /// Whether the event has a data line.
    pub fn has_data(&self) -> bool {
        fields(&self.raw).any(|(name, _)| name == b"data")
    }
}

/// Name and value of each line of an event, without the space after the colon.
fn fields(raw: &[u8]) -> impl Iterator<Item = (&[u8], &[u8])> {
    raw.split(|it| *it == b'\n').filter_map(|line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let colon = line.iter().position(|it| *it == b':')?;
        let (name, value) = (&line[..colon], &line[colon + 1..]);
        Some((name, value.strip_prefix(b" ").unwrap_or(value)))
    })
}

/// Bytes that may come without a whole event before a stream counts as broken off. An event holds a few tokens, or a result of
/// at most a few tens of kilobytes; the eight streams of a target that never ends an event hold 2 MB with this limit.
pub const MAX_EVENTLESS_BYTES: usize = 256 * 1024;

/// Collects bytes as they arrive and returns whole events.
///
/// A whole event has a line of data or an id, and a blank line ends it. Comments, blank lines and other fields are no event of
/// their own: they are returned with the next one.
#[derive(Debug, Default)]
pub struct EventBuffer {
    rest: BytesMut,
    /// End of the first whole event; `None` if there is none before `searched`.
    event_end: Option<usize>,
    /// Length of the part of `rest` that was searched for the end of the first event.
    searched: usize,
    /// Begin of the line in which the search stopped.
    line_start: usize,
    /// Whether the event in which the search stopped has a line of data or an id.
    has_content: bool,
}

impl EventBuffer {
    /// Appends received bytes.
    pub fn push(&mut self, data: &[u8]) {
        self.rest.extend_from_slice(data);
        self.search();
    }

    /// Whether a whole event has arrived.
    pub fn has_event(&self) -> bool {
        self.event_end.is_some()
    }

    /// Takes the next whole event; `None` until it has arrived.
    pub fn take_event(&mut self) -> Option<Event> {
        let end = self.event_end?;
        let raw = self.rest.split_to(end).freeze();
        self.restart_search();
        Some(Event::new(raw))
    }

    /// Whether the bytes that are left end inside an event. Blank lines and whole comments are none.
    pub fn is_inside_event(&self) -> bool {
        let mut is_inside = false;
        for line in self.rest.split_inclusive(|it| *it == b'\n') {
            let Some(line) = whole_line(line) else { return true };
            is_inside = !line.is_empty() && (is_inside || !line.starts_with(b":"));
        }
        is_inside
    }

    /// Number of bytes after the last whole event.
    pub fn unfinished_bytes(&self) -> usize {
        self.rest.len()
    }

    /// Whether more bytes have come without a whole event than a sound target sends.
    pub fn is_overlong(&self) -> bool {
        !self.has_event() && self.rest.len() > MAX_EVENTLESS_BYTES
    }

    /// Takes all bytes that are left, as at the end of the stream.
    pub fn take_rest(&mut self) -> Bytes {
        let rest = self.rest.split().freeze();
        self.restart_search();
        rest
    }

    fn restart_search(&mut self) {
        (self.event_end, self.searched, self.line_start) = (None, 0, 0);
        self.has_content = false;
        self.search();
    }

    /// Searches the bytes that were not searched before for the end of the first event.
    fn search(&mut self) {
        while self.event_end.is_none() {
            let unsearched = &self.rest[self.searched..];
            let Some(feed) = unsearched.iter().position(|it| *it == b'\n') else {
                self.searched = self.rest.len();
                return;
            };
            let line_end = self.searched + feed + 1;
            let line = whole_line(&self.rest[self.line_start..line_end]).unwrap_or_default();
            match line.is_empty() {
                true if self.has_content => self.event_end = Some(line_end),
                true => {}
                false => self.has_content |= is_content(line),
            }
            (self.searched, self.line_start) = (line_end, line_end);
        }
    }
}

/// A line without its end; `None` if that has not arrived.
fn whole_line(line: &[u8]) -> Option<&[u8]> {
    let line = line.strip_suffix(b"\n")?;
    Some(line.strip_suffix(b"\r").unwrap_or(line))
}

/// Whether a line is the data or the id of an event.
fn is_content(line: &[u8]) -> bool {
    let name = line.split(|it| *it == b':').next().unwrap_or_default();
    matches!(name, b"data" | b"id")
}
