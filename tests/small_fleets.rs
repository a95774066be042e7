//! Small fleets that lose their last workers, in all zones or in one. Operators allow 90 s until a
//! job runs again.

mod simulated_cluster;

use copperfield::settings::{Switch, Tuning};
use copperfield_simulation::cluster::LEASE_S;
use copperfield_simulation::history::EventKind;
use serde_json::{Value, json};
use tokio::time::{Duration, sleep};

use simulated_cluster::*;

/// When the workers are lost, in seconds. The job is running by then.
const LOST_AT_S: f64 = 10.0;
/// Maximum time in seconds until a job runs again.
const MAX_RECOVERY_S: f64 = 90.0;
/// How long a task runs, in seconds.
const RUNTIME_S: f64 = 30.0;
/// Spot workers in the two zones.
const SPOT_A: FleetWorker = ("small", "a", true);
const SPOT_B: FleetWorker = ("small", "b", true);
/// The id of the job in each run.
const JOB: &str = "wk-000001";

/// The number of seeds with which each loss is simulated.
const SEEDS: u64 = 4;

/// What happened after the workers were lost.
#[derive(Debug)]
struct Recovery {
    /// Seconds until every task of the job has been started again.
    after_s: Option<f64>,
    /// The number of leaders elected.
    elections: usize,
    violations: Vec<String>,
}

/// Simulates losses of a fleet, each given by its faults. Checks that no rule is violated and that
/// the job runs again in time. Returns the largest number of leaders elected in a run.
fn expect_recovery<'a>(
    fleet: &[FleetWorker],
    job_fields: &Value,
    tune: fn(&mut Tuning),
    losses: impl IntoIterator<Item = &'a [(f64, Fault)]>,
) -> usize {
    let mut most_elections = 0;
    for faults in losses {
        for seed in 0..SEEDS {
            let recovery = lose_workers(seed, fleet, job_fields.clone(), tune, faults);
            let in_time = recovery.after_s.is_some_and(|s| s <= MAX_RECOVERY_S);
            assert!(
                in_time && recovery.violations.is_empty(),
                "seed {seed}, {faults:?}: {recovery:#?}"
            );
            most_elections = most_elections.max(recovery.elections);
        }
    }
    most_elections
}

/// The losses of all workers of a zone: taken, if they are spot workers, or hung for good.
fn losses_of(zone: &'static str) -> [Fault; 2] {
    [
        Fault::TakeAllSpotWorkers(zone),
        Fault::HangAllWorkers(zone, 200.0),
    ]
}

/// Runs a job of two tasks on a fleet that loses workers at [`LOST_AT_S`] by the given faults, whose
/// times are relative to that.
fn lose_workers(
    seed: u64,
    fleet: &[FleetWorker],
    job_fields: Value,
    tune: fn(&mut Tuning),
    faults: &[(f64, Fault)],
) -> Recovery {
    simulate(async move {
        let cluster = start_fleet(seed, fleet, tune);
        tokio::spawn(simulate_workers(cluster.clone()));
        let mut body = job(1, "sweep", 2, job_fields);
        body["preemptibles"] = json!(true);
        let user = simulate_user(cluster.clone(), JOB.into(), body, RUNTIME_S, 2.0, None);
        tokio::spawn(user);
        for (at, fault) in faults.iter().copied() {
            tokio::spawn(inject_fault(cluster.clone(), LOST_AT_S + at, fault, seed));
        }
        sleep(Duration::from_secs_f64(LOST_AT_S)).await;
        let mut tokens = vec![leader_token(&cluster)];
        let mut after_s = None;
        while after_s.is_none() && cluster.lock().unwrap().now() < LOST_AT_S + MAX_RECOVERY_S {
            sleep(Duration::from_millis(100)).await;
            let token = leader_token(&cluster);
            if token.is_some() && tokens.last() != Some(&token) {
                tokens.push(token);
            }
            after_s = restarted_at(&cluster).map(|at| at - LOST_AT_S);
        }
        let violations = cluster.lock().unwrap().site.violations.clone();
        Recovery {
            after_s,
            elections: tokens.len() - 1,
            violations,
        }
    })
}

/// When the last of the job's two tasks was started after the workers were lost.
fn restarted_at(cluster: &SharedCluster) -> Option<f64> {
    let w = cluster.lock().unwrap();
    let started = |task: String| {
        let mut events = w.site.history.events().iter();
        events
            .find(|e| e.kind == EventKind::Started && e.task == task && e.at > LOST_AT_S)
            .map(|e| e.at)
    };
    let first = started(format!("{JOB}/0"))?;
    Some(first.max(started(format!("{JOB}/1"))?))
}

