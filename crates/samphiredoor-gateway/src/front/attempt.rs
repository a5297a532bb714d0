//! One attempt of a request at one target, up to the first event or the whole body of its answer.

use std::cell::Cell;

use hyper::{Response, http::response};
use samphiredoor_core::{
    overload::buffer_budget::Holder, placement::AttemptEnd, verdict::MayHaveRunReason,
};
use samphiredoor_net::{
    Call,
    pool::{ResponseBody, SendError, within},
};

use super::{
    Front,
    silence::{Attempt, Awaited, Loss},
};
use crate::{
    event_stream::{EventStream, Received, StreamEnd, is_cut_by_crash},
    events::is_event_stream,
    platform_api::HeaderNames,
    target_client,
    whole_answer::is_broken_off,
};

/// Size limit of answers that are buffered before they are forwarded: all but event streams.
const MAX_WHOLE_BYTES: usize = 16 * 1024 * 1024;

/// Outcome of an attempt.
pub enum AttemptOutcome {
    /// The target started an event stream, of which the first event has arrived.
    Stream(Box<response::Parts>, EventStream),
    /// The target sent a whole answer.
    Whole(Box<response::Parts>, bytes::Bytes),
    /// The target certainly did not run the request.
    NotRun(AttemptEnd),
    /// The target may have run the request, but its answer was lost.
    MayHaveRun(Loss),
}

/// Sends a call to a target and waits for the first event of its answer, or for the whole answer if it is no stream.
pub async fn run_attempt(
    front: &Front,
    names: &HeaderNames,
    call: &Call,
    attempt: &Attempt<'_>,
) -> AttemptOutcome {
    let Attempt { target, address, .. } = *attempt;
    let sending = front.targets.send(target, address, call);
    let response = match attempt.receive(Awaited::Head, sending, Result::is_ok).await {
        Ok(Ok(response)) => response,
        Ok(Err(SendError::NotSent(err))) => {
            log::info!(target = &**target, problem:% = err; "target: connection failed");
            return AttemptOutcome::NotRun(AttemptEnd::Unreachable);
        }
        Ok(Err(SendError::MayHaveRun(err))) => {
            log::info!(target = &**target, problem:% = err; "target: answer lost");
            return lost(MayHaveRunReason::ConnectionLost);
        }
        Err(loss) => return AttemptOutcome::MayHaveRun(loss),
    };
    if let Some(end) = target_client::not_run_reason(names, &response) {
        return AttemptOutcome::NotRun(end);
    }
    read_answer(front, response, attempt).await
}

fn lost(cause: MayHaveRunReason) -> AttemptOutcome {
    AttemptOutcome::MayHaveRun(Loss::lost(cause))
}

async fn read_answer(
    front: &Front,
    response: Response<ResponseBody>,
    attempt: &Attempt<'_>,
) -> AttemptOutcome {
    let Attempt { request, address, .. } = *attempt;
    let request = &*request.id;
    let (parts, body) = response.into_parts();
    if parts.status.is_success() && is_event_stream(&parts.headers) {
        let stream = EventStream::new(body, address, attempt.request.event_sequence());
        return read_first_event(front, Box::new(parts), stream, attempt).await;
    }
    let framing = body.framing();
    let is_waiting = Cell::new(false);
    let whole = front.buffers.read_whole(Holder::WholeAnswer, body, MAX_WHOLE_BYTES, &is_waiting);
    match within(attempt.request.remaining(), whole).await {
        Some(Ok(body)) if is_broken_off(framing, &parts.headers, &body) => {
            log::info!(request, framing = framing.label(), bytes = body.len(); "front: answer ended inside its value");
            lost(MayHaveRunReason::AnswerCut)
        }
        Some(Ok(_)) if is_cut_by_crash(framing, address).await => {
            log::info!(request, framing = framing.label(); "front: target gone at the end of its answer");
            lost(MayHaveRunReason::AnswerCut)
        }
        Some(Ok(body)) => AttemptOutcome::Whole(Box::new(parts), body),
        Some(Err(err)) => {
            front.metrics.whole_answer_lost(err.label());
            log::info!(
                request, target = &**attempt.target, framing = framing.label(), reason = err.label();
                "front: answer not read whole"
            );
            lost(MayHaveRunReason::AnswerCut)
        }
        None => AttemptOutcome::MayHaveRun(Loss::deadline()),
    }
}

/// Reads a stream up to its first event. Nothing is sent to the caller before that, so a repeatable request can still
/// be retried at another target.
async fn read_first_event(
    front: &Front,
    parts: Box<response::Parts>,
    mut stream: EventStream,
    attempt: &Attempt<'_>,
) -> AttemptOutcome {
    match attempt.receive(Awaited::Event, stream.receive(), Received::is_progress).await {
        Ok(Received::Event) => AttemptOutcome::Stream(parts, stream),
        Ok(Received::End(end)) => {
            note_empty_stream(front, &attempt.request.id, &stream, end);
            match end {
                StreamEnd::Whole => AttemptOutcome::Whole(parts, stream.take_rest()),
                StreamEnd::BrokenOff(_) => lost(MayHaveRunReason::AnswerCut),
            }
        }
        Err(loss) => AttemptOutcome::MayHaveRun(loss),
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
