//! A stream on its way from a target to a caller.

use std::{rc::Rc, time::Instant};

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
    dispatch_task::Ticket,
    metrics::{Metrics, Running},
    quarantine_task::Pass,
    stream_end::{DoneMark, StreamEnd},
};

/// A stream on its way to the caller. Dropping it (the caller has gone) closes the connection to the target.
pub struct Passing {
    /// Rest of the answer.
    pub body: ResponseBody,
    /// Piece that was waited for before the answer began.
    pub first: Option<Bytes>,
    /// Looks for the last event; only an engine's stream has one.
    pub done: Option<DoneMark>,
    /// Told how the stream ended.
    pub end: StreamEnd,
    /// The request as the dispatcher knows it.
    pub ticket: Ticket,
    /// The attempt as the quarantine knows it.
    pub pass: Option<Pass>,
    /// Counters.
    pub metrics: Rc<Metrics>,
    /// When the request arrived.
    pub started: Instant,
    /// When the answer is of no use any more.
    pub deadline: Instant,
    /// Counts the request as running.
    pub _running: Running,
}

/// Piece of a stream.
pub type Piece = Result<Bytes, BoxError>;

impl Passing {
    /// Next piece for the caller; an error event where the answer was cut.
    pub async fn next(passing: Option<Passing>) -> Option<(Piece, Option<Passing>)> {
        let mut this = passing?;
        let piece = match this.first.take() {
            Some(first) => Ok(Some(first)),
            None => next_piece(&mut this.body, this.deadline).await,
        };
        let is_whole = this.done.as_ref().is_none_or(DoneMark::is_seen);
        match piece {
            Ok(Some(piece)) => {
                if let Some(done) = &mut this.done {
                    done.push(&piece);
                }
                Some((Ok(piece), Some(this)))
            }
            Ok(None) if is_whole => {
                if let Some(pass) = this.pass.take() {
                    pass.answered();
                }
                this.ticket.ended(AttemptEnd::Completed);
                this.count(Verdict::Done);
                None
            }
            cut => {
                let reason = cut.err().unwrap_or(MayHaveRunReason::AnswerCut);
                if let Some(pass) = this.pass.take_if(|_| reason.is_loss()) {
                    pass.lost_at_the_end();
                }
                this.ticket.ended(AttemptEnd::AnswerTruncated(reason));
                let verdict = Verdict::MayHaveRun { reason };
                this.count(verdict);
                // The caller is told that its answer is cut: an error event, and no `[DONE]` after it.
                let event = format!("event: error\ndata: {}\n\n", verdict_json(verdict));
                Some((Ok(event.into()), None))
            }
        }
    }

    fn count(&self, verdict: Verdict) {
        self.end.set(verdict);
        self.metrics.ended(Class::Online, verdict, self.started.elapsed().as_secs_f64());
    }
}

/// Next piece of an answer; `None` at the end of its framing.
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
