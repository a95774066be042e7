//! Work that moves so that whole workers come free, or so that a node empties.
//!
//! `copperfield_defrag` plans; this carries out. A move claims its target, stops the
//! task in order, and waits until the old copy is surely gone. Then the task waits
//! like any other, and the claim brings it to its target with a new attempt. So a
//! move adds no way for a task to start: whatever fails on the way, the rules are
//! kept by the same checks as ever (`instances`). Nothing of a move is stored: a new
//! leader finds the task where it is, saving, or nowhere, and goes on from there.

use std::collections::BTreeMap;

use copperfield_defrag as defrag;
use copperfield_protocol::job::Resources;

use crate::protocol::JobId;
use crate::protocol::cloud::MachineType;
use crate::protocol::worker::TaskPhase;

use super::gangs::grace_to_save;
use super::model::*;
use super::state::{Core, SETTLED_S, TaskMigration};

/// What ends by itself within so many seconds is not moved.
const SOON_S: f64 = 5.0;
/// How long a move takes beside saving and fetching.
const MOVE_S: f64 = 1.0;
/// From an order to the proof that it was carried out, beside the time to save: a
/// report, and a message that is sent again.
const PROOF_S: f64 = 4.0;
/// From the proof until the task is seen at its target, beside the fetch.
const ARRIVAL_S: f64 = 10.0;
/// Jobs that are planned for in one second.
const WANTS: usize = 3;
/// Moves for one job that came to nothing, before nothing more is moved for it.
const TRIES: u32 = 6;
/// The first pause after moves that came to nothing; it doubles each time.
const PAUSE_S: f64 = 10.0;
/// Ended moves that operators can look at.
const RECENT: usize = 50;

/// The fleet as the planner sees it, and which indices are whose.
struct View {
    fleet: defrag::Fleet,
    workers: Vec<u32>,
    instances: Vec<InstanceId>,
}

impl Core {
    /// Once a second: moves what may move off the workers that the most important
    /// whole-worker jobs wait for.
    pub(super) fn free_whole_workers(&mut self) {
        let now = self.now;
        let mut wants: Vec<(f64, u32)> = self
            .jobs
            .iter()
            .filter(|(ix, j)| {
                j.state == JobState::Live
                    && j.large_task_profile.is_some()
                    && !j.blocked
                    && j.unplaced_since.is_some_and(|t| now - t > 1.0)
                    && !self.is_mistaken(*ix)
            })
            .map(|(ix, _)| (self.weight(ix), ix))
            .collect();
        wants.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let waiting: Vec<JobId> = wants.iter().map(|&(_, ix)| self.jobs[ix].spec.id).collect();
        let moves = &mut self.migrations;
        moves.reasons.retain(|id, _| waiting.contains(id));
        moves.patience.retain(|id, _| waiting.contains(id));
        let mut planned = 0;
        for (_, ix) in wants {
            if planned == WANTS {
                break;
            }
            let id = self.jobs[ix].spec.id;
            let (tries, next) = self
                .migrations
                .patience
                .get(&id)
                .copied()
                .unwrap_or_default();
            let reason = if tries >= TRIES {
                "moves for it came to nothing too often".to_string()
            } else if next > now {
                "moves for it came to nothing; they are tried again later".to_string()
            } else {
                planned += 1;
                match self.free_for(ix) {
                    Ok(moves) => format!("{moves} moves are under way"),
                    Err(reason) => {
                        tracing::debug!(job = %id, reason, "nothing moves");
                        reason
                    }
                }
            };
            self.migrations.reasons.insert(id, reason);
        }
    }

