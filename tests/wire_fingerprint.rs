//! Pins what controllers send on the wire in fixed scenarios: a hash over every message (simulated
//! time, sender, receiver, port, method, path, body) and every answer (status, body), in order. A
//! change that is not meant to change behaviour must leave these hashes unchanged.
//!
//! To find a difference, write the messages of two versions to files, one for each scenario, and
//! compare them: `WIRE_LOG=/tmp/before cargo test --test wire_fingerprint`, then `diff
//! /tmp/before.SCENARIO /tmp/after.SCENARIO`. A hash may change only in a commit that changes the
//! behaviour on purpose and says so; the failing test prints the new hash.

mod simulated_cluster;

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, LazyLock, Mutex};
use std::time::Duration;

use copperfield::settings::{Operators, Switch, Tuning};
use hyper::Method;
use serde_json::{Value, json};
use tokio::runtime::{Builder, Runtime};
use tokio::time::sleep;

use simulated_cluster::*;

/// Replaces the system's random number generator in this test program, and always returns the same
/// bytes.
///
/// When a message and a tick are due in the same millisecond, `tokio::select!` draws their order
/// from a generator of the runtime. Without `--cfg tokio_unstable`, that generator can only be
/// seeded through the keys of the standard library's `RandomState`, which come from this function.
///
/// # Safety
///
/// As in the C library, `buffer` must be valid for writes of `length` bytes.
#[expect(
    unsafe_code,
    reason = "the symbol of the C library cannot be replaced in another way"
)]
#[unsafe(no_mangle)]
pub unsafe extern "C" fn getrandom(buffer: *mut u8, length: usize, _flags: u32) -> isize {
    // SAFETY: the caller guarantees that `buffer` is valid for writes of `length` bytes.
    unsafe { buffer.write_bytes(0x5a, length) };
    length as isize
}

/// The scenarios and their variants, each with its own runtime. New ones must be added at the end,
/// because the seed of a runtime depends on its position.
const RUNTIME_NAMES: [&str; RUNTIME_COUNT] = [
    "normal",
    "limit",
    "leader-crash",
    "all-crash",
    "shard-moves",
    "drains",
    "gangs",
    "cancellations",
    "state-outage",
    "refused",
    "host-cut",
    "scale-in",
    "no-shares",
    "placement",
    "lease-length",
    "auction-cap",
    "headroom",
    "idle-time",
];
const RUNTIME_COUNT: usize = 18;

/// The runtimes in the order of [`RUNTIME_NAMES`]. Besides [`getrandom`], the seed of a runtime
/// depends on the thread that creates it and on how many were created in this process before.
/// Therefore one separate thread creates all of them, in order, before any is used.
static RUNTIMES: LazyLock<Mutex<Vec<Option<Runtime>>>> = LazyLock::new(|| {
    let paused_runtime = || {
        let mut builder = Builder::new_current_thread();
        let runtime = builder.enable_time().start_paused(true).build();
        Some(runtime.expect("a runtime"))
    };
    let all = std::thread::spawn(move || RUNTIME_NAMES.map(|_| paused_runtime()).into());
    Mutex::new(all.join().expect("no panic"))
});

/// Takes the runtime of a scenario, which can be used once.
fn take_runtime(name: &str) -> Runtime {
    let index = RUNTIME_NAMES.iter().position(|n| *n == name);
    let index = index.unwrap_or_else(|| panic!("{name} is not in RUNTIME_NAMES"));
    let runtime = RUNTIMES.lock().unwrap()[index].take();
    runtime.unwrap_or_else(|| panic!("{name} is run twice"))
}

/// A 64-bit FNV-1a hash.
struct Fnv(u64);

impl Fnv {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;

    fn update(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(Self::PRIME);
        }
    }
}

