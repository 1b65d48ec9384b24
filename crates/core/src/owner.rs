//! The one process that may run a key's request.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Name;

/// A process: an instance between two of its starts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// Name of the instance.
    pub instance: Name,
    /// Drawn at random at every start, so that a restarted instance is another owner.
    pub incarnation: u64,
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:016x}", self.instance, self.incarnation)
    }
}
