//! What callers got in a run, and what it took.

use samphiredoor_core::dispatch::Class;

use super::traffic::Request;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Answered within its aim.
    InAim,
    /// Answered later.
    Late,
    /// Refused, and its caller did not come back in time.
    Refused,
    /// Lost with its gateway or its target.
    Lost,
    /// Not answered by its deadline.
    Left,
}

/// Ends of the requests of one class.
#[derive(Debug, Clone, Copy, Default)]
pub struct Ends {
    /// All requests.
    pub all: u64,
    /// Answered within the aim.
    pub in_aim: u64,
    /// Answered later.
    pub late: u64,
    /// Refused.
    pub refused: u64,
    /// Lost with a gateway or a target.
    pub lost: u64,
    /// Not answered by the deadline.
    pub left: u64,
}

impl Ends {
    fn count(&mut self, end: End) {
        self.all += 1;
        match end {
            End::InAim => self.in_aim += 1,
            End::Late => self.late += 1,
            End::Refused => self.refused += 1,
            End::Lost => self.lost += 1,
            End::Left => self.left += 1,
        }
    }

    /// So many of all of them, in percent.
    pub fn percent(&self, count: u64) -> f64 {
        100.0 * count as f64 / self.all.max(1) as f64
    }
}

/// What callers got in a run, and what it took.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    /// Online requests.
    pub online: Ends,
    /// Items of jobs.
    pub items: Ends,
    /// Worth of all requests, if each were answered in its aim.
    pub owed: f64,
    /// Worth of what was answered.
    pub earned: f64,
    /// Requests sent to targets.
    pub sends: u64,
    /// Sends that targets refused.
    pub rejected: u64,
    /// Runs of items that were cut for online requests.
    pub cut: u64,
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
        self.owed += request.worth;
        self.earned += match end {
            End::InAim => request.worth,
            End::Late => request.worth_late,
            End::Refused | End::Lost | End::Left => 0.0,
        };
    }

    /// Part of the worth owed that was earned.
    pub fn worth(&self) -> f64 {
        if self.owed > 0.0 { self.earned / self.owed } else { 1.0 }
    }

    /// Sends that targets refused, in percent of all.
    pub fn rejected_percent(&self) -> f64 {
        100.0 * self.rejected as f64 / self.sends.max(1) as f64
    }

    /// Runs cut for each item.
    pub fn cut_per_item(&self) -> f64 {
        self.cut as f64 / self.items.all.max(1) as f64
    }
}