/// A simulated scenario.
struct Scenario {
    /// The name in [`RUNTIME_NAMES`].
    name: &'static str,
    seed: u64,
    /// The faults and when they begin.
    faults: Vec<(f64, Fault)>,
    /// Share of answers that are lost.
    loss: f64,
    /// CPUs that the team may use; 0 for no limit.
    limit: f64,
    /// When the scenario ends.
    until_s: f64,
    /// Rounds of the default jobs. Each has two arrays, a service and a gang, some of which are
    /// cancelled.
    rounds: u32,
    /// Further jobs: when each is submitted, how long a task runs, its shape, the number of tasks,
    /// and the fields that differ from the defaults.
    jobs: Vec<(f64, f64, &'static str, u32, Value)>,
    /// Requests of an operator: the time, the path and the body.
    operator_requests: Vec<(f64, &'static str, &'static str)>,
    /// Changes the default tuning.
    tune: fn(&mut Tuning),
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            name: "",
            seed: 1,
            faults: Vec::new(),
            loss: 0.0,
            limit: 0.0,
            until_s: 60.0,
            rounds: 3,
            jobs: Vec::new(),
            operator_requests: Vec::new(),
            tune: |_| (),
        }
    }
}

/// Number of the first job of [`Scenario::jobs`], and the step to the next one. A step of 4 avoids
/// the ids that [`unfinished_jobs`] takes for services.
const FIRST_ID: usize = 100;
const ID_STEP: usize = 4;

/// Hashes the recorded lines of a scenario.
struct WireRecording {
    hash: Fnv,
    /// Number of lines.
    lines: u64,
    /// The file that the lines are written to if `WIRE_LOG` is set.
    log: Option<BufWriter<File>>,
}

impl WireRecording {
    /// Opens the log of a scenario if `WIRE_LOG` is set.
    fn new(name: &str) -> Self {
        let create = |prefix| File::create(format!("{prefix}.{name}")).expect("a writable path");
        Self {
            hash: Fnv(Fnv::OFFSET),
            lines: 0,
            log: std::env::var("WIRE_LOG")
                .ok()
                .map(create)
                .map(BufWriter::new),
        }
    }

    fn record(&mut self, line: &str) {
        self.hash.update(line.as_bytes());
        self.lines += 1;
        if let Some(log) = &mut self.log {
            log.write_all(line.as_bytes()).expect("a writable path");
        }
    }
}

impl Scenario {
    /// Runs the scenario. Returns the hash and the number of lines that it covers.
    fn run(&self) -> (u64, u64) {
        let recording = Arc::new(Mutex::new(WireRecording::new(self.name)));
        let runtime = take_runtime(self.name);
        // On a new thread, hash maps have the same keys in every run.
        std::thread::scope(|scope| {
            let run = scope.spawn(|| runtime.block_on(self.run_recorded(recording.clone())));
            run.join().expect("no panic");
        });
        let mut recording = recording.lock().unwrap();
        if let Some(log) = &mut recording.log {
            log.flush().expect("a writable path");
        }
        (recording.hash.0, recording.lines)
    }

    /// Runs the scenario on a new cluster and records its messages.
    async fn run_recorded(&self, recording: Arc<Mutex<WireRecording>>) {
        let cluster = start_tuned_cluster(self.seed, self.loss, self.limit, self.tune);
        cluster.lock().unwrap().recorder = Some(Box::new(move |line| {
            recording.lock().unwrap().record(&line);
        }));
        for (i, (at, runtime_s, shape, tasks, extra)) in self.jobs.iter().enumerate() {
            let number = FIRST_ID + i * ID_STEP;
            let body = job(number, shape, *tasks, extra.clone());
            let id = format!("wk-{number:06}");
            tokio::spawn(simulate_user(
                cluster.clone(),
                id,
                body,
                *runtime_s,
                *at,
                None,
            ));
        }
        for &(at, path, body) in &self.operator_requests {
            tokio::spawn(send_operator_request(cluster.clone(), at, path, body));
        }
        let run = run_scenario_on(
            cluster.clone(),
            self.seed,
            &self.faults,
            self.until_s,
            self.rounds,
        );
        let (violations, starts, _) = run.await;
        cluster.lock().unwrap().recorder = None;
        assert_eq!(violations, [""; 0], "{}", self.name);
        assert!(starts > 5, "{}: only {starts} starts", self.name);
    }

    /// Runs the scenario and compares its hash with the pinned one.
    fn expect_hash(self, pinned: u64) {
        let (hash, lines) = self.run();
        println!("{}: {hash:#018x}, {lines} lines", self.name);
        assert_eq!(
            hash, pinned,
            "{}: found {hash:#018x}, pinned is {pinned:#018x}, {lines} lines",
            self.name
        );
    }
}

