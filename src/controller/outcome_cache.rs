//! A bounded cache of job outcomes, from which any controller answers polls of finished jobs.

use std::collections::{HashMap, VecDeque};

use crate::protocol::JobId;
use crate::protocol::job::JobOutcome;

const CAPACITY: usize = 4096;

/// A cache of job outcomes that evicts the oldest one first.
#[derive(Default)]
pub struct OutcomeCache {
    outcomes: HashMap<JobId, JobOutcome>,
    /// Oldest first.
    insertion_order: VecDeque<JobId>,
}

impl OutcomeCache {
    /// The outcome of a job, if it is cached.
    pub fn get(&self, job: JobId) -> Option<JobOutcome> {
        self.outcomes.get(&job).copied()
    }

    /// Caches an outcome, and evicts the oldest one if the cache is full.
    pub fn insert(&mut self, job: JobId, outcome: JobOutcome) {
        if self.outcomes.insert(job, outcome).is_some() {
            return;
        }
        self.insertion_order.push_back(job);
        if self.insertion_order.len() > CAPACITY
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }
}
