//! Error of a streamed body that ends before it is complete.

use std::fmt;

/// A streamed body ended before it was complete.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyAborted;

impl fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response could not be completed")
    }
}

impl std::error::Error for BodyAborted {}
