//! What commands print: tables for people, JSON for programs.

use comfy_table::{Cell, CellAlignment, Table, presets};
use serde::Serialize;
use strum::{Display, EnumString, VariantNames};

use crate::failure::Failure;

/// How results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "lowercase")]
pub(crate) enum Output {
    /// Tables for people.
    Table,
    /// JSON for programs.
    Json,
}

impl Output {
    /// Prints `value` as JSON, or the text that `table` makes.
    pub(crate) fn print<T: Serialize>(self, value: &T, table: impl FnOnce() -> String) {
        match self {
            Output::Table => println!("{}", table().trim_end()),
            Output::Json => println!("{}", json(value)),
        }
    }
}

/// A value as indented JSON.
pub(crate) fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).expect("results can always be written as JSON")
}

/// A table with a head; columns from `numbers` on are aligned to the right.
pub(crate) struct Grid {
    table: Table,
    numbers: usize,
}

impl Grid {
    /// An empty table.
    pub(crate) fn new(head: &[&str], numbers: usize) -> Grid {
        let mut table = Table::new();
        table.load_preset(presets::NOTHING);
        let mut grid = Grid { table, numbers };
        let cells = grid.cells(head.iter().map(|it| (*it).to_owned()).collect());
        grid.table.set_header(cells);
        grid
    }

    /// Adds a line.
    pub(crate) fn line(&mut self, cells: Vec<String>) {
        let cells = self.cells(cells);
        self.table.add_row(cells);
    }

    fn cells(&self, texts: Vec<String>) -> Vec<Cell> {
        let align = |(i, text): (usize, String)| match i < self.numbers {
            true => Cell::new(text),
            false => Cell::new(text).set_alignment(CellAlignment::Right),
        };
        texts.into_iter().enumerate().map(align).collect()
    }
}

impl std::fmt::Display for Grid {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for line in self.table.lines() {
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

/// Writes a file.
///
/// # Errors
///
/// The file that cannot be written.
pub(crate) fn write(path: &std::path::Path, text: &str) -> Result<(), Failure> {
    std::fs::write(path, text).map_err(|error| Failure::File(path.to_owned(), error))
}

/// Reads a file, or standard input where the path is `-`.
///
/// # Errors
///
/// The file that cannot be read.
pub(crate) fn read(path: &std::path::Path) -> Result<String, Failure> {
    let text = match path.as_os_str() == "-" {
        true => std::io::read_to_string(std::io::stdin()),
        false => std::fs::read_to_string(path),
    };
    text.map_err(|error| Failure::File(path.to_owned(), error))
}
