//! The fakes as HTTP servers on loopback: a state service, a cloud, and workers that send
//! heartbeats and run tasks. Also writes settings files for real controller processes, which
//! `tests/whole_nodes.rs` runs against them.

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

/// Number of controllers.
pub const CONTROLLERS: usize = 3;
/// Maximum number of connections of each server: one per worker of a site of 6,000, and some more.
const MAX_CONNECTIONS: usize = 6144;
/// Maximum memory for the requests that each server holds.
const MAX_REQUEST_BYTES: usize = 1 << 30;
/// The step in which workers advance.
const STEP_S: f64 = 0.1;

/// The fakes that the servers share.
pub struct Fakes {
    /// The cloud, workers and jobs.
    pub site: Site,
    /// The state service.
    pub state: StateService,
    start: Instant,
    /// The address of each worker's server.
    workers: BTreeMap<String, SocketAddr>,
    /// The controller that last answered a heartbeat as leader.
    pub leader: usize,
    /// The run time of each task of a job that was not submitted through [`Loopback::submit`]. If
    /// `None`, starts of such jobs are violations.
    pub unknown_job_runtime_s: Option<f64>,
}

/// The servers, and a client of the controllers.
#[derive(Clone)]
pub struct Loopback {
    fakes: Arc<Mutex<Fakes>>,
    /// The address of the state service.
    pub state_address: SocketAddr,
    /// The address of the cloud.
    pub cloud_address: SocketAddr,
    /// The controllers' addresses for users, operators and workers.
    pub public_addresses: Vec<SocketAddr>,
    /// The controllers' addresses for each other.
    peer_addresses: Vec<SocketAddr>,
    http: Arc<HttpClient>,
}

