//! Every condition of a start, checked against all task instances that may exist.

use crate::protocol::job::Resources;

use super::model::*;
use super::state::Core;

impl Core {
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
}
