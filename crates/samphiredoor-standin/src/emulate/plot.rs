//! Plots the worth of each variant: a dot for each seed, the mean with its confidence interval, and the upper bound.

use anyhow::anyhow;
use plotters::prelude::*;

use super::{
    report::{Mean, worth},
    variants::{RunResult, Variants},
};

const HEIGHT: u32 = 420;
const WIDTH_EACH: u32 = 200;
const MARGINS: u32 = 120;
/// Fraction of a variant's width over which its dots are spread.
const DOT_SPREAD: f64 = 0.5;
/// Half of the width of the horizontal marks for mean, interval and bound.
const MARK_HALF_WIDTH: f64 = 0.3;

/// Plot of all variants, as SVG.
pub fn svg(variants: &Variants, results: &[RunResult]) -> anyhow::Result<String> {
    let mut svg = String::new();
    draw(&mut svg, variants, results).map_err(|err| anyhow!("the plot cannot be drawn: {err}"))?;
    Ok(svg)
}

fn draw(
    svg: &mut String,
    variants: &Variants,
    results: &[RunResult],
) -> Result<(), Box<dyn std::error::Error>> {
    let count = variants.variants.len();
    let size = (MARGINS + WIDTH_EACH * count as u32, HEIGHT);
    let area = SVGBackend::with_string(svg, size).into_drawing_area();
    area.fill(&WHITE)?;
    let lowest = results.iter().map(|it| it.outcome.worth()).fold(1.0, f64::min);
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(52)
        .build_cartesian_2d(-0.5..count as f64 - 0.5, (lowest - 0.02).max(0.0)..1.01)?;
    let label = |at: &f64| {
        let number = at.round();
        let variant = variants.variants.get(number as usize);
        let is_near = (at - number).abs() < 0.01 && number >= 0.0;
        variant.filter(|_| is_near).map_or_else(String::new, |it| it.label.clone())
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(4 * count)
        .x_label_formatter(&label)
        .y_desc("worth")
        .draw()?;
    for number in 0..count {
        let runs: Vec<&RunResult> = results.iter().filter(|it| it.variant == number).collect();
        let center = number as f64;
        let dots = runs.iter().enumerate().map(|(index, it)| {
            let offset = (index as f64 + 0.5) / runs.len() as f64 - 0.5;
            Circle::new(
                (center + offset * DOT_SPREAD, it.outcome.worth()),
                2,
                BLUE.mix(0.5).filled(),
            )
        });
        chart.draw_series(dots)?;
        let (own, _) = worth(results, number);
        let lines = [own.mean - own.half_width, own.mean, own.mean + own.half_width];
        chart.draw_series(lines.map(|at| horizontal_mark(center, at, BLACK)))?;
        let bounds: Vec<f64> = runs.iter().map(|it| it.bound / it.outcome.total_worth).collect();
        chart.draw_series([horizontal_mark(center, Mean::of(&bounds).mean, RED)])?;
    }
    area.present()?;
    Ok(())
}

fn horizontal_mark(center: f64, at: f64, color: RGBColor) -> PathElement<(f64, f64)> {
    PathElement::new(vec![(center - MARK_HALF_WIDTH, at), (center + MARK_HALF_WIDTH, at)], color)
}
