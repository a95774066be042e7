//! A simulated cluster for the tests in `tests/`: whole controllers run against a fake cloud, a
//! fake state service and fake workers, in simulated time and with a seeded random number
//! generator.
#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses a part of this module"
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

/// Number of controllers.
pub const CONTROLLERS: usize = 3;

/// The state of the cluster and the faults that are active. Shares are probabilities from 0 to 1.
pub struct SimulatedCluster {
    /// The fake cloud, its workers, and the checked rules.
    pub site: Site,
    pub state: StateService,
    /// The running process of each controller, if it has one.
    pub controllers: Vec<Option<Api>>,
    /// Whether the process that each controller started last is still alive.
    pub alive: Vec<Arc<AtomicBool>>,
    /// Controllers whose processes are paused: until they resume, they receive nothing, and what
    /// they have decided to send is not sent.
    pub paused: BTreeSet<String>,
    /// Pairs of endpoints that cannot reach each other; messages are held until they can. "*"
    /// stands for every endpoint.
    pub partitions: BTreeSet<(String, String)>,
    /// Controllers whose requests the state service refuses. Their open watches are not answered,
    /// as in an outage.
    pub refused_by_state: BTreeSet<String>,
    /// Workers that receive nothing: their heartbeats arrive, but the answers and direct messages
    /// to them are lost.
    pub inbound_dropped: BTreeSet<String>,
    /// Share of transactions that are carried out 2 to 12 s late, after their senders have given
    /// up.
    pub late_transactions: f64,
    /// Share of heartbeats of which a copy arrives between 2 s and 1.6 leases later.
    pub duplicate_heartbeats: f64,
    /// Share of direct messages to workers that are delayed, or whose answers are delayed, so that
    /// later ones overtake them.
    pub late_commands: f64,
    /// Share of direct messages to workers that arrive again after they were carried out and
    /// answered, see [`Fault::RepeatCommands`].
    pub repeated_commands: f64,
    /// Share of all other requests that change something and arrive again, see
    /// [`Fault::RepeatRequests`].
    pub repeated_requests: f64,
    /// How often a controller's process has started.
    pub process_starts: u64,
    /// Share of transactions that are carried out at once but whose answers are lost.
    pub lost_transaction_answers: f64,
    /// Workers whose heartbeats reach no controller, while direct messages reach them.
    pub heartbeats_dropped: BTreeSet<String>,
    /// Share of heartbeats of which copies reach every controller when the next leader is elected.
    pub replayed_heartbeats: f64,
    /// Whether zone "b", with the last controller in it, is partitioned from everything else.
    pub zone_partitioned: bool,
    /// Whether users send requests about a job to all controllers within milliseconds of each
    /// answer that changes what they know about it.
    pub request_bursts: bool,
    /// Share of jobs that are cancelled as soon as their last task completes.
    pub cancel_on_completion: f64,
    /// Share of answers that are lost.
    pub answer_loss: f64,
    /// How many messages to the state service to skip until the sender of the next one crashes: if
    /// `true`, after the message was carried out and before its answer arrives, otherwise before it
    /// is sent.
    pub crash_at_state_message: Option<(u32, bool)>,
    /// How many messages between controllers to skip until the next one is lost: if `true`, only
    /// its answer, otherwise the message itself.
    pub lose_peer_message: Option<(u32, bool)>,
    /// Whether each controller shares the workers with the others.
    pub sharding: [Switch; CONTROLLERS],
    /// The controller that each worker sends its heartbeats to.
    pub heartbeat_targets: BTreeMap<String, usize>,
    /// Which controllers have answered each worker, in order and without consecutive repetitions.
    pub answered_by: BTreeMap<String, Vec<usize>>,
    pub rng: StdRng,
    pub start: Instant,
    /// Changes the tuning that the controllers of these tests use by default.
    pub tune: fn(&mut Tuning),
    /// Receives one line for each message when it is sent, and one for each answer.
    pub recorder: Option<Recorder>,
    /// Number of messages that have been sent; numbers their lines in the recording.
    pub message_count: u64,
}

pub type Recorder = Box<dyn FnMut(String) + Send>;

/// The key that requests to the operators' endpoints carry. They are authorized if the tuning has
/// the same key.
pub const OPERATOR_KEY: &str = "the-key-of-these-tests";

pub type SharedCluster = Arc<Mutex<SimulatedCluster>>;

pub fn controller_name(i: usize) -> String {
    format!("host-{i}")
}

impl SimulatedCluster {
    /// The simulated time in seconds.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Whether an endpoint is in the zone that [`Fault::PartitionZone`] partitions.
    fn in_partitionable_zone(&self, endpoint: &str) -> bool {
        let worker = self.site.workers.get(endpoint);
        endpoint == controller_name(CONTROLLERS - 1) || worker.is_some_and(|m| m.zone == "b")
    }

    /// Whether a partition separates two endpoints.
    fn partitioned(&self, a: &str, b: &str) -> bool {
        if self.zone_partitioned && self.in_partitionable_zone(a) != self.in_partitionable_zone(b) {
            return true;
        }
        let between = |x: &str, y: &str| self.partitions.contains(&(x.to_string(), y.to_string()));
        between(a, b) || between(b, a) || between(a, "*") || between(b, "*")
    }

    /// Whether the state service serves requests of a controller.
    fn state_serves(&self, controller: &str) -> bool {
        !self.state.outage && !self.refused_by_state.contains(controller)
    }

    /// Records a message and returns its number, under which its answer is recorded as well.
    fn record_message(&mut self, head: std::fmt::Arguments, body: &[u8]) -> u64 {
        self.message_count += 1;
        let number = self.message_count;
        self.record(format_args!("#{number} {head}"), body);
        number
    }

    fn record(&mut self, head: std::fmt::Arguments, body: &[u8]) {
        let at_ms = self.start.elapsed().as_millis();
        if let Some(recorder) = &mut self.recorder {
            recorder(format!("{at_ms} {head} {}\n", body.escape_ascii()));
        }
    }

    /// Draws the network delay of one message.
    fn draw_network_delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(500..4000))
    }
}

/// The settings of a controller.
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

/// Starts the process of a controller, unless it already runs.
pub fn start_controller(cluster: &SharedCluster, i: usize, seed: u64) {
    // A controller never has two processes at once, even if several faults restart it.
    if cluster.lock().unwrap().controllers[i].is_some() {
        return;
    }
    let alive = Arc::new(AtomicBool::new(true));
    let network = SimulatedNetwork {
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
    let (api, _) = Api::start(settings, tuning, Arc::new(network), seed + i as u64);
    let mut w = cluster.lock().unwrap();
    w.controllers[i] = Some(api);
    w.alive[i] = alive;
    w.process_starts += 1;
}

/// The shortest time in seconds in which a crashed process restarts.
pub const FAST_RESTART_S: f64 = 0.1;

/// Kills the process of a controller and starts a new one, without any state, `after_s` seconds
/// later.
pub fn restart_controller(cluster: &SharedCluster, i: usize, after_s: f64) {
    kill_controller(cluster, i);
    let cluster = cluster.clone();
    tokio::spawn(async move {
        sleep(Duration::from_secs_f64(after_s)).await;
        let seed = cluster.lock().unwrap().rng.random_range(0..1 << 40);
        start_controller(&cluster, i, seed);
    });
}

/// Kills the process of a controller.
pub fn kill_controller(cluster: &SharedCluster, i: usize) {
    let mut w = cluster.lock().unwrap();
    w.alive[i].store(false, Ordering::Relaxed);
    w.controllers[i] = None;
}
