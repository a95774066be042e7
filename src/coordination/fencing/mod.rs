//! The fencing record of unresponsive workers. It tells the next leader when their leases end, so
//! that the next leader need not count them from its own election.
//!
//! Until its removal from the record is stored, a fenced worker gets no answers, because an answer
//! renews its lease, and no starts, because a started task could run under a lease of which this
//! leader does not know when it began. The only exception is answers under a lease extension that
//! all other controllers have voted for: each of them remembers its vote and, as the next leader,
//! allows for such answers.

mod state;

use copperfield_fencing::PageWrite;

use crate::protocol::worker::Heartbeat;
use crate::storage::writer::{Write, WriteOutcome};
use crate::storage::{FencedWorker, StoredFencingPage};

use super::messages::{Effect, HeartbeatRefusal};
use super::model::*;
use super::persistence::WriteBatch;
use super::state::Core;
use super::time::ceil_ms;

use state::AnsweredWorker;
pub(super) use state::{DeferredHeartbeat, Fencing};

/// Delay before an unresponsive worker is fenced. Workers often become unresponsive together, and
/// the delay lets them share one write to the state service.
const FENCE_DELAY_S: Time = 0.6;
/// Delay before a worker without task instances is removed from the record. Its entry does not
/// affect the next leader.
const RELEASE_DELAY_S: Time = 5.0;
/// The size that a page is assumed to have when the pages that fit a transaction are counted.
const PAGE_BYTES: usize = 8 * 1024;
/// Size of a worker's entry in a page, without its name.
const ENTRY_OVERHEAD_BYTES: usize = 20;

impl Core {
    /// Whether the settings bound the clock error. Without a bound, the times in a stored record
    /// prove nothing.
    fn clocks_are_bounded(&self) -> bool {
        self.config.cluster.clock_error_ms > 0.0
    }

    /// Restores the record of earlier leaders. Its workers stay fenced. Each was last answered at
    /// the recorded time, or later under a lease extension that this controller voted for.
    pub(super) fn restore_fencing(
        &mut self,
        stored: Vec<StoredFencingPage>,
        vote_binding_until: Time,
    ) {
        let mut restored = 0;
        for page in stored {
            let answered = |worker: FencedWorker| AnsweredWorker {
                answered_at: self.answered_by_record(worker.age_ms, vote_binding_until),
                name: worker.name,
            };
            let workers: Option<Vec<_>> = page
                .workers
                .map(|all| all.into_iter().map(answered).collect());
            for worker in workers.iter().flatten() {
                if let Some(worker_index) = self.workers.index_of(&worker.name) {
                    self.workers[worker_index].answered_at = Some(worker.answered_at);
                    restored += 1;
                }
            }
            let now = self.now;
            self.fencing.restore(page.page, page.version, workers, now);
        }
        self.update_fenced_workers();
        self.release_unknown_workers();
        if restored > 0 {
            tracing::info!(workers = restored, "workers fenced before the election");
        }
    }

    /// The latest time at which a worker on the record can have been answered.
    fn answered_by_record(&self, age_ms: u64, vote_binding_until: Time) -> Time {
        if self.clocks_are_bounded() {
            (self.now - age_ms as f64 / 1000.0).max(vote_binding_until)
        } else {
            self.now
        }
    }

    /// Removes workers from the record that the worker registry no longer names.
    fn release_unknown_workers(&mut self) {
        let workers = self.fencing.wanted_workers();
        let unknown: Vec<String> = workers
            .filter(|worker| !self.workers.contains(worker))
            .map(str::to_string)
            .collect();
        for worker in unknown {
            self.fencing.release(&worker, self.now + RELEASE_DELAY_S);
        }
    }

    /// Updates each worker's `fenced` flag from the record.
    fn update_fenced_workers(&mut self) {
        for (_, worker) in self.workers.iter_mut() {
            worker.fenced = self.fencing.is_fenced(&worker.name);
        }
    }

