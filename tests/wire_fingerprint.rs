//! What controllers say on the wire on fixed simulated days, pinned: a hash over every message
//! (simulated time, sender, receiver, port, method, path, body) and every answer (status, body), in
//! order. A change that means to leave the software's behaviour as it is must leave these hashes.
//!
//! To see what differs, write the messages of two versions and compare them, one file for each day:
//! `WIRE_LOG=/tmp/before cargo test --test wire_fingerprint`, then `diff /tmp/before.DAY
//! /tmp/after.DAY`. A hash changes only together with a commit that changes the behaviour on
//! purpose and says so; the failing test prints the new one.

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

/// The random number generator of the system, for this test program: always the same bytes.
///
/// Where a message and a tick are due in the same millisecond, `tokio::select!` draws which of them
/// is first, from a generator of the runtime. Without `--cfg tokio_unstable` that can only be seeded
/// from here, by way of the keys of the standard library's `RandomState`.
///
/// # Safety
///
/// As in the C library, `buffer` must be valid for writes of `length` bytes.
#[expect(
    unsafe_code,
    reason = "the C library's symbol can be replaced in no other way"
)]
#[unsafe(no_mangle)]
pub unsafe extern "C" fn getrandom(buffer: *mut u8, length: usize, _flags: u32) -> isize {
    // SAFETY: the caller's promise.
    unsafe { buffer.write_bytes(0x5a, length) };
    length as isize
}

/// Days and variants of days, each with a runtime of its own. A new one goes to the end.
const RUNTIME_NAMES: [&str; RUNTIMES_COUNT] = [
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
const RUNTIMES_COUNT: usize = 18;

/// How a runtime is seeded also depends on how many were made in this process before, and on the
/// thread: so all are made in a row before any is used, on a thread of their own.
static RUNTIMES: LazyLock<Mutex<Vec<Option<Runtime>>>> = LazyLock::new(|| {
    let paused = || {
        let mut builder = Builder::new_current_thread();
        let runtime = builder.enable_time().start_paused(true).build();
        Some(runtime.expect("a runtime"))
    };
    let all = std::thread::spawn(move || RUNTIME_NAMES.map(|_| paused()).into());
    Mutex::new(all.join().expect("no panic"))
});

fn take_runtime(name: &str) -> Runtime {
    let place = RUNTIME_NAMES.iter().position(|n| *n == name);
    let place = place.unwrap_or_else(|| panic!("{name} is not in RUNTIME_NAMES"));
    let runtime = RUNTIMES.lock().unwrap()[place].take();
    runtime.unwrap_or_else(|| panic!("{name} is played twice"))
}

/// FNV-1a with 64 bits.
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

/// One simulated day.
struct Day {
    name: &'static str,
    seed: u64,
    faults: Vec<(f64, Fault)>,
    /// Share of answers that are lost.
    loss: f64,
    /// CPUs that the team may use; 0 for no limit.
    limit: f64,
    until_s: f64,
    /// Of the jobs of every day: two arrays, a service and a gang each, some cancelled.
    rounds: u32,
    /// When a job is submitted, how long a task runs, its shape, tasks, and what else it says.
    jobs: Vec<(f64, f64, &'static str, u32, Value)>,
    /// When an operator asks, and the path and body.
    orders: Vec<(f64, &'static str, &'static str)>,
    tune: fn(&mut Tuning),
}

impl Default for Day {
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
            orders: Vec::new(),
            tune: |_| (),
        }
    }
}

/// Jobs of [`Day::jobs`] are numbered from here, in steps that are not those of services without
/// end in the jobs of every day.
const FIRST_ID: usize = 100;
const ID_STEP: usize = 4;

/// What was recorded of a day.
struct Wire {
    hash: Fnv,
    lines: u64,
    log: Option<BufWriter<File>>,
}

impl Wire {
    /// With a log of the day if `WIRE_LOG` asks for one.
    fn of_day(name: &str) -> Self {
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

    fn take(&mut self, line: &str) {
        self.hash.update(line.as_bytes());
        self.lines += 1;
        if let Some(log) = &mut self.log {
            log.write_all(line.as_bytes()).expect("a writable path");
        }
    }
}

impl Day {
    /// Plays the day; its hash, and the number of lines that it is over.
    fn play(&self) -> (u64, u64) {
        let wire = Arc::new(Mutex::new(Wire::of_day(self.name)));
        let runtime = take_runtime(self.name);
        // A new thread: its hash maps have the same keys in every run.
        std::thread::scope(|scope| {
            let day = scope.spawn(|| runtime.block_on(self.live(wire.clone())));
            day.join().expect("no panic");
        });
        let mut wire = wire.lock().unwrap();
        if let Some(log) = &mut wire.log {
            log.flush().expect("a writable path");
        }
        (wire.hash.0, wire.lines)
    }

