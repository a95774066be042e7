//! The cloud and the workers of PROTOCOL-copperfield.md.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::http::{self, Answer, Handler, Request};
use crate::record::Record;

/// What the deploy file says of the workers.
#[derive(Clone, Copy)]
pub struct WorkerSettings {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Clone)]
pub struct Flavor {
    pub name: &'static str,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub price: f64,
    pub market_price: f64,
    pub ready_s: f64,
}

/// A job as its user uploaded it for the workers.
pub struct Job {
    pub body: Value,
    pub run_s: f64,
    /// From this task on, tasks run that many seconds.
    pub longer: Option<(u64, f64)>,
    pub cancelled_at: Option<f64>,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Phase {
    Fetching,
    Gathering,
    Running,
    Saving,
    Ended(&'static str),
}

struct Task {
    phase: Phase,
    kept: bool,
    /// When the current phase ends.
    until: f64,
}

pub struct Worker {
    pub flavor: Flavor,
    region: String,
    preemptibles: bool,
    address: SocketAddr,
    tenure: u64,
    counter: u64,
    fence: u64,
    /// When the last answered report was sent, or the session began.
    answered: f64,
    /// The cloud has it back: it executes and answers nothing, and is not listed.
    gone: bool,
    tasks: BTreeMap<(String, u64), Task>,
    images: HashSet<String>,
    changed: bool,
    told_fence_at: f64,
}

pub struct Inner {
    pub jobs: HashMap<String, Job>,
    pub workers: BTreeMap<String, Worker>,
    /// Tasks that are done.
    pub results: HashSet<String>,
    pub starts: HashMap<String, u32>,
    pub broken: Vec<String>,
}

pub struct Site {
    inner: Mutex<Inner>,
    pub settings: WorkerSettings,
    pub flavors: Vec<Flavor>,
    pub zones: Vec<&'static str>,
    pub controllers: Vec<SocketAddr>,
    pub record: Arc<Record>,
}

fn amount(body: &Value, field: &str) -> f64 {
    body[field].as_f64().unwrap_or(0.0)
}

impl Site {
    pub fn new(
        settings: WorkerSettings,
        flavors: Vec<Flavor>,
        zones: Vec<&'static str>,
        controllers: Vec<SocketAddr>,
        record: Arc<Record>,
    ) -> Arc<Self> {
        let inner = Inner {
            jobs: HashMap::new(),
            workers: BTreeMap::new(),
            results: HashSet::new(),
            starts: HashMap::new(),
            broken: Vec::new(),
        };
        let inner = Mutex::new(inner);
        Arc::new(Self {
            inner,
            settings,
            flavors,
            zones,
            controllers,
            record,
        })
    }

    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap()
    }

    /// Adds a machine that is up, and starts its threads.
    pub fn add_worker(
        self: &Arc<Self>,
        name: &str,
        flavor: &Flavor,
        region: &str,
        address: SocketAddr,
    ) {
        let worker = Worker {
            flavor: flavor.clone(),
            region: region.into(),
            preemptibles: false,
            address,
            tenure: 1,
            counter: 0,
            fence: 0,
            answered: self.record.now(),
            gone: false,
            tasks: BTreeMap::new(),
            images: HashSet::new(),
            changed: true,
            told_fence_at: -100.0,
        };
        let order = {
            let mut inner = self.lock();
            let order = inner.workers.len() as u64;
            inner.workers.insert(name.into(), worker);
            order
        };
        let (site, own) = (self.clone(), name.to_string());
        let handler: Handler = Arc::new(move |request| site.answer_direct(&own, &request));
        http::serve(address, handler).expect("a free port");
        let (site, own) = (self.clone(), name.to_string());
        thread::spawn(move || site.report(&own, order));
    }

    /// Advances all machines; runs for ever.
    pub fn run(self: &Arc<Self>) {
        let site = self.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(25));
                site.advance();
            }
        });
    }

    fn log_task(&self, worker: &str, text: &str) {
        self.record.write(worker, text);
    }

    fn advance(&self) {
        let now = self.record.now();
        let mut inner = self.lock();
        let inner = &mut *inner;
        let names: Vec<String> = inner.workers.keys().cloned().collect();
        for name in &names {
            let worker = inner.workers.get_mut(name).unwrap();
            if worker.gone {
                continue;
            }
            if now - worker.answered > self.settings.lease_s {
                let lost = worker.tasks.len();
                worker.tasks.clear();
                worker.tenure += 1;
                worker.answered = now;
                worker.changed = true;
                self.record.write(
                    name,
                    &format!("lease ended, {lost} tasks killed, tenure {}", worker.tenure),
                );
            }
            let due: Vec<(String, u64)> = worker
                .tasks
                .iter()
                .filter(|(_, t)| {
                    !matches!(t.phase, Phase::Ended(_) | Phase::Gathering) && t.until <= now
                })
                .map(|(id, _)| id.clone())
                .collect();
            for id in due {
                self.advance_task(inner, name, &id, now);
            }
        }
        for name in names {
            let worker = &inner.workers[&name];
            if worker.gone {
                continue;
            }
            for ((shard, _), task) in &worker.tasks {
                let job = shard.split_once('/').unwrap().0;
                let on = !matches!(task.phase, Phase::Fetching | Phase::Ended(_));
                if on
                    && let Some(at) = inner.jobs[job].cancelled_at
                    && now > at + self.settings.cancel_s
                {
                    let text = format!("ran_cancelled: {shard} on {name}, {:.1} s after", now - at);
                    if !inner.broken.contains(&text) && inner.broken.len() < 20 {
                        inner.broken.push(text);
                    }
                }
            }
        }
    }

    fn advance_task(&self, inner: &mut Inner, name: &str, id: &(String, u64), now: f64) {
        let (shard, attempt) = id;
        let uid = shard.split_once('/').unwrap().0.to_string();
        let job = &inner.jobs[&uid];
        let gang = job.body["shape"] == "group";
        let number: u64 = shard.split_once('/').unwrap().1.parse().unwrap_or(0);
        let run_s = job
            .longer
            .filter(|(first, _)| number >= *first)
            .map_or(job.run_s, |l| l.1);
        let service = job.body["shape"] == "service";
        let bundle = job.body["bundle"].as_str().unwrap_or("").to_string();
        let shards = job.body["shards"].as_u64().unwrap_or(1);
        let phase = inner.workers[name].tasks[id].phase;
        match phase {
            Phase::Fetching => {
                // The task is on its machine from now on.
                for (other, worker) in &inner.workers {
                    let twice = worker.tasks.iter().any(|((s, a), t)| {
                        s == shard
                            && (other != name || a != attempt)
                            && !matches!(t.phase, Phase::Fetching | Phase::Ended(_))
                    });
                    if twice {
                        inner
                            .broken
                            .push(format!("ran_twice: {shard} on {name} while on {other}"));
                    }
                }
                let worker = inner.workers.get_mut(name).unwrap();
                worker.images.insert(bundle);
                let task = worker.tasks.get_mut(id).unwrap();
                worker.changed = true;
                if inner.results.contains(shard) {
                    task.phase = Phase::Ended("done");
                } else if gang {
                    task.phase = Phase::Gathering;
                } else {
                    task.phase = Phase::Running;
                    task.until = if service { f64::INFINITY } else { now + run_s };
                }
                *inner.starts.entry(uid.clone()).or_default() += 1;
                self.log_task(name, &format!("{shard} try {attempt} is on the machine"));
                if gang {
                    let here = |w: &Worker| {
                        w.tasks
                            .iter()
                            .filter(|((s, a), t)| {
                                a == attempt
                                    && t.phase == Phase::Gathering
                                    && s.starts_with(&format!("{uid}/"))
                            })
                            .count() as u64
                    };
                    if inner.workers.values().map(here).sum::<u64>() == shards {
                        for worker in inner.workers.values_mut() {
                            for ((s, a), task) in &mut worker.tasks {
                                if a == attempt && s.starts_with(&format!("{uid}/")) {
                                    task.phase = Phase::Running;
                                    task.until = now + run_s;
                                    worker.changed = true;
                                }
                            }
                        }
                    }
                }
            }
            Phase::Running => {
                let worker = inner.workers.get_mut(name).unwrap();
                worker.tasks.get_mut(id).unwrap().phase = Phase::Ended("done");
                worker.changed = true;
                if gang {
                    (0..shards).for_each(|n| {
                        inner.results.insert(format!("{uid}/{n}"));
                    });
                }
                inner.results.insert(shard.clone());
                self.log_task(name, &format!("{shard} try {attempt} is done"));
            }
            Phase::Saving => {
                let worker = inner.workers.get_mut(name).unwrap();
                let task = worker.tasks.get_mut(id).unwrap();
                task.phase = Phase::Ended("stopped");
                task.kept = true;
                worker.changed = true;
            }
            Phase::Gathering | Phase::Ended(_) => {}
        }
    }

    /// The resources of a machine that no task takes: CPUs, GPUs and GB of memory.
    pub fn room(&self, name: &str) -> (f64, f64, f64) {
        let inner = self.lock();
        let worker = &inner.workers[name];
        if worker.gone {
            return (0.0, 0.0, 0.0);
        }
        let free = |field: &str, capacity: f64| {
            let live = worker
                .tasks
                .iter()
                .filter(|(_, t)| !matches!(t.phase, Phase::Ended(_)));
            let used = live
                .map(|((s, _), _)| amount(&inner.jobs[s.split_once('/').unwrap().0].body, field));
            capacity - used.sum::<f64>()
        };
        (
            free("cpus", worker.flavor.cpus),
            free("gpus", worker.flavor.gpus),
            free("memory_gb", worker.flavor.memory_gb),
        )
    }

    fn body_of_report(&self, inner: &mut Inner, name: &str) -> Value {
        let worker = inner.workers.get_mut(name).unwrap();
        worker.counter += 1;
        let shards: Vec<Value> = worker
            .tasks
            .iter()
            .map(|((shard, attempt), task)| {
                let phase = match task.phase {
                    Phase::Fetching => "fetching",
                    Phase::Gathering => "gathering",
                    Phase::Running => "running",
                    Phase::Saving => "saving",
                    Phase::Ended(_) => "ended",
                };
                let mut value = json!({"shard": shard, "try": attempt, "phase": phase});
                if let Phase::Ended(reason) = task.phase {
                    value["exit_reason"] = reason.into();
                    if reason == "stopped" {
                        value["kept"] = task.kept.into();
                    }
                }
                value
            })
            .collect();
        json!({"host": name, "address": worker.address.to_string(), "flavor": worker.flavor.name,
            "region": worker.region, "preemptibles": worker.preemptibles, "tenure": worker.tenure,
            "counter": worker.counter, "fence": worker.fence, "reclaim_s": null, "shards": shards})
    }

    /// Sends the reports of one machine; runs for ever.
    fn report(&self, name: &str, order: u64) {
        let mut node = order as usize % self.controllers.len();
        // The spread of a quarter, without chance.
        let mut phase = order;
        let mut due = self.record.now();
        let mut sent = -10.0;
        loop {
            thread::sleep(Duration::from_millis(20));
            let now = self.record.now();
            let (body, tenure) = {
                let mut inner = self.lock();
                let worker = &inner.workers[name];
                if worker.gone || !(now >= due || (worker.changed && now >= sent + 0.5)) {
                    continue;
                }
                let tenure = worker.tenure;
                inner.workers.get_mut(name).unwrap().changed = false;
                (self.body_of_report(&mut inner, name), tenure)
            };
            sent = now;
            phase = phase
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let spread = (phase >> 40) as f64 / (1u64 << 24) as f64;
            due = now + self.settings.report_s * (0.75 + 0.5 * spread);
            let bytes = body.to_string().into_bytes();
            if bytes.len() > http::MAX_BODY {
                self.record
                    .write(name, &format!("a report of {} bytes", bytes.len()));
            }
            let answer = http::call(
                self.controllers[node],
                "POST",
                "/hello",
                &bytes,
                Duration::from_secs(4),
            );
            match answer {
                Ok((200, body)) => {
                    let value: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
                    let mut inner = self.lock();
                    let worker = inner.workers.get_mut(name).unwrap();
                    let Some(fence) = value["fence"].as_u64() else {
                        continue;
                    };
                    if worker.gone || fence < worker.fence || worker.tenure != tenure {
                        continue;
                    }
                    self.see_fence(worker, fence);
                    worker.answered = sent;
                    self.execute(&mut inner, name, &value["orders"]);
                }
                Ok((421, body)) => {
                    let value: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
                    let named = value["controller"]
                        .as_str()
                        .and_then(|c| c.strip_prefix("host-")?.parse::<usize>().ok());
                    match named.filter(|n| *n != node && *n < self.controllers.len()) {
                        Some(named) => {
                            node = named;
                            due = now + 0.3;
                        }
                        None => {
                            node = (node + 1) % self.controllers.len();
                            due = self.record.now() + 1.0;
                        }
                    }
                }
                _ => {
                    node = (node + 1) % self.controllers.len();
                    due = self.record.now() + 1.0;
                }
            }
        }
    }

    fn see_fence(&self, worker: &mut Worker, fence: u64) {
        if fence > worker.fence {
            worker.fence = fence;
            let now = self.record.now();
            if now - worker.told_fence_at > self.settings.lease_s / 2.0 {
                worker.told_fence_at = now;
                worker.changed = true;
            }
        }
    }

    fn execute(&self, inner: &mut Inner, name: &str, orders: &Value) {
        let now = self.record.now();
        for order in orders.as_array().into_iter().flatten() {
            let shard = order["shard"].as_str().unwrap_or("").to_string();
            let id = (shard.clone(), order["try"].as_u64().unwrap_or(0));
            let Some((uid, number)) = shard.split_once('/') else {
                continue;
            };
            match order["verb"].as_str() {
                Some("start") => {
                    if inner.workers[name].tasks.contains_key(&id) {
                        continue;
                    }
                    let number: u64 = number.parse().unwrap_or(u64::MAX);
                    let (phase, until) = self.start(inner, name, uid, &shard, number, now);
                    self.log_task(name, &format!("start of {shard} try {}: {phase:?}", id.1));
                    let worker = inner.workers.get_mut(name).unwrap();
                    worker.tasks.insert(
                        id,
                        Task {
                            phase,
                            kept: false,
                            until,
                        },
                    );
                    worker.changed = true;
                }
                Some("halt") => {
                    let save = inner.jobs.get(uid).map_or((0.0, 0.0), |job| {
                        (
                            amount(&job.body, "snapshot_every_s"),
                            amount(&job.body, "snapshot_s"),
                        )
                    });
                    let worker = inner.workers.get_mut(name).unwrap();
                    let Some(task) = worker.tasks.get_mut(&id) else {
                        continue;
                    };
                    let drain = amount(order, "drain_s");
                    match task.phase {
                        Phase::Ended(_) => continue,
                        Phase::Running if save.0 > 0.0 && drain >= save.1 => {
                            task.phase = Phase::Saving;
                            task.until = now + save.1;
                        }
                        Phase::Saving if drain > 0.0 => continue,
                        _ => task.phase = Phase::Ended("stopped"),
                    }
                    worker.changed = true;
                    self.log_task(name, &format!("halt of {shard} try {}", id.1));
                }
                Some("clear") => {
                    let worker = inner.workers.get_mut(name).unwrap();
                    if matches!(worker.tasks.get(&id), Some(t) if matches!(t.phase, Phase::Ended(_)))
                    {
                        worker.tasks.remove(&id);
                        worker.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    fn start(
        &self,
        inner: &Inner,
        name: &str,
        uid: &str,
        shard: &str,
        number: u64,
        now: f64,
    ) -> (Phase, f64) {
        let Some(job) = inner.jobs.get(uid) else {
            return (Phase::Ended("unknown"), now);
        };
        if number >= job.body["shards"].as_u64().unwrap_or(0) {
            return (Phase::Ended("unknown"), now);
        }
        let worker = &inner.workers[name];
        let live = |t: &Task| !matches!(t.phase, Phase::Ended(_));
        if worker.tasks.iter().any(|((s, _), t)| s == shard && live(t)) {
            return (Phase::Ended("busy"), now);
        }
        for (field, capacity) in [
            ("cpus", worker.flavor.cpus),
            ("gpus", worker.flavor.gpus),
            ("memory_gb", worker.flavor.memory_gb),
        ] {
            let used: f64 = worker
                .tasks
                .iter()
                .filter(|(_, t)| live(t))
                .map(|((s, _), _)| amount(&inner.jobs[s.split_once('/').unwrap().0].body, field))
                .sum();
            if used + amount(&job.body, field) > capacity + 1e-9 {
                return (Phase::Ended("no_room"), now);
            }
        }
        let cached = worker
            .images
            .contains(job.body["bundle"].as_str().unwrap_or(""));
        let fetch = if cached {
            0.0
        } else {
            amount(&job.body, "pull_gb") / 0.5
        };
        (Phase::Fetching, now + fetch)
    }

    fn answer_direct(&self, name: &str, request: &Request) -> Option<Answer> {
        let mut inner = self.lock();
        if inner.workers[name].gone {
            drop(inner);
            thread::sleep(Duration::from_secs(5));
            return None;
        }
        let mut status = 200;
        if request.path == "/orders" {
            let value: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
            let worker = inner.workers.get_mut(name).unwrap();
            match (value["fence"].as_u64(), value["tenure"].as_u64()) {
                (Some(fence), Some(tenure)) if fence >= worker.fence && tenure == worker.tenure => {
                    self.see_fence(worker, fence);
                    self.execute(&mut inner, name, &value["orders"]);
                }
                (Some(_), Some(_)) => status = 409,
                _ => status = 400,
            }
        }
        let body = self.body_of_report(&mut inner, name);
        Some((status, body.to_string().into_bytes()))
    }

    pub fn answer_cloud(&self, request: &Request) -> Option<Answer> {
        let path = request.path.split('?').next().unwrap_or("");
        let reply = |status, value: Value| Some((status, value.to_string().into_bytes()));
        match path {
            "/machine_types" => {
                let flavors: Vec<Value> = self
                    .flavors
                    .iter()
                    .map(|f| json!({"name": f.name, "cpus": f.cpus, "gpus": f.gpus, "memory_gb": f.memory_gb,
                        "local_gb": 100.0, "pull_gb_per_s": 0.5, "price": f.price, "market_price": f.market_price,
                        "ready_s": f.ready_s, "regions": self.zones}))
                    .collect();
                reply(200, json!({ "flavors": flavors }))
            }
            "/rentals" if request.method == "GET" => {
                let query = request.path.split_once('?').map_or("", |p| p.1);
                let since = query
                    .split('&')
                    .find_map(|p| p.strip_prefix("since="))
                    .unwrap_or("");
                let inner = self.lock();
                let hosts: Vec<Value> = inner
                    .workers
                    .iter()
                    .filter(|(name, w)| name.as_str() > since && !w.gone)
                    .map(|(name, w)| json!({"uid": name, "address": w.address.to_string(), "flavor": w.flavor.name,
                        "region": w.region, "preemptibles": w.preemptibles, "phase": "running",
                        "held_s": self.record.now() + 60.0}))
                    .collect();
                reply(200, json!({"hosts": hosts, "more": false}))
            }
            // All machines are rented from the start on, and there are no others.
            "/rentals" => reply(503, json!({"error": "no capacity"})),
            "/rentals/return" => {
                let value: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
                let mut inner = self.lock();
                for host in value["hosts"].as_array().into_iter().flatten() {
                    if let Some(worker) = inner.workers.get_mut(host.as_str().unwrap_or("")) {
                        worker.gone = true;
                        worker.tasks.clear();
                        self.record.write("cloud", &format!("{host} was returned"));
                    }
                }
                reply(200, json!({}))
            }
            _ => reply(404, json!({})),
        }
    }
}
