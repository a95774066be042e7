//! The leader's fencing record, with times on the core's clock, and the heartbeats whose answers
//! are deferred.

use std::collections::BTreeMap;

use copperfield_fencing::{FencedEntry, FencingRecord, PageWrite, StoredPage};

use crate::coordination::model::Time;
use crate::coordination::time::ceil_ms;
use crate::protocol::worker::Heartbeat;

/// A worker of a stored page, and the latest time at which it can have been answered.
#[derive(Debug, Clone)]
pub(super) struct AnsweredWorker {
    /// The worker's name.
    pub name: String,
    /// Time of the answer on the core's clock.
    pub answered_at: Time,
}

/// A heartbeat whose answer is deferred.
#[derive(Debug)]
pub(in crate::coordination) struct DeferredHeartbeat {
    /// Ticket of the request that waits for the answer.
    pub ticket: u64,
    /// The heartbeat as received.
    pub heartbeat: Heartbeat,
}

/// The fenced workers and the deferred heartbeats.
#[derive(Debug)]
pub(in crate::coordination) struct Fencing {
    record: FencingRecord,
    /// The latest deferred heartbeat of each worker, by name.
    deferred: BTreeMap<String, DeferredHeartbeat>,
}

impl Fencing {
    /// Creates an empty record. `value_bytes` is the maximum size of a value in the state service.
    pub fn new(value_bytes: usize) -> Self {
        Self {
            record: FencingRecord::new(value_bytes),
            deferred: BTreeMap::new(),
        }
    }

    /// Restores a stored page. `workers` is `None` if the page does not parse.
    pub(super) fn restore(
        &mut self,
        page: u32,
        version: u64,
        workers: Option<Vec<AnsweredWorker>>,
        now: Time,
    ) {
        let entry = |worker: AnsweredWorker| FencedEntry {
            worker: worker.name,
            answered_at_ms: ceil_ms(worker.answered_at),
        };
        let stored = StoredPage {
            page,
            version,
            entries: workers.map(|all| all.into_iter().map(entry).collect()),
        };
        self.record.restore(stored, ceil_ms(now));
    }

    /// Adds an unresponsive worker to the record, with a write that is due at `due`.
    pub(super) fn fence(&mut self, worker: &str, answered_at: Time, due: Time) {
        self.record
            .fence(worker, ceil_ms(answered_at), ceil_ms(due));
    }

    /// Removes a worker from the record, with a write that is due at `due`.
    pub fn release(&mut self, worker: &str, due: Time) {
        self.record.release(worker, ceil_ms(due));
    }

    /// Whether the stored record may name a worker. Such a worker gets no answers and no starts.
    pub fn is_fenced(&self, worker: &str) -> bool {
        self.record.is_fenced(worker)
    }

    /// The workers that the record should name.
    pub(super) fn wanted_workers(&self) -> impl Iterator<Item = &str> {
        self.record.wanted_workers()
    }

    /// Begins the writes of the pages that are due, at most `limit` of them.
    pub(super) fn begin_due_writes(&mut self, now: Time, limit: usize) -> Vec<PageWrite> {
        self.record.begin_due_writes(ceil_ms(now), limit)
    }

    /// Records that a write was acknowledged.
    pub(super) fn confirm_write(&mut self, page: u32, version: u64) {
        self.record.confirm_write(page, version);
    }

    /// Schedules a page to be written again after a write of unknown outcome. `version` is the
    /// current version of the stored page.
    pub(super) fn retry_write(&mut self, page: u32, version: u64, now: Time) {
        self.record.retry_write(page, version, ceil_ms(now));
    }

    /// Defers a heartbeat. Returns the previously deferred heartbeat of the same worker, if any.
    pub fn defer(&mut self, ticket: u64, heartbeat: Heartbeat) -> Option<DeferredHeartbeat> {
        let worker = heartbeat.worker.clone();
        let deferred = DeferredHeartbeat { ticket, heartbeat };
        self.deferred.insert(worker, deferred)
    }

    /// Takes all deferred heartbeats, in the order of the worker names.
    pub fn take_deferred(&mut self) -> BTreeMap<String, DeferredHeartbeat> {
        std::mem::take(&mut self.deferred)
    }
}
