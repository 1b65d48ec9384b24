//! Path to the value that is being deserialized.

use crate::finding::{Path, PathSegment};

/// Path to the value that is being deserialized, as a list of segments linked from the value back
/// to the root.
pub(crate) struct PathChain<'a> {
    pub(crate) parent: Option<&'a PathChain<'a>>,
    pub(crate) step: Option<PathSegment>,
}

impl PathChain<'_> {
    /// Collects the path from the root.
    pub(crate) fn path(&self) -> Path {
        let mut steps = Vec::new();
        let mut chain = Some(self);
        while let Some(it) = chain {
            steps.extend(it.step.clone());
            chain = it.parent;
        }
        steps.reverse();
        Path(steps)
    }
}
