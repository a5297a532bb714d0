//! Stand-ins and checks of the cases 7 and 8: `review-stand-2 CASE FOLDER`.
//!
//! Starts storage hosts and gateways as separate processes, beside a store and replicas in this process. The result is written
//! to `FOLDER/record.txt`. Exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could not run.

mod crashing_item;
mod fleet;
mod killed_gateways;
mod record;

use std::{env, panic, path::PathBuf, process::exit};

use record::Record;

/// What a case has found.
pub enum Verdict {
    Held,
    Broken,
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |it| it != "0")
}

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-stand-2 CASE FOLDER");
        exit(2);
    };
    let record = Record::new(PathBuf::from(folder).join("record.txt"));
    let verdict = panic::catch_unwind(|| match case.as_str() {
        "crashing-item" => crashing_item::run(&record),
        "killed-gateways" => killed_gateways::run(&record),
        _ => panic!("no case {case}"),
    });
    exit(match verdict {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(_) => 2,
    });
}
