//! The leader's core: `step(now, inputs) -> effects`, without any I/O.
//!
//! It keeps possible locations, not beliefs. A copy of a task counts until
//! something proves it gone; every start is checked against all copies that
//! may exist at that moment.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::bookkeeping::writer::{Write, Written};
use crate::bookkeeping::{Snapshot, StoredJob, bitmap};
use crate::protocol::JobId;
use crate::protocol::cloud::{Listed, MachineType};
use crate::protocol::job::{Amounts, JobSpec, Kind, Phase};
use crate::protocol::peer::Lookup;
use crate::protocol::worker::{Command, Exit, MAX_COMMANDS, Report, TaskPhase, Verb, orders_body};
use crate::settings::{Cluster, Objective, Tuning};

use super::auction::Group;
use super::fleet::Fleet;
use super::model::*;
use super::roster::Roster;

/// The batch window of the design.
pub const WINDOW_S: f64 = 0.2;
/// Steady clocks drift apart by 0.05% each way; timers and queues add a little.
const DRIFT: f64 = 1.001;
const LEASE_MARGIN_S: f64 = 0.3;
/// How long a job's done bits may wait to be stored together.
const PROGRESS_EVERY_S: f64 = 2.0;
/// Arrays of so many tasks bid with those that are like them.
const FEW_TASKS: u32 = 8;
/// A task that has run for so long shows that its job is not mistaken.
const RUNS_WELL_S: f64 = 10.0;
/// Values in one transaction, under the 64 KiB that it may have.
pub(super) const TXN_BYTES: usize = 40 * 1024;

#[derive(Debug)]
pub enum Input {
    Report {
        ticket: u64,
        report: Report,
    },
    /// The end of a direct message.
    Direct {
        machine: String,
        flight: u64,
        outcome: DirectOutcome,
    },
    Job(StoredJob),
    CancelBegin {
        ticket: u64,
        job: JobId,
    },
    CancelSettled {
        job: JobId,
        phase: Option<Phase>,
    },
    Written(Vec<(Write, Written)>),
    Types(Vec<MachineType>),
    Listed(Vec<Listed>),
    Rented {
        request: String,
        outcome: RentOutcome,
    },
    Returned {
        machines: Vec<String>,
        ok: bool,
    },
}

#[derive(Debug)]
pub enum DirectOutcome {
    /// Surely not delivered.
    Unsent,
    /// Executed, with the report that followed.
    Executed(Report),
    /// Answered, but nothing was executed.
    Rejected(Option<Report>),
    /// It may still be carried out.
    Unknown,
}

#[derive(Debug, Clone, PartialEq)]
pub enum RentOutcome {
    Machines(Vec<String>),
    NoCapacity,
    /// Not carried out; worth trying later.
    Refused,
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelBegin {
    Over(Phase),
    /// Its end is just being stored.
    Busy,
    /// Nothing of it is started any more; store the cancellation.
    Go,
}

#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Answer a report: 200 with commands.
    Answer {
        ticket: u64,
        body: Vec<u8>,
    },
    /// Answer a report without renewing anything.
    Refuse {
        ticket: u64,
        why: &'static str,
    },
    Direct {
        machine: String,
        address: String,
        session: u64,
        flight: u64,
        commands: Vec<Command>,
    },
    Inspect {
        machine: String,
        address: String,
        flight: u64,
    },
    Write(Vec<Write>),
    Rent {
        request: String,
        machine_type: String,
        zone: String,
        spot: bool,
        count: u32,
    },
    Return(Vec<String>),
    List,
    ReadTypes,
    Cancel {
        ticket: u64,
        begin: CancelBegin,
    },
    /// A worker has seen a higher token than ours.
    Deposed,
}

/// Where a report came from: only a `/hello` proves what became of the
/// commands in the response before it, only a direct answer of its message.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Source {
    Hello,
    Direct { flight: u64, executed: bool },
}

pub struct Config {
    pub cluster: Cluster,
    pub tuning: Tuning,
}

#[derive(Debug, Clone, Default)]
pub struct TeamUse {
    pub guarantee: Amounts,
    pub most: Amounts,
    pub used: Amounts,
}

pub struct Core {
    pub config: Config,
    pub token: u64,
    pub(super) elected_at: Time,
    /// The election, put off by the pauses of this process since.
    listening_since: Time,
    pub(super) now: Time,
    pub(super) zones: Names,
    pub(super) types: Types,
    pub(super) images: Names,
    pub(super) image_gb: Vec<f64>,
    pub(super) team_names: Names,
    pub(super) teams: Vec<TeamUse>,
    pub(super) jobs: Slab<Job>,
    pub(super) job_ids: JobIds,
    pub(super) machines: Slab<Machine>,
    pub(super) machine_ids: HashMap<String, u32>,
    /// Machines that were returned: their late reports mean nothing.
    pub(super) gone: BTreeSet<String>,
    pub(super) fleet: Fleet,
    pub(super) shapes: Vec<Shape>,
    alike: BTreeMap<Likeness, u32>,
    /// Chunks of done bits that wait to be stored, the longest first.
    progress_due: VecDeque<(u32, u32)>,
    /// Where the last batch left off among the jobs that it had no time for.
    pub(super) next_in_tail: usize,
    /// Jobs that ended under this leader, by number.
    over: HashMap<JobId, Phase>,
    /// Jobs to be cancelled that the watch has not shown yet.
    cancel_early: BTreeSet<JobId>,
    next_attempt: u64,
    next_flight: u64,
    pub(super) effects: Vec<Effect>,
    writing: bool,
    finish: VecDeque<u32>,
    drop_progress: VecDeque<(JobId, u32, u64)>,
    pub(super) roster: Roster,
    /// A page of the roster cannot be read: any machine may hold anything.
    pub(super) unknown_machines: bool,
    next_batch: Time,
    next_second: Time,
    /// How long replicas may be away for moves, in seconds.
    pub(super) move_credit: f64,
    /// No earlier leader's start can be anywhere unknown any more.
    settled: bool,
    chunk_tasks: u32,
}

