//! Collects the steps that are possible from a state.

use crate::ModelState;

/// The possible steps from one state, with the states after them.
#[derive(Debug)]
pub struct Successors<'a, S> {
    state: &'a S,
    successors: Vec<(&'static str, S)>,
}

impl<'a, S: ModelState> Successors<'a, S> {
    /// Starts without any step.
    pub fn new(state: &'a S) -> Self {
        Self {
            state,
            successors: Vec::new(),
        }
    }

    /// Adds a step if it is possible. `step` changes a copy of the state, and returns whether the
    /// step is possible there.
    pub fn add(&mut self, name: &'static str, step: impl FnOnce(&mut S) -> bool) {
        let mut next = self.state.clone();
        if step(&mut next) {
            self.successors.push((name, next));
        }
    }

    /// The possible steps, in the order in which they were added.
    pub fn into_vec(self) -> Vec<(&'static str, S)> {
        self.successors
    }
}
