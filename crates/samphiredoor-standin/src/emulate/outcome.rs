//! Outcome of a simulation: how requests ended, the worth earned, and the cost in sends and messages.

use samphiredoor_core::dispatch::Class;

use super::traffic::Request;

/// End of a request, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Answered within its objective.
    OnTime,
    /// Answered after its objective.
    Late,
    /// Refused, without a further retry by its caller.
    Refused,
    /// Lost because its gateway or target died.
    Lost,
    /// Not answered by its deadline or the end of the simulation.
    TimedOut,
}

/// Number of requests of one class by their end.
#[derive(Debug, Clone, Copy, Default)]
pub struct EndCounts {
    /// Requests that have ended.
    pub total: u64,
    /// Answered within the objective.
    pub on_time: u64,
    /// Answered after the objective.
    pub late: u64,
    /// Refused, without a further retry.
    pub refused: u64,
    /// Lost because a gateway or target died.
    pub lost: u64,
    /// Not answered by the deadline or the end of the simulation.
    pub timed_out: u64,
}

impl EndCounts {
    fn count(&mut self, end: End) {
        self.total += 1;
        match end {
            End::OnTime => self.on_time += 1,
            End::Late => self.late += 1,
            End::Refused => self.refused += 1,
            End::Lost => self.lost += 1,
            End::TimedOut => self.timed_out += 1,
        }
    }

    /// A count as a percentage of the total.
    pub fn percent(&self, count: u64) -> f64 {
        100.0 * count as f64 / self.total.max(1) as f64
    }
}

/// Outcome of a simulation.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    /// Online requests.
    pub online: EndCounts,
    /// Items of jobs.
    pub items: EndCounts,
    /// Worth of all requests if each were answered within its objective.
    pub total_worth: f64,
    /// Worth of the answers that were given.
    pub earned: f64,
    /// Sends of requests to targets, including repeated ones.
    pub sends: u64,
    /// Sends that targets refused.
    pub rejected: u64,
    /// Runs of items that were preempted for online requests.
    pub preempted: u64,
    /// Messages sent between gateways, including lost ones.
    pub messages: u64,
    /// Messages per gateway and second.
    pub messages_per_gateway_s: f64,
    /// Events that the simulation processed.
    pub events: u64,
}

impl Outcome {
    /// Adds a request that has ended.
    pub fn count(&mut self, request: &Request, end: End) {
        match request.class {
            Class::Online => self.online.count(end),
            Class::Batch => self.items.count(end),
        }
        self.total_worth += request.worth;
        self.earned += match end {
            End::OnTime => request.worth,
            End::Late => request.worth_late,
            End::Refused | End::Lost | End::TimedOut => 0.0,
        };
    }

    /// Fraction of the total worth that was earned.
    pub fn worth(&self) -> f64 {
        if self.total_worth > 0.0 { self.earned / self.total_worth } else { 1.0 }
    }

    /// Sends that targets refused, as a percentage of all sends.
    pub fn rejected_percent(&self) -> f64 {
        100.0 * self.rejected as f64 / self.sends.max(1) as f64
    }

    /// Preempted runs per item.
    pub fn preempted_per_item(&self) -> f64 {
        self.preempted as f64 / self.items.total.max(1) as f64
    }
}
