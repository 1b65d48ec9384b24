//! Exhaustive search of the states of a small model.

use std::{
    cell::Cell,
    hash::{Hash, Hasher},
};

use pathfinding::directed::bfs::bfs;

/// A state, and how it was reached. Only the state counts for equality.
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

/// Result of a search.
pub(crate) struct Report {
    /// Number of states whose successors were computed.
    pub(crate) states: usize,
    /// Largest number of steps to one of them.
    pub(crate) depth: usize,
    /// The shortest sequence of steps to a bad state, if one is reachable.
    pub(crate) counterexample: Option<Vec<String>>,
}

/// Searches the states reachable from `start` breadth-first, up to the first bad one.
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

/// Asserts that no bad state is reachable.
#[track_caller]
pub(crate) fn assert_safe(name: &str, report: &Report) {
    println!("{name}: {} states explored to depth {}", report.states, report.depth);
    assert_eq!(report.counterexample, None, "{name}");
}

/// Asserts that a bad state is reachable, so that the model detects the mutant.
#[track_caller]
pub(crate) fn assert_caught(name: &str, report: &Report) {
    let Some(steps) = &report.counterexample else {
        panic!("{name}: no counterexample in {} states", report.states)
    };
    println!("{name}: caught after {} states: {}", report.states, steps.join(", "));
}
