//! Forwards an event stream from a target to a caller. If the stream is interrupted and its route is resumable, another
//! target continues it after the last event that was forwarded.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use samphiredoor_core::{placement::AttemptEnd, routes::RouteKind, verdict::MayHaveRunReason};
use samphiredoor_net::{Body, BoxError, pool::Framing};

use super::{
    online::{ActiveStream, NoAnswer, OnlineRequest},
    silence::{Attempt, Awaited, Loss},
};
use crate::{
    event_sequence::LastEvent,
    event_stream::{Received, StreamEnd},
    metrics::Stage,
};

/// A stream that is being forwarded. Dropping it, as when the caller disconnects, closes the connection to the target.
pub struct ForwardedStream {
    request: OnlineRequest,
    /// `None` after the end of the stream.
    active: Option<ActiveStream>,
    /// Last event that the caller has, of this answer or of the one that it takes up.
    last_event: LastEvent,
    /// When the first event arrived.
    started: Instant,
}

type Piece = Result<Bytes, BoxError>;

impl ForwardedStream {
    /// Creates a stream of which nothing has been forwarded.
    pub fn new(request: OnlineRequest, active: ActiveStream) -> ForwardedStream {
        let started = Instant::now();
        let last_event = LastEvent::with_number(request.taken_up.as_ref().map(|it| it.after));
        ForwardedStream { request, active: Some(active), last_event, started }
    }

    /// Body for the caller, read ahead if the gateway does that.
    pub fn into_body(self) -> Body {
        let front = &self.request.front;
        if !front.reads_ahead {
            return Body::stream(self.into_stream());
        }
        let is_repeatable = self.request.route.kind.is_repeatable();
        let limit = front.buffers.stream_limit(&self.request.id, is_repeatable);
        Body::read_ahead(self.into_stream(), limit)
    }

    /// Pieces for the caller. An interrupted stream ends with an error, so that it never looks complete.
    fn into_stream(self) -> impl Stream<Item = Piece> {
        futures_util::stream::unfold(self, |mut this| async move {
            let piece = this.next().await?;
            Some((piece, this))
        })
    }

    async fn next(&mut self) -> Option<Piece> {
        loop {
            let active = self.active.as_mut()?;
            if let Some(piece) = take_events(active, &mut self.last_event) {
                return Some(Ok(piece));
            }
            let attempt = Attempt {
                request: &self.request,
                target: &active.target,
                address: active.address,
                ticket: &active.ticket,
                next_run: self.request.next_run_after(self.last_event.resumable()),
            };
            let (loss, label) = match attempt
                .receive(Awaited::Event, active.stream.receive(), Received::is_progress)
                .await
            {
                Ok(Received::Event) => continue,
                Ok(Received::End(StreamEnd::Whole)) => return self.finish_stream(),
                Ok(Received::End(end)) => (Loss::lost(MayHaveRunReason::AnswerCut), end.label()),
                Err(loss) => {
                    let label = loss.cause.label();
                    (loss, label)
                }
            };
            match self.resume_or_fail(loss, label).await {
                Ok(Some(active)) => self.active = Some(active),
                Ok(None) => {
                    self.finish();
                    return None;
                }
                Err(err) => return Some(Err(err)),
            }
        }
    }

    fn finish_stream(&mut self) -> Option<Piece> {
        let mut active = self.active.take()?;
        active.ticket.report_end(AttemptEnd::Answered);
        self.note_whole(&active);
        let rest = active.stream.take_rest();
        self.request.note_answer(active.run, true);
        self.finish();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    fn finish(&self) {
        let metrics = &self.request.front.metrics;
        metrics.answer_completed(self.request.started.elapsed());
        metrics.stage(Stage::Rest, self.started.elapsed());
        self.request.log_end("streamed", 200);
    }

    /// Counts a whole stream, and logs it if nothing but the close of its connection says that it is whole.
    fn note_whole(&self, active: &ActiveStream) {
        let framing = active.stream.framing();
        self.request.front.metrics.stream_ended(framing, StreamEnd::Whole.label());
        if framing == Framing::Close {
            log::info!(
                request = self.request.id, target = &*active.target, framing = framing.label(),
                after = self.last_event.number().unwrap_or(0);
                "front: stream ended"
            );
        }
    }

    /// Resumes an interrupted stream at another target; `None` if its last event was forwarded already. The error ends the
    /// answer.
    async fn resume_or_fail(
        &mut self,
        loss: Loss,
        label: &'static str,
    ) -> Result<Option<ActiveStream>, BoxError> {
        let Loss { end, cause, held } = loss;
        let Some(active) = self.active.take() else { return Ok(None) };
        let ActiveStream { stream, mut ticket, target, run, .. } = active;
        ticket.report_end(end);
        self.request.note_run_end(run, end);
        let framing = stream.framing();
        self.request.front.metrics.stream_ended(framing, label);
        log::info!(
            request = self.request.id, target = &*target, after = self.last_event.number().unwrap_or(0),
            reason = cause.label(), framing = framing.label(), end = label,
            unfinished_bytes = stream.unfinished_bytes();
            "front: stream interrupted"
        );
        self.request.note_left(end, &target, held);
        // Closes the connection, so that the target stops before another one continues the stream.
        drop(stream);
        let resumable = matches!(self.request.route.kind, RouteKind::Stream { resumable: true });
        let why = match (resumable, self.last_event.resumable()) {
            (true, Some(last)) => match self.request.resume(last, cause).await {
                Ok(active) => return Ok(active),
                Err(why) => why,
            },
            _ => NoAnswer::MayHaveRun(cause),
        };
        let outcome = why.label();
        self.request.log_end(outcome, 0);
        Err(format!("the stream was cut: {outcome}").into())
    }
}

/// Takes all whole events that have arrived.
fn take_events(active: &mut ActiveStream, last: &mut LastEvent) -> Option<Bytes> {
    let mut first: Option<Bytes> = None;
    let mut more = BytesMut::new();
    while let Some(event) = active.stream.next_event() {
        last.note(&event);
        match &first {
            None => first = Some(event.raw),
            Some(first) => {
                if more.is_empty() {
                    more.extend_from_slice(first);
                }
                more.extend_from_slice(&event.raw);
            }
        }
    }
    if more.is_empty() { first } else { Some(more.freeze()) }
}
