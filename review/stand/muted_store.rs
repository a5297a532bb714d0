//! In each of five rounds, all connections to the store that are open at one moment go silent for good, while new ones work. Soon
//! after, two of 18 replicas leave that never report `draining`: their entries are removed, and they serve on for `drainMs` and a little longer.
//! Checks the rule DRAIN: no request reaches them later than `drainMs` after the store has acknowledged the removal, if it was
//! taken from its client and sent on by machines in touch, that is `stableMs` after the connections went silent at the earliest.

use std::{
    collections::HashMap,
    io::BufReader,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    Outcome, Setup,
    kit::{
        Gateway, HOST, Record, Replica, Runs, SERVICE, STREAM_PREFIX, configuration, read_chunk,
        read_head, wait_until_ready,
    },
};

const GATEWAYS: [(&str, &str); 6] = [
    ("front-brisbane-north-1", "brisbane-north"),
    ("front-brisbane-north-2", "brisbane-north"),
    ("front-brisbane-north-3", "brisbane-north"),
    ("front-brisbane-south-1", "brisbane-south"),
    ("front-cairns-port-1", "cairns-port"),
    ("front-cairns-port-2", "cairns-port"),
];
const REPLICAS: usize = 18;
/// Replicas that leave in each round, both in brisbane-north, and are replaced after it.
const LEAVING: usize = 2;
const ROUNDS: usize = 5;
/// Time before the connections go silent, and how much longer it is in each round: gateways renew their watches in turns of
/// half a second, and the rounds meet different moments of a turn.
const WAIT_S: f64 = 5.0;
const WAIT_STEP_S: f64 = 0.12;
/// Length of the rest of a round.
const ROUND_S: f64 = 7.0;
/// Bounds of the deployment.
const STABLE_S: f64 = 4.0;
const DRAIN_S: f64 = 2.5;
/// How long after the connections went silent the entries are removed.
const REMOVED_AFTER_S: f64 = 1.5;
/// How much longer than `drainMs` these replicas serve.
const LONGER_S: f64 = 1.0;
const EVENTS: u64 = 30;
const GAP_MS: u64 = 40;
/// Pause between two requests at one gateway.
const PAUSE_MS: u64 = 80;

/// What became of one request.
#[derive(Clone)]
struct Sent {
    gateway: String,
    at: f64,
    status: u16,
    is_whole: bool,
}

/// One round of the case.
struct Round {
    /// Replicas that left.
    names: Vec<String>,
    muted_at: f64,
    removed_at: f64,
}

type AllSent = Arc<Mutex<HashMap<String, Sent>>>;

pub fn play(setup: &Setup) -> Outcome {
    let Setup { record, store, deployment, .. } = setup;
    store.put("config", "main", &configuration(2));
    let runs = Runs::default();
    let zones = ["brisbane-north", "brisbane-south", "cairns-port"];
    let start = |number: usize, zone: &str| {
        let replica = Replica::start(&format!("i-{number:08x}"), SERVICE, zone, 8, &runs, record);
        replica.register(store);
        replica
    };
    let replicas: Vec<Replica> = (0..REPLICAS).map(|it| start(it, zones[it % 3])).collect();
    let mut in_north: Vec<Replica> =
        replicas.iter().filter(|it| it.zone == zones[0]).cloned().collect();
    let gateways: Vec<Gateway> =
        GATEWAYS.iter().map(|(name, zone)| deployment.start(name, zone)).collect();
    if !wait_until_ready(&gateways.iter().collect::<Vec<_>>(), record) {
        return Outcome::CouldNotRun("the gateways are not ready");
    }
    let sent = AllSent::default();
    let rounds_s = ROUNDS as f64 * (WAIT_S + WAIT_STEP_S * ROUNDS as f64 + ROUND_S);
    let until = record.now() + rounds_s;
    for (number, gateway) in gateways.iter().enumerate() {
        let (name, address) = (gateway.name.clone(), gateway.callers);
        let (record, sent) = (record.clone(), Arc::clone(&sent));
        thread::spawn(move || {
            for request in 0.. {
                if record.now() >= until {
                    return;
                }
                let id = format!("{number:02x}{request:014x}");
                let (record, sent, name) = (record.clone(), Arc::clone(&sent), name.clone());
                thread::spawn(move || send(id, name, address, &record, &sent));
                thread::sleep(Duration::from_millis(PAUSE_MS));
            }
        });
    }
    let mut rounds = Vec::new();
    for round in 0..ROUNDS {
        thread::sleep(Duration::from_secs_f64(WAIT_S + WAIT_STEP_S * round as f64));
        let muted_at = record.now();
        if setup.has_trouble {
            store.mute_open_connections();
            record.say("all open connections to the store go silent");
        }
        sleep_until(record, muted_at + REMOVED_AFTER_S);
        let leaving: Vec<Replica> = in_north.drain(..LEAVING).collect();
        for replica in &leaving {
            store.delete("servers", &replica.id);
        }
        let removed_at = record.now();
        let names: Vec<String> = leaving.iter().map(|it| it.id.clone()).collect();
        record.say(format!("the entries of {} are removed", names.join(" and ")));
        sleep_until(record, removed_at + DRAIN_S + LONGER_S);
        leaving.iter().for_each(|it| it.exit());
        record.say(format!("{} exit", names.join(" and ")));
        sleep_until(record, muted_at + ROUND_S);
        let first = REPLICAS + round * LEAVING;
        in_north.extend((0..LEAVING).map(|it| start(first + it, zones[0])));
        rounds.push(Round { names, muted_at, removed_at });
    }
    sleep_until(record, until + 1.5);
    if store.names("servers").len() != REPLICAS {
        return Outcome::CouldNotRun("the entries are not as they should be");
    }
    check(record, &sent.lock().unwrap(), &runs, &rounds)
}