fn leader_token(cluster: &SharedCluster) -> Option<u64> {
    leader_key(cluster).and_then(|key| key["stamp"].as_u64())
}

fn with_one_worker(tuning: &mut Tuning) {
    tuning.fleet_max = 1;
}

fn without_sharding(tuning: &mut Tuning) {
    tuning.sharding = Switch::Off;
}

/// Guards against leaders that take the loss of the last worker for a partition. Each resigned
/// before the worker's lease had expired, and the job never ran again.
#[test]
fn a_job_runs_again_after_the_last_worker_was_taken() {
    let taken = [(0.0, Fault::TakeAllSpotWorkers("*"))];
    let elections = expect_recovery(&[SPOT_A], &json!({}), |_| (), [&taken[..]]);
    assert_eq!(elections, 0);
}

/// Guards against the same loop where the leader cannot know what one controller receives: the
/// controllers do not share the workers, or one of them has crashed. Each controller may resign
/// once before the leases have expired, and one more when they have.
#[test]
fn leaders_that_hear_no_worker_resign_once_each() {
    let taken = (0.0, Fault::TakeAllSpotWorkers("*"));
    let follower_down = (-1.0, Fault::StopFollower);
    for (tune, faults) in [
        (without_sharding as fn(&mut Tuning), vec![taken]),
        (|_| (), vec![follower_down, taken]),
    ] {
        let elections = expect_recovery(&[SPOT_A], &json!({}), tune, [&faults[..]]);
        assert!(
            elections <= CONTROLLERS + 1,
            "{faults:?}: {elections} leaders"
        );
    }
}

