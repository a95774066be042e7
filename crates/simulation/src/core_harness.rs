//! Workers that obey at once, and a state service and cloud that take
//! everything: they drive the core alone, without a network or a process.
//!
//! Single workers can be told to fall silent or to fail every task. A task that
//! starts while another copy of it is on a worker ends the run.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

use copperfield::coordination::core::{
    CancelBegin, Config, Core, Effect, Input, Outcome, ScaleOutOutcome,
};
use copperfield::settings::{Cluster, Tuning};
use copperfield::storage::writer::{Write, Written};
use copperfield::storage::{
    DrainRecord, FencedWorker, Snapshot, StoredDrain, StoredFencingPage, StoredJob, StoredProgress,
    StoredRegistryPage, bitmap::TaskBitmap,
};
use copperfield_fencing::timestamp;
use copperfield_protocol::cloud::parse_machine_types;
use copperfield_protocol::job::{JobOutcome, JobSpec, Kind, Phase};
use copperfield_protocol::peer::AdminRequest;
use copperfield_protocol::worker::{Command, Exit, Heartbeat, TaskPhase, TaskStatus, Verb};
use copperfield_protocol::{JobId, parse_task};
use serde_json::{Value, json};

use crate::history::{History, What};

const TICK_S: f64 = 0.01;
pub const FETCH_S: f64 = 2.0;

struct Worker {
    flavor: &'static str,
    zone: &'static str,
    incarnation: u64,
    counter: u64,
    token: u64,
    next_report: f64,
    reported_at: f64,
    answered_at: f64,
    images: BTreeSet<String>,
    tasks: BTreeMap<(JobId, u32, u64), (TaskPhase, f64)>,
}

/// What comes of the time that a task is given to save.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Saving {
    /// It takes as long as the job says.
    #[default]
    InTime,
    /// It takes so many times as long.
    Slow(f64),
    /// It takes its time and fails.
    Fails,
}

pub struct CoreHarness {
    pub core: Core,
    pub now: f64,
    /// Workers that neither hear nor are heard.
    pub silent: BTreeSet<String>,
    /// Workers whose reports do not arrive, though they can be reached.
    pub unreconciled: BTreeSet<String>,
    /// Workers that fail every task.
    pub sick: BTreeSet<String>,
    /// Jobs that fail on every worker.
    pub mistaken: BTreeSet<JobId>,
    /// Workers that the cloud still has; those it rents never come up.
    pub stock: u32,
    /// When each of them was rented.
    pub rented: Vec<f64>,
    pub returned: Vec<String>,
    /// Changes written so far.
    pub changes: usize,
    pub starts: u64,
    /// Processor time of each step, in seconds.
    pub steps: Vec<f64>,
    /// The longest value written so far, in bytes.
    pub largest_value: usize,
    /// The worker registry as it is stored.
    pub registry: BTreeMap<u32, Value>,
    /// Drains as they are stored.
    pub drains: BTreeMap<String, DrainRecord>,
    /// The record of silent workers, as times of day.
    pub fencing: BTreeMap<u32, Vec<(String, u64)>>,
    /// What the next leader has given its word for.
    pub vote_binding_until: f64,
    pub saving: Saving,
    /// Workers that are gone for good.
    pub dead: BTreeSet<String>,
    pub history: History,
    /// Jobs whose end is stored.
    pub over: BTreeSet<JobId>,
    /// The state service takes nothing.
    pub outage: bool,
    /// Answers to operators, by ticket.
    pub told: BTreeMap<u64, (u16, Value)>,
    progress: BTreeMap<(JobId, u32), Value>,
    /// Work that was saved, in seconds.
    saved: BTreeMap<(JobId, u32), f64>,
    /// Seconds of work that stops have lost: unsaved, or spent on saving.
    pub lost_s: f64,
    /// Tasks whose result is there, whether the leader has heard of it or not.
    completed: BTreeSet<(JobId, u32)>,
    tuning: Tuning,
    cluster: Cluster,
    types: String,
    withheld: Vec<Vec<Write>>,
    cancelling: VecDeque<JobId>,
    revision: u64,
    report_s: f64,
    lease_s: f64,
    workers: BTreeMap<String, Worker>,
    specs: BTreeMap<JobId, JobSpec>,
    later: Vec<(f64, Input)>,
    asked: BTreeMap<u64, String>,
    ticket: u64,
    next_step: f64,
}

