//! What a job's header says of its owners after takeovers.

use samphiredoor_core::{
    ordered::{JobHeader, JobOwner, read_header},
    store::{Labels, Stored, Version},
};

fn owner(process: &str) -> JobOwner {
    JobOwner { process: process.to_owned(), incarnation: 1 }
}

fn header(process: &str) -> JobHeader {
    JobHeader {
        format: JobHeader::FORMAT,
        host: "desk.example".to_owned(),
        path: "/batch/".to_owned(),
        workspace: None,
        items: 4,
        parts: 1,
        digest: "00".to_owned(),
        routes_version: 1,
        attempts: 3,
        accepted_unix_ms: 0,
        due_unix_ms: 1,
        give_up_unix_ms: 2,
        owner: owner(process),
        finished: false,
        former: None,
        earlier_formers: Vec::new(),
    }
}

fn formers(header: &JobHeader) -> Vec<&str> {
    header.formers().map(|it| it.process.as_str()).collect()
}

// Guards against an owner that knows of its direct predecessor only, while an earlier one still appends results.
#[test]
fn all_owners_that_lost_the_job_stay_known() {
    let header = header("a").taken_over_by(owner("b")).taken_over_by(owner("c"));
    assert_eq!(formers(&header), ["a", "b"]);
    assert_eq!(header.owner, owner("c"));
}

#[test]
fn an_owner_that_handed_the_job_over_is_no_former_one() {
    let mut header = header("a").taken_over_by(owner("b"));
    header.owner.process.clear();
    assert_eq!(formers(&header.taken_over_by(owner("c"))), ["a"]);
}

#[test]
fn an_owner_that_lost_the_job_twice_is_listed_once() {
    let header = header("a").taken_over_by(owner("b")).taken_over_by(owner("a"));
    assert_eq!(formers(&header.taken_over_by(owner("c"))), ["a", "b"]);
}

#[test]
fn formers_are_read_back() {
    let header = header("a").taken_over_by(owner("b")).taken_over_by(owner("c"));
    let stored = Stored {
        name: "job-1".into(),
        version: Version(1),
        labels: Labels::new(),
        value: header.value(),
    };
    assert_eq!(read_header(&stored), Ok(header));
}
