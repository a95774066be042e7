//! Copies of tasks: where each may be, and every condition of a start.

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
        self.free_if_ended(key.job);
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

    pub(super) fn instances_of(&self, m: u32, job: u32) -> Vec<InstanceId> {
        let from = InstanceId {
            job,
            task: 0,
            attempt: 0,
        };
        let to = InstanceId {
            job,
            task: u32::MAX,
            attempt: u64::MAX,
        };
        self.workers[m]
            .instances
            .range(from..=to)
            .map(|(k, _)| *k)
            .collect()
    }

    pub(super) fn unqueue(&mut self, m: u32, key: InstanceId) {
        let id = self.jobs[key.job].spec.id;
        self.workers[m].outbox.retain(|c| {
            !(c.verb == Verb::Start
                && c.job == id
                && c.task == key.task
                && c.attempt == key.attempt)
        });
        self.remove_instance(m, key);
    }

    /// No start that has not left for a worker leaves for it any more.
    pub(super) fn unqueue_all(&mut self, m: u32) {
        let queued: Vec<InstanceId> = self.workers[m]
            .instances
            .iter()
            .filter(|(_, c)| c.sent == Sent::Queued)
            .map(|(k, _)| *k)
            .collect();
        for key in queued {
            self.unqueue(m, key);
            self.gang_lost_task(key);
        }
    }
}
