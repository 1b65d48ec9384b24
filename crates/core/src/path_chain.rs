//! The way to a value while it is being read.

use crate::finding::{Path, PathSegment};

/// The way to a value while it is being read.
pub(crate) struct PathChain<'a> {
    pub(crate) parent: Option<&'a PathChain<'a>>,
    pub(crate) step: Option<PathSegment>,
}

impl PathChain<'_> {
    /// The path from the root.
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
