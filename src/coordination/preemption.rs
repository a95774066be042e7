//! Room for what has none: stopping lower work, and keeping the room freed.
//!
//! A claim keeps room on one worker for a job. It either follows stops that
//! were ordered, or waits for work of equal priority to end by itself: work
//! never preempts work of equal or higher priority.

use std::collections::BTreeSet;

use crate::protocol::job::Resources;

use super::gangs::grace_to_save;
use super::model::*;
use super::state::Core;

/// Tasks for which one batch may clear room, on a small site and for each
/// worker of a large one: a zone that is lost leaves a third of all replicas
/// without a place at once.
const MIN_PER_BATCH: u32 = 12;
const PER_WORKER: f64 = 0.1;
/// How long room is kept that was freed by stops.
const STOP_CLAIM_S: f64 = 8.0;
/// How long a worker is kept free of new small tasks for a task that needs most of it.
const DRAIN_CLAIM_S: f64 = 90.0;

/// What it costs, and on which workers what is to be stopped.
type Plan = (f64, Vec<(u32, Vec<InstanceId>)>);

impl Core {
    pub(super) fn expire_reservations(&mut self) {
        let now = self.now;
        for m in self.workers.indices() {
            if self.workers[m].reservations.is_empty() {
                continue;
            }
            let usable = self.worker_usable(m);
            let jobs = &self.jobs;
            self.workers[m].reservations.retain(|c| {
                usable
                    && c.until > now
                    && jobs
                        .get(c.job)
                        .is_some_and(|j| j.state == JobState::Live && (c.held || j.waiting() > 0))
            });
        }
    }

    pub(super) fn reserved(&self, ix: u32) -> u32 {
        self.reserved_by_zone(ix).iter().sum()
    }

    /// Free room less what is kept for other jobs.
    pub(super) fn room_after_reservations(&self, m: u32, ix: u32) -> Resources {
        let mut room = self.free_room(m);
        if let Some(kept) = self.kept_from(m, ix) {
            room.sub(&kept);
        }
        for claim in &self.workers[m].reservations {
            if claim.job != ix {
                let needs = self.jobs[claim.job].spec.needs;
                for _ in 0..claim.count {
                    room.sub(&needs);
                }
            }
        }
        room
    }

    /// Starts what room was kept for, as soon as the room is there.
    pub(super) fn serve_reservations(&mut self, order: &[u32]) {
        self.pass_reservations_on(order);
        let workers = self.workers.indices();
        let reservations = workers.iter().flat_map(|&m| &self.workers[m].reservations);
        let with_claims: BTreeSet<u32> = reservations.map(|c| c.job).collect();
        for &ix in order {
            if self.is_whole_gang(ix) || !with_claims.contains(&ix) {
                continue;
            }
            for m in self.workers.indices() {
                while self.workers[m].reservations.iter().any(|c| c.job == ix)
                    && self.jobs[ix]
                        .spec
                        .needs
                        .fits_in(&self.room_after_reservations(m, ix))
                    && self.start_one(ix, m)
                {}
            }
        }
    }

    /// Room that is kept for a whole-worker task goes to the most urgent single
    /// task of its shape, whoever asked for it first. A gang that gathers gives
    /// way only to what comes before it.
    fn pass_reservations_on(&mut self, order: &[u32]) {
        for m in self.workers.indices() {
            for c in 0..self.workers[m].reservations.len() {
                let shard_owner = self.workers[m].reservations[c].job;
                let Some(large_task_profile) = self.jobs[shard_owner].large_task_profile else {
                    continue;
                };
                let gang = self.is_whole_gang(shard_owner);
                let best = order
                    .iter()
                    .copied()
                    .take_while(|&ix| !gang || ix != shard_owner)
                    .find(|&ix| {
                        let job = &self.jobs[ix];
                        job.large_task_profile == Some(large_task_profile)
                            && !self.is_whole_gang(ix)
                            && job.waiting() > 0
                            && self.worker_allowed(ix, m)
                    });
                let taken = |ix: u32| self.workers[m].reservations.iter().any(|c| c.job == ix);
                if let Some(best) = best
                    && best != shard_owner
                    && self.free_room(m).cpus >= self.jobs[best].spec.needs.cpus
                    && !taken(best)
                {
                    self.workers[m].reservations[c].job = best;
                }
            }
        }
    }

    /// Whether `ix` may have tasks of `other` stopped.
    fn outranks(&self, ix: u32, other: u32) -> bool {
        let (a, b) = (&self.jobs[ix], &self.jobs[other]);
        if a.team != b.team && a.within_quota != b.within_quota {
            return a.within_quota;
        }
        a.spec.priority > b.spec.priority
    }

