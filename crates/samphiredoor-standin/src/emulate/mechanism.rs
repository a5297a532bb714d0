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
    Recalls,
    /// Targets that are near come first.
    NearestFirst,
    /// Targets that may have the prompt's beginning are preferred.
    Affinity,
    /// Others are told at once where a request waits for their items.
    UrgentWord,
    /// Online requests wait for a place before they are refused.
    Queue,
    /// A target that refused counts as full for a moment.
    FullAfterRefusal,
    /// Targets that failed are left alone for a while.
    Pauses,
    /// What a target says of its own load counts.
    ReportedLoad,
    /// Gateways tell each other how many items wait, and share the places by it.
    Shares,
    /// The output of unfinished items is kept.
    KeptOutput,
    /// Items leave a place of each target free for online requests.
    FreePlace,
    /// Online requests wait at targets beyond their places.
    WaitingAtTarget,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Mechanism; 12] = [
        Mechanism::Recalls,
        Mechanism::NearestFirst,
        Mechanism::Affinity,
        Mechanism::UrgentWord,
        Mechanism::Queue,
        Mechanism::FullAfterRefusal,
        Mechanism::Pauses,
        Mechanism::ReportedLoad,
        Mechanism::Shares,
        Mechanism::KeptOutput,
        Mechanism::FreePlace,
        Mechanism::WaitingAtTarget,
    ];

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Mechanism::Recalls => "recalls",
            Mechanism::NearestFirst => "nearest-first",
            Mechanism::Affinity => "affinity",
            Mechanism::UrgentWord => "urgent-word",
            Mechanism::Queue => "queue",
            Mechanism::FullAfterRefusal => "full-after-refusal",
            Mechanism::Pauses => "pauses",
            Mechanism::ReportedLoad => "reported-load",
            Mechanism::Shares => "shares",
            Mechanism::KeptOutput => "kept-output",
            Mechanism::FreePlace => "free-place",
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