    /// Plans and begins the moves for one job. Returns how many there are now.
    fn free_for(&mut self, ix: u32) -> Result<usize, String> {
        let job = &self.jobs[ix];
        let id = job.spec.id;
        let whole = self.is_whole_gang(ix);
        let missing = job.waiting().min(self.canaries(ix));
        let sure = self.certain_reservations(ix);
        let missing = missing.saturating_sub(sure.len() as u32);
        let under_way = |core: &Self| {
            let live = core.migrations.live.iter();
            live.filter(|r| r.wanted_by == Some(id)).count()
        };
        if missing == 0 {
            return match under_way(self) {
                0 => Err("room for it is claimed and comes free".into()),
                moves => Ok(moves),
            };
        }
        if whole && job.active > 0 {
            return Err("tasks of its last attempt have not ended yet".into());
        }
        if !self.team_allows(job.team, &job.spec.needs) {
            return Err("its team has reached its limit".into());
        }
        let by_itself_s = self.by_itself_s(ix, missing as usize);
        if by_itself_s <= SOON_S {
            return Err("room for it comes free by itself".into());
        }
        let want = self.want(ix, missing, &sure, whole, by_itself_s);
        let want = want.ok_or("no machine suits it")?;
        let limits = self.limits();
        if limits.moves == 0 {
            return Err("as many moves are under way as may be".into());
        }
        let view = self.view(Some(ix), &sure);
        let plan = defrag::free(&view.fleet, &want, &limits).map_err(|r| r.to_string())?;
        if plan.moves.is_empty() {
            return Err("room for it comes free by itself".into());
        }
        tracing::info!(
            job = %id,
            workers = plan.frees.len(),
            moves = plan.moves.len(),
            lost_s = plan.lost_s,
            cost = plan.cost,
            "defragmentation plan accepted"
        );
        let longest = plan
            .moves
            .iter()
            .map(|mv| self.stop_s(view.instances[mv.instance as usize].job))
            .fold(SOON_S, f64::max);
        // What it waited for elsewhere it waits for no more.
        for m in self.workers.indices() {
            if !sure.contains(&m) {
                self.workers[m].reservations.retain(|c| c.job != ix);
            }
        }
        for &m in plan.frees.iter().chain(&plan.free_already) {
            self.reserve(view.workers[m as usize], ix, longest + ARRIVAL_S);
        }
        if !self.begin(&view, &plan.moves, Some(id)) {
            return Err("room at a target is gone again".into());
        }
        for &m in plan.frees.iter().chain(&plan.free_already) {
            self.clear_guests(view.workers[m as usize], ix);
        }
        Ok(under_way(self))
    }

    /// Workers that are claimed for a job and will surely have room: moves off them are
    /// under way, or what is on them ends in a moment. Other claims only keep new work off
    /// a worker until the old has ended, and moves may do better.
    fn certain_reservations(&self, ix: u32) -> Vec<u32> {
        let job = &self.jobs[ix];
        let moving = |m: u32| {
            let mut live = self.migrations.live.iter();
            live.any(|r| r.wanted_by == Some(job.spec.id) && r.from == self.workers[m].name)
        };
        let reserved = |m: &u32| self.workers[*m].reservations.iter().any(|c| c.job == ix);
        let mut workers = self.workers.indices();
        workers.retain(reserved);
        workers.retain(|&m| {
            let soon = self.drained_in(&job.spec.needs, m);
            moving(m) || soon.is_some_and(|s| s <= SOON_S)
        });
        workers
    }

    /// In how many seconds a job would have its places without any move, as far as
    /// estimates tell.
    fn by_itself_s(&self, ix: u32, places: usize) -> f64 {
        let job = &self.jobs[ix];
        let mut by_zone: BTreeMap<u32, Vec<f64>> = BTreeMap::new();
        for m in self.workers.indices() {
            let yields = |c: &Reservation| c.job == ix;
            if self.reservable(ix, m)
                && self.workers[m].reservations.iter().all(yields)
                && let Some(s) = self.drained_in(&job.spec.needs, m)
            {
                let zone = if job.spec.one_zone {
                    self.workers[m].zone
                } else {
                    0
                };
                by_zone.entry(zone).or_default().push(s);
            }
        }
        let last = by_zone.into_values().filter_map(|mut times| {
            times.sort_by(f64::total_cmp);
            times.get(places.saturating_sub(1)).copied()
        });
        last.fold(f64::INFINITY, f64::min)
    }

