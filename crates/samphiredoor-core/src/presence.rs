//! Tells gateways that are gone from a process that is cut off from them.
//!
//! A process that receives no statuses from at least half of the gateways cannot tell by itself whether these have ended or
//! whether it is cut off. It writes a query into its own entry in the store, which all gateways watch. Gateways that do not hear
//! it, or hear more gateways than it does, answer in their own entries. Those that neither answer nor are heard are gone, or have
//! lost the store as well. Only the largest group of gateways that hear each other may act on that: of two groups of one size
//! none may, as each would take over the jobs of the other.

/// What another gateway has written into its entry since a query was sent, and whether this process hears it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OtherGateway {
    /// Whether its statuses arrive.
    pub is_heard: bool,
    /// Number of gateways that it hears, itself among them; `None` if it has written no query or answer.
    pub group_size: Option<usize>,
}

/// Result of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// Gateways that are not heard and have written nothing are gone.
    OthersGone,
    /// Others hear at least as many gateways and are not heard here.
    CutOff,
}

impl Finding {
    /// Label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Finding::OthersGone => "others_gone",
            Finding::CutOff => "cut_off",
        }
    }
}

/// Evaluates the answers to the query of a process that hears `group_size` gateways, itself among them.
pub fn evaluate(group_size: usize, others: impl IntoIterator<Item = OtherGateway>) -> Finding {
    let is_larger = |it: OtherGateway| {
        // A gateway that is heard belongs to the same group, but may hear more of it.
        it.group_size
            .is_some_and(|other| other > group_size || (other == group_size && !it.is_heard))
    };
    match others.into_iter().any(is_larger) {
        true => Finding::CutOff,
        false => Finding::OthersGone,
    }
}

/// Whether a process that hears `group_size` gateways has to answer the query of another one.
pub fn must_answer(group_size: usize, asking: OtherGateway) -> bool {
    !asking.is_heard || asking.group_size.is_some_and(|it| it < group_size)
}
