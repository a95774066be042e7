//! Copies of tasks: where each may be, and every condition of a start.

use crate::protocol::job::Amounts;
use crate::protocol::worker::{Command, Verb};

use super::model::*;
use super::state::Core;

impl Core {
    pub(super) fn add_copy(&mut self, m: u32, key: CopyKey, copy: Copy) {
        let possible = copy.possible();
        let running = copy.is_running();
        let machine = &mut self.machines[m];
        let zone = machine.zone as usize;
        let before = machine.copies.insert(key, copy);
        debug_assert!(before.is_none(), "a copy is added once");
        machine.idle_since = None;
        let job = &mut self.jobs[key.job];
        job.entries += 1;
        job.running += u32::from(running);
        if possible {
            let needs = job.spec.needs;
            self.machines[m].used.add(&needs);
            let job = &mut self.jobs[key.job];
            self.teams[job.team as usize].used.add(&needs);
            if job.by_zone.len() <= zone {
                job.by_zone.resize(zone + 1, 0);
            }
            job.by_zone[zone] += 1;
            let t = &mut job.tasks[key.task as usize];
            t.copies += 1;
            if t.copies == 1 && !t.done {
                job.active += 1;
            }
        }
    }

    /// A copy stops counting: it is surely not on the machine, now or later.
    pub(super) fn release(&mut self, m: u32, key: CopyKey) {
        let zone = self.machines[m].zone as usize;
        let job = &mut self.jobs[key.job];
        let needs = job.spec.needs;
        self.teams[job.team as usize].used.sub(&needs);
        job.by_zone[zone] -= 1;
        let t = &mut job.tasks[key.task as usize];
        t.copies -= 1;
        if t.copies == 0 {
            if !t.done {
                job.active -= 1;
                if key.task < job.fresh {
                    job.retry.push_back(key.task);
                }
            }
            if job.is_gang() && job.active == 0 {
                job.attempt = None;
            }
        }
        self.machines[m].used.sub(&needs);
    }

    pub(super) fn remove_copy(&mut self, m: u32, key: CopyKey) {
        let Some(copy) = self.machines[m].copies.remove(&key) else {
            return;
        };
        let job = &mut self.jobs[key.job];
        job.entries -= 1;
        job.running -= u32::from(copy.is_running());
        if copy.possible() {
            self.release(m, key);
        }
        self.free_if_over(key.job);
    }

    /// Everything on a machine is gone.
    pub(super) fn clear_machine(&mut self, m: u32) {
        let keys: Vec<CopyKey> = self.machines[m].copies.keys().copied().collect();
        for key in keys {
            self.remove_copy(m, key);
            self.gang_lost_task(key);
        }
        let machine = &mut self.machines[m];
        machine.outbox.clear();
        machine.strays = Strays::None;
    }

    /// Orders a copy to stop. Repeated with each report until it has an effect.
    pub(super) fn stop_copy(&mut self, m: u32, key: CopyKey, grace_s: f64) {
        let Some(copy) = self.machines[m].copies.get_mut(&key) else {
            return;
        };
        if copy.exit().is_some() {
            return;
        }
        if copy.sent == Sent::Queued {
            self.unqueue(m, key);
            return;
        }
        if copy.stop.is_some_and(|s| s.grace_s <= grace_s) {
            return;
        }
        copy.stop = Some(Stop {
            grace_s,
            ordered_at: copy.stop.map_or(self.now, |s| s.ordered_at),
            sent_at: None,
        });
        let command = self.command(key, Verb::Stop { grace_s });
        self.machines[m].outbox.push(command);
    }

    pub(super) fn command(&self, key: CopyKey, verb: Verb) -> Command {
        Command {
            verb,
            job: self.jobs[key.job].spec.id,
            task: key.task,
            attempt: key.attempt,
        }
    }

    pub(super) fn new_attempt(&mut self) -> u64 {
        self.next_attempt += 1;
        self.next_attempt
    }

    /// Every condition a start must meet, against all copies that may exist.
    pub(super) fn may_start(&self, ix: u32, task: u32, m: u32) -> bool {
        let job = &self.jobs[ix];
        let machine = &self.machines[m];
        let t = &job.tasks[task as usize];
        job.state == JobState::Live
            && !t.done
            && t.copies == 0
            && f64::from(t.not_before) <= self.now
            && !job.blocked
            && self.machine_usable(m)
            && self.machine_allowed(ix, m)
            && job.spec.needs.fits_in(&self.free_room(m))
            && self.zone_allows(ix, machine.zone)
            && self.team_allows(job.team, &job.spec.needs)
    }

