//! Whole simulated days: the sites they begin with, the jobs of a day, and what is expected of it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use copperfield::settings::{Switch, Tuning};
use copperfield_simulation::cluster::Site;
use copperfield_simulation::state_service::StateService;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::fake_workers::simulate_workers;
use super::faults::{Fault, inject_fault};
use super::users::simulate_user;
use super::{CONTROLLERS, SharedCluster, SimulatedCluster, start_controller};

/// Of jobs that users submit in a day, 9 s apart.
pub const JOB_ROUNDS: u32 = 6;

/// Of a day's end, when all troubles are long over: the operators allow 75 s, users ask every
/// second or two, and each question has its deadline.
pub const MAX_UNANSWERED_S: f64 = 12.0;

/// Of a day's end likewise: the operators allow 90 s.
pub const MAX_PLACEMENT_WAIT_S: f64 = 20.0;

pub fn job(id: usize, shape: &str, tasks: u32, extra: Value) -> Value {
    let mut body = json!({"uid": format!("wk-{id:06}"), "jobclass": shape, "owner": "team", "shape": shape,
        "rank": if shape == "service" { "production" } else { "normal" }, "shards": tasks, "cpus": 2.0, "gpus": 0.0,
        "memory_gb": 4.0, "bundle": format!("img-{}", id % 3), "pull_gb": 0.5, "flavors": null, "region": null,
        "one_zone": false, "spread": false, "preemptibles": false, "runtime_s": 4.0, "snapshot_every_s": 0.0,
        "snapshot_s": 0.0, "due_s": null});
    for (k, v) in extra.as_object().unwrap() {
        body[k] = v.clone();
    }
    body
}

/// Six workers in two zones, and three controllers that have just started.
pub fn start_cluster(seed: u64, loss: f64) -> SharedCluster {
    start_limited_cluster(seed, loss, 0.0)
}

/// The same, and the team may use so many CPUs at once; 0 for no limit.
pub fn start_limited_cluster(seed: u64, loss: f64, limit: f64) -> SharedCluster {
    start_tuned_cluster(seed, loss, limit, |_| ())
}

/// The same under controllers whose tuning is changed.
pub fn start_tuned_cluster(
    seed: u64,
    loss: f64,
    limit: f64,
    tune: fn(&mut Tuning),
) -> SharedCluster {
    start_cluster_on(seed, loss, limit, tune, Site::default())
}

/// Workers keep their leases for longer than cancellations leave time for a renewal, as on the
/// operators' large sites: one that is out of reach may come back within its lease and too late to
/// be answered without its stops.
pub fn start_long_lease_cluster(seed: u64) -> SharedCluster {
    let mut site = Site::default();
    site.lease_s = LONG_LEASE_S;
    site.cancel_s = LONG_LEASE_S + LONG_LEASE_SLACK_S;
    start_cluster_on(seed, 0.0, 0.0, |_| (), site)
}

/// Of [`start_long_lease_cluster`].
pub const LONG_LEASE_S: f64 = 14.0;

/// How long after a cancellation a lease may be renewed without the stops that it orders.
pub const LONG_LEASE_SLACK_S: f64 = 10.0;

pub(super) fn start_cluster_on(
    seed: u64,
    loss: f64,
    limit: f64,
    tune: fn(&mut Tuning),
    site: Site,
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
        messages: 0,
    }));
    if limit > 0.0 {
        let team = ("team".to_string(), limit);
        cluster.lock().unwrap().site.cpu_limits.extend([team]);
    }
    for i in 0..6 {
        let zone = if i % 2 == 0 { "a" } else { "b" };
        cluster.lock().unwrap().site.add_worker(
            if i < 4 { "small" } else { "big" },
            zone,
            false,
            0.0,
        );
    }
    for i in 0..CONTROLLERS {
        start_controller(&cluster, i, seed * 1000);
    }
    cluster
}

/// In simulated time.
pub fn simulate<T>(day: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    runtime.unwrap().block_on(day)
}

/// Plays a day and returns the rules broken, the starts, and which jobs were told done.
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

/// The same in a world that was made for it.
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
        "no such message: {:?}",
        w.crash_at_state_message
    );
    assert!(
        w.lose_peer_message.is_none(),
        "no such message: {:?}",
        w.lose_peer_message
    );
    let told = w
        .site
        .jobs
        .iter()
        .map(|(k, j)| (k.clone(), j.reported_phase))
        .collect();
    (w.site.violations.clone(), w.site.start_count, told)
}

/// Every rule holds, and by the end every job that was not cancelled and can end has ended.
pub fn expect_clean(name: &str, seeds: std::ops::Range<u64>, faults: &[(f64, Fault)], loss: f64) {
    expect_clean_until(name, seeds, faults, loss, 150.0, JOB_ROUNDS);
}

pub fn expect_clean_until(
    name: &str,
    seeds: std::ops::Range<u64>,
    faults: &[(f64, Fault)],
    loss: f64,
    until: f64,
    rounds: u32,
) {
    for seed in seeds {
        let day = run_scenario(seed, faults, loss, until, rounds);
        expect_clean_run(name, seed, rounds, day);
    }
}

pub fn expect_clean_run(
    name: &str,
    seed: u64,
    rounds: u32,
    (broken, starts, told): (Vec<String>, usize, BTreeMap<String, Option<&'static str>>),
) {
    assert!(broken.is_empty(), "{name}, seed {seed}: {broken:#?}");
    let least = 9 * rounds as usize;
    assert!(starts > least, "{name}, seed {seed}: only {starts} starts");
    let open = never_ended(&told);
    assert!(
        open.is_empty(),
        "{name}, seed {seed}: never ended: {open:?}"
    );
}

/// Jobs of which no user was told an end, but for the services of a day.
pub fn never_ended<'a>(told: &'a BTreeMap<String, Option<&'static str>>) -> Vec<&'a String> {
    let endless = |id: &str| id[3..].parse::<u32>().expect("our own") % 4 == 2;
    let open = told.iter().filter(|(id, t)| t.is_none() && !endless(id));
    open.map(|(id, _)| id).collect()
}
