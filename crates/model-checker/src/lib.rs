//! Model checking for tests: searches all short histories of a small system, and long ones at
//! random.
//!
//! A [`ModelState`] holds the code under test and a model of its environment. [`explore()`] and
//! [`walk()`] search the histories of the system for one that violates the property under test.

#![warn(missing_docs)]

mod explore;
mod successors;
mod walk;

use std::hash::Hash;

pub use explore::explore;
pub use successors::Successors;
pub use walk::walk;

/// The names of the steps that were taken from the start, in order.
pub type History = Vec<&'static str>;

/// A state of the modelled system.
pub trait ModelState: Clone + Hash {
    /// All steps that are possible from this state, each with its name and the state after it.
    fn successors(&self) -> Vec<(&'static str, Self)>;

    /// Whether this state violates the property under test.
    fn violates_property(&self) -> bool;
}

/// Applies a history and returns the state after it.
///
/// # Panics
///
/// If a step of the history is not possible in the state before it.
pub fn replay<S: ModelState>(start: S, history: &[&str]) -> S {
    history.iter().fold(start, |state, step| {
        let mut successors = state.successors().into_iter();
        let taken = successors.find(|(name, _)| name == step);
        taken
            .unwrap_or_else(|| panic!("step {step:?} is not possible here"))
            .1
    })
}

/// The factor by which tests explore more than in CI, from the environment variable
/// `COPPERFIELD_MODEL`. The default is 1.
pub fn effort_factor() -> u64 {
    let factor = std::env::var("COPPERFIELD_MODEL").ok();
    factor.and_then(|n| n.parse().ok()).unwrap_or(1)
}
