//! Tables, targets and JSON.

use serde::Serialize;

/// A target value of the design page with the measured figure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Target {
    /// What is measured, and in which case.
    pub name: String,
    /// The target value, as the design page states it.
    pub wanted: &'static str,
    /// The figure.
    pub figure: f64,
    /// Whether the figure meets the target.
    pub met: bool,
}

impl Target {
    /// Creates a target that asks for at least `bound`.
    #[must_use]
    pub fn at_least(name: String, wanted: &'static str, figure: f64, bound: f64) -> Self {
        Target {
            name,
            wanted,
            figure,
            met: figure >= bound,
        }
    }

    /// Creates a target that asks for at most `bound`.
    #[must_use]
    pub fn at_most(name: String, wanted: &'static str, figure: f64, bound: f64) -> Self {
        Target {
            name,
            wanted,
            figure,
            met: figure <= bound,
        }
    }
}

/// A table for people.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a head.
    #[must_use]
    pub fn new(head: &[&str]) -> Self {
        Table {
            rows: vec![head.iter().map(|cell| (*cell).into()).collect()],
        }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }
}

impl std::fmt::Display for Table {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        for row in &self.rows {
            let mut line = String::new();
            for (place, (cell, width)) in row.iter().zip(&widths).enumerate() {
                if place == 0 {
                    line += &format!("{cell:<width$}");
                } else {
                    line += &format!("  {cell:>width$}");
                }
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

/// Renders targets with met or missed.
#[must_use]
pub fn targets(targets: &[Target]) -> Table {
    let mut table = Table::new(&["target", "wanted", "figure", ""]);
    for target in targets {
        let met = if target.met { "met" } else { "MISSED" };
        table.row(vec![
            target.name.clone(),
            target.wanted.into(),
            format!("{:.4}", target.figure),
            met.into(),
        ]);
    }
    table
}
