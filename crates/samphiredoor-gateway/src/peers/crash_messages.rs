//! Messages about requests, and parts of prompts, that crash targets.

use samphiredoor_core::crash_reports::{
    Content, CrashReport, CrashVerdict, MAX_PARTS, Parts, RunTime, Suspect, SuspectKind,
    TrialOutcome, Trials,
};
use samphiredoor_schema::peer_capnp::{
    self, crash_report, crash_verdict, trial_answer, trial_question,
};
use smallvec::SmallVec;

/// Message to the coordinators of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashNews {
    /// A request was lost together with its target.
    Lost(CrashReport),
    /// These suspects of one service were in a whole answer.
    Answered(Suspects),
    /// These suspects of one service have run for this time without a crash.
    Survived(Suspects, RunTime),
}

/// Suspects of one service.
pub type Suspects = SmallVec<[Suspect; 2]>;

/// Why a gateway writes to a coordinator about a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialPurpose {
    /// It asks whether a request may be sent as a trial.
    Ask,
    /// It gives a granted trial back, as no target has run the request.
    Return,
}

/// Message to a coordinator about a trial of quarantined suspects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrialQuestion {
    /// Chosen by the sender.
    pub id: u64,
    /// The quarantined suspects of one service that a request consists of.
    pub suspects: Suspects,
    /// What the sender wants.
    pub purpose: TrialPurpose,
}

/// A coordinator's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrialAnswer {
    /// Id of the question.
    pub id: u64,
    /// Whether the request may be sent.
    pub outcome: TrialOutcome,
}

impl CrashNews {
    /// Hash of the service that it is about.
    pub(super) fn service(&self) -> u64 {
        match self {
            CrashNews::Lost(report) => report.content.service,
            CrashNews::Answered(suspects) | CrashNews::Survived(suspects, _) => {
                suspects.first().map_or(0, |it| it.service)
            }
        }
    }
}

pub(super) fn write_news(news: &CrashNews, mut root: crash_report::Builder<'_>) {
    root.set_service(news.service());
    let parts: Parts = match news {
        CrashNews::Lost(report) => {
            root.set_fingerprint(report.content.fingerprint.unwrap_or(0));
            root.set_target(report.target);
            root.set_has_first_part(report.has_first_part);
            root.set_sent_ago_ms(report.sent_ago_ms);
            root.set_lost_ago_ms(report.lost_ago_ms);
            root.set_ran_ms(report.ran_ms);
            report.content.parts.clone()
        }
        CrashNews::Answered(suspects) => {
            root.set_fingerprint(fingerprint_of(suspects));
            root.set_is_answered(true);
            parts_of(suspects)
        }
        CrashNews::Survived(suspects, run_time) => {
            root.set_fingerprint(fingerprint_of(suspects));
            root.set_is_answered(true);
            root.set_ran_ms(run_time.longest_ms);
            root.set_total_ran_ms(run_time.total_ms);
            root.set_period_ms(run_time.period_ms);
            parts_of(suspects)
        }
    };
    write_parts(&parts, root.init_parts(parts.len().min(MAX_PARTS) as u32));
}

/// Fingerprint of the request among suspects; 0 if there is none.
fn fingerprint_of(suspects: &[Suspect]) -> u64 {
    suspects.iter().find(|it| it.kind == SuspectKind::Request).map_or(0, |it| it.hash)
}

fn parts_of(suspects: &[Suspect]) -> Parts {
    suspects.iter().filter(|it| it.kind == SuspectKind::Part).map(|it| it.hash).collect()
}

fn suspects_of(service: u64, fingerprint: u64, parts: &[u64]) -> Suspects {
    let request = (fingerprint != 0).then(|| Suspect::request(service, fingerprint));
    request.into_iter().chain(parts.iter().map(|it| Suspect::part(service, *it))).collect()
}

fn write_parts(parts: &[u64], mut list: capnp::primitive_list::Builder<'_, u64>) {
    for (index, hash) in parts.iter().take(MAX_PARTS).enumerate() {
        list.set(index as u32, *hash);
    }
}

