//! One attempt of a request at one target, up to the first event or the whole body of its answer.

use std::{
    cell::Cell,
    net::SocketAddr,
    time::{Duration, Instant},
};

use hyper::{Response, http::response};
use samphiredoor_core::{
    Name, overload::buffer_budget::Holder, placement::AttemptEnd, verdict::MayHaveRunReason,
};
use samphiredoor_net::{
    Call,
    pool::{ResponseBody, SendError, within, within_or_late, within_or_ready},
};

use super::Front;
use crate::{
    event_stream::{EventStream, Received, StreamEnd, is_cut_by_crash},
    events::is_event_stream,
    platform_api::HeaderNames,
    target_client,
    whole_answer::is_broken_off,
};

/// Size limit of answers that are buffered before they are forwarded: all but event streams.
pub const MAX_WHOLE_BYTES: usize = 16 * 1024 * 1024;

/// Outcome of an attempt.
pub enum AttemptOutcome {
    /// The target started an event stream, of which the first event has arrived.
    Stream(Box<response::Parts>, EventStream),
    /// The target sent a whole answer.
    Whole(Box<response::Parts>, bytes::Bytes),
    /// The target certainly did not run the request.
    NotRun(AttemptEnd),
    /// The target may have run the request, but its answer was lost.
    MayHaveRun(AttemptEnd, MayHaveRunReason),
}

/// Time limits of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// How long the target may send nothing before the attempt fails.
    pub idle: Duration,
}

impl Timeouts {
    /// Time until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Outcome of a wait that timed out: the deadline has passed, or the target sent nothing for too long.
    pub fn expired(&self) -> (AttemptEnd, MayHaveRunReason) {
        match self.remaining().is_zero() {
            true => (AttemptEnd::Cut, MayHaveRunReason::DeadlinePassed),
            false => (AttemptEnd::Silent, MayHaveRunReason::ConnectionLost),
        }
    }

    /// Time limit for the next part of the answer.
    pub fn next_read(&self) -> Duration {
        self.remaining().min(self.idle)
    }
}

/// Sends a call to a target and waits for the first event of its answer, or for the whole answer if it is no stream.
pub async fn run_attempt(
    front: &Front,
    names: &HeaderNames,
    (target, address): (&Name, SocketAddr),
    call: &mut Call,
    timeouts: Timeouts,
) -> AttemptOutcome {
    target_client::set_target_headers(call, names, target, timeouts.remaining());
    let sending = front.targets.send(target, address, call);
    let response = match within_or_late(timeouts.next_read(), sending).await {
        Some(Ok(response)) => response,
        Some(Err(SendError::NotSent(err))) => {
            log::info!(target = &**target, problem:% = err; "target: connection failed");
            return AttemptOutcome::NotRun(AttemptEnd::Unreachable);
        }
        Some(Err(SendError::MayHaveRun(err))) => {
            log::info!(target = &**target, problem:% = err; "target: answer lost");
            return AttemptOutcome::MayHaveRun(AttemptEnd::Lost, MayHaveRunReason::ConnectionLost);
        }
        None => {
            let (end, cause) = timeouts.expired();
            return AttemptOutcome::MayHaveRun(end, cause);
        }
    };
    if let Some(end) = target_client::not_run_reason(names, &response) {
        return AttemptOutcome::NotRun(end);
    }
    read_answer(front, request_id(names, call), address, response, timeouts).await
}

/// Id of a request, for logs.
fn request_id<'a>(names: &HeaderNames, call: &'a Call) -> &'a str {
    call.headers.get(&names.request_id).and_then(|it| it.to_str().ok()).unwrap_or_default()
}

async fn read_answer(
    front: &Front,
    request: &str,
    target: SocketAddr,
    response: Response<ResponseBody>,
    timeouts: Timeouts,
) -> AttemptOutcome {
    let (parts, body) = response.into_parts();
    if parts.status.is_success() && is_event_stream(&parts.headers) {
        let stream = EventStream::new(body, target);
        return read_first_event(front, request, Box::new(parts), stream, timeouts).await;
    }
    let framing = body.framing();
    let is_waiting = Cell::new(false);
    let whole = front.read_whole(Holder::WholeAnswer, body, MAX_WHOLE_BYTES, &is_waiting);
    match within(timeouts.remaining(), whole).await {
        Some(Ok(body)) if is_broken_off(framing, &parts.headers, &body) => {
            log::info!(request, framing = framing.label(), bytes = body.len(); "front: answer ended inside its value");
            AttemptOutcome::MayHaveRun(AttemptEnd::Lost, MayHaveRunReason::AnswerCut)
        }
        Some(Ok(_)) if is_cut_by_crash(framing, target).await => {
            log::info!(request, framing = framing.label(); "front: target gone at the end of its answer");
            AttemptOutcome::MayHaveRun(AttemptEnd::Lost, MayHaveRunReason::AnswerCut)
        }
        Some(Ok(body)) => AttemptOutcome::Whole(Box::new(parts), body),
        Some(Err(_)) => AttemptOutcome::MayHaveRun(AttemptEnd::Lost, MayHaveRunReason::AnswerCut),
        None => AttemptOutcome::MayHaveRun(AttemptEnd::Cut, MayHaveRunReason::DeadlinePassed),
    }
}

/// Reads a stream up to its first event. Nothing is sent to the caller before that, so a repeatable request can still
/// be retried at another target.
async fn read_first_event(
    front: &Front,
    request: &str,
    parts: Box<response::Parts>,
    mut stream: EventStream,
    timeouts: Timeouts,
) -> AttemptOutcome {
    loop {
        if stream.has_event() {
            return AttemptOutcome::Stream(parts, stream);
        }
        match receive(&mut stream, timeouts).await {
            Ok(Received::Data) => {}
            Ok(Received::End(end)) => {
                note_empty_stream(front, request, &stream, end);
                return match end {
                    StreamEnd::Whole => AttemptOutcome::Whole(parts, stream.take_rest()),
                    StreamEnd::BrokenOff(_) => {
                        AttemptOutcome::MayHaveRun(AttemptEnd::Lost, MayHaveRunReason::AnswerCut)
                    }
                };
            }
            Err((end, cause)) => return AttemptOutcome::MayHaveRun(end, cause),
        }
    }
}

/// Counts and logs the end of a stream without a whole event.
fn note_empty_stream(front: &Front, request: &str, stream: &EventStream, end: StreamEnd) {
    let framing = stream.framing();
    front.metrics.stream_ended(framing, end.label());
    log::info!(
        request, framing = framing.label(), end = end.label(), unfinished_bytes = stream.unfinished_bytes();
        "front: stream ended without an event"
    );
}

/// Waits for the next part of a stream; the error tells why none came in time.
pub async fn receive(
    stream: &mut EventStream,
    timeouts: Timeouts,
) -> Result<Received, (AttemptEnd, MayHaveRunReason)> {
    let received = within_or_ready(timeouts.next_read(), stream.receive()).await;
    received.ok_or_else(|| timeouts.expired())
}
