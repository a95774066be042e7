//! On a small simulated site, the requests that a controller sends to the state service, the cloud
//! and workers, and its answers to users, workers and operators, must match those of an earlier
//! build. They are recorded under `tests/pinned/exchange`. The recording is never regenerated: a
//! difference is a change of the wire format or of the stored data.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use copperfield::api::Api;
use copperfield::settings::{Settings, Tuning};
use copperfield::transport::client::{CallFuture, HttpResponse, Network};
use copperfield::transport::server::ApiRequest;
use copperfield_simulation::state_service::StateService;
use hyper::Method;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

/// The wall-clock time at which the simulation starts.
const START_UNIX_MS: u64 = 1_700_000_000_000;
/// How often workers send heartbeats.
const HEARTBEAT_INTERVAL_S: f64 = 2.0;

fn pinned(file: &str) -> String {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/pinned/exchange");
    let path = PathBuf::from(dir).join(file);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn pinned_json(file: &str) -> Value {
    serde_json::from_str(&pinned(file)).expect(file)
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// A worker that executes commands at once. Its heartbeat is that of `worker.json`, with the fields
/// that change.
struct SimulatedWorker {
    heartbeat: Value,
    /// By task name: the task's entry in the heartbeat, and when the task started.
    tasks: BTreeMap<String, (Value, f64)>,
    next_heartbeat_at: f64,
    /// A hung worker sends no heartbeats.
    hung: bool,
}

struct SimulatedCluster {
    state: StateService,
    workers: BTreeMap<String, SimulatedWorker>,
    provisioned: usize,
    /// The controller's requests, without duplicates.
    requests: BTreeSet<String>,
    /// Requests to the controller with its answers, without duplicates.
    answers: BTreeSet<String>,
}

struct SimulatedNetwork {
    cluster: Mutex<SimulatedCluster>,
    start: Instant,
    state: SocketAddr,
    cloud: SocketAddr,
    /// The names of paths and fields, from `names.json`.
    names: Value,
}

impl SimulatedNetwork {
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn name(&self, key: &str) -> &str {
        self.names[key].as_str().unwrap_or_default()
    }

    /// Executes the commands in `body` on a worker.
    fn execute(&self, cluster: &mut SimulatedCluster, worker: &str, body: &Value) {
        let now = self.now();
        let Some(worker) = cluster.workers.get_mut(worker) else {
            return;
        };
        let fence = self.name("fence");
        if body[fence].is_u64() {
            worker.heartbeat[fence] = body[fence].clone();
        }
        for command in body[self.name("orders")].as_array().into_iter().flatten() {
            let task = command[self.name("task")]
                .as_str()
                .unwrap_or_default()
                .to_string();
            let verb = command[self.name("verb")].as_str().unwrap_or_default();
            if verb == self.name("start") {
                let mut entry = self.names["running"].clone();
                entry[self.name("task")] = task.clone().into();
                entry[self.name("try")] = command[self.name("try")].clone();
                worker.tasks.insert(task, (entry, now));
            } else if verb == self.name("halt") {
                if let Some((entry, _)) = worker.tasks.get_mut(&task) {
                    merge(entry, &self.names["halted"]);
                }
            } else {
                worker.tasks.remove(&task);
            }
        }
    }

    /// The next heartbeat of a worker. Tasks of short jobs end after 6 s.
    fn heartbeat(&self, worker: &mut SimulatedWorker) -> Value {
        let now = self.now();
        let short_jobs = self.names["short"].as_array().expect("a list");
        for (task, (entry, started_at)) in &mut worker.tasks {
            let belongs_to = |job: &Value| job.as_str().is_some_and(|j| task.starts_with(j));
            if now - *started_at > 6.0
                && short_jobs.iter().any(belongs_to)
                && *entry != self.names["ended"]
            {
                let running = &self.names["running"];
                if entry[self.name("phase")] == running[self.name("phase")] {
                    merge(entry, &self.names["ended"]);
                }
            }
        }
        let count = worker.heartbeat[self.name("count")].as_u64().unwrap_or(0);
        worker.heartbeat[self.name("count")] = (count + 1).into();
        let entries: Vec<Value> = worker.tasks.values().map(|(e, _)| e.clone()).collect();
        worker.heartbeat[self.name("tasks")] = entries.into();
        worker.heartbeat.clone()
    }

    /// The cloud's answer.
    fn cloud(&self, method: &Method, path: &str, body: &Value) -> (u16, Value) {
        if path == self.name("types") {
            return (200, pinned_json("types.json"));
        }
        if method == Method::GET {
            let cluster = self.cluster.lock().expect("no panic");
            let mut answer = pinned_json("listed.json");
            let entry = |(name, worker): (&String, &SimulatedWorker)| {
                let mut entry = pinned_json("listed_one.json");
                merge(
                    &mut entry,
                    &select_fields(&self.names["same"], &worker.heartbeat),
                );
                entry[self.name("listed")] = name.clone().into();
                entry["address"] = worker.heartbeat["address"].clone();
                entry
            };
            let entries: Vec<Value> = cluster.workers.iter().map(entry).collect();
            answer[self.name("hosts")] = entries.into();
            return (200, answer);
        }
        let now = self.now();
        let mut cluster = self.cluster.lock().expect("no panic");
        if path != self.name("rentals") {
            for returned in body[self.name("hosts")].as_array().into_iter().flatten() {
                cluster
                    .workers
                    .remove(returned.as_str().unwrap_or_default());
            }
            return (200, json!({}));
        }
        let mut names = Vec::new();
        for _ in 0..body[self.name("number")].as_u64().unwrap_or(0) {
            let index = cluster.provisioned;
            cluster.provisioned += 1;
            let name = format!("vm-{index}");
            let mut heartbeat = pinned_json("worker.json");
            merge(&mut heartbeat, &select_fields(&self.names["same"], body));
            heartbeat[self.name("host")] = name.clone().into();
            heartbeat["address"] = format!("10.1.0.{index}:7000").into();
            let worker = SimulatedWorker {
                heartbeat,
                tasks: BTreeMap::new(),
                next_heartbeat_at: now + 1.0 + index as f64 / 8.0,
                hung: false,
            };
            cluster.workers.insert(name.clone(), worker);
            names.push(name);
        }
        let mut answer = json!({});
        answer[self.name("hosts")] = names.into();
        (200, answer)
    }

    /// The answer of the worker at an address.
    fn worker(&self, to: SocketAddr, body: &Value) -> (u16, Value) {
        let mut cluster = self.cluster.lock().expect("no panic");
        let to = to.to_string();
        let has_address =
            |(_, w): &(&String, &SimulatedWorker)| w.heartbeat["address"] == to.as_str();
        let Some(name) = cluster
            .workers
            .iter()
            .find(has_address)
            .map(|(n, _)| n.clone())
        else {
            return (503, json!({}));
        };
        self.execute(&mut cluster, &name, body);
        let worker = cluster.workers.get_mut(&name).expect("found above");
        (200, self.heartbeat(worker))
    }
}

/// The fields of `from` with these names.
fn select_fields(names: &Value, from: &Value) -> Value {
    let names = names.as_array().into_iter().flatten();
    let names = names.filter_map(Value::as_str);
    names
        .map(|n| (n.to_string(), from[n].clone()))
        .collect::<serde_json::Map<_, _>>()
        .into()
}

fn merge(into: &mut Value, from: &Value) {
    for (key, value) in from.as_object().into_iter().flatten() {
        into[key] = value.clone();
    }
}

impl Network for SimulatedNetwork {
    fn unix_ms(&self) -> u64 {
        START_UNIX_MS + self.start.elapsed().as_millis() as u64
    }

    fn call(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        body: Vec<u8>,
        deadline: Duration,
    ) -> CallFuture<'_> {
        let path = path.to_string();
        Box::pin(async move {
            sleep(Duration::from_millis(2)).await;
            let text = String::from_utf8(body.clone()).unwrap_or_else(|_| to_hex(&body));
            let parsed: Value = serde_json::from_slice(&body).unwrap_or_default();
            let (status, answer) = if to == self.state {
                if path.starts_with(self.name("watch")) {
                    let until = Instant::now() + deadline - Duration::from_millis(1500);
                    loop {
                        let found = self.cluster.lock().expect("no panic").state.changes(&path);
                        if let Some(found) = found {
                            break found;
                        }
                        if Instant::now() >= until {
                            break self.cluster.lock().expect("no panic").state.watch_timeout();
                        }
                        sleep(Duration::from_millis(10)).await;
                    }
                } else {
                    let now = self.now();
                    let mut cluster = self.cluster.lock().expect("no panic");
                    cluster.state.tick(now, 0.0);
                    cluster.state.handle(now, method.as_str(), &path, &body)
                }
            } else if to == self.cloud {
                self.cloud(&method, &path, &parsed)
            } else {
                self.worker(to, &parsed)
            };
            let mut cluster = self.cluster.lock().expect("no panic");
            // Reads and lease renewals are not recorded, because they depend on timing and their
            // bodies carry no information.
            let recorded = method != Method::GET && !path.ends_with(self.name("extend"));
            if recorded {
                cluster.requests.insert(format!("{method} {path} {text}"));
            }
            Ok(HttpResponse {
                status,
                body: answer.to_string().into_bytes().into(),
            })
        })
    }
}

/// Sends a request to the controller and records its answer.
async fn send(
    network: &SimulatedNetwork,
    api: &Api,
    method: Method,
    path: &str,
    body: &str,
) -> Value {
    let (path_only, query) = match path.split_once('?') {
        Some((path, query)) => (path, Some(query.to_string())),
        None => (path, None),
    };
    let request = ApiRequest {
        method: method.clone(),
        path: path_only.to_string(),
        query,
        authorization: network.names["authorization"].as_str().map(str::to_string),
        body: body.to_string().into(),
    };
    let answer = api.clone().public(request).await;
    let text = String::from_utf8(answer.body).expect("text");
    let retry_after = answer.retry_after_s.unwrap_or(0);
    let line = format!(
        "{method} {path} {body} -> {} {retry_after} {text}",
        answer.status
    );
    network
        .cluster
        .lock()
        .expect("no panic")
        .answers
        .insert(line);
    serde_json::from_str(&text).unwrap_or_default()
}

/// Sends the workers' heartbeats and executes the commands in the answers.
async fn run_workers(network: Arc<SimulatedNetwork>, api: Api) {
    loop {
        sleep(Duration::from_millis(25)).await;
        let now = network.now();
        let due: Vec<(String, Value)> = {
            let mut cluster = network.cluster.lock().expect("no panic");
            let due = cluster.workers.iter_mut();
            let due = due.filter(|(_, w)| !w.hung && w.next_heartbeat_at <= now);
            due.map(|(name, worker)| {
                worker.next_heartbeat_at = now + HEARTBEAT_INTERVAL_S;
                (name.clone(), network.heartbeat(worker))
            })
            .collect()
        };
        for (name, heartbeat) in due {
            let (network, api) = (network.clone(), api.clone());
            tokio::spawn(async move {
                let path = network.name("hello").to_string();
                let answer =
                    send(&network, &api, Method::POST, &path, &heartbeat.to_string()).await;
                let mut cluster = network.cluster.lock().expect("no panic");
                network.execute(&mut cluster, &name, &answer);
            });
        }
    }
}

/// Runs the steps of `script.json`. Returns the controller's requests and its answers.
async fn run_script() -> (Vec<String>, Vec<String>) {
    let settings: Settings =
        serde_json::from_value(pinned_json("settings.json")).expect("settings");
    let tuning = PathBuf::from(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/pinned/exchange/settings.hcl"
    ));
    let tuning = Tuning::load(&tuning).expect("valid settings");
    let network = Arc::new(SimulatedNetwork {
        cluster: Mutex::new(SimulatedCluster {
            state: StateService::default(),
            workers: BTreeMap::new(),
            provisioned: 0,
            requests: BTreeSet::new(),
            answers: BTreeSet::new(),
        }),
        start: Instant::now(),
        state: settings.external.state,
        cloud: settings.external.cloud,
        names: pinned_json("names.json"),
    });
    let (api, _tasks) = Api::start(settings, tuning, network.clone(), 1);
    tokio::spawn(run_workers(network.clone(), api.clone()));
    for step in pinned_json("script.json").as_array().expect("a list") {
        let at = step["at"].as_f64().expect("a time");
        sleep(Duration::from_secs_f64((at - network.now()).max(0.0))).await;
        if let Some(name) = step["hangs"].as_str() {
            let mut cluster = network.cluster.lock().expect("no panic");
            if let Some(worker) = cluster.workers.get_mut(name) {
                worker.hung = true;
            }
            continue;
        }
        let text = |name: &str| step[name].as_str().unwrap_or_default();
        let method = text("method").parse().expect("a method");
        let body = match &step["body"] {
            Value::Null => String::new(),
            body => body.to_string(),
        };
        send(&network, &api, method, text("path"), &body).await;
    }
    let cluster = network.cluster.lock().expect("no panic");
    let all = |set: &BTreeSet<String>| set.iter().cloned().collect();
    (all(&cluster.requests), all(&cluster.answers))
}

/// Checks that exactly the lines of a pinned file occurred.
fn assert_matches_pinned(file: &str, actual: &[String]) {
    let pinned_lines = pinned(file);
    let pinned_lines: BTreeSet<&str> = pinned_lines.lines().collect();
    let actual: BTreeSet<&str> = actual.iter().map(String::as_str).collect();
    let missing: Vec<&&str> = pinned_lines.difference(&actual).collect();
    let unexpected: Vec<&&str> = actual.difference(&pinned_lines).collect();
    assert!(
        missing.is_empty() && unexpected.is_empty(),
        "{file}: missing\n{missing:#?}\nunexpected\n{unexpected:#?}"
    );
}

#[tokio::test(start_paused = true)]
async fn requests_and_answers_match_the_pinned_exchange() {
    let (requests, answers) = run_script().await;
    assert_matches_pinned("said.txt", &requests);
    assert_matches_pinned("told.txt", &answers);
}
