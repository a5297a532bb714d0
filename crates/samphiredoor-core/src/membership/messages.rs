//! Inputs and actions of the membership state machine, and the heartbeat that peers exchange.

use std::sync::Arc;

use samphiredoor_schema::objects::ProcessLease;

use super::roster::Member;
use crate::Name;

/// Configuration of the membership of one process.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// This process as a member.
    pub own: Member,
    /// Interval of heartbeats to a monitored member; doubled in large fleets.
    pub heartbeat_ms: u64,
    /// Length of a lease.
    pub lease_ms: u64,
    /// Addresses of peers to connect to while no link is up.
    pub seeds: Vec<Arc<str>>,
}

/// Content of a heartbeat, and of the answer to one.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Heartbeat {
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Number of the last renewal of the sender's lease.
    pub renewals: u64,
    /// Revision of the sender's active manifest.
    pub revision: u64,
    /// Digest of the sender's roster.
    pub members_digest: u64,
    /// Recent changes of members, spread by gossip.
    pub changes: Vec<Member>,
}

/// Events that the membership handles.
#[derive(Debug, Clone)]
pub enum MembershipInput {
    /// A link to `peer` is up.
    LinkUp {
        /// The peer, as it describes itself.
        peer: Member,
        /// Whether this process opened the link.
        opened: bool,
    },
    /// The last link to the peer is closed.
    LinkDown {
        /// Name of the peer.
        peer: Name,
    },
    /// A connection to the peer could not be opened.
    ConnectFailed {
        /// Name of the peer.
        peer: Name,
    },
    /// A heartbeat was received, or the answer to one.
    Heartbeat {
        /// Its sender.
        from: Name,
        /// Its content.
        heartbeat: Heartbeat,
    },
    /// A page of the members that a peer knows, pulled from it.
    Members(Vec<Member>),
    /// A page of the lease objects was listed.
    Leases(Vec<(Name, ProcessLease)>),
    /// The lease objects could not be listed.
    ListFailed,
    /// A lease object was read.
    Lease {
        /// Process that holds the lease.
        process: Name,
        /// Content of the object.
        lease: Box<ProcessLease>,
    },
    /// A lease object was to be read and does not exist.
    LeaseDeleted {
        /// Process that held the lease.
        process: Name,
    },
    /// A lease object could not be read or decoded.
    LeaseReadFailed {
        /// Process that holds the lease.
        process: Name,
    },
    /// The own lease was renewed; the value is the number of the renewal.
    LeaseRenewed(u64),
    /// A manifest of this revision became active in this process.
    OwnRevision(u64),
    /// This process has begun a graceful shutdown.
    Stopping,
    /// Time passed; due heartbeats, reads and connection attempts follow.
    Tick,
}

/// Actions that the owner of the state machine carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipAction {
    /// Open a link to a member.
    Connect {
        /// Name of the member.
        peer: Name,
        /// Address where it listens for peers.
        address: Arc<str>,
    },
    /// Open a link to the process that listens at a seed address.
    ConnectSeed {
        /// Seed address from the settings.
        address: Arc<str>,
    },
    /// Close the links to a member.
    Close {
        /// Name of the member.
        peer: Name,
        /// Whether to close the links that the member opened as well.
        accepted: bool,
    },
    /// Send a heartbeat; its answer is to be reported as [`MembershipInput::Heartbeat`].
    SendHeartbeat {
        /// Its receiver.
        to: Name,
        /// Its content.
        heartbeat: Heartbeat,
    },
    /// Request all members that a peer knows; they are to be reported as [`MembershipInput::Members`].
    PullMembers {
        /// Name of the peer.
        from: Name,
    },
    /// Read the lease object of a process.
    ReadLease {
        /// Process that holds the lease.
        process: Name,
    },
    /// List all lease objects.
    ListLeases,
    /// The lease of a process has expired or was replaced by a later incarnation, so that its work can be taken over.
    /// Repeated as long as the object of an expired lease exists.
    LeaseExpired {
        /// Process whose lease has expired.
        process: Name,
        /// Incarnation whose lease has expired.
        incarnation: u64,
    },
    /// A peer has a manifest of a higher revision than the own one.
    PeerRevision {
        /// Name of the peer.
        from: Name,
        /// Revision of its manifest.
        revision: u64,
    },
    /// The members given by [`Membership::live`] have changed, or their state.
    LiveMembersChanged,
}