    pub(super) fn zone_allows(&self, ix: u32, zone: u32) -> bool {
        self.zone_allows_more(ix, zone, 0)
    }

    /// The same with room for `planned` more tasks already spoken for.
    pub(super) fn zone_allows_more(&self, ix: u32, zone: u32, planned: u32) -> bool {
        let job = &self.jobs[ix];
        let here = job.by_zone.get(zone as usize).copied().unwrap_or(0);
        here + planned < job.zone_cap()
            && (!job.spec.one_zone || job.by_zone.iter().sum::<u32>() == here)
    }

    pub(super) fn team_allows(&self, team: u32, needs: &Amounts) -> bool {
        let t = &self.teams[team as usize];
        let mut all = t.used;
        all.add(&t.unknown);
        all.add(needs);
        (t.most.cpus == 0 || all.cpus <= t.most.cpus)
            && (t.most.gpus == 0 || all.gpus <= t.most.gpus)
    }

    /// Whether the job's own conditions allow the machine at all.
    pub(super) fn machine_allowed(&self, ix: u32, m: u32) -> bool {
        let machine = &self.machines[m];
        self.machine_suits(ix, m) && machine.failed.get(&ix).is_none_or(|&t| t <= self.now)
    }

    /// The same whatever has happened on it: where any leader may start the job.
    pub(super) fn machine_suits(&self, ix: u32, m: u32) -> bool {
        let job = &self.jobs[ix];
        let machine = &self.machines[m];
        (!machine.spot || job.spec.spot)
            && job.zone.is_none_or(|z| z == machine.zone)
            && job
                .types
                .as_ref()
                .is_none_or(|list| list.contains(&machine.kind))
    }

    /// How long a machine may be silent before nothing new is sent to it.
    pub(super) fn silent_after_s(&self) -> f64 {
        self.config.cluster.workers.report_s * 1.25 + 1.0
    }

    pub(super) fn is_silent(&self, m: u32) -> bool {
        self.machines[m]
            .heard_at
            .is_none_or(|t| self.now - t > self.silent_after_s())
    }

    /// Whether a machine that may answer orders has not reported for half a lease: nothing renews
    /// its lease, and what is started there dies with it.
    fn is_mute(&self, m: u32) -> bool {
        // While nobody was valid reports were refused, and nobody was mute for that.
        let listening = self.listening_since.max(self.valid_since);
        let since = self.machines[m].reported_at;
        let since = since.map_or(listening, |at| at.max(listening));
        let patience = self.config.cluster.workers.lease_s / 2.0;
        self.now - since > patience.max(self.silent_after_s())
    }

    pub(super) fn machine_usable(&self, m: u32) -> bool {
        let machine = &self.machines[m];
        machine.synced
            && !machine.returning
            && !machine.draining
            && machine.strays == Strays::None
            && !machine.unreached
            && machine.recorded
            && !machine.on_record
            && machine.reclaim_at.is_none()
            && machine.quarantined_until <= self.now
            && machine.session > machine.dead_session
            && !self.is_silent(m)
            && !self.is_mute(m)
    }

    pub(super) fn free_room(&self, m: u32) -> Amounts {
        let machine = &self.machines[m];
        let Some(kind) = self.types.get(machine.kind) else {
            return Amounts::default();
        };
        let mut room = kind.whole;
        room.sub(&machine.used);
        room
    }

    /// Decides a start. The caller has checked `may_start`.
    pub(super) fn start(&mut self, ix: u32, task: u32, m: u32, attempt: u64) {
        let key = CopyKey {
            job: ix,
            task,
            attempt,
        };
        let copy = Copy {
            sent: Sent::Queued,
            phase: None,
            loose: false,
            stop: None,
            running_since: None,
        };
        tracing::debug!(
            job = %self.jobs[ix].spec.id,
            task,
            machine = self.machines[m].name,
            waited_s = self.now - self.jobs[ix].seen_at,
            class = self.jobs[ix].spec.class,
            fetches = !self.machines[m].images.contains(&self.jobs[ix].image),
            "start"
        );
        self.note_start();
        self.add_copy(m, key, copy);
        let command = self.command(key, Verb::Start);
        let machine = &mut self.machines[m];
        machine.outbox.push(command);
        if let Some(claim) = machine.claims.iter_mut().find(|c| c.job == ix) {
            claim.count = claim.count.saturating_sub(1);
        }
        machine.claims.retain(|c| c.count > 0);
    }
}
