//! Checks of the stored objects and of the started items after each step.

use std::collections::{BTreeMap, BTreeSet};

use samphiredoor_core::{
    ledger::{ItemRef, JobId, header_key, read_header, read_results, results_key},
    store::{Kind, ObjectKey},
};
use samphiredoor_schema::objects::{ChunkResults, JobHeader, JobState};
use serde_json::Value;

use crate::store::ModelStore;

type Results = BTreeMap<u32, Value>;

#[derive(Debug, Default)]
pub struct Invariants {
    headers: BTreeMap<JobId, JobHeader>,
    results: BTreeMap<ObjectKey, Results>,
    epochs: BTreeMap<ObjectKey, u64>,
    uploads: BTreeMap<String, JobId>,
    /// Number of runs that may have started, for each item that must not run twice.
    runs: BTreeMap<(JobId, u32, u32), u32>,
    accepted: BTreeMap<JobId, String>,
    taken_over: BTreeSet<(JobId, u64)>,
}

impl Invariants {
    pub fn accepted(&mut self, store: &ModelStore, job: &JobId, digest: &str) {
        self.accepted.insert(job.clone(), digest.to_owned());
        let header = stored_header(store, job).expect("an accepted job has a header");
        assert_eq!(header.digest, digest, "{job} was accepted with other content");
    }

    pub fn taken_over(&mut self, job: &JobId, epoch: u64) {
        let first = self.taken_over.insert((job.clone(), epoch));
        assert!(first, "two processes have taken over {job} with epoch {epoch}");
    }

    pub fn all_ended(&self) -> bool {
        let ended = |it: &JobHeader| matches!(it.state, JobState::Finished | JobState::Cancelled);
        self.accepted.keys().all(|job| self.headers.get(job).is_some_and(ended))
    }

    pub fn open_jobs(&self) -> Vec<&JobHeader> {
        let accepted = self.accepted.keys().filter_map(|job| self.headers.get(job));
        accepted.filter(|it| matches!(it.state, JobState::Running | JobState::Cancelling)).collect()
    }

    pub fn run_started(&mut self, item: &ItemRef, repeatable: bool) {
        if !repeatable {
            let runs = self.runs.entry((item.job.clone(), item.chunk, item.index)).or_default();
            *runs += 1;
            assert_eq!(*runs, 1, "{item:?} must not run twice");
        }
    }

    pub fn run_did_not_happen(&mut self, item: &ItemRef, repeatable: bool) {
        if !repeatable {
            let runs = self.runs.entry((item.job.clone(), item.chunk, item.index)).or_default();
            *runs -= 1;
        }
    }

    pub fn check(&mut self, store: &mut ModelStore) {
        for key in std::mem::take(&mut store.changed) {
            match key.kind {
                Kind::Job => self.check_header(store, &key),
                Kind::Results if !key.name.starts_with("body-") => self.check_results(store, &key),
                _ => {}
            }
        }
    }

    fn check_header(&mut self, store: &ModelStore, key: &ObjectKey) {
        let job = key.name.clone();
        let header = stored_header(store, &job).expect("a header is never deleted");
        if let Some(before) = self.headers.get(&job) {
            assert_eq!(before.digest, header.digest, "{job} became another job");
            assert!(before.owner.epoch <= header.owner.epoch, "the epoch of {job} decreased");
            assert!(
                is_valid_transition(before.state, header.state),
                "{job} made an invalid transition to {header:?}"
            );
        }
        if matches!(header.state, JobState::Finished | JobState::Cancelled) {
            self.check_counts(store, &job, &header);
        }
        self.uploads.insert(header.upload.clone(), job.clone());
        self.headers.insert(job, header);
    }

    fn check_counts(&self, store: &ModelStore, job: &JobId, header: &JobHeader) {
        let all = (0..header.chunks).map(|it| stored_results(store, &header.upload, it).len());
        let all: usize = all.sum();
        let counted = (header.completed + header.failed) as usize;
        assert_eq!(
            counted, all,
            "{job} ended with counts that differ from its results: {header:?}"
        );
        if header.state == JobState::Finished {
            assert_eq!(all, header.items as usize, "{job} finished with missing results");
        }
    }

    fn check_results(&mut self, store: &ModelStore, key: &ObjectKey) {
        let stored = store.get(key).expect("results are never deleted");
        let epoch = parse_epoch(&stored.value);
        let epoch_before = self.epochs.insert(key.clone(), epoch).unwrap_or_default();
        assert!(epoch_before <= epoch, "the epoch of {key:?} decreased");
        let results = parse_results(&stored.value);
        let before = self.results.entry(key.clone()).or_default();
        for (index, result) in before.iter() {
            assert_eq!(results.get(index), Some(result), "a result of {key:?} was changed");
        }
        let upload = key.name.rsplit_once('-').map_or("", |it| it.0);
        let state = self.uploads.get(upload).map(|job| self.headers[job].state);
        if matches!(state, Some(JobState::Cancelled | JobState::Finished)) {
            panic!("{key:?} was written after the job's end");
        }
        *before = results;
    }
}

fn is_valid_transition(before: JobState, after: JobState) -> bool {
    match before {
        JobState::Running => true,
        JobState::Cancelling => matches!(after, JobState::Cancelling | JobState::Cancelled),
        JobState::Cancelled | JobState::Finished => before == after,
    }
}

pub fn stored_header(store: &ModelStore, job: &JobId) -> Option<JobHeader> {
    store.get(&header_key(job)).map(|it| read_header(&it.value).expect("a header can be read"))
}

fn stored_results(store: &ModelStore, upload: &str, chunk: u32) -> Results {
    // Results that a test has corrupted are not counted.
    let readable =
        store.get(&results_key(upload, chunk)).filter(|it| read_results(&it.value).is_ok());
    readable.map(|it| parse_results(&it.value)).unwrap_or_default()
}

fn parse_epoch(value: &[u8]) -> u64 {
    let results: ChunkResults = serde_json::from_slice(value).expect("results can be read");
    results.epoch
}

fn parse_results(value: &[u8]) -> Results {
    let read = read_results(value).expect("results can be read");
    let values = read.results.into_iter();
    values.map(|(index, it)| (index, serde_json::to_value(it).expect("a value"))).collect()
}
