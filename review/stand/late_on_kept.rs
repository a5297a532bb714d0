//! A gateway gets SIGTERM. Clients send requests on connections that they have kept, between 3 and 4 s after it; the gateway takes
//! them and passes them on. Checks the rule LOST around planned work: until 1 s after `graceS`, no connection ends without a
//! complete answer once its request has been passed on to a replica. Not counted: the replica broke off, the deadline or the
//! route's timeout was reached, or the replica was still at work in the last sixth of `graceS` on a request that was sent no later
//! than 3 s after the SIGTERM.

use std::{
    io::{BufReader, Write},
    net::TcpStream,
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

const GATEWAYS: [(&str, &str); 3] = [
    ("front-brisbane-north-1", "brisbane-north"),
    ("front-brisbane-south-1", "brisbane-south"),
    ("front-cairns-port-1", "cairns-port"),
];
const CONNECTIONS: usize = 20;
/// When the requests are sent, after the SIGTERM.
const SENT_FROM_S: f64 = 3.1;
const SENT_SPAN_S: f64 = 0.8;
const GRACE_S: f64 = 8.0;
const EXCUSED_UNTIL_S: f64 = 3.0;
/// A stream of 4.2 s; the route's time-out and the client's deadline are 5 s.
const EVENTS: u64 = 42;
const GAP_MS: u64 = 100;
const TIMEOUT_S: f64 = 5.0;

struct Late {
    id: String,
    sent_at: f64,
    ended_at: f64,
    end: &'static str,
}

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
    let gateway = &gateways[0];
    let mut kept = Vec::new();
    for number in 0..CONNECTIONS {
        let Ok(stream) = TcpStream::connect(gateway.callers) else {
            return Outcome::CouldNotRun("a client can't connect");
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
        let mut reader = BufReader::new(stream);
        let id = format!("a{number:015x}");
        if !send(&mut reader, &id, 3, 20) || read_answer(&mut reader, 3) != "complete" {
            return Outcome::CouldNotRun("a request before the SIGTERM is not served");
        }
        kept.push(reader);
    }
    record.say(format!("{CONNECTIONS} clients have been served and keep their connections"));
    let stopped_at = record.now();
    if setup.has_trouble {
        gateway.signal("TERM", record);
    }
    let late = Arc::new(Mutex::new(Vec::new()));
    let sending: Vec<_> = kept
        .into_iter()
        .enumerate()
        .map(|(number, mut reader)| {
            let (record, late) = (record.clone(), Arc::clone(&late));
            thread::spawn(move || {
                let at =
                    stopped_at + SENT_FROM_S + SENT_SPAN_S * number as f64 / CONNECTIONS as f64;
                sleep_until(&record, at);
                let id = format!("b{number:015x}");
                let sent_at = record.now();
                let is_sent = send(&mut reader, &id, EVENTS, GAP_MS);
                let end = if is_sent { read_answer(&mut reader, EVENTS) } else { "not sent" };
                late.lock().unwrap().push(Late { id, sent_at, ended_at: record.now(), end });
            })
        })
        .collect();
    sending.into_iter().for_each(|it| drop(it.join()));
    let (mut lost, mut complete) = (0, 0);
    for it in late.lock().unwrap().iter() {
        let is_passed_on = runs.all().iter().any(|run| run.id == it.id);
        let (after, ended) = (it.sent_at - stopped_at, it.ended_at - stopped_at);
        let is_excused = after <= EXCUSED_UNTIL_S
            || ended > GRACE_S + 1.0
            || it.ended_at - it.sent_at >= TIMEOUT_S;
        let is_lost = is_passed_on && it.end != "complete" && !is_excused;
        record.note(format!(
            "{}: sent {after:.3} s after the SIGTERM, ended at {ended:.3} s: {}; passed on to a replica: {is_passed_on}; counts as lost: {is_lost}",
            it.id, it.end
        ));
        lost += usize::from(is_lost);
        complete += usize::from(it.end == "complete");
    }
    record.say(format!("{complete} of {CONNECTIONS} requests were answered completely, {lost} were passed on and lost"));
    match (lost, complete) {
        (0, 0) => Outcome::CouldNotRun("no request was taken"),
        (0, _) => Outcome::Held,
        _ => Outcome::Broken,
    }
}

fn send(reader: &mut BufReader<TcpStream>, id: &str, events: u64, gap_ms: u64) -> bool {
    let body = format!("events={events};gap_ms={gap_ms}");
    let request = format!(
        "POST {STREAM_PREFIX}2f HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\nx-model: m\r\nx-token-count: 450,{events}\r\nx-prompt-prefix: 5c1e07a2:200,{id}:250\r\nx-deadline-ms: 5000\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    reader.get_mut().write_all(request.as_bytes()).is_ok()
}

fn read_answer(reader: &mut BufReader<TcpStream>, events: u64) -> &'static str {
    let Some(head) = read_head(reader) else { return "closed without an answer" };
    if head.status() != 200 {
        return "refused";
    }
    let mut text = Vec::new();
    loop {
        match read_chunk(reader) {
            Some(chunk) if chunk.is_empty() => break,
            Some(chunk) => text.extend(chunk),
            None => return "cut in the answer",
        }
    }
    match String::from_utf8_lossy(&text).contains(&format!("id: {events}\n")) {
        true => "complete",
        false => "ended too early",
    }
}

fn sleep_until(record: &Record, at: f64) {
    thread::sleep(Duration::from_secs_f64((at - record.now()).max(0.0)));
}
