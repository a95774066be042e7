//! A fake cloud and fake workers, and the invariants that controllers must keep, checked on each
//! event.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::history::{EventKind, History};

/// The machine types of the fake cloud.
pub const MACHINE_TYPES: &str = r#"{"flavors":[
 {"name":"small","cpus":4,"gpus":0,"memory_gb":16,"local_gb":50,"pull_gb_per_s":0.5,"price":0.2,"market_price":0.07,"ready_s":5,"regions":["a","b"]},
 {"name":"big","cpus":12,"gpus":2,"memory_gb":48,"local_gb":100,"pull_gb_per_s":0.5,"price":5.0,"market_price":1.8,"ready_s":8,"regions":["a","b"]}]}"#;
/// Interval of heartbeats.
pub const HEARTBEAT_INTERVAL_S: f64 = 1.0;
/// Length of a worker's lease, unless a test sets another.
pub const LEASE_S: f64 = 6.0;
/// Clock drift: workers keep their leases for longer than controllers assume, by this factor.
const DRIFT: f64 = 1.001;
/// Every task of a job must have ended this long after its cancellation was answered, unless a test
/// sets another time.
pub const CANCEL_S: f64 = 16.0;
/// How soon a task notices that a member of its gang is gone.
const GANG_PEER_S: f64 = 2.0;
/// How long a task waits for the rest of its gang.
pub const GANG_WAIT_S: f64 = 20.0;

/// A job, as its user knows it.
#[derive(Clone, Debug)]
pub struct Job {
    /// The submitted body.
    pub body: Value,
    /// How long each task runs.
    pub runtime_s: f64,
    /// When its user received the answer that it is accepted.
    pub accepted_at: Option<f64>,
    /// When its user received the answer that it is cancelled.
    pub cancelled_at: Option<f64>,
    /// Which of its tasks have completed.
    pub done: Vec<bool>,
    /// The terminal phase that its user received, if one.
    pub reported_phase: Option<&'static str>,
    /// When its user received the terminal phase.
    pub reported_at: f64,
    /// When a poll of it was last answered.
    pub last_answer_at: f64,
}

impl Job {
    /// A job that is not accepted yet.
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
enum State {
    Fetching {
        until: f64,
    },
    /// Of a gang, until then; it exits if that is not complete by then.
    Gathering {
        until: f64,
    },
    Running {
        left: f64,
    },
    /// Received a stop command and saves a checkpoint.
    Saving {
        until: f64,
        left: f64,
    },
    Ended(&'static str),
}

impl State {
    /// From when it has its image until it has ended.
    fn on_worker(&self) -> bool {
        matches!(
            self,
            Self::Gathering { .. } | Self::Running { .. } | Self::Saving { .. }
        )
    }
}

#[derive(Clone, Debug)]
struct Task {
    attempt: u64,
    state: State,
    /// Of a gang that lost a task: when it notices.
    broken_at: Option<f64>,
}

pub struct Worker {
    pub name: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub up_at: f64,
    pub hung: bool,
    pub dead: bool,
    pub incarnation: u64,
    pub counter: u64,
    pub token: u64,
    lease_started_at: f64,
    tasks: BTreeMap<String, Task>,
    images: Vec<String>,
    pub changed: bool,
}

pub struct Site {
    pub now: f64,
    pub workers: BTreeMap<String, Worker>,
    pub jobs: BTreeMap<String, Job>,
    pub violations: Vec<String>,
    provisioned: BTreeMap<String, Vec<String>>,
    pub capacity: usize,
    /// Length of a worker's lease.
    pub lease_s: f64,
    /// Every task of a job must have ended this long after its cancellation was answered.
    pub cancel_s: f64,
    /// From a rental until the worker is up, in seconds.
    pub boot_s: f64,
    /// CPUs that a team may use at once, where that is limited.
    pub cpu_limits: BTreeMap<String, f64>,
    /// Jobs whose last task has just completed, for whoever asks.
    pub newly_completed: Vec<String>,
    /// Answers older than one that was there before they were: their questions had been sent
    /// before that, so they are no broken rule.
    pub overtaken_answers: usize,
    pub start_count: usize,
    pub history: History,
    /// What `GET /machine_types` answers.
    pub machine_types: Value,
    /// Progress that was saved, as seconds that are left, by task.
    saved: BTreeMap<String, f64>,
    next: u64,
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
            cpu_limits: BTreeMap::new(),
            newly_completed: Vec::new(),
            overtaken_answers: 0,
            start_count: 0,
            history: History::default(),
            machine_types: serde_json::from_str(MACHINE_TYPES).expect("our own"),
            saved: BTreeMap::new(),
            next: 0,
        }
    }
}