pub(super) fn read_news(root: crash_report::Reader<'_>) -> capnp::Result<CrashNews> {
    let (service, fingerprint) = (root.get_service(), root.get_fingerprint());
    let parts: Parts = root.get_parts()?.iter().take(MAX_PARTS).collect();
    if root.get_is_answered() {
        let suspects = suspects_of(service, fingerprint, &parts);
        return Ok(match root.get_ran_ms() {
            0 => CrashNews::Answered(suspects),
            longest_ms => {
                let (total_ms, period_ms) = (root.get_total_ran_ms(), root.get_period_ms());
                CrashNews::Survived(suspects, RunTime { longest_ms, total_ms, period_ms })
            }
        });
    }
    let fingerprint = (fingerprint != 0).then_some(fingerprint);
    Ok(CrashNews::Lost(CrashReport {
        content: Content { service, fingerprint, parts },
        has_first_part: root.get_has_first_part(),
        target: root.get_target(),
        sent_ago_ms: root.get_sent_ago_ms(),
        lost_ago_ms: root.get_lost_ago_ms(),
        ran_ms: root.get_ran_ms(),
    }))
}

pub(super) fn write_verdict(verdict: &CrashVerdict, mut root: crash_verdict::Builder<'_>) {
    let Suspect { service, kind, hash } = verdict.suspect;
    root.set_fingerprint(hash);
    root.set_service(service);
    root.set_is_part(kind == SuspectKind::Part);
    root.set_crashes(verdict.crashes);
    root.set_age_ms(verdict.age_ms);
    root.set_trial_version(verdict.trials.version);
    root.set_trials(verdict.trials.granted);
    root.set_trial_in_ms(verdict.trials.in_ms);
}

pub(super) fn read_verdict(root: crash_verdict::Reader<'_>) -> CrashVerdict {
    let kind = if root.get_is_part() { SuspectKind::Part } else { SuspectKind::Request };
    CrashVerdict {
        suspect: Suspect { service: root.get_service(), kind, hash: root.get_fingerprint() },
        crashes: root.get_crashes(),
        age_ms: root.get_age_ms(),
        trials: Trials {
            version: root.get_trial_version(),
            granted: root.get_trials(),
            in_ms: root.get_trial_in_ms(),
        },
    }
}

pub(super) fn write_trial_question(
    question: &TrialQuestion,
    mut root: trial_question::Builder<'_>,
) {
    root.set_id(question.id);
    root.set_service(question.suspects.first().map_or(0, |it| it.service));
    root.set_fingerprint(fingerprint_of(&question.suspects));
    root.set_is_returned(question.purpose == TrialPurpose::Return);
    let parts = parts_of(&question.suspects);
    write_parts(&parts, root.init_parts(parts.len().min(MAX_PARTS) as u32));
}

pub(super) fn read_trial_question(
    root: trial_question::Reader<'_>,
) -> capnp::Result<TrialQuestion> {
    let parts: Parts = root.get_parts()?.iter().take(MAX_PARTS).collect();
    Ok(TrialQuestion {
        id: root.get_id(),
        suspects: suspects_of(root.get_service(), root.get_fingerprint(), &parts),
        purpose: if root.get_is_returned() { TrialPurpose::Return } else { TrialPurpose::Ask },
    })
}

pub(super) fn write_trial_answer(answer: TrialAnswer, mut root: trial_answer::Builder<'_>) {
    root.set_id(answer.id);
    root.set_outcome(match answer.outcome {
        TrialOutcome::Denied => peer_capnp::TrialOutcome::Denied,
        TrialOutcome::Granted => peer_capnp::TrialOutcome::Granted,
        TrialOutcome::Unknown => peer_capnp::TrialOutcome::Unknown,
    });
}

pub(super) fn read_trial_answer(root: trial_answer::Reader<'_>) -> capnp::Result<TrialAnswer> {
    let outcome = match root.get_outcome()? {
        peer_capnp::TrialOutcome::Denied => TrialOutcome::Denied,
        peer_capnp::TrialOutcome::Granted => TrialOutcome::Granted,
        peer_capnp::TrialOutcome::Unknown => TrialOutcome::Unknown,
    };
    Ok(TrialAnswer { id: root.get_id(), outcome })
}
