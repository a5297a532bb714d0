//! Fleet of the size of a small deployment, replicas that come back after a crash, and sound work.

use std::{
    env, thread,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use hyper::Method;
use samphiredoor_standin::{
    fleet::{HOST, Platform},
    http::call,
    platform_target::{PlatformTarget, Run, TargetFault},
    process::ChildProcess,
};
use serde_json::json;

use crate::record::Record;

pub const GATEWAYS: usize = 6;
const STORAGE_HOSTS: usize = 3;
const REPLICAS: usize = 6;
/// Pause between two events of an answer, which has six.
const EVENT_PAUSE: Duration = Duration::from_millis(30);
/// Time after which a replica that has crashed is back, under a new id.
const DOWN_TIME: Duration = Duration::from_secs(2);
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);
const JOB_INTERVAL: Duration = Duration::from_secs(3);
/// Body of the content that crashes each replica that begins to run it.
pub const CRASHING_BODY: &str = "crashes replicas";
/// First part of all prompts.
const FIRST_PART: &str = "a0";
const SETTINGS: &str = "jobs.keep_ms = 120000\noverload.control = \"auto\"\noverload.reject_late_jobs = false\n\
    overload.deployment_features = [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"batch\", \"stream\", \"engine\", \"platform\"]\n\
    overload.memory_limit_bytes = 260000000";

/// Attempts of the resumable stream route, as on the small sites.
const STREAM_ATTEMPTS: u32 = 2;

/// Processes, store and replicas.
pub struct Fleet<'a> {
    pub platform: Platform,
    record: &'a Record,
    /// Whether [`CRASHING_BODY`] crashes the replicas that run it.
    has_crashing_content: bool,
    _storage: Vec<ChildProcess>,
    /// All replicas that were ever started.
    replicas: Vec<PlatformTarget>,
    /// Replicas that are down, and when they are back.
    down: Vec<(usize, Instant)>,
    next_request_at: Instant,
    next_job_at: Instant,
    sent: usize,
    jobs: usize,
}

