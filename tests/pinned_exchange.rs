//! All that a controller says on a small site, to users, workers, operators, the state service,
//! the cloud and another controller, as an earlier build said it. `tests/pinned/exchange` keeps
//! it; it is never made anew: a difference is a change of the wire or of what is stored.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use copperfield::api::Api;
use copperfield::settings::{Settings, Tuning};
use copperfield::transport::client::{Answer, CallFuture, Network};
use copperfield::transport::server::ApiRequest;
use copperfield_simulation::state_service::StateService;
use hyper::Method;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

/// The time of day at which the site begins.
const BEGIN_MS: u64 = 1_700_000_000_000;
/// Workers report so often.
const EVERY_S: f64 = 2.0;

fn pinned(file: &str) -> String {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/pinned/exchange");
    let path = PathBuf::from(dir).join(file);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn value(file: &str) -> Value {
    serde_json::from_str(&pinned(file)).expect(file)
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// A worker that obeys at once. Its report is what `worker.json` has, with what changes.
struct Obedient {
    heartbeat: Value,
    /// By the task's name: its entry in the report, and when it began.
    has: BTreeMap<String, (Value, f64)>,
    reports_at: f64,
    hung: bool,
}

struct SimulatedCluster {
    state: StateService,
    workers: BTreeMap<String, Obedient>,
    rented: usize,
    /// Said to the outside, with each answer; the same is noted once.
    said: BTreeSet<String>,
    forwarded: BTreeSet<String>,
}

struct Net {
    world: Mutex<SimulatedCluster>,
    begin: Instant,
    state: SocketAddr,
    cloud: SocketAddr,
    /// How the exchange's bodies are spelled.
    names: Value,
}

impl Net {
    fn now(&self) -> f64 {
        self.begin.elapsed().as_secs_f64()
    }

    fn name(&self, which: &str) -> &str {
        self.names[which].as_str().unwrap_or_default()
    }

    /// Carries orders out.
    fn execute(&self, world: &mut SimulatedCluster, worker: &str, orders: &Value) {
        let now = self.now();
        let Some(worker) = world.workers.get_mut(worker) else {
            return;
        };
        let fence = self.name("fence");
        if orders[fence].is_u64() {
            worker.heartbeat[fence] = orders[fence].clone();
        }
        for order in orders[self.name("orders")].as_array().into_iter().flatten() {
            let task = order[self.name("task")]
                .as_str()
                .unwrap_or_default()
                .to_string();
            let verb = order[self.name("verb")].as_str().unwrap_or_default();
            if verb == self.name("start") {
                let mut entry = self.names["running"].clone();
                entry[self.name("task")] = task.clone().into();
                entry[self.name("try")] = order[self.name("try")].clone();
                worker.has.insert(task, (entry, now));
            } else if verb == self.name("halt") {
                if let Some((entry, _)) = worker.has.get_mut(&task) {
                    merge(entry, &self.names["halted"]);
                }
            } else {
                worker.has.remove(&task);
            }
        }
    }

    /// The next report of a worker. What has run for 6 s has ended, if it is of a short job.
    fn heartbeat(&self, worker: &mut Obedient) -> Value {
        let now = self.now();
        let short = self.names["short"].as_array().expect("a list");
        for (task, (entry, began)) in &mut worker.has {
            let of = |job: &Value| job.as_str().is_some_and(|j| task.starts_with(j));
            if now - *began > 6.0 && short.iter().any(of) && *entry != self.names["ended"] {
                let running = &self.names["running"];
                if entry[self.name("phase")] == running[self.name("phase")] {
                    merge(entry, &self.names["ended"]);
                }
            }
        }
        let count = worker.heartbeat[self.name("count")].as_u64().unwrap_or(0);
        worker.heartbeat[self.name("count")] = (count + 1).into();
        let entries: Vec<Value> = worker.has.values().map(|(e, _)| e.clone()).collect();
        worker.heartbeat[self.name("tasks")] = entries.into();
        worker.heartbeat.clone()
    }

    fn cloud(&self, method: &Method, path: &str, body: &Value) -> (u16, Value) {
        if path == self.name("types") {
            return (200, value("types.json"));
        }
        if method == Method::GET {
            let world = self.world.lock().expect("no panic");
            let mut answer = value("listed.json");
            let entry = |(name, worker): (&String, &Obedient)| {
                let mut entry = value("listed_one.json");
                merge(&mut entry, &same(&self.names["same"], &worker.heartbeat));
                entry[self.name("listed")] = name.clone().into();
                entry["address"] = worker.heartbeat["address"].clone();
                entry
            };
            let entries: Vec<Value> = world.workers.iter().map(entry).collect();
            answer[self.name("hosts")] = entries.into();
            return (200, answer);
        }
        let now = self.now();
        let mut world = self.world.lock().expect("no panic");
        if path != self.name("rentals") {
            for gone in body[self.name("hosts")].as_array().into_iter().flatten() {
                world.workers.remove(gone.as_str().unwrap_or_default());
            }
            return (200, json!({}));
        }
        let mut names = Vec::new();
        for _ in 0..body[self.name("number")].as_u64().unwrap_or(0) {
            let number = world.rented;
            world.rented += 1;
            let name = format!("vm-{number}");
            let mut heartbeat = value("worker.json");
            merge(&mut heartbeat, &same(&self.names["same"], body));
            heartbeat[self.name("host")] = name.clone().into();
            heartbeat["address"] = format!("10.1.0.{number}:7000").into();
            let worker = Obedient {
                heartbeat,
                has: BTreeMap::new(),
                reports_at: now + 1.0 + number as f64 / 8.0,
                hung: false,
            };
            world.workers.insert(name.clone(), worker);
            names.push(name);
        }
        let mut answer = json!({});
        answer[self.name("hosts")] = names.into();
        (200, answer)
    }

    fn worker(&self, to: SocketAddr, body: &Value) -> (u16, Value) {
        let mut world = self.world.lock().expect("no panic");
        let to = to.to_string();
        let at = |(_, w): &(&String, &Obedient)| w.heartbeat["address"] == to.as_str();
        let Some(name) = world.workers.iter().find(at).map(|(n, _)| n.clone()) else {
            return (503, json!({}));
        };
        self.execute(&mut world, &name, body);
        let worker = world.workers.get_mut(&name).expect("found above");
        (200, self.heartbeat(worker))
    }
}

/// What has the same name in both.
fn same(names: &Value, from: &Value) -> Value {
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

impl Network for Net {
    fn unix_ms(&self) -> u64 {
        BEGIN_MS + self.begin.elapsed().as_millis() as u64
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
                        let found = self.world.lock().expect("no panic").state.changes(&path);
                        if let Some(found) = found {
                            break found;
                        }
                        if Instant::now() >= until {
                            break self.world.lock().expect("no panic").state.watch_timeout();
                        }
                        sleep(Duration::from_millis(10)).await;
                    }
                } else {
                    let now = self.now();
                    let mut world = self.world.lock().expect("no panic");
                    world.state.tick(now, 0.0);
                    world.state.handle(now, method.as_str(), &path, &body)
                }
            } else if to == self.cloud {
                self.cloud(&method, &path, &parsed)
            } else {
                self.worker(to, &parsed)
            };
            let mut world = self.world.lock().expect("no panic");
            // Reads and renewals go with the clock, and have no body worth keeping.
            let kept = method != Method::GET && !path.ends_with(self.name("extend"));
            if kept {
                world.said.insert(format!("{method} {path} {text}"));
            }
            Ok(Answer {
                status,
                body: answer.to_string().into_bytes().into(),
            })
        })
    }
}

