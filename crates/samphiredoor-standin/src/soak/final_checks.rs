//! Checks of the fleet after the last fault has ended.

use std::{
    collections::BTreeSet,
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::json;

use super::{
    checks::Job,
    connection::{Reply, Request, call},
    injector::Injector,
    invariant::Invariant,
    report::Times,
    trace::RunState,
};
use crate::fleet::submission;

/// Time after the last fault within which each gateway must serve requests again.
const SERVES_TIMEOUT: Duration = Duration::from_secs(12);
/// Time after an acknowledgement within which a configuration must be active at each gateway.
const CONFIG_ACTIVE_TIMEOUT: Duration = Duration::from_secs(12);
/// Time within which all results of all jobs must be readable at each gateway.
const RESULTS_TIMEOUT: Duration = Duration::from_secs(90);
/// Time after the end of the load within which all items have results after bursts of crashes.
const ITEMS_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Checks of a fleet without active faults.
pub struct FinalChecks<'a> {
    /// State of the run.
    pub shared: &'a RunState,
    /// Number of gateways.
    pub gateways: usize,
    started_at: Instant,
}

impl FinalChecks<'_> {
    /// Starts the time limits: the last fault has just ended.
    pub fn new(shared: &RunState, gateways: usize) -> FinalChecks<'_> {
        FinalChecks { shared, gateways, started_at: Instant::now() }
    }

    /// Waits until each gateway serves a request, and records the times. Targets that crash meanwhile start again, as callers
    /// go on sending what crashes them.
    pub fn check_gateways_serve(&self, injector: &mut Injector<'_>, times: &mut Times) {
        for gateway in 0..self.gateways {
            let id = format!("settle-{gateway}");
            let is_served = || {
                injector.tick();
                self.is_served(gateway, &id)
            };
            if !self.wait_for(self.started_at + SERVES_TIMEOUT, is_served) {
                let observed = format!("gateway {gateway} does not serve");
                return self.record_violation(Invariant::ServesAfterFaults, &id, observed);
            }
            times.push(self.started_at.elapsed());
        }
    }

    /// Checks that all accepted jobs can be read at all gateways, from their first result on and again from a random
    /// earlier one.
    pub fn check_jobs(&self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let deadline = Instant::now() + RESULTS_TIMEOUT;
        let jobs = self.shared.checks().jobs().clone();
        for (name, job) in jobs.iter().filter(|(_, it)| it.accepted) {
            for gateway in 0..self.gateways {
                if self.shared.is_over() {
                    return;
                }
                self.check_job(deadline, gateway, name, job);
                self.read(gateway, name, rng.random_range(0..=job.results.len()));
            }
        }
    }

    /// Checks that no item of an accepted job is left without a result now that all is calm.
    pub fn check_items_finish(&self) {
        let deadline = Instant::now() + ITEMS_TIMEOUT;
        let jobs = self.shared.checks().jobs().clone();
        for (name, job) in jobs.iter().filter(|(_, it)| it.accepted && !it.cancelling) {
            let (mut available, expected) = (0, job.items.len());
            // Reads of other jobs may have taken all the time.
            let until = deadline.max(Instant::now() + CALL_TIMEOUT);
            let is_complete = self.wait_for(until, || {
                available += self.read(0, name, available).unwrap_or(0);
                available >= expected
            });
            if !is_complete {
                let observed = format!("{available} of {expected} results");
                return self.record_violation(Invariant::ItemsFinish, name, observed);
            }
        }
    }

    /// Reads all results of a job at one gateway; of a cancelled job, only the results that were read before must
    /// exist.
    fn check_job(&self, deadline: Instant, gateway: usize, name: &str, job: &Job) {
        let mut available = 0;
        let expected = if job.cancelling { job.results.len() } else { job.items.len() };
        let is_complete = self.wait_for(deadline, || {
            let read = self.read(gateway, name, available);
            available += read.unwrap_or(0);
            read.is_some() && available >= expected
        });
        if !is_complete {
            let observed = format!("gateway {gateway} has {available} of {expected} results");
            self.record_violation(Invariant::JobReadable, name, observed);
        }
    }

    /// Replaces all routes by a new one, waits until each gateway serves it, and checks that the old routes are not
    /// served any more.
    pub fn check_new_configuration(&self, injector: &Injector<'_>, times: &mut Times) {
        injector.platform.put_newest_route(injector.routes_version + 1);
        let started_at = Instant::now();
        let mut pending: BTreeSet<usize> = (0..self.gateways).collect();
        let is_active = self.wait_for(started_at + CONFIG_ACTIVE_TIMEOUT, || {
            pending.retain(|gateway| {
                self.send(*gateway, "/newest/ask", &format!("newest-{gateway}")).status != 200
            });
            pending.is_empty()
        });
        if !is_active {
            let observed = format!("not at gateways {pending:?}");
            return self.record_violation(Invariant::ConfigurationActive, "newest", observed);
        }
        times.push(started_at.elapsed());
        for gateway in 0..self.gateways {
            let status = self.send(gateway, "/safe/ask", "oldest").status;
            if status != 404 {
                let observed =
                    format!("gateway {gateway} answers {status} on a route that was removed");
                self.record_violation(Invariant::ConfigurationActive, "oldest", observed);
            }
        }
    }

    /// Records a violation unless the run is already ending.
    pub fn record_violation(&self, invariant: Invariant, id: &str, observed: String) {
        if !self.shared.is_over() {
            self.shared.checks().record_violation(invariant, id, observed);
        }
    }

    /// Submits a job; returns whether it was accepted.
    pub fn submit(&self, gateway: usize, job: &str, items: &[String]) -> bool {
        self.shared.checks().record_submission(job, items);
        let headers = [("X-Request-Id", job)];
        let reply = self.call(gateway, "POST", "/batch/submit", &headers, &submission(items));
        self.shared.checks().check_submission(job, &reply);
        reply.status == 202
    }

    /// Sends a repeatable request; returns whether it was served.
    pub fn is_served(&self, gateway: usize, id: &str) -> bool {
        self.shared.checks().record_request(id, true);
        self.send(gateway, "/safe/ask", id).status == 200
    }

    /// Polls a condition until a deadline; returns whether it became true.
    pub fn wait_for(&self, deadline: Instant, mut condition: impl FnMut() -> bool) -> bool {
        while Instant::now() < deadline && !self.shared.is_over() {
            if condition() {
                return true;
            }
            thread::sleep(POLL_INTERVAL);
        }
        false
    }

    fn send(&self, gateway: usize, path: &str, id: &str) -> Reply {
        let headers = [("X-Request-Id", id), ("X-Deadline-Ms", "2000")];
        let reply = self.call(gateway, "POST", path, &headers, "");
        self.shared.checks().check_chain(id, &reply);
        reply
    }

    /// Reads and checks results of a job; returns their number, or `None` if the gateway returned no page.
    pub fn read(&self, gateway: usize, job: &str, after: usize) -> Option<usize> {
        let path = format!("/samphiredoor/lots/{job}?after={after}");
        let read = self.shared.checks().record_read(job, gateway, after);
        let reply = self.call(gateway, "GET", &path, &[("X-Wait-Ms", "100")], "");
        let count = self.shared.checks().check_page(&read, &reply);
        (reply.status == 200).then_some(count)
    }

    /// Cancels a job; returns whether the cancellation was acknowledged.
    pub fn cancel(&self, gateway: usize, job: &str) -> bool {
        self.shared.checks().record_cancellation(job);
        let path = format!("/samphiredoor/lots/{job}");
        let is_acknowledged = self.call(gateway, "DELETE", &path, &[], "").status == 200;
        if is_acknowledged {
            self.shared.checks().record_cancelled(job);
        }
        is_acknowledged
    }

    fn call(
        &self,
        gateway: usize,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Reply {
        let request = Request { method, path, headers, body, timeout: CALL_TIMEOUT };
        let reply = call(self.shared.gateway(gateway), &request);
        let details = json!({ "gateway": gateway, "path": path, "status": reply.status });
        self.shared.trace("settle", details);
        reply
    }
}
