//! Drives the core alone, without a network or a process, in simulated time.
//!
//! Fake workers execute commands at once. The fake state service and the fake cloud accept every
//! request within their capacity. Individual workers can be partitioned or made to fail every task.
//! The run panics if a start command reaches a worker while another worker has a live instance of
//! the task.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

use copperfield::coordination::core::{
    CancelDecision, CommandOutcome, Config, Core, Effect, Input, ScaleOutOutcome, StepDownReason,
    WorkerList,
};
use copperfield::settings::{Cluster, Tuning};
use copperfield::storage::writer::{Write, WriteOutcome};
use copperfield::storage::{
    DrainRecord, FencedWorker, Snapshot, StoredDrain, StoredFencingPage, StoredJob, StoredProgress,
    StoredRegistryPage, bitmap::TaskBitmap,
};
use copperfield_fencing::timestamp;
use copperfield_protocol::cloud::{ListedWorker, parse_machine_types};
use copperfield_protocol::job::{JobOutcome, JobSpec, Kind, Phase};
use copperfield_protocol::peer::AdminRequest;
use copperfield_protocol::worker::{Command, Exit, Heartbeat, TaskPhase, TaskStatus, Verb};
use copperfield_protocol::{JobId, parse_task};
use serde_json::{Value, json};

use crate::history::{EventKind, History};

/// The step in which simulated time advances.
const TICK_S: f64 = 0.01;
/// How long a worker takes to fetch an image that it does not have yet.
pub const FETCH_S: f64 = 2.0;
/// The lowest revision of the state service.
const FIRST_REVISION: u64 = 500;
/// The address of every worker. No connection is opened to it.
const WORKER_ADDRESS: &str = "10.1.0.1:9000";

struct Worker {
    machine_type: &'static str,
    zone: &'static str,
    incarnation: u64,
    counter: u64,
    token: u64,
    next_heartbeat_at: f64,
    last_heartbeat_at: f64,
    /// When the lease was last renewed.
    lease_renewed_at: f64,
    images: BTreeSet<String>,
    /// By job, task and attempt: the phase, and when it ends.
    tasks: BTreeMap<(JobId, u32, u64), (TaskPhase, f64)>,
}

/// How tasks save their checkpoints within the grace period of a stop command.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum CheckpointMode {
    /// Saving takes as long as the job specifies.
    #[default]
    InTime,
    /// Saving takes this many times as long.
    Slow(f64),
    /// Saving takes as long as the job specifies, and fails.
    Fails,
}

/// The core of a leader, with fakes of everything outside it.
pub struct CoreHarness {
    /// The core under test.
    pub core: Core,
    /// The simulated time, in seconds.
    pub now: f64,
    /// Workers partitioned in both directions.
    pub unreachable: BTreeSet<String>,
    /// Workers whose heartbeats are lost while commands still reach them.
    pub heartbeats_lost: BTreeSet<String>,
    /// Workers that fail every task.
    pub failing_workers: BTreeSet<String>,
    /// Jobs that fail on every worker.
    pub failing_jobs: BTreeSet<JobId>,
    /// How many more workers the cloud can provision. These workers never boot.
    pub cloud_capacity: u32,
    /// When each of these workers was provisioned.
    pub provisioned_at: Vec<f64>,
    /// Workers that the core has scaled in.
    pub scaled_in: Vec<String>,
    /// Number of changes written so far.
    pub written_changes: usize,
    /// Number of start commands executed so far.
    pub start_count: u64,
    /// The wall-clock duration of each step of the core, in seconds.
    pub step_durations_s: Vec<f64>,
    /// The size of the longest value written so far.
    pub largest_value_bytes: usize,
    /// The stored worker registry, by page.
    pub registry: BTreeMap<u32, Value>,
    /// The stored drains, by worker.
    pub drains: BTreeMap<String, DrainRecord>,
    /// The stored fencing record, by page: workers, and the wall-clock time of their last answer in
    /// milliseconds.
    pub fencing: BTreeMap<u32, Vec<(String, u64)>>,
    /// Until when the next leader is bound by the lease extension vote that it has given.
    pub vote_binding_until: f64,
    /// How tasks save their checkpoints.
    pub checkpointing: CheckpointMode,
    /// Workers that have been removed.
    pub removed: BTreeSet<String>,
    /// The events of every task.
    pub history: History,
    /// Jobs whose terminal state is stored.
    pub finished: BTreeSet<JobId>,
    /// The state service is down: writes wait until the end of the outage.
    pub outage: bool,
    /// Responses to operators as (status, body), by ticket.
    pub admin_responses: BTreeMap<u64, (u16, Value)>,
    progress_records: BTreeMap<(JobId, u32), Value>,
    /// Seconds of work saved in the checkpoint of each task.
    saved_work_s: BTreeMap<(JobId, u32), f64>,
    /// Seconds of work lost by stops: work that was not saved, and the time spent on saving.
    pub lost_work_s: f64,
    /// Tasks that have completed, including those whose completion has not reached the leader.
    completed: BTreeSet<(JobId, u32)>,
    tuning: Tuning,
    cluster: Cluster,
    machine_types: String,
    /// Batches of writes that wait for the end of an outage of the state service.
    unwritten_batches: Vec<Vec<Write>>,
    /// Jobs whose cancellation has been requested and not yet answered.
    cancelling: VecDeque<JobId>,
    revision: u64,
    heartbeat_interval_s: f64,
    lease_s: f64,
    workers: BTreeMap<String, Worker>,
    specs: BTreeMap<JobId, JobSpec>,
    /// Inputs of the core, each with the time at which it arrives.
    scheduled_inputs: Vec<(f64, Input)>,
    /// The workers whose heartbeats have not been answered, by ticket.
    awaiting_answer: BTreeMap<u64, String>,
    ticket: u64,
    /// The latest time of the next step of the core.
    next_step_at: f64,
    /// The direct messages that workers have executed, in order.
    executed_messages: Vec<(String, DirectMessage)>,
    /// Why the leader has stepped down, if it has.
    pub stepped_down: Option<StepDownReason>,
}

