//! Random histories.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::{History, ModelState};

/// Takes `walks` random histories to their end, or to `limit` steps each. The seed of each is its
/// number.
///
/// Returns how many steps were taken, or a history that breaks the property.
pub fn walk<W: ModelState>(start: &W, walks: u64, limit: usize) -> Result<usize, History> {
    let mut taken = 0;
    for seed in 0..walks {
        taken += walk_once(start, seed, limit)?;
    }
    Ok(taken)
}

fn walk_once<W: ModelState>(start: &W, seed: u64, limit: usize) -> Result<usize, History> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = start.clone();
    let mut history = Vec::new();
    while history.len() < limit {
        let mut successors = world.successors();
        if successors.is_empty() {
            break;
        }
        let (name, next) = successors.swap_remove(rng.random_range(0..successors.len()));
        history.push(name);
        world = next;
        if world.violates_property() {
            return Err(history);
        }
    }
    Ok(history.len())
}
