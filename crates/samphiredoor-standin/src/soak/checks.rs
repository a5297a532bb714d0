//! Invariants of the soak test, checked from the answers that callers received and the requests that targets ran.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

use serde::Deserialize;
use serde_json::{Value, value::RawValue};

use super::{
    bursts::Bursts,
    chains::Chains,
    connection::Reply,
    crashes::Crashes,
    invariant::{Invariant, Violation},
    plan::Disturbed,
    read_history::{ReadHistory, SentRead},
    repeats::{self, Allowance, Owners, job_of, most_runs},
    silences::{Ending, RunEnd, Silences},
    versions::Versions,
};
use crate::platform_target::Run;

/// Time after the acknowledgement of a job's cancellation within which its items may still reach a target.
const CANCELLATION_GRACE: Duration = Duration::from_secs(3);
/// Time after a fault of a gateway, or of its path to the store, until it counts as in touch with the store again.
const IN_TOUCH_AFTER: Duration = Duration::from_secs(4);
/// Separates the name of a job from the number of an item.
pub const ITEM_SEPARATOR: char = '.';
/// Last character of the ids of items that targets always answer with 500.
pub const FAILS: char = 'f';
/// Last character of the ids of items that targets always answer with 422.
pub const IMPOSSIBLE: char = 'i';
/// Setting `attempts` of all routes.
pub const ROUTE_ATTEMPTS: u32 = 3;

#[derive(Debug, Default)]
struct Request {
    is_repeatable: bool,
    rejected: bool,
    allowance: Option<Allowance>,
}

/// Job as seen by clients.
#[derive(Debug, Clone, Default)]
pub struct Job {
    /// Ids of its items.
    pub items: BTreeSet<String>,
    /// Results that were read.
    pub results: ReadHistory,
    /// Whether a gateway has accepted it.
    pub accepted: bool,
    /// Whether its cancellation was requested.
    pub cancelling: bool,
    cancelled_at: Option<Instant>,
    attempts: u32,
    refusals: u32,
}

impl Job {
    /// Whether each attempt to submit it was rejected as not run.
    fn is_rejected(&self) -> bool {
        self.attempts > 0 && self.attempts == self.refusals
    }
}

/// Counters of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Successful requests.
    pub served: u64,
    /// Requests that were rejected as not run.
    pub refused: u64,
    /// Requests with an unknown outcome: an error that allows that they ran, or no answer.
    pub doubtful: u64,
    /// Distinct results of jobs that were read.
    pub results: u64,
    /// Reads of a job's results that were answered.
    pub reads: u64,
    /// Pages that ended before a result that had been read.
    pub short_pages: u64,
    /// Reads at gateways that were out of touch and did not return a result that had been read.
    pub stale_reads: u64,
    /// Jobs whose cancellation was acknowledged.
    pub ended: u64,
    /// Requests that targets ran.
    pub runs: u64,
    /// Runs of items beyond their bound, sent by a gateway that was disturbed or whose job changed its owner.
    pub excused_repeats: u64,
    /// Most runs of an item that always fails with 500, and of one that always fails with 422.
    pub most_repeats: [u32; 2],
    /// Runs that were handed more time than was left.
    pub late_deadlines: u64,
}

/// Time in which a fault was or will be active.
#[derive(Debug, Clone, Copy)]
struct FaultWindow {
    disturbed: Disturbed,
    from: Instant,
    until: Instant,
}

/// Observations of clients so far, and the first invariant that they violate.
#[derive(Debug, Default)]
pub struct Checks {
    requests: HashMap<String, Request>,
    jobs: BTreeMap<String, Job>,
    fault_windows: Vec<FaultWindow>,
    owners: Owners,
    violation: Option<Violation>,
    counts: Counts,
    /// Streams and the software versions that wrote them.
    versions: Versions,
    /// Streams and the runs that made them.
    chains: Chains,
    /// Requests that crash targets, and sound ones beside them.
    crashes: Crashes,
    bursts: Bursts,
    silences: Silences,
}

impl Checks {
    /// Silences of targets, and what callers saw beside them.
    pub fn silences(&mut self) -> &mut Silences {
        &mut self.silences
    }

    /// Checks an answer that was neither whole nor a refusal, with the runs of its request.
    pub fn check_ending(&mut self, ending: &Ending, runs: &[RunEnd]) {
        let was_disturbed = self.fault_windows.iter().any(|it| {
            matches!(it.disturbed, Disturbed::All)
                || it.disturbed == Disturbed::Gateway(ending.gateway)
        } && it.until > ending.connected_at
            && it.from < ending.ended_at);
        if let Some(observed) = self.silences.problem(ending, runs, was_disturbed) {
            self.record_violation(Invariant::Answered, &ending.id, observed);
        }
    }

