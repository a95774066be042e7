//! One batch: the waiting tasks of a window, cleared by the auction.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::protocol::job::{Kind, Priority, Resources};

use super::auction::{self, BidderGroup, Lot};
use super::model::*;
use super::state::Core;

/// Steepness of the bid gate (the paper's k).
const GATE_STEEPNESS: f64 = 25.0;
/// The share of the time an aim leaves that a fetch may take: rates are known to a third.
const IN_TIME: f64 = 0.8;
/// So long before its next aim a late job goes before all others: about what
/// it takes to gather workers for it.
const RESCUE_S: f64 = 45.0;
/// The urgency of such a job.
const RESCUED: f64 = 2.3;
/// Tasks of one job in one batch; the rest wait for the next window.
const MAX_PER_JOB: u32 = 256;
/// Jobs, or groups of small ones that are alike, in one batch.
const MAX_JOBS: usize = 512;
/// Each looks at every worker, so on a large fleet a batch takes fewer: a batch of 380 jobs
/// on 3,000 workers once held the renewal of the leader's lease up for a second.
const MAX_LOOKS: usize = 192 * 1024;
const MIN_JOBS: usize = 32;

impl Core {
    pub(super) fn run_batch(&mut self) {
        self.expire_reservations();
        self.mark_within_quota();
        self.reserve_whole_workers();
        let order = self.this_batch(self.batch_order());
        if order.is_empty() {
            return;
        }
        self.gather_for_gangs(&order);
        self.serve_reservations(&order);
        for &ix in &order {
            if self.is_whole_gang(ix)
                && self.jobs[ix].waiting() > 0
                && let Some(places) = self.plan_gang(ix)
            {
                self.start_gang(ix, &places);
            }
        }
        self.run_market(&order);
        // Where one had no room left, those like it have none.
        let mut full = BTreeSet::new();
        for &ix in &order {
            let scheduling_class = self.bids_as(ix);
            if scheduling_class.is_some_and(|a| full.contains(&a)) {
                continue;
            }
            self.place_leftovers(ix);
            if self.jobs[ix].waiting() > 0 {
                full.extend(scheduling_class);
            }
        }
        let now = self.now;
        for &ix in &order {
            let job = &mut self.jobs[ix];
            if job.waiting() == 0 {
                job.unplaced_since = None;
            } else {
                job.unplaced_since.get_or_insert(now);
            }
        }
        self.make_room(&order);
    }

    /// A gang of several tasks is placed as a whole; a gang of one is like any task.
    pub(super) fn is_whole_gang(&self, ix: u32) -> bool {
        let job = &self.jobs[ix];
        job.is_gang() && job.spec.tasks > 1
    }

