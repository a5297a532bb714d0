//! Messages about requests, and parts of prompts, that crash targets.

use samphiredoor_core::crash_reports::{
    Content, CrashReport, CrashVerdict, MAX_PARTS, Parts, Suspect, SuspectKind,
};
use samphiredoor_schema::peer_capnp::{crash_report, crash_verdict};
use smallvec::SmallVec;

/// Message to the coordinators of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashNews {
    /// A request was lost together with its target.
    Lost(CrashReport),
    /// These suspects of one service were in a whole answer.
    Answered(Suspects),
}

/// Suspects of one service.
pub type Suspects = SmallVec<[Suspect; 2]>;

impl CrashNews {
    /// Hash of the service that it is about.
    pub(super) fn service(&self) -> u64 {
        match self {
            CrashNews::Lost(report) => report.content.service,
            CrashNews::Answered(suspects) => suspects.first().map_or(0, |it| it.service),
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
            let of_kind = |kind| suspects.iter().filter(move |it| it.kind == kind);
            let fingerprint = of_kind(SuspectKind::Request).next();
            root.set_fingerprint(fingerprint.map_or(0, |it| it.hash));
            root.set_is_answered(true);
            of_kind(SuspectKind::Part).map(|it| it.hash).collect()
        }
    };
    let mut list = root.init_parts(parts.len().min(MAX_PARTS) as u32);
    for (index, hash) in parts.iter().take(MAX_PARTS).enumerate() {
        list.set(index as u32, *hash);
    }
}

pub(super) fn read_news(root: crash_report::Reader<'_>) -> capnp::Result<CrashNews> {
    let (service, fingerprint) = (root.get_service(), root.get_fingerprint());
    let parts: Parts = root.get_parts()?.iter().take(MAX_PARTS).collect();
    if root.get_is_answered() {
        let request = (fingerprint != 0).then(|| Suspect::request(service, fingerprint));
        let parts = parts.iter().map(|it| Suspect::part(service, *it));
        return Ok(CrashNews::Answered(request.into_iter().chain(parts).collect()));
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
}

pub(super) fn read_verdict(root: crash_verdict::Reader<'_>) -> CrashVerdict {
    let kind = if root.get_is_part() { SuspectKind::Part } else { SuspectKind::Request };
    CrashVerdict {
        suspect: Suspect { service: root.get_service(), kind, hash: root.get_fingerprint() },
        crashes: root.get_crashes(),
        age_ms: root.get_age_ms(),
    }
}