    /// Checks that targets of the other service ran only requests of routes that were moved there.
    pub fn check_services(&mut self, runs: &[Run]) {
        if let Some(id) = self.silences.wrong_service(runs) {
            let observed = "its route was never moved there";
            self.record_violation(Invariant::AllowedService, &id, observed);
        }
    }

    /// Requests that crash targets, and sound ones beside them.
    pub fn crashes(&mut self) -> &mut Crashes {
        &mut self.crashes
    }

    /// Crashes by chance.
    pub fn bursts(&mut self) -> &mut Bursts {
        &mut self.bursts
    }

    /// Checks how many targets were crashed by requests that gateways had to know.
    pub fn check_crashes(&mut self, runs: &[Run]) {
        let mut crashes = std::mem::take(&mut self.crashes);
        crashes.note_runs(runs, |gateway, at| self.is_in_touch(gateway, at));
        if let Some(observed) = crashes.problem() {
            self.record_violation(
                Invariant::RepeatsBounded,
                "requests that crash targets",
                observed,
            );
        }
        self.crashes = crashes;
    }

    /// Streams and the software versions that wrote them.
    pub fn versions(&mut self) -> &mut Versions {
        &mut self.versions
    }

    /// Streams and the runs that made them.
    pub fn chains(&mut self) -> &mut Chains {
        &mut self.chains
    }

    /// Checks the runs that made the body of an answer.
    pub fn check_chain(&mut self, id: &str, reply: &Reply) {
        if reply.status != 200 {
            return;
        }
        let take_up = self.versions.take_up(id);
        if let Some(found) = self.chains.stream_break(id, take_up, &reply.body) {
            self.record_violation(Invariant::RunsChained, id, found.to_string());
        }
    }

    /// Checks how many of the streams that callers took up went on.
    pub fn check_take_ups(&mut self) {
        let Counts { served, refused, doubtful, .. } = self.counts;
        if let Some(observed) = self.versions.take_up_problem(served, refused + doubtful) {
            self.record_violation(Invariant::StreamsGoOn, "all streams", observed);
        }
    }

    /// Counts the answer to a request that takes up a stream; returns whether its gateway was in touch since it was sent.
    pub fn count_take_up(&mut self, gateway: usize, sent_at: Instant, reply: &Reply) -> bool {
        let is_in_touch = self.is_in_touch(gateway, sent_at)
            && self.versions.has_run_for(sent_at, IN_TOUCH_AFTER);
        self.versions.count_take_up(is_in_touch, reply.status == 200);
        is_in_touch
    }

    /// First violation, if any.
    pub fn violation(&self) -> Option<&Violation> {
        self.violation.as_ref()
    }

    /// Counters so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Jobs so far, by name.
    pub fn jobs(&self) -> &BTreeMap<String, Job> {
        &self.jobs
    }

    /// Records a violation; only the first one is kept.
    pub fn record_violation(
        &mut self,
        invariant: Invariant,
        id: &str,
        observed: impl Into<String>,
    ) {
        self.violation.get_or_insert_with(|| Violation {
            invariant,
            id: id.to_owned(),
            observed: observed.into(),
        });
    }

    /// Records a time in which a fault was or will be active.
    pub fn add_fault_window(&mut self, disturbed: Disturbed, from: Instant, until: Instant) {
        self.fault_windows.push(FaultWindow { disturbed, from, until });
    }

    /// Whether a gateway has been in touch with the store since a point in time, and for [`IN_TOUCH_AFTER`] before it.
    fn is_in_touch(&self, gateway: usize, since: Instant) -> bool {
        !self.was_disturbed(since, |it| match it {
            Disturbed::None => false,
            Disturbed::Gateway(disturbed) => disturbed == gateway,
            Disturbed::All => true,
        })
    }

    /// Whether a fault that disturbs these gateways was active since a point in time, or for [`IN_TOUCH_AFTER`] before it.
    fn was_disturbed(&self, since: Instant, disturbs: impl Fn(Disturbed) -> bool) -> bool {
        let (now, settled_at) = (Instant::now(), since - IN_TOUCH_AFTER);
        let mut windows = self.fault_windows.iter();
        windows.any(|it| disturbs(it.disturbed) && it.until > settled_at && it.from < now)
    }