fn check(record: &Record, sent: &HashMap<String, Sent>, runs: &Runs, rounds: &[Round]) -> Outcome {
    let whole = sent.values().filter(|it| it.is_whole).count();
    record.say(format!("{} requests were sent, {whole} were answered whole", sent.len()));
    if whole * 10 < sent.len() * 9 {
        return Outcome::CouldNotRun("too few requests are served");
    }
    let (mut late, mut cut, mut late_rounds) = (0, 0, 0);
    for Round { names, muted_at, removed_at } in rounds {
        let before = late;
        let in_touch_from = muted_at + STABLE_S;
        let all = runs.all();
        for run in all.iter().filter(|it| names.contains(&it.replica) && it.began > *removed_at) {
            let Some(it) = sent.get(&run.id) else { continue };
            let is_late = it.at >= in_touch_from && run.began > removed_at + DRAIN_S;
            record.note(format!(
                "{} came to {} {:.3} s after the connections went silent and reached {} {:.3} s after the removal: {}; its client got {} {}",
                run.id,
                it.gateway,
                it.at - muted_at,
                run.replica,
                run.began - removed_at,
                if is_late { "late, from a machine in touch" } else { "allowed" },
                it.status,
                if it.is_whole { "whole" } else { "and a cut stream" },
            ));
            late += usize::from(is_late);
            cut += usize::from(is_late && !it.is_whole);
        }
        late_rounds += usize::from(late > before);
    }
    record.say(format!(
        "in {late_rounds} of {ROUNDS} rounds, {late} requests reached these replicas later than {DRAIN_S} s after their removal, from machines in touch; {cut} of them were cut as the replicas exited"
    ));
    if late > 0 { Outcome::Broken } else { Outcome::Held }
}

fn send(id: String, gateway: String, address: SocketAddr, record: &Record, sent: &AllSent) {
    let at = record.now();
    let (status, is_whole) = exchange(&id, address).unwrap_or((0, false));
    record
        .note(format!("request {id}, sent to {gateway} at {at:.3} s: {status}, whole {is_whole}"));
    sent.lock().unwrap().insert(id, Sent { gateway, at, status, is_whole });
}

fn exchange(id: &str, address: SocketAddr) -> Option<(u16, bool)> {
    let body = format!("events={EVENTS};gap_ms={GAP_MS}");
    let request = format!(
        "POST {STREAM_PREFIX}2f HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\nx-model: m\r\nx-token-count: 450,{EVENTS}\r\nx-prompt-prefix: 5c1e07a2:200,{id}:250\r\nx-deadline-ms: 5000\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let status = head.status();
    if status != 200 {
        return Some((status, false));
    }
    let mut text = Vec::new();
    loop {
        match read_chunk(&mut reader) {
            Some(chunk) if chunk.is_empty() => break,
            Some(chunk) => text.extend(chunk),
            None => return Some((status, false)),
        }
    }
    let last = format!("id: {EVENTS}\n");
    Some((status, String::from_utf8_lossy(&text).contains(&last)))
}

fn sleep_until(record: &Record, at: f64) {
    thread::sleep(Duration::from_secs_f64((at - record.now()).max(0.0)));
}
