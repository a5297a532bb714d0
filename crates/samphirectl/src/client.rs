//! HTTP client for a gateway, which the options call a door.

use std::time::Duration;

use cyper::{Client, RequestBuilder};
use futures_util::StreamExt;
use serde_json::Value;

use crate::{config::Config, exit_codes::Failure};

/// Longest time of a call. The upload of a large job takes longest.
const CALL_TIMEOUT: Duration = Duration::from_secs(300);
/// Largest answer, many times a page of results.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Client of a gateway's APIs for operators and callers.
pub struct OperatorClient {
    client: Client,
    config: Config,
}

/// Successful response.
pub struct Response {
    /// Body.
    pub text: String,
    /// Value of the header `x-after-chunk`, with which the next page is read; `None` on the last page.
    pub after_chunk: Option<String>,
}

impl Response {
    /// Body as JSON.
    ///
    /// # Errors
    ///
    /// The body is no valid JSON.
    pub fn json(&self) -> anyhow::Result<Value> {
        Ok(serde_json::from_str(&self.text)?)
    }
}

impl OperatorClient {
    /// Client for the addresses in `config`.
    pub fn new(config: Config) -> anyhow::Result<OperatorClient> {
        Ok(OperatorClient { client: Client::new()?, config })
    }

    /// Runs a statement.
    pub async fn statement(&self, text: &str) -> anyhow::Result<Response> {
        let url = format!("http://{}/statement", self.config.door);
        self.send(self.client.post(url)?.body(text.to_owned())).await
    }

    /// Reads the stored manifest and its revision.
    pub async fn manifest(&self) -> anyhow::Result<Response> {
        self.send(self.client.get(format!("http://{}/manifest", self.config.door))?).await
    }

    /// Activates a manifest; fails unless `expected_revision`, if given, is the active one.
    pub async fn put_manifest(
        &self,
        declared: &Value,
        expected_revision: Option<u64>,
    ) -> anyhow::Result<Response> {
        let expected = expected_revision.map(|it| format!("?expected_revision={it}"));
        let url = format!("http://{}/manifest{}", self.config.door, expected.unwrap_or_default());
        self.send(self.client.put(url)?.json(declared)?).await
    }

    /// Submits a job.
    pub async fn submit(
        &self,
        key: &str,
        workspace: &str,
        body: Vec<u8>,
    ) -> anyhow::Result<Response> {
        let url = format!("http://{}/v1/batches", self.config.callers);
        let request = self.client.post(url)?;
        let request = request.header("idempotency-key", key)?.header("x-workspace", workspace)?;
        self.send(request.body(body)).await
    }

    /// Reads a job's status.
    pub async fn job(&self, job: &str) -> anyhow::Result<Response> {
        let url = format!("http://{}/v1/batches/{job}", self.config.callers);
        self.send(self.client.get(url)?).await
    }

    /// Reads one page of a job's results.
    pub async fn results(&self, job: &str, after_chunk: Option<&str>) -> anyhow::Result<Response> {
        let after = after_chunk.map(|it| format!("?after_chunk={it}")).unwrap_or_default();
        let url = format!("http://{}/v1/batches/{job}/results{after}", self.config.callers);
        self.send(self.client.get(url)?).await
    }

    async fn send(&self, request: RequestBuilder) -> anyhow::Result<Response> {
        let request = match &self.config.token {
            Some(token) => request.bearer_auth(token)?,
            None => request,
        };
        match compio::time::timeout(CALL_TIMEOUT, exchange(request)).await {
            Ok(answer) => answer,
            Err(_) => {
                let limit_s = CALL_TIMEOUT.as_secs();
                Err(Failure::NoAnswer(format!("the answer takes longer than {limit_s} s")).into())
            }
        }
    }
}

async fn exchange(request: RequestBuilder) -> anyhow::Result<Response> {
    let response = request.send().await.map_err(|err| no_answer(&err))?;
    let status = response.status();
    let after = response.headers().get("x-after-chunk");
    let after_chunk = after.and_then(|it| it.to_str().ok()).map(str::to_owned);
    let text = read_text(response).await?;
    if status.is_success() {
        return Ok(Response { text, after_chunk });
    }
    Err(Failure::Refused(error_message(&text)).into())
}

async fn read_text(response: cyper::Response) -> Result<String, Failure> {
    let mut pieces = response.bytes_stream();
    let mut bytes = Vec::new();
    while let Some(piece) = pieces.next().await {
        bytes.extend_from_slice(&piece.map_err(|err| no_answer(&err))?);
        if bytes.len() > MAX_ANSWER_BYTES {
            return Err(Failure::NoAnswer(format!(
                "the answer is larger than {MAX_ANSWER_BYTES} bytes"
            )));
        }
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn no_answer(err: &cyper::Error) -> Failure {
    Failure::NoAnswer(format!("no door answers ({err}); name one with --door and --callers"))
}

/// Error message in the body of a response, or the whole body if it has none.
fn error_message(text: &str) -> String {
    let Ok(value) = serde_json::from_str::<Value>(text) else { return text.to_owned() };
    match (&value["error"]["message"], &value["error"]) {
        (Value::String(message), _) | (_, Value::String(message)) => message.clone(),
        _ => text.to_owned(),
    }
}
