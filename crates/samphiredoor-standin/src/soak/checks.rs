//! The promises, judged by what callers and targets have seen.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt,
    time::{Duration, Instant},
};

use serde_json::Value;

use super::connection::Reply;
use crate::{fleet::whole_stream, platform_target::Run};

/// Time after the acknowledgement of a job's end within which its items may still reach a target.
const END_WITHIN: Duration = Duration::from_secs(3);
/// Separates the name of a job from the number of an item.
pub const ITEM_MARK: char = '.';

/// What callers and operators rely on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Promise {
    /// A request that may not be repeated runs once at most.
    RunsOnce,
    /// What was refused as not run does not run.
    RefusedDidNotRun,
    /// What runs was asked for, with the body of its caller.
    Asked,
    /// An answer is whole or visibly cut, and its events come in order.
    WholeAnswer,
    /// An answer belongs to its request.
    OwnAnswer,
    /// What a configuration allows is not refused for good.
    Allowed,
    /// A result stays at its position, and each item has one.
    ResultsStay,
    /// An accepted job can be read, with all of its items, at every gateway.
    JobKept,
    /// After the end of a job none of its items begins to run.
    EndStops,
    /// Requests are served again after the last fault.
    ServedAgain,
    /// An acknowledged configuration is in force at every gateway, and no older one comes back.
    ConfigurationInForce,
}

impl fmt::Display for Promise {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Promise::RunsOnce => "an unsafe request runs once at most",
            Promise::RefusedDidNotRun => "what was refused as not run does not run",
            Promise::Asked => "what runs was asked for",
            Promise::WholeAnswer => "an answer is whole and in order, or visibly cut",
            Promise::OwnAnswer => "an answer belongs to its request",
            Promise::Allowed => "what is allowed is not refused for good",
            Promise::ResultsStay => "a result stays at its position",
            Promise::JobKept => "an accepted job can be read at every gateway",
            Promise::EndStops => "nothing of a job runs after its end",
            Promise::ServedAgain => "requests are served again after the last fault",
            Promise::ConfigurationInForce => "a configuration is in force everywhere",
        })
    }
}

/// A promise that did not hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    /// Which.
    pub promise: Promise,
    /// Request, item or job.
    pub id: String,
    /// What was seen.
    pub seen: String,
}

#[derive(Debug, Default)]
struct Request {
    may_repeat: bool,
    refused: bool,
}

/// What is known of a job.
#[derive(Debug, Clone, Default)]
pub struct Job {
    /// Its items.
    pub items: BTreeSet<String>,
    /// Results that were read, by position.
    pub seen: Vec<Value>,
    /// Whether a gateway has accepted it.
    pub accepted: bool,
    /// Whether its end was asked for.
    pub ending: bool,
    ended_at: Option<Instant>,
    attempts: u32,
    refusals: u32,
}

impl Job {
    /// Whether each attempt to submit it was refused as not run.
    fn is_refused(&self) -> bool {
        self.attempts > 0 && self.attempts == self.refusals
    }
}

/// Numbers of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Requests that were answered with success.
    pub served: u64,
    /// Requests that were refused as not run.
    pub refused: u64,
    /// Requests with any other answer, or none.
    pub doubtful: u64,
    /// Results of jobs that were read for the first time.
    pub results: u64,
    /// Jobs whose end was acknowledged.
    pub ended: u64,
    /// Runs at targets.
    pub runs: u64,
}

/// What clients have seen so far, and the first promise that it breaks.
#[derive(Debug, Default)]
pub struct Checks {
    requests: HashMap<String, Request>,
    jobs: BTreeMap<String, Job>,
    disturbed: Vec<(Instant, Instant)>,
    breach: Option<Breach>,
    counts: Counts,
}

impl Checks {
    /// The first promise that broke.
    pub fn breach(&self) -> Option<&Breach> {
        self.breach.as_ref()
    }

    /// Numbers so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Jobs so far.
    pub fn jobs(&self) -> &BTreeMap<String, Job> {
        &self.jobs
    }

    /// Takes a promise that broke; the first one counts.
    pub fn broke(&mut self, promise: Promise, id: &str, seen: impl Into<String>) {
        self.breach.get_or_insert_with(|| Breach { promise, id: id.to_owned(), seen: seen.into() });
    }

    /// A fault was or will be on for this time.
    pub fn disturbed(&mut self, from: Instant, until: Instant) {
        self.disturbed.push((from, until));
    }

    /// A request is about to be sent.
    pub fn sending(&mut self, id: &str, may_repeat: bool) {
        self.requests.insert(id.to_owned(), Request { may_repeat, refused: false });
    }

    /// A request was answered.
    pub fn answered(&mut self, id: &str, reply: &Reply) {
        match reply.status {
            200 => self.check_success(id, reply),
            _ if reply.is_refusal() => {
                self.counts.refused += 1;
                self.requests.entry(id.to_owned()).or_default().refused = true;
            }
            0 | 422 | 500 | 502 | 504 => self.counts.doubtful += 1,
            status => self.broke(Promise::Allowed, id, format!("status {status}")),
        }
        let stamp = reply.header("x-server-stamp");
        if stamp.is_some_and(|it| it.strip_prefix("stamp-") != Some(id)) {
            self.broke(Promise::OwnAnswer, id, format!("stamp {stamp:?}"));
        }
    }