impl Core {
    pub fn new(
        config: Config,
        token: u64,
        now: Time,
        types: Vec<MachineType>,
        snapshot: Snapshot,
    ) -> Self {
        let mut zones = Names::default();
        for zone in &config.cluster.zones {
            zones.intern(zone);
        }
        let mut team_names = Names::default();
        let mut teams = Vec::new();
        for team in &config.cluster.teams {
            team_names.intern(&team.name);
            teams.push(TeamUse {
                guarantee: Amounts::new(team.cpus, team.gpus, 0.0),
                most: Amounts::new(team.cpus_max, team.gpus_max, 0.0),
                used: Amounts::default(),
            });
        }
        let value_bytes = (config.cluster.state.value_kb * 1024.0) as usize;
        let fleet = Fleet::new(token, now);
        let mut core = Self {
            chunk_tasks: bitmap::tasks_per_chunk(value_bytes),
            config,
            token,
            elected_at: now,
            listening_since: now,
            now,
            zones,
            types: Types::default(),
            images: Names::default(),
            image_gb: Vec::new(),
            team_names,
            teams,
            jobs: Slab::default(),
            job_ids: JobIds::new(),
            machines: Slab::default(),
            machine_ids: HashMap::new(),
            gone: BTreeSet::new(),
            fleet,
            shapes: Vec::new(),
            alike: BTreeMap::new(),
            progress_due: VecDeque::new(),
            next_in_tail: 0,
            over: HashMap::new(),
            cancel_early: BTreeSet::new(),
            // Unique across leaders: no two have the same token.
            next_attempt: (token << 24) + 1,
            next_flight: 1,
            effects: Vec::new(),
            writing: false,
            finish: VecDeque::new(),
            drop_progress: VecDeque::new(),
            roster: Roster::new(value_bytes),
            unknown_machines: false,
            next_batch: now,
            next_second: now,
            move_credit: 0.0,
            settled: false,
        };
        core.types.update(types);
        for job in snapshot.jobs {
            core.add_job(job);
        }
        for (id, chunk, bits, version) in snapshot.progress {
            core.restore_progress(id, chunk, &bits, version);
        }
        for page in snapshot.roster {
            core.restore_roster(page);
        }
        for ix in core.jobs.indices() {
            core.finish_if_done(ix);
        }
        core
    }

    pub fn step(&mut self, now: Time, inputs: Vec<Input>) -> Vec<Effect> {
        self.now = now.max(self.now);
        for input in inputs {
            self.take(input);
        }
        self.expire_leases();
        self.give_up_silent();
        if self.now >= self.next_batch {
            self.next_batch = self.now + WINDOW_S;
            self.settle();
            self.run_batch();
        }
        if self.now >= self.next_second {
            self.next_second = self.now + 1.0;
            self.every_second();
            self.move_replicas();
            self.log_demand();
        }
        self.flush_commands();
        self.flush_writes();
        std::mem::take(&mut self.effects)
    }

    /// This process stood still while its clock ran on. Whoever was silent in that
    /// time was not asked: a node that had slept once gave leadership up, and might
    /// have returned good machines. Leases are another matter: they run on.
    pub fn paused(&mut self, pause_s: f64) {
        self.listening_since += pause_s;
        for (_, machine) in self.machines.iter_mut() {
            for at in [&mut machine.heard_at, &mut machine.unanswered_at] {
                *at = at.map(|t| t + pause_s);
            }
        }
    }

    /// What users are told of a job. Only for a leader whose lease is good.
    pub fn lookup(&self, id: JobId) -> Lookup {
        if let Some(&phase) = self.over.get(&id) {
            return Lookup::Terminal(phase);
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
            _ => Lookup::AskState,
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Report { ticket, report } => self.take_hello(ticket, report),
            Input::Direct {
                machine,
                flight,
                outcome,
            } => self.take_direct(&machine, flight, outcome),
            Input::Job(job) => self.add_job(job),
            Input::CancelBegin { ticket, job } => {
                let begin = self.begin_cancel(job);
                self.effects.push(Effect::Cancel { ticket, begin });
            }
            Input::CancelSettled { job, phase } => self.settle_cancel(job, phase),
            Input::Written(results) => self.take_written(results),
            Input::Types(types) => self.learn_types(types),
            Input::Listed(list) => self.take_listed(list),
            Input::Rented { request, outcome } => self.take_rented(&request, outcome),
            Input::Returned { machines, ok } => self.take_returned(machines, ok),
        }
    }

    /// Where each class stands, for whoever looks for the cause of a delay.
    fn log_demand(&self) {
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
        for (m, machine) in self.machines.iter() {
            let place = (machine.kind, machine.zone, machine.spot);
            let [all, usable, empty, gangs, replicas, kept, claimed] =
                kinds.entry(place).or_default();
            *all += 1;
            *usable += u32::from(self.machine_usable(m));
            *empty += u32::from(self.machine_usable(m) && machine.used == Amounts::default());
            let holds = |test: fn(&Job) -> bool| {
                let mut copies = machine.copies.iter().filter(|(_, c)| c.possible());
                u32::from(copies.any(|(k, _)| test(&self.jobs[k.job])))
            };
            *gangs += holds(Job::is_gang);
            *replicas += holds(Job::is_service);
            *kept += u32::from(machine.kept_for.is_some());
            *claimed += u32::from(!machine.claims.is_empty());
        }
        for ((kind, zone, spot), counts) in kinds {
            let [all, usable, empty, gangs, replicas, kept, claimed] = counts;
            let (kind, zone) = (self.types.names.name(kind), self.zones.name(zone));
            tracing::debug!(
                kind, zone, spot, all, usable, empty, gangs, replicas, kept, claimed, "supply"
            );
        }
    }

