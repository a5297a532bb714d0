//! Settings files, and errors that name the place in them.

use std::{fmt, net::SocketAddr, path::Path};

use anyhow::Context;
use serde::de::DeserializeOwned;
use toml::de::{DeTable, DeValue};

/// A setting that makes no sense.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// Path of the key, as `callers.address`.
    pub key: &'static str,
    /// What is wrong, with a hint.
    pub problem: String,
}

impl SettingError {
    /// Error at a key.
    pub fn new(key: &'static str, problem: impl Into<String>) -> SettingError {
        SettingError { key, problem: problem.into() }
    }
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.problem)
    }
}

impl std::error::Error for SettingError {}

/// Reads a settings file and lets `check` make something of it.
///
/// # Errors
///
/// The file cannot be read, is no TOML, has unknown keys or wrong types, or `check` refuses a setting; with the line.
pub fn read<S: DeserializeOwned, T>(
    file: &Path,
    check: impl FnOnce(&S) -> Result<T, SettingError>,
) -> anyhow::Result<T> {
    let shown = file.display();
    let text = std::fs::read_to_string(file)
        .with_context(|| format!("{shown}: cannot be read; name a settings file"))?;
    let settings = toml::from_str(&text).map_err(|err| anyhow::anyhow!("{shown}: {err}"))?;
    check(&settings).map_err(|err| match line_of(&text, err.key) {
        Some(line) => anyhow::anyhow!("{shown}: line {line}: {err}"),
        None => anyhow::anyhow!("{shown}: {err}"),
    })
}

/// Address that stands at a key.
///
/// # Errors
///
/// The text is no address with a port.
pub fn address(key: &'static str, text: &str) -> Result<SocketAddr, SettingError> {
    let problem = || format!("`{text}` is not an IP address with a port, as 10.0.0.1:8080");
    text.parse().map_err(|_| SettingError::new(key, problem()))
}

/// Line of a key, from 1; the line of the nearest table around it if the key is left out.
fn line_of(text: &str, key: &str) -> Option<usize> {
    let root = DeTable::parse(text).ok()?;
    let mut table = root.get_ref();
    let mut start = None;
    for part in key.split('.') {
        let Some((name, value)) = table.get_key_value(part) else { break };
        start = Some(name.span().start);
        match value.get_ref() {
            DeValue::Table(inner) => table = inner,
            _ => break,
        }
    }
    let before = text.get(..start?)?;
    Some(before.matches('\n').count() + 1)
}
