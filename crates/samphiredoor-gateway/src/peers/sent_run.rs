//! An attempt at a target as the search for what crashes targets sees it, and what its end means for the trial that it may
//! be.
//!
//! A [`Trial`] is a permit: it is given back when it is dropped, so that the next request may be the trial, unless its target
//! may run it, or the end of its attempt has shown something of its suspects.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use samphiredoor_core::{
    crash_reports::{Content, RunId},
    placement::AttemptEnd,
};
use samphiredoor_net::probe::refuses_connections;

use super::{
    CrashReports,
    crash_messages::Suspects,
    crash_reports::{LostRun, Message, elapsed_ms},
};

/// Time after which the target of an attempt that was left is probed. It goes on until it notices that nobody reads its
/// answer, and may crash before that.
const LEFT_PROBE_DELAY: Duration = Duration::from_millis(100);
/// Number of probes if there was no output: the target may be slow to begin, or to notice.
const PROBES_WITHOUT_OUTPUT: usize = 6;
/// Pause between them. A target that has crashed takes longer to start again.
const PROBE_PAUSE: Duration = Duration::from_millis(300);

/// Permission to send quarantined suspects once. It is given back on drop.
pub struct Trial {
    reports: CrashReports,
    /// Empty if there is nothing to give back.
    suspects: Suspects,
}

impl Trial {
    /// A trial that was granted.
    pub(super) fn granted(reports: CrashReports, suspects: Suspects) -> Trial {
        Trial { reports, suspects }
    }

    /// Permission to send suspects whose quarantine has ended.
    pub(super) fn not_needed(reports: CrashReports) -> Trial {
        Trial { reports, suspects: Suspects::new() }
    }

    /// Ends a trial that is not given back. `outcome` is its label in metrics.
    fn conclude(mut self, outcome: &'static str) {
        if !std::mem::take(&mut self.suspects).is_empty() {
            self.reports.count_trial(outcome);
        }
    }

    /// Ends a trial whose target has crashed, or may have.
    pub(super) fn count(self) {
        self.conclude("counted");
    }

    /// Gives back a trial that has run for a time without a crash.
    fn survive(self, ran_ms: u32) {
        self.reports.survived(&self.suspects, ran_ms);
    }

    /// Ends a trial whose caller or task has left in the middle of its attempt. It is given back unless its target crashes:
    /// most are left by a preemption, which says nothing of the suspects.
    pub(super) async fn end_left(self, target: SocketAddr, ran_ms: u32) {
        compio::time::sleep(LEFT_PROBE_DELAY).await;
        let probes = if ran_ms > 0 { 1 } else { PROBES_WITHOUT_OUTPUT };
        for number in 0..probes {
            if number > 0 {
                compio::time::sleep(PROBE_PAUSE).await;
            }
            if refuses_connections(target).await {
                return self.count();
            }
        }
        self.survive(ran_ms);
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let suspects = std::mem::take(&mut self.suspects);
        if !suspects.is_empty() {
            self.reports.count_trial("returned");
            self.reports.send(Message::Return(suspects));
        }
    }
}

/// How an attempt has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// With a whole answer with success, to which no other run has contributed.
    Sound,
    /// In any other way.
    Other(AttemptEnd),
}

/// A request or an item that was sent to a target. Dropped before its end, it was left, as by its caller.
pub struct SentRun {
    reports: CrashReports,
    content: Content,
    target: SocketAddr,
    sent_at: Instant,
    /// When its first event arrived, if one did.
    began_at: Option<Instant>,
    /// Its number among the runs with output that have not ended.
    id: Option<RunId>,
    /// The trial that it is, until it ends.
    trial: Option<Trial>,
}

impl SentRun {
    /// A run that begins now.
    pub(super) fn new(
        reports: CrashReports,
        content: Content,
        target: SocketAddr,
        trial: Option<Trial>,
    ) -> SentRun {
        let sent_at = Instant::now();
        SentRun { reports, content, target, sent_at, began_at: None, id: None, trial }
    }

    /// Notes that an event has arrived.
    pub fn note_event(&mut self) {
        if self.began_at.is_none() {
            self.began_at = Some(Instant::now());
            self.id = Some(self.reports.run_began(&self.content, self.target));
        }
    }

    /// Reports its target if it has crashed, and decides whether its trial is given back.
    pub fn ended(mut self, end: RunEnd) {
        let trial = self.trial.take();
        if let RunEnd::Other(AttemptEnd::Lost | AttemptEnd::Silent | AttemptEnd::Gone) = end {
            self.id.take().into_iter().for_each(|it| self.reports.run_lost(it));
        }
        match (end, trial) {
            (RunEnd::Other(AttemptEnd::Lost), trial) => {
                let (target, sent_at, began_at) = (self.target, self.sent_at, self.began_at);
                let run = LostRun { target, sent_at, began_at };
                self.reports.connection_lost(self.content.clone(), run, trial);
            }
            (_, None) => {}
            (RunEnd::Sound, Some(trial)) => trial.conclude("answered"),
            (RunEnd::Other(end), Some(trial)) => match end {
                AttemptEnd::Refused | AttemptEnd::WrongTarget | AttemptEnd::Unreachable => {
                    drop(trial);
                }
                // A failure may be of a request that the target did not run.
                AttemptEnd::Answered if self.began_at.is_none() => trial.count(),
                AttemptEnd::Answered => trial.survive(self.ran_ms()),
                // The attempt was left, at the deadline or for another one.
                AttemptEnd::Cut => self.trial = Some(trial),
                // A target that falls silent may have been stopped by what it ran.
                AttemptEnd::Lost | AttemptEnd::Silent | AttemptEnd::Gone => trial.count(),
            },
        }
    }

    /// Time from its first event, a millisecond at least; 0 without one.
    fn ran_ms(&self) -> u32 {
        self.began_at.map_or(0, |it| elapsed_ms(it).max(1))
    }
}

impl Drop for SentRun {
    fn drop(&mut self) {
        self.id.take().into_iter().for_each(|it| self.reports.run_survived(it));
        if let Some(trial) = self.trial.take() {
            let ran_ms = self.ran_ms();
            self.reports.send(Message::Left { trial, target: self.target, ran_ms });
        }
    }
}