    pub(super) fn make_room(&mut self, order: &[u32]) {
        let workers = self.workers.iter().count() as f64;
        let mut budget = MIN_PER_BATCH.max((workers * PER_WORKER) as u32);
        // Of those alike that no room can be made for, one is enough to find out.
        let mut tried = BTreeSet::new();
        for &ix in order {
            if budget == 0 {
                break;
            }
            let scheduling_class = self.bidding_class(ix);
            let in_vain = scheduling_class.is_some_and(|a| tried.contains(&a));
            // Good work is not stopped for a job that fails everywhere.
            if in_vain || self.is_mistaken(ix) {
                continue;
            }
            let job = &self.jobs[ix];
            let mut missing = job
                .waiting()
                .min(self.canaries(ix))
                .saturating_sub(self.reserved(ix));
            if self.is_whole_gang(ix) {
                if missing > 0 && self.make_room_for_gang(ix) {
                    budget -= 1;
                }
                continue;
            }
            missing -= self.reserve_by_preempting(ix, missing.min(budget), &mut budget);
            while missing > 0
                && budget > 0
                && self.team_allows(self.jobs[ix].team, &self.jobs[ix].spec.needs)
                && self.reserve_by_draining(ix)
            {
                missing -= 1;
            }
            if missing > 0 {
                tried.extend(scheduling_class);
            }
        }
    }

    pub(super) fn reservable(&self, ix: u32, m: u32) -> bool {
        self.worker_usable(m)
            && self.worker_allowed(ix, m)
            && self.zone_allows(ix, self.workers[m].zone)
    }

    /// Room for one more task of a job, beside what is claimed for it and others.
    fn room_for_one(&self, ix: u32, m: u32) -> Resources {
        let needs = self.jobs[ix].spec.needs;
        let mut room = self.room_after_reservations(m, ix);
        for c in self.workers[m].reservations.iter().filter(|c| c.job == ix) {
            for _ in 0..c.count {
                room.sub(&needs);
            }
        }
        room
    }

    /// Whether [`Self::victims`] finds a set, without looking for the cheapest.
    pub(super) fn room_can_be_made(&self, ix: u32, m: u32) -> bool {
        let needs = &self.jobs[ix].spec.needs;
        let mut room = self.room_for_one(ix, m);
        let mut instances = self.workers[m].instances.iter();
        while !needs.fits_in(&room) {
            let Some((key, instance)) = instances.next() else {
                return false;
            };
            let stops = instance.stop.is_some()
                || (self.outranks(ix, key.job)
                    && (self.jobs[ix].is_service() || !self.is_whole_gang(key.job)));
            if instance.possible() && stops {
                room.add(&self.jobs[key.job].spec.needs);
            }
        }
        true
    }

    /// The cheapest set of stops on one worker that makes room for one task.
    pub(super) fn victims(&self, ix: u32, m: u32) -> Option<(f64, Vec<InstanceId>)> {
        let needs = self.jobs[ix].spec.needs;
        let mut room = self.room_for_one(ix, m);
        // What saves leaves its room later. Replicas that were to start within a second
        // stopped guests' work that saves, and waited for it.
        let patience = self.jobs[ix].patience_s;
        let delay = |key: &InstanceId| (self.grace_of(key.job) / patience).min(7.0).exp();
        let mut choices: Vec<(f64, InstanceId)> = Vec::new();
        for (key, instance) in &self.workers[m].instances {
            if !instance.possible() {
                continue;
            }
            if instance.stop.is_some() {
                // Its room is on the way, and whoever ordered it has the claim.
                room.add(&self.jobs[key.job].spec.needs);
                continue;
            }
            if self.is_whole_gang(key.job) {
                // A gang stops as a whole, which is much to lose: only for replicas,
                // which are missed from the first second on.
                if self.jobs[ix].is_service() && self.outranks(ix, key.job) {
                    let tasks = f64::from(self.jobs[key.job].spec.tasks);
                    choices.push((self.loss(key, instance) * tasks * delay(key), *key));
                }
                continue;
            }
            if self.outranks(ix, key.job) {
                choices.push((self.loss(key, instance) * delay(key), *key));
            }
        }
        choices.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut cost = 0.0;
        let mut chosen = Vec::new();
        for (loss, key) in choices {
            if needs.fits_in(&room) {
                break;
            }
            let frees = self.jobs[key.job].spec.needs;
            let helps = (needs.cpus > room.cpus && frees.cpus > 0)
                || (needs.memory > room.memory && frees.memory > 0)
                || (needs.gpus > room.gpus && frees.gpus > 0);
            if helps {
                room.add(&frees);
                cost += loss;
                chosen.push(key);
            }
        }
        let fits = needs.fits_in(&room);
        debug_assert_eq!(fits, self.room_can_be_made(ix, m));
        fits.then_some((cost, chosen))
    }

