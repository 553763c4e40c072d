//! Text tables, and design targets with their measured values.

use serde::Serialize;

/// A design target with its measured value.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Target {
    /// The measured quantity and the case.
    pub name: String,
    /// The target value in the form shown in reports, such as `<= 0.3`.
    pub wanted: &'static str,
    /// The measured value.
    pub figure: f64,
    /// Whether the measured value meets the target.
    pub met: bool,
}

impl Target {
    /// Creates a target that is met when `figure` is at least `bound`.
    #[must_use]
    pub fn at_least(name: String, wanted: &'static str, figure: f64, bound: f64) -> Self {
        Target {
            name,
            wanted,
            figure,
            met: figure >= bound,
        }
    }

    /// Creates a target that is met when `figure` is at most `bound`.
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

/// A plain-text table: the first column is left-aligned, the others are right-aligned.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a header row.
    #[must_use]
    pub fn new(header: &[&str]) -> Self {
        Table {
            rows: vec![header.iter().map(|cell| (*cell).into()).collect()],
        }
    }

    /// Appends a row; it may have fewer cells than the header.
    pub fn add_row(&mut self, cells: Vec<String>) {
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
            for (column, (cell, width)) in row.iter().zip(&widths).enumerate() {
                if column == 0 {
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

/// Returns a table of the targets, each marked `met` or `MISSED`.
#[must_use]
pub fn targets(targets: &[Target]) -> Table {
    let mut table = Table::new(&["target", "wanted", "figure", ""]);
    for target in targets {
        let met = if target.met { "met" } else { "MISSED" };
        table.add_row(vec![
            target.name.clone(),
            target.wanted.into(),
            format!("{:.4}", target.figure),
            met.into(),
        ]);
    }
    table
}