    /// What a job wants of the planner; `None` if no known worker suits it. A place is
    /// worth the waiting that it spares.
    fn want(
        &self,
        ix: u32,
        tasks: u32,
        sure: &[u32],
        whole: bool,
        by_itself_s: f64,
    ) -> Option<defrag::Want> {
        let job = &self.jobs[ix];
        let tuning = &self.config.tuning;
        let place_price = (0u32..)
            .zip(&self.types.known)
            .filter(|(k, _)| job.types.as_ref().is_none_or(|l| l.contains(k)))
            .filter_map(|(_, t)| t.as_ref())
            .filter(|t| job.spec.needs.fits_in(&t.whole))
            .map(|t| t.price / 3600.0 * tuning.owned_price * job.spec.needs.share_of(&t.whole))
            .reduce(f64::min)?;
        let mut by_zone = job.by_zone.clone();
        by_zone.resize(self.zones.len(), 0);
        for &m in sure {
            by_zone[self.workers[m].zone as usize] += 1;
        }
        Some(defrag::Want {
            needs: job.spec.needs,
            rank: job.spec.priority as u8,
            tasks,
            one_zone: job.spec.one_zone,
            zone_cap: job.zone_cap(),
            by_zone,
            kinds: job.types.clone(),
            zone: job.zone,
            spot: job.spec.spot,
            whole,
            worth: self.weight(ix) * place_price * tuning.defragmentation.worth_s.min(by_itself_s),
        })
    }

    fn limits(&self) -> defrag::Limits {
        let limit = self.config.tuning.defragmentation.most_moves as usize;
        defrag::Limits {
            moves: limit.saturating_sub(self.migrations.live.len()),
            soon_s: SOON_S,
            move_s: MOVE_S,
        }
    }

    /// The fleet for a plan: for a job that waits, or for a node that drains.
    fn view(&self, want: Option<u32>, sure: &[u32]) -> View {
        let now = self.now;
        let large_task_profile = want.and_then(|ix| self.jobs[ix].large_task_profile);
        let mut view = View {
            fleet: defrag::Fleet::default(),
            workers: Vec::new(),
            instances: Vec::new(),
        };
        let mut dense: BTreeMap<u32, u32> = BTreeMap::new();
        let mut away: BTreeMap<JobId, u32> = BTreeMap::new();
        for r in &self.migrations.live {
            *away.entry(r.id).or_default() += 1;
        }
        let mut avoid: BTreeMap<u32, Vec<u32>> = BTreeMap::new();
        for (m, worker) in self.workers.iter() {
            let Some(kind) = self.types.get(worker.kind) else {
                continue;
            };
            let at = view.workers.len() as u32;
            view.workers.push(m);
            let usable = self.worker_usable(m);
            let own = worker.reserved_for.is_some() && worker.reserved_for == large_task_profile;
            let weak = |c: &Reservation| Some(c.job) == want && !sure.contains(&m);
            let unclaimed = worker.reservations.iter().all(weak);
            let price = if worker.spot {
                kind.spot_price
            } else {
                kind.price * self.config.tuning.owned_price
            };
            view.fleet.workers.push(defrag::Worker {
                zone: worker.zone,
                kind: worker.kind,
                spot: worker.spot,
                receives: usable,
                frees: usable && unclaimed && (own || worker.reserved_for.is_none()),
                whole: kind.whole,
                room: match want.filter(|_| unclaimed) {
                    Some(ix) => self.room_after_reservations(m, ix),
                    None => self.room_after_reservations(m, u32::MAX),
                },
                price: price / 3600.0,
                fetch_gb_per_s: kind.fetch_gb_per_s,
                images: worker.images.clone(),
                yields: self.yields(m, kind, price / 3600.0),
            });
            for (&job, _) in worker.failed.iter().filter(|(_, t)| **t > now) {
                avoid.entry(job).or_default().push(at);
            }
            for (key, instance) in worker.instances.iter().filter(|(_, c)| c.possible()) {
                let work = *dense.entry(key.job).or_insert_with(|| {
                    let away = away.get(&self.jobs[key.job].spec.id).copied();
                    view.fleet.works.push(self.work(key.job, away.unwrap_or(0)));
                    view.fleet.works.len() as u32 - 1
                });
                let (ends_in_s, lost_s) = self.prospects(key, instance);
                view.fleet.instances.push(defrag::TaskInstance {
                    worker: at,
                    work,
                    movable: self.may_move(key, instance, lost_s, worker.draining),
                    ends_in_s,
                    lost_s,
                });
                view.instances.push(*key);
            }
        }
        for (job, workers) in avoid {
            if let Some(&work) = dense.get(&job) {
                view.fleet.works[work as usize].avoid = workers;
            }
        }
        view
    }