/// Sends a request of an operator to any controller: a GET if the body is empty, otherwise a POST.
async fn send_operator_request(
    cluster: SharedCluster,
    at: f64,
    path: &'static str,
    body: &'static str,
) {
    sleep(Duration::from_secs_f64(at)).await;
    let method = if body.is_empty() {
        Method::GET
    } else {
        Method::POST
    };
    send_user_request(&cluster, method, path, body.into()).await;
}

/// Authorizes the requests of the operator and enables defragmentation.
fn with_operators(tuning: &mut Tuning) {
    let key = OPERATOR_KEY.into();
    tuning.operators = Some(Operators { key });
    tuning.defragmentation.enabled = true;
}

/// The hash of [`normal`].
const NORMAL: u64 = 0xd4ff_5bdf_ec76_bb68;
/// The hash of [`placement`].
const PLACEMENT: u64 = 0xdac0_24ea_0180_8504;
/// The hash of [`scale_in`].
const SCALE_IN: u64 = 0xa20b_7770_68a5_b76a;

fn normal() -> Scenario {
    let spot = json!({"preemptibles": true, "snapshot_every_s": 3.0, "snapshot_s": 0.5});
    Scenario {
        name: "normal",
        seed: 1,
        until_s: 90.0,
        jobs: vec![
            (2.0, 12.0, "sweep", 6, spot),
            (3.0, 6.0, "group", 4, json!({"cpus": 3.0, "rank": "urgent"})),
            (4.0, 5.0, "sweep", 1, json!({"cpus": 8.0, "gpus": 1.0})),
            (20.0, 5.0, "sweep", 30, json!({"cpus": 1.0, "due_s": 60.0})),
        ],
        ..Scenario::default()
    }
}

#[test]
fn normal_work_with_arrays_gangs_and_services() {
    normal().expect_hash(NORMAL);
}

#[test]
fn team_at_its_limit() {
    let jobs = (0..6u32).map(|i| {
        let at = 1.0 + f64::from(i) * 1.5;
        (at, 4.0, "sweep", 6, json!({"cpus": 1.0}))
    });
    let scenario = Scenario {
        name: "limit",
        seed: 2,
        limit: 10.0,
        rounds: 1,
        jobs: jobs.collect(),
        ..Scenario::default()
    };
    scenario.expect_hash(0x6a07_8550_df8f_c819);
}

#[test]
fn leader_crash_and_failover() {
    let scenario = Scenario {
        name: "leader-crash",
        seed: 3,
        faults: vec![
            (8.0, Fault::RestartLeaders(1, 3.0)),
            (20.0, Fault::RestartLeaders(2, 0.1)),
            (32.0, Fault::CrashFollower(0)),
        ],
        ..Scenario::default()
    };
    scenario.expect_hash(0xbc92_07a8_6ba1_8b1e);
}

#[test]
fn all_controllers_crash() {
    let scenario = Scenario {
        name: "all-crash",
        seed: 4,
        faults: vec![
            (9.0, Fault::CrashAll),
            (9.5, Fault::PartitionWorker(2, 14.0)),
            (26.0, Fault::RestartAll(0.2)),
        ],
        ..Scenario::default()
    };
    scenario.expect_hash(0x31af_de4a_6061_999d);
}

#[test]
fn workers_change_their_shard_owner() {
    let scenario = Scenario {
        name: "shard-moves",
        seed: 5,
        faults: vec![
            (8.0, Fault::SwitchHeartbeatTargets(15, 1.0)),
            (9.2, Fault::LosePeerMessage(5, false)),
            (14.0, Fault::CrashFollower(1)),
            (20.2, Fault::LosePeerMessage(3, true)),
            (26.0, Fault::PartitionLeaderFromWorkers(6.0)),
        ],
        ..Scenario::default()
    };
    scenario.expect_hash(0x25c8_9ab9_3aea_b8dc);
}

