//! Plots the items by their outcome against the batch rate, with one chart for each rule.

use anyhow::anyhow;
use plotters::prelude::*;

use super::{
    Totals,
    command::{RATES, Row},
};

const SIZE: (u32, u32) = (1_240, 380);

type Outcome = (&'static str, RGBColor, fn(&Totals) -> u32);

const OUTCOMES: [Outcome; 4] = [
    ("in time", RGBColor(0, 130, 60), |it| it.in_time),
    ("late", RGBColor(220, 140, 0), |it| it.late),
    ("never completed", RGBColor(200, 0, 0), |it| it.never),
    ("rejected", RGBColor(60, 60, 200), |it| it.rejected),
];

/// Plot of all rules, as SVG.
pub fn svg(rows: &[Row]) -> anyhow::Result<String> {
    let mut svg = String::new();
    draw(&mut svg, rows).map_err(|err| anyhow!("the plot cannot be drawn: {err}"))?;
    Ok(svg)
}

fn draw(svg: &mut String, rows: &[Row]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let of_rules: Vec<&[Row]> = rows.chunk_by(|left, right| left.rule == right.rule).collect();
    let highest = rows.iter().flat_map(|row| OUTCOMES.map(|(_, _, count)| count(&row.totals)));
    let highest = highest.max().unwrap_or(1);
    for (area, rows) in area.split_evenly((1, of_rules.len())).iter().zip(of_rules) {
        let mut chart = ChartBuilder::on(area)
            .margin(10)
            .caption(rows[0].rule, ("sans-serif", 16))
            .x_label_area_size(36)
            .y_label_area_size(52)
            .build_cartesian_2d(RATES[0]..RATES[RATES.len() - 1], 0..highest)?;
        chart
            .configure_mesh()
            .x_desc("batch rate, multiple of the usual one")
            .y_desc("items")
            .draw()?;
        for (label, color, count) in OUTCOMES {
            let points = rows.iter().map(|row| (row.rate, count(&row.totals)));
            let line = LineSeries::new(points, color.stroke_width(2)).point_size(3);
            chart.draw_series(line)?.label(label).legend(move |(x, y)| {
                PathElement::new(vec![(x, y), (x + 16, y)], color.stroke_width(2))
            });
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .draw()?;
    }
    area.present()?;
    Ok(())
}
