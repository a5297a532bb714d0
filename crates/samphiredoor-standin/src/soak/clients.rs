//! Clients: some send single requests on connections that they keep, others submit jobs, read and end them.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde_json::{Value, json};

use super::{
    checks::{ITEM_MARK, Promise},
    connection::{Connection, Reply, Request, call},
    trace::Shared,
};
use crate::fleet::submission;

/// Times that clients wait; the shorter ones are over before a run ends.
const DEADLINES_MS: [u64; 4] = [60, 300, 1_000, 3_000];
/// Time beyond a deadline after which a client gives up an answer.
const BEYOND_DEADLINE: Duration = Duration::from_secs(2);
/// Chance that a client leaves its connection although it could go on.
const LEAVES: f64 = 0.05;
/// Chance that a client does not wait for an answer.
const ABANDONS: f64 = 0.05;
const ABANDONED_AFTER_MS: std::ops::Range<u64> = 0..200;
const PAUSE_MS: std::ops::Range<u64> = 0..200;
/// Pause after a gateway could not be reached.
const UNREACHED_PAUSE: Duration = Duration::from_millis(50);

const SUBMISSION_TRIES: usize = 6;
const JOB_CALL_LIMIT: Duration = Duration::from_millis(2_500);
const MAX_ITEMS: usize = 150;
/// Chance that a job comes again after its acceptance.
const RESENDS: f64 = 0.3;
/// Chance that a job is ended while it runs.
const ENDS: f64 = 0.4;
/// Chance that a read begins at an earlier position.
const READS_AGAIN: f64 = 0.3;
const READ_PAUSE: Duration = Duration::from_millis(100);
/// Longest time that a client follows one job.
const FOLLOWED: Duration = Duration::from_secs(10);

/// One client of a run.
pub struct Client<'a> {
    shared: &'a Shared,
    rng: SmallRng,
    name: String,
    gateways: usize,
    next: u64,
}

