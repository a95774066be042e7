//! A controller on a site of 6,000 workers, more than any site in operation has.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use copperfield::api::Api;
use copperfield::protocol::peer::{PeerRequest, ShardStatus, ShardUpdate};
use copperfield::protocol::worker::{Exit, Heartbeat, TaskPhase, TaskStatus};
use copperfield::protocol::{JobId, MAX_PEER_BODY_BYTES};
use copperfield::settings::{Settings, Tuning};
use copperfield::transport::client::{CallFuture, HttpResponse, Network};
use copperfield::transport::server::ApiRequest;
use copperfield_heartbeat_forwarder::HeartbeatForwarder;
use copperfield_sharding::{ShardChange, ShardLease};
use copperfield_simulation::cluster::Site;
use copperfield_simulation::loopback::{Loopback, free_address};
use copperfield_simulation::state_service::StateService;
use hyper::Method;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

const WORKERS: usize = 6000;
const STATE: &str = "10.2.0.1:2379";
const CLOUD: &str = "10.2.0.2:8443";
/// Number of workers on one page of the list that the fake cloud serves.
const CLOUD_PAGE_WORKERS: usize = 500;

/// A fake state service, which answers no list request until `answers_lists` is set, and a fake
/// cloud whose list contains every worker.
struct FakeServices {
    state: Mutex<StateService>,
    start: Instant,
    answers_lists: AtomicBool,
    /// Cloud lists whose first page was requested, and those whose last page was.
    lists_started: AtomicUsize,
    lists_completed: AtomicUsize,
}

impl FakeServices {
    fn new(answers_lists: bool) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            start: Instant::now(),
            answers_lists: AtomicBool::new(answers_lists),
            lists_started: AtomicUsize::new(0),
            lists_completed: AtomicUsize::new(0),
        })
    }

    fn cloud(&self, path: &str) -> Value {
        if path == "/machine_types" {
            return json!({"flavors": []});
        }
        let since = path.split_once("since=vm-");
        let next = since.map_or(0, |(_, s)| {
            1 + s[..6].parse::<usize>().expect("a worker name of this test")
        });
        let end = WORKERS.min(next + CLOUD_PAGE_WORKERS);
        self.lists_started
            .fetch_add(usize::from(next == 0), Ordering::Relaxed);
        self.lists_completed
            .fetch_add(usize::from(end == WORKERS), Ordering::Relaxed);
        let host = |i| json!({"uid": format!("vm-{i:06}"), "flavor": "small", "region": "a", "phase": "running"});
        let hosts: Vec<Value> = (next..end).map(host).collect();
        json!({"hosts": hosts, "more": end < WORKERS})
    }
}

impl Network for FakeServices {
    fn call(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        body: Vec<u8>,
        _deadline: Duration,
    ) -> CallFuture<'_> {
        let path = path.to_string();
        Box::pin(async move {
            if to == CLOUD.parse().expect("an address") {
                let body = self.cloud(&path).to_string().into();
                return Ok(HttpResponse { status: 200, body });
            }
            if to != STATE.parse().expect("an address") || path.starts_with("/watch") {
                std::future::pending::<()>().await;
            }
            while path.starts_with("/kv?") && !self.answers_lists.load(Ordering::Relaxed) {
                sleep(Duration::from_millis(10)).await;
            }
            let now = self.start.elapsed().as_secs_f64();
            let mut state = self.state.lock().expect("no panic while held");
            let (status, value) = state.handle(now, method.as_str(), &path, &body);
            let body = value.to_string().into();
            Ok(HttpResponse { status, body })
        })
    }
}

fn settings() -> Settings {
    let value = json!({"member": "host-0", "site": "a", "public_addr": "10.0.0.1:8080",
        "peer_bind": "10.0.0.1:8081", "others": [],
        "external": {"cloud": CLOUD, "state": STATE},
        "cluster": {"count": 1, "zones": ["a"], "teams": [{"name": "team"}], "objectives": [],
            "workers": {"report_s": 2.5, "lease_s": 10.0, "gang_wait_s": 20.0, "gang_peer_s": 2.0, "cancel_s": 16.0},
            "state": {"rps": 400, "write_rps": 100, "value_kb": 8, "txn_ops": 12}, "cloud": {"rps": 2},
            "limits": {"max_sockets": 20_000}, "clock_error_ms": 25}});
    serde_json::from_value(value).expect("valid settings")
}

