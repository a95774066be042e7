//! What users, workers, operators and peers are answered, byte for byte: status, `Retry-After` and
//! body of each kind of answer, against the file that an earlier build wrote.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use copperfield::api::Api;
use copperfield::settings::{Operators, Settings, Tuning};
use copperfield::transport::client::{Answer, CallError, CallFuture, Network};
use copperfield::transport::server::{ApiRequest, ApiResponse};
use copperfield_simulation::state_service::StateService;
use hyper::Method;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

const STATE: &str = "10.2.0.1:2379";
const CLOUD: &str = "10.2.0.2:8443";
const KEY: &str = "a-key-of-sixteen-bytes-or-more";

/// A state service that can be cut off, and a cloud without workers. No peer answers.
struct Outside {
    state: Mutex<StateService>,
    start: Instant,
    state_reachable: AtomicBool,
    cloud_reachable: bool,
}

impl Network for Outside {
    /// A fixed time of day.
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
                return Ok(Answer { status: 200, body });
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
            Ok(Answer { status, body })
        })
    }
}

/// A controller and its surroundings, and the answers it has given.
struct Scene {
    outside: Arc<Outside>,
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

impl Scene {
    /// `operators`: whether their endpoints are switched on.
    fn new(operators: bool, cloud_reachable: bool, others: Value) -> Self {
        let outside = Arc::new(Outside {
            state: Mutex::default(),
            start: Instant::now(),
            state_reachable: AtomicBool::new(cloud_reachable),
            cloud_reachable,
        });
        let tuning = Tuning {
            operators: operators.then(|| Operators { key: KEY.into() }),
            ..Tuning::default()
        };
        let (api, _tasks) = Api::start(settings(others), tuning, outside.clone(), 1);
        Self {
            outside,
            api,
            answers: Vec::new(),
        }
    }

    fn cut_state_service_off(&self) {
        self.outside.state_reachable.store(false, Ordering::Relaxed);
    }

