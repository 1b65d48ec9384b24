//! Owner of an idempotency key: the only process that may execute its request.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Name;

/// One run of an instance's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// Name of the instance.
    pub instance: Name,
    /// Random number drawn at each start, so that a restarted instance is a different owner.
    pub incarnation: u64,
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:016x}", self.instance, self.incarnation)
    }
}
