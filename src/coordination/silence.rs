//! Machines that have gone silent, on the record, so that the next leader knows when
//! their leases ran out and need not count them from its own election.
//!
//! What is on the record is a promise: such a machine gets no answer, which would renew
//! its lease, and no start, which a lease that began unseen would carry, until its
//! removal is stored. The only exception are answers on the word of all other nodes: each
//! of them remembers its word, and as the next leader takes those answers for given.

use copperfield_silence::StoredPage;

use crate::bookkeeping::StoredSilence;
use crate::bookkeeping::writer::{Write, Written};
use crate::protocol::worker::Report;

use super::messages::Effect;
use super::model::*;
use super::state::Core;

/// Many fall silent together: they share a change of the state service.
const TOGETHER_S: Time = 0.6;
/// A machine that holds nothing does the next leader no harm on the record.
const LATER_S: Time = 5.0;

/// Later rather than earlier.
fn ms(at: Time) -> u64 {
    (at.max(0.0) * 1000.0).ceil() as u64
}

impl Core {
    /// Without a bound on clocks what is stored proves nothing.
    fn clocks_are_bounded(&self) -> bool {
        self.config.cluster.clock_error_ms > 0.0
    }

    /// Takes the promise of earlier leaders over, and believes what they say of silent
    /// machines, but for answers that went out on this node's own word.
    pub(super) fn restore_silence(&mut self, stored: Vec<StoredSilence>, word_held_until: Time) {
        let now = self.now;
        let bounded = self.clocks_are_bounded();
        let mut proved = 0;
        for StoredSilence {
            page,
            version,
            ages,
        } in stored
        {
            let at = |(name, age): (String, u64)| {
                let at = if bounded {
                    (now - age as f64 / 1000.0).max(word_held_until)
                } else {
                    now
                };
                (name, at)
            };
            let entries: Option<Vec<_>> = ages.map(|a| a.into_iter().map(at).collect());
            for (name, at) in entries.iter().flatten() {
                let Some(&m) = self.machine_ids.get(name) else {
                    continue;
                };
                self.machines[m].answered_at = Some(*at);
                proved += 1;
            }
            let entries = entries.map(|e| e.into_iter().map(|(n, at)| (n, ms(at))).collect());
            let stored = StoredPage {
                page,
                version,
                entries,
            };
            self.silence.restore(stored, ms(now));
        }
        self.mark_recorded();
        let names: Vec<String> = self.silence.names().map(str::to_string).collect();
        for name in names.iter().filter(|n| !self.machine_ids.contains_key(*n)) {
            self.silence.heard(name, ms(now + LATER_S));
        }
        if proved > 0 {
            tracing::info!(machines = proved, "silent since before the election");
        }
    }

    /// Brings what each machine knows of itself in line with the record.
    fn mark_recorded(&mut self) {
        for (_, machine) in self.machines.iter_mut() {
            machine.on_record = self.silence.holds(&machine.name);
        }
    }

    /// Puts machines on the record that have not reported for longer than they ever do.
    pub(super) fn note_silent(&mut self) {
        if !self.clocks_are_bounded() {
            return;
        }
        let patience = self.silent_after_s();
        for (_, machine) in self.machines.iter() {
            let heard = machine.heard_at.unwrap_or(self.listening_since);
            let over = machine.session > 0 && machine.session <= machine.dead_session;
            if machine.on_record || machine.page.is_none() || over || machine.returning {
                continue;
            }
            // While a holder may still answer it there is nothing to promise.
            if self.now - heard > patience
                && let Some(answered) = self.answered_by_all(machine)
            {
                let due = ms(self.now + TOGETHER_S);
                self.silence.silent(&machine.name, ms(answered), due);
            }
        }
    }

    /// The report, if it may be answered now. Else it waits until its machine is off the
    /// record.
    pub(super) fn may_answer(&mut self, m: u32, ticket: u64, report: Report) -> Option<Report> {
        let machine = &mut self.machines[m];
        machine.heard_at = Some(self.now);
        machine.reported_at = Some(self.now);
        self.silence.heard(&machine.name, ms(self.now));
        if !machine.on_record || self.now < self.word_until {
            return Some(report);
        }
        self.let_wait(ticket, report);
        None
    }

    /// A report is answered later.
    pub(super) fn let_wait(&mut self, ticket: u64, report: Report) {
        let name = report.machine.clone();
        if let Some((ticket, _)) = self.unanswered.insert(name, (ticket, report)) {
            let why = "a newer report has come";
            self.effects.push(Effect::Refuse { ticket, why });
        }
    }

    /// A machine that surely holds nothing any more.
    pub(super) fn forget_silence(&mut self, m: u32) {
        let due = ms(self.now + LATER_S);
        self.silence.heard(&self.machines[m].name, due);
    }

    pub(super) fn silence_writes(
        &mut self,
        batch: &mut Vec<Write>,
        most: usize,
        bytes: &mut usize,
    ) {
        let pages = super::storing::TXN_BYTES / (8 * 1024);
        for write in self.silence.writes(ms(self.now), most.min(pages)) {
            for (name, _) in &write.entries {
                if let Some(&m) = self.machine_ids.get(name) {
                    self.machines[m].on_record = true;
                }
                *bytes += name.len() + 20;
            }
            let now = ms(self.now);
            let age = |(name, at): (String, u64)| (name, now.saturating_sub(at));
            batch.push(Write::Silence {
                page: write.page,
                ages: write.entries.into_iter().map(age).collect(),
                version: write.version,
            });
        }
    }

    pub(super) fn silence_written(&mut self, page: u32, written: &Written) {
        match written {
            Written::Stored { version } => self.silence.stored(page, *version),
            Written::Again { version } => {
                return self.silence.again(page, *version, ms(self.now));
            }
            Written::Ended(_) => return,
        }
        self.mark_recorded();
        self.answer_those_who_wait();
        tracing::debug!(page, named = self.silence.names().count(), "silence stored");
    }
}
