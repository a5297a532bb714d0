//! Output of a batch item: what its runs have received, what of it is saved, and whether its target has answered.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use samphiredoor_core::{
    Name,
    ordered::{ItemEnd, OutputPart, PartId, PartialOutput, ServiceHash, TextOrigin},
    software_versions::StreamOrigin,
};

use crate::{
    buffers::{Buffers, HeldOutput},
    event_sequence::LastEvent,
    event_stream::EventStream,
};

/// Output of an item received so far.
#[derive(Default)]
pub struct Output {
    text: Vec<u8>,
    has_data: bool,
    last_event: LastEvent,
    /// Run that began the text; `None` before its first event.
    origin: Option<StreamOrigin>,
    /// Length of the text that was passed to the job's log to be saved.
    saved_bytes: usize,
    /// Last part that was passed to the job's log.
    saved: Option<SavedPart>,
    /// Total time of the attempts in this process that produced output.
    ran_ms: u64,
    /// Whether the item is at a target that has not answered yet: it may have failed there.
    awaits_answer: bool,
    /// Whether the run ends once the target has answered.
    is_stopping: bool,
    /// Target at which the last answer was lost, as long as others are better.
    avoided: Option<Name>,
    /// Account of the text in the buffer budget; `None` without a budget or text.
    held: Option<HeldOutput>,
}

/// Part of an output that was passed to the job's log.
#[derive(Debug, Clone, Copy)]
struct SavedPart {
    id: PartId,
    /// Number of its last event.
    last_event: u64,
}

/// Output that the run of an item appends to, and that the job's task reads to save it.
pub type SharedOutput = Rc<RefCell<Output>>;

impl Output {
    /// Appends the data of the events that have arrived. Returns whether there was any.
    pub fn consume(&mut self, stream: &mut EventStream) -> bool {
        let mut has_event = false;
        while let Some(event) = stream.next_event() {
            has_event = true;
            self.last_event.note(&event);
            event.append_data(&mut self.text, !self.has_data);
            self.has_data |= event.has_data();
        }
        has_event
    }

    /// Restores the output that was read from the job's log. Without its version it can't be continued, and the item begins
    /// anew.
    pub fn from_saved(partial: PartialOutput) -> Output {
        let TextOrigin { version: Some(version), service } = partial.origin else {
            return Output::default();
        };
        let origin = StreamOrigin {
            service: service.map_or(0, |it| it.0),
            ..StreamOrigin::of_version(version)
        };
        let saved_bytes = partial.text.len();
        Output {
            text: partial.text.into_bytes(),
            has_data: partial.has_data,
            last_event: LastEvent::with_number(Some(partial.last)),
            origin: Some(origin),
            saved_bytes,
            saved: Some(SavedPart { id: partial.part, last_event: partial.last }),
            ..Output::default()
        }
    }

    /// Run that began the text.
    pub fn origin(&self) -> Option<&StreamOrigin> {
        self.origin.as_ref()
    }

    /// Sets the run that begins the text, unless one has begun it already.
    pub fn begin_text(&mut self, origin: StreamOrigin) {
        if self.last_event().is_none() {
            self.origin = Some(origin);
        }
    }

    /// Drops the text, so that the item begins anew.
    pub fn drop_text(&mut self) {
        let (awaits_answer, is_stopping) = (self.awaits_answer, self.is_stopping);
        let avoided = self.avoided.take();
        *self = Output { awaits_answer, is_stopping, avoided, ..Output::default() };
    }

    /// Counts the text in the buffer budget, if there is one.
    pub fn count(&mut self, buffers: Option<&Buffers>) {
        let Some(buffers) = buffers.filter(|_| !self.text.is_empty()) else { return };
        self.held.get_or_insert_with(|| buffers.item_output()).grow_to(self.text.len());
    }

    /// Takes the account of the text, which is released once that is dropped.
    pub fn take_held(&mut self) -> Option<HeldOutput> {
        self.held.take()
    }

    /// Time of earlier runs. An item that holds memory counts as partly done even if its runs were stopped before their
    /// time was known: it must resume while new items wait for memory.
    pub fn prior_run_ms(&self) -> u64 {
        self.ran_ms.max(u64::from(self.held.is_some()))
    }

    /// Whether the item is at a target that has not answered yet.
    pub fn awaits_answer(&self) -> bool {
        self.awaits_answer
    }

    /// Lets the run end once the target has answered; returns whether it goes on until then. An item with output does not
    /// fail at each run, and its run can be dropped.
    pub fn stop_once_answered(&mut self) -> bool {
        self.is_stopping = self.awaits_answer && self.last_event().is_none();
        self.is_stopping
    }

    /// Target that the next run avoids if there is another one.
    pub fn avoided(&self) -> Option<&Name> {
        self.avoided.as_ref()
    }

    /// Sets the target that the next run avoids if there is another one.
    pub fn set_avoided(&mut self, target: Option<Name>) {
        self.avoided = target;
    }

    /// Notes that a run begins. An earlier one may have been dropped at its target.
    pub fn begin_run(&mut self) {
        self.awaits_answer = false;
        self.is_stopping = false;
    }

    /// Lets a run that was to end with the answer go on after it.
    pub fn continue_run(&mut self) {
        self.is_stopping = false;
    }

    /// Whether the run ends once the target has answered.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping
    }

    /// Number of the last event that was received.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event.number()
    }

    /// Drops a text that no other run can go on with. Returns whether there was one.
    pub fn drop_unresumable(&mut self) -> bool {
        let is_unresumable = self.last_event.is_passed();
        if is_unresumable {
            self.drop_text();
        }
        is_unresumable
    }

    /// Notes that the item is about to be sent to a target.
    pub fn begin_attempt(&mut self) {
        self.awaits_answer = true;
    }

    /// Notes that the target has answered, or did not get the item.
    pub fn note_answered(&mut self) {
        self.awaits_answer = false;
    }

    /// Ends an attempt, and returns whether the target had answered, or did not get it.
    pub fn end_attempt(&mut self) -> bool {
        !std::mem::take(&mut self.awaits_answer)
    }

    /// Adds the time of an attempt that produced output.
    pub fn add_run_time(&mut self, ran_ms: u64) {
        self.ran_ms += ran_ms;
    }

    /// Takes the output received since the last call; `None` if there was no new event.
    pub fn take_unsaved(&mut self, item: u32) -> Option<OutputPart> {
        let last = self.last_event.resumable()?;
        if self.saved.is_some_and(|it| last <= it.last_event) {
            return None;
        }
        let text = String::from_utf8_lossy(&self.text[self.saved_bytes..]).into_owned();
        self.saved_bytes = self.text.len();
        let id = PartId::new(rand::random());
        let before = self.saved.replace(SavedPart { id, last_event: last });
        Some(OutputPart {
            item,
            id: Some(id),
            follows: before.map(|it| it.id),
            after: before.map(|it| it.last_event),
            last,
            text,
            has_empty_data: self.has_data && self.text.is_empty(),
            origin: self.origin.as_ref().map(text_origin).unwrap_or_default(),
        })
    }

    /// Outcome of the item whose output this is the whole of.
    pub fn complete(&self) -> ItemEnd {
        let text = String::from_utf8_lossy(&self.text);
        ItemEnd::Completed { text: Arc::from(&*text) }
    }
}

/// What is saved of the run that began a text.
fn text_origin(run: &StreamOrigin) -> TextOrigin {
    let service = Some(run.service).filter(|it| *it != 0);
    TextOrigin { version: Some(Name::clone(&run.version)), service: service.map(ServiceHash) }
}
