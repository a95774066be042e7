//! Room for what has none: stopping lower work, and keeping the room freed.
//!
//! A claim keeps room on one machine for a job. It either follows stops that
//! were ordered, or waits for work of equal priority to end by itself: work
//! never preempts work of equal or higher priority.

use std::collections::BTreeSet;

use crate::protocol::job::Amounts;

use super::gangs::grace_to_save;
use super::model::*;
use super::state::Core;

/// Tasks for which one batch may clear room, on a small site and for each
/// machine of a large one: a zone that is lost leaves a third of all replicas
/// without a place at once.
const LEAST_PER_BATCH: u32 = 12;
const PER_MACHINE: f64 = 0.1;
/// How long room is kept that was freed by stops.
const STOP_CLAIM_S: f64 = 8.0;
/// How long a machine is kept free of new small tasks for a task that needs most of it.
const DRAIN_CLAIM_S: f64 = 90.0;

/// What it costs, and on which machines what is to be stopped.
type Plan = (f64, Vec<(u32, Vec<CopyKey>)>);

impl Core {
    pub(super) fn expire_claims(&mut self) {
        let now = self.now;
        for m in self.machines.indices() {
            if self.machines[m].claims.is_empty() {
                continue;
            }
            let usable = self.machine_usable(m);
            let jobs = &self.jobs;
            self.machines[m].claims.retain(|c| {
                usable
                    && c.until > now
                    && jobs
                        .get(c.job)
                        .is_some_and(|j| j.state == JobState::Live && (c.held || j.waiting() > 0))
            });
        }
    }

    pub(super) fn claimed(&self, ix: u32) -> u32 {
        self.claimed_by_zone(ix).iter().sum()
    }

