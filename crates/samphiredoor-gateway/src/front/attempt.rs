//! One attempt of a request at one target, up to its first piece.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hyper::{Response, http::response};
use samphiredoor_core::{Name, placement::AttemptEnd, verdict::MayHaveRunReason};
use samphiredoor_net::{
    Call,
    body::{self, PieceError, read_whole},
    pool::{Answer, SendError, within},
};

use crate::{
    events::{EventBuffer, is_event_stream},
    platform_api::HeaderNames,
    target_client::{self, TargetClient},
};

/// Bytes of an answer that is held whole before it is passed on.
pub const MAX_WHOLE_BYTES: usize = 16 * 1024 * 1024;

/// A stream that has begun.
pub struct Begun {
    /// Rest of the answer.
    pub body: Answer,
    /// What has arrived, at least one whole event.
    pub events: EventBuffer,
}

/// What became of an attempt.
pub enum Attempt {
    /// A stream of events has begun.
    Stream(Box<response::Parts>, Begun),
    /// A whole answer.
    Whole(Box<response::Parts>, bytes::Bytes),
    /// It is certain that the target did not run it.
    NotRun(AttemptEnd),
    /// The target may have run it.
    Doubt(AttemptEnd, MayHaveRunReason),
}

/// How long an attempt may take.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    /// When the request is of no use any more.
    pub deadline: Instant,
    /// Longest silence of the target, where the request can be sent to another one.
    pub silence: Duration,
}

impl Patience {
    /// Time until the deadline.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// What a wait that was too long means.
    pub fn over(&self) -> (AttemptEnd, MayHaveRunReason) {
        match self.left().is_zero() {
            true => (AttemptEnd::Cut, MayHaveRunReason::DeadlinePassed),
            false => (AttemptEnd::Silent, MayHaveRunReason::ConnectionLost),
        }
    }

    /// Longest wait for the next piece.
    pub fn wait(&self) -> Duration {
        self.left().min(self.silence)
    }
}

/// Sends a call to a target and waits for the beginning of its answer.
pub async fn attempt(
    client: &TargetClient,
    names: &HeaderNames,
    (target, address): (&Name, SocketAddr),
    call: &mut Call,
    patience: Patience,
) -> Attempt {
    target_client::set_target_headers(call, names, target, patience.left());
    let response = match within(patience.wait(), client.send(target, address, call)).await {
        Some(Ok(response)) => response,
        Some(Err(SendError::NotSent(err))) => {
            log::info!(target = &**target, problem:% = err; "target: not reached");
            return Attempt::NotRun(AttemptEnd::Unreachable);
        }
        Some(Err(SendError::MayHaveRun(err))) => {
            log::info!(target = &**target, problem:% = err; "target: answer lost");
            return Attempt::Doubt(AttemptEnd::Lost, MayHaveRunReason::ConnectionLost);
        }
        None => {
            let (end, doubt) = patience.over();
            return Attempt::Doubt(end, doubt);
        }
    };
    if let Some(end) = target_client::not_run_reason(names, &response) {
        return Attempt::NotRun(end);
    }
    read(response, patience).await
}

async fn read(response: Response<Answer>, patience: Patience) -> Attempt {
    let (parts, body) = response.into_parts();
    if parts.status.is_success() && is_event_stream(&parts.headers) {
        return first_event(Box::new(parts), body, patience).await;
    }
    let whole = read_whole(body, MAX_WHOLE_BYTES);
    match within(patience.left(), whole).await {
        Some(Ok(body)) => Attempt::Whole(Box::new(parts), body),
        Some(Err(_)) => Attempt::Doubt(AttemptEnd::Lost, MayHaveRunReason::AnswerCut),
        None => Attempt::Doubt(AttemptEnd::Cut, MayHaveRunReason::DeadlinePassed),
    }
}

/// Waits for a stream's first event. Until then nothing has reached the caller, so that a request that may run twice
/// can still be sent to another target.
async fn first_event(parts: Box<response::Parts>, mut body: Answer, patience: Patience) -> Attempt {
    let mut events = EventBuffer::default();
    loop {
        match next_piece(&mut body, patience).await {
            Ok(Some(data)) => {
                events.push(&data);
                if events.has_event() {
                    return Attempt::Stream(parts, Begun { body, events });
                }
            }
            Ok(None) => return Attempt::Whole(parts, events.take_rest()),
            Err((end, doubt)) => return Attempt::Doubt(end, doubt),
        }
    }
}

/// Next piece of an answer; `None` at the end of its framing.
pub async fn next_piece(
    answer: &mut Answer,
    patience: Patience,
) -> Result<Option<bytes::Bytes>, (AttemptEnd, MayHaveRunReason)> {
    body::next_piece(answer, patience.wait()).await.map_err(|err| match err {
        PieceError::Cut => (AttemptEnd::Lost, MayHaveRunReason::AnswerCut),
        PieceError::Late => patience.over(),
    })
}