    /// What on a worker gives way to higher work, and for how much: what its stop loses,
    /// in the money that moves cost.
    fn yields(&self, m: u32, kind: &MachineType, price: f64) -> Vec<defrag::Yield> {
        let instances = self.workers[m].instances.iter();
        let stoppable = instances
            .filter(|(k, c)| c.possible() && c.stop.is_none() && !self.is_whole_gang(k.job));
        let mut yields: Vec<defrag::Yield> = stoppable
            .map(|(key, instance)| {
                let spec = &self.jobs[key.job].spec;
                let (_, lost_s) = self.prospects(key, instance);
                let share = spec.needs.share_of(&kind.whole);
                defrag::Yield {
                    rank: spec.priority as u8,
                    needs: spec.needs,
                    cost: self.weight(key.job) * price * share * (lost_s + MOVE_S),
                }
            })
            .collect();
        yields.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        yields
    }

    fn work(&self, ix: u32, away: u32) -> defrag::Work {
        let job = &self.jobs[ix];
        let share = self.config.tuning.defragmentation.away_share;
        let gang = self.is_whole_gang(ix);
        let limit = if gang {
            job.spec.tasks
        } else {
            (f64::from(job.active) * share).floor().max(1.0) as u32
        };
        defrag::Work {
            needs: job.spec.needs,
            rank: job.spec.priority as u8,
            weight: self.weight(ix),
            kinds: job.types.clone(),
            zone: job.zone,
            spot: job.spec.spot,
            one_zone: job.spec.one_zone,
            zone_cap: job.zone_cap(),
            by_zone: job.by_zone.clone(),
            image: job.image,
            image_gb: job.spec.image_gb,
            gang,
            may_leave: limit.saturating_sub(away),
            avoid: Vec::new(),
        }
    }

    /// In how many seconds a copy ends by itself, and how many seconds of its work a
    /// stop would lose.
    fn prospects(&self, key: &InstanceId, instance: &TaskInstance) -> (f64, f64) {
        let job = &self.jobs[key.job];
        if instance.stop.is_some() {
            return (0.0, 0.0);
        }
        if job.is_service() {
            return (f64::INFINITY, 0.0);
        }
        let ran = instance.running_since.map_or(0.0, |t| self.now - t);
        // One that has run for longer than was thought may run on for a while.
        let left = (job.work_s() - ran).max(job.work_s() * 0.1);
        let lost = if job.spec.checkpoint_s > 0.0 {
            job.spec.save_s
        } else {
            ran
        };
        (left, lost)
    }

    /// Whether a copy may be moved now. A node that drains does not wait for a start to
    /// have lasted; everything else holds for it too.
    fn may_move(
        &self,
        key: &InstanceId,
        instance: &TaskInstance,
        lost_s: f64,
        drains: bool,
    ) -> bool {
        let job = &self.jobs[key.job];
        let settings = &self.config.tuning.defragmentation;
        let saves = job.spec.checkpoint_s > 0.0;
        let settled = instance
            .running_since
            .is_some_and(|t| self.now - t > SETTLED_S);
        let has_aim = !job.start_by.is_empty() && job.patience_s < 120.0;
        let again = self.migrations.moved_at.get(&(job.spec.id, key.task));
        job.movable
            && job.state == JobState::Live
            && !job.blocked
            // What of it waits would take the target before the task comes there.
            && job.waiting() == 0
            && instance.phase == Some(TaskPhase::Running)
            && instance.sent == Sent::Seen
            && !instance.unacknowledged
            && instance.stop.is_none()
            && (drains || settled || !(has_aim || job.is_service()))
            && (job.is_service() || saves || lost_s < settings.lost_work_s)
            && again.is_none_or(|t| self.now - t > settings.again_after_s)
    }

    /// From the order to stop a task of a job until it is surely gone.
    fn stop_s(&self, ix: u32) -> f64 {
        let workers = &self.config.cluster.workers;
        let gang_s = if self.is_whole_gang(ix) {
            grace_to_save(self.jobs[ix].spec.save_s) + workers.gang_peer_s
        } else {
            self.grace_of(ix)
        };
        gang_s + workers.report_s * 1.25 + PROOF_S
    }

