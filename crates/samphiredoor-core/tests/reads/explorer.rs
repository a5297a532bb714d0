//! Breadth-first exploration of all states of a model, so that a violation is found with the fewest steps.

use std::{
    collections::HashSet,
    fmt::{self, Debug, Display},
    hash::{DefaultHasher, Hash, Hasher},
};

/// A model whose steps are deterministic.
pub trait Model: Clone + Hash {
    /// One step.
    type Action: Clone + Debug;

    /// Steps that are possible in this state.
    fn actions(&self) -> Vec<Self::Action>;

    /// Takes a step, and returns what it violates.
    fn take(&mut self, action: &Self::Action) -> Result<(), String>;
}

/// States that were explored without a violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Explored {
    /// Number of different states.
    pub states: usize,
    /// Number of steps that were taken.
    pub steps: usize,
    /// Most steps from the start to a state.
    pub depth: usize,
    /// Whether no further state can be reached.
    pub is_complete: bool,
}

/// The shortest sequence of steps to a violation.
#[derive(Debug)]
pub struct Counterexample {
    /// What is violated.
    pub violation: String,
    /// Steps from the start, one a line.
    pub steps: Vec<String>,
}

impl Display for Counterexample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} after:\n  {}", self.violation, self.steps.join("\n  "))
    }
}

/// A step and the number of the state before it.
struct Arrival<A> {
    from: usize,
    action: Option<A>,
}

/// Explores all states that at most `max_depth` steps lead to. States are told apart by a hash of 64 bits.
pub fn explore<M: Model>(start: M, max_depth: usize) -> Result<Explored, Counterexample> {
    let mut known = HashSet::from([hash_of(&start)]);
    let mut arrivals = vec![Arrival { from: 0, action: None }];
    let mut frontier = vec![(0, start)];
    let (mut steps, mut depth) = (0, 0);
    while !frontier.is_empty() && depth < max_depth {
        let mut next = Vec::new();
        for (from, state) in frontier {
            for action in state.actions() {
                steps += 1;
                let mut reached = state.clone();
                let taken = reached.take(&action);
                if let Err(violation) = taken {
                    let steps = path(&arrivals, from, &action);
                    return Err(Counterexample { violation, steps });
                }
                if known.insert(hash_of(&reached)) {
                    next.push((arrivals.len(), reached));
                    arrivals.push(Arrival { from, action: Some(action) });
                }
            }
        }
        frontier = next;
        depth += usize::from(!frontier.is_empty());
    }
    Ok(Explored { states: known.len(), steps, depth, is_complete: frontier.is_empty() })
}

fn hash_of(state: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}

/// Steps to a state, and one more.
fn path<A: Debug>(arrivals: &[Arrival<A>], state: usize, last: &A) -> Vec<String> {
    let mut steps = vec![format!("{last:?}")];
    let mut at = state;
    while let Arrival { from, action: Some(action) } = &arrivals[at] {
        steps.push(format!("{action:?}"));
        at = *from;
    }
    steps.reverse();
    steps
}
