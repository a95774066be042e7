//! The answers to users, workers, operators and peers must match those of an earlier build byte for
//! byte: status, `Retry-After` and body of each kind of answer. They are recorded under
//! `tests/pinned/api`. A difference means that clients of the HTTP interfaces see a change.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use copperfield::api::Api;
use copperfield::settings::{Operators, Settings, Tuning};
use copperfield::transport::client::{CallError, CallFuture, HttpResponse, Network};
use copperfield::transport::server::{ApiRequest, ApiResponse};
use copperfield_simulation::state_service::StateService;
use hyper::Method;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

const STATE: &str = "10.2.0.1:2379";
const CLOUD: &str = "10.2.0.2:8443";
const KEY: &str = "a-key-of-sixteen-bytes-or-more";

/// A state service that can be disconnected, and a cloud without workers. No peer answers.
struct FakeServices {
    state: Mutex<StateService>,
    start: Instant,
    state_reachable: AtomicBool,
    cloud_reachable: bool,
}

impl Network for FakeServices {
    /// A fixed wall-clock time.
    fn unix_ms(&self) -> u64 {
        1_700_000_000_000
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
            let to = to.to_string();
            if to == CLOUD && self.cloud_reachable && path == "/machine_types" {
                let types = json!({"flavors": [{"name": "small", "cpus": 8.0, "memory_gb": 32.0,
                    "price": 1.0, "regions": ["a"]}]});
                let body = types.to_string().into();
                return Ok(HttpResponse { status: 200, body });
            }
            if to != STATE
                || !self.state_reachable.load(Ordering::Relaxed)
                || path.starts_with("/watch")
            {
                sleep(deadline).await;
                return Err(CallError::Unknown("no answer".into()));
            }
            let now = self.start.elapsed().as_secs_f64();
            let mut state = self.state.lock().expect("no panic while held");
            let (status, value) = state.handle(now, method.as_str(), &path, &body);
            let body = value.to_string().into();
            Ok(HttpResponse { status, body })
        })
    }
}

/// A controller with its services, and the answers that it has given.
struct TestController {
    services: Arc<FakeServices>,
    api: Api,
    answers: Vec<String>,
}

fn settings(others: Value) -> Settings {
    let value = json!({"member": "host-0", "site": "a", "public_addr": "10.0.0.1:8080",
        "peer_bind": "10.0.0.1:8081", "others": others,
        "external": {"cloud": CLOUD, "state": STATE},
        "cluster": {"count": 1, "zones": ["a"], "objectives": [],
            "teams": [{"name": "team"}, {"name": "small", "cpus_max": 2.5, "gpus_max": 1.0}],
            "workers": {"report_s": 2.5, "lease_s": 10.0, "gang_wait_s": 20.0, "gang_peer_s": 2.0, "cancel_s": 16.0},
            "state": {"rps": 400, "write_rps": 100, "value_kb": 1, "txn_ops": 12}, "cloud": {"rps": 2},
            "limits": {"max_sockets": 20_000}, "clock_error_ms": 25}});
    serde_json::from_value(value).expect("valid settings")
}

impl TestController {
    /// `admin_enabled`: whether the operators' endpoints are enabled.
    fn new(admin_enabled: bool, cloud_reachable: bool, others: Value) -> Self {
        let services = Arc::new(FakeServices {
            state: Mutex::default(),
            start: Instant::now(),
            state_reachable: AtomicBool::new(cloud_reachable),
            cloud_reachable,
        });
        let tuning = Tuning {
            operators: admin_enabled.then(|| Operators { key: KEY.into() }),
            ..Tuning::default()
        };
        let (api, _tasks) = Api::start(settings(others), tuning, services.clone(), 1);
        Self {
            services,
            api,
            answers: Vec::new(),
        }
    }

    fn disconnect_state_service(&self) {
        self.services
            .state_reachable
            .store(false, Ordering::Relaxed);
    }

    /// Records an answer as one line in the format of the pinned files.
    fn record(&mut self, request: &str, answer: &ApiResponse) {
        let body = String::from_utf8_lossy(&answer.body);
        let retry_after = answer.retry_after_s.map_or("-".into(), |s| s.to_string());
        let line = format!("{request} => {} {retry_after} {body}", answer.status);
        self.answers.push(line);
    }

    async fn send(&mut self, method: Method, path: &str, body: &str) {
        self.send_with_key(method, path, body, None).await;
    }

    async fn send_with_key(&mut self, method: Method, path: &str, body: &str, key: Option<&str>) {
        let (path_only, query) = match path.split_once('?') {
            Some((path, query)) => (path, Some(query.to_string())),
            None => (path, None),
        };
        let request = ApiRequest {
            method: method.clone(),
            path: path_only.into(),
            query,
            authorization: key.map(str::to_string),
            body: Bytes::from(body.to_string()),
        };
        let answer = self.api.clone().public(request).await;
        self.record(&format!("{method} {path} {body}"), &answer);
    }