    /// Adds workers whose heartbeats are overdue to the record.
    pub(super) fn fence_unresponsive_workers(&mut self) {
        if !self.clocks_are_bounded() {
            return;
        }
        let due = self.now + FENCE_DELAY_S;
        for (_, worker) in self.workers.iter() {
            if !self.should_be_fenced(worker) {
                continue;
            }
            // While a shard owner may still answer the worker, its last answer is not known.
            if let Some(answered_at) = self.latest_possible_answer(worker) {
                self.fencing.fence(&worker.name, answered_at, due);
            }
        }
    }

    fn should_be_fenced(&self, worker: &Worker) -> bool {
        let expired = worker.incarnation > 0 && worker.incarnation <= worker.expired_incarnation;
        if worker.fenced || worker.page.is_none() || expired || worker.scaling_in {
            return false;
        }
        let last_heartbeat_at = worker
            .last_heartbeat_at
            .unwrap_or(self.expecting_heartbeats_since);
        self.now - last_heartbeat_at > self.unresponsive_after_s()
    }

    /// Releases the worker from the record, and returns the heartbeat if it may be answered now.
    /// Otherwise the answer is deferred until the worker's removal from the record is stored.
    pub(super) fn defer_if_fenced(
        &mut self,
        worker_index: u32,
        ticket: u64,
        heartbeat: Heartbeat,
    ) -> Option<Heartbeat> {
        let worker = &mut self.workers[worker_index];
        worker.last_heartbeat_at = Some(self.now);
        worker.reported_at = Some(self.now);
        self.fencing.release(&worker.name, self.now);
        if !worker.fenced || self.now < self.lease_extended_until {
            return Some(heartbeat);
        }
        self.defer_answer(ticket, heartbeat);
        None
    }

    /// Defers the answer to a heartbeat. An earlier deferred heartbeat of the same worker is
    /// refused.
    pub(super) fn defer_answer(&mut self, ticket: u64, heartbeat: Heartbeat) {
        let log = &mut self.reconciliation.lease_log;
        log.record_deferral(self.now, &heartbeat.worker);
        if let Some(DeferredHeartbeat { ticket, .. }) = self.fencing.defer(ticket, heartbeat) {
            let reason = HeartbeatRefusal::Overtaken;
            self.effects
                .push(Effect::RefuseHeartbeat { ticket, reason });
        }
    }

    /// Removes a worker from the record that certainly has no task instances any more.
    pub(super) fn unfence_worker(&mut self, worker_index: u32) {
        let due = self.now + RELEASE_DELAY_S;
        self.fencing.release(&self.workers[worker_index].name, due);
    }

    /// Adds the pages that are due to a batch. Their workers are fenced from now on.
    pub(super) fn add_fencing_writes(&mut self, batch: &mut WriteBatch) {
        let limit = batch.room_for_values_of(PAGE_BYTES);
        for page in self.fencing.begin_due_writes(self.now, limit) {
            let mut bytes = 0;
            for entry in &page.entries {
                if let Some(worker_index) = self.workers.index_of(&entry.worker) {
                    self.workers[worker_index].fenced = true;
                }
                bytes += entry.worker.len() + ENTRY_OVERHEAD_BYTES;
            }
            batch.push(self.fencing_write(page), bytes);
        }
    }

    fn fencing_write(&self, page: PageWrite) -> Write {
        let now_ms = ceil_ms(self.now);
        let workers = page.entries.into_iter().map(|entry| FencedWorker {
            name: entry.worker,
            age_ms: now_ms.saturating_sub(entry.answered_at_ms),
        });
        Write::FencingRecord {
            page: page.page,
            workers: workers.collect(),
            version: page.version,
        }
    }

    /// Handles the result of writing a page.
    pub(super) fn handle_fencing_result(&mut self, page: u32, written: &WriteOutcome) {
        match written {
            WriteOutcome::Stored { version } => self.fencing.confirm_write(page, *version),
            WriteOutcome::Retry { version } => {
                return self.fencing.retry_write(page, *version, self.now);
            }
            WriteOutcome::JobAlreadyEnded(_) => return,
        }
        self.update_fenced_workers();
        self.answer_deferred_heartbeats();
        let workers = self.fencing.wanted_workers().count();
        tracing::debug!(page, workers, "fencing record stored");
    }
}
