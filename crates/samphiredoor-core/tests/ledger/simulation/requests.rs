//! Callers of the simulation, which submit and cancel jobs.

use samphiredoor_core::ledger::{
    Acceptance, AcceptanceParams, CancelStep, Cancellation, JobId, LedgerInput, Submission,
    SubmissionStep,
};
use samphiredoor_schema::objects::JobState;

use super::{CallOrigin, Simulation, job};
use crate::invariants::stored_header;

impl Simulation {
    pub fn submit(&mut self, process: usize, key: u8, content: u8, repeatable: bool) {
        if self.processes[process].ledger.is_none() || self.processes[process].paused {
            return;
        }
        // Content 0 has more chunks than the header covers at first, so that `opened_chunks` is raised while the job
        // runs.
        let (items, chunk_items) = if content == 0 { (36, 1) } else { (4 + u32::from(content), 2) };
        self.submit_items(process, key, content, (items, chunk_items), repeatable);
    }

    /// Submits a job of `items` items in chunks of `chunk_items`.
    pub fn submit_items(
        &mut self,
        process: usize,
        key: u8,
        content: u8,
        (items, chunk_items): (u32, usize),
        repeatable: bool,
    ) {
        let mut submission = Submission::new().with_chunk_items(chunk_items);
        let line = |it| {
            format!(r#"{{"custom_id":"{content}-{it}","url":"/services/pickup/x","body":{{}}}}"#)
        };
        let lines: Vec<String> = (0..items).map(line).collect();
        let mut chunks = submission.push(lines.join("\n").as_bytes()).expect("lines are items");
        chunks.extend(submission.finish().expect("the last line is an item"));
        self.uploads += 1;
        let params = AcceptanceParams {
            workspace: "desk".into(),
            key: format!("key-{key}").into(),
            upload: format!("up{}", self.uploads).into(),
            process: self.processes[process].name.clone(),
            incarnation: self.processes[process].incarnation,
            due_unix_ms: None,
            repeatable,
        };
        for (number, chunk) in chunks {
            self.apply(&Acceptance::chunk_op(&params.upload, number, &chunk));
        }
        let mut acceptance = Acceptance::new(self.now(), &params, &submission);
        let step = acceptance.start();
        let digest = submission.digest();
        self.handle_submission_step(process, Box::new(acceptance), digest, step);
    }

    pub(super) fn handle_submission_step(
        &mut self,
        process: usize,
        acceptance: Box<Acceptance>,
        digest: String,
        step: SubmissionStep,
    ) {
        match step {
            SubmissionStep::Store(op) => {
                self.add_call(process, CallOrigin::Acceptance(acceptance, digest), op);
            }
            SubmissionStep::Accepted { job, header, version, resent } => {
                self.invariants.accepted(&self.store, &job, &digest);
                if !resent {
                    self.input(process, LedgerInput::Owned { job, header, version });
                }
            }
            SubmissionStep::Conflicting { job } => {
                let header =
                    stored_header(&self.store, &job).expect("the conflicting job has a header");
                assert_ne!(header.digest, digest, "a job conflicts with the same content");
            }
            SubmissionStep::NotAccepted | SubmissionStep::MayBeAccepted => {}
        }
    }

    pub(super) fn cancel(&mut self, process: usize, key: u8) {
        if self.processes[process].ledger.is_none() || self.processes[process].paused {
            return;
        }
        let mut cancellation = Cancellation::new(job(key));
        let step = cancellation.start();
        self.handle_cancel_step(process, cancellation, job(key), step);
    }

    pub(super) fn handle_cancel_step(
        &mut self,
        process: usize,
        it: Cancellation,
        job: JobId,
        step: CancelStep,
    ) {
        match step {
            CancelStep::Store(op) => self.add_call(process, CallOrigin::Cancellation(it, job), op),
            CancelStep::Cancelled { .. } => {
                let header =
                    stored_header(&self.store, &job).expect("a cancelled job has a header");
                let state = header.state;
                assert!(matches!(state, JobState::Cancelling | JobState::Cancelled), "{state:?}");
            }
            CancelStep::Finished { .. } => {
                let header = stored_header(&self.store, &job).expect("a finished job has a header");
                assert_eq!(header.state, JobState::Finished);
            }
            _ => {}
        }
    }
}
