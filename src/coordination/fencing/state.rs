//! The leader's fencing record on the clock of the core, and the heartbeats that wait for it.

use std::collections::BTreeMap;

use copperfield_fencing::{FencedEntry, FencingRecord, PageWrite, StoredPage};

use crate::coordination::model::Time;
use crate::coordination::time::ceil_ms;
use crate::protocol::worker::Heartbeat;

/// A worker of a stored page, and when it was last answered at the latest.
#[derive(Debug, Clone)]
pub(super) struct AnsweredWorker {
    /// The worker's name.
    pub name: String,
    /// On the clock of the core.
    pub answered_at: Time,
}

/// A heartbeat that is answered later.
#[derive(Debug)]
pub(in crate::coordination) struct DeferredHeartbeat {
    /// Of the request that waits for the answer.
    pub ticket: u64,
    /// The heartbeat as it came.
    pub heartbeat: Heartbeat,
}

/// Which workers are fenced, and which heartbeats wait until theirs may be answered.
#[derive(Debug)]
pub(in crate::coordination) struct Fencing {
    record: FencingRecord,
    /// The last heartbeat of each worker that waits, by its name.
    deferred: BTreeMap<String, DeferredHeartbeat>,
}

impl Fencing {
    /// `value_bytes`: what the state service takes as one value at most.
    pub fn new(value_bytes: usize) -> Self {
        Self {
            record: FencingRecord::new(value_bytes),
            deferred: BTreeMap::new(),
        }
    }

    /// Restores a stored page; `None` if it does not parse.
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

    /// An unresponsive worker is to be on the record, by a write that leaves at `due`.
    pub(super) fn fence(&mut self, worker: &str, answered_at: Time, due: Time) {
        self.record
            .fence(worker, ceil_ms(answered_at), ceil_ms(due));
    }

    /// A worker is to be off the record, by a write that leaves at `due`.
    pub fn release(&mut self, worker: &str, due: Time) {
        self.record.release(worker, ceil_ms(due));
    }

    /// Whether the stored record may name a worker: then it is given no answer and no start.
    pub fn is_fenced(&self, worker: &str) -> bool {
        self.record.is_fenced(worker)
    }

    /// The workers that the record is to name.
    pub(super) fn wanted_workers(&self) -> impl Iterator<Item = &str> {
        self.record.wanted_workers()
    }

    /// The pages that are to be written now, at most `limit` of them.
    pub(super) fn begin_due_writes(&mut self, now: Time, limit: usize) -> Vec<PageWrite> {
        self.record.begin_due_writes(ceil_ms(now), limit)
    }

    /// A write was acknowledged.
    pub(super) fn confirm_write(&mut self, page: u32, version: u64) {
        self.record.confirm_write(page, version);
    }

    /// A write may or may not have been carried out; the page has this version now.
    pub(super) fn retry_write(&mut self, page: u32, version: u64, now: Time) {
        self.record.retry_write(page, version, ceil_ms(now));
    }

    /// Has a heartbeat wait. Returns the one of the same worker that waited before.
    pub fn defer(&mut self, ticket: u64, heartbeat: Heartbeat) -> Option<DeferredHeartbeat> {
        let worker = heartbeat.worker.clone();
        let deferred = DeferredHeartbeat { ticket, heartbeat };
        self.deferred.insert(worker, deferred)
    }

    /// The heartbeats that wait, in the order of their workers' names.
    pub fn take_deferred(&mut self) -> BTreeMap<String, DeferredHeartbeat> {
        std::mem::take(&mut self.deferred)
    }
}
