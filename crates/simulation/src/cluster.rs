//! A fake cloud and fake workers. Each event is checked against the invariants that controllers
//! must keep.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Value, json};

use crate::history::{EventKind, History};

/// The machine types of the fake cloud.
pub const MACHINE_TYPES: &str = r#"{"flavors":[
 {"name":"small","cpus":4,"gpus":0,"memory_gb":16,"local_gb":50,"pull_gb_per_s":0.5,"price":0.2,"market_price":0.07,"ready_s":5,"regions":["a","b"]},
 {"name":"big","cpus":12,"gpus":2,"memory_gb":48,"local_gb":100,"pull_gb_per_s":0.5,"price":5.0,"market_price":1.8,"ready_s":8,"regions":["a","b"]}]}"#;
/// Interval between the heartbeats of a worker.
pub const HEARTBEAT_INTERVAL_S: f64 = 1.0;
/// Default length of a worker's lease.
pub const LEASE_S: f64 = 6.0;
/// Clock drift: a worker keeps its lease longer than the nominal length by this factor.
const CLOCK_DRIFT: f64 = 1.001;
/// Default deadline of cancellations: every task of a job must have ended this long after the
/// cancellation was answered.
pub const CANCEL_S: f64 = 16.0;
/// The time until a task notices the loss of another member of its gang.
const GANG_PEER_S: f64 = 2.0;
/// How long a task waits for the other tasks of its gang to become ready.
pub const GANG_WAIT_S: f64 = 20.0;
/// How long the cloud lists a crashed worker as running before it lists it as failed.
const FAILURE_DETECTION_S: f64 = 30.0;

/// A job and the answers that its user has received about it.
#[derive(Clone, Debug)]
pub struct Job {
    /// The body of the submission.
    pub body: Value,
    /// How long each task runs.
    pub runtime_s: f64,
    /// When its user received the answer that it was accepted.
    pub accepted_at: Option<f64>,
    /// When its user received the answer that it was cancelled.
    pub cancelled_at: Option<f64>,
    /// For each task, whether it has completed.
    pub done: Vec<bool>,
    /// The terminal phase that its user received, if any.
    pub reported_phase: Option<&'static str>,
    /// When its user received the terminal phase.
    pub reported_at: f64,
    /// When its user last received a successful answer about it.
    pub last_answer_at: f64,
}

