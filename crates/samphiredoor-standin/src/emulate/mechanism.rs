//! Mechanisms of the placement that a simulation can disable, to measure what each contributes.
//!
//! Most are disabled outside the placement, by changing its inputs or ignoring its outputs. Two are margins of the
//! placement.

use std::{fmt, str::FromStr};

use anyhow::Context;

/// A mechanism that a simulation can disable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Batch items are preempted for online requests.
    Preemption,
    /// Nearer targets are preferred.
    NearestFirst,
    /// Targets that may have the prompt's shared prefix cached are preferred.
    Affinity,
    /// Peers are notified at once if an online request waits for a slot that one of their items occupies.
    UrgentUpdates,
    /// Online requests wait for a free slot before they are refused.
    Queue,
    /// A target that refused a request is treated as full for a short time.
    FullAfterRefusal,
    /// Targets that failed are in backoff for some time.
    Backoff,
    /// Load reports of targets are taken into account.
    ReportedLoad,
    /// Gateways send each other their numbers of waiting items and divide the slots accordingly.
    SharedSlots,
    /// Partial output of running items is saved, so that it survives the death of a gateway.
    SavedOutput,
    /// Slots of each target are reserved for online requests.
    ReservedSlot,
    /// Online requests are sent to targets beyond their free slots and wait there.
    WaitingAtTarget,
}

impl Mechanism {
    /// All mechanisms, in the order in which error messages list them.
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
            format!("`{name}` is not a mechanism; the mechanisms are {names}")
        })
    }
}

/// Mechanisms that one variant disables, parsed from names joined by `+`.
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
