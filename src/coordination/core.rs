//! The leader's core: `step(now, inputs) -> effects`, without any I/O.
//!
//! It keeps possible locations, not beliefs. A copy of a task counts until
//! something proves it gone; every start is checked against all copies that
//! may exist at that moment.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::protocol::JobId;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::{JobOutcome, JobSpec, Kind, Phase, Priority, Resources};
use crate::protocol::peer::Lookup;
use crate::protocol::worker::Verb;
use crate::settings::{Objective, Tuning};
use crate::storage::bitmap;
use crate::storage::{Snapshot, StoredJob};

use super::auction::Group;
use super::fencing::Fencing;
pub use super::messages::*;
use super::model::*;
use super::persistence::WriteQueue;
use super::registry::WorkerRegistry;
pub use super::state::{Config, Core, TeamUsage};
use super::state::{Migrations, Provisioning, WINDOW_S};

/// Silence and ends of leases are looked for so often, and before every batch.
const WATCH_S: f64 = 0.05;
/// Steps come at least every 50 ms while this node may lead; a longer break is a lapse.
const LAPSE_S: f64 = 0.5;
/// How long a job's done bits may wait to be stored together.
const PROGRESS_EVERY_S: f64 = 2.0;
/// Arrays of so many tasks bid with those that are like them.
const FEW_TASKS: u32 = 8;

impl Core {
    pub fn new(
        config: Config,
        token: u64,
        now: Time,
        types: Vec<MachineType>,
        snapshot: Snapshot,
    ) -> Self {
        let mut zones = Interner::default();
        for zone in &config.cluster.zones {
            zones.intern(zone);
        }
        let mut team_names = Interner::default();
        let mut teams = Vec::new();
        for team in &config.cluster.teams {
            team_names.intern(&team.name);
            teams.push(TeamUsage {
                quota: Resources::new(team.cpus, team.gpus, 0.0),
                limit: Resources::new(team.cpus_max, team.gpus_max, 0.0),
                used: Resources::default(),
                unknown: Resources::default(),
            });
        }
        let value_bytes = (config.cluster.state.value_kb * 1024.0) as usize;
        let provisioning = Provisioning::new(token, now);
        let mut core = Self {
            chunk_tasks: bitmap::tasks_per_chunk(value_bytes),
            config,
            token,
            elected_at: now,
            listening_since: now,
            valid_since: now,
            now,
            zones,
            types: Types::default(),
            images: Interner::default(),
            image_gb: Vec::new(),
            team_names,
            teams,
            jobs: Slab::default(),
            job_ids: JobIds::new(),
            workers: Slab::default(),
            worker_ids: HashMap::new(),
            gone: BTreeSet::new(),
            provisioning,
            large_task_profiles: Vec::new(),
            scheduling_class: BTreeMap::new(),
            next_in_tail: 0,
            over: HashMap::new(),
            cancel_early: BTreeSet::new(),
            // Unique across leaders: no two have the same token.
            next_attempt: (token << 24) + 1,
            next_message_id: 1,
            effects: Vec::new(),
            write_queue: WriteQueue::default(),
            registry: WorkerRegistry::new(value_bytes),
            fencing: Fencing::new(value_bytes),
            sharding: None,
            lease_extended_until: f64::NEG_INFINITY,
            valid_until: f64::NEG_INFINITY,
            unknown_workers: false,
            next_batch: now,
            next_second: now,
            next_watch: now,
            move_credit: 0.0,
            migrations: Migrations::default(),
            drains: BTreeMap::new(),
            reconciliation_complete: false,
            failover: None,
        };
        core.types.update(types);
        for drain in snapshot.drains {
            core.restore_drain(drain);
        }
        for job in snapshot.jobs {
            core.add_job(job);
        }
        for stored in snapshot.progress {
            core.restore_progress(&stored);
        }
        for page in snapshot.registry {
            core.restore_registry(page);
        }
        core.restore_fencing(snapshot.fencing, snapshot.vote_binding_until);
        for ix in core.jobs.indices() {
            core.finish_if_done(ix);
        }
        core.begin_failover_stats();
        core
    }

