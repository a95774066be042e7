//! Service levels under bursts, overload, partitions, failing workers, lost workers and failovers.
//!
//! Guards against starvation, where some jobs are served at the expense of others. In each scenario
//! at least half of the requested work of every class, of every team and of the largest jobs of
//! every class must be served. Each scenario runs on a site of size 1 and on one of size 1.5.

use copperfield_simulation::core_harness::CoreHarness;
use copperfield_simulation::service_levels::{RequestedJob, service_levels};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

const TYPES: &str = r#"{"flavors":[
 {"name":"small","cpus":4,"memory_gb":16,"local_gb":50,"pull_gb_per_s":1,"price":0.2,"ready_s":10,"regions":["a","b"]},
 {"name":"big","cpus":12,"gpus":2,"memory_gb":48,"local_gb":90,"pull_gb_per_s":1,"price":5.0,"ready_s":10,"regions":["a","b"]}]}"#;

/// Jobs are submitted for this long.
const SUBMISSION_S: f64 = 150.0;
/// How long the run continues after the last submission, so that jobs can complete.
const COMPLETION_S: f64 = 150.0;

/// A class of jobs that is submitted throughout a scenario.
struct Class {
    name: &'static str,
    team: &'static str,
    body: Value,
    /// Average number of jobs submitted per minute on a site of size 1.
    jobs_per_minute: f64,
}

/// Returns the job classes that are submitted in every scenario.
fn classes() -> Vec<Class> {
    let class = |name, team, jobs_per_minute, body| Class {
        name,
        team,
        body,
        jobs_per_minute,
    };
    vec![
        class(
            "portal",
            "front",
            4.0,
            json!({"shape": "service", "rank": "production", "shards": 4, "cpus": 1.0,
            "spread": true, "runtime_s": 0.0, "bundle": "web"}),
        ),
        class(
            "bake",
            "art",
            6.0,
            json!({"shape": "group", "shards": 2, "cpus": 10.0, "gpus": 2.0, "memory_gb": 38.0,
            "one_zone": true, "runtime_s": 20.0, "flavors": ["big"], "bundle": "bake"}),
        ),
        class(
            "rush",
            "art",
            20.0,
            json!({"rank": "urgent", "shards": 6, "runtime_s": 8.0, "preemptibles": true}),
        ),
        class(
            "night",
            "farm",
            8.0,
            json!({"shards": 25, "runtime_s": 8.0, "preemptibles": true}),
        ),
    ]
}

/// What disrupts the service in a scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disruption {
    /// Nothing: a normal load without faults.
    None,
    /// Ten times as many jobs of this class are submitted for 30 s.
    Burst(&'static str),
    /// Three times as many rush jobs are submitted from 30 s until the submissions end.
    RushOverload,
    /// Zone b, which has most of the big workers, is partitioned for 40 s.
    ZonePartition,
    /// All big workers fail every task for 40 s.
    FailingWorkers,
    /// A third of the small workers is lost at once, and the cloud has no replacements.
    LostWorkers,
    /// The leader fails every 3 s for 45 s.
    Failovers,
}

