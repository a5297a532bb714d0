//! Polls the load of the engines that this process uses, at a bounded rate.
//!
//! Calls are made one at a time, with a fixed interval after each, whatever the number of engines. The traffic stays
//! within the budget of a node for control messages; with more engines, each is polled less often instead. Engines that
//! run requests of this process are polled in each round, a few of the idle ones in rotation. A refused connection
//! takes a target out of service before a request is sent to it.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode, Uri};
use samphiredoor_core::{Name, dispatch::Input, manifest::ServiceKind};
use samphiredoor_net::{
    body::read_whole,
    pool::{SendError, within},
};
use serde::Deserialize;

use crate::{dispatch_task::TargetInUse, door::Door, targets::Call};

const POLL_INTERVAL: Duration = Duration::from_millis(250);
const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);
const IDLE_TARGETS_PER_ROUND: usize = 2;
const MAX_REPORT_BYTES: usize = 16 * 1024;
const LOAD_PATH: &str = "/load";

/// The fields of an engine's load report that are used.
#[derive(Debug, Default)]
#[derive(Deserialize)]
struct Report {
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting: u32,
    #[serde(default)]
    leaving: bool,
    #[serde(default)]
    steps: u64,
    #[serde(default)]
    tokens: u64,
}

/// Polls until the process ends.
pub async fn run(door: Rc<Door>) {
    let mut idle_offset = 0;
    loop {
        let round = next_round(&door, &mut idle_offset).await;
        if round.is_empty() {
            compio::time::sleep(POLL_INTERVAL).await;
        }
        for target in round {
            for input in poll(&door, &target).await {
                door.dispatch.input(input);
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

async fn next_round(door: &Door, idle_offset: &mut usize) -> Vec<TargetInUse> {
    let mut targets = door.dispatch.targets_in_use().await;
    // Targets are added and removed while the process runs; connections to removed ones would accumulate.
    door.targets.keep_only(&targets.iter().map(|it| it.address).collect());
    targets.retain(|it| is_engine(door, it));
    let (mut round, idle): (Vec<_>, Vec<_>) = targets.into_iter().partition(|it| it.busy);
    let rotated = idle.iter().cycle().skip(*idle_offset % idle.len().max(1));
    let count = IDLE_TARGETS_PER_ROUND.min(idle.len());
    round.extend(rotated.take(count).cloned());
    *idle_offset += count;
    round
}

fn is_engine(door: &Door, target: &TargetInUse) -> bool {
    let manifest = door.manifest.current();
    let service = manifest.targets.get(&target.name).map(|it| &it.service);
    let service = service.and_then(|it| manifest.services.get(it));
    service.is_some_and(|it| it.kind == ServiceKind::Engine)
}

async fn poll(door: &Door, target: &TargetInUse) -> Vec<Input> {
    let call = Call {
        method: Method::GET,
        uri: Uri::from_static(LOAD_PATH),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let exchange = async {
        let response = match door.targets.send(target.address, &call).await {
            Ok(response) if response.status() == StatusCode::OK => response,
            Err(SendError::NotSent(_)) => {
                return Some(vec![Input::Unreachable { target: target.name.clone() }]);
            }
            Ok(_) | Err(SendError::MayHaveRun(_)) => return None,
        };
        let body = read_whole(response.into_body(), MAX_REPORT_BYTES).await.ok()?;
        let report: Report = serde_json::from_slice(&body).ok()?;
        Some(inputs(target, &report))
    };
    within(POLL_TIMEOUT, exchange).await.flatten().unwrap_or_default()
}

fn inputs(target: &TargetInUse, report: &Report) -> Vec<Input> {
    let name = || Name::clone(&target.name);
    let Report { running, waiting, steps, tokens, .. } = *report;
    match report.leaving {
        true => vec![Input::Leaving { target: name() }],
        false => vec![
            Input::LoadReport { target: name(), running, waiting },
            Input::ProgressReport { target: name(), steps, tokens },
        ],
    }
}
