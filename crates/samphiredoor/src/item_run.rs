//! One run of one item at a target.

use std::rc::Rc;

use crate::{
    ask::{REQUEST_ID_HEADER, fingerprint, is_engine, passed_headers},
    dispatch_task::{Placement, Ticket},
    door::Door,
    item_call::{ITEM_DEADLINE, ItemCall},
    targets::Call,
};
use bytes::Bytes;
use futures_util::{FutureExt, select_biased};
use hyper::{HeaderMap, Method, header};
use samphiredoor_core::{
    Name,
    dispatch::{AttemptEnd, Class, RequestId, RequestSpec},
    ledger::{ItemEnd, ItemRef, ItemWork},
    verdict::{Refusal, Verdict},
};

/// Runs an item to its end, or until it is stopped.
///
/// A run that must not be repeated and has begun is not cut, neither by a stop nor for online requests: cutting it
/// would leave an item that may have run and has no answer.
pub async fn run(door: Rc<Door>, work: ItemWork, stop: flume::Receiver<()>) -> ItemEnd {
    let started = std::time::Instant::now();
    let request = door.dispatch.next_request();
    let call = match call(&door, &work, request) {
        Ok(call) if is_resumable(&door, &work) => ItemCall::new(call).with_resume(),
        Ok(call) => ItemCall::new(call),
        Err(reason) => return ItemEnd::Refused { reason },
    };
    let ask = ask(&door, &work, request, call.body_bytes());
    let fingerprint = ask.fingerprint;
    let mut ticket = door.dispatch.ask(ask);
    loop {
        let placement = select_biased! {
            _ = stop.recv_async().fuse() => return ItemEnd::NotRun { retry_after_ms: 0 },
            placement = ticket.placement().fuse() => placement,
        };
        match placement {
            Placement::Go { address } => {
                let entered = door.quarantine.enter(request, fingerprint, address);
                let pass = match until_cut(entered, &mut ticket, &stop).await {
                    Attempted::Ended(Some(pass)) => pass,
                    Attempted::Ended(None) => return quarantined(&door),
                    Attempted::Recalled | Attempted::Stopped => {
                        ticket.ended(AttemptEnd::Aborted);
                        return ItemEnd::NotRun { retry_after_ms: 0 };
                    }
                };
                let attempt = call.attempt(&door, address, is_engine(&door, &work.service));
                let attempted = match work.repeatable {
                    true => until_cut(attempt, &mut ticket, &stop).await,
                    false => Attempted::Ended(attempt.await),
                };
                match attempted {
                    Attempted::Ended(Ok(end)) => {
                        pass.answered();
                        ticket.ended(AttemptEnd::Completed);
                        let elapsed_s = started.elapsed().as_secs_f64();
                        door.metrics.ended(Class::Batch, Verdict::Done, elapsed_s);
                        return end;
                    }
                    Attempted::Ended(Err(end)) => {
                        if matches!(end, AttemptEnd::AnswerLost(reason) if reason.is_loss()) {
                            pass.lost().await;
                        }
                        ticket.ended(end);
                    }
                    Attempted::Recalled if call.resumes() => ticket.ended(AttemptEnd::Preempted),
                    Attempted::Recalled | Attempted::Stopped => {
                        ticket.ended(AttemptEnd::Aborted);
                        return ItemEnd::NotRun { retry_after_ms: 0 };
                    }
                }
            }
            Placement::Abort => {}
            Placement::Refused(verdict) => {
                door.metrics.ended(Class::Batch, verdict, 0.0);
                return refused(verdict);
            }
        }
    }
}

/// What became of an attempt.
enum Attempted<T> {
    /// It ended by itself.
    Ended(T),
    /// The dispatcher wants the capacity back.
    Recalled,
    /// The item is stopped.
    Stopped,
}

/// Waits for the answer, or for a word that the attempt is to be cut. Dropping the attempt closes its connection, which
/// cancels it on an engine.
async fn until_cut<T>(
    attempt: impl Future<Output = T>,
    ticket: &mut Ticket,
    stop: &flume::Receiver<()>,
) -> Attempted<T> {
    let mut attempt = std::pin::pin!(attempt.fuse());
    select_biased! {
        ended = attempt => Attempted::Ended(ended),
        _ = stop.recv_async().fuse() => Attempted::Stopped,
        _ = ticket.placement().fuse() => Attempted::Recalled,
    }
}

/// End of an item that is blamed for the death of targets. It is final also where a run of it was lost: the item can
/// never be done.
fn quarantined(door: &Door) -> ItemEnd {
    let reason = Refusal::Quarantined;
    door.metrics.ended(Class::Batch, Verdict::NotRun { retry_after_ms: 0, reason }, 0.0);
    ItemEnd::Refused { reason: reason.to_string() }
}

fn refused(verdict: Verdict) -> ItemEnd {
    match verdict {
        Verdict::MayHaveRun { .. } => ItemEnd::MayHaveRun,
        Verdict::NotRun { reason, .. } if is_final(reason) => {
            ItemEnd::Refused { reason: reason.to_string() }
        }
        Verdict::NotRun { retry_after_ms, .. } => ItemEnd::NotRun { retry_after_ms },
        Verdict::Done => ItemEnd::NotRun { retry_after_ms: 0 },
    }
}

/// Whether another try would be refused as well.
fn is_final(reason: Refusal) -> bool {
    match reason {
        Refusal::BadRequest
        | Refusal::UnknownService
        | Refusal::Quarantined
        | Refusal::KeyReused => true,
        Refusal::NoTarget
        | Refusal::Overloaded
        | Refusal::WorkspaceLimit
        | Refusal::DeadlineTooShort
        | Refusal::KeysFull
        | Refusal::ConnectFailed
        | Refusal::StoreUnavailable
        | Refusal::Stopping
        | Refusal::NotReady => false,
    }
}

fn call(door: &Door, work: &ItemWork, request: RequestId) -> Result<Call, String> {
    let uri = work.url.parse().map_err(|_| "url: is no path".to_owned())?;
    let mut headers = passed_headers(&HeaderMap::new(), door, request);
    if let Ok(id) = header::HeaderValue::from_str(&item_id(&work.item)) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    let body = Bytes::copy_from_slice(work.body.as_bytes());
    Ok(Call { method: Method::POST, uri, headers, body })
}

fn is_resumable(door: &Door, work: &ItemWork) -> bool {
    let manifest = door.manifest.current();
    manifest.services.get(&work.service).is_some_and(|it| it.resumable)
}

fn ask(door: &Door, work: &ItemWork, request: RequestId, body_bytes: usize) -> RequestSpec {
    let path = work.url.split('?').next().unwrap_or_default();
    RequestSpec {
        request,
        class: Class::Batch,
        service: Name::clone(&work.service),
        workspace: Name::clone(&work.workspace),
        deadline_ms: door.clock.now().mono_ms + ITEM_DEADLINE.as_millis() as u64,
        repeatable: work.repeatable,
        prefix_hash: 0,
        fingerprint: fingerprint(path, work.body.as_bytes()),
        body_bytes: body_bytes as u32,
        job: Name::clone(&work.item.job),
        due_unix_ms: work.due_unix_ms,
    }
}

fn item_id(item: &ItemRef) -> String {
    format!("{}-{:05}-{}", item.job, item.chunk, item.index)
}