impl CoreHarness {
    pub fn new(types: &str, cluster: Value, token: u64) -> Self {
        Self::after(types, cluster, token, Snapshot::default())
    }

    /// A crew whose leader starts from what is stored.
    pub fn after(types: &str, cluster: Value, token: u64, snapshot: Snapshot) -> Self {
        Self::tuned(types, cluster, token, snapshot, Tuning::default())
    }

    /// The same under settings of its own.
    pub fn tuned(
        types: &str,
        cluster: Value,
        token: u64,
        snapshot: Snapshot,
        tuning: Tuning,
    ) -> Self {
        let cluster: Cluster = serde_json::from_value(cluster).expect("valid");
        let (report_s, lease_s) = (
            cluster.workers.heartbeat_interval_s,
            cluster.workers.lease_s,
        );
        let config = Config {
            cluster: cluster.clone(),
            tuning: tuning.clone(),
        };
        let text = types.to_string();
        let types = parse_machine_types(types.as_bytes()).expect("valid");
        let specs = snapshot.jobs.iter().map(|j| (j.spec.id, j.spec.clone()));
        Self {
            specs: specs.collect(),
            core: Core::new(config, token, 0.0, types, snapshot),
            now: 0.0,
            silent: BTreeSet::new(),
            unreconciled: BTreeSet::new(),
            sick: BTreeSet::new(),
            mistaken: BTreeSet::new(),
            stock: 0,
            rented: Vec::new(),
            returned: Vec::new(),
            changes: 0,
            starts: 0,
            steps: Vec::new(),
            largest_value: 0,
            registry: BTreeMap::new(),
            drains: BTreeMap::new(),
            fencing: BTreeMap::new(),
            vote_binding_until: 0.0,
            saving: Saving::InTime,
            dead: BTreeSet::new(),
            history: History::default(),
            over: BTreeSet::new(),
            outage: false,
            told: BTreeMap::new(),
            progress: BTreeMap::new(),
            saved: BTreeMap::new(),
            lost_s: 0.0,
            completed: BTreeSet::new(),
            tuning,
            cluster,
            types: text,
            withheld: Vec::new(),
            cancelling: VecDeque::new(),
            revision: 500,
            report_s,
            lease_s,
            workers: BTreeMap::new(),
            later: Vec::new(),
            asked: BTreeMap::new(),
            ticket: 0,
            next_step: 0.0,
        }
    }

    pub fn add(&mut self, name: &str, flavor: &'static str, zone: &'static str, first_report: f64) {
        let worker = Worker {
            flavor,
            zone,
            incarnation: 1,
            counter: 0,
            token: 0,
            next_report: first_report,
            reported_at: f64::NEG_INFINITY,
            answered_at: first_report,
            images: BTreeSet::new(),
            tasks: BTreeMap::new(),
        };
        self.workers.insert(name.to_string(), worker);
    }

    pub fn submit(&mut self, body: &Value) -> JobId {
        let job = stored(body, self.core.token + 1);
        let id = job.spec.id;
        self.specs.insert(id, job.spec.clone());
        self.later.push((self.now, Input::Job(job)));
        id
    }

    /// Where the tasks of a job are, be they fetching or running.
    pub fn places(&self, job: JobId) -> Vec<(u32, &str)> {
        self.workers
            .iter()
            .flat_map(|(name, w)| {
                w.tasks
                    .iter()
                    .filter(move |((j, ..), (phase, _))| {
                        *j == job && !matches!(phase, TaskPhase::Exited(_))
                    })
                    .map(move |((_, task, _), _)| (*task, name.as_str()))
            })
            .collect()
    }

    /// The worker registry as the next leader would read it.
    pub fn stored_registry(&self) -> Vec<StoredRegistryPage> {
        self.registry
            .iter()
            .map(|(&page, value)| {
                let workers: BTreeMap<String, _> =
                    serde_json::from_value(value.clone()).expect("parses");
                StoredRegistryPage {
                    page,
                    version: 5,
                    workers: Some(workers.into_iter().collect()),
                }
            })
            .collect()
    }

