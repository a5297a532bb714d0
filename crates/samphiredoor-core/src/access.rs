//! Workspaces and their API keys: on whose behalf a caller sends a request.
//!
//! Only digests of keys are kept, so that no log line, metric or error can contain a key. A lookup takes one digest and
//! one access to a hash table, whatever the number of workspaces and keys.

use std::{
    collections::{HashMap, HashSet},
    fmt,
    sync::Arc,
};

use crate::{Name, rate_limit::RateLimit};

/// Bytes of a digest that are kept; finding another key with the same ones takes 2^128 attempts.
const DIGEST_BYTES: usize = 16;

/// Digest of an API key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Digest of a key as callers send it.
    pub fn new(key: &[u8]) -> KeyDigest {
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&blake3::hash(key).as_bytes()[..DIGEST_BYTES]);
        KeyDigest(bytes)
    }

    /// Parses a digest as declarations have it, in hexadecimal digits.
    pub fn parse(text: &str) -> Option<KeyDigest> {
        let is_hex =
            text.len() == 2 * DIGEST_BYTES && text.bytes().all(|it| it.is_ascii_hexdigit());
        let value = u128::from_str_radix(text, 16).ok().filter(|_| is_hex)?;
        Some(KeyDigest(value.to_be_bytes()))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

/// Owner of requests and jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Name, which targets are sent.
    pub name: Name,
    /// Priority of its online requests, instead of their routes' priorities; 0 is the highest.
    pub priority: Option<u32>,
    /// Limit on its online requests over all gateways.
    pub rate_limit: Option<RateLimit>,
}

/// Why a set of workspaces is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkspacesError {
    /// Two workspaces have the same name.
    DuplicateName(Name),
    /// Two workspaces have the same key.
    SharedKey(Name, Name),
    /// A workspace has an empty key.
    EmptyKey(Name),
}

impl fmt::Display for WorkspacesError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WorkspacesError::DuplicateName(name) => write!(f, "two workspaces are named `{name}`"),
            WorkspacesError::SharedKey(one, other) => {
                write!(f, "workspaces `{one}` and `{other}` have the same API key")
            }
            WorkspacesError::EmptyKey(name) => {
                write!(f, "workspace `{name}` has an empty API key")
            }
        }
    }
}

impl std::error::Error for WorkspacesError {}

/// All workspaces and their keys.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Workspaces {
    by_key: HashMap<KeyDigest, Arc<Workspace>>,
}

impl Workspaces {
    /// Creates the table from workspaces and their keys; a workspace may have no key.
    ///
    /// # Errors
    ///
    /// A name or a key belongs to two workspaces, or a key is empty.
    pub fn new(
        workspaces: impl IntoIterator<Item = (Workspace, Vec<KeyDigest>)>,
    ) -> Result<Workspaces, WorkspacesError> {
        let mut table = Workspaces::default();
        let mut names = HashSet::new();
        for (workspace, keys) in workspaces {
            let name = Name::clone(&workspace.name);
            table.add(Arc::new(workspace), &keys)?;
            if !names.insert(Name::clone(&name)) {
                return Err(WorkspacesError::DuplicateName(name));
            }
        }
        Ok(table)
    }

    fn add(
        &mut self,
        workspace: Arc<Workspace>,
        keys: &[KeyDigest],
    ) -> Result<(), WorkspacesError> {
        let name = Name::clone(&workspace.name);
        let empty = KeyDigest::new(b"");
        for key in keys {
            if *key == empty {
                return Err(WorkspacesError::EmptyKey(name));
            }
            let former = self.by_key.insert(*key, Arc::clone(&workspace));
            if let Some(other) = former.filter(|it| it.name != name) {
                return Err(WorkspacesError::SharedKey(Name::clone(&other.name), name));
            }
        }
        Ok(())
    }

    /// Workspace that has a key.
    pub fn find(&self, key: &[u8]) -> Option<&Arc<Workspace>> {
        self.by_key.get(&KeyDigest::new(key))
    }
}

/// Why a request is refused before its workspace is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unauthorized {
    /// It carries no key.
    NoKey,
    /// It carries more than one key.
    SeveralKeys,
    /// No workspace has its key.
    UnknownKey,
}

impl Unauthorized {
    /// Label of the reason in logs and counters.
    pub fn label(self) -> &'static str {
        match self {
            Unauthorized::NoKey => "no_key",
            Unauthorized::SeveralKeys => "several_keys",
            Unauthorized::UnknownKey => "unknown_key",
        }
    }
}

/// Determines the workspace of a request from the keys that it carries. `workspaces` is `None` where none are declared;
/// requests belong to no workspace then. On a public route a request needs no key, and an unknown one is ignored.
///
/// # Errors
///
/// The request needs a key, and carries none, several, or one that no workspace has.
pub fn identify<'a>(
    workspaces: Option<&Workspaces>,
    is_public: bool,
    keys: impl IntoIterator<Item = &'a [u8]>,
) -> Result<Option<Arc<Workspace>>, Unauthorized> {
    let Some(workspaces) = workspaces else { return Ok(None) };
    let mut keys = keys.into_iter();
    let found = match (keys.next(), keys.next()) {
        (None, _) => Err(Unauthorized::NoKey),
        (Some(_), Some(_)) => Err(Unauthorized::SeveralKeys),
        (Some(key), None) => workspaces.find(key).ok_or(Unauthorized::UnknownKey),
    };
    match found {
        Ok(workspace) => Ok(Some(Arc::clone(workspace))),
        Err(_) if is_public => Ok(None),
        Err(reason) => Err(reason),
    }
}
