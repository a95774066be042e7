//! Drains of workers, requested by operators.
//!
//! No new task starts on a draining worker. Tasks that may be migrated are migrated. The others run
//! to their end, or are stopped with their grace period once the drain's deadline has passed.
//!
//! A drain takes effect at once, because starting fewer tasks is always safe, and the operator is
//! answered when it is stored. The end of a drain takes effect only once it is stored.
//!
//! `state` holds the state of a drain, and `admin` answers the requests of operators.

mod admin;
mod state;

use copperfield_admin::views;

use crate::storage::writer::{Write, WriteOutcome};
use crate::storage::{DrainRecord, StoredDrain};

use super::model::*;
use super::persistence::WriteBatch;
use super::state::Core;

use admin::PAGE_SIZE;
pub(super) use state::Drain;

const MS_PER_S: f64 = 1000.0;

impl Core {
    /// Restores a drain that an earlier leader stored.
    pub(super) fn restore_drain(&mut self, stored: StoredDrain) {
        if let Some(worker_index) = self.workers.index_of(&stored.worker) {
            self.workers[worker_index].draining = true;
        }
        let drain = Drain {
            // If the record is unreadable, the worker keeps draining, and the next request for this
            // worker overwrites the record.
            record: Some(stored.record.unwrap_or(DrainRecord {
                at_ms: 0,
                until_ms: None,
            })),
            deadline: stored.deadline_in_s.map(|in_s| self.now + in_s),
            version: stored.version,
            ..Drain::default()
        };
        self.drains.insert(stored.worker, drain);
    }

    /// Starts a drain or changes its deadline. A drain that would disturb protected jobs must be
    /// confirmed.
    fn drain(
        &mut self,
        ticket: u64,
        name: String,
        deadline_s: Option<f64>,
        confirmed: bool,
        unix_ms: u64,
    ) {
        let Some(worker_index) = self.workers.index_of(&name) else {
            return self.answer_unknown_node(ticket, &name);
        };
        let protected = self.protected_jobs_on(worker_index);
        if !protected.is_empty() && !confirmed {
            let error = format!("{name} holds tasks of a protected class");
            let protected = protected.into_iter().take(PAGE_SIZE).collect();
            return self.answer_admin(
                ticket,
                409,
                &views::ConfirmationRequired { error, protected },
            );
        }
        tracing::info!(node = name, ?deadline_s, "drain");
        let now = self.now;
        let drain = self.drains.entry(name).or_default();
        let at_ms = drain.record.map_or(unix_ms, |record| record.at_ms);
        let record = DrainRecord {
            at_ms,
            until_ms: deadline_s.map(|s| unix_ms + (s * MS_PER_S) as u64),
        };
        // A repeated request with the same deadline needs no write.
        let unchanged = drain.version > 0 && !drain.write_in_flight && drain.record == Some(record);
        drain.record = Some(record);
        drain.deadline = deadline_s.map(|s| now + s);
        drain.waiting_tickets.push(ticket);
        drain.write_due |= !unchanged;
        self.workers[worker_index].draining = true;
        self.cancel_queued_starts(worker_index);
        if unchanged {
            let name = self.workers[worker_index].name.clone();
            self.answer_waiting_tickets(&name);
        }
    }

    /// Requests the end of a drain. A worker without a drain is answered at once.
    fn undrain(&mut self, ticket: u64, name: &str) {
        if let Some(drain) = self.drains.get_mut(name) {
            tracing::info!(node = name, "drain ends");
            drain.request_end();
            drain.waiting_tickets.push(ticket);
        } else if self.workers.contains(name) {
            self.answer_node(ticket, name);
        } else {
            self.answer_unknown_node(ticket, name);
        }
    }

    /// Requests the end of the drain of a worker that was removed. Its name is never used again.
    pub(super) fn end_drain_of_removed_worker(&mut self, name: &str) {
        if let Some(drain) = self.drains.get_mut(name) {
            drain.request_end();
        }
    }

    /// Adds writes for the drains that differ from their stored records.
    pub(super) fn add_drain_writes(&mut self, batch: &mut WriteBatch) {
        for (name, drain) in &mut self.drains {
            if !batch.has_room_for(1) {
                return;
            }
            if drain.write_due && !drain.write_in_flight {
                drain.write_due = false;
                drain.write_in_flight = true;
                let write = Write::Drain {
                    node: name.clone(),
                    record: drain.record,
                    version: drain.version,
                };
                batch.push(write, 0);
            }
        }
    }

    /// Handles the result of writing a drain.
    pub(super) fn handle_drain_written(
        &mut self,
        name: String,
        record: Option<DrainRecord>,
        written: &WriteOutcome,
    ) {
        let Some(drain) = self.drains.get_mut(&name) else {
            return;
        };
        drain.record_write_result(written);
        // The drain has changed since, or was not stored. The operators are answered after the next
        // write.
        if drain.write_due || drain.record != record {
            return;
        }
        if record.is_none() {
            self.end_drain(&name);
        } else {
            self.answer_waiting_tickets(&name);
        }
    }

    /// Ends a drain after its end was stored, and answers the operators that wait for it.
    fn end_drain(&mut self, name: &str) {
        if let Some(worker_index) = self.workers.index_of(name) {
            self.workers[worker_index].draining = false;
        }
        let tickets = self.drains.remove(name).map(|drain| drain.waiting_tickets);
        for ticket in tickets.unwrap_or_default() {
            self.answer_node(ticket, name);
        }
    }

    /// Answers the operators that wait for a drain to be stored.
    fn answer_waiting_tickets(&mut self, name: &str) {
        let drain = self.drains.get_mut(name);
        let tickets = drain.map(|drain| std::mem::take(&mut drain.waiting_tickets));
        for ticket in tickets.unwrap_or_default() {
            self.answer_node(ticket, name);
        }
    }

    /// Runs once a second: migrates tasks off draining workers, and stops the remaining tasks after
    /// the deadline.
    pub(super) fn advance_drains(&mut self) {
        let draining: Vec<(u32, Option<Time>)> = self
            .drains
            .iter()
            .filter(|(_, drain)| drain.record.is_some())
            .filter_map(|(name, drain)| Some((self.workers.index_of(name)?, drain.deadline)))
            .collect();
        for (worker_index, deadline) in draining {
            if deadline.is_some_and(|time| time <= self.now) {
                self.stop_remaining_instances(worker_index);
            } else if !self.is_unresponsive(worker_index) {
                self.migrate_off_draining_worker(worker_index);
            }
        }
    }

    /// Stops all task instances on a worker that are not being stopped already.
    fn stop_remaining_instances(&mut self, worker_index: u32) {
        let ids: Vec<InstanceId> = self.workers[worker_index]
            .instances
            .keys()
            .copied()
            .collect();
        for id in ids {
            let instance = self.workers[worker_index].instances.get(&id);
            if instance.is_some_and(|instance| instance.may_exist() && instance.stop.is_none()) {
                self.stop_gracefully(worker_index, id);
            }
        }
    }

    /// Returns the protected jobs that may have tasks on a worker, as shown to operators.
    fn protected_jobs_on(&self, worker_index: u32) -> Vec<String> {
        let instances = self.workers[worker_index].instances.iter();
        let mut jobs: Vec<u32> = instances
            .filter(|(id, instance)| instance.may_exist() && self.jobs[id.job].protected)
            .map(|(id, _)| id.job)
            .collect();
        jobs.dedup();
        let describe = |job_index: u32| {
            let spec = &self.jobs[job_index].spec;
            format!("{} ({})", spec.id, spec.class)
        };
        jobs.into_iter().map(describe).collect()
    }
}
