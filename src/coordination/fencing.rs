//! Workers that have gone silent, on the record, so that the next leader knows when
//! their leases ran out and need not count them from its own election.
//!
//! What is on the record is a promise: such a worker gets no answer, which would renew
//! its lease, and no start, which a lease that began unseen would carry, until its
//! removal is stored. The only exception are answers on the word of all other nodes: each
//! of them remembers its word, and as the next leader takes those answers for given.

use copperfield_fencing::StoredPage;

use crate::protocol::worker::Heartbeat;
use crate::storage::StoredFencingPage;
use crate::storage::writer::{Write, Written};

use super::messages::Effect;
use super::model::*;
use super::state::Core;
use super::time::ceil_ms as ms;

/// Many fall silent together: they share a change of the state service.
const TOGETHER_S: Time = 0.6;
/// A worker that holds nothing does the next leader no harm on the record.
const LATER_S: Time = 5.0;

impl Core {
    /// Without a bound on clocks what is stored proves nothing.
    fn clocks_are_bounded(&self) -> bool {
        self.config.cluster.clock_error_ms > 0.0
    }

    /// Takes the promise of earlier leaders over, and believes what they say of silent
    /// workers, but for answers that went out on this node's own word.
    pub(super) fn restore_fencing(
        &mut self,
        stored: Vec<StoredFencingPage>,
        vote_binding_until: Time,
    ) {
        let now = self.now;
        let bounded = self.clocks_are_bounded();
        let mut proved = 0;
        for StoredFencingPage {
            page,
            version,
            ages,
        } in stored
        {
            let at = |(name, age): (String, u64)| {
                let at = if bounded {
                    (now - age as f64 / 1000.0).max(vote_binding_until)
                } else {
                    now
                };
                (name, at)
            };
            let entries: Option<Vec<_>> = ages.map(|a| a.into_iter().map(at).collect());
            for (name, at) in entries.iter().flatten() {
                let Some(&m) = self.worker_ids.get(name) else {
                    continue;
                };
                self.workers[m].answered_at = Some(*at);
                proved += 1;
            }
            let entries = entries.map(|e| e.into_iter().map(|(n, at)| (n, ms(at))).collect());
            let stored = StoredPage {
                page,
                version,
                entries,
            };
            self.fencing.restore(stored, ms(now));
        }
        self.mark_recorded();
        let names: Vec<String> = self.fencing.names().map(str::to_string).collect();
        for name in names.iter().filter(|n| !self.worker_ids.contains_key(*n)) {
            self.fencing.heard(name, ms(now + LATER_S));
        }
        if proved > 0 {
            tracing::info!(workers = proved, "silent since before the election");
        }
    }

    /// Brings what each worker knows of itself in line with the record.
    fn mark_recorded(&mut self) {
        for (_, worker) in self.workers.iter_mut() {
            worker.fenced = self.fencing.holds(&worker.name);
        }
    }

    /// Puts workers on the record that have not reported for longer than they ever do.
    pub(super) fn fence_unresponsive_workers(&mut self) {
        if !self.clocks_are_bounded() {
            return;
        }
        let patience = self.unresponsive_after_s();
        for (_, worker) in self.workers.iter() {
            let heard = worker.last_heartbeat_at.unwrap_or(self.listening_since);
            let over = worker.incarnation > 0 && worker.incarnation <= worker.expired_incarnation;
            if worker.fenced || worker.page.is_none() || over || worker.returning {
                continue;
            }
            // While a shard owner may still answer it there is nothing to promise.
            if self.now - heard > patience
                && let Some(answered) = self.last_answer_by_any(worker)
            {
                let due = ms(self.now + TOGETHER_S);
                self.fencing.silent(&worker.name, ms(answered), due);
            }
        }
    }

    /// The report, if it may be answered now. Else it waits until its worker is off the
    /// record.
    pub(super) fn may_answer(
        &mut self,
        m: u32,
        ticket: u64,
        heartbeat: Heartbeat,
    ) -> Option<Heartbeat> {
        let worker = &mut self.workers[m];
        worker.last_heartbeat_at = Some(self.now);
        worker.reported_at = Some(self.now);
        self.fencing.heard(&worker.name, ms(self.now));
        if !worker.fenced || self.now < self.lease_extended_until {
            return Some(heartbeat);
        }
        self.defer_answer(ticket, heartbeat);
        None
    }

    /// A report is answered later.
    pub(super) fn defer_answer(&mut self, ticket: u64, heartbeat: Heartbeat) {
        let name = heartbeat.worker.clone();
        if let Some((ticket, _)) = self.deferred_heartbeats.insert(name, (ticket, heartbeat)) {
            let why = "a newer report has come";
            self.effects.push(Effect::Refuse { ticket, why });
        }
    }

    /// A worker that surely holds nothing any more.
    pub(super) fn unfence_worker(&mut self, m: u32) {
        let due = ms(self.now + LATER_S);
        self.fencing.heard(&self.workers[m].name, due);
    }

    pub(super) fn fencing_writes(
        &mut self,
        batch: &mut Vec<Write>,
        limit: usize,
        bytes: &mut usize,
    ) {
        let pages = super::persistence::TXN_BYTES / (8 * 1024);
        for write in self.fencing.writes(ms(self.now), limit.min(pages)) {
            for (name, _) in &write.entries {
                if let Some(&m) = self.worker_ids.get(name) {
                    self.workers[m].fenced = true;
                }
                *bytes += name.len() + 20;
            }
            let now = ms(self.now);
            let age = |(name, at): (String, u64)| (name, now.saturating_sub(at));
            batch.push(Write::FencingRecord {
                page: write.page,
                ages: write.entries.into_iter().map(age).collect(),
                version: write.version,
            });
        }
    }

    pub(super) fn fencing_written(&mut self, page: u32, written: &Written) {
        match written {
            Written::Stored { version } => self.fencing.stored(page, *version),
            Written::Again { version } => {
                return self.fencing.again(page, *version, ms(self.now));
            }
            Written::Ended(_) => return,
        }
        self.mark_recorded();
        self.answer_deferred_heartbeats();
        tracing::debug!(page, named = self.fencing.names().count(), "silence stored");
    }
}