impl CoreHarness {
    /// A harness whose leader starts with an empty store.
    pub fn new(machine_types: &str, cluster: Value, token: u64) -> Self {
        Self::from_snapshot(machine_types, cluster, token, Snapshot::default())
    }

    /// A harness whose leader starts from a stored snapshot.
    pub fn from_snapshot(
        machine_types: &str,
        cluster: Value,
        token: u64,
        snapshot: Snapshot,
    ) -> Self {
        Self::with_tuning(machine_types, cluster, token, snapshot, Tuning::default())
    }

    /// A harness whose leader starts from a stored snapshot under this tuning.
    pub fn with_tuning(
        machine_types: &str,
        cluster: Value,
        token: u64,
        snapshot: Snapshot,
        tuning: Tuning,
    ) -> Self {
        let cluster: Cluster = serde_json::from_value(cluster).expect("valid settings");
        let (heartbeat_interval_s, lease_s) = (
            cluster.workers.heartbeat_interval_s,
            cluster.workers.lease_s,
        );
        let config = Config {
            cluster: cluster.clone(),
            tuning: tuning.clone(),
        };
        let parsed_types =
            parse_machine_types(machine_types.as_bytes()).expect("valid machine types");
        let specs = snapshot.jobs.iter().map(|j| (j.spec.id, j.spec.clone()));
        Self {
            specs: specs.collect(),
            core: Core::new(config, token, 0.0, parsed_types, snapshot),
            now: 0.0,
            unreachable: BTreeSet::new(),
            heartbeats_lost: BTreeSet::new(),
            failing_workers: BTreeSet::new(),
            failing_jobs: BTreeSet::new(),
            cloud_capacity: 0,
            provisioned_at: Vec::new(),
            scaled_in: Vec::new(),
            written_changes: 0,
            start_count: 0,
            step_durations_s: Vec::new(),
            largest_value_bytes: 0,
            registry: BTreeMap::new(),
            drains: BTreeMap::new(),
            fencing: BTreeMap::new(),
            vote_binding_until: 0.0,
            checkpointing: CheckpointMode::InTime,
            removed: BTreeSet::new(),
            history: History::default(),
            finished: BTreeSet::new(),
            outage: false,
            admin_responses: BTreeMap::new(),
            progress_records: BTreeMap::new(),
            saved_work_s: BTreeMap::new(),
            lost_work_s: 0.0,
            completed: BTreeSet::new(),
            tuning,
            cluster,
            machine_types: machine_types.to_string(),
            unwritten_batches: Vec::new(),
            cancelling: VecDeque::new(),
            revision: FIRST_REVISION.max(token),
            heartbeat_interval_s,
            lease_s,
            workers: BTreeMap::new(),
            scheduled_inputs: Vec::new(),
            awaiting_answer: BTreeMap::new(),
            ticket: 0,
            next_step_at: 0.0,
            executed_messages: Vec::new(),
            stepped_down: None,
        }
    }