    async fn send_as_peer(&mut self, body: &'static [u8]) {
        let request = ApiRequest {
            method: Method::POST,
            path: "/".into(),
            query: None,
            authorization: None,
            body: Bytes::from_static(body),
        };
        let mut answer = self.api.clone().peer(request).await;
        if answer.status == 200 {
            answer.body = format!("{:?}", answer.body).into_bytes();
        }
        self.record(&format!("peer {body:?}"), &answer);
    }

    /// Submits a job with `changes` to the default fields.
    async fn submit(&mut self, changes: Value) {
        let mut body = json!({"uid": "wk-000001", "jobclass": "train", "owner": "team",
            "shape": "sweep", "rank": "normal", "shards": 2, "cpus": 1.0, "gpus": 0.0,
            "memory_gb": 1.0, "bundle": "img", "pull_gb": 1.0, "one_zone": false, "spread": false,
            "preemptibles": false, "runtime_s": 10.0, "snapshot_every_s": 0.0, "snapshot_s": 0.0});
        for (name, value) in changes.as_object().expect("an object") {
            body[name] = value.clone();
        }
        self.send(Method::POST, "/work", &body.to_string()).await;
    }

    /// Sends a worker's heartbeat with `changes` to the default fields.
    async fn heartbeat(&mut self, changes: Value) {
        let mut body = json!({"host": "vm-1", "address": "10.1.0.1:9000", "flavor": "small",
            "region": "a", "tenure": 1, "counter": 1, "fence": 0, "shards": []});
        for (name, value) in changes.as_object().expect("an object") {
            body[name] = value.clone();
        }
        self.send(Method::POST, "/hello", &body.to_string()).await;
    }

    /// Disconnects the state service, and sends requests of each kind at once and 20 s later.
    async fn send_without_state_service(&mut self, key: Option<&str>) {
        let (get, post) = (|| Method::GET, || Method::POST);
        self.disconnect_state_service();
        self.submit(json!({"uid": "wk-000002"})).await;
        self.submit(json!({"uid": "wk-000003", "cpus": 9.0})).await;
        self.send(post(), "/work/wk-000004/withdraw", "{}").await;
        self.send(get(), "/work/wk-000005", "").await;
        sleep(Duration::from_secs(20)).await;
        self.send(get(), "/healthz", "").await;
        self.submit(json!({"uid": "wk-000006"})).await;
        self.send(post(), "/work/wk-000007/withdraw", "{}").await;
        self.send(get(), "/work/wk-000008", "").await;
        self.heartbeat(json!({"counter": 2})).await;
        self.send_with_key(get(), "/operator/moves", "", key).await;
    }
}

