//! Collects the steps that may be taken next in a world.

use crate::ModelState;

/// The steps that may be taken from one world, and the worlds after them.
#[derive(Debug)]
pub struct Successors<'a, W> {
    world: &'a W,
    taken: Vec<(&'static str, W)>,
}

impl<'a, W: ModelState> Successors<'a, W> {
    /// No steps yet.
    pub fn new(world: &'a W) -> Self {
        Self {
            world,
            taken: Vec::new(),
        }
    }

    /// Adds a step, if it may be taken: `step` changes a copy of the world, and returns whether
    /// it was possible there.
    pub fn add(&mut self, name: &'static str, step: impl FnOnce(&mut W) -> bool) {
        let mut next = self.world.clone();
        if step(&mut next) {
            self.taken.push((name, next));
        }
    }

    /// All possible steps, in the order in which they were added.
    pub fn into_vec(self) -> Vec<(&'static str, W)> {
        self.taken
    }
}
