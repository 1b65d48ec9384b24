//! The way to a value while it is being read.

use crate::finding::{Path, PathSegment};

/// The way to a value while it is being read.
pub(crate) struct Trail<'a> {
    pub(crate) parent: Option<&'a Trail<'a>>,
    pub(crate) step: Option<PathSegment>,
}

impl Trail<'_> {
    /// The path from the root.
    pub(crate) fn path(&self) -> Path {
        let mut steps = Vec::new();
        let mut trail = Some(self);
        while let Some(it) = trail {
            steps.extend(it.step.clone());
            trail = it.parent;
        }
        steps.reverse();
        Path(steps)
    }
}