fn heartbeat(worker: usize) -> ApiRequest {
    let body = json!({"host": format!("vm-{worker:06}"), "address": "10.1.0.1:9000", "flavor": "small",
        "region": "a", "tenure": 1, "counter": 1, "fence": 0, "shards": []});
    ApiRequest {
        method: Method::POST,
        path: "/hello".into(),
        query: None,
        authorization: None,
        body: Bytes::from(body.to_string()),
    }
}

/// Runs a scenario in simulated time.
fn run_in_simulated_time(scenario: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    runtime.expect("a runtime").block_on(scenario);
}

/// Guards against refusing heartbeats after a failover. One heartbeat of each worker waits until
/// the new leader has read the stored state, and is then answered. A limit of 2,048 waiting
/// heartbeats was too low: 4,000 workers send that many in 1.3 s.
#[test]
fn heartbeats_of_all_workers_wait_until_a_new_leader_has_read_the_state() {
    run_in_simulated_time(async {
        let network = FakeServices::new(false);
        let tuning = Tuning::default();
        let (service, _owner) = Api::start(settings(), tuning, network.clone(), 1);
        sleep(Duration::from_secs(1)).await;
        let mut answers = JoinSet::new();
        for worker in 0..WORKERS {
            answers.spawn(service.clone().public(heartbeat(worker)));
        }
        sleep(Duration::from_millis(100)).await;
        let mut early: Vec<Value> = Vec::new();
        while let Some(answer) = answers.try_join_next() {
            early.push(json!(answer.expect("no panic").status));
        }
        assert_eq!(
            early.len(),
            0,
            "answered before the leader has read the stored state"
        );
        network.answers_lists.store(true, Ordering::Relaxed);
        let answers = answers.join_all().await;
        let accepted = answers.iter().filter(|a| a.status == 200).count();
        assert_eq!(accepted, WORKERS);
    });
}

/// Guards against starvation of worker lists by newer ones. A list is due every 3 s, and its 12
/// pages take longer than that if the rate limit of the cloud is low. Lists then run late, one
/// after another.
#[test]
fn worker_lists_complete_if_the_cloud_rate_limit_delays_them() {
    run_in_simulated_time(async {
        let network = FakeServices::new(true);
        let tuning = Tuning::default();
        let (_service, _owner) = Api::start(settings(), tuning, network.clone(), 1);
        sleep(Duration::from_secs(120)).await;
        let completed = network.lists_completed.load(Ordering::Relaxed);
        let in_progress = network.lists_started.load(Ordering::Relaxed) - completed;
        println!("{completed} lists completed in 120 s, {in_progress} in progress");
        assert!(
            in_progress <= 1,
            "{in_progress} in progress, {completed} completed"
        );
        assert!(completed >= 10, "only {completed} completed");
    });
}

