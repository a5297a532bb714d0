//! Schemas of samphiredoor's messages and settings, and the types generated from them.
//!
//! `schemas` holds the sources: Cap'n Proto for messages between gateways, JSON Schema for settings, declarations
//! and stored objects. `generate.sh` writes `src/generated` anew; its output is committed, so that a build needs no
//! generator.

/// Messages between gateways.
#[allow(missing_docs, clippy::all, clippy::unimplemented)]
#[rustfmt::skip]
#[path = "generated/peer_capnp.rs"]
pub mod peer_capnp;

/// Settings of one `samphiredoor serve` process.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/settings.rs"]
pub mod settings;

/// Settings of one `samphiredoor gateway` process.
// The generator writes helpers for all types of defaults once one setting is a number.
#[allow(missing_docs, dead_code, clippy::all)]
#[rustfmt::skip]
#[path = "generated/gateway_settings.rs"]
pub mod gateway_settings;

/// Declarations that run the service.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/manifest.rs"]
pub mod manifest;

/// Objects that gateways keep in the store.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/objects.rs"]
pub mod objects;