impl Worker {
    fn on(&self, task: &str) -> bool {
        self.tasks.get(task).is_some_and(|t| t.state.on_worker())
    }

    pub fn heartbeat(&mut self) -> Value {
        self.counter += 1;
        self.changed = false;
        let shards: Vec<Value> = self
            .tasks
            .iter()
            .map(|(name, t)| match t.state {
                State::Fetching { .. } => {
                    json!({"shard": name, "try": t.attempt, "phase": "fetching"})
                }
                State::Gathering { .. } => {
                    json!({"shard": name, "try": t.attempt, "phase": "gathering"})
                }
                State::Running { .. } => {
                    json!({"shard": name, "try": t.attempt, "phase": "running"})
                }
                State::Saving { .. } => {
                    json!({"shard": name, "try": t.attempt, "phase": "saving"})
                }
                State::Ended("saved") => {
                    json!({"shard": name, "try": t.attempt, "phase": "ended", "exit_reason": "stopped", "kept": true})
                }
                State::Ended(why) => {
                    json!({"shard": name, "try": t.attempt, "phase": "ended", "exit_reason": why})
                }
            })
            .collect();
        let number: u64 = self.name[3..].parse().expect("our own names");
        json!({"host": self.name, "address": format!("10.1.0.{number}:9000"), "flavor": self.machine_type,
            "region": self.zone, "preemptibles": self.spot, "tenure": self.incarnation, "counter": self.counter,
            "fence": self.token, "reclaim_s": null, "shards": shards})
    }
}

