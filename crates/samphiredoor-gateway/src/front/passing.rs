//! A stream on its way from a target to a caller, continued at another target where it may be.

use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use samphiredoor_core::{placement::AttemptEnd, routes::RouteKind, verdict::MayHaveRunReason};
use samphiredoor_net::BoxError;

use super::{
    attempt::next_piece,
    online::{Online, Over, Streaming},
};

/// A stream on its way. Dropping it (the caller has gone) closes the connection to the target.
pub struct Passing {
    request: Online,
    streaming: Option<Streaming>,
    /// Number of the last event that was passed on.
    last: Option<u64>,
}

type Piece = Result<Bytes, BoxError>;

impl Passing {
    /// Stream that a target has begun for a request.
    pub fn new(request: Online, streaming: Streaming) -> Passing {
        Passing { request, streaming: Some(streaming), last: None }
    }

    /// Pieces for the caller; an error where the answer was cut, so that it never looks complete.
    pub fn into_stream(self) -> impl Stream<Item = Piece> {
        futures_util::stream::unfold(self, |mut this| async move {
            let piece = this.next().await?;
            Some((piece, this))
        })
    }

    async fn next(&mut self) -> Option<Piece> {
        loop {
            let streaming = self.streaming.as_mut()?;
            if let Some(piece) = take_events(streaming, &mut self.last) {
                return Some(Ok(piece));
            }
            let patience = self.request.patience();
            match next_piece(&mut streaming.begun.body, patience).await {
                Ok(Some(data)) => streaming.begun.events.push(&data),
                Ok(None) => return self.end(),
                Err((end, doubt)) => {
                    if let Some(err) = self.cut(end, doubt).await {
                        return Some(Err(err));
                    }
                }
            }
        }
    }

    fn end(&mut self) -> Option<Piece> {
        let mut streaming = self.streaming.take()?;
        streaming.ticket.report_end(AttemptEnd::Answered);
        self.request.front.metrics.whole(self.request.started.elapsed());
        self.request.log_end("streamed", 200);
        let rest = streaming.begun.events.take_rest();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    /// Goes on at another target; the error that cuts the answer if that cannot be.
    async fn cut(&mut self, end: AttemptEnd, doubt: MayHaveRunReason) -> Option<BoxError> {
        let mut streaming = self.streaming.take()?;
        streaming.ticket.report_end(end);
        log::info!(
            request = self.request.id, target = &*streaming.target, after = self.last.unwrap_or(0),
            reason = doubt.label();
            "front: stream cut"
        );
        // Closes the connection, so that the target stops before another one goes on.
        drop(streaming);
        let resumable = matches!(self.request.route.kind, RouteKind::Stream { resumable: true });
        let over = match (resumable, self.last) {
            (true, Some(last)) => match self.request.resume(last, doubt).await {
                Ok(streaming) => {
                    self.streaming = Some(streaming);
                    return None;
                }
                Err(over) => over,
            },
            _ => Over::Doubt(doubt),
        };
        let outcome = match over {
            Over::Refused { reason, .. } => reason.label(),
            Over::Doubt(doubt) => doubt.label(),
        };
        self.request.log_end(outcome, 0);
        Some(format!("the stream was cut: {outcome}").into())
    }
}

/// All whole events that have arrived, but for those that were passed on before.
fn take_events(streaming: &mut Streaming, last: &mut Option<u64>) -> Option<Bytes> {
    let mut first: Option<Bytes> = None;
    let mut more = BytesMut::new();
    while let Some(event) = streaming.begun.events.next() {
        if event.id.is_some() && event.id <= *last {
            continue;
        }
        *last = event.id.or(*last);
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
