//! Operators' commands: changes of the declarations, and of jobs.
//!
//! A command that changes a declaration reads the manifest, changes the one value, and writes it by conditional
//! update. Another operator's change in between makes the update fail, and the command is applied to what that operator
//! left; so neither change is lost.

use std::rc::Rc;

use hyper::{Response, StatusCode};
use samphiredoor_core::{
    manifest::Manifest,
    manifest_revisions::{ChangeEnd, decode_record, manifest_key},
    store::{StoreAnswer, StoreOp},
};
use samphiredoor_net::Body;
use samphiredoor_query::{Command, Settable};
use samphiredoor_schema::objects::ManifestRecord;
use serde_json::{Value, json};

use crate::{
    answers::{bad_request, json_answer},
    door::Door,
    job_control, manifest_change,
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
        Command::Lift { suspect } => lift(door, &suspect),
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

fn lift(door: &Door, suspect: &str) -> Response<Body> {
    let Ok(fingerprint) = u64::from_str_radix(suspect, 16) else {
        return bad_request("suspect", "use the hexadecimal digits that `suspects` shows");
    };
    log::info!("quarantine: an operator lifts {fingerprint:016x}");
    door.quarantine.lift(fingerprint);
    json_answer(StatusCode::OK, &json!({ "lifted": format!("{fingerprint:016x}") }))
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
    let mut end = ChangeEnd::Unavailable;
    for _ in 0..TRIES {
        let mut record = match last_record(door).await {
            Ok(record) => record,
            Err(answer) => return answer,
        };
        if let Err(problem) = change(&mut record) {
            return bad_request("name", &problem);
        }
        if let Some(problem) = problem_of(&record) {
            return problem;
        }
        let expected = Some(record.revision);
        let operator = &door.config.name;
        end = manifest_change::change(door, operator, record.manifest, expected).await;
        if !matches!(end, ChangeEnd::Conflict { .. }) {
            break;
        }
    }
    manifest_change::answer(end)
}

// The store's record, or the one in force here where the store was set back to an earlier one.
async fn last_record(door: &Door) -> Result<ManifestRecord, Response<Body>> {
    let StoreAnswer::Object(stored) = door.store.call(StoreOp::Get { key: manifest_key() }).await
    else {
        return Err(no_manifest());
    };
    let unreadable = |_| bad_request("manifest", "the stored one cannot be read");
    let record = decode_record(&stored.value).map_err(unreadable)?;
    match door.manifest.record_above(record.revision).await {
        Some(held) => decode_record(&held).map_err(unreadable),
        None => Ok(record),
    }
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