impl Site {
    pub fn add_worker(&mut self, machine_type: &str, zone: &str, spot: bool, up_at: f64) -> String {
        self.next += 1;
        let name = format!("vm-{:06}", self.next);
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
                incarnation: 1,
                counter: 0,
                token: 0,
                lease_started_at: up_at,
                tasks: BTreeMap::new(),
                images: Vec::new(),
                changed: true,
            },
        );
        name
    }

    pub fn record_violation(&mut self, rule: &str, what: &str) {
        self.violations
            .push(format!("{:.1} {rule}: {what}", self.now));
    }

    fn job_of(task: &str) -> &str {
        task.split_once('/').map_or(task, |(j, _)| j)
    }

    /// A task starts on a worker: checks every invariant that a start can violate.
    pub fn check_start(&mut self, worker: &str, task: &str) {
        self.start_count += 1;
        let job_name = Self::job_of(task).to_string();
        let others: Vec<&Worker> = self
            .workers
            .values()
            .filter(|m| m.name != worker && !m.dead)
            .collect();
        let mut broken = Vec::new();
        if let Some(m) = others.iter().find(|m| m.on(task)) {
            broken.push(("ran_twice", format!("{task} on {worker} and {}", m.name)));
        }
        let attempt = self.workers[worker]
            .tasks
            .get(task)
            .map_or(0, |t| t.attempt);
        self.history
            .record(self.now, task, attempt, worker, EventKind::Started);
        let job = &self.jobs[&job_name];
        let me = &self.workers[worker];
        let b = &job.body;
        if me.spot && b["preemptibles"] != true {
            broken.push(("wrong_place", format!("{task} on a spot machine")));
        }
        if b["region"].as_str().is_some_and(|z| z != me.zone) {
            broken.push(("wrong_place", format!("{task} in {}", me.zone)));
        }
        let prefix = format!("{job_name}/");
        let in_zone = |zone: &str| {
            others
                .iter()
                .filter(|m| m.zone == *zone)
                .flat_map(|m| m.tasks.keys().filter(|t| t.starts_with(&prefix) && m.on(t)))
                .count()
                + me.tasks
                    .keys()
                    .filter(|t| me.zone == zone && t.starts_with(&prefix) && me.on(t) && *t != task)
                    .count()
        };
        let tasks = b["shards"].as_u64().unwrap_or(1) as usize;
        if b["spread"] == true && in_zone(&me.zone) + 1 > tasks.div_ceil(2) {
            broken.push(("wrong_place", format!("{task} is not spread")));
        }
        if b["one_zone"] == true && ["a", "b"].iter().any(|z| *z != me.zone && in_zone(z) > 0) {
            broken.push(("wrong_place", format!("{task} in a second zone")));
        }
        if job
            .cancelled_at
            .is_some_and(|t| self.now > t + self.cancel_s)
        {
            broken.push(("ran_cancelled", task.to_string()));
        }
        let team = b["owner"].as_str().unwrap_or("");
        if let Some(&limit) = self.cpu_limits.get(team) {
            let used = self.used_by(team);
            if used > limit + 1e-9 {
                broken.push(("cpu_limit", format!("{task}: {used} of {limit} CPUs")));
            }
        }
        for (rule, what) in broken {
            self.record_violation(rule, &what);
        }
    }

    /// CPUs of all tasks of a team that are on a worker, and of those that get on one now: those
    /// of cancelled jobs too.
    fn used_by(&self, team: &str) -> f64 {
        let now = self.now;
        let on = |t: &Task| {
            t.state.on_worker() || matches!(t.state, State::Fetching { until } if until <= now)
        };
        let tasks = self.workers.values().filter(|m| !m.dead);
        let tasks = tasks.flat_map(|m| m.tasks.iter().filter(|(_, t)| on(t)));
        let bodies = tasks.map(|(task, _)| &self.jobs[Self::job_of(task)].body);
        bodies
            .filter(|b| b["owner"] == team)
            .filter_map(|b| b["cpus"].as_f64())
            .sum()
    }

    /// Checks commands of an answer that is at most `answer_s` old: none starts a task of a job whose
    /// user had received the cancellation by then. A start followed at once by its stop is allowed:
    /// it cancels a start that may still arrive.
    pub fn check_commands(&mut self, orders: &Value, answer_s: f64) {
        let orders = orders.as_array().map_or(&[][..], Vec::as_slice);
        let is = |o: &Value, verb: &str| o["verb"] == verb;
        let same = |a: &Value, b: &Value| a["shard"] == b["shard"] && a["try"] == b["try"];
        for (at, start) in orders.iter().enumerate().filter(|(_, o)| is(o, "start")) {
            let next = orders.get(at + 1);
            if next.is_some_and(|n| is(n, "halt") && n["drain_s"] == 0.0 && same(n, start)) {
                continue;
            }
            let task = start["shard"].as_str().unwrap_or("").to_string();
            let job = self.jobs.get(Self::job_of(&task));
            let told = job.and_then(|j| j.cancelled_at);
            if told.is_some_and(|at| self.now > at + answer_s) {
                self.record_violation("started_cancelled", &task);
            }
        }
    }

    /// Without faults, checks that no accepted job has waited this long with an unplaced task while a
    /// worker that fits has room and its team is under its limit.
    pub fn check_waiting_jobs(&mut self, within_s: f64) {
        let mut waits = Vec::new();
        for (id, job) in &self.jobs {
            let accepted = job.accepted_at.filter(|at| self.now > at + within_s);
            let b = &job.body;
            if accepted.is_none() || job.reported_phase.is_some() || b["asked"] == true {
                continue;
            }
            let of_job = format!("{id}/");
            let events = self.history.events().iter();
            let last = events.filter(|e| e.task.starts_with(&of_job)).map(|e| e.at);
            if last.fold(0.0, f64::max) > self.now - within_s {
                continue;
            }
            let nowhere = (0..job.done.len()).filter(|&n| {
                let task = format!("{of_job}{n}");
                let held = |m: &Worker| {
                    m.tasks
                        .get(&task)
                        .is_some_and(|t| !matches!(t.state, State::Ended(_)))
                };
                !job.done[n] && !self.workers.values().any(held)
            });
            let cpus = b["cpus"].as_f64().unwrap_or(0.0);
            let team = b["owner"].as_str().unwrap_or("");
            let limit = self.cpu_limits.get(team);
            let allowed = limit.is_none_or(|limit| self.used_by(team) + cpus <= *limit);
            // How many tasks fit, by zone.
            let mut places: BTreeMap<&str, usize> = BTreeMap::new();
            for m in self.workers.values().filter(|m| !m.spot) {
                let up = !m.dead && !m.hung && m.up_at <= self.now;
                let fits = (self.free(&m.name, "cpus") / cpus) as usize;
                *places.entry(&m.zone).or_default() += if up { fits } else { 0 };
            }
            let wanted = if b["shape"] == "group" {
                job.done.len()
            } else {
                1
            };
            let mut zones = places.values().map(|places| *places >= wanted);
            // The rest of a job that is spread may have to be in one zone or in the other.
            let room = if b["spread"] == true {
                zones.all(|z| z)
            } else {
                zones.any(|z| z)
            };
            if nowhere.count() > 0 && allowed && room {
                waits.push(format!("{id}, for {within_s} s despite free capacity"));
            }
        }
        for what in waits {
            self.record_violation("unplaced", &what);
        }
    }

    /// What is free of a worker, of "cpus" or of "gpus".
    fn free(&self, worker: &str, what: &str) -> f64 {
        let m = &self.workers[worker];
        let types = self.machine_types["flavors"]
            .as_array()
            .into_iter()
            .flatten();
        let own = types
            .into_iter()
            .find(|t| t["name"] == m.machine_type.as_str());
        let whole = own.and_then(|t| t[what].as_f64()).unwrap_or(0.0);
        let held = m
            .tasks
            .iter()
            .filter(|(_, t)| !matches!(t.state, State::Ended(_)));
        let needs = |task: &str| self.jobs[Self::job_of(task)].body[what].as_f64();
        whole - held.filter_map(|(name, _)| needs(name)).sum::<f64>()
    }

    fn record_left(&mut self, worker: &str, task: &str, attempt: u64) {
        self.history
            .record(self.now, task, attempt, worker, EventKind::Left);
    }

    pub fn execute_commands(&mut self, worker: &str, orders: &Value) {
        for order in orders.as_array().into_iter().flatten() {
            let task = order["shard"].as_str().unwrap_or("").to_string();
            let attempt = order["try"].as_u64().unwrap_or(0);
            match order["verb"].as_str() {
                Some("start") => self.start(worker, &task, attempt),
                Some("halt") => {
                    let drain_s = order["drain_s"].as_f64().unwrap_or(0.0);
                    self.stop(worker, &task, attempt, drain_s);
                }
                Some("clear") => {
                    let m = self.workers.get_mut(worker).expect("exists");
                    if m.tasks
                        .get(&task)
                        .is_some_and(|t| t.attempt == attempt && matches!(t.state, State::Ended(_)))
                    {
                        m.tasks.remove(&task);
                        m.changed = true;
                    }
                }
                _ => self.record_violation("protocol", "an order without a verb"),
            }
        }
    }

    fn stop(&mut self, worker: &str, task: &str, attempt: u64, drain_s: f64) {
        let now = self.now;
        let Some(job) = self.jobs.get(Self::job_of(task)) else {
            return;
        };
        let number = |field: &str| job.body[field].as_f64().unwrap_or(0.0);
        let save_s = number("snapshot_s");
        let saves = number("snapshot_every_s") > 0.0 && drain_s >= save_s;
        let m = self.workers.get_mut(worker).expect("exists");
        let Some(t) = m.tasks.get_mut(task).filter(|t| t.attempt == attempt) else {
            return;
        };
        let was_on = t.state.on_worker();
        t.state = match t.state {
            State::Ended(_) => return,
            State::Saving { .. } if drain_s > 0.0 => return,
            State::Running { left } if saves => State::Saving {
                until: now + save_s,
                left,
            },
            _ => State::Ended("stopped"),
        };
        m.changed = true;
        let ended = matches!(t.state, State::Ended(_));
        if was_on && ended {
            self.record_left(worker, task, attempt);
        }
    }

    fn start(&mut self, worker: &str, task: &str, attempt: u64) {
        let Some(job) = self.jobs.get(Self::job_of(task)) else {
            self.record_violation("protocol", "a start of a job that nobody submitted");
            return;
        };
        let needs = |what: &str| job.body[what].as_f64().unwrap_or(0.0);
        let image = job.body["bundle"].as_str().unwrap_or("").to_string();
        let gb = job.body["pull_gb"].as_f64().unwrap_or(0.0);
        let fits = |what: &str| self.free(worker, what) >= needs(what);
        let room = fits("cpus") && fits("gpus");
        let now = self.now;
        let m = self.workers.get_mut(worker).expect("exists");
        m.changed = true;
        match m.tasks.get(task) {
            Some(t) if t.attempt == attempt => return,
            // The protocol names one entry a task; a second attempt is refused as busy.
            Some(t) if !matches!(t.state, State::Ended(_)) => return,
            _ => {}
        }
        let state = if !room {
            State::Ended("no_room")
        } else if m.images.contains(&image) {
            State::Fetching { until: now }
        } else {
            State::Fetching {
                until: now + gb / 0.5,
            }
        };
        m.tasks.insert(
            task.into(),
            Task {
                attempt,
                state,
                broken_at: None,
            },
        );
    }

    /// Whether a worker accepts commands under this fencing token; it stores a newer one.
    pub fn accept_fencing_token(&mut self, worker: &str, fence: Option<u64>) -> bool {
        let m = self.workers.get_mut(worker).expect("exists");
        match fence {
            Some(f) if f >= m.token => {
                m.changed |= f > m.token;
                m.token = f;
                true
            }
            _ => false,
        }
    }

    pub fn renew_lease(&mut self, worker: &str, sent: f64) {
        let m = self.workers.get_mut(worker).expect("exists");
        m.lease_started_at = m.lease_started_at.max(sent);
    }

    /// Ends the incarnation of a worker whose lease has expired, also while the worker hangs: it may
    /// run its tasks only within its lease.
    pub fn expire_lease(&mut self, name: &str) {
        let (now, lease_s) = (self.now, self.lease_s * DRIFT);
        let m = self.workers.get_mut(name).expect("exists");
        if now - m.lease_started_at > lease_s {
            let tasks = std::mem::take(&mut m.tasks);
            m.incarnation += 1;
            m.lease_started_at = now;
            m.changed = true;
            for (task, t) in tasks.iter().filter(|(_, t)| t.state.on_worker()) {
                self.record_left(name, task, t.attempt);
            }
        }
    }

    /// Advances a worker by one step: images arrive, tasks run and end.
    pub fn advance_worker(&mut self, name: &str, passed: f64) {
        let now = self.now;
        self.expire_lease(name);
        let m = self.workers.get_mut(name).expect("exists");
        let ready: Vec<String> = m
            .tasks
            .iter()
            .filter(|(_, t)| matches!(t.state, State::Fetching { until } if until <= now))
            .map(|(n, _)| n.clone())
            .collect();
        for task in ready {
            let (job, number) = task.split_once('/').expect("a task");
            let number: usize = number.parse().expect("a number");
            if self.jobs[job].done.get(number) == Some(&true) {
                // The result is kept: it ends as soon as it has its image.
                let m = self.workers.get_mut(name).expect("exists");
                m.changed = true;
                m.tasks.get_mut(&task).expect("listed").state = State::Ended("done");
                continue;
            }
            self.check_start(name, &task);
            let job = &self.jobs[job];
            let gang = job.body["shape"] == "group";
            let left = if job.body["shape"] == "service" {
                f64::INFINITY
            } else {
                self.saved.get(&task).copied().unwrap_or(job.runtime_s)
            };
            let image = job.body["bundle"].as_str().unwrap_or("").to_string();
            let m = self.workers.get_mut(name).expect("exists");
            if !m.images.contains(&image) {
                m.images.push(image);
            }
            m.changed = true;
            m.tasks.get_mut(&task).expect("listed").state = if gang {
                State::Gathering {
                    until: now + GANG_WAIT_S,
                }
            } else {
                State::Running { left }
            };
        }
        let m = self.workers.get_mut(name).expect("exists");
        let mut ended = Vec::new();
        let mut left_early = Vec::new();
        for (task, t) in &mut m.tasks {
            if let State::Saving { until, left } = t.state
                && until <= now
            {
                t.state = State::Ended("saved");
                m.changed = true;
                self.saved.insert(task.clone(), left);
                left_early.push((task.clone(), t.attempt));
            } else if matches!(t.state, State::Gathering { until } if until <= now) {
                left_early.push((task.clone(), t.attempt));
                t.state = State::Ended("alone");
                m.changed = true;
            } else if t.broken_at.is_some_and(|at| at <= now) && !matches!(t.state, State::Ended(_))
            {
                left_early.extend(t.state.on_worker().then(|| (task.clone(), t.attempt)));
                t.state = State::Ended("mates_gone");
                m.changed = true;
            } else if let State::Running { left } = &mut t.state
                // A gang that has lost a task gets no further, though it has not noticed yet.
                && t.broken_at.is_none()
            {
                *left -= passed;
                if *left <= 0.0 {
                    t.state = State::Ended("done");
                    m.changed = true;
                    ended.push((task.clone(), t.attempt));
                }
            }
        }
        for (task, attempt) in left_early {
            self.record_left(name, &task, attempt);
        }
        for (task, attempt) in ended {
            self.history
                .record(now, &task, attempt, name, EventKind::Completed);
            let (job, number) = task.split_once('/').expect("a task");
            let job = self.jobs.get_mut(job).expect("known");
            let before = job.done.iter().all(|d| *d);
            if job.body["shape"] == "group" {
                // They complete together: when one is done, all of them are.
                job.done.fill(true);
            }
            job.done[number.parse::<usize>().expect("a number")] = true;
            if !before && job.done.iter().all(|d| *d) {
                self.newly_completed.push(Self::job_of(&task).to_string());
            }
        }
    }

    /// Starts complete gangs, and lets gangs notice the loss of a member.
    pub fn advance_gangs(&mut self) {
        let now = self.now;
        let mut attempts: BTreeMap<(String, u64), Vec<(String, String)>> = BTreeMap::new();
        for m in self.workers.values().filter(|m| !m.dead) {
            for (task, t) in &m.tasks {
                let job = Self::job_of(task);
                if self.jobs[job].body["shape"] == "group" && !matches!(t.state, State::Ended(_)) {
                    let at = (job.to_string(), t.attempt);
                    attempts
                        .entry(at)
                        .or_default()
                        .push((m.name.clone(), task.clone()));
                }
            }
        }
        for ((job, _), members) in attempts {
            let job = &self.jobs[&job];
            let all = job.body["shards"].as_u64().unwrap_or(1) as usize;
            let runtime = job.runtime_s;
            let hung = members.iter().any(|(m, _)| self.workers[m].hung);
            let done = job.done.iter().any(|d| *d);
            let gathered = members.len() == all
                && members.iter().all(|(m, t)| {
                    let state = &self.workers[m].tasks[t].state;
                    matches!(state, State::Gathering { .. })
                });
            for (m, t) in &members {
                let task = self
                    .workers
                    .get_mut(m)
                    .expect("exists")
                    .tasks
                    .get_mut(t)
                    .expect("exists");
                let running = matches!(task.state, State::Running { .. });
                if gathered {
                    task.state = State::Running { left: runtime };
                } else if running && !done && (members.len() < all || hung) {
                    task.broken_at.get_or_insert(now + GANG_PEER_S);
                }
            }
        }
    }

    /// Removes a worker: it is lost or scaled in.
    pub fn remove_worker(&mut self, name: &str) {
        let Some(m) = self.workers.remove(name) else {
            return;
        };
        for (task, t) in m.tasks.iter().filter(|(_, t)| t.state.on_worker()) {
            self.record_left(name, task, t.attempt);
        }
    }

    pub fn handle_cloud_request(&mut self, method: &str, path: &str, body: &[u8]) -> (u16, Value) {
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        match (method, path.split('?').next().unwrap_or("")) {
            ("GET", "/machine_types") => (200, self.machine_types.clone()),
            ("GET", "/rentals") => {
                let since = path
                    .split_once("since=")
                    .map_or("", |(_, s)| s.split('&').next().unwrap_or(""));
                let hosts: Vec<Value> = self
                    .workers
                    .values()
                    .filter(|m| m.name.as_str() > since)
                    .map(|m| {
                        let phase = if m.up_at <= self.now {
                            "running"
                        } else {
                            "starting"
                        };
                        json!({"uid": m.name, "address": "", "flavor": m.machine_type, "region": m.zone,
                            "preemptibles": m.spot, "phase": phase, "held_s": 1.0})
                    })
                    .collect();
                (200, json!({"hosts": hosts, "more": false}))
            }
            ("POST", "/rentals") => {
                let request = body["rental"].as_str().unwrap_or("").to_string();
                if let Some(hosts) = self.provisioned.get(&request) {
                    return (200, json!({"hosts": hosts}));
                }
                let wanted = body["number"].as_u64().unwrap_or(0) as usize;
                let free = self.capacity.saturating_sub(self.workers.len());
                if free == 0 {
                    return (503, json!({"error": "no capacity"}));
                }
                let flavor = body["flavor"].as_str().unwrap_or("small").to_string();
                let zone = if body["region"] == "b" { "b" } else { "a" };
                let up = self.now + self.boot_s;
                let spot = body["preemptibles"] == true;
                let hosts: Vec<String> = (0..wanted.min(free))
                    .map(|_| self.add_worker(&flavor, zone, spot, up))
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

    /// Checks an answer to a user against all earlier answers about the job.
    pub fn check_user_answer(&mut self, id: &str, asked_at: f64, status: u16, phase: Option<&str>) {
        let Some(job) = self.jobs.get_mut(id) else {
            if status == 200 {
                self.record_violation("unknown_job", id);
            }
            return;
        };
        if matches!(status, 200 | 201) {
            job.last_answer_at = self.now;
        }
        let before = job.reported_phase;
        let accepted = job.accepted_at;
        let all_done = job.done.iter().all(|d| *d);
        let mut broken = Vec::new();
        match (status, phase) {
            (200, Some("done")) => {
                if !all_done {
                    broken.push("not_done");
                }
                if before == Some("withdrawn") {
                    broken.push("phase_regressed");
                }
                job.reported_phase = Some("done");
            }
            (200, Some("withdrawn")) => {
                if before == Some("done")
                    || job.cancelled_at.is_none()
                        && before.is_none()
                        && accepted.is_some()
                        && !job.body["asked"].as_bool().unwrap_or(false)
                {
                    broken.push("phase_regressed");
                }
                job.reported_phase = Some("withdrawn");
                job.cancelled_at.get_or_insert(self.now);
            }
            // What counts is whether the question was sent after the newer answer had arrived: a
            // node cannot know of an answer that is on its way, nor call its own back. An answer
            // that was under way itself is not older news, and only counted.
            (200 | 201, _) if before.is_some() && asked_at >= job.reported_at => {
                broken.push("phase_regressed");
            }
            (200 | 201, _) if before.is_some() => self.overtaken_answers += 1,
            (404, _) if accepted.is_some_and(|at| asked_at >= at) => broken.push("lost_job"),
            (400 | 422, _) if accepted.is_some() => broken.push("lost_job"),
            _ => {}
        }
        if before.is_none() && job.reported_phase.is_some() {
            job.reported_at = self.now;
        }
        for rule in broken {
            self.record_violation(rule, id);
        }
    }

    /// Jobs that run and have long to go, and a worker that each of them is on.
    pub fn running_jobs(&self) -> Vec<(String, String)> {
        let mut all = BTreeMap::new();
        for m in self.workers.values().filter(|m| !m.dead) {
            for task in m.tasks.keys().filter(|t| m.on(t)) {
                let job = Self::job_of(task);
                if self.jobs[job].reported_phase.is_none() && self.jobs[job].accepted_at.is_some() {
                    all.insert(job.to_string(), m.name.clone());
                }
            }
        }
        all.into_iter().collect()
    }

    /// Without faults and with users polling, checks that every accepted job was answered within this
    /// time.
    pub fn check_jobs_answered(&mut self, within_s: f64) {
        let now = self.now;
        let forgotten = |j: &Job| {
            let since = j.accepted_at.map(|at| j.last_answer_at.max(at));
            since.is_some_and(|at| now - at > within_s)
        };
        let all = self.jobs.iter().filter(|(_, j)| forgotten(j));
        for id in all.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.record_violation("lost_job", &format!("{id}, unanswered for {within_s} s"));
        }
    }

    /// A worker's lease was just renewed, and what came with that is carried out. Nothing may
    /// be on it by then whose job was told cancelled so long ago that the lease outlives the
    /// time a cancellation has.
    pub fn check_lease_renewal(&mut self, worker: &str) {
        let latest = self.now - (self.cancel_s - self.lease_s * DRIFT);
        let long_cancelled = |t: &&String| {
            let told = self.jobs[Self::job_of(t)].cancelled_at;
            told.is_some_and(|at| at < latest)
        };
        let m = &self.workers[worker];
        let on = m.tasks.keys().filter(|t| m.on(t));
        let kept: Vec<String> = on.filter(long_cancelled).cloned().collect();
        for task in kept {
            self.record_violation("renewed_cancelled", &format!("{task} on {worker}"));
        }
    }

    /// Checks that no task occupies a worker longer than `cancel_s` after its job's cancellation.
    pub fn check_cancelled(&mut self) {
        let late: Vec<String> = self
            .workers
            .values()
            .filter(|m| !m.dead)
            .flat_map(|m| m.tasks.keys().filter(|t| m.on(t)))
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
