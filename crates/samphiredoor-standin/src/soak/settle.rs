//! What must hold once all faults are over.

use std::{
    collections::BTreeSet,
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use super::{
    checks::{Job, Promise},
    connection::{Reply, Request, call},
    injector::Injector,
    report::Times,
    trace::Shared,
};
use crate::fleet::submission;

/// Time from the last fault within which each gateway serves again.
const SERVED_WITHIN: Duration = Duration::from_secs(12);
/// Time from an acknowledgement within which a configuration is in force at each gateway.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(12);
/// Time within which all results of all jobs stand at each gateway.
const RESULTS_WITHIN: Duration = Duration::from_secs(90);
const TRY_PAUSE: Duration = Duration::from_millis(20);
const CALL_LIMIT: Duration = Duration::from_secs(3);

/// A fleet at rest.
pub struct Settle<'a> {
    shared: &'a Shared,
    /// Number of gateways.
    pub gateways: usize,
    began: Instant,
}

impl Settle<'_> {
    /// Fleet whose last fault is over now.
    pub fn new(shared: &Shared, gateways: usize) -> Settle<'_> {
        Settle { shared, gateways, began: Instant::now() }
    }

    /// Waits until each gateway serves, and measures when.
    pub fn served_again(&self, times: &mut Times) {
        for gateway in 0..self.gateways {
            let id = format!("settle-{gateway}");
            if !self.comes(self.began + SERVED_WITHIN, || self.sends(gateway, &id)) {
                let seen = format!("gateway {gateway} does not serve");
                return self.broke(Promise::ServedAgain, &id, seen);
            }
            times.push(self.began.elapsed());
        }
    }

    /// Reads all accepted jobs at all gateways.
    pub fn jobs_stand(&self) {
        let until = Instant::now() + RESULTS_WITHIN;
        let jobs = self.shared.checks().jobs().clone();
        for (name, job) in jobs.iter().filter(|(_, it)| it.accepted) {
            for gateway in 0..self.gateways {
                self.job_stands(until, gateway, name, job);
            }
        }
    }

    /// Reads a job whole at one gateway; of one that was ended only what was read before has to be there.
    fn job_stands(&self, until: Instant, gateway: usize, name: &str, job: &Job) {
        let mut standing = 0;
        let least = if job.ending { job.seen.len() } else { job.items.len() };
        let stands = self.comes(until, || {
            let reply = self.read(gateway, name, standing);
            standing += self.shared.checks().page(name, standing, &reply);
            reply.status == 200 && standing >= least
        });
        if !stands {
            let seen = format!("gateway {gateway} has {standing} of {least} results");
            self.broke(Promise::JobKept, name, seen);
        }
    }

    /// Replaces all routes, and waits until each gateway serves the new one; the old ones must not come back there.
    pub fn configuration_is_in_force(&self, injector: &Injector<'_>, times: &mut Times) {
        injector.platform.put_newest_route(injector.routes_version + 1);
        let began = Instant::now();
        let mut open: BTreeSet<usize> = (0..self.gateways).collect();
        let in_force = self.comes(began + IN_FORCE_WITHIN, || {
            open.retain(|gateway| {
                self.send(*gateway, "/newest/ask", &format!("newest-{gateway}")).status != 200
            });
            open.is_empty()
        });
        if !in_force {
            let seen = format!("not at gateways {open:?}");
            return self.broke(Promise::ConfigurationInForce, "newest", seen);
        }
        times.push(began.elapsed());
        for gateway in 0..self.gateways {
            let status = self.send(gateway, "/safe/ask", "oldest").status;
            if status != 404 {
                let seen = format!("gateway {gateway} answers {status} on a route that is gone");
                self.broke(Promise::ConfigurationInForce, "oldest", seen);
            }
        }
    }

    /// Takes a promise that broke; a run that is over already breaks no other.
    fn broke(&self, promise: Promise, id: &str, seen: String) {
        if !self.shared.is_over() {
            self.shared.checks().broke(promise, id, seen);
        }
    }

    /// Submits a job; says whether it is accepted.
    pub fn submits(&self, gateway: usize, job: &str, items: &[String]) -> bool {
        self.shared.checks().submitting(job, items);
        let headers = [("X-Request-Id", job)];
        let reply = self.call(gateway, "POST", "/batch/submit", &headers, &submission(items));
        self.shared.checks().submitted(job, &reply);
        reply.status == 202
    }

    /// Sends a request that may be repeated; says whether it is served.
    pub fn sends(&self, gateway: usize, id: &str) -> bool {
        self.shared.checks().sending(id, true);
        self.send(gateway, "/safe/ask", id).status == 200
    }

    /// Waits for something until then; says whether it came.
    pub fn comes(&self, until: Instant, mut condition: impl FnMut() -> bool) -> bool {
        while Instant::now() < until && !self.shared.is_over() {
            if condition() {
                return true;
            }
            thread::sleep(TRY_PAUSE);
        }
        false
    }

    fn send(&self, gateway: usize, path: &str, id: &str) -> Reply {
        let headers = [("X-Request-Id", id), ("X-Deadline-Ms", "2000")];
        self.call(gateway, "POST", path, &headers, "")
    }

    fn read(&self, gateway: usize, job: &str, after: usize) -> Reply {
        let path = format!("/samphiredoor/lots/{job}?after={after}");
        self.call(gateway, "GET", &path, &[("X-Wait-Ms", "100")], "")
    }

    fn call(
        &self,
        gateway: usize,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Reply {
        let request = Request { method, path, headers, body, limit: CALL_LIMIT };
        let reply = call(self.shared.gateway(gateway), &request);
        let told = json!({ "gateway": gateway, "path": path, "status": reply.status });
        self.shared.trace("settle", told);
        reply
    }
}
