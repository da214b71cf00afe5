//! Tables on standard output, or JSON.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Times between a microsecond and ten minutes, to three digits.
pub(crate) struct Times {
    histogram: Histogram<u64>,
}

impl Times {
    /// No times yet.
    pub(crate) fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, 600_000_000, 3);
        Self { histogram: histogram.expect("the bounds are constants") }
    }

    /// Adds a time.
    pub(crate) fn record(&mut self, time: Duration) {
        self.histogram.saturating_record((time.as_micros() as u64).max(1));
    }

    /// Adds all times of another.
    pub(crate) fn merge(&mut self, other: &Self) {
        self.histogram.add(&other.histogram).expect("the bounds are the same");
    }

    /// A percentile, in milliseconds.
    pub(crate) fn millis(&self, percentile: f64) -> f64 {
        self.histogram.value_at_percentile(percentile) as f64 / 1_000.0
    }

    /// The share of times at most `limit`; 1 when there are none.
    pub(crate) fn share_within(&self, limit: Duration) -> f64 {
        if self.histogram.is_empty() {
            return 1.0;
        }
        self.histogram.percentile_below(limit.as_micros() as u64) / 100.0
    }

    /// How many there are.
    pub(crate) fn len(&self) -> u64 {
        self.histogram.len()
    }
}

/// A table: a title, columns and rows.
pub(crate) struct Table {
    title: String,
    columns: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// An empty table.
    pub(crate) fn new(title: impl Into<String>, columns: &[&'static str]) -> Self {
        Self { title: title.into(), columns: columns.to_vec(), rows: Vec::new() }
    }

    /// Adds a row.
    pub(crate) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Prints the table, as Markdown or as JSON.
    pub(crate) fn print(&self, as_json: bool) {
        if as_json {
            println!("{}", self.to_json());
            return;
        }
        println!("\n{}\n", self.title);
        println!("| {} |", self.columns.join(" | "));
        println!("|{}", " --- |".repeat(self.columns.len()));
        for row in &self.rows {
            println!("| {} |", row.join(" | "));
        }
    }

    fn to_json(&self) -> Value {
        let rows: Vec<Value> = self
            .rows
            .iter()
            .map(|row| {
                let cells = self.columns.iter().zip(row);
                cells.map(|(column, cell)| ((*column).to_owned(), json!(cell))).collect()
            })
            .collect();
        json!({ "title": self.title, "rows": rows })
    }
}

/// A number with one digit behind the point.
pub(crate) fn one(value: f64) -> String {
    format!("{value:.1}")
}

/// A number with three digits behind the point.
pub(crate) fn three(value: f64) -> String {
    format!("{value:.3}")
}

/// A share in percent.
pub(crate) fn percent(value: f64) -> String {
    format!("{:.2}%", value * 100.0)
}
