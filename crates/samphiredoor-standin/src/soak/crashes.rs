//! Content, and a part of prompts, that crash each target that answers them, beside sound requests that share their other
//! parts: how many targets they crash once all gateways have to know them, and how many sound requests are refused for them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

use super::connection::Reply;
use crate::platform_target::{PlatformTarget, Run, TargetFault};

/// First part of all prompts.
const FIRST_PART: &str = "a0";
const CRASHING_PART: &str = "c0";
const CRASHING_BODY: &str = "crashes targets";
/// Number of different second parts of sound prompts.
const SECOND_PARTS: u64 = 40;
/// Time after the run that crashes a target by which all gateways in touch have to know the content or part. The rule counts from
/// the crash, which is up to 200 ms later.
const KNOWN_WITHIN: Duration = Duration::from_secs(4);
/// Targets that gateways in touch may crash after that.
const MOST_LATER_CRASHES: usize = 3;
/// Sound requests from which the share of those that are refused is judged.
const MIN_JUDGED: u64 = 20;

/// What a request does to targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Effect {
    /// They answer it.
    Sound,
    /// It crashes them by its body, the same each time.
    CrashesByBody,
    /// It crashes them by a part of its prompt; its body differs each time.
    CrashesByPart,
}

impl Effect {
    /// Body of the request with an id.
    pub fn body(self, id: &str) -> &str {
        match self {
            Effect::Sound => "",
            Effect::CrashesByBody => CRASHING_BODY,
            Effect::CrashesByPart => id,
        }
    }

    /// Prompt of the request with this number; the last part is its own.
    pub fn prompt(self, number: u64) -> String {
        let second = match self {
            Effect::CrashesByPart => CRASHING_PART.to_owned(),
            _ => format!("b{}", number % SECOND_PARTS),
        };
        format!("{FIRST_PART}:100,{second}:100,d{number}:100")
    }

    /// Crashes after which all gateways in touch have to know it.
    fn crashes_known(self) -> usize {
        match self {
            Effect::Sound => usize::MAX,
            Effect::CrashesByBody => 3,
            Effect::CrashesByPart => 5,
        }
    }
}

/// Sets the fault by which a target crashes: at once, or after the first event of an answer that only the close of its
/// connection ends. No answer is then complete after as many runs as a route allows.
pub fn set_faults(target: &PlatformTarget, is_at_once: bool) {
    let fault = if is_at_once { TargetFault::Crashes } else { TargetFault::UnframedCrashAfter(1) };
    target.fail_always(CRASHING_BODY, fault);
    target.fail_part(CRASHING_PART, fault);
}

/// What gateways count the crashes of: a part of prompts, or the same body at one path. At another path it is other content.
type Cause = (Effect, Option<&'static str>);

/// What the checks know of requests with an effect.
#[derive(Debug, Default)]
pub struct Crashes {
    /// Cause and gateway of each request.
    sent: HashMap<String, (Cause, usize)>,
    /// Runs of requests that crash targets, at gateways in touch that had to know them.
    late: BTreeSet<(Cause, Instant)>,
    /// Since when all gateways in touch have to know both effects.
    known_at: Option<Instant>,
    /// Sound requests since then that were answered, and that were refused as quarantined.
    sound: u64,
    refused_sound: u64,
    /// The latter since the start of the run.
    pub all_refused_sound: u64,
    /// Runs that crashed targets.
    pub crashed: usize,
}

impl Crashes {
    /// Records that a request is about to be sent to a path of a gateway.
    pub fn record(&mut self, id: &str, effect: Effect, path: &'static str, gateway: usize) {
        let path = (effect == Effect::CrashesByBody).then_some(path);
        self.sent.insert(id.to_owned(), ((effect, path), gateway));
    }

    /// The causes of crashes that were sent so far.
    fn causes(&self) -> BTreeSet<Cause> {
        self.sent.values().map(|(cause, _)| *cause).filter(|it| it.0 != Effect::Sound).collect()
    }

    /// Counts the answer to a request.
    pub fn count_answer(&mut self, id: &str, reply: &Reply) {
        if !matches!(self.sent.get(id), Some(((Effect::Sound, _), _))) || reply.status == 0 {
            return;
        }
        let is_refused = reply.is_quarantined();
        self.all_refused_sound += u64::from(is_refused);
        if self.known_at.is_some_and(|it| Instant::now() > it + KNOWN_WITHIN) {
            self.sound += 1;
            self.refused_sound += u64::from(is_refused);
        }
    }

    /// Notes the runs that crashed targets after all gateways in touch had to know their effect; `is_in_touch` tells whether a
    /// gateway was in touch when it sent a run.
    pub fn note_runs(&mut self, runs: &[Run], is_in_touch: impl Fn(usize, Instant) -> bool) {
        let mut known_at = BTreeMap::new();
        self.crashed = 0;
        for cause in self.causes() {
            let sender = |run: &Run| {
                self.sent.get(&run.id).filter(|(it, _)| *it == cause).map(|(_, gateway)| *gateway)
            };
            let crashes: Vec<(usize, Instant)> =
                runs.iter().filter_map(|it| Some((sender(it)?, it.at))).collect();
            self.crashed += crashes.len();
            let Some((_, last)) = crashes.get(cause.0.crashes_known() - 1) else { continue };
            let since = *last + KNOWN_WITHIN;
            let first = known_at.entry(cause.0).or_insert(since);
            *first = since.min(*first);
            let late =
                crashes.iter().filter(|(gateway, at)| *at > since && is_in_touch(*gateway, *at));
            self.late.extend(late.map(|(_, at)| (cause, *at)));
        }
        if known_at.len() == 2 {
            self.known_at = known_at.into_values().max();
        }
    }

    /// What is wrong with the number of targets that were crashed, or of sound requests that were refused.
    pub fn problem(&self) -> Option<String> {
        for cause in self.causes() {
            let late = self.late.iter().filter(|(it, _)| *it == cause).count();
            if late > MOST_LATER_CRASHES {
                return Some(format!(
                    "{cause:?}: {late} targets crashed by gateways that had to know it"
                ));
            }
        }
        let is_lost = self.sound >= MIN_JUDGED && self.refused_sound * 2 > self.sound;
        is_lost.then(|| {
            format!("{} of {} sound requests were refused", self.refused_sound, self.sound)
        })
    }

    /// Number of targets that were crashed by gateways that had to know the effect.
    pub fn late(&self) -> usize {
        self.late.len()
    }
}