    /// Free room less what is kept for other jobs.
    pub(super) fn room_after_claims(&self, m: u32, ix: u32) -> Amounts {
        let mut room = self.free_room(m);
        if let Some(kept) = self.kept_from(m, ix) {
            room.sub(&kept);
        }
        for claim in &self.machines[m].claims {
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
    pub(super) fn serve_claims(&mut self, order: &[u32]) {
        self.hand_claims_on(order);
        let machines = self.machines.indices();
        let claims = machines.iter().flat_map(|&m| &self.machines[m].claims);
        let with_claims: BTreeSet<u32> = claims.map(|c| c.job).collect();
        for &ix in order {
            if self.is_whole_gang(ix) || !with_claims.contains(&ix) {
                continue;
            }
            for m in self.machines.indices() {
                while self.machines[m].claims.iter().any(|c| c.job == ix)
                    && self.jobs[ix]
                        .spec
                        .needs
                        .fits_in(&self.room_after_claims(m, ix))
                    && self.start_one(ix, m)
                {}
            }
        }
    }

    /// Room that is kept for a whole-machine task goes to the most urgent single
    /// task of its shape, whoever asked for it first. A gang that gathers gives
    /// way only to what comes before it.
    fn hand_claims_on(&mut self, order: &[u32]) {
        for m in self.machines.indices() {
            for c in 0..self.machines[m].claims.len() {
                let holder = self.machines[m].claims[c].job;
                let Some(shape) = self.jobs[holder].shape else {
                    continue;
                };
                let gang = self.is_whole_gang(holder);
                let best = order
                    .iter()
                    .copied()
                    .take_while(|&ix| !gang || ix != holder)
                    .find(|&ix| {
                        let job = &self.jobs[ix];
                        job.shape == Some(shape)
                            && !self.is_whole_gang(ix)
                            && job.waiting() > 0
                            && self.machine_allowed(ix, m)
                    });
                let taken = |ix: u32| self.machines[m].claims.iter().any(|c| c.job == ix);
                if let Some(best) = best
                    && best != holder
                    && self.free_room(m).cpus >= self.jobs[best].spec.needs.cpus
                    && !taken(best)
                {
                    self.machines[m].claims[c].job = best;
                }
            }
        }
    }

    /// Whether `ix` may have tasks of `other` stopped.
    fn outranks(&self, ix: u32, other: u32) -> bool {
        let (a, b) = (&self.jobs[ix], &self.jobs[other]);
        if a.team != b.team && a.entitled != b.entitled {
            return a.entitled;
        }
        a.spec.priority > b.spec.priority
    }

    pub(super) fn make_room(&mut self, order: &[u32]) {
        let machines = self.machines.iter().count() as f64;
        let mut budget = LEAST_PER_BATCH.max((machines * PER_MACHINE) as u32);
        // Of those alike that no room can be made for, one is enough to find out.
        let mut tried = BTreeSet::new();
        for &ix in order {
            if budget == 0 {
                break;
            }
            let alike = self.bids_as(ix);
            let in_vain = alike.is_some_and(|a| tried.contains(&a));
            // Good work is not stopped for a job that fails everywhere.
            if in_vain || self.is_mistaken(ix) {
                continue;
            }
            let job = &self.jobs[ix];
            let mut missing = job
                .waiting()
                .min(self.canaries(ix))
                .saturating_sub(self.claimed(ix));
            if self.is_whole_gang(ix) {
                if missing > 0 && self.make_room_for_gang(ix) {
                    budget -= 1;
                }
                continue;
            }
            missing -= self.claim_by_stopping(ix, missing.min(budget), &mut budget);
            while missing > 0
                && budget > 0
                && self.team_allows(self.jobs[ix].team, &self.jobs[ix].spec.needs)
                && self.claim_by_draining(ix)
            {
                missing -= 1;
            }
            if missing > 0 {
                tried.extend(alike);
            }
        }
    }

    pub(super) fn claimable(&self, ix: u32, m: u32) -> bool {
        self.machine_usable(m)
            && self.machine_allowed(ix, m)
            && self.zone_allows(ix, self.machines[m].zone)
    }

    /// Room for one more task of a job, beside what is claimed for it and others.
    fn room_for_one(&self, ix: u32, m: u32) -> Amounts {
        let needs = self.jobs[ix].spec.needs;
        let mut room = self.room_after_claims(m, ix);
        for c in self.machines[m].claims.iter().filter(|c| c.job == ix) {
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
        let mut copies = self.machines[m].copies.iter();
        while !needs.fits_in(&room) {
            let Some((key, copy)) = copies.next() else {
                return false;
            };
            let stops = copy.stop.is_some()
                || (self.outranks(ix, key.job)
                    && (self.jobs[ix].is_service() || !self.is_whole_gang(key.job)));
            if copy.possible() && stops {
                room.add(&self.jobs[key.job].spec.needs);
            }
        }
        true
    }

    /// The cheapest set of stops on one machine that makes room for one task.
    pub(super) fn victims(&self, ix: u32, m: u32) -> Option<(f64, Vec<CopyKey>)> {
        let needs = self.jobs[ix].spec.needs;
        let mut room = self.room_for_one(ix, m);
        // What saves leaves its room later. Replicas that were to start within a second
        // stopped guests' work that saves, and waited for it.
        let patience = self.jobs[ix].patience_s;
        let delay = |key: &CopyKey| (self.grace_of(key.job) / patience).min(7.0).exp();
        let mut choices: Vec<(f64, CopyKey)> = Vec::new();
        for (key, copy) in &self.machines[m].copies {
            if !copy.possible() {
                continue;
            }
            if copy.stop.is_some() {
                // Its room is on the way, and whoever ordered it has the claim.
                room.add(&self.jobs[key.job].spec.needs);
                continue;
            }
            if self.is_whole_gang(key.job) {
                // A gang stops as a whole, which is much to lose: only for replicas,
                // which are missed from the first second on.
                if self.jobs[ix].is_service() && self.outranks(ix, key.job) {
                    let tasks = f64::from(self.jobs[key.job].spec.tasks);
                    choices.push((self.loss(key, copy) * tasks * delay(key), *key));
                }
                continue;
            }
            if self.outranks(ix, key.job) {
                choices.push((self.loss(key, copy) * delay(key), *key));
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
    fn loss(&self, key: &CopyKey, copy: &Copy) -> f64 {
        let job = &self.jobs[key.job];
        let ran = copy.running_since.map_or(0.0, |t| self.now - t);
        let lost = if job.spec.checkpoint_s > 0.0 {
            job.spec.save_s
        } else {
            ran
        };
        let size = job.spec.needs.cpus as f64 / 1000.0 + 8.0 * job.spec.needs.gpus as f64 / 1000.0;
        (lost + 2.0) * size * self.weight(key.job)
    }

    /// Has lower work stopped for up to `most` tasks of a job, where that costs
    /// the least. Returns for how many. Each machine is looked at once, and again
    /// only after something was stopped there.
    fn claim_by_stopping(&mut self, ix: u32, most: u32, budget: &mut u32) -> u32 {
        if most == 0 || !self.outranks_any(ix) {
            return 0;
        }
        let tier = self.best_tier(ix);
        let mut choices: Vec<(f64, u32, Vec<CopyKey>)> = self
            .machines
            .indices()
            .into_iter()
            .filter(|&m| self.claimable(ix, m) && self.in_tier(ix, m, tier))
            .filter_map(|m| self.stops_for(ix, m).map(|(cost, v)| (cost, m, v)))
            .collect();
        // The best last.
        let order = |a: &(f64, u32, Vec<CopyKey>), b: &(f64, u32, Vec<CopyKey>)| {
            b.0.total_cmp(&a.0).then(b.1.cmp(&a.1))
        };
        choices.sort_by(order);
        let mut by_zone = self.claimed_by_zone(ix);
        let mut claimed = 0;
        while claimed < most
            && let Some((_, m, victims)) = choices.pop()
        {
            let zone = self.machines[m].zone;
            if !self.zone_allows_more(ix, zone, by_zone[zone as usize])
                || !self.team_allows(self.jobs[ix].team, &self.jobs[ix].spec.needs)
            {
                continue;
            }
            self.stop_for(ix, m, &victims);
            by_zone[zone as usize] += 1;
            claimed += 1;
            *budget -= 1;
            if let Some((cost, victims)) = self.stops_for(ix, m) {
                let again = (cost, m, victims);
                let at = choices.partition_point(|c| order(c, &again).is_lt());
                choices.insert(at, again);
            }
        }
        claimed
    }

    /// What would have to be stopped on a machine for one task, if anything.
    fn stops_for(&self, ix: u32, m: u32) -> Option<(f64, Vec<CopyKey>)> {
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

    pub(super) fn grace_for(&self, victims: &[CopyKey]) -> f64 {
        victims
            .iter()
            .map(|key| self.grace_of(key.job))
            .fold(0.0, f64::max)
    }

    pub(super) fn stop_for(&mut self, ix: u32, m: u32, victims: &[CopyKey]) {
        for key in victims {
            tracing::debug!(
                job = %self.jobs[ix].spec.id,
                victim = %self.jobs[key.job].spec.id,
                machine = self.machines[m].name,
                "preempting"
            );
            self.stop_in_order(m, *key);
        }
        self.claim(m, ix, STOP_CLAIM_S + self.grace_for(victims));
    }

    /// Room claimed for a job, by zone.
    pub(super) fn claimed_by_zone(&self, ix: u32) -> Vec<u32> {
        let mut by_zone = vec![0; self.zones.len()];
        for (_, m) in self.machines.iter() {
            for c in m.claims.iter().filter(|c| c.job == ix) {
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

    /// Keeps a machine free of new work until a task fits that needs much of it.
    fn claim_by_draining(&mut self, ix: u32) -> bool {
        let needs = self.jobs[ix].spec.needs;
        let best = self
            .machines
            .indices()
            .into_iter()
            .filter(|&m| self.claimable(ix, m))
            .filter(|&m| self.machines[m].claims.is_empty())
            .filter(|&m| {
                self.types
                    .get(self.machines[m].kind)
                    .is_some_and(|t| needs.share_of(&t.whole) > 0.5)
            })
            .filter_map(|m| self.drained_in(&needs, m).map(|t| (m, t)))
            .min_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)));
        let Some((m, _)) = best else {
            return false;
        };
        self.claim(m, ix, DRAIN_CLAIM_S);
        true
    }

    /// Seconds until enough has ended by itself, as far as estimates tell.
    pub(super) fn drained_in(&self, needs: &Amounts, m: u32) -> Option<f64> {
        let mut room = self.free_room(m);
        let mut ends: Vec<(f64, Amounts)> = self.machines[m]
            .copies
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

    pub(super) fn renew_claim(&mut self, m: u32, ix: u32, for_s: f64) {
        let until = self.now + for_s;
        for c in self.machines[m].claims.iter_mut().filter(|c| c.job == ix) {
            c.until = c.until.max(until);
        }
    }

    pub(super) fn claim(&mut self, m: u32, ix: u32, for_s: f64) {
        let until = self.now + for_s;
        let claims = &mut self.machines[m].claims;
        match claims.iter_mut().find(|c| c.job == ix) {
            Some(c) => {
                c.count += 1;
                c.until = c.until.max(until);
            }
            None => claims.push(Claim {
                job: ix,
                count: 1,
                until,
                held: false,
            }),
        }
    }

    /// For a gang of several tasks: in the zone where the least is lost, every
    /// lower task in the way is stopped, machine by machine, until all tasks fit.
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
            let mut machines: Vec<(f64, u32, Vec<CopyKey>)> = self
                .machines
                .indices()
                .into_iter()
                .filter(|&m| zone.is_none_or(|z| self.machines[m].zone == z))
                .filter(|&m| self.claimable(ix, m))
                .filter_map(|m| match self.machines[m].claims.as_slice() {
                    [] => self.victims(ix, m).map(|(cost, v)| (cost, m, v)),
                    // Gathered already.
                    [own] if own.job == ix => Some((0.0, m, Vec::new())),
                    _ => None,
                })
                .collect();
            machines.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            if machines.len() < tasks {
                continue;
            }
            machines.truncate(tasks);
            let cost = machines.iter().map(|m| m.0).sum();
            if best.as_ref().is_none_or(|(c, _)| cost < *c) {
                best = Some((cost, machines.into_iter().map(|(_, m, v)| (m, v)).collect()));
            }
        }
        let Some((_, plan)) = best else {
            return false;
        };
        let grace = plan.iter().map(|(_, v)| self.grace_for(v));
        let claim_s = STOP_CLAIM_S + grace.fold(0.0, f64::max);
        for (m, victims) in plan {
            for key in victims {
                self.stop_copy(m, key, self.grace_of(key.job));
            }
            if self.machines[m].claims.is_empty() {
                self.claim(m, ix, claim_s);
            } else {
                self.renew_claim(m, ix, claim_s);
            }
        }
        true
    }
}