    /// Records that a request is about to be sent.
    pub fn record_request(&mut self, id: &str, is_repeatable: bool) {
        self.requests.insert(id.to_owned(), Request { is_repeatable, ..Request::default() });
    }

    /// Records how long the caller of a request waits, from now on.
    pub fn record_deadline(&mut self, id: &str, deadline: Duration) {
        let allowance = Allowance { sent_at: Instant::now(), deadline };
        self.requests.entry(id.to_owned()).or_default().allowance = Some(allowance);
    }

    /// Jobs whose owners decide which runs of their items are judged.
    pub fn jobs_with_failing_items(&self) -> Vec<String> {
        let has_failing = |it: &&String| most_runs(it) < u32::MAX;
        let jobs = self.jobs.iter().filter(|(_, job)| job.items.iter().any(|it| has_failing(&it)));
        jobs.map(|(name, _)| name.clone()).collect()
    }

    /// Sets the gateways that own jobs at this moment; the next runs are judged by them.
    pub fn update_owners(&mut self, owners: BTreeMap<String, usize>) {
        self.owners.update(owners);
    }

    /// Records and checks the answer to a request.
    pub fn check_answer(&mut self, id: &str, reply: &Reply) {
        self.crashes.count_answer(id, reply);
        let allowance = self.requests.get(id).and_then(|it| it.allowance);
        let sent_at = allowance.map_or_else(Instant::now, |it| it.sent_at);
        if let Some(observed) = self.bursts.problem(sent_at, reply) {
            self.record_violation(Invariant::SoundServed, id, observed);
        }
        match reply.status {
            200 => self.check_success(id, reply),
            _ if reply.is_refusal() => {
                self.counts.refused += 1;
                self.requests.entry(id.to_owned()).or_default().rejected = true;
            }
            404 if self.silences.may_be_unknown(id) => {
                self.counts.refused += 1;
                self.requests.entry(id.to_owned()).or_default().rejected = true;
            }
            0 | 422 | 500 | 502 | 504 => self.counts.doubtful += 1,
            status => {
                self.record_violation(Invariant::NoPermanentError, id, format!("status {status}"))
            }
        }
        let stamp = reply.header("x-server-stamp");
        if stamp.is_some_and(|it| it.strip_prefix("stamp-") != Some(id)) {
            self.record_violation(Invariant::AnswerMatchesRequest, id, format!("stamp {stamp:?}"));
        }
    }

    /// Records and checks the answer to a request that crashes each target before the end of its answer.
    pub fn check_crashing_answer(&mut self, id: &str, reply: &Reply) {
        match reply.status {
            200 if reply.is_complete => {
                let observed = "an answer of a target that crashed looks whole";
                self.record_violation(Invariant::AnswerComplete, id, observed);
            }
            200 => {
                self.counts.doubtful += 1;
                self.check_chain(id, reply);
            }
            _ => self.check_answer(id, reply),
        }
    }

    fn check_success(&mut self, id: &str, reply: &Reply) {
        self.counts.served += 1;
        self.check_chain(id, reply);
        if !self.versions.check_body(id, &self.chains.reply_without_names(reply)) {
            let body = String::from_utf8_lossy(&reply.body);
            self.record_violation(
                Invariant::AnswerComplete,
                id,
                format!("whole={} {body:?}", reply.is_complete),
            );
        }
        if reply.header("x-server-stamp").is_none() || reply.header("x-request-id") != Some(id) {
            self.record_violation(
                Invariant::AnswerMatchesRequest,
                id,
                format!("{:?}", reply.headers),
            );
        }
    }

    /// Records that a job is about to be submitted.
    pub fn record_submission(&mut self, job: &str, items: &[String]) {
        let job = self.jobs.entry(job.to_owned()).or_default();
        job.items.extend(items.iter().cloned());
        job.attempts += 1;
    }

    /// Records and checks the answer to a submission.
    pub fn check_submission(&mut self, name: &str, reply: &Reply) {
        let job = self.jobs.entry(name.to_owned()).or_default();
        match reply.status {
            202 => job.accepted = true,
            _ if reply.is_refusal() => job.refusals += 1,
            0 | 500 | 502 | 504 => {}
            status => self.record_violation(
                Invariant::NoPermanentError,
                name,
                format!("submission: status {status}"),
            ),
        }
    }

