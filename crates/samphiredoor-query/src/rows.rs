//! Runs queries over rows: filters, sorts and limits them.

use std::cmp::Ordering;

use serde_json::{Map, Value};

use crate::ast::{Condition, Op, Query};

/// Values of one row by field.
pub type Row = Map<String, Value>;

/// Returns the rows that a query selects, in its order.
pub fn select(query: &Query, rows: Vec<Row>) -> Vec<Row> {
    let mut selected: Vec<Row> = rows.into_iter().filter(|row| matches_all(query, row)).collect();
    if let Some(order) = &query.order {
        selected.sort_by(|left, right| {
            let ordering = compare(&text(left, order.field), &text(right, order.field));
            if order.descending { ordering.reverse() } else { ordering }
        });
    }
    if let Some(limit) = query.limit {
        selected.truncate(limit);
    }
    selected
}

fn matches_all(query: &Query, row: &Row) -> bool {
    query.conditions.iter().all(|it| matches(it, row))
}

fn matches(condition: &Condition, row: &Row) -> bool {
    let actual = text(row, condition.field);
    let ordering = compare(&actual, &condition.value);
    match condition.op {
        Op::Equal => ordering == Ordering::Equal,
        Op::NotEqual => ordering != Ordering::Equal,
        Op::Less => ordering == Ordering::Less,
        Op::LessOrEqual => ordering != Ordering::Greater,
        Op::Greater => ordering == Ordering::Greater,
        Op::GreaterOrEqual => ordering != Ordering::Less,
        Op::Contains => actual.contains(&condition.value),
    }
}

fn text(row: &Row, field: &str) -> String {
    match row.get(field) {
        None | Some(Value::Null) => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
    }
}

/// Compares as numbers if both texts are numbers, otherwise as texts.
fn compare(left: &str, right: &str) -> Ordering {
    match (left.parse::<f64>(), right.parse::<f64>()) {
        (Ok(left), Ok(right)) => left.total_cmp(&right),
        _ => left.cmp(right),
    }
}
