//! The call of one batch item, over all its attempts.
//!
//! A preempted item has often generated most of its answer already. If the service's engines can resume, the call is
//! streamed, the partial output is saved, and the next attempt requests only the rest. A preemption then costs the
//! engine a prefill and no tokens. The ledger still gets one complete answer.

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

use crate::{door::Door, online::pushback, splitter::Splitter, targets::Call};

/// Timeout of one attempt, and of the wait for a target.
pub const ITEM_DEADLINE: Duration = Duration::from_secs(600);

const MAX_RESULT_BYTES: usize = 512 * 1024;
/// Most bytes of a stream since the last event with output. Keep-alive comments of a whole attempt are far fewer, and the
/// largest event that is accepted fits.
const MAX_BYTES_WITHOUT_OUTPUT: usize = 2 * MAX_RESULT_BYTES;
/// How long the end of the framing may follow the last event. Engines send both at once; the connection of an engine that
/// does not is closed.
const END_TIMEOUT: Duration = Duration::from_millis(100);
/// Separator of two events.
const EVENT_END: &[u8] = b"\n\n";
const RESUME_FIELD: &str = "resume_from_token";
/// A call with one of these fields is not resumed: its answer cannot be assembled from the texts of stream events.
const UNRESUMABLE_FIELDS: [&str; 6] = ["stream", "n", "best_of", "logprobs", "echo", "tools"];

/// Output that has arrived so far, over all attempts.
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

/// Call of one item, with the output saved for a resumption.
pub struct ItemCall {
    call: Call,
    resumable: Option<Resumable>,
}

struct Resumable {
    fields: Map<String, Value>,
    partial: RefCell<Partial>,
}

impl ItemCall {
    /// A call that is repeated from its start after a preemption.
    pub fn new(call: Call) -> ItemCall {
        ItemCall { call, resumable: None }
    }

    /// Lets the next attempt resume where the last one was cut off, if the answer can be assembled from stream events.
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

    /// Whether the next attempt resumes where the last one was cut off.
    pub fn is_resumable(&self) -> bool {
        self.resumable.is_some()
    }

    /// Size of the item's body, in bytes.
    pub fn body_bytes(&self) -> usize {
        self.call.body.len()
    }

    /// Makes one attempt. Output that has arrived stays saved if the future is dropped.
    pub async fn attempt(
        &self,
        door: &Door,
        address: SocketAddr,
        is_engine: bool,
    ) -> Result<ItemEnd, AttemptEnd> {
        if let Some(answer) = self.finished_answer() {
            return Ok(answer);
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
                    Ok(ItemEnd::Answered { status, body: self.assemble_answer(&partial.borrow()) })
                }
                _ => read_answer(status, response.into_body()).await,
            }
        });
        exchange.await.unwrap_or(Err(AttemptEnd::AnswerLost(MayHaveRunReason::DeadlinePassed)))
    }

    /// The complete answer, if an attempt was cut off between its last token and the end of its framing: there is
    /// nothing left to request then.
    fn finished_answer(&self) -> Option<ItemEnd> {
        let partial = self.resumable.as_ref()?.partial.borrow();
        let finished = !partial.finish_reason.is_null();
        finished.then(|| ItemEnd::Answered { status: 200, body: self.assemble_answer(&partial) })
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

    /// Assembles the answer that an engine would have sent without streaming.
    fn assemble_answer(&self, partial: &Partial) -> Value {
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
    let mut events = Splitter::new(EVENT_END);
    let mut tokens = partial.borrow().tokens;
    let mut without_output = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| cut)?.into_data() else { continue };
        events.push(&data);
        without_output += data.len();
        let mut partial = partial.borrow_mut();
        while let Some(event) = events.next_part() {
            apply_event(&mut partial, event);
        }
        if std::mem::replace(&mut tokens, partial.tokens) != partial.tokens {
            without_output = 0;
        }
        if partial.done {
            break;
        }
        if events.unfinished_bytes() + partial.text.len() > MAX_RESULT_BYTES
            || without_output > MAX_BYTES_WITHOUT_OUTPUT
        {
            log::warn!("items: a stream without an end of its event or output is cut");
            return Err(cut);
        }
    }
    if !partial.borrow().done {
        return Err(cut);
    }
    // Lets the connection be used again; whatever else arrives on it closes it.
    let _ = within(END_TIMEOUT, body.frame()).await;
    Ok(())
}

fn apply_event(partial: &mut Partial, event: &[u8]) {
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
