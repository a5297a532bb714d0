//! Single faults of a fleet at rest, to measure how long it takes to recover.

use std::{
    thread,
    time::{Duration, Instant},
};

use super::{
    checks::ITEM_MARK,
    injector::Injector,
    report::{Recovery, Times},
    settle::Settle,
};
use crate::{platform_store::StoreFault, platform_target::Run};

/// Gateway that jobs are submitted to.
const GATEWAY: usize = 0;
const ITEMS: usize = 150;
/// Runs of a job after which its owner is killed.
const RUNS_BEFORE: usize = 5;
/// Requests that the killed process has sent may be read so much later.
const ON_THE_WAY: Duration = Duration::from_millis(100);
const STORE_AWAY: Duration = Duration::from_secs(3);
const LIMIT: Duration = Duration::from_secs(30);

/// Does each fault once and takes the times.
pub fn measure(settle: &Settle<'_>, injector: &mut Injector<'_>, recovery: &mut Recovery) {
    owner_killed(settle, injector, &mut recovery.items_ms);
    store_away(settle, injector, &mut recovery.accepted_ms);
}

/// From the store's return to the first new job that is accepted.
fn store_away(settle: &Settle<'_>, injector: &Injector<'_>, times: &mut Times) {
    injector.platform.store.set_fault(StoreFault::Silent);
    thread::sleep(STORE_AWAY);
    injector.platform.store.set_fault(StoreFault::None);
    let back = Instant::now();
    if settle
        .comes(back + LIMIT, || settle.submits(GATEWAY, "drill-store", &items("drill-store", 1)))
    {
        times.push(back.elapsed());
    }
}

/// From a kill of a job's owner to the next of its items that begins to run.
fn owner_killed(settle: &Settle<'_>, injector: &mut Injector<'_>, times: &mut Times) {
    let (job, until) = ("drill-items", Instant::now() + LIMIT);
    let items = items(job, ITEMS);
    settle.comes(until, || settle.submits(GATEWAY, job, &items));
    let is_item = |it: &Run| it.id.split(ITEM_MARK).next() == Some(job);
    let count = |injector: &Injector<'_>| injector.runs().iter().filter(|it| is_item(it)).count();
    settle.comes(until, || count(injector) >= RUNS_BEFORE);
    let Some(owner) = owner(injector, job, settle.gateways) else { return };
    injector.platform.gateway(owner).kill();
    let killed = Instant::now();
    let mut again = None;
    settle.comes(until, || {
        let runs = injector.runs();
        let next = runs.iter().find(|it| is_item(it) && it.at > killed + ON_THE_WAY);
        again = next.map(|it| it.at);
        again.is_some()
    });
    again.into_iter().for_each(|it| times.push(it - killed));
    injector.restart_gateway(owner);
}

/// Gateway that owns a job; one that misses the store passes submissions on.
fn owner(injector: &Injector<'_>, job: &str, gateways: usize) -> Option<usize> {
    let owner = injector.platform.store.spec("orderedjobs", job)?["owner"].to_string();
    (0..gateways).find(|it| owner.contains(&format!("\"gateway-{it}\"")))
}

fn items(job: &str, count: usize) -> Vec<String> {
    (0..count).map(|it| format!("{job}{ITEM_MARK}{it}")).collect()
}
