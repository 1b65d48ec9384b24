//! Bounds the log lines about records that cannot be decoded: another writer may leave thousands.

/// Maximum number of lines for the records of one read.
const MAX_LINES: usize = 20;

/// Counts the records of one read that would each be logged.
#[derive(Debug, Default)]
pub(crate) struct LineLimit {
    records: usize,
}

impl LineLimit {
    /// Counts a record and returns whether it gets a line.
    pub(crate) fn admit(&mut self) -> bool {
        self.records += 1;
        self.records <= MAX_LINES
    }

    /// Ends the read. Returns the number of its records that got no line, if there are any.
    pub(crate) fn end_read(&mut self) -> Option<usize> {
        let left_out = std::mem::take(&mut self.records).saturating_sub(MAX_LINES);
        (left_out > 0).then_some(left_out)
    }
}