    /// Records that the cancellation of a job is about to be requested.
    pub fn record_cancellation(&mut self, name: &str) {
        self.jobs.entry(name.to_owned()).or_default().cancelling = true;
    }

    /// Records that the cancellation of a job was acknowledged.
    pub fn record_cancelled(&mut self, name: &str) {
        self.counts.ended += 1;
        self.jobs.entry(name.to_owned()).or_default().cancelled_at.get_or_insert_with(Instant::now);
    }

    /// Records that a read of a job's results is about to be sent.
    pub fn record_read(&self, job: &str, gateway: usize, after: usize) -> SentRead {
        let known = self.jobs.get(job).map_or(0, |it| it.results.len());
        SentRead { job: job.to_owned(), gateway, after, known, sent_at: Instant::now() }
    }

    /// Records and checks the answer to a read; returns the number of results in it.
    pub fn check_page(&mut self, read: &SentRead, reply: &Reply) -> usize {
        let job = self.jobs.entry(read.job.clone()).or_default();
        let page = match reply.status {
            200 if reply.is_complete => Page::parse(&reply.body),
            404 | 410 if job.accepted => {
                let observed = format!("gateway {}: status {}", read.gateway, reply.status);
                self.record_violation(Invariant::JobReadable, &read.job, observed);
                return 0;
            }
            _ => return 0,
        };
        if page.total != Some(job.items.len()) {
            let observed = format!("gateway {}: total {:?}", read.gateway, page.total);
            self.record_violation(Invariant::JobReadable, &read.job, observed);
            return 0;
        }
        let missing = job.results.missing(read, page.outputs.len());
        let violation = job.check_outputs(read, (&self.versions, &self.chains), &page.outputs);
        let cancellation = job.cancellation();
        self.counts.reads += 1;
        self.counts.short_pages += u64::from(read.is_short(page.outputs.len()));
        if let Some((invariant, observed)) = violation {
            self.record_violation(invariant, &read.job, format!("{observed}; {cancellation}"));
        }
        if let Some(missing) = missing {
            self.record_missing(read, format!("{missing}; {cancellation}"));
        }
        page.outputs.len()
    }

    /// Records that a read did not return a result that had been read before.
    fn record_missing(&mut self, read: &SentRead, observed: String) {
        match self.is_in_touch(read.gateway, read.sent_at) {
            true => self.record_violation(Invariant::ReadsMonotonic, &read.job, observed),
            false => self.counts.stale_reads += 1,
        }
    }

    /// Checks all runs at targets so far.
    pub fn check_runs(&mut self, runs: &[Run]) {
        self.counts.runs = runs.len() as u64;
        self.counts.results = self.jobs.values().map(|it| it.results.len() as u64).sum();
        self.counts.late_deadlines = 0;
        let mut times: HashMap<&str, u32> = HashMap::new();
        for run in runs {
            *times.entry(&run.id).or_default() += 1;
            let violation = match self.requests.get(&run.id) {
                Some(request) => {
                    let is_late = request.allowance.is_some_and(|it| it.is_exceeded(run));
                    self.counts.late_deadlines += u64::from(is_late);
                    request_violation(request, times[run.id.as_str()])
                }
                None => self.item_violation(run, times[run.id.as_str()]),
            };
            if let Some((invariant, observed)) = violation {
                self.record_violation(invariant, &run.id, observed);
            }
        }
        self.check_late_deadlines(runs);
    }

    fn check_late_deadlines(&mut self, runs: &[Run]) {
        let requests = runs.iter().filter(|it| self.requests.contains_key(&it.id)).count() as u64;
        let late = self.counts.late_deadlines;
        if repeats::are_too_many_late(late, requests) {
            let observed = format!("{late} of {requests} runs");
            self.record_violation(Invariant::DeadlinesKept, "all requests", observed);
        }
    }

    fn item_violation(&mut self, run: &Run, times: u32) -> Option<(Invariant, String)> {
        let job = self.jobs.get(job_of(&run.id));
        let Some(job) = job.filter(|it| it.items.contains(&run.id)) else {
            return Some((Invariant::RunWasRequested, "no caller sent it".to_owned()));
        };
        if run.body != run.id.as_bytes() {
            return Some((Invariant::RunWasRequested, "the body differs".to_owned()));
        }
        if job.is_rejected() {
            return Some((Invariant::RejectedNeverRuns, "its job was rejected".to_owned()));
        }
        let late = job.cancelled_at.map(|it| run.at.saturating_duration_since(it));
        let late = late.filter(|it| {
            *it > CANCELLATION_GRACE && self.was_fault_free(run.at - CANCELLATION_GRACE, run.at)
        });
        if let Some(late) = late {
            let observed = format!("{} ms after the cancellation", late.as_millis());
            return Some((Invariant::CancellationStopsRuns, observed));
        }
        self.repeat_violation(run, times)
    }

