//! Copies of tasks: where each may be, and every condition of a start.

use crate::protocol::job::Resources;
use crate::protocol::worker::{Command, Verb};

use super::model::*;
use super::state::Core;

impl Core {
    pub(super) fn add_instance(&mut self, m: u32, key: InstanceId, instance: TaskInstance) {
        let possible = instance.possible();
        let running = instance.is_running();
        let worker = &mut self.workers[m];
        let zone = worker.zone as usize;
        let before = worker.instances.insert(key, instance);
        debug_assert!(before.is_none(), "a copy is added once");
        worker.idle_since = None;
        let job = &mut self.jobs[key.job];
        job.entries += 1;
        job.running += u32::from(running);
        if possible {
            let needs = job.spec.needs;
            self.workers[m].used.add(&needs);
            let job = &mut self.jobs[key.job];
            self.teams[job.team as usize].used.add(&needs);
            if job.by_zone.len() <= zone {
                job.by_zone.resize(zone + 1, 0);
            }
            job.by_zone[zone] += 1;
            let t = &mut job.tasks[key.task as usize];
            t.instances += 1;
            if t.instances == 1 && !t.done {
                job.active += 1;
            }
        }
    }

    /// A copy stops counting: it is surely not on the worker, now or later.
    pub(super) fn release(&mut self, m: u32, key: InstanceId) {
        let zone = self.workers[m].zone as usize;
        let job = &mut self.jobs[key.job];
        let needs = job.spec.needs;
        self.teams[job.team as usize].used.sub(&needs);
        job.by_zone[zone] -= 1;
        let t = &mut job.tasks[key.task as usize];
        t.instances -= 1;
        if t.instances == 0 {
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
        self.workers[m].used.sub(&needs);
    }

    pub(super) fn remove_instance(&mut self, m: u32, key: InstanceId) {
        let Some(instance) = self.workers[m].instances.remove(&key) else {
            return;
        };
        let job = &mut self.jobs[key.job];
        job.entries -= 1;
        job.running -= u32::from(instance.is_running());
        if instance.possible() {
            self.release(m, key);
        }
        self.free_if_over(key.job);
    }

    /// Everything on a worker is gone.
    pub(super) fn clear_worker(&mut self, m: u32) {
        let keys: Vec<InstanceId> = self.workers[m].instances.keys().copied().collect();
        for key in keys {
            self.remove_instance(m, key);
            self.gang_lost_task(key);
        }
        let worker = &mut self.workers[m];
        worker.outbox.clear();
        worker.orphaned_tasks = OrphanedTasks::None;
    }

    /// Orders a copy to stop. Repeated with each report until it has an effect.
    pub(super) fn stop_instance(&mut self, m: u32, key: InstanceId, grace_s: f64) {
        let Some(instance) = self.workers[m].instances.get_mut(&key) else {
            return;
        };
        if instance.exit().is_some() {
            return;
        }
        if instance.sent == Sent::Queued {
            self.unqueue(m, key);
            return;
        }
        if instance.stop.is_some_and(|s| s.grace_s <= grace_s) {
            return;
        }
        instance.stop = Some(Stop {
            grace_s,
            ordered_at: instance.stop.map_or(self.now, |s| s.ordered_at),
            sent_at: None,
        });
        let command = self.command(key, Verb::Stop { grace_s });
        self.workers[m].outbox.push(command);
    }

    pub(super) fn command(&self, key: InstanceId, verb: Verb) -> Command {
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
        let worker = &self.workers[m];
        let t = &job.tasks[task as usize];
        job.state == JobState::Live
            && !t.done
            && t.instances == 0
            && f64::from(t.not_before) <= self.now
            && !job.blocked
            && self.worker_usable(m)
            && self.worker_allowed(ix, m)
            && job.spec.needs.fits_in(&self.free_room(m))
            && self.zone_allows(ix, worker.zone)
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

    pub(super) fn team_allows(&self, team: u32, needs: &Resources) -> bool {
        let t = &self.teams[team as usize];
        let mut all = t.used;
        all.add(&t.unknown);
        all.add(needs);
        (t.limit.cpus == 0 || all.cpus <= t.limit.cpus)
            && (t.limit.gpus == 0 || all.gpus <= t.limit.gpus)
    }

    /// Whether the job's own conditions allow the worker at all.
    pub(super) fn worker_allowed(&self, ix: u32, m: u32) -> bool {
        let worker = &self.workers[m];
        self.worker_suits(ix, m) && worker.failed.get(&ix).is_none_or(|&t| t <= self.now)
    }

    /// The same whatever has happened on it: where any leader may start the job.
    pub(super) fn worker_suits(&self, ix: u32, m: u32) -> bool {
        let job = &self.jobs[ix];
        let worker = &self.workers[m];
        (!worker.spot || job.spec.spot)
            && job.zone.is_none_or(|z| z == worker.zone)
            && job
                .types
                .as_ref()
                .is_none_or(|list| list.contains(&worker.kind))
    }

    /// How long a worker may be silent before nothing new is sent to it.
    pub(super) fn unresponsive_after_s(&self) -> f64 {
        self.config.cluster.workers.report_s * 1.25 + 1.0
    }

    pub(super) fn is_unresponsive(&self, m: u32) -> bool {
        self.workers[m]
            .last_heartbeat_at
            .is_none_or(|t| self.now - t > self.unresponsive_after_s())
    }

    /// Whether a worker that may answer orders has not reported for half a lease: nothing renews
    /// its lease, and what is started there dies with it.
    fn is_mute(&self, m: u32) -> bool {
        // While nobody was valid reports were refused, and nobody was mute for that.
        let listening = self.listening_since.max(self.valid_since);
        let since = self.workers[m].reported_at;
        let since = since.map_or(listening, |at| at.max(listening));
        let patience = self.config.cluster.workers.lease_s / 2.0;
        self.now - since > patience.max(self.unresponsive_after_s())
    }

    pub(super) fn worker_usable(&self, m: u32) -> bool {
        let worker = &self.workers[m];
        worker.reconciled
            && !worker.returning
            && !worker.draining
            && worker.orphaned_tasks == OrphanedTasks::None
            && !worker.commands_unanswered
            && worker.registered
            && !worker.fenced
            && worker.reclaim_at.is_none()
            && worker.quarantined_until <= self.now
            && worker.incarnation > worker.expired_incarnation
            && !self.is_unresponsive(m)
            && !self.is_mute(m)
    }

    pub(super) fn free_room(&self, m: u32) -> Resources {
        let worker = &self.workers[m];
        let Some(kind) = self.types.get(worker.kind) else {
            return Resources::default();
        };
        let mut room = kind.whole;
        room.sub(&worker.used);
        room
    }

    /// Decides a start. The caller has checked `may_start`.
    pub(super) fn start(&mut self, ix: u32, task: u32, m: u32, attempt: u64) {
        let key = InstanceId {
            job: ix,
            task,
            attempt,
        };
        let instance = TaskInstance {
            sent: Sent::Queued,
            phase: None,
            unacknowledged: false,
            stop: None,
            running_since: None,
        };
        tracing::debug!(
            job = %self.jobs[ix].spec.id,
            task,
            worker = self.workers[m].name,
            waited_s = self.now - self.jobs[ix].seen_at,
            class = self.jobs[ix].spec.class,
            fetches = !self.workers[m].images.contains(&self.jobs[ix].image),
            "start"
        );
        if let Some(failover) = &mut self.failover {
            failover.record_start(self.now - self.elected_at);
        }
        self.add_instance(m, key, instance);
        let command = self.command(key, Verb::Start);
        let worker = &mut self.workers[m];
        worker.outbox.push(command);
        if let Some(claim) = worker.reservations.iter_mut().find(|c| c.job == ix) {
            claim.count = claim.count.saturating_sub(1);
        }
        worker.reservations.retain(|c| c.count > 0);
    }
}
