//! Who runs what, where and when: routing, limits, retries and lending behind one border.
//!
//! The dispatcher gets every request that wants a target, online or batch, and answers each with exactly one final
//! action: it was dispatched and ended, or it was refused. One task owns it; events go in by [`Dispatcher::handle`],
//! actions come out in order.

mod attempt;
mod decayed;
mod envelope;
mod fairness;
pub mod lender;
mod lending;
mod loan;
mod routing;
mod step_model;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use rand::{SeedableRng, rngs::SmallRng};

pub use attempt::AttemptEnd;

use crate::{
    Name,
    manifest::Manifest,
    time::Now,
    verdict::{Refusal, Verdict},
};
use lending::{Lending, Lent};
use routing::Targets;

/// Where a process stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Region.
    pub region: Name,
    /// Availability zone.
    pub availability_zone: Name,
}

/// Identity of a request within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Whether a caller waits for the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Class {
    /// A caller waits.
    Online,
    /// An item of a job; runs on lent capacity only.
    Batch,
}

/// A request that wants a target.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Identity; not used again by this process.
    pub request: RequestId,
    /// Online or batch.
    pub class: Class,
    /// Service asked for.
    pub service: Name,
    /// Workspace that asks.
    pub workspace: Name,
    /// Monotonic time at which an answer is of no use any more.
    pub deadline_ms: u64,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Hash of the beginning of the prompt, for routing to a target that may have it cached.
    pub prefix_hash: u64,
    /// Hash of the whole request, to know it again if it crashes targets.
    pub fingerprint: u64,
    /// Bytes of the body.
    pub body_bytes: u32,
    /// Job that the item belongs to; empty for online requests.
    pub job: Name,
    /// Wall-clock time at which the job is due, if it says so.
    pub due_unix_ms: Option<u64>,
}

/// What happened.
#[derive(Debug, Clone)]
pub enum Input {
    /// A new revision of the declarations.
    Manifest(Arc<Manifest>),
    /// A request wants a target.
    Ask(Ask),
    /// The attempt in hand of a request ended.
    Ended {
        /// Which request.
        request: RequestId,
        /// How.
        end: AttemptEnd,
    },
    /// Nobody waits for the request any more.
    Gone {
        /// Which request.
        request: RequestId,
    },
    /// A target's own report of its load.
    Load {
        /// Which target.
        target: Name,
        /// Sequences running.
        running: u32,
        /// Sequences waiting.
        waiting: u32,
    },
    /// A target's own report of the work it has done since its start.
    Work {
        /// Which target.
        target: Name,
        /// Steps.
        steps: u64,
        /// Tokens.
        tokens: u64,
    },
    /// The doors that are known to live, this one among them.
    Doors {
        /// Name of this door.
        own_name: Name,
        /// All names, in order.
        live: Vec<Name>,
    },
    /// The lender of a target gives this door a share of its batch slots.
    Share {
        /// Which target.
        target: Name,
        /// The door that says so.
        lender: Name,
        /// Slots from now on.
        slots: u32,
        /// Number of the change; the highest one of a lender holds.
        epoch: u64,
    },
    /// Time passed.
    Tick,
}

/// What to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to a target.
    Dispatch {
        /// Which request.
        request: RequestId,
        /// Which target.
        target: Name,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Cut the attempt in hand: its capacity is wanted back. Its end is to be reported as [`AttemptEnd::Aborted`], or as
    /// [`AttemptEnd::Yielded`] if it is to go on later.
    Abort {
        /// Which request.
        request: RequestId,
    },
    /// The request ends without an answer; this is final.
    Refuse {
        /// Which request.
        request: RequestId,
        /// Whether it may have run.
        verdict: Verdict,
    },
}

#[derive(Debug)]
struct InFlight {
    ask: Ask,
    target: Name,
}

/// State of all dispatching in one process.
#[derive(Debug)]
pub struct Dispatcher {
    manifest: Arc<Manifest>,
    targets: Targets,
    in_flight: BTreeMap<RequestId, InFlight>,
    lending: Lending,
    lent: Vec<Lent>,
    rng: SmallRng,
}