impl<'a> Fleet<'a> {
    /// Starts everything and waits until all gateways are ready and in touch.
    pub fn start(record: &'a Record, has_crashing_content: bool) -> Fleet<'a> {
        let binary =
            env::var("SAMPHIREDOOR").unwrap_or_else(|_| "target/release/samphiredoor".into());
        let mut platform = Platform::new(binary);
        platform.within_ms = 2_500;
        platform.more_settings = SETTINGS.to_owned();
        set_stream_attempts(&platform);
        let storage =
            (0..STORAGE_HOSTS).map(|it| platform.start_storage(&format!("store-{it}"))).collect();
        let now = Instant::now();
        let mut fleet = Fleet {
            platform,
            record,
            has_crashing_content,
            _storage: storage,
            replicas: Vec::new(),
            down: Vec::new(),
            next_request_at: now,
            next_job_at: now,
            sent: 0,
            jobs: 0,
        };
        (0..REPLICAS).for_each(|_| fleet.start_replica());
        (0..GATEWAYS).for_each(|_| _ = fleet.platform.spawn_gateway());
        (0..GATEWAYS).for_each(|it| fleet.platform.wait_ready(it));
        record.note(format!("{GATEWAYS} gateways are ready"));
        fleet
    }

    fn start_replica(&mut self) {
        let name = format!("replica-{}", self.replicas.len());
        let replica = self.platform.start_target(&name, EVENT_PAUSE);
        if self.has_crashing_content {
            replica.fail_always(CRASHING_BODY, TargetFault::Crashes);
        }
        self.replicas.push(replica);
    }

    /// Lets time pass, in which sound work is sent and replicas come back.
    pub fn pass(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.restart_crashed();
            self.send_sound_work();
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn restart_crashed(&mut self) {
        let now = Instant::now();
        for (number, replica) in self.replicas.iter().enumerate() {
            let Some(at) = replica.crashed_at() else { continue };
            if !self.down.iter().any(|(it, _)| *it == number) {
                self.record.note_at(at, format!("{} crashes", replica.name));
                self.down.push((number, at + DOWN_TIME));
            }
        }
        let due: Vec<usize> =
            self.down.iter().filter(|(_, at)| *at <= now).map(|(it, _)| *it).collect();
        for number in due {
            let name = self.replicas[number].name.clone();
            if self.platform.store.spec("servers", &name).is_some() {
                self.platform.store.remove("servers", &name);
                self.start_replica();
            }
        }
    }

    fn send_sound_work(&mut self) {
        let now = Instant::now();
        if now >= self.next_request_at {
            self.next_request_at = now + REQUEST_INTERVAL;
            self.sent += 1;
            let (number, gateway) = (self.sent, self.sent % GATEWAYS);
            let prompt = format!("{FIRST_PART}:100,b{}:100,d{number}:250", number % 10);
            self.send_request(gateway, format!("sound-{number}"), prompt, "sound");
        }
        if now >= self.next_job_at {
            self.next_job_at = now + JOB_INTERVAL;
            self.jobs += 1;
            let name = format!("job-{}", self.jobs);
            let items = (0..4).map(|it| format!("{name}-{it}")).collect::<Vec<String>>();
            self.submit(self.jobs % GATEWAYS, &name, &items, "sound");
        }
    }

    /// Sends a request to a resumable stream route, on a thread of its own.
    pub fn send_request(
        &self,
        gateway: usize,
        id: String,
        prompt: String,
        body: &'static str,
    ) -> thread::JoinHandle<u16> {
        let address = self.platform.callers(gateway);
        thread::spawn(move || {
            let headers = [
                ("host", HOST),
                ("x-request-id", &*id),
                ("x-deadline-ms", "5000"),
                ("x-model", "m"),
                ("x-token-count", "450,32"),
                ("x-prompt-prefix", &*prompt),
            ];
            call(Method::POST, address, "/stream-resumable/visit", &headers, body).status
        })
    }

    /// Submits a job whose items share the first part of their prompts; returns the status.
    pub fn submit(&self, gateway: usize, name: &str, items: &[String], body: &str) -> u16 {
        let items = items.iter().map(|id| {
            json!({
                "id": id, "path": "/batch/item", "body": STANDARD.encode(body), "tokenCount": 382,
                "headers": { "X-Model": "m", "X-Token-Count": "350,32", "X-Prompt-Prefix": format!("{FIRST_PART}:100,e{id}:250") },
            })
        });
        let submission = json!({ "items": items.collect::<Vec<_>>() }).to_string();
        let answer = self.platform.send(gateway, "/batch/submit", name, &submission);
        self.record.note(format!("{name} is submitted at gateway {gateway}: {}", answer.status));
        answer.status
    }

    /// Runs of the content that crashes replicas, in order of time, with the replicas that ran it.
    pub fn crashing_runs(&self) -> Vec<(Run, &PlatformTarget)> {
        let of_replica = |it: &'_ PlatformTarget| {
            it.runs().into_iter().filter(|it| it.body == CRASHING_BODY.as_bytes())
        };
        let mut runs: Vec<_> =
            self.replicas.iter().flat_map(|it| of_replica(it).map(move |run| (run, it))).collect();
        runs.sort_by_key(|(run, _)| run.at);
        runs
    }

    /// Number of sound jobs of which not all results are listed.
    pub fn unfinished_jobs(&self) -> usize {
        let is_open =
            |it: &usize| self.platform.available_results(0, &format!("job-{it}")).len() < 4;
        (1..=self.jobs).filter(is_open).count()
    }
}

/// Sets the attempts of the resumable stream route, before any gateway starts.
fn set_stream_attempts(platform: &Platform) {
    let mut config = platform.store.spec("config", "main").expect("a configuration");
    let routes = config["routes"].as_array_mut().expect("routes");
    for route in routes.iter_mut().filter(|it| it["resumable"] == json!(true)) {
        route["attempts"] = json!(STREAM_ATTEMPTS);
    }
    platform.store.put("config", "main", config);
}