/// A request to the controller; what it answers is noted.
async fn ask(net: &Net, service: &Api, method: Method, path: &str, body: &str) -> Value {
    let (path_only, query) = match path.split_once('?') {
        Some((path, query)) => (path, Some(query.to_string())),
        None => (path, None),
    };
    let request = ApiRequest {
        method: method.clone(),
        path: path_only.to_string(),
        query,
        authorization: net.names["authorization"].as_str().map(str::to_string),
        body: body.to_string().into(),
    };
    let answer = service.clone().public(request).await;
    let text = String::from_utf8(answer.body).expect("text");
    let again = answer.retry_after_s.unwrap_or(0);
    let note = format!("{method} {path} {body} -> {} {again} {text}", answer.status);
    net.world.lock().expect("no panic").forwarded.insert(note);
    serde_json::from_str(&text).unwrap_or_default()
}

async fn workers(net: Arc<Net>, service: Api) {
    loop {
        sleep(Duration::from_millis(25)).await;
        let now = net.now();
        let due: Vec<(String, Value)> = {
            let mut world = net.world.lock().expect("no panic");
            let due = world.workers.iter_mut();
            let due = due.filter(|(_, w)| !w.hung && w.reports_at <= now);
            due.map(|(name, worker)| {
                worker.reports_at = now + EVERY_S;
                (name.clone(), net.heartbeat(worker))
            })
            .collect()
        };
        for (name, heartbeat) in due {
            let (net, service) = (net.clone(), service.clone());
            tokio::spawn(async move {
                let path = net.name("hello").to_string();
                let answer = ask(&net, &service, Method::POST, &path, &heartbeat.to_string()).await;
                let mut world = net.world.lock().expect("no panic");
                net.execute(&mut world, &name, &answer);
            });
        }
    }
}

