//! Drains of workers that operators order.
//!
//! Nothing new starts on a draining worker. What may move migrates, the rest runs to its end, or is
//! stopped with its grace period once the deadline has passed. A drain takes effect at once, since
//! to start less breaks nothing, and its operator is answered when it is stored; the end of a drain
//! takes effect once it is stored.
//!
//! `state` is what is kept of a drain, `admin` answers the requests of operators.

mod admin;
mod state;

use copperfield_admin::views;

use crate::storage::writer::{Write, Written};
use crate::storage::{DrainRecord, StoredDrain};

use super::model::*;
use super::persistence::WriteBatch;
use super::state::Core;

use admin::PAGE_SIZE;
pub(super) use state::Drain;

const MS_PER_S: f64 = 1000.0;

impl Core {
    /// Takes in a drain that an earlier leader stored.
    pub(super) fn restore_drain(&mut self, stored: StoredDrain) {
        if let Some(m) = self.workers.index_of(&stored.worker) {
            self.workers[m].draining = true;
        }
        let drain = Drain {
            // With an unreadable record the worker drains on; the next request writes it anew.
            record: Some(stored.record.unwrap_or(DrainRecord {
                at_ms: 0,
                until_ms: None,
            })),
            until: stored.left_s.map(|left_s| self.now + left_s),
            version: stored.version,
            ..Drain::default()
        };
        self.drains.insert(stored.worker, drain);
    }

    fn drain(
        &mut self,
        ticket: u64,
        name: String,
        deadline_s: Option<f64>,
        confirmed: bool,
        unix_ms: u64,
    ) {
        let Some(m) = self.workers.index_of(&name) else {
            return self.answer_unknown_node(ticket, &name);
        };
        let protected = self.protected_jobs_on(m);
        if !protected.is_empty() && !confirmed {
            let error = format!("{name} holds tasks of a protected class");
            let protected = protected.into_iter().take(PAGE_SIZE).collect();
            return self.answer_admin(ticket, 409, &views::Confirm { error, protected });
        }
        tracing::info!(node = name, ?deadline_s, "drain");
        let now = self.now;
        let drain = self.drains.entry(name).or_default();
        let at_ms = drain.record.map_or(unix_ms, |record| record.at_ms);
        let record = DrainRecord {
            at_ms,
            until_ms: deadline_s.map(|s| unix_ms + (s * MS_PER_S) as u64),
        };
        // A repeated request whose deadline stays the same changes nothing.
        let unchanged = drain.version > 0 && !drain.writing && drain.record == Some(record);
        drain.record = Some(record);
        drain.until = deadline_s.map(|s| now + s);
        drain.waiters.push(ticket);
        drain.due |= !unchanged;
        self.workers[m].draining = true;
        self.cancel_queued_starts(m);
        if unchanged {
            let name = self.workers[m].name.clone();
            self.answer_drain_waiters(&name);
        }
    }

    fn undrain(&mut self, ticket: u64, name: &str) {
        if let Some(drain) = self.drains.get_mut(name) {
            tracing::info!(node = name, "drain ends");
            drain.request_end();
            drain.waiters.push(ticket);
        } else if self.workers.contains(name) {
            self.answer_node(ticket, name);
        } else {
            self.answer_unknown_node(ticket, name);
        }
    }

    /// Ends the drain of a worker that is gone for good, and its name with it.
    pub(super) fn forget_drain(&mut self, name: &str) {
        if let Some(drain) = self.drains.get_mut(name) {
            drain.request_end();
        }
    }

    /// Adds the drains that differ from what is stored.
    pub(super) fn add_drain_writes(&mut self, batch: &mut WriteBatch) {
        for (name, drain) in &mut self.drains {
            if !batch.has_room_for(1) {
                return;
            }
            if drain.due && !drain.writing {
                drain.due = false;
                drain.writing = true;
                let write = Write::Drain {
                    node: name.clone(),
                    record: drain.record,
                    version: drain.version,
                };
                batch.push(write, 0);
            }
        }
    }

    /// Handles the result of a write of a drain.
    pub(super) fn handle_drain_written(
        &mut self,
        name: String,
        record: Option<DrainRecord>,
        written: &Written,
    ) {
        let Some(drain) = self.drains.get_mut(&name) else {
            return;
        };
        drain.record_written(written);
        // Changed meanwhile, or not stored: the next write answers.
        if drain.due || drain.record != record {
            return;
        }
        if record.is_none() {
            self.end_drain(&name);
        } else {
            self.answer_drain_waiters(&name);
        }
    }

    /// The end of a drain is stored.
    fn end_drain(&mut self, name: &str) {
        if let Some(m) = self.workers.index_of(name) {
            self.workers[m].draining = false;
        }
        let waiters = self.drains.remove(name).map(|drain| drain.waiters);
        for ticket in waiters.unwrap_or_default() {
            self.answer_node(ticket, name);
        }
    }

    fn answer_drain_waiters(&mut self, name: &str) {
        let drain = self.drains.get_mut(name);
        let waiters = drain.map(|drain| std::mem::take(&mut drain.waiters));
        for ticket in waiters.unwrap_or_default() {
            self.answer_node(ticket, name);
        }
    }

    /// Once a second: migrates tasks off draining workers, and stops what is left at the deadline.
    pub(super) fn advance_drains(&mut self) {
        let draining: Vec<(u32, Option<Time>)> = self
            .drains
            .iter()
            .filter(|(_, drain)| drain.record.is_some())
            .filter_map(|(name, drain)| Some((self.workers.index_of(name)?, drain.until)))
            .collect();
        for (m, deadline) in draining {
            if deadline.is_some_and(|time| time <= self.now) {
                self.stop_remaining_instances(m);
            } else if !self.is_unresponsive(m) {
                self.migrate_off_draining_worker(m);
            }
        }
    }

    fn stop_remaining_instances(&mut self, m: u32) {
        let ids: Vec<InstanceId> = self.workers[m].instances.keys().copied().collect();
        for id in ids {
            let instance = self.workers[m].instances.get(&id);
            if instance.is_some_and(|instance| instance.may_exist() && instance.stop.is_none()) {
                self.stop_gracefully(m, id);
            }
        }
    }

    /// The jobs of a protected class on a worker, as operators read them.
    fn protected_jobs_on(&self, m: u32) -> Vec<String> {
        let instances = self.workers[m].instances.iter();
        let mut jobs: Vec<u32> = instances
            .filter(|(id, instance)| instance.may_exist() && self.jobs[id.job].protected)
            .map(|(id, _)| id.job)
            .collect();
        jobs.dedup();
        let describe = |ix: u32| {
            let spec = &self.jobs[ix].spec;
            format!("{} ({})", spec.id, spec.class)
        };
        jobs.into_iter().map(describe).collect()
    }
}
