//! The fakes as HTTP servers on loopback: a state service, a cloud, and workers that send
//! heartbeats and run tasks, and settings files for real controller processes.
//! `tests/whole_nodes.rs` runs the deployment against them.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use copperfield::protocol::MAX_BODY_BYTES;
use copperfield::transport::client::{HttpClient, HttpResponse, Network};
use copperfield::transport::server::{ApiRequest, ApiResponse, bind, serve};
use copperfield_http::MemoryBudget;
use hyper::Method;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::cluster::{CANCEL_S, HEARTBEAT_INTERVAL_S, Job, LEASE_S, Site};
use crate::state_service::StateService;

pub const CONTROLLERS: usize = 3;
/// Connections that each server takes: one for each worker of a site of 6,000.
const MOST: usize = 6144;
/// What their requests may hold.
const MAX_BYTES: usize = 1 << 30;
/// Workers advance in steps of this many seconds.
const STEP_S: f64 = 0.1;

pub struct Fakes {
    pub site: Site,
    pub state: StateService,
    start: Instant,
    /// Where each worker is served.
    workers: BTreeMap<String, SocketAddr>,
    /// The controller that last answered a worker as leader.
    pub leader: usize,
    /// Jobs that nobody submitted run for this long; `None`: they are unknown.
    pub unknown_job_runtime_s: Option<f64>,
}

#[derive(Clone)]
pub struct Loopback {
    fakes: Arc<Mutex<Fakes>>,
    pub state_address: SocketAddr,
    pub cloud_address: SocketAddr,
    pub public_addresses: Vec<SocketAddr>,
    peers: Vec<SocketAddr>,
    http: Arc<HttpClient>,
}

