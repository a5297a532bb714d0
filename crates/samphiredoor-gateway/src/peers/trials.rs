//! Questions to coordinators whether a quarantined request may be sent as a trial.
//!
//! The coordinators of a service are asked one after the other, so that one of them grants each trial as long as it lives.
//! If neither answers or knows of the quarantine, the gateway decides for itself: then the coordinators have just started,
//! or are out of reach.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::net::UdpSocket;
use samphiredoor_core::{
    crash_reports::{CrashVerdict, Suspect, TrialOutcome},
    placement::name_hash,
};

use super::{
    CrashReports, CrashReportsTask, Hex, Roster,
    crash_messages::{Suspects, TrialAnswer, TrialPurpose, TrialQuestion},
    datagram::Datagram,
    listener::send_to_all,
    sent_run::{ReturnedTrial, Trial},
};

/// Time for an answer: a coordinator in another region is 24 ms away.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);

/// A question to which no coordinator has given a verdict yet.
struct PendingTrial {
    /// The quarantined suspects of the request.
    suspects: Suspects,
    /// Gets whether the request may be sent.
    reply: flume::Sender<Option<Trial>>,
    /// Hashes of the coordinators that have not been asked.
    left: VecDeque<u64>,
    /// Whether a coordinator was asked. If none of them knows of the quarantine, it may have ended without this process being
    /// told, and a trial that this process grants itself must not spread it again.
    was_asked: bool,
    /// When the one that was asked last is given up.
    until: Instant,
}

/// Requests for trials: own ones that wait for answers, and those of other gateways, which this process answers as a
/// coordinator.
pub(super) struct TrialRequests {
    reports: CrashReports,
    own_key: u64,
    socket: Rc<UdpSocket>,
    roster: Roster,
    /// Own questions that wait for answers, by id.
    pending: BTreeMap<u64, PendingTrial>,
    last_id: u64,
}

impl TrialRequests {
    /// Creates it without any requests.
    pub fn new(task: &CrashReportsTask, reports: CrashReports) -> TrialRequests {
        TrialRequests {
            reports,
            own_key: name_hash(&task.local.name),
            socket: Rc::clone(&task.socket),
            roster: task.roster.clone(),
            pending: BTreeMap::new(),
            last_id: 0,
        }
    }

    /// Asks the next coordinators of own questions that were not answered in time.
    pub async fn ask_others(&mut self) {
        let now = Instant::now();
        let late: Vec<u64> =
            self.pending.iter().filter(|(_, it)| it.until <= now).map(|(id, _)| *id).collect();
        for id in late {
            if let Some(trial) = self.pending.remove(&id) {
                self.ask_next(trial).await;
            }
        }
    }

    /// When the first question is given up.
    pub fn next_timeout(&self) -> Option<Instant> {
        self.pending.values().map(|it| it.until).min()
    }

    /// Asks the first coordinator of the service whether a request may be sent as a trial.
    pub async fn ask(&mut self, suspects: Suspects, reply: flume::Sender<Option<Trial>>) {
        let service = suspects.first().map_or(0, |it| it.service);
        let left = self.roster.coordinators(service).chosen.iter().copied().collect();
        let (was_asked, until) = (false, Instant::now());
        self.ask_next(PendingTrial { suspects, reply, left, was_asked, until }).await;
    }

    /// Asks the next coordinator, or decides here if this process is that or none is left.
    async fn ask_next(&mut self, mut trial: PendingTrial) {
        let mut tells = !trial.was_asked;
        while let Some(coordinator) = trial.left.pop_front() {
            if coordinator == self.own_key {
                tells = true;
                break;
            }
            let Some(address) = self.roster.address_of_hash(coordinator) else { continue };
            let suspects = trial.suspects.clone();
            trial.was_asked = true;
            trial.until = Instant::now() + ANSWER_TIMEOUT;
            self.last_id += 1;
            let id = self.last_id;
            self.pending.insert(id, trial);
            let question = TrialQuestion { id, suspects, purpose: TrialPurpose::Ask };
            let bytes = Datagram::TrialQuestion(question).encode();
            return send_to_all(&self.socket, bytes, vec![address]).await;
        }
        let (outcome, verdicts) = self.grant(&trial.suspects);
        self.decide(trial, outcome, tells);
        if tells {
            self.tell_granted(verdicts).await;
        }
    }

