//! Steps of the simulation: what callers, the store, processes and the clock do next.

use proptest::prelude::*;
use samphiredoor_core::ledger::LedgerInput;

use super::{PROCESSES, Simulation, job};

/// Number of different keys of random jobs.
const KEYS: u8 = 2;

/// Outcome of a store call.
#[derive(Debug, Clone, Copy)]
pub enum CallOutcome {
    /// The call takes effect and is answered.
    Answered,
    /// The call takes effect, but its answer is lost.
    AnswerLost,
    /// The call is refused without effect.
    Refused,
    /// The answer is lost, and the call may take effect later.
    Late,
}

/// End of an item's run.
#[derive(Debug, Clone, Copy)]
pub enum RunEnd {
    Answered(u16),
    /// A complete response with a body of this many bytes.
    Large(usize),
    NotRun,
    MayHaveRun,
}

/// One event of the simulation.
#[derive(Debug, Clone)]
pub enum Step {
    Submit {
        process: usize,
        key: u8,
        content: u8,
        repeatable: bool,
    },
    CompleteCall {
        which: usize,
        outcome: CallOutcome,
    },
    LateWrite {
        which: usize,
    },
    EndRun {
        which: usize,
        end: RunEnd,
    },
    AdvanceClock {
        ms: u64,
    },
    Renew {
        process: usize,
    },
    Pause {
        process: usize,
    },
    Resume {
        process: usize,
    },
    Kill {
        process: usize,
    },
    Start {
        process: usize,
    },
    LeaseExpired {
        observer: usize,
        process: usize,
    },
    Offered {
        process: usize,
        key: u8,
    },
    Cancel {
        process: usize,
        key: u8,
    },
    CancelHint {
        process: usize,
        key: u8,
    },
    Stop {
        process: usize,
    },
    /// One process makes progress while the calls and runs of the others remain pending.
    RunUndisturbed {
        process: usize,
        rounds: u8,
    },
}

impl Simulation {
    pub fn apply_step(&mut self, step: &Step) {
        match step.clone() {
            Step::Submit { process, key, content, repeatable } => {
                self.submit(process, key, content, repeatable);
            }
            Step::CompleteCall { which, outcome } => {
                if !self.calls.is_empty() {
                    let call = self.calls.remove(which % self.calls.len());
                    self.complete_call(call, outcome);
                }
            }
            Step::LateWrite { which } => {
                if !self.late_writes.is_empty() {
                    let op = self.late_writes.remove(which % self.late_writes.len());
                    self.apply(&op);
                }
            }
            Step::EndRun { which, end } => {
                if !self.running.is_empty() {
                    let run = self.running.remove(which % self.running.len());
                    self.end_run(run, end);
                }
            }
            Step::AdvanceClock { ms } => self.advance_clock(ms),
            Step::Renew { process } => self.renew(process),
            Step::Pause { process } => {
                let process = &mut self.processes[process];
                process.paused = process.ledger.is_some();
            }
            Step::Resume { process } => self.resume(process),
            Step::Kill { process } => self.kill(process),
            Step::Start { process } => self.start(process),
            Step::LeaseExpired { observer, process } => self.lease_expired(observer, process),
            Step::Offered { process, key } => {
                self.input(process, LedgerInput::Offered { job: job(key) });
            }
            Step::Cancel { process, key } => self.cancel(process, key),
            Step::CancelHint { process, key } => {
                self.input(process, LedgerInput::CancelHint { job: job(key) });
            }
            Step::Stop { process } => {
                self.processes[process].stopping = true;
                self.input(process, LedgerInput::Stopping);
            }
            Step::RunUndisturbed { process, rounds } => {
                (0..rounds).for_each(|_| self.advance(process))
            }
        }
    }
}

fn call_outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        12 => Just(CallOutcome::Answered),
        2 => Just(CallOutcome::AnswerLost),
        2 => Just(CallOutcome::Refused),
        2 => Just(CallOutcome::Late),
    ]
}

fn run_end() -> impl Strategy<Value = RunEnd> {
    prop_oneof![
        8 => Just(RunEnd::Answered(200)),
        1 => Just(RunEnd::Answered(400)),
        1 => Just(RunEnd::Answered(503)),
        2 => Just(RunEnd::NotRun),
        2 => Just(RunEnd::MayHaveRun),
    ]
}

/// A random step.
pub fn step() -> impl Strategy<Value = Step> {
    let process = 0..PROCESSES;
    let key = 0..KEYS;
    prop_oneof![
        4 => (process.clone(), key.clone(), 0u8..3, any::<bool>()).prop_map(
            |(process, key, content, repeatable)| Step::Submit { process, key, content, repeatable }
        ),
        24 => (any::<usize>(), call_outcome()).prop_map(|(which, outcome)| Step::CompleteCall { which, outcome }),
        3 => any::<usize>().prop_map(|which| Step::LateWrite { which }),
        12 => (any::<usize>(), run_end()).prop_map(|(which, end)| Step::EndRun { which, end }),
        8 => (1u64..1_500).prop_map(|ms| Step::AdvanceClock { ms }),
        6 => process.clone().prop_map(|process| Step::Renew { process }),
        2 => process.clone().prop_map(|process| Step::Pause { process }),
        2 => process.clone().prop_map(|process| Step::Resume { process }),
        1 => process.clone().prop_map(|process| Step::Kill { process }),
        2 => process.clone().prop_map(|process| Step::Start { process }),
        6 => (process.clone(), process.clone())
            .prop_map(|(observer, process)| Step::LeaseExpired { observer, process }),
        2 => (process.clone(), key.clone())
            .prop_map(|(process, key)| Step::Offered { process, key }),
        3 => (process.clone(), key.clone())
            .prop_map(|(process, key)| Step::Cancel { process, key }),
        1 => (process.clone(), key)
            .prop_map(|(process, key)| Step::CancelHint { process, key }),
        1 => process.clone().prop_map(|process| Step::Stop { process }),
        10 => (process, 1u8..30).prop_map(|(process, rounds)| Step::RunUndisturbed { process, rounds }),
    ]
}
