//! Reads settings files and reports errors with the line in the file.

use std::{fmt, net::SocketAddr, path::Path};

use anyhow::Context;
use serde::de::DeserializeOwned;
use toml::de::{DeTable, DeValue};

/// An invalid setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// Path of the key, such as `callers.address`.
    pub key: &'static str,
    /// What is wrong, and how to correct it.
    pub problem: String,
}

impl SettingError {
    /// Creates an error for a key.
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

/// Reads a settings file and converts its content with `check`.
///
/// # Errors
///
/// The file cannot be read, is no valid TOML, has unknown keys or values of the wrong type, or `check` rejects a setting.
/// The message names the line where one is known.
pub fn read<S: DeserializeOwned, T>(
    file: &Path,
    check: impl FnOnce(&S) -> Result<T, SettingError>,
) -> anyhow::Result<T> {
    let shown = file.display();
    let text = std::fs::read_to_string(file)
        .with_context(|| format!("{shown}: cannot be read; pass the path of a settings file"))?;
    let settings = toml::from_str(&text).map_err(|err| anyhow::anyhow!("{shown}: {err}"))?;
    check(&settings).map_err(|err| match line_of(&text, err.key) {
        Some(line) => anyhow::anyhow!("{shown}: line {line}: {err}"),
        None => anyhow::anyhow!("{shown}: {err}"),
    })
}

/// Parses the value of a key as an address with a port.
///
/// # Errors
///
/// The text is not an IP address with a port.
pub fn address(key: &'static str, text: &str) -> Result<SocketAddr, SettingError> {
    let problem = || format!("`{text}` is not an IP address with a port like 10.0.0.1:8080");
    text.parse().map_err(|_| SettingError::new(key, problem()))
}

/// Line of a key in the file, counted from 1. If the key is missing, the line of the innermost table that should hold it.
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
