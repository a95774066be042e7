//! Breadth-first search through all histories.

use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hasher};

use crate::{History, ModelState};

/// The step that first led to a state, with the index of the step before it.
struct Step {
    name: &'static str,
    previous: usize,
}

/// The index that stands for the start, to which no step leads.
const INITIAL_STEP: usize = 0;

/// A state that has been reached and is still to be checked and expanded.
struct PendingState<S> {
    state: S,
    step: usize,
    depth: usize,
}

/// Explores all histories, breadth first, until more than `max_states` distinct states were
/// reached.
///
/// Returns the depth up to which all histories were explored, or `usize::MAX` if all reachable
/// states were explored.
///
/// # Errors
///
/// The shortest history that violates the property.
pub fn explore<S: ModelState>(start: S, max_states: usize) -> Result<usize, History> {
    let mut fingerprints = HashSet::from([fingerprint(&start)]);
    let mut steps = vec![Step {
        name: "",
        previous: INITIAL_STEP,
    }];
    let mut queue = VecDeque::from([PendingState {
        state: start,
        step: INITIAL_STEP,
        depth: 0,
    }]);
    while let Some(PendingState { state, step, depth }) = queue.pop_front() {
        if state.violates_property() {
            return Err(history_to(step, &steps));
        }
        if fingerprints.len() > max_states {
            return Ok(depth);
        }
        for (name, next) in state.successors() {
            if fingerprints.insert(fingerprint(&next)) {
                steps.push(Step {
                    name,
                    previous: step,
                });
                queue.push_back(PendingState {
                    state: next,
                    step: steps.len() - 1,
                    depth: depth + 1,
                });
            }
        }
    }
    Ok(usize::MAX)
}

fn fingerprint<S: ModelState>(state: &S) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}

fn history_to(mut step: usize, steps: &[Step]) -> History {
    let mut history = Vec::new();
    while step != INITIAL_STEP {
        history.push(steps[step].name);
        step = steps[step].previous;
    }
    history.reverse();
    history
}