    pub fn step(&mut self, now: Time, inputs: Vec<Input>) -> Vec<Effect> {
        if now - self.now > LAPSE_S {
            self.valid_since = now;
        }
        self.now = now.max(self.now);
        for input in inputs {
            self.take(input);
        }
        let batch = self.now >= self.next_batch;
        if batch || self.now >= self.next_watch {
            // Each looks at every worker: at each message they took the larger part of a step.
            self.next_watch = self.now + WATCH_S;
            self.expire_leases();
            self.release_unresponsive_workers();
        }
        if batch {
            self.next_batch = self.now + WINDOW_S;
            self.block_unreconciled_jobs();
            self.balance_shards();
            self.fence_unresponsive_workers();
            self.run_batch();
        }
        if self.now >= self.next_second {
            self.next_second = self.now + 1.0;
            self.every_second();
            self.advance_migrations();
            self.advance_drains();
            if self.config.tuning.defragmentation.enabled {
                self.free_whole_workers();
            } else {
                self.rebalance_replicas();
            }
            self.log_demand();
        }
        self.record_failover_progress();
        self.flush_commands();
        self.flush_writes();
        std::mem::take(&mut self.effects)
    }

    /// This process stood still while its clock ran on. Whoever was silent in that
    /// time was not asked: a node that had slept once gave leadership up, and might
    /// have returned good workers. Leases are another matter: they run on.
    pub fn paused(&mut self, pause_s: f64) {
        self.listening_since += pause_s;
        self.shift_shard_statuses(pause_s);
        for (_, worker) in self.workers.iter_mut() {
            let of_worker = [
                &mut worker.last_heartbeat_at,
                &mut worker.reported_at,
                &mut worker.unanswered_at,
            ];
            for at in of_worker {
                *at = at.map(|t| t + pause_s);
            }
        }
    }

    /// What users are told of a job. Only for a leader whose lease is good.
    pub fn lookup(&self, id: JobId) -> Lookup {
        if let Some(&end) = self.over.get(&id) {
            return Lookup::Terminal(end);
        }
        match self.job_ids.get(&id).map(|&ix| &self.jobs[ix]) {
            Some(job) if job.state == JobState::Live => Lookup::Live {
                phase: if job.running > 0 {
                    Phase::Running
                } else {
                    Phase::Pending
                },
                done: job.done,
                running: job.running,
            },
            // An end that is being stored may already be known elsewhere.
            _ => Lookup::NotInMemory,
        }
    }

    pub(super) fn take(&mut self, input: Input) {
        match input {
            Input::Heartbeat { ticket, heartbeat } => self.handle_heartbeat(ticket, heartbeat),
            Input::Direct {
                worker,
                message_id,
                outcome,
            } => self.handle_command_outcome(&worker, message_id, outcome),
            Input::ShardStatus { ticket, word } => self.handle_shard_status(ticket, word),
            Input::BufferedHeartbeats(forwarded) => self.handle_buffered_heartbeats(forwarded),
            Input::RelayFailed {
                controller,
                message_ids,
                surely,
            } => self.handle_relay_failure(controller, message_ids, surely),
            Input::Job(job) => self.add_job(job),
            Input::CancelBegin { ticket, job } => {
                let begin = self.begin_cancellation(job);
                self.effects.push(Effect::Cancel { ticket, begin });
            }
            Input::CancelSettled { job, end } => self.finish_cancellation(job, end),
            Input::Admin {
                ticket,
                order,
                unix_ms,
            } => self.operate(ticket, order, unix_ms),
            Input::Written(results) => self.handle_write_results(results),
            Input::Types(types) => self.learn_types(types),
            Input::ListedWorker(list) => self.handle_worker_list(list),
            Input::ScaledOut { request, outcome } => {
                self.handle_scale_out_result(&request, outcome);
            }
            Input::ScaledIn { workers, ok } => self.handle_scale_in_result(workers, ok),
        }
    }

