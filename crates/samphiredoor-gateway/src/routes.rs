//! The routes in force, as all parts of the process read them.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use samphiredoor_core::routes::{RouteLog, RouteTable};

/// Handle to the routes in force; written by discovery alone.
#[derive(Clone, Default)]
pub struct Routes {
    log: Rc<RefCell<RouteLog>>,
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

    /// Puts a table in force if it is newer; says whether it did.
    pub fn offer(&self, table: RouteTable) -> bool {
        self.log.borrow_mut().offer(table)
    }
}
