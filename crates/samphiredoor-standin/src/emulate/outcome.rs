//! What callers got in a run, and what it took.

use samphiredoor_core::dispatch::Class;

use super::traffic::Request;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Answered within its aim.
    OnTime,
    /// Answered later.
    Late,
    /// Refused, and its caller did not come back in time.
    Refused,
    /// Lost with its gateway or its target.
    Lost,
    /// Not answered by its deadline.
    TimedOut,
}

/// Ends of the requests of one class.
#[derive(Debug, Clone, Copy, Default)]
pub struct EndCounts {
    /// All requests.
    pub total: u64,
    /// Answered within the aim.
    pub on_time: u64,
    /// Answered later.
    pub late: u64,
    /// Refused.
    pub refused: u64,
    /// Lost with a gateway or a target.
    pub lost: u64,
    /// Not answered by the deadline.
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

    /// So many of all of them, in percent.
    pub fn percent(&self, count: u64) -> f64 {
        100.0 * count as f64 / self.total.max(1) as f64
    }
}

/// What callers got in a run, and what it took.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    /// Online requests.
    pub online: EndCounts,
    /// Items of jobs.
    pub items: EndCounts,
    /// Worth of all requests, if each were answered in its aim.
    pub total_worth: f64,
    /// Worth of what was answered.
    pub earned: f64,
    /// Requests sent to targets.
    pub sends: u64,
    /// Sends that targets refused.
    pub rejected: u64,
    /// Runs of items that were cut for online requests.
    pub preempted: u64,
    /// Messages between gateways.
    pub messages: u64,
    /// Messages for each gateway and second.
    pub messages_per_gateway_s: f64,
    /// Events of the simulation.
    pub events: u64,
}

impl Outcome {
    /// Counts a request that is over.
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

    /// Part of the worth owed that was earned.
    pub fn worth(&self) -> f64 {
        if self.total_worth > 0.0 { self.earned / self.total_worth } else { 1.0 }
    }

    /// Sends that targets refused, in percent of all.
    pub fn rejected_percent(&self) -> f64 {
        100.0 * self.rejected as f64 / self.sends.max(1) as f64
    }

    /// Runs cut for each item.
    pub fn preempted_per_item(&self) -> f64 {
        self.preempted as f64 / self.items.total.max(1) as f64
    }
}
