//! Model checking for tests: all short histories of a small world, and long ones at random.
//!
//! A [`ModelState`] holds the code under test and a model of its surroundings. [`explore()`] and
//! [`walk()`] search its histories for one that breaks the world's property.

#![warn(missing_docs)]

mod explore;
mod successors;
mod walk;

use std::hash::Hash;

pub use explore::explore;
pub use successors::Successors;
pub use walk::walk;

/// The steps that led to a broken property, the first one first.
pub type History = Vec<&'static str>;

/// A state of the modelled system.
pub trait ModelState: Clone + Hash {
    /// All steps that may be taken next, by name, each with the world after it.
    fn successors(&self) -> Vec<(&'static str, Self)>;

    /// Whether the property under test does not hold here.
    fn violates_property(&self) -> bool;
}

/// The world after a given history.
///
/// # Panics
///
/// If a step of the history cannot be taken where it stands.
pub fn replay<W: ModelState>(start: W, history: &[&str]) -> W {
    history.iter().fold(start, |world, step| {
        let mut successors = world.successors().into_iter();
        let taken = successors.find(|(name, _)| name == step);
        taken
            .unwrap_or_else(|| panic!("{step} cannot happen here"))
            .1
    })
}

/// By what factor the tests explore more than in CI: the variable `COPPERFIELD_MODEL`.
pub fn effort_factor() -> u64 {
    let factor = std::env::var("COPPERFIELD_MODEL").ok();
    factor.and_then(|n| n.parse().ok()).unwrap_or(1)
}