/// Below what the kernel gives to outgoing connections: there an address that was free a moment
/// ago was once some connection's by the time its server began.
const PORTS: std::ops::Range<u32> = 10_240..32_768;
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// An address that nobody listens on now, and that this process has not been given before.
///
/// # Panics
/// If the worker has no free port.
pub fn free_address() -> SocketAddr {
    let first = std::process::id().wrapping_mul(97);
    for _ in PORTS {
        let next = first.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + next % (PORTS.end - PORTS.start);
        let address = fixed_address(port as u16);
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port in {PORTS:?}");
}

/// An address at a fixed port, for people who type it.
pub fn fixed_address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Loopback {
    /// Servers on addresses chosen by `address`, given what for.
    pub fn new(site: Site, mut address: impl FnMut(&str, usize) -> SocketAddr) -> Self {
        let mut all = |what: &str| {
            (0..CONTROLLERS)
                .map(|i| address(what, i))
                .collect::<Vec<_>>()
        };
        let (public_addresses, peers) = (all("public"), all("peers"));
        let fakes = Fakes {
            site,
            state: StateService::default(),
            start: Instant::now(),
            workers: BTreeMap::new(),
            leader: 0,
            unknown_job_runtime_s: None,
        };
        Self {
            fakes: Arc::new(Mutex::new(fakes)),
            state_address: address("state", 0),
            cloud_address: address("cloud", 0),
            public_addresses,
            peers,
            http: Arc::new(HttpClient::default()),
        }
    }

    /// # Panics
    /// If a server panicked.
    pub fn fakes(&self) -> MutexGuard<'_, Fakes> {
        self.fakes.lock().expect("no server panics")
    }

    /// Serves until an address turns out to be taken.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn run(&self) -> std::io::Result<()> {
        let (for_state, for_cloud) = (self.clone(), self.clone());
        let (state, cloud) = (
            bind(self.state_address).await?,
            bind(self.cloud_address).await?,
        );
        tokio::select! {
            result = serve(state, MOST, MAX_BODY_BYTES, MemoryBudget::new(MAX_BYTES), move |r| for_state.clone().answer_state(r)) => result,
            result = serve(cloud, MOST, MAX_BODY_BYTES, MemoryBudget::new(MAX_BYTES), move |r| for_cloud.clone().answer_cloud(r)) => result,
            () = self.live() => Ok(()),
        }
    }

    /// What each controller is started with.
    pub fn settings(&self, node: usize) -> Value {
        let others: Vec<Value> = (0..CONTROLLERS)
            .filter(|&i| i != node)
            .map(
                |i| json!({"member": format!("host-{i}"), "site": "a", "peer_addr": self.peers[i]}),
            )
            .collect();
        json!({"member": format!("host-{node}"), "site": "a", "public_addr": self.public_addresses[node],
            "peer_bind": self.peers[node], "others": others,
            "external": {"cloud": self.cloud_address, "state": self.state_address},
            "cluster": {"count": CONTROLLERS, "zones": ["a", "b"], "teams": [{"name": "team"}], "objectives": [],
                "workers": {"report_s": HEARTBEAT_INTERVAL_S, "lease_s": LEASE_S, "gang_wait_s": 20.0, "gang_peer_s": 2.0, "cancel_s": CANCEL_S},
                "state": {"rps": 400, "write_rps": 100, "value_kb": 8, "txn_ops": 12},
                "cloud": {"rps": 10, "list_lag_s": 1}, "limits": {"max_sockets": 12_000}, "clock_error_ms": 25}})
    }

    /// Writes the settings of all controllers to a folder, with the operators' own beside
    /// them, and returns where.
    ///
    /// # Errors
    /// The folder cannot be written.
    pub fn write_settings(
        &self,
        folder: &Path,
        hcl: Option<&str>,
    ) -> std::io::Result<Vec<PathBuf>> {
        std::fs::create_dir_all(folder)?;
        let mut paths = Vec::new();
        for node in 0..CONTROLLERS {
            let path = folder.join(format!("host-{node}.json"));
            let text = serde_json::to_string_pretty(&self.settings(node)).expect("plain data");
            std::fs::write(&path, text)?;
            if let Some(hcl) = hcl {
                std::fs::write(path.with_extension("hcl"), hcl)?;
            }
            paths.push(path);
        }
        Ok(paths)
    }

    /// A user uploads a job and submits it; asks again until it is accepted.
    pub async fn submit(&self, body: &Value, runtime_s: f64) {
        let id = body["uid"].as_str().expect("a job has an id").to_string();
        let job = Job::new(body, runtime_s);
        self.fakes().site.jobs.insert(id.clone(), job);
        loop {
            for &node in &self.public_addresses {
                if let Some(answer) = self.ask(Method::POST, node, "/work", body).await
                    && matches!(answer.status, 200 | 201)
                {
                    let mut w = self.fakes();
                    let now = w.site.now;
                    w.site.jobs.get_mut(&id).expect("inserted").accepted_at = Some(now);
                    return;
                }
            }
            sleep(Duration::from_millis(300)).await;
        }
    }

    /// Polls a job at any controller, and checks the answer.
    pub async fn poll(&self, id: &str) -> Option<Value> {
        for &node in &self.public_addresses {
            let asked_at = self.fakes().site.now;
            let path = format!("/work/{id}");
            let Some(answer) = self.ask(Method::GET, node, &path, &Value::Null).await else {
                continue;
            };
            let value: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
            let mut w = self.fakes();
            w.site
                .check_user_answer(id, asked_at, answer.status, value["phase"].as_str());
            if answer.status == 200 {
                return Some(value);
            }
        }
        None
    }

    async fn ask(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        body: &Value,
    ) -> Option<HttpResponse> {
        let body = match body {
            Value::Null => Vec::new(),
            body => body.to_string().into_bytes(),
        };
        let asked = self
            .http
            .call(method, to, path, body, Duration::from_secs(3));
        asked.await.ok()
    }

    async fn answer_state(self, request: ApiRequest) -> ApiResponse {
        let path = full_path(&request);
        if request.path == "/watch" {
            for _ in 0..200 {
                let changes = self.fakes().state.changes(&path);
                if let Some(changes) = changes {
                    return reply(changes);
                }
                sleep(Duration::from_millis(10)).await;
            }
            return reply(self.fakes().state.watch_timeout());
        }
        let mut w = self.fakes();
        let now = w.start.elapsed().as_secs_f64();
        reply(
            w.state
                .handle(now, request.method.as_str(), &path, &request.body),
        )
    }

    async fn answer_cloud(self, request: ApiRequest) -> ApiResponse {
        let path = full_path(&request);
        let mut w = self.fakes();
        reply(
            w.site
                .handle_cloud_request(request.method.as_str(), &path, &request.body),
        )
    }

    async fn answer_worker(self, name: String, request: ApiRequest) -> ApiResponse {
        let mut w = self.fakes();
        if !w.site.workers.contains_key(&name) {
            return ApiResponse::error(503, "gone");
        }
        let mut status = 200;
        if request.path == "/orders" {
            let orders: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
            w.learn_jobs(&orders["orders"]);
            let same = orders["tenure"].as_u64() == Some(w.site.workers[&name].incarnation);
            if same && w.site.accept_fencing_token(&name, orders["fence"].as_u64()) {
                w.site.execute_commands(&name, &orders["orders"]);
            } else {
                status = 409;
            }
        }
        reply((status, w.heartbeat(&name)))
    }

    /// Advances the workers: they run tasks and send heartbeats to the leader.
    async fn live(&self) {
        let mut due: BTreeMap<String, (f64, usize)> = BTreeMap::new();
        loop {
            sleep(Duration::from_secs_f64(STEP_S)).await;
            let heartbeats = self.step(&mut due);
            for (name, node, body, sent) in heartbeats {
                let answer = self
                    .ask(Method::POST, self.public_addresses[node], "/hello", &body)
                    .await;
                let next = self.answered(&name, node, sent, answer);
                due.get_mut(&name).expect("reported").1 = next;
            }
        }
    }

    fn step(&self, due: &mut BTreeMap<String, (f64, usize)>) -> Vec<(String, usize, Value, f64)> {
        let mut w = self.fakes();
        let now = w.start.elapsed().as_secs_f64();
        let passed = now - w.site.now;
        w.site.now = now;
        w.state.tick(now, passed);
        let workers = w.site.workers.values();
        let up: Vec<String> = workers
            .filter(|m| m.up_at <= now && !m.hung)
            .map(|m| m.name.clone())
            .collect();
        let mut heartbeats = Vec::new();
        for name in up {
            w.site.advance_worker(&name, passed);
            if !due.contains_key(&name) {
                println!("machine {name} is up");
                due.insert(name.clone(), (now, 0));
                let address = free_address();
                w.workers.insert(name.clone(), address);
                let (this, served) = (self.clone(), name.clone());
                tokio::spawn(async move {
                    let answer = move |r| this.clone().answer_worker(served.clone(), r);
                    serve(
                        bind(address).await?,
                        MOST,
                        MAX_BODY_BYTES,
                        MemoryBudget::new(MAX_BYTES),
                        answer,
                    )
                    .await
                });
            }
            let (at, node) = due.get_mut(&name).expect("inserted");
            let changed = w.site.workers[&name].changed;
            if now >= *at || (changed && now > *at - HEARTBEAT_INTERVAL_S + 0.5) {
                *at = now + HEARTBEAT_INTERVAL_S;
                let node = *node;
                heartbeats.push((name.clone(), node, w.heartbeat(&name), now));
            }
        }
        w.site.advance_gangs();
        w.site.check_cancelled();
        heartbeats
    }

    /// Handles the answer to a heartbeat; returns the controller for the next one.
    fn answered(&self, name: &str, node: usize, sent: f64, answer: Option<HttpResponse>) -> usize {
        let other = (node + 1) % CONTROLLERS;
        let Some(answer) = answer else { return other };
        let value: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        if answer.status == 200 {
            let mut w = self.fakes();
            w.leader = node;
            w.learn_jobs(&value["orders"]);
            if w.site.workers.contains_key(name)
                && w.site.accept_fencing_token(name, value["fence"].as_u64())
            {
                w.site.renew_lease(name, sent);
                w.site.execute_commands(name, &value["orders"]);
            }
            return node;
        }
        let named = value["controller"].as_str();
        named
            .and_then(|c| c.strip_prefix("host-")?.parse().ok())
            .unwrap_or(other)
    }
}