/// Runs a scenario and returns the share of requested work that was served, by class and team.
fn run_scenario(disruption: Disruption, size: f64, seed: u64) -> Vec<(String, f64)> {
    let teams = ["front", "art", "farm"].map(|name| json!({"name": name}));
    let cluster = json!({"zones": ["a", "b"], "teams": teams, "objectives": [
            {"kind": "wait", "class": "bake", "within_s": 20.0}, {"kind": "wait", "class": "portal", "within_s": 2.0},
            {"kind": "wait", "class": "rush", "within_s": 8.0}],
        "workers": {"report_s": 2.0, "lease_s": 10.0, "gang_wait_s": 30.0, "gang_peer_s": 4.0, "cancel_s": 30.0},
        "state": {"rps": 400, "write_rps": 100, "value_kb": 8, "txn_ops": 12}, "cloud": {"rps": 5},
        "limits": {"max_sockets": 1000}, "clock_error_ms": 25});
    let mut harness = CoreHarness::new(TYPES, cluster, 50);
    let mut names = Vec::new();
    for (flavor, zone, count) in [
        ("small", "a", 14.0),
        ("small", "b", 14.0),
        ("big", "a", 2.0),
        ("big", "b", 5.0),
    ] {
        let count = (count * size) as usize;
        for i in 0..count {
            let name = format!("{zone}-{flavor}-{i}");
            harness.add_worker(&name, flavor, zone, 0.1 + i as f64 * 1.9 / count as f64);
            names.push(name);
        }
    }
    let mut rng = StdRng::seed_from_u64(seed);
    let mut requested = Vec::new();
    let mut next_id = 1;
    for second in 0..(SUBMISSION_S + COMPLETION_S) as u32 {
        let at = f64::from(second);
        let within = |from: f64, to: f64| (from..to).contains(&at);
        for class in classes().iter().filter(|_| at < SUBMISSION_S) {
            let rate_factor = match disruption {
                Disruption::Burst(name) if name == class.name && within(30.0, 60.0) => 10.0,
                Disruption::RushOverload if class.name == "rush" && at > 30.0 => 3.0,
                _ => 1.0,
            };
            let mut expected_jobs = class.jobs_per_minute / 60.0 * size * rate_factor;
            while expected_jobs > 0.0 && rng.random_bool(expected_jobs.min(1.0)) {
                expected_jobs -= 1.0;
                let mut body = class.body.clone();
                body["uid"] = json!(format!("wk-{next_id:06}"));
                body["jobclass"] = json!(class.name);
                body["owner"] = json!(class.team);
                next_id += 1;
                let job = harness.submit(&body);
                let service = body["shape"] == "service";
                // Services are cancelled after 60 s.
                let until = if service {
                    at + 60.0
                } else {
                    SUBMISSION_S + COMPLETION_S
                };
                requested.push((
                    job,
                    RequestedJob {
                        id: job.to_string(),
                        class: class.name.into(),
                        team: class.team.into(),
                        tasks: body["shards"].as_u64().expect("a number") as u32,
                        service,
                        submitted_at: at,
                        measured_from: at + 15.0,
                        measured_until: until,
                    },
                ));
            }
        }
        for (job, _) in requested
            .iter()
            .filter(|(_, r)| r.service && r.measured_until == at)
        {
            harness.cancel(*job);
        }
        let workers_with =
            |part: &'static str| names.iter().filter(move |n| n.contains(part)).cloned();
        match disruption {
            Disruption::ZonePartition if at == 40.0 => {
                harness.unreachable.extend(workers_with("b-"));
            }
            Disruption::ZonePartition if at == 80.0 => harness.unreachable.clear(),
            Disruption::FailingWorkers if at == 40.0 => {
                harness.failing_workers.extend(workers_with("-big-"));
            }
            Disruption::FailingWorkers if at == 80.0 => harness.failing_workers.clear(),
            Disruption::LostWorkers if at == 40.0 => {
                let lost: Vec<String> = workers_with("-small-").step_by(3).collect();
                lost.iter().for_each(|name| harness.remove_worker(name));
            }
            Disruption::Failovers if within(40.0, 85.0) && second % 3 == 0 => harness.fail_over(),
            _ => {}
        }
        harness.run(1.0);
    }
    let requested: Vec<RequestedJob> = requested.into_iter().map(|(_, job)| job).collect();
    assert!(requested.len() > 60, "{} jobs", requested.len());
    let levels = service_levels(&harness.history, &requested);
    levels
        .into_iter()
        .map(|(name, level)| (name, level.min_share()))
        .collect()
}

/// Runs a scenario on both sizes of the site, and checks that at least half of the requested work
/// of every class and team was served.
fn assert_half_served(disruption: Disruption) {
    for size in [1.0, 1.5] {
        let shares = run_scenario(disruption, size, 7);
        assert_eq!(
            shares.len(),
            11,
            "four classes, their largest jobs, three teams"
        );
        let least = shares
            .iter()
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .expect("there are shares");
        println!("{disruption:?} x {size}: least {} {:.2}", least.0, least.1);
        assert!(least.1 >= 0.5, "{disruption:?} x {size}: {shares:.2?}");
    }
}

#[test]
fn a_burst_of_one_class_starves_no_class() {
    for class in classes() {
        assert_half_served(Disruption::Burst(class.name));
    }
}

#[test]
fn normal_load_and_rush_overload_starve_no_class() {
    assert_half_served(Disruption::None);
    assert_half_served(Disruption::RushOverload);
}

#[test]
fn partitioned_failing_and_lost_workers_starve_no_class() {
    for disruption in [
        Disruption::ZonePartition,
        Disruption::FailingWorkers,
        Disruption::LostWorkers,
    ] {
        assert_half_served(disruption);
    }
}

#[test]
fn repeated_failovers_starve_no_class() {
    assert_half_served(Disruption::Failovers);
}
