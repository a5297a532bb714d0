//! Plays the scripted cases of the review: `stand CASE FOLDER PROGRAM RECORD`. It exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. Without `TROUBLE=0` in the environment there is a disruption.

mod empty_first;
mod kit;
mod late_on_kept;
mod lost_half;
mod muted_store;
mod wrong_bytes;

use std::path::PathBuf;

use kit::{Deployment, Record, Store};

/// Outcome of a case.
pub enum Outcome {
    Broken,
    Held,
    CouldNotRun(&'static str),
}

/// What all cases need.
pub struct Setup {
    pub record: Record,
    pub store: Store,
    pub deployment: Deployment,
    pub program: String,
    pub has_trouble: bool,
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, program, record] = words.as_slice() else {
        eprintln!("usage: stand CASE FOLDER PROGRAM RECORD");
        std::process::exit(2);
    };
    let record = Record::new(&PathBuf::from(record));
    let store = Store::start(record.clone());
    let deployment =
        Deployment::new(program.clone(), PathBuf::from(folder), store.address, &record);
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let setup =
        Setup { record: record.clone(), store, deployment, program: program.clone(), has_trouble };
    record.say(if has_trouble { "with the disruption" } else { "without the disruption" });
    let outcome = match case.as_str() {
        "lost-half" => lost_half::play(&setup),
        "late-on-kept" => late_on_kept::play(&setup),
        "wrong-bytes" => wrong_bytes::play(&setup),
        "empty-first" => empty_first::play(&setup),
        "muted-store" => muted_store::play(&setup),
        _ => Outcome::CouldNotRun("no such case"),
    };
    let code = match outcome {
        Outcome::Broken => {
            record.say("the rule was broken");
            1
        }
        Outcome::Held => {
            record.say("the rule held");
            0
        }
        Outcome::CouldNotRun(why) => {
            record.say(format!("the case could not run: {why}"));
            2
        }
    };
    std::process::exit(code);
}