    /// Stops what is of a lower rank on a worker, as far as the job needs its room beside
    /// what leaves anyway.
    fn clear_guests(&mut self, m: u32, ix: u32) {
        let needs = self.jobs[ix].spec.needs;
        let mut room = self.free_room(m);
        let mut guests: Vec<(f64, InstanceId)> = Vec::new();
        for (key, instance) in self.workers[m]
            .instances
            .iter()
            .filter(|(_, c)| c.possible())
        {
            let job = &self.jobs[key.job];
            let (ends_in_s, lost_s) = self.prospects(key, instance);
            if instance.stop.is_some() || ends_in_s <= SOON_S {
                room.add(&job.spec.needs);
            } else if job.spec.priority < self.jobs[ix].spec.priority
                && !self.is_whole_gang(key.job)
            {
                guests.push((self.weight(key.job) * (lost_s + MOVE_S), *key));
            }
        }
        guests.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, key) in guests {
            if needs.fits_in(&room) {
                return;
            }
            room.add(&self.jobs[key.job].spec.needs);
            self.stop_in_order(m, key);
        }
    }

    /// Claims all targets, where lower work gives way if need be, and then stops the tasks
    /// in order; or does nothing if a target turns out to have no room.
    fn begin(&mut self, view: &View, moves: &[defrag::Move], wanted_by: Option<JobId>) -> bool {
        let wanted = wanted_by.and_then(|id| self.jobs.index_of(id));
        let large_task_profile = wanted.and_then(|ix| self.jobs[ix].large_task_profile);
        let mut stops = Vec::new();
        let mut held: Vec<(u32, u32)> = Vec::new();
        for mv in moves {
            let job = view.instances[mv.instance as usize].job;
            let to = view.workers[mv.to as usize];
            // One of those kept whole for the job is given up for the others: on a site
            // where all free room is kept, and no worker of it free, nothing else helps.
            if large_task_profile.is_some() && self.workers[to].reserved_for == large_task_profile {
                self.workers[to].reserved_for = None;
            }
            let Some((_, victims)) = self.victims(job, to) else {
                for (m, job) in held {
                    self.drop_hold(m, job);
                }
                return false;
            };
            let stop_s = self.stop_s(job) + self.grace_for(&victims);
            let start_s = self.fetch_s(job, to) * 1.5 + ARRIVAL_S;
            self.hold(to, job, stop_s + start_s);
            held.push((to, job));
            stops.extend(victims.into_iter().map(|key| (to, key)));
        }
        // The same guest may give way to two moves: one stop does for both.
        for (m, key) in stops {
            self.stop_in_order(m, key);
        }
        let mut going = Vec::new();
        for mv in moves {
            let key = view.instances[mv.instance as usize];
            let from = view.fleet.instances[mv.instance as usize].worker;
            let (from, to) = (view.workers[from as usize], view.workers[mv.to as usize]);
            let stop_s = self.stop_s(key.job);
            let start_s = self.fetch_s(key.job, to) * 1.5 + ARRIVAL_S;
            let migration = TaskMigration {
                id: self.jobs[key.job].spec.id,
                key,
                from: self.workers[from].name.clone(),
                to: self.workers[to].name.clone(),
                wanted_by,
                began: self.now,
                left: false,
                until: self.now + stop_s,
                start_s,
            };
            tracing::info!(
                job = %migration.id,
                task = key.task,
                from = migration.from,
                to = migration.to,
                "migration started"
            );
            let id = (migration.id, key.task);
            self.migrations.moved_at.insert(id, self.now);
            self.migrations.live.push(migration);
            going.push((from, key));
        }
        for (from, key) in going {
            self.stop_in_order(from, key);
        }
        true
    }

    /// A claim that stands before any task of the job waits.
    fn hold(&mut self, m: u32, ix: u32, for_s: f64) {
        self.reserve(m, ix, for_s);
        let reservations = self.workers[m].reservations.iter_mut();
        reservations
            .filter(|c| c.job == ix)
            .for_each(|c| c.held = true);
    }

    /// Once a second: how far each move is, and what has become of it.
    pub(super) fn advance_migrations(&mut self) {
        let mut live = std::mem::take(&mut self.migrations.live);
        let mut failed = Vec::new();
        live.retain_mut(|r| {
            let Some(end) = self.look_at(r) else {
                return true;
            };
            tracing::info!(job = %r.id, task = r.key.task, from = r.from, to = r.to, end, "migration finished");
            if !r.left && end == STAYED {
                failed.extend(r.wanted_by);
            }
            if end != ARRIVED {
                self.let_go(r);
            }
            self.migrations.recent.push_back((r.clone(), end));
            self.migrations.ended += 1;
            false
        });
        self.migrations.live = live;
        while self.migrations.recent.len() > RECENT {
            self.migrations.recent.pop_front();
        }
        failed.sort_unstable();
        failed.dedup();
        for id in failed {
            let (tries, next) = self.migrations.patience.entry(id).or_default();
            *next = self.now + PAUSE_S * 2f64.powi(*tries as i32);
            *tries += 1;
        }
        let again_s = self.config.tuning.defragmentation.again_after_s;
        let now = self.now;
        let moved_at = &mut self.migrations.moved_at;
        moved_at.retain(|_, t| now - *t <= again_s);
    }

    /// How a move ended, if it has.
    fn look_at(&mut self, r: &mut TaskMigration) -> Option<&'static str> {
        let job = self.jobs.get(r.key.job).filter(|j| j.spec.id == r.id);
        let Some(job) = job.filter(|j| matches!(j.state, JobState::Live | JobState::Finishing))
        else {
            return Some(OVER);
        };
        if job.tasks[r.key.task as usize].done {
            return Some(DONE);
        }
        let copy_at = |name: &str, test: &dyn Fn(&InstanceId) -> bool| {
            let worker = self.workers.index_of(name).map(|m| &self.workers[m])?;
            let mut instances = worker.instances.iter();
            instances
                .find(|(k, c)| c.possible() && test(k))
                .map(|(_, c)| c.phase)
        };
        if copy_at(&r.from, &|k| *k == r.key).is_some() {
            return (self.now > r.until).then_some(STAYED);
        }
        if !r.left {
            r.left = true;
            r.until = self.now + r.start_s;
        }
        let task = |k: &InstanceId| k.job == r.key.job && k.task == r.key.task;
        match copy_at(&r.to, &task) {
            Some(Some(TaskPhase::Running)) => return Some(ARRIVED),
            Some(_) => return (self.now > r.until).then_some(LATE),
            None => {}
        }
        if job.tasks[r.key.task as usize].instances > 0 {
            return Some(ELSEWHERE);
        }
        (self.now > r.until).then_some(UNPLACED)
    }

    /// Room that was held for a move that does not come.
    fn let_go(&mut self, r: &TaskMigration) {
        let Some(to) = self.workers.index_of(&r.to) else {
            return;
        };
        self.drop_hold(to, r.key.job);
    }

    fn drop_hold(&mut self, m: u32, ix: u32) {
        let reservations = &mut self.workers[m].reservations;
        if let Some(c) = reservations.iter_mut().find(|c| c.job == ix && c.held) {
            c.count = c.count.saturating_sub(1);
        }
        reservations.retain(|c| c.count > 0);
    }

    /// Moves off a draining node what may move and finds a place.
    pub(super) fn migrate_off_draining_worker(&mut self, m: u32) {
        let limits = self.limits();
        if limits.moves == 0 || self.workers[m].instances.is_empty() {
            return;
        }
        let view = self.view(None, &[]);
        let Some(at) = view.workers.iter().position(|&o| o == m) else {
            return;
        };
        let moves = defrag::empty(&view.fleet, at as u32, &limits);
        self.begin(&view, &moves, None);
    }

    /// What is whose on a worker, for operators.
    pub(super) fn leaving_tasks(&self, name: &str) -> u32 {
        let live = self.migrations.live.iter();
        live.filter(|r| !r.left && r.from == name).count() as u32
    }

    /// Moves that have ended under this leader, however they did.
    pub fn moves_ended(&self) -> usize {
        self.migrations.ended
    }

    /// How far a move is.
    pub(super) fn migration_stage(r: &TaskMigration) -> &'static str {
        match r.left {
            false => "stopping",
            true => "starting",
        }
    }
}

/// How moves end.
const ARRIVED: &str = "arrived";
const ELSEWHERE: &str = "started elsewhere";
const DONE: &str = "ended by itself";
const OVER: &str = "its job is over";
const STAYED: &str = "did not leave in time";
const LATE: &str = "still fetching";
const UNPLACED: &str = "waits for a place";

/// Room in the units that people read.
pub(super) fn readable_amounts(a: &Resources) -> [f64; 3] {
    [a.cpus, a.gpus, a.memory].map(|x| x as f64 / 1000.0)
}
