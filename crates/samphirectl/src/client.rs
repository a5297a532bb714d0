//! Calls to a door.

use cyper::{Client, RequestBuilder};
use serde_json::Value;

use crate::{config::Config, exit_codes::Failure};

/// A door as its operators see it.
pub struct Door {
    client: Client,
    config: Config,
}

/// Answer of a door that did not refuse.
pub struct Answer {
    /// Body.
    pub text: String,
    /// Value of `x-after-chunk`, if there is more to read.
    pub after_chunk: Option<String>,
}

impl Answer {
    /// Body as JSON.
    ///
    /// # Errors
    ///
    /// The body is no JSON.
    pub fn json(&self) -> anyhow::Result<Value> {
        Ok(serde_json::from_str(&self.text)?)
    }
}

impl Door {
    /// Door with the decided addresses.
    pub fn new(config: Config) -> anyhow::Result<Door> {
        Ok(Door { client: Client::new()?, config })
    }

    /// Sends a statement.
    pub async fn statement(&self, text: &str) -> anyhow::Result<Answer> {
        let url = format!("http://{}/statement", self.config.door);
        self.send(self.client.post(url)?.body(text.to_owned())).await
    }

    /// Reads the manifest in the store, with its revision.
    pub async fn manifest(&self) -> anyhow::Result<Answer> {
        self.send(self.client.get(format!("http://{}/manifest", self.config.door))?).await
    }

    /// Puts a manifest in force.
    pub async fn put_manifest(
        &self,
        declared: &Value,
        expected_revision: Option<u64>,
    ) -> anyhow::Result<Answer> {
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
    ) -> anyhow::Result<Answer> {
        let url = format!("http://{}/v1/batches", self.config.callers);
        let request = self.client.post(url)?;
        let request = request.header("idempotency-key", key)?.header("x-workspace", workspace)?;
        self.send(request.body(body)).await
    }

    /// Reads a job's status.
    pub async fn job(&self, job: &str) -> anyhow::Result<Answer> {
        let url = format!("http://{}/v1/batches/{job}", self.config.callers);
        self.send(self.client.get(url)?).await
    }

    /// Reads one page of a job's results.
    pub async fn results(&self, job: &str, after_chunk: Option<&str>) -> anyhow::Result<Answer> {
        let after = after_chunk.map(|it| format!("?after_chunk={it}")).unwrap_or_default();
        let url = format!("http://{}/v1/batches/{job}/results{after}", self.config.callers);
        self.send(self.client.get(url)?).await
    }

    async fn send(&self, request: RequestBuilder) -> anyhow::Result<Answer> {
        let request = match &self.config.token {
            Some(token) => request.bearer_auth(token)?,
            None => request,
        };
        let response = request.send().await.map_err(|err| no_answer(&err))?;
        let status = response.status();
        let after = response.headers().get("x-after-chunk");
        let after_chunk = after.and_then(|it| it.to_str().ok()).map(str::to_owned);
        let text = response.text().await.map_err(|err| no_answer(&err))?;
        if status.is_success() {
            return Ok(Answer { text, after_chunk });
        }
        Err(Failure::Refused(message(&text)).into())
    }
}

fn no_answer(err: &cyper::Error) -> Failure {
    Failure::NoAnswer(format!("no door answers ({err}); name one with --door and --callers"))
}

fn message(text: &str) -> String {
    let Ok(value) = serde_json::from_str::<Value>(text) else { return text.to_owned() };
    match (&value["error"]["message"], &value["error"]) {
        (Value::String(message), _) | (_, Value::String(message)) => message.clone(),
        _ => text.to_owned(),
    }
}