    /// Tells a request of this process what was decided. The trial is given back if the request is gone.
    fn decide(
        &self,
        PendingTrial { suspects, reply, .. }: PendingTrial,
        outcome: TrialOutcome,
        is_told: bool,
    ) {
        let reports = self.reports.clone();
        let _ = reply.send(match outcome {
            TrialOutcome::Denied => None,
            TrialOutcome::Granted => Some(Trial::granted(reports, suspects, is_told)),
            // What is not quarantined any more needs no trial.
            TrialOutcome::Unknown => Some(Trial::not_needed(reports)),
        });
    }

    /// Answers the question of another gateway as a coordinator.
    pub async fn answer(&mut self, question: TrialQuestion, from: SocketAddr) {
        match question.purpose {
            TrialPurpose::Ask => {
                let (outcome, verdicts) = self.grant(&question.suspects);
                let answer = TrialAnswer { id: question.id, outcome };
                let bytes = Datagram::TrialAnswer(answer).encode();
                // The answer precedes the other messages, which are many in a large fleet.
                send_to_all(&self.socket, bytes, vec![from]).await;
                self.tell_granted(verdicts).await;
            }
            TrialPurpose::Return => self.take_back(&question.suspects).await,
        }
    }

    /// Takes the answer of a coordinator to an own question.
    pub async fn answered(&mut self, answer: TrialAnswer) {
        let Some(trial) = self.pending.remove(&answer.id) else { return };
        match answer.outcome {
            TrialOutcome::Unknown => self.ask_next(trial).await,
            outcome => self.decide(trial, outcome, true),
        }
    }

    /// Decides on a trial. Returns what all gateways have to be told.
    fn grant(&mut self, suspects: &[Suspect]) -> (TrialOutcome, Vec<CrashVerdict>) {
        self.reports.known.borrow_mut().grant_trial(self.reports.now_ms(), suspects)
    }

    /// Tells all gateways of a granted trial, and when the next one may follow.
    async fn tell_granted(&self, verdicts: Vec<CrashVerdict>) {
        for verdict in verdicts {
            log::info!(
                kind = verdict.suspect.kind.label(), fingerprint:% = Hex(verdict.suspect.hash),
                trials = verdict.trials.granted, next_in_ms = verdict.trials.in_ms;
                "crashes: trial granted"
            );
            self.tell_others(verdict).await;
        }
    }

    /// Gives a trial back to the first coordinator of the service, or here if no coordinator knows of the quarantine.
    pub async fn give_back(&mut self, ReturnedTrial { suspects, is_told }: ReturnedTrial) {
        if !is_told {
            let now_ms = self.reports.now_ms();
            self.reports.known.borrow_mut().return_trial(now_ms, &suspects);
            return;
        }
        let service = suspects.first().map_or(0, |it| it.service);
        let first = self.roster.coordinators(service).chosen.first().copied();
        let other = first.filter(|it| *it != self.own_key);
        match other.and_then(|it| self.roster.address_of_hash(it)) {
            Some(address) => {
                let question = TrialQuestion { id: 0, suspects, purpose: TrialPurpose::Return };
                let bytes = Datagram::TrialQuestion(question).encode();
                send_to_all(&self.socket, bytes, vec![address]).await;
            }
            None => self.take_back(&suspects).await,
        }
    }

    async fn take_back(&mut self, suspects: &[Suspect]) {
        let now_ms = self.reports.now_ms();
        let verdicts = self.reports.known.borrow_mut().return_trial(now_ms, suspects);
        for verdict in verdicts {
            log::info!(
                kind = verdict.suspect.kind.label(), fingerprint:% = Hex(verdict.suspect.hash),
                trials = verdict.trials.granted;
                "crashes: trial returned"
            );
            self.tell_others(verdict).await;
        }
    }

    async fn tell_others(&self, verdict: CrashVerdict) {
        let bytes = Datagram::CrashVerdict(verdict).encode();
        send_to_all(&self.socket, bytes, self.roster.live_addresses()).await;
    }
}