/// Plays what `script.json` says, and returns what was said to the outside, and what was told.
async fn play() -> (Vec<String>, Vec<String>) {
    let settings: Settings = serde_json::from_value(value("settings.json")).expect("settings");
    let tuning = PathBuf::from(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/pinned/exchange/settings.hcl"
    ));
    let tuning = Tuning::load(&tuning).expect("good");
    let net = Arc::new(Net {
        world: Mutex::new(SimulatedCluster {
            state: StateService::default(),
            workers: BTreeMap::new(),
            rented: 0,
            said: BTreeSet::new(),
            forwarded: BTreeSet::new(),
        }),
        begin: Instant::now(),
        state: settings.external.state,
        cloud: settings.external.cloud,
        names: value("names.json"),
    });
    let (service, _owner) = Api::start(settings, tuning, net.clone(), 1);
    tokio::spawn(workers(net.clone(), service.clone()));
    for step in value("script.json").as_array().expect("a list") {
        let at = step["at"].as_f64().expect("a time");
        sleep(Duration::from_secs_f64((at - net.now()).max(0.0))).await;
        if let Some(name) = step["hangs"].as_str() {
            let mut world = net.world.lock().expect("no panic");
            if let Some(worker) = world.workers.get_mut(name) {
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
        ask(&net, &service, method, text("path"), &body).await;
    }
    let world = net.world.lock().expect("no panic");
    let all = |set: &BTreeSet<String>| set.iter().cloned().collect();
    (all(&world.said), all(&world.forwarded))
}

fn check(file: &str, made: &[String]) {
    let kept = pinned(file);
    let kept: BTreeSet<&str> = kept.lines().collect();
    let made: BTreeSet<&str> = made.iter().map(String::as_str).collect();
    let missing: Vec<&&str> = kept.difference(&made).collect();
    let new: Vec<&&str> = made.difference(&kept).collect();
    assert!(
        missing.is_empty() && new.is_empty(),
        "{file}: no more\n{missing:#?}\nnew\n{new:#?}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_controller_says_what_it_said() {
    let (said, forwarded) = play().await;
    check("said.txt", &said);
    check("told.txt", &forwarded);
}