/// The answers of a leader: to valid and invalid requests of each kind, and again after its state
/// service is disconnected.
async fn leader_answers() -> Vec<String> {
    let mut controller = TestController::new(true, true, json!([]));
    sleep(Duration::from_secs(20)).await;
    let get = || Method::GET;
    let post = || Method::POST;
    controller.send(get(), "/healthz", "").await;

    for path in ["/", "/work", "/workers", "/hello", "/work/7"] {
        controller.send(get(), path, "").await;
    }
    for path in ["/work/7/withdraw", "/work/wk-000009/withdraw"] {
        controller.send(post(), path, "{}").await;
    }
    controller.send(post(), "/work/wk-000009", "{}").await;
    controller.send(get(), "/work/wk-000009/withdraw", "").await;
    controller.send(Method::DELETE, "/work/wk-000009", "").await;
    controller.send(get(), "/work/wk-000009", "").await;

    controller.send(post(), "/work", "{").await;
    controller.send(post(), "/work", "[]").await;
    controller.submit(json!({"shape": "array"})).await;
    controller.submit(json!({"gpus": null})).await;
    controller.submit(json!({"owner": "no\"body"})).await;
    controller.submit(json!({"cpus": 9.0})).await;
    controller.submit(json!({"region": "b"})).await;
    controller.submit(json!({"flavors": ["large"]})).await;
    controller
        .submit(json!({"owner": "small", "cpus": 2.6}))
        .await;
    controller
        .submit(json!({"owner": "small", "shape": "group", "cpus": 1.3}))
        .await;
    controller
        .submit(json!({"flavors": vec![json!("small".repeat(40)); 8], "region": null}))
        .await;
    controller
        .submit(json!({"flavors": ["small", "l".repeat(190), "m".repeat(190), "n".repeat(190), "o".repeat(190)],
            "bundle": "p".repeat(190), "jobclass": "q".repeat(190)}))
        .await;
    controller.submit(json!({})).await;
    controller.submit(json!({})).await;
    controller.submit(json!({"cpus": 9.0})).await;
    controller.send(get(), "/work/wk-000001", "").await;
    controller
        .send(post(), "/work/wk-000001/withdraw", "{}")
        .await;
    controller
        .send(post(), "/work/wk-000001/withdraw", "{}")
        .await;
    controller.send(get(), "/work/wk-000001", "").await;
    controller.submit(json!({})).await;

    controller.heartbeat(json!({})).await;
    controller.heartbeat(json!({"address": "nowhere"})).await;
    controller.heartbeat(json!({"host": ""})).await;
    controller.heartbeat(json!({"tenure": "1"})).await;

    let key = format!("Bearer {KEY}");
    let key = Some(key.as_str());
    controller.send(get(), "/operator/nodes", "").await;
    for wrong in [KEY, "Bearer wrong", ""] {
        let page = "/operator/nodes";
        controller.send_with_key(get(), page, "", Some(wrong)).await;
    }
    for page in ["nodes", "nodes?since=vm-1", "moves", "other", ""] {
        let path = format!("/operator/{page}");
        controller.send_with_key(get(), &path, "", key).await;
    }
    for (page, body) in [
        ("nodes", ""),
        ("nodes/vm-1", ""),
        ("nodes/vm-1/other", ""),
        ("nodes/vm-9/drain", ""),
        ("nodes/vm-1/drain", "{"),
        ("nodes/vm-1/drain", "{\"deadline_s\": -1}"),
        ("nodes/vm-1/drain", "{\"deadline_s\": 1000000.5}"),
        ("nodes/vm-1/drain", "{\"deadline_s\": 60}"),
        ("nodes/vm-1/undrain", ""),
        ("nodes/vm-9/undrain", ""),
    ] {
        let path = format!("/operator/{page}");
        controller.send_with_key(post(), &path, body, key).await;
    }

    controller.send_as_peer(&[]).await;
    controller.send_as_peer(&[200, 1, 2]).await;
    controller.send_as_peer(&[4]).await;
    controller.send_as_peer(&[6]).await;

    controller.send_without_state_service(key).await;
    controller.answers
}

/// The answers of a controller that led until its state service was disconnected. Without the vote of
/// its peer, which never answers, it leads no longer.
async fn former_leader_answers() -> Vec<String> {
    let mut controller = TestController::new(true, true, unreachable_peer());
    sleep(Duration::from_secs(20)).await;
    controller.heartbeat(json!({})).await;
    let key = format!("Bearer {KEY}");
    controller.send_without_state_service(Some(&key)).await;
    controller.answers
}

fn unreachable_peer() -> Value {
    json!([{"member": "host-1", "peer_addr": "10.0.0.2:8081"}])
}

/// The answers of a controller that has never reached the state service or a peer.
async fn cut_off_controller_answers() -> Vec<String> {
    let mut controller = TestController::new(false, false, unreachable_peer());
    controller.send(Method::GET, "/healthz", "").await;
    controller.submit(json!({})).await;
    controller.heartbeat(json!({})).await;
    sleep(Duration::from_secs(10)).await;
    controller.send(Method::GET, "/healthz", "").await;
    controller.submit(json!({})).await;
    controller.send(Method::GET, "/work/wk-000001", "").await;
    controller
        .send(Method::POST, "/work/wk-000001/withdraw", "{}")
        .await;
    controller.send(Method::GET, "/operator/nodes", "").await;
    controller.answers
}

/// Runs a scenario in simulated time.
fn simulate(scenario: impl Future<Output = Vec<String>>) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    runtime.expect("a runtime").block_on(scenario)
}

/// Checks the answers line by line against a pinned file.
fn assert_matches_pinned(file: &str, answers: &[String]) {
    let path = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/pinned/api")).join(file);
    let pinned =
        std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    for (pinned, answer) in pinned.lines().zip(answers) {
        assert_eq!(answer, pinned, "{file}");
    }
    assert_eq!(pinned.lines().count(), answers.len(), "{file}");
}

#[test]
fn leader_answers_match_the_pinned_file() {
    assert_matches_pinned("leading.txt", &simulate(leader_answers()));
}

#[test]
fn former_leader_answers_match_the_pinned_file() {
    assert_matches_pinned("former_leader.txt", &simulate(former_leader_answers()));
}

#[test]
fn cut_off_controller_answers_match_the_pinned_file() {
    let answers = simulate(cut_off_controller_answers());
    assert_matches_pinned("cut_off.txt", &answers);
}