/// Ports for servers, below the range that the kernel uses for outgoing connections. A free port in
/// that range could be taken by a connection before the server binds it.
const PORTS: std::ops::Range<u32> = 10_240..32_768;
/// Offset of the next port to try.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Returns an address with a free port that this process has not been given before.
///
/// # Panics
/// If no port is free.
pub fn free_address() -> SocketAddr {
    let offset = std::process::id().wrapping_mul(97);
    for _ in PORTS {
        let next = offset.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + next % (PORTS.end - PORTS.start);
        let address = fixed_address(port as u16);
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port in {PORTS:?}");
}

/// Returns the loopback address with a fixed port.
pub fn fixed_address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Loopback {
    /// Creates servers at the addresses that `address` returns for a purpose ("state", "cloud",
    /// "public" or "peers") and an index.
    pub fn new(site: Site, mut address: impl FnMut(&str, usize) -> SocketAddr) -> Self {
        let mut all = |purpose: &str| {
            (0..CONTROLLERS)
                .map(|i| address(purpose, i))
                .collect::<Vec<_>>()
        };
        let (public_addresses, peer_addresses) = (all("public"), all("peers"));
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
            peer_addresses,
            http: Arc::new(HttpClient::default()),
        }
    }

    /// Locks the fakes.
    ///
    /// # Panics
    /// If a server panicked.
    pub fn fakes(&self) -> MutexGuard<'_, Fakes> {
        self.fakes.lock().expect("no server panics")
    }

    /// Serves until a server fails.
    ///
    /// # Errors
    /// If an address cannot be bound, or a server fails.
    pub async fn run(&self) -> std::io::Result<()> {
        let (for_state, for_cloud) = (self.clone(), self.clone());
        let (state, cloud) = (
            bind(self.state_address).await?,
            bind(self.cloud_address).await?,
        );
        tokio::select! {
            result = serve(state, MAX_CONNECTIONS, MAX_BODY_BYTES, MemoryBudget::new(MAX_REQUEST_BYTES), move |r| for_state.clone().answer_state(r)) => result,
            result = serve(cloud, MAX_CONNECTIONS, MAX_BODY_BYTES, MemoryBudget::new(MAX_REQUEST_BYTES), move |r| for_cloud.clone().answer_cloud(r)) => result,
            () = self.run_workers() => Ok(()),
        }
    }

    /// The settings of a controller.
    pub fn settings(&self, controller: usize) -> Value {
        let others: Vec<Value> = (0..CONTROLLERS)
            .filter(|&i| i != controller)
            .map(
                |i| json!({"member": format!("host-{i}"), "site": "a", "peer_addr": self.peer_addresses[i]}),
            )
            .collect();
        json!({"member": format!("host-{controller}"), "site": "a", "public_addr": self.public_addresses[controller],
            "peer_bind": self.peer_addresses[controller], "others": others,
            "external": {"cloud": self.cloud_address, "state": self.state_address},
            "cluster": {"count": CONTROLLERS, "zones": ["a", "b"], "teams": [{"name": "team"}], "objectives": [],
                "workers": {"report_s": HEARTBEAT_INTERVAL_S, "lease_s": LEASE_S, "gang_wait_s": 20.0, "gang_peer_s": 2.0, "cancel_s": CANCEL_S},
                "state": {"rps": 400, "write_rps": 100, "value_kb": 8, "txn_ops": 12},
                "cloud": {"rps": 10, "list_lag_s": 1}, "limits": {"max_sockets": 12_000}, "clock_error_ms": 25}})
    }

    /// Writes the settings of all controllers to a folder, each with the operators' settings in an
    /// HCL file of the same name if there are any, and returns the paths of the JSON files.
    ///
    /// # Errors
    /// If the folder cannot be written.
    pub fn write_settings(
        &self,
        folder: &Path,
        hcl: Option<&str>,
    ) -> std::io::Result<Vec<PathBuf>> {
        std::fs::create_dir_all(folder)?;
        let mut paths = Vec::new();
        for controller in 0..CONTROLLERS {
            let path = folder.join(format!("host-{controller}.json"));
            let text =
                serde_json::to_string_pretty(&self.settings(controller)).expect("a JSON value");
            std::fs::write(&path, text)?;
            if let Some(hcl) = hcl {
                std::fs::write(path.with_extension("hcl"), hcl)?;
            }
            paths.push(path);
        }
        Ok(paths)
    }

    /// Submits a job, and retries until it is accepted.
    pub async fn submit(&self, body: &Value, runtime_s: f64) {
        let id = body["uid"].as_str().expect("a job has an id").to_string();
        let job = Job::new(body, runtime_s);
        self.fakes().site.jobs.insert(id.clone(), job);
        loop {
            for &address in &self.public_addresses {
                if let Some(answer) = self.request(Method::POST, address, "/work", body).await
                    && matches!(answer.status, 200 | 201)
                {
                    let mut fakes = self.fakes();
                    let now = fakes.site.now;
                    fakes.site.jobs.get_mut(&id).expect("inserted").accepted_at = Some(now);
                    return;
                }
            }
            sleep(Duration::from_millis(300)).await;
        }
    }

    /// Polls a job at any controller, and checks the answer.
    pub async fn poll(&self, id: &str) -> Option<Value> {
        for &address in &self.public_addresses {
            let asked_at = self.fakes().site.now;
            let path = format!("/work/{id}");
            let Some(answer) = self
                .request(Method::GET, address, &path, &Value::Null)
                .await
            else {
                continue;
            };
            let value: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
            let mut fakes = self.fakes();
            fakes
                .site
                .check_user_answer(id, asked_at, answer.status, value["phase"].as_str());
            if answer.status == 200 {
                return Some(value);
            }
        }
        None
    }

    /// Sends a request to a controller. Returns `None` if no answer arrives in time.
    async fn request(
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
        let answer = self
            .http
            .call(method, to, path, body, Duration::from_secs(3));
        answer.await.ok()
    }

    /// Answers a request to the state service.
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
        let mut fakes = self.fakes();
        let now = fakes.start.elapsed().as_secs_f64();
        reply(
            fakes
                .state
                .handle(now, request.method.as_str(), &path, &request.body),
        )
    }

    /// Answers a request to the cloud.
    async fn answer_cloud(self, request: ApiRequest) -> ApiResponse {
        let path = full_path(&request);
        let mut fakes = self.fakes();
        reply(
            fakes
                .site
                .handle_cloud_request(request.method.as_str(), &path, &request.body),
        )
    }

    /// Answers a direct message to a worker.
    async fn answer_worker(self, name: String, request: ApiRequest) -> ApiResponse {
        let mut fakes = self.fakes();
        if !fakes.site.workers.contains_key(&name) {
            return ApiResponse::error(503, "gone");
        }
        let mut status = 200;
        if request.path == "/orders" {
            let message: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
            fakes.add_unknown_jobs(&message["orders"]);
            let same_incarnation =
                message["tenure"].as_u64() == Some(fakes.site.workers[&name].incarnation);
            if same_incarnation
                && fakes
                    .site
                    .accept_fencing_token(&name, message["fence"].as_u64())
            {
                fakes.site.execute_commands(&name, &message["orders"]);
            } else {
                status = 409;
            }
        }
        reply((status, fakes.heartbeat(&name)))
    }

    /// Advances the workers, and sends their heartbeats to the leader.
    async fn run_workers(&self) {
        // When each worker's next heartbeat is due, and which controller it goes to.
        let mut due: BTreeMap<String, (f64, usize)> = BTreeMap::new();
        loop {
            sleep(Duration::from_secs_f64(STEP_S)).await;
            let heartbeats = self.step(&mut due);
            for (name, controller, body, sent_at) in heartbeats {
                let answer = self
                    .request(
                        Method::POST,
                        self.public_addresses[controller],
                        "/hello",
                        &body,
                    )
                    .await;
                let next = self.handle_heartbeat_answer(&name, controller, sent_at, answer);
                due.get_mut(&name).expect("it has sent a heartbeat").1 = next;
            }
        }
    }

    /// Advances the workers by one step, and starts the servers of workers that have booted.
    /// Returns the heartbeats that are due as (worker, controller, body, time).
    fn step(&self, due: &mut BTreeMap<String, (f64, usize)>) -> Vec<(String, usize, Value, f64)> {
        let mut fakes = self.fakes();
        let now = fakes.start.elapsed().as_secs_f64();
        let elapsed_s = now - fakes.site.now;
        fakes.site.now = now;
        fakes.state.tick(now, elapsed_s);
        let workers = fakes.site.workers.values();
        let up: Vec<String> = workers
            .filter(|w| w.up_at <= now && !w.hung)
            .map(|w| w.name.clone())
            .collect();
        let mut heartbeats = Vec::new();
        for name in up {
            fakes.site.advance_worker(&name, elapsed_s);
            if !due.contains_key(&name) {
                println!("worker {name} has booted");
                due.insert(name.clone(), (now, 0));
                let address = free_address();
                fakes.workers.insert(name.clone(), address);
                let (this, served) = (self.clone(), name.clone());
                tokio::spawn(async move {
                    let answer = move |r| this.clone().answer_worker(served.clone(), r);
                    serve(
                        bind(address).await?,
                        MAX_CONNECTIONS,
                        MAX_BODY_BYTES,
                        MemoryBudget::new(MAX_REQUEST_BYTES),
                        answer,
                    )
                    .await
                });
            }
            let (at, controller) = due.get_mut(&name).expect("inserted");
            let changed = fakes.site.workers[&name].changed;
            if now >= *at || (changed && now > *at - HEARTBEAT_INTERVAL_S + 0.5) {
                *at = now + HEARTBEAT_INTERVAL_S;
                let controller = *controller;
                heartbeats.push((name.clone(), controller, fakes.heartbeat(&name), now));
            }
        }
        fakes.site.advance_gangs();
        fakes.site.check_cancelled();
        heartbeats
    }

    /// Handles the answer to a heartbeat, and returns the controller for the next one.
    fn handle_heartbeat_answer(
        &self,
        name: &str,
        controller: usize,
        sent_at: f64,
        answer: Option<HttpResponse>,
    ) -> usize {
        let other = (controller + 1) % CONTROLLERS;
        let Some(answer) = answer else { return other };
        let value: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        if answer.status == 200 {
            let mut fakes = self.fakes();
            fakes.leader = controller;
            fakes.add_unknown_jobs(&value["orders"]);
            if fakes.site.workers.contains_key(name)
                && fakes
                    .site
                    .accept_fencing_token(name, value["fence"].as_u64())
            {
                fakes.site.renew_lease(name, sent_at);
                fakes.site.execute_commands(name, &value["orders"]);
            }
            return controller;
        }
        let leader = value["controller"].as_str();
        leader
            .and_then(|c| c.strip_prefix("host-")?.parse().ok())
            .unwrap_or(other)
    }
}

impl Fakes {
    /// The next heartbeat of a worker, with the address of its server.
    fn heartbeat(&mut self, name: &str) -> Value {
        let mut heartbeat = self.site.workers.get_mut(name).expect("known").heartbeat();
        if let Some(address) = self.workers.get(name) {
            heartbeat["address"] = json!(address.to_string());
        }
        heartbeat
    }

    /// Adds the unknown jobs that commands refer to, if unknown jobs may run.
    fn add_unknown_jobs(&mut self, commands: &Value) {
        let Some(runtime_s) = self.unknown_job_runtime_s else {
            return;
        };
        for command in commands.as_array().into_iter().flatten() {
            let Some((job, _)) = command["shard"].as_str().and_then(|s| s.split_once('/')) else {
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
