//! The emulator's command.

use std::path::{Path, PathBuf};

use anyhow::Context;
use bpaf::Bpaf;

use super::{
    mechanism::Without,
    plot, report,
    variants::{self, Seeds, Variants, Vary},
};

/// What to play, and where the results go.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(generate(emulate))]
pub struct Emulate {
    /// Seeds to play, from A up to and without B
    #[bpaf(argument("A..B"), fallback(Seeds(1..21)))]
    seeds: Seeds,
    /// A variant without a mechanism, or without some, joined by +; may be given several times
    #[bpaf(argument("MECHANISM"))]
    without: Vec<Without>,
    /// Variants with other values of a field; may be given several times
    #[bpaf(argument("KEY=V1,V2"))]
    vary: Vec<Vary>,
    /// File that gets a row for each play
    #[bpaf(argument("FILE"))]
    csv: Option<PathBuf>,
    /// File that gets a picture, as SVG
    #[bpaf(argument("FILE"))]
    plot: Option<PathBuf>,
    /// Plays at once
    #[bpaf(argument("COUNT"), fallback(3), display_fallback)]
    threads: usize,
    /// Scenario
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

impl Emulate {
    /// Plays, prints the table, and writes the files that were asked for.
    pub fn run(&self) -> anyhow::Result<()> {
        let variants = Variants::read(&self.file, &self.without, &self.vary)?;
        let results = variants::run_all(&variants, &self.seeds, self.threads);
        print!("{}", report::table(&variants, &results));
        println!("\n{}", report::speed(&variants, &results));
        if let Some(file) = &self.csv {
            write(file, &report::csv(&variants, &results))?;
        }
        if let Some(file) = &self.plot {
            write(file, &plot::svg(&variants, &results)?)?;
        }
        Ok(())
    }
}

fn write(file: &Path, text: &str) -> anyhow::Result<()> {
    std::fs::write(file, text).with_context(|| file.display().to_string())
}