    async fn live(&self, wire: Arc<Mutex<Wire>>) {
        let cluster = start_tuned_cluster(self.seed, self.loss, self.limit, self.tune);
        cluster.lock().unwrap().recorder =
            Some(Box::new(move |line| wire.lock().unwrap().take(&line)));
        for (i, (at, run_s, shape, tasks, extra)) in self.jobs.iter().enumerate() {
            let number = FIRST_ID + i * ID_STEP;
            let body = job(number, shape, *tasks, extra.clone());
            let id = format!("wk-{number:06}");
            tokio::spawn(simulate_user(cluster.clone(), id, body, *run_s, *at, None));
        }
        for &(at, path, body) in &self.orders {
            tokio::spawn(operator(cluster.clone(), at, path, body));
        }
        let day = run_scenario_on(
            cluster.clone(),
            self.seed,
            &self.faults,
            self.until_s,
            self.rounds,
        );
        let (broken, starts, _) = day.await;
        cluster.lock().unwrap().recorder = None;
        assert_eq!(broken, [""; 0], "{}", self.name);
        assert!(starts > 5, "{}: only {starts} starts", self.name);
    }

    fn expect(self, pinned: u64) {
        let (hash, lines) = self.play();
        println!("{}: {hash:#018x}, {lines} lines", self.name);
        assert_eq!(
            hash, pinned,
            "{}: found {hash:#018x}, pinned is {pinned:#018x}, {lines} lines",
            self.name
        );
    }
}

/// An operator asks by way of any node; an empty body is a question.
async fn operator(cluster: SharedCluster, at: f64, path: &'static str, body: &'static str) {
    sleep(Duration::from_secs_f64(at)).await;
    let method = if body.is_empty() {
        Method::GET
    } else {
        Method::POST
    };
    send_user_request(&cluster, method, path, body.into()).await;
}

fn with_operators(tuning: &mut Tuning) {
    let key = OPERATOR_KEY.into();
    tuning.operators = Some(Operators { key });
    tuning.defragmentation.enabled = true;
}

/// The hash of [`normal`].
const NORMAL: u64 = 0xc568_433b_1e21_84ec;
/// The hash of [`placement`].
const PLACEMENT: u64 = 0x676f_9117_b5a7_c29f;
/// The hash of [`scale_in`].
const SCALE_IN: u64 = 0x8d95_e1ac_4e73_96d0;

fn normal() -> Day {
    let spot = json!({"preemptibles": true, "snapshot_every_s": 3.0, "snapshot_s": 0.5});
    Day {
        name: "normal",
        seed: 1,
        until_s: 90.0,
        jobs: vec![
            (2.0, 12.0, "sweep", 6, spot),
            (3.0, 6.0, "group", 4, json!({"cpus": 3.0, "rank": "urgent"})),
            (4.0, 5.0, "sweep", 1, json!({"cpus": 8.0, "gpus": 1.0})),
            (20.0, 5.0, "sweep", 30, json!({"cpus": 1.0, "due_s": 60.0})),
        ],
        ..Day::default()
    }
}

#[test]
fn normal_work_with_arrays_gangs_and_services() {
    normal().expect(NORMAL);
}

#[test]
fn team_at_its_limit() {
    let jobs = (0..6u32).map(|i| {
        let at = 1.0 + f64::from(i) * 1.5;
        (at, 4.0, "sweep", 6, json!({"cpus": 1.0}))
    });
    let day = Day {
        name: "limit",
        seed: 2,
        limit: 10.0,
        rounds: 1,
        jobs: jobs.collect(),
        ..Day::default()
    };
    day.expect(0x399c_059c_f34d_462e);
}

#[test]
fn leader_crash_and_failover() {
    let day = Day {
        name: "leader-crash",
        seed: 3,
        faults: vec![
            (8.0, Fault::RestartLeaders(1, 3.0)),
            (20.0, Fault::RestartLeaders(2, 0.1)),
            (32.0, Fault::CrashFollower(0)),
        ],
        ..Day::default()
    };
    day.expect(0xb210_e427_fddb_6d23);
}

#[test]
fn all_controllers_crash() {
    let day = Day {
        name: "all-crash",
        seed: 4,
        faults: vec![
            (9.0, Fault::CrashAll),
            (9.5, Fault::PartitionWorker(2, 14.0)),
            (26.0, Fault::RestartAll(0.2)),
        ],
        ..Day::default()
    };
    day.expect(0x9aea_4865_e01f_5e18);
}

#[test]
fn shards_move() {
    let day = Day {
        name: "shard-moves",
        seed: 5,
        faults: vec![
            (8.0, Fault::SwitchHeartbeatTargets(15, 1.0)),
            (9.2, Fault::LosePeerMessage(5, false)),
            (14.0, Fault::CrashFollower(1)),
            (20.2, Fault::LosePeerMessage(3, true)),
            (26.0, Fault::PartitionLeaderFromWorkers(6.0)),
        ],
        ..Day::default()
    };
    day.expect(0xca2b_e0f8_4f98_7f1b);
}

#[test]
fn operators_drain() {
    let saves = json!({"cpus": 1.0, "runtime_s": 40.0, "snapshot_every_s": 3.0, "snapshot_s": 0.5});
    let drain_now = r#"{"deadline_s": 6.0, "yes": true}"#;
    let day = Day {
        name: "drains",
        seed: 6,
        faults: vec![(16.0, Fault::RestartLeaders(1, 0.5))],
        jobs: vec![
            (1.0, 25.0, "sweep", 4, json!({"cpus": 1.0})),
            (1.5, 25.0, "service", 3, json!({"cpus": 1.0})),
            (2.0, 40.0, "sweep", 8, saves),
        ],
        orders: vec![
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
        ..Day::default()
    };
    day.expect(0xe735_5f2c_8a68_d41c);
}

#[test]
fn gangs_on_workers_that_fail() {
    let gang = json!({"one_zone": true, "cpus": 2.0});
    let day = Day {
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
        ..Day::default()
    };
    day.expect(0x3579_06d9_79f1_3174);
}

#[test]
fn cancellations() {
    let day = Day {
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
        ..Day::default()
    };
    day.expect(0x7299_c291_2429_4b91);
}

#[test]
fn state_service_outage() {
    let day = Day {
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
        ..Day::default()
    };
    day.expect(0x87c1_fbb3_2667_e521);
}

#[test]
fn node_refused_by_the_state_service() {
    let day = Day {
        name: "refused",
        seed: 10,
        faults: vec![
            (8.0, Fault::RefuseLeader(10.0)),
            (26.0, Fault::PartitionLeaderFromState(8.0)),
            (38.0, Fault::PauseController(1, 3.0)),
        ],
        loss: 0.002,
        ..Day::default()
    };
    day.expect(0xecfd_8e7e_5e7e_d8e8);
}

#[test]
fn cut_between_hosts() {
    let day = Day {
        name: "host-cut",
        seed: 11,
        faults: vec![
            (8.0, Fault::PartitionController(0, "host-1", 20.0)),
            (10.0, Fault::SwitchHeartbeatTargets(6, 2.0)),
            (14.0, Fault::PartitionController(1, "host-2", 8.0)),
            (26.0, Fault::PartitionLeaderFromStateAndPeers(6.0)),
            (36.0, Fault::PartitionZone(5.0)),
        ],
        ..Day::default()
    };
    day.expect(0x6159_b47f_7aca_3771);
}

/// Workers are rented for the jobs, and returned once idle.
fn scale_in() -> Day {
    Day {
        name: "scale-in",
        seed: 12,
        rounds: 0,
        jobs: vec![
            (1.0, 5.0, "sweep", 30, json!({"cpus": 2.0})),
            (4.0, 40.0, "sweep", 2, json!({"cpus": 1.0})),
        ],
        tune: |t| t.scale_in_idle_s = 8.0,
        until_s: 90.0,
        ..Day::default()
    }
}

#[test]
fn workers_are_rented_and_returned() {
    scale_in().expect(SCALE_IN);
}

#[test]
fn one_node_speaks_with_all_workers() {
    let day = Day {
        name: "no-shares",
        seed: 13,
        faults: vec![
            (9.0, Fault::RestartLeaders(1, 1.0)),
            (16.0, Fault::PartitionWorker(1, 8.0)),
            (28.0, Fault::StateOutage(3.0)),
        ],
        tune: |t| t.sharding = Switch::Off,
        ..Day::default()
    };
    day.expect(0xe5a8_549d_ab0f_ff91);
}

/// Arrays of many sizes at once, of which not all fit at first.
fn placement() -> Day {
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
    Day {
        name: "placement",
        seed: 14,
        rounds: 0,
        jobs: jobs.collect(),
        until_s: 70.0,
        ..Day::default()
    }
}

#[test]
fn arrays_of_many_sizes_are_placed() {
    placement().expect(PLACEMENT);
}

/// Sensitive: values that move an election, a placement or a return a little show in the hash.
#[test]
fn one_tuning_value_changes_the_fingerprint() {
    let variant = |name, day: Day, tune| Day { name, tune, ..day };
    let longer_lease = variant("lease-length", normal(), |t| t.leader_ttl_ms += 1);
    let fewer_bids = variant("auction-cap", normal(), |t| t.auction_cap = 2);
    let older_reports = variant("headroom", placement(), |t| t.headroom_decay_per_s = 0.011);
    let sooner_returned = variant("idle-time", scale_in(), |t| t.scale_in_idle_s = 7.0);
    for (day, pinned) in [
        (longer_lease, NORMAL),
        (fewer_bids, NORMAL),
        (older_reports, PLACEMENT),
        (sooner_returned, SCALE_IN),
    ] {
        assert_ne!(day.play().0, pinned, "{}", day.name);
    }
}
