//! Replicas hand out wrong bytes in few of their answers for some seconds: a number in `Keep-Alive` that is no time. Checks the rule
//! LOST: when `finishS` is over, an item of an open job is listed neither as completed nor as errored, though in the last 5 s no
//! replica had an unlisted item of that job, the replicas were under half full, and in the last 3 s no item was finished.

use std::{collections::HashSet, thread, time::Duration};

use crate::{
    Outcome, Setup,
    kit::{Gateway, Job, Replica, Runs, SERVICE, configuration, wait_until_ready},
};

const GATEWAYS: [(&str, &str); 3] = [
    ("front-brisbane-north-1", "brisbane-north"),
    ("front-brisbane-south-1", "brisbane-south"),
    ("front-cairns-port-1", "cairns-port"),
];
const REPLICAS: usize = 9;
/// Replicas that hand out wrong bytes (share 0.44), in one of so many of their answers (0.02), for so long.
const WRONG: usize = 4;
const WRONG_EACH: usize = 50;
const WRONG_S: f64 = 5.0;
const JOBS: usize = 40;
/// Jobs that come after the disruption.
const MORE_JOBS: usize = 8;
const ITEMS: usize = 10;
const EVENTS: u64 = 40;
const GAP_MS: u64 = 10;
const FINISH_S: f64 = 18.0;
const CALM_S: f64 = 5.0;
const UNFINISHED_S: f64 = 3.0;
/// A while after `maxWaitS`.
const GIVE_UP_S: f64 = 68.0;

pub fn play(setup: &Setup) -> Outcome {
    let Setup { record, store, deployment, .. } = setup;
    store.put("config", "main", &configuration(2));
    let runs = Runs::default();
    let zones = ["brisbane-north", "brisbane-south", "cairns-port"];
    let replicas: Vec<Replica> = (0..REPLICAS)
        .map(|it| Replica::start(&format!("i-{it:08x}"), SERVICE, zones[it % 3], 8, &runs, record))
        .collect();
    replicas.iter().for_each(|it| it.register(store));
    let gateways: Vec<Gateway> =
        GATEWAYS.iter().map(|(name, zone)| deployment.start(name, zone)).collect();
    if !wait_until_ready(&gateways.iter().collect::<Vec<_>>(), record) {
        return Outcome::CouldNotRun("the gateways are not ready");
    }
    if setup.has_trouble {
        replicas.iter().take(WRONG).for_each(|it| it.set_wrong_each(WRONG_EACH));
        record.say(format!(
            "{WRONG} of {REPLICAS} replicas hand out wrong bytes in one of {WRONG_EACH} answers"
        ));
    }
    let began = record.now();
    let mut jobs: Vec<Job> =
        (0..JOBS).map(|it| Job::new(&format!("{it:02x}7c41e09b52d6"), ITEMS)).collect();
    for (index, job) in jobs.iter_mut().enumerate() {
        let gateway = &gateways[index % gateways.len()];
        if job.submit(gateway, EVENTS, GAP_MS, record) != 202 {
            return Outcome::CouldNotRun("a job is not accepted");
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.say(format!("{JOBS} jobs with {ITEMS} items each are accepted"));
    thread::sleep(Duration::from_secs_f64((began + WRONG_S - record.now()).max(0.0)));
    replicas.iter().for_each(|it| it.set_wrong_each(0));
    record.say("all replicas are sound");
    let mut more: Vec<Job> =
        (0..MORE_JOBS).map(|it| Job::new(&format!("{it:02x}a40e09b52d6f"), ITEMS)).collect();
    for (index, job) in more.iter_mut().enumerate() {
        let gateway = &gateways[index % gateways.len()];
        if job.submit(gateway, EVENTS, GAP_MS, record) != 202 {
            return Outcome::CouldNotRun("a job is not accepted");
        }
        thread::sleep(Duration::from_millis(500));
    }
    jobs.append(&mut more);
    record.say("no more work comes");
    let traffic_ended = record.now();
    let reader = &gateways[0];
    while record.now() < traffic_ended + FINISH_S {
        thread::sleep(Duration::from_millis(500));
        if jobs.iter().all(|it| it.read(reader).is_some_and(|it| it.len() == ITEMS)) {
            break;
        }
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
        if unlisted.is_empty() {
            continue;
        }
        record.say(format!("job {}: not listed: {unlisted:?}", job.id));
        let all = runs.all();
        let is_late = |at: Option<f64>, span: f64| at.is_none_or(|it| it > checked_at - span);
        let had = all.iter().any(|it| unlisted.contains(&&it.id) && is_late(it.ended, CALM_S));
        let finished = all.iter().any(|it| it.is_whole && is_late(it.ended, UNFINISHED_S));
        let failed = all.iter().any(|it| unlisted.contains(&&it.id) && is_late(it.ended, 20.0));
        let busy: usize = replicas.iter().map(Replica::busy).sum();
        let slots: usize = replicas.iter().map(|it| it.slots).sum();
        record.say(format!(
            "in the last {CALM_S} s a replica had one of them: {had}; in the last {UNFINISHED_S} s an item was finished: {finished}; one was at a replica in the last 20 s: {failed}; {busy} of {slots} places are taken"
        ));
        if !had && !finished && !failed && busy * 2 < slots {
            left_lying += unlisted.len();
        }
    }
    record.say(format!("{left_lying} items are left lying"));
    if left_lying == 0 {
        return Outcome::Held;
    }
    // What becomes of them later is no part of the check.
    let runs_before = runs.all().len();
    while record.now() < began + GIVE_UP_S {
        thread::sleep(Duration::from_secs(1));
        let results: Vec<_> = jobs.iter().filter_map(|it| it.read(reader)).flatten().collect();
        if results.len() == jobs.len() * ITEMS {
            let errored = results.iter().filter(|(_, state, _)| state == "errored").count();
            record.say(format!(
                "{errored} items are listed as errored, after {} further runs",
                runs.all().len() - runs_before
            ));
            break;
        }
    }
    Outcome::Broken
}
