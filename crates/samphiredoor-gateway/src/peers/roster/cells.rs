//! The cells of the fleet, and the gateways and targets of the own one.

use std::{collections::HashSet, net::SocketAddr, rc::Rc};

use samphiredoor_core::{
    Name,
    placement::{CellId, Cells, Distance},
};

use super::Roster;

impl Roster {
    /// Assignment of the known gateways and targets to cells.
    pub fn cells(&self) -> Rc<Cells> {
        let mut cells = self.cells.borrow_mut();
        let cells = cells.get_or_insert_with(|| {
            let peers = self.peers.borrow();
            let others = peers.iter().map(|(name, it)| (Name::clone(name), it.location.clone()));
            let own = (Name::clone(&self.local.name), self.local.location.clone());
            let gateways = others.chain([own]).collect();
            Rc::new(Cells::new(&gateways, &self.targets.borrow()))
        });
        Rc::clone(cells)
    }

    /// Cell that this process belongs to.
    pub fn own_cell(&self) -> Option<CellId> {
        self.cells().cell_of_gateway(&self.local.name)
    }

    /// Whether the own cell has this name.
    pub fn is_own_cell(&self, name: &str) -> bool {
        let own = self.own_cell().and_then(|it| self.cells().name(it));
        own.is_some_and(|it| *it == *name)
    }

    /// Targets assigned to the own cell, by [`name_hash`](samphiredoor_core::placement::name_hash).
    pub fn own_cell_targets(&self) -> HashSet<u64> {
        let cells = self.cells();
        self.own_cell().map(|it| cells.targets(it).collect()).unwrap_or_default()
    }

    /// The other gateways of the own cell.
    pub fn own_cell_gateways(&self) -> HashSet<Name> {
        let Some(own) = self.own_cell() else { return HashSet::new() };
        let cells = self.cells();
        let others = cells.gateways(own).iter().filter(|it| **it != self.local.name);
        others.cloned().collect()
    }

    /// Whether a gateway belongs to the own cell.
    pub fn is_in_own_cell(&self, name: &str) -> bool {
        let own = self.own_cell();
        own.is_some() && self.cells().cell_of_gateway(name) == own
    }

    /// Addresses of the other gateways of the own cell.
    pub fn cell_peers(&self) -> Vec<SocketAddr> {
        self.own_cell().map(|it| self.addresses_in(it)).unwrap_or_default()
    }

    /// Addresses of the other gateways of the own cell that are at this distance.
    pub fn cell_peers_at(&self, distance: Distance) -> Vec<SocketAddr> {
        let Some(own) = self.own_cell() else { return Vec::new() };
        let (cells, peers) = (self.cells(), self.peers.borrow());
        let cell_peers = cells.gateways(own).iter().filter_map(|it| peers.get(it));
        let at = cell_peers
            .filter(|it| Distance::between(&self.local.location, &it.location) == distance);
        at.map(|it| it.address).collect()
    }

    /// Addresses of the gateways of a cell, except this one.
    pub fn addresses_in(&self, cell: CellId) -> Vec<SocketAddr> {
        let (cells, peers) = (self.cells(), self.peers.borrow());
        let gateways = cells.gateways(cell).iter().filter_map(|it| peers.get(it));
        gateways.map(|it| it.address).collect()
    }
}