    /// Adds a running worker that sends its first heartbeat at the given time.
    pub fn add_worker(
        &mut self,
        name: &str,
        machine_type: &'static str,
        zone: &'static str,
        first_heartbeat_at: f64,
    ) {
        let worker = Worker {
            machine_type,
            zone,
            incarnation: 1,
            counter: 0,
            token: 0,
            next_heartbeat_at: first_heartbeat_at,
            last_heartbeat_at: f64::NEG_INFINITY,
            lease_renewed_at: first_heartbeat_at,
            images: BTreeSet::new(),
            tasks: BTreeMap::new(),
        };
        self.workers.insert(name.to_string(), worker);
    }

    /// Submits a job. Fields that are missing in the body have the defaults of [`stored_job`].
    pub fn submit(&mut self, body: &Value) -> JobId {
        let job = stored_job(body, self.core.token + 1);
        let id = job.spec.id;
        self.specs.insert(id, job.spec.clone());
        self.scheduled_inputs.push((self.now, Input::Job(job)));
        id
    }

    /// The live task instances of a job, as (task, worker).
    pub fn instances_of(&self, job: JobId) -> Vec<(u32, &str)> {
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

    /// Runs for this many seconds of simulated time.
    pub fn run(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += TICK_S;
            self.tick();
        }
    }

    /// Starts a new incarnation of a worker, as if its lease had expired. This can happen before
    /// the leader expects it: the lease counts from when the last answered heartbeat was sent,
    /// which may be seconds before the leader received it.
    pub fn restart_worker(&mut self, name: &str) {
        let w = self.workers.get_mut(name).expect("known");
        w.incarnation += 1;
        w.tasks.clear();
        w.lease_renewed_at = self.now;
    }

    /// Removes a worker without notifying the core.
    pub fn remove_worker(&mut self, name: &str) {
        let Some(w) = self.workers.remove(name) else {
            return;
        };
        self.removed.insert(name.to_string());
        let now = self.now;
        for ((job, task, attempt), (phase, _)) in w.tasks {
            if occupies_worker(phase) {
                let task = format!("{job}/{task}");
                self.history
                    .record(now, &task, attempt, name, EventKind::Left);
            }
        }
    }

