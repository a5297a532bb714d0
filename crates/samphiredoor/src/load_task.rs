//! Asks the engines that this door lends at how loaded they are.
//!
//! Only a target's lender asks it, so that the calls at a target do not grow with the doors.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use samphiredoor_core::{
    Name,
    dispatch::{Input, lender::lender_of},
    manifest::{ServiceKind, Target},
};
use samphiredoor_net::{body::read_whole, pool::within};
use serde::Deserialize;

use crate::{process::Door, targets::Call};

const PERIOD: Duration = Duration::from_millis(250);
const TIMEOUT: Duration = Duration::from_millis(1_000);
const MAX_REPORT_BYTES: usize = 16 * 1024;
const LOAD_PATH: &str = "/load";

/// An engine's report, as far as it is used.
#[derive(Debug, Deserialize)]
struct Report {
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting: u32,
    #[serde(default)]
    steps: u64,
    #[serde(default)]
    tokens: u64,
}

/// Asks again and again until the process ends.
pub async fn run(door: Rc<Door>) {
    loop {
        for target in lent_here(&door) {
            compio::runtime::spawn(ask(Rc::clone(&door), target)).detach();
        }
        compio::time::sleep(PERIOD).await;
    }
}

fn lent_here(door: &Door) -> Vec<Target> {
    let manifest = door.manifest.borrow();
    let doors = door.live_doors.borrow();
    let is_engine = |it: &&Target| {
        let service = manifest.services.get(&it.service);
        service.is_some_and(|it| it.kind == ServiceKind::Engine)
    };
    let is_lender =
        |it: &&Target| lender_of(&it.name, &doors).is_none_or(|lender| *lender == door.config.name);
    manifest.targets.values().filter(is_engine).filter(is_lender).cloned().collect()
}

async fn ask(door: Rc<Door>, target: Target) {
    let call = Call {
        method: Method::GET,
        uri: Uri::from_static(LOAD_PATH),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let report = within(TIMEOUT, async {
        let response = door.targets.send(target.address, &call).await.ok()?;
        let body = read_whole(response.into_body(), MAX_REPORT_BYTES).await.ok()?;
        serde_json::from_slice::<Report>(&body).ok()
    });
    let Some(Some(report)) = report.await else { return };
    let Report { running, waiting, steps, tokens } = report;
    let name = || Name::clone(&target.name);
    door.dispatch.input(Input::Load { target: name(), running, waiting });
    door.dispatch.input(Input::Work { target: name(), steps, tokens });
}
