//! Scenarios: the cluster at the beginning, the jobs that users submit, the faults, and the checks
//! at the end.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use copperfield::settings::{Switch, Tuning};
use copperfield_simulation::cluster::{LEASE_S, Site};
use copperfield_simulation::state_service::StateService;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::fake_workers::simulate_workers;
use super::faults::{Fault, inject_fault};
use super::users::simulate_user;
use super::{CONTROLLERS, SharedCluster, SimulatedCluster, start_controller};

/// Rounds of jobs that users submit in a scenario by default, 9 s apart.
pub const JOB_ROUNDS: u32 = 6;

/// Maximum time in seconds for which a polling user gets no answer, checked at the end of a
/// scenario, long after the last fault. Operators allow 75 s. This limit is lower, because users
/// poll every second or two and each request has a deadline.
pub const MAX_UNANSWERED_S: f64 = 12.0;

/// Maximum time in seconds that a task waits while a worker has room for it, checked at the end of
/// a scenario. Operators allow 90 s.
pub const MAX_PLACEMENT_WAIT_S: f64 = 20.0;

/// The body of a job, with the fields of `extra` instead of the default ones.
pub fn job(id: usize, shape: &str, tasks: u32, extra: Value) -> Value {
    let mut body = json!({"uid": format!("wk-{id:06}"), "jobclass": shape, "owner": "team", "shape": shape,
        "rank": if shape == "service" { "production" } else { "normal" }, "shards": tasks, "cpus": 2.0, "gpus": 0.0,
        "memory_gb": 4.0, "bundle": format!("img-{}", id % 3), "pull_gb": 0.5, "flavors": null, "region": null,
        "one_zone": false, "spread": false, "preemptibles": false, "runtime_s": 4.0, "snapshot_every_s": 0.0,
        "snapshot_s": 0.0, "due_s": null});
    for (field, value) in extra.as_object().unwrap() {
        body[field] = value.clone();
    }
    body
}

/// Starts a cluster of six workers in two zones and three controllers. `loss` is the share of
/// answers that are lost.
pub fn start_cluster(seed: u64, loss: f64) -> SharedCluster {
    start_limited_cluster(seed, loss, 0.0)
}

/// Starts the cluster of [`start_cluster`] with a limit on the CPUs that the team may use at once;
/// 0 for no limit.
pub fn start_limited_cluster(seed: u64, loss: f64, limit: f64) -> SharedCluster {
    start_tuned_cluster(seed, loss, limit, |_| ())
}

/// Starts the cluster of [`start_limited_cluster`] with changed tuning of the controllers.
pub fn start_tuned_cluster(
    seed: u64,
    loss: f64,
    limit: f64,
    tune: fn(&mut Tuning),
) -> SharedCluster {
    start_cluster_on(seed, loss, limit, tune, Site::default())
}

/// Starts a cluster whose worker leases are longer than the time that a cancellation leaves for a
/// renewal, as on large sites. A worker that was unreachable may return within its lease but too
/// late for a renewal that does not deliver its stop commands.
pub fn start_long_lease_cluster(seed: u64) -> SharedCluster {
    start_cluster_on(seed, 0.0, 0.0, |_| (), site_with_leases(LONG_LEASE_S))
}

/// A site with worker leases of the given length in seconds, and the slack of
/// [`LONG_LEASE_SLACK_S`].
fn site_with_leases(lease_s: f64) -> Site {
    let mut site = Site::default();
    site.lease_s = lease_s;
    site.cancel_s = lease_s + LONG_LEASE_SLACK_S;
    site
}

/// Length of the worker leases in the cluster of [`start_long_lease_cluster`], in seconds.
pub const LONG_LEASE_S: f64 = 14.0;

/// How long after a cancellation a lease may be renewed without delivering the stop commands, in
/// the cluster of [`start_long_lease_cluster`].
pub const LONG_LEASE_SLACK_S: f64 = 10.0;

/// A worker of the initial fleet: its machine type, its zone, and whether it is a spot worker.
pub type FleetWorker = (&'static str, &'static str, bool);

