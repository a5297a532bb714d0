//! Forwards a streamed answer from a target to the caller.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use samphiredoor_core::{
    dispatch::{AttemptEnd, Class},
    verdict::{MayHaveRunReason, Verdict},
};
use samphiredoor_net::{
    BoxError,
    body::{self, PieceError},
    pool::ResponseBody,
};

use crate::{
    answers::verdict_json,
    dispatch_task::RequestHandle,
    metrics::{Metrics, RunningGuard},
    quarantine_task::AdmittedAttempt,
    stream_end::{DoneDetector, StreamEnd},
};

/// How long the end of the framing may follow the last event of an engine, which sends both at once.
const END_TIMEOUT: Duration = Duration::from_millis(500);

/// A streamed answer that is being forwarded. It is dropped when the caller disconnects, which closes the connection to
/// the target.
pub struct ForwardedStream {
    /// Body of the answer after `first`.
    pub body: ResponseBody,
    /// First piece, which was read before the answer to the caller was started.
    pub first: Option<Bytes>,
    /// Detects the last event; only streams of engines have one.
    pub done_detector: Option<DoneDetector>,
    /// Set to the verdict when the stream ends.
    pub end: StreamEnd,
    /// Reports the end of the attempt to the dispatcher.
    pub handle: RequestHandle,
    /// Reports the end of the attempt to the quarantine; `None` once it is reported.
    pub admitted: Option<AdmittedAttempt>,
    /// Counts the verdict and the latency.
    pub metrics: Rc<Metrics>,
    /// When the request arrived.
    pub started: Instant,
    /// When the caller stops waiting for the answer.
    pub deadline: Instant,
    /// Counts the request as running until it is dropped.
    pub _running: RunningGuard,
}

/// Piece of a stream.
pub type Piece = Result<Bytes, BoxError>;

impl ForwardedStream {
    /// Next piece for the caller. A truncated answer of an engine ends with an error event, any other with an error, as no
    /// last event shows that it is incomplete.
    pub async fn next(
        forwarded: Option<ForwardedStream>,
    ) -> Option<(Piece, Option<ForwardedStream>)> {
        let mut this = forwarded?;
        let deadline = this.read_deadline();
        let piece = match this.first.take() {
            Some(first) => Ok(Some(first)),
            None => next_piece(&mut this.body, deadline).await,
        };
        let ended = match piece.and_then(|it| this.checked(it)) {
            Ok(Some(piece)) => return Some((Ok(piece), Some(this))),
            Ok(None) => Ok(()),
            Err(reason) => Err(reason),
        };
        let truncated = match &this.done_detector {
            // After the last event it does not matter how the connection ends.
            Some(detector) if detector.is_seen() => None,
            Some(_) => Some(ended.err().unwrap_or(MayHaveRunReason::AnswerCut)),
            None => ended.err(),
        };
        match truncated {
            None => this.completed(),
            Some(reason) => this.truncated(reason),
        }
    }

    /// Until when the next piece, or the end of the framing, is waited for.
    fn read_deadline(&self) -> Instant {
        match &self.done_detector {
            Some(detector) if detector.is_seen() => self.deadline.min(Instant::now() + END_TIMEOUT),
            _ => self.deadline,
        }
    }

    /// The part of a piece that belongs to the answer; `None` at its end.
    fn checked(&mut self, piece: Option<Bytes>) -> Result<Option<Bytes>, MayHaveRunReason> {
        let Some(detector) = &mut self.done_detector else { return Ok(piece) };
        let Some(mut piece) = piece else { return Ok(None) };
        piece.truncate(detector.push(&piece));
        if detector.is_line_too_large() {
            log::warn!("streams: an event of an engine does not end");
            return Err(MayHaveRunReason::AnswerCut);
        }
        let is_after_end = piece.is_empty() && detector.is_seen();
        Ok((!is_after_end).then_some(piece))
    }

    fn completed(mut self) -> Option<(Piece, Option<ForwardedStream>)> {
        if let Some(admitted) = self.admitted.take() {
            admitted.answered();
        }
        self.handle.ended(AttemptEnd::Completed);
        self.record_verdict(Verdict::Done);
        None
    }

    fn truncated(mut self, reason: MayHaveRunReason) -> Option<(Piece, Option<ForwardedStream>)> {
        if let Some(admitted) = self.admitted.take_if(|_| reason.is_loss()) {
            admitted.connection_lost_without_retry();
        }
        self.handle.ended(AttemptEnd::AnswerTruncated(reason));
        let verdict = Verdict::MayHaveRun { reason };
        self.record_verdict(verdict);
        let last = match self.done_detector {
            // An error event without `[DONE]` after it reports the truncation to the caller.
            Some(_) => Ok(format!("event: error\ndata: {}\n\n", verdict_json(verdict)).into()),
            None => Err("the target's answer was cut off".into()),
        };
        Some((last, None))
    }

    fn record_verdict(&self, verdict: Verdict) {
        self.end.set(verdict);
        self.metrics.count_outcome(Class::Online, verdict, self.started.elapsed().as_secs_f64());
    }
}

/// Next piece of an answer; `None` at the end of the framing, which need not be the end of the answer.
pub async fn next_piece(
    answer: &mut ResponseBody,
    deadline: Instant,
) -> Result<Option<Bytes>, MayHaveRunReason> {
    let left = deadline.saturating_duration_since(Instant::now());
    body::next_piece(answer, left).await.map_err(|err| match err {
        PieceError::Cut => MayHaveRunReason::AnswerCut,
        PieceError::TimedOut => MayHaveRunReason::DeadlinePassed,
    })
}
