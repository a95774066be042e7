//! The simulated world of the days in `tests/`: whole controllers against the stand-ins, in
//! simulated time, seeded.
#![allow(
    dead_code,
    unused_imports,
    reason = "each file of tests uses a part of it"
)]

mod fake_workers;
mod faults;
mod network;
mod scenario;
mod users;

pub use fake_workers::*;
pub use faults::*;
pub use network::*;
pub use scenario::*;
pub use users::*;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use copperfield::api::Api;
use copperfield::settings::{Settings, Switch, Tuning};
use copperfield_simulation::cluster::{GANG_WAIT_S, HEARTBEAT_INTERVAL_S, Site};
use copperfield_simulation::state_service::StateService;
use rand::Rng;
use rand::rngs::StdRng;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

pub const CONTROLLERS: usize = 3;

pub struct SimulatedCluster {
    pub site: Site,
    pub state: StateService,
    pub controllers: Vec<Option<Api>>,
    pub alive: Vec<Arc<AtomicBool>>,
    /// Nodes that stand still: nothing they read reaches them and nothing they
    /// have decided leaves, until they go on with both.
    pub paused: BTreeSet<String>,
    /// Pairs that cannot reach each other; packets are held until they can.
    pub partitions: BTreeSet<(String, String)>,
    /// Nodes that the state service refuses; their open watches wait, as in an outage.
    pub refused_by_state: BTreeSet<String>,
    /// Workers that hear nothing: their reports arrive, answers and direct orders are lost.
    pub inbound_dropped: BTreeSet<String>,
    /// Share of transactions that get no answer and are carried out 2 to 12 s later.
    pub late_transactions: f64,
    /// Share of reports of which a copy arrives again, from 2 s to well over a lease later.
    pub duplicate_heartbeats: f64,
    /// Share of direct messages to workers that are held up on their way, or whose answers are, so
    /// that later ones overtake them.
    pub late_commands: f64,
    /// Share of transactions that are carried out at once and of which no answer comes.
    pub lost_transaction_answers: f64,
    /// Workers that reach no controller, while direct orders reach them.
    pub heartbeats_dropped: BTreeSet<String>,
    /// Share of reports of which a copy comes to every node as the next leader begins.
    pub replayed_heartbeats: f64,
    /// One zone, with the last node in it, is cut off from everything else.
    pub zone_partitioned: bool,
    /// Users ask at all nodes within milliseconds of each answer that matters, and submit again.
    pub request_bursts: bool,
    /// Share of jobs that are called off at the moment of their end.
    pub cancel_on_completion: f64,
    /// Share of answers that are lost.
    pub answer_loss: f64,
    /// So many messages to the state service from now, their sender ends: before it leaves, or
    /// once it has been carried out and before the answer is there.
    pub crash_at_state_message: Option<(u32, bool)>,
    /// So many messages between controllers from now, one is lost: the message itself, or what
    /// was answered.
    pub lose_peer_message: Option<(u32, bool)>,
    /// Whether each node shares the workers with the others.
    pub sharding: [Switch; CONTROLLERS],
    /// Where each worker reports.
    pub heartbeat_targets: BTreeMap<String, usize>,
    /// Which nodes have answered each worker, without repeats in a row.
    pub answered_by: BTreeMap<String, Vec<usize>>,
    pub rng: StdRng,
    pub start: Instant,
    /// What each controller's tuning has that differs from the usual one of these tests.
    pub tune: fn(&mut Tuning),
    /// Is given one line for each message as it leaves, and for each answer.
    pub recorder: Option<Recorder>,
    /// Messages that have left, while they are recorded.
    pub messages: u64,
}

pub type Recorder = Box<dyn FnMut(String) + Send>;

/// Set this in the tuning, and requests to the operators' endpoints are authorized.
pub const OPERATOR_KEY: &str = "the-key-of-these-tests";

pub type SharedCluster = Arc<Mutex<SimulatedCluster>>;

pub fn controller_name(i: usize) -> String {
    format!("host-{i}")
}

impl SimulatedCluster {
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Whether a place lies in the zone that may be cut off.
    fn is_inside(&self, place: &str) -> bool {
        let worker = self.site.workers.get(place);
        place == controller_name(CONTROLLERS - 1) || worker.is_some_and(|m| m.zone == "b")
    }

