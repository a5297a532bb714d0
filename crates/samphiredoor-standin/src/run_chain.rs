//! The chain of runs that make up a stream or the text of an item.
//!
//! Each event follows the one before it, and another run may only go on after event n if it was asked with the
//! `Last-Event-Id` n. All events are by one software version. The events are those of targets that name their runs.

use std::fmt;

use crate::platform_target::{FIRST_VERSION, NamedRun};

/// First event that does not continue a stream or a text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChainBreak {
    /// Events are missing.
    Missing {
        /// Number of the first missing event.
        number: u64,
        /// Number of the event in its place.
        found: u64,
    },
    /// An event comes again.
    Twice {
        /// Number of the event.
        number: u64,
    },
    /// The run changes to one that was not asked to go on there.
    NotAsked {
        /// Number of the first event of the run.
        number: u64,
        /// The run.
        run: NamedRun,
        /// The run that made the event before, if that was received.
        before: Option<NamedRun>,
    },
    /// The software version changes.
    TwoVersions {
        /// Number of the first event of the other version.
        number: u64,
        /// Version of the events before.
        before: String,
        /// The other version.
        found: String,
    },
    /// What follows is no event of a target that names its runs.
    Unnamed {
        /// Number of the last event before it; `None` at the start.
        after: Option<u64>,
    },
}

impl fmt::Display for ChainBreak {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChainBreak::Missing { number, found } => {
                write!(formatter, "event {number} is missing, event {found} is in its place")
            }
            ChainBreak::Twice { number } => write!(formatter, "event {number} comes twice"),
            ChainBreak::NotAsked { number, run, before: Some(before) } => {
                write!(formatter, "the run changes at event {number} from {before} to {run}")
            }
            ChainBreak::NotAsked { number, run, before: None } => {
                write!(formatter, "it begins at event {number} with {run}")
            }
            ChainBreak::TwoVersions { number, before, found } => {
                write!(formatter, "the version changes at event {number} from {before} to {found}")
            }
            ChainBreak::Unnamed { after } => {
                let after = after.unwrap_or_default();
                write!(formatter, "what follows event {after} is no event that names its run")
            }
        }
    }
}

impl std::error::Error for ChainBreak {}

/// Who made an event.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Origin {
    run: NamedRun,
    version: String,
}

/// A stream or a text as far as it was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunChain {
    /// Number of the last event.
    last: Option<u64>,
    /// Origin of the last event; `None` if none was received.
    origin: Option<Origin>,
}

impl RunChain {
    /// Chain of a reader that asked for the events after this one; `None` if it asked for all.
    pub fn after(last: Option<u64>) -> RunChain {
        RunChain { last, origin: None }
    }

    /// Number of the last event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Adds the received part of an event stream up to its last whole event.
    ///
    /// # Errors
    ///
    /// The first event that does not continue the chain.
    pub fn push_stream(&mut self, body: &[u8]) -> Result<(), ChainBreak> {
        let body = String::from_utf8_lossy(body);
        let Some((whole, _)) = body.rsplit_once("\n\n") else { return Ok(()) };
        whole.split("\n\n").try_for_each(|event| {
            let (number, data) = stream_event(event).ok_or(self.unnamed())?;
            self.push_data(Some(number), data)
        })
    }

    /// Adds the text of an item.
    ///
    /// # Errors
    ///
    /// The first event that does not continue the chain.
    pub fn push_text(&mut self, text: &str) -> Result<(), ChainBreak> {
        text.split('\n').try_for_each(|data| self.push_data(None, data))
    }

    /// Adds the data of an event. A stream gives its number as well.
    fn push_data(&mut self, number: Option<u64>, data: &str) -> Result<(), ChainBreak> {
        let (written, origin) = origin_of(data).ok_or(self.unnamed())?;
        if number.is_some_and(|it| it != written) {
            return Err(self.unnamed());
        }
        self.check(written, &origin)?;
        (self.last, self.origin) = (Some(written), Some(origin));
        Ok(())
    }

    fn check(&self, number: u64, found: &Origin) -> Result<(), ChainBreak> {
        let expected = self.last.map_or(1, |it| it + 1);
        if number < expected {
            return Err(ChainBreak::Twice { number });
        }
        if number > expected {
            return Err(ChainBreak::Missing { number: expected, found: number });
        }
        if let Some(before) = self.origin.as_ref().filter(|it| it.version != found.version) {
            let (before, found) = (before.version.clone(), found.version.clone());
            return Err(ChainBreak::TwoVersions { number, before, found });
        }
        let before = self.origin.as_ref().map(|it| it.run);
        if before != Some(found.run) && found.run.after != self.last {
            return Err(ChainBreak::NotAsked { number, run: found.run, before });
        }
        Ok(())
    }

    fn unnamed(&self) -> ChainBreak {
        ChainBreak::Unnamed { after: self.last }
    }
}

/// Number and data of an event of a stream.
fn stream_event(event: &str) -> Option<(u64, &str)> {
    let (id, data) = event.split_once('\n')?;
    Some((id.strip_prefix("id: ")?.parse().ok()?, data.strip_prefix("data: ")?))
}

/// Number and origin of an event, from its data.
fn origin_of(data: &str) -> Option<(u64, Origin)> {
    let (data, run) = NamedRun::split(data)?;
    let piece = data.trim_end_matches('-').strip_prefix("piece-")?;
    let (number, version) = piece.split_once('@').unwrap_or((piece, FIRST_VERSION));
    Some((number.parse().ok()?, Origin { run, version: version.to_owned() }))
}