    pub fn run(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += TICK_S;
            self.tick();
        }
    }

    /// A worker's lease runs out. It counts from when the last answered report was
    /// sent, which may be seconds before the leader received it.
    pub fn end_incarnation(&mut self, name: &str) {
        let w = self.workers.get_mut(name).expect("known");
        w.incarnation += 1;
        w.tasks.clear();
        w.answered_at = self.now;
    }

    /// The worker is gone, and nobody is told.
    pub fn die(&mut self, name: &str) {
        let Some(w) = self.workers.remove(name) else {
            return;
        };
        self.dead.insert(name.to_string());
        let now = self.now;
        for ((job, task, attempt), (phase, _)) in w.tasks {
            if on_worker(phase) {
                let task = format!("{job}/{task}");
                self.history.note(now, &task, attempt, name, What::Leaves);
            }
        }
    }

    /// The leader is no more. The next one reads what is stored; nothing that was on its
    /// way to the last one reaches anybody.
    pub fn next_leader(&mut self) {
        let token = self.core.token + 1000;
        let live = self.specs.iter().filter(|(id, _)| !self.over.contains(id));
        let jobs: Vec<StoredJob> = live
            .map(|(id, spec)| StoredJob {
                accepted_ms: id.0,
                spec: spec.clone(),
                age_s: 0.0,
                version: token - 1,
            })
            .collect();
        let progress = self.progress.iter().filter_map(|(&(job, chunk), value)| {
            Some(StoredProgress {
                job,
                chunk,
                bitmap: TaskBitmap::from_record(value).ok()?,
                version: self.revision,
            })
        });
        let drains = self.drains.iter().map(|(node, record)| StoredDrain {
            worker: node.clone(),
            record: Some(*record),
            left_s: record.until_ms.map(|at| at as f64 / 1000.0 - self.now),
            version: self.revision,
        });
        let now_ms = (self.now * 1000.0) as u64;
        let age = |(name, at): &(String, u64)| FencedWorker {
            name: name.clone(),
            age_ms: timestamp::min_age(*at, now_ms, 0),
        };
        let fencing = self
            .fencing
            .iter()
            .map(|(&page, stored)| StoredFencingPage {
                page,
                version: self.revision,
                workers: Some(stored.iter().map(age).collect()),
            });
        let snapshot = Snapshot {
            jobs,
            progress: progress.collect(),
            registry: self.stored_registry(),
            drains: drains.collect(),
            fencing: fencing.collect(),
            vote_binding_until: self.vote_binding_until,
        };
        let config = Config {
            cluster: self.cluster.clone(),
            tuning: self.tuning.clone(),
        };
        let types = parse_machine_types(self.types.as_bytes()).expect("valid");
        self.core = Core::new(config, token, self.now, types, snapshot);
        self.later
            .retain(|(_, input)| matches!(input, Input::Job(_)));
        self.asked.clear();
        self.withheld.clear();
    }

    /// What an operator asks; the answer comes to `told` under this number.
    pub fn operate(&mut self, order: AdminRequest) -> u64 {
        self.ticket += 1;
        let input = Input::Admin {
            ticket: self.ticket,
            request: order,
            unix_ms: (self.now * 1000.0) as u64,
        };
        self.later.push((self.now, input));
        self.ticket
    }

    /// Asks, and waits for the answer.
    pub fn ask(&mut self, order: AdminRequest) -> (u16, Value) {
        let ticket = self.operate(order);
        self.run(0.3);
        self.told.remove(&ticket).expect("answered at once")
    }

    /// A user cancels a job: the leader stops starting it, stores that, and is told.
    pub fn cancel(&mut self, job: JobId) {
        self.cancelling.push_back(job);
        let (ticket, now) = (self.ticket, self.now);
        self.ticket += 1;
        self.later.push((now, Input::CancelBegin { ticket, job }));
    }

    /// Time passes without the core, as when its process stands still.
    pub fn sleep(&mut self, seconds: f64) {
        self.now += seconds;
    }

    fn tick(&mut self) {
        let now = self.now;
        let mut inputs = Vec::new();
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            self.progress(&name);
            let w = &self.workers[&name];
            if w.next_report > now
                || self.silent.contains(&name)
                || self.unreconciled.contains(&name)
            {
                continue;
            }
            self.ticket += 1;
            self.asked.insert(self.ticket, name.clone());
            let heartbeat = self.heartbeat(&name);
            inputs.push(Input::Heartbeat {
                ticket: self.ticket,
                heartbeat,
            });
            let report_s = self.report_s;
            let w = self.workers.get_mut(&name).expect("known");
            w.reported_at = now;
            w.next_report = now + report_s;
        }
        let (due, later) = std::mem::take(&mut self.later)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.later = later;
        inputs.extend(due.into_iter().map(|(_, input): (f64, Input)| input));
        if inputs.is_empty() && now < self.next_step {
            return;
        }
        self.next_step = now + 0.05;
        let began = Instant::now();
        let effects = self.core.step(now, inputs);
        self.steps.push(began.elapsed().as_secs_f64());
        for effect in effects {
            self.execute_effect(effect);
        }
    }

    /// Lets images arrive, tasks end and leases run out.
    fn progress(&mut self, name: &str) {
        let now = self.now;
        let sick = self.sick.contains(name);
        let w = self.workers.get_mut(name).expect("known");
        if now - w.answered_at > self.lease_s {
            w.incarnation += 1;
            for ((job, task, attempt), (phase, _)) in std::mem::take(&mut w.tasks) {
                if on_worker(phase) {
                    let task = format!("{job}/{task}");
                    self.history.note(now, &task, attempt, name, What::Leaves);
                }
            }
            w.answered_at = now;
        }
        let mut changed = false;
        for (&(job, task, attempt), (phase, until)) in &mut w.tasks {
            if *until > now {
                continue;
            }
            let spec = &self.specs[&job];
            let id = format!("{job}/{task}");
            let next = match phase {
                TaskPhase::Saving => TaskPhase::Exited(Exit::Stopped {
                    saved: self.saving != Saving::Fails,
                }),
                // The result is kept: it ends as soon as it has its image.
                TaskPhase::Fetching if self.completed.contains(&(job, task)) => {
                    TaskPhase::Exited(Exit::Done)
                }
                TaskPhase::Fetching if sick || self.mistaken.contains(&job) => {
                    TaskPhase::Exited(Exit::Error)
                }
                TaskPhase::Fetching => TaskPhase::Running,
                TaskPhase::Running => TaskPhase::Exited(Exit::Done),
                _ => continue,
            };
            w.images.insert(spec.image.clone());
            let what = match next {
                TaskPhase::Running => Some(What::Starts),
                TaskPhase::Exited(Exit::Done) => {
                    self.completed.insert((job, task)).then_some(What::Done)
                }
                _ if on_worker(*phase) => Some(What::Leaves),
                _ => None,
            };
            if let Some(what) = what {
                self.history.note(now, &id, attempt, name, what);
            }
            *phase = next;
            let saved = self.saved.get(&(job, task)).copied().unwrap_or(0.0);
            *until = match spec.kind {
                Kind::Service => f64::INFINITY,
                _ => now + (spec.estimate_s - saved).max(0.0),
            };
            changed = true;
        }
        if changed {
            w.next_report = w.next_report.min(now.max(w.reported_at + 0.5));
        }
    }

    fn heartbeat(&mut self, name: &str) -> Heartbeat {
        let w = self.workers.get_mut(name).expect("known");
        w.counter += 1;
        Heartbeat {
            worker: name.to_string(),
            address: "10.1.0.1:9000".into(),
            machine_type: w.flavor.into(),
            zone: w.zone.into(),
            spot: false,
            incarnation: w.incarnation,
            counter: w.counter,
            token: w.token,
            notice_s: None,
            tasks: w
                .tasks
                .iter()
                .map(|(&(job, task, attempt), &(phase, _))| TaskStatus {
                    job,
                    task,
                    attempt,
                    phase,
                })
                .collect(),
        }
    }

    pub fn obey(&mut self, name: &str, commands: &[Command]) {
        let now = self.now;
        for c in commands.iter().filter(|c| c.verb == Verb::Start) {
            let redirects = self.workers.iter().any(|(other, w)| {
                other != name
                    && w.tasks.iter().any(|((job, task, _), (phase, _))| {
                        (*job, *task) == (c.job, c.task) && !matches!(phase, TaskPhase::Exited(_))
                    })
            });
            assert!(!redirects, "{}/{} ran twice", c.job, c.task);
        }
        let token = self.core.token;
        let w = self.workers.get_mut(name).expect("known");
        w.token = token;
        for c in commands {
            let key = (c.job, c.task, c.attempt);
            match c.verb {
                Verb::Start => {
                    self.starts += 1;
                    let here = w.images.contains(&self.specs[&c.job].image);
                    let fetch = if here { 0.0 } else { FETCH_S };
                    w.tasks
                        .entry(key)
                        .or_insert((TaskPhase::Fetching, now + fetch));
                }
                Verb::Stop { grace_s } => {
                    let Some(t) = w.tasks.get_mut(&key) else {
                        continue;
                    };
                    let spec = &self.specs[&c.job];
                    let saves = spec.checkpoint_s > 0.0 && grace_s >= spec.save_s;
                    match t.0 {
                        TaskPhase::Exited(_) => {}
                        TaskPhase::Running if saves => {
                            let takes = match self.saving {
                                Saving::Slow(times) => spec.save_s * times,
                                _ => spec.save_s,
                            };
                            self.lost_s += takes;
                            if self.saving != Saving::Fails {
                                let left = (t.1 - now).max(0.0);
                                let did = (spec.estimate_s - left).max(0.0);
                                self.saved.insert((c.job, c.task), did);
                            }
                            *t = (TaskPhase::Saving, now + takes);
                        }
                        TaskPhase::Saving if grace_s > 0.0 => {}
                        phase => {
                            if phase == TaskPhase::Running && spec.kind != Kind::Service {
                                let saved = self.saved.get(&(c.job, c.task)).copied();
                                let done = spec.estimate_s - (t.1 - now) - saved.unwrap_or(0.0);
                                self.lost_s += done.max(0.0);
                            }
                            if on_worker(phase) {
                                let task = format!("{}/{}", c.job, c.task);
                                self.history.note(now, &task, c.attempt, name, What::Leaves);
                            }
                            t.0 = TaskPhase::Exited(Exit::Stopped { saved: false });
                        }
                    }
                }
                Verb::Forget => {
                    w.tasks.remove(&key);
                }
            }
        }
        if !commands.is_empty() {
            w.next_report = w.next_report.min(now.max(w.reported_at + 0.5));
        }
    }

    fn execute_effect(&mut self, effect: Effect) {
        let now = self.now;
        match effect {
            Effect::Answer { ticket, body } => {
                let name = self.asked.remove(&ticket).expect("asked once");
                self.workers.get_mut(&name).expect("known").answered_at = now;
                self.obey(&name, &commands_of(&body));
            }
            Effect::Direct {
                worker,
                incarnation,
                message_id,
                commands,
                ..
            } => {
                self.take_orders(worker, incarnation, message_id, &commands);
            }
            Effect::Inspect {
                worker,
                incarnation,
                message_id,
                ..
            } => {
                self.take_orders(worker, incarnation, message_id, &[]);
            }
            Effect::Write(batch) if self.outage => self.withheld.push(batch),
            Effect::Write(batch) => self.store(batch),
            Effect::AdminAnswered {
                ticket,
                status,
                body,
            } => {
                let body = serde_json::from_slice(&body).expect("JSON");
                self.told.insert(ticket, (status, body));
            }
            Effect::Cancel { begin, .. } => {
                // Stored at once: these users do not give up.
                if let CancelBegin::Go { done } = begin
                    && let Some(job) = self.cancelling.pop_front()
                {
                    self.over.insert(job);
                    let phase = Phase::Cancelled;
                    let end = Some(JobOutcome { phase, done });
                    self.later
                        .push((now + 0.05, Input::CancelSettled { job, end }));
                } else {
                    self.cancelling.pop_front();
                }
            }
            Effect::ScaleOut { request, count, .. } => {
                let count = count.min(self.stock);
                self.stock -= count;
                let first = self.rented.len();
                self.rented.extend((0..count).map(|_| now));
                let names: Vec<String> = (first..self.rented.len())
                    .map(|i| format!("rented-{i}"))
                    .collect();
                let outcome = if names.is_empty() {
                    ScaleOutOutcome::NoCapacity
                } else {
                    ScaleOutOutcome::Workers(names)
                };
                let input = Input::ScaledOut { request, outcome };
                self.later.push((now + 0.1, input));
            }
            Effect::ScaleIn(workers) => {
                for name in &workers {
                    self.die(name);
                    self.returned.push(name.clone());
                }
                let input = Input::ScaledIn { workers, ok: true };
                self.later.push((now + 0.1, input));
            }
            Effect::List => self
                .later
                .push((now + 0.1, Input::ListedWorker(Vec::new()))),
            _ => {}
        }
    }

    /// The state service is there again, and carries out what waited.
    pub fn end_outage(&mut self) {
        self.outage = false;
        for batch in std::mem::take(&mut self.withheld) {
            self.store(batch);
        }
    }

    fn store(&mut self, batch: Vec<Write>) {
        let mut results = Vec::new();
        self.revision += 1;
        for write in batch {
            self.changes += write.changes();
            match &write {
                Write::WorkerRegistry { page, value, .. } => {
                    self.largest_value = self.largest_value.max(value.to_string().len());
                    self.registry.insert(*page, value.clone());
                }
                Write::Progress {
                    job, chunk, value, ..
                } => {
                    self.largest_value = self.largest_value.max(value.to_string().len());
                    self.progress.insert((*job, *chunk), value.clone());
                }
                Write::DropProgress { job, chunk, .. } => {
                    self.progress.remove(&(*job, *chunk));
                }
                Write::Finish { job, .. } => {
                    self.over.insert(*job);
                }
                Write::FencingRecord { page, workers, .. } => {
                    let now_ms = (self.now * 1000.0) as u64;
                    let at =
                        |w: &FencedWorker| (w.name.clone(), timestamp::from_age(w.age_ms, now_ms));
                    self.fencing.insert(*page, workers.iter().map(at).collect());
                }
                Write::Drain { node, record, .. } => {
                    match record {
                        Some(record) => self.drains.insert(node.clone(), *record),
                        None => self.drains.remove(node),
                    };
                }
            }
            let version = self.revision;
            results.push((write, Written::Stored { version }));
        }
        self.later.push((self.now + 0.05, Input::Written(results)));
    }

    /// A silent worker is known to be so only when the time to connect is over.
    /// What was sent to a worker's own address; a question is orders without an order.
    fn take_orders(
        &mut self,
        worker: String,
        incarnation: u64,
        message_id: u64,
        orders: &[Command],
    ) {
        let known = self.workers.contains_key(&worker);
        let reached = known && !self.silent.contains(&worker);
        let outcome = if !reached {
            Outcome::Unsent
        } else if self.workers[&worker].incarnation == incarnation {
            self.obey(&worker, orders);
            Outcome::Executed(self.heartbeat(&worker))
        } else {
            Outcome::Rejected(Some(self.heartbeat(&worker)))
        };
        let after = match outcome {
            Outcome::Unsent => 0.5,
            _ => 0.01,
        };
        let input = Input::Direct {
            worker,
            message_id,
            outcome,
        };
        self.later.push((self.now + after, input));
    }
}