impl Fakes {
    fn heartbeat(&mut self, name: &str) -> Value {
        let mut heartbeat = self.site.workers.get_mut(name).expect("known").heartbeat();
        if let Some(address) = self.workers.get(name) {
            heartbeat["address"] = json!(address.to_string());
        }
        heartbeat
    }

    /// Where users upload nothing, any job runs, and for the same time.
    fn learn_jobs(&mut self, orders: &Value) {
        let Some(runtime_s) = self.unknown_job_runtime_s else {
            return;
        };
        for order in orders.as_array().into_iter().flatten() {
            let Some((job, _)) = order["shard"].as_str().and_then(|s| s.split_once('/')) else {
                continue;
            };
            self.site.jobs.entry(job.to_string()).or_insert_with(|| Job {
                body: json!({"shape": "sweep", "cpus": 1.0, "bundle": job, "pull_gb": 0.1, "preemptibles": true, "shards": 100_000}),
                runtime_s,
                accepted_at: Some(0.0),
                reported_at: 0.0,
                last_answer_at: 0.0,
                cancelled_at: None,
                done: vec![false; 100_000],
                reported_phase: None,
            });
        }
    }
}

fn reply((status, value): (u16, Value)) -> ApiResponse {
    ApiResponse::json(status, &value)
}

fn full_path(request: &ApiRequest) -> String {
    match &request.query {
        Some(query) => format!("{}?{query}", request.path),
        None => request.path.clone(),
    }
}
