//! What goes into the membership and what comes out.

use std::sync::Arc;

use samphiredoor_schema::objects::ProcessLease;

use super::roster::Member;
use crate::Name;

/// What a process knows of itself.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// The process as a member.
    pub own: Member,
    /// Time between two heartbeats to a neighbour.
    pub heartbeat_ms: u64,
    /// Length of a lease.
    pub lease_ms: u64,
    /// Addresses of doors to ask as long as no member is known.
    pub seeds: Vec<Arc<str>>,
}

/// What two doors tell each other at each heartbeat.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Heartbeat {
    /// Start of the sender.
    pub incarnation: u64,
    /// Renewals of the sender's lease.
    pub renewals: u64,
    /// Revision of the manifest that the sender holds.
    pub revision: u64,
    /// Digest of the members that the sender knows.
    pub members_digest: u64,
    /// Changes of members.
    pub changes: Vec<Member>,
}

/// What happened.
#[derive(Debug, Clone)]
pub enum MembershipInput {
    /// A link to `peer` stands; `opened` if this process opened it.
    LinkUp {
        /// The far side, as it says of itself.
        peer: Member,
        /// Whether this process opened it.
        opened: bool,
    },
    /// No link to the peer stands any more.
    LinkDown {
        /// The far side.
        peer: Name,
    },
    /// The peer could not be connected to.
    ConnectFailed {
        /// The far side.
        peer: Name,
    },
    /// A heartbeat, or the answer to one.
    Heartbeat {
        /// The far side.
        from: Name,
        /// What it said.
        heartbeat: Heartbeat,
    },
    /// Members that a peer knows.
    Members(Vec<Member>),
    /// Lease objects were listed.
    Leases(Vec<(Name, ProcessLease)>),
    /// The lease objects could not be listed.
    ListFailed,
    /// A lease object was read.
    Lease {
        /// Its process.
        process: Name,
        /// Its content.
        lease: Box<ProcessLease>,
    },
    /// A lease object is gone.
    LeaseDeleted {
        /// Its process.
        process: Name,
    },
    /// A lease object could not be read.
    LeaseReadFailed {
        /// Its process.
        process: Name,
    },
    /// The own lease was renewed so many times.
    LeaseRenewed(u64),
    /// This process holds a manifest.
    OwnRevision(u64),
    /// A planned stop of this process has begun.
    Stopping,
    /// Time passed.
    Tick,
}

/// What to do.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipAction {
    /// Open a link to a member.
    Connect {
        /// Which.
        peer: Name,
        /// Where it listens for peers.
        address: Arc<str>,
    },
    /// Open a link to whoever listens there.
    ConnectSeed {
        /// Where.
        address: Arc<str>,
    },
    /// Close the links to a member.
    Close {
        /// Which.
        peer: Name,
        /// Whether also those that the member opened.
        accepted: bool,
    },
    /// Send a heartbeat; its answer is to be reported as [`MembershipInput::Heartbeat`].
    SendHeartbeat {
        /// To which member.
        to: Name,
        /// What it says.
        heartbeat: Heartbeat,
    },
    /// Ask a member for all members that it knows.
    PullMembers {
        /// Which.
        from: Name,
    },
    /// Read a lease object.
    ReadLease {
        /// Of which process.
        process: Name,
    },
    /// List all lease objects.
    ListLeases,
    /// The lease of a process has lapsed; its work is free to be taken. Told again while its object stands.
    LeaseExpired {
        /// Which process.
        process: Name,
        /// Which start of it.
        incarnation: u64,
    },
    /// A peer holds a manifest above the own one.
    PeerRevision {
        /// Which peer.
        from: Name,
        /// Its revision.
        revision: u64,
    },
    /// What [`Membership::live`] gives has changed.
    LiveMembersChanged,
}