#[test]
fn operators_drain_and_undrain_workers() {
    let with_snapshots =
        json!({"cpus": 1.0, "runtime_s": 40.0, "snapshot_every_s": 3.0, "snapshot_s": 0.5});
    let drain_now = r#"{"deadline_s": 6.0, "yes": true}"#;
    let scenario = Scenario {
        name: "drains",
        seed: 6,
        faults: vec![(16.0, Fault::RestartLeaders(1, 0.5))],
        jobs: vec![
            (1.0, 25.0, "sweep", 4, json!({"cpus": 1.0})),
            (1.5, 25.0, "service", 3, json!({"cpus": 1.0})),
            (2.0, 40.0, "sweep", 8, with_snapshots),
        ],
        operator_requests: vec![
            (4.0, "/operator/nodes", ""),
            (6.0, "/operator/nodes/vm-000001/drain", "{}"),
            (10.0, "/operator/nodes/vm-000002/drain", drain_now),
            (11.0, "/operator/nodes/nowhere/drain", "{}"),
            (13.0, "/operator/nodes/vm-000006/drain", r#"{"yes": true}"#),
            (13.4, "/operator/moves", ""),
            (20.0, "/operator/moves", ""),
            (22.0, "/operator/nodes", ""),
            (24.0, "/operator/nodes/vm-000001/undrain", "{}"),
            (26.0, "/operator/nodes/vm-000002/undrain", "{}"),
            (30.0, "/operator/nodes", ""),
        ],
        tune: with_operators,
        ..Scenario::default()
    };
    scenario.expect_hash(0x609b_f949_2be8_be5c);
}

#[test]
fn gangs_on_workers_that_fail() {
    let gang = json!({"one_zone": true, "cpus": 2.0});
    let scenario = Scenario {
        name: "gangs",
        seed: 7,
        faults: vec![
            (6.0, Fault::HangWorker(1, 4.0)),
            (10.0, Fault::PartitionWorker(2, 14.0)),
            (12.0, Fault::DropMessagesToWorker(3, 5.0)),
            (20.0, Fault::KillWorker(4)),
        ],
        jobs: vec![
            (2.0, 8.0, "group", 4, gang.clone()),
            (5.0, 8.0, "group", 6, gang.clone()),
            (9.0, 8.0, "group", 5, gang),
        ],
        rounds: 2,
        ..Scenario::default()
    };
    scenario.expect_hash(0xa978_e4ec_9596_4571);
}

#[test]
fn cancellations() {
    let scenario = Scenario {
        name: "cancellations",
        seed: 8,
        faults: vec![
            (0.5, Fault::RequestBursts(20.0)),
            (2.0, Fault::CancelOnCompletion(0.5, 30.0)),
            (3.0, Fault::RedundantAndInvalidRequests(20.0)),
            (8.0, Fault::CancelRunningJobs(3, 6.0)),
            (8.6, Fault::RestartLeaders(1, 0.5)),
            (16.0, Fault::CancelRunningJobs(2, 0.0)),
        ],
        until_s: 45.0,
        rounds: 2,
        ..Scenario::default()
    };
    scenario.expect_hash(0x5697_f917_088a_d42d);
}

#[test]
fn state_service_outage() {
    let scenario = Scenario {
        name: "state-outage",
        seed: 9,
        faults: vec![
            (9.0, Fault::StateOutage(8.0)),
            (11.0, Fault::PartitionWorker(2, 4.0)),
            (24.0, Fault::StateOutage(4.0)),
            (25.0, Fault::RestartLeaders(1, 0.3)),
            (34.0, Fault::LoseTransactionAnswers(0.3, 6.0)),
            (36.0, Fault::LateTransactions(0.2, 4.0)),
        ],
        ..Scenario::default()
    };
    scenario.expect_hash(0x6cfb_807b_d5b9_8f16);
}

#[test]
fn controllers_refused_by_or_partitioned_from_the_state_service() {
    let scenario = Scenario {
        name: "refused",
        seed: 10,
        faults: vec![
            (8.0, Fault::RefuseLeader(10.0)),
            (26.0, Fault::PartitionLeaderFromState(8.0)),
            (38.0, Fault::PauseController(1, 3.0)),
        ],
        loss: 0.002,
        ..Scenario::default()
    };
    scenario.expect_hash(0x3582_a92a_62af_f1db);
}

#[test]
fn partitions_between_controllers() {
    let scenario = Scenario {
        name: "host-cut",
        seed: 11,
        faults: vec![
            (8.0, Fault::PartitionController(0, "host-1", 20.0)),
            (10.0, Fault::SwitchHeartbeatTargets(6, 2.0)),
            (14.0, Fault::PartitionController(1, "host-2", 8.0)),
            (26.0, Fault::PartitionLeaderFromStateAndPeers(6.0)),
            (36.0, Fault::PartitionZone(5.0)),
        ],
        ..Scenario::default()
    };
    scenario.expect_hash(0x9a93_52a0_71c7_d22a);
}

/// Workers are provisioned for the jobs, and scaled in when idle.
fn scale_in() -> Scenario {
    Scenario {
        name: "scale-in",
        seed: 12,
        rounds: 0,
        jobs: vec![
            (1.0, 5.0, "sweep", 30, json!({"cpus": 2.0})),
            (4.0, 40.0, "sweep", 2, json!({"cpus": 1.0})),
        ],
        tune: |t| t.scale_in_idle_s = 8.0,
        until_s: 90.0,
        ..Scenario::default()
    }
}

#[test]
fn workers_are_provisioned_and_scaled_in() {
    scale_in().expect_hash(SCALE_IN);
}

#[test]
fn leader_alone_serves_all_workers() {
    let scenario = Scenario {
        name: "no-shares",
        seed: 13,
        faults: vec![
            (9.0, Fault::RestartLeaders(1, 1.0)),
            (16.0, Fault::PartitionWorker(1, 8.0)),
            (28.0, Fault::StateOutage(3.0)),
        ],
        tune: |t| t.sharding = Switch::Off,
        ..Scenario::default()
    };
    scenario.expect_hash(0x320d_7b6d_5102_6907);
}

/// Arrays of many sizes are submitted at once, and not all of them fit at first.
fn placement() -> Scenario {
    let spot = json!({"preemptibles": true, "snapshot_every_s": 3.0, "snapshot_s": 0.5});
    let large = json!({"cpus": 3.0, "memory_gb": 10.0, "preemptibles": true});
    let small = json!({"cpus": 0.5, "memory_gb": 1.0, "rank": "urgent"});
    let whole = json!({"cpus": 6.0, "gpus": 1.0});
    let jobs = (0..6u32).flat_map(|i| {
        let at = 1.0 + f64::from(i) * 7.0;
        [
            (at, 9.0, "sweep", 9, spot.clone()),
            (at + 0.1, 6.0, "sweep", 4, large.clone()),
            (at + 0.2, 4.0, "sweep", 7, small.clone()),
            (at + 0.3, 8.0, "sweep", 2, whole.clone()),
        ]
    });
    Scenario {
        name: "placement",
        seed: 14,
        rounds: 0,
        jobs: jobs.collect(),
        until_s: 70.0,
        ..Scenario::default()
    }
}

#[test]
fn arrays_of_many_sizes_are_placed() {
    placement().expect_hash(PLACEMENT);
}

/// Guards against a fingerprint that does not cover some behaviour: a small change of a value that
/// affects elections, placement or scale-in must change the hash.
#[test]
fn one_tuning_value_changes_the_fingerprint() {
    let variant = |name, scenario: Scenario, tune| Scenario {
        name,
        tune,
        ..scenario
    };
    let longer_lease = variant("lease-length", normal(), |t| t.leader_ttl_ms += 1);
    let fewer_bids = variant("auction-cap", normal(), |t| t.auction_cap = 2);
    let faster_headroom_decay =
        variant("headroom", placement(), |t| t.headroom_decay_per_s = 0.011);
    let sooner_returned = variant("idle-time", scale_in(), |t| t.scale_in_idle_s = 7.0);
    for (scenario, pinned) in [
        (longer_lease, NORMAL),
        (fewer_bids, NORMAL),
        (faster_headroom_decay, PLACEMENT),
        (sooner_returned, SCALE_IN),
    ] {
        assert_ne!(scenario.run().0, pinned, "{}", scenario.name);
    }
}
