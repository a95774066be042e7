//! Breadth-first search through all histories.

use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hasher};

use crate::{History, ModelState};

/// The step that first led to a world, and the position of the step before it.
struct Step {
    name: &'static str,
    previous: usize,
}

/// Stands for the start, which no step led to.
const START: usize = 0;

/// A world whose successors are to be explored.
struct Visit<W> {
    world: W,
    step: usize,
    depth: usize,
}

/// Explores all histories until more than `states` different worlds were seen.
///
/// Returns up to which depth all histories were explored, `usize::MAX` if there are no more
/// worlds, or the shortest history that breaks the property.
pub fn explore<W: ModelState>(start: W, states: usize) -> Result<usize, History> {
    let mut seen = HashSet::from([fingerprint(&start)]);
    let mut steps = vec![Step {
        name: "",
        previous: START,
    }];
    let mut queue = VecDeque::from([Visit {
        world: start,
        step: START,
        depth: 0,
    }]);
    while let Some(Visit { world, step, depth }) = queue.pop_front() {
        if world.violates_property() {
            return Err(history_to(step, &steps));
        }
        if seen.len() > states {
            return Ok(depth);
        }
        for (name, next) in world.successors() {
            if seen.insert(fingerprint(&next)) {
                steps.push(Step {
                    name,
                    previous: step,
                });
                queue.push_back(Visit {
                    world: next,
                    step: steps.len() - 1,
                    depth: depth + 1,
                });
            }
        }
    }
    Ok(usize::MAX)
}

fn fingerprint<W: ModelState>(world: &W) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}

fn history_to(mut step: usize, steps: &[Step]) -> History {
    let mut history = Vec::new();
    while step != START {
        history.push(steps[step].name);
        step = steps[step].previous;
    }
    history.reverse();
    history
}