    /// Where each class stands, for whoever looks for the cause of a delay.
    pub(super) fn log_demand(&self) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let mut classes: BTreeMap<&str, [u32; 4]> = BTreeMap::new();
        for (_, job) in self.jobs.iter().filter(|(_, j)| j.state == JobState::Live) {
            let [jobs, waiting, placed, running] = classes.entry(&job.spec.class).or_default();
            *jobs += 1;
            *waiting += job.waiting();
            *placed += job.active - job.running.min(job.active);
            *running += job.running;
        }
        for (class, [jobs, waiting, placed, running]) in classes {
            tracing::debug!(class, jobs, waiting, placed, running, "demand");
        }
        let mut kinds: BTreeMap<(u32, u32, bool), [u32; 7]> = BTreeMap::new();
        for (m, worker) in self.workers.iter() {
            let place = (worker.kind, worker.zone, worker.spot);
            let [all, usable, empty, gangs, replicas, kept, reserved] =
                kinds.entry(place).or_default();
            *all += 1;
            *usable += u32::from(self.worker_usable(m));
            *empty += u32::from(self.worker_usable(m) && worker.used == Resources::default());
            let holds = |test: fn(&Job) -> bool| {
                let mut instances = worker.instances.iter().filter(|(_, c)| c.possible());
                u32::from(instances.any(|(k, _)| test(&self.jobs[k.job])))
            };
            *gangs += holds(Job::is_gang);
            *replicas += holds(Job::is_service);
            *kept += u32::from(worker.reserved_for.is_some());
            *reserved += u32::from(!worker.reservations.is_empty());
        }
        for ((kind, zone, spot), counts) in kinds {
            let [all, usable, empty, gangs, replicas, kept, reserved] = counts;
            let (kind, zone) = (self.types.names.name(kind), self.zones.name(zone));
            tracing::debug!(
                kind, zone, spot, all, usable, empty, gangs, replicas, kept, reserved, "supply"
            );
        }
    }

    // ---- jobs ----

    pub(super) fn learn_types(&mut self, types: Vec<MachineType>) {
        self.types.update(types);
        for ix in self.jobs.indices() {
            // Jobs that came before their types were known.
            if self.jobs[ix].large_task_profile.is_none() {
                self.jobs[ix].large_task_profile = self.record_large_task_arrival(ix);
            }
        }
    }

    pub(super) fn intern_image(&mut self, name: &str, gb: f64) -> u32 {
        let ix = self.images.intern(name);
        if self.image_gb.len() <= ix as usize {
            self.image_gb.resize(ix as usize + 1, 0.0);
        }
        if gb > 0.0 {
            self.image_gb[ix as usize] = gb;
        }
        ix
    }

    pub(super) fn add_job(&mut self, stored: StoredJob) {
        let id = stored.spec.id;
        // The watch may show again what the snapshot held, or a job that is over by now.
        if self.job_ids.contains_key(&id) || self.over.contains_key(&id) {
            return;
        }
        let spec = stored.spec;
        let image = self.intern_image(&spec.image, spec.image_gb);
        let team = self.team_names.intern(&spec.team);
        if self.teams.len() <= team as usize {
            self.teams.resize(team as usize + 1, TeamUsage::default());
        }
        let zone = spec.zone.as_ref().map(|z| self.zones.intern(z));
        let types = spec
            .machine_types
            .as_ref()
            .map(|list| list.iter().map(|t| self.types.intern(t)).collect());
        let chunks = spec.tasks.div_ceil(self.chunk_tasks) as usize;
        let state = if self.cancel_early.contains(&id) {
            JobState::Cancelling
        } else {
            JobState::Live
        };
        let objectives = &self.config.cluster.objectives;
        let fetch_s = spec.image_gb / self.types.fastest_fetch(types.as_deref());
        let job = Job {
            version: stored.version,
            state,
            team,
            image,
            zone,
            types,
            tasks: vec![Task::default(); spec.tasks as usize],
            done: 0,
            active: 0,
            running: 0,
            by_zone: vec![0; self.zones.len()],
            fresh: 0,
            retry: VecDeque::new(),
            predates_election: stored.version < self.token,
            blocked: stored.version < self.token && !self.reconciliation_complete,
            seen_at: self.now - stored.age_s,
            accepted_ms: stored.accepted_ms,
            unplaced_since: None,
            worthwhile_s: worthwhile_s(objectives, &spec),
            patience_s: patience_s(objectives, &spec),
            start_by: start_by(objectives, &spec, fetch_s),
            scheduling_class: None,
            large_task_profile: None,
            attempt: None,
            proved: false,
            failed_on: Vec::new(),
            failures: 0,
            retry_at: 0.0,
            chunks: vec![0; chunks],
            chunk_due: vec![None; chunks],
            entries: 0,
            within_quota: false,
            warned_at: 0.0,
            movable: movable(&self.config.tuning, &spec),
            pinned: pinned(&self.config.tuning, &spec),
            protected: protected(&self.config.tuning, &spec),
            spec,
        };
        let ix = self.jobs.insert(job);
        self.job_ids.insert(id, ix);
        self.jobs[ix].large_task_profile = self.record_large_task_arrival(ix);
        self.jobs[ix].scheduling_class = self.scheduling_class_of(ix);
    }

    pub(super) fn scheduling_class_of(&mut self, ix: u32) -> Option<u32> {
        let job = &self.jobs[ix];
        let spec = &job.spec;
        let small =
            spec.kind == Kind::Array && spec.tasks <= FEW_TASKS && job.large_task_profile.is_none();
        if !small || spec.one_zone || spec.spread {
            return None;
        }
        let (cpu_slots, gpu_slots) = Group::sized(&spec.needs, self.config.tuning.slot_cpus);
        let scheduling_class_of = SchedulingClass {
            team: job.team,
            priority: spec.priority,
            class: spec.class.clone(),
            image: job.image,
            zone: job.zone,
            types: job.types.clone(),
            spot: spec.spot,
            cpu_slots,
            gpu_slots,
            memory_step: ((spec.needs.memory.max(1) as f64).log2() * 2.0).ceil() as u32,
        };
        let next = self.scheduling_class.len() as u32;
        Some(
            *self
                .scheduling_class
                .entry(scheduling_class_of)
                .or_insert(next),
        )
    }

    pub(super) fn begin_cancellation(&mut self, id: JobId) -> CancelBegin {
        if let Some(&end) = self.over.get(&id) {
            return CancelBegin::Terminal(end);
        }
        let Some(&ix) = self.job_ids.get(&id) else {
            self.cancel_early.insert(id);
            return CancelBegin::Go { done: 0 };
        };
        match self.jobs[ix].state {
            JobState::Terminal(end) => CancelBegin::Terminal(end),
            JobState::Finishing => CancelBegin::Busy,
            JobState::Live | JobState::Cancelling => {
                self.jobs[ix].state = JobState::Cancelling;
                // Before it is stored: whether it was may stay unknown for as long as the state
                // service is down, while another node has read that it was, and told the user.
                self.stop_all_of(ix);
                CancelBegin::Go {
                    done: self.jobs[ix].done,
                }
            }
        }
    }

    pub(super) fn finish_cancellation(&mut self, id: JobId, end: Option<JobOutcome>) {
        self.cancel_early.remove(&id);
        match end {
            Some(end) => self.end_job(id, end),
            // It was never accepted, so there is nothing to hold back.
            None => {
                if let Some(&ix) = self.job_ids.get(&id)
                    && self.jobs[ix].state == JobState::Cancelling
                {
                    self.jobs[ix].state = JobState::Live;
                    self.finish_if_done(ix);
                }
            }
        }
    }

    /// The stored end of a job: nothing of it runs any more.
    pub(super) fn end_job(&mut self, id: JobId, end: JobOutcome) {
        self.over.insert(id, end);
        let Some(&ix) = self.job_ids.get(&id) else {
            return;
        };
        let job = &mut self.jobs[ix];
        job.state = JobState::Terminal(end);
        let chunks: Vec<(u32, u64)> = (0u32..).zip(job.chunks.iter().copied()).collect();
        for (chunk, version) in chunks {
            self.drop_chunk(id, chunk, version);
        }
        tracing::info!(job = %id, phase = end.phase.spelling(), "job over");
        if self.jobs[ix].entries == 0 {
            self.free_if_over(ix);
            return;
        }
        // The last of them to go frees the job.
        self.stop_all_of(ix);
    }

    /// Nothing of a job starts any more, and all of it that may be on a worker is stopped.
    fn stop_all_of(&mut self, ix: u32) {
        for m in self.workers.indices() {
            for key in self.instances_of(m, ix) {
                self.stop_instance(m, key, 0.0);
            }
        }
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

    pub(super) fn free_if_over(&mut self, ix: u32) {
        let job = &self.jobs[ix];
        if !matches!(job.state, JobState::Terminal(_)) || job.entries > 0 {
            return;
        }
        self.job_ids.remove(&job.spec.id);
        for (_, m) in self.workers.iter_mut() {
            m.reservations.retain(|c| c.job != ix);
            m.failed.remove(&ix);
        }
        self.jobs.remove(ix);
    }

    pub(super) fn mark_done(&mut self, ix: u32, task: u32) {
        let chunk_tasks = self.chunk_tasks;
        let due = self.now + PROGRESS_EVERY_S;
        let job = &mut self.jobs[ix];
        let t = &mut job.tasks[task as usize];
        if t.done || job.is_service() {
            return;
        }
        let job = &mut self.jobs[ix];
        let t = &mut job.tasks[task as usize];
        t.done = true;
        if t.instances > 0 {
            job.active -= 1;
        }
        job.done += 1;
        self.schedule_progress_write(ix, task / chunk_tasks, due);
        self.finish_if_done(ix);
    }

    pub(super) fn finish_if_done(&mut self, ix: u32) {
        let job = &mut self.jobs[ix];
        if job.state == JobState::Live && job.done == job.spec.tasks {
            job.state = JobState::Finishing;
            self.write_queue.push_finished_job(ix);
        }
    }
}