    fn record(&mut self, request: &str, answer: &ApiResponse) {
        let body = String::from_utf8_lossy(&answer.body);
        let retry = answer.retry_after_s.map_or("-".into(), |s| s.to_string());
        let line = format!("{request} => {} {retry} {body}", answer.status);
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

    async fn heartbeat(&mut self, changes: Value) {
        let mut body = json!({"host": "vm-1", "address": "10.1.0.1:9000", "flavor": "small",
            "region": "a", "tenure": 1, "counter": 1, "fence": 0, "shards": []});
        for (name, value) in changes.as_object().expect("an object") {
            body[name] = value.clone();
        }
        self.send(Method::POST, "/hello", &body.to_string()).await;
    }
}

async fn leading_controller() -> Vec<String> {
    let mut scene = Scene::new(true, true, json!([]));
    sleep(Duration::from_secs(20)).await;
    let get = || Method::GET;
    let post = || Method::POST;
    scene.send(get(), "/healthz", "").await;

    for path in ["/", "/work", "/workers", "/hello", "/work/7"] {
        scene.send(get(), path, "").await;
    }
    for path in ["/work/7/withdraw", "/work/wk-000009/withdraw"] {
        scene.send(post(), path, "{}").await;
    }
    scene.send(post(), "/work/wk-000009", "{}").await;
    scene.send(get(), "/work/wk-000009/withdraw", "").await;
    scene.send(Method::DELETE, "/work/wk-000009", "").await;
    scene.send(get(), "/work/wk-000009", "").await;

    scene.send(post(), "/work", "{").await;
    scene.send(post(), "/work", "[]").await;
    scene.submit(json!({"shape": "array"})).await;
    scene.submit(json!({"gpus": null})).await;
    scene.submit(json!({"owner": "no\"body"})).await;
    scene.submit(json!({"cpus": 9.0})).await;
    scene.submit(json!({"region": "b"})).await;
    scene.submit(json!({"flavors": ["large"]})).await;
    scene.submit(json!({"owner": "small", "cpus": 2.6})).await;
    scene
        .submit(json!({"owner": "small", "shape": "group", "cpus": 1.3}))
        .await;
    scene
        .submit(json!({"flavors": vec![json!("small".repeat(40)); 8], "region": null}))
        .await;
    scene
        .submit(json!({"flavors": ["small", "l".repeat(190), "m".repeat(190), "n".repeat(190), "o".repeat(190)],
            "bundle": "p".repeat(190), "jobclass": "q".repeat(190)}))
        .await;
    scene.submit(json!({})).await;
    scene.submit(json!({})).await;
    scene.submit(json!({"cpus": 9.0})).await;
    scene.send(get(), "/work/wk-000001", "").await;
    scene.send(post(), "/work/wk-000001/withdraw", "{}").await;
    scene.send(post(), "/work/wk-000001/withdraw", "{}").await;
    scene.send(get(), "/work/wk-000001", "").await;
    scene.submit(json!({})).await;

    scene.heartbeat(json!({})).await;
    scene.heartbeat(json!({"address": "nowhere"})).await;
    scene.heartbeat(json!({"host": ""})).await;
    scene.heartbeat(json!({"tenure": "1"})).await;

    let key = format!("Bearer {KEY}");
    let key = Some(key.as_str());
    scene.send(get(), "/operator/nodes", "").await;
    for wrong in [KEY, "Bearer wrong", ""] {
        let page = "/operator/nodes";
        scene.send_with_key(get(), page, "", Some(wrong)).await;
    }
    for page in ["nodes", "nodes?since=vm-1", "moves", "other", ""] {
        let path = format!("/operator/{page}");
        scene.send_with_key(get(), &path, "", key).await;
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
        scene.send_with_key(post(), &path, body, key).await;
    }

    scene.send_as_peer(&[]).await;
    scene.send_as_peer(&[200, 1, 2]).await;
    scene.send_as_peer(&[4]).await;
    scene.send_as_peer(&[6]).await;

    scene.cut_state_service_off();
    scene.submit(json!({"uid": "wk-000002"})).await;
    scene.submit(json!({"uid": "wk-000003", "cpus": 9.0})).await;
    scene.send(post(), "/work/wk-000004/withdraw", "{}").await;
    scene.send(get(), "/work/wk-000005", "").await;
    sleep(Duration::from_secs(20)).await;
    scene.send(get(), "/healthz", "").await;
    scene.submit(json!({"uid": "wk-000006"})).await;
    scene.send(post(), "/work/wk-000007/withdraw", "{}").await;
    scene.send(get(), "/work/wk-000008", "").await;
    scene.heartbeat(json!({"counter": 2})).await;
    scene.send_with_key(get(), "/operator/moves", "", key).await;
    scene.answers
}

async fn controller_cut_off_from_the_start() -> Vec<String> {
    let others = json!([{"member": "host-1", "peer_addr": "10.0.0.2:8081"}]);
    let mut scene = Scene::new(false, false, others);
    scene.send(Method::GET, "/healthz", "").await;
    scene.submit(json!({})).await;
    scene.heartbeat(json!({})).await;
    sleep(Duration::from_secs(10)).await;
    scene.send(Method::GET, "/healthz", "").await;
    scene.submit(json!({})).await;
    scene.send(Method::GET, "/work/wk-000001", "").await;
    scene
        .send(Method::POST, "/work/wk-000001/withdraw", "{}")
        .await;
    scene.send(Method::GET, "/operator/nodes", "").await;
    scene.answers
}

fn simulate(day: impl Future<Output = Vec<String>>) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    runtime.expect("a runtime").block_on(day)
}

fn assert_as_pinned(file: &str, answers: &[String]) {
    let path = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/pinned/api")).join(file);
    let pinned =
        std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    for (pinned, answer) in pinned.lines().zip(answers) {
        assert_eq!(answer, pinned, "{file}");
    }
    assert_eq!(pinned.lines().count(), answers.len(), "{file}");
}

#[test]
fn a_leading_controller_answers_every_request_as_before() {
    assert_as_pinned("leading.txt", &simulate(leading_controller()));
}

#[test]
fn a_controller_that_is_cut_off_answers_as_before() {
    let answers = simulate(controller_cut_off_from_the_start());
    assert_as_pinned("cut_off.txt", &answers);
}
