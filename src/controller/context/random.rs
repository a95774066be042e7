//! The random number generator of a controller process.

use std::sync::Mutex;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// A seeded random number generator that the controller's tasks share.
#[derive(Debug)]
pub struct SharedRandom {
    generator: Mutex<StdRng>,
}

impl SharedRandom {
    pub(super) fn seeded(seed: u64) -> Self {
        Self {
            generator: Mutex::new(StdRng::seed_from_u64(seed)),
        }
    }

    pub(super) fn below(&self, bound: u64) -> u64 {
        let mut generator = self.generator.lock().expect("no panic while held");
        generator.random_range(0..bound)
    }
}
