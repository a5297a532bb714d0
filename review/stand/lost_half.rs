//! Six gateways in three zones run batch jobs. The zone with three of them is lost for good. Checks the rule LOST: when
//! `finishS` is over, an item of an open job is listed neither as completed nor as errored, though in the last 5 s no replica had
//! an unlisted item of that job, the replicas were under half full, and in the last 3 s no item was finished.

use std::{collections::HashSet, thread, time::Duration};

use crate::{
    Outcome, Setup,
    kit::{Gateway, Job, Replica, Runs, SERVICE, configuration, event_data, wait_until_ready},
};

const GATEWAYS: [(&str, &str); 6] = [
    ("front-brisbane-north-1", "brisbane-north"),
    ("front-brisbane-north-2", "brisbane-north"),
    ("front-brisbane-north-3", "brisbane-north"),
    ("front-brisbane-south-1", "brisbane-south"),
    ("front-cairns-port-1", "cairns-port"),
    ("front-cairns-port-2", "cairns-port"),
];
/// Gateways of the zone that is lost.
const LOST: usize = 3;
const JOBS: usize = 12;
const ITEMS: usize = 6;
const EVENTS: u64 = 150;
const GAP_MS: u64 = 20;
const FINISH_S: f64 = 18.0;
const CALM_S: f64 = 5.0;
const UNFINISHED_S: f64 = 3.0;

pub fn play(setup: &Setup) -> Outcome {
    let Setup { record, store, deployment, .. } = setup;
    store.put("config", "main", &configuration(2));
    let runs = Runs::default();
    let zones = ["brisbane-north", "brisbane-south", "cairns-port"];
    let replicas: Vec<Replica> = (0..12)
        .map(|it| Replica::start(&format!("i-{it:08x}"), SERVICE, zones[it % 3], 8, &runs, record))
        .collect();
    replicas.iter().for_each(|it| it.register(store));
    let mut gateways: Vec<Gateway> =
        GATEWAYS.iter().map(|(name, zone)| deployment.start(name, zone)).collect();
    if !wait_until_ready(&gateways.iter().collect::<Vec<_>>(), record) {
        return Outcome::CouldNotRun("the gateways are not ready");
    }
    // The same share of the jobs comes to each gateway.
    let mut jobs: Vec<Job> =
        (0..JOBS).map(|it| Job::new(&format!("{it:02x}7c41e09b52d6"), ITEMS)).collect();
    for (index, job) in jobs.iter_mut().enumerate() {
        let gateway = &gateways[index % gateways.len()];
        if job.submit(gateway, EVENTS, GAP_MS, record) != 202 {
            return Outcome::CouldNotRun("a job is not accepted");
        }
    }
    record.say(format!("{JOBS} jobs with {ITEMS} items each are accepted"));
    thread::sleep(Duration::from_millis(1_500));
    if setup.has_trouble {
        gateways.iter_mut().take(LOST).for_each(|it| it.kill(record));
        record.say("zone brisbane-north is lost for good; no more work comes");
    }
    let traffic_ended = record.now();
    let reader = &gateways[LOST];
    while record.now() < traffic_ended + FINISH_S {
        thread::sleep(Duration::from_millis(100));
        if jobs.iter().all(|it| it.read(reader).is_some_and(|it| it.len() == ITEMS)) {
            break;
        }
        thread::sleep(Duration::from_millis(400));
    }
    let checked_at = record.now();
    record.say("finishS is over, or all items are listed");
    let mut left_lying = 0;
    for job in &jobs {
        let Some(results) = job.read(reader) else {
            return Outcome::CouldNotRun("a job can't be read");
        };
        let listed: HashSet<&str> = results.iter().map(|(id, _, _)| id.as_str()).collect();
        let unlisted: Vec<&String> =
            job.items.iter().filter(|it| !listed.contains(it.as_str())).collect();
        for (id, state, text) in &results {
            if state != "completed" || !is_whole(id, text) {
                record.say(format!("job {}: item {id} is {state}, not whole", job.id));
            }
        }
        if unlisted.is_empty() {
            continue;
        }
        record.say(format!("job {}: {} of {ITEMS} items are not listed", job.id, unlisted.len()));
        let all = runs.all();
        let is_late = |at: Option<f64>, span: f64| at.is_none_or(|it| it > checked_at - span);
        let had = all.iter().any(|it| unlisted.contains(&&it.id) && is_late(it.ended, CALM_S));
        let finished = all.iter().any(|it| it.is_whole && is_late(it.ended, UNFINISHED_S));
        let busy: usize = replicas.iter().map(Replica::busy).sum();
        let slots: usize = replicas.iter().map(|it| it.slots).sum();
        record.say(format!(
            "in the last {CALM_S} s a replica had one of them: {had}; in the last {UNFINISHED_S} s an item was finished: {finished}; {busy} of {slots} places are taken"
        ));
        if !had && !finished && busy * 2 < slots {
            left_lying += unlisted.len();
        }
    }
    record.say(format!("{left_lying} items are left lying"));
    if left_lying == 0 {
        return Outcome::Held;
    }
    // What becomes of them later is no part of the check.
    while record.now() < checked_at + 40.0 {
        thread::sleep(Duration::from_millis(500));
        if jobs.iter().all(|it| it.read(reader).is_some_and(|it| it.len() == ITEMS)) {
            record.say(format!(
                "all items are listed {:.1} s after the loss",
                record.now() - traffic_ended
            ));
            break;
        }
    }
    Outcome::Broken
}

/// Whether a text holds the data of all events in order, separated by line feeds.
fn is_whole(id: &str, text: &str) -> bool {
    let events: Vec<String> = (1..=EVENTS).map(|it| event_data(id, it)).collect();
    text == events.join("\\n")
}
