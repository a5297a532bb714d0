//! Single faults injected into an otherwise undisturbed fleet, to measure its recovery times.

use std::{
    thread,
    time::{Duration, Instant},
};

use super::{
    checks::ITEM_SEPARATOR,
    final_checks::FinalChecks,
    injector::Injector,
    report::{Recovery, Times},
};
use crate::{platform_store::StoreFault, platform_target::Run};

/// Gateway to which the jobs are submitted.
const GATEWAY: usize = 0;
const ITEMS: usize = 150;
/// Number of started items after which the owner of the job is killed.
const RUNS_BEFORE_KILL: usize = 5;
/// Requests that the killed process had already sent may reach targets within this time.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(100);
const STORE_OUTAGE: Duration = Duration::from_secs(3);
const TIMEOUT: Duration = Duration::from_secs(30);

/// Injects each fault once and records the recovery times.
pub fn measure(
    final_checks: &FinalChecks<'_>,
    injector: &mut Injector<'_>,
    recovery: &mut Recovery,
) {
    measure_owner_kill(final_checks, injector, &mut recovery.next_item_ms);
    measure_store_outage(final_checks, injector, &mut recovery.job_accepted_ms);
}

/// Measures the time from the recovery of the store to the first new job that is accepted.
fn measure_store_outage(
    final_checks: &FinalChecks<'_>,
    injector: &Injector<'_>,
    times: &mut Times,
) {
    injector.platform.store.set_fault(StoreFault::Silent);
    thread::sleep(STORE_OUTAGE);
    injector.platform.store.set_fault(StoreFault::None);
    let recovered_at = Instant::now();
    if final_checks.wait_for(recovered_at + TIMEOUT, || {
        final_checks.submit(GATEWAY, "drill-store", &items("drill-store", 1))
    }) {
        times.push(recovered_at.elapsed());
    }
}

/// Measures the time from the kill of a job's owner to the start of the job's next item.
fn measure_owner_kill(
    final_checks: &FinalChecks<'_>,
    injector: &mut Injector<'_>,
    times: &mut Times,
) {
    let (job, deadline) = ("drill-items", Instant::now() + TIMEOUT);
    let items = items(job, ITEMS);
    final_checks.wait_for(deadline, || final_checks.submit(GATEWAY, job, &items));
    let is_item = |it: &Run| it.id.split(ITEM_SEPARATOR).next() == Some(job);
    let count = |injector: &Injector<'_>| injector.runs().iter().filter(|it| is_item(it)).count();
    final_checks.wait_for(deadline, || count(injector) >= RUNS_BEFORE_KILL);
    let Some(owner) = owner(injector, job, final_checks.gateways) else { return };
    injector.platform.gateway(owner).kill();
    let killed_at = Instant::now();
    let mut next_start = None;
    final_checks.wait_for(deadline, || {
        let runs = injector.runs();
        let next = runs.iter().find(|it| is_item(it) && it.at > killed_at + IN_FLIGHT_TIME);
        next_start = next.map(|it| it.at);
        next_start.is_some()
    });
    next_start.into_iter().for_each(|it| times.push(it - killed_at));
    injector.restart_gateway(owner);
}

/// Gateway that owns a job; it may differ from the one that got the submission, because a gateway without access to the
/// store forwards submissions.
pub fn owner(injector: &Injector<'_>, job: &str, gateways: usize) -> Option<usize> {
    let owner = injector.platform.store.spec("orderedjobs", job)?["owner"].to_string();
    (0..gateways).find(|it| owner.contains(&format!("\"gateway-{it}\"")))
}

/// Ids of the items of a job.
pub fn items(job: &str, count: usize) -> Vec<String> {
    (0..count).map(|it| format!("{job}{ITEM_SEPARATOR}{it}")).collect()
}