    /// Jobs with waiting tasks, the most important first.
    fn batch_order(&self) -> Vec<u32> {
        let mut order: Vec<(f64, u64, u32)> = self
            .jobs
            .iter()
            .filter(|(_, j)| {
                j.state == JobState::Live && j.waiting() > 0 && j.retry_at <= self.now && !j.blocked
            })
            .map(|(ix, j)| (self.weight(ix), j.accepted_ms, ix))
            .collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then((a.1, a.2).cmp(&(b.1, b.2))));
        order.into_iter().map(|(_, _, ix)| ix).collect()
    }

    /// As many jobs as a batch has time for. A swarm of thousands of jobs of one
    /// task each took a batch longer than the window it was for. Those alike count
    /// as one job; of the rest the most important are in every batch, and the
    /// others by turns, so that none is passed over for ever.
    fn this_batch(&mut self, mut kept: Vec<u32>) -> Vec<u32> {
        let mut scheduling_class: BTreeMap<u32, u32> = BTreeMap::new();
        kept.retain(|&ix| {
            let Some(a) = self.bids_as(ix) else {
                return true;
            };
            let tasks = scheduling_class.entry(a).or_default();
            *tasks += self.jobs[ix].waiting();
            *tasks <= MAX_PER_JOB
        });
        let limit = (MAX_LOOKS / self.workers.iter().count().max(1)).clamp(MIN_JOBS, MAX_JOBS);
        if kept.len() <= limit {
            return kept;
        }
        let tail = kept.split_off(limit / 2);
        let first = self.next_in_tail % tail.len();
        self.next_in_tail = first + limit / 2;
        // The tail is longer than a turn, so none is in one twice.
        let mut turn: Vec<usize> = (first..first + limit / 2)
            .map(|at| at % tail.len())
            .collect();
        turn.sort_unstable();
        kept.extend(turn.into_iter().map(|at| tail[at]));
        kept
    }

    /// With which others a job bids: none once it has failed somewhere, as it keeps
    /// away from workers of its own.
    pub(super) fn bids_as(&self, ix: u32) -> Option<u32> {
        let job = &self.jobs[ix];
        job.scheduling_class
            .filter(|_| job.failed_on.is_empty() && !job.within_quota)
    }

    /// The paper's π: the job's priority, and within a priority how much is
    /// gained by finishing it. Short remaining work goes first, and waiting
    /// raises the weight so that long work is not starved.
    pub(super) fn weight(&self, ix: u32) -> f64 {
        let job = &self.jobs[ix];
        let rank = match job.spec.priority {
            Priority::Production => 1000.0,
            Priority::High => 100.0,
            Priority::Normal => 10.0,
            Priority::Low => 1.0,
        };
        let within_quota = if job.within_quota { 10_000.0 } else { 1.0 };
        let left = f64::from(job.spec.tasks - job.done) * job.work_s();
        let waited = (self.now - job.seen_at).max(0.0);
        let urgency = match job.spec.kind {
            // What is late already can wait a little more for what is not.
            Kind::Array if waited > self.jobs[ix].worthwhile_s => 0.7,
            Kind::Array => 1.0 + 3.0 / (1.0 + left / 600.0),
            _ => self.start_urgency(ix, waited),
        };
        rank * within_quota * urgency
    }

    /// A job that can still start within its first aim goes first, small before
    /// large, so that as many as possible do. One that cannot waits until its next
    /// aim is near, and then goes before all. Nothing is passed over for ever.
    fn start_urgency(&self, ix: u32, waited: f64) -> f64 {
        let job = &self.jobs[ix];
        if job.is_service() {
            return 2.0;
        }
        let next = job.start_by.iter().position(|&by| waited <= by);
        match next {
            Some(0) => 2.0 + 0.2 / f64::from(job.spec.tasks),
            Some(next) if job.start_by[next] - waited < RESCUE_S => RESCUED,
            None if waited > 6.0 * job.patience_s => RESCUED,
            _ if waited + job.work_s() <= job.worthwhile_s => 1.6,
            _ => 1.3,
        }
    }

    /// Whether a late job goes before all others of its priority now.
    pub(super) fn is_rescued(&self, ix: u32) -> bool {
        let waited = self.now - self.jobs[ix].seen_at;
        self.start_urgency(ix, waited) >= RESCUED
    }

    fn mark_within_quota(&mut self) {
        let limited = self
            .teams
            .iter()
            .any(|t| t.quota.cpus > 0 || t.quota.gpus > 0);
        if !limited {
            return;
        }
        let mut order = self.jobs.indices();
        order.sort_by_key(|&ix| (self.jobs[ix].accepted_ms, self.jobs[ix].spec.id));
        let mut total = vec![Resources::default(); self.teams.len()];
        for ix in order {
            let job = &mut self.jobs[ix];
            if job.state != JobState::Live {
                continue;
            }
            let team = job.team as usize;
            let left = i64::from(job.spec.tasks - job.done);
            total[team].cpus += job.spec.needs.cpus * left;
            total[team].gpus += job.spec.needs.gpus * left;
            let g = &self.teams[team].quota;
            job.within_quota = total[team].cpus <= g.cpus && total[team].gpus <= g.gpus;
        }
    }

    /// What a task is worth on a worker: π·w/ΔE, gated by headroom, with the
    /// image fetch and the risk of a spot worker priced in.
    pub(super) fn value(&self, ix: u32, m: u32) -> f64 {
        let job = &self.jobs[ix];
        let worker = &self.workers[m];
        let Some(kind) = self.types.get(worker.kind) else {
            return 0.0;
        };
        let tuning = &self.config.tuning;
        let work = job.work_s();
        let fetch = self.fetch_s(ix, m);
        let price = if worker.spot {
            kind.spot_price
        } else {
            kind.price * tuning.owned_price
        } / 3600.0;
        let mut occupied = work + fetch;
        if worker.spot {
            // A worker that is taken back takes the work so far with it.
            occupied *= 1.0 + work / tuning.spot_mean_life_s;
        }
        let share = if self.breaks_whole(ix, m) {
            // It keeps a task away that would take the whole worker.
            1.0
        } else {
            job.spec.needs.share_of(&kind.whole)
        };
        let empty = if worker.used == Resources::default() {
            1.0
        } else {
            0.0
        };
        let cost = price * occupied * (share + empty);
        let room = self.free_room(m);
        let headroom = {
            let part = |a: i64, b: i64| if b > 0 { a as f64 / b as f64 } else { 1.0 };
            part(room.cpus, kind.whole.cpus)
                .min(part(room.memory, kind.whole.memory))
                .min(part(room.gpus, kind.whole.gpus).max(0.2))
        };
        let age = worker.last_heartbeat_at.map_or(0.0, |t| self.now - t);
        let gate = 1.0
            / (1.0
                + (-GATE_STEEPNESS
                    * (headroom - tuning.headroom_kappa * age - tuning.headroom_h0))
                    .exp());
        let patience = self.jobs[ix].patience_s;
        let delay = (-fetch / patience).exp().max(1e-3);
        self.weight(ix) * work / cost.max(1e-12) * gate * delay
    }

    /// Whether a fetch can take a job longer than its aim allows, on the workers
    /// that fetch slowest.
    fn wants_image(&self, ix: u32) -> bool {
        let job = &self.jobs[ix];
        job.spec.image_gb / self.types.slowest_fetch() > job.patience_s * IN_TIME
    }

    /// How well a worker suits a job for longer than a moment; 0 is best. A
    /// replica stays, so it must not settle where it keeps whole-worker tasks
    /// away, and one that is wanted at once should find its image.
    fn tier(&self, ix: u32, m: u32) -> u8 {
        let job = &self.jobs[ix];
        // A replica that is restored is missed all the while it fetches.
        let restored = job.is_service() && self.now - job.seen_at >= job.patience_s;
        let may_fetch_s = if restored {
            0.0
        } else {
            job.patience_s * IN_TIME
        };
        let fetches = self.wants_image(ix) && self.fetch_s(ix, m) > may_fetch_s;
        let breaks = self.jobs[ix].is_service() && self.breaks_whole(ix, m);
        u8::from(fetches) + 2 * u8::from(breaks)
    }

    /// The best tier in which the job finds or may make room. It goes to no
    /// worse one, though it may have to stop lower work in the better.
    pub(super) fn best_tier(&self, ix: u32) -> u8 {
        if !self.jobs[ix].is_service() && !self.wants_image(ix) {
            return 0;
        }
        // Whether there is room is the dear question, so it is asked only where the answer
        // can matter. Asked of every worker for every replica of a lost zone, it once took
        // a batch on 3,000 workers most of a second.
        let mut best = u8::MAX;
        for (m, _) in self.workers.iter() {
            let tier = self.tier(ix, m);
            if tier < best && self.reservable(ix, m) && self.room_can_be_made(ix, m) {
                best = tier;
                if best == 0 {
                    break;
                }
            }
        }
        best
    }

    pub(super) fn in_tier(&self, ix: u32, m: u32, best: u8) -> bool {
        self.tier(ix, m) <= best
    }

    /// Expected time until the worker has the job's image.
    pub(super) fn fetch_s(&self, ix: u32, m: u32) -> f64 {
        let job = &self.jobs[ix];
        let worker = &self.workers[m];
        if worker.images.contains(&job.image) {
            return 0.0;
        }
        let rate = self
            .types
            .get(worker.kind)
            .map_or(0.25, |t| t.fetch_gb_per_s);
        let mut gb = job.spec.image_gb;
        let mut fetching: Vec<u32> = worker
            .instances
            .iter()
            .filter(|(_, c)| {
                matches!(
                    c.phase,
                    None | Some(crate::protocol::worker::TaskPhase::Fetching)
                )
            })
            .map(|(k, _)| self.jobs[k.job].image)
            .filter(|i| !worker.images.contains(i))
            .collect();
        fetching.sort_unstable();
        fetching.dedup();
        for image in fetching {
            if image == job.image {
                // Already on its way.
                gb *= 0.5;
            } else {
                gb += self.images.size_gb(image) * 0.5;
            }
        }
        gb / rate
    }

    /// The next task of a job that may be tried.
    fn next_task(&mut self, ix: u32) -> Option<u32> {
        let now = self.now;
        let job = &mut self.jobs[ix];
        for _ in 0..job.retry.len() {
            let task = job.retry.pop_front()?;
            let t = &job.tasks[task as usize];
            if t.done || t.instances > 0 {
                continue;
            }
            if f64::from(t.not_before) <= now {
                return Some(task);
            }
            job.retry.push_back(task);
        }
        while job.fresh < job.spec.tasks {
            let task = job.fresh;
            job.fresh += 1;
            let t = &job.tasks[task as usize];
            if !t.done && t.instances == 0 {
                return Some(task);
            }
        }
        None
    }

    /// Starts one more task of a job on a worker, if every condition holds.
    pub(super) fn start_one(&mut self, ix: u32, m: u32) -> bool {
        let Some(task) = self.next_task(ix) else {
            return false;
        };
        if !self.may_start(ix, task, m) {
            self.jobs[ix].retry.push_front(task);
            return false;
        }
        let attempt = self.new_attempt();
        if self.jobs[ix].is_gang() {
            self.jobs[ix].attempt = Some(attempt);
        }
        self.start(ix, task, m, attempt);
        true
    }

    fn run_market(&mut self, order: &[u32]) {
        let slot = self.config.tuning.slot_cpus;
        let mut lot_of = Vec::new();
        let mut lots = Vec::new();
        for m in self.workers.indices() {
            if !self.worker_usable(m) {
                continue;
            }
            let room = self.room_after_reservations(m, u32::MAX);
            let lot = Lot {
                cpu_slots: (room.cpus as f64 / 1000.0 / slot).floor().max(0.0) as u32,
                gpu_slots: (room.gpus / 1000).max(0) as u32,
                memory: room.memory.max(0),
                zone: self.workers[m].zone,
            };
            if lot.cpu_slots > 0 {
                lot_of.push(m);
                lots.push(lot);
            }
        }
        if lots.is_empty() {
            return;
        }
        let mut group_of: Vec<VecDeque<u32>> = Vec::new();
        let mut groups: Vec<BidderGroup> = Vec::new();
        let mut scheduling_class: BTreeMap<u32, usize> = BTreeMap::new();
        for &ix in order {
            let job = &self.jobs[ix];
            if let Some(&g) = self.bids_as(ix).and_then(|a| scheduling_class.get(&a)) {
                let group = &mut groups[g];
                group.demand = (group.demand + job.waiting()).min(MAX_PER_JOB);
                group_of[g].push_back(ix);
                continue;
            }
            let demand = job.waiting().min(MAX_PER_JOB).min(self.canaries(ix));
            if demand == 0 || self.is_whole_gang(ix) {
                continue;
            }
            let (cpu_slots, gpu_slots) = BidderGroup::slots_needed(&job.spec.needs, slot);
            let zone = self.zone_of(ix);
            let tier = self.best_tier(ix);
            let mut values = Vec::new();
            for (l, &m) in lot_of.iter().enumerate() {
                let lot = &lots[l];
                let fits = lot.cpu_slots >= cpu_slots
                    && lot.gpu_slots >= gpu_slots
                    && lot.memory >= job.spec.needs.memory;
                if fits
                    && self.worker_allowed(ix, m)
                    && self.zone_allows(ix, lot.zone)
                    && zone.is_none_or(|z| z == lot.zone)
                    && self.in_tier(ix, m, tier)
                {
                    values.push((l as u32, self.value(ix, m)));
                }
            }
            if values.is_empty() {
                continue;
            }
            if job.spec.one_zone && zone.is_none() && job.spec.tasks > 1 {
                self.keep_best_zone(&lots, &mut values);
            }
            let zone_room = job.spec.spread.then(|| {
                (0..self.zones.len())
                    .map(|z| {
                        let here = job.by_zone.get(z).copied().unwrap_or(0);
                        job.zone_cap().saturating_sub(here)
                    })
                    .collect()
            });
            if let Some(a) = self.bids_as(ix) {
                scheduling_class.insert(a, groups.len());
            }
            group_of.push(VecDeque::from([ix]));
            groups.push(BidderGroup {
                demand,
                cpu_slots,
                gpu_slots,
                memory: job.spec.needs.memory,
                values,
                zone_room,
            });
        }
        let (awards, outcome) = auction::clear(&lots, &groups, self.config.tuning.auction_cap);
        if outcome.capped {
            tracing::debug!(bids = outcome.bids, groups = groups.len(), "auction capped");
        }
        for award in awards {
            let members = &mut group_of[award.group as usize];
            while members.len() > 1 && self.jobs[members[0]].waiting() == 0 {
                members.pop_front();
            }
            self.start_one(members[0], lot_of[award.lot as usize]);
        }
    }

    /// The zone that a `one_zone` job is bound to by its copies.
    fn zone_of(&self, ix: u32) -> Option<u32> {
        let job = &self.jobs[ix];
        if !job.spec.one_zone {
            return None;
        }
        job.by_zone.iter().position(|&n| n > 0).map(|z| z as u32)
    }

    fn keep_best_zone(&self, lots: &[Lot], values: &mut Vec<(u32, f64)>) {
        let mut worth = vec![0.0; self.zones.len()];
        for &(l, v) in values.iter() {
            let lot = &lots[l as usize];
            worth[lot.zone as usize] += v * f64::from(lot.cpu_slots);
        }
        let best = (0..worth.len())
            .max_by(|&a, &b| worth[a].total_cmp(&worth[b]))
            .unwrap_or(0) as u32;
        values.retain(|(l, _)| lots[*l as usize].zone == best);
    }

    /// Room that slots are too coarse to sell is filled by exact fit.
    fn place_leftovers(&mut self, ix: u32) {
        if self.is_whole_gang(ix) {
            return;
        }
        let mut left = self.jobs[ix]
            .waiting()
            .min(MAX_PER_JOB)
            .min(self.canaries(ix));
        if left == 0 {
            return;
        }
        let needs = self.jobs[ix].spec.needs;
        let tier = self.best_tier(ix);
        let mut lots: Vec<(u32, f64)> = self
            .workers
            .indices()
            .into_iter()
            .filter(|&m| {
                self.worker_usable(m)
                    && needs.fits_in(&self.room_after_reservations(m, ix))
                    && self.worker_allowed(ix, m)
                    && self.in_tier(ix, m, tier)
            })
            .map(|m| (m, self.value(ix, m)))
            .collect();
        lots.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        for (m, _) in lots {
            while left > 0
                && needs.fits_in(&self.room_after_reservations(m, ix))
                && self.start_one(ix, m)
            {
                left -= 1;
            }
        }
    }
}