    fn blocked(&self, a: &str, b: &str) -> bool {
        if self.zone_partitioned && self.is_inside(a) != self.is_inside(b) {
            return true;
        }
        let is = |x: &str, y: &str| self.partitions.contains(&(x.to_string(), y.to_string()));
        is(a, b) || is(b, a) || is(a, "*") || is(b, "*")
    }

    /// Whether the state service serves a node now.
    fn serves(&self, node: &str) -> bool {
        !self.state.outage && !self.refused_by_state.contains(node)
    }

    /// Returns the number that the answer is recorded under.
    fn record_message(&mut self, head: std::fmt::Arguments, body: &[u8]) -> u64 {
        self.messages += 1;
        let number = self.messages;
        self.record(format_args!("#{number} {head}"), body);
        number
    }

    fn record(&mut self, head: std::fmt::Arguments, body: &[u8]) {
        let at_ms = self.start.elapsed().as_millis();
        if let Some(recorder) = &mut self.recorder {
            recorder(format!("{at_ms} {head} {}\n", body.escape_ascii()));
        }
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(500..4000))
    }
}

pub fn settings(me: usize, site: &Site) -> Settings {
    let (lease_s, cancel_s) = (site.lease_s, site.cancel_s);
    let others: Vec<Value> = (0..CONTROLLERS)
        .filter(|&i| i != me)
        .map(|i| json!({"member": controller_name(i), "site": "a", "peer_addr": format!("10.0.0.{}:8081", i + 1)}))
        .collect();
    let value = json!({"member": controller_name(me), "site": "a", "public_addr": format!("10.0.0.{}:8080", me + 1),
        "peer_bind": format!("10.0.0.{}:8081", me + 1), "others": others,
        "external": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
        "cluster": {"count": CONTROLLERS, "zones": ["a", "b"], "teams": [{"name": "team"}], "objectives": [],
            "workers": {"report_s": HEARTBEAT_INTERVAL_S, "lease_s": lease_s, "gang_wait_s": GANG_WAIT_S, "gang_peer_s": 2.0, "cancel_s": cancel_s},
            "state": {"rps": 400, "write_rps": 100, "value_kb": 8, "txn_ops": 12}, "cloud": {"rps": 10, "list_lag_s": 1},
            "limits": {"max_sockets": 1000}, "clock_error_ms": 25}});
    serde_json::from_value(value).expect("valid settings")
}

pub fn start_controller(cluster: &SharedCluster, i: usize, seed: u64) {
    // Two processes of one node are never there at once, however often it is ended.
    if cluster.lock().unwrap().controllers[i].is_some() {
        return;
    }
    let alive = Arc::new(AtomicBool::new(true));
    let net = SimulatedNetwork {
        cluster: cluster.clone(),
        me: controller_name(i),
        alive: alive.clone(),
    };
    let mut tuning = Tuning {
        leader_ttl_ms: 1500,
        sharding: cluster.lock().unwrap().sharding[i],
        ..Tuning::default()
    };
    let tune = cluster.lock().unwrap().tune;
    tune(&mut tuning);
    let mut settings = settings(i, &cluster.lock().unwrap().site);
    let team = &mut settings.cluster.teams[0];
    let limit = cluster
        .lock()
        .unwrap()
        .site
        .cpu_limits
        .get(&team.name)
        .copied();
    team.cpus_max = limit.unwrap_or(0.0);
    let (service, _) = Api::start(settings, tuning, Arc::new(net), seed + i as u64);
    let mut w = cluster.lock().unwrap();
    w.controllers[i] = Some(service);
    w.alive[i] = alive;
}

/// How soon a process may be started again.
pub const FAST_RESTART_S: f64 = 0.1;

/// Ends a process and starts the next one, which is another.
pub fn restart_controller(cluster: &SharedCluster, i: usize, after_s: f64) {
    kill_controller(cluster, i);
    let cluster = cluster.clone();
    tokio::spawn(async move {
        sleep(Duration::from_secs_f64(after_s)).await;
        let seed = cluster.lock().unwrap().rng.random_range(0..1 << 40);
        start_controller(&cluster, i, seed);
    });
}

pub fn kill_controller(cluster: &SharedCluster, i: usize) {
    let mut w = cluster.lock().unwrap();
    w.alive[i].store(false, Ordering::Relaxed);
    w.controllers[i] = None;
}
