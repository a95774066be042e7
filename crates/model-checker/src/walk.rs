//! Random search.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::{History, ModelState};

/// Takes `walks` random histories, each until no step is possible or `max_steps` steps were taken.
/// The seed of each history is its number.
///
/// Returns the total number of steps.
///
/// # Errors
///
/// The first history that violates the property.
pub fn walk<S: ModelState>(start: &S, walks: u64, max_steps: usize) -> Result<usize, History> {
    let mut steps = 0;
    for seed in 0..walks {
        steps += walk_once(start, seed, max_steps)?;
    }
    Ok(steps)
}

fn walk_once<S: ModelState>(start: &S, seed: u64, max_steps: usize) -> Result<usize, History> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut state = start.clone();
    let mut history = Vec::new();
    while history.len() < max_steps {
        let mut successors = state.successors();
        if successors.is_empty() {
            break;
        }
        let (name, next) = successors.swap_remove(rng.random_range(0..successors.len()));
        history.push(name);
        state = next;
        if state.violates_property() {
            return Err(history);
        }
    }
    Ok(history.len())
}
