//! Parses the cells of a row, and collects every problem instead of stopping at the first.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use crate::check::Problem;

/// The maximum length of a name in bytes, so that names fit into log lines and object keys.
const MAX_NAME_BYTES: usize = 63;

/// Parses the cells of one row by the column names of its section.
pub(crate) struct RowReader<'a> {
    pub(crate) line: usize,
    pub(crate) columns: &'a [String],
    pub(crate) cells: &'a [String],
    pub(crate) problems: &'a mut Vec<Problem>,
}

impl RowReader<'_> {
    /// Returns the text of a cell, empty if the row ends before its column.
    pub(crate) fn text(&self, column: &str) -> String {
        let index = self.columns.iter().position(|c| c == column);
        index.and_then(|i| self.cells.get(i)).cloned().unwrap_or_default()
    }

    /// Adds a problem with a column's value.
    pub(crate) fn add_problem(&mut self, column: &str, allowed: &str) {
        let found = self.text(column);
        self.problems.push(Problem::new(self.line, column, &found, allowed));
    }

    /// Parses a name of lower-case letters, digits and dashes.
    pub(crate) fn name(&mut self, column: &str) -> Arc<str> {
        let text = self.text(column);
        let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.chars().all(is_allowed) {
            self.add_problem(column, "1 to 63 of a-z, 0-9 and -");
        }
        Arc::from(text)
    }

    /// Parses an integer within `range`.
    pub(crate) fn number(&mut self, column: &str, range: RangeInclusive<u32>) -> u32 {
        let number = self.text(column).parse::<u32>().ok().filter(|n| range.contains(n));
        let Some(number) = number else {
            self.add_problem(
                column,
                &format!("a whole number from {} to {}", range.start(), range.end()),
            );
            return *range.start();
        };
        number
    }

    /// Parses an integer number of milliseconds within `range`.
    pub(crate) fn millis(&mut self, column: &str, range: RangeInclusive<u32>) -> Duration {
        Duration::from_millis(u64::from(self.number(column, range)))
    }

    /// Parses `yes` or `no`.
    pub(crate) fn flag(&mut self, column: &str) -> bool {
        self.choice(column, &[("yes", true), ("no", false)])
    }

    /// Parses one of several keywords.
    pub(crate) fn choice<T: Copy>(&mut self, column: &str, choices: &[(&str, T)]) -> T {
        let text = self.text(column);
        for (keyword, value) in choices {
            if text == *keyword {
                return *value;
            }
        }
        let keywords: Vec<&str> = choices.iter().map(|(keyword, _)| *keyword).collect();
        self.add_problem(column, &keywords.join(" or "));
        choices[0].1
    }

    /// Parses an IP address and port.
    pub(crate) fn address(&mut self, column: &str) -> SocketAddr {
        let Ok(address) = self.text(column).parse() else {
            self.add_problem(column, "an IP address and port, such as 192.0.2.7:5432");
            return SocketAddr::from(([0, 0, 0, 0], 0));
        };
        address
    }
}
