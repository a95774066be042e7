//! The fencing record of unresponsive workers, by which the next leader knows when their leases
//! end and need not count them from its own election.
//!
//! A fenced worker gets no answer, which would renew its lease, and no start, which a lease that
//! began unseen would carry, until its removal from the record is stored. The only exception are
//! answers under a lease extension that all other controllers have voted for: each of them
//! remembers its vote, and as the next leader reckons with those answers.

mod state;

use copperfield_fencing::PageWrite;

use crate::protocol::worker::Heartbeat;
use crate::storage::writer::{Write, Written};
use crate::storage::{FencedWorker, StoredFencingPage};

use super::messages::{Effect, HeartbeatRefusal};
use super::model::*;
use super::persistence::WriteBatch;
use super::state::Core;
use super::time::ceil_ms;

use state::AnsweredWorker;
pub(super) use state::{DeferredHeartbeat, Fencing};

/// How long a worker may wait to be fenced: many become unresponsive together, and share a change
/// of the state service.
const FENCE_DELAY_S: Time = 0.6;
/// How long the removal of a worker that holds nothing may: it does the next leader no harm.
const RELEASE_DELAY_S: Time = 5.0;
/// What a page counts for where the values of a transaction are limited.
const PAGE_BYTES: usize = 8 * 1024;
/// Of a worker in a page, besides its name.
const ENTRY_BYTES: usize = 20;

impl Core {
    /// Without a bound on clocks what is stored proves nothing.
    fn clocks_are_bounded(&self) -> bool {
        self.config.cluster.clock_error_ms > 0.0
    }

    /// Restores the record of earlier leaders: its workers stay fenced, and were last answered
    /// when it says, or under a lease extension that this controller voted for.
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
                if let Some(m) = self.workers.index_of(&worker.name) {
                    self.workers[m].answered_at = Some(worker.answered_at);
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

    /// When a worker of the record was last answered at the latest.
    fn answered_by_record(&self, age_ms: u64, vote_binding_until: Time) -> Time {
        if self.clocks_are_bounded() {
            (self.now - age_ms as f64 / 1000.0).max(vote_binding_until)
        } else {
            self.now
        }
    }

    /// Takes workers off the record that no registry names any more.
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

    /// Puts workers on the record whose heartbeats are overdue.
    pub(super) fn fence_unresponsive_workers(&mut self) {
        if !self.clocks_are_bounded() {
            return;
        }
        let due = self.now + FENCE_DELAY_S;
        for (_, worker) in self.workers.iter() {
            if !self.is_to_be_fenced(worker) {
                continue;
            }
            // While a shard owner may still answer it there is nothing to record.
            if let Some(answered_at) = self.latest_possible_answer(worker) {
                self.fencing.fence(&worker.name, answered_at, due);
            }
        }
    }

    fn is_to_be_fenced(&self, worker: &Worker) -> bool {
        let expired = worker.incarnation > 0 && worker.incarnation <= worker.expired_incarnation;
        if worker.fenced || worker.page.is_none() || expired || worker.scaling_in {
            return false;
        }
        let last_heartbeat_at = worker
            .last_heartbeat_at
            .unwrap_or(self.expecting_heartbeats_since);
        self.now - last_heartbeat_at > self.unresponsive_after_s()
    }

    /// Returns the heartbeat if it may be answered now. Otherwise it waits until its worker's
    /// removal from the record is stored.
    pub(super) fn may_answer(
        &mut self,
        m: u32,
        ticket: u64,
        heartbeat: Heartbeat,
    ) -> Option<Heartbeat> {
        let worker = &mut self.workers[m];
        worker.last_heartbeat_at = Some(self.now);
        worker.reported_at = Some(self.now);
        self.fencing.release(&worker.name, self.now);
        if !worker.fenced || self.now < self.lease_extended_until {
            return Some(heartbeat);
        }
        self.defer_answer(ticket, heartbeat);
        None
    }

    /// Has a heartbeat answered later. One of the same worker that waits already is refused.
    pub(super) fn defer_answer(&mut self, ticket: u64, heartbeat: Heartbeat) {
        let log = &mut self.reconciliation.lease_log;
        log.record_deferral(self.now, &heartbeat.worker);
        if let Some(DeferredHeartbeat { ticket, .. }) = self.fencing.defer(ticket, heartbeat) {
            let why = HeartbeatRefusal::Overtaken;
            self.effects.push(Effect::RefuseHeartbeat { ticket, why });
        }
    }

    /// Takes a worker off the record that surely holds nothing any more.
    pub(super) fn unfence_worker(&mut self, m: u32) {
        let due = self.now + RELEASE_DELAY_S;
        self.fencing.release(&self.workers[m].name, due);
    }

    /// Adds the pages that are to be written now. Their workers are fenced from here on.
    pub(super) fn add_fencing_writes(&mut self, batch: &mut WriteBatch) {
        let limit = batch.room_for_values_of(PAGE_BYTES);
        for page in self.fencing.begin_due_writes(self.now, limit) {
            let mut bytes = 0;
            for entry in &page.entries {
                if let Some(m) = self.workers.index_of(&entry.worker) {
                    self.workers[m].fenced = true;
                }
                bytes += entry.worker.len() + ENTRY_BYTES;
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

    /// The write of a page has ended.
    pub(super) fn handle_fencing_result(&mut self, page: u32, written: &Written) {
        match written {
            Written::Stored { version } => self.fencing.confirm_write(page, *version),
            Written::Again { version } => {
                return self.fencing.retry_write(page, *version, self.now);
            }
            Written::Ended(_) => return,
        }
        self.update_fenced_workers();
        self.answer_deferred_heartbeats();
        let workers = self.fencing.wanted_workers().count();
        tracing::debug!(page, workers, "fencing record stored");
    }
}
