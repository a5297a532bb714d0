//! Questions to coordinators whether a quarantined request may be sent as a trial.
//!
//! The first coordinator of the service alone grants trials, as long as it is live. A gateway whose question is not answered
//! in time sends no trial: a coordinator that is only slow may grant the same one to another gateway, and so would each
//! gateway that decided for itself. A coordinator that does not know of the quarantine, as it has just started, is told of it.

use std::{
    collections::BTreeMap,
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
    crash_reports::Message,
    datagram::Datagram,
    listener::send_to_all,
    sent_run::Trial,
};

/// Time for an answer: a coordinator in another region is 24 ms away.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);

/// Most questions that were given up and may be answered yet. A trial that is granted by such an answer is given back.
const MAX_GIVEN_UP: usize = 64;

/// A question that the coordinator has not answered yet.
struct PendingTrial {
    /// The quarantined suspects of the request.
    suspects: Suspects,
    /// Gets whether the request may be sent.
    reply: flume::Sender<Option<Trial>>,
    /// Address of the coordinator.
    coordinator: SocketAddr,
    /// When it is given up.
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
    /// Suspects of the last questions that were given up, by id.
    given_up: BTreeMap<u64, Suspects>,
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
            given_up: BTreeMap::new(),
            last_id: 0,
        }
    }

    /// Gives up own questions that were not answered in time.
    pub fn drop_late(&mut self) {
        let now = Instant::now();
        let late: Vec<u64> =
            self.pending.iter().filter(|(_, it)| it.until <= now).map(|(id, _)| *id).collect();
        for id in late {
            let Some(trial) = self.pending.remove(&id) else { continue };
            self.log_denied(&trial.suspects, trial.coordinator, "no answer");
            self.given_up.insert(id, trial.suspects.clone());
            if self.given_up.len() > MAX_GIVEN_UP {
                self.given_up.pop_first();
            }
            self.decide(trial.suspects, &trial.reply, TrialOutcome::Denied);
        }
    }

    /// When the first question is given up.
    pub fn next_timeout(&self) -> Option<Instant> {
        self.pending.values().map(|it| it.until).min()
    }

    /// Asks the first coordinator of the service whether a request may be sent as a trial. Decides here if that is this
    /// process, or if too few other gateways are in sight for there to be one.
    pub async fn ask(&mut self, suspects: Suspects, reply: flume::Sender<Option<Trial>>) {
        let Some(coordinator) = self.coordinator_of(&suspects) else {
            let (outcome, verdicts) = self.grant(&suspects);
            self.decide(suspects, &reply, outcome);
            return self.tell_granted(verdicts).await;
        };
        self.last_id += 1;
        let id = self.last_id;
        let question = TrialQuestion { id, suspects: suspects.clone(), purpose: TrialPurpose::Ask };
        let until = Instant::now() + ANSWER_TIMEOUT;
        self.pending.insert(id, PendingTrial { suspects, reply, coordinator, until });
        let bytes = Datagram::TrialQuestion(question).encode();
        send_to_all(&self.socket, bytes, vec![coordinator]).await;
    }

    /// Address of the first coordinator of the suspects' service; `None` if it is this process or there is none.
    fn coordinator_of(&self, suspects: &[Suspect]) -> Option<SocketAddr> {
        let service = suspects.first().map_or(0, |it| it.service);
        let first = self.roster.coordinators(service).chosen.first().copied();
        self.roster.address_of_hash(first.filter(|it| *it != self.own_key)?)
    }

    /// Tells a request of this process what was decided. The trial is given back if the request is gone.
    fn decide(
        &self,
        suspects: Suspects,
        reply: &flume::Sender<Option<Trial>>,
        outcome: TrialOutcome,
    ) {
        let reports = self.reports.clone();
        let _ = reply.send(match outcome {
            TrialOutcome::Denied => None,
            TrialOutcome::Granted => Some(Trial::granted(reports, suspects)),
            // What is not quarantined any more needs no trial.
            TrialOutcome::Unknown => Some(Trial::not_needed(reports)),
        });
    }

    fn log_denied(&self, suspects: &[Suspect], coordinator: SocketAddr, reason: &'static str) {
        log::info!(
            fingerprint:% = Hex(suspects.first().map_or(0, |it| it.hash)), coordinator:%, reason;
            "crashes: trial not sent"
        );
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

    /// Takes the answer of a coordinator to an own question. One that does not know of the quarantine is told of it; if that has
    /// ended, it says so in return.
    pub async fn answered(&mut self, answer: TrialAnswer) {
        let Some(trial) = self.pending.remove(&answer.id) else {
            let given_up = self.given_up.remove(&answer.id);
            if let Some(suspects) = given_up.filter(|_| answer.outcome == TrialOutcome::Granted) {
                self.give_back(suspects).await;
            }
            return;
        };
        let PendingTrial { suspects, reply, coordinator, .. } = trial;
        if answer.outcome != TrialOutcome::Unknown {
            return self.decide(suspects, &reply, answer.outcome);
        }
        self.log_denied(&suspects, coordinator, "coordinator does not know of the quarantine");
        let now_ms = self.reports.now_ms();
        for suspect in &suspects {
            if let Some(verdict) = self.reports.known.borrow().verdict(now_ms, *suspect) {
                self.reports.send(Message::Correct(verdict, coordinator));
            }
        }
        self.decide(suspects, &reply, TrialOutcome::Denied);
    }

    /// Decides on a trial. Returns what all gateways have to be told. A trial that the store has no record of is denied: if all
    /// gateways ended during it, the next ones would grant it again.
    fn grant(&mut self, suspects: &[Suspect]) -> (TrialOutcome, Vec<CrashVerdict>) {
        let now_ms = self.reports.now_ms();
        let mut known = self.reports.known.borrow_mut();
        if let Some(first) = suspects.iter().find(|it| !known.is_next_trial_recorded(now_ms, **it))
        {
            log::info!(fingerprint:% = Hex(first.hash); "crashes: trial is not recorded yet");
            return (TrialOutcome::Denied, Vec::new());
        }
        known.grant_trial(now_ms, suspects)
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

    /// Gives a trial back to the first coordinator of the service, or here if it is this process or there is none.
    pub async fn give_back(&mut self, suspects: Suspects) {
        match self.coordinator_of(&suspects) {
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

    /// Tells all other gateways what was judged or decided.
    pub async fn tell_others(&self, verdict: CrashVerdict) {
        let bytes = Datagram::CrashVerdict(verdict).encode();
        send_to_all(&self.socket, bytes, self.roster.live_addresses()).await;
    }
}