    /// Replaces the leader by a new one that reads the stored state. Everything in flight to the
    /// previous leader is lost, except job submissions.
    pub fn fail_over(&mut self) {
        let token = self.core.token + 1000;
        let unfinished = self
            .specs
            .iter()
            .filter(|(id, _)| !self.finished.contains(id));
        let jobs: Vec<StoredJob> = unfinished
            .map(|(id, spec)| StoredJob {
                accepted_ms: id.0,
                spec: spec.clone(),
                age_s: 0.0,
                version: token - 1,
            })
            .collect();
        let progress = self
            .progress_records
            .iter()
            .filter_map(|(&(job, chunk), value)| {
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
            deadline_in_s: record.until_ms.map(|at| at as f64 / 1000.0 - self.now),
            version: self.revision,
        });
        let now_ms = (self.now * 1000.0) as u64;
        let with_age = |(name, at): &(String, u64)| FencedWorker {
            name: name.clone(),
            age_ms: timestamp::min_age(*at, now_ms, 0),
        };
        let fencing = self
            .fencing
            .iter()
            .map(|(&page, stored)| StoredFencingPage {
                page,
                version: self.revision,
                workers: Some(stored.iter().map(with_age).collect()),
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
        let types =
            parse_machine_types(self.machine_types.as_bytes()).expect("valid machine types");
        self.revision = self.revision.max(token);
        self.core = Core::new(config, token, self.now, types, snapshot);
        self.scheduled_inputs
            .retain(|(_, input)| matches!(input, Input::Job(_)));
        self.awaiting_answer.clear();
        self.unwritten_batches.clear();
    }

    /// Sends an operator's request, and returns the ticket under which the response will be in
    /// `admin_responses`.
    pub fn send_admin_request(&mut self, request: AdminRequest) -> u64 {
        self.ticket += 1;
        let input = Input::Admin {
            ticket: self.ticket,
            request,
            unix_ms: (self.now * 1000.0) as u64,
        };
        self.scheduled_inputs.push((self.now, input));
        self.ticket
    }

    /// Sends an operator's request, runs for 0.3 s, and returns the response.
    pub fn admin_request(&mut self, request: AdminRequest) -> (u16, Value) {
        let ticket = self.send_admin_request(request);
        self.run(0.3);
        self.admin_responses
            .remove(&ticket)
            .expect("answered at once")
    }

    /// Cancels a job as its user would. The leader is notified once the cancellation is stored.
    pub fn cancel(&mut self, job: JobId) {
        self.cancelling.push_back(job);
        let (ticket, now) = (self.ticket, self.now);
        self.ticket += 1;
        self.scheduled_inputs
            .push((now, Input::CancelRequested { ticket, job }));
    }

    /// Passes an input to the core with the next step.
    pub fn schedule(&mut self, input: Input) {
        self.scheduled_inputs.push((self.now, input));
    }

    /// The number of tasks that a worker lists, exited ones included.
    pub fn listed_tasks(&self, worker: &str) -> usize {
        self.workers[worker].tasks.len()
    }

    /// Lets copies of all executed direct messages arrive once more, the newest first. Returns how
    /// many of them were executed again.
    pub fn repeat_messages(&mut self) -> usize {
        let mut repeated = 0;
        for (worker, message) in self.executed_messages.clone().into_iter().rev() {
            if self.workers.contains_key(&worker) && self.accepts(&worker, &message) {
                self.execute_commands(&worker, message.token, &message.commands);
                repeated += 1;
            }
        }
        repeated
    }

    /// Whether a worker accepts a direct message.
    fn accepts(&self, worker: &str, message: &DirectMessage) -> bool {
        let w = &self.workers[worker];
        w.incarnation == message.incarnation && message.token >= w.token
    }

    /// Pauses the process: simulated time passes without a step of the core.
    pub fn pause(&mut self, seconds: f64) {
        self.now += seconds;
    }

    fn tick(&mut self) {
        let now = self.now;
        let mut inputs = Vec::new();
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            self.advance_worker(&name);
            let w = &self.workers[&name];
            if w.next_heartbeat_at > now
                || self.unreachable.contains(&name)
                || self.heartbeats_lost.contains(&name)
            {
                continue;
            }
            self.ticket += 1;
            self.awaiting_answer.insert(self.ticket, name.clone());
            let heartbeat = self.heartbeat(&name);
            inputs.push(Input::Heartbeat {
                ticket: self.ticket,
                heartbeat,
            });
            let heartbeat_interval_s = self.heartbeat_interval_s;
            let w = self.workers.get_mut(&name).expect("known");
            w.last_heartbeat_at = now;
            w.next_heartbeat_at = now + heartbeat_interval_s;
        }
        let (due, later) = std::mem::take(&mut self.scheduled_inputs)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.scheduled_inputs = later;
        inputs.extend(due.into_iter().map(|(_, input): (f64, Input)| input));
        if inputs.is_empty() && now < self.next_step_at {
            return;
        }
        self.next_step_at = now + 0.05;
        let started = Instant::now();
        let effects = self.core.step(now, inputs);
        self.step_durations_s.push(started.elapsed().as_secs_f64());
        for effect in effects {
            self.execute_effect(effect);
        }
    }

    /// Advances a worker: its lease may expire, image fetches end, and tasks start and exit.
    fn advance_worker(&mut self, name: &str) {
        let now = self.now;
        let fails_all_tasks = self.failing_workers.contains(name);
        let w = self.workers.get_mut(name).expect("known");
        if now - w.lease_renewed_at > self.lease_s {
            w.incarnation += 1;
            for ((job, task, attempt), (phase, _)) in std::mem::take(&mut w.tasks) {
                if occupies_worker(phase) {
                    let task = format!("{job}/{task}");
                    self.history
                        .record(now, &task, attempt, name, EventKind::Left);
                }
            }
            w.lease_renewed_at = now;
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
                    saved: self.checkpointing != CheckpointMode::Fails,
                }),
                // An earlier attempt completed, so this one exits as soon as it has its image.
                TaskPhase::Fetching if self.completed.contains(&(job, task)) => {
                    TaskPhase::Exited(Exit::Done)
                }
                TaskPhase::Fetching if fails_all_tasks || self.failing_jobs.contains(&job) => {
                    TaskPhase::Exited(Exit::Error)
                }
                TaskPhase::Fetching => TaskPhase::Running,
                TaskPhase::Running => TaskPhase::Exited(Exit::Done),
                _ => continue,
            };
            w.images.insert(spec.image.clone());
            let event = match next {
                TaskPhase::Running => Some(EventKind::Started),
                TaskPhase::Exited(Exit::Done) => self
                    .completed
                    .insert((job, task))
                    .then_some(EventKind::Completed),
                _ if occupies_worker(*phase) => Some(EventKind::Left),
                _ => None,
            };
            if let Some(event) = event {
                self.history.record(now, &id, attempt, name, event);
            }
            *phase = next;
            let saved = self.saved_work_s.get(&(job, task)).copied().unwrap_or(0.0);
            *until = match spec.kind {
                Kind::Service => f64::INFINITY,
                _ => now + (spec.estimated_runtime_s - saved).max(0.0),
            };
            changed = true;
        }
        if changed {
            w.next_heartbeat_at = w.next_heartbeat_at.min(now.max(w.last_heartbeat_at + 0.5));
        }
    }

    /// The next heartbeat of a worker.
    fn heartbeat(&mut self, name: &str) -> Heartbeat {
        let w = self.workers.get_mut(name).expect("known");
        w.counter += 1;
        Heartbeat {
            worker: name.to_string(),
            address: WORKER_ADDRESS.into(),
            machine_type: w.machine_type.into(),
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

    /// Executes commands on a worker.
    ///
    /// # Panics
    /// If a start command arrives while another worker has a live instance of the task.
    pub fn execute_commands(&mut self, name: &str, token: u64, commands: &[Command]) {
        let now = self.now;
        for c in commands.iter().filter(|c| c.verb == Verb::Start) {
            let lives_elsewhere = self.workers.iter().any(|(other, w)| {
                other != name
                    && w.tasks.iter().any(|((job, task, _), (phase, _))| {
                        (*job, *task) == (c.job, c.task) && !matches!(phase, TaskPhase::Exited(_))
                    })
            });
            assert!(!lives_elsewhere, "{}/{} ran twice", c.job, c.task);
        }
        let w = self.workers.get_mut(name).expect("known");
        w.token = w.token.max(token);
        for c in commands {
            let key = (c.job, c.task, c.attempt);
            match c.verb {
                Verb::Start => {
                    self.start_count += 1;
                    let has_image = w.images.contains(&self.specs[&c.job].image);
                    let fetch_s = if has_image { 0.0 } else { FETCH_S };
                    w.tasks
                        .entry(key)
                        .or_insert((TaskPhase::Fetching, now + fetch_s));
                }
                Verb::Stop { grace_s } => {
                    let Some(t) = w.tasks.get_mut(&key) else {
                        continue;
                    };
                    let spec = &self.specs[&c.job];
                    let saves =
                        spec.checkpoint_interval_s > 0.0 && grace_s >= spec.checkpoint_save_s;
                    match t.0 {
                        TaskPhase::Exited(_) => {}
                        TaskPhase::Running if saves => {
                            let checkpoint_save_s = match self.checkpointing {
                                CheckpointMode::Slow(factor) => spec.checkpoint_save_s * factor,
                                _ => spec.checkpoint_save_s,
                            };
                            self.lost_work_s += checkpoint_save_s;
                            if self.checkpointing != CheckpointMode::Fails {
                                let remaining_s = (t.1 - now).max(0.0);
                                let done_s = (spec.estimated_runtime_s - remaining_s).max(0.0);
                                self.saved_work_s.insert((c.job, c.task), done_s);
                            }
                            *t = (TaskPhase::Saving, now + checkpoint_save_s);
                        }
                        TaskPhase::Saving if grace_s > 0.0 => {}
                        phase => {
                            if phase == TaskPhase::Running && spec.kind != Kind::Service {
                                let saved = self.saved_work_s.get(&(c.job, c.task)).copied();
                                let unsaved_s =
                                    spec.estimated_runtime_s - (t.1 - now) - saved.unwrap_or(0.0);
                                self.lost_work_s += unsaved_s.max(0.0);
                            }
                            if occupies_worker(phase) {
                                let task = format!("{}/{}", c.job, c.task);
                                self.history
                                    .record(now, &task, c.attempt, name, EventKind::Left);
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
            w.next_heartbeat_at = w.next_heartbeat_at.min(now.max(w.last_heartbeat_at + 0.5));
        }
    }

    fn execute_effect(&mut self, effect: Effect) {
        let now = self.now;
        match effect {
            Effect::AnswerHeartbeat { ticket, body } => {
                let name = self.awaiting_answer.remove(&ticket).expect("answered once");
                let (token, commands) = commands_of(&body);
                let w = self.workers.get_mut(&name).expect("known");
                if token >= w.token {
                    w.lease_renewed_at = now;
                    self.execute_commands(&name, token, &commands);
                }
            }
            Effect::SendCommands {
                worker,
                token,
                incarnation,
                message_id,
                commands,
                ..
            } => {
                let message = DirectMessage {
                    token,
                    incarnation,
                    commands,
                };
                self.deliver_message(worker, message_id, message);
            }
            Effect::RequestHeartbeat {
                worker,
                token,
                incarnation,
                message_id,
                ..
            } => {
                let message = DirectMessage {
                    token,
                    incarnation,
                    commands: Vec::new(),
                };
                self.deliver_message(worker, message_id, message);
            }
            Effect::Write(batch) if self.outage => self.unwritten_batches.push(batch),
            Effect::Write(batch) => self.store(batch),
            Effect::StepDown(reason) => self.stepped_down = Some(reason),
            Effect::AnswerAdmin {
                ticket,
                status,
                body,
            } => {
                let body = serde_json::from_slice(&body).expect("JSON");
                self.admin_responses.insert(ticket, (status, body));
            }
            Effect::AnswerCancel { decision, .. } => {
                // The cancellation is stored at once: users have no timeout here.
                if let CancelDecision::Go { done } = decision
                    && let Some(job) = self.cancelling.pop_front()
                {
                    self.finished.insert(job);
                    let phase = Phase::Cancelled;
                    let outcome = Some(JobOutcome { phase, done });
                    self.scheduled_inputs
                        .push((now + 0.05, Input::CancelSettled { job, outcome }));
                } else {
                    self.cancelling.pop_front();
                }
            }
            Effect::ScaleOut { request, count, .. } => {
                let count = count.min(self.cloud_capacity);
                self.cloud_capacity -= count;
                let first = self.provisioned_at.len();
                self.provisioned_at.extend((0..count).map(|_| now));
                let names: Vec<String> = (first..self.provisioned_at.len())
                    .map(|i| format!("rented-{i}"))
                    .collect();
                let outcome = if names.is_empty() {
                    ScaleOutOutcome::NoCapacity
                } else {
                    ScaleOutOutcome::Workers(names)
                };
                let input = Input::ScaledOut { request, outcome };
                self.scheduled_inputs.push((now + 0.1, input));
            }
            Effect::ScaleIn(workers) => {
                for name in &workers {
                    self.remove_worker(name);
                    self.scaled_in.push(name.clone());
                }
                let input = Input::ScaledIn { workers, ok: true };
                self.scheduled_inputs.push((now + 0.1, input));
            }
            Effect::ListWorkers => {
                let list = WorkerList {
                    requested_at: now,
                    workers: self.list_workers(),
                };
                self.scheduled_inputs
                    .push((now + 0.1, Input::WorkerList(list)));
            }
            _ => {}
        }
    }

    /// The cloud's list of workers: those that run. The provisioned ones never boot and stay absent.
    fn list_workers(&self) -> Vec<ListedWorker> {
        let running = self.workers.iter().map(|(name, w)| ListedWorker {
            name: name.clone(),
            address: WORKER_ADDRESS.into(),
            machine_type: w.machine_type.into(),
            zone: w.zone.into(),
            spot: false,
            phase: "running".into(),
            age_s: self.now,
        });
        running.collect()
    }

    /// Ends the outage of the state service, and stores the writes that waited.
    pub fn end_outage(&mut self) {
        self.outage = false;
        for batch in std::mem::take(&mut self.unwritten_batches) {
            self.store(batch);
        }
    }

    /// Stores a batch of writes, and schedules its result.
    fn store(&mut self, batch: Vec<Write>) {
        let mut results = Vec::new();
        self.revision += 1;
        for write in batch {
            self.written_changes += write.changes();
            match &write {
                Write::WorkerRegistry { page, value, .. } => {
                    self.largest_value_bytes =
                        self.largest_value_bytes.max(value.to_string().len());
                    self.registry.insert(*page, value.clone());
                }
                Write::Progress {
                    job, chunk, value, ..
                } => {
                    self.largest_value_bytes =
                        self.largest_value_bytes.max(value.to_string().len());
                    self.progress_records.insert((*job, *chunk), value.clone());
                }
                Write::DeleteProgress { job, chunk, .. } => {
                    self.progress_records.remove(&(*job, *chunk));
                }
                Write::Finish { job, .. } => {
                    self.finished.insert(*job);
                }
                Write::FencingRecord { page, workers, .. } => {
                    let now_ms = (self.now * 1000.0) as u64;
                    let stored =
                        |w: &FencedWorker| (w.name.clone(), timestamp::from_age(w.age_ms, now_ms));
                    self.fencing
                        .insert(*page, workers.iter().map(stored).collect());
                }
                Write::Drain { node, record, .. } => {
                    match record {
                        Some(record) => self.drains.insert(node.clone(), *record),
                        None => self.drains.remove(node),
                    };
                }
            }
            let version = self.revision;
            results.push((write, WriteOutcome::Stored { version }));
        }
        self.scheduled_inputs
            .push((self.now + 0.05, Input::Written(results)));
    }

    /// Delivers a direct message to a worker. A probe has no commands. The core learns that a
    /// worker is unreachable only after the connect timeout.
    fn deliver_message(&mut self, worker: String, message_id: u64, message: DirectMessage) {
        let known = self.workers.contains_key(&worker);
        let reached = known && !self.unreachable.contains(&worker);
        let outcome = if !reached {
            CommandOutcome::Unsent
        } else if self.accepts(&worker, &message) {
            self.execute_commands(&worker, message.token, &message.commands);
            self.executed_messages.push((worker.clone(), message));
            CommandOutcome::Executed(self.heartbeat(&worker))
        } else {
            CommandOutcome::Rejected(Some(self.heartbeat(&worker)))
        };
        let after_s = match outcome {
            CommandOutcome::Unsent => 0.5,
            _ => 0.01,
        };
        let input = Input::DirectMessageEnded {
            worker,
            message_id,
            outcome,
        };
        self.scheduled_inputs.push((self.now + after_s, input));
    }
}

/// A direct message to a worker.
#[derive(Debug, Clone)]
struct DirectMessage {
    token: u64,
    incarnation: u64,
    commands: Vec<Command>,
}

/// Whether a task occupies its worker: it has its image and has not exited.
fn occupies_worker(phase: TaskPhase) -> bool {
    matches!(
        phase,
        TaskPhase::Running | TaskPhase::Saving | TaskPhase::Waiting
    )
}

/// Tuning under which the core provisions at most one worker and never scales in idle workers.
pub fn fixed_fleet() -> Tuning {
    Tuning {
        fleet_max: 1,
        scale_in_idle_s: 1e6,
        scale_in_idle_no_jobs_s: 1e6,
        ..Tuning::default()
    }
}

/// A job as the state service stores it. Fields that are missing in the body are those of a small
/// default job.
pub fn stored_job(body: &Value, version: u64) -> StoredJob {
    let mut merged = json!({"jobclass": "c", "owner": "team", "shape": "sweep", "rank": "normal",
        "shards": 1, "cpus": 1.0, "memory_gb": 2.0, "bundle": "img", "pull_gb": 0.5, "runtime_s": 20.0});
    for (k, v) in body.as_object().expect("an object") {
        merged[k] = v.clone();
    }
    let spec = JobSpec::from_json(&merged).expect("a valid job");
    StoredJob {
        accepted_ms: spec.id.0,
        spec,
        age_s: 0.0,
        version,
    }
}

/// The fencing token and the commands in the answer to a heartbeat.
fn commands_of(body: &[u8]) -> (u64, Vec<Command>) {
    let body: Value = serde_json::from_slice(body).expect("JSON");
    let token = body["fence"].as_u64().expect("a number");
    let commands = body["orders"].as_array().expect("a list");
    let command = |c: &Value| {
        let (job, task) = parse_task(c["shard"].as_str().expect("a name")).expect("an id");
        Command {
            verb: match c["verb"].as_str() {
                Some("start") => Verb::Start,
                Some("clear") => Verb::Forget,
                _ => Verb::Stop {
                    grace_s: c["drain_s"].as_f64().unwrap_or(0.0),
                },
            },
            job,
            task,
            attempt: c["try"].as_u64().expect("a number"),
        }
    };
    (token, commands.iter().map(command).collect())
}