    // ---- jobs ----

    fn learn_types(&mut self, types: Vec<MachineType>) {
        self.types.update(types);
        for ix in self.jobs.indices() {
            // Jobs that came before their types were known.
            if self.jobs[ix].shape.is_none() {
                self.jobs[ix].shape = self.shape_arrived(ix);
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

    fn add_job(&mut self, stored: StoredJob) {
        let id = stored.spec.id;
        // The watch may show again what the snapshot held, or a job that is over by now.
        if self.job_ids.contains_key(&id) || self.over.contains_key(&id) {
            return;
        }
        let spec = stored.spec;
        let image = self.intern_image(&spec.image, spec.image_gb);
        let team = self.team_names.intern(&spec.team);
        if self.teams.len() <= team as usize {
            self.teams.resize(team as usize + 1, TeamUse::default());
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
            old: stored.version < self.token,
            blocked: stored.version < self.token && !self.settled,
            seen_at: self.now - stored.age_s,
            accepted_ms: stored.accepted_ms,
            unplaced_since: None,
            worthwhile_s: worthwhile_s(objectives, &spec),
            patience_s: patience_s(objectives, &spec),
            start_by: start_by(objectives, &spec, fetch_s),
            alike: None,
            shape: None,
            attempt: None,
            proved: false,
            failed_on: Vec::new(),
            failures: 0,
            retry_at: 0.0,
            chunks: vec![0; chunks],
            chunk_due: vec![None; chunks],
            entries: 0,
            entitled: false,
            warned_at: 0.0,
            spec,
        };
        let ix = self.jobs.insert(job);
        self.job_ids.insert(id, ix);
        self.jobs[ix].shape = self.shape_arrived(ix);
        self.jobs[ix].alike = self.likeness(ix);
    }

    fn likeness(&mut self, ix: u32) -> Option<u32> {
        let job = &self.jobs[ix];
        let spec = &job.spec;
        let small = spec.kind == Kind::Array && spec.tasks <= FEW_TASKS && job.shape.is_none();
        if !small || spec.one_zone || spec.spread {
            return None;
        }
        let (cpu_slots, gpu_slots) = Group::sized(&spec.needs, self.config.tuning.slot_cpus);
        let likeness = Likeness {
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
        let next = self.alike.len() as u32;
        Some(*self.alike.entry(likeness).or_insert(next))
    }

    fn restore_progress(&mut self, id: JobId, chunk: u32, bits: &[u8], version: u64) {
        let Some(&ix) = self.job_ids.get(&id) else {
            // Left over from a job that has ended.
            self.drop_progress.push_back((id, chunk, version));
            return;
        };
        let from = chunk * self.chunk_tasks;
        let job = &mut self.jobs[ix];
        if let Some(v) = job.chunks.get_mut(chunk as usize) {
            *v = version;
        }
        for (i, task) in job.tasks.iter_mut().enumerate().skip(from as usize) {
            let bit = i - from as usize;
            let Some(byte) = bits.get(bit / 8) else { break };
            if byte & (1 << (bit % 8)) != 0 && !task.done {
                task.done = true;
                task.stored = true;
                job.done += 1;
            }
        }
    }

    fn begin_cancel(&mut self, id: JobId) -> CancelBegin {
        if let Some(&phase) = self.over.get(&id) {
            return CancelBegin::Over(phase);
        }
        let Some(&ix) = self.job_ids.get(&id) else {
            self.cancel_early.insert(id);
            return CancelBegin::Go;
        };
        match self.jobs[ix].state {
            JobState::Over(phase) => CancelBegin::Over(phase),
            JobState::Finishing => CancelBegin::Busy,
            JobState::Live | JobState::Cancelling => {
                self.jobs[ix].state = JobState::Cancelling;
                self.drop_queued(ix);
                CancelBegin::Go
            }
        }
    }

    fn settle_cancel(&mut self, id: JobId, phase: Option<Phase>) {
        self.cancel_early.remove(&id);
        match phase {
            Some(phase) => self.end_job(id, phase),
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
    fn end_job(&mut self, id: JobId, phase: Phase) {
        self.over.insert(id, phase);
        let Some(&ix) = self.job_ids.get(&id) else {
            return;
        };
        let job = &mut self.jobs[ix];
        job.state = JobState::Over(phase);
        let chunks: Vec<(u32, u64)> = (0u32..).zip(job.chunks.iter().copied()).collect();
        for (chunk, version) in chunks {
            if version > 0 {
                self.drop_progress.push_back((id, chunk, version));
            }
        }
        tracing::info!(job = %id, phase = phase.spelling(), "job over");
        if self.jobs[ix].entries == 0 {
            self.free_if_over(ix);
            return;
        }
        self.drop_queued(ix);
        for m in self.machines.indices() {
            for key in self.copies_of(m, ix) {
                if self.machines[m].copies[&key].exit().is_none() {
                    self.stop_copy(m, key, 0.0);
                }
            }
        }
        self.free_if_over(ix);
    }

    pub(super) fn copies_of(&self, m: u32, job: u32) -> Vec<CopyKey> {
        let from = CopyKey {
            job,
            task: 0,
            attempt: 0,
        };
        let to = CopyKey {
            job,
            task: u32::MAX,
            attempt: u64::MAX,
        };
        self.machines[m]
            .copies
            .range(from..=to)
            .map(|(k, _)| *k)
            .collect()
    }

    /// Starts of a job that were decided but have not left.
    fn drop_queued(&mut self, ix: u32) {
        for m in self.machines.indices() {
            for key in self.copies_of(m, ix) {
                if self.machines[m].copies[&key].sent == Sent::Queued {
                    self.unqueue(m, key);
                }
            }
        }
    }

    pub(super) fn unqueue(&mut self, m: u32, key: CopyKey) {
        let id = self.jobs[key.job].spec.id;
        self.machines[m].outbox.retain(|c| {
            !(c.verb == Verb::Start
                && c.job == id
                && c.task == key.task
                && c.attempt == key.attempt)
        });
        self.remove_copy(m, key);
    }

    fn free_if_over(&mut self, ix: u32) {
        let job = &self.jobs[ix];
        if !matches!(job.state, JobState::Over(_)) || job.entries > 0 {
            return;
        }
        self.job_ids.remove(&job.spec.id);
        for (_, m) in self.machines.iter_mut() {
            m.claims.retain(|c| c.job != ix);
            m.failed.remove(&ix);
        }
        self.jobs.remove(ix);
    }

    fn mark_done(&mut self, ix: u32, task: u32) {
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
        if t.copies > 0 {
            job.active -= 1;
        }
        job.done += 1;
        self.progress_due(ix, task / chunk_tasks, due);
        self.finish_if_done(ix);
    }

    fn progress_due(&mut self, ix: u32, chunk: u32, at: Time) {
        let due = &mut self.jobs[ix].chunk_due[chunk as usize];
        if due.is_none() {
            *due = Some(at);
            self.progress_due.push_back((ix, chunk));
        }
    }

    fn finish_if_done(&mut self, ix: u32) {
        let job = &mut self.jobs[ix];
        if job.state == JobState::Live && job.done == job.spec.tasks {
            job.state = JobState::Finishing;
            self.finish.push_back(ix);
        }
    }

    // ---- copies ----

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
    fn release(&mut self, m: u32, key: CopyKey) {
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
        machine.strays = false;
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
            sent_at: None,
        });
        let command = self.command(key, Verb::Stop { grace_s });
        self.machines[m].outbox.push(command);
    }

    fn command(&self, key: CopyKey, verb: Verb) -> Command {
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
        (t.most.cpus == 0 || t.used.cpus + needs.cpus <= t.most.cpus)
            && (t.most.gpus == 0 || t.used.gpus + needs.gpus <= t.most.gpus)
    }

    /// Whether the job's own conditions allow the machine at all.
    pub(super) fn machine_allowed(&self, ix: u32, m: u32) -> bool {
        let machine = &self.machines[m];
        self.machine_suits(ix, m) && machine.failed.get(&ix).is_none_or(|&t| t <= self.now)
    }

    /// The same whatever has happened on it: where any leader may start the job.
    fn machine_suits(&self, ix: u32, m: u32) -> bool {
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

    pub(super) fn machine_usable(&self, m: u32) -> bool {
        let machine = &self.machines[m];
        machine.synced
            && !machine.returning
            && !machine.strays
            && machine.recorded
            && machine.reclaim_at.is_none()
            && machine.quarantined_until <= self.now
            && machine.session > machine.dead_session
            && !self.is_silent(m)
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
        self.add_copy(m, key, copy);
        let command = self.command(key, Verb::Start);
        let machine = &mut self.machines[m];
        machine.outbox.push(command);
        if let Some(claim) = machine.claims.iter_mut().find(|c| c.job == ix) {
            claim.count = claim.count.saturating_sub(1);
        }
        machine.claims.retain(|c| c.count > 0);
    }

    // ---- machines ----

    pub(super) fn add_machine(
        &mut self,
        name: &str,
        address: &str,
        kind: u32,
        zone: u32,
        spot: bool,
    ) -> u32 {
        let ix = self.machines.insert(Machine {
            name: name.to_string(),
            address: address.to_string(),
            kind,
            zone,
            spot,
            session: 0,
            counter: 0,
            answered_at: None,
            heard_at: None,
            dead_session: 0,
            synced: false,
            reclaim_at: None,
            copies: BTreeMap::new(),
            used: Amounts::default(),
            strays: false,
            outbox: Vec::new(),
            flight: None,
            page: None,
            recorded: false,
            was_recorded: false,
            images: Vec::new(),
            claims: Vec::new(),
            kept_for: None,
            failed: BTreeMap::new(),
            quarantined_until: 0.0,
            quarantines: 0,
            returning: false,
            idle_since: None,
            next_probe: 0.0,
            unanswered_at: None,
        });
        self.machine_ids.insert(name.to_string(), ix);
        ix
    }

    fn take_hello(&mut self, ticket: u64, report: Report) {
        if report.token > self.token {
            self.effects.push(Effect::Refuse {
                ticket,
                why: "a newer leader is known",
            });
            self.effects.push(Effect::Deposed);
            return;
        }
        if self.gone.contains(&report.machine) {
            self.effects.push(Effect::Refuse {
                ticket,
                why: "the machine was returned",
            });
            return;
        }
        let m = match self.machine_ids.get(&report.machine) {
            Some(&m) => m,
            None => {
                let kind = self.types.intern(&report.machine_type);
                let zone = self.zones.intern(&report.zone);
                tracing::info!(machine = report.machine, "machine is up");
                self.machine_booted(&report.machine);
                self.add_machine(&report.machine, &report.address, kind, zone, report.spot)
            }
        };
        if report.session <= self.machines[m].dead_session {
            // Held back by the network: that session's lease ran out long ago.
            self.effects.push(Effect::Refuse {
                ticket,
                why: "the session is over",
            });
            return;
        }
        let machine = &mut self.machines[m];
        machine.answered_at = Some(self.now);
        let counter = report.counter;
        let newer = (report.session, report.counter) > (machine.session, machine.counter);
        if newer {
            self.apply_report(m, report, Source::Hello);
        }
        let commands = if newer {
            self.collect_commands(m, counter)
        } else {
            Vec::new()
        };
        self.effects.push(Effect::Answer {
            ticket,
            body: orders_body(self.token, None, &commands),
        });
    }

    fn take_direct(&mut self, name: &str, flight: u64, outcome: DirectOutcome) {
        let Some(&m) = self.machine_ids.get(name) else {
            return;
        };
        let machine = &mut self.machines[m];
        let starts = match machine.flight.take_if(|f| f.id == flight) {
            Some(f) => f.starts,
            None => return,
        };
        let (report, executed) = match outcome {
            DirectOutcome::Unsent => {
                machine.note_unanswered(self.now);
                machine.next_probe = self.now + 1.0;
                (None, false)
            }
            DirectOutcome::Executed(report) => {
                machine.next_probe = self.now;
                (Some(report), true)
            }
            DirectOutcome::Rejected(report) => {
                // One that answers is not left waiting: a new leader's next message
                // teaches it the token.
                machine.next_probe = if report.is_some() {
                    self.now
                } else {
                    self.now + 1.0
                };
                (report, false)
            }
            DirectOutcome::Unknown => {
                // The message may be held by the network for minutes: its starts stay
                // possible, and the attempt is not forgotten, until the session changes.
                tracing::info!(machine = name, starts = starts.len(), "commands unanswered");
                for key in starts {
                    if let Some(copy) = machine.copies.get_mut(&key)
                        && copy.sent == (Sent::Direct { flight })
                    {
                        copy.loose = true;
                    }
                }
                machine.note_unanswered(self.now);
                machine.next_probe = self.now + 1.0;
                return;
            }
        };
        if !executed {
            for key in &starts {
                let unsent = self.machines[m]
                    .copies
                    .get(key)
                    .is_some_and(|c| !c.loose && c.sent == Sent::Direct { flight });
                if unsent {
                    self.remove_copy(m, *key);
                    self.gang_lost_task(*key);
                }
            }
        }
        let Some(report) = report else { return };
        if report.token > self.token {
            self.effects.push(Effect::Deposed);
            return;
        }
        let machine = &mut self.machines[m];
        if report.machine != machine.name || report.session <= machine.dead_session {
            return;
        }
        let source = Source::Direct { flight, executed };
        if (report.session, report.counter) > (machine.session, machine.counter) {
            self.apply_report(m, report, source);
        } else if executed {
            // A later report has arrived first, and could not yet say what became of these.
            for key in starts {
                if let Some(copy) = self.machines[m].copies.get_mut(&key)
                    && copy.sent == (Sent::Direct { flight })
                {
                    let listed = report
                        .tasks
                        .iter()
                        .any(|t| t.task == key.task && t.attempt == key.attempt);
                    if listed {
                        copy.sent = Sent::Seen;
                    } else if !copy.loose {
                        self.remove_copy(m, key);
                    }
                }
            }
        }
    }

    fn apply_report(&mut self, m: u32, report: Report, source: Source) {
        let machine = &mut self.machines[m];
        if report.session > machine.session {
            if machine.session > 0 && !machine.copies.is_empty() {
                tracing::info!(
                    machine = machine.name,
                    "new session: all its tasks are gone"
                );
            }
            machine.synced = false;
            self.clear_machine(m);
        }
        let now = self.now;
        let own = self.token;
        let mut noticed = false;
        let machine = &mut self.machines[m];
        machine.session = report.session;
        machine.counter = report.counter;
        machine.synced = report.token == own;
        machine.heard_at = Some(now);
        machine.address = report.address;
        if let Some(notice) = report.notice_s
            && machine.reclaim_at.is_none()
        {
            tracing::info!(machine = machine.name, notice, "machine will be taken back");
            machine.reclaim_at = Some(now + notice);
            noticed = true;
        }
        self.enlist(m);
        let mut listed = BTreeSet::new();
        let mut strays = false;
        for t in &report.tasks {
            let known = self
                .job_ids
                .get(&t.job)
                .copied()
                .filter(|&ix| (t.task as usize) < self.jobs[ix].tasks.len());
            let Some(job) = known else {
                strays = true;
                continue;
            };
            let key = CopyKey {
                job,
                task: t.task,
                attempt: t.attempt,
            };
            listed.insert(key);
            self.apply_task(m, key, t.phase);
        }
        let absent: Vec<CopyKey> = self.machines[m]
            .copies
            .iter()
            .filter(|(key, copy)| {
                !listed.contains(*key)
                    && !copy.loose
                    && match copy.sent {
                        Sent::Queued => false,
                        Sent::Seen => true,
                        Sent::Response { counter } => {
                            source == Source::Hello && report.counter > counter
                        }
                        Sent::Direct { flight } => {
                            source
                                == (Source::Direct {
                                    flight,
                                    executed: true,
                                })
                        }
                    }
            })
            .map(|(key, _)| *key)
            .collect();
        for key in absent {
            self.remove_copy(m, key);
            self.gang_lost_task(key);
        }
        self.machines[m].strays = strays;
        if strays {
            self.clear_strays(m, &report.tasks);
        }
        if noticed {
            self.save_before_reclaim(m);
        }
        let idle = self.machines[m].copies.is_empty();
        let machine = &mut self.machines[m];
        if idle && !strays {
            machine.idle_since.get_or_insert(now);
        } else {
            machine.idle_since = None;
        }
    }

    /// Tasks of jobs that nobody knows, or that ended long ago: stopped and cleared.
    fn clear_strays(&mut self, m: u32, tasks: &[crate::protocol::worker::TaskReport]) {
        let mut commands = Vec::new();
        for t in tasks {
            let known = self
                .job_ids
                .get(&t.job)
                .is_some_and(|&ix| (t.task as usize) < self.jobs[ix].tasks.len());
            if known {
                continue;
            }
            let verb = match t.phase {
                TaskPhase::Exited(_) => Verb::Forget,
                _ => Verb::Stop { grace_s: 0.0 },
            };
            commands.push(Command {
                verb,
                job: t.job,
                task: t.task,
                attempt: t.attempt,
            });
        }
        let outbox = &mut self.machines[m].outbox;
        for command in commands {
            if !outbox.contains(&command) {
                outbox.push(command);
            }
        }
    }

    fn apply_task(&mut self, m: u32, key: CopyKey, phase: TaskPhase) {
        let now = self.now;
        if !self.machines[m].copies.contains_key(&key) {
            // Started by an earlier leader, or listed again before we cleared it.
            let exited = matches!(phase, TaskPhase::Exited(_));
            let copy = Copy {
                sent: Sent::Seen,
                phase: exited.then_some(phase),
                loose: false,
                stop: None,
                running_since: None,
            };
            self.add_copy(m, key, copy);
            let job = &mut self.jobs[key.job];
            if !exited && job.is_gang() {
                job.attempt = Some(key.attempt);
            }
            if exited {
                self.task_exited(m, key, phase);
                return;
            }
        }
        let copy = self.machines[m].copies.get_mut(&key).expect("just ensured");
        let before = copy.phase;
        if matches!(before, Some(TaskPhase::Exited(_))) {
            return;
        }
        let was_running = copy.is_running();
        copy.sent = Sent::Seen;
        let exits = matches!(phase, TaskPhase::Exited(_));
        let was_possible = copy.possible();
        copy.phase = Some(phase);
        let is_running = copy.is_running();
        if is_running && !was_running {
            copy.running_since = Some(now);
        }
        let runs_well = is_running && copy.running_since.is_some_and(|t| now - t > RUNS_WELL_S);
        let still_possible = copy.possible();
        let over = matches!(self.jobs[key.job].state, JobState::Over(_));
        let stopping = copy.stop.is_some();
        let job = &mut self.jobs[key.job];
        job.running = job.running + u32::from(is_running) - u32::from(was_running);
        // A replica never ends, so running is all it can prove. A service that failed
        // on one sick machine once waited for ever with its other replicas running.
        if runs_well {
            self.job_proved(key.job);
        }
        if phase != TaskPhase::Fetching && !exits {
            self.has_image(m, key.job);
        }
        if exits {
            self.task_exited(m, key, phase);
            if was_possible && !still_possible {
                self.release(m, key);
            }
        } else if over && !stopping {
            self.stop_copy(m, key, 0.0);
        }
    }

    fn has_image(&mut self, m: u32, job: u32) {
        let image = self.jobs[job].image;
        let cache = self
            .types
            .get(self.machines[m].kind)
            .map_or(f64::INFINITY, |t| t.cache_gb);
        let machine = &mut self.machines[m];
        let known = machine.images.contains(&image);
        machine.images.retain(|&i| i != image);
        machine.images.push(image);
        let gb = &self.image_gb;
        let mut total: f64 = machine.images.iter().map(|&i| gb[i as usize]).sum();
        while total > cache && machine.images.len() > 1 {
            total -= gb[machine.images.remove(0) as usize];
        }
        // The next leader is told which images are where.
        if !known {
            self.images_changed(m);
        }
    }

    fn task_exited(&mut self, m: u32, key: CopyKey, phase: TaskPhase) {
        let TaskPhase::Exited(exit) = phase else {
            return;
        };
        let now = self.now;
        let retry = |job: &mut Job, after: f64| {
            job.tasks[key.task as usize].not_before = (now + after) as f32;
        };
        match exit {
            Exit::Done => {
                self.has_image(m, key.job);
                self.machine_worked(m, key.job);
                self.job_proved(key.job);
                if self.jobs[key.job].is_gang() {
                    // They complete together: when one is done, all of them are.
                    for task in 0..self.jobs[key.job].spec.tasks {
                        self.mark_done(key.job, task);
                    }
                } else {
                    self.mark_done(key.job, key.task);
                }
            }
            Exit::Error => {
                tracing::info!(
                    job = %self.jobs[key.job].spec.id,
                    task = key.task,
                    machine = self.machines[m].name,
                    "task failed"
                );
                self.task_failed(m, key);
            }
            Exit::NoRoom => {
                retry(&mut self.jobs[key.job], 0.3);
                self.machines[m].failed.insert(key.job, now + 3.0);
            }
            Exit::Busy => retry(&mut self.jobs[key.job], 1.0),
            Exit::Unknown => retry(&mut self.jobs[key.job], 1.0),
            Exit::Stopped { .. } | Exit::PeersGone | Exit::Alone => {}
        }
        if exit != Exit::Done {
            self.gang_lost_task(key);
        }
    }

    /// What goes back with the answer to a report.
    fn collect_commands(&mut self, m: u32, counter: u64) -> Vec<Command> {
        let now = self.now;
        let mut commands = Vec::new();
        if self.machines[m].flight.is_none() {
            commands = self.take_outbox(m, Sent::Response { counter });
        }
        let keys: Vec<CopyKey> = self.machines[m].copies.keys().copied().collect();
        for key in keys {
            if commands.len() >= MAX_COMMANDS {
                break;
            }
            let job = &self.jobs[key.job];
            let stored =
                job.tasks[key.task as usize].stored || matches!(job.state, JobState::Over(_));
            let copy = &self.machines[m].copies[&key];
            let verb = match (copy.exit(), copy.stop) {
                // A start that may still arrive would start a forgotten attempt anew.
                (Some(_), _) if copy.loose => continue,
                (Some(Exit::Done), _) if !stored && !job.is_service() => continue,
                (Some(_), _) => Verb::Forget,
                // Not there, but its start may still arrive, perhaps minutes late. Held as
                // an exited attempt that is never forgotten, the late start does nothing.
                (None, Some(_)) if copy.loose && copy.phase.is_none() => {
                    commands.push(self.command(key, Verb::Start));
                    Verb::Stop { grace_s: 0.0 }
                }
                (
                    None,
                    Some(Stop {
                        grace_s,
                        sent_at: Some(at),
                    }),
                ) if now - at > 1.0 && copy.phase != Some(TaskPhase::Saving) => {
                    Verb::Stop { grace_s }
                }
                // Sent again with the same attempt: it does nothing if it arrived before.
                (None, None) if copy.loose && copy.phase.is_none() => Verb::Start,
                _ => continue,
            };
            if let Verb::Stop { .. } = verb
                && let Some(stop) = &mut self.machines[m]
                    .copies
                    .get_mut(&key)
                    .expect("listed above")
                    .stop
            {
                stop.sent_at = Some(now);
            }
            commands.push(self.command(key, verb));
        }
        commands
    }

    /// Takes what is to be sent, and notes how it leaves.
    fn take_outbox(&mut self, m: u32, how: Sent) -> Vec<Command> {
        let now = self.now;
        let machine = &mut self.machines[m];
        let keep = machine.outbox.len().saturating_sub(MAX_COMMANDS);
        let later = machine.outbox.split_off(machine.outbox.len() - keep);
        let commands = std::mem::replace(&mut machine.outbox, later);
        for c in &commands {
            let Some(&job) = self.job_ids.get(&c.job) else {
                continue;
            };
            let key = CopyKey {
                job,
                task: c.task,
                attempt: c.attempt,
            };
            if let Some(copy) = machine.copies.get_mut(&key) {
                match c.verb {
                    Verb::Start => copy.sent = how,
                    Verb::Stop { .. } => {
                        if let Some(stop) = &mut copy.stop {
                            stop.sent_at = Some(now);
                        }
                    }
                    Verb::Forget => {}
                }
            }
        }
        commands
    }

    /// Sends what cannot wait for the next report.
    fn flush_commands(&mut self) {
        for m in self.machines.indices() {
            let silent = self.is_silent(m);
            let machine = &mut self.machines[m];
            if machine.flight.is_some() {
                continue;
            }
            if machine.session == 0 || machine.session <= machine.dead_session {
                // Recorded by an earlier leader, not heard yet: ask it.
                if machine.was_recorded && !self.settled && machine.next_probe <= self.now {
                    self.ask(m);
                }
                continue;
            }
            if silent {
                let queued: Vec<CopyKey> = machine
                    .copies
                    .iter()
                    .filter(|(_, c)| c.sent == Sent::Queued)
                    .map(|(k, _)| *k)
                    .collect();
                for key in queued {
                    self.unqueue(m, key);
                    self.gang_lost_task(key);
                }
                continue;
            }
            let teach = !machine.synced && machine.next_probe <= self.now;
            if machine.outbox.is_empty() && !teach {
                continue;
            }
            if machine.next_probe > self.now {
                continue;
            }
            let flight = self.next_flight;
            self.next_flight += 1;
            let commands = self.take_outbox(m, Sent::Direct { flight });
            let starts = commands
                .iter()
                .filter(|c| c.verb == Verb::Start)
                .filter_map(|c| {
                    Some(CopyKey {
                        job: *self.job_ids.get(&c.job)?,
                        task: c.task,
                        attempt: c.attempt,
                    })
                })
                .collect();
            let machine = &mut self.machines[m];
            if teach {
                machine.next_probe = self.now + 1.0;
            }
            machine.flight = Some(Flight { id: flight, starts });
            self.effects.push(Effect::Direct {
                machine: machine.name.clone(),
                address: machine.address.clone(),
                session: machine.session,
                flight,
                commands,
            });
        }
    }

    /// Asks a machine for its report.
    pub(super) fn ask(&mut self, m: u32) {
        let flight = self.next_flight;
        self.next_flight += 1;
        let machine = &mut self.machines[m];
        machine.next_probe = self.now + 1.0;
        machine.flight = Some(Flight {
            id: flight,
            starts: Vec::new(),
        });
        self.effects.push(Effect::Inspect {
            machine: machine.name.clone(),
            address: machine.address.clone(),
            flight,
        });
    }

    /// Whether no worker at all has been heard for longer than they are ever
    /// silent: then it is this node that is cut off, and another should lead.
    pub fn hears_nobody(&self) -> bool {
        let patience = self.silent_after_s() + 0.5;
        let last = self
            .machines
            .iter()
            .filter_map(|(_, m)| m.heard_at)
            .fold(self.listening_since, f64::max);
        self.machines
            .iter()
            .any(|(_, m)| m.was_recorded || m.heard_at.is_some())
            && self.now - last > patience
    }

    fn lease_over_at(&self, machine: &Machine) -> Time {
        machine.answered_at.unwrap_or(self.elected_at) + self.lease_surely_s()
    }

    /// After this long without an answer a worker has surely dropped its tasks.
    fn lease_surely_s(&self) -> f64 {
        self.config.cluster.workers.lease_s * DRIFT + LEASE_MARGIN_S
    }

    fn expire_leases(&mut self) {
        for m in self.machines.indices() {
            let machine = &self.machines[m];
            if machine.session <= machine.dead_session || self.now <= self.lease_over_at(machine) {
                continue;
            }
            tracing::info!(
                machine = machine.name,
                copies = machine.copies.len(),
                "lease of a silent machine ran out"
            );
            let session = machine.session;
            self.clear_machine(m);
            let machine = &mut self.machines[m];
            machine.dead_session = session;
            machine.synced = false;
            // It holds nothing, so the next leader need not wait for its answer. Spot
            // machines that had been taken once held every failover up for a lease.
            self.strike(m);
        }
    }

    /// Machines that an earlier leader may have given tasks to and that have not
    /// told this one what they hold.
    fn unheard(&self) -> Vec<u32> {
        self.machines
            .iter()
            .filter(|(_, m)| {
                m.was_recorded
                    && !m.synced
                    && !(m.session > 0 && m.session <= m.dead_session)
                    && self.now <= self.lease_over_at(m)
            })
            .map(|(ix, _)| ix)
            .collect()
    }

    /// Holds back the jobs of which a silent machine may hold something: those
    /// stored before the election that an earlier leader could have put there.
    /// Once one taken spot machine held back every service for a whole lease.
    fn settle(&mut self) {
        if self.settled {
            return;
        }
        let unheard = self.unheard();
        let unknown = self.unknown_machines && self.now <= self.elected_at + self.lease_surely_s();
        let was = self.jobs.iter().filter(|(_, j)| j.blocked).count();
        for ix in self.jobs.indices() {
            let job = &self.jobs[ix];
            let most = &self.teams[job.team as usize].most;
            // What else runs of a limited team must be known in full.
            let limited = most.cpus > 0 || most.gpus > 0;
            let blocked = job.old
                && (unknown
                    || (limited && !unheard.is_empty())
                    || unheard.iter().any(|&m| self.machine_suits(ix, m)));
            self.jobs[ix].blocked = blocked;
        }
        let blocked = self.jobs.iter().filter(|(_, j)| j.blocked).count();
        self.settled = unheard.is_empty() && !unknown;
        if blocked > 0 {
            self.give_up_unheard(&unheard);
        }
        if was != blocked || self.settled {
            tracing::info!(
                after_s = self.now - self.elected_at,
                unheard = unheard.len(),
                blocked,
                "jobs held back for silent machines"
            );
        }
    }

    // ---- writes ----

    fn flush_writes(&mut self) {
        if self.writing {
            return;
        }
        let most = self.config.cluster.state.txn_ops;
        let mut batch: Vec<Write> = Vec::new();
        let mut ops = 0;
        let mut bytes = 0;
        while ops + 2 <= most
            && let Some(ix) = self.finish.pop_front()
        {
            let job = &self.jobs[ix];
            let write = Write::Finish {
                job: job.spec.id,
                version: job.version,
            };
            ops += write.changes();
            batch.push(write);
        }
        let room = most.saturating_sub(ops);
        let before = batch.len();
        self.roster_writes(&mut batch, before + room, &mut bytes);
        ops += batch.len() - before;
        let chunk_tasks = self.chunk_tasks as usize;
        while ops < most
            && bytes <= TXN_BYTES
            && let Some(&(ix, chunk)) = self.progress_due.front()
        {
            let due = self
                .jobs
                .get(ix)
                .filter(|j| j.state == JobState::Live)
                .and_then(|j| *j.chunk_due.get(chunk as usize)?);
            if due.is_some_and(|at| at > self.now) {
                break;
            }
            self.progress_due.pop_front();
            // The job may have ended since, and its index be another's by now.
            if due.is_none() {
                continue;
            }
            let job = &mut self.jobs[ix];
            job.chunk_due[chunk as usize] = None;
            let from = chunk as usize * chunk_tasks;
            let to = (from + chunk_tasks).min(job.tasks.len());
            let mut bits = vec![0u8; (to - from).div_ceil(8)];
            for (i, t) in job.tasks[from..to].iter().enumerate() {
                if t.done {
                    bits[i / 8] |= 1 << (i % 8);
                }
            }
            ops += 1;
            bytes += bits.len() * 2 + 200;
            batch.push(Write::Progress {
                job: job.spec.id,
                chunk,
                value: bitmap::to_record(&bits),
                version: job.chunks[chunk as usize],
            });
        }
        while ops < most
            && let Some((job, chunk, version)) = self.drop_progress.pop_front()
        {
            ops += 1;
            batch.push(Write::DropProgress {
                job,
                chunk,
                version,
            });
        }
        if !batch.is_empty() {
            self.writing = true;
            self.effects.push(Effect::Write(batch));
        }
    }

    fn take_written(&mut self, results: Vec<(Write, Written)>) {
        self.writing = false;
        for (write, written) in results {
            match write {
                Write::Finish { job, .. } => match written {
                    Written::Stored { .. } => self.end_job(job, Phase::Done),
                    Written::Ended(phase) => self.end_job(job, phase),
                    Written::Again { .. } => {
                        if let Some(&ix) = self.job_ids.get(&job) {
                            self.finish.push_back(ix);
                        }
                    }
                },
                Write::Progress {
                    job, chunk, value, ..
                } => self.progress_written(job, chunk, &value, &written),
                Write::Roster { page, value, .. } => self.roster_written(page, &value, &written),
                Write::DropProgress { job, chunk, .. } => {
                    if let Written::Again { version } = written {
                        self.drop_progress.push_back((job, chunk, version));
                    }
                }
            }
        }
    }

    fn progress_written(
        &mut self,
        id: JobId,
        chunk: u32,
        value: &serde_json::Value,
        written: &Written,
    ) {
        let version = match written {
            Written::Stored { version } | Written::Again { version } => *version,
            Written::Ended(_) => return,
        };
        let Some(&ix) = self.job_ids.get(&id) else {
            if version > 0 {
                self.drop_progress.push_back((id, chunk, version));
            }
            return;
        };
        let from = (chunk * self.chunk_tasks) as usize;
        let now = self.now;
        let job = &mut self.jobs[ix];
        job.chunks[chunk as usize] = version;
        if matches!(job.state, JobState::Over(_)) {
            if version > 0 {
                self.drop_progress.push_back((id, chunk, version));
            }
            return;
        }
        if let Written::Stored { .. } = written {
            let bits = bitmap::from_record(value).unwrap_or_default();
            for (i, t) in job.tasks.iter_mut().enumerate().skip(from) {
                let bit = i - from;
                let Some(byte) = bits.get(bit / 8) else { break };
                if byte & (1 << (bit % 8)) != 0 {
                    t.stored = true;
                }
            }
        } else {
            self.progress_due(ix, chunk, now);
        }
    }
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
/// aim, if most machines have yet to fetch its image. One that is past that
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
