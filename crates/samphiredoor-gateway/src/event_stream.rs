//! Reads event streams of targets, and decides whether a stream is whole when its body ends.
//!
//! The end of a body is no proof: a target that fails may close its connection in order, which is also how a body without
//! a length or chunks ends, and a proxy in front of it may end the chunks in order. Online requests and items of jobs read
//! streams through this module, so that both decide alike.
//!
//! A target may also send bytes without end that are no event. They are no sign that it works, so waits last until a whole event
//! has been received, and a stream breaks off once too many bytes have come without one.
//!
//! A body that only the close of its connection ends, after a whole event, looks the same whether the target has finished
//! it or has crashed. A target that has crashed refuses new connections, so such an end is whole only if it accepts one.

use std::net::SocketAddr;

use http_body_util::BodyExt;
use samphiredoor_net::{
    pool::{Framing, ResponseBody},
    probe::refuses_connections,
};

use crate::{
    event_sequence::EventSequence,
    events::{Event, EventBuffer},
};

/// Event stream that a target sends.
pub struct EventStream {
    body: ResponseBody,
    target: SocketAddr,
    buffer: EventBuffer,
    sequence: EventSequence,
    /// Next event, once it has been accepted.
    accepted: Option<Event>,
    /// Whether an event was not of the run that was asked for; nothing after it is taken.
    is_other_run: bool,
    /// Whether an event was taken.
    has_taken: bool,
}

/// What was received of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Received {
    /// A whole event.
    Event,
    /// The end of the stream.
    End(StreamEnd),
}

impl Received {
    /// Whether the target goes on with its answer, or has ended it.
    pub fn is_progress(&self) -> bool {
        match self {
            Received::Event | Received::End(StreamEnd::Whole) => true,
            Received::End(StreamEnd::BrokenOff(_)) => false,
        }
    }
}

/// How a stream has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// All of it was received.
    Whole,
    /// It has been broken off.
    BrokenOff(BreakOff),
}

/// Why a stream counts as broken off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakOff {
    /// The connection failed before the end of the body.
    ConnectionFailed,
    /// The body ended in order, but inside an event.
    InsideEvent,
    /// The connection was closed in order before the first event, and nothing but its close marks the end of the body.
    NoEvent,
    /// The connection was closed in order after a whole event, which may be the end of the body, and the target is gone.
    TargetGone,
    /// An event is not of the run that was asked for.
    OtherRun,
    /// Too many bytes came without a whole event.
    BytesWithoutEvent,
}

impl StreamEnd {
    /// Decides on a stream whose body has ended in order. `rest` is what came after its last whole event.
    pub fn of_body(framing: Framing, has_event: bool, rest: &EventBuffer) -> StreamEnd {
        if rest.is_inside_event() {
            return StreamEnd::BrokenOff(BreakOff::InsideEvent);
        }
        match framing {
            Framing::Close if !has_event => StreamEnd::BrokenOff(BreakOff::NoEvent),
            Framing::Close | Framing::Length | Framing::Chunked => StreamEnd::Whole,
        }
    }

    /// Label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            StreamEnd::Whole => "whole",
            StreamEnd::BrokenOff(BreakOff::ConnectionFailed) => "connection_failed",
            StreamEnd::BrokenOff(BreakOff::InsideEvent) => "inside_event",
            StreamEnd::BrokenOff(BreakOff::NoEvent) => "no_event",
            StreamEnd::BrokenOff(BreakOff::TargetGone) => "target_gone",
            StreamEnd::BrokenOff(BreakOff::OtherRun) => "other_run",
            StreamEnd::BrokenOff(BreakOff::BytesWithoutEvent) => "bytes_without_event",
        }
    }
}

impl EventStream {
    /// Stream in the body of a response of a target, whose events have to be of this sequence.
    pub fn new(body: ResponseBody, target: SocketAddr, sequence: EventSequence) -> EventStream {
        EventStream {
            body,
            target,
            buffer: EventBuffer::default(),
            sequence,
            accepted: None,
            is_other_run: false,
            has_taken: false,
        }
    }

    /// Waits for a whole event or the end of the stream. Nothing is lost if the future is dropped.
    pub async fn receive(&mut self) -> Received {
        while !self.has_event() {
            if self.is_other_run {
                return Received::End(StreamEnd::BrokenOff(BreakOff::OtherRun));
            }
            if self.buffer.is_overlong() {
                return Received::End(StreamEnd::BrokenOff(BreakOff::BytesWithoutEvent));
            }
            match self.body.frame().await {
                // Trailers are skipped.
                Some(Ok(frame)) => self.buffer.push(&frame.into_data().unwrap_or_default()),
                Some(Err(err)) => {
                    log::debug!("stream: connection failed: {err}");
                    return Received::End(StreamEnd::BrokenOff(BreakOff::ConnectionFailed));
                }
                None => return Received::End(self.end().await),
            }
        }
        Received::Event
    }

    /// Decides whether the stream is whole, after its body has ended in order and all whole events have been taken.
    async fn end(&self) -> StreamEnd {
        match StreamEnd::of_body(self.framing(), self.has_taken, &self.buffer) {
            StreamEnd::Whole if is_cut_by_crash(self.framing(), self.target).await => {
                StreamEnd::BrokenOff(BreakOff::TargetGone)
            }
            end => end,
        }
    }

    /// Whether a whole event can be taken.
    pub fn has_event(&mut self) -> bool {
        self.accept_next();
        self.accepted.is_some()
    }

    /// Takes the next whole event; `None` until it has been received, and once an event is of another run.
    pub fn next_event(&mut self) -> Option<Event> {
        self.accept_next();
        let event = self.accepted.take()?;
        self.has_taken = true;
        Some(event)
    }

    fn accept_next(&mut self) {
        if self.accepted.is_some() || self.is_other_run {
            return;
        }
        let Some(event) = self.buffer.take_event() else { return };
        match self.sequence.accept(&event) {
            true => self.accepted = Some(event),
            false => self.is_other_run = true,
        }
    }

    /// Takes the blank lines and comments after the last event of a whole stream.
    pub fn take_rest(&mut self) -> bytes::Bytes {
        self.buffer.take_rest()
    }

    /// How the end of its body is marked.
    pub fn framing(&self) -> Framing {
        self.body.framing()
    }

    /// Number of bytes after the last whole event.
    pub fn unfinished_bytes(&self) -> usize {
        self.buffer.unfinished_bytes()
    }
}

/// Whether a body that has ended in order may have been cut by a crash of its target.
pub async fn is_cut_by_crash(framing: Framing, target: SocketAddr) -> bool {
    framing == Framing::Close && refuses_connections(target).await
}
