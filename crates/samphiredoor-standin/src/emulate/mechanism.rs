//! Mechanisms of the decision that a run can do without.
//!
//! Most are switched off at the placement's edge: by what goes into it, or by what is done with what comes out. Two are
//! margins of the placement.

use std::{fmt, str::FromStr};

use anyhow::Context;

/// A mechanism that a run can do without.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Items leave their places for online requests.
    Preemption,
    /// Targets that are near come first.
    NearestFirst,
    /// Targets that may have the prompt's beginning are preferred.
    Affinity,
    /// Others are told at once where a request waits for their items.
    UrgentUpdates,
    /// Online requests wait for a place before they are refused.
    Queue,
    /// A target that refused counts as full for a moment.
    FullAfterRefusal,
    /// Targets that failed are left alone for a while.
    Backoff,
    /// What a target says of its own load counts.
    ReportedLoad,
    /// Gateways tell each other how many items wait, and share the places by it.
    SharedSlots,
    /// The output of unfinished items is kept.
    SavedOutput,
    /// Items leave a place of each target free for online requests.
    ReservedSlot,
    /// Online requests wait at targets beyond their places.
    WaitingAtTarget,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Mechanism; 12] = [
        Mechanism::Preemption,
        Mechanism::NearestFirst,
        Mechanism::Affinity,
        Mechanism::UrgentUpdates,
        Mechanism::Queue,
        Mechanism::FullAfterRefusal,
        Mechanism::Backoff,
        Mechanism::ReportedLoad,
        Mechanism::SharedSlots,
        Mechanism::SavedOutput,
        Mechanism::ReservedSlot,
        Mechanism::WaitingAtTarget,
    ];

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Mechanism::Preemption => "recalls",
            Mechanism::NearestFirst => "nearest-first",
            Mechanism::Affinity => "affinity",
            Mechanism::UrgentUpdates => "urgent-word",
            Mechanism::Queue => "queue",
            Mechanism::FullAfterRefusal => "full-after-refusal",
            Mechanism::Backoff => "pauses",
            Mechanism::ReportedLoad => "reported-load",
            Mechanism::SharedSlots => "shares",
            Mechanism::SavedOutput => "kept-output",
            Mechanism::ReservedSlot => "free-place",
            Mechanism::WaitingAtTarget => "waiting-at-target",
        }
    }
}

impl FromStr for Mechanism {
    type Err = anyhow::Error;

    fn from_str(name: &str) -> anyhow::Result<Mechanism> {
        let found = Mechanism::ALL.into_iter().find(|it| it.name() == name);
        found.with_context(|| {
            let names = Mechanism::ALL.map(Mechanism::name).join(", ");
            format!("`{name}` is no mechanism; there are {names}")
        })
    }
}

/// Mechanisms that one variant does without.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Without(pub Vec<Mechanism>);

impl FromStr for Without {
    type Err = anyhow::Error;

    fn from_str(names: &str) -> anyhow::Result<Without> {
        names.split('+').map(str::parse).collect::<Result<_, _>>().map(Without)
    }
}

impl fmt::Display for Without {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = self.0.iter().map(|it| it.name()).collect();
        f.write_str(&names.join("+"))
    }
}