    fn check_success(&mut self, id: &str, reply: &Reply) {
        self.counts.served += 1;
        let whole = whole_stream();
        let body = String::from_utf8_lossy(&reply.body);
        let fits = if reply.is_whole { body == whole } else { whole.starts_with(&*body) };
        if !fits {
            self.broke(Promise::WholeAnswer, id, format!("whole={} {body:?}", reply.is_whole));
        }
        if reply.header("x-server-stamp").is_none() || reply.header("x-request-id") != Some(id) {
            self.broke(Promise::OwnAnswer, id, format!("{:?}", reply.headers));
        }
    }

    /// A job is about to be submitted.
    pub fn submitting(&mut self, job: &str, items: &[String]) {
        let job = self.jobs.entry(job.to_owned()).or_default();
        job.items.extend(items.iter().cloned());
        job.attempts += 1;
    }

    /// A submission was answered.
    pub fn submitted(&mut self, name: &str, reply: &Reply) {
        let job = self.jobs.entry(name.to_owned()).or_default();
        match reply.status {
            202 => job.accepted = true,
            _ if reply.is_refusal() => job.refusals += 1,
            0 | 500 | 502 | 504 => {}
            status => self.broke(Promise::Allowed, name, format!("submission: status {status}")),
        }
    }

    /// The end of a job is about to be asked for.
    pub fn ending(&mut self, name: &str) {
        self.jobs.entry(name.to_owned()).or_default().ending = true;
    }

    /// The end of a job was acknowledged.
    pub fn ended(&mut self, name: &str) {
        self.counts.ended += 1;
        self.jobs.entry(name.to_owned()).or_default().ended_at.get_or_insert_with(Instant::now);
    }

    /// Results of a job were read from a position on; says how many came.
    pub fn page(&mut self, name: &str, after: usize, reply: &Reply) -> usize {
        let job = self.jobs.entry(name.to_owned()).or_default();
        match reply.status {
            200 if reply.is_whole => {}
            404 | 410 if job.accepted => {
                self.broke(Promise::JobKept, name, format!("read: status {}", reply.status));
                return 0;
            }
            _ => return 0,
        }
        let page: Value = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
        let outputs = page["outputs"].as_array().cloned().unwrap_or_default();
        if page["total"].as_u64() != Some(job.items.len() as u64) {
            self.broke(Promise::JobKept, name, format!("total {}", page["total"]));
            return 0;
        }
        let problem = outputs.iter().enumerate().find_map(|(at, output)| {
            let (promise, seen) = job.take(after + at, output)?;
            Some((promise, output["id"].as_str().unwrap_or(name), seen))
        });
        if let Some((promise, id, seen)) = problem {
            self.broke(promise, id, seen);
        }
        outputs.len()
    }

    /// Judges all runs at targets so far.
    pub fn check_runs(&mut self, runs: &[Run]) {
        self.counts.runs = runs.len() as u64;
        self.counts.results = self.jobs.values().map(|it| it.seen.len() as u64).sum();
        let mut times: HashMap<&str, u32> = HashMap::new();
        for run in runs {
            *times.entry(&run.id).or_default() += 1;
            let problem = match self.requests.get(&run.id) {
                Some(request) => request_problem(request, times[run.id.as_str()]),
                None => self.item_problem(run),
            };
            if let Some((promise, seen)) = problem {
                self.broke(promise, &run.id, seen);
            }
        }
    }

    fn item_problem(&self, run: &Run) -> Option<(Promise, String)> {
        let job = run.id.rsplit_once(ITEM_MARK).and_then(|(job, _)| self.jobs.get(job));
        let Some(job) = job.filter(|it| it.items.contains(&run.id)) else {
            return Some((Promise::Asked, "nobody sent it".to_owned()));
        };
        if run.body != run.id.as_bytes() {
            return Some((Promise::Asked, "with another body".to_owned()));
        }
        if job.is_refused() {
            return Some((Promise::RefusedDidNotRun, "its job was refused".to_owned()));
        }
        let late = job.ended_at.map(|it| run.at.saturating_duration_since(it));
        let late = late.filter(|it| *it > END_WITHIN && self.was_calm(run.at - END_WITHIN, run.at));
        late.map(|it| (Promise::EndStops, format!("{} ms after its end", it.as_millis())))
    }

    fn was_calm(&self, from: Instant, until: Instant) -> bool {
        self.disturbed.iter().all(|(began, ended)| *ended < from || *began > until)
    }
}

fn request_problem(request: &Request, times: u32) -> Option<(Promise, String)> {
    if request.refused {
        return Some((Promise::RefusedDidNotRun, "it was refused".to_owned()));
    }
    let again = times > 1 && !request.may_repeat;
    again.then(|| (Promise::RunsOnce, format!("it ran {times} times")))
}

impl Job {
    /// Takes the result at a position.
    fn take(&mut self, at: usize, output: &Value) -> Option<(Promise, String)> {
        if let Some(seen) = self.seen.get(at) {
            let moved = seen != output;
            return moved.then(|| (Promise::ResultsStay, format!("at {at}: {seen}, now {output}")));
        }
        let id = output["id"].as_str().unwrap_or_default();
        if !self.items.contains(id) || self.seen.iter().any(|it| it["id"] == id) {
            return Some((Promise::ResultsStay, format!("at {at}: {id} is not due there")));
        }
        if output["state"] == "completed" && output["text"] != whole_text().as_str() {
            return Some((Promise::WholeAnswer, format!("at {at}: {output}")));
        }
        self.seen.push(output.clone());
        None
    }
}

/// Data of all events of a whole run.
fn whole_text() -> String {
    let stream = whole_stream();
    let data = stream.lines().filter_map(|it| it.strip_prefix("data: "));
    data.collect::<Vec<&str>>().join("\n")
}
