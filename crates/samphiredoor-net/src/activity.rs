//! What a server's connection waits for: a request, the rest of a request's head, or a response.

use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Instant,
};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use crate::{Body, BoxError};

/// Wait of a connection for its client, which a limit applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// No byte of a request has arrived.
    Idle,
    /// A part of a request's head has arrived.
    Head,
}

impl Wait {
    /// Label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Wait::Idle => "idle",
            Wait::Head => "head",
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Phase {
    Waiting(Wait, Instant),
    /// A request is handled, or its response is sent.
    Request {
        has_body: bool,
        /// When the first bytes of the next request arrived, if they have.
        next_head: Option<Instant>,
    },
}

/// Current phase of a connection.
#[derive(Debug)]
pub struct Activity(Cell<Phase>);

impl Activity {
    /// Activity of a connection that was just accepted.
    pub fn new() -> Activity {
        Activity(Cell::new(Phase::Waiting(Wait::Idle, Instant::now())))
    }

    /// What the connection waits for, and since when; `None` while a request is handled.
    pub fn wait(&self) -> Option<(Wait, Instant)> {
        match self.0.get() {
            Phase::Waiting(wait, since) => Some((wait, since)),
            Phase::Request { .. } => None,
        }
    }

    /// Records that bytes were read.
    pub fn record_read(&self) {
        match self.0.get() {
            Phase::Waiting(Wait::Idle, _) => {
                self.0.set(Phase::Waiting(Wait::Head, Instant::now()));
            }
            Phase::Request { has_body: false, next_head: None } => {
                let next_head = Some(Instant::now());
                self.0.set(Phase::Request { has_body: false, next_head });
            }
            Phase::Waiting(Wait::Head, _) | Phase::Request { .. } => {}
        }
    }

    /// Records that the head of a request is complete.
    pub fn start_request(&self, has_body: bool) {
        self.0.set(Phase::Request { has_body, next_head: None });
    }

    fn end_response(&self) {
        let Phase::Request { next_head, .. } = self.0.get() else { return };
        self.0.set(match next_head {
            Some(since) => Phase::Waiting(Wait::Head, since),
            None => Phase::Waiting(Wait::Idle, Instant::now()),
        });
    }
}

impl Default for Activity {
    fn default() -> Activity {
        Activity::new()
    }
}

/// Body of a response; records the end of the response when it is dropped.
pub struct RecordedBody {
    body: Body,
    activity: Rc<Activity>,
}

impl RecordedBody {
    /// Wraps the body of a response.
    pub fn new(body: Body, activity: Rc<Activity>) -> RecordedBody {
        RecordedBody { body, activity }
    }
}

impl Drop for RecordedBody {
    fn drop(&mut self) {
        self.activity.end_response();
    }
}

impl HttpBody for RecordedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
