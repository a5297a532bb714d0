//! Operators' commands: changes of the declarations, and of jobs.
//!
//! A command that changes a declaration reads the manifest, changes the one value, and writes it by conditional
//! update. Another operator's change in between makes the update fail, and the command is applied to what that operator
//! left; so neither change is lost.

use std::rc::Rc;

use hyper::{Response, StatusCode};
use samphiredoor_core::{
    manifest::Manifest,
    store::{Labels, StoreAnswer, StoreOp, Value as StoredValue},
};
use samphiredoor_net::Body;
use samphiredoor_query::{Command, Settable};
use samphiredoor_schema::objects::ManifestRecord;
use serde_json::{Value, json};

use crate::{
    answers::{bad_request, json_answer},
    job_control,
    manifest_task::{apply, manifest_key},
    process::Door,
};

const TRIES: u32 = 5;

/// Carries out a command.
pub async fn run(door: &Rc<Door>, command: Command) -> Response<Body> {
    match command {
        Command::Cancel { job } => job_control::cancel(door, &job).await,
        Command::Drain { target } => set(door, "targets", &target, "drained", json!(true)).await,
        Command::Undrain { target } => set(door, "targets", &target, "drained", json!(false)).await,
        Command::Reclaim { target } => {
            set(door, "targets", &target, "reclaimed", json!(true)).await
        }
        Command::Release { target } => {
            set(door, "targets", &target, "reclaimed", json!(false)).await
        }
        Command::Set { object, name, field, value } => {
            let value = value.parse::<u64>().unwrap_or_default();
            set(door, section(object), &name, field, json!(value)).await
        }
        Command::Rollback => {
            edit(door, |record| match record.previous.take() {
                Some(previous) => {
                    record.previous = Some(std::mem::replace(&mut record.manifest, previous));
                    Ok(())
                }
                None => Err("there is no revision before this one".to_owned()),
            })
            .await
        }
    }
}

fn section(object: Settable) -> &'static str {
    match object {
        Settable::Service => "services",
        Settable::Target => "targets",
        Settable::Workspace => "workspaces",
    }
}

async fn set(
    door: &Rc<Door>,
    section: &str,
    name: &str,
    field: &str,
    value: Value,
) -> Response<Body> {
    edit(door, |record| {
        record.previous = Some(record.manifest.clone());
        let declared = record.manifest.get_mut(section).and_then(Value::as_array_mut);
        let mut named = declared.into_iter().flatten().filter(|it| it["name"] == name);
        match named.next() {
            Some(object) => {
                object[field] = value.clone();
                Ok(())
            }
            None => Err(format!("`{name}` is not declared in {section}")),
        }
    })
    .await
}

async fn edit(
    door: &Rc<Door>,
    change: impl Fn(&mut ManifestRecord) -> Result<(), String>,
) -> Response<Body> {
    for _ in 0..TRIES {
        let StoreAnswer::Object(stored) =
            door.store.call(StoreOp::Get { key: manifest_key() }).await
        else {
            return no_manifest();
        };
        let Ok(mut record) = serde_json::from_slice::<ManifestRecord>(&stored.value) else {
            return bad_request("manifest", "the stored one cannot be read");
        };
        if let Err(problem) = change(&mut record) {
            return bad_request("name", &problem);
        }
        record.revision += 1;
        record.writer = door.unique_name(&door.config.name);
        if let Some(problem) = problem_of(&record) {
            return problem;
        }
        let value: StoredValue = serde_json::to_vec(&record).unwrap_or_default().into();
        let (key, version) = (manifest_key(), stored.version);
        let op = StoreOp::Update { key, version, labels: Labels::new(), value };
        match door.store.call(op).await {
            StoreAnswer::Object(stored) => {
                apply(door, &stored);
                return json_answer(StatusCode::OK, &json!({ "revision": record.revision }));
            }
            StoreAnswer::Conflict => {}
            _ => return no_manifest(),
        }
    }
    json_answer(StatusCode::CONFLICT, &json!({ "error": "other operators were first; try again" }))
}

fn problem_of(record: &ManifestRecord) -> Option<Response<Body>> {
    let declared = match serde_json::from_value(record.manifest.clone()) {
        Ok(declared) => declared,
        Err(err) => return Some(bad_request("value", &err.to_string())),
    };
    let problem = Manifest::new(record.revision, &declared).err()?;
    Some(bad_request(&problem.field, &problem.problem))
}

fn no_manifest() -> Response<Body> {
    let value = json!({ "error": "the store is not reachable, or holds no manifest" });
    json_answer(StatusCode::SERVICE_UNAVAILABLE, &value)
}
