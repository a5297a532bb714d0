//! Connections to targets.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
};

use bytes::Bytes;
use hyper::{HeaderMap, Method, Request, Response, Uri, header};
use samphiredoor_net::{
    Body, Pool,
    pool::{Answer, SendError},
};

/// A call to a target, kept so that it can be sent again.
#[derive(Debug, Clone)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// Pools of connections, one for each address.
#[derive(Clone, Default)]
pub struct TargetPools {
    pools: Rc<RefCell<HashMap<SocketAddr, Pool>>>,
}

impl TargetPools {
    /// Sends a call and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Whether the call can have reached the target.
    pub async fn send(
        &self,
        address: SocketAddr,
        call: &Call,
    ) -> Result<Response<Answer>, SendError> {
        let pool = self.pool(address);
        let mut request = Request::new(Body::full(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.uri.clone();
        *request.headers_mut() = call.headers.clone();
        if let Ok(host) = header::HeaderValue::from_str(&address.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        pool.send(request).await
    }

    /// Closes the idle connections to all addresses but those. Calls that run keep theirs.
    pub fn keep_only(&self, addresses: &HashSet<SocketAddr>) {
        self.pools.borrow_mut().retain(|address, _| addresses.contains(address));
    }

    fn pool(&self, address: SocketAddr) -> Pool {
        let mut pools = self.pools.borrow_mut();
        pools.entry(address).or_insert_with(|| Pool::new(address)).clone()
    }
}
