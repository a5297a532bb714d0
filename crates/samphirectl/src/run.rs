//! Runs the task of the command line and prints its output.

use std::{path::Path, time::Duration};

use anyhow::Context;
use serde_json::{Value, json};

use crate::{
    client::OperatorClient,
    config::{Config, Output, Task},
    declarations,
    exit_codes::Failure,
    table::table,
};

/// Time between two runs of a watched statement.
const WATCH_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two reads of the status of a followed job.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the task.
pub fn run(config: Config) -> anyhow::Result<()> {
    let (task, output) = (config.task.clone(), config.output);
    let client = OperatorClient::new(config)?;
    compio::runtime::Runtime::new()?.block_on(async {
        match task {
            Task::Apply { file, dry_run, expected_revision } => {
                apply(&client, &file, dry_run, expected_revision).await
            }
            Task::Diff { file } => show_diff(&client, &file).await.map(drop),
            Task::Submit { file, key, workspace, follow } => {
                submit(&client, &file, &key, &workspace, follow).await
            }
            Task::Results { job } => results(&client, &job).await,
            Task::Statement { text, watch } => loop {
                statement(&client, &text, output).await?;
                if !watch {
                    return Ok(());
                }
                compio::time::sleep(WATCH_INTERVAL).await;
            },
        }
    })
}

async fn statement(client: &OperatorClient, text: &str, output: Output) -> anyhow::Result<()> {
    let answer = client.statement(text).await?.json()?;
    let Some(rows) = answer["rows"].as_array() else {
        println!("{answer}");
        return Ok(());
    };
    match output {
        Output::Json => rows.iter().for_each(|row| println!("{row}")),
        Output::Table => {
            let fields = answer["fields"].as_array().into_iter().flatten();
            let fields: Vec<&str> = fields.filter_map(Value::as_str).collect();
            print!("{}", table(&fields, rows));
        }
    }
    if answer["truncated"] == true {
        eprintln!("samphirectl: not all rows are shown; narrow the query with where");
    }
    Ok(())
}

async fn active_manifest(client: &OperatorClient) -> anyhow::Result<Value> {
    match client.manifest().await {
        Ok(answer) => answer.json(),
        // A new installation has no manifest in its store.
        Err(err) if err.downcast_ref::<Failure>().is_some_and(is_missing_manifest) => {
            Ok(json!({ "revision": 0, "manifest": {} }))
        }
        Err(err) => Err(err),
    }
}

fn is_missing_manifest(failure: &Failure) -> bool {
    matches!(failure, Failure::Refused(text) if text.contains("no manifest"))
}

async fn show_diff(client: &OperatorClient, file: &Path) -> anyhow::Result<(Value, u64)> {
    let declared = declarations::read(file)?;
    let record = active_manifest(client).await?;
    let revision = record["revision"].as_u64().unwrap_or_default();
    let lines = declarations::diff(&record["manifest"], &declared);
    println!("against revision {revision}: {} differences", lines.len());
    lines.iter().for_each(|line| println!("{line}"));
    Ok((declared, revision))
}

async fn apply(
    client: &OperatorClient,
    file: &Path,
    dry_run: bool,
    expected_revision: Option<u64>,
) -> anyhow::Result<()> {
    let (declared, revision) = show_diff(client, file).await?;
    if dry_run {
        return Ok(());
    }
    // If no revision is given, the manifest must not have changed since the differences were shown.
    let expected = expected_revision.unwrap_or(revision);
    let answer = client.put_manifest(&declared, Some(expected)).await?.json()?;
    println!("revision {} is in force", answer["revision"]);
    Ok(())
}

async fn submit(
    client: &OperatorClient,
    file: &Path,
    key: &str,
    workspace: &str,
    follow: bool,
) -> anyhow::Result<()> {
    let body =
        std::fs::read(file).with_context(|| format!("{}: cannot be read", file.display()))?;
    let job = client.submit(key, workspace, body).await?.json()?;
    println!("{job}");
    if follow {
        let id = job["id"].as_str().unwrap_or_default();
        follow_job(client, id).await?;
    }
    Ok(())
}

async fn follow_job(client: &OperatorClient, id: &str) -> anyhow::Result<()> {
    loop {
        let job = client.job(id).await?.json()?;
        let counts = &job["request_counts"];
        eprintln!(
            "{}: {} of {} answered, {} failed",
            job["status"].as_str().unwrap_or_default(),
            counts["completed"],
            counts["total"],
            counts["failed"]
        );
        if !matches!(job["status"].as_str(), Some("in_progress" | "cancelling")) {
            return Ok(());
        }
        compio::time::sleep(FOLLOW_INTERVAL).await;
    }
}

async fn results(client: &OperatorClient, job: &str) -> anyhow::Result<()> {
    let mut after = None;
    loop {
        let page = client.results(job, after.as_deref()).await?;
        print!("{}", page.text);
        after = page.after_chunk;
        if after.is_none() {
            return Ok(());
        }
    }
}