/// The statuses of a shard owner that owns all workers fit the body size that the leader accepts:
/// forwarded heartbeats are split among several statuses, and the release of all workers together
/// fits one.
#[test]
fn statuses_of_a_shard_owner_of_all_workers_fit_the_body_limit() {
    let mut forwarder = HeartbeatForwarder::new(1, 7, 2.5);
    let name = |worker: usize| format!("vm-{worker:06}");
    let tasks: Vec<TaskStatus> = (0..20)
        .map(|task| TaskStatus {
            job: JobId(1),
            task,
            attempt: 1 << 40,
            phase: TaskPhase::Exited(Exit::Stopped { saved: true }),
        })
        .collect();
    for worker in 0..WORKERS {
        let heartbeat = Heartbeat {
            worker: name(worker),
            address: "255.255.255.255:65535".into(),
            machine_type: "gpu-xlarge-8".into(),
            zone: "zone-b".into(),
            spot: false,
            incarnation: 1,
            counter: 1,
            token: 0,
            notice_s: Some(1.0),
            tasks: tasks.clone(),
        };
        forwarder.handle_heartbeat(1000, worker as u64, heartbeat);
    }
    let shard_lease = |status_number, changes| ShardLease {
        process: 7,
        status_number,
        token: 5,
        base_version: 0,
        duration_ms: 1000,
        changes,
    };
    let update = |shard_lease, names| ShardUpdate {
        shard_lease,
        names,
        redirects: Vec::new(),
    };
    let check_body_size = |status: &ShardStatus| {
        let body = borsh::to_vec(&PeerRequest::ShardStatus(status.clone())).expect("plain data");
        assert!(
            body.len() as u64 <= MAX_PEER_BODY_BYTES,
            "{} bytes",
            body.len()
        );
        body.len()
    };
    let (mut forwarded, mut statuses, mut now) = (0, 0, 1000);
    while forwarded < WORKERS {
        now += 30;
        let status = forwarder.next_status(now).expect("more to forward");
        check_body_size(&status);
        // All heartbeats wait: each status forwards the first of them that fit, until they are
        // answered.
        let forwarded_names: Vec<&String> = status
            .forwarded
            .iter()
            .map(|t| &t.heartbeat.worker)
            .collect();
        let numbers = forwarded_names
            .iter()
            .map(|n| n[3..].parse::<u32>().expect("a name of this test"));
        let assign = |m| (u64::from(m) + 1, ShardChange::Assign(m));
        let changes: Vec<_> = numbers.clone().map(assign).collect();
        forwarded += changes.len();
        let names = numbers.map(|m| (m, name(m as usize))).collect();
        forwarder.handle_update(
            now,
            &update(shard_lease(status.owner_status.number, changes), names),
        );
        statuses += 1;
    }
    let releases =
        (0..WORKERS as u32).map(|m| (10_000 + u64::from(m), ShardChange::Release(m, Some(0))));
    now += 300;
    let status = forwarder.next_status(now).expect("due");
    forwarder.handle_update(
        now,
        &update(
            shard_lease(status.owner_status.number, releases.collect()),
            Vec::new(),
        ),
    );
    now += 300;
    let status = forwarder.next_status(now).expect("due");
    assert_eq!(status.owner_status.released.len(), WORKERS);
    println!(
        "{statuses} statuses, {} bytes with all released",
        check_body_size(&status)
    );
}

/// The fake services on loopback keep a connection open for each worker, and the settings that they
/// write allow controllers as many sockets.
#[tokio::test]
async fn fake_services_keep_a_connection_for_each_worker() {
    let site = Loopback::new(Site::default(), |_, _| free_address());
    let server = site.clone();
    tokio::spawn(async move { server.run().await.expect("free addresses") });
    sleep(Duration::from_millis(100)).await;
    let mut connections = Vec::new();
    for i in 0..4000 {
        let request_once = async {
            let mut stream = TcpStream::connect(site.state_address)
                .await
                .expect("accepted");
            let request = b"GET /kv/none HTTP/1.1\r\nhost: a\r\n\r\n";
            stream.write_all(request).await.expect("sent");
            let mut answer = [0; 1000];
            let read = stream.read(&mut answer).await.expect("open");
            let answer = String::from_utf8_lossy(&answer[..read]);
            let kept = answer.starts_with("HTTP/1.1 404") && !answer.contains("connection: close");
            assert!(kept, "connection {i}: {answer}");
            stream
        };
        let stream = timeout(Duration::from_secs(2), request_once).await;
        connections.push(stream.unwrap_or_else(|_| panic!("connection {i} is not served")));
    }
    let max_sockets = site.settings(0)["cluster"]["limits"]["max_sockets"].as_u64();
    assert!(max_sockets.expect("a number") * 6 / 10 >= 4000);
}
