//! The `emulate` command: simulates variants of a scenario and writes the results.

use std::path::{Path, PathBuf};

use anyhow::Context;
use bpaf::Bpaf;

use super::{
    mechanism::Without,
    plot, report,
    variants::{self, Seeds, Variants, Vary},
};

/// Arguments of the command: what to simulate, and where to write the results.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(generate(emulate))]
pub struct Emulate {
    /// Seeds to simulate, from A up to but excluding B
    #[bpaf(argument("A..B"), fallback(Seeds(1..21)))]
    seeds: Seeds,
    /// Adds a variant without a mechanism, or without several joined by +; may be repeated
    #[bpaf(argument("MECHANISM"))]
    without: Vec<Without>,
    /// Adds a variant for each value of a scenario field; may be repeated
    #[bpaf(argument("KEY=V1,V2"))]
    vary: Vec<Vary>,
    /// File to write one row per run to, as CSV
    #[bpaf(argument("FILE"))]
    csv: Option<PathBuf>,
    /// File to write a plot to, as SVG
    #[bpaf(argument("FILE"))]
    plot: Option<PathBuf>,
    /// Simulations to run in parallel
    #[bpaf(argument("COUNT"), fallback(3), display_fallback)]
    threads: usize,
    /// Scenario file
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

impl Emulate {
    /// Simulates all variants, prints the summary table, and writes the requested files.
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
