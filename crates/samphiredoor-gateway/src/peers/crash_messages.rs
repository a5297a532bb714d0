//! Messages about requests that crash targets.

use samphiredoor_core::crash_reports::{CrashReport, CrashVerdict};
use samphiredoor_schema::peer_capnp::{crash_report, crash_verdict};

/// Message to the coordinators of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashNews {
    /// It was lost together with its target.
    Lost(CrashReport),
    /// The request with this fingerprint, which is suspected, got a whole answer.
    Answered(u64),
}

pub(super) fn write_news(news: &CrashNews, mut root: crash_report::Builder<'_>) {
    match news {
        CrashNews::Lost(report) => {
            root.set_fingerprint(report.fingerprint);
            root.set_target(report.target);
            root.set_sent_ago_ms(report.sent_ago_ms);
            root.set_lost_ago_ms(report.lost_ago_ms);
        }
        CrashNews::Answered(fingerprint) => {
            root.set_fingerprint(*fingerprint);
            root.set_is_answered(true);
        }
    }
}

pub(super) fn read_news(root: crash_report::Reader<'_>) -> CrashNews {
    let fingerprint = root.get_fingerprint();
    match root.get_is_answered() {
        true => CrashNews::Answered(fingerprint),
        false => CrashNews::Lost(CrashReport {
            fingerprint,
            target: root.get_target(),
            sent_ago_ms: root.get_sent_ago_ms(),
            lost_ago_ms: root.get_lost_ago_ms(),
        }),
    }
}

pub(super) fn write_verdict(verdict: &CrashVerdict, mut root: crash_verdict::Builder<'_>) {
    root.set_fingerprint(verdict.fingerprint);
    root.set_crashes(verdict.crashes);
    root.set_age_ms(verdict.age_ms);
}

pub(super) fn read_verdict(root: crash_verdict::Reader<'_>) -> CrashVerdict {
    CrashVerdict {
        fingerprint: root.get_fingerprint(),
        crashes: root.get_crashes(),
        age_ms: root.get_age_ms(),
    }
}
