//! Clients of the soak test: some send single requests on keep-alive connections, others submit jobs, read their
//! results and cancel some, and others read the results of all jobs again, also of those that have ended.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use rand::{
    Rng, SeedableRng,
    rngs::SmallRng,
    seq::{IndexedRandom, IteratorRandom},
};
use serde_json::{Value, json};

use super::{
    Pressure, bursts,
    checks::{FAILS, IMPOSSIBLE, ITEM_SEPARATOR},
    connection::{Connection, Reply, Request, call},
    crashes::Effect,
    invariant::Invariant,
    silences::{Ending, MOVED_PATH, REMOVED_PATH},
    trace::RunState,
    versions::TakeUp,
};
use crate::fleet::submission;

/// Path of streams that may be resumed.
const RESUMABLE_PATH: &str = "/stream-resumable/check";
/// Deadlines of requests; the shorter ones expire before a run at a target ends.
const DEADLINES_MS: [u64; 4] = [60, 300, 1_000, LONGEST_DEADLINE_MS];
const LONGEST_DEADLINE_MS: u64 = 3_000;
/// The same beside silences: only the longer ones tell whether a silence ended an answer.
const DEADLINES_OF_SILENCES_MS: [u64; 4] = [300, 1_000, LONGEST_DEADLINE_MS, LONGEST_DEADLINE_MS];
const LONGEST_DEADLINE: Duration = Duration::from_millis(LONGEST_DEADLINE_MS);
/// Pause between two requests of [`Client::send_crashing`].
const CRASHING_PAUSE_MS: std::ops::Range<u64> = 100..800;
/// Time after a deadline for which a client still waits for the answer.
const ANSWER_GRACE: Duration = Duration::from_secs(2);
/// Probability that a client closes a connection that it could reuse.
const RECONNECT_PROBABILITY: f64 = 0.05;
/// Probability that a client disconnects without waiting for the answer.
const ABANDON_PROBABILITY: f64 = 0.05;
const ABANDON_AFTER_MS: std::ops::Range<u64> = 0..200;
/// Probability that a client reads nothing of an answer for some time.
const SLOW_PROBABILITY: f64 = 0.1;
/// This time; targets abort answers that stay unread for a part of it.
const SLOW_PAUSE_MS: std::ops::Range<u64> = 200..4_000;
const REQUEST_PAUSE_MS: std::ops::Range<u64> = 0..200;
/// The same beside changes of the idle limit, with this probability: the connection may be closed meanwhile.
const LONG_PAUSE_MS: std::ops::Range<u64> = 500..4_000;
const LONG_PAUSE_PROBABILITY: f64 = 0.1;
/// Requests by which a caller takes up a stream at most.
const MAX_TAKE_UPS: usize = 2;
/// Least time until the deadline for which a stream is taken up.
const MIN_TAKE_UP_TIME: Duration = Duration::from_millis(100);
/// Delay after a failed connection attempt.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(50);

const SUBMISSION_TRIES: usize = 6;
const JOB_CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum numbers of items of small and large jobs.
const MAX_ITEMS: [usize; 2] = [20, 150];
/// The same with bursts of crashes or silences, where runs are longer.
const MAX_ITEMS_OF_BURSTS: [usize; 2] = [20, 40];
/// Probability that an item always fails with 500, and that it always fails with 422.
const FAILS_PROBABILITY: f64 = 0.04;
/// The same under [`Pressure::Repeats`].
const MANY_FAIL_PROBABILITY: f64 = 0.3;
/// Time between two surges of online requests under [`Pressure::Repeats`]. A stream takes a quarter of a second, so that
/// items get slots in between.
const SURGE_INTERVAL: Duration = Duration::from_millis(700);
/// Probability that a job is submitted again after it was accepted.
const RESUBMIT_PROBABILITY: f64 = 0.3;
/// Probability that a job is cancelled while it runs.
const CANCEL_PROBABILITY: f64 = 0.6;
/// The same with bursts of crashes or silences: a cancelled job does not show that items are held.
const BURSTS_CANCEL_PROBABILITY: f64 = 0.1;
/// Time from the acceptance of a job to its cancellation, if it is cancelled at its start.
const CANCEL_AT_START_MS: std::ops::Range<u64> = 0..400;
/// The same for a job that is cancelled at any moment.
const CANCEL_ANY_TIME_MS: std::ops::Range<u64> = 0..5_000;
/// Number of missing results at which a job is cancelled just before its end.
const LAST_RESULTS: usize = 2;
/// Probability that a read starts at an earlier position.
const REREAD_PROBABILITY: f64 = 0.3;
/// Probability that a job that is read again is read from its first result on.
const FROM_START_PROBABILITY: f64 = 0.5;
/// Pause between two reads of [`Client::read_again`].
const READ_AGAIN_PAUSE_MS: std::ops::Range<u64> = 0..60;
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time for which a client reads the results of one job.
const MAX_READ_TIME: Duration = Duration::from_secs(10);