/// Whether a task is on its worker, as the aims and the rules count it.
fn on_worker(phase: TaskPhase) -> bool {
    matches!(
        phase,
        TaskPhase::Running | TaskPhase::Saving | TaskPhase::Waiting
    )
}

/// Settings under which the core rents one worker at most and returns none for being idle.
pub fn fixed_fleet() -> Tuning {
    Tuning {
        fleet_max: 1,
        idle_return_s: 1e6,
        deserted_return_s: 1e6,
        ..Tuning::default()
    }
}

/// A job as the state service keeps it.
pub fn stored(body: &Value, version: u64) -> StoredJob {
    let mut whole = json!({"jobclass": "c", "owner": "team", "shape": "sweep", "rank": "normal",
        "shards": 1, "cpus": 1.0, "memory_gb": 2.0, "bundle": "img", "pull_gb": 0.5, "runtime_s": 20.0});
    for (k, v) in body.as_object().expect("an object") {
        whole[k] = v.clone();
    }
    let spec = JobSpec::from_json(&whole).expect("valid");
    StoredJob {
        accepted_ms: spec.id.0,
        spec,
        age_s: 0.0,
        version,
    }
}

fn commands_of(body: &[u8]) -> Vec<Command> {
    let body: Value = serde_json::from_slice(body).expect("JSON");
    let orders = body["orders"].as_array().expect("a list");
    let command = |o: &Value| {
        let (job, task) = parse_task(o["shard"].as_str().expect("a name")).expect("an id");
        Command {
            verb: match o["verb"].as_str() {
                Some("start") => Verb::Start,
                Some("clear") => Verb::Forget,
                _ => Verb::Stop {
                    grace_s: o["drain_s"].as_f64().unwrap_or(0.0),
                },
            },
            job,
            task,
            attempt: o["try"].as_u64().expect("a number"),
        }
    };
    orders.iter().map(command).collect()
}
