//! Carries out what was asked for.

use std::{path::Path, time::Duration};

use anyhow::Context;
use serde_json::{Value, json};

use crate::{
    config::{Config, Output, Task},
    declarations,
    door::Door,
    exit_codes::Failure,
    table::table,
};

const WATCH_PAUSE: Duration = Duration::from_secs(2);
const FOLLOW_PAUSE: Duration = Duration::from_millis(500);

/// Carries out the decided task.
pub fn run(config: Config) -> anyhow::Result<()> {
    let (task, output) = (config.task.clone(), config.output);
    let door = Door::new(config)?;
    compio::runtime::Runtime::new()?.block_on(async {
        match task {
            Task::Apply { file, dry_run, expected_revision } => {
                apply(&door, &file, dry_run, expected_revision).await
            }
            Task::Diff { file } => show_diff(&door, &file).await.map(drop),
            Task::Submit { file, key, workspace, follow } => {
                submit(&door, &file, &key, &workspace, follow).await
            }
            Task::Results { job } => results(&door, &job).await,
            Task::Statement { text, watch } => loop {
                statement(&door, &text, output).await?;
                if !watch {
                    return Ok(());
                }
                compio::time::sleep(WATCH_PAUSE).await;
            },
        }
    })
}

async fn statement(door: &Door, text: &str, output: Output) -> anyhow::Result<()> {
    let answer = door.statement(text).await?.json()?;
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
        eprintln!("samphirectl: there is more; narrow the question with where");
    }
    Ok(())
}

async fn in_force(door: &Door) -> anyhow::Result<Value> {
    match door.manifest().await {
        Ok(answer) => answer.json(),
        // A store without a manifest is where a service begins.
        Err(err) if err.downcast_ref::<Failure>().is_some_and(is_refusal) => {
            Ok(json!({ "revision": 0, "manifest": {} }))
        }
        Err(err) => Err(err),
    }
}

fn is_refusal(failure: &Failure) -> bool {
    matches!(failure, Failure::Refused(text) if text.contains("no manifest"))
}

async fn show_diff(door: &Door, file: &Path) -> anyhow::Result<(Value, u64)> {
    let declared = declarations::read(file)?;
    let record = in_force(door).await?;
    let revision = record["revision"].as_u64().unwrap_or_default();
    let lines = declarations::diff(&record["manifest"], &declared);
    println!("against revision {revision}: {} differences", lines.len());
    lines.iter().for_each(|line| println!("{line}"));
    Ok((declared, revision))
}

async fn apply(
    door: &Door,
    file: &Path,
    dry_run: bool,
    expected_revision: Option<u64>,
) -> anyhow::Result<()> {
    let (declared, revision) = show_diff(door, file).await?;
    if dry_run {
        return Ok(());
    }
    // Without a revision named, the one that the shown differences were made against is expected.
    let expected = expected_revision.unwrap_or(revision);
    let answer = door.put_manifest(&declared, Some(expected)).await?.json()?;
    println!("revision {} is in force", answer["revision"]);
    Ok(())
}

async fn submit(
    door: &Door,
    file: &Path,
    key: &str,
    workspace: &str,
    follow: bool,
) -> anyhow::Result<()> {
    let body =
        std::fs::read(file).with_context(|| format!("{}: cannot be read", file.display()))?;
    let job = door.submit(key, workspace, body).await?.json()?;
    println!("{job}");
    if follow {
        let id = job["id"].as_str().unwrap_or_default();
        follow_job(door, id).await?;
    }
    Ok(())
}

async fn follow_job(door: &Door, id: &str) -> anyhow::Result<()> {
    loop {
        let job = door.job(id).await?.json()?;
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
        compio::time::sleep(FOLLOW_PAUSE).await;
    }
}

async fn results(door: &Door, job: &str) -> anyhow::Result<()> {
    let mut after = None;
    loop {
        let page = door.results(job, after.as_deref()).await?;
        print!("{}", page.text);
        after = page.after_chunk;
        if after.is_none() {
            return Ok(());
        }
    }
}
