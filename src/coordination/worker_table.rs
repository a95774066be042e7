//! The workers known to this leader, by index and by name.

use std::collections::{BTreeSet, HashMap};

use super::model::{Slab, Worker};

/// Workers by index and by name, and the names of workers that were scaled in.
#[derive(Debug, Default)]
pub(super) struct WorkerTable {
    workers: Slab<Worker>,
    by_name: HashMap<String, u32>,
    /// Late heartbeats of these workers are refused. Names are never reused.
    scaled_in: BTreeSet<String>,
}

impl WorkerTable {
    /// Adds a worker and returns its index.
    pub(super) fn insert(&mut self, worker: Worker) -> u32 {
        let name = worker.name.clone();
        let index = self.workers.insert(worker);
        self.by_name.insert(name, index);
        index
    }

    /// Removes a worker. Its index may be reused.
    pub(super) fn remove(&mut self, index: u32) {
        if let Some(worker) = self.workers.remove(index) {
            self.by_name.remove(&worker.name);
        }
    }

    /// Records that this worker was scaled in.
    pub(super) fn record_scaled_in(&mut self, name: &str) {
        self.scaled_in.insert(name.to_string());
    }

    /// Whether this worker was scaled in.
    pub(super) fn is_scaled_in(&self, name: &str) -> bool {
        self.scaled_in.contains(name)
    }

    /// The index of a worker.
    pub(super) fn index_of(&self, name: &str) -> Option<u32> {
        self.by_name.get(name).copied()
    }

    /// Whether a worker of this name is known.
    pub(super) fn contains(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    /// The names of all workers, in arbitrary order.
    pub(super) fn names(&self) -> impl Iterator<Item = &str> {
        self.by_name.keys().map(String::as_str)
    }

    /// All workers with their indices, in ascending order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u32, &Worker)> {
        self.workers.iter()
    }

    /// Mutable references to all workers, with their indices, in ascending order.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (u32, &mut Worker)> {
        self.workers.iter_mut()
    }

    /// All indices in ascending order, for loops that change the table.
    pub(super) fn indices(&self) -> Vec<u32> {
        self.workers.indices()
    }
}

impl std::ops::Index<u32> for WorkerTable {
    type Output = Worker;
    fn index(&self, index: u32) -> &Worker {
        &self.workers[index]
    }
}

impl std::ops::IndexMut<u32> for WorkerTable {
    fn index_mut(&mut self, index: u32) -> &mut Worker {
        &mut self.workers[index]
    }
}