/// Moment at which a caller cancels its job.
#[derive(Debug, Clone, Copy)]
enum CancelMoment {
    /// This long after the acceptance.
    AfterAcceptance(Duration),
    /// When half of the results were read.
    HalfDone,
    /// When all but the last results were read.
    BeforeLast,
}

impl CancelMoment {
    fn has_come(self, since_acceptance: Duration, available: usize, items: usize) -> bool {
        match self {
            CancelMoment::AfterAcceptance(delay) => since_acceptance >= delay,
            CancelMoment::HalfDone => available * 2 >= items,
            CancelMoment::BeforeLast => available + LAST_RESULTS >= items,
        }
    }
}

/// Client of a run, with its own random number generator.
pub struct Client<'a> {
    shared: &'a RunState,
    rng: SmallRng,
    /// Decides who reads slowly. A generator of its own, so that the other choices of a seed do not depend on it.
    slow_rng: SmallRng,
    name: String,
    gateways: usize,
    fails_probability: f64,
    takes_up: bool,
    sends_streams_only: bool,
    has_prompts: bool,
    has_bursts: bool,
    has_silences: bool,
    next: u64,
}

impl<'a> Client<'a> {
    /// Client whose random choices are determined by the seed.
    pub fn new(shared: &'a RunState, seed: u64, name: String, gateways: usize) -> Client<'a> {
        let slow_rng = SmallRng::seed_from_u64(!seed);
        Client {
            shared,
            rng: SmallRng::seed_from_u64(seed),
            slow_rng,
            name,
            gateways,
            fails_probability: FAILS_PROBABILITY,
            takes_up: false,
            sends_streams_only: false,
            has_prompts: false,
            has_bursts: false,
            has_silences: false,
            next: 0,
        }
    }

    /// Sets what the requests of the client are to bring about.
    pub fn with_pressure(mut self, pressure: Pressure) -> Client<'a> {
        self.fails_probability = match pressure {
            Pressure::Usual => FAILS_PROBABILITY,
            Pressure::Repeats => MANY_FAIL_PROBABILITY,
        };
        self
    }