/// Waits until the leader differs from `previous`, and returns for how many seconds.
async fn await_other_leader(cluster: &SharedCluster, previous: usize) -> f64 {
    let began_at = cluster.lock().unwrap().now();
    loop {
        let waited_s = cluster.lock().unwrap().now() - began_at;
        if leader(cluster).is_some_and(|now| now != previous) {
            return waited_s;
        }
        assert!(waited_s < MAX_RECOVERY_S, "host-{previous} still leads");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a partitioned leader that never resigns, although other controllers hear the
/// workers. It may lead for about a lease before, if it has resigned once and heard no worker since.
#[test]
fn a_leader_partitioned_from_workers_and_peers_resigns_each_time() {
    let fleet = [("small", "a", false), ("small", "b", false)];
    for seed in 0..4 {
        let terms_s = simulate(async move {
            let cluster = start_fleet(seed, &fleet, |_| ());
            tokio::spawn(simulate_workers(cluster.clone()));
            sleep(Duration::from_secs_f64(LOST_AT_S)).await;
            let first = leader(&cluster).expect("a leader");
            let fault = Fault::PartitionLeaderFromWorkersAndPeers(200.0);
            tokio::spawn(inject_fault(cluster.clone(), 0.0, fault, seed));
            let first_term_s = await_other_leader(&cluster, first).await;
            let others = (0..CONTROLLERS).filter(|&i| i != first);
            others.clone().for_each(|i| kill_controller(&cluster, i));
            while leader(&cluster) != Some(first) {
                sleep(Duration::from_millis(50)).await;
            }
            others.for_each(|i| start_controller(&cluster, i, seed));
            [first_term_s, await_other_leader(&cluster, first).await]
        });
        assert!(terms_s[0] < LEASE_S, "seed {seed}: {terms_s:?}");
        assert!(terms_s[1] < 2.0 * LEASE_S + 2.0, "seed {seed}: {terms_s:?}");
    }
}
/// Guards against a zone that is taken for unreachable because the machines that it had are gone.
#[test]
fn a_job_bound_to_a_zone_runs_again_after_the_zone_lost_its_workers() {
    let fleet = [SPOT_B, SPOT_A, SPOT_A, SPOT_A];
    let [taken, hung] = losses_of("b");
    let losses = [taken, hung, Fault::KillWorker(1)].map(|fault| [(0.0, fault)]);
    let bound = json!({"region": "b"});
    expect_recovery(&fleet, &bound, |_| (), losses.iter().map(|loss| &loss[..]));
}

/// A zone that is partitioned for longer than a lease. A job bound to it needs four workers. None is
/// requested while its tasks may still run there, then one at a time: the next one when a boot is
/// overdue, and one that does not boot is returned.
#[test]
fn a_partitioned_zone_gets_one_worker_at_a_time() {
    const PARTITION_S: f64 = 60.0;
    const MAX_UNBOOTED: usize = 3;
    let mut fleet = vec![("small", "a", false); 4];
    fleet.extend([("small", "b", false); 4]);
    for seed in 0..2 {
        let fleet = &fleet;
        let (first_at, most, phase) = simulate(async move {
            let cluster = start_fleet(seed, fleet, |_| ());
            tokio::spawn(simulate_workers(cluster.clone()));
            let body = job(1, "sweep", 8, json!({"region": "b"}));
            let user = simulate_user(cluster.clone(), JOB.into(), body, RUNTIME_S, 2.0, None);
            tokio::spawn(user);
            let fault = Fault::PartitionZone(PARTITION_S);
            tokio::spawn(inject_fault(cluster.clone(), LOST_AT_S, fault, seed));
            let (mut first_at, mut most) = (None, 0);
            while cluster.lock().unwrap().now() < LOST_AT_S + PARTITION_S {
                sleep(Duration::from_millis(200)).await;
                let requested = cluster.lock().unwrap().site.workers.len() - fleet.len();
                if requested > 0 {
                    first_at.get_or_insert(cluster.lock().unwrap().now());
                }
                most = most.max(requested);
            }
            sleep(Duration::from_secs_f64(2.0 * RUNTIME_S)).await;
            let phase = cluster.lock().unwrap().site.jobs[JOB].reported_phase;
            (first_at, most, phase)
        });
        let context = format!("seed {seed}: {most} workers, the first at {first_at:?} s");
        let expired_at = LOST_AT_S + LEASE_S;
        assert!(first_at.is_some_and(|at| at > expired_at), "{context}");
        assert!(most <= MAX_UNBOOTED, "{context}");
        assert_eq!(phase, Some("done"), "{context}");
    }
}

/// Guards against a job that may run in any zone and is kept from all, because each has lost its
/// workers.
#[test]
fn a_job_runs_again_after_every_zone_lost_its_workers() {
    let losses = losses_of("*").map(|fault| [(0.0, fault)]);
    let losses = losses.iter().map(|loss| &loss[..]);
    expect_recovery(&[SPOT_A, SPOT_B], &json!({}), |_| (), losses);
}

/// The leader crashes just before or some time after the loss, so the next leader never hears the
/// lost workers.
#[test]
fn a_job_runs_again_under_a_leader_that_never_heard_the_lost_workers() {
    for crash_at in [-0.2, 1.0, 5.0, 12.0] {
        let crash = (crash_at, Fault::RestartLeaders(1, 0.5));
        let losses = losses_of("*").map(|fault| [crash, (0.0, fault)]);
        let losses = losses.iter().map(|loss| &loss[..]);
        expect_recovery(&[SPOT_A, SPOT_B], &json!({}), |_| (), losses);
    }
}

/// Guards against lost workers that count towards the maximum size of the fleet for as long as the
/// leader leads, so that no worker is requested in their place.
#[test]
fn a_job_runs_again_after_a_fleet_of_maximum_size_was_lost() {
    let [taken, hung] = losses_of("*");
    let losses = [taken, hung, Fault::KillWorker(1)].map(|fault| [(0.0, fault)]);
    let losses = losses.iter().map(|loss| &loss[..]);
    expect_recovery(&[SPOT_A], &json!({}), with_one_worker, losses);
}

/// Guards against a job bound to a zone that waits for a worker that boots in another zone.
#[test]
fn a_worker_that_boots_elsewhere_does_not_delay_a_job_bound_to_a_zone() {
    const BOOT_S: f64 = 20.0;
    let requested_zones = simulate(async {
        let cluster = start_fleet(1, &[], |_| ());
        cluster.lock().unwrap().site.boot_s = BOOT_S;
        tokio::spawn(simulate_workers(cluster.clone()));
        for (id, at, fields) in [
            (1, 2.0, json!({"region": "a"})),
            (3, 5.0, json!({"region": "b"})),
        ] {
            let body = job(id, "sweep", 1, fields);
            let id = format!("wk-{id:06}");
            tokio::spawn(simulate_user(
                cluster.clone(),
                id,
                body,
                RUNTIME_S,
                at,
                None,
            ));
        }
        sleep(Duration::from_secs_f64(2.0 + BOOT_S / 2.0)).await;
        let w = cluster.lock().unwrap();
        let zones: Vec<String> = w.site.workers.values().map(|w| w.zone.clone()).collect();
        zones
    });
    assert_eq!(requested_zones, ["a", "b"]);
}
