//! Explores all short histories of a small world, and long ones at random.
//!
//! For tests: a world holds the code under test and stand-ins of what is around it.

use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// What led to a broken property, the first step first.
pub type History = Vec<&'static str>;

pub trait World: Clone + Hash {
    /// All that may happen next, by what it is called.
    fn next(&self) -> Vec<(&'static str, Self)>;

    /// Whether the property does not hold here.
    fn broken(&self) -> bool;
}

/// All histories until `states` different states were seen: how many steps deep all of them
/// were explored (`usize::MAX`: there are no more states), or the shortest one that breaks the
/// property.
pub fn explore<W: World>(start: W, states: usize) -> Result<usize, History> {
    let key = |w: &W| {
        let mut hasher = DefaultHasher::new();
        w.hash(&mut hasher);
        hasher.finish()
    };
    let mut seen = HashSet::from([key(&start)]);
    // What led to each, and from where.
    let mut steps = vec![(0, "")];
    let mut queue = VecDeque::from([(start, 0, 0)]);
    while let Some((world, mut at, depth)) = queue.pop_front() {
        if world.broken() {
            let mut history = Vec::new();
            while at > 0 {
                let (from, what) = steps[at];
                history.push(what);
                at = from;
            }
            history.reverse();
            return Err(history);
        }
        if seen.len() > states {
            return Ok(depth);
        }
        for (what, next) in world.next() {
            if seen.insert(key(&next)) {
                steps.push((at, what));
                queue.push_back((next, steps.len() - 1, depth + 1));
            }
        }
    }
    Ok(usize::MAX)
}

/// Random histories to their end, or of `limit` steps each: how many steps were taken, or one
/// that breaks the property.
pub fn walk<W: World>(start: &W, walks: u64, limit: usize) -> Result<usize, History> {
    let mut taken = 0;
    for seed in 0..walks {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = start.clone();
        let mut history = Vec::new();
        while history.len() < limit {
            let mut next = world.next();
            if next.is_empty() {
                break;
            }
            let (what, then) = next.swap_remove(rng.random_range(0..next.len()));
            history.push(what);
            world = then;
            taken += 1;
            if world.broken() {
                return Err(history);
            }
        }
    }
    Ok(taken)
}

/// What has come of a history that is possible.
pub fn after<W: World>(start: W, history: &[&str]) -> W {
    history.iter().fold(start, |world, step| {
        let mut next = world.next().into_iter();
        let then = next.find(|(what, _)| what == step);
        then.unwrap_or_else(|| panic!("{step} cannot happen here"))
            .1
    })
}

/// `COPPERFIELD_MODEL=20` explores twenty times as much as CI does.
pub fn effort() -> u64 {
    let asked = std::env::var("COPPERFIELD_MODEL").ok();
    asked.and_then(|n| n.parse().ok()).unwrap_or(1)
}
