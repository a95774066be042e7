//! One-way partitions: workers whose heartbeats arrive and that receive neither answers nor commands,
//! and the reverse. Their leases expire all the same, so they get no tasks, and what they had starts
//! elsewhere.

mod simulated_cluster;

use std::time::Duration;

use copperfield_simulation::cluster::LEASE_S;
use copperfield_simulation::history::EventKind;
use serde_json::json;
use tokio::time::sleep;

use simulated_cluster::*;

const PARTITION_AT_S: f64 = 8.0;
/// Small jobs, one a second, from when the partition begins.
const JOBS: usize = 10;

/// Two workers receive nothing for so long; if `leader_crashes`, it does so 2 s after the partition
/// began. How long each job takes in seconds, the longest first.
fn job_durations(seed: u64, partition_s: f64, leader_crashes: bool) -> Vec<f64> {
    simulate(async move {
        let world = site(seed, 0.0);
        // Nothing else can be had.
        world.lock().unwrap().site.capacity = 6;
        tokio::spawn(workers(world.clone()));
        for worker in [1, 2] {
            let fault = Fault::Deafen(worker, partition_s);
            tokio::spawn(inflict(world.clone(), PARTITION_AT_S, fault, seed));
        }
        if leader_crashes {
            let fault = Fault::RestartLeaders(1, 3.0);
            tokio::spawn(inflict(world.clone(), PARTITION_AT_S + 2.0, fault, seed));
        }
        for i in 1..=JOBS {
            let body = job(
                i,
                "sweep",
                4,
                json!({"cpus": 1.0, "bundle": "img-0", "pull_gb": 0.1}),
            );
            let at = PARTITION_AT_S + i as f64;
            let id = format!("wk-{i:06}");
            tokio::spawn(user(world.clone(), id, body, 2.0, at, None));
        }
        sleep(Duration::from_secs_f64(PARTITION_AT_S + partition_s + 40.0)).await;
        let w = world.lock().unwrap();
        assert!(w.site.violations.is_empty(), "{:#?}", w.site.violations);
        let mut times: Vec<f64> = w
            .site
            .jobs
            .values()
            .map(|j| j.told_at - j.accepted.expect("accepted"))
            .collect();
        times.sort_by(|a, b| b.total_cmp(a));
        times
    })
}

/// A start without an answer stayed possible until the worker's lease expired, and then the next was
/// sent there: the worker had the most room.
#[test]
fn workers_that_receive_nothing_get_no_tasks() {
    for seed in 0..4 {
        let times = job_durations(seed, 4.0 * LEASE_S, false);
        let (longest, rest) = (times[0], &times[times.len() / 2..]);
        println!("{times:?}");
        // The job that was sent there first waits for a lease, but only once.
        assert!(longest < LEASE_S + 8.0, "seed {seed}: {times:?}");
        assert!(rest[0] < 6.0, "seed {seed}: {times:?}");
    }
}

/// Workers whose heartbeats reach no controller, while direct messages reach them, lose their leases
/// although they answer every probe. Nothing may start on them from half a lease after the partition
/// began until it ends.
#[test]
fn workers_whose_heartbeats_are_lost_get_no_tasks() {
    for seed in 0..4 {
        let late = simulate(async move {
            let world = site(seed, 0.0);
            tokio::spawn(workers(world.clone()));
            let partition_s = 4.0 * LEASE_S;
            for worker in [1, 2] {
                tokio::spawn(inflict(
                    world.clone(),
                    PARTITION_AT_S,
                    Fault::Mute(worker, partition_s),
                    seed,
                ));
            }
            let service = job(50, "service", 4, json!({"spread": true, "cpus": 1.0}));
            let id = "wk-000050".to_string();
            tokio::spawn(user(world.clone(), id, service, 2.0, 1.0, None));
            for i in 1..=40 {
                let body = job(i, "sweep", 4, json!({"cpus": 1.0, "pull_gb": 0.0}));
                let at = PARTITION_AT_S - 2.0 + i as f64 * 0.5;
                let id = format!("wk-{i:06}");
                tokio::spawn(user(world.clone(), id, body, 2.0, at, None));
            }
            sleep(Duration::from_secs_f64(PARTITION_AT_S + partition_s + 30.0)).await;
            let w = world.lock().unwrap();
            assert!(w.site.violations.is_empty(), "{:#?}", w.site.violations);
            let unusable = PARTITION_AT_S + LEASE_S / 2.0 + 1.0..PARTITION_AT_S + partition_s;
            let events = w.site.history.events().iter();
            let on_them =
                events.filter(|e| unusable.contains(&e.at) && e.kind == EventKind::Started);
            let on_them =
                on_them.filter(|e| ["vm-000001", "vm-000002"].contains(&e.worker.as_str()));
            on_them.map(|e| (e.at, e.task.clone())).collect::<Vec<_>>()
        });
        assert!(late.is_empty(), "seed {seed}: {} {late:?}", late.len());
    }
}

/// What a new leader knows of them is what they report, in incarnations that end again and again.
#[test]
fn workers_that_never_learn_of_a_new_leader_delay_jobs_by_at_most_one_lease() {
    for seed in 0..4 {
        let times = job_durations(seed, 6.0 * LEASE_S, true);
        println!("{times:?}");
        assert!(times[0] < LEASE_S + 12.0, "seed {seed}: {times:?}");
    }
}
