//! A request crashes each replica that begins to run it, and its client sends it again and again. Then all gateways are killed at
//! the same moment and are back within a second. How often is it sent to replicas by gateways that are in touch again?

use std::{thread, time::Duration};

use crate::{
    Verdict,
    crashing_item::{STABLE, judge},
    fleet::{CRASHING_BODY, Fleet, GATEWAYS},
    has_trouble,
    record::Record,
};

const IN_TOUCH: Duration = Duration::from_secs(6);
const RESEND_INTERVAL: Duration = Duration::from_secs(1);
/// Times that the client sends it before and after the disruption.
const SENT_BEFORE: usize = 12;
const SENT_AFTER: usize = 40;
/// Time after which the processes are back.
const DOWN: Duration = Duration::from_millis(660);

pub fn run(record: &Record) -> Verdict {
    let mut fleet = Fleet::start(record, true);
    fleet.pass(IN_TOUCH);
    send(record, &mut fleet, 0..SENT_BEFORE);
    if has_trouble() {
        record.note("all gateways are killed");
        (0..GATEWAYS).for_each(|it| fleet.platform.gateway(it).kill());
        thread::sleep(DOWN);
        (0..GATEWAYS).for_each(|it| fleet.platform.restart_gateway(it));
        (0..GATEWAYS).for_each(|it| fleet.platform.wait_ready(it));
        record.note("all gateways are ready again");
    }
    fleet.pass(STABLE + IN_TOUCH);
    let since = record.elapsed();
    send(record, &mut fleet, SENT_BEFORE..SENT_BEFORE + SENT_AFTER);
    judge(record, &fleet, since)
}

/// Sends the request once a second, each time under another id and to another gateway.
fn send(record: &Record, fleet: &mut Fleet<'_>, numbers: std::ops::Range<usize>) {
    for number in numbers {
        let id = format!("crashing-{number}");
        record.note(format!("request {id} is sent to gateway {}", number % GATEWAYS));
        let prompt = format!("a0:100,b{}:100,c{number}:250", number % 10);
        let answer = fleet.send_request(number % GATEWAYS, id.clone(), prompt, CRASHING_BODY);
        fleet.pass(RESEND_INTERVAL);
        if answer.is_finished() {
            let status = answer.join().unwrap_or(0);
            record.note(format!("request {id} is answered {status} (0: broken off)"));
        }
    }
}
