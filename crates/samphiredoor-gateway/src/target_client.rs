//! Connections to targets.
//!
//! Connections are pooled by target name, not by address: the address of a former target may be reused by another.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use hyper::{
    HeaderMap, Response, StatusCode,
    header::{HeaderName, HeaderValue},
};
use samphiredoor_core::{
    Name,
    placement::{AttemptEnd, TargetEntry, TargetState},
};
use samphiredoor_net::{
    Call, Pool,
    pool::{CloseDelimited, ResponseBody, SendError},
};

use crate::platform_api::HeaderNames;

/// Connect timeout. A round trip between regions takes 24 ms; a target that does not answer in this time is down or
/// disconnected, and another one can still answer within the latency objective.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// How long an idle connection is kept if the target announces no keep-alive timeout. Targets count in whole seconds, so
/// their actual timeout may be less than one second.
const IDLE_LIMIT: Duration = Duration::from_millis(700);

/// Sets the headers that name the expected target and the remaining time of the call.
pub fn set_target_headers(call: &mut Call, names: &HeaderNames, target: &Name, left: Duration) {
    let left_ms = left.as_millis() as u64;
    call.headers.insert(names.deadline_ms.clone(), HeaderValue::from(left_ms));
    match HeaderValue::from_str(target) {
        Ok(target) => {
            call.headers.insert(names.expect_target.clone(), target);
        }
        // Not expected: entries whose names are no valid header value are rejected when they are read from the store.
        Err(err) => {
            log::error!(target = &**target, problem:% = err; "target: name is no valid header value, not sent")
        }
    }
}

/// Sets the header that names the workspace, whatever the caller sent in it, and removes the caller's key.
pub fn set_workspace(headers: &mut HeaderMap, names: &HeaderNames, workspace: Option<&str>) {
    headers.remove(&names.api_key);
    headers.remove(&names.workspace);
    let Some(workspace) = workspace else { return };
    match HeaderValue::from_str(workspace) {
        Ok(workspace) => {
            headers.insert(names.workspace.clone(), workspace);
        }
        // Not expected: workspaces whose names are no valid header value are rejected with their routes.
        Err(err) => {
            log::error!(workspace, problem:% = err; "target: workspace is no valid header value, not sent")
        }
    }
}

/// Why a target did not run the request, if its answer says so.
pub fn not_run_reason(
    names: &HeaderNames,
    response: &Response<ResponseBody>,
) -> Option<AttemptEnd> {
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        return Some(AttemptEnd::WrongTarget);
    }
    response.headers().contains_key(&names.not_run).then_some(AttemptEnd::Refused)
}

/// Connection pools, one for each target.
#[derive(Clone)]
pub struct TargetClient {
    echoed: HeaderName,
    refused: HeaderName,
    socket_buffer_bytes: Option<usize>,
    pools: Rc<RefCell<HashMap<Name, Pool>>>,
    /// Targets that accept work, by the newest list.
    accepting: Rc<RefCell<HashSet<Name>>>,
}

impl TargetClient {
    /// Client without connections. Targets echo the id of a request, which matches an answer to it.
    pub fn new(names: &HeaderNames) -> TargetClient {
        let (echoed, refused) = (names.request_id.clone(), names.not_run.clone());
        let (pools, accepting) = (Rc::default(), Rc::default());
        TargetClient { echoed, refused, socket_buffer_bytes: None, pools, accepting }
    }

    /// Limits the kernel's buffers of each connection, in each direction.
    pub fn with_socket_buffer_bytes(mut self, bytes: Option<usize>) -> TargetClient {
        self.socket_buffer_bytes = bytes;
        self
    }

    /// Sends a call and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// No answer was received; the error shows whether the call may have reached the target.
    pub async fn send(
        &self,
        target: &Name,
        address: SocketAddr,
        call: &Call,
    ) -> Result<Response<ResponseBody>, SendError> {
        let pool = self.pool(target, address);
        pool.send(call.request()).await
    }

    /// Replaces the list of all known targets; returns how many no longer accept work. Closes the idle connections to targets
    /// that are not listed; running calls keep theirs.
    pub fn set_targets(&self, all: &[TargetEntry]) -> usize {
        let listed: HashSet<&Name> = all.iter().map(|it| &it.name).collect();
        self.pools.borrow_mut().retain(|target, _| listed.contains(target));
        let accepting = all.iter().filter(|it| it.state == TargetState::Ready);
        let accepting = accepting.map(|it| Name::clone(&it.name)).collect();
        let before = self.accepting.replace(accepting);
        before.difference(&self.accepting.borrow()).count()
    }

    /// Whether a target accepts work, by the newest list.
    pub fn accepts_work(&self, target: &Name) -> bool {
        self.accepting.borrow().contains(target)
    }

    /// Closes the idle connections to a target that was silent: if it is gone, each would cost another request the time until
    /// the target counts as silent, while a new connection shows it at once.
    pub fn close_idle(&self, target: &Name) {
        if let Some(pool) = self.pools.borrow().get(target) {
            pool.close_idle();
        }
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
            .with_close_delimited(CloseDelimited::Complete)
            .with_echoed_header(self.echoed.clone())
            .with_refusal_header(self.refused.clone())
            .with_idle_limit(IDLE_LIMIT)
            .with_socket_buffer_bytes(self.socket_buffer_bytes)
    }
}
