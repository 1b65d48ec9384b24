//! Line ends and status in the head of a response.
//!
//! HTTP libraries take a lone line feed for the end of a line. Two of them then end a head that its sender did
//! not end: the rest of the head is read as the body, and a head that was cut counts as whole.

use std::fmt;

/// Bytes of a status line up to the end of the status, as in `HTTP/1.1 200`.
const STATUS_BYTES: usize = 12;

/// Whether a number is the status of a response (RFC 9110, section 15). HTTP libraries take any three digits
/// that do not begin with 0.
pub fn is_valid_status(status: u16) -> bool {
    (100..600).contains(&status)
}

/// Follows the bytes of a response up to the end of its head, over interim responses.
#[derive(Clone, Debug, Default)]
pub struct HeadScanner {
    /// Bytes of the current line so far.
    line_bytes: usize,
    last_byte: u8,
    /// Beginning of the first line that is not empty.
    status_line: [u8; STATUS_BYTES],
    has_status_line: bool,
    is_over: bool,
}

/// A line of the head ends without a carriage return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoneLineFeed;

impl fmt::Display for LoneLineFeed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a line of the head of a response ends without a carriage return")
    }
}

impl std::error::Error for LoneLineFeed {}

impl HeadScanner {
    /// Adds bytes as they came. Those after the head are passed over.
    ///
    /// # Errors
    /// A line of the head ends in a line feed alone.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), LoneLineFeed> {
        for &byte in bytes {
            if self.is_over {
                break;
            }
            if byte == b'\n' {
                self.end_line()?;
            } else {
                if !self.has_status_line && self.line_bytes < STATUS_BYTES {
                    self.status_line[self.line_bytes] = byte;
                }
                self.line_bytes += 1;
                self.last_byte = byte;
            }
        }
        Ok(())
    }

    /// Whether the head has ended.
    pub fn is_over(&self) -> bool {
        self.is_over
    }

    fn end_line(&mut self) -> Result<(), LoneLineFeed> {
        if self.line_bytes == 0 || self.last_byte != b'\r' {
            return Err(LoneLineFeed);
        }
        let is_empty = self.line_bytes == 1;
        self.line_bytes = 0;
        match (is_empty, self.has_status_line) {
            (true, true) if self.is_interim() => *self = HeadScanner::default(),
            (true, true) => self.is_over = true,
            // Empty lines may precede a response.
            (true, false) => {}
            (false, _) => self.has_status_line = true,
        }
        Ok(())
    }

    /// Whether another head follows: the status is 1xx, but not that of a change of protocol.
    fn is_interim(&self) -> bool {
        let status = &self.status_line[STATUS_BYTES - 3..];
        status.starts_with(b"1") && status != b"101"
    }
}
