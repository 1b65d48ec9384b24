//! Exhaustive search of a small specification's states.

use std::{
    cell::Cell,
    hash::{Hash, Hasher},
};

use pathfinding::directed::bfs::bfs;

/// A state with how it was reached, which does not tell states apart.
#[derive(Clone)]
struct Node<S> {
    state: S,
    step: String,
    depth: usize,
}

impl<S: PartialEq> PartialEq for Node<S> {
    fn eq(&self, other: &Node<S>) -> bool {
        self.state == other.state
    }
}

impl<S: Eq> Eq for Node<S> {}

impl<S: Hash> Hash for Node<S> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// What a search found.
pub(crate) struct Report {
    /// States whose successors were worked out.
    pub(crate) states: usize,
    /// Steps to the farthest of them.
    pub(crate) depth: usize,
    /// The shortest way to a state that must not be.
    pub(crate) counterexample: Option<Vec<String>>,
}

/// Breadth-first search of all states from `start`.
pub(crate) fn search<S: Clone + Eq + Hash>(
    start: S,
    successors: impl Fn(&S) -> Vec<(String, S)>,
    is_bad: impl Fn(&S) -> bool,
) -> Report {
    let states = Cell::new(0);
    let depth = Cell::new(0);
    let expand = |node: &Node<S>| {
        states.set(states.get() + 1);
        depth.set(depth.get().max(node.depth));
        let next = successors(&node.state);
        let next_depth = node.depth + 1;
        next.into_iter().map(move |(step, state)| Node { state, step, depth: next_depth })
    };
    let start = Node { state: start, step: "start".to_owned(), depth: 0 };
    let path = bfs(&start, expand, |node| is_bad(&node.state));
    let steps = |path: Vec<Node<S>>| path.into_iter().skip(1).map(|it| it.step).collect();
    Report { states: states.get(), depth: depth.get(), counterexample: path.map(steps) }
}

/// Demands that nothing bad can happen.
#[track_caller]
pub(crate) fn assert_safe(name: &str, report: &Report) {
    println!("{name}: {} states explored to depth {}", report.states, report.depth);
    assert_eq!(report.counterexample, None, "{name}");
}

/// Demands that the search finds what is wrong with a mutant.
#[track_caller]
pub(crate) fn assert_caught(name: &str, report: &Report) {
    let Some(steps) = &report.counterexample else {
        panic!("{name}: no counterexample in {} states", report.states)
    };
    println!("{name}: caught after {} states: {}", report.states, steps.join(", "));
}
