//! A store for logs of results, which loses answers and lets calls take effect late.

use std::{collections::BTreeMap, sync::Arc};

use proptest::prelude::*;
use samphiredoor_core::{
    ordered::{LogStep, ResultLog},
    store::{Labels, StoreAnswer, StoreOp, Stored, Value, Version},
};

/// What becomes of a call.
#[derive(Debug, Clone, Copy)]
pub enum CallOutcome {
    /// Takes effect and is answered.
    Answered,
    /// Takes effect, but its answer is lost.
    AnswerLost,
    /// Is not answered, and takes effect later.
    Delayed,
    /// Is refused without effect.
    Refused,
}

/// Store in memory.
#[derive(Default)]
pub struct Store {
    objects: BTreeMap<String, Value>,
    /// Unanswered calls that are yet to take effect.
    pub delayed: Vec<StoreOp>,
}

impl Store {
    pub fn apply(&mut self, op: &StoreOp) -> StoreAnswer {
        match op {
            StoreOp::Get { key } => match self.objects.get(&*key.name) {
                Some(value) => StoreAnswer::Object(stored(&key.name, value)),
                None => StoreAnswer::Absent,
            },
            StoreOp::Create { key, value, .. } => {
                if self.objects.contains_key(&*key.name) {
                    return StoreAnswer::Taken;
                }
                self.objects.insert(key.name.to_string(), value.clone());
                StoreAnswer::Object(stored(&key.name, value))
            }
            other => panic!("unexpected store call: {other:?}"),
        }
    }

    /// Texts of all objects.
    pub fn texts(&self) -> Vec<String> {
        self.objects.values().map(|it| String::from_utf8_lossy(it).into_owned()).collect()
    }

    /// Makes the call that a log wants next, if it wants one, and passes its answer to the log.
    pub fn call(&mut self, log: &mut ResultLog, step: &mut LogStep, outcome: CallOutcome) {
        if !matches!(step, LogStep::Store(_)) {
            *step = log.step();
        }
        let LogStep::Store(op) = step.clone() else { return };
        let answer = match outcome {
            CallOutcome::Answered => self.apply(&op),
            CallOutcome::AnswerLost => {
                self.apply(&op);
                StoreAnswer::Unknown
            }
            CallOutcome::Delayed => {
                self.delayed.push(op);
                StoreAnswer::Unknown
            }
            CallOutcome::Refused => StoreAnswer::Unavailable,
        };
        *step = log.answered(&answer);
    }
}

fn stored(name: &str, value: &Value) -> Stored {
    let (name, value) = (Arc::from(name), value.clone());
    Stored { name, version: Version(1), labels: Labels::new(), value }
}

/// Any outcome; half of all calls are answered.
pub fn call_outcome() -> impl Strategy<Value = CallOutcome> {
    prop::sample::select(vec![
        CallOutcome::Answered,
        CallOutcome::Answered,
        CallOutcome::Answered,
        CallOutcome::AnswerLost,
        CallOutcome::Delayed,
        CallOutcome::Refused,
    ])
}