/// What an operator is asked about before it is disturbed: services of the highest rank,
/// and classes that the settings protect.
fn protected(tuning: &Tuning, spec: &JobSpec) -> bool {
    (spec.kind == Kind::Service && spec.priority == Priority::Production)
        || tuning.class.get(&spec.class).is_some_and(|c| c.protected)
}

/// Whether a job's tasks may be moved while they run: the stricter of its own mark and
/// its class's counts, and what is protected never moves.
fn movable(tuning: &Tuning, spec: &JobSpec) -> bool {
    !pinned(tuning, spec) && !protected(tuning, spec)
}

fn pinned(tuning: &Tuning, spec: &JobSpec) -> bool {
    let class = tuning.class.get(&spec.class);
    spec.movable == Some(false) || class.is_some_and(|c| c.protected || c.movable == Some(false))
}

/// How long after its submission finishing a job is still worth most.
fn worthwhile_s(objectives: &[Objective], spec: &JobSpec) -> f64 {
    objectives
        .iter()
        .filter(|o| o.class.as_deref() == Some(&spec.class))
        .filter_map(|o| match o.kind.as_str() {
            "finished" => o.within_s,
            "deadline" => Some(spec.deadline_s? * o.times.unwrap_or(1.0)),
            _ => None,
        })
        .reduce(f64::max)
        .or(spec.deadline_s)
        .unwrap_or(3600.0)
}

/// How long after its submission a job must be placed to start in time, by each
/// aim, if most workers have yet to fetch its image. One that is past that
/// leaves its turn to those that can still be in time.
fn start_by(objectives: &[Objective], spec: &JobSpec, fetch_s: f64) -> Vec<f64> {
    let mut all: Vec<f64> = waits(objectives, spec)
        .map(|within| (within - 0.8 * fetch_s).max(within * 0.2))
        .collect();
    all.sort_by(f64::total_cmp);
    if all.is_empty() {
        all.push(patience_s(objectives, spec));
    }
    all
}

fn waits(objectives: &[Objective], spec: &JobSpec) -> impl Iterator<Item = f64> {
    objectives
        .iter()
        .filter(|o| o.kind == "wait" && o.class.as_deref() == Some(&spec.class))
        .filter_map(|o| o.within_s)
}

/// Seconds of delay at the start that cost a job most of its value.
fn patience_s(objectives: &[Objective], spec: &JobSpec) -> f64 {
    waits(objectives, spec).fold(120.0, f64::min).max(0.5)
}
