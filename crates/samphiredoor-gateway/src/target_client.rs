//! Connections to targets.
//!
//! Connections belong to a target, not to its address: the address of one that is gone is used again by another.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use hyper::{
    Response, StatusCode,
    header::{HeaderName, HeaderValue},
};
use samphiredoor_core::{Name, placement::AttemptEnd};
use samphiredoor_net::{
    Call, Pool,
    pool::{Answer, CloseMeans, SendError},
};

use crate::platform_api::HeaderNames;

/// Longest wait for a connection. A round trip between regions takes 24 ms; a target that does not answer in this time
/// has lost its power or its link, and another one can still answer within the caller's objective.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a connection is kept idle towards targets that announce no time of their own; they count in whole seconds,
/// so it may be shorter than one.
const IDLE_LIMIT: Duration = Duration::from_millis(700);

/// Addresses a call to one target: which one is meant, and how long it may work.
pub fn set_target_headers(call: &mut Call, names: &HeaderNames, target: &Name, left: Duration) {
    let left_ms = left.as_millis() as u64;
    call.headers.insert(names.deadline_ms.clone(), HeaderValue::from(left_ms));
    match HeaderValue::from_str(target) {
        Ok(target) => {
            call.headers.insert(names.expect_target.clone(), target);
        }
        // Names come from the store; one that fits into no header is refused where entries are read.
        Err(err) => log::error!(target = &**target, problem:% = err; "target: name not sent"),
    }
}

/// Whether a target says that it did not run the request, and why.
pub fn not_run_reason(names: &HeaderNames, response: &Response<Answer>) -> Option<AttemptEnd> {
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        return Some(AttemptEnd::WrongTarget);
    }
    response.headers().contains_key(&names.not_run).then_some(AttemptEnd::Refused)
}

/// Pools of connections, one for each target.
#[derive(Clone)]
pub struct TargetClient {
    echoed: HeaderName,
    pools: Rc<RefCell<HashMap<Name, Pool>>>,
}

impl TargetClient {
    /// Client without connections; `echoed` names the header by which answers tell their request.
    pub fn new(echoed: HeaderName) -> TargetClient {
        TargetClient { echoed, pools: Rc::default() }
    }

    /// Sends a call and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Whether the call can have reached the target.
    pub async fn send(
        &self,
        target: &Name,
        address: SocketAddr,
        call: &Call,
    ) -> Result<Response<Answer>, SendError> {
        let pool = self.pool(target, address);
        pool.send(call.request()).await
    }

    /// Closes the idle connections to all other targets. Calls that run keep theirs.
    pub fn keep_only(&self, targets: &HashSet<Name>) {
        self.pools.borrow_mut().retain(|target, _| targets.contains(target));
    }

    fn pool(&self, target: &Name, address: SocketAddr) -> Pool {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(Name::clone(target)).or_insert_with(|| self.new_pool(address));
        if pool.address() != address {
            *pool = self.new_pool(address);
        }
        pool.clone()
    }

    fn new_pool(&self, address: SocketAddr) -> Pool {
        Pool::new(address)
            .with_connect_timeout(CONNECT_TIMEOUT)
            .with_close_means(CloseMeans::Whole)
            .with_echoed(self.echoed.clone())
            .with_idle_limit(IDLE_LIMIT)
    }
}