    /// What stopping a copy loses: its work so far, weighted by its importance.
    fn loss(&self, key: &InstanceId, instance: &TaskInstance) -> f64 {
        let job = &self.jobs[key.job];
        let ran = instance.running_since.map_or(0.0, |t| self.now - t);
        let lost = if job.spec.checkpoint_s > 0.0 {
            job.spec.save_s
        } else {
            ran
        };
        let size = job.spec.needs.cpus as f64 / 1000.0 + 8.0 * job.spec.needs.gpus as f64 / 1000.0;
        (lost + 2.0) * size * self.weight(key.job)
    }

    /// Has lower work stopped for up to `limit` tasks of a job, where that costs
    /// the least. Returns for how many. Each worker is looked at once, and again
    /// only after something was stopped there.
    fn reserve_by_preempting(&mut self, ix: u32, limit: u32, budget: &mut u32) -> u32 {
        if limit == 0 || !self.outranks_any(ix) {
            return 0;
        }
        let tier = self.best_tier(ix);
        let mut choices: Vec<(f64, u32, Vec<InstanceId>)> = self
            .workers
            .indices()
            .into_iter()
            .filter(|&m| self.reservable(ix, m) && self.in_tier(ix, m, tier))
            .filter_map(|m| self.stops_for(ix, m).map(|(cost, v)| (cost, m, v)))
            .collect();
        // The best last.
        let order = |a: &(f64, u32, Vec<InstanceId>), b: &(f64, u32, Vec<InstanceId>)| {
            b.0.total_cmp(&a.0).then(b.1.cmp(&a.1))
        };
        choices.sort_by(order);
        let mut by_zone = self.reserved_by_zone(ix);
        let mut reserved = 0;
        while reserved < limit
            && let Some((_, m, victims)) = choices.pop()
        {
            let zone = self.workers[m].zone;
            if !self.zone_allows_more(ix, zone, by_zone[zone as usize])
                || !self.team_allows(self.jobs[ix].team, &self.jobs[ix].spec.needs)
            {
                continue;
            }
            self.stop_for(ix, m, &victims);
            by_zone[zone as usize] += 1;
            reserved += 1;
            *budget -= 1;
            if let Some((cost, victims)) = self.stops_for(ix, m) {
                let again = (cost, m, victims);
                let at = choices.partition_point(|c| order(c, &again).is_lt());
                choices.insert(at, again);
            }
        }
        reserved
    }

    /// What would have to be stopped on a worker for one task, if anything.
    fn stops_for(&self, ix: u32, m: u32) -> Option<(f64, Vec<InstanceId>)> {
        if !self.room_can_be_made(ix, m) {
            return None;
        }
        let (cost, victims) = self.victims(ix, m)?;
        // A dearer stop is worth it where the image is at hand.
        let value = self.value(ix, m).max(1e-12);
        (!victims.is_empty()).then_some(((cost + 1.0) / value, victims))
    }

    /// The time to save that a task which is stopped gets.
    pub(super) fn grace_of(&self, ix: u32) -> f64 {
        let spec = &self.jobs[ix].spec;
        if spec.checkpoint_s > 0.0 {
            grace_to_save(spec.save_s)
        } else {
            0.0
        }
    }

    pub(super) fn grace_for(&self, victims: &[InstanceId]) -> f64 {
        victims
            .iter()
            .map(|key| self.grace_of(key.job))
            .fold(0.0, f64::max)
    }

    pub(super) fn stop_for(&mut self, ix: u32, m: u32, victims: &[InstanceId]) {
        for key in victims {
            tracing::debug!(
                job = %self.jobs[ix].spec.id,
                victim = %self.jobs[key.job].spec.id,
                worker = self.workers[m].name,
                "preempting"
            );
            self.stop_in_order(m, *key);
        }
        self.reserve(m, ix, STOP_CLAIM_S + self.grace_for(victims));
    }

    /// Room claimed for a job, by zone.
    pub(super) fn reserved_by_zone(&self, ix: u32) -> Vec<u32> {
        let mut by_zone = vec![0; self.zones.len()];
        for (_, m) in self.workers.iter() {
            for c in m.reservations.iter().filter(|c| c.job == ix) {
                by_zone[m.zone as usize] += c.count;
            }
        }
        by_zone
    }

