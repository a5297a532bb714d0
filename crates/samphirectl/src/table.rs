//! Output of rows as a table with aligned columns.

use serde_json::Value;

const COLUMN_GAP: &str = "  ";

/// Formats a table: a header line, then one line per row.
pub fn table(fields: &[&str], rows: &[Value]) -> String {
    let cells: Vec<Vec<String>> =
        rows.iter().map(|row| fields.iter().map(|field| cell(&row[*field])).collect()).collect();
    let widths: Vec<usize> = fields
        .iter()
        .enumerate()
        .map(|(column, field)| {
            let widest = cells.iter().map(|row| row[column].chars().count()).max();
            widest.unwrap_or(0).max(field.len())
        })
        .collect();
    let header: Vec<String> = fields.iter().map(|it| (*it).to_owned()).collect();
    let mut text = line(&header, &widths);
    for row in &cells {
        text.push_str(&line(row, &widths));
    }
    text
}

fn line(cells: &[String], widths: &[usize]) -> String {
    let padded: Vec<String> =
        cells.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}")).collect();
    format!("{}\n", padded.join(COLUMN_GAP).trim_end())
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}
