//! The cloud and the workers, written from the published protocol.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http;
use crate::record::Record;

/// The intervals of the workers, as in the settings.
#[derive(Clone, Copy)]
pub struct Times {
    pub report_s: f64,
    pub lease_s: f64,
    pub list_lag_s: f64,
}

/// A machine type.
#[derive(Clone)]
pub struct Flavor {
    pub name: &'static str,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub price: f64,
    pub pull_gb_per_s: f64,
    pub ready_s: f64,
    pub regions: Vec<&'static str>,
}

/// A task that a machine holds.
#[derive(Clone)]
pub struct Task {
    pub shard: String,
    pub attempt: u64,
    pub phase: &'static str,
    pub exit_reason: Option<&'static str>,
    image_at: Instant,
    done_at: Option<Instant>,
}

impl Task {
    fn ended(&self) -> bool {
        self.phase == "ended"
    }
}

struct Machine {
    flavor: Flavor,
    region: &'static str,
    spot: bool,
    rented_at: Instant,
    up_at: Instant,
    booted: bool,
    address: Option<SocketAddr>,
    tenure: u64,
    counter: u64,
    fence: u64,
    /// When the last answered report was sent, or the session began.
    answered: Instant,
    tasks: Vec<Task>,
    images: Vec<String>,
    changed: bool,
    /// Until when every task that it starts fails.
    sick_until: Option<Instant>,
}

/// One task's history as the platform sees it.
#[derive(Default, Clone)]
pub struct TaskHistory {
    pub starts: u32,
    pub done_at: Option<f64>,
}

struct Inner {
    machines: BTreeMap<String, Machine>,
    rentals: HashMap<String, Vec<String>>,
    /// Uploaded job descriptions, with the true run time of each task.
    jobs: HashMap<String, (Value, f64)>,
    /// Tasks that run longer than the others of their jobs.
    long_tasks: HashMap<String, f64>,
    history: BTreeMap<String, TaskHistory>,
    /// Jobs that users were told are cancelled, and when.
    cancelled: HashMap<String, f64>,
    violations: Vec<String>,
    next_machine: u32,
}

/// The cloud and its machines.
#[derive(Clone)]
pub struct Site {
    inner: Arc<Mutex<Inner>>,
    flavors: Arc<Vec<Flavor>>,
    times: Times,
    pub cloud_address: SocketAddr,
    record: Record,
    /// The public addresses of the controllers, by name.
    nodes: Arc<Vec<(String, SocketAddr)>>,
}