impl Dispatcher {
    /// Dispatcher without declarations: it refuses everything until the first [`Input::Manifest`].
    pub fn new(place: Place, seed: u64) -> Dispatcher {
        Dispatcher {
            manifest: Arc::default(),
            targets: Targets::new(place),
            in_flight: BTreeMap::new(),
            lending: Lending::new(),
            lent: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes one event; appends what to do to `out`.
    pub fn handle(&mut self, now: Now, input: Input, out: &mut Vec<Action>) {
        match input {
            Input::Manifest(manifest) => {
                self.targets.apply(&manifest);
                self.lending.apply(now, &manifest, &mut self.lent);
                self.manifest = manifest;
            }
            Input::Ask(ask) => self.ask(now, ask, out),
            Input::Ended { request, end } => self.ended(now, request, end, out),
            Input::Gone { request } => self.gone(now, request),
            Input::Load { target, running, waiting } => {
                self.targets.report(&target, running, waiting);
                self.lending.report(now, &target, running, waiting, &mut self.lent);
            }
            Input::Work { target, steps, tokens } => {
                self.lending.steps(now, &target, steps, tokens);
            }
            Input::Doors { own_name, live } => {
                self.lending.doors(now, own_name, live, &mut self.lent);
            }
            Input::Share { target, lender, slots, epoch } => {
                self.lending.share(now, &target, &lender, slots, epoch, &mut self.lent);
            }
            Input::Tick => {
                let targets = &self.targets;
                self.lending.tick(now, |it| targets.takes_batch(it), &mut self.lent);
            }
        }
        self.act_on_lent(out);
    }

    fn ask(&mut self, now: Now, ask: Ask, out: &mut Vec<Action>) {
        if self.manifest.revision == 0 {
            return refuse(&ask, Refusal::NotReady, out);
        }
        if !self.manifest.services.contains_key(&ask.service) {
            return refuse(&ask, Refusal::UnknownService, out);
        }
        match ask.class {
            Class::Online => self.dispatch_online(now, ask, out),
            Class::Batch => self.lending.push(ask),
        }
    }

    fn dispatch_online(&mut self, now: Now, ask: Ask, out: &mut Vec<Action>) {
        match self.targets.pick(&ask, &mut self.rng) {
            Some((target, address)) => {
                self.lending.online_started(now, &target, &mut self.lent);
                self.dispatch(ask, target, address, out);
            }
            None => refuse(&ask, Refusal::NoTarget, out),
        }
    }

    fn dispatch(&mut self, ask: Ask, target: Name, address: SocketAddr, out: &mut Vec<Action>) {
        let request = ask.request;
        self.targets.started(&target, ask.class);
        out.push(Action::Dispatch { request, target: Arc::clone(&target), address });
        self.in_flight.insert(request, InFlight { ask, target });
    }

    fn ended(&mut self, now: Now, request: RequestId, end: AttemptEnd, out: &mut Vec<Action>) {
        let Some(in_flight) = self.in_flight.remove(&request) else { return };
        self.release(now, &in_flight, Some(end));
        match end {
            AttemptEnd::Done | AttemptEnd::Aborted | AttemptEnd::Yielded => {}
            AttemptEnd::NotSent => refuse(&in_flight.ask, Refusal::ConnectFailed, out),
            AttemptEnd::Lost(reason) => {
                out.push(Action::Refuse { request, verdict: Verdict::MayHaveRun { reason } });
            }
        }
    }

    fn gone(&mut self, now: Now, request: RequestId) {
        match self.in_flight.remove(&request) {
            Some(in_flight) => self.release(now, &in_flight, None),
            None => self.lending.batch_ended(now, request, None),
        }
    }

    fn release(&mut self, now: Now, in_flight: &InFlight, end: Option<AttemptEnd>) {
        let InFlight { ask, target } = in_flight;
        self.targets.ended(target, ask.class);
        match ask.class {
            Class::Online => self.lending.online_ended(target),
            Class::Batch => self.lending.batch_ended(now, ask.request, end),
        }
        let targets = &self.targets;
        self.lending.start(now, &ask.service, |it| targets.takes_batch(it), &mut self.lent);
    }

    fn act_on_lent(&mut self, out: &mut Vec<Action>) {
        let mut lent = std::mem::take(&mut self.lent);
        for decision in lent.drain(..) {
            match decision {
                Lent::Start { ask, target, address } => self.dispatch(ask, target, address, out),
                Lent::Recall(request) => out.push(Action::Abort { request }),
            }
        }
        self.lent = lent;
    }
}

const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

fn refuse(ask: &Ask, reason: Refusal, out: &mut Vec<Action>) {
    let verdict = Verdict::NotRun { retry_after_ms: DEFAULT_RETRY_AFTER_MS, reason };
    out.push(Action::Refuse { request: ask.request, verdict });
}
