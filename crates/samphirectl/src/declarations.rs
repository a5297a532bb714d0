//! Declarations in TOML files, and their differences from the active ones.

use std::{collections::BTreeMap, path::Path};

use anyhow::Context;
use serde_json::Value;

use crate::exit_codes::Failure;

const SECTIONS: [&str; 3] = ["services", "targets", "workspaces"];

/// Reads a TOML file with declarations.
///
/// # Errors
///
/// The file cannot be read or is no valid TOML; the latter with line and column.
pub fn read(file: &Path) -> anyhow::Result<Value> {
    let text = std::fs::read_to_string(file)
        .with_context(|| format!("{}: cannot be read", file.display()))?;
    let read = toml::from_str(&text);
    Ok(read.map_err(|err| Failure::InvalidInput(format!("{}: {err}", file.display())))?)
}

/// Differences of `new` from `old`, one line each: `+` added, `-` removed, `~` changed. Fields that are left out have their
/// defaults; a field counts as changed if it is left out on one side only, even if the value is the default.
pub fn diff(old: &Value, new: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    for section in SECTIONS {
        let (old, new) = (by_name(&old[section]), by_name(&new[section]));
        for (name, object) in &new {
            match old.get(name) {
                None => lines.push(format!("+ {section} {name}")),
                Some(old_object) => lines.extend(changed(section, name, old_object, object)),
            }
        }
        let removed = old.keys().filter(|it| !new.contains_key(*it));
        lines.extend(removed.map(|name| format!("- {section} {name}")));
    }
    lines
}

fn by_name(section: &Value) -> BTreeMap<String, Value> {
    let objects = section.as_array().into_iter().flatten();
    let named = objects.filter_map(|it| Some((it["name"].as_str()?.to_owned(), it.clone())));
    named.collect()
}

fn changed(section: &str, name: &str, old: &Value, new: &Value) -> Vec<String> {
    let (Some(old), Some(new)) = (old.as_object(), new.as_object()) else { return Vec::new() };
    let mut fields: Vec<&String> = old.keys().chain(new.keys()).collect();
    fields.sort();
    fields.dedup();
    let display = |it: Option<&Value>| it.map_or("default".to_owned(), Value::to_string);
    let differing = fields.into_iter().filter(|it| old.get(*it) != new.get(*it));
    differing
        .map(|field| {
            let (from, to) = (display(old.get(field)), display(new.get(field)));
            format!("~ {section} {name} {field}: {from} -> {to}")
        })
        .collect()
}