impl Site {
    pub fn start(
        flavors: Vec<Flavor>,
        times: Times,
        nodes: Vec<(String, SocketAddr)>,
        record: Record,
    ) -> Self {
        let (listener, cloud_address) = http::listen();
        let site = Self {
            inner: Arc::new(Mutex::new(Inner {
                machines: BTreeMap::new(),
                rentals: HashMap::new(),
                jobs: HashMap::new(),
                long_tasks: HashMap::new(),
                history: BTreeMap::new(),
                cancelled: HashMap::new(),
                violations: Vec::new(),
                next_machine: 0,
            })),
            flavors: Arc::new(flavors),
            times,
            cloud_address,
            record,
            nodes: Arc::new(nodes),
        };
        let served = site.clone();
        http::serve(listener, move |method, path, body| {
            let (status, value) = served.cloud(method, path, body);
            Some((status, value.to_string()))
        });
        let ticked = site.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(25));
                ticked.advance();
            }
        });
        site
    }

    /// Adds machines that are up already.
    pub fn add_machines(&self, flavor: &str, region: &'static str, spot: bool, number: usize) {
        for _ in 0..number {
            self.rent(flavor, region, spot, 0.0);
        }
    }

    /// Uploads a job's description. `runtime_s` is the true run time of each task.
    pub fn upload(&self, body: &Value, runtime_s: f64) {
        let uid = body["uid"].as_str().expect("a job has an id").to_string();
        self.inner
            .lock()
            .unwrap()
            .jobs
            .insert(uid, (body.clone(), runtime_s));
    }

    /// Makes a task run longer than the others of its job.
    pub fn set_run_time(&self, shard: String, runtime_s: f64) {
        self.inner
            .lock()
            .unwrap()
            .long_tasks
            .insert(shard, runtime_s);
    }

    /// How many tasks of a job have completed, and the tasks that have not.
    pub fn progress(&self, uid: &str, shards: u32) -> (u32, Vec<u32>) {
        let inner = self.inner.lock().unwrap();
        let is_done = |task: &u32| {
            inner
                .history
                .get(&format!("{uid}/{task}"))
                .is_some_and(|h| h.done_at.is_some())
        };
        let open: Vec<u32> = (0..shards).filter(|task| !is_done(task)).collect();
        (shards - open.len() as u32, open)
    }

    /// Records that a user was told that a job is cancelled.
    pub fn told_cancelled(&self, uid: &str) {
        let now = self.record.now();
        self.inner
            .lock()
            .unwrap()
            .cancelled
            .entry(uid.to_string())
            .or_insert(now);
    }

    /// The machines' history of one task.
    pub fn history(&self, shard: &str) -> TaskHistory {
        self.inner
            .lock()
            .unwrap()
            .history
            .get(shard)
            .cloned()
            .unwrap_or_default()
    }

    /// When the last task of a job completed, if all have.
    pub fn job_done_at(&self, uid: &str) -> Option<f64> {
        let inner = self.inner.lock().unwrap();
        let shards = inner.jobs.get(uid)?.0["shards"].as_u64()?;
        let mut last = 0.0f64;
        for task in 0..shards {
            last = last.max(inner.history.get(&format!("{uid}/{task}"))?.done_at?);
        }
        Some(last)
    }

    /// Tasks on machines for longer than `cancel_s` after their users were told of the cancellation.
    pub fn cancelled_still_running(&self, cancel_s: f64) -> Vec<String> {
        let now = self.record.now();
        let inner = self.inner.lock().unwrap();
        let mut found = Vec::new();
        for (name, machine) in &inner.machines {
            for task in machine.tasks.iter().filter(|t| t.phase == "running") {
                let uid = task.shard.split_once('/').map_or("", |(uid, _)| uid);
                if inner
                    .cancelled
                    .get(uid)
                    .is_some_and(|at| now - at > cancel_s)
                {
                    found.push(format!("ran_cancelled: {} on {name}", task.shard));
                }
            }
        }
        found
    }

    /// Broken rules that the machines saw.
    pub fn violations(&self) -> Vec<String> {
        self.inner.lock().unwrap().violations.clone()
    }

    /// Machines that are up, with their free CPUs and whether they are sick.
    pub fn free_cpus(&self) -> Vec<(String, f64)> {
        let inner = self.inner.lock().unwrap();
        inner
            .machines
            .iter()
            .filter(|(_, machine)| machine.booted)
            .map(|(name, machine)| {
                (
                    name.clone(),
                    machine.flavor.cpus - used(machine, &inner.jobs).0,
                )
            })
            .collect()
    }

    /// Lets every task that starts on these machines fail for some time.
    pub fn make_sick(&self, names: &[String], for_s: f64) {
        let until = Instant::now() + Duration::from_secs_f64(for_s);
        let mut inner = self.inner.lock().unwrap();
        for name in names {
            if let Some(machine) = inner.machines.get_mut(name) {
                machine.sick_until = Some(until);
            }
        }
    }

    /// The cloud takes a machine back. It is gone at once with everything on it, and not listed.
    pub fn take(&self, name: &str) {
        self.inner.lock().unwrap().machines.remove(name);
        self.record.line(&format!("cloud: {name} taken back"));
    }

    /// The names of the machines that are rented.
    pub fn machines(&self) -> Vec<String> {
        self.inner
            .lock()
            .unwrap()
            .machines
            .keys()
            .cloned()
            .collect()
    }

    fn rent(&self, flavor: &str, region: &'static str, spot: bool, boot_s: f64) -> String {
        let flavor = self
            .flavors
            .iter()
            .find(|f| f.name == flavor)
            .expect("known")
            .clone();
        let mut inner = self.inner.lock().unwrap();
        inner.next_machine += 1;
        let name = format!("vm-{:06}", inner.next_machine);
        let now = Instant::now();
        inner.machines.insert(
            name.clone(),
            Machine {
                flavor,
                region,
                spot,
                rented_at: now,
                up_at: now + Duration::from_secs_f64(boot_s),
                booted: false,
                address: None,
                tenure: 1,
                counter: 0,
                fence: 0,
                answered: now,
                tasks: Vec::new(),
                images: Vec::new(),
                changed: false,
                sick_until: None,
            },
        );
        name
    }

    fn cloud(&self, method: &str, path: &str, body: &[u8]) -> (u16, Value) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let request: Value = serde_json::from_slice(body).unwrap_or_default();
        match (method, path) {
            ("GET", "/machine_types") => {
                let flavors: Vec<Value> = self
                    .flavors
                    .iter()
                    .map(|f| {
                        json!({"name": f.name, "cpus": f.cpus, "gpus": f.gpus, "memory_gb": f.memory_gb,
                            "local_gb": 50.0, "pull_gb_per_s": f.pull_gb_per_s, "price": f.price,
                            "market_price": f.price / 3.0, "ready_s": f.ready_s, "regions": f.regions})
                    })
                    .collect();
                (200, json!({"flavors": flavors}))
            }
            ("POST", "/rentals") => self.rentals(&request),
            ("POST", "/rentals/return") => {
                let mut inner = self.inner.lock().unwrap();
                for name in request["hosts"].as_array().into_iter().flatten() {
                    let name = name.as_str().unwrap_or("");
                    if inner.machines.remove(name).is_some() {
                        self.record.line(&format!("cloud: {name} returned"));
                    }
                }
                (200, json!({}))
            }
            ("GET", "/rentals") => {
                let since = query
                    .split('&')
                    .find_map(|part| part.strip_prefix("since="))
                    .unwrap_or("");
                let inner = self.inner.lock().unwrap();
                let lag = Duration::from_secs_f64(self.times.list_lag_s);
                let hosts: Vec<Value> = inner
                    .machines
                    .iter()
                    .filter(|(name, machine)| name.as_str() > since && (machine.rented_at.elapsed() > lag || machine.up_at == machine.rented_at))
                    .map(|(name, machine)| {
                        let address = machine.address.map(|a| a.to_string()).unwrap_or_default();
                        json!({"uid": name, "address": address, "flavor": machine.flavor.name, "region": machine.region,
                            "preemptibles": machine.spot, "phase": if machine.booted { "running" } else { "starting" },
                            "held_s": machine.rented_at.elapsed().as_secs_f64()})
                    })
                    .collect();
                (200, json!({"hosts": hosts, "more": false}))
            }
            _ => (400, json!({"error": "malformed"})),
        }
    }

    fn rentals(&self, request: &Value) -> (u16, Value) {
        let name = request["rental"].as_str().unwrap_or("").to_string();
        if let Some(hosts) = self.inner.lock().unwrap().rentals.get(&name) {
            return (200, json!({"hosts": hosts}));
        }
        let wanted = request["flavor"].as_str().unwrap_or("");
        let Some(flavor) = self.flavors.iter().find(|f| f.name == wanted) else {
            return (400, json!({"error": "malformed"}));
        };
        let region = request["region"].as_str().unwrap_or("");
        let Some(region) = flavor.regions.iter().find(|r| **r == region) else {
            return (400, json!({"error": "malformed"}));
        };
        // The deployment may have up to about 40 machines.
        let present = self.inner.lock().unwrap().machines.len();
        let number =
            (request["number"].as_u64().unwrap_or(0) as usize).min(40usize.saturating_sub(present));
        if number == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let spot = request["preemptibles"].as_bool().unwrap_or(false);
        let hosts: Vec<String> = (0..number)
            .map(|_| self.rent(flavor.name, region, spot, flavor.ready_s))
            .collect();
        self.record
            .line(&format!("cloud: {name} rents {hosts:?} {wanted} {region}"));
        self.inner
            .lock()
            .unwrap()
            .rentals
            .insert(name, hosts.clone());
        (200, json!({"hosts": hosts}))
    }

    /// Advances all machines.
    fn advance(&self) {
        let now = Instant::now();
        let mut new = Vec::new();
        let mut inner = self.inner.lock().unwrap();
        let inner = &mut *inner;
        let lease = Duration::from_secs_f64(self.times.lease_s);
        let running: Vec<(String, String)> = inner
            .machines
            .iter()
            .flat_map(|(name, m)| {
                m.tasks
                    .iter()
                    .filter(|t| t.phase == "running")
                    .map(move |t| (t.shard.clone(), name.clone()))
            })
            .collect();
        let mut on: HashMap<String, String> = running.into_iter().collect();
        for (name, machine) in &mut inner.machines {
            if !machine.booted {
                if machine.up_at <= now {
                    machine.booted = true;
                    machine.answered = now;
                    new.push(name.clone());
                }
                continue;
            }
            if now.duration_since(machine.answered) > lease {
                if !machine.tasks.is_empty() {
                    self.record.line(&format!(
                        "{name}: lease expired, {} tasks dropped",
                        machine.tasks.len()
                    ));
                }
                machine.tasks.clear();
                machine.tenure += 1;
                machine.counter = 0;
                machine.answered = now;
                machine.changed = true;
            }
            for task in &mut machine.tasks {
                if task.phase == "fetching" && task.image_at <= now {
                    let (uid, _) = task.shard.split_once('/').expect("a task id");
                    let (body, runtime_s) = &inner.jobs[uid];
                    let image = body["bundle"].as_str().unwrap_or("").to_string();
                    if !machine.images.contains(&image) {
                        machine.images.push(image);
                    }
                    machine.changed = true;
                    let sick = machine.sick_until.is_some_and(|until| now < until);
                    let history = inner.history.entry(task.shard.clone()).or_default();
                    if sick {
                        task.phase = "ended";
                        task.exit_reason = Some("error");
                        self.record.line(&format!(
                            "{name}: {} try {} fails",
                            task.shard, task.attempt
                        ));
                    } else if history.done_at.is_some() {
                        task.phase = "ended";
                        task.exit_reason = Some("done");
                    } else {
                        task.phase = "running";
                        history.starts += 1;
                        if let Some(other) = on.insert(task.shard.clone(), name.clone())
                            && other != *name
                        {
                            inner.violations.push(format!(
                                "ran_twice: {} starts on {name} while on {other}",
                                task.shard
                            ));
                        }
                        let service = body["shape"] == "service";
                        task.done_at = (!service).then(|| {
                            now + Duration::from_secs_f64(
                                inner
                                    .long_tasks
                                    .get(&task.shard)
                                    .copied()
                                    .unwrap_or(*runtime_s),
                            )
                        });
                        if body["shards"].as_u64() < Some(1000)
                            || inner.long_tasks.contains_key(&task.shard)
                        {
                            self.record
                                .line(&format!("{name}: {} try {} runs", task.shard, task.attempt));
                        }
                        if let Some(at) = inner.cancelled.get(uid) {
                            let after = self.record.now() - at;
                            inner.violations.push(format!(
                                "{} started {after:.1} s after its user was told it is cancelled",
                                task.shard
                            ));
                        }
                    }
                }
                if task.phase == "running" && task.done_at.is_some_and(|at| at <= now) {
                    task.phase = "ended";
                    task.exit_reason = Some("done");
                    machine.changed = true;
                    let history = inner.history.entry(task.shard.clone()).or_default();
                    history.done_at = Some(self.record.now());
                    let (uid, _) = task.shard.split_once('/').expect("a task id");
                    if inner.jobs[uid].0["shards"].as_u64() < Some(1000)
                        || inner.long_tasks.contains_key(&task.shard)
                    {
                        self.record
                            .line(&format!("{name}: {} try {} done", task.shard, task.attempt));
                    }
                }
            }
        }
        for name in new {
            let (listener, address) = http::listen();
            inner.machines.get_mut(&name).expect("booted").address = Some(address);
            let (served, of) = (self.clone(), name.clone());
            http::serve(listener, move |_, path, body| {
                served.direct(&of, path, body)
            });
            let reporter = self.clone();
            thread::spawn(move || reporter.report_loop(&name));
        }
    }

    fn report(&self, inner: &mut Inner, name: &str) -> Option<Value> {
        let machine = inner.machines.get_mut(name)?;
        machine.counter += 1;
        let shards: Vec<Value> = machine
            .tasks
            .iter()
            .map(|task| {
                let mut value =
                    json!({"shard": task.shard, "try": task.attempt, "phase": task.phase});
                if let Some(reason) = task.exit_reason {
                    value["exit_reason"] = json!(reason);
                }
                value
            })
            .collect();
        Some(
            json!({"host": name, "address": machine.address.map(|a| a.to_string()), "flavor": machine.flavor.name,
            "region": machine.region, "preemptibles": machine.spot, "tenure": machine.tenure,
            "counter": machine.counter, "fence": machine.fence, "reclaim_s": null, "shards": shards}),
        )
    }

    /// Answers a direct message.
    fn direct(&self, name: &str, path: &str, body: &[u8]) -> http::Answer {
        if !self.inner.lock().unwrap().machines.contains_key(name) {
            // A machine that is gone is silent.
            thread::sleep(Duration::from_secs(30));
            return None;
        }
        let mut inner = self.inner.lock().unwrap();
        let machine = inner.machines.get_mut(name)?;
        let mut status = 200;
        if path == "/orders" {
            let message: Value = serde_json::from_slice(body).unwrap_or_default();
            let (Some(fence), Some(tenure)) =
                (message["fence"].as_u64(), message["tenure"].as_u64())
            else {
                return Some((400, "{}".into()));
            };
            if fence < machine.fence || tenure != machine.tenure {
                status = 409;
            } else {
                if fence > machine.fence {
                    machine.fence = fence;
                }
                self.execute(&mut inner, name, &message["orders"]);
            }
        }
        let report = self.report(&mut inner, name)?;
        Some((status, report.to_string()))
    }

    fn execute(&self, inner: &mut Inner, name: &str, orders: &Value) {
        for order in orders.as_array().into_iter().flatten() {
            let shard = order["shard"].as_str().unwrap_or("").to_string();
            let attempt = order["try"].as_u64().unwrap_or(0);
            match order["verb"].as_str() {
                Some("start") => self.start_task(inner, name, shard, attempt),
                Some("halt") => {
                    let machine = inner.machines.get_mut(name).expect("known");
                    for task in &mut machine.tasks {
                        if task.shard == shard && task.attempt == attempt && !task.ended() {
                            task.phase = "ended";
                            task.exit_reason = Some("stopped");
                            machine.changed = true;
                            self.record
                                .line(&format!("{name}: {shard} try {attempt} stopped"));
                        }
                    }
                }
                Some("clear") => {
                    let machine = inner.machines.get_mut(name).expect("known");
                    machine
                        .tasks
                        .retain(|t| !(t.shard == shard && t.attempt == attempt && t.ended()));
                    machine.changed = true;
                }
                _ => {}
            }
        }
    }

    fn start_task(&self, inner: &mut Inner, name: &str, shard: String, attempt: u64) {
        let uid = shard.split_once('/').map_or("", |(uid, _)| uid).to_string();
        let machine = &inner.machines[name];
        if machine
            .tasks
            .iter()
            .any(|t| t.shard == shard && t.attempt == attempt)
        {
            return;
        }
        let mut task = Task {
            shard: shard.clone(),
            attempt,
            phase: "ended",
            exit_reason: None,
            image_at: Instant::now(),
            done_at: None,
        };
        if let Some((body, _)) = inner.jobs.get(&uid) {
            let (cpus, gpus, memory) = used(machine, &inner.jobs);
            let need = |field: &str| body[field].as_f64().unwrap_or(0.0);
            if machine.tasks.iter().any(|t| t.shard == shard && !t.ended()) {
                task.exit_reason = Some("busy");
            } else if cpus + need("cpus") > machine.flavor.cpus + 1e-6
                || gpus + need("gpus") > machine.flavor.gpus + 1e-6
                || memory + need("memory_gb") > machine.flavor.memory_gb + 1e-6
            {
                task.exit_reason = Some("no_room");
            } else {
                task.phase = "fetching";
                let cached = machine.images.iter().any(|i| body["bundle"] == i.as_str());
                if !cached {
                    task.image_at +=
                        Duration::from_secs_f64(need("pull_gb") / machine.flavor.pull_gb_per_s);
                }
            }
        } else {
            task.exit_reason = Some("unknown");
        }
        let machine = inner.machines.get_mut(name).expect("known");
        machine.tasks.push(task);
        machine.changed = true;
    }

    /// Sends the reports of one machine until it is gone.
    fn report_loop(&self, name: &str) {
        let mut node = name.bytes().last().unwrap_or(0) as usize % self.nodes.len();
        let mut seed = name
            .bytes()
            .fold(7u64, |a, b| a.wrapping_mul(31).wrapping_add(u64::from(b)));
        loop {
            let sent = Instant::now();
            let (body, tenure) = {
                let mut inner = self.inner.lock().unwrap();
                let Some(report) = self.report(&mut inner, name) else {
                    return;
                };
                let machine = inner.machines.get_mut(name).expect("reported");
                machine.changed = false;
                (report, machine.tenure)
            };
            let answer = http::call(
                "POST",
                self.nodes[node].1,
                "/hello",
                &body.to_string(),
                Duration::from_secs(4),
            );
            let mut pause = 0.0;
            match answer {
                Some((200, text)) => {
                    let value: Value = serde_json::from_str(&text).unwrap_or_default();
                    let mut inner = self.inner.lock().unwrap();
                    let Some(machine) = inner.machines.get_mut(name) else {
                        return;
                    };
                    if let Some(fence) = value["fence"].as_u64()
                        && fence >= machine.fence
                        && machine.tenure == tenure
                    {
                        machine.changed |= fence > machine.fence;
                        machine.fence = fence;
                        machine.answered = sent;
                        self.execute(&mut inner, name, &value["orders"]);
                    }
                }
                Some((421, text)) => {
                    let value: Value = serde_json::from_str(&text).unwrap_or_default();
                    let to = self
                        .nodes
                        .iter()
                        .position(|(n, _)| value["controller"] == n.as_str());
                    match to {
                        Some(to) if to != node => {
                            node = to;
                            continue;
                        }
                        _ => {
                            node = (node + 1) % self.nodes.len();
                            pause = 1.0;
                        }
                    }
                }
                _ => {
                    node = (node + 1) % self.nodes.len();
                    pause = 1.0;
                }
            }
            seed = seed
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407);
            let factor = 0.75 + 0.5 * ((seed >> 33) as f64 / (1u64 << 31) as f64);
            let next = if pause > 0.0 {
                pause
            } else {
                self.times.report_s * factor
            };
            loop {
                thread::sleep(Duration::from_millis(25));
                let waited = sent.elapsed().as_secs_f64();
                let changed = match self.inner.lock().unwrap().machines.get(name) {
                    Some(machine) => machine.changed,
                    None => return,
                };
                if waited >= next || (pause == 0.0 && changed && waited >= 0.5) {
                    break;
                }
            }
        }
    }
}

/// The CPUs, GPUs and memory that the tasks on a machine take.
fn used(machine: &Machine, jobs: &HashMap<String, (Value, f64)>) -> (f64, f64, f64) {
    let mut sum = (0.0, 0.0, 0.0);
    for task in machine.tasks.iter().filter(|t| !t.ended()) {
        let uid = task.shard.split_once('/').map_or("", |(uid, _)| uid);
        if let Some((body, _)) = jobs.get(uid) {
            sum.0 += body["cpus"].as_f64().unwrap_or(0.0);
            sum.1 += body["gpus"].as_f64().unwrap_or(0.0);
            sum.2 += body["memory_gb"].as_f64().unwrap_or(0.0);
        }
    }
    sum
}