    /// Whether any work at all may be stopped for a job.
    fn outranks_any(&self, ix: u32) -> bool {
        self.jobs
            .iter()
            .any(|(other, j)| j.active > 0 && self.outranks(ix, other))
    }

    /// Keeps a worker free of new work until a task fits that needs much of it.
    fn reserve_by_draining(&mut self, ix: u32) -> bool {
        let needs = self.jobs[ix].spec.needs;
        let best = self
            .workers
            .indices()
            .into_iter()
            .filter(|&m| self.reservable(ix, m))
            .filter(|&m| self.workers[m].reservations.is_empty())
            .filter(|&m| {
                self.types
                    .get(self.workers[m].kind)
                    .is_some_and(|t| needs.share_of(&t.whole) > 0.5)
            })
            .filter_map(|m| self.drained_in(&needs, m).map(|t| (m, t)))
            .min_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)));
        let Some((m, _)) = best else {
            return false;
        };
        self.reserve(m, ix, DRAIN_CLAIM_S);
        true
    }

    /// Seconds until enough has ended by itself, as far as estimates tell.
    pub(super) fn drained_in(&self, needs: &Resources, m: u32) -> Option<f64> {
        let mut room = self.free_room(m);
        let mut ends: Vec<(f64, Resources)> = self.workers[m]
            .instances
            .iter()
            .filter(|(k, c)| c.possible() && !self.jobs[k.job].is_service())
            .map(|(k, c)| {
                let job = &self.jobs[k.job];
                let ran = c.running_since.map_or(0.0, |t| self.now - t);
                ((job.work_s() - ran).max(job.work_s() * 0.2), job.spec.needs)
            })
            .collect();
        ends.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut at = 0.0;
        for (end, frees) in ends {
            if needs.fits_in(&room) {
                break;
            }
            room.add(&frees);
            at = end;
        }
        needs.fits_in(&room).then_some(at)
    }

    pub(super) fn renew_reservation(&mut self, m: u32, ix: u32, for_s: f64) {
        let until = self.now + for_s;
        for c in self.workers[m]
            .reservations
            .iter_mut()
            .filter(|c| c.job == ix)
        {
            c.until = c.until.max(until);
        }
    }

    pub(super) fn reserve(&mut self, m: u32, ix: u32, for_s: f64) {
        let until = self.now + for_s;
        let reservations = &mut self.workers[m].reservations;
        match reservations.iter_mut().find(|c| c.job == ix) {
            Some(c) => {
                c.count += 1;
                c.until = c.until.max(until);
            }
            None => reservations.push(Reservation {
                job: ix,
                count: 1,
                until,
                held: false,
            }),
        }
    }

    /// For a gang of several tasks: in the zone where the least is lost, every
    /// lower task in the way is stopped, worker by worker, until all tasks fit.
    fn make_room_for_gang(&mut self, ix: u32) -> bool {
        let job = &self.jobs[ix];
        if job.active > 0 {
            return false;
        }
        let tasks = job.spec.tasks as usize;
        let zones: Vec<Option<u32>> = if job.spec.one_zone {
            (0..self.zones.len() as u32).map(Some).collect()
        } else {
            vec![None]
        };
        let mut best: Option<Plan> = None;
        for zone in zones {
            let mut workers: Vec<(f64, u32, Vec<InstanceId>)> = self
                .workers
                .indices()
                .into_iter()
                .filter(|&m| zone.is_none_or(|z| self.workers[m].zone == z))
                .filter(|&m| self.reservable(ix, m))
                .filter_map(|m| match self.workers[m].reservations.as_slice() {
                    [] => self.victims(ix, m).map(|(cost, v)| (cost, m, v)),
                    // Gathered already.
                    [own] if own.job == ix => Some((0.0, m, Vec::new())),
                    _ => None,
                })
                .collect();
            workers.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            if workers.len() < tasks {
                continue;
            }
            workers.truncate(tasks);
            let cost = workers.iter().map(|m| m.0).sum();
            if best.as_ref().is_none_or(|(c, _)| cost < *c) {
                best = Some((cost, workers.into_iter().map(|(_, m, v)| (m, v)).collect()));
            }
        }
        let Some((_, plan)) = best else {
            return false;
        };
        let grace = plan.iter().map(|(_, v)| self.grace_for(v));
        let claim_s = STOP_CLAIM_S + grace.fold(0.0, f64::max);
        for (m, victims) in plan {
            for key in victims {
                self.stop_instance(m, key, self.grace_of(key.job));
            }
            if self.workers[m].reservations.is_empty() {
                self.reserve(m, ix, claim_s);
            } else {
                self.renew_reservation(m, ix, claim_s);
            }
        }
        true
    }
}