/// The initial fleet of most scenarios.
const DEFAULT_FLEET: [FleetWorker; 6] = [
    ("small", "a", false),
    ("small", "b", false),
    ("small", "a", false),
    ("small", "b", false),
    ("big", "a", false),
    ("big", "b", false),
];

/// Age of the cloud's list of workers in the cluster of [`start_fleet`], in seconds, as in the
/// settings of the controllers.
const LIST_LAG_S: f64 = 1.0;

/// Starts a cluster with this fleet instead of the default one. The cloud's list of workers lags.
pub fn start_fleet(seed: u64, fleet: &[FleetWorker], tune: fn(&mut Tuning)) -> SharedCluster {
    start_fleet_with_leases(seed, fleet, tune, LEASE_S)
}

/// Starts the cluster of [`start_fleet`] with worker leases of the given length in seconds.
pub fn start_fleet_with_leases(
    seed: u64,
    fleet: &[FleetWorker],
    tune: fn(&mut Tuning),
    lease_s: f64,
) -> SharedCluster {
    let mut site = site_with_leases(lease_s);
    site.list_lag_s = LIST_LAG_S;
    start_fleet_on(seed, 0.0, 0.0, tune, site, fleet)
}

/// Starts a cluster on the given site, to which it adds the six workers.
pub(super) fn start_cluster_on(
    seed: u64,
    loss: f64,
    limit: f64,
    tune: fn(&mut Tuning),
    site: Site,
) -> SharedCluster {
    start_fleet_on(seed, loss, limit, tune, site, &DEFAULT_FLEET)
}

fn start_fleet_on(
    seed: u64,
    loss: f64,
    limit: f64,
    tune: fn(&mut Tuning),
    site: Site,
    fleet: &[FleetWorker],
) -> SharedCluster {
    let cluster: SharedCluster = Arc::new(Mutex::new(SimulatedCluster {
        site,
        state: StateService::default(),
        controllers: vec![None; CONTROLLERS],
        alive: vec![Arc::default(); CONTROLLERS],
        paused: BTreeSet::new(),
        partitions: BTreeSet::new(),
        refused_by_state: BTreeSet::new(),
        inbound_dropped: BTreeSet::new(),
        late_transactions: 0.0,
        duplicate_heartbeats: 0.0,
        late_commands: 0.0,
        repeated_commands: 0.0,
        repeated_requests: 0.0,
        process_starts: 0,
        lost_transaction_answers: 0.0,
        heartbeats_dropped: BTreeSet::new(),
        replayed_heartbeats: 0.0,
        zone_partitioned: false,
        request_bursts: false,
        cancel_on_completion: 0.0,
        answer_loss: loss,
        crash_at_state_message: None,
        lose_peer_message: None,
        sharding: [Switch::On; CONTROLLERS],
        heartbeat_targets: BTreeMap::new(),
        answered_by: BTreeMap::new(),
        rng: StdRng::seed_from_u64(seed),
        start: Instant::now(),
        tune,
        recorder: None,
        message_count: 0,
    }));
    if limit > 0.0 {
        let team = ("team".to_string(), limit);
        cluster.lock().unwrap().site.cpu_limits.extend([team]);
    }
    for (machine_type, zone, spot) in fleet {
        let site = &mut cluster.lock().unwrap().site;
        site.add_worker(machine_type, zone, *spot, 0.0);
    }
    for i in 0..CONTROLLERS {
        start_controller(&cluster, i, seed * 1000);
    }
    cluster
}

/// Runs a scenario in simulated time.
pub fn simulate<T>(scenario: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    runtime.unwrap().block_on(scenario)
}

/// Starts a cluster and runs a scenario on it. Returns the violated rules, the number of task
/// starts, and the terminal phase that the user of each job received.
pub fn run_scenario(
    seed: u64,
    faults: &[(f64, Fault)],
    loss: f64,
    until: f64,
    rounds: u32,
) -> (Vec<String>, usize, BTreeMap<String, Option<&'static str>>) {
    simulate(async move {
        let cluster = start_cluster(seed, loss);
        run_scenario_on(cluster, seed, faults, until, rounds).await
    })
}

