//! What must hold once all faults are over.

use std::{
    collections::BTreeSet,
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use super::{
    checks::{Job, Promise},
    connection::{Reply, Request, call},
    injector::Injector,
    report::Recovery,
    trace::Shared,
};
/// Time from the last fault within which each gateway serves again.
const SERVED_WITHIN: Duration = Duration::from_secs(12);
/// Time from an acknowledgement within which a configuration is in force at each gateway.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(12);
/// Time from the last fault within which all results of all jobs stand at each gateway.
const RESULTS_WITHIN: Duration = Duration::from_secs(90);
const TRY_PAUSE: Duration = Duration::from_millis(50);
const CALL_LIMIT: Duration = Duration::from_secs(3);

/// Checks of a fleet at rest.
pub struct Settle<'a> {
    /// State of the run.
    pub shared: &'a Shared,
    /// The processes.
    pub injector: &'a Injector<'a>,
    /// Number of gateways.
    pub gateways: usize,
    /// When the last fault ended.
    pub calm_since: Instant,
    /// Where times go.
    pub recovery: &'a mut Recovery,
}

impl Settle<'_> {
    /// Checks everything, up to the first promise that broke.
    pub fn check(&mut self) {
        self.served_again();
        self.jobs_stand();
        let runs = self.injector.runs();
        self.shared.checks().check_runs(&runs);
        self.configuration_is_in_force();
    }

    fn served_again(&mut self) {
        for gateway in 0..self.gateways {
            let id = format!("settle-{gateway}");
            self.shared.checks().sending(&id, true);
            let until = self.calm_since + SERVED_WITHIN;
            if !self.comes(until, || self.send(gateway, "/safe/ask", &id).status == 200) {
                let seen = format!("gateway {gateway} does not serve");
                return self.shared.checks().broke(Promise::ServedAgain, &id, seen);
            }
            self.recovery.served_ms.push(self.calm_since.elapsed());
        }
    }

    fn jobs_stand(&self) {
        let jobs = self.shared.checks().jobs().clone();
        for (name, job) in jobs.iter().filter(|(_, it)| it.accepted) {
            for gateway in 0..self.gateways {
                if self.shared.is_over() || !self.job_stands(gateway, name, job) {
                    return;
                }
            }
        }
    }

    /// Reads a job whole at one gateway; of one that was ended only what was read before has to be there.
    fn job_stands(&self, gateway: usize, name: &str, job: &Job) -> bool {
        let until = self.calm_since + RESULTS_WITHIN;
        let mut standing = 0;
        let least = if job.ending { job.seen.len() } else { job.items.len() };
        let stands = self.comes(until, || {
            let reply = self.read(gateway, name, standing);
            standing += self.shared.checks().page(name, standing, &reply);
            reply.status == 200 && standing >= least
        });
        if !stands && !self.shared.is_over() {
            let seen = format!("gateway {gateway} has {standing} of {least} results");
            self.shared.checks().broke(Promise::JobKept, name, seen);
        }
        stands
    }

    /// Replaces all routes, and waits until each gateway serves the new one; the old ones must not come back there.
    fn configuration_is_in_force(&mut self) {
        if self.shared.is_over() {
            return;
        }
        self.injector.platform.put_newest_route(self.injector.routes_version + 1);
        let began = Instant::now();
        let mut open: BTreeSet<usize> = (0..self.gateways).collect();
        let in_force = self.comes(began + IN_FORCE_WITHIN, || {
            open.retain(|gateway| {
                let id = format!("newest-{gateway}");
                self.shared.checks().sending(&id, true);
                self.send(*gateway, "/newest/ask", &id).status != 200
            });
            open.is_empty()
        });
        if !in_force {
            let seen = format!("not at gateways {open:?}");
            return self.shared.checks().broke(Promise::ConfigurationInForce, "newest", seen);
        }
        self.recovery.in_force_ms.push(began.elapsed());
        for gateway in 0..self.gateways {
            let status = self.send(gateway, "/safe/ask", "oldest").status;
            if status != 404 {
                let seen = format!("gateway {gateway} answers {status} on a route that is gone");
                self.shared.checks().broke(Promise::ConfigurationInForce, "oldest", seen);
            }
        }
    }

    fn comes(&self, until: Instant, mut condition: impl FnMut() -> bool) -> bool {
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
        self.call(
            gateway,
            &Request { method: "POST", path, headers: &headers, body: "", limit: CALL_LIMIT },
        )
    }

    fn read(&self, gateway: usize, job: &str, after: usize) -> Reply {
        let path = format!("/samphiredoor/lots/{job}?after={after}");
        let headers = [("X-Wait-Ms", "100")];
        self.call(
            gateway,
            &Request { method: "GET", path: &path, headers: &headers, body: "", limit: CALL_LIMIT },
        )
    }

    fn call(&self, gateway: usize, request: &Request<'_>) -> Reply {
        let reply = call(self.shared.gateway(gateway), request);
        let told: Value =
            json!({ "gateway": gateway, "path": request.path, "status": reply.status });
        self.shared.trace("settle", told);
        reply
    }
}
