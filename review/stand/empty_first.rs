//! The first event of each item's stream has no text, as of a token that is a part of a character. The gateway that runs the items
//! gets SIGTERM after that event. Checks the rule MIXED: a result that is `completed` has the item's whole output as its text.

use std::{thread, time::Duration};

use crate::{
    Outcome, Setup,
    kit::{Gateway, Job, Replica, Runs, SERVICE, configuration, event_data, wait_until_ready},
};

const GATEWAYS: [(&str, &str); 3] = [
    ("front-brisbane-north-1", "brisbane-north"),
    ("front-brisbane-south-1", "brisbane-south"),
    ("front-cairns-port-1", "cairns-port"),
];
const JOBS: usize = 4;
const ITEMS: usize = 6;
const EVENTS: u64 = 12;
const GAP_MS: u64 = 400;
/// When the SIGTERM comes after the first submission; the first event of each item has arrived, the second has not.
const STOPPED_AFTER_MS: u64 = 620;
const DUE_S: f64 = 18.0;

pub fn play(setup: &Setup) -> Outcome {
    let Setup { record, store, deployment, .. } = setup;
    store.put("config", "main", &configuration(2));
    let runs = Runs::default();
    let zones = ["brisbane-north", "brisbane-south", "cairns-port"];
    let replicas: Vec<Replica> = (0..9)
        .map(|it| Replica::start(&format!("i-{it:08x}"), SERVICE, zones[it % 3], 8, &runs, record))
        .collect();
    replicas.iter().for_each(|it| it.register(store));
    let gateways: Vec<Gateway> =
        GATEWAYS.iter().map(|(name, zone)| deployment.start(name, zone)).collect();
    if !wait_until_ready(&gateways.iter().collect::<Vec<_>>(), record) {
        return Outcome::CouldNotRun("the gateways are not ready");
    }
    let began = record.now();
    let mut jobs: Vec<Job> =
        (0..JOBS).map(|it| Job::new(&format!("{it:02x}7c41e09b52d6"), ITEMS)).collect();
    let body = format!("events={EVENTS};gap_ms={GAP_MS};first_empty=1");
    for job in &mut jobs {
        if job.submit_body(&gateways[0], EVENTS, &body, record) != 202 {
            return Outcome::CouldNotRun("a job is not accepted");
        }
    }
    record.say(format!("{JOBS} jobs with {ITEMS} items each are accepted"));
    let left = began + STOPPED_AFTER_MS as f64 / 1_000.0 - record.now();
    thread::sleep(Duration::from_secs_f64(left.max(0.0)));
    if setup.has_trouble {
        gateways[0].signal("TERM", record);
    }
    let reader = &gateways[1];
    let is_done = |job: &Job| job.read(reader).is_some_and(|it| it.len() == ITEMS);
    while record.now() < began + DUE_S && !jobs.iter().all(is_done) {
        thread::sleep(Duration::from_millis(500));
    }
    let (mut completed, mut wrong) = (0, 0);
    for job in &jobs {
        let Some(results) = job.read(reader) else {
            return Outcome::CouldNotRun("a job can't be read");
        };
        for (id, state, text) in results.iter().filter(|(_, state, _)| state == "completed") {
            completed += 1;
            let texts = (2..=EVENTS).map(|it| event_data(id, it));
            let whole: Vec<String> = std::iter::once(String::new()).chain(texts).collect();
            // A line feed is two characters in JSON.
            let is_whole = *text == whole.join("\\n");
            let begin: String = text.chars().take(24).collect();
            record.note(format!(
                "item {id} is {state}, its text begins with {begin:?}, whole: {is_whole}"
            ));
            wrong += usize::from(!is_whole);
        }
    }
    record.say(format!(
        "{completed} of {} items are completed, {wrong} without their whole text",
        JOBS * ITEMS
    ));
    match (completed, wrong) {
        (0, _) => Outcome::CouldNotRun("no item is completed"),
        (_, 0) => Outcome::Held,
        _ => Outcome::Broken,
    }
}