/// Runs a scenario on a cluster: `rounds` rounds of jobs and the given faults, until `until`
/// seconds. Returns the same as [`run_scenario`].
pub async fn run_scenario_on(
    cluster: SharedCluster,
    seed: u64,
    faults: &[(f64, Fault)],
    until: f64,
    rounds: u32,
) -> (Vec<String>, usize, BTreeMap<String, Option<&'static str>>) {
    tokio::spawn(simulate_workers(cluster.clone()));
    let mut id = 0;
    for round in 0..rounds {
        let at = 1.0 + f64::from(round) * 9.0;
        let kinds = [
            ("sweep", 6, json!({}), None),
            (
                "service",
                2,
                json!({"spread": true}),
                (round % 3 == 1).then_some(12.0),
            ),
            ("group", 3, json!({"one_zone": true, "cpus": 1.0}), None),
            (
                "sweep",
                9,
                json!({"rank": "urgent", "cpus": 1.0}),
                (round % 2 == 1).then_some(3.0),
            ),
        ];
        for (shape, tasks, extra, cancel) in kinds {
            id += 1;
            let body = job(id, shape, tasks, extra);
            tokio::spawn(simulate_user(
                cluster.clone(),
                format!("wk-{id:06}"),
                body,
                4.0,
                at,
                cancel,
            ));
        }
    }
    for (at, fault) in faults.iter().copied() {
        tokio::spawn(inject_fault(cluster.clone(), at, fault, seed));
    }
    sleep(Duration::from_secs_f64(until)).await;
    let mut w = cluster.lock().unwrap();
    w.site.now = w.now();
    w.site.check_jobs_answered(MAX_UNANSWERED_S);
    w.site.check_waiting_jobs(MAX_PLACEMENT_WAIT_S);
    assert!(
        w.crash_at_state_message.is_none(),
        "the message to the state service at which its sender crashes was not sent: {:?}",
        w.crash_at_state_message
    );
    assert!(
        w.lose_peer_message.is_none(),
        "the peer message to lose was not sent: {:?}",
        w.lose_peer_message
    );
    let phases = w
        .site
        .jobs
        .iter()
        .map(|(k, j)| (k.clone(), j.reported_phase))
        .collect();
    (w.site.violations.clone(), w.site.start_count, phases)
}

/// Runs one scenario per seed and checks it with [`expect_clean_run`].
pub fn expect_clean(name: &str, seeds: std::ops::Range<u64>, faults: &[(f64, Fault)], loss: f64) {
    expect_clean_until(name, seeds, faults, loss, 150.0, JOB_ROUNDS);
}

/// Like [`expect_clean`], with the given end and number of rounds of jobs.
pub fn expect_clean_until(
    name: &str,
    seeds: std::ops::Range<u64>,
    faults: &[(f64, Fault)],
    loss: f64,
    until: f64,
    rounds: u32,
) {
    for seed in seeds {
        let run = run_scenario(seed, faults, loss, until, rounds);
        expect_clean_run(name, seed, rounds, run);
    }
}

/// Checks that a run violated no rule, started more than 9 tasks per round, and ended every job but
/// the services.
pub fn expect_clean_run(
    name: &str,
    seed: u64,
    rounds: u32,
    (violations, starts, phases): (Vec<String>, usize, BTreeMap<String, Option<&'static str>>),
) {
    assert!(
        violations.is_empty(),
        "{name}, seed {seed}: {violations:#?}"
    );
    let min_starts = 9 * rounds as usize;
    assert!(
        starts > min_starts,
        "{name}, seed {seed}: only {starts} starts"
    );
    let unfinished = unfinished_jobs(&phases);
    assert!(
        unfinished.is_empty(),
        "{name}, seed {seed}: never ended: {unfinished:?}"
    );
}

/// Returns the jobs whose users received no terminal phase. Leaves out the services that
/// [`run_scenario_on`] submits, which never end: every fourth job, from the second on.
pub fn unfinished_jobs<'a>(phases: &'a BTreeMap<String, Option<&'static str>>) -> Vec<&'a String> {
    let service = |id: &str| id[3..].parse::<u32>().expect("job ids end in a number") % 4 == 2;
    let unfinished = phases
        .iter()
        .filter(|(id, phase)| phase.is_none() && !service(id));
    unfinished.map(|(id, _)| id).collect()
}
