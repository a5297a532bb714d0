//! The routes in force, as all parts of the process read them.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use samphiredoor_core::{
    routes::{LatestRoutes, RouteTable},
    store::Stored,
};

/// Handle to the routes in force; written by discovery alone.
#[derive(Clone, Default)]
pub struct Routes {
    log: Rc<RefCell<LatestRoutes>>,
    source: Rc<RefCell<Option<Stored>>>,
}

impl Routes {
    /// Table in force; `None` before the first.
    pub fn current(&self) -> Option<Arc<RouteTable>> {
        self.log.borrow().current().map(Arc::clone)
    }

    /// Version in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.log.borrow().current().map_or(0, |it| it.version)
    }

    /// Puts a table in force if it is newer; says whether it did. `source` is the object that it was read from.
    pub fn update_if_newer(&self, table: RouteTable, source: &Stored) -> bool {
        let taken = self.log.borrow_mut().update_if_newer(table);
        if taken {
            *self.source.borrow_mut() = Some(source.clone());
        }
        taken
    }

    /// Object that the table in force was read from, for other gateways.
    pub fn source(&self) -> Option<Stored> {
        self.source.borrow().clone()
    }
}
