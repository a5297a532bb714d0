//! One run of one item at a target.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::{FutureExt, select_biased};
use hyper::{HeaderMap, Method, header};
use samphiredoor_core::{
    Name,
    dispatch::{Ask, AttemptEnd, Class, RequestId},
    ledger::{ItemEnd, ItemRef, ItemWork},
    verdict::{Doubt, Refusal, Verdict},
};
use samphiredoor_net::{
    body::read_whole,
    pool::{SendError, within},
};

use crate::{
    dispatch_task::{Placement, Ticket},
    online::{hash, passed_headers},
    process::Door,
    targets::Call,
};

const ITEM_DEADLINE: Duration = Duration::from_secs(600);
const MAX_RESULT_BYTES: usize = 512 * 1024;

/// Runs an item to its end, or until it is stopped.
///
/// A run that must not be repeated and has begun is not cut, neither by a stop nor for online requests: cutting it
/// would leave an item that may have run and has no answer.
pub async fn run(door: &Rc<Door>, work: ItemWork, stop: flume::Receiver<()>) -> ItemEnd {
    let started = std::time::Instant::now();
    let request = door.dispatch.next_request();
    let call = match call(door, &work, request) {
        Ok(call) => call,
        Err(reason) => return ItemEnd::Refused { reason },
    };
    let mut ticket = door.dispatch.ask(ask(door, &work, request, &call.body));
    loop {
        let placement = select_biased! {
            _ = stop.recv_async().fuse() => return ItemEnd::NotRun { retry_after_ms: 0 },
            placement = ticket.placement().fuse() => placement,
        };
        match placement {
            Placement::Go { address } => {
                let attempt = exchange(door, address, &call);
                let ended = match work.repeatable {
                    true => until_cut(attempt, &mut ticket, &stop).await,
                    false => Some(attempt.await),
                };
                match ended {
                    Some(Ok(end)) => {
                        ticket.ended(AttemptEnd::Done);
                        let elapsed_s = started.elapsed().as_secs_f64();
                        door.metrics.ended(Class::Batch, Verdict::Done, elapsed_s);
                        return end;
                    }
                    Some(Err(end)) => ticket.ended(end),
                    None => {
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

/// Waits for the answer; `None` if the dispatcher wants the capacity back, or the item is stopped. Dropping the attempt
/// closes its connection, which cancels it on an engine.
async fn until_cut(
    attempt: impl Future<Output = Result<ItemEnd, AttemptEnd>>,
    ticket: &mut Ticket,
    stop: &flume::Receiver<()>,
) -> Option<Result<ItemEnd, AttemptEnd>> {
    let mut attempt = std::pin::pin!(attempt.fuse());
    select_biased! {
        ended = attempt => Some(ended),
        _ = stop.recv_async().fuse() => None,
        _ = ticket.placement().fuse() => None,
    }
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
        headers.insert(crate::online::REQUEST_ID_HEADER, id);
    }
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    let body = Bytes::copy_from_slice(work.body.as_bytes());
    Ok(Call { method: Method::POST, uri, headers, body })
}

fn ask(door: &Door, work: &ItemWork, request: RequestId, body: &Bytes) -> Ask {
    Ask {
        request,
        class: Class::Batch,
        service: Name::clone(&work.service),
        workspace: Name::clone(&work.workspace),
        deadline_ms: door.clock.now().mono_ms + ITEM_DEADLINE.as_millis() as u64,
        repeatable: work.repeatable,
        prefix_hash: 0,
        fingerprint: hash(body),
        body_bytes: body.len() as u32,
        job: Name::clone(&work.item.job),
        due_unix_ms: work.due_unix_ms,
    }
}

async fn exchange(door: &Door, address: SocketAddr, call: &Call) -> Result<ItemEnd, AttemptEnd> {
    let answered = within(ITEM_DEADLINE, async {
        let response = door.targets.send(address, call).await.map_err(|err| match err {
            SendError::NotSent(_) => AttemptEnd::NotSent,
            SendError::MayHaveRun(_) => AttemptEnd::Lost(Doubt::ConnectionLost),
        })?;
        let status = response.status().as_u16();
        let body = read_whole(response.into_body(), MAX_RESULT_BYTES).await;
        let body = body.map_err(|_| AttemptEnd::Lost(Doubt::AnswerCut))?;
        let text = || serde_json::Value::String(String::from_utf8_lossy(&body).into_owned());
        let body = serde_json::from_slice(&body).unwrap_or_else(|_| text());
        Ok(ItemEnd::Answered { status, body })
    });
    answered.await.unwrap_or(Err(AttemptEnd::Lost(Doubt::DeadlinePassed)))
}

fn item_id(item: &ItemRef) -> String {
    format!("{}-{:05}-{}", item.job, item.chunk, item.index)
}