    fn repeat_violation(&mut self, run: &Run, times: u32) -> Option<(Invariant, String)> {
        let most = most_runs(&run.id);
        if most == u32::MAX {
            return None;
        }
        let longest = &mut self.counts.most_repeats[usize::from(run.id.ends_with(IMPOSSIBLE))];
        *longest = times.max(*longest);
        if times <= most || !self.owners.is_new(&run.id, times) {
            return None;
        }
        let sender = self.owners.sender(job_of(&run.id));
        if self.is_sender_in_touch(sender, run.at) {
            return Some((Invariant::RepeatsBounded, format!("run {times}, gateway {sender:?}")));
        }
        self.counts.excused_repeats += 1;
        None
    }

    /// Whether the gateway that sent a run was in touch. Where it is not known, each gateway may have sent it.
    fn is_sender_in_touch(&self, sender: Option<usize>, at: Instant) -> bool {
        match sender {
            Some(gateway) => self.is_in_touch(gateway, at),
            None => !self.was_disturbed(at, |it| it != Disturbed::None),
        }
    }

    fn was_fault_free(&self, from: Instant, until: Instant) -> bool {
        self.fault_windows.iter().all(|it| it.until < from || it.from > until)
    }
}

fn request_violation(request: &Request, times: u32) -> Option<(Invariant, String)> {
    if request.rejected {
        return Some((Invariant::RejectedNeverRuns, "it was rejected".to_owned()));
    }
    if times > 1 && !request.is_repeatable {
        return Some((Invariant::RunsAtMostOnce, format!("it ran {times} times")));
    }
    let is_bounded = times <= ROUTE_ATTEMPTS;
    (!is_bounded).then(|| (Invariant::RepeatsBounded, format!("it ran {times} times")))
}

impl Job {
    /// Checks and records the results in the answer to a read.
    fn check_outputs(
        &mut self,
        read: &SentRead,
        seen: (&Versions, &Chains),
        outputs: &[Box<RawValue>],
    ) -> Option<(Invariant, String)> {
        let mut outputs = outputs.iter().zip(read.after..);
        outputs
            .find_map(|(output, position)| self.check_result(read, seen, (position, output.get())))
    }

    /// Checks and records the result at a position.
    fn check_result(
        &mut self,
        read: &SentRead,
        (versions, chains): (&Versions, &Chains),
        (position, bytes): (usize, &str),
    ) -> Option<(Invariant, String)> {
        if let Some(compared) = self.results.compare(read, position, bytes) {
            return compared.err().map(|it| (Invariant::ResultsStable, it));
        }
        let output: Value = serde_json::from_str(bytes).unwrap_or(Value::Null);
        let id = output["id"].as_str().unwrap_or_default();
        let observed =
            || format!("position {position}: {bytes} was not expected at gateway {}", read.gateway);
        if !self.items.contains(id) || self.results.has_item(id) {
            return Some((Invariant::ResultsStable, observed()));
        }
        let (text, is_completed) = (output["text"].as_str(), output["state"] == "completed");
        if let Some(found) = text.filter(|_| is_completed).and_then(|it| chains.text_break(it)) {
            let observed = format!("{found}; {}", observed());
            return Some((Invariant::RunsChained, observed));
        }
        let is_whole = |it| versions.is_text_of_one(&chains.text_without_names(it));
        if is_completed && !text.is_some_and(is_whole) {
            return Some((Invariant::AnswerComplete, observed()));
        }
        self.results.push(id, bytes, read.gateway);
        None
    }

    fn cancellation(&self) -> String {
        match self.cancelled_at {
            Some(at) => format!("cancelled {} ms before", at.elapsed().as_millis()),
            None if self.cancelling => "cancelled without an acknowledgement".to_owned(),
            None => "not cancelled".to_owned(),
        }
    }
}

/// Page of results, with the bytes of each result.
#[derive(Debug, Default, Deserialize)]
struct Page {
    total: Option<usize>,
    #[serde(default)]
    outputs: Vec<Box<RawValue>>,
}

impl Page {
    fn parse(body: &[u8]) -> Page {
        serde_json::from_slice(body).unwrap_or_default()
    }
}
