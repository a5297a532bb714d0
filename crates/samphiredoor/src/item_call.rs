//! The call of one item, through as many attempts as it takes.
//!
//! An item that loses its slot has often generated most of its answer. Where the service's engines can resume, the call
//! is streamed, what has arrived is kept, and the next attempt asks for the rest only; so taking a slot back costs the
//! engine a prefill and no tokens. The ledger knows nothing of it: it gets one whole answer.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use samphiredoor_core::{dispatch::AttemptEnd, ledger::ItemEnd, verdict::MayHaveRunReason};
use samphiredoor_net::{
    body::read_whole,
    pool::{ResponseBody, SendError, within},
};
use serde::Deserialize;
use serde_json::{Map, Value, json};

use crate::{door::Door, online::pushback, targets::Call};

/// Longest time for one attempt.
pub const ITEM_DEADLINE: Duration = Duration::from_secs(600);

const MAX_RESULT_BYTES: usize = 512 * 1024;
const RESUME_FIELD: &str = "resume_from_token";
/// Fields of a call whose answer cannot be put together from the texts of its events.
const UNRESUMABLE_FIELDS: [&str; 6] = ["stream", "n", "best_of", "logprobs", "echo", "tools"];

/// What has arrived of an answer.
#[derive(Debug, Default)]
struct Partial {
    text: String,
    tokens: u32,
    id: Value,
    model: Value,
    finish_reason: Value,
    done: bool,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Event {
    #[serde(default)]
    id: Value,
    #[serde(default)]
    model: Value,
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    #[serde(default)]
    delta: Delta,
    #[serde(default)]
    finish_reason: Value,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
struct Delta {
    #[serde(default)]
    content: String,
}

/// Call of one item.
pub struct ItemCall {
    call: Call,
    resumable: Option<Resumable>,
}

struct Resumable {
    fields: Map<String, Value>,
    partial: RefCell<Partial>,
}

impl ItemCall {
    /// Call of an item.
    pub fn new(call: Call) -> ItemCall {
        ItemCall { call, resumable: None }
    }

    /// Goes on where an attempt was cut, as far as the answer can be put together from its pieces.
    pub fn with_resume(mut self) -> ItemCall {
        if !self.call.uri.path().ends_with("/completions") {
            return self;
        }
        let Ok(fields) = serde_json::from_slice::<Map<_, _>>(&self.call.body) else { return self };
        if !UNRESUMABLE_FIELDS.iter().any(|it| fields.contains_key(*it)) {
            self.resumable = Some(Resumable { fields, partial: RefCell::default() });
        }
        self
    }

    /// Whether the next attempt goes on where the last one was cut.
    pub fn resumes(&self) -> bool {
        self.resumable.is_some()
    }

    /// Bytes of the body.
    pub fn body_bytes(&self) -> usize {
        self.call.body.len()
    }

    /// Makes one attempt. What arrived stays here when the future is dropped.
    pub async fn attempt(
        &self,
        door: &Door,
        address: SocketAddr,
        is_engine: bool,
    ) -> Result<ItemEnd, AttemptEnd> {
        if let Some(whole) = self.finished() {
            return Ok(whole);
        }
        let exchange = within(ITEM_DEADLINE, async {
            let sent = door.targets.send(address, &self.next_call()).await;
            let response = sent.map_err(|err| match err {
                SendError::NotSent(_) => AttemptEnd::NotSent,
                SendError::MayHaveRun(_) => {
                    AttemptEnd::AnswerLost(MayHaveRunReason::ConnectionLost)
                }
            })?;
            if let Some(pushback) = pushback(is_engine, &response) {
                return Err(pushback);
            }
            let status = response.status().as_u16();
            match &self.resumable {
                Some(Resumable { partial, .. }) if status == 200 => {
                    read_events(partial, response.into_body()).await?;
                    Ok(ItemEnd::Answered { status, body: self.whole(&partial.borrow()) })
                }
                _ => read_answer(status, response.into_body()).await,
            }
        });
        exchange.await.unwrap_or(Err(AttemptEnd::AnswerLost(MayHaveRunReason::DeadlinePassed)))
    }

    /// An attempt that was cut between its last token and the end of its framing has nothing left to ask for.
    fn finished(&self) -> Option<ItemEnd> {
        let partial = self.resumable.as_ref()?.partial.borrow();
        let finished = !partial.finish_reason.is_null();
        finished.then(|| ItemEnd::Answered { status: 200, body: self.whole(&partial) })
    }

    fn next_call(&self) -> Call {
        let mut call = self.call.clone();
        if let Some(Resumable { fields, partial }) = &self.resumable {
            let mut fields = fields.clone();
            fields.insert("stream".to_owned(), Value::Bool(true));
            let tokens = partial.borrow().tokens;
            if tokens > 0 {
                fields.insert(RESUME_FIELD.to_owned(), tokens.into());
            }
            call.body = Bytes::from(Value::Object(fields).to_string());
        }
        call
    }

    /// The answer as an engine would have given it in one piece.
    fn whole(&self, partial: &Partial) -> Value {
        let chat = self.call.uri.path().contains("/chat/");
        let reason = &partial.finish_reason;
        let (object, choice) = match chat {
            true => {
                let message = json!({ "role": "assistant", "content": partial.text });
                let choice = json!({ "index": 0, "message": message, "finish_reason": reason });
                ("chat.completion", choice)
            }
            false => {
                let choice = json!({ "index": 0, "text": partial.text, "finish_reason": reason });
                ("text_completion", choice)
            }
        };
        json!({
            "id": partial.id,
            "object": object,
            "model": partial.model,
            "choices": [choice],
            "usage": { "completion_tokens": partial.tokens },
        })
    }
}

async fn read_answer(status: u16, body: ResponseBody) -> Result<ItemEnd, AttemptEnd> {
    let body = read_whole(body, MAX_RESULT_BYTES).await;
    let body = body.map_err(|_| AttemptEnd::AnswerLost(MayHaveRunReason::AnswerCut))?;
    let text = || Value::String(String::from_utf8_lossy(&body).into_owned());
    let body = serde_json::from_slice(&body).unwrap_or_else(|_| text());
    Ok(ItemEnd::Answered { status, body })
}

async fn read_events(partial: &RefCell<Partial>, mut body: ResponseBody) -> Result<(), AttemptEnd> {
    let cut = AttemptEnd::AnswerLost(MayHaveRunReason::AnswerCut);
    let mut unread = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| cut)?.into_data() else { continue };
        unread.extend_from_slice(&data);
        while let Some(end) = unread.windows(2).position(|it| it == b"\n\n") {
            take_event(&mut partial.borrow_mut(), &unread[..end]);
            unread.drain(..end + 2);
        }
        if unread.len() + partial.borrow().text.len() > MAX_RESULT_BYTES {
            return Err(cut);
        }
    }
    if partial.borrow().done { Ok(()) } else { Err(cut) }
}

fn take_event(partial: &mut Partial, event: &[u8]) {
    let Some(data) = event.strip_prefix(b"data: ") else { return };
    if data == b"[DONE]" {
        partial.done = true;
        return;
    }
    let Ok(event) = serde_json::from_slice::<Event>(data) else { return };
    partial.id = event.id;
    partial.model = event.model;
    for choice in event.choices {
        if choice.text.is_empty() && choice.delta.content.is_empty() {
            continue;
        }
        partial.text.push_str(&choice.text);
        partial.text.push_str(&choice.delta.content);
        partial.tokens += 1;
        if !choice.finish_reason.is_null() {
            partial.finish_reason = choice.finish_reason;
        }
    }
}
