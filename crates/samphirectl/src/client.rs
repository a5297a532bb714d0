//! Calls to a door.

use std::path::Path;

use anyhow::{Context, bail};
use serde_json::Value;

use crate::cli::{Command, Opts};

/// Carries out the command.
pub fn run(opts: Opts) -> anyhow::Result<()> {
    compio::runtime::Runtime::new()?.block_on(async {
        let client = cyper::Client::new()?;
        let request = match &opts.command {
            Command::Apply { file } => {
                let declared = read_declarations(file)?;
                client.put(format!("http://{}/manifest", opts.door))?.json(&declared)?
            }
            Command::Ready => client.get(format!("http://{}/ready", opts.door))?,
        };
        let answer = request
            .send()
            .await
            .with_context(|| format!("no door answers on {}; name one with --door", opts.door))?;
        let status = answer.status();
        let text = answer.text().await?;
        if !status.is_success() {
            bail!("refused: {text}");
        }
        println!("{text}");
        Ok(())
    })
}

fn read_declarations(file: &Path) -> anyhow::Result<Value> {
    let text = std::fs::read_to_string(file)
        .with_context(|| format!("{}: cannot be read", file.display()))?;
    toml::from_str(&text).map_err(|err| anyhow::anyhow!("{}: {err}", file.display()))
}
