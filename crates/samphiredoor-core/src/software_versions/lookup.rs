//! The question at which version a stream was begun, and what follows from the answers of its holders.

use super::{Holders, StreamOrigin};
use crate::Name;

/// What a gateway knows of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// It has a record of it.
    Recorded(StreamOrigin),
    /// It has a record, and the origin is uncertain.
    Ambiguous,
    /// It has no record. With a version if all targets of the service have been of it for as long as the stream may have lasted.
    NoRecord(Option<Name>),
    /// It has no record, and targets of the service have been of several versions in that time.
    SeveralVersions,
}

/// What was found out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Found {
    /// The stream may go on at this origin's version.
    Origin(StreamOrigin),
    /// It is not known which version began the stream.
    Unknown,
}

/// Lookup of one stream.
#[derive(Debug, Clone)]
pub struct Lookup {
    /// Holders that have not answered.
    waiting: Holders,
    has_asked: bool,
    has_answer: bool,
    /// The version that a gateway without a record has named.
    sole: Option<Name>,
    /// Whether two gateways have named different versions, or one has seen several.
    is_contradicted: bool,
}

impl Lookup {
    /// Lookup that asks these holders. `own` is the answer of the gateway itself.
    ///
    /// # Errors
    ///
    /// The own answer suffices.
    pub fn new(holders: Holders, own: Answer) -> Result<Lookup, Found> {
        let has_asked = !holders.is_empty();
        let mut lookup = Lookup {
            waiting: holders,
            has_asked,
            has_answer: false,
            sole: None,
            is_contradicted: false,
        };
        match lookup.apply(own) {
            Some(found) => Err(found),
            None if !has_asked => Err(lookup.conclude()),
            None => Ok(lookup),
        }
    }

    /// Holders that have not answered.
    pub fn waiting(&self) -> &[u64] {
        &self.waiting
    }

    /// Applies the answer of a holder; returns the result once it is certain.
    pub fn answered(&mut self, holder: u64, answer: Answer) -> Option<Found> {
        if !self.waiting.contains(&holder) {
            return None;
        }
        self.waiting.retain(|it| *it != holder);
        self.has_answer = true;
        self.apply(answer).or_else(|| self.waiting.is_empty().then(|| self.conclude()))
    }

    /// Result if no further answer comes. A gateway that hears of no holder may be cut off: what it takes for the only
    /// version may be out of date.
    pub fn conclude(&self) -> Found {
        let is_heard = self.has_answer || !self.has_asked;
        match &self.sole {
            Some(version) if is_heard && !self.is_contradicted => {
                Found::Origin(StreamOrigin::of_version(Name::clone(version)))
            }
            _ => Found::Unknown,
        }
    }

    fn apply(&mut self, answer: Answer) -> Option<Found> {
        match answer {
            Answer::Recorded(origin) => Some(Found::Origin(origin)),
            Answer::Ambiguous => Some(Found::Unknown),
            Answer::NoRecord(None) => None,
            Answer::SeveralVersions => {
                self.is_contradicted = true;
                None
            }
            Answer::NoRecord(Some(version)) => {
                self.is_contradicted |= self.sole.as_ref().is_some_and(|it| *it != version);
                self.sole = Some(version);
                None
            }
        }
    }
}