impl Job {
    /// A job that has not been accepted yet.
    pub fn new(body: &Value, runtime_s: f64) -> Self {
        let tasks = body["shards"].as_u64().unwrap_or(1) as usize;
        Self {
            body: body.clone(),
            runtime_s,
            accepted_at: None,
            cancelled_at: None,
            done: vec![false; tasks],
            reported_phase: None,
            reported_at: 0.0,
            last_answer_at: 0.0,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
enum TaskState {
    Fetching {
        until: f64,
    },
    /// Waits for the other tasks of its gang, and exits if they are not all ready in time.
    Waiting {
        until: f64,
    },
    Running {
        remaining_s: f64,
    },
    /// Received a stop command and saves a checkpoint.
    Saving {
        until: f64,
        remaining_s: f64,
    },
    /// Holds the exit reason as on the wire, or `saved` for a stop after a checkpoint.
    Exited(&'static str),
}

impl TaskState {
    /// Whether the task occupies its worker: it has its image and has not exited.
    fn occupies_worker(&self) -> bool {
        matches!(
            self,
            Self::Waiting { .. } | Self::Running { .. } | Self::Saving { .. }
        )
    }
}

#[derive(Clone, Debug)]
struct Task {
    attempt: u64,
    state: TaskState,
    /// When the task notices the loss of another member of its gang, if one was lost.
    peer_loss_noticed_at: Option<f64>,
}

/// A fake worker.
pub struct Worker {
    /// As in `vm-000001`.
    pub name: String,
    /// One of the machine types of the site.
    pub machine_type: String,
    /// The zone that it is in.
    pub zone: String,
    /// Whether it is a spot worker.
    pub spot: bool,
    /// When it has booted.
    pub up_at: f64,
    /// Unresponsive: it sends nothing and its tasks make no progress, but its lease still expires.
    pub hung: bool,
    /// Crashed: it does nothing any more, though the cloud still lists it.
    pub dead: bool,
    /// When it crashed.
    died_at: f64,
    /// When it was provisioned.
    provisioned_at: f64,
    /// Incremented when its lease expires.
    pub incarnation: u64,
    /// Number of heartbeats made so far.
    pub counter: u64,
    /// The newest fencing token that it has accepted.
    pub token: u64,
    /// When the newest heartbeat that has been answered was sent.
    lease_started_at: f64,
    tasks: BTreeMap<String, Task>,
    images: Vec<String>,
    /// Whether its state has changed since its last heartbeat.
    pub changed: bool,
    /// By task and attempt: the highest fencing token of a direct message with the start that was
    /// sent to this incarnation. Copies of these messages may arrive at any time.
    direct_starts: BTreeMap<(String, u64), u64>,
}

/// The workers, jobs and fake cloud of a simulated site, and the violations found so far.
pub struct Site {
    /// The simulated time, in seconds.
    pub now: f64,
    /// The workers by name.
    pub workers: BTreeMap<String, Worker>,
    /// The jobs by id.
    pub jobs: BTreeMap<String, Job>,
    /// One line for each violation of an invariant: time, rule and details.
    pub violations: Vec<String>,
    /// The workers that each provisioning request has received.
    provisioned: BTreeMap<String, Vec<String>>,
    /// How many workers there can be at once.
    pub capacity: usize,
    /// Length of a worker's lease.
    pub lease_s: f64,
    /// Deadline of cancellations, as [`CANCEL_S`].
    pub cancel_s: f64,
    /// The time from the provisioning of a worker until it has booted.
    pub boot_s: f64,
    /// The age of the cloud's list of workers.
    pub list_lag_s: f64,
    /// Workers that the cloud has taken back or that were returned, each with the time at which it
    /// went. The list names them until it is newer than that.
    gone_workers: Vec<(f64, Worker)>,
    /// The number of CPUs that a team may use at once, for teams with a limit.
    pub cpu_limits: BTreeMap<String, f64>,
    /// Jobs whose last task has completed; the caller takes them out.
    pub newly_completed: Vec<String>,
    /// Answers that arrived after a newer one, to requests sent before the newer one arrived. They
    /// violate no invariant.
    pub overtaken_answers: usize,
    /// Number of task starts so far.
    pub start_count: usize,
    /// The events of all tasks.
    pub history: History,
    /// The response to `GET /machine_types`.
    pub machine_types: Value,
    /// The remaining run time after the last checkpoint, in seconds, by task.
    checkpoints: BTreeMap<String, f64>,
    /// The number in the name of the newest worker.
    last_worker: u64,
    /// Workers on which every task fails soon after it has started.
    pub failing_workers: BTreeSet<String>,
    /// Tasks and attempts that have started. Every start of a controller is a new attempt.
    started_attempts: BTreeSet<(String, u64)>,
}

impl Default for Site {
    fn default() -> Self {
        Self {
            now: 0.0,
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            violations: Vec::new(),
            provisioned: BTreeMap::new(),
            capacity: 16,
            lease_s: LEASE_S,
            cancel_s: CANCEL_S,
            boot_s: 6.0,
            list_lag_s: 0.0,
            gone_workers: Vec::new(),
            cpu_limits: BTreeMap::new(),
            newly_completed: Vec::new(),
            overtaken_answers: 0,
            start_count: 0,
            history: History::default(),
            machine_types: serde_json::from_str(MACHINE_TYPES).expect("valid machine types"),
            checkpoints: BTreeMap::new(),
            last_worker: 0,
            failing_workers: BTreeSet::new(),
            started_attempts: BTreeSet::new(),
        }
    }
}

impl Worker {
    /// Whether a task occupies the worker.
    fn runs(&self, task: &str) -> bool {
        self.tasks
            .get(task)
            .is_some_and(|t| t.state.occupies_worker())
    }

    /// The entry of the worker in a list of workers that describes the time `at`.
    fn listing(&self, at: f64) -> Value {
        let phase = if at >= self.died_at + FAILURE_DETECTION_S {
            "failed"
        } else if self.up_at <= at {
            "running"
        } else {
            "starting"
        };
        json!({"uid": self.name, "address": "", "flavor": self.machine_type, "region": self.zone,
            "preemptibles": self.spot, "phase": phase, "held_s": 1.0})
    }

    /// The next heartbeat, as on the wire.
    pub fn heartbeat(&mut self) -> Value {
        self.counter += 1;
        self.changed = false;
        let shards: Vec<Value> = self
            .tasks
            .iter()
            .map(|(name, t)| match t.state {
                TaskState::Fetching { .. } => {
                    json!({"shard": name, "try": t.attempt, "phase": "fetching"})
                }
                TaskState::Waiting { .. } => {
                    json!({"shard": name, "try": t.attempt, "phase": "gathering"})
                }
                TaskState::Running { .. } => {
                    json!({"shard": name, "try": t.attempt, "phase": "running"})
                }
                TaskState::Saving { .. } => {
                    json!({"shard": name, "try": t.attempt, "phase": "saving"})
                }
                TaskState::Exited("saved") => {
                    json!({"shard": name, "try": t.attempt, "phase": "ended", "exit_reason": "stopped", "kept": true})
                }
                TaskState::Exited(reason) => {
                    json!({"shard": name, "try": t.attempt, "phase": "ended", "exit_reason": reason})
                }
            })
            .collect();
        let number: u64 = self.name[3..].parse().expect("a name as in vm-000001");
        json!({"host": self.name, "address": format!("10.1.0.{number}:9000"), "flavor": self.machine_type,
            "region": self.zone, "preemptibles": self.spot, "tenure": self.incarnation, "counter": self.counter,
            "fence": self.token, "reclaim_s": null, "shards": shards})
    }
}

impl Site {
    /// Adds a worker that boots at `up_at`, and returns its name.
    pub fn add_worker(&mut self, machine_type: &str, zone: &str, spot: bool, up_at: f64) -> String {
        self.last_worker += 1;
        let name = format!("vm-{:06}", self.last_worker);
        self.workers.insert(
            name.clone(),
            Worker {
                name: name.clone(),
                machine_type: machine_type.to_string(),
                zone: zone.to_string(),
                spot,
                up_at,
                hung: false,
                dead: false,
                died_at: f64::INFINITY,
                provisioned_at: self.now,
                incarnation: 1,
                counter: 0,
                token: 0,
                lease_started_at: up_at,
                tasks: BTreeMap::new(),
                images: Vec::new(),
                changed: true,
                direct_starts: BTreeMap::new(),
            },
        );
        name
    }

    /// Records the violation of a rule, with its details.
    pub fn record_violation(&mut self, rule: &str, details: &str) {
        self.violations
            .push(format!("{:.1} {rule}: {details}", self.now));
    }

    /// The id of a task's job.
    fn job_of(task: &str) -> &str {
        task.split_once('/').map_or(task, |(j, _)| j)
    }

    /// Records the start of a task on a worker, and checks every invariant that a start can
    /// violate.
    pub fn check_start(&mut self, worker: &str, task: &str) {
        self.start_count += 1;
        let job_name = Self::job_of(task).to_string();
        let others: Vec<&Worker> = self
            .workers
            .values()
            .filter(|w| w.name != worker && !w.dead)
            .collect();
        let mut violated = Vec::new();
        if let Some(w) = others.iter().find(|w| w.runs(task)) {
            violated.push(("ran_twice", format!("{task} on {worker} and {}", w.name)));
        }
        let attempt = self.workers[worker]
            .tasks
            .get(task)
            .map_or(0, |t| t.attempt);
        self.history
            .record(self.now, task, attempt, worker, EventKind::Started);
        let started = (task.to_string(), attempt);
        if !self.started_attempts.insert(started) {
            violated.push((
                "started_again",
                format!("{task} on {worker}, attempt {attempt}"),
            ));
        }
        let job = &self.jobs[&job_name];
        let target = &self.workers[worker];
        let body = &job.body;
        if target.spot && body["preemptibles"] != true {
            violated.push(("wrong_place", format!("{task} on a spot worker")));
        }
        if body["region"].as_str().is_some_and(|z| z != target.zone) {
            violated.push(("wrong_place", format!("{task} in {}", target.zone)));
        }
        let prefix = format!("{job_name}/");
        let running_in_zone = |zone: &str| {
            others
                .iter()
                .filter(|w| w.zone == *zone)
                .flat_map(|w| {
                    w.tasks
                        .keys()
                        .filter(|t| t.starts_with(&prefix) && w.runs(t))
                })
                .count()
                + target
                    .tasks
                    .keys()
                    .filter(|t| {
                        target.zone == zone
                            && t.starts_with(&prefix)
                            && target.runs(t)
                            && *t != task
                    })
                    .count()
        };
        let task_count = body["shards"].as_u64().unwrap_or(1) as usize;
        if body["spread"] == true && running_in_zone(&target.zone) + 1 > task_count.div_ceil(2) {
            violated.push(("wrong_place", format!("{task} is not spread")));
        }
        if body["one_zone"] == true
            && ["a", "b"]
                .iter()
                .any(|z| *z != target.zone && running_in_zone(z) > 0)
        {
            violated.push(("wrong_place", format!("{task} in a second zone")));
        }
        if job
            .cancelled_at
            .is_some_and(|at| self.now > at + self.cancel_s)
        {
            violated.push(("ran_cancelled", task.to_string()));
        }
        let team = body["owner"].as_str().unwrap_or("");
        if let Some(&limit) = self.cpu_limits.get(team) {
            let used = self.cpus_used_by(team);
            if used > limit + 1e-9 {
                violated.push(("quota", format!("{task}: {used} of {limit} CPUs")));
            }
        }
        for (rule, details) in violated {
            self.record_violation(rule, &details);
        }
    }

    /// The number of CPUs in use by a team: by its tasks that occupy a worker, and by those whose
    /// images have just been fetched. Tasks of cancelled jobs count too.
    fn cpus_used_by(&self, team: &str) -> f64 {
        let now = self.now;
        let uses_cpus = |t: &Task| {
            t.state.occupies_worker()
                || matches!(t.state, TaskState::Fetching { until } if until <= now)
        };
        let tasks = self.workers.values().filter(|w| !w.dead);
        let tasks = tasks.flat_map(|w| w.tasks.iter().filter(|(_, t)| uses_cpus(t)));
        let bodies = tasks.map(|(task, _)| &self.jobs[Self::job_of(task)].body);
        bodies
            .filter(|b| b["owner"] == team)
            .filter_map(|b| b["cpus"].as_f64())
            .sum()
    }

    /// Checks the commands of an answer that is at most `answer_s` old: none may start a task of a
    /// job whose user had already received the cancellation when the answer was made. A start
    /// followed directly by the stop of the same attempt is allowed: it cancels a start that may
    /// still arrive.
    pub fn check_commands(&mut self, commands: &Value, answer_s: f64) {
        let commands = commands.as_array().map_or(&[][..], Vec::as_slice);
        let has_verb = |command: &Value, verb: &str| command["verb"] == verb;
        let same_attempt = |a: &Value, b: &Value| a["shard"] == b["shard"] && a["try"] == b["try"];
        for (i, start) in commands
            .iter()
            .enumerate()
            .filter(|(_, c)| has_verb(c, "start"))
        {
            let next = commands.get(i + 1);
            if next.is_some_and(|n| {
                has_verb(n, "halt") && n["drain_s"] == 0.0 && same_attempt(n, start)
            }) {
                continue;
            }
            let task = start["shard"].as_str().unwrap_or("").to_string();
            let job = self.jobs.get(Self::job_of(&task));
            let cancelled_at = job.and_then(|j| j.cancelled_at);
            if cancelled_at.is_some_and(|at| self.now > at + answer_s) {
                self.record_violation("started_cancelled", &task);
            }
        }
    }

    /// Checks that no accepted job has waited this long with an unplaced task while a worker has
    /// the capacity for it and the team is below its limit. Valid only without faults.
    pub fn check_waiting_jobs(&mut self, within_s: f64) {
        let mut unplaced = Vec::new();
        for (id, job) in &self.jobs {
            let long_accepted = job.accepted_at.filter(|at| self.now > at + within_s);
            let body = &job.body;
            if long_accepted.is_none() || job.reported_phase.is_some() || body["asked"] == true {
                continue;
            }
            let prefix = format!("{id}/");
            let events = self.history.events().iter();
            let event_times = events.filter(|e| e.task.starts_with(&prefix)).map(|e| e.at);
            if event_times.fold(0.0, f64::max) > self.now - within_s {
                continue;
            }
            let unplaced_tasks = (0..job.done.len()).filter(|&n| {
                let task = format!("{prefix}{n}");
                let has_task = |w: &Worker| {
                    w.tasks
                        .get(&task)
                        .is_some_and(|t| !matches!(t.state, TaskState::Exited(_)))
                };
                !job.done[n] && !self.workers.values().any(has_task)
            });
            let cpus = body["cpus"].as_f64().unwrap_or(0.0);
            let team = body["owner"].as_str().unwrap_or("");
            let limit = self.cpu_limits.get(team);
            let within_limit = limit.is_none_or(|limit| self.cpus_used_by(team) + cpus <= *limit);
            // How many more tasks of this size fit, by zone.
            let mut slots: BTreeMap<&str, usize> = BTreeMap::new();
            for w in self.workers.values().filter(|w| !w.spot) {
                let up = !w.dead && !w.hung && w.up_at <= self.now;
                let free_slots = (self.free(&w.name, "cpus") / cpus) as usize;
                *slots.entry(&w.zone).or_default() += if up { free_slots } else { 0 };
            }
            let needed = if body["shape"] == "group" {
                job.done.len()
            } else {
                1
            };
            let mut zone_fits = slots.values().map(|slots| *slots >= needed);
            // The unplaced tasks of a spread job may be restricted to one zone, and either zone may
            // be the one, so both need capacity.
            let fits = if body["spread"] == true {
                zone_fits.all(|fits| fits)
            } else {
                zone_fits.any(|fits| fits)
            };
            if unplaced_tasks.count() > 0 && within_limit && fits {
                unplaced.push(format!("{id}, for {within_s} s despite free capacity"));
            }
        }
        for details in unplaced {
            self.record_violation("unplaced", &details);
        }
    }

    /// The free capacity of a worker; `resource` is "cpus" or "gpus".
    fn free(&self, worker: &str, resource: &str) -> f64 {
        let w = &self.workers[worker];
        let types = self.machine_types["flavors"]
            .as_array()
            .into_iter()
            .flatten();
        let machine_type = types
            .into_iter()
            .find(|t| t["name"] == w.machine_type.as_str());
        let capacity = machine_type
            .and_then(|t| t[resource].as_f64())
            .unwrap_or(0.0);
        let assigned = w
            .tasks
            .iter()
            .filter(|(_, t)| !matches!(t.state, TaskState::Exited(_)));
        let needs = |task: &str| self.jobs[Self::job_of(task)].body[resource].as_f64();
        capacity - assigned.filter_map(|(name, _)| needs(name)).sum::<f64>()
    }

    /// Records that a task left its worker without completing.
    fn record_left(&mut self, worker: &str, task: &str, attempt: u64) {
        self.history
            .record(self.now, task, attempt, worker, EventKind::Left);
    }

    /// Records the starts in a direct message when the message is sent to a worker.
    pub fn record_direct_starts(&mut self, worker: &str, message: &Value) {
        let Some(w) = self.workers.get_mut(worker) else {
            return;
        };
        if message["tenure"].as_u64() != Some(w.incarnation) {
            return;
        }
        let token = message["fence"].as_u64().unwrap_or(0);
        for command in message["orders"].as_array().into_iter().flatten() {
            if command["verb"] == "start" {
                let task = command["shard"].as_str().unwrap_or("").to_string();
                let attempt = command["try"].as_u64().unwrap_or(0);
                let sent = w.direct_starts.entry((task, attempt)).or_default();
                *sent = token.max(*sent);
            }
        }
    }

    /// Checks a command to forget an attempt: a copy of a direct message with its start must have a
    /// lower token, so that the worker refuses it.
    fn check_forget(&mut self, worker: &str, task: &str, attempt: u64) {
        let w = &self.workers[worker];
        let started_under = w.direct_starts.get(&(task.to_string(), attempt));
        if started_under.is_some_and(|sent| *sent >= w.token) {
            let details = format!("{task} on {worker}, attempt {attempt}");
            self.record_violation("forgotten_too_early", &details);
        }
    }

    /// Executes the commands of an answer or a direct message on a worker.
    pub fn execute_commands(&mut self, worker: &str, commands: &Value) {
        for command in commands.as_array().into_iter().flatten() {
            let task = command["shard"].as_str().unwrap_or("").to_string();
            let attempt = command["try"].as_u64().unwrap_or(0);
            match command["verb"].as_str() {
                Some("start") => self.start(worker, &task, attempt),
                Some("halt") => {
                    let grace_s = command["drain_s"].as_f64().unwrap_or(0.0);
                    self.stop(worker, &task, attempt, grace_s);
                }
                Some("clear") => {
                    let w = self.workers.get_mut(worker).expect("exists");
                    if w.tasks.get(&task).is_some_and(|t| {
                        t.attempt == attempt && matches!(t.state, TaskState::Exited(_))
                    }) {
                        self.check_forget(worker, &task, attempt);
                        let w = self.workers.get_mut(worker).expect("exists");
                        w.tasks.remove(&task);
                        w.changed = true;
                    }
                }
                _ => self.record_violation("protocol", "a command without a known verb"),
            }
        }
    }

    fn stop(&mut self, worker: &str, task: &str, attempt: u64, grace_s: f64) {
        let now = self.now;
        let Some(job) = self.jobs.get(Self::job_of(task)) else {
            return;
        };
        let seconds = |field: &str| job.body[field].as_f64().unwrap_or(0.0);
        let save_s = seconds("snapshot_s");
        let saves = seconds("snapshot_every_s") > 0.0 && grace_s >= save_s;
        let w = self.workers.get_mut(worker).expect("exists");
        let Some(t) = w.tasks.get_mut(task).filter(|t| t.attempt == attempt) else {
            return;
        };
        let occupied = t.state.occupies_worker();
        t.state = match t.state {
            TaskState::Exited(_) => return,
            TaskState::Saving { .. } if grace_s > 0.0 => return,
            TaskState::Running { remaining_s } if saves => TaskState::Saving {
                until: now + save_s,
                remaining_s,
            },
            _ => TaskState::Exited("stopped"),
        };
        w.changed = true;
        let exited = matches!(t.state, TaskState::Exited(_));
        if occupied && exited {
            self.record_left(worker, task, attempt);
        }
    }

    fn start(&mut self, worker: &str, task: &str, attempt: u64) {
        let Some(job) = self.jobs.get(Self::job_of(task)) else {
            self.record_violation(
                "protocol",
                "a start command for a job that was not submitted",
            );
            return;
        };
        let needs = |resource: &str| job.body[resource].as_f64().unwrap_or(0.0);
        let image = job.body["bundle"].as_str().unwrap_or("").to_string();
        let image_gb = job.body["pull_gb"].as_f64().unwrap_or(0.0);
        let fits = |resource: &str| self.free(worker, resource) >= needs(resource);
        let has_room = fits("cpus") && fits("gpus");
        let now = self.now;
        let superseded = self.workers[worker]
            .tasks
            .get(task)
            .filter(|t| t.attempt != attempt && matches!(t.state, TaskState::Exited(_)));
        if let Some(superseded) = superseded.map(|t| t.attempt) {
            self.check_forget(worker, task, superseded);
        }
        let w = self.workers.get_mut(worker).expect("exists");
        w.changed = true;
        match w.tasks.get(task) {
            Some(t) if t.attempt == attempt => return,
            // The protocol has one entry per task, so a worker refuses a second attempt as busy.
            // Here the start is ignored.
            Some(t) if !matches!(t.state, TaskState::Exited(_)) => return,
            _ => {}
        }
        let state = if !has_room {
            TaskState::Exited("no_room")
        } else if w.images.contains(&image) {
            TaskState::Fetching { until: now }
        } else {
            TaskState::Fetching {
                until: now + image_gb / 0.5,
            }
        };
        w.tasks.insert(
            task.into(),
            Task {
                attempt,
                state,
                peer_loss_noticed_at: None,
            },
        );
    }

    /// Whether a worker accepts commands under this fencing token: one that is at least as new as
    /// the newest it has accepted. The worker keeps the token.
    pub fn accept_fencing_token(&mut self, worker: &str, token: Option<u64>) -> bool {
        let w = self.workers.get_mut(worker).expect("exists");
        match token {
            Some(token) if token >= w.token => {
                w.changed |= token > w.token;
                w.token = token;
                true
            }
            _ => false,
        }
    }

    /// Renews the lease of a worker whose heartbeat has been answered. The lease counts from when
    /// the heartbeat was sent.
    pub fn renew_lease(&mut self, worker: &str, sent_at: f64) {
        let w = self.workers.get_mut(worker).expect("exists");
        w.lease_started_at = w.lease_started_at.max(sent_at);
    }

    /// Ends the incarnation of a worker whose lease has expired. This also applies to a worker that
    /// hangs, because tasks may run only within the lease.
    pub fn expire_lease(&mut self, name: &str) {
        let (now, lease_s) = (self.now, self.lease_s * CLOCK_DRIFT);
        let w = self.workers.get_mut(name).expect("exists");
        if now - w.lease_started_at > lease_s {
            let tasks = std::mem::take(&mut w.tasks);
            w.direct_starts.clear();
            w.incarnation += 1;
            w.lease_started_at = now;
            w.changed = true;
            for (task, t) in tasks.iter().filter(|(_, t)| t.state.occupies_worker()) {
                self.record_left(name, task, t.attempt);
            }
        }
    }

    /// Advances a worker by one step: image fetches end, and tasks make progress and exit.
    pub fn advance_worker(&mut self, name: &str, elapsed_s: f64) {
        let now = self.now;
        self.expire_lease(name);
        let w = self.workers.get_mut(name).expect("exists");
        let fetched: Vec<String> = w
            .tasks
            .iter()
            .filter(|(_, t)| matches!(t.state, TaskState::Fetching { until } if until <= now))
            .map(|(n, _)| n.clone())
            .collect();
        for task in fetched {
            let (job, number) = task.split_once('/').expect("a task");
            let number: usize = number.parse().expect("a number");
            if self.jobs[job].done.get(number) == Some(&true) {
                // An earlier attempt completed, so this one exits as soon as it has its image.
                let w = self.workers.get_mut(name).expect("exists");
                w.changed = true;
                w.tasks.get_mut(&task).expect("listed").state = TaskState::Exited("done");
                continue;
            }
            self.check_start(name, &task);
            let job = &self.jobs[job];
            let gang = job.body["shape"] == "group";
            let remaining_s = if job.body["shape"] == "service" {
                f64::INFINITY
            } else {
                self.checkpoints
                    .get(&task)
                    .copied()
                    .unwrap_or(job.runtime_s)
            };
            let image = job.body["bundle"].as_str().unwrap_or("").to_string();
            let w = self.workers.get_mut(name).expect("exists");
            if !w.images.contains(&image) {
                w.images.push(image);
            }
            w.changed = true;
            w.tasks.get_mut(&task).expect("listed").state = if gang {
                TaskState::Waiting {
                    until: now + GANG_WAIT_S,
                }
            } else {
                TaskState::Running { remaining_s }
            };
        }
        let fails = self.failing_workers.contains(name);
        let w = self.workers.get_mut(name).expect("exists");
        let mut completed = Vec::new();
        let mut left = Vec::new();
        for (task, t) in &mut w.tasks {
            if fails && matches!(t.state, TaskState::Running { .. }) {
                left.push((task.clone(), t.attempt));
                t.state = TaskState::Exited("error");
                w.changed = true;
                continue;
            }
            if let TaskState::Saving { until, remaining_s } = t.state
                && until <= now
            {
                t.state = TaskState::Exited("saved");
                w.changed = true;
                self.checkpoints.insert(task.clone(), remaining_s);
                left.push((task.clone(), t.attempt));
            } else if matches!(t.state, TaskState::Waiting { until } if until <= now) {
                left.push((task.clone(), t.attempt));
                t.state = TaskState::Exited("alone");
                w.changed = true;
            } else if t.peer_loss_noticed_at.is_some_and(|at| at <= now)
                && !matches!(t.state, TaskState::Exited(_))
            {
                left.extend(t.state.occupies_worker().then(|| (task.clone(), t.attempt)));
                t.state = TaskState::Exited("mates_gone");
                w.changed = true;
            } else if let TaskState::Running { remaining_s } = &mut t.state
                // A gang that has lost a task makes no progress, even before it notices the loss.
                && t.peer_loss_noticed_at.is_none()
            {
                *remaining_s -= elapsed_s;
                if *remaining_s <= 0.0 {
                    t.state = TaskState::Exited("done");
                    w.changed = true;
                    completed.push((task.clone(), t.attempt));
                }
            }
        }
        for (task, attempt) in left {
            self.record_left(name, &task, attempt);
        }
        for (task, attempt) in completed {
            self.history
                .record(now, &task, attempt, name, EventKind::Completed);
            let (job, number) = task.split_once('/').expect("a task");
            let job = self.jobs.get_mut(job).expect("known");
            let was_done = job.done.iter().all(|d| *d);
            if job.body["shape"] == "group" {
                // The tasks of a gang complete together: when one is done, all are.
                job.done.fill(true);
            }
            job.done[number.parse::<usize>().expect("a number")] = true;
            if !was_done && job.done.iter().all(|d| *d) {
                self.newly_completed.push(Self::job_of(&task).to_string());
            }
        }
    }

    /// Starts the tasks of gangs that are ready, and schedules when the tasks of a running gang
    /// notice the loss of a member.
    pub fn advance_gangs(&mut self) {
        let now = self.now;
        let mut attempts: BTreeMap<(String, u64), Vec<(String, String)>> = BTreeMap::new();
        for w in self.workers.values().filter(|w| !w.dead) {
            for (task, t) in &w.tasks {
                let job = Self::job_of(task);
                if self.jobs[job].body["shape"] == "group"
                    && !matches!(t.state, TaskState::Exited(_))
                {
                    let key = (job.to_string(), t.attempt);
                    attempts
                        .entry(key)
                        .or_default()
                        .push((w.name.clone(), task.clone()));
                }
            }
        }
        for ((job, _), members) in attempts {
            let job = &self.jobs[&job];
            let task_count = job.body["shards"].as_u64().unwrap_or(1) as usize;
            let runtime_s = job.runtime_s;
            let hung = members.iter().any(|(w, _)| self.workers[w].hung);
            let done = job.done.iter().any(|d| *d);
            let ready = members.len() == task_count
                && members.iter().all(|(w, t)| {
                    let state = &self.workers[w].tasks[t].state;
                    matches!(state, TaskState::Waiting { .. })
                });
            for (w, t) in &members {
                let task = self
                    .workers
                    .get_mut(w)
                    .expect("exists")
                    .tasks
                    .get_mut(t)
                    .expect("exists");
                let running = matches!(task.state, TaskState::Running { .. });
                if ready {
                    task.state = TaskState::Running {
                        remaining_s: runtime_s,
                    };
                } else if running && !done && (members.len() < task_count || hung) {
                    task.peer_loss_noticed_at.get_or_insert(now + GANG_PEER_S);
                }
            }
        }
    }

    /// Restarts the machine of a worker: its tasks are gone, and it begins anew with incarnation 1 and
    /// without a fencing token.
    pub fn restart_worker(&mut self, name: &str) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        let tasks = std::mem::take(&mut w.tasks);
        w.incarnation = 1;
        w.counter = 0;
        w.token = 0;
        w.lease_started_at = now;
        w.changed = true;
        for (task, t) in tasks.iter().filter(|(_, t)| t.state.occupies_worker()) {
            self.record_left(name, task, t.attempt);
        }
    }

    /// Crashes a worker: it does nothing any more.
    pub fn crash_worker(&mut self, name: &str) {
        if let Some(w) = self.workers.get_mut(name) {
            w.dead = true;
            w.died_at = self.now;
        }
    }

    /// Removes a worker that was taken back by the cloud or returned to it.
    pub fn remove_worker(&mut self, name: &str) {
        let Some(w) = self.workers.remove(name) else {
            return;
        };
        for (task, t) in w.tasks.iter().filter(|(_, t)| t.state.occupies_worker()) {
            self.record_left(name, task, t.attempt);
        }
        self.gone_workers.push((self.now, w));
    }

    /// The cloud's list of the workers after `since`, which describes the time
    /// [`Self::list_lag_s`] ago.
    fn list_workers(&self, since: &str) -> Vec<Value> {
        let at = self.now - self.list_lag_s;
        let gone = self.gone_workers.iter();
        let not_yet_gone = gone.filter(|(gone_at, _)| *gone_at > at).map(|(_, w)| w);
        let mut listed: Vec<&Worker> = self.workers.values().chain(not_yet_gone).collect();
        listed.retain(|w| w.provisioned_at <= at && w.name.as_str() > since);
        listed.sort_by(|a, b| a.name.cmp(&b.name));
        listed.into_iter().map(|w| w.listing(at)).collect()
    }

    /// Answers a request to the cloud with a status and a body.
    pub fn handle_cloud_request(&mut self, method: &str, path: &str, body: &[u8]) -> (u16, Value) {
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        match (method, path.split('?').next().unwrap_or("")) {
            ("GET", "/machine_types") => (200, self.machine_types.clone()),
            ("GET", "/rentals") => {
                let since = path
                    .split_once("since=")
                    .map_or("", |(_, s)| s.split('&').next().unwrap_or(""));
                let hosts = self.list_workers(since);
                (200, json!({"hosts": hosts, "more": false}))
            }
            ("POST", "/rentals") => {
                let request = body["rental"].as_str().unwrap_or("").to_string();
                if let Some(hosts) = self.provisioned.get(&request) {
                    return (200, json!({"hosts": hosts}));
                }
                let requested = body["number"].as_u64().unwrap_or(0) as usize;
                let free = self.capacity.saturating_sub(self.workers.len());
                if free == 0 {
                    return (503, json!({"error": "no capacity"}));
                }
                let machine_type = body["flavor"].as_str().unwrap_or("small").to_string();
                let zone = if body["region"] == "b" { "b" } else { "a" };
                let up_at = self.now + self.boot_s;
                let spot = body["preemptibles"] == true;
                let hosts: Vec<String> = (0..requested.min(free))
                    .map(|_| self.add_worker(&machine_type, zone, spot, up_at))
                    .collect();
                self.provisioned.insert(request, hosts.clone());
                (200, json!({"hosts": hosts}))
            }
            ("POST", "/rentals/return") => {
                for host in body["hosts"].as_array().into_iter().flatten() {
                    self.remove_worker(host.as_str().unwrap_or(""));
                }
                (200, json!({}))
            }
            _ => (404, json!({})),
        }
    }

    /// Checks an answer to a user against the earlier answers about the job. `asked_at` is when the
    /// request was sent.
    pub fn check_user_answer(&mut self, id: &str, asked_at: f64, status: u16, phase: Option<&str>) {
        let Some(job) = self.jobs.get_mut(id) else {
            if status == 200 {
                self.record_violation("invented", id);
            }
            return;
        };
        if matches!(status, 200 | 201) {
            job.last_answer_at = self.now;
        }
        let reported_before = job.reported_phase;
        let accepted = job.accepted_at;
        let all_done = job.done.iter().all(|d| *d);
        let mut violated = Vec::new();
        match (status, phase) {
            (200, Some("done")) => {
                if !all_done {
                    violated.push("not_done");
                }
                if reported_before == Some("withdrawn") {
                    violated.push("went_back");
                }
                job.reported_phase = Some("done");
            }
            (200, Some("withdrawn")) => {
                if reported_before == Some("done")
                    || job.cancelled_at.is_none()
                        && reported_before.is_none()
                        && accepted.is_some()
                        && !job.body["asked"].as_bool().unwrap_or(false)
                {
                    violated.push("went_back");
                }
                job.reported_phase = Some("withdrawn");
                job.cancelled_at.get_or_insert(self.now);
            }
            // The phase has regressed only if the request was sent after the terminal phase had
            // arrived. A controller cannot know of an answer that is in transit, and cannot recall
            // its own, so overtaken answers are only counted.
            (200 | 201, _) if reported_before.is_some() && asked_at >= job.reported_at => {
                violated.push("went_back");
            }
            (200 | 201, _) if reported_before.is_some() => self.overtaken_answers += 1,
            (404, _) if accepted.is_some_and(|at| asked_at >= at) => violated.push("forgotten"),
            (400 | 422, _) if accepted.is_some() => violated.push("forgotten"),
            _ => {}
        }
        if reported_before.is_none() && job.reported_phase.is_some() {
            job.reported_at = self.now;
        }
        for rule in violated {
            self.record_violation(rule, id);
        }
    }

    /// Accepted jobs that run and whose users have received no terminal phase, each with a worker
    /// that it runs on.
    pub fn running_jobs(&self) -> Vec<(String, String)> {
        let mut running = BTreeMap::new();
        for w in self.workers.values().filter(|w| !w.dead) {
            for task in w.tasks.keys().filter(|t| w.runs(t)) {
                let job = Self::job_of(task);
                if self.jobs[job].reported_phase.is_none() && self.jobs[job].accepted_at.is_some() {
                    running.insert(job.to_string(), w.name.clone());
                }
            }
        }
        running.into_iter().collect()
    }

    /// Checks that a request about every accepted job was answered within this time. Valid only
    /// without faults and while users poll their jobs.
    pub fn check_jobs_answered(&mut self, within_s: f64) {
        let now = self.now;
        let unanswered = |j: &Job| {
            let since = j.accepted_at.map(|at| j.last_answer_at.max(at));
            since.is_some_and(|at| now - at > within_s)
        };
        let unanswered = self.jobs.iter().filter(|(_, j)| unanswered(j));
        for id in unanswered.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.record_violation("forgotten", &format!("{id}, unanswered for {within_s} s"));
        }
    }

    /// Checks a worker whose lease has just been renewed, after the commands of the same answer
    /// have been executed. No task may be left whose job was cancelled so long ago that the renewed
    /// lease outlasts the deadline of the cancellation.
    pub fn check_lease_renewal(&mut self, worker: &str) {
        let latest = self.now - (self.cancel_s - self.lease_s * CLOCK_DRIFT);
        let long_cancelled = |t: &&String| {
            let cancelled_at = self.jobs[Self::job_of(t)].cancelled_at;
            cancelled_at.is_some_and(|at| at < latest)
        };
        let w = &self.workers[worker];
        let running = w.tasks.keys().filter(|t| w.runs(t));
        let kept: Vec<String> = running.filter(long_cancelled).cloned().collect();
        for task in kept {
            self.record_violation("renewed_cancelled", &format!("{task} on {worker}"));
        }
    }

    /// Checks that no task occupies a worker longer than `cancel_s` after its job's cancellation.
    pub fn check_cancelled(&mut self) {
        let late: Vec<String> = self
            .workers
            .values()
            .filter(|w| !w.dead)
            .flat_map(|w| w.tasks.keys().filter(|t| w.runs(t)))
            .filter(|t| {
                self.jobs[Self::job_of(t)]
                    .cancelled_at
                    .is_some_and(|at| self.now > at + self.cancel_s)
            })
            .cloned()
            .collect();
        for task in late {
            self.record_violation("ran_cancelled", &task);
        }
    }
}