impl<'a> Client<'a> {
    /// Client whose choices follow from its seed.
    pub fn new(shared: &'a Shared, seed: u64, name: String, gateways: usize) -> Client<'a> {
        Client { shared, rng: SmallRng::seed_from_u64(seed), name, gateways, next: 0 }
    }

    fn id(&mut self) -> String {
        self.next += 1;
        format!("{}-{}", self.name, self.next)
    }

    fn any_gateway(&mut self) -> (usize, SocketAddr) {
        let gateway = self.rng.random_range(0..self.gateways);
        (gateway, self.shared.gateway(gateway))
    }

    /// Sends single requests until the run ends.
    pub fn send_requests(mut self) {
        let mut kept: Option<(usize, Connection)> = None;
        while !self.shared.is_stopped() {
            if self.rng.random_bool(LEAVES) {
                kept = None;
            }
            let Some((gateway, mut connection)) = kept.take().or_else(|| self.connect()) else {
                thread::sleep(UNREACHED_PAUSE);
                continue;
            };
            if self.send_one(gateway, &mut connection) {
                kept = Some((gateway, connection));
            }
            thread::sleep(Duration::from_millis(self.rng.random_range(PAUSE_MS)));
        }
    }

    fn connect(&mut self) -> Option<(usize, Connection)> {
        let (gateway, address) = self.any_gateway();
        Some((gateway, Connection::open(address).ok()?))
    }

    /// Sends one request; says whether its connection goes on.
    fn send_one(&mut self, gateway: usize, connection: &mut Connection) -> bool {
        let paths = ["/unsafe/book", "/safe/ask", "/stream-resumable/check", "/stream/check"];
        let path = *paths.choose(&mut self.rng).expect("a path");
        let may_repeat = path.starts_with("/safe") || path.starts_with("/stream-resumable");
        let deadline_ms = *DEADLINES_MS.choose(&mut self.rng).expect("a deadline");
        let limit = Duration::from_millis(deadline_ms) + BEYOND_DEADLINE;
        let (id, deadline_ms) = (self.id(), deadline_ms.to_string());
        let headers = [("X-Request-Id", id.as_str()), ("X-Deadline-Ms", &deadline_ms)];
        let request = Request { method: "POST", path, headers: &headers, body: "", limit };
        if connection.has_stray_bytes() {
            let seen = "bytes came on its connection before it was sent";
            self.shared.checks().broke(Promise::OwnAnswer, &id, seen);
        }
        self.shared.checks().sending(&id, may_repeat);
        let sent = connection.send(&request).is_ok();
        if sent && self.rng.random_bool(ABANDONS) {
            let patience = Duration::from_millis(self.rng.random_range(ABANDONED_AFTER_MS));
            thread::sleep(patience);
            self.shared.trace("abandoned", json!({ "id": id, "gateway": gateway, "path": path }));
            return false;
        }
        let (reply, goes_on) =
            if sent { connection.receive(limit) } else { (Reply::default(), false) };
        self.shared.trace("answered", told(&id, gateway, path, &reply));
        self.shared.checks().answered(&id, &reply);
        goes_on
    }

    /// Submits jobs, and reads and ends them, until the run ends.
    pub fn send_jobs(mut self) {
        while !self.shared.is_stopped() {
            let job = self.id();
            let count = self.rng.random_range(1..=MAX_ITEMS);
            let items: Vec<String> = (0..count).map(|it| format!("{job}{ITEM_MARK}{it}")).collect();
            if self.submit(&job, &items) {
                self.follow(&job, &items);
            }
        }
    }

    /// Sends a job until it is accepted.
    fn submit(&mut self, job: &str, items: &[String]) -> bool {
        let body = submission(items);
        for _ in 0..SUBMISSION_TRIES {
            if self.submit_once(job, items, &body) {
                return true;
            }
            thread::sleep(READ_PAUSE);
        }
        false
    }

    fn submit_once(&mut self, job: &str, items: &[String], body: &str) -> bool {
        self.shared.checks().submitting(job, items);
        let headers = [("X-Request-Id", job)];
        let reply = self.call_job("POST", "/batch/submit", &headers, body, job);
        self.shared.checks().submitted(job, &reply);
        reply.status == 202
    }

    /// Reads a job until all of its results stand; may send it again and end it meanwhile.
    fn follow(&mut self, job: &str, items: &[String]) {
        let until = Instant::now() + FOLLOWED;
        let end_after = self.rng.random_bool(ENDS).then(|| self.rng.random_range(0..20));
        let (mut reads, mut standing) = (0, 0);
        if self.rng.random_bool(RESENDS) {
            self.submit_once(job, items, &submission(items));
        }
        while standing < items.len() && Instant::now() < until && !self.shared.is_stopped() {
            let reads_again = standing > 0 && self.rng.random_bool(READS_AGAIN);
            let after = if reads_again { self.rng.random_range(0..standing) } else { standing };
            standing = standing.max(after + self.read(job, after));
            reads += 1;
            if end_after.is_some_and(|it| reads >= it) {
                return self.end(job);
            }
            thread::sleep(READ_PAUSE);
        }
    }

    fn read(&mut self, job: &str, after: usize) -> usize {
        let path = format!("/samphiredoor/lots/{job}?after={after}");
        let reply = self.call_job("GET", &path, &[("X-Wait-Ms", "200")], "", job);
        self.shared.checks().page(job, after, &reply)
    }

    /// Asks for the end of a job until it is acknowledged.
    fn end(&mut self, job: &str) {
        self.shared.checks().ending(job);
        for _ in 0..SUBMISSION_TRIES {
            let path = format!("/samphiredoor/lots/{job}");
            if self.call_job("DELETE", &path, &[], "", job).status == 200 {
                return self.shared.checks().ended(job);
            }
            thread::sleep(READ_PAUSE);
        }
    }

    fn call_job(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
        job: &str,
    ) -> Reply {
        let (gateway, address) = self.any_gateway();
        let reply = call(address, &Request { method, path, headers, body, limit: JOB_CALL_LIMIT });
        self.shared.trace(method, told(job, gateway, path, &reply));
        reply
    }
}

fn told(id: &str, gateway: usize, path: &str, reply: &Reply) -> Value {
    json!({
        "id": id, "gateway": gateway, "path": path, "status": reply.status,
        "is_whole": reply.is_whole, "bytes": reply.body.len(),
    })
}
