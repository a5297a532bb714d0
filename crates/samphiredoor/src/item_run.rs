//! Runs one item of a batch job: dispatches it to targets until one answers or the run has to end.

use std::rc::Rc;

use crate::{
    dispatch_task::{Decision, RequestHandle},
    door::Door,
    item_call::{ITEM_DEADLINE, ItemCall},
    request_spec::{REQUEST_ID_HEADER, fingerprint, forwarded_headers, is_engine},
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

/// Runs an item until it ends or is stopped.
///
/// A started run of an item that is not repeatable is aborted neither by a stop nor by a preemption for online
/// requests: that would leave an item that may have run and has no answer.
pub async fn run(door: Rc<Door>, work: ItemWork, stop: flume::Receiver<()>) -> ItemEnd {
    let started = std::time::Instant::now();
    let request = door.dispatch.next_request();
    let call = match build_call(&door, &work, request) {
        Ok(call) if is_resumable(&door, &work) => ItemCall::new(call).with_resume(),
        Ok(call) => ItemCall::new(call),
        Err(reason) => return ItemEnd::Refused { reason },
    };
    let spec = request_spec(&door, &work, request, call.body_bytes());
    let fingerprint = spec.fingerprint;
    let mut handle = door.dispatch.submit(spec);
    loop {
        let decision = select_biased! {
            _ = stop.recv_async().fuse() => return ItemEnd::NotRun { retry_after_ms: 0 },
            decision = handle.decision().fuse() => decision,
        };
        match decision {
            Decision::Dispatch { address } => {
                let admission = door.quarantine.admit(request, fingerprint, address);
                let admitted = match until_interrupted(admission, &mut handle, &stop).await {
                    AttemptResult::Ended(Some(admitted)) => admitted,
                    AttemptResult::Ended(None) => return end_quarantined(&door),
                    AttemptResult::Preempted | AttemptResult::Stopped => {
                        handle.ended(AttemptEnd::Aborted);
                        return ItemEnd::NotRun { retry_after_ms: 0 };
                    }
                };
                let attempt = call.attempt(&door, address, is_engine(&door, &work.service));
                let result = match work.repeatable {
                    true => until_interrupted(attempt, &mut handle, &stop).await,
                    false => AttemptResult::Ended(attempt.await),
                };
                match result {
                    AttemptResult::Ended(Ok(end)) => {
                        admitted.answered();
                        handle.ended(AttemptEnd::Completed);
                        let elapsed_s = started.elapsed().as_secs_f64();
                        door.metrics.count_outcome(Class::Batch, Verdict::Done, elapsed_s);
                        return end;
                    }
                    AttemptResult::Ended(Err(end)) => {
                        if matches!(end, AttemptEnd::AnswerLost(reason) if reason.is_loss()) {
                            admitted.connection_lost().await;
                        }
                        handle.ended(end);
                    }
                    AttemptResult::Preempted if call.is_resumable() => {
                        handle.ended(AttemptEnd::Preempted)
                    }
                    AttemptResult::Preempted | AttemptResult::Stopped => {
                        handle.ended(AttemptEnd::Aborted);
                        return ItemEnd::NotRun { retry_after_ms: 0 };
                    }
                }
            }
            Decision::Abort => {}
            Decision::Refused(verdict) => {
                door.metrics.count_outcome(Class::Batch, verdict, 0.0);
                return item_end(verdict);
            }
        }
    }
}

/// How the wait for an attempt ended.
enum AttemptResult<T> {
    /// The attempt ended by itself.
    Ended(T),
    /// The dispatcher aborts the attempt to free its slot.
    Preempted,
    /// The ledger stops the run.
    Stopped,
}

/// Waits until the attempt ends, is preempted or is stopped. Dropping the attempt closes its connection, which cancels
/// the request on an engine.
async fn until_interrupted<T>(
    attempt: impl Future<Output = T>,
    handle: &mut RequestHandle,
    stop: &flume::Receiver<()>,
) -> AttemptResult<T> {
    let mut attempt = std::pin::pin!(attempt.fuse());
    select_biased! {
        ended = attempt => AttemptResult::Ended(ended),
        _ = stop.recv_async().fuse() => AttemptResult::Stopped,
        _ = handle.decision().fuse() => AttemptResult::Preempted,
    }
}

/// End of a quarantined item, one that is suspected of crashing targets. It is final even if a run of the item was
/// lost, because the item can never be completed.
fn end_quarantined(door: &Door) -> ItemEnd {
    let reason = Refusal::Quarantined;
    door.metrics.count_outcome(Class::Batch, Verdict::NotRun { retry_after_ms: 0, reason }, 0.0);
    ItemEnd::Refused { reason: reason.to_string() }
}

fn item_end(verdict: Verdict) -> ItemEnd {
    match verdict {
        Verdict::MayHaveRun { .. } => ItemEnd::MayHaveRun,
        Verdict::NotRun { reason, .. } if is_final(reason) => {
            ItemEnd::Refused { reason: reason.to_string() }
        }
        Verdict::NotRun { retry_after_ms, .. } => ItemEnd::NotRun { retry_after_ms },
        Verdict::Done => ItemEnd::NotRun { retry_after_ms: 0 },
    }
}

/// Whether a retry would be refused for the same reason.
fn is_final(reason: Refusal) -> bool {
    match reason {
        Refusal::BadRequest
        | Refusal::UnknownService
        | Refusal::Unauthorized
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
        | Refusal::NotReady
        | Refusal::JobTooLate
        | Refusal::VersionUnknown
        | Refusal::VersionGone => false,
    }
}

fn build_call(door: &Door, work: &ItemWork, request: RequestId) -> Result<Call, String> {
    let uri = work.url.parse().map_err(|_| "url: is no path".to_owned())?;
    let mut headers = forwarded_headers(&HeaderMap::new(), door, request);
    if let Ok(id) = header::HeaderValue::from_str(&request_id(&work.item)) {
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

fn request_spec(
    door: &Door,
    work: &ItemWork,
    request: RequestId,
    body_bytes: usize,
) -> RequestSpec {
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

fn request_id(item: &ItemRef) -> String {
    format!("{}-{:05}-{}", item.job, item.chunk, item.index)
}
