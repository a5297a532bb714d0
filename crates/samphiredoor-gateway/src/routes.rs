//! The active routes, shared by all parts of the process.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use samphiredoor_core::{
    routes::{LatestRoutes, RouteTable},
    store::Stored,
};

/// Handle to the active routes; only `discovery` updates them.
#[derive(Clone)]
pub struct Routes {
    latest: Rc<RefCell<LatestRoutes>>,
    source: Rc<RefCell<Option<Stored>>>,
    /// Channel that carries no message and is replaced, which closes it, at the next change.
    change: Rc<RefCell<(flume::Sender<()>, flume::Receiver<()>)>>,
}

impl Default for Routes {
    fn default() -> Routes {
        Routes {
            latest: Rc::default(),
            source: Rc::default(),
            change: Rc::new(RefCell::new(flume::bounded(0))),
        }
    }
}

impl Routes {
    /// Active route table; `None` before the first one is received.
    pub fn current(&self) -> Option<Arc<RouteTable>> {
        self.latest.borrow().current().map(Arc::clone)
    }

    /// Version of the active route table; 0 before the first one is received.
    pub fn version(&self) -> u64 {
        self.latest.borrow().current().map_or(0, |it| it.version)
    }

    /// Activates a table if it is newer than the active one, and returns whether it did. `source` is the stored object
    /// that it was parsed from.
    pub fn update_if_newer(&self, table: RouteTable, source: &Stored) -> bool {
        let activated = self.latest.borrow_mut().update_if_newer(table);
        if activated {
            *self.source.borrow_mut() = Some(source.clone());
            *self.change.borrow_mut() = flume::bounded(0);
        }
        activated
    }

    /// Waits until another table is active.
    pub async fn changed(&self) {
        let change = self.change.borrow().1.clone();
        // Fails at the change, as nothing is ever sent.
        let _ = change.recv_async().await;
    }

    /// Stored object that the active table was parsed from, to be served to peers.
    pub fn source(&self) -> Option<Stored> {
        self.source.borrow().clone()
    }
}
