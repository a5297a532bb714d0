//! Connection pools to targets.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
};

use hyper::{Response, header};
pub use samphiredoor_net::Call;
use samphiredoor_net::{
    Pool,
    pool::{ResponseBody, SendError},
};

/// One connection pool for each address.
#[derive(Clone, Default)]
pub struct TargetPools {
    pools: Rc<RefCell<HashMap<SocketAddr, Pool>>>,
}

impl TargetPools {
    /// Sends a call and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// The variant shows whether the call may have reached the target.
    pub async fn send(
        &self,
        address: SocketAddr,
        call: &Call,
    ) -> Result<Response<ResponseBody>, SendError> {
        let pool = self.pool(address);
        let mut request = call.request();
        if let Ok(host) = header::HeaderValue::from_str(&address.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        pool.send(request).await
    }

    /// Closes the idle connections to all other addresses. Running calls keep their connections.
    pub fn keep_only(&self, addresses: &HashSet<SocketAddr>) {
        self.pools.borrow_mut().retain(|address, _| addresses.contains(address));
    }

    fn pool(&self, address: SocketAddr) -> Pool {
        let mut pools = self.pools.borrow_mut();
        pools.entry(address).or_insert_with(|| Pool::new(address)).clone()
    }
}