    /// Sets whether the client takes interrupted streams up again.
    pub fn with_take_ups(self, takes_up: bool) -> Client<'a> {
        Client { takes_up, ..self }
    }

    /// Lets the client only send requests for streams that may be resumed, and wait for them for long.
    pub fn with_streams_only(self) -> Client<'a> {
        Client { sends_streams_only: true, ..self }
    }

    /// Sets whether requests name the parts of their prompts.
    pub fn with_prompts(self, has_prompts: bool) -> Client<'a> {
        Client { has_prompts, ..self }
    }

    /// Lets requests, and the items of a job, share parts of their prompts that are new when targets crash.
    pub fn with_bursts(self, has_bursts: bool) -> Client<'a> {
        Client { has_bursts, ..self }
    }

    /// Lets all callers read at once, some reuse connections late, and some use routes that change.
    pub fn with_silences(self, has_silences: bool) -> Client<'a> {
        Client { has_silences, ..self }
    }

    fn next_id(&mut self) -> String {
        self.next += 1;
        format!("{}-{}", self.name, self.next)
    }

    fn random_gateway(&mut self) -> (usize, SocketAddr) {
        let gateway = self.rng.random_range(0..self.gateways);
        (gateway, self.shared.gateway(gateway))
    }

    /// Sends single requests until the run ends.
    pub fn send_requests(mut self) {
        let mut idle: Option<(usize, Connection)> = None;
        while !self.shared.is_stopped() {
            if self.rng.random_bool(RECONNECT_PROBABILITY) {
                idle = None;
            }
            let Some((gateway, mut connection)) = idle.take().or_else(|| self.connect()) else {
                thread::sleep(CONNECT_RETRY_DELAY);
                continue;
            };
            if self.send_one(gateway, &mut connection) {
                idle = Some((gateway, connection));
            }
            let is_long = self.has_silences && self.rng.random_bool(LONG_PAUSE_PROBABILITY);
            let pause = if is_long { LONG_PAUSE_MS } else { REQUEST_PAUSE_MS };
            thread::sleep(Duration::from_millis(self.rng.random_range(pause)));
        }
    }

    fn connect(&mut self) -> Option<(usize, Connection)> {
        let (gateway, address) = self.random_gateway();
        let is_slow = !self.has_silences && self.slow_rng.random_bool(SLOW_PROBABILITY);
        let open = if is_slow { Connection::open_slow } else { Connection::open };
        Some((gateway, open(address).ok()?))
    }

    /// Sends one request; returns whether the connection can be reused.
    fn send_one(&mut self, gateway: usize, connection: &mut Connection) -> bool {
        let paths = ["/unsafe/book", "/safe/ask", RESUMABLE_PATH, "/stream/check"];
        let mut path = *paths.choose(&mut self.rng).expect("a path");
        let deadlines_ms =
            if self.has_silences { &DEADLINES_OF_SILENCES_MS } else { &DEADLINES_MS };
        let mut deadline_ms = *deadlines_ms.choose(&mut self.rng).expect("a deadline");
        if self.sends_streams_only {
            (path, deadline_ms) = (RESUMABLE_PATH, LONGEST_DEADLINE_MS);
        }
        if self.has_silences {
            let paths = [path, path, path, path, MOVED_PATH, REMOVED_PATH];
            path = *paths.choose(&mut self.rng).expect("a path");
        }
        let sent_at = Instant::now();
        let is_repeatable = !path.starts_with("/unsafe") && !path.starts_with("/stream/");
        let timeout = Duration::from_millis(deadline_ms) + ANSWER_GRACE;
        let deadline = Duration::from_millis(deadline_ms);
        let (id, deadline_ms) = (self.next_id(), deadline_ms.to_string());
        let mut headers = vec![("X-Request-Id", id.as_str()), ("X-Deadline-Ms", &deadline_ms)];
        let prompt = if self.has_bursts {
            bursts::prompt(self.shared.elapsed_ms(), self.next, &mut self.rng)
        } else {
            Effect::Sound.prompt(self.next)
        };
        if self.has_prompts || self.has_bursts {
            headers.push(("X-Prompt-Prefix", &prompt));
        }
        if self.has_prompts {
            self.shared.checks().crashes().record(&id, Effect::Sound, path, gateway);
        }
        let request = Request { method: "POST", path, headers: &headers, body: "", timeout };
        if connection.has_stray_bytes() {
            let observed = "bytes were received on its connection before it was sent";
            self.shared.checks().record_violation(Invariant::AnswerMatchesRequest, &id, observed);
        }
        self.shared.checks().record_request(&id, is_repeatable);
        self.shared.checks().record_deadline(&id, deadline);
        if self.has_silences {
            self.shared.checks().silences().record_request(&id, path);
        }
        let sent = connection.send(&request).is_ok();
        if sent && self.rng.random_bool(ABANDON_PROBABILITY) {
            let wait = Duration::from_millis(self.rng.random_range(ABANDON_AFTER_MS));
            thread::sleep(wait);
            self.shared.trace("abandoned", json!({ "id": id, "gateway": gateway, "path": path }));
            return false;
        }
        if sent && connection.is_slow() {
            let pause = self.slow_rng.random_range(SLOW_PAUSE_MS);
            self.shared.trace("reads late", json!({ "id": id, "pause_ms": pause }));
            thread::sleep(Duration::from_millis(pause));
        }
        let (reply, is_reusable) =
            if sent { connection.receive(timeout) } else { (Reply::default(), false) };
        self.shared.trace("answered", reply_details(&id, gateway, path, &reply));
        self.shared.checks().check_answer(&id, &reply);
        if self.has_silences {
            let (connected_at, ended_at) = (connection.opened_at(), Instant::now());
            let (id, status) = (id.clone(), reply.status);
            let ending = Ending { id, gateway, connected_at, sent_at, ended_at, deadline, status };
            self.shared.checks().silences().record_ending(&reply, ending);
        }
        if self.takes_up && path == RESUMABLE_PATH {
            self.take_up(&id, gateway, &reply, sent_at + deadline);
        }
        is_reusable
    }

    /// Takes an interrupted stream up at other gateways, until it is complete or refused.
    fn take_up(&mut self, first: &str, mut gateway: usize, cut: &Reply, deadline: Instant) {
        let mut cut = cut.clone();
        let mut after = None;
        for _ in 0..MAX_TAKE_UPS {
            after = last_event(&cut.body).or(after);
            let left = deadline.saturating_duration_since(Instant::now());
            let is_interrupted = cut.status == 200 && !cut.is_complete;
            let Some(after) = after.filter(|_| is_interrupted && left > MIN_TAKE_UP_TIME) else {
                return;
            };
            gateway = (gateway + self.rng.random_range(1..self.gateways)) % self.gateways;
            cut = self.send_take_up(first, after, gateway, left);
        }
    }

    fn send_take_up(&mut self, first: &str, after: u64, gateway: usize, left: Duration) -> Reply {
        let (id, sent_at) = (self.next_id(), Instant::now());
        let (after_text, left_ms) = (after.to_string(), left.as_millis().to_string());
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Deadline-Ms", &left_ms),
            ("Last-Event-Id", &after_text),
            ("Resumes", first),
        ];
        self.shared.checks().record_request(&id, true);
        self.shared.checks().record_deadline(&id, left);
        let take_up = TakeUp { first: first.to_owned(), after };
        self.shared.checks().versions().record_take_up(&id, take_up);
        let timeout = left + ANSWER_GRACE;
        let request =
            Request { method: "POST", path: RESUMABLE_PATH, headers: &headers, body: "", timeout };
        let reply = call(self.shared.gateway(gateway), &request);
        self.shared.trace("answered", reply_details(&id, gateway, RESUMABLE_PATH, &reply));
        let is_in_touch = {
            let mut checks = self.shared.checks();
            checks.check_answer(&id, &reply);
            checks.count_take_up(gateway, sent_at, &reply)
        };
        let details = json!({ "first": first, "after": after, "id": id, "gateway": gateway,
            "status": reply.status, "is_in_touch": is_in_touch });
        self.shared.trace("taken up", details);
        reply
    }

    /// Sends requests that crash targets until the run ends, by their content and by a part of their prompts in turn.
    pub fn send_crashing(mut self) {
        while !self.shared.is_stopped() {
            let pause_ms = self.rng.random_range(CRASHING_PAUSE_MS);
            thread::sleep(Duration::from_millis(pause_ms));
            let effect = if self.next.is_multiple_of(2) {
                Effect::CrashesByBody
            } else {
                Effect::CrashesByPart
            };
            let path = *[RESUMABLE_PATH, "/stream/check"].choose(&mut self.rng).expect("a path");
            let ((gateway, address), id) = (self.random_gateway(), self.next_id());
            let (prompt, timeout) = (effect.prompt(self.next), LONGEST_DEADLINE);
            let deadline_ms = LONGEST_DEADLINE_MS.to_string();
            let headers = [
                ("X-Request-Id", id.as_str()),
                ("X-Deadline-Ms", &deadline_ms),
                ("X-Prompt-Prefix", &prompt),
            ];
            let body = effect.body(&id);
            let request = Request { method: "POST", path, headers: &headers, body, timeout };
            self.shared.checks().record_request(&id, path == RESUMABLE_PATH);
            self.shared.checks().record_deadline(&id, timeout);
            self.shared.checks().crashes().record(&id, effect, path, gateway);
            let reply = call(address, &request);
            self.shared.trace("answered", reply_details(&id, gateway, path, &reply));
            self.shared.checks().check_crashing_answer(&id, &reply);
        }
    }

    /// Sends one request at a time together with all other clients that do so, until the run ends.
    pub fn send_surges(mut self) {
        while !self.shared.is_stopped() {
            let interval_ms = SURGE_INTERVAL.as_millis() as u64;
            let wait_ms = interval_ms - self.shared.elapsed_ms() % interval_ms;
            thread::sleep(Duration::from_millis(wait_ms));
            if let Some((gateway, mut connection)) = self.connect() {
                self.send_one(gateway, &mut connection);
            }
        }
    }

    /// Submits jobs, and reads and cancels them, until the run ends.
    pub fn send_jobs(mut self) {
        while !self.shared.is_stopped() {
            let job = self.next_id();
            let sizes = if self.has_bursts || self.has_silences {
                &MAX_ITEMS_OF_BURSTS
            } else {
                &MAX_ITEMS
            };
            let most = *sizes.choose(&mut self.rng).expect("a number");
            let count = self.rng.random_range(1..=most);
            let items: Vec<String> = (0..count).map(|it| self.item_id(&job, it)).collect();
            if self.submit(&job, &items) {
                self.read_results(&job, &items);
            }
        }
    }

    /// Id of an item; some are of items that always fail.
    fn item_id(&mut self, job: &str, number: usize) -> String {
        let suffix = match self.rng.random_range(0.0..1.0) {
            it if it < self.fails_probability => FAILS.to_string(),
            it if it < 2.0 * self.fails_probability => IMPOSSIBLE.to_string(),
            _ => String::new(),
        };
        format!("{job}{ITEM_SEPARATOR}{number}{suffix}")
    }

    /// Submits a job until it is accepted, at most [`SUBMISSION_TRIES`] times.
    fn submit(&mut self, job: &str, items: &[String]) -> bool {
        let body = self.submission(job, items);
        for _ in 0..SUBMISSION_TRIES {
            if self.submit_once(job, items, &body) {
                return true;
            }
            thread::sleep(READ_INTERVAL);
        }
        false
    }

    fn submission(&self, job: &str, items: &[String]) -> String {
        if self.has_bursts { bursts::submission(job, items) } else { submission(items) }
    }

    fn submit_once(&mut self, job: &str, items: &[String], body: &str) -> bool {
        self.shared.checks().record_submission(job, items);
        let headers = [("X-Request-Id", job)];
        let reply = self.call_job("POST", "/batch/submit", &headers, body, job);
        self.shared.checks().check_submission(job, &reply);
        reply.status == 202
    }

    /// Reads the results of a job until all are there; may submit it again and cancel it meanwhile.
    fn read_results(&mut self, job: &str, items: &[String]) {
        let accepted_at = Instant::now();
        let cancellation = self.random_cancel_moment();
        let mut available = 0;
        if self.rng.random_bool(RESUBMIT_PROBABILITY) {
            self.submit_once(job, items, &self.submission(job, items));
        }
        while available < items.len()
            && accepted_at.elapsed() < MAX_READ_TIME
            && !self.shared.is_stopped()
        {
            let has_come =
                |it: CancelMoment| it.has_come(accepted_at.elapsed(), available, items.len());
            if cancellation.is_some_and(has_come) {
                return self.cancel(job);
            }
            let is_reread = available > 0 && self.rng.random_bool(REREAD_PROBABILITY);
            let after = if is_reread { self.rng.random_range(0..available) } else { available };
            available = available.max(after + self.read(job, after));
            thread::sleep(READ_INTERVAL);
        }
        // The last results may have come in one page.
        if matches!(cancellation, Some(CancelMoment::BeforeLast)) && available == items.len() {
            self.cancel(job);
        }
    }

    fn random_cancel_moment(&mut self) -> Option<CancelMoment> {
        let mut random_ms = |range| Duration::from_millis(self.rng.random_range(range));
        let moments = [
            CancelMoment::AfterAcceptance(random_ms(CANCEL_AT_START_MS)),
            CancelMoment::AfterAcceptance(random_ms(CANCEL_ANY_TIME_MS)),
            CancelMoment::HalfDone,
            CancelMoment::BeforeLast,
        ];
        let moment = *moments.choose(&mut self.rng).expect("a moment");
        let probability = if self.has_bursts || self.has_silences {
            BURSTS_CANCEL_PROBABILITY
        } else {
            CANCEL_PROBABILITY
        };
        self.rng.random_bool(probability).then_some(moment)
    }

    /// Reads results of all jobs again at one gateway, until the run ends. Each gateway has a client of its own, so
    /// that one that does not answer delays no reads at others.
    pub fn read_again(mut self, gateway: usize) {
        while !self.shared.is_stopped() {
            if let Some((job, known)) = self.random_job() {
                let is_from_start = known == 0 || self.rng.random_bool(FROM_START_PROBABILITY);
                let after = if is_from_start { 0 } else { self.rng.random_range(0..known) };
                self.read_known(gateway, &job, after, known);
            }
            let pause = self.rng.random_range(READ_AGAIN_PAUSE_MS);
            thread::sleep(Duration::from_millis(pause));
        }
    }

    /// Reads page by page from a position on, until all results that callers had read before have come again.
    fn read_known(&mut self, gateway: usize, job: &str, mut after: usize, known: usize) {
        loop {
            let count = self.read_at(gateway, job, after);
            after += count;
            if count == 0 || after >= known {
                return;
            }
        }
    }

    /// Random accepted job, with the number of its results that were read.
    fn random_job(&mut self) -> Option<(String, usize)> {
        let checks = self.shared.checks();
        let accepted = checks.jobs().iter().filter(|(_, it)| it.accepted);
        let (name, job) = accepted.choose(&mut self.rng)?;
        Some((name.clone(), job.results.len()))
    }

    fn read(&mut self, job: &str, after: usize) -> usize {
        let (gateway, _) = self.random_gateway();
        self.read_at(gateway, job, after)
    }

    fn read_at(&mut self, gateway: usize, job: &str, after: usize) -> usize {
        let path = format!("/samphiredoor/lots/{job}?after={after}");
        let read = self.shared.checks().record_read(job, gateway, after);
        let headers = [("X-Wait-Ms", "200")];
        let reply = self.call_job_at(gateway, "GET", &path, &headers, "", job);
        self.shared.checks().check_page(&read, &reply)
    }

    /// Cancels a job; retries until the cancellation is acknowledged, at most [`SUBMISSION_TRIES`] times.
    fn cancel(&mut self, job: &str) {
        self.shared.checks().record_cancellation(job);
        for _ in 0..SUBMISSION_TRIES {
            let path = format!("/samphiredoor/lots/{job}");
            if self.call_job("DELETE", &path, &[], "", job).status == 200 {
                return self.shared.checks().record_cancelled(job);
            }
            thread::sleep(READ_INTERVAL);
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
        let (gateway, _) = self.random_gateway();
        self.call_job_at(gateway, method, path, headers, body, job)
    }

    fn call_job_at(
        &self,
        gateway: usize,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
        job: &str,
    ) -> Reply {
        let address = self.shared.gateway(gateway);
        let reply =
            call(address, &Request { method, path, headers, body, timeout: JOB_CALL_TIMEOUT });
        self.shared.trace(method, reply_details(job, gateway, path, &reply));
        reply
    }
}

/// Number of the last whole event in the received part of a stream.
fn last_event(body: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(body);
    let (whole, _) = text.rsplit_once("\n\n")?;
    let (_, last) = whole.rsplit_once("id: ")?;
    last.lines().next()?.parse().ok()
}

fn reply_details(id: &str, gateway: usize, path: &str, reply: &Reply) -> Value {
    json!({
        "id": id, "gateway": gateway, "path": path, "status": reply.status,
        "is_whole": reply.is_complete, "bytes": reply.body.len(),
    })
}
